"""Decides whether a new program may begin while engines are busy.

The load it answers: in a burst more programs begin than the engines can
carry.  Engines queue what they get, in its order, so each turn of every
program waits; all programs become late, and those that fail half-way have
used the engines for nothing.  Turns of programs under way are therefore
always served.  A new program is refused at once, before it has run, while
the engines have more requests than they can serve without long waits, and
told to come back when some will have ended.
"""

import collections.abc
import math
import statistics
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstream_limits
from oleanderdrift.gateway import upstreams

# The load, as requests per slot, above which new programs are refused.  The
# most urgent ones still begin when others no longer do.
MAX_LOAD: typing.Final = 1.25
MAX_URGENT_LOAD: typing.Final = 1.5
URGENT_PRIORITY: typing.Final = 0
# The first turn of a program has a common part and one of its own; later
# ones have all that was said before as well.
MAX_FIRST_TURN_PARTS: typing.Final = 2
# A program that comes back sooner takes the place of one that is not late
# yet.  Callers do not wait for more than a third of their time.
MIN_RETRY_S: typing.Final = 0.8
# The returns are spread over this part of it.
RETRY_SPREAD: typing.Final = 0.5


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a program may not begin, for the caller and the log."""

    retry_after_s: float
    running: int
    slots: int

    def text(self) -> str:
        """Returns the inputs of the decision as text."""
        return f'engines have {self.running} requests in {self.slots} slots'


def is_later_turn(request: model.Request) -> bool:
    """Returns whether a turn shows that its program has begun."""
    return (
        request.previous_turn is not None
        or len(request.prompt) > MAX_FIRST_TURN_PARTS
    )


def refuse_program(
    engines: collections.abc.Iterable[upstreams.Upstream],
    priority: int,
    request_id: str,
    now: float,
    limits: upstream_limits.UpstreamLimits | None = None,
) -> Refusal | None:
    """Returns why a new program is refused, or None if it may begin.

    engines are those that the program's turns could go to, and limits the
    rates that some of them take.
    """
    found = [one for one in engines if not one.is_ejected(now)]
    running = sum(one.own_requests + one.peer_requests for one in found)
    usual_s = statistics.median_low(
        [one.engine.turn_s(1, now) for one in found] or [0.0]
    )
    slots = round(
        sum(_usable_slots(one, limits, usual_s, now) for one in found)
    )
    limit = MAX_URGENT_LOAD if priority <= URGENT_PRIORITY else MAX_LOAD
    if not slots or running < limit * slots:
        return None
    spread = 1 + RETRY_SPREAD * routing.hash_fraction(request_id)
    return Refusal(
        retry_after_s=MIN_RETRY_S * spread, running=running, slots=slots
    )


def _usable_slots(
    engine: upstreams.Upstream,
    limits: upstream_limits.UpstreamLimits | None,
    usual_s: float,
    now: float,
) -> float:
    """Returns how many slots an engine has, as one of usual speed.

    One that takes twice the usual time for a turn carries half as many
    programs.  Its rate limit may let requests use fewer.
    """
    turn_s = engine.engine.turn_s(1, now)
    carried = engine.entry.slots * min(usual_s / turn_s, 1.0)
    rate_per_s = limits.rate_per_s(engine) if limits is not None else None
    if rate_per_s is None:
        return carried
    used = math.ceil(rate_per_s * turn_s)
    return min(used, carried)
