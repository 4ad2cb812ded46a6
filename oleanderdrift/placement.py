"""Chooses the replica for a call: cached prefix, load and speed together.

Everything is weighed in one unit, the seconds until the call is expected
to be finished: prompt tokens not cached at the replica's measured prefill
speed, output tokens at its measured decode speed, and the wait for a slot
where its window is full.  A call may wait a bounded time for a full
replica that would still finish it sooner than any free one; meanwhile
later calls take the free slots.
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
# Computing a prompt slows down every call in the batch.
PREFILL_HARM: typing.Final = 2.0
HOLD_GAIN: typing.Final = 1.0


@attrs.frozen(kw_only=True)
class Outstanding:
    """A call that holds a slot, and what was expected of it."""

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
    """One upstream as its dispatch group sees it.

    prefill_until is when the prompts sent to it are expected to be
    computed; outstanding_tokens sums what its calls were to compute.
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
    """A replica as one poll weighs it, with costs in seconds.

    fixed_s is what any call would wait there; prefill_s, decode_s and
    harm_s, what a computed token costs the calls there, are per token;
    claims counts the earlier calls that wait for it.
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
    """What a call is expected to need, and how patient its class is.

    patience is its target over the longest target, so harm done to calls
    of patient classes weighs little for an urgent call.
    """

    request: messages.SlotRequest
    tokens: float
    patience: float


@attrs.frozen(kw_only=True)
class Choice:
    """What a call should do: replica to take or to wait for.

    hold_s is how long waiting for it is worth more than any free one, and
    0 where the replica is free.
    """

    candidate: Candidate
    hold_s: float
    cost_s: float


@attrs.frozen(kw_only=True)
class Held:
    """The full replica that a call waits for, and its cost there."""

    name: str
    cost_s: float


def slots(replica: Replica, now: float) -> int:
    """Returns the slots usable now; one while the replica comes back."""
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
    """Returns the replicas that have slots at all, with their costs.

    utilisation is the group's: a replica that is emptier than the others
    will not stay so while a call lasts.
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
    """Brings a candidate's costs up to date, as after a grant."""
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
    """Counts a call that waits for a full replica."""
    candidate.claims += 1
    candidate.fixed_s += candidate.measured.call_s / candidate.slots


def cost_s(
    rules: policy.Policy,
    candidate: Candidate,
    needs: Needs,
) -> float:
    """Returns the seconds until a call would be finished there.

    The harm that its prompt does to others counts as well.  A call that
    makes no tokens, as of a plain service, counts as a usual call there.
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

    held is what the call waited for at the last poll; while that replica
    is full, only the free ones are weighed against it anew.
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
    """Weighs the best free replica against waiting for a full one."""
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
    """Returns the mean speed, for a replica whose own is not known."""
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
    """Takes back what a call was expected to compute and did not."""
    if cached_tokens is None:
        return
    computed = outstanding.request.prompt_tokens - cached_tokens
    excess = outstanding.computed_tokens - computed
    replica.prefill_until -= excess * replica.measured.prefill_s
