"""What a client sees when its connection ends, and what its own close ends."""

import asyncio
import json
import typing

import pytest

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import server
from standins import replica
from tests import test_gateway_whole as whole

HEADERS: typing.Final = (
    'Host: desk.example\r\nAttempt-Id: q1\r\nCredential: k1\r\n'
    'Program-Id: p\r\nToken-Budget: 9000\r\nToken-Count: 10,588\r\n'
    'Deadline-Ms: 5000\r\nContent-Length: 0\r\n'
)
FIRST_TWO: typing.Final = b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n'
WHOLE: typing.Final = FIRST_TWO + b'id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n'
END_WITHIN_S: typing.Final = 2.0

KEPT_OR_NOT: typing.Final = pytest.mark.parametrize(
    'connection', ['', 'Connection: keep-alive\r\n']
)


async def read_end(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Returns what follows, and whether the connection was reset."""
    received = b''
    async with asyncio.timeout(END_WITHIN_S):
        try:
            while data := await reader.read(65_536):
                received += data
        except ConnectionResetError:
            return received, True
    return received, False


async def start_stream(
    env: whole.Environment, connection: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a turn as an HTTP/1.0 client; returns where its body begins."""
    reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
    head = f'POST /a/b HTTP/1.0\r\n{HEADERS}{connection}\r\n'
    writer.write(head.encode())
    async with asyncio.timeout(END_WITHIN_S):
        answer = await reader.readuntil(b'\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200 ')
    return reader, writer


@KEPT_OR_NOT
def test_cut_stream_without_chunks_does_not_look_complete(
    connection: str,
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Stream(cut_after=2)]
            await whole.make_ready(env)
            reader, writer = await start_stream(env, connection)
            body, was_reset = await read_end(reader)
            assert WHOLE.startswith(body)
            assert was_reset
            writer.close()

    asyncio.run(play())


def test_stream_without_chunks_looks_cut_when_its_process_ends() -> None:
    """The kernel closes the sockets of a process that ends."""
    head = (
        b'HTTP/1.1 200 OK\r\nAttempt-Id: $ID\r\nResponse-Seal: s\r\n'
        b'Content-Type: text/event-stream\r\n\r\n'
    )

    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Stalled(data=head + FIRST_TWO)]
            await whole.make_ready(env)
            reader, writer = await start_stream(env, '')
            async with asyncio.timeout(END_WITHIN_S):
                assert await reader.readexactly(len(FIRST_TWO)) == FIRST_TWO
            [one] = env.gateway.ingress.readers.values()
            assert one.stream is not None
            one.stream.io_loop.remove_handler(one.stream.fileno())
            one.stream.socket.close()
            assert await read_end(reader) == (b'', True)
            writer.close()

    asyncio.run(play())


@KEPT_OR_NOT
def test_whole_stream_without_chunks_looks_complete(connection: str) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            reader, writer = await start_stream(env, connection)
            assert await read_end(reader) == (WHOLE, False)
            writer.close()

    asyncio.run(play())


def test_whole_stream_without_chunks_is_read_late_and_whole() -> None:
    """The client reads when the server has closed the connection."""

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            reader, writer = await start_stream(env, '')
            await env.wait_until(lambda: not env.gateway.ingress.readers)
            assert await read_end(reader) == (WHOLE, False)
            writer.close()

    asyncio.run(play())


def count_received(*replicas: replica.Replica) -> int:
    """Returns how many requests reached upstreams."""
    return sum(len(one.received) for one in replicas)


async def send_call(env: whole.Environment, kind: str) -> asyncio.StreamWriter:
    """Sends a request of a kind of route; does not wait for its answer."""
    route = {**whole.ROUTE, 'Kind': kind, 'Retain': False, 'Attempts': 3}
    env.write_config(Version=2, Routes=[route])
    board = env.gateway.board
    await env.wait_until(
        lambda: bool(board.config and board.config.version == 2)
    )
    _, writer = await asyncio.open_connection('127.0.0.1', env.port)
    headers = HEADERS.replace('Token-Budget: 9000\r\n', '')
    writer.write(f'POST /a/b HTTP/1.1\r\n{headers}\r\n'.encode())
    return writer


KINDS: typing.Final = pytest.mark.parametrize(
    'kind', ['keyed', 'unsafe', 'idempotent']
)


@KINDS
def test_request_whose_caller_left_before_a_connection_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    connect = connection_pool.Pool.open
    may_connect = asyncio.Event()
    asked: list[str] = []

    async def connect_later(
        pool: connection_pool.Pool, host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        asked.append(host)
        await may_connect.wait()
        return await connect(pool, host, port, timeout_s)

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            monkeypatch.setattr(connection_pool.Pool, 'open', connect_later)
            writer = await send_call(env, kind)
            await env.wait_until(lambda: bool(asked))
            writer.close()
            await env.wait_until(lambda: not env.gateway.ingress.readers)
            may_connect.set()
            await asyncio.sleep(0.1)
            assert count_received(env.replica) == 0
            assert env.gateway.board.open_requests == 0

    asyncio.run(play())


@KINDS
def test_request_whose_caller_left_is_not_sent_to_a_second_upstream(
    kind: str,
) -> None:
    """The first one says, after the caller has left, that it has not run."""
    refusal = replica.CompleteResponse(
        status=503,
        sealed=False,
        headers=(('Not-Executed', '1'),),
        pause_s=0.2,
    )

    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [refusal]
            second = replica.Replica(behaviours=[refusal])
            await second.start()
            await whole.make_ready(env)
            register(env, second)
            upstreams = env.gateway.board.upstreams
            await env.wait_until(
                lambda: len(upstreams.of_service('guide', False)) == 2
            )
            writer = await send_call(env, kind)
            await env.wait_until(
                lambda: count_received(env.replica, second) == 1
            )
            writer.close()
            await env.wait_until(lambda: not env.gateway.ingress.readers)
            await asyncio.sleep(0.4)
            assert count_received(env.replica, second) == 1
            assert env.gateway.board.open_requests == 0
            await second.stop()

    asyncio.run(play())


def register(env: whole.Environment, another: replica.Replica) -> None:
    """Writes the entry of another replica to the store."""
    entry = {
        'Service': 'guide',
        'Address': f'127.0.0.1:{another.port}',
        'Zone': 'north',
        'Version': 'v1',
        'Slots': 4,
        'State': 'ready',
        'born': 1,
    }
    env.store.put('keyed.servers', 'u2', json.dumps(entry).encode())


LONG_IDLE_MS: typing.Final = 1_000
SHORT_IDLE_MS: typing.Final = 100


async def limit_idle(
    env: whole.Environment, version: int, idle_ms: int
) -> None:
    """Writes a configuration with an idle limit; waits until it is applied."""
    env.write_config(Version=version, Limits={'IdleTimeoutMs': idle_ms})
    ingress = env.gateway.ingress
    await env.wait_until(
        lambda: ingress.limits.idle_timeout_s == idle_ms / 1_000
    )


async def read_stream(reader: asyncio.StreamReader) -> bytes:
    """Returns a whole answer in chunks."""
    async with asyncio.timeout(END_WITHIN_S):
        return await reader.readuntil(b'\r\n0\r\n\r\n')


def test_idle_limit_that_shrinks_under_an_answer_counts_from_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client may be idle for as long as when it sent its request."""
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)
    request = f'POST /a/b HTTP/1.1\r\n{HEADERS}\r\n'.encode()

    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [
                replica.Stream(pause_s=0.1),
                replica.Stream(),
            ]
            await whole.make_ready(env)
            await limit_idle(env, 2, LONG_IDLE_MS)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            writer.write(request)
            await env.wait_until(lambda: bool(env.replica.received))
            await limit_idle(env, 3, SHORT_IDLE_MS)
            await read_stream(reader)
            # Four fifths of the limit, as clients keep to.
            await asyncio.sleep(LONG_IDLE_MS * 0.8 / 1_000)
            writer.write(request)
            answer = await read_stream(reader)
            assert answer.startswith(b'HTTP/1.1 200 ')
            await asyncio.sleep(4 * SHORT_IDLE_MS / 1_000)
            assert reader.at_eof()
            writer.close()

    asyncio.run(play())
