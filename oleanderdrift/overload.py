"""Decides whether a new program is refused before any of its calls runs.

A call's wait is estimated from the number of calls ahead of it and the
rate at which the group completes calls.  A program waits once for each of
its calls; their number is estimated per class.
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
FIRST_CALL_SMOOTHING: typing.Final = 0.01
MIN_FIRST_CALL_SHARE: typing.Final = 0.005
MIN_RETRY_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class ServiceStats:
    """A group's recent service rate, and the length of its programs.

    ended_calls is the decayed count of ended calls as of updated_at.
    first_call_share is, by class, the moving average of the share of calls
    that begin a program: the inverse of the calls per program.
    """

    ended_calls: float = 0.0
    updated_at: float = 0.0
    first_call_share: dict[str, float] = attrs.field(factory=dict)


def note_submitted(stats: ServiceStats, request: messages.SlotRequest) -> None:
    """Updates first_call_share with a queued call."""
    first = 1.0 if request.attained_s <= 0.0 else MIN_FIRST_CALL_SHARE
    share = stats.first_call_share.get(request.class_name, 1.0)
    share += FIRST_CALL_SMOOTHING * (first - share)
    stats.first_call_share[request.class_name] = share


def note_released(stats: ServiceStats, now: float) -> None:
    """Adds an ended call to the service rate."""
    decay = math.exp((stats.updated_at - now) / RATE_DECAY_S)
    stats.ended_calls = stats.ended_calls * decay + 1.0
    stats.updated_at = now


def service_rate(stats: ServiceStats, now: float) -> float:
    """Returns ended calls per second, or 0 if too few ended recently."""
    decay = math.exp((stats.updated_at - now) / RATE_DECAY_S)
    ended_calls = stats.ended_calls * decay
    return ended_calls / RATE_DECAY_S if ended_calls >= MIN_RATE_CALLS else 0.0


def retry_after_s(
    stats: ServiceStats,
    queue: call_queue.CallQueue,
    now: float,
    request: messages.SlotRequest,
) -> float:
    """Returns the Retry-After seconds of a refusal, or 0 to queue the call.

    The first call of a program is refused if all calls of the program
    together would wait for longer than its class target.  Any call is
    refused while MAX_WAITING calls wait.
    """
    if len(queue.waiting) >= MAX_WAITING:
        return DEFAULT_TARGET_S
    rate = service_rate(stats, now)
    if request.attained_s > 0.0 or rate <= 0.0:
        return 0.0
    target_s = queue.targets.get(request.class_name, DEFAULT_TARGET_S)
    max_wait_s = target_s * stats.first_call_share.get(request.class_name, 1.0)
    if len(queue.waiting) / rate <= max_wait_s:
        return 0.0
    wait_s = call_queue.calls_ahead(queue, now, request) / rate
    if wait_s <= max_wait_s:
        return 0.0
    return max(MIN_RETRY_S, wait_s - max_wait_s)
