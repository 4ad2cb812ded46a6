"""Upstreams that live while instances take them for crashed."""

import asyncio
import collections.abc
import random
import typing

import msgspec
import pytest

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import model
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import upstream_probes
from oleanderdrift.gateway import upstreams
from standins import replica
from tests import gateway_fleet
from tests import gateway_support

ONCE: typing.Final = gateway_support.route(kind=model.RouteKind.NON_IDEMPOTENT)
SLOW: typing.Final = replica.Stream(events=40, pause_s=0.02)
# A probe's longest interval, and its spread and connection.
RETURN_S: typing.Final = 1.5 * upstreams.MAX_PROBE_S
WAIT_S: typing.Final = 10.0
NO_REQUESTS: typing.Final = crash_ledger.CrashReport(
    age_s=0.0, silent=frozenset()
)


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def serving(fleet: gateway_fleet.Fleet, instance: int) -> set[str]:
    """Returns the upstreams that an instance would send requests to."""
    known = fleet.forwarders[instance].board.upstreams
    return {
        one.entry.upstream_id
        for one in known.of_service('guide', include_lapsed=False)
        if not one.is_ejected(clock.monotonic())
    }


async def cut_under_load(
    fleet: gateway_fleet.Fleet, *instances: int
) -> list[asyncio.Task[typing.Any]]:
    """Cuts instances off while each has requests at all upstreams."""
    sending = [
        asyncio.create_task(
            fleet.send(each, body=f'{each} {number}'.encode(), target='/a/c')
        )
        for each in instances
        for number in range(12)
    ]
    await wait_until(lambda: sum_received(fleet) >= len(sending))
    for each in instances:
        fleet.links[each].cut()
    return sending


def sum_received(fleet: gateway_fleet.Fleet) -> int:
    """Returns how many requests the replicas have read."""
    return sum(len(one.received) for one in fleet.replicas)


@pytest.mark.parametrize('cut_off', [1, 3])
def test_instances_without_links_take_no_upstream_from_the_others(
    cut_off: int,
) -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            5, SLOW, SLOW, SLOW, route=ONCE
        ) as fleet:
            cut = list(range(cut_off))
            others = list(range(cut_off, 5))
            sending = await cut_under_load(fleet, *cut)
            await asyncio.gather(*sending)
            for step in range(40):
                await asyncio.sleep(0.02)
                for each in others:
                    known = fleet.forwarders[each].board.upstreams
                    usable = known.of_service('guide', include_lapsed=False)
                    assert len(usable) == 3, f'step {step}'
            for one in fleet.replicas:
                one.behaviours = [replica.CompleteResponse()]
            replies = [
                await fleet.send(each, body=b'%d' % number, target='/a/c')
                for each in others
                for number in range(4)
            ]
            assert {one.status for one in replies} == {200}
            for each in cut:
                fleet.links[each].is_cut = False
            await asyncio.sleep(RETURN_S)
            for each in range(5):
                assert len(serving(fleet, each)) == 3
                reply = await fleet.send(each, body=b'x', target='/a/c')
                assert reply.status == 200

    asyncio.run(run())


def test_upstream_that_lives_returns_after_every_instance_gave_it_up() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(3, SLOW, SLOW, route=ONCE) as fleet:
            for one in fleet.forwarders:
                one.board.note_crash(
                    gateway_support.entry('u0').incarnation(),
                    NO_REQUESTS,
                    clock.monotonic(),
                )
                one.board.upstreams.by_id['u0'].probe_at = clock.monotonic()
            await asyncio.sleep(RETURN_S)
            for each in range(3):
                assert serving(fleet, each) == {'u0', 'u1'}

    asyncio.run(run())


def accuse(fleet: gateway_fleet.Fleet, instance: int, upstream: str) -> None:
    """Tells an instance that an upstream has crashed."""
    fleet.forwarders[instance].board.note_peers_crash(
        'peer',
        gateway_support.entry(upstream).incarnation(),
        NO_REQUESTS,
        clock.monotonic(),
    )


def is_set_aside(
    fleet: gateway_fleet.Fleet, instance: int, upstream: str
) -> bool:
    """Returns whether an instance sends an upstream nothing."""
    known = fleet.forwarders[instance].board.upstreams
    return known.by_id[upstream].set_aside_at is not None


def test_crash_that_an_instance_finds_as_well_is_believed() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, replica.CompleteResponse(), replica.CompleteResponse()
        ) as fleet:
            fleet.replicas[0].crash()
            accuse(fleet, 0, 'u0')
            accuse(fleet, 0, 'u1')
            await wait_until(lambda: is_set_aside(fleet, 0, 'u0'))
            await asyncio.sleep(0.1)
            assert serving(fleet, 0) == {'u1'}
            assert len(fleet.forwarders[0].board.crashes.crashes) == 1

    asyncio.run(run())


def test_other_start_at_the_same_address_is_no_return() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, replica.CompleteResponse()
        ) as fleet:
            fleet.replicas[0].born_ms = 2
            accuse(fleet, 0, 'u0')
            await wait_until(lambda: is_set_aside(fleet, 0, 'u0'))
            await asyncio.sleep(RETURN_S)
            assert is_set_aside(fleet, 0, 'u0')
            assert fleet.forwarders[0].board.crashes.crashes

    asyncio.run(run())


def test_request_that_stays_open_contradicts_a_crash() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(1, SLOW, route=ONCE) as fleet:
            sending = asyncio.create_task(fleet.send(0, body=b'x'))
            await wait_until(lambda: sum_received(fleet) == 1)
            fleet.links[0].is_cut = True
            accuse(fleet, 0, 'u0')
            assert (await sending).status == 200
            assert not is_set_aside(fleet, 0, 'u0')

    asyncio.run(run())


def test_upstream_is_probed_at_growing_intervals() -> None:
    chance = random.Random(1)
    upstream = gateway_support.upstream()
    upstream.doubt(0.0)
    intervals_s = []
    now = 0.0
    for _ in range(6):
        assert upstream.probe_due(now)
        upstream.schedule_probe(now, chance)
        assert not upstream.probe_due(now)
        intervals_s.append(upstream.probe_at - now)
        now = upstream.probe_at
    spread = 1 + upstreams.PROBE_SPREAD
    assert intervals_s[0] <= upstreams.FIRST_PROBE_S * spread
    assert intervals_s[0] < intervals_s[1] < intervals_s[-1]
    assert intervals_s[-1] <= upstreams.MAX_PROBE_S * spread
    upstream.take_back()
    assert not upstream.probe_due(now + 60)


def test_upstreams_are_probed_that_are_due_and_listed() -> None:
    known = upstreams.UpstreamSet()
    for name in ('u1', 'u2', 'u3', 'u4'):
        known.put(gateway_support.entry(name))
    known.by_id['u1'].probe_at = 2.0
    known.by_id['u2'].probe_at = 1.0
    known.by_id['u3'].probe_at = 1.0
    known.remove('u3', 0.0)
    found = [one.entry.upstream_id for one in upstream_probes.due(known, 2.0)]
    assert found == ['u2', 'u1']
    # An upstream writes its entry itself.
    known.by_id['u4'].set_aside(0.0)
    known.put(gateway_support.entry('u4'))
    assert known.by_id['u4'].probe_due(0.0)


def test_instance_without_links_reports_no_crash() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            3, SLOW, SLOW, SLOW, route=ONCE
        ) as fleet:
            await asyncio.gather(*await cut_under_load(fleet, 0, 1))
            await asyncio.sleep(0.3)
            for one in fleet.forwarders:
                assert not one.board.crashes.crashes
                assert not one.board.crashes.own

    asyncio.run(run())


@pytest.mark.parametrize('answer', crash_detector.WitnessAnswer)
@pytest.mark.parametrize('others', [0, 1])
def test_witness_decides_whether_a_refusal_is_a_crash(
    answer: crash_detector.WitnessAnswer, others: int
) -> None:
    async def witness(
        upstream: upstreams.Upstream,
    ) -> crash_detector.WitnessAnswer:
        assert upstream.entry.upstream_id == 'u0'
        return answer

    async def run() -> None:
        behaviours = [replica.CompleteResponse()] * (1 + others)
        async with gateway_fleet.run_fleet(
            1, *behaviours, route=ONCE
        ) as fleet:
            fleet.forwarders[0].attempts.crashes.witness = witness
            fleet.replicas[0].deadly_body = b'deadly'
            await fleet.send(0, body=b'deadly')
            for one in fleet.replicas:
                one.crash()
            await asyncio.sleep(0.3)
            ledger = fleet.forwarders[0].board.crashes
            # Without a witness, an instance that is refused by all upstreams
            # believes itself only if it has no other.
            expected = {
                crash_detector.WitnessAnswer.REFUSED: True,
                crash_detector.WitnessAnswer.REACHED: False,
                crash_detector.WitnessAnswer.NO_ANSWER: not others,
            }
            assert bool(ledger.crashes) is expected[answer]

    asyncio.run(run())


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


def test_false_word_of_an_instance_blocks_no_request_anywhere() -> None:
    async def run() -> None:
        behaviours = [replica.CompleteResponse()] * 3
        async with gateway_fleet.run_fleet(3, *behaviours) as fleet:
            fleet.links[0].cut()
            prints = fingerprints.fingerprints(
                gateway_support.request(body=b'x'), ''
            )
            report = crash_ledger.CrashReport(
                age_s=0.0, silent=frozenset({prints.request, prints.target})
            )
            for upstream in ('u0', 'u1', 'u2'):
                fleet.forwarders[0].board.note_crash(
                    gateway_support.entry(upstream).incarnation(),
                    report,
                    clock.monotonic(),
                )
            ledgers = [one.board.crashes for one in fleet.forwarders]
            assert ledgers[0].blocked
            await asyncio.sleep(1.5)
            for each in ledgers:
                assert not each.blocked
                assert not each.crashes
            for each_instance in (1, 2):
                reply = await fleet.send(each_instance, body=b'x')
                assert reply.status == 200

    asyncio.run(run())
