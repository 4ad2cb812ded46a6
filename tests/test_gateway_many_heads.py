"""Heads with many fields: what they take is counted, and shared in time."""

import asyncio
import collections.abc
import socket
import typing

import pytest
from tornado import httputil

from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import ingress
from oleanderdrift.gateway import request_head
from oleanderdrift.gateway import request_reader
from oleanderdrift.gateway import work_share
from oleanderdrift.platform import codec
from tests import test_gateway_ingress
from tests import test_gateway_whole as whole

MANY: typing.Final = 500
HELD_BYTES: typing.Final = 33_554_432
FIELDS: typing.Final = ''.join(f'f{n}: {n}\r\n' for n in range(MANY))
HEAD: typing.Final = (
    'POST /a/b HTTP/1.%d\r\nHost: desk.example\r\nCredential: k1\r\n'
    'Attempt-Id: %s\r\nDeadline-Ms: 5000\r\n%s%s\r\n'
)


def start_request(
    forwarder: test_gateway_ingress.Forwarder,
) -> request_reader.RequestReader:
    """Returns what reads the request of a connection."""
    made = ingress.Ingress(
        typing.cast(typing.Any, forwarder), codec.PlatformCodec()
    )
    conn = typing.cast(httputil.HTTPConnection, object())
    return typing.cast(
        request_reader.RequestReader, made.start_request('c', conn)
    )


def many_headers() -> httputil.HTTPHeaders:
    """Returns an id and MANY fields besides."""
    headers = httputil.HTTPHeaders({'Attempt-Id': 'q1'})
    for number in range(MANY):
        headers.add(f'f{number}', str(number))
    return headers


def test_head_counts_until_its_request_ends() -> None:
    """Guards against heads that take memory which nobody counts."""

    async def play() -> None:
        forwarder = test_gateway_ingress.Forwarder()
        held = forwarder.board.held
        reader = start_request(forwarder)
        line = httputil.RequestStartLine('POST', '/a/b', 'HTTP/1.1')
        headers = many_headers()
        headers.add('Content-Length', '3')
        reader.headers_received(line, headers)
        each = request_head.HEADER_OBJECT_BYTES
        assert held.total > (MANY + 2) * each
        # Tornado keeps its own until the next request on the connection.
        assert list(headers.get_all()) == [('Content-Length', '3')]
        assert len(reader.headers) == MANY + 2
        reader.close()
        assert (held.total, reader.headers) == (0, [])

    asyncio.run(play())


def test_head_that_there_is_no_room_for_is_refused() -> None:
    """Guards against a refused head that stays until its connection ends."""

    async def play() -> None:
        forwarder = test_gateway_ingress.Forwarder()
        forwarder.board.held.limit = 100_000
        reader = start_request(forwarder)
        line = httputil.RequestStartLine('GET', '/a/b', 'HTTP/1.1')
        headers = many_headers()
        reader.headers_received(line, headers)
        assert forwarder.board.refusals['held-bytes'] == 1
        assert reader.closed
        assert not list(headers.get_all())
        reader.finish()
        assert (forwarder.served, forwarder.board.held.total) == (0, 0)

    asyncio.run(play())


@pytest.mark.parametrize('version', [0, 1])
@pytest.mark.parametrize('framing', ['Content-Length: 4\r\n', ''])
def test_request_with_many_fields_is_served(
    version: int, framing: str
) -> None:
    """Its connection and its body are framed as those of any other."""
    body = b'body' if framing else b''
    # An older client's stream has no chunks, and ends with its connection.
    count = 2 if version else 1

    async def play() -> bytes:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            keep = 'Connection: keep-alive\r\n' if not version else ''
            first = HEAD % (version, 'q1', FIELDS, framing + keep)
            last = HEAD % (version, 'q2', FIELDS, framing)
            last = last.replace('\r\nf0', '\r\nConnection: close\r\nf0')
            for head in (first, last):
                writer.write(head.encode() + body)
            async with asyncio.timeout(whole.WAIT_S):
                received = await reader.read()
            writer.close()
            found = [one.body for one in env.replica.received]
            assert found == [body] * count
            for one in env.replica.received:
                assert one.headers[f'f{MANY - 1}'] == str(MANY - 1)
            return received

    assert asyncio.run(play()).count(b'HTTP/1.1 200') == count


def test_bytes_of_a_turn_are_bounded() -> None:
    async def play() -> list[int]:
        found = []
        share = work_share.TurnBytes(100)
        for count in (60, 60, 60, 200, 1):
            used = 0
            while share.has_left():
                share.use(count)
                used += count
            found.append(used)
            await asyncio.sleep(0)
        return found

    assert asyncio.run(play()) == [120, 120, 120, 200, 100]


def test_head_that_came_with_a_body_does_not_wait_for_more() -> None:
    """Guards against a next request that hangs until its caller sends."""

    async def play() -> bytes:
        ours, theirs = socket.socketpair()
        stream = client_stream.ClientStream(ours)
        stream.head_bytes = work_share.TurnBytes(100)
        stream.head_bytes.use(100)
        stream.expect_request()
        stream.unread(b'GET / HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(whole.WAIT_S):
            head = await stream.read_until_regex(b'\r\n\r\n')
        stream.close()
        theirs.close()
        return head

    assert asyncio.run(play()) == b'GET / HTTP/1.1\r\n\r\n'


def heads_at_once(count: int) -> collections.abc.Iterator[bytes]:
    """Yields heads of requests that each have an id of their own."""
    for number in range(count):
        yield (
            HEAD % (1, f'q{number}', FIELDS, 'Content-Length: 0\r\n')
        ).encode()


def test_heads_that_come_at_once_are_all_served() -> None:
    """Guards against connections that wait for their turn and never get it."""

    async def play() -> list[bytes]:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            # Of an instance; what is spare here depends on the test process.
            env.gateway.ingress.forwarder.board.held.limit = HELD_BYTES
            opened = [
                await asyncio.open_connection('127.0.0.1', env.port)
                for _ in range(30)
            ]
            for (_, writer), head in zip(
                opened, heads_at_once(30), strict=True
            ):
                writer.write(head)
            async with asyncio.timeout(whole.WAIT_S):
                found = [
                    await reader.readuntil(b'\r\n\r\n') for reader, _ in opened
                ]
            for _, writer in opened:
                writer.close()
            return found

    answers = asyncio.run(play())
    assert not [
        head for head in answers if not head.startswith(b'HTTP/1.1 200 ')
    ]
