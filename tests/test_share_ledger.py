"""The share ledger: sums, invalid records, snapshots and gaps."""

import random
import typing

import attrs
import pytest

from oleanderdrift import codec
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import share_ledger

NAMES: typing.Final = ('a', 'b', 'c')


def renewed(name: str) -> messages.SharesRenewed:
    return messages.SharesRenewed(
        holder=name, instance=name, data_centre='dc', address=name, sent=1
    )


def moved(
    donor: str, receiver: str, units: int, *, epoch: int = 1, serial: int = 0
) -> messages.SharesMoved:
    move = messages.UnitsMoved(receiver=receiver, slot=0, units=units)
    return messages.SharesMoved(
        donor=donor, epoch=epoch, serial=serial, moves=(move,)
    )


def reclaimed(
    holder: str, receiver: str, renewal: int
) -> messages.SharesReclaimed:
    return messages.SharesReclaimed(
        holder=holder, expected_renewal=renewal, receiver=receiver
    )


def apply_records(records: list[messages.Message]) -> share_ledger.Ledger:
    ledger = share_ledger.Ledger()
    for offset, record in enumerate(records, share_ledger.FIRST_OFFSET):
        share_ledger.apply_record(ledger, offset, record)
    return ledger


OPENING_RECORDS: typing.Final = [renewed('a'), renewed('b')]
ALL_UNITS: typing.Final = share_ledger.UNITS


@pytest.mark.parametrize(
    ('records', 'units_by_holder'),
    [
        ([], {'a': ALL_UNITS}),
        ([moved('a', 'b', 10)], {'a': ALL_UNITS - 10, 'b': 10}),
        ([moved('a', 'b', 10)] * 2, {'a': ALL_UNITS - 10, 'b': 10}),
        ([moved('a', 'b', 10, epoch=2)], {'a': ALL_UNITS}),
        ([moved('a', 'b', 10, serial=1)], {'a': ALL_UNITS}),
        ([moved('a', 'b', ALL_UNITS + 1)], {'a': ALL_UNITS}),
        ([moved('a', 'b', -1)], {'a': ALL_UNITS}),
        ([moved('a', 'z', 10)], {'a': ALL_UNITS}),
        ([moved('a', 'a', 10)], {'a': ALL_UNITS}),
        ([moved('b', 'a', 10, epoch=2)], {'a': ALL_UNITS}),
        ([reclaimed('a', 'b', 1)], {'b': ALL_UNITS}),
        ([reclaimed('a', 'b', 2)], {'a': ALL_UNITS}),
        ([renewed('a'), reclaimed('a', 'b', 1)], {'a': ALL_UNITS}),
        ([reclaimed('a', 'b', 1), renewed('a')], {'b': ALL_UNITS}),
        ([messages.SharesClosed(holder='a', epoch=1)], {'a': ALL_UNITS}),
        ([None], {'a': ALL_UNITS}),
    ],
)
def test_units_move_only_by_valid_records(
    records: list[messages.Message], units_by_holder: dict[str, int]
) -> None:
    assert (
        apply_records([*OPENING_RECORDS, *records]).by_slot[0]
        == units_by_holder
    )


def test_a_closed_holder_without_units_is_removed() -> None:
    closed = messages.SharesClosed(holder='b', epoch=2)
    assert set(apply_records([*OPENING_RECORDS, closed]).holders) == {'a'}


def random_record(rng: random.Random) -> messages.Message:
    first, second = rng.choice(NAMES), rng.choice(NAMES)
    number = rng.randrange(1, 12)
    return rng.choice(
        [
            renewed(first),
            moved(first, second, number * 90, epoch=number, serial=0),
            moved(first, second, number * 90, epoch=1, serial=number - 1),
            reclaimed(first, second, number),
            messages.SharesClosed(holder=first, epoch=number),
        ]
    )


@pytest.mark.parametrize('seed', range(30))
def test_readers_agree_with_and_without_a_snapshot(seed: int) -> None:
    rng = random.Random(seed)
    records = [*OPENING_RECORDS, *(random_record(rng) for _ in range(12))]
    snapshot_index = rng.randrange(2, len(records))
    snapshot = share_ledger.snapshot(apply_records(records[:snapshot_index]))
    insert_index = rng.randrange(snapshot_index, len(records) + 1)
    records.insert(insert_index, codec.decode(codec.encode(snapshot)))
    full = apply_records(records)
    trimmed = share_ledger.Ledger()
    for offset in range(snapshot_index, len(records)):
        share_ledger.apply_record(trimmed, offset + 1, records[offset])
    assert trimmed.complete
    assert share_ledger.snapshot(trimmed) == share_ledger.snapshot(full)
    for slot in full.by_slot.values():
        assert sum(slot.values()) == ALL_UNITS


def test_a_gap_empties_the_ledger_until_a_snapshot_covers_it() -> None:
    ledger = apply_records(OPENING_RECORDS)
    early = share_ledger.snapshot(ledger)
    share_ledger.apply_record(ledger, 9, renewed('a'))
    assert not ledger.complete
    assert not ledger.by_slot
    share_ledger.apply_record(ledger, 10, early)
    assert not ledger.complete
    share_ledger.apply_record(ledger, 11, attrs.evolve(early, next_offset=9))
    assert ledger.complete


def test_a_wrong_total_of_units_is_reported() -> None:
    ledger = apply_records(OPENING_RECORDS)
    ledger.by_slot[0]['z'] = 1
    with pytest.raises(errors.ResultError, match='invariant'):
        share_ledger.apply_record(ledger, 3, moved('a', 'b', 10))
