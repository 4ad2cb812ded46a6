"""Finding turns that the index has no entry for."""

import asyncio
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turn_search
from tests import turn_support
from tests import virtual_time

OUTPUT: typing.Final = bytes(2_000)


def test_unknown_turn_is_not_denied_while_a_partition_fails() -> None:
    async def scenario(fails: bool) -> codes.ResultCode:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        await turn_support.store_chain(writer, 3)
        if fails:
            _, second = writer.partitions_of('other')
            log.failing_partitions.add((records.TURN_TOPIC, second))
        with pytest.raises(errors.ResultError) as raised:
            await turn_support.make_turn_log(log, 'south-1').chain(
                'other', 'ward'
            )
        return raised.value.code

    assert virtual_time.run(scenario(True)) is codes.LOG_UNAVAILABLE
    assert virtual_time.run(scenario(False)) is codes.UNKNOWN_TURN


def test_latest_turns_are_found_first() -> None:
    """Guards against reading all that has ended to find what just has."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(400):
            await turn_support.store_turn(
                writer, f'old-{number}', output=OUTPUT
            )
        await turn_support.store_turn(writer, 'new', output=OUTPUT)
        started = turn_support.make_turn_log(log, 'south-1')
        before = log.carried
        await started.chain('new', 'ward')
        steps = 2 * turn_search.FIRST_STEP_RECORDS * 2_200
        assert log.carried - before <= 2 * turn_search.PAGE_BYTES + steps
        await started.chain('old-0', 'ward')

    virtual_time.run(scenario())


def test_records_are_read_once_for_all_that_search() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        names = [f'q{number}' for number in range(300)]
        for name in names:
            await turn_support.store_turn(writer, name, output=OUTPUT)
        started = turn_support.make_turn_log(log, 'south-1')
        before = log.carried
        await asyncio.gather(*(started.search.find(name) for name in names))
        stored = 300 * 2_000
        assert log.carried - before < 2 * stored

    virtual_time.run(scenario())


def test_search_goes_on_where_its_callers_gave_up() -> None:
    """Guards against reads that are thrown away with each caller."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(600):
            await turn_support.store_turn(writer, f'q{number}', output=OUTPUT)
        log.link_mbps = 0.5
        started = turn_support.make_turn_log(log, 'south-1')
        tries = 0
        while True:
            tries += 1
            try:
                async with asyncio.timeout(1.0):
                    await started.chain('q0', 'ward')
                break
            except TimeoutError:
                assert started.search.remaining_s('q0') > 0
                assert 'not in the index' in started.describe('q0')
                assert tries < 20
        assert tries > 1

    virtual_time.run(scenario())


def test_turns_that_have_expired_are_passed_over() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(100):
            await turn_support.store_turn(writer, f'q{number}', output=OUTPUT)
        for partition in range(turn_support.PARTITIONS):
            key = (records.TURN_TOPIC, partition)
            log.firsts[key] = len(log.data[key]) // 2
        started = turn_support.make_turn_log(log, 'south-1')
        await started.chain('q99', 'ward')
        with pytest.raises(errors.ResultError) as raised:
            await started.chain('q0', 'ward')
        assert raised.value.code is codes.UNKNOWN_TURN

    virtual_time.run(scenario())


def test_caller_that_leaves_does_not_end_shared_work() -> None:
    async def scenario() -> None:
        shared: shared_work.SharedTasks[int] = shared_work.SharedTasks()
        runs = []

        async def work() -> int:
            runs.append(1)
            await asyncio.sleep(1.0)
            return 7

        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await shared.get('key', work)
        async with asyncio.timeout(0.6):
            assert await shared.get('key', work) == 7
        assert runs == [1]
        assert await shared.get('key', work) == 7
        assert runs == [1, 1]

    virtual_time.run(scenario())


def test_work_that_has_just_ended_is_begun_again() -> None:
    """Guards against a caller that gets what was read before its call."""

    async def scenario() -> list[int]:
        shared: shared_work.SharedTasks[None] = shared_work.SharedTasks()
        runs: list[int] = []

        async def work() -> None:
            runs.append(len(runs))

        first = asyncio.create_task(shared.get('key', work))
        # Until the work has ended and nobody has been told yet.
        while not runs:
            await asyncio.sleep(0)
        await shared.get('key', work)
        await first
        assert not shared.running
        return runs

    assert virtual_time.run(scenario()) == [0, 1]


def test_too_much_shared_work_is_refused() -> None:
    async def scenario() -> None:
        shared: shared_work.SharedTasks[None] = shared_work.SharedTasks()
        for number in range(shared_work.MAX_TASKS):
            waiting = shared.get(number, lambda: asyncio.sleep(1.0))
            shared_work.start(waiting)
        await asyncio.sleep(0.5)
        with pytest.raises(errors.ResultError) as raised:
            await shared.get('one more', lambda: asyncio.sleep(1.0))
        assert raised.value.code is codes.LOG_UNAVAILABLE

    virtual_time.run(scenario())
