"""Limits the long answers that share the link of an instance.

Answers of the store and of upstreams come over one link.  What an instance
asks for at once has to come before the time-outs of all that waits behind it.
"""

import asyncio
import collections
import collections.abc
import contextlib
import typing

import attrs

# Long answers hold up others for this time at the most.
MAX_DELAY_S: typing.Final = 0.1
# Less would spend most of the time on waiting for the store.
MIN_BYTES: typing.Final = 65_536
BYTES_PER_MEGABIT: typing.Final = 125_000


@attrs.define(kw_only=True, eq=False)
class _Waiting:
    """A call that waits for its bytes."""

    size: int
    granted: asyncio.Future[None]


class LinkShare:
    """The bytes that may be on their way at once, in order of their calls.

    A single answer may have more.
    """

    def __init__(self, link_mbps: float) -> None:
        bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        self.limit = max(bytes_per_s * MAX_DELAY_S, MIN_BYTES)
        self.asked = 0
        self.waiting: collections.deque[_Waiting] = collections.deque()

    @contextlib.asynccontextmanager
    async def take(self, size: int) -> collections.abc.AsyncIterator[None]:
        """Waits until some bytes may be asked for, and counts them."""
        if self.waiting or not self.fits(size):
            await self.wait(size)
        else:
            self.asked += size
        try:
            yield
        finally:
            self.release(size)

    def fits(self, size: int) -> bool:
        """Returns whether some bytes may be asked for now."""
        return not self.asked or self.asked + size <= self.limit

    async def wait(self, size: int) -> None:
        """Waits for others; the bytes are counted once it returns."""
        granted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(size=size, granted=granted)
        self.waiting.append(waiting)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.cancelled():
                # It has neither its place any more, nor any bytes.
                self.waiting.remove(waiting)
                size = 0
            self.release(size)
            raise

    def release(self, size: int) -> None:
        """Ends the count of some bytes; others may be asked for."""
        self.asked -= size
        while self.waiting and self.fits(self.waiting[0].size):
            first = self.waiting[0]
            if first.granted.cancelled():
                # Its caller is about to leave the queue.
                return
            self.waiting.popleft()
            self.asked += first.size
            first.granted.set_result(None)
