"""Connections of callers: requests that cross a close, and what is read."""

import asyncio
import contextlib
import socket
import typing

import attrs
import pytest
from tornado import httputil
from tornado import iostream

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ingress
from oleanderdrift.platform import codec
from tests import gateway_support

IDLE_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class Forwarder:
    """A stand-in that counts the requests it is given."""

    served: int = 0
    board: board_lib.Board = attrs.field(factory=gateway_support.board)
    events: event_log.EventLog = attrs.field(factory=event_log.EventLog)

    async def serve(self, request: object, reply: object) -> None:
        """Counts a request."""
        self.served += 1


def receive_headers(reader: httputil.HTTPMessageDelegate) -> None:
    """Passes the start line and headers of a request to the reader."""
    line = httputil.RequestStartLine('GET', '/a/b', 'HTTP/1.1')
    headers = {'Host': 'a.example', 'Attempt-Id': 'q1', 'Deadline-Ms': '900'}
    reader.headers_received(line, httputil.HTTPHeaders(headers))


@pytest.mark.parametrize(
    ('head_before_close', 'runs'), [(False, 0), (True, 1)]
)
def test_request_that_arrives_after_the_close_is_not_run(
    monkeypatch: pytest.MonkeyPatch, head_before_close: bool, runs: int
) -> None:
    """A request whose headers arrived before the close still runs."""

    async def play() -> None:
        forwarder = Forwarder()
        gateway_ingress = ingress.Ingress(
            typing.cast(typing.Any, forwarder), codec.PlatformCodec()
        )
        aborted: list[object] = []
        monkeypatch.setattr(
            connection_reply.ConnectionReply,
            'abort',
            lambda reply: aborted.append(reply.conn),
        )
        conn = typing.cast(httputil.HTTPConnection, object())
        reader = gateway_ingress.start_request('c', conn)
        if head_before_close:
            receive_headers(reader)
        gateway_ingress.close_idle(clock.monotonic() + 2 * IDLE_S, IDLE_S)
        if not head_before_close:
            receive_headers(reader)
        assert bool(aborted) is not head_before_close
        reader.finish()
        await asyncio.gather(*gateway_ingress.tasks)
        assert forwarder.served == runs

    asyncio.run(play())


def test_stream_reads_nothing_ahead_of_what_is_asked_for() -> None:
    """Guards against bytes that fill a buffer while a caller is served."""

    async def play() -> tuple[int, bool]:
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        stream = client_stream.ClientStream(ours)
        stream.on_read = counts.append
        await _send(theirs, b'head\n')
        assert await stream.read_until(b'\n', max_bytes=1 << 20) == b'head\n'
        # Has it wait for bytes, as a reader does before it is kept waiting.
        waiting = stream.read_bytes(1)
        await _send(theirs, b'x')
        await waiting
        stream.set_close_callback(lambda: None)
        await _send(theirs, bytes(100_000))
        await asyncio.sleep(0.05)
        ahead = sum(counts) - len(b'head\nx')
        rest = await stream.read_bytes(100_000)
        theirs.close()
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.read_bytes(1)
        return ahead, rest == bytes(100_000)

    counts: list[int] = []
    ahead, is_whole = asyncio.run(play())
    assert is_whole
    assert ahead <= client_stream.READ_BYTES


async def _send(sock: socket.socket, data: bytes) -> None:
    """Sends bytes, as far as they are taken at once, and lets others run."""
    loop = asyncio.get_running_loop()
    asyncio.create_task(loop.sock_sendall(sock, data))
    await asyncio.sleep(0.05)
