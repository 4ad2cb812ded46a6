"""Turns that any instance can go on from, whoever served them."""

import asyncio

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from tests import gateway_support


async def keep(
    log: turn_log.TurnLog, name: str, previous: str | None, account: str
) -> None:
    """Ends a turn whose input and output bear its name."""
    place = await log.append_input(f'in {name};'.encode())
    turn = turns.Turn(
        turn_id=name,
        previous=previous,
        account=account,
        input=f'in {name};'.encode(),
        output=f'out {name}\n'.encode(),
    )
    await log.store_turn(turn, place, 1)


def instance(log: gateway_support.MemoryLog, name: str) -> turn_log.TurnLog:
    """Returns the turns as an instance sees them."""
    return turn_log.TurnLog(retrying_log.RetryingLog(log), name)


def text(chain: list[turns.Turn]) -> bytes:
    """Returns what an upstream receives of a chain."""
    return b''.join(one.input + one.output for one in chain)


def test_another_instance_goes_on_from_a_chain() -> None:
    async def play() -> bytes:
        log = gateway_support.MemoryLog()
        first = instance(log, 'north-1')
        await keep(first, 'a', None, 'ward')
        await keep(first, 'b', 'a', 'ward')
        second = instance(log, 'south-1')
        return text(await second.chain('b', 'ward'))

    assert asyncio.run(play()) == b'in a;out a\nin b;out b\n'


@pytest.mark.parametrize(('name', 'account'), [('x', 'ward'), ('a', 'other')])
def test_unknown_or_foreign_turn(name: str, account: str) -> None:
    async def play() -> None:
        log = gateway_support.MemoryLog()
        kept = instance(log, 'north-1')
        await keep(kept, 'a', None, 'ward')
        with pytest.raises(errors.ResultError) as caught:
            await instance(log, 'south-1').chain(name, account)
        assert caught.value.code is codes.UNKNOWN_TURN

    asyncio.run(play())


def test_outage_is_no_proof_that_a_turn_is_unknown() -> None:
    async def play() -> None:
        log = gateway_support.MemoryLog()
        log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        with pytest.raises(errors.ResultError) as caught:
            await instance(log, 'south-1').chain('a', 'ward')
        assert caught.value.code is codes.LOG_UNAVAILABLE

    asyncio.run(play())


def test_leaving_caller_does_not_take_others_inputs_along() -> None:
    async def play() -> records.InputLocation:
        kept = instance(gateway_support.MemoryLog(), 'north-1')
        first = asyncio.create_task(kept.append_input(b'first'))
        second = asyncio.create_task(kept.append_input(b'second'))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(5):
            return await second

    assert asyncio.run(play()).size == len(b'second')


def test_long_input_is_kept_in_pieces() -> None:
    async def play() -> bytes:
        log = gateway_support.MemoryLog(record_bytes=2_048)
        kept = instance(log, 'north-1')
        data = bytes(range(256)) * 20
        place = await kept.append_input(data)
        assert place.count > 1
        turn = turns.Turn(
            turn_id='a', previous=None, account='w', input=data, output=b''
        )
        await kept.store_turn(turn, place, 1)
        chain = await instance(log, 'south-1').chain('a', 'w')
        return chain[0].input

    assert asyncio.run(play()) == bytes(range(256)) * 20


def test_cache_drops_the_least_used() -> None:
    cache = turns.TurnCache(limit=25)
    for name in 'abc':
        cache.put(
            turns.Turn(
                turn_id=name,
                previous=None,
                account='w',
                input=b'0123456789',
                output=b'',
            )
        )
    assert cache.get('a') is None
    assert cache.get('c') is not None
