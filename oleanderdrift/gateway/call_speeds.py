"""Measures calls, and compares them with what is usual on their route.

The load that it addresses: calls on one route take many times those on
another, so the time of a call alone does not tell a slow upstream.  And an
instance that is paused, or whose link is full, must not blame upstreams.
"""

import collections
import collections.abc
import math
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import upstream_speed
from oleanderdrift.gateway import upstreams as upstreams_lib

# Calls whose median is the usual time of a route, and the fewest of them.
ROUTE_SAMPLES: typing.Final = 15
MIN_ROUTE_SAMPLES: typing.Final = 3
# Enough for all routes; those of earlier configurations are forgotten.
MAX_ROUTES: typing.Final = 1_000
# The clock is checked every 0.05 s; a longer interval is a pause.
PAUSE_S: typing.Final = 0.15
# A call is overdue after so many times what was expected.
OVERDUE_RATIO: typing.Final = 2.5
# Then it is expected to take twice as long as until now.
OVERDUE_TOTAL: typing.Final = 2.0
OVERDUE_INTERVAL_S: typing.Final = 0.25
# Shorter times depend on the instance's own processor.
MIN_CALL_S: typing.Final = 0.0002
# What is held up by the own link for a larger part says nothing.
MAX_HELD_SHARE: typing.Final = 0.5
# An upstream counts as slow from one ratio to the fastest on, until another.
SLOW_RATIO: typing.Final = placement.SLOW_RATIO
FAST_RATIO: typing.Final = 1.5


@attrs.define(kw_only=True)
class Pauses:
    """Tells what was measured across a pause of this process.

    seen_at is when the clock was last checked, and ended_at when the latest
    pause ended.
    """

    seen_at: float = float('inf')
    ended_at: float = float('-inf')

    def check(self, now: float) -> None:
        """Checks the clock, as often as the process can."""
        if now - self.seen_at > PAUSE_S:
            self.ended_at = now
        self.seen_at = now

    def spans(self, since: float, now: float) -> bool:
        """Returns whether a pause lies within a span that ends now."""
        return since < self.ended_at or now - self.seen_at > PAUSE_S


@attrs.define(kw_only=True)
class RouteTime:
    """The latest times of calls on one route, and their median."""

    times_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=ROUTE_SAMPLES)
    )
    usual_s: float | None = None

    def note(self, time_s: float) -> None:
        """Adds the time of a call, as an upstream of usual speed takes."""
        self.times_s.append(time_s)
        if len(self.times_s) >= MIN_ROUTE_SAMPLES:
            ordered = sorted(self.times_s)
            self.usual_s = ordered[len(ordered) // 2]


@attrs.define(kw_only=True)
class Change:
    """An upstream that has become slow, or is fast again."""

    upstream: upstreams_lib.Upstream
    ratio: float
    is_slow: bool


@attrs.define(kw_only=True)
class CallSpeeds:
    """The usual times of routes, and the measurements of calls.

    link is that of this instance.
    slow has the incarnations of the upstreams that count as slow.  expected_s
    and measured_s are the sums of the times of all measured calls.
    """

    data_centre: str
    link: own_link.OwnLink = attrs.field(factory=own_link.OwnLink)
    routes: dict[str, RouteTime] = attrs.field(factory=dict)
    pauses: Pauses = attrs.field(factory=Pauses)
    slow: set[str] = attrs.field(factory=set)
    expected_s: float = 0.0
    measured_s: float = 0.0

    def usual_s(self, route: model.Route) -> float | None:
        """Returns the usual time of a call on a route, None if unknown."""
        known = self.routes.get(_key(route))
        return known.usual_s if known is not None else None

    def begin(
        self,
        upstream: upstreams_lib.Upstream,
        request: model.Request,
        route: model.Route,
        now: float,
    ) -> None:
        """Notes that a call was sent."""
        running = upstream.own_requests + upstream.peer_requests
        slots = upstream.entry.slots
        factor = 1 + max(running - slots, 0) / slots
        if upstream.is_warm_for(request.affinity_key):
            factor *= placement.WARM_CALL_RATIO
        usual_s = self.usual_s(route)
        expected_s = None
        if usual_s is not None:
            expected_s = usual_s * upstream.calls.ratio(now) * factor
        upstream.open_calls[request.request_id] = upstream_speed.OpenCall(
            route=_key(route),
            sent_at=now,
            factor=factor,
            usual_s=usual_s,
            expected_s=expected_s,
        )

    def end(
        self,
        upstream: upstreams_lib.Upstream,
        request_id: str,
        now: float,
        held_s: float,
    ) -> None:
        """Measures a call; held_s of it are due to the own link."""
        call = upstream.open_calls.pop(request_id, None)
        if call is None or self.pauses.spans(call.sent_at, now):
            return
        whole_s = now - call.sent_at
        if is_held(whole_s, held_s):
            return
        measured_s = max(whole_s - held_s, MIN_CALL_S)
        if upstream.entry.data_centre != self.data_centre:
            measured_s -= min(placement.REMOTE_S, measured_s / 2)
        normal_s = measured_s / call.factor
        ratio = upstream.calls.ratio(now)
        if call.usual_s is not None and call.expected_s is not None:
            self.expected_s += call.expected_s
            self.measured_s += measured_s
            # An overdue one has been counted.
            if not call.is_overdue:
                upstream.calls.note_own(math.log(normal_s / call.usual_s), now)
        known = self.routes.get(call.route)
        if known is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.clear()
            known = self.routes[call.route] = RouteTime()
        known.note(normal_s / ratio)

    def note_overdue(
        self,
        known: collections.abc.Iterable[upstreams_lib.Upstream],
        now: float,
    ) -> None:
        """Counts calls that take much longer than was expected."""
        for one in known:
            if now - one.overdue_at < OVERDUE_INTERVAL_S:
                continue
            for call in one.open_calls.values():
                open_s = now - call.sent_at
                if (
                    call.expected_s is None
                    or call.usual_s is None
                    or call.is_overdue
                    or open_s < call.expected_s * OVERDUE_RATIO
                    or self.pauses.spans(call.sent_at, now)
                ):
                    continue
                held_s = self.link.held_s(call.sent_at, now)
                open_s -= held_s
                if (
                    is_held(open_s + held_s, held_s)
                    or open_s < call.expected_s * OVERDUE_RATIO
                ):
                    continue
                call.is_overdue = True
                one.overdue_at = now
                total_s = open_s * OVERDUE_TOTAL / call.factor
                one.calls.note_own(math.log(total_s / call.usual_s), now)
                break

    def review(
        self,
        known: collections.abc.Iterable[upstreams_lib.Upstream],
        now: float,
    ) -> list[Change]:
        """Returns which upstreams became slow or fast since the last call."""
        by_service: dict[str, list[tuple[float, upstreams_lib.Upstream]]] = {}
        for one in known:
            # One of the two is 1: it serves either calls or turns.
            ratio = one.calls.ratio(now) * one.engine.ratio.ratio(now)
            by_service.setdefault(one.entry.service, []).append((ratio, one))
        changes = []
        slow = set()
        for found in by_service.values():
            fast = placement.fast_ratio([ratio for ratio, _ in found])
            for ratio, one in found:
                name = one.entry.incarnation()
                was_slow = name in self.slow
                limit = FAST_RATIO if was_slow else SLOW_RATIO
                if is_slow := ratio > limit * fast:
                    slow.add(name)
                if is_slow is not was_slow:
                    changes.append(
                        Change(upstream=one, ratio=ratio, is_slow=is_slow)
                    )
        self.slow = slow
        return changes


def is_held(whole_s: float, held_s: float) -> bool:
    """Returns whether the own link was full for most of a time.

    It may have been for longer than is known.
    """
    return held_s > whole_s * MAX_HELD_SHARE or held_s >= own_link.MAX_HELD_S


def _key(route: model.Route) -> str:
    return f'{route.host} {route.path_prefix}'
