"""Client connections that know what has arrived on them."""

import collections.abc
import contextlib
import socket
import struct
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from oleanderdrift.gateway import clock

_PEEK_FLAGS: typing.Final = socket.MSG_PEEK | socket.MSG_DONTWAIT
# Whether to linger, and for how many seconds: without any, a close is a reset.
_LINGER: typing.Final = struct.Struct('ii')


class ClientStream(iostream.IOStream):
    """A stream that tells whether bytes of a next request have arrived.

    first_read_at is when the first bytes were read since expect_request was
    called, None if none were.  peer_closed says that the
    client closed the connection, closed_at when the socket was closed here,
    and was_unread whether bytes waited in it then.  on_read is told of the
    number of bytes of each read.
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

    def expect_request(self) -> None:
        """Notes that the bytes to come are those of another request."""
        self.first_read_at = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what is there; notes when."""
        try:
            count = super().read_from_fd(buf)
        except OSError:
            self.peer_closed = True
            raise
        if count == 0:
            self.peer_closed = True
        elif count is not None and self.first_read_at is None:
            self.first_read_at = clock.monotonic()
        if count and self.on_read is not None:
            self.on_read(count)
        return count

    def has_unread(self) -> bool:
        """Returns whether bytes wait in the socket."""
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, _PEEK_FLAGS))
        except OSError:
            return False

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
        super().close_fd()


class ClientServer(httpserver.HTTPServer):
    """An HTTP server whose connections are client streams.

    Its delegate is told which connections are closed.
    """

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection."""
        super().handle_stream(
            ClientStream(
                stream.socket,
                max_buffer_size=stream.max_buffer_size,
                read_chunk_size=stream.read_chunk_size,
            ),
            address,
        )

    def on_close(self, server_conn: object) -> None:
        """Passes the end of a connection on, which Tornado does not."""
        super().on_close(server_conn)
        delegate = typing.cast(
            httputil.HTTPServerConnectionDelegate, self.request_callback
        )
        delegate.on_close(server_conn)
