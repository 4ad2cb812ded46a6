"""What deciding functions return for the peer adapter to send."""

import attrs

from oleanderdrift import messages


@attrs.frozen(kw_only=True)
class OutboundMessage:
    """A one-way peer message for the instance named."""

    to: str
    message: messages.Message
