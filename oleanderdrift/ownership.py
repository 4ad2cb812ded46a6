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

from oleanderdrift import codec
from oleanderdrift import invariants
from oleanderdrift import messages

SUCCESSORS: typing.Final = 5
RENEWALS_PER_LEASE: typing.Final = 3
TAKEOVER_MARGIN: typing.Final = 0.1
TAKEOVER_STAGGER: typing.Final = 0.05
PROMISE_PART: typing.Final = 0.5
MAX_ASKED: typing.Final = 64
PRUNE_AFTER_RECORDS: typing.Final = 10_000


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
    number; read_at is when this reader read it.  left_at is the offset
    at which the opener lost or left the shard.  unrecorded
    says that calls may have run without a durable intent before a
    takeover.
    """

    shard: str
    opener: str
    data_centre: str
    opened_at: int
    holder: Holder
    lease_s: float
    renewal: int
    as_of: int
    read_at: float
    number: int = 0
    checkpoint: int = 0
    left_at: int | None = None
    released: bool = False
    unrecorded: bool = False
    closed: bool = False


@attrs.frozen(kw_only=True)
class Sent:
    """When something was sent, and what had been read and sent by then."""

    at: float
    as_of: int
    number: int


@attrs.frozen(kw_only=True)
class HeardPromise:
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
    sent: Sent | None = None
    lease_until: float = -math.inf
    number: int = -1
    asked_at: float = -math.inf
    promises: dict[str, HeardPromise] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Fleet:
    """The fold of the fleet stream, and this instance's own leases.

    last_number starts at the Unix time of the start in milliseconds, so
    that an instance's numbers grow over restarts.  home is the shard by
    which this instance takes others.  unrecorded says that calls were
    dispatched whose records are not durable yet.
    """

    instance: str
    data_centre: str
    lease_s: float
    last_number: int
    home: str = ''
    homes: set[str] = attrs.field(factory=set)
    next_offset: int = 0
    shards: dict[str, ShardState] = attrs.field(factory=dict)
    own: dict[str, OwnLease] = attrs.field(factory=dict)
    renewals: dict[int, Sent] = attrs.field(factory=dict)
    renewed_at: float = -math.inf
    unrecorded: bool = False
    claims: dict[str, messages.ShardTaken] = attrs.field(factory=dict)
    claimed_at: dict[str, float] = attrs.field(factory=dict)
    given: dict[str, GivenPromise] = attrs.field(factory=dict)
    asked: dict[int, Sent] = attrs.field(factory=dict)
    last_asked: int = 0


def holder(fleet: Fleet, shard: str) -> Holder | None:
    """Returns the owner that the log names, for routing calls to it."""
    state = fleet.shards.get(shard)
    if state is None or state.released or state.closed:
        return None
    return state.holder


def open_private(fleet: Fleet, shard: str) -> None:
    """Starts a shard that only this instance knows.

    Nobody can take it over, so it serves all through an outage.
    """
    fleet.home = fleet.home or shard
    fleet.homes.add(shard)
    fleet.own[shard] = OwnLease(shard=shard)


def is_private(fleet: Fleet, shard: str) -> bool:
    """Tells whether the shard is held and was never sent to the log."""
    own = fleet.own.get(shard)
    return own is not None and own.sent is None


def opening(fleet: Fleet, now: float, shard: str) -> messages.ShardOpened:
    """Returns the record that makes a private shard known.

    All records of its programs must be durable before it is sent.  It
    may be sent again; the lease counts from the first time.
    """
    own = fleet.own[shard]
    if own.sent is None:
        own.sent = _sent(fleet, now)
        own.lease_until = now + fleet.lease_s
    return messages.ShardOpened(
        shard=shard,
        instance=fleet.instance,
        data_centre=fleet.data_centre,
        lease_s=fleet.lease_s,
        as_of=own.sent.as_of,
    )


def _sent(fleet: Fleet, now: float) -> Sent:
    return Sent(at=now, as_of=fleet.next_offset, number=fleet.last_number)


def renewal_due(fleet: Fleet, now: float) -> bool:
    """Tells whether the leases should be renewed now.

    They must not be while records of dispatched calls are not durable.
    """
    if fleet.unrecorded:
        return False
    interval_s = fleet.lease_s / RENEWALS_PER_LEASE
    return bool(_renewable(fleet)) and now >= fleet.renewed_at + interval_s


def _renewable(fleet: Fleet) -> tuple[str, ...]:
    return tuple(
        shard
        for shard in fleet.own
        if shard in fleet.shards
        and fleet.shards[shard].holder.instance == fleet.instance
    )


def renewal(
    fleet: Fleet, now: float, checkpoint: int = 0
) -> messages.ShardsRenewed:
    """Returns the next renewal; each is sent to the log at most once."""
    invariants.check(not fleet.unrecorded, 'renewed-when-recorded')
    fleet.last_number += 1
    fleet.renewed_at = now
    sent = _sent(fleet, now)
    fleet.renewals[fleet.last_number] = sent
    return messages.ShardsRenewed(
        instance=fleet.instance,
        shards=_renewable(fleet),
        number=fleet.last_number,
        as_of=sent.as_of,
        checkpoint=checkpoint,
    )


def release(fleet: Fleet, shard: str) -> messages.ShardReleased | None:
    """Stops serving a shard and returns the record that gives it up."""
    return _leave(fleet, shard, messages.ShardReleased)


def close(fleet: Fleet, shard: str) -> messages.ShardClosed | None:
    """Stops serving a shard that has no programs left, for good."""
    return _leave(fleet, shard, messages.ShardClosed)


_Leaving = typing.TypeVar(
    '_Leaving', messages.ShardReleased, messages.ShardClosed
)


def _leave(fleet: Fleet, shard: str, kind: type[_Leaving]) -> _Leaving | None:
    _drop_own(fleet, shard)
    state = fleet.shards.get(shard)
    if state is None or state.holder.instance != fleet.instance:
        return None
    return kind(shard=shard, instance=fleet.instance, epoch=state.holder.epoch)


def may_serve(fleet: Fleet, now: float, shard: str) -> bool:
    """Tells whether this instance owns the shard for certain now.

    Ask before each decision, and again after each wait.
    """
    own = fleet.own.get(shard)
    if own is None:
        return False
    if own.sent is None:
        return True
    return now < own.lease_until or now < _promised_until(fleet, own)


def epoch(fleet: Fleet, shard: str) -> int:
    """Returns the epoch of a shard that is held; 0 before it is read."""
    state = fleet.shards.get(shard)
    return state.holder.epoch if state else 0


def _promised_until(fleet: Fleet, own: OwnLease) -> float:
    homes = own_successors(fleet, own.shard)
    if not homes <= own.promises.keys():
        return -math.inf
    untils = [own.promises[home].until for home in homes]
    return min(untils, default=-math.inf)


def may_go_unrecorded(fleet: Fleet, now: float, shard: str) -> bool:
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
        for home, heard in own.promises.items()
        if heard.last_renewal == fleet.last_number
    }
    return bool(homes) and homes <= known


def note_unrecorded(fleet: Fleet) -> None:
    """Notes that a call is dispatched whose intent is not durable."""
    fleet.unrecorded = True


def note_recorded(fleet: Fleet) -> None:
    """Notes that every record so far is durable."""
    fleet.unrecorded = False


def own_successors(fleet: Fleet, shard: str) -> set[str]:
    """Returns the homes that may take a held shard, as far as is known.

    Renewals whose fate is open count as if they were in the log.  Empty
    where anyone in the data centre may take it.
    """
    own = fleet.own[shard]
    as_ofs = {
        sent.as_of
        for number, sent in fleet.renewals.items()
        if number >= own.number
    }
    if own.sent is not None and own.number < 0:
        as_ofs.add(own.sent.as_of)
    found: set[str] = set()
    for as_of in as_ofs:
        found.update(
            successors(fleet, shard, fleet.data_centre, fleet.instance, as_of)
        )
    return found


def successors(
    fleet: Fleet, shard: str, data_centre: str, instance: str, as_of: int
) -> list[str]:
    """Returns the homes that may take an instance's shard, best first.

    They are known to whoever has read the stream up to as_of.
    """
    homes = [
        state.shard
        for state in fleet.shards.values()
        if state.data_centre == data_centre
        and state.opener != instance
        and state.opened_at < as_of
        and (state.left_at is None or state.left_at >= as_of)
    ]
    homes.sort(key=lambda home: _weight(shard, home))
    return homes[:SUCCESSORS]


def _weight(shard: str, home: str) -> bytes:
    return hashlib.blake2b(f'{shard}/{home}'.encode()).digest()


def promises_due(fleet: Fleet, now: float, shard: str) -> bool:
    """Tells whether successors should be asked, as renewals fail."""
    own = fleet.own.get(shard)
    if own is None or own.sent is None:
        return False
    interval_s = fleet.lease_s * PROMISE_PART / RENEWALS_PER_LEASE
    late = now >= own.lease_until - interval_s
    return late and now >= own.asked_at + interval_s


def promise_requests(
    fleet: Fleet, now: float, shard: str
) -> list[tuple[str, messages.PromiseRequest]]:
    """Returns what to ask of which instance to go on past the lease."""
    if shard in fleet.own:
        fleet.own[shard].asked_at = now
    fleet.last_asked += 1
    fleet.asked[fleet.last_asked] = _sent(fleet, now)
    fleet.asked.pop(fleet.last_asked - MAX_ASKED, None)
    return [
        (
            fleet.shards[home].opener,
            messages.PromiseRequest(
                shard=shard,
                home=home,
                number=fleet.last_asked,
                last_renewal=fleet.last_number,
            ),
        )
        for home in sorted(own_successors(fleet, shard))
    ]


def promise(
    fleet: Fleet, now: float, request: messages.PromiseRequest
) -> messages.LeasePromise | None:
    """Promises not to take a shard, unless a claim may be under way."""
    claim = fleet.claims.get(request.shard)
    if request.home not in fleet.homes or request.shard in fleet.own:
        return None
    if claim is not None and _may_succeed(fleet, claim):
        return None
    promise_s = fleet.lease_s * PROMISE_PART
    fleet.given[request.shard] = GivenPromise(
        until=now + promise_s * (1 + TAKEOVER_MARGIN),
        last_renewal=request.last_renewal,
    )
    return messages.LeasePromise(
        shard=request.shard,
        home=request.home,
        number=request.number,
        promise_s=promise_s,
    )


def _may_succeed(fleet: Fleet, claim: messages.ShardTaken) -> bool:
    state = fleet.shards.get(claim.shard)
    return state is not None and _is_expected(state, claim)


def _is_expected(state: ShardState, claim: messages.ShardTaken) -> bool:
    return (
        claim.expected_epoch == state.holder.epoch
        and claim.expected_renewal == state.renewal
    )


def accept_promise(fleet: Fleet, message: messages.LeasePromise) -> None:
    """Notes a successor's promise, counted from when it was asked for."""
    own = fleet.own.get(message.shard)
    asked = fleet.asked.get(message.number)
    if own is None or asked is None:
        return
    heard = HeardPromise(
        until=asked.at + message.promise_s, last_renewal=asked.number
    )
    known = own.promises.get(message.home, heard)
    own.promises[message.home] = max(known, heard, key=_until)


def _until(heard: HeardPromise) -> float:
    return heard.until


def takeover_candidates(fleet: Fleet, now: float) -> list[str]:
    """Returns the shards that this instance may claim now."""
    return [
        state.shard
        for state in fleet.shards.values()
        if state.shard not in fleet.own
        and not state.closed
        and _is_claimable(fleet, now, state)
    ]


def _is_claimable(fleet: Fleet, now: float, state: ShardState) -> bool:
    given = fleet.given.get(state.shard)
    if given is not None and now < given.until:
        return False
    if not fleet.home or fleet.home not in fleet.shards:
        return False
    if not _is_entitled(fleet, state, fleet.home, fleet.data_centre):
        return False
    if state.released:
        return True
    homes = _state_successors(fleet, state)
    rank = homes.index(fleet.home) if fleet.home in homes else 0
    wait_s = state.lease_s * (1 + TAKEOVER_MARGIN + rank * TAKEOVER_STAGGER)
    return now >= state.read_at + wait_s


def _state_successors(fleet: Fleet, state: ShardState) -> list[str]:
    return successors(
        fleet,
        state.shard,
        state.data_centre,
        state.holder.instance,
        state.as_of,
    )


def _is_entitled(
    fleet: Fleet, state: ShardState, home: str, data_centre: str
) -> bool:
    if data_centre != state.data_centre:
        return False
    homes = _state_successors(fleet, state)
    return state.released or home in homes or not homes


def takeover(fleet: Fleet, now: float, shard: str) -> messages.ShardTaken:
    """Returns the record that claims a shard; it may be sent again."""
    state = fleet.shards[shard]
    claim = fleet.claims.get(shard)
    if claim is not None and _is_expected(state, claim):
        return claim
    given = fleet.given.get(shard)
    invariants.check(
        given is None or now >= given.until, 'promise-kept', shard
    )
    claim = messages.ShardTaken(
        shard=shard,
        instance=fleet.instance,
        data_centre=fleet.data_centre,
        expected_epoch=state.holder.epoch,
        lease_s=fleet.lease_s,
        expected_renewal=state.renewal,
        home=fleet.home,
        as_of=fleet.next_offset,
        number=fleet.last_number,
        promised=given is not None and given.unrecorded,
    )
    fleet.claims[shard] = claim
    fleet.claimed_at[shard] = now
    return claim


def apply(
    fleet: Fleet, now: float, offset: int, record: messages.Message
) -> None:
    """Folds one record of the fleet stream."""
    match record:
        case messages.Batch():
            for data in record.records:
                apply(fleet, now, offset, codec.decode(data))
        case messages.ShardOpened():
            _apply_opened(fleet, now, offset, record)
        case messages.ShardsRenewed():
            _apply_renewed(fleet, now, offset, record)
        case messages.ShardTaken():
            _apply_taken(fleet, now, offset, record)
        case messages.ShardReleased() | messages.ShardClosed():
            _apply_left(fleet, offset, record)
        case messages.DataCentreDown():
            _apply_down(fleet, offset, record)
    fleet.next_offset = offset + 1


def _apply_opened(
    fleet: Fleet, now: float, offset: int, record: messages.ShardOpened
) -> None:
    if record.shard in fleet.shards:
        return
    fleet.shards[record.shard] = ShardState(
        shard=record.shard,
        opener=record.instance,
        data_centre=record.data_centre,
        opened_at=offset,
        holder=Holder(
            instance=record.instance,
            data_centre=record.data_centre,
            epoch=offset,
        ),
        lease_s=record.lease_s,
        renewal=offset,
        as_of=record.as_of,
        read_at=now,
    )


def _apply_renewed(
    fleet: Fleet, now: float, offset: int, record: messages.ShardsRenewed
) -> None:
    for shard in record.shards:
        state = fleet.shards.get(shard)
        if state is None or not _is_renewal(state, record):
            continue
        state.renewal = offset
        state.number = record.number
        state.as_of = record.as_of
        state.checkpoint = record.checkpoint
        state.read_at = now
        given = fleet.given.get(shard)
        if given is not None and record.number > given.last_renewal:
            given.unrecorded = False
        _note_own_renewal(fleet, shard, record)
    if record.instance == fleet.instance:
        _forget_renewals(fleet)


def _is_renewal(state: ShardState, record: messages.ShardsRenewed) -> bool:
    return (
        state.holder.instance == record.instance
        and not state.released
        and not state.closed
        and record.number > state.number
    )


def _note_own_renewal(
    fleet: Fleet, shard: str, record: messages.ShardsRenewed
) -> None:
    own = fleet.own.get(shard)
    sent = fleet.renewals.get(record.number)
    if own is None or sent is None or record.instance != fleet.instance:
        return
    own.number = record.number
    own.lease_until = max(own.lease_until, sent.at + fleet.lease_s)


def _forget_renewals(fleet: Fleet) -> None:
    numbers = [own.number for own in fleet.own.values() if own.sent]
    # A shard that has not been renewed yet keeps them all.
    oldest = min(numbers, default=fleet.last_number)
    for number in [n for n in fleet.renewals if n < oldest]:
        del fleet.renewals[number]


def _apply_taken(
    fleet: Fleet, now: float, offset: int, record: messages.ShardTaken
) -> None:
    state = fleet.shards.get(record.shard)
    if state is None or state.closed or not _is_expected(state, record):
        return
    if not _is_entitled(fleet, state, record.home, record.data_centre):
        return
    _note_left(state, offset)
    state.holder = Holder(
        instance=record.instance,
        data_centre=record.data_centre,
        epoch=offset,
    )
    state.lease_s = record.lease_s
    state.renewal = offset
    state.as_of = record.as_of
    state.number = record.number
    state.read_at = now
    state.released = False
    state.unrecorded = state.unrecorded or record.promised
    _drop_own(fleet, record.shard)
    if fleet.claims.get(record.shard) == record:
        _note_own_claim(fleet, record)


def _note_own_claim(fleet: Fleet, record: messages.ShardTaken) -> None:
    at = fleet.claimed_at[record.shard]
    fleet.own[record.shard] = OwnLease(
        shard=record.shard,
        sent=Sent(at=at, as_of=record.as_of, number=record.number),
        lease_until=at + record.lease_s,
    )


def _note_left(state: ShardState, offset: int) -> None:
    if state.left_at is None:
        state.left_at = offset


def _drop_own(fleet: Fleet, shard: str) -> None:
    fleet.own.pop(shard, None)
    if fleet.home == shard:
        fleet.home = next(iter(fleet.homes & fleet.own.keys()), '')


def _apply_left(
    fleet: Fleet,
    offset: int,
    record: messages.ShardReleased | messages.ShardClosed,
) -> None:
    state = fleet.shards.get(record.shard)
    if state is None or state.holder.epoch != record.epoch:
        return
    if state.holder.instance != record.instance:
        return
    _note_left(state, offset)
    _drop_own(fleet, record.shard)
    state.released = True
    if isinstance(record, messages.ShardClosed):
        state.closed = True
        _prune(fleet, offset)


def _prune(fleet: Fleet, offset: int) -> None:
    # A closed shard still tells who could take others as of that time.
    live = [s.as_of for s in fleet.shards.values() if not s.closed]
    oldest = min([*live, offset - PRUNE_AFTER_RECORDS])
    for state in list(fleet.shards.values()):
        if state.closed and (state.left_at or 0) < oldest:
            del fleet.shards[state.shard]


def _apply_down(
    fleet: Fleet, offset: int, record: messages.DataCentreDown
) -> None:
    for state in fleet.shards.values():
        if state.data_centre == record.data_centre:
            _note_left(state, offset)
            state.released = True
            _drop_own(fleet, state.shard)
