"""Lets callers that need a fresh read of the store share one."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar('_T')


class SharedRead(typing.Generic[_T]):
    """Runs one read at a time.

    Each caller gets the result of a read that begins after its call.
    next_read is the read that has not begun yet.
    """

    def __init__(
        self, read: collections.abc.Callable[[], collections.abc.Awaitable[_T]]
    ) -> None:
        self.read = read
        self.lock = asyncio.Lock()
        self.next_read: asyncio.Task[_T] | None = None

    async def get(self) -> _T:
        """Returns the result; raises what the read raises."""
        if self.next_read is None:
            self.next_read = asyncio.create_task(self.run())
        # One caller that leaves does not end the read of the others.
        return await asyncio.shield(self.next_read)

    async def run(self) -> _T:
        """Reads once the read before has ended."""
        async with self.lock:
            self.next_read = None
            return await self.read()
