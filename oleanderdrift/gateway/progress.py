"""The state of one request in an instance."""

import asyncio

import attrs

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import fingerprints as fingerprints_lib
from oleanderdrift.gateway import grant_client
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import model
from oleanderdrift.gateway import records
from oleanderdrift.gateway import stream_origins


@attrs.define(kw_only=True)
class Progress:
    """The state of an admitted request.

    body is sent to upstreams.  fingerprints are those of what the caller
    sent; a request that comes again has the same.  crashes counts the
    upstreams that crashed while they ran it.  reserved says that its tokens
    may be reserved, and grant what another instance granted of them.  sent
    says that an upstream may have run it.  begun says
    that a first byte of it may be on its way to one, and caller_left that
    the caller has closed its connection.  possibly_ran
    holds the upstreams that may have run it and may still do so, excluded
    those that must not get it again.  tokens and output are those sent to
    the caller, output_bytes the output's size.  uncached_tokens,
    unread_tokens (its own and those before it) and running_requests were the
    inputs of the last placement.  first_ms is the
    time until the first event, or -1.  origin is that of the stream that the
    caller has begun to receive.  holder counts the earlier turns in body.
    prompt_wait_s is for how long its long prompt waited for an engine.
    cold_place is its place in the share of a cold upstream that was chosen.
    is_renewed says that body is stored as the turn's input, and earlier where
    the turns before it are stored.
    """

    admitted: admission.Admitted
    body: bytes
    deadline: float
    fingerprints: fingerprints_lib.Fingerprints
    crashes: int = 0
    reserved: bool = False
    grant: grant_client.PeerGrant | None = None
    sent: bool = False
    begun: bool = False
    caller_left: bool = False
    tokens: int = 0
    last_event_id: str | None = None
    output: list[bytes] = attrs.field(factory=list)
    output_bytes: int = 0
    input_location: asyncio.Task[records.InputLocation] | None = None
    is_renewed: bool = False
    earlier: tuple[records.StoredTurn, ...] = ()
    excluded: set[str] = attrs.field(factory=set)
    possibly_ran: set[str] = attrs.field(factory=set)
    uncached_tokens: int = 0
    unread_tokens: int = 0
    running_requests: int = 0
    first_ms: int = -1
    upstream: str = ''
    origin: stream_origins.Origin | None = None
    last_reason: str = ''
    holder: held_bytes.Holder | None = None
    cold_place: cold_shares.ColdPlace | None = None
    prompt_wait_s: float = 0.0

    def must_complete(self) -> bool:
        """Returns whether its work goes on if the caller leaves."""
        kind = self.admitted.route.kind
        return self.begun and kind is model.RouteKind.NON_IDEMPOTENT

    def release_cold_place(self) -> None:
        """Gives the place at a cold upstream back if it was not used."""
        if self.cold_place is not None:
            self.cold_place.release()
            self.cold_place = None

    def release(self) -> None:
        """Ends the count of the conversation's bytes."""
        if self.holder is not None:
            self.holder.release()

    def account_name(self) -> str:
        """Returns the account's name, empty on public routes."""
        account = self.admitted.account
        return account.name if account is not None else ''
