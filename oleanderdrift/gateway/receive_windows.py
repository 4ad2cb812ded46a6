"""Bounds what the kernel holds of bytes that callers have sent.

By itself it takes some MiB on each connection before this process has read
anything, and on the users' machines that is memory of the process.  All
connections share what there is for them, so each has the less the more are
open.
"""

import collections.abc
import contextlib
import socket
import typing

import attrs

# Enough for one caller at the other end of a continent.
MAX_BYTES: typing.Final = 262_144
# Less makes a caller wait for each packet.
MIN_BYTES: typing.Final = 16_384
# On a connection that was not accepted yet.  What is set for it before it is
# opened is the most that it can have later.
MAX_WAITING_BYTES: typing.Final = 131_072
# The kernel takes so many times what it is told, for its own overhead.
KERNEL_FACTOR: typing.Final = 2


class Connection(typing.Protocol):
    """What is used of a caller's connection."""

    socket: socket.socket


def size_for(budget: int, connections: int) -> int:
    """Returns how many bytes may be unread on each connection.

    budget is for all of them.  Sizes are powers of two, so that they rarely
    change.
    """
    share = min(max(budget // max(connections, 1), MIN_BYTES), MAX_BYTES)
    return 1 << (share.bit_length() - 1)


@attrs.define(kw_only=True)
class ReceiveWindows:
    """The windows of all open connections, budget bytes together.

    size is what each of them was last set to.  listeners are those that they
    come from: a connection has a window before it is accepted.
    """

    budget: int
    size: int = MAX_BYTES
    listeners: list[socket.socket] = attrs.field(factory=list)

    def listen(self, listeners: list[socket.socket]) -> None:
        """Sets the windows of connections that are to come."""
        self.listeners = listeners
        self.set_listeners()

    def fit_new(
        self,
        new: Connection,
        connections: collections.abc.Collection[Connection],
    ) -> None:
        """Sets the window of a new connection, which is one of them."""
        size = size_for(self.budget, len(connections))
        if size < self.size:
            self.set_all(size, connections)
        else:
            set_window(new.socket, self.size)

    def fit_all(
        self, connections: collections.abc.Collection[Connection]
    ) -> None:
        """Sets all windows anew, if fewer connections are open now."""
        size = size_for(self.budget, len(connections))
        if size != self.size:
            self.set_all(size, connections)

    def set_all(
        self, size: int, connections: collections.abc.Collection[Connection]
    ) -> None:
        """Sets the window of all connections."""
        self.size = size
        self.set_listeners()
        for one in connections:
            set_window(one.socket, size)

    def set_listeners(self) -> None:
        """Sets the window of connections that were not accepted yet."""
        for one in self.listeners:
            set_window(one, min(self.size, MAX_WAITING_BYTES))


def set_window(sock: socket.socket, size: int) -> None:
    """Sets how many bytes the kernel takes unread on a connection."""
    # It may be closed, and is None then.
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, size // KERNEL_FACTOR
        )
