"""Messages that decision functions return for the caller to send."""

import attrs

from oleanderdrift import messages


@attrs.frozen(kw_only=True)
class OutboundMessage:
    """A one-way message to the instance named in `to`."""

    to: str
    message: messages.Message
