"""Decides whether a new program is refused before anything of it runs.

The wait ahead of a call follows from the calls that would go before it and
the rate at which the group ends calls.  A program waits once for each of
its calls, and how many those are is learnt by class.
"""

import math
import typing

import attrs

from oleanderdrift import call_queue
from oleanderdrift import messages

MAX_WAITING: typing.Final = 20_000
RATE_DECAY_S: typing.Final = 20.0
MIN_RATE_CALLS: typing.Final = 5.0
DEFAULT_TARGET_S: typing.Final = 60.0
FIRST_SMOOTHING: typing.Final = 0.01
MIN_FIRST_SHARE: typing.Final = 0.005
MIN_RETRY_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class Demand:
    """What a group has served of late, and the length of programs.

    calls is the decayed count of ended calls up to updated_at; first_share
    is the moving share of a class's calls that begin a program.
    """

    calls: float = 0.0
    updated_at: float = 0.0
    first_share: dict[str, float] = attrs.field(factory=dict)


def note_submitted(demand: Demand, request: messages.SlotRequest) -> None:
    """Counts a call as the first of its program or a later one."""
    first = 1.0 if request.attained_s <= 0.0 else MIN_FIRST_SHARE
    share = demand.first_share.get(request.class_name, 1.0)
    share += FIRST_SMOOTHING * (first - share)
    demand.first_share[request.class_name] = share


def note_released(demand: Demand, now: float) -> None:
    """Counts a call that ended."""
    decay = math.exp((demand.updated_at - now) / RATE_DECAY_S)
    demand.calls = demand.calls * decay + 1.0
    demand.updated_at = now


def service_rate(demand: Demand, now: float) -> float:
    """Returns ended calls per second, or 0 while too few are known."""
    decay = math.exp((demand.updated_at - now) / RATE_DECAY_S)
    calls = demand.calls * decay
    return calls / RATE_DECAY_S if calls >= MIN_RATE_CALLS else 0.0


def retry_after_s(
    demand: Demand,
    queue: call_queue.CallQueue,
    now: float,
    request: messages.SlotRequest,
) -> float:
    """Returns how long to stay away, in seconds, or 0 to queue the call.

    Refused are first calls of programs whose calls together would wait for
    longer than the program's whole target, and anything beyond the queue's
    bound.
    """
    if len(queue.waiting) >= MAX_WAITING:
        return DEFAULT_TARGET_S
    rate = service_rate(demand, now)
    if request.attained_s > 0.0 or rate <= 0.0:
        return 0.0
    target_s = queue.targets.get(request.class_name, DEFAULT_TARGET_S)
    limit_s = target_s * demand.first_share.get(request.class_name, 1.0)
    if len(queue.waiting) / rate <= limit_s:
        return 0.0
    wait_s = call_queue.calls_ahead(queue, now, request) / rate
    if wait_s <= limit_s:
        return 0.0
    return max(MIN_RETRY_S, wait_s - limit_s)
