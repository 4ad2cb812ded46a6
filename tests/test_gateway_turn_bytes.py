"""What streams of callers read in one turn of the event loop is bounded."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import attrs

from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import work_share
from tests import test_gateway_whole as whole

STREAMS: typing.Final = 24
HEAD: typing.Final = b'POST /a/b HTTP/1.1\r\nContent-Length: 60000\r\n\r\n'
BODY_BYTES: typing.Final = 60_000
SOCKET_BYTES: typing.Final = 262_144
# A new request waits for so many turns at the most, each of some
# milliseconds, behind heads that came before it.
MAX_TURNS: typing.Final = 6


@attrs.define
class Pair:
    """A stream that shares its turns with others, and its client."""

    stream: client_stream.ClientStream
    client: socket.socket


@contextlib.contextmanager
def open_pairs(
    head_bytes: work_share.TurnBytes,
    body_bytes: work_share.TurnBytes,
    data: bytes,
) -> collections.abc.Iterator[list[Pair]]:
    """Opens streams whose clients have sent the data each."""
    pairs = []
    for _ in range(STREAMS):
        ours, theirs = socket.socketpair()
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        stream = client_stream.ClientStream(ours)
        stream.head_bytes = head_bytes
        stream.body_bytes = body_bytes
        stream.expect_request()
        theirs.sendall(data)
        pairs.append(Pair(stream=stream, client=theirs))
    try:
        yield pairs
    finally:
        for pair in pairs:
            pair.stream.close()
            pair.client.close()


async def read_head(stream: client_stream.ClientStream) -> None:
    """Reads a head as the server does."""
    await stream.read_until_regex(b'\r\n\r\n')


async def read_body(stream: client_stream.ClientStream) -> None:
    """Reads a body as the server does."""
    stream.in_head = False
    stream.body_left = BODY_BYTES
    left = BODY_BYTES
    while left:
        size = min(left, client_stream.BODY_READ_BYTES)
        left -= len(await stream.read_bytes(size, partial=True))


def test_heads_that_come_with_bodies_are_read_together() -> None:
    """Guards against a head that waits for a turn behind each other one."""

    async def play() -> int:
        heads = work_share.TurnBytes(client_stream.HEAD_TURN_BYTES)
        # Its body is read in other turns.
        bodies = work_share.TurnBytes(1)
        data = HEAD + b'x' * BODY_BYTES
        with open_pairs(heads, bodies, data) as pairs:
            tasks = [
                asyncio.create_task(read_head(one.stream)) for one in pairs
            ]
            turns = 0
            while not all(one.done() for one in tasks):
                await asyncio.sleep(0)
                turns += 1
            return turns

    assert asyncio.run(play()) <= MAX_TURNS


def test_bodies_of_a_turn_are_bounded() -> None:
    """Guards against a loop that everything else waits for."""

    async def play() -> list[int]:
        heads = work_share.TurnBytes(client_stream.HEAD_TURN_BYTES)
        bodies = work_share.TurnBytes(client_stream.BODY_TURN_BYTES)
        counts = [0]

        def note(count: int) -> None:
            counts[-1] += count

        with open_pairs(heads, bodies, b'x' * BODY_BYTES) as pairs:
            for pair in pairs:
                pair.stream.on_read = note
            tasks = [
                asyncio.create_task(read_body(one.stream)) for one in pairs
            ]
            async with asyncio.timeout(whole.WAIT_S):
                while not all(one.done() for one in tasks):
                    await asyncio.sleep(0)
                    counts.append(0)
        return counts

    counts = asyncio.run(play())
    assert sum(counts) == STREAMS * BODY_BYTES
    # One read may go over what its turn has left.
    most = client_stream.BODY_TURN_BYTES + client_stream.BODY_READ_BYTES
    assert max(counts) < most
