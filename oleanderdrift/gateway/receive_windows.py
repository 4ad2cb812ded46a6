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

    size is what each of them was last set to.
    """

    budget: int
    size: int = MAX_BYTES

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
            set_window(new, self.size)

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
        for one in connections:
            set_window(one, size)


def set_window(connection: Connection, size: int) -> None:
    """Sets how many bytes the kernel takes unread on a connection."""
    # It may be closed.
    with contextlib.suppress(OSError, AttributeError):
        connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
