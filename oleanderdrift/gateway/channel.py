"""One connection to an upstream or the store, kept for many requests.

It never sends a request twice.  Bytes that arrive while no answer is due
end the connection, and so does its peer's close, so that a request is
not sent into a connection that is known to be at its end.
"""

import asyncio
import collections.abc
import enum
import re
import socket
import typing

import attrs
import h11

from oleanderdrift import codes
from oleanderdrift import errors

# Unacknowledged bytes for this long mean that the peer is cut off.
UNACKED_MS: typing.Final = 2_000
KEEPALIVE_IDLE_S: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 2
# A kept connection is given up this long before its peer's idle timeout.
IDLE_MARGIN_S: typing.Final = 1.0
# For peers that name no idle timeout.
DEFAULT_IDLE_S: typing.Final = 4.0
MAX_HEAD_BYTES: typing.Final = 65_536
_TIMEOUT: typing.Final = re.compile(rb'timeout\s*=\s*(\d+)')

Headers: typing.TypeAlias = list[tuple[str, str]]


class Failure(enum.Enum):
    """How an exchange broke."""

    CLOSED = 'closed'
    RESET = 'reset'
    MALFORMED = 'malformed'


class ChannelError(Exception):
    """The connection broke before the answer was whole."""

    def __init__(self, failure: Failure, detail: str = '') -> None:
        super().__init__(f'{failure.value} {detail}'.strip())
        self.failure = failure


@attrs.frozen(kw_only=True)
class Head:
    """The status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class _Protocol(asyncio.Protocol):
    """Gathers received bytes for the channel."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.closed: Failure | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remembers the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keeps bytes until they are read."""
        self.received.append(data)
        self.wake()

    def eof_received(self) -> bool:
        """Notes the peer's close."""
        self.closed = self.closed or Failure.CLOSED
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end; an error counts as a reset."""
        reason = Failure.CLOSED if exc is None else Failure.RESET
        self.closed = self.closed or reason
        self.wake()

    def wake(self) -> None:
        """Resumes the reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Returns bytes, or none at the peer's close.

        Raises ChannelError after a reset.
        """
        while not self.received:
            if self.closed is Failure.CLOSED:
                return b''
            if self.closed is not None:
                raise ChannelError(self.closed)
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        data = b''.join(self.received)
        self.received.clear()
        return data


class Channel:
    """A connection that carries one request at a time."""

    def __init__(self, protocol: _Protocol) -> None:
        self.protocol = protocol
        self.wire = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.usable_until = float('inf')
        self.uses = 0
        self.whole = True

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Sends a whole request.

        Raises ResultError BAD_REQUEST where the headers cannot be sent;
        then nothing was.
        """
        if self.uses:
            self.wire.start_next_cycle()
        self.uses += 1
        self.whole = False
        head = [*headers, ('content-length', str(len(body)))]
        if not body and method in ('GET', 'HEAD', 'DELETE'):
            head.pop()
        try:
            request = h11.Request(method=method, target=target, headers=head)
        except h11.LocalProtocolError as error:
            raise errors.ResultError(codes.BAD_REQUEST, str(error)) from error
        data = self.wire.send(request) or b''
        if body:
            data += self.wire.send(h11.Data(data=body)) or b''
        data += self.wire.send(h11.EndOfMessage()) or b''
        self.request = request
        transport = self.protocol.transport
        assert transport is not None
        transport.write(data)

    async def next_event(self) -> object:
        """Returns the next event of the answer.

        Raises ChannelError where the bytes are no answer or stop short.
        """
        while True:
            try:
                event = self.wire.next_event()
                if event is h11.NEED_DATA:
                    self.wire.receive_data(await self.protocol.read())
                    continue
                if event is h11.PAUSED:
                    raise ChannelError(Failure.MALFORMED, 'paused')
                return event
            except h11.RemoteProtocolError as error:
                closed = self.protocol.closed
                if closed is not None:
                    detail = 'before the answer was whole'
                    raise ChannelError(closed, detail) from error
                raise ChannelError(Failure.MALFORMED, str(error)) from error

    async def read_head(self, now: float) -> Head:
        """Returns the head of the answer."""
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise ChannelError(Failure.CLOSED, 'no answer')
        self.note_idle_timeout(event, now)
        return Head(
            status=event.status_code,
            headers=tuple(
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in event.headers.raw_items()
            ),
        )

    async def skip_answer(self) -> None:
        """Drops an answer that belongs to an earlier request.

        The answer to the request at hand may follow on the connection.
        """
        await self.read_body()
        rest = self.wire.trailing_data[0]
        self.wire = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.wire.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=[('host', 'x')],
            )
        )
        self.wire.send(h11.EndOfMessage())
        self.whole = False
        if rest:
            self.wire.receive_data(rest)

    def note_idle_timeout(self, event: h11.Response, now: float) -> None:
        """Keeps how long the peer lets the connection idle."""
        idle_s = DEFAULT_IDLE_S
        for name, value in event.headers:
            found = _TIMEOUT.search(value) if name == b'keep-alive' else None
            if found:
                idle_s = float(found.group(1))
        self.usable_until = now + idle_s - IDLE_MARGIN_S

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, none at its end."""
        event = await self.next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self.whole = True
                return b''
            case _:
                raise ChannelError(Failure.CLOSED, 'body cut')

    async def read_body(self) -> bytes:
        """Returns the rest of the body."""
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b''.join(chunks)

    def reusable(self, now: float) -> bool:
        """Tells whether another request may be sent."""
        return (
            self.whole
            and self.protocol.closed is None
            and not self.protocol.received
            and now < self.usable_until
            and (
                not self.uses
                or (
                    self.wire.our_state is h11.DONE
                    and self.wire.their_state is h11.DONE
                    and not self.wire.trailing_data[0]
                )
            )
        )

    def close(self) -> None:
        """Closes the connection at once."""
        if self.protocol.transport is not None:
            self.protocol.transport.abort()


async def connect(host: str, port: int, timeout_s: float) -> Channel:
    """Opens a connection; raises OSError or TimeoutError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, protocol = await loop.create_connection(
            _Protocol, host, port
        )
    found = transport.get_extra_info('socket')
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, UNACKED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        found.setsockopt(socket.IPPROTO_TCP, option, value)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    return Channel(protocol)


@attrs.define(kw_only=True)
class Pool:
    """Kept connections to peers, by a key that names one incarnation."""

    idle: dict[collections.abc.Hashable, list[Channel]] = attrs.field(
        factory=dict
    )
    opened: int = 0

    async def acquire(
        self,
        key: collections.abc.Hashable,
        host: str,
        port: int,
        timeout_s: float,
        now: float,
    ) -> Channel:
        """Returns a kept connection, or opens one."""
        kept = self.idle.get(key, [])
        while kept:
            channel = kept.pop()
            if channel.reusable(now):
                return channel
            channel.close()
        self.opened += 1
        return await connect(host, port, timeout_s)

    def release(
        self, key: collections.abc.Hashable, channel: Channel, now: float
    ) -> None:
        """Keeps a connection whose answer was whole, else closes it."""
        if channel.reusable(now):
            self.idle.setdefault(key, []).append(channel)
        else:
            channel.close()

    def close_idle(self, key: collections.abc.Hashable) -> None:
        """Closes the idle connections of a key."""
        for channel in self.idle.pop(key, []):
            channel.close()
