"""Decides when an instance may write to the store, within its share."""

import typing

import attrs

# Requests come in groups, and each may want its own write.
BURST_WRITES: typing.Final = 4


@attrs.define(kw_only=True)
class WritePace:
    """Allows BURST_WRITES at once, and one for each interval on average.

    paid_until is the time at which the writes so far would have ended, had
    they come one for each interval.
    """

    paid_until: float = float('-inf')

    def wait_s(self, interval_s: float, now: float) -> float:
        """Returns how long the next write has to wait."""
        ahead_s = (BURST_WRITES - 1) * interval_s
        return max(self.paid_until - ahead_s - now, 0.0)

    def note_write(self, interval_s: float, now: float) -> None:
        """Notes that a write was made."""
        self.paid_until = max(self.paid_until, now) + interval_s
