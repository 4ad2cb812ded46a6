"""Buffers what arrives on a connection until its reader takes it.

The reader may be slow and the peer may send without end, so a connection
with unread bytes is not read on, and its bytes count against the budget of
the process.
"""

import asyncio
import collections
import enum
import fcntl
import struct
import termios
import typing

import attrs

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import own_link

# A connection with more unread bytes is not read until its reader catches up.
MAX_BUFFERED: typing.Final = 32_768
READ_BYTES: typing.Final = 65_536
# A longer request is sent in pieces, as the peer takes them.
SEND_BYTES: typing.Final = 65_536
_COUNT: typing.Final = struct.Struct('i')
# All connections read into it, each in its turn, and copy what has come.
_READ_BUFFER: typing.Final = memoryview(bytearray(READ_BYTES))


class Failure(enum.Enum):
    """How a connection failed."""

    CLOSED = 'closed'
    RESET = 'reset'
    MALFORMED = 'malformed'


class ChannelError(Exception):
    """The connection failed before the response was complete."""

    def __init__(self, failure: Failure, detail: str = '') -> None:
        super().__init__(f'{failure.value} {detail}'.strip())
        self.failure = failure


@attrs.frozen(kw_only=True)
class Pieces:
    """A body that is sent from where its parts are, without a copy of all."""

    parts: tuple[bytes | memoryview, ...]

    def __len__(self) -> int:
        """Returns the number of bytes of all parts."""
        return sum(map(len, self.parts))


Body: typing.TypeAlias = bytes | Pieces


def has_unsent(transport: asyncio.Transport | None) -> bool:
    """Returns whether bytes wait here to be sent to the peer."""
    if transport is None:
        return False
    if transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info('socket')
    buffer = bytearray(_COUNT.size)
    try:
        fcntl.ioctl(sock, termios.TIOCOUTQ, buffer)
    except (OSError, ValueError, TypeError):
        # It is closed, or no socket of the kernel.
        return False
    return bool(_COUNT.unpack(buffer)[0])


class BufferingProtocol(asyncio.BufferedProtocol):
    """Buffers received bytes for a channel.

    idle says that no response is outstanding; bytes that arrive then belong
    to no request and close the connection.  is_leaving says that the peer
    takes no more requests on it.  received_at is when bytes last arrived.
    unsent is what is left of a request that the peer does not take yet.
    in_use counts the bytes that its reader took last.  holder counts the bytes
    of an answer, unread ones and those that its reader keeps.  link counts
    all that comes over the link of this instance.
    """

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.buffered_bytes = 0
        self.paused = False
        self.idle = False
        self.is_leaving = False
        self.received_at = float('-inf')
        self.closed: Failure | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.unsent: collections.deque[memoryview] = collections.deque()
        self.write_paused = False
        self.in_use = 0
        self.holder: held_bytes.Holder | None = None
        self.link: own_link.OwnLink | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the next bytes."""
        if self.link is not None:
            self.link.note(nbytes, clock.monotonic())
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffers bytes until they are read."""
        assert self.transport is not None
        self.received_at = clock.monotonic()
        if self.idle:
            self.closed = self.closed or Failure.MALFORMED
            self.transport.abort()
            return
        self.received.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED:
            self.paused = True
            self.transport.pause_reading()
        if self.holder is not None:
            self.holder.grow(len(data))
        self.wake()

    def send(self, head: bytes, body: Body) -> None:
        """Sends a request; what the peer does not take yet is sent later."""
        assert self.transport is not None
        parts = body.parts if isinstance(body, Pieces) else (body,)
        self.unsent.extend(memoryview(part) for part in parts if part)
        self.transport.write(head + self.take_unsent())
        self.send_more()

    def take_unsent(self) -> bytes:
        """Returns the next bytes to send, SEND_BYTES at the most."""
        taken = []
        left = SEND_BYTES
        while self.unsent and left:
            first = self.unsent.popleft()
            if len(first) > left:
                self.unsent.appendleft(first[left:])
                first = first[:left]
            taken.append(first)
            left -= len(first)
        return b''.join(taken)

    def send_more(self) -> None:
        """Sends what the peer takes."""
        transport = self.transport
        while self.unsent and not self.write_paused:
            if transport is None or transport.is_closing():
                self.unsent.clear()
                return
            transport.write(self.take_unsent())

    def pause_writing(self) -> None:
        """Has the rest of the request wait."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Goes on sending."""
        self.write_paused = False
        self.send_more()

    def eof_received(self) -> bool:
        """Records that the peer closed the connection.

        An upstream that has not taken the whole request breaks off.
        """
        is_early = bool(self.unsent) or has_unsent(self.transport)
        reason = Failure.RESET if is_early else Failure.CLOSED
        self.closed = self.closed or reason
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the connection; an error counts as a reset."""
        reason = Failure.CLOSED if exc is None else Failure.RESET
        self.closed = self.closed or reason
        self.unsent.clear()
        self.wake()

    def has_unread(self) -> bool:
        """Returns whether bytes wait to be read."""
        return bool(self.received)

    def wake(self) -> None:
        """Wakes the waiting reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Returns the buffered bytes; empty after the peer has closed.

        Raises ChannelError after a reset.
        """
        self.let_go(self.in_use)
        self.in_use = 0
        while not self.received:
            if self.closed is Failure.CLOSED:
                return b''
            if self.closed is not None:
                raise ChannelError(self.closed)
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        data = b''.join(self.received)
        self.received.clear()
        self.buffered_bytes = 0
        self.in_use = len(data)
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
        return data

    def hold(self, count: int) -> None:
        """Counts bytes of the answer that its reader keeps.

        Raises ChannelError if the answer was cut for what it holds.
        """
        if self.holder is None:
            return
        self.holder.grow(count)
        if self.holder.is_stopped:
            raise ChannelError(Failure.RESET, 'too many bytes are held')

    def let_go(self, count: int) -> None:
        """Counts bytes of the answer that are kept no more."""
        if self.holder is not None:
            self.holder.shrink(count)

    def cut(self) -> None:
        """Breaks off the answer under way, with what is unread of it."""
        self.closed = Failure.RESET
        self.received.clear()
        self.buffered_bytes = 0
        self.unsent.clear()
        if self.transport is not None:
            self.transport.abort()
        self.wake()
