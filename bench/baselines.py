"""The baselines: what callers get without the scheduler.

Both send each call to an engine at once and so leave its order to the
engine, which is first in, first out.  Both see the whole fleet's calls
without delay, which real entry instances do not.
"""

import attrs

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import retention


@attrs.define(kw_only=True)
class Baseline:
    """What both baselines know: live upstreams, their calls, new calls."""

    upstream_names: list[str] = attrs.field(factory=list)
    outstanding: dict[str, int] = attrs.field(factory=dict)
    new_requests: list[messages.SlotRequest] = attrs.field(factory=list)

    def set_upstreams(
        self, now: float, upstreams: list[model.Upstream]
    ) -> None:
        """Takes over the upstreams; a leaving one gets nothing new."""
        self.upstream_names = [
            each.name for each in upstreams if not each.leaving
        ]

    def submit(self, now: float, request: messages.SlotRequest) -> None:
        """Takes a new call."""
        self.new_requests.append(request)

    def release(self, now: float, released: messages.SlotReleased) -> None:
        """Counts a call's end."""
        self.outstanding[released.upstream] -= 1

    def poll(
        self, now: float
    ) -> list[messages.SlotGranted | messages.SlotRefused]:
        """Sends every new call at once."""
        grants: list[messages.SlotGranted | messages.SlotRefused] = []
        for request in self.new_requests:
            name = self.pick_upstream()
            self.outstanding[name] = self.outstanding.get(name, 0) + 1
            grants.append(
                messages.SlotGranted(call_id=request.call_id, upstream=name)
            )
        self.new_requests.clear()
        return grants

    def pick_upstream(self) -> str:
        """Returns the upstream of the next call."""
        raise NotImplementedError

    def next_wakeup(self, now: float) -> float | None:
        """Never decides without an event."""
        return None

    def end_program(self, now: float, program: str) -> None:
        """Makes nothing of a program's end."""

    def due_releases(self, now: float) -> list[retention.Release]:
        """Releases nothing; engines evict what was used longest ago."""
        return []

    def on_load(
        self, now: float, upstream: str, running: int, waiting: int
    ) -> None:
        """Makes nothing of load reports."""

    def on_cache_event(
        self,
        now: float,
        upstream: str,
        sequence: int,
        stored: tuple[bytes, ...],
        removed: tuple[bytes, ...],
    ) -> None:
        """Makes nothing of cache events."""


@attrs.define(kw_only=True)
class RoundRobin(Baseline):
    """First in, first out, to each upstream in turn."""

    last_index: int = 0

    def pick_upstream(self) -> str:
        """Returns the next upstream in turn."""
        self.last_index += 1
        return self.upstream_names[self.last_index % len(self.upstream_names)]


@attrs.define(kw_only=True)
class LeastOutstanding(Baseline):
    """First in, first out, to the upstream with the fewest open calls."""

    def pick_upstream(self) -> str:
        """Returns the upstream with the fewest open calls."""
        return min(
            self.upstream_names, key=lambda name: self.outstanding.get(name, 0)
        )
