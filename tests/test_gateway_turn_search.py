"""Finding turns that the index has no entry for."""

import asyncio
import random
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
        steps = 2 * turn_search.FIRST_PAGE_RECORDS * 2_200
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
                    await started.chain('q40', 'ward')
                break
            except TimeoutError:
                assert started.search.remaining_s('q40') > 0
                assert 'not in the index' in started.loads.describe('q40')
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


def test_later_search_reads_the_latest_turns_first_as_well() -> None:
    """Guards against reading all that ended since the search before."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        await turn_support.store_turn(writer, 'first', output=OUTPUT)
        started = turn_support.make_turn_log(log, 'south-1')
        await started.chain('first', 'ward')
        for number in range(1_000):
            await turn_support.store_turn(writer, f'q{number}', output=OUTPUT)
        await turn_support.store_turn(writer, 'new', output=OUTPUT)
        before = log.carried
        await started.chain('new', 'ward')
        assert log.carried - before <= 2 * turn_search.PAGE_BYTES
        await started.chain('q0', 'ward')

    virtual_time.run(scenario())


def test_large_turn_behind_small_ones_is_found_by_a_small_read() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(40):
            await turn_support.store_turn(writer, f's{number}')
        for number in range(400):
            output = bytes(18_000)
            await turn_support.store_turn(writer, f'q{number}', output=output)
        started = turn_support.make_turn_log(log, 'south-1')
        before = log.carried
        await started.chain('q399', 'ward')
        assert log.carried - before <= 4 * turn_search.PAGE_BYTES

    virtual_time.run(scenario())


def test_unknown_turns_do_not_hold_up_others() -> None:
    """Guards against one client that keeps an instance searching."""

    async def scenario() -> float:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(100):
            await turn_support.store_turn(writer, f'q{number}', output=OUTPUT)
        started = turn_support.make_turn_log(log, 'south-1')
        log.answer_s = 0.24
        loop = asyncio.get_running_loop()
        unknown = [
            shared_work.start(started.chain(f'unknown-{number}', 'ward'))
            for number in range(200)
        ]
        began = loop.time()
        await started.chain('q99', 'ward')
        took_s = loop.time() - began
        await asyncio.gather(*unknown, return_exceptions=True)
        return took_s

    assert virtual_time.run(scenario()) <= 8 * 0.24


def test_silent_partition_does_not_hold_up_searches_of_others() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        names = [f'q{number}' for number in range(60)]
        for name in names:
            await turn_support.store_turn(writer, name)
        silent = writer.partitions_of('q0')
        others = [
            name
            for name in names
            if not set(silent) & set(writer.partitions_of(name))
        ]
        log.silent_partitions = {(records.TURN_TOPIC, one) for one in silent}
        started = turn_support.make_turn_log(log, 'south-1')
        for name in names[:1]:
            shared_work.start(started.chain(name, 'ward'))
        await asyncio.sleep(0.1)
        async with asyncio.timeout(0.5):
            for name in others[:3]:
                await started.chain(name, 'ward')

    virtual_time.run(scenario())


def test_old_turn_in_its_spare_partition_is_found() -> None:
    """Guards against a false denial of a turn that is kept."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        first, _ = writer.partitions_of('mine')
        log.failing_partitions.add((records.TURN_TOPIC, first))
        await turn_support.store_turn(writer, 'mine')
        log.failing_partitions.discard((records.TURN_TOPIC, first))
        for number in range(1_000):
            await turn_support.store_turn(writer, f'q{number}', output=OUTPUT)
        started = turn_support.make_turn_log(log, 'south-1')
        assert len(await started.chain('mine', 'ward')) == 1

    virtual_time.run(scenario())


def test_record_larger_than_a_page_is_read() -> None:
    """Guards against asking for the same page for ever."""

    async def scenario() -> None:
        log = turn_support.make_log()
        log.is_strict = True
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(20):
            output = bytes(turn_support.RECORD_BYTES - 1_000)
            await turn_support.store_turn(writer, f'q{number}', output=output)
        started = turn_support.make_turn_log(log, 'south-1')
        async with asyncio.timeout(10.0):
            await started.chain('q0', 'ward')

    virtual_time.run(scenario())


@pytest.mark.parametrize('seed', range(20))
def test_unread_records_are_those_not_read(seed: int) -> None:
    """The spans against a plain set of offsets."""
    chance = random.Random(seed)
    unread = turn_search.UnreadRecords()
    plain: set[int] = set()
    first = end = 0
    for _ in range(200):
        if chance.random() < 0.3:
            known, end = end, end + chance.randrange(1, 30)
            plain |= set(range(max(first, known), end))
            unread.note_end(first, end)
        if chance.random() < 0.1:
            first = chance.randint(first, end)
            unread.note_read(0, first)
            plain -= set(range(first))
        offset = unread.next_page()
        assert (offset is None) == (not plain)
        if offset is not None:
            assert offset >= max(plain) + 1 - unread.page_records
            until = offset + chance.randrange(1, 9)
            unread.note_read(offset, until)
            plain -= set(range(offset, until))
        assert unread.count() == len(plain)
        unread.note_size(chance.choice([10_000.0, 40_000.0]))
