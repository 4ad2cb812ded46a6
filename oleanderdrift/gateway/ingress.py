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
    """Makes a message reader for each request on each connection."""

    def __init__(
        self,
        target: forwarder.Forwarder,
        codec: ports.Codec,
    ) -> None:
        self.forwarder = target
        self.codec = codec
        self.tasks: set[asyncio.Task[None]] = set()
        self.waiting: dict[object, _Message] = {}
        self.server = make_server(self, model.Limits())

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of one request."""
        message = _Message(self, request_conn)
        self.waiting[server_conn] = message
        return message

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection."""
        self.waiting.pop(server_conn, None)

    def close_idle(self, now: float, idle_s: float) -> None:
        """Closes the connections that have been idle for so long."""
        for message in list(self.waiting.values()):
            if not message.received and now - message.waits_since >= idle_s:
                message.closed = True
                ConnectionReply(message.conn, self).abort()

    def follow_limits(self, limits: model.Limits) -> None:
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


class _Message(httputil.HTTPMessageDelegate):
    """Gathers one request and starts its answer."""

    def __init__(
        self, ingress: Ingress, conn: httputil.HTTPConnection
    ) -> None:
        self.ingress = ingress
        self.conn = conn
        self.pieces: list[bytes] = []
        self.received = 0.0
        self.waits_since = clock.monotonic()
        self.closed = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keeps the head of the request."""
        # The reader exists since the end of the request before.
        self.received = clock.monotonic()
        self.start_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = list(headers.get_all())

    def data_received(self, chunk: bytes) -> None:
        """Keeps a piece of the body."""
        self.pieces.append(chunk)

    def finish(self) -> None:
        """Starts the answer to a whole request."""
        if self.closed:
            # Bytes that crossed the close; nobody waits for the answer.
            return
        self.task = asyncio.create_task(self.answer())
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)

    def on_connection_close(self) -> None:
        """Stops all work for a caller that left."""
        if self.task is not None:
            self.task.cancel()

    async def answer(self) -> None:
        """Answers the request."""
        reply = ConnectionReply(self.conn, self.ingress)
        try:
            request = self.ingress.codec.request(
                self.start_line.method,
                self.start_line.path,
                self.headers,
                b''.join(self.pieces),
                self.received,
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
        self.said_close = False

    def closes(self) -> bool:
        """Tells whether the caller is to use another connection next."""
        board = self.ingress.forwarder.board
        return not board.is_ready(clock.monotonic(), clock.boot())

    async def head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> None:
        """Sends the head, and the body where it is whole."""
        self.started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields['Content-Length'] = str(len(body))
        self.said_close = self.closes()
        if self.said_close:
            fields['Connection'] = 'close'
        line = httputil.ResponseStartLine('HTTP/1.1', status, 'Answer')
        await self.sent(self.conn.write_headers(line, fields, body or None))

    async def sent(self, future: 'asyncio.Future[None]') -> None:
        """Waits until bytes have gone out."""
        try:
            await future
        except (iostream.StreamClosedError, OSError) as error:
            raise reply_lib.ClientDisconnectedError from error

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Sends a whole answer."""
        await self.head(status, headers, body)
        await self.finish()

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends the head of an answer whose length is not known."""
        await self.head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Sends a piece of the body."""
        await self.sent(self.conn.write(chunk))

    async def finish(self) -> None:
        """Ends the answer as complete."""
        self.conn.finish()
        # A caller that was not told may have sent its next request.
        if self.said_close:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        stream = getattr(self.conn, 'stream', None)
        if stream is not None:
            stream.close()
