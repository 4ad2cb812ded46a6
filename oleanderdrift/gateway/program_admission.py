"""Decides whether a new program may begin while engines are busy.

The load it answers: in a burst, or after engines have left, more programs
begin than the engines can carry.  Engines batch what they get and queue the
rest in its order, so each turn of every program takes longer; all programs
become late, and those that fail half-way have used the engines for nothing.

A slot of an engine is only a place in its batch: long before all are taken, a
token may take more time than programs can afford.  So a new program is refused
at once, before it has run, while a token takes too long, or while engines have
more requests than slots, and told to come back when some will have ended.
Turns of programs under way are served, but for those whose program is late:
these are refused sooner, so that they make no other one late.
"""

import collections.abc
import math
import statistics
import typing

import attrs

from oleanderdrift.gateway import engine_load
from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstream_limits
from oleanderdrift.gateway import upstreams

# The part of what programs can afford up to which a token may take longer:
# programs differ, and turns of those that have begun vary.
MAX_PACE: typing.Final = 0.85
MAX_URGENT_PACE: typing.Final = 0.95
MAX_LATE_PACE: typing.Final = 0.6
# Programs are refused at different loads, by their names: up to half of this
# part above and below the usual one.
LEVEL_SPREAD: typing.Final = 0.4
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
    load: engine_load.EngineLoad

    def text(self) -> str:
        """Returns the inputs of the decision as text."""
        return (
            f'engines have {self.running} requests in {self.slots} slots, '
            f'{self.load.text()}'
        )


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
    *,
    load: engine_load.EngineLoad | None = None,
    program: str = '',
    is_late: bool = False,
) -> Refusal | None:
    """Returns why a program is refused, or None if it may begin or go on.

    engines are those that the program's turns could go to, limits the rates
    that some of them take, and load how busy they are.  is_late says that the
    program will not end in time.
    """
    found = [one for one in engines if not one.is_ejected(now)]
    running = sum(one.own_requests + one.peer_requests for one in found)
    usual_s = statistics.median_low(
        [one.engine.turn_s(1, now) for one in found] or [0.0]
    )
    slots = round(
        sum(_usable_slots(one, limits, usual_s, now) for one in found)
    )
    is_urgent = priority <= URGENT_PRIORITY
    limit = MAX_URGENT_LOAD if is_urgent else MAX_LOAD
    load = load or engine_load.EngineLoad()
    pace = _max_pace(is_urgent=is_urgent, is_late=is_late) * _level(program)
    if not slots or not (running >= limit * slots or load.is_over(pace)):
        return None
    spread = 1 + RETRY_SPREAD * routing.hash_fraction(request_id)
    return Refusal(
        retry_after_s=MIN_RETRY_S * spread,
        running=running,
        slots=slots,
        load=load,
    )


def _max_pace(*, is_urgent: bool, is_late: bool) -> float:
    """Returns the part of the affordable time that a token may take."""
    if is_late:
        return MAX_LATE_PACE
    return MAX_URGENT_PACE if is_urgent else MAX_PACE


def _level(program: str) -> float:
    """Returns at which part of the usual load a program is refused.

    It is the same at each try and at all instances.  So a program that comes
    back takes no place of one that comes for the first time and still has all
    of its time.
    """
    return 1 + LEVEL_SPREAD * (0.5 - routing.hash_fraction(program))


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
