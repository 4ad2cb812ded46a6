"""How far a request has come on its way through an instance."""

import asyncio

import attrs

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import records


@attrs.define(kw_only=True)
class Progress:
    """How far a request has come.

    body is what upstreams receive.  possibly_ran holds the upstreams that
    may have run it and are not known to have ended.  sent says that one
    may have.  tokens are those handed to the caller.  uncached_tokens and
    running_requests are what the placement assumed, first_ms the time
    until the first event.
    """

    admitted: admission.Admitted
    body: bytes
    deadline: float
    reserved: bool = False
    sent: bool = False
    tokens: int = 0
    last_event_id: str | None = None
    output: list[bytes] = attrs.field(factory=list)
    input_location: asyncio.Task[records.InputLocation] | None = None
    excluded: set[str] = attrs.field(factory=set)
    possibly_ran: set[str] = attrs.field(factory=set)
    uncached_tokens: int = 0
    running_requests: int = 0
    first_ms: int = -1
    upstream: str = ''
    last_reason: str = ''

    def account_name(self) -> str:
        """Returns the account's name, empty on routes open to all."""
        account = self.admitted.account
        return account.name if account is not None else ''
