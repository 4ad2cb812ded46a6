"""Tornado HTTP server: reads client requests and writes responses."""

import asyncio
import socket
import typing

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
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import request_end

READ_BYTES: typing.Final = 65_536


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
        self.server = make_server(self, model.Limits())

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
        stream = getattr(reader.conn, 'stream', None)
        if reader.received_at or not isinstance(
            stream, client_stream.ClientStream
        ):
            return
        if stream.peer_closed or stream.closed_at < reader.idle_since:
            return
        self.forwarder.events.info(
            'connection-closed',
            idle_ms=round((now - reader.idle_since) * 1_000),
            head_begun=stream.last_read_at > reader.idle_since,
            unread=stream.was_unread,
        )

    def close_idle(self, now: float, idle_timeout_s: float) -> None:
        """Closes connections that have been idle for at least the timeout."""
        for reader in list(self.readers.values()):
            if (
                not reader.received_at
                and now - reader.idle_since >= idle_timeout_s
            ):
                reader.closed = True
                ConnectionReply(reader.conn, self).abort()

    def apply_limits(self, limits: model.Limits) -> None:
        """Applies the configured limits to later requests."""
        params = self.server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes
        params.header_timeout = limits.idle_timeout_s


def make_server(
    delegate: Ingress, limits: model.Limits
) -> client_stream.ClientServer:
    """Returns a server that passes its requests to the delegate."""
    return client_stream.ClientServer(
        delegate,
        idle_connection_timeout=limits.idle_timeout_s,
        max_header_size=limits.header_bytes,
        max_body_size=limits.body_bytes,
        chunk_size=READ_BYTES,
    )


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it."""

    def __init__(
        self, ingress: Ingress, conn: httputil.HTTPConnection
    ) -> None:
        self.ingress = ingress
        self.conn = conn
        self.body_chunks: list[bytes] = []
        self.received_at = 0.0
        self.idle_since = clock.monotonic()
        self.closed = False
        self.task: asyncio.Task[None] | None = None

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

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        self.body_chunks.append(chunk)

    def finish(self) -> None:
        """Starts the response to a complete request."""
        reply = ConnectionReply(self.conn, self.ingress)
        end = request_end.RequestEnd(
            reply=reply,
            codec=self.ingress.codec,
            events=self.ingress.forwarder.events,
            request_id=self.ingress.codec.request_id(self.headers),
        )
        if self.closed:
            # The request arrived after the connection was closed, so no
            # client waits for its response.
            end.log_end(None, 'closed')
            return
        self.task = asyncio.create_task(self.respond(reply))
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)
        self.task.add_done_callback(end.on_done)

    def on_connection_close(self) -> None:
        """Cancels the work for a client that disconnected."""
        if self.task is not None:
            self.task.cancel()

    async def respond(self, reply: 'ConnectionReply') -> None:
        """Decodes the request and has the forwarder serve it."""
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
        self.may_have_run = False
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
