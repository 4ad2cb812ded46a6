"""The index of ended turns: a whole conversation in one look."""

import asyncio

import msgspec
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turn_index_log
from oleanderdrift.gateway import turns
from tests import slow_link
from tests import turn_support
from tests import virtual_time


@pytest.mark.parametrize('length', [1, 3, turns.MAX_LISTED_TURNS])
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


def test_wrong_entry_is_got_over() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, 3)
        await writer.index.flush()
        entry = await writer.index.find(last)
        assert entry is not None
        wrong = msgspec.structs.replace(entry, turns=entry.turns[:1] * 2)
        listed = msgspec.structs.replace(entry.turns[-1], offset=999)
        missing = msgspec.structs.replace(entry, turns=(listed,))
        for one in (wrong, missing):
            topic, (first, _) = writer.index.slot_of(last)
            renamed = msgspec.structs.replace(one.turns[-1], turn=last)
            data = records.encode(
                msgspec.structs.replace(one, turns=(*one.turns[:-1], renamed))
            )
            await log.append(topic, first, [data])
            started = turn_support.make_turn_log(log, 'south-1')
            found = await turn_support.inputs(started, last)
            assert found == turn_support.expected_inputs(3)

    virtual_time.run(scenario())


def test_entry_in_its_spare_partition_is_found() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        topic, (first, _) = writer.index.slot_of('mine')
        log.failing_partitions.add((topic, first))
        await turn_support.store_turn(writer, 'mine')
        await writer.index.flush()
        log.failing_partitions.clear()
        started = turn_support.make_turn_log(log, 'south-1')
        assert await started.index.find('mine') is not None

    virtual_time.run(scenario())


def test_turns_of_another_account_are_not_read() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        last = await turn_support.store_chain(writer, 3)
        await writer.index.flush()
        started = turn_support.make_turn_log(log, 'south-1')
        log.reads = 0
        with pytest.raises(errors.ResultError) as raised:
            await started.chain(last, 'other')
        assert raised.value.code is codes.UNKNOWN_TURN
        assert log.reads == 1
        found = await turn_support.inputs(started, last)
        assert found == turn_support.expected_inputs(3)

    virtual_time.run(scenario())


def test_entry_that_comes_as_its_writer_ends_is_written() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        await turn_support.store_turn(writer, 't0')
        entry = turns.entry_of_record(
            records.encode(
                records.TurnEnd(
                    turn='t0',
                    previous=None,
                    account='ward',
                    input=records.InputLocation(
                        part=0, offset=0, count=1, size=1
                    ),
                    output=b'',
                    ended_ms=1,
                )
            ),
            0,
            0,
        )
        assert entry is not None
        task = writer.index.note(entry)
        assert task is not None
        task.add_done_callback(lambda _: writer.index.note(entry))
        while not task.done():
            await asyncio.sleep(0)
        writer.index.note(entry)
        await writer.index.flush()
        assert not writer.index.pending
        assert not writer.index.unwritten

    virtual_time.run(scenario())


def test_many_conversations_are_read_at_once() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        names = [f'q{number}' for number in range(shared_work.MAX_TASKS)]
        for name in names:
            await turn_support.store_turn(writer, name)
            await turn_support.store_turn(writer, f'{name}b', name)
        await writer.index.flush()
        started = turn_support.make_turn_log(log, 'south-1')
        await asyncio.gather(
            *(started.chain(f'{name}b', 'ward') for name in names)
        )

    virtual_time.run(scenario())


def test_turns_that_ended_long_ago_are_forgotten() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        await turn_support.store_turn(writer, 't0')
        await writer.index.flush()
        started = turn_support.make_turn_log(log, 'south-1')
        assert await started.index.find('t0') is not None
        await started.search.find('t0')
        started.forget(2)
        assert not any(one.entries for one in started.index.indexes.values())
        assert not any(one.index.entries for one in started.search.partitions)

    virtual_time.run(scenario())


def test_entries_that_wait_are_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an outage of the index that fills the memory."""
    monkeypatch.setattr(turn_index_log, 'MAX_PENDING', 5)

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(20):
            await turn_support.store_turn(writer, f'q{number}')
            await asyncio.sleep(0.1)
        assert writer.index.unwritten == 5
        found = await make_and_count(log, [f'q{n}' for n in range(20)])
        assert found == 20

    async def make_and_count(log: slow_link.SlowLog, names: list[str]) -> int:
        started = turn_support.make_turn_log(log, 'south-1')
        return sum([len(await started.chain(name, 'ward')) for name in names])

    virtual_time.run(scenario())


def test_turn_is_in_the_index_when_its_answer_ends() -> None:
    """Guards against searches for the last turns before a loss of power."""

    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        await turn_support.store_turn(writer, 't0')
        started = turn_support.make_turn_log(log, 'south-1')
        assert await started.index.find('t0') is not None

    virtual_time.run(scenario())


def test_index_that_hangs_does_not_hold_back_answers() -> None:
    async def scenario() -> None:
        log = turn_support.make_log()
        writer = turn_support.make_turn_log(log, 'north-1')
        log.blocked_topic, _ = writer.index.slot_of('t0')
        loop = asyncio.get_running_loop()
        began = loop.time()
        await turn_support.store_turn(writer, 't0')
        waited_s = loop.time() - began
        assert waited_s <= 2 * turn_index_log.MAX_WAIT_S
        log.gate.set()
        await writer.index.flush()
        started = turn_support.make_turn_log(log, 'south-1')
        assert await started.index.find('t0') is not None

    virtual_time.run(scenario())
