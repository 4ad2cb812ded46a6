"""Reads callers' requests with Tornado's server and writes answers."""

import asyncio
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import reply as reply_lib

READ_BYTES: typing.Final = 65_536


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Makes a reader for each request on each connection."""

    def __init__(
        self,
        target: forwarder.Forwarder,
        codec: ports.Codec,
    ) -> None:
        self.forwarder = target
        self.codec = codec
        self.tasks: set[asyncio.Task[None]] = set()
        self.readers: dict[object, _RequestReader] = {}
        self.server = make_server(self, model.Limits())

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of one request."""
        reader = _RequestReader(self, request_conn)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection."""
        self.readers.pop(server_conn, None)

    def close_idle(self, now: float, idle_timeout_s: float) -> None:
        """Closes the connections that have been idle for so long."""
        for reader in list(self.readers.values()):
            if (
                not reader.received_at
                and now - reader.idle_since >= idle_timeout_s
            ):
                reader.closed = True
                ConnectionReply(reader.conn, self).abort()

    def apply_limits(self, limits: model.Limits) -> None:
        """Takes the configuration's limits over for connections."""
        params = self.server.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes
        params.header_timeout = limits.idle_timeout_s


def make_server(
    delegate: Ingress, limits: model.Limits
) -> httpserver.HTTPServer:
    """Returns a server that hands its messages to the delegate."""
    return httpserver.HTTPServer(
        delegate,
        idle_connection_timeout=limits.idle_timeout_s,
        max_header_size=limits.header_bytes,
        max_body_size=limits.body_bytes,
        chunk_size=READ_BYTES,
    )


class _RequestReader(httputil.HTTPMessageDelegate):
    """Gathers one request and starts its answer."""

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
        """Keeps the head of the request."""
        # The reader exists since the end of the request before.
        self.received_at = clock.monotonic()
        self.start_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = list(headers.get_all())

    def data_received(self, chunk: bytes) -> None:
        """Keeps a piece of the body."""
        self.body_chunks.append(chunk)

    def finish(self) -> None:
        """Starts the answer to a whole request."""
        if self.closed:
            # Bytes that crossed the close; nobody waits for the answer.
            return
        self.task = asyncio.create_task(self.respond())
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)

    def on_connection_close(self) -> None:
        """Stops all work for a caller that left."""
        if self.task is not None:
            self.task.cancel()

    async def respond(self) -> None:
        """Answers the request."""
        reply = ConnectionReply(self.conn, self.ingress)
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
        try:
            await self.ingress.forwarder.serve(request, reply)
        except asyncio.CancelledError:
            return
        except Exception:
            self.ingress.forwarder.events.info(
                'invariant-broken', request=request.request_id
            )
            if not reply.started:
                await reply.send_complete(
                    codes.INVARIANT_BROKEN.status, [], b''
                )
            else:
                reply.abort()
            raise


class ConnectionReply:
    """Writes one answer to a connection."""

    def __init__(
        self, conn: httputil.HTTPConnection, ingress: Ingress
    ) -> None:
        self.conn = conn
        self.ingress = ingress
        self.started = False
        self.close_announced = False

    def should_close(self) -> bool:
        """Tells whether the caller is to use another connection next."""
        board = self.ingress.forwarder.board
        return not board.is_ready(clock.monotonic(), clock.boot())

    async def write_head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> None:
        """Sends the head, and the body where it is whole."""
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
        await self.wait_until_sent(
            self.conn.write_headers(start_line, fields, body or None)
        )

    async def wait_until_sent(self, future: 'asyncio.Future[None]') -> None:
        """Waits until bytes have gone out."""
        try:
            await future
        except (iostream.StreamClosedError, OSError) as error:
            raise reply_lib.ClientDisconnectedError from error

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Sends a whole answer."""
        await self.write_head(status, headers, body)
        await self.finish()

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends the head of an answer whose length is not known."""
        await self.write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Sends a piece of the body."""
        await self.wait_until_sent(self.conn.write(chunk))

    async def finish(self) -> None:
        """Ends the answer as complete."""
        self.conn.finish()
        # A caller that was not told may have sent its next request.
        if self.close_announced:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        stream = getattr(self.conn, 'stream', None)
        if stream is not None:
            stream.close()
