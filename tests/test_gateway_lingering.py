"""A caller that is refused while it sends sees the refusal, not a reset."""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import typing

import pytest

from oleanderdrift.gateway import caller_limits
from oleanderdrift.gateway import lingering as lingering_lib
from tests import test_gateway_whole as whole

MB: typing.Final = 1_048_576
HEAD: typing.Final = (
    'POST /a/b HTTP/1.1\r\nHost: desk.example\r\nCredential: k1\r\n'
    'Attempt-Id: q1\r\nDeadline-Ms: 5000\r\n%s\r\n\r\n'
)
LONG_BYTES: typing.Final = 16 * MB
CHUNK: typing.Final = b'%x\r\n%b\r\n' % (MB, b'x' * MB)
LIMIT: typing.Final = 4
# A close is a reset.
NO_LINGER: typing.Final = struct.pack('ii', 1, 0)


def send_and_read(port: int, data: bytes) -> bytes:
    """Sends all of a request before it reads its answer to the end.

    Raises ConnectionError if the connection is reset.
    """
    with socket.create_connection(('127.0.0.1', port)) as sock:
        sock.settimeout(whole.WAIT_S)
        sock.sendall(data)
        received = b''
        while part := sock.recv(65_536):
            received += part
        return received


@pytest.mark.parametrize(
    ('framing', 'body', 'status'),
    [
        (f'Content-Length: {LONG_BYTES}', b'x' * LONG_BYTES, b'413'),
        ('Transfer-Encoding: chunked', CHUNK * 16, b'413'),
        ('Transfer-Encoding: chunked', b'no size\r\n' + CHUNK * 16, b'400'),
    ],
)
def test_refused_sender_sees_why(
    framing: str, body: bytes, status: bytes
) -> None:
    """Guards against a refusal that comes as a reset."""

    async def play() -> bytes:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            data = (HEAD % framing).encode() + body
            return await asyncio.to_thread(send_and_read, env.port, data)

    assert asyncio.run(play()).startswith(b'HTTP/1.1 ' + status)


def test_sender_without_a_place_sees_why() -> None:
    """Guards against the same at the limit of connections."""

    async def play() -> bytes:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            env.gateway.ingress.server.max_connections = 0
            data = (HEAD % f'Content-Length: {MB}').encode() + b'x' * MB
            return await asyncio.to_thread(send_and_read, env.port, data)

    answer = asyncio.run(play())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


@contextlib.contextmanager
def open_connections(
    count: int,
) -> collections.abc.Iterator[list[tuple[socket.socket, socket.socket]]]:
    """Opens connections; yields both ends of each."""
    with contextlib.ExitStack() as stack:
        found = []
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        for _ in range(count):
            client = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
            ours.setblocking(False)
            stack.enter_context(client)
            stack.enter_context(ours)
            client.setblocking(False)
            found.append((ours, client))
        yield found


async def read_end(client: socket.socket) -> bytes:
    """Reads until the connection ends."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(whole.WAIT_S):
        received = b''
        while part := await loop.sock_recv(client, 4_096):
            received += part
    return received


def test_connections_that_linger_are_few() -> None:
    """Guards against refused callers that keep what they were refused."""

    async def play() -> list[int]:
        waiting = lingering_lib.Lingering(limit=LIMIT)
        found = []
        with open_connections(3 * LIMIT) as pairs:
            for ours, client in pairs:
                client.sendall(b'more')
                waiting.take(ours)
                found.append(len(waiting.timers))
                ours.close()
            for _, client in pairs:
                assert await read_end(client) == b''
            # The others are closed with what they have sent.
            for sock in list(waiting.timers):
                waiting.close(sock)
            found.append(len(waiting.timers))
        return found

    expected = [*range(1, LIMIT + 1), *[LIMIT] * 2 * LIMIT, 0]
    assert asyncio.run(play()) == expected


def test_connection_lingers_until_its_client_closes_or_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lingering_lib, 'LINGER_S', 0.2)

    async def play() -> None:
        waiting = lingering_lib.Lingering(limit=LIMIT)
        with open_connections(2) as pairs:
            for ours, _ in pairs:
                waiting.take(ours)
                ours.close()
            (_, left), (_, stays) = pairs
            left.close()
            async with asyncio.timeout(whole.WAIT_S):
                while len(waiting.timers) == 2:
                    await asyncio.sleep(0.01)
                while waiting.timers:
                    stays.send(b'more')
                    await asyncio.sleep(0.01)

    asyncio.run(play())


def test_client_that_is_gone_does_not_linger() -> None:
    async def play() -> int:
        waiting = lingering_lib.Lingering(limit=LIMIT)
        with open_connections(1) as [(ours, client)]:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            client.close()
            await asyncio.sleep(0.05)
            waiting.take(ours)
        return len(waiting.timers)

    assert asyncio.run(play()) == 0


def test_descriptors_are_left_for_those_that_linger() -> None:
    few = caller_limits.derive(136 * MB, 400, 42 * MB)
    many = caller_limits.derive(136 * MB, 8_200, 42 * MB)
    assert (few.lingering, many.lingering) == (
        caller_limits.MIN_LINGERING,
        caller_limits.MAX_LINGERING,
    )
