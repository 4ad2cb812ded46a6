"""Adapts the real scheduler to the dispatcher protocol of the bench."""

import collections.abc

import attrs

from bench import replay_state
from bench import workload
from oleanderdrift import dispatch_group
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import policy
from oleanderdrift import retention
from oleanderdrift import scheduler
from oleanderdrift import slot_grants


@attrs.define(kw_only=True)
class SchedulerAdapter:
    """The real scheduler of a dispatch group, as a `Dispatcher`."""

    group: dispatch_group.DispatchGroup

    def set_upstreams(
        self, now: float, upstreams: list[model.Upstream]
    ) -> None:
        """Replaces the group's upstreams."""
        scheduler.set_upstreams(self.group, now, upstreams)

    def submit(self, now: float, request: messages.SlotRequest) -> None:
        """Queues a call."""
        scheduler.submit(self.group, now, request)

    def release(self, now: float, released: messages.SlotReleased) -> None:
        """Frees the slot of a finished call."""
        scheduler.release(self.group, now, released)

    def poll(
        self, now: float
    ) -> list[messages.SlotGranted | messages.SlotRefused]:
        """Returns the slots granted and refused now."""
        return slot_grants.poll(self.group, now)

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again."""
        return slot_grants.next_wakeup(self.group, now)

    def end_program(self, now: float, program: str) -> None:
        """Handles the end of a program."""
        scheduler.end_program(self.group, now, program)

    def due_releases(self, now: float) -> list[retention.Release]:
        """Returns the programs whose cached blocks are to be released."""
        return slot_grants.due_releases(self.group, now)

    def on_load(
        self, now: float, upstream: str, running: int, waiting: int
    ) -> None:
        """Handles an engine's load report."""
        scheduler.on_load(self.group, now, upstream, running, waiting)

    def on_cache_event(
        self,
        now: float,
        upstream: str,
        sequence: int,
        stored: tuple[bytes, ...],
        removed: tuple[bytes, ...],
    ) -> None:
        """Handles an engine's cache event."""
        scheduler.on_cache_event(
            self.group, now, upstream, sequence, stored, removed
        )


def make_scheduler(
    rules: policy.Policy,
) -> collections.abc.Callable[[str], replay_state.Dispatcher]:
    """Returns a factory of schedulers that follow a policy."""

    def make_dispatcher(name: str) -> replay_state.Dispatcher:
        group = dispatch_group.DispatchGroup(name=name, rules=rules)
        scheduler.set_classes(group, 0.0, workload.CLASSES)
        scheduler.set_accounts(group, 0.0, workload.ACCOUNTS)
        return SchedulerAdapter(group=group)

    return make_dispatcher
