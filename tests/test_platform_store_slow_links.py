"""Answers of the store that take long on the way are no silence of it."""

import asyncio
import collections.abc
import contextlib
import re
import struct
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.platform import store

RECORD: typing.Final = bytes(60_000)
LENGTH: typing.Final = re.compile(rb'(?i)content-length: (\d+)')
# 11 Mbit/s.
LINK_BYTES_PER_S: typing.Final = 1_375_000
TICK_S: typing.Final = 0.1
# More than the time for which the store may be silent.
TICKS: typing.Final = 10


def answer() -> bytes:
    """Returns the body of a read with one record."""
    length = struct.pack('>I', len(RECORD))
    return struct.pack('>QQ', 1, 0) + length + RECORD


@contextlib.asynccontextmanager
async def running(
    *, ticks: int, sent_ticks: int
) -> collections.abc.AsyncIterator[store.Store]:
    """Runs a store whose answers take some ticks; yields its client.

    Only the parts of the first sent_ticks are sent.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            body = answer()
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode())
            part = -(-len(body) // ticks)
            for tick in range(sent_ticks):
                writer.write(body[tick * part : (tick + 1) * part])
                await asyncio.sleep(TICK_S)
            await reader.read()
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = store.Store(f'127.0.0.1:{port}', 4, len(RECORD))
    yield client
    client.pool.close()
    server.close()


@contextlib.asynccontextmanager
async def behind_slow_uplink() -> collections.abc.AsyncIterator[store.Store]:
    """Runs a store that gets appends at LINK_BYTES_PER_S; yields a client."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                found = LENGTH.search(head)
                assert found is not None
                size = int(found[1])
                await reader.readexactly(size)
                await asyncio.sleep(size / LINK_BYTES_PER_S)
                body = b'{"Offset": 3, "EndOffset": 9}'
                lines = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}'
                writer.write(lines.encode() + b'\r\n\r\n' + body)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = store.Store(f'127.0.0.1:{port}', 4, len(RECORD))
    yield client
    client.pool.close()
    server.close()


def test_long_append_over_a_slow_link_is_confirmed() -> None:
    """Guards against appends that are given up while they are sent."""

    async def scenario() -> None:
        async with behind_slow_uplink() as client:
            assert await client.append('t', 0, [RECORD] * 18) == 3
            assert client.failures == 0

    asyncio.run(scenario())


def test_answer_that_goes_on_arriving_is_read_whole() -> None:
    """Guards against pages that are thrown away again and again."""

    async def scenario() -> None:
        async with running(ticks=TICKS, sent_ticks=TICKS) as client:
            read = await client.read('t', 0, 0)
            assert read.records == (RECORD,)
            assert client.consecutive_failures == 0
            assert client.average_s < TICK_S

    asyncio.run(scenario())


def test_answer_that_stops_arriving_is_given_up() -> None:
    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        async with running(ticks=TICKS, sent_ticks=2) as client:
            began = loop.time()
            with pytest.raises(errors.ResultError) as raised:
                await client.read('t', 0, 0)
            assert raised.value.code is codes.APPEND_UNCONFIRMED
            return loop.time() - began

    assert asyncio.run(scenario()) < 3 * store.MIN_TIMEOUT_S + 2 * TICK_S


def test_answer_that_hardly_arrives_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store, 'MAX_ANSWER_S', 0.5)

    async def scenario() -> None:
        async with running(ticks=1_000, sent_ticks=1_000) as client:
            with pytest.raises(errors.ResultError):
                async with asyncio.timeout(2.0):
                    await client.read('t', 0, 0)

    asyncio.run(scenario())
