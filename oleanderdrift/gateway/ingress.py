"""Tornado HTTP server: reads client requests and writes responses."""

import asyncio
import socket
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import request_end

READ_BYTES: typing.Final = 65_536
# What is read of any head; the configured limit may grow while a connection
# waits for its next request.
MAX_HEAD_BYTES: typing.Final = 1_048_576
# Around the name and the value of each header.
HEADER_FRAMING_BYTES: typing.Final = 4


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Creates a request reader for each request on a connection.

    readers holds the current request reader of each open connection, and
    listeners the listening sockets.
    """

    def __init__(
        self,
        target: forwarder.Forwarder,
        codec: ports.Codec,
    ) -> None:
        self.forwarder = target
        self.codec = codec
        self.tasks: set[asyncio.Task[None]] = set()
        self.readers: dict[object, _RequestReader] = {}
        self.listeners: list[socket.socket] = []
        self.limits = model.Limits()
        self.server = make_server(self, self.limits)

    def listen(self, host: str, port: int) -> None:
        """Starts listening; raises OSError."""
        self.listeners = netutil.bind_sockets(port, host)
        self.server.add_sockets(self.listeners)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader for one request."""
        reader = _RequestReader(self, request_conn)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Drops the reader of a closed connection."""
        reader = self.readers.pop(server_conn, None)
        if reader is not None:
            self.log_idle_close(reader, clock.monotonic())

    def log_idle_close(self, reader: '_RequestReader', now: float) -> None:
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
            if reader.is_idle() and now - reader.idle_since >= idle_timeout_s:
                reader.close()

    def close_overdue(self, now: float) -> None:
        """Closes connections whose next request takes longer than allowed."""
        for reader in list(self.readers.values()):
            if reader.is_overdue(now, self.limits.header_timeout_s):
                reader.close()

    def apply_limits(self, limits: model.Limits) -> None:
        """Applies the configured limits to later requests.

        A connection that is idle now may be so for the longer of both times:
        its client may not know of the change.
        """
        self.limits = limits
        self.server.conn_params.max_body_size = limits.body_bytes
        for reader in self.readers.values():
            reader.idle_timeout_s = max(
                reader.idle_timeout_s, limits.idle_timeout_s
            )


def make_server(
    delegate: Ingress, limits: model.Limits
) -> client_stream.ClientServer:
    """Returns a server that passes its requests to the delegate."""
    server = client_stream.ClientServer(
        delegate,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=limits.body_bytes,
        chunk_size=READ_BYTES,
    )
    # Its time-out would come before bytes that wait in the socket.
    server.conn_params.header_timeout = None
    return server


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it.

    received_at is when its head had been read, 0 before.  idle_timeout_s is
    how long its connection may be idle before it begins.
    """

    def __init__(
        self, ingress: Ingress, conn: httputil.HTTPConnection
    ) -> None:
        self.ingress = ingress
        self.conn = conn
        self.body_chunks: list[bytes] = []
        self.received_at = 0.0
        self.idle_since = clock.monotonic()
        self.idle_timeout_s = ingress.limits.idle_timeout_s
        self.closed = False
        self.reply = ConnectionReply(conn, ingress)
        self.task: asyncio.Task[None] | None = None
        stream = getattr(conn, 'stream', None)
        self.stream: client_stream.ClientStream | None = None
        if isinstance(stream, client_stream.ClientStream):
            self.stream = stream
            stream.expect_request()

    def is_idle(self) -> bool:
        """Returns whether no byte of a request has arrived."""
        if self.received_at:
            return False
        stream = self.stream
        return stream is None or (
            stream.first_read_at is None and not stream.has_unread()
        )

    def is_overdue(self, now: float, header_timeout_s: float) -> bool:
        """Returns whether its head takes longer than allowed."""
        stream = self.stream
        if self.received_at or stream is None:
            return False
        if stream.first_read_at is None:
            due_at = self.idle_since + self.idle_timeout_s
        else:
            due_at = stream.first_read_at + header_timeout_s
        # Bytes that wait may be the rest of the head.
        return now >= due_at and not stream.has_unread()

    def close(self) -> None:
        """Closes the connection before a request has been read."""
        self.closed = True
        self.reply.abort()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the start line and headers of the request."""
        # Not in __init__: Tornado creates the reader as soon as the previous
        # request has ended.
        self.received_at = clock.monotonic()
        self.start_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = list(headers.get_all())
        if isinstance(self.conn, http1connection.HTTP1Connection):
            self.conn.set_max_body_size(self.ingress.limits.body_bytes)

    def head_bytes(self) -> int:
        """Returns the size of the start line and headers."""
        return len(self.start_line.path) + sum(
            len(name) + len(value) + HEADER_FRAMING_BYTES
            for name, value in self.headers
        )

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        self.body_chunks.append(chunk)

    def finish(self) -> None:
        """Starts the response to a complete request."""
        end = request_end.RequestEnd(
            reply=self.reply,
            codec=self.ingress.codec,
            events=self.ingress.forwarder.events,
            request_id=self.ingress.codec.request_id(self.headers),
        )
        if self.closed or self.reply.is_disconnected():
            # No client waits for the response.
            end.log_end(None, 'closed')
            return
        self.task = asyncio.create_task(self.respond(self.reply))
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)
        self.task.add_done_callback(end.on_done)
        if isinstance(self.conn, http1connection.HTTP1Connection):
            # Tornado tells the delegate only until the request is read.
            self.conn.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancels the work for a client that disconnected.

        One that is not idempotent goes on once it may have begun.
        """
        progress = self.reply.progress
        if progress is not None and progress.must_complete():
            return
        if self.task is not None:
            self.task.cancel()

    async def respond(self, reply: 'ConnectionReply') -> None:
        """Decodes the request and has the forwarder serve it."""
        if self.head_bytes() > self.ingress.limits.header_bytes:
            await reply.send_complete(codes.HEAD_TOO_LARGE.status, [], b'')
            return
        try:
            request = self.ingress.codec.decode_request(
                self.start_line.method,
                self.start_line.path,
                self.headers,
                b''.join(self.body_chunks),
                self.received_at,
            )
        except errors.ResultError as error:
            await reply.send_complete(error.code.status, [], b'')
            return
        except Exception as error:
            raise errors.ResultError(codes.BAD_REQUEST, repr(error)) from error
        await self.ingress.forwarder.serve(request, reply)


class ConnectionReply:
    """Writes one response to a client connection."""

    def __init__(
        self, conn: httputil.HTTPConnection, ingress: Ingress
    ) -> None:
        self.conn = conn
        self.ingress = ingress
        self.started = False
        self.progress: progress_lib.Progress | None = None
        self.ended = False
        self.close_announced = False

    def should_close(self) -> bool:
        """Returns whether the client should reconnect for its next request.

        This is the case while the instance is not ready, as in a drain.
        """
        board = self.ingress.forwarder.board
        return not board.is_ready(clock.monotonic(), clock.boot())

    async def write_head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> None:
        """Sends the status and headers, and the body if it is given."""
        await self.wait_until_sent(self.start_head(status, headers, body))

    def start_head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> 'asyncio.Future[None]':
        """Begins to send what write_head sends."""
        self.started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields['Content-Length'] = str(len(body))
        self.close_announced = self.should_close()
        if self.close_announced:
            fields['Connection'] = 'close'
        start_line = httputil.ResponseStartLine('HTTP/1.1', status, 'Answer')
        return self.conn.write_headers(start_line, fields, body or None)

    def refuse(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends a complete response without a body; does not wait."""
        sending = self.start_head(status, headers, b'')
        self.end()
        if self.close_announced:
            sending.add_done_callback(lambda _: self.abort())

    def is_disconnected(self) -> bool:
        """Returns whether the connection is closed."""
        stream = getattr(self.conn, 'stream', None)
        return stream is not None and bool(stream.closed())

    async def wait_until_sent(self, future: 'asyncio.Future[None]') -> None:
        """Waits for a write.

        Raises ClientDisconnectedError if the connection is closed.
        """
        try:
            await future
        except (iostream.StreamClosedError, OSError) as error:
            raise reply_lib.ClientDisconnectedError from error

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Sends a complete response."""
        await self.write_head(status, headers, body)
        await self.finish()

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends the status and headers of a response of unknown length."""
        await self.write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body."""
        await self.wait_until_sent(self.conn.write(chunk))

    async def finish(self) -> None:
        """Marks the response as complete."""
        self.end()
        # Without a Connection: close header the client may already have
        # sent its next request, so the connection stays open.
        if self.close_announced:
            await self.flush()
            self.abort()

    def end(self) -> None:
        """Ends the response; the rest of it is still being sent."""
        self.ended = True
        self.conn.finish()

    async def flush(self) -> None:
        """Waits until all that was written is handed to the kernel.

        Closing the connection drops what is not.  Tornado may have closed it
        already, once all was written.
        """
        stream = getattr(self.conn, 'stream', None)
        if stream is not None and not stream.closed():
            await self.wait_until_sent(stream.write(b''))

    def abort(self) -> None:
        """Closes the connection at once."""
        self.ended = True
        stream = getattr(self.conn, 'stream', None)
        if stream is not None:
            stream.close()
