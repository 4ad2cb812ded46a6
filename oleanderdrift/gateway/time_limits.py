"""Time limits that do not end what a busy event loop has kept waiting."""

import asyncio
import collections.abc
import contextlib
import typing

# An idle loop ends a limit sooner than that after it is over.
LATE_S: typing.Final = 0.02
# In this time, a loop that was busy reads what has arrived meanwhile.
GRACE_S: typing.Final = 0.2


@contextlib.asynccontextmanager
async def within(limit_s: float) -> collections.abc.AsyncIterator[None]:
    """Raises TimeoutError if the block takes longer than a time in seconds.

    If the loop comes to the limit late, the block has GRACE_S more: the
    answer that it waits for may have arrived in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    async with asyncio.timeout(None) as limit:
        timer = loop.call_at(deadline, _end, limit, deadline)
        try:
            yield
        finally:
            timer.cancel()


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


def _end(limit: asyncio.Timeout, deadline: float) -> None:
    """Ends a limit, at once unless the loop comes late."""
    now = asyncio.get_running_loop().time()
    limit.reschedule(now + GRACE_S if now - deadline > LATE_S else now)
