"""The baseline dispatchers: what callers get without the scheduler.

Both send each call to an engine at once, so calls wait in the engine, which
serves them first in, first out.  Both see the calls of the whole fleet
without delay, unlike real entry instances.
"""

import attrs

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import retention


@attrs.define(kw_only=True)
class Baseline:
    """Common state: upstreams, their outstanding calls, and new calls."""

    upstream_names: list[str] = attrs.field(factory=list)
    outstanding: dict[str, int] = attrs.field(factory=dict)
    new_requests: list[messages.SlotRequest] = attrs.field(factory=list)

    def set_upstreams(
        self, now: float, upstreams: list[model.Upstream]
    ) -> None:
        """Replaces the upstreams; a leaving one gets no new calls."""
        self.upstream_names = [
            each.name for each in upstreams if not each.leaving
        ]

    def submit(self, now: float, request: messages.SlotRequest) -> None:
        """Queues a call."""
        self.new_requests.append(request)

    def release(self, now: float, released: messages.SlotReleased) -> None:
        """Counts a finished call."""
        self.outstanding[released.upstream] -= 1

    def poll(
        self, now: float
    ) -> list[messages.SlotGranted | messages.SlotRefused]:
        """Grants every new call at once."""
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
        """Returns the upstream for the next call."""
        raise NotImplementedError

    def next_wakeup(self, now: float) -> float | None:
        """Returns None, since calls are only granted on events."""
        return None

    def end_program(self, now: float, program: str) -> None:
        """Ignores the end of a program."""

    def due_releases(self, now: float) -> list[retention.Release]:
        """Releases nothing; engines evict the least recently used blocks."""
        return []

    def on_load(
        self, now: float, upstream: str, running: int, waiting: int
    ) -> None:
        """Ignores load reports."""

    def on_cache_event(
        self,
        now: float,
        upstream: str,
        sequence: int,
        stored: tuple[bytes, ...],
        removed: tuple[bytes, ...],
    ) -> None:
        """Ignores cache events."""


@attrs.define(kw_only=True)
class RoundRobin(Baseline):
    """Sends calls to the upstreams in turn."""

    last_index: int = 0

    def pick_upstream(self) -> str:
        """Returns the next upstream in turn."""
        self.last_index += 1
        return self.upstream_names[self.last_index % len(self.upstream_names)]


@attrs.define(kw_only=True)
class LeastOutstanding(Baseline):
    """Sends each call to the upstream with the fewest outstanding calls."""

    def pick_upstream(self) -> str:
        """Returns the upstream with the fewest outstanding calls."""
        return min(
            self.upstream_names, key=lambda name: self.outstanding.get(name, 0)
        )
