"""Applies the records of the fleet stream to an instance's view of it.

Every reader applies the same records and accepts or ignores the same ones.
`now` is monotonic time.
"""

import typing

from oleanderdrift import codec
from oleanderdrift import messages
from oleanderdrift import ownership
from oleanderdrift import takeovers

# Closed shards are kept for this many records after they closed.
PRUNE_AFTER_RECORDS: typing.Final = 10_000


def apply(
    fleet: ownership.FleetView,
    now: float,
    offset: int,
    record: messages.Message,
) -> None:
    """Applies one record of the fleet stream."""
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
    fleet: ownership.FleetView,
    now: float,
    offset: int,
    record: messages.ShardOpened,
) -> None:
    if record.shard in fleet.shards:
        return
    fleet.shards[record.shard] = ownership.ShardState(
        shard=record.shard,
        opener=record.instance,
        data_centre=record.data_centre,
        opened_offset=offset,
        holder=ownership.Holder(
            instance=record.instance,
            data_centre=record.data_centre,
            epoch=offset,
        ),
        lease_s=record.lease_s,
        renewal_offset=offset,
        as_of=record.as_of,
        read_at=now,
    )


def _apply_renewed(
    fleet: ownership.FleetView,
    now: float,
    offset: int,
    record: messages.ShardsRenewed,
) -> None:
    for shard in record.shards:
        state = fleet.shards.get(shard)
        if state is None or not _is_renewal(state, record):
            continue
        state.renewal_offset = offset
        state.renewal_number = record.number
        state.as_of = record.as_of
        state.checkpoint = record.checkpoint
        state.read_at = now
        given = fleet.given_promises.get(shard)
        if given is not None and record.number > given.last_renewal:
            given.unrecorded = False
        _note_own_renewal(fleet, shard, record)
    if record.instance == fleet.instance:
        _drop_old_renewals(fleet)


def _is_renewal(
    state: ownership.ShardState, record: messages.ShardsRenewed
) -> bool:
    return (
        state.holder.instance == record.instance
        and not state.released
        and not state.closed
        and record.number > state.renewal_number
    )


def _note_own_renewal(
    fleet: ownership.FleetView, shard: str, record: messages.ShardsRenewed
) -> None:
    own = fleet.own.get(shard)
    sent = fleet.renewals.get(record.number)
    if own is None or sent is None or record.instance != fleet.instance:
        return
    own.renewal_number = record.number
    own.lease_until = max(own.lease_until, sent.at + fleet.lease_s)


def _drop_old_renewals(fleet: ownership.FleetView) -> None:
    numbers = [own.renewal_number for own in fleet.own.values() if own.sent]
    # A shard that has not been renewed yet keeps all of them.
    oldest = min(numbers, default=fleet.last_renewal_number)
    for number in [n for n in fleet.renewals if n < oldest]:
        del fleet.renewals[number]


def _apply_taken(
    fleet: ownership.FleetView,
    now: float,
    offset: int,
    record: messages.ShardTaken,
) -> None:
    state = fleet.shards.get(record.shard)
    if (
        state is None
        or state.closed
        or not ownership.is_expected(state, record)
    ):
        return
    if not takeovers.is_entitled(
        fleet, state, record.home, record.data_centre
    ):
        return
    _note_left(state, offset)
    state.holder = ownership.Holder(
        instance=record.instance,
        data_centre=record.data_centre,
        epoch=offset,
    )
    state.lease_s = record.lease_s
    state.renewal_offset = offset
    state.as_of = record.as_of
    state.renewal_number = record.number
    state.read_at = now
    state.released = False
    state.unrecorded = state.unrecorded or record.promised
    ownership.drop_own_lease(fleet, record.shard)
    if fleet.claims.get(record.shard) == record:
        _note_own_claim(fleet, record)


def _note_own_claim(
    fleet: ownership.FleetView, record: messages.ShardTaken
) -> None:
    at = fleet.claimed_at[record.shard]
    fleet.own[record.shard] = ownership.OwnLease(
        shard=record.shard,
        sent=ownership.SendContext(
            at=at, as_of=record.as_of, renewal_number=record.number
        ),
        lease_until=at + record.lease_s,
    )


def _note_left(state: ownership.ShardState, offset: int) -> None:
    if state.left_offset is None:
        state.left_offset = offset


def _apply_left(
    fleet: ownership.FleetView,
    offset: int,
    record: messages.ShardReleased | messages.ShardClosed,
) -> None:
    state = fleet.shards.get(record.shard)
    if state is None or state.holder.epoch != record.epoch:
        return
    if state.holder.instance != record.instance:
        return
    _note_left(state, offset)
    ownership.drop_own_lease(fleet, record.shard)
    state.released = True
    if isinstance(record, messages.ShardClosed):
        state.closed = True
        _prune(fleet, offset)


def _prune(fleet: ownership.FleetView, offset: int) -> None:
    # A closed shard still counts as a home in successors() for leases whose
    # holders had not yet read of its end (as_of) when they renewed.
    live = [s.as_of for s in fleet.shards.values() if not s.closed]
    oldest = min([*live, offset - PRUNE_AFTER_RECORDS])
    for state in list(fleet.shards.values()):
        if state.closed and (state.left_offset or 0) < oldest:
            del fleet.shards[state.shard]


def _apply_down(
    fleet: ownership.FleetView, offset: int, record: messages.DataCentreDown
) -> None:
    for state in fleet.shards.values():
        if state.data_centre == record.data_centre:
            _note_left(state, offset)
            state.released = True
            ownership.drop_own_lease(fleet, state.shard)
