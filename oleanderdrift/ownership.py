"""Who owns which shard, folded from the fleet stream, and for how long.

Every reader reaches the same verdict on each record.  How long a lease
lasts is judged by each instance on its own monotonic clock: the holder
counts from before it sent the renewal, a successor from after it read
it, so the holder always stops first.  `now` is monotonic time.

A takeover names the renewal it saw, and is void once another has come.
A shard's possible successors follow from what its holder had read when
it renewed (as_of), so the holder knows all of them, and may go on past
its lease while each of them promises to wait (see docs/ONCE-ONLY.md).
"""

import hashlib
import math
import typing

import attrs

from oleanderdrift import invariants
from oleanderdrift import messages

SUCCESSORS: typing.Final = 5
RENEWALS_PER_LEASE: typing.Final = 3
TAKEOVER_MARGIN: typing.Final = 0.1


@attrs.frozen(kw_only=True)
class Holder:
    """The instance that the log names as a shard's owner."""

    instance: str
    data_centre: str
    epoch: int


@attrs.define(kw_only=True)
class ShardState:
    """A shard as the fleet stream has it.

    renewal is the offset that last extended the lease, and number its
    number; read_at is when this reader read it.  left_offset is the offset
    at which the opener lost or left the shard.  unrecorded
    says that calls may have run without a durable intent before a
    takeover.
    """

    shard: str
    opener: str
    data_centre: str
    opened_offset: int
    holder: Holder
    lease_s: float
    renewal_offset: int
    as_of: int
    read_at: float
    renewal_number: int = 0
    checkpoint: int = 0
    left_offset: int | None = None
    released: bool = False
    unrecorded: bool = False
    closed: bool = False


@attrs.frozen(kw_only=True)
class SendContext:
    """When something was sent, and what had been read and sent by then."""

    at: float
    as_of: int
    renewal_number: int


@attrs.frozen(kw_only=True)
class ReceivedPromise:
    """A possible successor waits until then; it knows the renewals."""

    until: float
    last_renewal: int


@attrs.define(kw_only=True)
class GivenPromise:
    """This instance waits; the holder's records may not be durable."""

    until: float
    last_renewal: int
    unrecorded: bool = True


@attrs.define(kw_only=True)
class OwnLease:
    """A shard that this instance holds.

    sent is None for a private shard, which was never sent to the log.
    number is that of the last renewal that was read back.
    """

    shard: str
    sent: SendContext | None = None
    lease_until: float = -math.inf
    renewal_number: int = -1
    requested_at: float = -math.inf
    promises: dict[str, ReceivedPromise] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class FleetView:
    """The fold of the fleet stream, and this instance's own leases.

    last_renewal_number starts at the Unix time of the start in
    milliseconds, so that an instance's numbers grow over restarts.  home
    is the shard by which this instance takes others.  unrecorded says
    that calls were dispatched whose records are not durable yet.
    """

    instance: str
    data_centre: str
    lease_s: float
    last_renewal_number: int
    home: str = ''
    homes: set[str] = attrs.field(factory=set)
    next_offset: int = 0
    shards: dict[str, ShardState] = attrs.field(factory=dict)
    own: dict[str, OwnLease] = attrs.field(factory=dict)
    renewals: dict[int, SendContext] = attrs.field(factory=dict)
    renewed_at: float = -math.inf
    unrecorded: bool = False
    claims: dict[str, messages.ShardTaken] = attrs.field(factory=dict)
    claimed_at: dict[str, float] = attrs.field(factory=dict)
    given_promises: dict[str, GivenPromise] = attrs.field(factory=dict)
    promise_requests: dict[int, SendContext] = attrs.field(factory=dict)
    last_request: int = 0


def holder(fleet: FleetView, shard: str) -> Holder | None:
    """Returns the owner that the log names, for routing calls to it."""
    state = fleet.shards.get(shard)
    if state is None or state.released or state.closed:
        return None
    return state.holder


def open_private(fleet: FleetView, shard: str) -> None:
    """Starts a shard that only this instance knows.

    Nobody can take it over, so it serves all through an outage.
    """
    fleet.home = fleet.home or shard
    fleet.homes.add(shard)
    fleet.own[shard] = OwnLease(shard=shard)


def is_private(fleet: FleetView, shard: str) -> bool:
    """Tells whether the shard is held and was never sent to the log."""
    own = fleet.own.get(shard)
    return own is not None and own.sent is None


def opening_record(
    fleet: FleetView, now: float, shard: str
) -> messages.ShardOpened:
    """Returns the record that makes a private shard known.

    All records of its programs must be durable before it is sent.  It
    may be sent again; the lease counts from the first time.
    """
    own = fleet.own[shard]
    if own.sent is None:
        own.sent = send_context(fleet, now)
        own.lease_until = now + fleet.lease_s
    return messages.ShardOpened(
        shard=shard,
        instance=fleet.instance,
        data_centre=fleet.data_centre,
        lease_s=fleet.lease_s,
        as_of=own.sent.as_of,
    )


def send_context(fleet: FleetView, now: float) -> SendContext:
    """Returns what a record that is sent now tells of this instance."""
    return SendContext(
        at=now,
        as_of=fleet.next_offset,
        renewal_number=fleet.last_renewal_number,
    )


def renewal_due(fleet: FleetView, now: float) -> bool:
    """Tells whether the leases should be renewed now.

    They must not be while records of dispatched calls are not durable.
    """
    if fleet.unrecorded:
        return False
    interval_s = fleet.lease_s / RENEWALS_PER_LEASE
    return (
        bool(_renewable_shards(fleet)) and now >= fleet.renewed_at + interval_s
    )


def _renewable_shards(fleet: FleetView) -> tuple[str, ...]:
    return tuple(
        shard
        for shard in fleet.own
        if shard in fleet.shards
        and fleet.shards[shard].holder.instance == fleet.instance
    )


def next_renewal(
    fleet: FleetView, now: float, checkpoint: int = 0
) -> messages.ShardsRenewed:
    """Returns the next renewal; each is sent to the log at most once."""
    invariants.check(not fleet.unrecorded, 'renewed-when-recorded')
    fleet.last_renewal_number += 1
    fleet.renewed_at = now
    sent = send_context(fleet, now)
    fleet.renewals[fleet.last_renewal_number] = sent
    return messages.ShardsRenewed(
        instance=fleet.instance,
        shards=_renewable_shards(fleet),
        number=fleet.last_renewal_number,
        as_of=sent.as_of,
        checkpoint=checkpoint,
    )


def release(fleet: FleetView, shard: str) -> messages.ShardReleased | None:
    """Stops serving a shard and returns the record that gives it up."""
    return _exit_record(fleet, shard, messages.ShardReleased)


def close(fleet: FleetView, shard: str) -> messages.ShardClosed | None:
    """Stops serving a shard that has no programs left, for good."""
    return _exit_record(fleet, shard, messages.ShardClosed)


_ExitRecord = typing.TypeVar(
    '_ExitRecord', messages.ShardReleased, messages.ShardClosed
)


def drop_own_lease(fleet: FleetView, shard: str) -> None:
    """Forgets an own shard; another one becomes the home."""
    fleet.own.pop(shard, None)
    if fleet.home == shard:
        fleet.home = next(iter(fleet.homes & fleet.own.keys()), '')


def _exit_record(
    fleet: FleetView, shard: str, kind: type[_ExitRecord]
) -> _ExitRecord | None:
    drop_own_lease(fleet, shard)
    state = fleet.shards.get(shard)
    if state is None or state.holder.instance != fleet.instance:
        return None
    return kind(shard=shard, instance=fleet.instance, epoch=state.holder.epoch)


def may_serve(fleet: FleetView, now: float, shard: str) -> bool:
    """Tells whether this instance owns the shard for certain now.

    Ask before each decision, and again after each wait.
    """
    own = fleet.own.get(shard)
    if own is None:
        return False
    if own.sent is None:
        return True
    return now < own.lease_until or now < _promised_until(fleet, own)


def epoch(fleet: FleetView, shard: str) -> int:
    """Returns the epoch of a shard that is held; 0 before it is read."""
    state = fleet.shards.get(shard)
    return state.holder.epoch if state else 0


def _promised_until(fleet: FleetView, own: OwnLease) -> float:
    homes = own_successors(fleet, own.shard)
    if not homes <= own.promises.keys():
        return -math.inf
    untils = [own.promises[home].until for home in homes]
    return min(untils, default=-math.inf)


def may_dispatch_unrecorded(fleet: FleetView, now: float, shard: str) -> bool:
    """Tells whether a non-idempotent call may run without the log.

    It may in a private shard, and where every possible successor has
    promised to wait since the last renewal was sent: each of them then
    knows that calls may have run unrecorded.  note_unrecorded first.
    """
    own = fleet.own.get(shard)
    if own is None or not may_serve(fleet, now, shard):
        return False
    if own.sent is None:
        return True
    homes = own_successors(fleet, shard)
    known = {
        home
        for home, received in own.promises.items()
        if received.last_renewal == fleet.last_renewal_number
    }
    return bool(homes) and homes <= known


def note_unrecorded(fleet: FleetView) -> None:
    """Notes that a call is dispatched whose intent is not durable."""
    fleet.unrecorded = True


def note_recorded(fleet: FleetView) -> None:
    """Notes that every record so far is durable."""
    fleet.unrecorded = False


def own_successors(fleet: FleetView, shard: str) -> set[str]:
    """Returns the homes that may take a held shard, as far as is known.

    Renewals whose fate is open count as if they were in the log.  Empty
    where anyone in the data centre may take it.
    """
    own = fleet.own[shard]
    as_ofs = {
        sent.as_of
        for number, sent in fleet.renewals.items()
        if number >= own.renewal_number
    }
    if own.sent is not None and own.renewal_number < 0:
        as_ofs.add(own.sent.as_of)
    found: set[str] = set()
    for as_of in as_ofs:
        found.update(
            successors(fleet, shard, fleet.data_centre, fleet.instance, as_of)
        )
    return found


def successors(
    fleet: FleetView, shard: str, data_centre: str, instance: str, as_of: int
) -> list[str]:
    """Returns the homes that may take an instance's shard, best first.

    They are known to whoever has read the stream up to as_of.
    """
    homes = [
        state.shard
        for state in fleet.shards.values()
        if state.data_centre == data_centre
        and state.opener != instance
        and state.opened_offset < as_of
        and (state.left_offset is None or state.left_offset >= as_of)
    ]
    homes.sort(key=lambda home: _rendezvous_weight(shard, home))
    return homes[:SUCCESSORS]


def _rendezvous_weight(shard: str, home: str) -> bytes:
    return hashlib.blake2b(f'{shard}/{home}'.encode()).digest()


def is_expected(state: ShardState, claim: messages.ShardTaken) -> bool:
    """Tells whether a claim names the shard's latest renewal."""
    return (
        claim.expected_epoch == state.holder.epoch
        and claim.expected_renewal == state.renewal_offset
    )
