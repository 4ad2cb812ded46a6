"""Shard ownership and leases, as derived from the fleet stream.

Every reader accepts or ignores the same records.  Each instance measures
leases on its own monotonic clock: the holder counts from before it sent
the renewal, a successor from after it read it, so the holder always
stops first.  `now` is monotonic time.

A takeover names the latest renewal that its sender had read, and is void
if a later one precedes it in the stream.  A shard's possible successors
are determined by the part of the stream that its holder had read when it
renewed (as_of).  The holder therefore knows all of them, and may keep
serving past its lease while each of them promises to wait (see
docs/ONCE-ONLY.md).
"""

import hashlib
import math
import typing

import attrs

from oleanderdrift import invariants
from oleanderdrift import messages

MAX_SUCCESSORS: typing.Final = 5
RENEWALS_PER_LEASE: typing.Final = 3
TAKEOVER_MARGIN: typing.Final = 0.1


@attrs.frozen(kw_only=True)
class Holder:
    """The instance that holds a shard according to the fleet stream."""

    instance: str
    data_centre: str
    epoch: int


@attrs.define(kw_only=True)
class ShardState:
    """The state of a shard according to the fleet stream.

    renewal_offset is the offset of the record that last extended the
    lease, renewal_number its number, and read_at when this reader read
    it.  left_offset is the offset at which the opener lost or gave up the
    shard.  unrecorded says that calls may have run without a durable
    intent before a takeover.
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
    """When a record or request was sent, and the sender's state then.

    as_of is the next offset to be read at that time, renewal_number the
    number of the last renewal that had been sent.
    """

    at: float
    as_of: int
    renewal_number: int


@attrs.frozen(kw_only=True)
class ReceivedPromise:
    """A promise of a possible successor to wait until a time.

    last_renewal is the number of the last renewal that had been sent when
    the promise was requested.
    """

    until: float
    last_renewal: int


@attrs.define(kw_only=True)
class GivenPromise:
    """A promise of this instance not to claim a shard until a time.

    unrecorded says that the holder may have dispatched calls whose
    records are not durable.
    """

    until: float
    last_renewal: int
    unrecorded: bool = True


@attrs.define(kw_only=True)
class OwnLease:
    """The lease of a shard that this instance holds.

    sent is None for a private shard, whose opening was never sent to the
    log.  renewal_number is that of the last renewal that was read back.
    """

    shard: str
    sent: SendContext | None = None
    lease_until: float = -math.inf
    renewal_number: int = -1
    requested_at: float = -math.inf
    promises: dict[str, ReceivedPromise] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class FleetView:
    """The state of all shards, and this instance's own leases.

    last_renewal_number starts at the Unix time of the start in
    milliseconds, so that an instance's numbers grow over restarts.  home
    is the own shard that this instance names when it claims others, and
    homes are all that it has opened.  unrecorded says that calls were
    dispatched whose records are not durable yet.
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
    """Returns the holder according to the log, for routing calls to it."""
    state = fleet.shards.get(shard)
    if state is None or state.released or state.closed:
        return None
    return state.holder


def open_private(fleet: FleetView, shard: str) -> None:
    """Opens a shard that only this instance knows.

    No other instance can take it over, so it can be served throughout an
    outage of the log.
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
    """Returns the record that publishes a private shard.

    All records of the shard's programs must be durable before it is sent.
    It may be sent again; the lease counts from the first time.
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
    """Returns the context of a record or request that is sent now."""
    return SendContext(
        at=now,
        as_of=fleet.next_offset,
        renewal_number=fleet.last_renewal_number,
    )


def renewal_due(fleet: FleetView, now: float) -> bool:
    """Tells whether the leases should be renewed now.

    They must not be renewed while records of dispatched calls are not
    durable.
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
    """Stops serving a shard and returns the record that releases it."""
    return _give_up_shard(fleet, shard, messages.ShardReleased)


def close(fleet: FleetView, shard: str) -> messages.ShardClosed | None:
    """Permanently closes a shard that has no programs left."""
    return _give_up_shard(fleet, shard, messages.ShardClosed)


_ExitRecord = typing.TypeVar(
    '_ExitRecord', messages.ShardReleased, messages.ShardClosed
)


def drop_own_lease(fleet: FleetView, shard: str) -> None:
    """Removes an own lease; selects another home if the shard was it."""
    fleet.own.pop(shard, None)
    if fleet.home == shard:
        fleet.home = next(iter(fleet.homes & fleet.own.keys()), '')


def _give_up_shard(
    fleet: FleetView, shard: str, kind: type[_ExitRecord]
) -> _ExitRecord | None:
    drop_own_lease(fleet, shard)
    state = fleet.shards.get(shard)
    if state is None or state.holder.instance != fleet.instance:
        return None
    return kind(shard=shard, instance=fleet.instance, epoch=state.holder.epoch)


def may_serve(fleet: FleetView, now: float, shard: str) -> bool:
    """Tells whether this instance is certain to hold the shard now.

    Check before each decision, and again after each await.
    """
    own = fleet.own.get(shard)
    if own is None:
        return False
    if own.sent is None:
        return True
    return now < own.lease_until or now < _promised_until(fleet, own)


def epoch(fleet: FleetView, shard: str) -> int:
    """Returns a shard's epoch, or 0 if its opening was not read yet."""
    state = fleet.shards.get(shard)
    return state.holder.epoch if state else 0


def _promised_until(fleet: FleetView, own: OwnLease) -> float:
    homes = own_successors(fleet, own.shard)
    if not homes <= own.promises.keys():
        return -math.inf
    untils = [own.promises[home].until for home in homes]
    return min(untils, default=-math.inf)


def may_dispatch_unrecorded(fleet: FleetView, now: float, shard: str) -> bool:
    """Tells whether a non-idempotent call may run before it is recorded.

    It may in a private shard, and where every possible successor has
    promised to wait since the last renewal was sent: each of them then
    knows that calls may have run unrecorded.  The caller must call
    note_unrecorded before it dispatches the call.
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
    """Returns the homes of all that may claim a shard held here.

    Renewals that were sent but not read back count as if they were in the
    log.  The result is empty if any instance of the data centre may claim
    the shard.
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
    """Returns the homes that may claim an instance's shard, best first.

    Every reader of the stream up to as_of can compute them.
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
    return homes[:MAX_SUCCESSORS]


def _rendezvous_weight(shard: str, home: str) -> bytes:
    return hashlib.blake2b(f'{shard}/{home}'.encode()).digest()


def is_expected(state: ShardState, claim: messages.ShardTaken) -> bool:
    """Tells whether a claim names the shard's latest renewal."""
    return (
        claim.expected_epoch == state.holder.epoch
        and claim.expected_renewal == state.renewal_offset
    )
