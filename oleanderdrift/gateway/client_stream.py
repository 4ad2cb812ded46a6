"""Client connections that know what has arrived on them."""

import collections.abc
import contextlib
import fcntl
import socket
import struct
import termios
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import head_search
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import lingering as lingering_lib
from oleanderdrift.gateway import receive_windows
from oleanderdrift.gateway import work_share

# Connections are many, and each holds up to twice as much that it has read.
READ_BYTES: typing.Final = 16_384
# So much at a time is read of a head once bodies have had their share of a
# turn, as what comes with its end is of its body.
HEAD_READ_BYTES: typing.Final = 2_048
HEAD_END: typing.Final = b'\r\n\r\n'
# Of all heads in one turn of the event loop: some dozens of usual ones.
HEAD_TURN_BYTES: typing.Final = 16_384
# So much at a time is read of a body, which is taken from the stream at once.
BODY_READ_BYTES: typing.Final = 65_536
# Of all bodies in one turn of the event loop.
BODY_TURN_BYTES: typing.Final = 524_288
_COUNT: typing.Final = struct.Struct('i')
_PEEK_FLAGS: typing.Final = socket.MSG_PEEK | socket.MSG_DONTWAIT
# Whether to linger, and for how many seconds: without any, a close is a reset.
_LINGER: typing.Final = struct.Struct('ii')


class ClientStream(iostream.IOStream):
    """A stream that tells whether bytes of a next request have arrived.

    first_read_at is when the first bytes were read since expect_request was
    called, None if none were.  peer_closed says that the
    client closed the connection, closed_at when the socket was closed here,
    and was_unread whether bytes waited in it then.  on_read is told of the
    number of bytes of each read.  last_read_at is when bytes were last read.
    body_left is how many bytes of a body are still to come, if that is known.
    open_streams holds the open ones of the server.  holder counts what waits
    in the kernel.  returned holds bytes that are to be read once more.
    has_read_ahead says that bytes were read that nobody has asked for yet.
    in_head says that a head is being read.  head_bytes and body_bytes are what
    all streams of the server may read of heads and of all else in a turn of
    the event loop.  head_search finds the end of a head.  If lingers is true,
    lingering keeps the connection once the stream is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        max_buffer_size: int | None = None,
        read_chunk_size: int | None = None,
    ) -> None:
        super().__init__(
            sock,
            max_buffer_size=max_buffer_size,
            read_chunk_size=read_chunk_size,
        )
        self.first_read_at: float | None = None
        self.peer_closed = False
        self.closed_at = float('inf')
        self.was_unread = False
        self.on_read: collections.abc.Callable[[int], None] | None = None
        self.last_read_at = clock.monotonic()
        self.body_left = 0
        self.open_streams: set[ClientStream] = set()
        self.holder: held_bytes.Holder | None = None
        self.returned = b''
        self.has_read_ahead = False
        self.in_head = True
        self.head_bytes = work_share.TurnBytes(HEAD_TURN_BYTES)
        self.body_bytes = work_share.TurnBytes(BODY_TURN_BYTES)
        self.head_search = head_search.HeadSearch()
        self.lingering: lingering_lib.Lingering | None = None
        self.lingers = False

    def expect_request(self) -> None:
        """Notes that the bytes to come are those of another request."""
        self.first_read_at = None
        self.body_left = 0
        self.in_head = True
        self.head_search.begin()

    def _find_read_pos(self) -> int | None:
        """Returns where the bytes end that are waited for, if they came.

        Tornado searches all of a head again with each byte that comes.
        """
        if self._read_regex is None or not self.in_head:
            return super()._find_read_pos()
        end = self.head_search.find(self._read_regex, self._read_buffer)
        self._check_max_bytes(
            self._read_regex, self._read_buffer_size if end is None else end
        )
        return end

    def unread(self, data: bytes) -> None:
        """Has bytes read once more, before those that come after them.

        All that the stream has read must have been taken from it.
        """
        self.returned = data

    def take_returned(self, buf: memoryview) -> int:
        """Copies returned bytes into a buffer; returns how many."""
        count = min(len(buf), len(self.returned))
        buf[:count] = self.returned[:count]
        self.returned = self.returned[count:]
        return count

    def must_wait(self) -> bool:
        """Returns whether the socket is to be read in another turn only.

        The loop finds it ready again then; returned bytes it would not find.
        """
        return not self.returned and not self.turn_bytes().has_left()

    def turn_bytes(self) -> work_share.TurnBytes:
        """Returns what may be read in this turn of what comes next."""
        return self.head_bytes if self.in_head else self.body_bytes

    def max_read(self) -> int:
        """Returns how many bytes are read at a time."""
        if self.in_head:
            has_left = self.body_bytes.has_left()
            return READ_BYTES if has_left else HEAD_READ_BYTES
        return max(READ_BYTES, min(self.body_left, BODY_READ_BYTES))

    def count_read(self, data: memoryview) -> None:
        """Counts what was read of heads and bodies in this turn."""
        head = len(data) if self.in_head else 0
        if head:
            found = bytes(data).find(HEAD_END)
            if found >= 0:
                head = found + len(HEAD_END)
            self.head_bytes.use(head)
        if len(data) > head:
            self.body_bytes.use(len(data) - head)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what is there; notes when.

        While nobody waits for bytes, it reads once at most, to see whether
        the client has closed; Tornado would fill its buffer.
        """
        if self.has_read_ahead and not self.reading():
            return None
        if self.must_wait():
            return None
        view = memoryview(buf)[: self.max_read()]
        try:
            count = self.take_returned(view) or super().read_from_fd(view)
        except OSError:
            self.peer_closed = True
            raise
        if count == 0:
            self.peer_closed = True
        elif count is not None:
            self.has_read_ahead = not self.reading()
            self.last_read_at = clock.monotonic()
            if self.first_read_at is None:
                self.first_read_at = self.last_read_at
        if count:
            self.body_left = max(self.body_left - count, 0)
            self.count_read(view[:count])
        if count and self.on_read is not None:
            self.on_read(count)
        return count

    def has_unread(self) -> bool:
        """Returns whether bytes wait to be read."""
        if self.closed():
            return False
        if self.returned:
            return True
        try:
            return bool(self.socket.recv(1, _PEEK_FLAGS))
        except OSError:
            return False

    def kernel_bytes(self) -> int:
        """Returns how many bytes wait in the socket, in both directions."""
        if self.closed():
            return 0
        total = 0
        for request in (termios.FIONREAD, termios.TIOCOUTQ):
            buffer = _COUNT.pack(0)
            with contextlib.suppress(OSError):
                buffer = fcntl.ioctl(self.socket, request, buffer)
            total += _COUNT.unpack(buffer)[0]
        return total

    def release(self) -> None:
        """Ends the count of what waits in the kernel."""
        if self.holder is not None:
            self.holder.release()
            self.holder = None

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Sets whether the client sees a close as a reset.

        The kernel keeps to this also when the process ends.
        """
        # A closed socket has no options.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER.pack(is_reset, 0),
            )

    def close_fd(self) -> None:
        """Closes the socket; notes whether bytes waited there."""
        self.closed_at = clock.monotonic()
        self.was_unread = self.has_unread()
        self.open_streams.discard(self)
        self.release()
        # It leads back here.
        self.on_read = None
        if self.lingers and self.lingering is not None:
            self.lingering.take(self.socket)
        super().close_fd()


class ConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """What the server asks of its delegate besides what Tornado does."""

    def make_room(self) -> bool:
        """Closes connections for a new one; returns whether any was."""
        raise NotImplementedError

    def refuse_connection(self, sock: socket.socket) -> None:
        """Answers a connection that is not served, which is then closed."""
        raise NotImplementedError


class ClientServer(httpserver.HTTPServer):
    """An HTTP server whose connections are client streams.

    Its delegate is told which connections are closed.  open_streams holds
    the open connections, max_connections of them at most, and windows bounds
    what the kernel holds for them.  head_bytes and body_bytes are what they
    may read of heads and of all else in a turn of the event loop.  lingering
    keeps the connections of refused callers.
    """

    max_connections: float = float('inf')
    open_streams: set[ClientStream]
    windows: receive_windows.ReceiveWindows
    head_bytes: work_share.TurnBytes
    body_bytes: work_share.TurnBytes
    lingering: lingering_lib.Lingering

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection, or refuses it."""
        delegate = typing.cast(ConnectionDelegate, self.request_callback)
        if len(self.open_streams) >= self.max_connections:
            if not delegate.make_room():
                delegate.refuse_connection(stream.socket)
                self.lingering.take(stream.socket)
                stream.close()
                return
        made = ClientStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        made.open_streams = self.open_streams
        made.head_bytes = self.head_bytes
        made.body_bytes = self.body_bytes
        made.lingering = self.lingering
        self.open_streams.add(made)
        self.windows.fit_new(made, self.open_streams)
        super().handle_stream(made, address)

    def on_close(self, server_conn: object) -> None:
        """Passes the end of a connection on, which Tornado does not."""
        super().on_close(server_conn)
        delegate = typing.cast(
            httputil.HTTPServerConnectionDelegate, self.request_callback
        )
        delegate.on_close(server_conn)
