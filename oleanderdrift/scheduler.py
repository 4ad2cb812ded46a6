"""Decides which waiting call gets the next slot, and on which upstream.

A dispatch group holds the replicas of one model or tool.  Its home
instance keeps one DispatchGroup, feeds it slot requests, releases and load
reports, and sends out what poll() returns.  Engines admit what comes, so
each replica has a bounded window (`window`) and the order is made before
it: `call_queue` says which call is next, `placement` says where it goes.

Everything is pure: the present time is an argument and no input or output
is done.
"""

import collections.abc
import contextlib
import math
import typing

import attrs

from oleanderdrift import call_queue
from oleanderdrift import codes
from oleanderdrift import fair_share
from oleanderdrift import health
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import overload
from oleanderdrift import placement
from oleanderdrift import policy
from oleanderdrift import prefix_cache
from oleanderdrift import retention
from oleanderdrift import speed
from oleanderdrift import window

NO_UPSTREAM_RETRY_S: typing.Final = 1.0
MAX_HELD_PER_POLL: typing.Final = 64
SMOOTHING: typing.Final = 0.05
# Longer than a load report lags and a granted call takes to arrive.
LOST_RELEASE_S: typing.Final = 10.0

Decision: typing.TypeAlias = messages.SlotGranted | messages.SlotRefused


@attrs.define(kw_only=True)
class DispatchGroup:
    """The state of one dispatch group at its home instance.

    tokens is the expected output tokens of a call by class; refusals wait
    for the next poll.
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
    slots: dict[str, str] = attrs.field(factory=dict)
    tokens: dict[str, float] = attrs.field(factory=dict)
    demand: overload.Demand = attrs.field(factory=overload.Demand)
    retained: retention.Retention = attrs.field(factory=retention.Retention)
    refusals: list[messages.SlotRefused] = attrs.field(factory=list)
    wakeup_at: float | None = None


# --- What the operators configure ---------------------------------------


def set_upstreams(
    group: DispatchGroup,
    now: float,
    upstreams: collections.abc.Iterable[model.Upstream],
) -> None:
    """Takes over the configured upstreams.

    One that is gone or leaving gets nothing new; it is forgotten when its
    last call is released.  Calls that no upstream may serve any more are
    refused with the next poll.
    """
    configured = {upstream.name: upstream for upstream in upstreams}
    for name, upstream in configured.items():
        replica = group.replicas.get(name)
        if replica is None:
            replica = placement.Replica(upstream=upstream)
            group.replicas[name] = replica
        replica.upstream = upstream
        replica.leaving = upstream.leaving
    for name, replica in list(group.replicas.items()):
        if name not in configured:
            replica.leaving = True
            forget_if_idle(group, replica)
    for waiting in list(group.queue.waiting.values()):
        if not has_upstream(group, waiting.request):
            call_queue.remove(group.queue, waiting.request.call_id)
            refuse(group, now, waiting.request, NO_UPSTREAM_RETRY_S)


def set_classes(
    group: DispatchGroup,
    now: float,
    classes: collections.abc.Iterable[model.ProgramClass],
) -> None:
    """Takes over the class targets; queued calls follow at once."""
    targets = {each.name: each.target_s for each in classes}
    call_queue.set_targets(group.queue, targets)


def set_accounts(
    group: DispatchGroup,
    now: float,
    accounts: collections.abc.Iterable[model.ClientAccount],
) -> None:
    """Takes over the client accounts' rates as their shares."""
    weights = {each.name: each.rate_per_s for each in accounts}
    fair_share.set_weights(group.queue.ledger, weights)


# --- What the instances say ---------------------------------------------


def submit(
    group: DispatchGroup,
    now: float,
    request: messages.SlotRequest,
    holder: str = '',
) -> None:
    """Queues or refuses a call; a repeated call id changes nothing."""
    if (
        request.call_id in group.queue.waiting
        or request.call_id in group.slots
    ):
        return
    if not has_upstream(group, request):
        refuse(group, now, request, NO_UPSTREAM_RETRY_S)
        return
    retry_after_s = 0.0
    if group.rules.refusing:
        retry_after_s = overload.retry_after_s(
            group.demand, group.queue, now, request
        )
    if retry_after_s > 0.0:
        refuse(group, now, request, retry_after_s)
        return
    overload.note_submitted(group.demand, request)
    retention.on_resume(group.retained, request.program)
    call_queue.add(group.queue, now, request, holder)


def release(
    group: DispatchGroup, now: float, released: messages.SlotReleased
) -> None:
    """Frees a slot and learns from the call; a repeat changes nothing."""
    outstanding = free_slot(group, released.call_id)
    replica = group.replicas.get(released.upstream)
    if outstanding is None or replica is None:
        return
    placement.correct_backlog(replica, outstanding, released.cached_tokens)
    overload.note_released(group.demand, now)
    note_health(group, now, replica, released.failed)
    if not released.failed:
        learn(group, now, replica, outstanding, released)
        keep_prefix(group, now, replica, outstanding.request)
    else:
        retention.on_abandoned(
            group.retained, now, outstanding.request.program
        )
    forget_if_idle(group, replica)


def withdraw(group: DispatchGroup, now: float, call_id: str) -> None:
    """Takes a call whose caller is gone out of the queue or its slot."""
    waiting = call_queue.remove(group.queue, call_id)
    replica = group.replicas.get(group.slots.get(call_id, ''))
    outstanding = free_slot(group, call_id)
    if outstanding is not None and replica is not None:
        forget_if_idle(group, replica)
    for each in (waiting, outstanding):
        if each is not None:
            program = each.request.program
            retention.on_abandoned(group.retained, now, program)


def withdraw_holder(group: DispatchGroup, now: float, holder: str) -> None:
    """Takes out all calls of an instance that has failed."""
    lost = [
        call_id
        for call_id, waiting in group.queue.waiting.items()
        if waiting.holder == holder
    ]
    for replica in group.replicas.values():
        lost += [
            call_id
            for call_id, outstanding in replica.outstanding.items()
            if outstanding.holder == holder
        ]
    for call_id in lost:
        withdraw(group, now, call_id)


def end_program(group: DispatchGroup, now: float, program: str) -> None:
    """Has the prefix of a program that ended let go."""
    retention.let_go(group.retained, program)


def on_load(
    group: DispatchGroup,
    now: float,
    upstream: str,
    running: int,
    waiting: int,
) -> None:
    """Takes an engine's load report, which lags.

    An engine that holds nothing has ended all calls but the latest: slots
    whose release was lost are freed.
    """
    replica = group.replicas.get(upstream)
    if replica is None:
        return
    window.on_report(replica.window_state, now, running, waiting)
    if running or waiting:
        return
    lost = [
        call_id
        for call_id, outstanding in replica.outstanding.items()
        if now - outstanding.granted_at > LOST_RELEASE_S
    ]
    for call_id in lost:
        withdraw(group, now, call_id)


def on_cache_event(
    group: DispatchGroup,
    now: float,
    upstream: str,
    sequence: int,
    stored: tuple[bytes, ...] = (),
    removed: tuple[bytes, ...] = (),
) -> None:
    """Takes an engine's cache event, which comes late or not at all."""
    replica = group.replicas.get(upstream)
    if replica is not None:
        prefix_cache.on_event(replica.cache, now, sequence, stored, removed)


# --- What is decided -----------------------------------------------------


def poll(group: DispatchGroup, now: float) -> list[Decision]:
    """Returns the grants and refusals that are due."""
    retention.expire(group.retained, now)
    decisions: list[Decision] = list(group.refusals)
    group.refusals.clear()
    group.wakeup_at = None
    if not group.queue.waiting or not has_free_slot(group, now):
        return decisions
    candidates = placement.candidates_of(
        group.rules, now, list(group.replicas.values())
    )
    free = {each.replica.upstream.name for each in candidates if each.free}
    held = 0
    with contextlib.closing(call_queue.in_order(group.queue, now)) as order:
        while free and held < MAX_HELD_PER_POLL:
            waiting = next(order, None)
            if waiting is None:
                break
            if holds_on(group, now, waiting, free):
                held += 1
                continue
            candidate = place(group, now, waiting, candidates, free)
            if candidate is None:
                held += 1
                continue
            decisions.append(grant(group, now, waiting, candidate.replica))
            placement.refresh(candidate, now, candidate.utilisation)
            if not candidate.free:
                free.discard(candidate.replica.upstream.name)
    return decisions


def holds_on(
    group: DispatchGroup,
    now: float,
    waiting: call_queue.Waiting,
    free: set[str],
) -> bool:
    """Tells whether a call goes on waiting for its better replica.

    So it does until its time is up, that replica is free, or one is free
    that it has not been weighed against.
    """
    if waiting.hold_until is None or now >= waiting.hold_until:
        return False
    if waiting.held_for in free or not free <= waiting.declined:
        return False
    wake_at(group, waiting.hold_until)
    return waiting.held_for in group.replicas


def place(
    group: DispatchGroup,
    now: float,
    waiting: call_queue.Waiting,
    candidates: list[placement.Candidate],
    free: set[str],
) -> placement.Candidate | None:
    """Returns the replica that a call takes now, or None to wait on."""
    may_hold = group.rules.holding and (
        waiting.hold_until is None or now < waiting.hold_until
    )
    held = placement.Held(name=waiting.held_for, cost_s=waiting.held_cost_s)
    choice = placement.choose(
        group.rules,
        candidates,
        needs_of(group, waiting.request),
        may_hold,
        held if waiting.held_for else None,
    )
    if choice is None:
        return None
    if choice.hold_s <= 0.0:
        return choice.candidate
    placement.claim(choice.candidate)
    hold(group, now, waiting, choice, free)
    return None


def hold(
    group: DispatchGroup,
    now: float,
    waiting: call_queue.Waiting,
    choice: placement.Choice,
    free: set[str],
) -> None:
    """Records what a call waits for and what it declined for that."""
    name = choice.candidate.replica.upstream.name
    if name != waiting.held_for:
        waiting.declined.clear()
    waiting.held_for = name
    waiting.held_cost_s = choice.cost_s
    waiting.declined |= free
    if waiting.hold_until is None:
        waiting.hold_until = now + choice.hold_s
    wake_at(group, waiting.hold_until)


def grant(
    group: DispatchGroup,
    now: float,
    waiting: call_queue.Waiting,
    replica: placement.Replica,
) -> messages.SlotGranted:
    """Moves a call from the queue into a replica's window."""
    request = waiting.request
    call_queue.remove(group.queue, request.call_id)
    group.queue.grants += 1
    tokens = expected_tokens(group, request)
    computed = placement.computed_tokens(group.rules, replica, request)
    outstanding = placement.Outstanding(
        request=request,
        holder=waiting.holder,
        granted_at=now,
        band=waiting.band,
        expected_blocks=prefix_cache.matched_blocks(
            replica.cache, request.prefix
        ),
        computed_tokens=computed,
        expected_tokens=tokens,
        held_calls=len(replica.outstanding) + 1,
    )
    replica.outstanding[request.call_id] = outstanding
    group.slots[request.call_id] = replica.upstream.name
    replica.outstanding_tokens += computed
    start = max(now, replica.prefill_until)
    replica.prefill_until = start + computed * replica.measured.prefill_s
    window.note_granted(replica.window_state, len(replica.outstanding))
    prefix_cache.note_sent(replica.cache, now, request.prefix, request.program)
    fair_share.charge(
        group.queue.ledger,
        now,
        request.client_account,
        waiting.band,
        fair_share.charge_of(computed, tokens),
    )
    return messages.SlotGranted(
        call_id=request.call_id, upstream=replica.upstream.name
    )


def due_releases(group: DispatchGroup, now: float) -> list[retention.Release]:
    """Returns which programs' blocks the upstreams should release now."""
    if not group.rules.retention:
        return []
    retention.expire(group.retained, now)
    due = group.retained.due
    group.retained.due = []
    for release, prefix in due:
        replica = group.replicas.get(release.upstream)
        if replica is not None:
            prefix_cache.forget(replica.cache, prefix, release.program)
    return [release for release, _ in due]


def next_wakeup(group: DispatchGroup, now: float) -> float | None:
    """Returns when poll() next decides without a new event, or None."""
    if group.refusals:
        return now
    wakeup_at = group.wakeup_at
    if group.queue.waiting:
        for replica in group.replicas.values():
            ejected_until = replica.health_state.ejected_until
            if ejected_until > now:
                wakeup_at = min(ejected_until, wakeup_at or math.inf)
    return wakeup_at


def wake_at(group: DispatchGroup, at: float) -> None:
    """Asks for a poll at a time, if none comes earlier."""
    if group.wakeup_at is None or at < group.wakeup_at:
        group.wakeup_at = at


# --- Helpers --------------------------------------------------------------


def has_upstream(group: DispatchGroup, request: messages.SlotRequest) -> bool:
    """Tells whether any upstream may serve a call, now or later."""
    return any(
        not replica.leaving and name not in request.excluded
        for name, replica in group.replicas.items()
    )


def has_free_slot(group: DispatchGroup, now: float) -> bool:
    """Tells whether any replica could take a call now."""
    return any(
        placement.free_slots(replica, now)
        for replica in group.replicas.values()
    )


def expected_tokens(
    group: DispatchGroup, request: messages.SlotRequest
) -> float:
    """Returns the output tokens that a call is expected to need."""
    if request.prompt_tokens <= 0 and request.max_tokens <= 0:
        return 0.0
    tokens = group.tokens.get(request.class_name, placement.DEFAULT_TOKENS)
    if request.max_tokens > 0:
        return min(tokens, float(request.max_tokens))
    return tokens


def needs_of(
    group: DispatchGroup, request: messages.SlotRequest
) -> placement.Needs:
    """Returns what a call is expected to need."""
    targets = group.queue.targets
    longest_s = max(targets.values(), default=1.0)
    target_s = targets.get(request.class_name, longest_s)
    return placement.Needs(
        request=request,
        tokens=expected_tokens(group, request),
        patience=target_s / longest_s,
    )


def refuse(
    group: DispatchGroup,
    now: float,
    request: messages.SlotRequest,
    retry_after_s: float,
) -> None:
    """Refuses a call that was never granted, so it is truly not run."""
    retention.on_abandoned(group.retained, now, request.program)
    group.refusals.append(
        messages.SlotRefused(
            call_id=request.call_id,
            code=codes.OVERLOADED.number,
            retry_after_s=retry_after_s,
        )
    )


def note_health(
    group: DispatchGroup,
    now: float,
    replica: placement.Replica,
    failed: bool,
) -> None:
    """Records an outcome; a replica that fails in a row is ejected."""
    present = [each for each in group.replicas.values() if not each.leaving]
    ejected = sum(
        health.is_ejected(each.health_state, now) for each in present
    )
    health.on_outcome(
        replica.health_state,
        now,
        failed,
        health.may_eject(ejected, len(present)),
    )


def learn(
    group: DispatchGroup,
    now: float,
    replica: placement.Replica,
    outstanding: placement.Outstanding,
    released: messages.SlotReleased,
) -> None:
    """Takes what a finished call showed into the estimates."""
    request = outstanding.request
    computed = outstanding.computed_tokens
    if released.cached_tokens is not None and request.prefix:
        computed = float(request.prompt_tokens - released.cached_tokens)
        blocks = len(request.prefix)
        reported = math.ceil(
            blocks * released.cached_tokens / max(1, request.prompt_tokens)
        )
        prefix_cache.note_reported(
            replica.cache,
            request.prefix,
            outstanding.expected_blocks,
            reported,
        )
    window.on_release(replica.window_state, now, released.first_token_s)
    speed.on_release(
        replica.measured,
        computed_tokens=computed,
        tokens=released.tokens,
        held_calls=(outstanding.held_calls + len(replica.outstanding) + 1) / 2,
        first_token_s=released.first_token_s,
        duration_s=released.duration_s,
    )
    smooth(group.tokens, request.class_name, float(released.tokens))
    smooth(group.queue.call_s, request.class_name, released.duration_s)
    fair_share.correct(
        group.queue.ledger,
        now,
        request.client_account,
        outstanding.band,
        fair_share.charge_of(computed, released.tokens)
        - fair_share.charge_of(
            outstanding.computed_tokens, outstanding.expected_tokens
        ),
    )


def keep_prefix(
    group: DispatchGroup,
    now: float,
    replica: placement.Replica,
    request: messages.SlotRequest,
) -> None:
    """Weighs how long a program's prefix is worth keeping."""
    if not request.prefix or not request.program:
        return
    retention.on_pause(
        group.retained,
        now,
        request.program,
        replica.upstream.name,
        request.prefix,
        request.prompt_tokens * replica.measured.prefill_s,
    )


def smooth(averages: dict[str, float], key: str, value: float) -> None:
    """Moves an average towards a value; the first value starts it."""
    old = averages.get(key, value)
    averages[key] = old + SMOOTHING * (value - old)


def free_slot(
    group: DispatchGroup, call_id: str
) -> placement.Outstanding | None:
    """Empties a slot, or returns None if the call holds none."""
    name = group.slots.pop(call_id, None)
    replica = group.replicas.get(name) if name is not None else None
    if replica is None:
        return None
    outstanding = replica.outstanding.pop(call_id)
    replica.outstanding_tokens -= outstanding.computed_tokens
    if not replica.outstanding:
        replica.outstanding_tokens = 0.0
        replica.prefill_until = float('-inf')
    return outstanding


def forget_if_idle(group: DispatchGroup, replica: placement.Replica) -> None:
    """Drops a leaving replica that serves no call."""
    if replica.leaving and not replica.outstanding:
        group.replicas.pop(replica.upstream.name, None)
