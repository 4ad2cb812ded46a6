"""Lets callers that were refused while they send see the refusal.

A connection that is closed while bytes wait in it, or come later, is reset,
and a caller that still sends may never read its answer.  So this side ends its
own direction first, and drops what comes until the caller closes.
"""

import asyncio
import socket
import typing

from oleanderdrift.gateway import work_share

# A caller that sends a long body may look for an answer at its end only.
LINGER_S: typing.Final = 5.0
READ_BYTES: typing.Final = 65_536
# In one turn of the event loop.
TURN_BYTES: typing.Final = 262_144


class Lingering:
    """Connections whose answers are sent, limit of them at the most.

    timers has what ends each of them.  buffer is for what is dropped, and
    share for how much of that is read in a turn.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.timers: dict[socket.socket, asyncio.TimerHandle] = {}
        self.buffer = bytearray(READ_BYTES)
        self.share = work_share.TurnBytes(TURN_BYTES)

    def take(self, sock: socket.socket) -> None:
        """Keeps the connection of a socket that is closed after this.

        At the limit, it drops what has come and keeps none.
        """
        if len(self.timers) >= self.limit:
            self.drop(sock)
            return
        try:
            copy = sock.dup()
        except OSError:
            return
        try:
            copy.shutdown(socket.SHUT_WR)
        except OSError:
            copy.close()
            return
        loop = asyncio.get_running_loop()
        self.timers[copy] = loop.call_later(LINGER_S, self.close, copy)
        loop.add_reader(copy, self.go_on, copy)

    def go_on(self, sock: socket.socket) -> None:
        """Drops what has come, or ends the connection with its caller's."""
        if self.share.has_left() and not self.drop(sock):
            self.close(sock)

    def drop(self, sock: socket.socket) -> bool:
        """Drops some bytes that have come; returns whether more may come."""
        try:
            count = sock.recv_into(self.buffer)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if count:
            self.share.use(count)
        return count > 0

    def close(self, sock: socket.socket) -> None:
        """Ends a connection that lingers."""
        self.timers.pop(sock).cancel()
        asyncio.get_running_loop().remove_reader(sock)
        sock.close()
