"""Time limits that do not end what a busy event loop has kept waiting."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

# An idle loop ends a limit sooner than that after it is over.
LATE_S: typing.Final = 0.02
# In this time, a loop that was busy reads what has arrived meanwhile.
GRACE_S: typing.Final = 0.2

# Returns how much of the time between two others does not count.
Held: typing.TypeAlias = collections.abc.Callable[[float, float], float]


def nothing_held(since: float, now: float) -> float:
    """Returns that all of the time counts."""
    return 0.0


@attrs.define(kw_only=True, eq=False)
class _Deadline:
    """Ends a limit once limit_s have passed since began that count."""

    limit: asyncio.Timeout
    limit_s: float
    held: Held
    began: float
    timer: asyncio.TimerHandle | None = None

    def wait_until(self, due: float) -> None:
        """Looks again at a time."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(due, self.check, due)

    def check(self, due: float) -> None:
        """Ends the limit, at once unless the loop comes late."""
        now = asyncio.get_running_loop().time()
        held_until = self.began + self.limit_s + self.held(self.began, now)
        if held_until - now > LATE_S:
            self.wait_until(held_until)
        else:
            is_late = now - due > LATE_S
            self.limit.reschedule(now + GRACE_S if is_late else now)

    def cancel(self) -> None:
        """Ends nothing any more."""
        if self.timer is not None:
            self.timer.cancel()


@contextlib.asynccontextmanager
async def within(
    limit_s: float, held: Held = nothing_held
) -> collections.abc.AsyncIterator[None]:
    """Raises TimeoutError if the block takes longer than a time in seconds.

    Time that is held does not count.

    If the loop comes to the limit late, the block has GRACE_S more: the
    answer that it waits for may have arrived in time.
    """
    began = asyncio.get_running_loop().time()
    async with asyncio.timeout(None) as limit:
        deadline = _Deadline(
            limit=limit, limit_s=limit_s, held=held, began=began
        )
        deadline.wait_until(began + limit_s)
        try:
            yield
        finally:
            deadline.cancel()


async def pause(seconds: float) -> None:
    """Sleeps before something is judged by what has arrived until then.

    If the loop comes late, it sleeps once more: what has arrived while the
    loop was busy is read first.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    await asyncio.sleep(seconds)
    if loop.time() - due > LATE_S:
        await asyncio.sleep(seconds)
