"""Planned stops under load: no request that was sent is cut off."""

import asyncio
import socket
import typing

import attrs
import pytest
from tornado import httputil
from tornado import iostream

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import drain
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import tunnel_client
from standins import platform_store
from standins import replica
from tests import gateway_support
from tests import test_gateway_whole as whole

TURN: typing.Final = (
    b'POST /a/b HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\n'
    b'Credential: k1\r\nProgram-Id: p%s\r\nToken-Budget: 9000\r\n'
    b'Token-Count: 10,588\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n'
)
CLIENTS: typing.Final = 40


def send_blocking(port: int, name: bytes) -> socket.socket:
    """Connects and sends a turn without running the event loop."""
    sock = socket.create_connection(('127.0.0.1', port))
    sock.sendall(TURN % (name, name))
    sock.setblocking(False)
    return sock


async def read_all(sock: socket.socket) -> bytes:
    """Returns all that arrives until the connection closes."""
    loop = asyncio.get_running_loop()
    received = b''
    async with asyncio.timeout(whole.WAIT_S):
        while data := await loop.sock_recv(sock, 65_536):
            received += data
    sock.close()
    return received


@pytest.mark.parametrize('stop', range(10))
def test_connections_in_the_backlog_are_served(stop: int) -> None:
    """Clients connect in the turn of the loop that closes the listener."""

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            env.gateway.board.stopping = True
            clients = [
                send_blocking(env.port, b'q%d' % number)
                for number in range(CLIENTS + stop)
            ]
            await drain.close_listener(env.gateway.ingress)
            for found in await asyncio.gather(*map(read_all, clients)):
                assert found.startswith(b'HTTP/1.1 200')
                assert found.endswith(b'0\r\n\r\n')
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(('127.0.0.1', env.port))

    asyncio.run(play())


def test_stop_ends_in_time_whatever_the_store_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        monkeypatch.setattr(drain, 'LOAD_BALANCER_GRACE_S', 0.0)
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            budgets = env.gateway.forwarder.turns.budgets
            loop = asyncio.get_running_loop()
            for number in range(200):
                budgets.queue_settlement(f'p{number}', f't{number}', 1, 0.0)
            env.store.fault = platform_store.Fault.SILENT
            started = loop.time()
            await env.gateway.drain()
            assert loop.time() - started < drain.FLUSH_TIMEOUT_S + 0.3

    asyncio.run(play())


@pytest.mark.parametrize(('events', 'is_whole'), [(4, True), (400, False)])
def test_stop_carries_open_tunnels_to_their_end_within_its_time(
    events: int, is_whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(drain, 'LOAD_BALANCER_GRACE_S', 0.0)

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            board = env.gateway.board
            board.settings = attrs.evolve(board.settings, stop_s=2.0)
            env.replica.behaviours = [
                replica.Stream(events=events, pause_s=0.1, unframed=True)
            ]
            (upstream,) = board.upstreams.by_id.values()
            opened = await tunnel_client.open_tunnel(
                board.settings.tunnel_listen, upstream.entry, 1.0
            )
            idle = await tunnel_client.open_tunnel(
                board.settings.tunnel_listen, upstream.entry, 1.0
            )
            idle.protocol.idle = True
            pooled = await channel.connect('127.0.0.1', env.replica.port, 1.0)
            env.gateway.forwarder.attempts.pool.release('u1', pooled, 0.0)
            await opened.send('POST', '/a/b', [('Host', 'x')], b'')
            await opened.read_head(0.0)
            loop = asyncio.get_running_loop()
            started = loop.time()
            stopping = asyncio.create_task(env.gateway.drain())
            if is_whole:
                assert b'e4' in await opened.read_body()
                assert idle.protocol.closed
                assert not pooled.protocol.closed
            else:
                with pytest.raises(buffering.ChannelError):
                    await opened.read_body()
            await stopping
            assert loop.time() - started < 2.0
            assert pooled.protocol.closed


def test_stop_ends_once_the_last_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        monkeypatch.setattr(drain, 'LOAD_BALANCER_GRACE_S', 0.0)
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            for number in range(3):
                assert b' 200 ' in await env.send_turn(f't{number}')
            readers = env.gateway.ingress.readers
            await env.wait_until(lambda: not readers)
            loop = asyncio.get_running_loop()
            started = loop.time()
            await env.gateway.drain()
            assert loop.time() - started < drain.FLUSH_TIMEOUT_S + 0.3

    asyncio.run(play())


def test_stop_waits_for_work_whose_caller_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that is not idempotent goes on once it was sent."""
    route = {**whole.ROUTE, 'Kind': 'keyed', 'Retain': False}

    async def play() -> None:
        monkeypatch.setattr(drain, 'LOAD_BALANCER_GRACE_S', 0.0)
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Stream(pause_s=0.1)]
            await whole.make_ready(env)
            env.write_config(Version=2, Routes=[route])
            board = env.gateway.board
            await env.wait_until(
                lambda: bool(board.config and board.config.version == 2)
            )
            client = send_blocking(env.port, b'q1')
            await env.wait_until(lambda: bool(env.replica.received))
            client.close()
            readers = env.gateway.ingress.readers
            await env.wait_until(lambda: not readers)
            assert board.open_requests
            await env.gateway.drain()
            assert not board.open_requests

    asyncio.run(play())


def test_settlements_of_all_partitions_are_written_together() -> None:
    """One slow partition does not hold up the others at the end."""

    async def play() -> None:
        log = gateway_support.MemoryLog(partitions=8)
        budgets = budget_log.BudgetLog(log)
        for number in range(64):
            budgets.queue_settlement(f'p{number}', f't{number}', 1, 0.0)
        log.hanging_appends = 1
        flushing = asyncio.create_task(budgets.flush(float('inf')))
        await asyncio.sleep(0.01)
        assert log.appends == 8
        flushing.cancel()

    asyncio.run(play())


class FakeStream:
    """A stream whose peer does not read for a while."""

    def __init__(self) -> None:
        self.unsent: asyncio.Future[None] = asyncio.Future()
        self.is_closed = False

    def closed(self) -> bool:
        """Returns whether the stream is closed."""
        return self.is_closed

    def write(self, data: bytes) -> 'asyncio.Future[None]':
        """Returns when all bytes are with the kernel."""
        if self.is_closed:
            raise iostream.StreamClosedError
        return self.unsent

    def close(self) -> None:
        """Drops what is unsent."""
        self.is_closed = True


class FakeConnection:
    """The connection of a stream."""

    def __init__(self) -> None:
        self.stream = FakeStream()

    def finish(self) -> None:
        """Writes the end of the response."""


def test_response_is_sent_whole_before_its_connection_closes() -> None:
    async def play() -> None:
        conn = FakeConnection()
        reply = connection_reply.ConnectionReply(
            typing.cast(httputil.HTTPConnection, conn),
            typing.cast(board_lib.Board, None),
            event_log.EventLog(),
        )
        reply.close_announced = True
        finishing = asyncio.create_task(reply.finish())
        await asyncio.sleep(0)
        assert not conn.stream.is_closed
        conn.stream.unsent.set_result(None)
        await finishing
        assert conn.stream.is_closed

    asyncio.run(play())


def test_connection_that_is_closed_already_is_left_alone() -> None:
    """Tornado closes one whose request asked for that."""

    async def play() -> None:
        conn = FakeConnection()
        conn.stream.is_closed = True
        reply = connection_reply.ConnectionReply(
            typing.cast(httputil.HTTPConnection, conn),
            typing.cast(board_lib.Board, None),
            event_log.EventLog(),
        )
        reply.close_announced = True
        await reply.finish()

    asyncio.run(play())


def test_second_signal_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        monkeypatch.setattr(drain, 'LOAD_BALANCER_GRACE_S', 0.2)
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Stream(pause_s=0.1)]
            await whole.make_ready(env)
            turn = asyncio.create_task(env.send_turn('t1'))
            await env.wait_until(lambda: bool(env.replica.received))
            stops = [
                asyncio.create_task(env.gateway.drain()) for _ in range(2)
            ]
            assert (await turn).endswith(b'0\r\n\r\n')
            await asyncio.gather(*stops)

    asyncio.run(play())
