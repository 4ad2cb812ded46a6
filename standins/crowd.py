"""Callers that misbehave, many at once, in a process of their own.

It comes as fast as the process that it is sent to takes it, and does not
share the event loop of a test.
"""

import collections.abc
import errno
import heapq
import itertools
import select
import socket
import subprocess  # nosec
import sys
import time
import typing

import attrs
import msgspec

from standins import processes

# Stands in a head for an id that no other request has.
ID: typing.Final = '$ID'
# What one caller sends before the others have their turn.
SEND_BYTES: typing.Final = 262_144
READ_BYTES: typing.Final = 65_536
# Before a caller whose connection was closed comes back.
RETURN_S: typing.Final = 0.02
ENDED: typing.Final = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@attrs.frozen(kw_only=True)
class Piece:
    """Text that is sent at once, repeated; count such pieces are sent."""

    text: str
    repeats: int = 1
    count: int = 1


@attrs.frozen(kw_only=True)
class Crowd:
    """Callers that all send the same to HOST:PORT.

    Each takes the next of the heads, and sends the pieces after it, with a
    pause after each; all of that as often as requests says.  Then it keeps
    its connection open, or closes it.  It reads no answer unless reads is
    true.  If its connection is closed, it comes back when returns is true.
    """

    host: str
    port: int
    callers: int
    heads: tuple[str, ...]
    pieces: tuple[Piece, ...] = ()
    requests: int = 1
    pause_s: float = 0.0
    reads: bool = False
    closes: bool = False
    returns: bool = False


class Caller:
    """One caller; data is what is left of the piece that is being sent."""

    def __init__(
        self, sock: socket.socket, pieces: collections.abc.Iterator[memoryview]
    ) -> None:
        self.sock = sock
        self.pieces = pieces
        self.data = memoryview(b'')

    def send(self) -> bool:
        """Sends what is taken; returns whether a piece has ended."""
        sent = self.sock.send(self.data[:SEND_BYTES])
        self.data = self.data[sent:]
        return not self.data


class Callers:
    """All callers of a crowd; time is that of the monotonic clock."""

    def __init__(self, crowd: Crowd) -> None:
        self.crowd = crowd
        self.ids = itertools.count()
        self.heads = itertools.cycle(crowd.heads)
        self.blocks = [
            (memoryview(one.text.encode('latin-1') * one.repeats), one.count)
            for one in crowd.pieces
        ]
        self.epoll = select.epoll()
        self.open: dict[int, Caller] = {}
        self.numbers = itertools.count()
        # When callers go on, or come back if there is none.
        self.waiting: list[tuple[float, int, Caller | None]] = []

    def pieces(self) -> collections.abc.Iterator[memoryview]:
        """Yields what one caller sends."""
        for _ in range(self.crowd.requests):
            unique = f'{next(self.ids)}-{time.monotonic_ns()}'
            yield memoryview(next(self.heads).replace(ID, unique).encode())
            for block, count in self.blocks:
                for _ in range(count):
                    yield block

    def connect(self, now: float) -> None:
        """Opens the connection of a caller."""
        sock = socket.socket()
        sock.setblocking(False)
        result = sock.connect_ex((self.crowd.host, self.crowd.port))
        if result not in (0, errno.EINPROGRESS):
            sock.close()
            self.come_back(now)
            return
        caller = Caller(sock, self.pieces())
        self.open[sock.fileno()] = caller
        self.epoll.register(sock, self.events(is_sending=True))

    def events(self, *, is_sending: bool) -> int:
        """Returns what is waited for on a connection."""
        wanted = select.EPOLLRDHUP
        if is_sending:
            wanted |= select.EPOLLOUT
        if self.crowd.reads:
            wanted |= select.EPOLLIN
        return wanted

    def come_back(self, now: float) -> None:
        """Has another caller come in a moment, if this crowd does that."""
        if self.crowd.returns:
            self.wait(now + RETURN_S, None)

    def wait(self, until: float, caller: Caller | None) -> None:
        """Has a caller go on at a time."""
        heapq.heappush(self.waiting, (until, next(self.numbers), caller))

    def close(self, caller: Caller, now: float) -> None:
        """Ends a caller whose connection was closed."""
        del self.open[caller.sock.fileno()]
        self.epoll.unregister(caller.sock)
        caller.sock.close()
        self.come_back(now)

    def handle(self, number: int, events: int, now: float) -> None:
        """Sends or reads on a connection that is ready."""
        caller = self.open[number]
        try:
            if events & select.EPOLLIN and self.crowd.reads:
                caller.sock.recv(READ_BYTES)
            if events & ENDED:
                self.close(caller, now)
            elif events & select.EPOLLOUT:
                self.send(caller, now)
        except BlockingIOError:
            return
        except OSError:
            self.close(caller, now)

    def send(self, caller: Caller, now: float) -> None:
        """Sends some of what a caller has to send."""
        if not caller.data:
            piece = next(caller.pieces, None)
            if piece is None and self.crowd.closes:
                self.close(caller, now)
                return
            if piece is None:
                self.epoll.modify(caller.sock, self.events(is_sending=False))
                return
            caller.data = piece
        if caller.send() and self.crowd.pause_s:
            self.epoll.modify(caller.sock, self.events(is_sending=False))
            self.wait(now + self.crowd.pause_s, caller)

    def go_on(self, now: float) -> None:
        """Has the callers go on whose pause is over."""
        while self.waiting and self.waiting[0][0] <= now:
            _, _, caller = heapq.heappop(self.waiting)
            if caller is None:
                self.connect(now)
            elif self.open.get(caller.sock.fileno()) is caller:
                self.epoll.modify(caller.sock, self.events(is_sending=True))

    def run(self) -> typing.NoReturn:
        """Goes on until the process is killed."""
        for _ in range(self.crowd.callers):
            self.connect(time.monotonic())
        while True:
            now = time.monotonic()
            self.go_on(now)
            timeout_s = self.waiting[0][0] - now if self.waiting else None
            for number, events in self.epoll.poll(timeout_s):
                self.handle(number, events, time.monotonic())


def start(crowd: Crowd) -> subprocess.Popen[bytes]:
    """Starts a crowd, which goes on until its process is killed."""
    child = subprocess.Popen(
        [sys.executable, '-m', 'standins.crowd'],
        stdin=subprocess.PIPE,
        cwd=processes.ROOT,
    )
    assert child.stdin is not None
    child.stdin.write(msgspec.json.encode(crowd))
    child.stdin.close()
    return child


if __name__ == '__main__':
    Callers(msgspec.json.decode(sys.stdin.buffer.read(), type=Crowd)).run()
