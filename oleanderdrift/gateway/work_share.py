"""Shares the time of the event loop among work that may be much.

What many callers can cause at once is done a few milliseconds at a time, in
the order in which it came, and everything else runs in between.
"""

import asyncio
import collections
import collections.abc
import typing

import attrs

from oleanderdrift.gateway import clock

# In one turn of the event loop.  A request takes some turns.
TURN_S: typing.Final = 0.002

_Result = typing.TypeVar('_Result')


@attrs.frozen(kw_only=True, eq=False)
class _Job(typing.Generic[_Result]):
    """Work that waits for its turn."""

    work: collections.abc.Callable[[], _Result]
    result: asyncio.Future[_Result]

    def run(self) -> None:
        """Does the work, unless nobody waits for it any more."""
        if self.result.done():
            return
        try:
            found = self.work()
        except Exception as error:
            self.result.set_exception(error)
        else:
            self.result.set_result(found)


class WorkShare:
    """The work that waits, in the order in which it is done."""

    def __init__(self) -> None:
        self.jobs: collections.deque[_Job[typing.Any]] = collections.deque()

    async def run(
        self, work: collections.abc.Callable[[], _Result]
    ) -> _Result:
        """Does some work in its turn; returns or raises what it does."""
        loop = asyncio.get_running_loop()
        result: asyncio.Future[_Result] = loop.create_future()
        self.jobs.append(_Job(work=work, result=result))
        if len(self.jobs) == 1:
            loop.call_soon(self.run_turn)
        return await result

    def run_turn(self) -> None:
        """Does what its share of this turn of the loop suffices for."""
        until = clock.monotonic() + TURN_S
        while self.jobs:
            # It stays there meanwhile, so that run() schedules no turn.
            self.jobs[0].run()
            self.jobs.popleft()
            if clock.monotonic() >= until:
                break
        if self.jobs:
            asyncio.get_running_loop().call_soon(self.run_turn)


class TurnBytes:
    """The bytes that may be read of some kind in one turn of the event loop.

    What is read of them may take long to handle, and its time is not known
    when it is read.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def has_left(self) -> bool:
        """Returns whether any may be read in this turn."""
        return self.used < self.limit

    def use(self, count: int) -> None:
        """Counts bytes that were read in this turn."""
        if not self.used:
            asyncio.get_running_loop().call_soon(self.begin_turn)
        self.used += count

    def begin_turn(self) -> None:
        """Allows as many bytes again."""
        self.used = 0
