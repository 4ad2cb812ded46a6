"""Tells which programs have too little time left for a slow engine.

The load that it addresses: one turn in some dozens goes to an engine that
turned slow, to see whether it is fast again.  It must not be one of a program
that could still end in time and would be late after it.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model
from oleanderdrift.gateway import upstreams

# The time left, in turns on the fastest engine.  Below the first number the
# program is late anyway, above the second one slow turn can be made up for.
LATE_TURNS: typing.Final = 1.0
FEW_TURNS: typing.Final = 4.0
MIN_TURN_S: typing.Final = 0.001


def is_short(left_s: float, turn_s: float) -> bool:
    """Returns whether a program has little time left, but is not late yet.

    left_s is the time until it should end, turn_s that of a turn.
    """
    return LATE_TURNS <= left_s / max(turn_s, MIN_TURN_S) <= FEW_TURNS


def hurries(
    engines: collections.abc.Sequence[upstreams.Upstream],
    request: model.Request,
    now: float,
) -> bool:
    """Returns whether a slow engine would make a turn's program late."""
    if request.finish_s is None or not request.prompt:
        return False
    shortest_s = min(one.engine.turn_s(1, now) for one in engines)
    left_s = request.finish_s - (now - request.received)
    return is_short(left_s, shortest_s)
