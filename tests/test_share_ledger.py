"""The fold of the shares stream: sums, void records, snapshots, gaps."""

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


def folded(records: list[messages.Message]) -> share_ledger.Ledger:
    ledger = share_ledger.Ledger()
    for offset, record in enumerate(records, share_ledger.FIRST_OFFSET):
        share_ledger.apply_record(ledger, offset, record)
    return ledger


OPENED: typing.Final = [renewed('a'), renewed('b')]
WHOLE: typing.Final = share_ledger.UNITS


@pytest.mark.parametrize(
    ('records', 'held'),
    [
        ([], {'a': WHOLE}),
        ([moved('a', 'b', 10)], {'a': WHOLE - 10, 'b': 10}),
        ([moved('a', 'b', 10)] * 2, {'a': WHOLE - 10, 'b': 10}),
        ([moved('a', 'b', 10, epoch=2)], {'a': WHOLE}),
        ([moved('a', 'b', 10, serial=1)], {'a': WHOLE}),
        ([moved('a', 'b', WHOLE + 1)], {'a': WHOLE}),
        ([moved('a', 'b', -1)], {'a': WHOLE}),
        ([moved('a', 'z', 10)], {'a': WHOLE}),
        ([moved('a', 'a', 10)], {'a': WHOLE}),
        ([moved('b', 'a', 10, epoch=2)], {'a': WHOLE}),
        ([reclaimed('a', 'b', 1)], {'b': WHOLE}),
        ([reclaimed('a', 'b', 2)], {'a': WHOLE}),
        ([renewed('a'), reclaimed('a', 'b', 1)], {'a': WHOLE}),
        ([reclaimed('a', 'b', 1), renewed('a')], {'b': WHOLE}),
        ([messages.SharesClosed(holder='a', epoch=1)], {'a': WHOLE}),
        ([None], {'a': WHOLE}),
    ],
)
def test_units_move_only_by_valid_records(
    records: list[messages.Message], held: dict[str, int]
) -> None:
    assert folded([*OPENED, *records]).by_slot[0] == held


def test_a_closed_holder_without_units_goes() -> None:
    closed = messages.SharesClosed(holder='b', epoch=2)
    assert set(folded([*OPENED, closed]).holders) == {'a'}


def random_record(rng: random.Random) -> messages.Message:
    one, other = rng.choice(NAMES), rng.choice(NAMES)
    number = rng.randrange(1, 12)
    return rng.choice(
        [
            renewed(one),
            moved(one, other, number * 90, epoch=number, serial=0),
            moved(one, other, number * 90, epoch=1, serial=number - 1),
            reclaimed(one, other, number),
            messages.SharesClosed(holder=one, epoch=number),
        ]
    )


@pytest.mark.parametrize('seed', range(30))
def test_readers_agree_with_and_without_a_snapshot(seed: int) -> None:
    rng = random.Random(seed)
    records = [*OPENED, *(random_record(rng) for _ in range(12))]
    place = rng.randrange(2, len(records))
    snapshot = share_ledger.snapshot(folded(records[:place]))
    late = rng.randrange(place, len(records) + 1)
    records.insert(late, codec.decode(codec.encode(snapshot)))
    whole = folded(records)
    trimmed = share_ledger.Ledger()
    for offset in range(place, len(records)):
        share_ledger.apply_record(trimmed, offset + 1, records[offset])
    assert trimmed.complete
    assert share_ledger.snapshot(trimmed) == share_ledger.snapshot(whole)
    for slot in whole.by_slot.values():
        assert sum(slot.values()) == WHOLE


def test_a_gap_forgets_all_until_a_snapshot_covers_it() -> None:
    ledger = folded(OPENED)
    early = share_ledger.snapshot(ledger)
    share_ledger.apply_record(ledger, 9, renewed('a'))
    assert not ledger.complete
    assert not ledger.by_slot
    share_ledger.apply_record(ledger, 10, early)
    assert not ledger.complete
    share_ledger.apply_record(ledger, 11, attrs.evolve(early, next_offset=9))
    assert ledger.complete


def test_units_that_do_not_add_up_are_noticed() -> None:
    ledger = folded(OPENED)
    ledger.by_slot[0]['z'] = 1
    with pytest.raises(errors.ResultError, match='invariant'):
        share_ledger.apply_record(ledger, 3, moved('a', 'b', 10))
