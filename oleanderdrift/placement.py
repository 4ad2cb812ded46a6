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
HOLD_MAX_S: typing.Final = 5.0
HOLD_GAIN: typing.Final = 1.2
LOAD_WEIGHT: typing.Final = 0.5


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


@attrs.define(kw_only=True, eq=False)
class Replica:
    """One upstream as its dispatch group sees it.

    prefill_until is when the prompts sent to it are expected to be
    computed.
    """

    upstream: model.Upstream
    leaving: bool = False
    window_state: window.Window = attrs.field(factory=window.Window)
    measured: speed.Speed = attrs.field(factory=speed.Speed)
    cache: prefix_cache.CacheView = attrs.field(factory=prefix_cache.CacheView)
    health_state: health.Health = attrs.field(factory=health.Health)
    outstanding: dict[str, Outstanding] = attrs.field(factory=dict)
    prefill_until: float = float('-inf')


@attrs.frozen(kw_only=True)
class Choice:
    """What a call should do: replica to take or to wait for.

    hold_s is how long waiting for it is worth more than any free one, and
    0 where the replica is free.
    """

    replica: Replica
    hold_s: float


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


def service_s(
    now: float,
    replica: Replica,
    measured: speed.Speed,
    computed: float,
    tokens: float,
) -> float:
    """Returns how long a call is expected to take from its grant."""
    total = len(replica.outstanding) / max(1, replica.window_state.slots)
    work_s = computed * measured.prefill_s + tokens * measured.decode_s
    backlog_s = max(0.0, replica.prefill_until - now)
    return work_s * (1.0 + LOAD_WEIGHT * total) + backlog_s


def slot_wait_s(replica: Replica, now: float, claims: int) -> float:
    """Returns the expected wait for a slot behind earlier claims."""
    count = max(1, slots(replica, now))
    return replica.measured.call_s * (claims + 1) / count


def choose(
    rules: policy.Policy,
    now: float,
    replicas: list[Replica],
    request: messages.SlotRequest,
    tokens: float,
    claims: dict[str, int],
) -> Choice | None:
    """Returns the best replica for a call, or None if none is usable.

    claims counts the earlier calls that wait for each full replica.
    """
    mean = mean_speed(replicas)
    best_free: tuple[float, Replica] | None = None
    best_full: tuple[float, Replica] | None = None
    for replica in replicas:
        name = replica.upstream.name
        if name in request.excluded or not slots(replica, now):
            continue
        computed = computed_tokens(rules, replica, request)
        known = rules.speed and replica.measured.samples > 0
        measured = replica.measured if known else mean
        cost_s = service_s(now, replica, measured, computed, tokens)
        if free_slots(replica, now) > 0:
            if best_free is None or cost_s < best_free[0]:
                best_free = (cost_s, replica)
            continue
        cost_s += slot_wait_s(replica, now, claims.get(name, 0))
        if best_full is None or cost_s < best_full[0]:
            best_full = (cost_s, replica)
    return between(rules, best_free, best_full)


def between(
    rules: policy.Policy,
    best_free: tuple[float, Replica] | None,
    best_full: tuple[float, Replica] | None,
) -> Choice | None:
    """Weighs the best free replica against waiting for a full one."""
    if best_free is None:
        if best_full is None:
            return None
        return Choice(replica=best_full[1], hold_s=HOLD_MAX_S)
    if not rules.holding or best_full is None:
        return Choice(replica=best_free[1], hold_s=0.0)
    if best_full[0] * HOLD_GAIN >= best_free[0]:
        return Choice(replica=best_free[1], hold_s=0.0)
    hold_s = min(HOLD_MAX_S, best_free[0] - best_full[0])
    return Choice(replica=best_full[1], hold_s=hold_s)


def mean_speed(replicas: list[Replica]) -> speed.Speed:
    """Returns the mean speed, for a replica whose own is not known."""
    known = [r.measured for r in replicas if r.measured.samples]
    if not known:
        return speed.Speed()
    return speed.Speed(
        prefill_s=sum(each.prefill_s for each in known) / len(known),
        decode_s=sum(each.decode_s for each in known) / len(known),
        call_s=sum(each.call_s for each in known) / len(known),
    )
