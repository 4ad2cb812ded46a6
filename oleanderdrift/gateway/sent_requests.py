"""What is known of a request that is under way on a connection."""

import attrs

from oleanderdrift.gateway import upstreams


@attrs.frozen(kw_only=True)
class SentRequest:
    """A request that was sent on a connection.

    may_abort says that it may be given up, and may_repeat that it may then
    be sent again by this instance.
    """

    upstream: upstreams.Upstream
    sent_at: float
    may_repeat: bool
    may_abort: bool
