"""Grants slots to waiting calls and refuses those that cannot be served.

The present time is an argument; poll() returns the messages to send.
"""

import contextlib
import math
import typing

from oleanderdrift import call_queue
from oleanderdrift import codes
from oleanderdrift import dispatch_group
from oleanderdrift import fair_share
from oleanderdrift import messages
from oleanderdrift import placement
from oleanderdrift import prefix_cache
from oleanderdrift import retention
from oleanderdrift import window

NO_UPSTREAM_RETRY_S: typing.Final = 1.0
MAX_HELD_CALLS_PER_POLL: typing.Final = 64
# Longer than the lag of load reports and the time a granted call takes to
# reach its engine.
LOST_RELEASE_S: typing.Final = 10.0
Decision: typing.TypeAlias = messages.SlotGranted | messages.SlotRefused


def poll(group: dispatch_group.DispatchGroup, now: float) -> list[Decision]:
    """Returns the grants and refusals that are due."""
    retention.expire(group.retained, now)
    decisions: list[Decision] = list(group.refusals)
    group.refusals.clear()
    group.wakeup_at = None
    if not group.queue.waiting or not dispatch_group.has_free_slot(group, now):
        return decisions
    candidates = placement.candidates_of(
        group.rules, now, list(group.replicas.values())
    )
    free = {each.replica.upstream.name for each in candidates if each.free}
    held_calls = 0
    with contextlib.closing(call_queue.in_order(group.queue, now)) as order:
        while free and held_calls < MAX_HELD_CALLS_PER_POLL:
            waiting = next(order, None)
            if waiting is None:
                break
            if keeps_holding(group, now, waiting, free):
                held_calls += 1
                continue
            candidate = choose_replica(group, now, waiting, candidates, free)
            if candidate is None:
                held_calls += 1
                continue
            decisions.append(grant(group, now, waiting, candidate.replica))
            placement.refresh(candidate, now, candidate.utilisation)
            if not candidate.free:
                free.discard(candidate.replica.upstream.name)
    return decisions


def keeps_holding(
    group: dispatch_group.DispatchGroup,
    now: float,
    waiting: call_queue.WaitingCall,
    free: set[str],
) -> bool:
    """Tells whether a call keeps waiting for its better replica.

    It does until its hold expires, that replica has a free slot or is
    gone, or a replica is free that it has not been compared with.
    """
    if waiting.hold_until is None or now >= waiting.hold_until:
        return False
    if waiting.held_for in free or not free <= waiting.declined:
        return False
    request_poll(group, waiting.hold_until)
    return waiting.held_for in group.replicas


def choose_replica(
    group: dispatch_group.DispatchGroup,
    now: float,
    waiting: call_queue.WaitingCall,
    candidates: list[placement.Candidate],
    free: set[str],
) -> placement.Candidate | None:
    """Returns the replica that a call takes now, or None if it waits."""
    may_hold = group.rules.holding and (
        waiting.hold_until is None or now < waiting.hold_until
    )
    hold_target = placement.HoldTarget(
        name=waiting.held_for, cost_s=waiting.held_cost_s
    )
    choice = placement.choose(
        group.rules,
        candidates,
        dispatch_group.estimate_call(group, waiting.request),
        may_hold,
        hold_target if waiting.held_for else None,
    )
    if choice is None:
        return None
    if choice.hold_s <= 0.0:
        return choice.candidate
    placement.add_waiting_call(choice.candidate)
    record_hold(group, now, waiting, choice, free)
    return None


def record_hold(
    group: dispatch_group.DispatchGroup,
    now: float,
    waiting: call_queue.WaitingCall,
    choice: placement.Choice,
    free: set[str],
) -> None:
    """Records the replica a call waits for and the free ones it declined."""
    name = choice.candidate.replica.upstream.name
    if name != waiting.held_for:
        waiting.declined.clear()
    waiting.held_for = name
    waiting.held_cost_s = choice.cost_s
    waiting.declined |= free
    if waiting.hold_until is None:
        waiting.hold_until = now + choice.hold_s
    request_poll(group, waiting.hold_until)


def grant(
    group: dispatch_group.DispatchGroup,
    now: float,
    waiting: call_queue.WaitingCall,
    replica: placement.Replica,
) -> messages.SlotGranted:
    """Moves a call from the queue into a replica's window."""
    request = waiting.request
    call_queue.remove(group.queue, request.call_id)
    group.queue.grants += 1
    tokens = dispatch_group.expected_output_tokens(group, request)
    computed = placement.computed_tokens(group.rules, replica, request)
    outstanding = placement.OutstandingCall(
        request=request,
        holder=waiting.holder,
        granted_at=now,
        band=waiting.band,
        expected_blocks=prefix_cache.matched_blocks(
            replica.cache, request.prefix
        ),
        computed_tokens=computed,
        expected_output_tokens=tokens,
        concurrent_calls=len(replica.outstanding) + 1,
    )
    replica.outstanding[request.call_id] = outstanding
    group.granted_upstreams[request.call_id] = replica.upstream.name
    replica.outstanding_tokens += computed
    start = max(now, replica.prefill_until)
    replica.prefill_until = start + computed * replica.measured_speed.prefill_s
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


def due_releases(
    group: dispatch_group.DispatchGroup, now: float
) -> list[retention.Release]:
    """Returns the releases of programs' cached prefixes that are due."""
    if not group.rules.retention:
        return []
    retention.expire(group.retained, now)
    due = group.retained.due
    group.retained.due = []
    for release, prefix in due:
        replica = group.replicas.get(release.upstream)
        if replica is not None:
            prefix_cache.remove_program_blocks(
                replica.cache, prefix, release.program
            )
    return [release for release, _ in due]


def next_wakeup(
    group: dispatch_group.DispatchGroup, now: float
) -> float | None:
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


def request_poll(group: dispatch_group.DispatchGroup, at: float) -> None:
    """Asks for a poll at a time, unless one is due earlier."""
    if group.wakeup_at is None or at < group.wakeup_at:
        group.wakeup_at = at


def refuse(
    group: dispatch_group.DispatchGroup,
    now: float,
    request: messages.SlotRequest,
    retry_after_s: float,
) -> None:
    """Refuses a call that was never granted and so has not run."""
    retention.on_abandoned(group.retained, now, request.program)
    group.refusals.append(
        messages.SlotRefused(
            call_id=request.call_id,
            code=codes.OVERLOADED.number,
            retry_after_s=retry_after_s,
        )
    )
