"""Reads one request of a caller and starts the task that answers it."""

import asyncio
import collections.abc
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import chunked_decoder
from oleanderdrift.gateway import chunked_reader
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import request_body
from oleanderdrift.gateway import request_end
from oleanderdrift.gateway import request_head
from oleanderdrift.gateway import work_share

# A head that is over the configured limit, by less than this factor, is read
# and refused with a code.
HEAD_FACTOR: typing.Final = 2
# The only one for which Tornado writes chunks.
CHUNKED_VERSION: typing.Final = 'HTTP/1.1'
# With more of them, Tornado is left only those that it needs.
USUAL_HEADERS: typing.Final = 64
# Of a caller that waits for it before it sends a body.
CONTINUE: typing.Final = '100-continue'
CONTINUE_ANSWER: typing.Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class Owner(typing.Protocol):
    """What a reader uses of the ingress."""

    forwarder: forwarder.Forwarder
    codec: ports.Codec
    tasks: set[asyncio.Task[None]]
    limits: model.Limits
    work: work_share.WorkShare


class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and starts the task that answers it.

    received_at is when its head had been read, 0 before.  idle_timeout_s is
    how long its connection may be idle before it begins, and from then on
    how long it may be idle after the answer at least.  head_holder counts the
    bytes of its head while that is read.  body counts both from then on, and
    is None before; is_whole says that all has come, and task answers it then.
    is_first says that no other request came before it on its connection.
    deadline is when its body is no longer waited for, None until that was
    looked up.
    """

    def __init__(self, ingress: Owner, conn: httputil.HTTPConnection) -> None:
        self.ingress = ingress
        self.conn = conn
        self.received_at = 0.0
        self.headers: list[tuple[str, str]] = []
        self.idle_since = clock.monotonic()
        self.idle_timeout_s = ingress.limits.idle_timeout_s
        self.closed = False
        self.reply = connection_reply.ConnectionReply(
            conn, ingress.forwarder.board, ingress.forwarder.events
        )
        self.is_whole = False
        self.task: asyncio.Task[None] | None = None
        self.head_holder: held_bytes.Holder | None = None
        self.body: request_body.RequestBody | None = None
        self.is_first = True
        self.deadline: float | None = None
        stream = getattr(conn, 'stream', None)
        self.stream: client_stream.ClientStream | None = None
        if isinstance(stream, client_stream.ClientStream):
            self.stream = stream
            stream.expect_request()
            if not stream.closed():
                stream.on_read = self.note_read

    def keep_idle_timeout(self, timeout_s: float) -> None:
        """Lets the connection be idle for at least this time."""
        self.idle_timeout_s = max(self.idle_timeout_s, timeout_s)

    def refuse_slow(self, detail: str) -> None:
        """Refuses the request for its body that does not come."""
        self.ingress.forwarder.board.refusals['slow-bodies'] += 1
        self.refuse_unread(codes.SLOW_SENDER, detail)

    def refuse_long(self, detail: str) -> None:
        """Refuses the request for its body that is over the limit."""
        self.ingress.forwarder.board.refusals['long-bodies'] += 1
        self.refuse_unread(codes.BODY_TOO_LARGE, detail)

    def close(self) -> None:
        """Closes the connection before a request has been read."""
        self.closed = True
        self.release()
        self.reply.abort()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> collections.abc.Awaitable[None] | None:
        """Stores the start line and headers of the request.

        Returns what reads its body if that is chunked: Tornado would take a
        turn of its own for each chunk.  It then finds none to be read.
        """
        self.release()
        # Not in __init__: Tornado creates the reader as soon as the previous
        # request has ended.
        self.received_at = clock.monotonic()
        self.idle_timeout_s = self.ingress.limits.idle_timeout_s
        self.start_line = typing.cast(httputil.RequestStartLine, start_line)
        self.headers = list(headers.get_all())
        if len(self.headers) > USUAL_HEADERS:
            request_head.keep_framing(headers)
        self.reply.takes_chunks = self.start_line.version == CHUNKED_VERSION
        self.body = request_body.RequestBody(
            self.open_holder(self.account_name())
        )
        self.body.hold_head(
            request_head.held_size(self.start_line.path, self.headers)
        )
        length = request_head.stated_length(headers)
        if self.stream is not None:
            self.stream.in_head = False
            self.stream.body_left = length
        if length > self.ingress.limits.body_bytes and not self.closed:
            self.refuse_long(f'its length is {length}')
        if self.closed:
            # Tornado is to read no body of a request that was refused.
            headers.clear()
        if isinstance(self.conn, http1connection.HTTP1Connection):
            self.conn.set_max_body_size(self.ingress.limits.body_bytes)
        if self.stream is None or not request_head.is_chunked(headers):
            return None
        return self.read_chunks(self.stream, headers)

    async def read_chunks(
        self, stream: client_stream.ClientStream, headers: httputil.HTTPHeaders
    ) -> None:
        """Reads a chunked body, or refuses the request.

        Raises HTTPInputError if the caller left.
        """
        if headers.pop('Expect', '').lower() == CONTINUE:
            stream.write(CONTINUE_ANSWER)
        del headers['Transfer-Encoding']
        try:
            await chunked_reader.read_chunked(
                stream,
                self.ingress.limits.body_bytes,
                self.ingress.work,
                self.take_part,
            )
        except chunked_decoder.MalformedBodyError as error:
            # It may have been refused while it waited to be decoded.
            if not self.closed:
                self.refuse_unread(codes.BAD_FRAMING, str(error))
        except chunked_decoder.BodyTooLongError:
            if not self.closed:
                self.refuse_long('its chunks are too long')
        except iostream.StreamClosedError as error:
            # Tornado would log any other as not foreseen.
            raise httputil.HTTPInputError('the caller left') from error

    def take_part(self, part: bytes) -> bool:
        """Stores a part of the body; returns whether more is wanted."""
        self.data_received(part)
        return not self.closed

    def note_read(self, count: int) -> None:
        """Counts bytes of a head that is not whole yet, up to a limit."""
        if self.received_at or self.closed:
            return
        if self.head_holder is None:
            self.head_holder = self.open_holder('')
        self.head_holder.grow(count)
        count = self.head_holder.count
        if count > self.max_head():
            self.ingress.forwarder.board.refusals['long-heads'] += 1
            self.ingress.forwarder.events.info('head-too-long', bytes=count)
            self.close()

    def max_head(self) -> int:
        """Returns how many bytes are read until a head is whole.

        A part of the body may come with its end.
        """
        limit = self.ingress.limits.header_bytes * HEAD_FACTOR
        return limit + client_stream.READ_BYTES

    def open_holder(self, source: str) -> held_bytes.Holder:
        """Returns the count of what is held for this request."""
        held = self.ingress.forwarder.board.held
        return held.open(source, self.stop_for_bytes)

    def release(self) -> None:
        """Frees what is held for this request, and ends its count."""
        if self.head_holder is not None:
            self.head_holder.release()
            self.head_holder = None
        if self.body is not None:
            self.body.drop()
            self.body = None
        self.headers = []

    def account_name(self) -> str:
        """Returns the account whose key the head names, empty if none."""
        config = self.ingress.forwarder.board.config
        accounts = (config.accounts_by_key if config else None) or {}
        account = accounts.get(self.ingress.codec.key(self.headers))
        return account.name if account is not None else ''

    def stop_for_bytes(self) -> None:
        """Refuses the request before it is whole; nothing of it was sent."""
        self.closed = True
        self.ingress.forwarder.board.refusals['held-bytes'] += 1
        if not self.received_at:
            self.reply.abort()
            return
        self.refuse_unread(
            codes.MEMORY_EXHAUSTED,
            f'too many bytes are held for {self.account_name()}',
        )

    def refuse_unread(self, code: codes.ResultCode, detail: str) -> None:
        """Refuses the request before it is whole, and closes."""
        self.closed = True
        codec = self.ingress.codec
        request_id = codec.request_id(self.headers)
        self.release()
        self.ingress.forwarder.events.info(
            'request-refused',
            request=request_id,
            code=code.number,
            detail=detail,
        )
        headers = codec.refusal_headers(
            request_id or None, admission.RETRY_ELSEWHERE_S
        )
        try:
            self.reply.refuse_unread(code.status, headers)
        except Exception:
            # Another caller's doing has led here, and is not to blame.
            self.reply.abort()

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        link = self.ingress.forwarder.board.link
        link.note(len(chunk), clock.monotonic())
        if self.closed:
            return
        if self.body is not None:
            self.body.append(chunk)

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
        self.is_whole = True
        if self.body is not None:
            self.body.holder.keep()
        self.task = asyncio.create_task(self.respond(self.reply))
        self.ingress.tasks.add(self.task)
        self.task.add_done_callback(self.ingress.tasks.discard)
        self.task.add_done_callback(end.on_done)
        self.task.add_done_callback(self.on_done)
        if isinstance(self.conn, http1connection.HTTP1Connection):
            # Tornado tells the delegate only until the request is read.
            self.conn.set_close_callback(self.on_connection_close)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Frees what was held for a request whose task is done.

        What the task raised refers to all that it has worked with.
        """
        self.release()
        self.task = None

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
            self.check_open_requests()
            request = self.decode()
        except errors.ResultError as error:
            await self.refuse(reply, error)
            return
        except Exception as error:
            raise errors.ResultError(codes.BAD_REQUEST, repr(error)) from error
        await self.ingress.forwarder.serve(request, reply)

    def check_open_requests(self) -> None:
        """Raises ResultError if too many requests are open.

        Each may have a connection to an upstream, and those that are not
        idempotent go on when their callers leave.
        """
        board = self.ingress.forwarder.board
        if board.open_requests < board.caller_limits.clients:
            return
        board.refusals['open-requests'] += 1
        raise errors.ResultError(
            codes.OVERLOADED,
            f'{board.open_requests} requests are open',
            retry_after_s=admission.RETRY_ELSEWHERE_S,
        )

    def decode(self) -> model.Request:
        """Returns the request; raises ResultError if it is refused."""
        size = request_head.size(self.start_line.path, self.headers)
        if size > self.ingress.limits.header_bytes:
            self.ingress.forwarder.board.refusals['long-heads'] += 1
            raise errors.ResultError(codes.HEAD_TOO_LARGE)
        return self.ingress.codec.decode_request(
            self.start_line.method,
            self.start_line.path,
            self.headers,
            self.body.take() if self.body is not None else b'',
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
