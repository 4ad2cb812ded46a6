"""Stored turns: any instance can continue a conversation."""

import asyncio
import collections.abc
import tracemalloc
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from tests import gateway_support

# What the store takes in one call.
CALL_BYTES: typing.Final = 2_097_152


async def store(
    log: turn_log.TurnLog, name: str, previous: str | None, account: str
) -> None:
    """Stores a turn whose input and output contain its name."""
    location = await log.append_input(f'in {name};'.encode())
    turn = turns.Turn(
        turn_id=name,
        previous=previous,
        account=account,
        input=f'in {name};'.encode(),
        output=f'out {name}\n'.encode(),
        ended_ms=1,
    )
    await log.store_turn(turn, location)


def make_turn_log(
    log: gateway_support.MemoryLog, name: str
) -> turn_log.TurnLog:
    """Returns the turn log of an instance."""
    return turn_log.TurnLog(retrying_log.RetryingLog(log), name)


def as_upstream_input(chain: list[turns.Turn]) -> bytes:
    """Returns the input that an upstream receives for a chain."""
    return b''.join(one.input + one.output for one in chain)


def test_another_instance_continues_a_chain() -> None:
    async def scenario() -> bytes:
        log = gateway_support.MemoryLog()
        first = make_turn_log(log, 'north-1')
        await store(first, 'a', None, 'ward')
        await store(first, 'b', 'a', 'ward')
        second = make_turn_log(log, 'south-1')
        return as_upstream_input(await second.chain('b', 'ward'))

    assert asyncio.run(scenario()) == b'in a;out a\nin b;out b\n'


@pytest.mark.parametrize(('name', 'account'), [('x', 'ward'), ('a', 'other')])
def test_unknown_or_foreign_turn(name: str, account: str) -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        first = make_turn_log(log, 'north-1')
        await store(first, 'a', None, 'ward')
        with pytest.raises(errors.ResultError) as raised:
            await make_turn_log(log, 'south-1').chain(name, account)
        assert raised.value.code is codes.UNKNOWN_TURN

    asyncio.run(scenario())


def test_outage_is_no_proof_that_a_turn_is_unknown() -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        with pytest.raises(errors.ResultError) as raised:
            await make_turn_log(log, 'south-1').chain('a', 'ward')
        assert raised.value.code is codes.LOG_UNAVAILABLE

    asyncio.run(scenario())


def test_disconnected_caller_does_not_cancel_others_inputs() -> None:
    async def scenario() -> records.InputLocation:
        log = make_turn_log(gateway_support.MemoryLog(), 'north-1')
        first = asyncio.create_task(log.append_input(b'first'))
        second = asyncio.create_task(log.append_input(b'second'))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(5):
            return await second

    assert asyncio.run(scenario()).size == len(b'second')


def test_input_whose_caller_left_is_not_appended() -> None:
    """Guards against bodies that wait for a slow store, and count nowhere."""

    async def scenario() -> None:
        memory = gateway_support.MemoryLog()
        memory.blocked_topic = records.INPUT_TOPIC
        log = make_turn_log(memory, 'north-1')
        first = asyncio.create_task(log.append_input(b'first'))
        await asyncio.sleep(0.01)
        gone = asyncio.create_task(log.append_input(b'gone'))
        later = asyncio.create_task(log.append_input(b'later'))
        await asyncio.sleep(0.01)
        gone.cancel()
        await asyncio.wait([gone])
        assert [one.size() for one in log.pending_inputs] == [len(b'later')]
        memory.gate.set()
        await asyncio.gather(first, later)
        assert sum(memory.data.values(), []) == [b'first', b'later']

    asyncio.run(scenario())


class LimitedLog(gateway_support.MemoryLog):
    """A log that takes a limited number of bytes in one call."""

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[ports.Record],
    ) -> int:
        """Appends all records if they are within the limit."""
        if sum(map(len, records)) > CALL_BYTES:
            raise errors.ResultError(codes.APPEND_UNCONFIRMED, 'too much')
        return await super().append(topic, partition, records)


def test_inputs_that_wait_together_are_within_a_call() -> None:
    """Guards against turns that fail because others wait as well."""

    async def scenario() -> None:
        memory = LimitedLog(record_bytes=262_144)
        log = make_turn_log(memory, 'north-1')
        sizes = [900_000, 10, 900_000, 900_000, CALL_BYTES]
        places = await asyncio.gather(
            *(log.append_input(bytes(size)) for size in sizes)
        )
        assert [place.size for place in places] == sizes

    asyncio.run(scenario())


def test_inputs_behind_an_unforeseen_failure_are_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both inputs of the first batch fail at once, the later one is kept."""

    async def fail(*_: object) -> tuple[int, int]:
        await asyncio.sleep(0)
        monkeypatch.undo()
        raise ValueError('injected')

    async def scenario() -> list[records.InputLocation | BaseException]:
        log = make_turn_log(gateway_support.MemoryLog(), 'north-1')
        monkeypatch.setattr(
            retrying_log.RetryingLog, 'append_with_failover', fail
        )
        names = (b'first', b'second')
        inputs = [asyncio.create_task(log.append_input(one)) for one in names]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        inputs.append(asyncio.create_task(log.append_input(b'third')))
        async with asyncio.timeout(5):
            return await asyncio.gather(*inputs, return_exceptions=True)

    first, second, third = asyncio.run(scenario())
    for failed in (first, second):
        assert isinstance(failed, errors.ResultError)
        assert failed.code is codes.LOG_UNAVAILABLE
    assert isinstance(third, records.InputLocation)


def test_long_input_is_stored_in_chunks() -> None:
    async def scenario() -> bytes:
        log = gateway_support.MemoryLog(record_bytes=2_048)
        writer = make_turn_log(log, 'north-1')
        data = bytes(range(256)) * 20
        location = await writer.append_input(data)
        assert location.count > 1
        turn = turns.Turn(
            turn_id='a',
            previous=None,
            account='w',
            input=data,
            output=b'',
            ended_ms=1,
        )
        await writer.store_turn(turn, location)
        chain = await make_turn_log(log, 'south-1').chain('a', 'w')
        return chain[0].input

    assert asyncio.run(scenario()) == bytes(range(256)) * 20


def test_cache_evicts_the_least_recently_used() -> None:
    cache = turns.TurnCache(limit=25 + 2 * turns.TURN_OBJECT_BYTES)
    for name in 'abc':
        cache.put(
            turns.Turn(
                turn_id=name,
                previous=None,
                account='w',
                input=b'0123456789',
                output=b'',
                ended_ms=1,
            )
        )
    assert cache.get('a') is None
    assert cache.get('c') is not None


def test_cache_keeps_to_its_limit_with_turns_of_no_bytes() -> None:
    """Guards against memory that is filled by what has no size of its own."""
    limit = 2_000_000
    cache = turns.TurnCache(limit=limit)
    tracemalloc.start()
    try:
        for number in range(20_000):
            cache.put(
                turns.Turn(
                    turn_id=f'{number:016x}',
                    previous=f'{number - 1:016x}' if number else None,
                    account='w',
                    input=b'',
                    output=b'',
                    ended_ms=number,
                    stored=records.StoredTurn(
                        turn=f'{number:016x}',
                        part=1,
                        offset=number,
                        size=100,
                        input=records.InputLocation(
                            part=2, offset=number, count=1, size=100
                        ),
                    ),
                )
            )
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert cache.get(f'{19_999:016x}') is not None
    assert held < limit


@pytest.mark.parametrize(
    ('sizes', 'count'),
    [([5, 5, 5], 3), ([5, 6, 5], 2), ([1, 1, 99], 1), ([99, 1, 1], 2)],
)
def test_turns_of_an_entry_are_read_some_bytes_at_once(
    sizes: list[int], count: int
) -> None:
    """Guards against long turns that are all in memory before any counts."""
    entry = records.IndexedTurn(
        account='a',
        turns=tuple(
            records.StoredTurn(
                turn=f't{number}',
                part=0,
                offset=0,
                size=1,
                input=records.InputLocation(
                    part=0, offset=0, count=1, size=size - 1
                ),
            )
            for number, size in enumerate(sizes)
        ),
        ended_ms=1,
    )
    found = turns.latest_within(entry, 15)
    names = [f't{number}' for number in range(len(sizes))]
    assert [one.turn for one in found] == names[::-1][:count]


def test_conversation_that_there_is_no_room_for_is_not_read_on() -> None:
    counts: list[int] = []

    def hold(count: int) -> None:
        counts.append(count)
        if sum(counts) > 30:
            raise errors.ResultError(codes.MEMORY_EXHAUSTED)

    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        first = make_turn_log(log, 'north-1')
        for number in range(20):
            previous = f'a{number - 1}' if number else None
            await store(first, f'a{number}', previous, 'ward')
        second = make_turn_log(log, 'south-1')
        with pytest.raises(errors.ResultError) as raised:
            await second.chain('a19', 'ward', hold)
        assert raised.value.code is codes.MEMORY_EXHAUSTED
        await second.chain('a1', 'ward', counts.append)

    asyncio.run(scenario())
    # Each is `in a19;` and `out a19\n`, the last ones `in a1;` and so on.
    assert counts == [15, 15, 15, 13, 13]
