"""Tornado HTTP server: reads client requests and writes responses."""

import asyncio
import socket
import typing

from tornado import http1connection
from tornado import httputil
from tornado import netutil

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import request_end

READ_BYTES: typing.Final = 65_536
# At least so much is read of a head, since the configured limit may grow while
# a connection waits for its next request.  Longer ones take processor time:
# all of a head is searched for its end with each read.
MIN_HEAD_BYTES: typing.Final = 524_288
# A head that is over the configured limit, by less than this factor, is read
# and refused with a code.
HEAD_FACTOR: typing.Final = 2
BODY_WITH_HEAD_BYTES: typing.Final = READ_BYTES
# The only one for which Tornado writes chunks.
CHUNKED_VERSION: typing.Final = 'HTTP/1.1'
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
        previous = self.readers.get(server_conn)
        if previous is not None:
            reader.keep_idle_timeout(previous.idle_timeout_s)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Drops the reader of a closed connection."""
        reader = self.readers.pop(server_conn, None)
        if reader is not None:
            if reader.task is None:
                reader.release()
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

        A connection that is idle now, or after the answer that is under way,
        may be so for the longer of both times: its client may not know of
        the change.
        """
        self.limits = limits
        self.server.conn_params.max_body_size = limits.body_bytes
        self.server.conn_params.max_header_size = max(
            MIN_HEAD_BYTES, limits.header_bytes * HEAD_FACTOR
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
        chunk_size=READ_BYTES,
    )
    # Its time-out would come before bytes that wait in the socket.
    server.conn_params.header_timeout = None
    return server


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it.

    received_at is when its head had been read, 0 before.  idle_timeout_s is
    how long its connection may be idle before it begins, and from then on
    how long it may be idle after the answer at least.  holder counts the bytes
    of its head while that is read, then those of its body.
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
        self.reply = connection_reply.ConnectionReply(
            conn, ingress.forwarder.board
        )
        self.task: asyncio.Task[None] | None = None
        self.holder: held_bytes.Holder | None = None
        stream = getattr(conn, 'stream', None)
        self.stream: client_stream.ClientStream | None = None
        if isinstance(stream, client_stream.ClientStream):
            self.stream = stream
            stream.expect_request()
            stream.on_read = self.note_read

    def keep_idle_timeout(self, timeout_s: float) -> None:
        """Lets the connection be idle for at least this time."""
        self.idle_timeout_s = max(self.idle_timeout_s, timeout_s)

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
        self.idle_timeout_s = self.ingress.limits.idle_timeout_s
        self.start_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = list(headers.get_all())
        self.reply.takes_chunks = self.start_line.version == CHUNKED_VERSION
        self.release()
        if isinstance(self.conn, http1connection.HTTP1Connection):
            self.conn.set_max_body_size(self.ingress.limits.body_bytes)

    def note_read(self, count: int) -> None:
        """Counts bytes of a head that is not whole yet, up to a limit."""
        if self.received_at or self.closed:
            return
        self.hold(count)
        if self.holder is not None and self.holder.count > self.max_head():
            self.close()

    def max_head(self) -> int:
        """Returns how many bytes are read until a head is whole.

        A part of the body may come with its end.
        """
        limit = self.ingress.limits.header_bytes * HEAD_FACTOR
        return limit + BODY_WITH_HEAD_BYTES

    def hold(self, count: int) -> None:
        """Counts bytes that are held for this request."""
        if self.holder is None:
            source = self.account_name() if self.received_at else ''
            held = self.ingress.forwarder.board.held
            self.holder = held.open(source, self.stop_for_bytes)
        self.holder.grow(count)

    def release(self) -> None:
        """Ends the count of the bytes that are held."""
        if self.holder is not None:
            self.holder.release()
            self.holder = None

    def account_name(self) -> str:
        """Returns the account whose key the head names, empty if none."""
        config = self.ingress.forwarder.board.config
        accounts = (config.accounts_by_key if config else None) or {}
        account = accounts.get(self.ingress.codec.key(self.headers))
        return account.name if account is not None else ''

    def stop_for_bytes(self) -> None:
        """Refuses the request before it is whole; nothing of it was sent."""
        self.closed = True
        self.body_chunks.clear()
        if not self.received_at:
            self.reply.abort()
            return
        codec = self.ingress.codec
        request_id = codec.request_id(self.headers)
        code = codes.MEMORY_EXHAUSTED
        self.ingress.forwarder.events.info(
            'request-refused',
            request=request_id,
            code=code.number,
            detail=f'too many bytes are held for {self.account_name()}',
        )
        headers = codec.refusal_headers(
            request_id or None, admission.RETRY_ELSEWHERE_S
        )
        try:
            self.reply.refuse_unread(code.status, headers)
        except Exception:
            # Another request's bytes have led here, and are not to blame.
            self.reply.abort()

    def head_bytes(self) -> int:
        """Returns the size of the start line and headers."""
        return len(self.start_line.path) + sum(
            len(name) + len(value) + HEADER_FRAMING_BYTES
            for name, value in self.headers
        )

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        link = self.ingress.forwarder.board.link
        link.note(len(chunk), clock.monotonic())
        if self.closed:
            return
        self.body_chunks.append(chunk)
        self.hold(len(chunk) + held_bytes.PIECE_BYTES)

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
            self.release()
            return
        if self.holder is not None:
            self.holder.keep()
        self.task = asyncio.create_task(self.respond(self.reply))
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)
        self.task.add_done_callback(end.on_done)
        self.task.add_done_callback(lambda _: self.release())
        if isinstance(self.conn, http1connection.HTTP1Connection):
            # Tornado tells the delegate only until the request is read.
            self.conn.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancels the work for a client that disconnected.

        One that is not idempotent goes on once it may have begun, but is
        not sent again.
        """
        progress = self.reply.progress
        if progress is not None:
            progress.caller_left = True
            if progress.must_complete():
                return
        if self.task is not None:
            self.task.cancel()

    async def respond(self, reply: connection_reply.ConnectionReply) -> None:
        """Decodes the request and has the forwarder serve it."""
        try:
            request = self.decode()
        except errors.ResultError as error:
            await self.refuse(reply, error)
            return
        except Exception as error:
            raise errors.ResultError(codes.BAD_REQUEST, repr(error)) from error
        await self.ingress.forwarder.serve(request, reply)

    def decode(self) -> model.Request:
        """Returns the request; raises ResultError if it is refused."""
        if self.head_bytes() > self.ingress.limits.header_bytes:
            raise errors.ResultError(codes.HEAD_TOO_LARGE)
        return self.ingress.codec.decode_request(
            self.start_line.method,
            self.start_line.path,
            self.headers,
            b''.join(self.body_chunks),
            self.received_at,
        )

    async def refuse(
        self,
        reply: connection_reply.ConnectionReply,
        error: errors.ResultError,
    ) -> None:
        """Refuses a request that cannot be decoded; logs why."""
        codec = self.ingress.codec
        request_id = codec.request_id(self.headers)
        self.ingress.forwarder.events.info(
            'request-refused',
            request=request_id,
            code=error.code.number,
            detail=error.detail[: request_end.LOGGED_CHARACTERS],
        )
        headers = codec.refusal_headers(
            request_id or None, error.retry_after_s
        )
        await reply.send_complete(error.code.status, headers, b'')
