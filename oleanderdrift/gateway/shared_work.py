"""Work that several callers wait for, and that outlasts each of them.

A caller whose time is over leaves; the work goes on, so that the next one
finds what it has got so far.
"""

import asyncio
import collections.abc
import typing

from oleanderdrift import codes
from oleanderdrift import errors

_T = typing.TypeVar('_T')
# Far more than the callers of a busy instance wait for at once.
MAX_TASKS: typing.Final = 512


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
            self.next_read = start(self.run())
        # One caller that leaves does not end the read of the others.
        return await asyncio.shield(self.next_read)

    async def run(self) -> _T:
        """Reads once the read before has ended."""
        async with self.lock:
            self.next_read = None
            return await self.read()


class SharedTasks(typing.Generic[_T]):
    """Runs at most one task for each key, and limit tasks together."""

    def __init__(self, limit: float = MAX_TASKS) -> None:
        self.limit = limit
        self.running: dict[collections.abc.Hashable, asyncio.Task[_T]] = {}

    async def get(
        self,
        key: collections.abc.Hashable,
        work: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, _T]
        ],
    ) -> _T:
        """Returns the result of a key's task, which is begun if need be.

        Raises what the task raises, and ResultError LOG_UNAVAILABLE if too
        many are running.
        """
        return await asyncio.shield(self.ensure(key, work))

    def ensure(
        self,
        key: collections.abc.Hashable,
        work: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, _T]
        ],
    ) -> asyncio.Task[_T]:
        """Returns a key's task, which is begun unless it is running.

        Raises ResultError LOG_UNAVAILABLE if too many are running.
        """
        running = self.running.get(key)
        if running is not None and not running.done():
            return running
        if len(self.running) >= self.limit:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, 'too many reads are under way'
            )
        task = self.running[key] = start(work())
        task.add_done_callback(lambda _: self.forget(key, task))
        return task

    def forget(
        self, key: collections.abc.Hashable, task: asyncio.Task[_T]
    ) -> None:
        """Forgets a task that has ended, unless another has its place."""
        if self.running.get(key) is task:
            del self.running[key]


def start(
    work: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> asyncio.Task[_T]:
    """Starts a task that may fail when nobody waits for it any more."""
    task = asyncio.create_task(work)
    task.add_done_callback(mark_exception_retrieved)
    return task


def mark_exception_retrieved(task: asyncio.Task[typing.Any]) -> None:
    """Marks a failed task's exception as retrieved.

    This avoids asyncio's warning; code that awaits the task still gets it.
    """
    if not task.cancelled():
        task.exception()
