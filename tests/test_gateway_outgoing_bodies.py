"""Bodies that are sent piece by piece, as their peer takes them."""

import asyncio
import itertools
import tracemalloc
import typing

import pytest

from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel

MB: typing.Final = 1_048_576
HEADERS: typing.Final = [('Host', 'x')]


class Peer:
    """A peer that reads what it is sent once it is told to."""

    def __init__(self) -> None:
        self.may_read = asyncio.Event()
        self.received = b''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads until the end."""
        await self.may_read.wait()
        self.received = await reader.read()
        writer.close()


def pieces(*sizes: int) -> buffering.Pieces:
    """Returns parts of some sizes, each of other bytes than its neighbours."""
    marks = itertools.cycle(b'abc')
    return buffering.Pieces(
        parts=tuple(
            bytes([mark]) * size
            for mark, size in zip(marks, sizes, strict=False)
        )
    )


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'x' * 10,
        b'x' * 3 * buffering.SEND_BYTES,
        pieces(),
        pieces(0, 4, 0),
        pieces(4, buffering.SEND_BYTES, 4, buffering.SEND_BYTES - 1, 1, 9),
        pieces(4, 3 * MB, 4, MB),
        pieces(*[7] * 50_000),
    ],
    ids=lambda body: f'{type(body).__name__} of {len(body)}',
)
def test_body_arrives_whole_and_in_order(body: buffering.Body) -> None:
    async def play() -> bytes:
        peer = Peer()
        server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = await channel.connect('127.0.0.1', port, 1.0)
        await connection.send('POST', '/', HEADERS, body)
        peer.may_read.set()
        async with asyncio.timeout(10):
            while connection.protocol.unsent:
                await asyncio.sleep(0.01)
            assert connection.protocol.transport is not None
            connection.protocol.transport.close()
            while not peer.received:
                await asyncio.sleep(0.01)
        server.close()
        return peer.received

    head, _, received = asyncio.run(play()).partition(b'\r\n\r\n')
    parts = body.parts if isinstance(body, buffering.Pieces) else [body]
    assert received == b''.join(parts)
    assert f'content-length: {len(body)}'.encode() in head


def test_long_body_is_not_copied_to_be_sent() -> None:
    """Guards against bodies that take their size again while they wait."""

    async def play() -> int:
        peer = Peer()
        server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = await channel.connect('127.0.0.1', port, 1.0)
        body = pieces(4, 8 * MB)
        tracemalloc.start()
        await connection.send('POST', '/', HEADERS, body)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        connection.close()
        peer.may_read.set()
        server.close()
        return peak

    assert asyncio.run(play()) < MB
