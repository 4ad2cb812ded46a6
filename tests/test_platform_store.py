"""The store's client, tested against a store that injects faults."""

import asyncio
import collections.abc
import contextlib
import math
import time
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.platform import store
from standins import platform_store


@contextlib.asynccontextmanager
async def running() -> collections.abc.AsyncIterator[
    tuple[store.Store, platform_store.Store]
]:
    """Runs a store; yields its client and the store itself."""
    server = platform_store.start()
    client = store.Store(f'127.0.0.1:{server.port}', 4, 4_096)
    yield client, server.store
    server.stop()


def test_records_come_back_in_order() -> None:
    async def play() -> None:
        async with running() as (client, _):
            assert await client.append('t', 1, [b'a', b'']) == 0
            assert await client.append('t', 1, [b'c']) == 2
            read = await client.read('t', 1, 1)
            assert read.records == (b'', b'c')
            assert (read.start, read.end, read.first) == (1, 3, 0)

    asyncio.run(play())


def test_read_of_an_unknown_topic_is_empty() -> None:
    async def play() -> None:
        async with running() as (client, _):
            assert (await client.read('t', 0, 0)).records == ()
            assert (await client.newest('t')).records == ()

    asyncio.run(play())


def test_call_is_not_lost_while_the_loop_is_busy() -> None:
    async def play() -> None:
        async with running() as (client, _):
            await client.append('t', 0, [b'a'])
            call = asyncio.create_task(client.read('t', 0, 0))
            await asyncio.sleep(0)
            time.sleep(1.5 * store.MIN_TIMEOUT_S)
            assert (await call).records == (b'a',)
            assert client.consecutive_failures == 0

    asyncio.run(play())


@pytest.mark.parametrize('busy_s', [0.0, 0.2])
def test_store_that_does_not_answer_is_given_up(busy_s: float) -> None:
    async def play() -> None:
        async with running() as (client, server):
            await client.append('t', 0, [b'a'])
            server.fault = platform_store.Fault.SILENT
            call = asyncio.create_task(client.read('t', 0, 0))
            await asyncio.sleep(store.MIN_TIMEOUT_S - busy_s / 2)
            time.sleep(busy_s)
            with pytest.raises(errors.ResultError):
                await call

    asyncio.run(play())


def test_newest_reads_all_pages() -> None:
    async def play() -> None:
        async with running() as (client, _):
            for key in 'abcde':
                await client.put('t', key, key.encode())
            assert await client.remove('t', 'c', 5)
            result = await client.newest('t')
            assert [one.key for one in result.records] == list('abde')
            assert result.end == 6

    asyncio.run(play())


def test_page_that_fails_does_not_lose_those_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list that is begun anew again and again."""

    async def play() -> None:
        async with running() as (client, _):
            for key in 'abcdefgh':
                await client.put('t', key, key.encode())
            call, calls = client.call, 0

            async def call_store(
                *args: typing.Any, **options: typing.Any
            ) -> tuple[int, bytes]:
                nonlocal calls
                calls += 1
                if calls % 2 == 0:
                    raise errors.ResultError(codes.LOG_UNAVAILABLE, 'busy')
                return await call(*args, **options)

            monkeypatch.setattr(client, 'call', call_store)
            result = await client.newest('t')
            assert [one.key for one in result.records] == list('abcdefgh')
            assert calls == 7

    asyncio.run(play())


@pytest.mark.parametrize('pages', [0, 1])
def test_list_is_given_up_when_the_store_stays_away(
    monkeypatch: pytest.MonkeyPatch, pages: int
) -> None:
    async def play() -> int:
        async with running() as (client, _):
            for key in 'abcd':
                await client.put('t', key, key.encode())
            call, calls = client.call, 0

            async def call_store(
                *args: typing.Any, **options: typing.Any
            ) -> tuple[int, bytes]:
                nonlocal calls
                calls += 1
                if calls > pages:
                    raise errors.ResultError(codes.LOG_UNAVAILABLE, 'away')
                return await call(*args, **options)

            monkeypatch.setattr(client, 'call', call_store)
            with pytest.raises(errors.ResultError):
                await client.newest('t')
            return calls - pages

    # Nothing is lost with the first page; callers learn at once.
    assert asyncio.run(play()) == (store.PAGE_TRIES if pages else 1)


def test_removed_key_is_read_as_none() -> None:
    async def play() -> None:
        async with running() as (client, _):
            await client.put('t', 'a', b'1')
            assert await client.remove('t', 'a', 1)
            result = await client.read_keyed('t', 0, wait_s=0.0)
            assert result is not None
            values = [one.value for one in result.records]
            assert values == [b'1', None]

    asyncio.run(play())


def test_key_is_not_removed_after_another_write() -> None:
    async def play() -> None:
        async with running() as (client, _):
            await client.put('t', 'a', b'1')
            end = (await client.newest('t')).end
            await client.put('t', 'a', b'2')
            assert not await client.remove('t', 'a', end)
            (found,) = (await client.newest('t')).records
            assert found.value == b'2'

    asyncio.run(play())


def test_trimmed_history_is_reported() -> None:
    async def play() -> None:
        async with running() as (client, server):
            await client.put('t', 'a', b'1')
            server.drop_history('keyed.t')
            assert await client.read_keyed('t', 0, wait_s=0) is None
            assert len((await client.newest('t')).records) == 1

    asyncio.run(play())


@pytest.mark.parametrize(
    ('fault', 'code'),
    [
        (platform_store.Fault.BUSY, codes.LOG_UNAVAILABLE),
        (platform_store.Fault.SILENT, codes.APPEND_UNCONFIRMED),
        (platform_store.Fault.LOST, codes.APPEND_UNCONFIRMED),
    ],
)
def test_failure_says_whether_it_may_have_taken_effect(
    fault: platform_store.Fault, code: codes.ResultCode
) -> None:
    async def play() -> None:
        async with running() as (client, server):
            await client.append('t', 0, [b'a'])
            server.fault = fault
            with pytest.raises(errors.ResultError) as caught:
                await client.append('t', 0, [b'b'])
            assert caught.value.code is code
            assert client.consecutive_failures == 1
            server.fault = platform_store.Fault.NONE
            # Over a new connection, since the old one may be dead.
            await client.append('t', 0, [b'c'])
            assert client.consecutive_failures == 0

    asyncio.run(play())


@pytest.mark.parametrize('response', [b'', b'x', b'{}', b'[1]'])
def test_invalid_response_has_a_code(
    monkeypatch: pytest.MonkeyPatch, response: bytes
) -> None:
    async def invalid_response(
        *args: object, **kwargs: object
    ) -> tuple[int, bytes]:
        return 200, response

    async def play() -> None:
        client = store.Store('127.0.0.1:1', 4, 4_096)
        monkeypatch.setattr(client, 'call', invalid_response)
        calls = (
            client.append('t', 0, [b'a']),
            client.read('t', 0, 0),
            client.read_keyed('t', 0, wait_s=0.0),
        )
        for call in calls:
            with pytest.raises(errors.ResultError) as caught:
                await call
            assert caught.value.code is codes.APPEND_UNCONFIRMED

    asyncio.run(play())


def test_record_without_a_key_is_harmless() -> None:
    async def play() -> None:
        async with running() as (client, server):
            server.partition('keyed.t', 0).records.extend([b'', b'\xff'])
            await client.put('t', 'a', b'1')
            result = await client.read_keyed('t', 0, wait_s=0.0)
            assert result is not None
            assert result.records[-1].key == 'a'

    asyncio.run(play())


def test_unreachable_store_means_no_effect() -> None:
    async def play() -> None:
        client = store.Store('127.0.0.1:1', 4, 4_096)
        with pytest.raises(errors.ResultError) as caught:
            await client.append('t', 0, [b'a'])
        assert caught.value.code is codes.LOG_UNAVAILABLE

    asyncio.run(play())


def test_slow_store_gets_a_longer_timeout() -> None:
    client = store.Store('127.0.0.1:1', 4, 4_096)
    assert client.timeout_s() == store.MIN_TIMEOUT_S
    client.average_s = 0.15
    assert client.timeout_s() == pytest.approx(1.2)
    client.average_s = 5.0
    assert client.timeout_s() == store.MAX_TIMEOUT_S


def test_any_number_of_time_outs_leaves_a_usable_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against timers at NaN, which no event loop puts in order."""

    async def play() -> None:
        async with running() as (client, stand_in):
            stand_in.fault = platform_store.Fault.SILENT
            with monkeypatch.context() as patched:
                patched.setattr(client, 'timeout_s', lambda: 0.0)
                for _ in range(1_100):
                    with pytest.raises(errors.ResultError):
                        await client.read('t', 0, 0)
            stand_in.fault = platform_store.Fault.NONE
            for _ in range(3):
                await client.read('t', 0, 0)
            assert math.isfinite(client.average_s)
            assert client.timeout_s() <= store.MAX_TIMEOUT_S

    asyncio.run(play())
