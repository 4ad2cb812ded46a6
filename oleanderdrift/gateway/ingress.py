"""Tornado HTTP server: reads client requests and writes responses."""

import asyncio
import contextlib
import functools
import socket
import typing

from tornado import httputil
from tornado import netutil

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import caller_limits
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_stage
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import lingering
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import receive_windows
from oleanderdrift.gateway import request_reader
from oleanderdrift.gateway import work_share

# At least so much is read of a head, since the configured limit may grow while
# a connection waits for its next request.
MIN_HEAD_BYTES: typing.Final = 524_288
# Fewer bytes in a socket's buffers are not worth counting.
KERNEL_BYTES: typing.Final = 131_072
# How long no connection is looked for to be closed after none was found.
FULL_S: typing.Final = 0.05
# Sent to a connection over the limit before any of its requests is read.
_TOO_MANY: typing.Final = (
    f'HTTP/1.1 503 Answer\r\nRetry-After: {admission.RETRY_ELSEWHERE_S:g}\r\n'
    'Content-Length: 0\r\nConnection: close\r\n\r\n'
).encode()


class Ingress(client_stream.ConnectionDelegate):
    """Creates a request reader for each request on a connection.

    At its limit of connections, it closes some that wait for a caller.
    full_until is until when no connection is closed for a new one.
    readers holds the current request reader of each open connection, and
    listeners the listening sockets.  work is what small chunks cause.
    """

    def __init__(
        self,
        target: forwarder.Forwarder,
        codec: ports.Codec,
    ) -> None:
        self.forwarder = target
        self.codec = codec
        self.tasks: set[asyncio.Task[None]] = set()
        self.readers: dict[object, request_reader.RequestReader] = {}
        self.listeners: list[socket.socket] = []
        self.limits = model.Limits()
        self.full_until = 0.0
        self.work = work_share.WorkShare()
        self.server = make_server(self, self.limits)

    def listen(self, host: str, port: int) -> None:
        """Starts listening; raises OSError."""
        self.listeners = netutil.bind_sockets(port, host)
        self.server.windows.listen(self.listeners)
        self.server.add_sockets(self.listeners)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader for one request."""
        reader = request_reader.RequestReader(self, request_conn)
        previous = self.readers.get(server_conn)
        if previous is not None:
            reader.is_first = False
            reader.keep_idle_timeout(previous.idle_timeout_s)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Drops the reader of a closed connection."""
        reader = self.readers.pop(server_conn, None)
        if reader is not None:
            if not reader.is_whole:
                reader.release()
            self.log_idle_close(reader, clock.monotonic())

    def log_idle_close(
        self, reader: request_reader.RequestReader, now: float
    ) -> None:
        """Logs that this side closed a connection that awaited a request.

        unread says whether bytes waited in its socket when it was closed.
        """
        stream = reader.stream
        if reader.received_at or stream is None:
            return
        if stream.peer_closed or stream.closed_at < reader.idle_since:
            return
        self.forwarder.events.info(
            'connection-closed',
            idle_ms=round((now - reader.idle_since) * 1_000),
            head_begun=stream.first_read_at is not None,
            unread=stream.was_unread,
        )

    def close_idle(self, now: float, idle_timeout_s: float) -> None:
        """Closes connections that have been idle for at least the timeout."""
        for reader in list(self.readers.values()):
            idle_s = now - reader.idle_since
            if idle_s >= idle_timeout_s and connection_stage.is_idle(reader):
                reader.close()

    def close_overdue(self, now: float) -> None:
        """Ends requests that take longer to arrive than allowed."""
        for reader in list(self.readers.values()):
            if connection_stage.is_head_overdue(
                reader, now, self.limits.header_timeout_s
            ):
                if reader.stream is not None and reader.stream.first_read_at:
                    self.forwarder.board.refusals['slow-heads'] += 1
                reader.close()
            elif connection_stage.is_body_overdue(reader, now):
                reader.refuse_slow('the body is not whole at its deadline')

    def limit_kernel_bytes(self) -> None:
        """Bounds and counts what the kernel holds for callers."""
        self.server.windows.fit_all(self.server.open_streams)
        for reader in list(self.readers.values()):
            stream = reader.stream
            if stream is None:
                continue
            count = stream.kernel_bytes()
            if count <= KERNEL_BYTES:
                stream.release()
                continue
            if stream.holder is None:
                stream.holder = self.forwarder.board.held.open(
                    reader.account_name() if reader.received_at else '',
                    functools.partial(self.close_unread, reader),
                )
            holder = stream.holder
            holder.shrink(holder.count)
            holder.grow(count)

    def close_unread(self, reader: request_reader.RequestReader) -> None:
        """Closes a connection for what waits in the kernel for its caller."""
        board = self.forwarder.board
        board.refusals['unread-answers'] += 1
        self.forwarder.events.info('kernel-bytes-held', held=board.held.total)
        reader.closed = True
        # Its answer may be whole, and wait to be sent.
        reader.reply.close()

    def make_room(self) -> bool:
        """Closes connections that wait for their callers, for a new one."""
        now = clock.monotonic()
        if now < self.full_until:
            return False
        found = caller_limits.victims(
            [
                (reader, *connection_stage.stage_of(reader, now))
                for reader in self.readers.values()
                if not reader.closed and not reader.reply.is_disconnected()
            ],
            now,
        )
        board = self.forwarder.board
        for reader in found:
            stage, since = connection_stage.stage_of(reader, now)
            board.refusals['connections-closed'] += 1
            self.forwarder.events.info(
                'connection-evicted',
                stage=stage.name.lower(),
                age_ms=round((now - since) * 1_000),
                open=len(self.server.open_streams),
            )
            if reader.received_at:
                reader.refuse_slow('a new connection needs its place')
            reader.close()
        if not found:
            self.full_until = now + FULL_S
        return bool(found)

    def refuse_connection(self, sock: socket.socket) -> None:
        """Answers a connection over the limit; no byte of it was read."""
        self.forwarder.board.refusals['connections-refused'] += 1
        self.forwarder.events.info(
            'connection-refused', open=len(self.server.open_streams)
        )
        with contextlib.suppress(OSError):
            sock.send(_TOO_MANY, socket.MSG_DONTWAIT)

    def apply_limits(self, limits: model.Limits) -> None:
        """Applies the configured limits to later requests.

        A connection that is idle now, or after the answer that is under way,
        may be so for the longer of both times: its client may not know of
        the change.
        """
        self.limits = limits
        self.server.conn_params.max_body_size = limits.body_bytes
        self.server.conn_params.max_header_size = max(
            MIN_HEAD_BYTES, limits.header_bytes * request_reader.HEAD_FACTOR
        )
        for reader in self.readers.values():
            reader.keep_idle_timeout(limits.idle_timeout_s)


def make_server(
    delegate: Ingress, limits: model.Limits
) -> client_stream.ClientServer:
    """Returns a server that passes its requests to the delegate."""
    server = client_stream.ClientServer(
        delegate,
        max_header_size=MIN_HEAD_BYTES,
        max_body_size=limits.body_bytes,
        chunk_size=client_stream.BODY_READ_BYTES,
    )
    server.open_streams = set()
    limits_of_callers = delegate.forwarder.board.caller_limits
    server.max_connections = limits_of_callers.clients
    server.windows = receive_windows.ReceiveWindows(
        budget=limits_of_callers.unread_bytes
    )
    server.head_bytes = work_share.TurnBytes(client_stream.HEAD_TURN_BYTES)
    server.body_bytes = work_share.TurnBytes(client_stream.BODY_TURN_BYTES)
    server.lingering = lingering.Lingering(limit=limits_of_callers.lingering)
    # Its time-out would come before bytes that wait in the socket.
    server.conn_params.header_timeout = None
    return server
