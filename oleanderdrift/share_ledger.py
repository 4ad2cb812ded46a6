"""Ledger of who holds how much of every client account's limits.

Client accounts are hashed to slots.  Each slot has UNITS units; a holder of
u units of a slot has u / UNITS of the rate and burst of the slot's accounts.
Only records of the `shares` stream move units, and the sum of a slot's
units never changes.
"""

import collections
import functools
import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import messages

SLOTS: typing.Final = 256
# Divides evenly by up to seven data centres of up to three holders each,
# except by four data centres of two holders.
UNITS: typing.Final = 2 * 3 * 3 * 7 * 10
FIRST_OFFSET: typing.Final = 1
_HASH_BYTES: typing.Final = 8
_MAX_BUFFERED_RECORDS: typing.Final = 10_000


@attrs.define(kw_only=True)
class Holder:
    """One incarnation of an instance, with the units it holds by slot.

    epoch is the offset of the record that opened it, serial the number of
    its next move, and renewal the offset of its last renewal or gain.  A
    closed holder uses its units no more, so they may be reclaimed at once.
    """

    name: str
    instance: str
    data_centre: str
    address: str
    epoch: int
    renewal: int
    serial: int = 0
    closed: bool = False
    units: dict[int, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Ledger:
    """The state after all records of the stream before next_offset.

    change_count counts the changes of holders and units.  complete is
    false after a gap in the records: the ledger is then empty, and later
    records are buffered until a snapshot covers the gap.
    """

    next_offset: int = FIRST_OFFSET
    complete: bool = True
    change_count: int = 0
    holders: dict[str, Holder] = attrs.field(factory=dict)
    by_slot: dict[int, dict[str, int]] = attrs.field(factory=dict)
    buffered_records: collections.deque[tuple[int, messages.Message]] = (
        attrs.field(
            factory=functools.partial(
                collections.deque, maxlen=_MAX_BUFFERED_RECORDS
            )
        )
    )


@functools.lru_cache(maxsize=200_000)
def hash_of(text: str) -> int:
    """Returns a hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def slot_of(account: str) -> int:
    """Returns the slot of a client account."""
    return hash_of(account) % SLOTS


def apply_record(
    ledger: Ledger, offset: int, record: messages.Message
) -> None:
    """Applies the record at an offset; an invalid record changes nothing.

    Raises ResultError(INVARIANT_BROKEN) if the units of a slot no longer
    add up to UNITS.
    """
    if offset < ledger.next_offset:
        return
    if offset > ledger.next_offset:
        _mark_incomplete(ledger)
    ledger.next_offset = offset + 1
    if ledger.complete:
        _apply(ledger, offset, record)
    elif isinstance(record, messages.SharesSnapshot):
        _restore(ledger, record)
    else:
        ledger.buffered_records.append((offset, record))


def snapshot(ledger: Ledger) -> messages.SharesSnapshot:
    """Returns the ledger as one record; the ledger must be complete."""
    return messages.SharesSnapshot(
        next_offset=ledger.next_offset,
        holders=tuple(
            messages.SnapshotHolder(
                holder=holder.name,
                instance=holder.instance,
                data_centre=holder.data_centre,
                address=holder.address,
                epoch=holder.epoch,
                serial=holder.serial,
                renewal=holder.renewal,
                closed=holder.closed,
                units=tuple(sorted(holder.units.items())),
            )
            for holder in ledger.holders.values()
        ),
    )


def _mark_incomplete(ledger: Ledger) -> None:
    ledger.complete = False
    ledger.holders = {}
    ledger.by_slot = {}
    ledger.buffered_records.clear()


def _restore(ledger: Ledger, record: messages.SharesSnapshot) -> None:
    """Restores the ledger from a snapshot, then applies buffered records.

    Ignores a snapshot that ends before the first buffered record, as that
    would leave a gap.
    """
    first = ledger.next_offset - 1
    if ledger.buffered_records:
        first = ledger.buffered_records[0][0]
    if record.next_offset < first:
        return
    for item in record.holders:
        ledger.holders[item.holder] = Holder(
            name=item.holder,
            instance=item.instance,
            data_centre=item.data_centre,
            address=item.address,
            epoch=item.epoch,
            serial=item.serial,
            renewal=item.renewal,
            closed=item.closed,
        )
        for slot, units in item.units:
            _add_units(ledger, item.holder, slot, units)
    ledger.complete = True
    ledger.change_count += 1
    for offset, buffered in ledger.buffered_records:
        if offset >= record.next_offset:
            _apply(ledger, offset, buffered)
    ledger.buffered_records.clear()


def _apply(ledger: Ledger, offset: int, record: messages.Message) -> None:
    match record:
        case messages.SharesRenewed():
            _apply_renewed(ledger, offset, record)
        case messages.SharesMoved():
            _apply_moved(ledger, offset, record)
        case messages.SharesReclaimed():
            _apply_reclaimed(ledger, offset, record)
        case messages.SharesClosed():
            _apply_closed(ledger, record)


def _apply_renewed(
    ledger: Ledger, offset: int, record: messages.SharesRenewed
) -> None:
    holder = ledger.holders.get(record.holder)
    if holder is not None:
        holder.renewal = offset
        return
    ledger.holders[record.holder] = Holder(
        name=record.holder,
        instance=record.instance,
        data_centre=record.data_centre,
        address=record.address,
        epoch=offset,
        renewal=offset,
    )
    ledger.change_count += 1
    if not ledger.by_slot:
        for slot in range(SLOTS):
            _add_units(ledger, record.holder, slot, UNITS)


def _apply_moved(
    ledger: Ledger, offset: int, record: messages.SharesMoved
) -> None:
    donor = ledger.holders.get(record.donor)
    if donor is None or donor.epoch != record.epoch:
        return
    if donor.serial != record.serial:
        return
    donor.serial += 1
    ledger.change_count += 1
    for move in record.moves:
        receiver = ledger.holders.get(move.receiver)
        if receiver is None or receiver is donor:
            continue
        if not 0 < move.units <= donor.units.get(move.slot, 0):
            continue
        _add_units(ledger, donor.name, move.slot, -move.units)
        _add_units(ledger, receiver.name, move.slot, move.units)
        receiver.renewal = offset
        _check_total(ledger, move.slot)


def _apply_reclaimed(
    ledger: Ledger, offset: int, record: messages.SharesReclaimed
) -> None:
    lost = ledger.holders.get(record.holder)
    receiver = ledger.holders.get(record.receiver)
    if lost is None or receiver is None or lost is receiver:
        return
    if lost.renewal != record.expected_renewal:
        return
    for slot, units in list(lost.units.items()):
        _add_units(ledger, lost.name, slot, -units)
        _add_units(ledger, receiver.name, slot, units)
        _check_total(ledger, slot)
    receiver.renewal = offset
    ledger.change_count += 1
    del ledger.holders[lost.name]


def _apply_closed(ledger: Ledger, record: messages.SharesClosed) -> None:
    holder = ledger.holders.get(record.holder)
    if holder is None or holder.epoch != record.epoch:
        return
    holder.closed = True
    ledger.change_count += 1
    if not holder.units:
        del ledger.holders[record.holder]


def _add_units(ledger: Ledger, name: str, slot: int, units: int) -> None:
    held = ledger.holders[name].units
    by_slot = ledger.by_slot.setdefault(slot, {})
    total = held.get(slot, 0) + units
    if total:
        held[slot] = total
        by_slot[name] = total
    else:
        held.pop(slot, None)
        by_slot.pop(name, None)


def _check_total(ledger: Ledger, slot: int) -> None:
    total = sum(ledger.by_slot[slot].values())
    if total != UNITS:
        raise errors.ResultError(
            codes.INVARIANT_BROKEN,
            f'slot {slot} has {total} units instead of {UNITS}',
        )
