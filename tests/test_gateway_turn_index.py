"""The index of ended turns: a whole conversation in one look."""

import asyncio

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import turn_index_log
from oleanderdrift.gateway import turns
from tests import turn_support
from tests import virtual_time


@pytest.mark.parametrize('length', [1, 3, 32])
def test_whole_conversation_is_found_in_one_look(length: int) -> None:
    async def scenario() -> int:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, length)
        await writer.index.flush()
        log.reads = 0
        assert await turn_support.inputs(
            turn_support.make_turn_log(log, 'south-1'), last
        ) == turn_support.expected_inputs(length)
        return log.reads

    # Its entry, then each turn's record and input.
    assert virtual_time.run(scenario()) == 1 + 2 * length


def test_conversation_longer_than_an_entry_is_found() -> None:
    length = 2 * turns.MAX_LISTED_TURNS + 5

    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, length)
        await writer.index.flush()
        log.reads = 0
        found = await turn_support.inputs(
            turn_support.make_turn_log(log, 'south-1'), last
        )
        assert found == turn_support.expected_inputs(length)
        assert log.reads <= 2 * 3 + 2 * length

    virtual_time.run(scenario())


@pytest.mark.parametrize('is_back', [False, True])
def test_turns_without_an_entry_are_found(is_back: bool) -> None:
    """Also those of builds that write no index."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        last = await turn_support.store_chain(
            turn_support.make_turn_log(log, 'north-1'), 5
        )
        if is_back:
            log.failing_partitions.clear()
        found = await turn_support.inputs(
            turn_support.make_turn_log(log, 'south-1'), last
        )
        assert found == turn_support.expected_inputs(5)

    virtual_time.run(scenario())


def test_entry_is_written_once_the_index_is_back() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, 2)
        await asyncio.sleep(3 * turn_index_log.RETRY_DELAY_S)
        log.failing_partitions.clear()
        async with asyncio.timeout(5):
            await writer.index.flush()
        entry = await turn_support.make_turn_log(log, 'south-1').index.find(
            last
        )
        assert entry is not None
        assert [one.turn for one in entry.turns] == ['t0', 't1']

    virtual_time.run(scenario())


def test_entries_do_not_load_a_store_that_is_down() -> None:
    async def scenario() -> int:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(20):
            await turn_support.store_turn(writer, f'q{number}')
        before = log.appends
        await asyncio.sleep(60.0)
        return log.appends - before

    # Each entry has two partitions, and waits longer each time.
    assert virtual_time.run(scenario()) <= 20 * 2 * 20


@pytest.mark.parametrize(
    'topic', [records.TURN_TOPIC, *records.TURN_INDEX_TOPICS]
)
def test_turn_is_found_while_its_first_partition_fails(topic: str) -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        first, _ = writer.partitions_of('t0')
        log.failing_partitions.add((topic, first))
        last = await turn_support.store_chain(writer, 1)
        await writer.index.flush()
        found = await turn_support.inputs(
            turn_support.make_turn_log(log, 'south-1'), last
        )
        assert found == turn_support.expected_inputs(1)
        log.failing_partitions.clear()
        found = await turn_support.inputs(
            turn_support.make_turn_log(log, 'south-2'), last
        )
        assert found == turn_support.expected_inputs(1)

    virtual_time.run(scenario())


def test_expired_turn_that_is_still_in_the_index_is_unknown() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, 2)
        await writer.index.flush()
        for partition in range(turn_support.PARTITIONS):
            key = (records.TURN_TOPIC, partition)
            log.firsts[key] = len(log.data[key])
        with pytest.raises(errors.ResultError) as raised:
            await turn_support.make_turn_log(log, 'south-1').chain(
                last, 'ward'
            )
        assert raised.value.code is codes.UNKNOWN_TURN

    virtual_time.run(scenario())


def test_unreadable_entries_are_passed_over() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        topic, (first, _) = writer.index.slot_of('t0')
        await log.append(topic, first, [b'\x93\xa1i\x90\x01', b'', b'\xff'])
        await turn_support.store_chain(writer, 1)
        await writer.index.flush()
        entry = await turn_support.make_turn_log(log, 'south-1').index.find(
            't0'
        )
        assert entry is not None

    virtual_time.run(scenario())
