"""Runs coroutines in virtual time: waits take none of the real time."""

import asyncio
import collections.abc
import selectors
import typing

import pytest

from oleanderdrift.gateway import clock

_T = typing.TypeVar('_T')
# A loop that waits for nothing would never end.
MAX_IDLE_SELECTS: typing.Final = 1_000


class _Selector(selectors.DefaultSelector):
    """Moves the clock on by each time that the loop would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.idle_selects = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready at once; time passes only if nothing is."""
        found: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        if found:
            return found
        if timeout is None:
            self.idle_selects += 1
            assert self.idle_selects < MAX_IDLE_SELECTS, 'nothing to wait for'
        self.now += max(timeout or 0.0, 0.0)
        return found


class _Loop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of its selector."""

    def __init__(self) -> None:
        self.clock = _Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self.clock.now


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, _T]) -> _T:
    """Runs a coroutine that uses no sockets; returns its result.

    The instances' monotonic clock shows the virtual time, too.
    """
    with (
        asyncio.Runner(loop_factory=_Loop) as runner,
        pytest.MonkeyPatch.context() as patch,
    ):
        patch.setattr(clock, 'monotonic', runner.get_loop().time)
        return runner.run(main)
