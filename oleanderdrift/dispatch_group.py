"""The state of one dispatch group, and functions on it."""

import typing

import attrs

from oleanderdrift import call_queue
from oleanderdrift import messages
from oleanderdrift import overload
from oleanderdrift import placement
from oleanderdrift import policy
from oleanderdrift import retention

SMOOTHING: typing.Final = 0.05


@attrs.define(kw_only=True)
class DispatchGroup:
    """The state of one dispatch group, kept at its home instance.

    granted_upstreams maps each call that holds a slot to its upstream.
    mean_output_tokens is the moving average per call, by class.  refusals
    are returned by the next poll.  wakeup_at is when the group has to be
    polled again, as set by the last poll.
    """

    name: str
    rules: policy.Policy = attrs.field(factory=policy.Policy)
    replicas: dict[str, placement.Replica] = attrs.field(factory=dict)
    queue: call_queue.CallQueue = attrs.field(
        default=attrs.Factory(
            lambda group: call_queue.CallQueue(rules=group.rules),
            takes_self=True,
        )
    )
    granted_upstreams: dict[str, str] = attrs.field(factory=dict)
    mean_output_tokens: dict[str, float] = attrs.field(factory=dict)
    service_stats: overload.ServiceStats = attrs.field(
        factory=overload.ServiceStats
    )
    retained: retention.Retention = attrs.field(factory=retention.Retention)
    refusals: list[messages.SlotRefused] = attrs.field(factory=list)
    wakeup_at: float | None = None


def has_upstream(group: DispatchGroup, request: messages.SlotRequest) -> bool:
    """Tells whether any upstream may serve a call, now or later."""
    return any(
        not replica.leaving and name not in request.excluded
        for name, replica in group.replicas.items()
    )


def has_free_slot(group: DispatchGroup, now: float) -> bool:
    """Tells whether any replica can take a call now."""
    return any(
        placement.free_slots(replica, now)
        for replica in group.replicas.values()
    )


def expected_output_tokens(
    group: DispatchGroup, request: messages.SlotRequest
) -> float:
    """Returns the expected output tokens of a call.

    A call of a plain service, with no prompt and no token limit, has none.
    """
    if request.prompt_tokens <= 0 and request.max_tokens <= 0:
        return 0.0
    tokens = group.mean_output_tokens.get(
        request.class_name, placement.DEFAULT_OUTPUT_TOKENS
    )
    if request.max_tokens > 0:
        return min(tokens, float(request.max_tokens))
    return tokens


def estimate_call(
    group: DispatchGroup, request: messages.SlotRequest
) -> placement.CallEstimate:
    """Returns the expected needs of a call, as placement uses them."""
    targets = group.queue.targets
    longest_s = max(targets.values(), default=1.0)
    target_s = targets.get(request.class_name, longest_s)
    return placement.CallEstimate(
        request=request,
        output_tokens=expected_output_tokens(group, request),
        interference_weight=target_s / longest_s,
    )


def update_average(averages: dict[str, float], key: str, value: float) -> None:
    """Updates an exponential moving average, set by its first value."""
    old = averages.get(key, value)
    averages[key] = old + SMOOTHING * (value - old)


def remove_outstanding(
    group: DispatchGroup, call_id: str
) -> placement.OutstandingCall | None:
    """Frees a call's slot; returns None if it holds none."""
    name = group.granted_upstreams.pop(call_id, None)
    replica = group.replicas.get(name) if name is not None else None
    if replica is None:
        return None
    outstanding = replica.outstanding.pop(call_id)
    replica.outstanding_tokens -= outstanding.computed_tokens
    if not replica.outstanding:
        replica.outstanding_tokens = 0.0
        replica.prefill_until = float('-inf')
    return outstanding


def remove_if_drained(
    group: DispatchGroup, replica: placement.Replica
) -> None:
    """Removes a leaving replica once it serves no call."""
    if replica.leaving and not replica.outstanding:
        group.replicas.pop(replica.upstream.name, None)
