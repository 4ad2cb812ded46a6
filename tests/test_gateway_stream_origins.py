"""A stream goes on only at the software version that began it (ORDER)."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import model
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import records
from oleanderdrift.gateway import stream_origins
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_desk
from tests import gateway_support

RESUMABLE: typing.Final = {
    'kind': model.RouteKind.STREAMING,
    'resumable': True,
}
WHOLE: typing.Final = replica.Stream(events=6)
CUT: typing.Final = replica.Stream(events=6, cut_after=2)
# Placement avoids an upstream with as many requests where it can.
BUSY: typing.Final = 200
EARLIER_REFUSAL: typing.Final = (
    b'HTTP/1.1 503 Answer\r\nNot-Executed: 1\r\nAttempt-Id: q1\r\n'
    b'Content-Length: 4\r\n\r\nfull'
)
EARLIER_ANSWER: typing.Final = (
    b'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: q1\r\n'
    b'Content-Length: 4\r\n\r\ndone'
)
NO_REPORT: typing.Final = b'HTTP/1.1 500 Answer\r\nContent-Length: 0\r\n\r\n'
V1: typing.Final = stream_origins.Origin(service='guide', version='v1')
V2: typing.Final = stream_origins.Origin(service='guide', version='v2')


def set_version(
    harness: gateway_desk.Harness, number: int, **changes: typing.Any
) -> None:
    """Lets a replica be of another version, or other in its entry."""
    harness.forwarder.board.upstreams.put(
        gateway_support.entry(
            f'u{number}', port=harness.replicas[number].port, **changes
        )
    )


@contextlib.asynccontextmanager
async def run_versions(
    *versions: str,
    behaviours: dict[int, replica.Behaviour] | None = None,
    **route: typing.Any,
) -> collections.abc.AsyncIterator[gateway_desk.Harness]:
    """Runs one replica for each version; they send whole streams."""
    scripts = [
        [(behaviours or {}).get(place, WHOLE)]
        for place in range(len(versions))
    ]
    async with gateway_desk.run_harness(
        *scripts, route={**RESUMABLE, **route}
    ) as harness:
        for place, version in enumerate(versions):
            set_version(harness, place, version=version)
        await harness.forwarder.origins.update(now())
        yield harness


def now() -> float:
    """Returns the present time, later than any review of origins."""
    return asyncio.get_running_loop().time() + origin_log.REVIEW_INTERVAL_S


def load(harness: gateway_desk.Harness, *busy: int) -> None:
    """Makes placement avoid some replicas."""
    for place in range(len(harness.replicas)):
        one = harness.forwarder.board.upstreams.by_id[f'u{place}']
        one.own_requests = BUSY if place in busy else 0


def lose_memory(harness: gateway_desk.Harness) -> None:
    """Replaces the instance by one that has just started."""
    board = harness.forwarder.board
    board.origins = stream_origins.StreamOrigins()
    harness.forwarder = forwarder.Forwarder(
        board, codec.PlatformCodec(), harness.log, event_log.EventLog()
    )


async def continue_stream(
    harness: gateway_desk.Harness, resumes: str | None = 'q1'
) -> gateway_desk.RecordingReply:
    """Continues a stream after its second event, as callers do."""
    return await harness.send_request(
        request_id='q2', resumes=resumes, last_event_id='2'
    )


def served(harness: gateway_desk.Harness, place: int) -> int:
    """Returns how many requests a replica has got."""
    return len(harness.replicas[place].received)


def check_refused(
    harness: gateway_desk.Harness, reply: gateway_desk.RecordingReply
) -> None:
    """Checks that a request was refused at once and reached no replica."""
    assert reply.status == 503
    assert float(reply.headers['retry-after']) < 1
    assert not any(
        one.headers['attempt-id'] == 'q2'
        for each in harness.replicas
        for one in each.received
    )


@pytest.mark.parametrize('remembers', [True, False])
def test_caller_goes_on_at_the_version_that_began_its_stream(
    remembers: bool,
) -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            load(harness, 1)
            await harness.send_request()
            assert served(harness, 0) == 1
            await harness.forwarder.origins.update(now())
            if not remembers:
                lose_memory(harness)
            load(harness, 0)
            reply = await continue_stream(harness)
            assert (served(harness, 0), served(harness, 1)) == (2, 0)
            assert reply.body.startswith(b'id: 3\n')

    asyncio.run(scenario())


def test_instance_does_not_join_two_versions_in_one_answer() -> None:
    async def scenario() -> None:
        async with run_versions(
            'v1', 'v2', behaviours={0: CUT}, attempts=3
        ) as harness:
            load(harness, 1)
            task = asyncio.create_task(harness.send_request())
            while not served(harness, 0):
                await asyncio.sleep(0)
            await harness.replicas[0].stop()
            reply = await task
            assert reply.ended == 'aborted'
            assert served(harness, 1) == 0

    asyncio.run(scenario())


def test_stream_that_no_store_record_names_does_not_go_on() -> None:
    """All instances lost power before it was recorded."""

    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            await harness.send_request()
            lose_memory(harness)
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


def test_stream_without_the_name_of_its_first_request_does_not_go_on() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            await harness.send_request()
            await harness.forwarder.origins.update(now())
            check_refused(harness, await continue_stream(harness, None))

    asyncio.run(scenario())


def test_all_streams_go_on_while_one_version_alone_has_served() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v1') as harness:
            await harness.send_request()
            await harness.forwarder.origins.update(now())
            assert not harness.log.data
            lose_memory(harness)
            reply = await continue_stream(harness)
            assert reply.ended == 'complete'
            assert reply.body.startswith(b'id: 3\n')

    asyncio.run(scenario())


def test_stream_begun_before_a_release_goes_on_or_ends() -> None:
    """The new version comes into service after the stream has begun."""

    async def scenario() -> None:
        async with run_versions('v1', 'v1') as harness:
            load(harness, 1)
            await harness.send_request()
            set_version(harness, 1, version='v2', born_ms=2)
            await harness.forwarder.origins.update(now())
            lose_memory(harness)
            load(harness, 0)
            await continue_stream(harness)
            assert (served(harness, 0), served(harness, 1)) == (2, 0)

    asyncio.run(scenario())


def test_stream_of_a_version_that_has_left_is_refused_at_once() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(now())
            board = harness.forwarder.board
            board.upstreams.remove('u0', now())
            lose_memory(harness)
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


def test_version_replaced_while_all_instances_were_down() -> None:
    """Nobody saw both versions; what is unrecorded is of either."""

    async def scenario() -> None:
        async with run_versions('v1') as harness:
            await harness.send_request()
            lose_memory(harness)
            set_version(harness, 0, version='v2', born_ms=2)
            await harness.forwarder.origins.update(now())
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


def test_stream_does_not_follow_its_route_to_another_service() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v1') as harness:
            load(harness, 1)
            await harness.send_request()
            board = harness.forwarder.board
            assert board.config is not None
            set_version(harness, 1, service='desk', born_ms=2)
            moved = gateway_support.route(
                **RESUMABLE,
                services=(model.WeightedService(service='desk', weight=1.0),),
            )
            desk = model.Service(
                name='desk', tokens_per_event=1, is_engine=True
            )
            board.config = gateway_support.config(
                routes=(moved,),
                services={**board.config.services, 'desk': desk},
            )
            await harness.forwarder.origins.update(now())
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


def test_split_route_continues_a_stream_at_its_service() -> None:
    async def scenario() -> None:
        both = (
            model.WeightedService(service='guide', weight=1e-9),
            model.WeightedService(service='desk', weight=1.0),
        )
        async with run_versions('v1', 'v1', services=both) as harness:
            board = harness.forwarder.board
            assert board.config is not None
            set_version(harness, 1, service='desk', born_ms=2)
            desk = model.Service(
                name='desk', tokens_per_event=1, is_engine=True
            )
            board.config.services['desk'] = desk
            await harness.forwarder.origins.update(now())
            board.origins.note_begun('q1', V1)
            await continue_stream(harness)
            assert (served(harness, 0), served(harness, 1)) == (1, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize('remembers', [True, False])
def test_instance_that_has_lost_the_store_knows_its_own_streams(
    remembers: bool,
) -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(now())
            if not remembers:
                lose_memory(harness)
            harness.log.failure = errors.ResultError(
                codes.LOG_UNAVAILABLE, 'down'
            )
            reply = await continue_stream(harness)
            if remembers:
                assert (served(harness, 0), served(harness, 1)) == (2, 0)
            else:
                check_refused(harness, reply)

    asyncio.run(scenario())


@pytest.mark.parametrize('partition', origin_log.PARTITIONS)
def test_one_failing_partition_loses_no_stream(partition: int) -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            harness.log.failing_partitions = {
                (records.STREAM_TOPIC, partition)
            }
            load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(now())
            lose_memory(harness)
            load(harness, 0)
            await continue_stream(harness)
            assert (served(harness, 0), served(harness, 1)) == (2, 0)

    asyncio.run(scenario())


def test_no_stream_begins_at_a_version_before_the_store_lists_it() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v1') as harness:
            harness.log.failing_puts = True
            set_version(harness, 1, version='v2', born_ms=2)
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(now())
            load(harness, 0)
            await harness.send_request()
            assert (served(harness, 0), served(harness, 1)) == (1, 0)
            harness.log.failing_puts = False
            await harness.forwarder.origins.update(now())
            load(harness, 0)
            await harness.send_request(request_id='q3')
            assert served(harness, 1) == 1

    asyncio.run(scenario())


def test_streams_that_could_not_be_recorded_are_recorded_later() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            load(harness, 1)
            await harness.send_request()
            harness.log.failing_partitions = {
                (records.STREAM_TOPIC, one) for one in origin_log.PARTITIONS
            }
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.record_streams()
            harness.log.failing_partitions = set()
            await harness.forwarder.origins.record_streams()
            lose_memory(harness)
            assert await harness.forwarder.origins.find('q1') == V1

    asyncio.run(scenario())


def test_streams_are_recorded_while_no_version_can_be_listed() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2', 'v2') as harness:
            load(harness, 1, 2)
            await harness.send_request()
            harness.log.failing_puts = True
            set_version(harness, 2, version='v3', born_ms=2)
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(now())
            lose_memory(harness)
            assert await harness.forwarder.origins.find('q1') == V1

    asyncio.run(scenario())


def test_record_that_is_on_its_way_is_waited_for() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            task = asyncio.create_task(origins.find('q9'))
            await asyncio.sleep(origins.interval_s())
            data = records.encode(records.StreamsBegun('guide', 'v2', ['q9']))
            await harness.log.append(records.STREAM_TOPIC, 1, [data])
            assert await task == V2
            assert await origins.find('q8') is None

    asyncio.run(scenario())


def test_long_history_is_read_from_near_its_end() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            old, recent = (
                records.encode(records.StreamsBegun('guide', 'v2', [name]))
                for name in ('q8', 'q9')
            )
            kept = origins.max_read_records()
            await harness.log.append(
                records.STREAM_TOPIC, 0, [old] + [recent] * kept
            )
            assert await origins.find('q9') == V2
            assert await origins.find('q8') is None

    asyncio.run(scenario())


def test_version_is_unlisted_once_nobody_can_continue_its_streams() -> None:
    async def scenario() -> None:
        async with run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            harness.forwarder.board.upstreams.remove('u0', now())
            for later_s, listed in (
                (stream_origins.RETENTION_S / 2, {V1, V2}),
                (stream_origins.RETENTION_S * 1.1, {V2}),
            ):
                await origins.update(now() + later_s)
                assert await origins.list_reads.get() == listed
            set_version(harness, 0, version='v1', born_ms=3)
            await origins.update(now() + stream_origins.RETENTION_S * 1.2)
            assert await origins.list_reads.get() == {V1, V2}

    asyncio.run(scenario())


def test_upstream_restarted_under_its_id_gets_no_stream_of_before() -> None:
    """Its entry is still that of the start before, with other software."""

    async def scenario() -> None:
        async with run_versions('v1') as harness:
            await harness.send_request()
            (kept,) = harness.forwarder.attempts.pool.idle.values()
            for connection in kept:
                connection.close()
            harness.replicas[0].born_ms = 2
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'before',
    [
        pytest.param(EARLIER_REFUSAL, id='refusal written again'),
        pytest.param(EARLIER_ANSWER, id='answer written again'),
        pytest.param(NO_REPORT, id='failure of its own'),
    ],
)
def test_another_answer_is_not_taken_for_the_report(before: bytes) -> None:
    """Its start is another one than the entry's, as its report would say."""

    async def scenario() -> None:
        async with run_versions('v1') as harness:
            await harness.send_request()
            harness.replicas[0].born_ms = 2
            harness.replicas[0].before_report = before
            check_refused(harness, await continue_stream(harness))

    asyncio.run(scenario())


def test_stream_does_not_run_twice_while_its_upstream_reports_nothing() -> (
    None
):
    """The upstream may still work on it, and only one may run it."""

    async def scenario() -> None:
        async with run_versions(
            'v1', 'v1', behaviours={0: CUT}, attempts=1
        ) as harness:
            load(harness, 1)
            harness.replicas[0].silent_report = True
            reply = await harness.send_request()
            assert reply.ended == 'aborted'
            assert (served(harness, 0), served(harness, 1)) == (1, 0)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('body', 'born_ms'),
    [
        (b'{"born": 5, "Busy": false}', 5),
        (b'{}', None),
        (b'{"born": "5"}', None),
        (b'not json', None),
        (b'', None),
    ],
)
def test_report_says_when_an_upstream_started(
    body: bytes, born_ms: int | None
) -> None:
    assert codec.PlatformCodec().decode_report(body) == born_ms


def test_upstream_is_asked_once_for_each_connection() -> None:
    async def scenario() -> None:
        async with run_versions('v1') as harness:
            await harness.send_request()
            await continue_stream(harness)
            # From now on it would say that it has started again.
            harness.replicas[0].born_ms = 2
            reply = await continue_stream(harness)
            assert reply.ended == 'complete'
            assert harness.replicas[0].connections == 1

    asyncio.run(scenario())


def test_memory_of_streams_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origins, 'MAX_STREAMS', 3)
    origins = stream_origins.StreamOrigins()
    for number in range(9):
        origins.note_begun(f'q{number}', V1)
    assert (
        list(origins.begun) == list(origins.unrecorded) == ['q6', 'q7', 'q8']
    )
    origins.put_back({'q1': V1, 'q7': V1})
    assert set(origins.unrecorded) == {'q6', 'q7', 'q8'}
