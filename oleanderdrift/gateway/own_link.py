"""Tells a full link of this instance from the silence of others.

What others send waits behind all that comes over the same link.  The time
that the link took for other bytes does not count as their silence.
"""

import typing

import attrs

BYTES_PER_MEGABIT: typing.Final = 125_000
# The rest carries the heads of packets, and bytes that are not counted here.
USABLE_SHARE: typing.Final = 0.75
STEP_S: typing.Final = 0.02
# Longer than any span that is judged.
KEPT_STEPS: typing.Final = 200
# Clients abandon a stream after a gap of two seconds.  A lost path has to be
# found and gone round before: by the silence of a request, a connection and a
# tunnel, each of the latter two held up for this time at the most.
MAX_HELD_S: typing.Final = 0.4


@attrs.define(kw_only=True)
class OwnLink:
    """The bytes that lately came over the link of this instance.

    mbps is its rate in Mbit/s; without a positive one, it holds up nothing.
    arrived counts the bytes by steps of time.
    """

    mbps: float = float('inf')
    arrived: dict[int, int] = attrs.field(factory=dict)

    def note(self, count: int, now: float) -> None:
        """Counts bytes that have just arrived."""
        step = int(now / STEP_S)
        if step in self.arrived:
            self.arrived[step] += count
            return
        self.arrived[step] = count
        while len(self.arrived) > KEPT_STEPS:
            del self.arrived[next(iter(self.arrived))]

    def held_s(self, since: float, now: float) -> float:
        """Returns the time of a span that does not count as silence."""
        if not self.mbps > 0.0:
            return 0.0
        first = int(since / STEP_S) + 1
        steps = range(first, int(now / STEP_S) + 1)
        count = sum(self.arrived.get(step, 0) for step in steps)
        taken_s = count / (self.mbps * BYTES_PER_MEGABIT * USABLE_SHARE)
        return min(taken_s, now - since, MAX_HELD_S)
