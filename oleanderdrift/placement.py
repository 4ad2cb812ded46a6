"""Chooses the replica for a call by cached prefix, load and speed.

The cost of a replica is the expected time until the call finishes there,
in seconds: uncached prompt tokens at the replica's measured prefill speed,
output tokens at its measured decode speed, and the wait for a slot where
its window is full.  A call may wait a bounded time for a full replica that
would still finish it sooner than any free one; meanwhile later calls take
the free slots.
"""

import typing

import attrs

from oleanderdrift import health
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import policy
from oleanderdrift import prefix_cache
from oleanderdrift import speed
from oleanderdrift import window

DEFAULT_OUTPUT_TOKENS: typing.Final = 128.0
MAX_HOLD_S: typing.Final = 15.0
# Computing a prompt delays each call in the batch, by this many times the
# prefill time.
PREFILL_INTERFERENCE: typing.Final = 2.0
HOLD_COST_FACTOR: typing.Final = 1.0


@attrs.frozen(kw_only=True)
class OutstandingCall:
    """A call that holds a slot, with the estimates made at its grant.

    holder is the instance that asked for the slot.  concurrent_calls counts
    the calls on the replica just after the grant, this one included.
    """

    request: messages.SlotRequest
    holder: str
    granted_at: float
    band: int
    expected_blocks: int
    computed_tokens: float
    expected_output_tokens: float
    concurrent_calls: int


@attrs.define(kw_only=True, eq=False)
class Replica:
    """The state of one upstream in its dispatch group.

    prefill_until is when the prompts sent to it are expected to be
    computed.  outstanding_tokens sums the prompt tokens that its calls
    were expected to compute.
    """

    upstream: model.Upstream
    leaving: bool = False
    window_state: window.Window = attrs.field(factory=window.Window)
    measured_speed: speed.Speed = attrs.field(factory=speed.Speed)
    cache: prefix_cache.CacheView = attrs.field(factory=prefix_cache.CacheView)
    health_state: health.UpstreamHealth = attrs.field(
        factory=health.UpstreamHealth
    )
    outstanding: dict[str, OutstandingCall] = attrs.field(factory=dict)
    prefill_until: float = float('-inf')
    outstanding_tokens: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Candidate:
    """A replica considered in one poll, with its costs in seconds.

    wait_s is the expected wait of any call there.  prefill_s and decode_s
    are per token; interference_s is the delay that computing one prompt
    token causes to all calls there.  call_s is the expected duration of a
    call without tokens.  waiting_calls counts the calls that already wait
    for this replica.
    """

    replica: Replica
    slots: int
    measured_speed: speed.Speed
    free: int = 0
    waiting_calls: int = 0
    utilisation: float = 0.0
    wait_s: float = 0.0
    prefill_s: float = 0.0
    interference_s: float = 0.0
    decode_s: float = 0.0
    call_s: float = 0.0


@attrs.frozen(kw_only=True)
class CallEstimate:
    """The expected needs of a call.

    interference_weight weights the delay that the call causes to others.
    It is the call's class target over the longest target, so an urgent
    call takes little account of that delay.
    """

    request: messages.SlotRequest
    output_tokens: float
    interference_weight: float


@attrs.frozen(kw_only=True)
class Choice:
    """The replica that a call should take or wait for.

    hold_s is how long it may wait for a full replica, or 0 where the
    replica is free.
    """

    candidate: Candidate
    hold_s: float
    cost_s: float


@attrs.frozen(kw_only=True)
class HoldTarget:
    """The full replica that a call waits for, and the call's cost there."""

    name: str
    cost_s: float


def slots(replica: Replica, now: float) -> int:
    """Returns the slots usable now.

    A replica that comes back after an ejection has at least one.
    """
    share = health.usable_share(replica.health_state, now)
    if replica.leaving or share <= 0.0:
        return 0
    return max(1, int(replica.window_state.slots * share))


def free_slots(replica: Replica, now: float) -> int:
    """Returns the slots free now."""
    return max(0, slots(replica, now) - len(replica.outstanding))


def computed_tokens(
    rules: policy.Policy, replica: Replica, request: messages.SlotRequest
) -> float:
    """Returns the prompt tokens that are expected not to be cached."""
    if not rules.affinity:
        return float(request.prompt_tokens)
    cached = prefix_cache.cached_tokens(
        replica.cache, request.prefix, request.prompt_tokens
    )
    return request.prompt_tokens - cached


def candidates_of(
    rules: policy.Policy, now: float, replicas: list[Replica]
) -> list[Candidate]:
    """Returns the replicas that have any slots, with their costs.

    A replica without samples gets the mean speed, and so do all where the
    policy's speed part is off.  All get the utilisation of the whole group,
    since a replica that is emptier than the others will fill up while a
    call runs.
    """
    all_measured = rules.speed and all(
        r.measured_speed.samples for r in replicas
    )
    mean = None if all_measured else mean_speed(replicas)
    found = []
    for replica in replicas:
        count = slots(replica, now)
        if not count:
            continue
        measured_speed = replica.measured_speed
        if mean is not None and not (rules.speed and measured_speed.samples):
            measured_speed = mean
        found.append(
            Candidate(
                replica=replica, slots=count, measured_speed=measured_speed
            )
        )
    slots_in_use = sum(len(each.replica.outstanding) for each in found)
    total_slots = sum(each.slots for each in found)
    utilisation = min(1.0, slots_in_use / max(1, total_slots))
    for candidate in found:
        refresh(candidate, now, utilisation)
    return found


def refresh(candidate: Candidate, now: float, utilisation: float) -> None:
    """Recomputes a candidate's costs, as after a grant."""
    replica = candidate.replica
    measured_speed = candidate.measured_speed
    in_flight = len(replica.outstanding)
    candidate.utilisation = utilisation
    candidate.free = max(0, candidate.slots - in_flight)
    window_slots = replica.window_state.slots
    future_calls = max(in_flight + 1, utilisation * window_slots)
    mean_calls = min(window_slots, (in_flight + 1 + future_calls) / 2.0)
    candidate.decode_s = speed.decode_s(measured_speed, mean_calls)
    candidate.prefill_s = measured_speed.prefill_s
    candidate.interference_s = (
        measured_speed.prefill_s * PREFILL_INTERFERENCE * mean_calls
    )
    candidate.call_s = measured_speed.call_s * (
        1.0 + in_flight / candidate.slots
    )
    candidate.wait_s = min(
        max(0.0, replica.prefill_until - now),
        replica.outstanding_tokens * measured_speed.prefill_s,
    )
    if not candidate.free:
        slot_wait_s = measured_speed.call_s / candidate.slots
        candidate.wait_s += slot_wait_s * (candidate.waiting_calls + 1)


def add_waiting_call(candidate: Candidate) -> None:
    """Counts one more call that waits for a full replica."""
    candidate.waiting_calls += 1
    candidate.wait_s += candidate.measured_speed.call_s / candidate.slots


def cost_s(
    rules: policy.Policy,
    candidate: Candidate,
    estimate: CallEstimate,
) -> float:
    """Returns the expected seconds until a call would finish there.

    The delay that its prompt causes to other calls is added.  A call
    without tokens, as of a plain service, takes the replica's call_s.
    """
    if not estimate.output_tokens:
        return candidate.wait_s + candidate.call_s
    computed = computed_tokens(rules, candidate.replica, estimate.request)
    per_token_s = (
        candidate.prefill_s
        + estimate.interference_weight * candidate.interference_s
    )
    return (
        candidate.wait_s
        + computed * per_token_s
        + estimate.output_tokens * candidate.decode_s
    )


def choose(
    rules: policy.Policy,
    candidates: list[Candidate],
    estimate: CallEstimate,
    may_hold: bool,
    hold_target: HoldTarget | None = None,
) -> Choice | None:
    """Returns the best replica for a call, or None if none is usable.

    hold_target is the replica that the call has waited for since an
    earlier poll.  While it is full, it keeps its cost from that poll and
    only the free replicas are compared with it.
    """
    best_free: tuple[float, Candidate] | None = None
    best_full: tuple[float, Candidate] | None = None
    for candidate in candidates:
        name = candidate.replica.upstream.name
        if name in estimate.request.excluded:
            continue
        if candidate.free:
            cost = cost_s(rules, candidate, estimate)
            if best_free is None or cost < best_free[0]:
                best_free = (cost, candidate)
        elif hold_target is not None:
            if name == hold_target.name:
                best_full = (hold_target.cost_s, candidate)
        elif may_hold:
            cost = cost_s(rules, candidate, estimate)
            if best_full is None or cost < best_full[0]:
                best_full = (cost, candidate)
    if hold_target is not None and may_hold and best_full is None:
        return choose(rules, candidates, estimate, may_hold)
    return choose_free_or_full(best_free, best_full if may_hold else None)


def choose_free_or_full(
    best_free: tuple[float, Candidate] | None,
    best_full: tuple[float, Candidate] | None,
) -> Choice | None:
    """Chooses between the best free replica and waiting for a full one."""
    if best_free is None:
        if best_full is None:
            return None
        return Choice(
            candidate=best_full[1], hold_s=MAX_HOLD_S, cost_s=best_full[0]
        )
    if best_full is None or best_full[0] * HOLD_COST_FACTOR >= best_free[0]:
        return Choice(candidate=best_free[1], hold_s=0.0, cost_s=best_free[0])
    return Choice(
        candidate=best_full[1],
        hold_s=min(MAX_HOLD_S, best_free[0] - best_full[0]),
        cost_s=best_full[0],
    )


def mean_speed(replicas: list[Replica]) -> speed.Speed:
    """Returns the mean speed of the replicas that have samples."""
    known = [r.measured_speed for r in replicas if r.measured_speed.samples]
    if not known:
        return speed.Speed()
    fits = [each.decode for each in known]
    return speed.Speed(
        prefill_s=sum(each.prefill_s for each in known) / len(known),
        call_s=sum(each.call_s for each in known) / len(known),
        decode=speed.LineFit(
            weight=sum(fit.weight for fit in fits),
            x=sum(fit.x for fit in fits),
            y=sum(fit.y for fit in fits),
            xx=sum(fit.xx for fit in fits),
            xy=sum(fit.xy for fit in fits),
        ),
    )


def correct_backlog(
    replica: Replica, outstanding: OutstandingCall, cached_tokens: int | None
) -> None:
    """Adjusts the prefill backlog to the tokens a call really computed."""
    if cached_tokens is None:
        return
    computed = outstanding.request.prompt_tokens - cached_tokens
    excess = outstanding.computed_tokens - computed
    replica.prefill_until -= excess * replica.measured_speed.prefill_s
