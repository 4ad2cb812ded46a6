"""What the store keeps of the origins of streams."""

import asyncio
import typing

import pytest

from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import records
from oleanderdrift.gateway import stream_origins
from oleanderdrift.gateway import write_pace
from tests import gateway_desk
from tests import gateway_support
from tests import gateway_versions

# What needs no timer and no socket is done after as many.
LOOP_TURNS: typing.Final = 100
UNLISTED_AFTER_S: typing.Final = (
    stream_origins.MIN_RETENTION_S + stream_origins.UNLIST_MARGIN_S + 2.0
)
PACED_S: typing.Final = 30.0
BOTH: typing.Final = {gateway_versions.V1, gateway_versions.V2}


async def listed(
    harness: gateway_desk.Harness,
) -> frozenset[stream_origins.Origin]:
    """Returns the versions that the store lists."""
    found = await harness.forwarder.origins.list_reads.get()
    return found.origins


async def let_others_run() -> None:
    """Lets tasks go on that wait for nothing but each other."""
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


def test_stream_that_no_store_record_names_does_not_go_on() -> None:
    """All instances lost power before it was recorded."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            await harness.send_request()
            gateway_versions.lose_memory(harness)
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


@pytest.mark.parametrize('partition', origin_log.PARTITIONS)
def test_one_failing_partition_loses_no_stream(partition: int) -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            harness.log.failing_partitions = {
                (records.STREAM_TOPIC, partition)
            }
            gateway_versions.load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.lose_memory(harness)
            gateway_versions.load(harness, 0)
            await gateway_versions.continue_stream(harness)
            assert gateway_versions.served_each(harness) == [2, 0]

    asyncio.run(scenario())


def test_no_stream_begins_at_a_version_before_the_store_lists_it() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            harness.log.failing_puts = True
            gateway_versions.set_version(harness, 1, version='v2', born_ms=2)
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.load(harness, 0)
            await harness.send_request()
            assert gateway_versions.served_each(harness) == [1, 0]
            harness.log.failing_puts = False
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.load(harness, 0)
            await harness.send_request(request_id='q3')
            assert gateway_versions.served(harness, 1) == 1

    asyncio.run(scenario())


def test_streams_that_could_not_be_recorded_are_recorded_later() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            harness.log.failing_partitions = {
                (records.STREAM_TOPIC, one) for one in origin_log.PARTITIONS
            }
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(gateway_versions.now())
            harness.log.failing_partitions = set()
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.lose_memory(harness)
            assert (
                await harness.forwarder.origins.find('q1')
                == gateway_versions.V1
            )

    asyncio.run(scenario())


def test_streams_are_recorded_while_no_version_can_be_listed() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2', 'v2') as harness:
            gateway_versions.load(harness, 1, 2)
            await harness.send_request()
            harness.log.failing_puts = True
            gateway_versions.set_version(harness, 2, version='v3', born_ms=2)
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.lose_memory(harness)
            assert (
                await harness.forwarder.origins.find('q1')
                == gateway_versions.V1
            )

    asyncio.run(scenario())


@pytest.mark.parametrize('instances', [9, 195])
def test_stream_is_recorded_as_soon_as_it_has_begun(instances: int) -> None:
    """Its instance may be lost the moment after."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            harness.forwarder.board.instances = instances
            following = asyncio.create_task(harness.forwarder.origins.follow())
            await let_others_run()
            gateway_versions.load(harness, 1)
            await harness.send_request()
            await let_others_run()
            following.cancel()
            gateway_versions.lose_memory(harness)
            found = await harness.forwarder.origins.find('q1')
            assert found == gateway_versions.V1

    asyncio.run(scenario())


@pytest.mark.parametrize('interval_s', [0.02, 0.3])
@pytest.mark.parametrize('wanted_per_s', [1.0, 100.0])
def test_records_stay_within_the_share_of_writes(
    interval_s: float, wanted_per_s: float
) -> None:
    pace = write_pace.WritePace()
    written = [0.0]
    now = 0.0
    while now < PACED_S:
        now = max(now + 1 / wanted_per_s, written[-1])
        now += pace.wait_s(interval_s, now)
        pace.note_write(interval_s, now)
        written.append(now)
    allowed = PACED_S / interval_s + write_pace.BURST_WRITES + 1
    assert len(written) - 1 <= allowed
    assert len(written) - 1 >= min(PACED_S * wanted_per_s, allowed) * 0.9


def test_record_that_is_on_its_way_is_waited_for() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            task = asyncio.create_task(origins.find('q9'))
            await asyncio.sleep(origins.interval_s())
            data = records.encode(
                records.StreamsBegun(
                    'guide', 'v2', [stream_origins.stream_key('q9')]
                )
            )
            await harness.log.append(records.STREAM_TOPIC, 1, [data])
            assert await task == gateway_versions.V2
            assert await origins.find('q8') is None

    asyncio.run(scenario())


def test_long_history_is_read_from_near_its_end() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            old, recent = (
                records.encode(
                    records.StreamsBegun(
                        'guide', 'v2', [stream_origins.stream_key(name)]
                    )
                )
                for name in ('q8', 'q9')
            )
            kept = origins.max_read_records()
            await harness.log.append(
                records.STREAM_TOPIC, 0, [old] + [recent] * kept
            )
            assert await origins.find('q9') == gateway_versions.V2
            assert await origins.find('q8') is None

    asyncio.run(scenario())


def test_version_is_unlisted_once_nobody_can_continue_its_streams() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            left_at = gateway_versions.now()
            harness.forwarder.board.upstreams.remove('u0', left_at)
            middle = left_at + stream_origins.MIN_RETENTION_S / 2
            await gateway_versions.pass_time(harness, left_at, middle)
            assert await listed(harness) == BOTH
            end = left_at + UNLISTED_AFTER_S
            await gateway_versions.pass_time(harness, middle, end)
            assert await listed(harness) == {gateway_versions.V2}
            gateway_versions.set_version(harness, 0, version='v1', born_ms=3)
            await gateway_versions.pass_time(harness, end, end + 2)
            assert await listed(harness) == BOTH

    asyncio.run(scenario())


@pytest.mark.parametrize('read_first', [True, False])
def test_instance_that_was_paused_unlists_no_version(read_first: bool) -> None:
    """A version may have come back and left again meanwhile."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            origins = harness.forwarder.origins
            left_at = gateway_versions.now()
            harness.forwarder.board.upstreams.remove('u0', left_at)
            await gateway_versions.pass_time(harness, left_at, left_at + 2)
            resumed_at = left_at + stream_origins.MIN_RETENTION_S * 2
            if read_first:
                harness.forwarder.board.origins.note_view(resumed_at)
            await origins.update(resumed_at)
            assert await listed(harness) == BOTH
            end = resumed_at + UNLISTED_AFTER_S
            await gateway_versions.pass_time(harness, resumed_at, end)
            assert await listed(harness) == {gateway_versions.V2}

    asyncio.run(scenario())


def test_version_stays_listed_while_a_long_stream_can_go_on() -> None:
    """A caller may try several times for its route's timeout."""
    long = gateway_support.route(
        kind=model.RouteKind.STREAMING, resumable=True, timeout_s=300.0
    )
    plain = gateway_support.route(
        kind=model.RouteKind.NON_IDEMPOTENT, timeout_s=900.0
    )
    origins = stream_origins.StreamOrigins()
    origins.configure(gateway_support.config(routes=(long, plain)))
    origins.configure(gateway_support.config())
    kept_s = round(long.timeout_s * stream_origins.CALLER_TRIES)
    unlisted_s = kept_s + round(stream_origins.UNLIST_MARGIN_S) + 1
    origins.note_begun('q1', gateway_versions.V1, 0.0)
    origins.note_listed(BOTH, 0.0)
    for at in range(unlisted_s + 1):
        origins.note_view(at)
        if at == kept_s:
            assert origins.unused(at) == []
            assert len(origins.take_unrecorded(at)) == 1
    assert set(origins.unused(unlisted_s)) == BOTH


def test_version_that_comes_back_is_listed_again_before_streams_begin() -> (
    None
):
    """Another instance may be about to unlist it."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            left_at = gateway_versions.now()
            harness.forwarder.board.upstreams.remove('u0', left_at)
            back_at = left_at + stream_origins.MIN_RETENTION_S + 2.0
            await gateway_versions.pass_time(harness, left_at, back_at)
            assert await listed(harness) == BOTH
            gateway_versions.set_version(harness, 0, version='v1', born_ms=3)
            one = harness.forwarder.board.upstreams.by_id['u0']
            origins = harness.forwarder.board.origins
            harness.log.failing_puts = True
            with pytest.raises(errors.ResultError):
                await harness.forwarder.origins.update(back_at)
            assert origins.of_listed([one], back_at) == []
            harness.log.failing_puts = False
            await harness.forwarder.origins.update(back_at)
            assert origins.of_listed([one], back_at) == [one]

    asyncio.run(scenario())


def test_removal_that_is_late_unlists_no_version_that_came_back() -> None:
    """Another instance has listed it again meanwhile."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            left_at = gateway_versions.now()
            harness.forwarder.board.upstreams.remove('u0', left_at)
            end = left_at + UNLISTED_AFTER_S
            harness.log.blocked_topic = records.ORIGIN_TOPIC
            late = asyncio.create_task(
                gateway_versions.pass_time(harness, left_at, end)
            )
            while not harness.log.waiting:
                await asyncio.sleep(0.001)
            gateway_versions.lose_memory(harness)
            gateway_versions.set_version(harness, 0, version='v1', born_ms=3)
            await harness.forwarder.origins.update(end)
            harness.log.gate.set()
            await late
            assert await listed(harness) == BOTH

    asyncio.run(scenario())


def test_streams_of_long_ids_are_recorded() -> None:
    """Callers choose the ids, and a record has a limit."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            gateway_versions.load(harness, 1)
            names = [f'{number}' * 500 for number in range(10, 20)]
            for name in names:
                await harness.send_request(request_id=name)
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.lose_memory(harness)
            for name in names:
                assert (
                    await harness.forwarder.origins.find(name)
                    == gateway_versions.V1
                )

    asyncio.run(scenario())


def test_streams_that_nobody_continues_are_not_recorded() -> None:
    """A second version comes after a long time with one."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            await harness.send_request(request_id='q1')
            gateway_versions.set_version(harness, 1, version='v2', born_ms=2)
            origins = harness.forwarder.origins
            later = gateway_versions.now() + stream_origins.MIN_RETENTION_S
            await origins.update(later)
            assert not any(harness.log.data.values())
            await harness.send_request(request_id='q2')
            await origins.update(gateway_versions.now())
            assert any(harness.log.data.values())

    asyncio.run(scenario())


def test_memory_of_streams_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_origins, 'MAX_STREAMS', 3)
    origins = stream_origins.StreamOrigins()
    keys = [stream_origins.stream_key(f'q{number}') for number in range(9)]
    for number in range(9):
        origins.note_begun(f'q{number}', gateway_versions.V1, 0.0)
    assert list(origins.begun) == list(origins.unrecorded) == keys[6:]
    origins.put_back(dict.fromkeys((keys[1], keys[7]), gateway_versions.V1))
    assert set(origins.unrecorded) == set(keys[6:])
