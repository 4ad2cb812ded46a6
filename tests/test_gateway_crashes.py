"""Requests that end each upstream that begins to run them."""

import asyncio
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_desk
from tests import gateway_fleet
from tests import gateway_support

DEADLY: typing.Final = b'deadly'
# The users allow so many ends, and so many tries more once all instances
# could know.
MAX_CRASHES: typing.Final = 3
ROUTES: typing.Final = {
    'stream': gateway_support.route(),
    'call': gateway_fleet.CALLS,
    'once': gateway_support.route(kind=model.RouteKind.NON_IDEMPOTENT),
    'resumable': gateway_support.route(resumable=True, attempts=3),
}


@pytest.mark.parametrize('route', ROUTES.values(), ids=ROUTES.keys())
def test_request_ends_no_more_than_three_upstreams(route: model.Route) -> None:
    async def run() -> None:
        behaviours = [replica.Stream(pause_s=0.01)] * 12
        async with gateway_fleet.run_fleet(
            3, *behaviours, route=route
        ) as fleet:
            for one in fleet.replicas:
                one.deadly_body = DEADLY
            for number in range(12):
                beside = [
                    asyncio.create_task(
                        fleet.send(each, body=f'{number} {each}'.encode())
                    )
                    for each in (0, 1, 2)
                ]
                await fleet.send(number % 3, body=DEADLY)
                await asyncio.gather(*beside)
                await asyncio.sleep(0.2)
            crashes = sum(one.crashes for one in fleet.replicas)
            assert 0 < crashes <= MAX_CRASHES

    asyncio.run(run())


def report(
    silent: str = '', answering: str = '', age_s: float = 0.0
) -> crash_ledger.CrashReport:
    """Returns a report; each word is a fingerprint."""
    return crash_ledger.CrashReport(
        age_s=age_s,
        silent=frozenset(silent.split()),
        answering=frozenset(answering.split()),
    )


def crash(
    ledger: crash_ledger.CrashLedger, *reports: crash_ledger.CrashReport
) -> None:
    """Has one upstream after the other crash, and the ledger decide."""
    for number, one in enumerate(reports):
        now = float(number)
        ledger.note_crash(f'u{number}', one, now)
        ledger.review(now + crash_ledger.SETTLE_S)


@pytest.mark.parametrize(
    ('crashes', 'blocked'),
    [
        # One crash says nothing.
        ([report('a b c')], ''),
        ([report('a')], ''),
        # Only one was open at both.
        ([report('a b c'), report('a d e')], 'a'),
        # Two were open at both; the third crash tells them apart.
        ([report('a b c'), report('a b d')], ''),
        ([report('a b c'), report('a b d'), report('a e')], 'a'),
        # The second crash of b is explained by a.
        ([report('a b c'), report('a d e'), report('a b')], 'a'),
        # Three crashes are enough in any case.
        ([report('a b')] * 3, 'a b'),
        # Requests whose answers had begun are blamed if there is no other.
        ([report('b', 'a'), report('c', 'a'), report('d', 'a')], ''),
        ([report('', 'a'), report('', 'a')], 'a'),
        # A target is blamed after three crashes, whatever the bodies.
        ([report('a tx'), report('b tx')], ''),
        ([report('a tx'), report('b tx'), report('c tx')], 'tx'),
    ],
)
def test_request_is_blamed_if_nothing_else_explains_the_crashes(
    crashes: list[crash_ledger.CrashReport], blocked: str
) -> None:
    ledger = crash_ledger.CrashLedger()
    crash(ledger, *crashes)
    assert set(ledger.blocked) == set(blocked.split())


def test_crash_that_several_instances_report_counts_once() -> None:
    ledger = crash_ledger.CrashLedger()
    for now in (0.0, 0.1, 0.2):
        ledger.note_crash('u1', report('a'), now)
    ledger.note_crash('u1', report('b'), 0.3)
    assert ledger.review(1.0) == []
    ledger.note_crash('u2', report('b'), 1.1)
    assert [one.fingerprint for one in ledger.review(2.0)] == ['b']


def test_nobody_is_blamed_before_all_instances_have_reported() -> None:
    ledger = crash_ledger.CrashLedger()
    ledger.note_crash('u1', report('a'), 0.0)
    ledger.note_crash('u2', report('a'), 1.0)
    # Another instance had one open at both as well.
    ledger.note_crash('u1', report('b'), 1.1)
    assert ledger.review(1.1) == []
    ledger.note_crash('u2', report('b'), 1.2)
    assert ledger.review(1.2 + crash_ledger.SETTLE_S) == []


def test_request_that_is_run_elsewhere_is_not_blamed() -> None:
    prints = fingerprints.Fingerprints(request='a', target='tx')
    ledger = crash_ledger.CrashLedger()
    ledger.note_success(prints)
    crash(ledger, *[report('a tx')] * 4)
    ledger.note_blocked({'a': 60.0, 'tx': 60.0}, 5.0)
    assert ledger.blocked_for_s(prints, 5.0) == 0


def test_block_ends_and_peers_do_not_extend_it() -> None:
    first, second = crash_ledger.CrashLedger(), crash_ledger.CrashLedger()
    crash(first, report('a'), report('a'))
    for step in range(2, 70):
        now = step * 1.0
        # A message takes some time.
        second.note_blocked(first.blocked_left_s(now), now + 0.3)
        first.note_blocked(second.blocked_left_s(now), now + 0.3)
    assert not first.is_blocked('a', 63.0)
    assert not second.is_blocked('a', 63.0)


def test_instance_that_starts_later_refuses_as_well() -> None:
    prints = fingerprints.Fingerprints(request='a', target='tx')
    ledger = crash_ledger.CrashLedger()
    crash(ledger, *[report('a')] * 3)
    later = crash_ledger.CrashLedger()
    later.note_blocked(ledger.blocked_left_s(30.0), 30.0)
    assert later.is_blocked('a', 31.0)
    assert later.blocked_for_s(prints, 31.0) == pytest.approx(
        2.0 + crash_ledger.CERTAIN_BLOCK_S - 31.0
    )


def test_ledger_is_bounded() -> None:
    ledger = crash_ledger.CrashLedger()
    for number in range(2 * crash_ledger.MAX_CRASHES):
        ledger.note_crash(f'u{number}', report(f'{number % 9}'), 1.0)
    assert len(ledger.crashes) <= crash_ledger.MAX_CRASHES + 1
    for number in range(2 * crash_ledger.MAX_REPORTED):
        ledger.block(f'{number}', 60.0)
    left_s = ledger.blocked_left_s(2.0)
    assert len(left_s) == crash_ledger.MAX_REPORTED
    assert f'{2 * crash_ledger.MAX_REPORTED - 1}' in left_s
    ledger.forget_old(1.0 + crash_ledger.CERTAIN_BLOCK_S + 1.0)
    assert not ledger.crashes
    assert not ledger.blocked


def test_body_that_changes_does_not_hide_a_target() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            2, *[replica.Stream()] * 8, route=ROUTES['once']
        ) as fleet:
            for one in fleet.replicas:
                one.deadly_body = DEADLY
            for number in range(8):
                await fleet.send(number % 2, body=DEADLY + b'%d' % number)
                await asyncio.sleep(0.2)
            crashes = sum(one.crashes for one in fleet.replicas)
            assert 0 < crashes <= MAX_CRASHES

    asyncio.run(run())


def test_refused_request_has_a_code_and_is_not_sent() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, replica.CompleteResponse(), route=ROUTES['once']
        ) as fleet:
            request = gateway_support.request(body=DEADLY)
            name = fingerprints.fingerprints(request, '').request
            board = fleet.forwarders[0].board
            board.crashes.block(name, float('inf'))
            reply = await fleet.send(0, body=DEADLY)
            assert reply.status == codes.REQUEST_BLOCKED.status == 503
            assert codes.REQUEST_BLOCKED.execution is codes.Execution.NOT_RUN
            assert fleet.replicas[0].received == []
            assert (await fleet.send(0, body=b'other')).status == 200

    asyncio.run(run())


@pytest.mark.parametrize(
    'behaviour', [replica.Reset(), replica.Raw(data=b'HTTP/1.1 200 OK\r\nx')]
)
def test_failure_of_one_connection_is_no_crash(
    behaviour: replica.Behaviour,
) -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, behaviour, route=ROUTES['once']
        ) as fleet:
            for _ in range(4):
                assert (await fleet.send(0, body=b'x')).status == 502
                await asyncio.sleep(2 * crash_detector.SETTLE_S)
            ledger = fleet.forwarders[0].board.crashes
            assert not ledger.crashes
            assert len(fleet.replicas[0].received) == 4

    asyncio.run(run())


@pytest.mark.parametrize('change', ['draining', 'removed'])
def test_end_of_an_upstream_that_leaves_is_no_crash(change: str) -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, replica.CompleteResponse(), route=ROUTES['once']
        ) as fleet:
            fleet.replicas[0].deadly_body = DEADLY
            board = fleet.forwarders[0].board
            sending = asyncio.create_task(fleet.send(0, body=DEADLY))
            await asyncio.sleep(0)
            upstream = board.upstreams.by_id['u0']
            if change == 'draining':
                board.upstreams.put(
                    attrs.evolve(upstream.entry, draining=True)
                )
            else:
                board.upstreams.remove('u0', clock.monotonic())
            assert (await sending).status == 502
            await asyncio.sleep(2 * crash_detector.SETTLE_S)
            assert not board.crashes.crashes

    asyncio.run(run())


def test_crash_does_not_eject_the_upstream_that_comes_back() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            2, replica.CompleteResponse(), route=ROUTES['once']
        ) as fleet:
            fleet.replicas[0].deadly_body = DEADLY
            await fleet.send(0, body=DEADLY)
            await asyncio.sleep(0.4)
            for one in fleet.forwarders:
                assert not one.board.upstreams.of_service('guide', True)
            await fleet.replicas[0].start()
            fleet.replicas[0].deadly_body = None
            for one in fleet.forwarders:
                one.board.upstreams.put(
                    gateway_support.entry(
                        'u0', port=fleet.replicas[0].port, born_ms=2
                    )
                )
                found = one.board.upstreams.by_id['u0']
                assert not found.is_ejected(clock.monotonic())
            assert (await fleet.send(1, body=b'x')).status == 200

    asyncio.run(run())


def test_upstream_that_cannot_be_reached_has_not_crashed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def time_out(*args: object) -> channel.Channel:
        raise TimeoutError

    async def run() -> None:
        async with gateway_fleet.run_fleet(
            1, replica.Reset(), route=ROUTES['once']
        ) as fleet:
            assert (await fleet.send(0, body=b'x')).status == 502
            monkeypatch.setattr(connection_pool.Pool, 'acquire', time_out)
            await asyncio.sleep(2 * crash_detector.SETTLE_S)
            assert not fleet.forwarders[0].board.crashes.crashes

    asyncio.run(run())


def test_refused_turn_reserves_no_tokens() -> None:
    async def run() -> None:
        async with gateway_desk.run_harness(
            [replica.Stream()], route={'retains': True}
        ) as harness:
            board = harness.forwarder.board
            turn = gateway_support.request(body=DEADLY)
            board.crashes.block(
                fingerprints.fingerprints(turn, 'ward').request, float('inf')
            )
            reply = await harness.send_request(
                body=DEADLY, program_id='p', token_budget=900, max_tokens=90
            )
            assert reply.status == 503
            assert harness.log.appends == 0

    asyncio.run(run())


def test_turn_that_ends_upstreams_carries_its_conversation() -> None:
    """As sent again by its caller: each gets what was said, and no more."""

    async def run() -> None:
        route = gateway_support.route(retains=True)
        behaviours = [replica.Stream(events=1)] * 4
        async with gateway_fleet.run_fleet(
            1, *behaviours, route=route
        ) as fleet:
            turn = {'program_id': 'p', 'token_budget': 900, 'max_tokens': 9}
            await fleet.send(0, body=b'one ', **turn)
            said = b'one e1\n'
            for one in fleet.replicas:
                one.deadly_body = said
            for _ in range(MAX_CRASHES):
                await fleet.send(0, body=DEADLY, previous_turn='q1', **turn)
            sent = [
                each.body for one in fleet.replicas for each in one.received
            ]
            assert sent.count(said + DEADLY) == len(sent) - 1 > 1
            assert sum(one.crashes for one in fleet.replicas) > 1

    asyncio.run(run())
