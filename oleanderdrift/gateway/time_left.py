"""Decides which turns leave the fast engines to others.

The load that it addresses: the engines are busy, some are faster, and the
programs have different times left.  A turn of a program with little time left
goes where it ends first.  One with plenty, or one that is late anyway, pays
for the time that a faster engine would save it, the more the busier the
engines are, and so goes to a slower one while that has room.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model
from oleanderdrift.gateway import upstreams

# The time left, in turns on the fastest engine.  Below the first number the
# program is late anyway.  Up to the second it has little time, from the third
# on it has plenty: a few turns and calls, with as much again for waiting.
LATE_TURNS: typing.Final = 1.0
FEW_TURNS: typing.Final = 4.0
MANY_TURNS: typing.Final = 12.0
MIN_TURN_S: typing.Final = 0.001
# What is paid for a second that an engine saves when all are full.
PRICE: typing.Final = 3.0


def spare_share(left_s: float, turn_s: float) -> float:
    """Returns from 0 to 1 how far a program can leave fast engines.

    left_s is the time until it should end, turn_s that of a turn.
    """
    turns = left_s / max(turn_s, MIN_TURN_S)
    if turns < LATE_TURNS:
        return 1.0
    share = (turns - FEW_TURNS) / (MANY_TURNS - FEW_TURNS)
    return min(max(share, 0.0), 1.0)


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
    return spare_share(left_s, shortest_s) == 0.0


def prices_s(
    engines: collections.abc.Sequence[upstreams.Upstream],
    request: model.Request,
    now: float,
) -> dict[str, float]:
    """Returns what a turn pays for each engine that is faster than the mean.

    It is empty for requests that pay nothing anywhere.
    """
    if request.finish_s is None or not request.prompt or not engines:
        return {}
    turns_s = {
        one.entry.upstream_id: one.engine.turn_s(1, now) for one in engines
    }
    left_s = request.finish_s - (now - request.received)
    share = spare_share(left_s, min(turns_s.values()))
    running = sum(one.own_requests + one.peer_requests for one in engines)
    load = min(running / sum(one.entry.slots for one in engines), 1.0)
    mean_s = sum(turns_s.values()) / len(turns_s)
    price = PRICE * share * load
    if not price:
        return {}
    return {
        name: max(mean_s - turn_s, 0.0) * price
        for name, turn_s in turns_s.items()
    }
