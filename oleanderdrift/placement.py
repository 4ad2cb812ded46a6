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

DEFAULT_TOKENS: typing.Final = 128.0
HOLD_MAX_S: typing.Final = 15.0
# Computing a prompt delays every call in the batch.
PREFILL_HARM: typing.Final = 2.0
HOLD_GAIN: typing.Final = 1.0


@attrs.frozen(kw_only=True)
class Outstanding:
    """A call that holds a slot, with the estimates made at its grant.

    holder is the instance that asked for the slot.  held_calls counts the
    calls on the replica just after the grant, this one included.
    """

    request: messages.SlotRequest
    holder: str
    granted_at: float
    band: int
    expected_blocks: int
    computed_tokens: float
    expected_tokens: float
    held_calls: int


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
    measured: speed.Speed = attrs.field(factory=speed.Speed)
    cache: prefix_cache.CacheView = attrs.field(factory=prefix_cache.CacheView)
    health_state: health.Health = attrs.field(factory=health.Health)
    outstanding: dict[str, Outstanding] = attrs.field(factory=dict)
    prefill_until: float = float('-inf')
    outstanding_tokens: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Candidate:
    """A replica considered in one poll, with its costs in seconds.

    fixed_s is the expected wait of any call there.  prefill_s and decode_s
    are per token; harm_s is the delay that computing one prompt token
    causes to all calls there.  call_s is the expected duration of a call
    without tokens.  claims counts the calls that already wait for this
    replica.
    """

    replica: Replica
    slots: int
    measured: speed.Speed
    free: int = 0
    claims: int = 0
    utilisation: float = 0.0
    fixed_s: float = 0.0
    prefill_s: float = 0.0
    harm_s: float = 0.0
    decode_s: float = 0.0
    call_s: float = 0.0


@attrs.frozen(kw_only=True)
class Needs:
    """The expected needs of a call.

    patience is its class target over the longest target.  It weights the
    delay that the call causes to others, so that an urgent call takes
    little account of it.
    """

    request: messages.SlotRequest
    tokens: float
    patience: float


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
class Held:
    """The full replica that a call waits for, and the call's cost there."""

    name: str
    cost_s: float


def slots(replica: Replica, now: float) -> int:
    """Returns the slots usable now.

    A replica that comes back after an ejection has at least one.
    """
    share = health.share(replica.health_state, now)
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

    A replica without samples gets the mean speed.  utilisation is the
    whole group's: a replica that is emptier than the others will fill up
    while a call runs.
    """
    known = rules.speed and all(r.measured.samples for r in replicas)
    mean = None if known else mean_speed(replicas)
    found = []
    for replica in replicas:
        count = slots(replica, now)
        if not count:
            continue
        measured = replica.measured
        if mean is not None and not (rules.speed and measured.samples):
            measured = mean
        found.append(
            Candidate(replica=replica, slots=count, measured=measured)
        )
    taken = sum(len(each.replica.outstanding) for each in found)
    total = sum(each.slots for each in found)
    utilisation = min(1.0, taken / max(1, total))
    for candidate in found:
        refresh(candidate, now, utilisation)
    return found


def refresh(candidate: Candidate, now: float, utilisation: float) -> None:
    """Recomputes a candidate's costs, as after a grant."""
    replica = candidate.replica
    measured = candidate.measured
    in_flight = len(replica.outstanding)
    candidate.utilisation = utilisation
    candidate.free = max(0, candidate.slots - in_flight)
    full = replica.window_state.slots
    later = max(in_flight + 1, utilisation * full)
    held = min(full, (in_flight + 1 + later) / 2.0)
    candidate.decode_s = speed.decode_s(measured, held)
    candidate.prefill_s = measured.prefill_s
    candidate.harm_s = measured.prefill_s * PREFILL_HARM * held
    candidate.call_s = measured.call_s * (1.0 + in_flight / candidate.slots)
    candidate.fixed_s = min(
        max(0.0, replica.prefill_until - now),
        replica.outstanding_tokens * measured.prefill_s,
    )
    if not candidate.free:
        wait_s = measured.call_s / candidate.slots
        candidate.fixed_s += wait_s * (candidate.claims + 1)


def claim(candidate: Candidate) -> None:
    """Adds one more call that waits for a full replica."""
    candidate.claims += 1
    candidate.fixed_s += candidate.measured.call_s / candidate.slots


def cost_s(
    rules: policy.Policy,
    candidate: Candidate,
    needs: Needs,
) -> float:
    """Returns the expected seconds until a call would finish there.

    The delay that its prompt causes to other calls is added.  A call
    without tokens, as of a plain service, takes the replica's call_s.
    """
    if not needs.tokens:
        return candidate.fixed_s + candidate.call_s
    computed = computed_tokens(rules, candidate.replica, needs.request)
    per_token_s = candidate.prefill_s + needs.patience * candidate.harm_s
    return (
        candidate.fixed_s
        + computed * per_token_s
        + needs.tokens * candidate.decode_s
    )


def choose(
    rules: policy.Policy,
    candidates: list[Candidate],
    needs: Needs,
    may_hold: bool,
    held: Held | None = None,
) -> Choice | None:
    """Returns the best replica for a call, or None if none is usable.

    held is the replica that the call has waited for since an earlier poll.
    While it is full, it keeps its cost from that poll and only the free
    replicas are compared with it.
    """
    best_free: tuple[float, Candidate] | None = None
    best_full: tuple[float, Candidate] | None = None
    for candidate in candidates:
        name = candidate.replica.upstream.name
        if name in needs.request.excluded:
            continue
        if candidate.free:
            cost = cost_s(rules, candidate, needs)
            if best_free is None or cost < best_free[0]:
                best_free = (cost, candidate)
        elif held is not None:
            if name == held.name:
                best_full = (held.cost_s, candidate)
        elif may_hold:
            cost = cost_s(rules, candidate, needs)
            if best_full is None or cost < best_full[0]:
                best_full = (cost, candidate)
    if held is not None and may_hold and best_full is None:
        return choose(rules, candidates, needs, may_hold)
    return between(best_free, best_full if may_hold else None)


def between(
    best_free: tuple[float, Candidate] | None,
    best_full: tuple[float, Candidate] | None,
) -> Choice | None:
    """Chooses between the best free replica and waiting for a full one."""
    if best_free is None:
        if best_full is None:
            return None
        return Choice(
            candidate=best_full[1], hold_s=HOLD_MAX_S, cost_s=best_full[0]
        )
    if best_full is None or best_full[0] * HOLD_GAIN >= best_free[0]:
        return Choice(candidate=best_free[1], hold_s=0.0, cost_s=best_free[0])
    return Choice(
        candidate=best_full[1],
        hold_s=min(HOLD_MAX_S, best_free[0] - best_full[0]),
        cost_s=best_full[0],
    )


def mean_speed(replicas: list[Replica]) -> speed.Speed:
    """Returns the mean speed of the replicas that have samples."""
    known = [r.measured for r in replicas if r.measured.samples]
    if not known:
        return speed.Speed()
    lines = [each.decode for each in known]
    return speed.Speed(
        prefill_s=sum(each.prefill_s for each in known) / len(known),
        call_s=sum(each.call_s for each in known) / len(known),
        decode=speed.Line(
            weight=sum(line.weight for line in lines),
            x=sum(line.x for line in lines),
            y=sum(line.y for line in lines),
            xx=sum(line.xx for line in lines),
            xy=sum(line.xy for line in lines),
        ),
    )


def correct_backlog(
    replica: Replica, outstanding: Outstanding, cached_tokens: int | None
) -> None:
    """Adjusts the prefill backlog to the tokens a call really computed."""
    if cached_tokens is None:
        return
    computed = outstanding.request.prompt_tokens - cached_tokens
    excess = outstanding.computed_tokens - computed
    replica.prefill_until -= excess * replica.measured.prefill_s
