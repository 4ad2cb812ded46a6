"""Callers of an instance that has lost its links to the upstreams."""

import asyncio
import collections
import typing

import pytest

from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_fleet
from tests import gateway_support
from tests import path_fleet

Cut: typing.TypeAlias = path_fleet.Cut

CUTS: typing.Final = (Cut.HANG, Cut.RESET, Cut.REFUSE)
ONCE: typing.Final = gateway_support.route(kind=model.RouteKind.NON_IDEMPOTENT)
RESUMABLE: typing.Final = gateway_support.route(resumable=True, attempts=2)
RETAINED: typing.Final = gateway_support.route(retains=True)
DONE: typing.Final = replica.CompleteResponse()
# Well below the time that connecting to all upstreams would take.
AT_ONCE_S: typing.Final = 0.1
# Callers who leave have their upstream stop within this time.
STOP_S: typing.Final = 0.5


@pytest.mark.parametrize('cut', CUTS, ids=lambda one: one.value)
@pytest.mark.parametrize(
    ('route', 'behaviour'),
    [
        (gateway_fleet.CALLS, DONE),
        (ONCE, DONE),
        (gateway_support.route(), replica.Stream()),
        (RESUMABLE, replica.Stream()),
    ],
    ids=['call', 'once', 'stream', 'resumable'],
)
def test_callers_of_an_instance_cut_off_are_refused(
    cut: path_fleet.Cut, route: model.Route, behaviour: replica.Behaviour
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            behaviour, behaviour, route=route
        ) as paths:
            await paths.warm()
            paths.cut(cut)
            first = asyncio.create_task(paths.send())
            await asyncio.sleep(path_fleet.NOTICED_S)
            answers = await paths.send_many(10)
            others = await paths.send_many(10, instance=1)
            assert [one.reply.status for one in others] == [200] * 10
            assert [one.reply.status for one in answers] == [200] * 10
            assert max(one.elapsed_s for one in answers) < 0.25
            paths.cut(Cut.NONE)
            await first
            if route.kind is not model.RouteKind.IDEMPOTENT:
                counts = collections.Counter(paths.runs())
                assert set(counts.values()) == {1}

    asyncio.run(scenario())


@pytest.mark.parametrize('cut', CUTS, ids=lambda one: one.value)
def test_request_that_hangs_is_not_moved_to_a_peer(
    cut: path_fleet.Cut,
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            await paths.warm()
            paths.cut(cut)
            answers = await asyncio.gather(*[paths.send() for _ in range(6)])
            assert [one.reply.status for one in answers] == [200] * 6
            assert max(one.elapsed_s for one in answers) < 1.0

    asyncio.run(scenario())


def test_request_that_may_have_run_is_sent_again_by_a_lost_path() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            replica.Silent(), replica.Silent(), route=ONCE
        ) as paths:
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            paths.cut(Cut.HANG)
            path = [paths.upstream(number).path for number in (0, 1)]
            await path_fleet.wait_until(
                lambda: any(one.loss is not None for one in path)
            )
            await asyncio.sleep(0.3)
            assert not sent.done()
            paths.cut(Cut.RESET)
            answer = await sent
            assert answer.reply.status == 502
            assert len(paths.runs()) == 1

    asyncio.run(scenario())


def test_turn_that_hangs_keeps_its_program_waiting() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            replica.Silent(), route=RETAINED
        ) as paths:
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            paths.cut(Cut.HANG)
            async with asyncio.timeout(path_fleet.NOTICED_S):
                answer = await sent
            assert answer.reply.status == 502
            assert len(paths.runs()) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('cut', [Cut.HANG, Cut.RESET], ids=['hang', 'reset'])
def test_stream_ends_with_the_direct_path(cut: path_fleet.Cut) -> None:
    async def scenario() -> None:
        stream = replica.Stream(events=40, pause_s=0.02)
        async with path_fleet.run_paths(
            stream, stream, route=RESUMABLE
        ) as paths:
            sent = asyncio.create_task(paths.send())
            await asyncio.sleep(0.3)
            paths.cut(cut)
            answer = await sent
            assert answer.reply.ended == 'complete'
            events = answer.reply.body.split(b'\n\n')[:-1]
            expected = [
                f'id: {number}\ndata: e{number}'.encode()
                for number in range(1, 41)
            ]
            assert events == expected

    asyncio.run(scenario())


def test_kept_turn_over_a_tunnel_is_not_stored_once() -> None:
    async def scenario() -> None:
        stream = replica.Stream()
        async with path_fleet.run_paths(
            stream, stream, route=RETAINED
        ) as paths:
            paths.cut(Cut.REFUSE)
            turn: dict[str, typing.Any] = {
                'token_budget': 900,
                'max_tokens': 80,
                'program_id': 'p',
            }
            await paths.send(body=b'one', **turn)
            before = stored_records(paths)
            await paths.send(1, body=b'two', previous_turn='q1', **turn)
            await paths.send(body=b'three', previous_turn='q2', **turn)
            bodies = [
                each.body
                for one in paths.fleet.replicas
                for each in one.received
            ]
            answer = b'e1\ne2\ne3\ne4\n'
            assert sorted(bodies, key=len) == [
                b'one',
                b'one' + answer + b'two',
                b'one' + answer + b'two' + answer + b'three',
            ]
            log = paths.fleet.forwarders[0].turns.log
            assert isinstance(log, gateway_support.MemoryLog)
            direct = await records_of_a_direct_turn()
            assert before == direct

    asyncio.run(scenario())


def stored_records(paths: path_fleet.PathFleet) -> dict[str, int]:
    """Returns the number of records in the log by topic."""
    log = paths.fleet.forwarders[0].turns.log
    assert isinstance(log, gateway_support.MemoryLog)
    counts: collections.Counter[str] = collections.Counter()
    for (topic, _), records in log.data.items():
        counts[topic] += len(records)
    return dict(counts)


async def records_of_a_direct_turn() -> dict[str, int]:
    """Returns what one turn with a budget writes without any cut."""
    stream = replica.Stream()
    async with path_fleet.run_paths(stream, stream, route=RETAINED) as paths:
        await paths.send(
            body=b'one', token_budget=900, max_tokens=80, program_id='p'
        )
        return stored_records(paths)


def test_tokens_over_a_tunnel_are_counted_twice() -> None:
    async def statuses(cut: path_fleet.Cut) -> list[int]:
        stream = replica.Stream()
        async with path_fleet.run_paths(
            stream, stream, route=RETAINED
        ) as paths:
            paths.cut(cut)
            found = []
            # Each turn takes 4 x 14 tokens, and may take 80.
            for _ in range(5):
                answer = await paths.send(
                    token_budget=200, max_tokens=80, program_id='p'
                )
                found.append(answer.reply.status)
                log = paths.fleet.forwarders[0].turns
                await log.budgets.flush(asyncio.get_running_loop().time())
            return found

    async def scenario() -> None:
        expected = [200, 200, 200, 200, 402]
        assert await statuses(Cut.NONE) == expected
        assert await statuses(Cut.REFUSE) == expected

    asyncio.run(scenario())


def test_upstream_works_on_for_a_caller_that_left_a_tunnel() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            replica.Silent(), replica.Silent(), route=ONCE
        ) as paths:
            paths.cut(Cut.REFUSE)
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            sent.cancel()
            await path_fleet.wait_until(
                lambda: sum(one.closed for one in paths.fleet.replicas) == 1,
                STOP_S,
            )

    asyncio.run(scenario())


def test_only_the_upstreams_cut_off_are_reached_through_peers() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE, DONE) as paths:
            await paths.warm()
            paths.close_idle()
            paths.cut(Cut.HANG, paths.ports[:1])
            connections = paths.fleet.forwarders[0].attempts.connections
            now = asyncio.get_running_loop().time()
            carried = await connections.acquire(paths.upstream(0), now)
            assert carried.via
            connections.release(paths.upstream(0), carried, now)
            assert paths.upstream(0).path.confirmed
            await asyncio.sleep(path_fleet.NOTICED_S)
            answers = await paths.send_many(10)
            assert [one.reply.status for one in answers] == [200] * 10
            lost = paths.fleet.forwarders[0].board.lost_paths
            assert list(lost) == ['u0']

    asyncio.run(scenario())


def test_upstreams_of_a_data_centre_cut_off_here_are_taken_for_silent() -> (
    None
):
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            board = paths.fleet.forwarders[0].board
            await paths.warm()
            paths.cut(Cut.HANG, paths.ports[1:])
            await asyncio.sleep(path_fleet.NOTICED_S)
            now = asyncio.get_running_loop().time()
            assert board.unreachable_data_centres(now) == frozenset()
            answers = await paths.send_many(10)
            assert [one.reply.status for one in answers] == [200] * 10

    asyncio.run(scenario())


@pytest.mark.parametrize('cut', CUTS, ids=lambda one: one.value)
def test_end_of_a_cut_is_not_noticed(cut: path_fleet.Cut) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            await paths.warm()
            paths.close_idle()
            paths.cut(cut)
            await asyncio.gather(*[paths.send() for _ in range(6)])
            await asyncio.sleep(path_fleet.NOTICED_S)
            board = paths.fleet.forwarders[0].board
            assert board.lost_paths
            before = len(paths.runs())
            paths.cut(Cut.NONE)
            await path_fleet.wait_until(lambda: not board.lost_paths)
            assert len(paths.runs()) == before
            await path_fleet.wait_until(
                lambda: not any(one.open for one in paths.servers)
            )
            assert (await paths.send()).reply.status == 200
            assert not any(one.open for one in paths.servers)

    asyncio.run(scenario())


def test_idle_connections_are_reset_one_after_the_other() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, route=ONCE) as paths:
            await paths.warm()
            pool = paths.fleet.forwarders[0].attempts.pool
            assert len(pool.idle[paths.upstream(0).key()]) > 3
            paths.cut(Cut.RESET_LATER)
            first = await paths.send()
            assert first.reply.status == 502
            await path_fleet.wait_until(
                lambda: paths.upstream(0).path.confirmed, 0.5
            )
            answers = await paths.send_many(5)
            assert [one.reply.status for one in answers] == [200] * 5

    asyncio.run(scenario())


def test_connections_that_live_on_are_given_up() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            await paths.warm()
            paths.cut(Cut.REFUSE)
            opened = paths.fleet.forwarders[0].attempts.connections
            answers = await paths.send_many(5)
            assert [one.reply.status for one in answers] == [200] * 5
            assert opened.tunnels_opened == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('route', 'status'), [(ONCE, 502), (gateway_fleet.CALLS, 200)]
)
def test_request_whose_tunnel_breaks_is_said_not_to_have_run(
    route: model.Route, status: int
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            replica.Silent(), route=route
        ) as paths:
            paths.cut(Cut.REFUSE)
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            paths.fleet.replicas[0].behaviours = [DONE]
            for server in paths.servers:
                for one in list(server.open):
                    assert one.transport is not None
                    one.transport.abort()
            answer = await sent
            assert answer.reply.status == status

    asyncio.run(scenario())


def test_peer_that_is_cut_off_as_well_holds_requests() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            await paths.warm()
            for instance in (0, 1):
                paths.cut(Cut.HANG, instance=instance)
            await asyncio.gather(
                *[paths.send(number % 2) for number in range(8)]
            )
            await asyncio.sleep(path_fleet.NOTICED_S)
            for instance in (0, 1):
                answers = await paths.send_many(5, instance=instance)
                assert [one.reply.status for one in answers] == [200] * 5
                assert max(one.elapsed_s for one in answers) < AT_ONCE_S

    asyncio.run(scenario())


@pytest.mark.parametrize('cut', CUTS, ids=lambda one: one.value)
def test_request_that_nobody_can_serve_waits(cut: path_fleet.Cut) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE, DONE, DONE) as paths:
            await paths.warm()
            paths.close_idle()
            for instance in range(3):
                paths.cut(cut, instance=instance)
            await asyncio.gather(
                *[paths.send(number % 3) for number in range(24)]
            )
            await asyncio.sleep(path_fleet.NOTICED_S)
            answer = await paths.send()
            assert answer.reply.status == 503
            assert answer.elapsed_s < AT_ONCE_S

    asyncio.run(scenario())


def test_only_an_instance_cut_off_publishes_what_it_lost() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            peers = paths.fleet.forwarders[1].board.tunnel_peers.by_name
            assert peers['north-0'].unreachable == frozenset()
            paths.cut(Cut.HANG)
            await paths.send()
            await asyncio.sleep(path_fleet.NOTICED_S)
            assert 'u0' in peers['north-0'].unreachable
            assert peers['north-2'].unreachable == frozenset()

    asyncio.run(scenario())


def test_sound_upstream_that_is_silent_for_a_second_is_given_up() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(
            replica.Silent(), route=gateway_fleet.CALLS
        ) as paths:
            sent = asyncio.create_task(paths.send())
            await asyncio.sleep(1.2)
            assert not sent.done()
            assert len(paths.runs()) == 1
            assert paths.upstream(0).path.loss is None
            # One probe for the silence, and one more a second later.
            assert paths.links[0].tries <= 3
            sent.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('crashes', 'cut_instances', 'expected'),
    [
        (False, (0,), crash_detector.WitnessAnswer.REACHED),
        (False, (0, 1), crash_detector.WitnessAnswer.REACHED),
        (True, (), crash_detector.WitnessAnswer.REFUSED),
        (True, (0,), crash_detector.WitnessAnswer.REFUSED),
    ],
)
@pytest.mark.parametrize('asked_before', [False, True])
def test_witnesses_take_an_instance_cut_off_for_a_crash(
    crashes: bool,
    cut_instances: tuple[int, ...],
    expected: crash_detector.WitnessAnswer,
    asked_before: bool,
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE) as paths:
            for instance in cut_instances:
                paths.cut(Cut.REFUSE, instance=instance)
            if crashes:
                paths.fleet.replicas[0].crash()
            if asked_before:
                await paths.send()
            connections = paths.fleet.forwarders[0].attempts.connections
            assert await connections.witness(paths.upstream(0)) is expected

    asyncio.run(scenario())


def test_witnesses_that_are_not_there_say_that_it_crashed() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, instances=1) as paths:
            connections = paths.fleet.forwarders[0].attempts.connections
            answer = await connections.witness(paths.upstream(0))
            assert answer is crash_detector.WitnessAnswer.NO_ANSWER

    asyncio.run(scenario())


def test_request_hangs_in_a_tunnel_that_carries_nothing() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(replica.Silent()) as paths:
            paths.cut(Cut.REFUSE)
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            paths.fleet.replicas[0].behaviours = [DONE]
            (carrier,) = [
                number for number, one in enumerate(paths.servers) if one.open
            ]
            paths.cut(Cut.HANG, instance=carrier)
            async with asyncio.timeout(1.2):
                answer = await sent
            assert answer.reply.status == 200

    asyncio.run(scenario())


def test_idle_tunnels_stay_open_through_a_peer_that_leaves() -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE) as paths:
            paths.cut(Cut.REFUSE)
            assert (await paths.send()).reply.status == 200
            (carrier,) = [
                number for number, one in enumerate(paths.servers) if one.open
            ]
            paths.fleet.forwarders[carrier].board.stopping = True
            await path_fleet.wait_until(
                lambda: not paths.servers[carrier].open, 0.5
            )
            assert (await paths.send()).reply.status == 200
            assert not paths.servers[carrier].open

    asyncio.run(scenario())


def test_end_of_a_peer_that_carries_is_blamed_on_upstreams() -> None:
    async def play() -> None:
        silent = [replica.Silent()] * 3
        async with path_fleet.run_paths(*silent, instances=2) as paths:
            paths.cut(path_fleet.Cut.REFUSE)
            sending = [
                asyncio.create_task(paths.send(body=b'%d' % number))
                for number in range(6)
            ]
            await path_fleet.wait_until(lambda: len(paths.runs()) >= 6)
            paths.servers[1].close()
            # Their connections break, and other tries follow.
            await asyncio.sleep(0.15)
            failures = [paths.upstream(number).failures for number in range(3)]
            assert failures == [0, 0, 0]
            for task in sending:
                task.cancel()

    asyncio.run(play())


def test_deadly_request_goes_on_at_an_instance_whose_links_hang() -> None:
    async def play() -> None:
        behaviours = [replica.CompleteResponse()] * 6
        async with path_fleet.run_paths(*behaviours) as paths:
            paths.connect_without_relay()
            await paths.warm()
            paths.cut(path_fleet.Cut.HANG)
            paths.close_idle()
            await asyncio.gather(*[paths.send() for _ in range(8)])
            for each in paths.fleet.replicas:
                each.deadly_body = b'deadly'
            for _ in range(4):
                await paths.send(body=b'deadly')
            ended = sum(each.crashes for each in paths.fleet.replicas)
            assert ended <= crash_ledger.CERTAIN_CRASHES

    asyncio.run(play())
