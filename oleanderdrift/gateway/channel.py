"""Persistent HTTP/1.1 connections to upstreams and the store.

A request is never sent twice.  A connection that received bytes while no
response was outstanding, or that its peer has closed, is not reused, so
no request goes into a connection that is known to be unusable.  An upstream
may also send bytes without end, so all that is read has a limit.
"""

import asyncio
import collections.abc
import re
import socket
import typing

import attrs
import h11

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import time_limits

# Bytes unacknowledged for this long mean that the peer is unreachable.  It
# also decides when keep-alive probes give up, so it is longer than the time
# until the second one.
TCP_USER_TIMEOUT_MS: typing.Final = 2_500
KEEPALIVE_IDLE_S: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
# A pooled connection expires this long before the peer's idle timeout.
IDLE_MARGIN_S: typing.Final = 1.0
# For peers whose responses announce no idle timeout.
DEFAULT_IDLE_TIMEOUT_S: typing.Final = 4.0
MAX_HEAD_BYTES: typing.Final = 65_536
# The largest response that is read as a whole; the store sends up to 1 MiB.
MAX_BODY_BYTES: typing.Final = 4_194_304
# A body in more chunks takes too much CPU time to parse.
MAX_BODY_CHUNKS: typing.Final = 16_384
# A larger response to another request is not worth reading past.
MAX_SKIPPED_BYTES: typing.Final = 262_144
MAX_INTERIM_RESPONSES: typing.Final = 8
# Other tasks run after this many events that were parsed without waiting.
EVENTS_PER_TURN: typing.Final = 256
FRAMING_HEADERS: typing.Final = (b'content-length', b'transfer-encoding')
# h11 refuses those below 100, and takes all of three digits.
MAX_STATUS: typing.Final = 599
# Their answers have no body.
NO_BODY_STATUSES: typing.Final = (204, 304)
_KEEP_ALIVE_TIMEOUT: typing.Final = re.compile(rb'timeout\s*=\s*(\d+)')

Headers: typing.TypeAlias = list[tuple[str, str]]


@attrs.frozen(kw_only=True)
class Head:
    """The status and headers of a response.

    is_framed says that its body has a length or is chunked; else it ends
    with the connection.  interim_headers are those of the interim responses
    before it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    interim_headers: tuple[tuple[str, str], ...]
    is_framed: bool


class Channel:
    """A connection that carries one request at a time.

    via names the instance that carries its bytes; empty if it is direct.
    """

    def __init__(
        self, protocol: buffering.BufferingProtocol, via: str = ''
    ) -> None:
        self.protocol = protocol
        self.via = via
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.idle_deadline = float('inf')
        # That of the last request, whose head is not kept.
        self.method = b''
        self.request_count = 0
        self.response_complete = True
        self.events_this_turn = 0
        # Set once the peer has said that it is the incarnation expected.
        self.is_verified = False
        # Set by an answer of an upstream that says that it leaves.
        self.upstream_leaves = False
        # How much longer the upstream is cold, by its report.
        self.cold_s: float | None = None
        # The stated length of the answer's body, if any.
        self.body_length: int | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: buffering.Body,
    ) -> None:
        """Sends a complete request.

        Raises ResultError BAD_REQUEST, with nothing sent, if the headers
        are not valid in HTTP.
        """
        if self.request_count:
            self.h11_connection.start_next_cycle()
        self.request_count += 1
        self.response_complete = False
        self.protocol.idle = False
        head = [*headers, ('content-length', str(len(body)))]
        if not body and method in ('GET', 'HEAD', 'DELETE'):
            head.pop()
        try:
            request = _encode_head(method, target, head)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise errors.ResultError(codes.BAD_REQUEST, str(error)) from error
        data = self.h11_connection.send(request) or b''
        if body:
            # With a stated length, a body is sent as it is; this counts it.
            data_event = h11.Data(data=typing.cast(bytes, body))
            self.h11_connection.send_with_data_passthrough(data_event)
        self.h11_connection.send(h11.EndOfMessage())
        self.method = request.method
        self.protocol.send(data, body)

    async def next_event(self) -> object:
        """Returns the next event of the response.

        Raises ChannelError if the response is malformed or truncated.
        """
        while True:
            try:
                event = self.h11_connection.next_event()
                if event is h11.NEED_DATA:
                    self.h11_connection.receive_data(
                        await self.protocol.read()
                    )
                    continue
                if event is h11.PAUSED:
                    raise buffering.ChannelError(
                        buffering.Failure.MALFORMED, 'paused'
                    )
                await self.let_others_run()
                return event
            except h11.RemoteProtocolError as error:
                closed = self.protocol.closed
                if closed is not None:
                    detail = 'before the response was complete'
                    raise buffering.ChannelError(closed, detail) from error
                raise buffering.ChannelError(
                    buffering.Failure.MALFORMED, str(error)
                ) from error

    async def let_others_run(self) -> None:
        """Yields to other tasks after many events of one connection.

        Bytes that are already buffered are parsed without waiting, so an
        upstream that sends many small chunks would block the event loop.
        """
        self.events_this_turn += 1
        if self.events_this_turn >= EVENTS_PER_TURN:
            self.events_this_turn = 0
            await asyncio.sleep(0)

    async def read_head(self, now: float) -> Head:
        """Returns the status and headers of the response."""
        event = await self.next_event()
        interim_count = 0
        interim_headers: list[tuple[str, str]] = []
        while isinstance(event, h11.InformationalResponse):
            interim_count += 1
            interim_headers += _decode_headers(event)
            if interim_count > MAX_INTERIM_RESPONSES:
                raise buffering.ChannelError(
                    buffering.Failure.MALFORMED, 'too many interim responses'
                )
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise buffering.ChannelError(
                buffering.Failure.CLOSED, 'no response'
            )
        if event.status_code > MAX_STATUS:
            raise buffering.ChannelError(
                buffering.Failure.MALFORMED, f'status {event.status_code}'
            )
        self.note_idle_timeout(event, now)
        self.body_length = None
        if self.method != b'HEAD':
            self.body_length = _stated_length(event)
        return Head(
            status=event.status_code,
            is_framed=event.status_code in NO_BODY_STATUSES
            or any(name in FRAMING_HEADERS for name, _ in event.headers),
            headers=tuple(_decode_headers(event)),
            interim_headers=tuple(interim_headers),
        )

    async def skip_response(self) -> None:
        """Discards a response that belongs to an earlier request.

        The response to the current request may follow on the connection.
        """
        await self.skip_body()
        rest = self.h11_connection.trailing_data[0]
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # h11 parses a response only after a request; this one is not sent.
        self.h11_connection.send(
            h11.Request(
                method=self.method,
                target=b'/',
                headers=[('host', 'x')],
            )
        )
        self.h11_connection.send(h11.EndOfMessage())
        self.response_complete = False
        if rest:
            self.h11_connection.receive_data(rest)

    def note_idle_timeout(self, event: h11.Response, now: float) -> None:
        """Sets idle_deadline from the Keep-Alive timeout of a response."""
        idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        for name, value in event.headers:
            found = (
                _KEEP_ALIVE_TIMEOUT.search(value)
                if name == b'keep-alive'
                else None
            )
            if found:
                idle_timeout_s = float(found.group(1))
        self.idle_deadline = now + idle_timeout_s - IDLE_MARGIN_S

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body; empty at its end."""
        event = await self.next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self.response_complete = True
                return b''
            case _:
                raise buffering.ChannelError(
                    buffering.Failure.CLOSED, 'response body truncated'
                )

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Returns the rest of the body; raises ChannelError if too long."""
        body = bytearray()
        async for chunk in self.read_chunks(max_bytes):
            body += chunk
        return bytes(body)

    async def skip_body(self) -> None:
        """Discards the rest of the body; raises ChannelError if too long."""
        async for _ in self.read_chunks(MAX_SKIPPED_BYTES):
            pass

    async def read_chunks(
        self, max_bytes: int
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the rest of the body.

        Raises ChannelError if it is too long, before the first chunk if its
        length is stated.
        """
        self.check_length(self.body_length or 0, 0, max_bytes)
        count, chunk_count = 0, 0
        while chunk := await self.read_chunk():
            count += len(chunk)
            chunk_count += 1
            self.check_length(count, chunk_count, max_bytes)
            yield chunk

    def check_length(
        self, count: int, chunk_count: int, max_bytes: int
    ) -> None:
        """Raises ChannelError if a body is too long."""
        if count > max_bytes or chunk_count > MAX_BODY_CHUNKS:
            raise buffering.ChannelError(
                buffering.Failure.MALFORMED,
                f'the body exceeds {max_bytes} bytes or '
                f'{MAX_BODY_CHUNKS} chunks',
            )

    def is_reusable(self, now: float) -> bool:
        """Returns whether another request may be sent."""
        return (
            self.response_complete
            and self.protocol.closed is None
            and not self.protocol.is_leaving
            and not self.upstream_leaves
            and not self.protocol.has_unread()
            and not self.protocol.unsent
            and now < self.idle_deadline
            and (
                not self.request_count
                or (
                    self.h11_connection.our_state is h11.DONE
                    and self.h11_connection.their_state is h11.DONE
                    and not self.h11_connection.trailing_data[0]
                )
            )
        )

    def close(self) -> None:
        """Closes the connection at once.

        An answer under way has broken off, even one that ends with its
        connection.
        """
        self.protocol.closed = self.protocol.closed or buffering.Failure.RESET
        if self.protocol.transport is not None:
            self.protocol.transport.abort()


def _decode_headers(
    event: h11.Response | h11.InformationalResponse,
) -> list[tuple[str, str]]:
    return [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in event.headers.raw_items()
    ]


def _stated_length(event: h11.Response) -> int | None:
    """Returns the length of the body that a head states."""
    if event.status_code in NO_BODY_STATUSES:
        return None
    for name, value in event.headers:
        if name == b'content-length':
            return int(value)
    return None


def _encode_head(method: str, target: str, headers: Headers) -> h11.Request:
    """Returns the head of a request, in Latin-1 like the heads received."""
    return h11.Request(
        method=method.encode('latin-1'),
        target=target.encode('latin-1'),
        headers=[
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ],
    )


async def connect(host: str, port: int, timeout_s: float) -> Channel:
    """Opens a connection; raises OSError or TimeoutError.

    An address that no peer can have raises OSError as well.
    """
    loop = asyncio.get_running_loop()
    try:
        async with time_limits.within(timeout_s):
            transport, protocol = await loop.create_connection(
                buffering.BufferingProtocol, host, port
            )
    except (ValueError, OverflowError) as error:
        raise OSError(f'invalid address: {error}') from error
    set_tcp_options(transport, TCP_USER_TIMEOUT_MS)
    return Channel(protocol)


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Sends without delay, and detects a peer that cannot be reached."""
    sock = transport.get_extra_info('socket')
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
