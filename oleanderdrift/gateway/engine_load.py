"""Measures how busy engines are, by the time that a token takes there.

Engines batch what they get.  How many requests one can have is a matter of
the time that its callers have, not of its slots.
"""

import collections.abc
import statistics
import typing

import attrs

from oleanderdrift.gateway import upstreams

# What programs can afford while that is not known, in times of an idle engine.
DEFAULT_SLOWNESS: typing.Final = 1.9
# Requests of one engine while no turn has been measured there.
FIRST_RUNNING: typing.Final = 4
# The load may exceed the highest measured one by this factor.
MAX_GROWTH: typing.Final = 1.5
# Engines that are slower by their load than idle ones by less than this get
# all programs, even if all end late.
MIN_SLOWNESS: typing.Final = 1.3
MS_PER_S: typing.Final = 1_000.0


@attrs.frozen(kw_only=True)
class EngineLoad:
    """How busy engines are.

    token_s is the time that a token takes, least_s that on engines that are
    hardly busy, and affordable_s the one that programs can afford.  running
    counts requests up to those at which the time of a token is known on each
    engine, and explored is the sum of these.
    """

    token_s: float = 0.0
    least_s: float = 0.0
    affordable_s: float = 0.0
    running: float = 0.0
    explored: float = 0.0

    def is_over(self, pace: float) -> bool:
        """Returns whether a token takes over a part of the affordable time."""
        if not self.running:
            return False
        wanted_s = max(pace * self.affordable_s, MIN_SLOWNESS * self.least_s)
        return self.token_s >= wanted_s or self.running >= self.explored

    def text(self) -> str:
        """Returns the load as text."""
        return (
            f'{self.token_s * MS_PER_S:.2f} ms a token, '
            f'{self.least_s * MS_PER_S:.2f} at least, '
            f'{self.affordable_s * MS_PER_S:.2f} affordable, '
            f'{self.running:.0f} requests of {self.explored:.0f}'
        )


def load_of(
    engines: collections.abc.Sequence[upstreams.Upstream],
    affordable_s: float | None,
    now: float,
) -> EngineLoad:
    """Returns the load of engines.

    affordable_s is the time per token that programs can afford, if known.
    After a start, or on engines that have just started, the load grows by
    steps, so that the time of a token is known at each.
    """
    if not engines:
        return EngineLoad()
    least_s = statistics.fmean(one.engine.least_token_s() for one in engines)
    if affordable_s is None:
        affordable_s = DEFAULT_SLOWNESS * least_s
    explored = [
        max(FIRST_RUNNING, MAX_GROWTH * one.engine.max_running)
        for one in engines
    ]
    # A full engine takes no room from one that is idle.
    running = [
        min(one.own_requests + one.peer_requests, most)
        for one, most in zip(engines, explored, strict=True)
    ]
    return EngineLoad(
        token_s=mean_token_s(engines, now),
        least_s=least_s,
        affordable_s=affordable_s,
        running=sum(running),
        explored=sum(explored),
    )


def mean_token_s(
    engines: collections.abc.Sequence[upstreams.Upstream], now: float
) -> float:
    """Returns the time per token of the requests in slots, 0 for none."""
    taken = [
        min(one.own_requests + one.peer_requests, one.entry.slots)
        for one in engines
    ]
    if not any(taken):
        return 0.0
    return statistics.fmean(
        [
            one.engine.token_s(count, now)
            for one, count in zip(engines, taken, strict=True)
        ],
        taken,
    )
