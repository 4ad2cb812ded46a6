"""What is left of the blame for a crash that was none."""

import msgspec
import pytest

from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import peer_messages
from tests import gateway_support
from tests import peer_fleet


def block(ledger: crash_ledger.CrashLedger, *crashes: str) -> None:
    """Notes crashes with the open requests of each, and decides."""
    for number, silent in enumerate(crashes):
        report = crash_ledger.CrashReport(
            age_s=0.0, silent=frozenset(silent.split())
        )
        ledger.note_crash(f'u{number}', report, float(number))
        ledger.review(number + crash_ledger.SETTLE_S)


@pytest.mark.parametrize(
    ('crashes', 'blocked', 'left'),
    [
        (['a b', 'a c'], 'a', ''),
        (['a b', 'a b', 'a b'], 'a b', ''),
        # The other crashes are enough.
        (['a b', 'a c', 'a d'], 'a', 'a'),
        (['a b', 'a b', 'a b', 'a b'], 'a b', 'a b'),
        # Another request is to blame for the rest.
        (['a', 'a b', 'b c'], 'a', 'b'),
        (['a tx', 'b tx', 'c tx'], 'tx', ''),
    ],
)
def test_false_crash_blocks_nobody(
    crashes: list[str], blocked: str, left: str
) -> None:
    ledger = crash_ledger.CrashLedger()
    block(ledger, *crashes)
    assert set(ledger.blocked) == set(blocked.split())
    unblocked = ledger.withdraw('u0', 10.0)
    assert set(unblocked) == set(blocked.split()) - set(ledger.blocked)
    ledger.review(10.0 + crash_ledger.SETTLE_S)
    assert set(ledger.blocked) == set(left.split())


def test_report_from_before_an_upstream_was_found_alive_is_void() -> None:
    ledger = crash_ledger.CrashLedger()
    ledger.withdraw('u0', 10.0)
    late = crash_ledger.CrashReport(age_s=1.0, silent=frozenset({'a'}))
    ledger.note_crash('u0', late, 10.5)
    assert not ledger.crashes
    # It crashes later on, and an old message says that it lives.
    ledger.note_crash('u0', late, 12.0)
    assert not ledger.withdraw('u0', 10.5)
    assert list(ledger.crashes) == ['u0']


def test_peer_that_heard_nothing_else_spreads_no_block() -> None:
    cut_off, other = crash_ledger.CrashLedger(), crash_ledger.CrashLedger()
    block(cut_off, 'a', 'a')
    left_s = cut_off.blocked_left_s(2.0)
    other.withdraw('u0', 2.0)
    other.note_blocked(left_s, 2.0, cut_off.grounds)
    assert not other.blocked
    # Peers of an earlier build tell no grounds.
    other.note_blocked(left_s, 2.0)
    assert set(other.blocked) == {'a'}


def test_builds_before_and_after_read_each_others_states() -> None:
    state = peer_messages.StateUpdate(
        data_centre='north',
        store_age_s=0.0,
        usage={},
        whole=True,
        work={},
        living={'u0': 1.0},
        grounds={'a': frozenset({'u0'})},
        unreachable=frozenset({'u1'}),
        reaches_few=True,
    )
    names = [one.name for one in msgspec.structs.fields(state)]
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(state))
    old = msgspec.msgpack.encode(fields[: names.index('living')])
    found = msgspec.msgpack.decode(old, type=peer_messages.StateUpdate)
    assert (found.living, found.grounds) == ({}, {})
    assert (found.unreachable, found.reaches_few) == (frozenset(), False)
    # Later fields are skipped.
    newer = msgspec.msgpack.encode([*fields, 'x'])
    assert state == msgspec.msgpack.decode(
        newer, type=peer_messages.StateUpdate
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'sizes', [{'a': 3, 'b': 3, 'c': 3}, {'a': 12, 'b': 12}]
)
def test_word_that_an_upstream_lives_does_not_outlive_its_crash(
    sizes: dict[str, int], seed: int
) -> None:
    network = peer_fleet.build(sizes, seed)
    network.run(3.0)
    boards = [one.board for one in network.instances.values()]
    incarnation = gateway_support.entry('u1').incarnation()
    boards[0].crashes.note_alive(incarnation, network.now)
    network.run(1.0)
    assert all(one.crashes.refuted for one in boards)
    network.run(3.0)
    assert not any(one.crashes.living(network.now) for one in boards)
    report = crash_ledger.CrashReport(age_s=0.0, silent=frozenset({'a'}))
    boards[1].note_crash(incarnation, report, network.now)
    network.run(1.0)
    assert incarnation in boards[1].crashes.crashes
