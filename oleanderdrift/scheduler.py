"""Applies slot requests, releases and reports to a dispatch group.

A dispatch group holds the replicas of one model or tool.  Its home
instance keeps one DispatchGroup (`dispatch_group`), updates it through
this module, and sends out what slot_grants.poll() returns.  Engines admit
every call, so each replica has a bounded window (`window`) and calls are
ordered before they reach it: `call_queue` chooses the next call,
`placement` its replica, and `slot_learning` updates the estimates of the
replica when the call ends.

There is no I/O, and the present time is an argument.
"""

import collections.abc

from oleanderdrift import call_queue
from oleanderdrift import dispatch_group
from oleanderdrift import fair_share
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import overload
from oleanderdrift import placement
from oleanderdrift import prefix_cache
from oleanderdrift import retention
from oleanderdrift import slot_grants
from oleanderdrift import slot_learning
from oleanderdrift import window


def set_upstreams(
    group: dispatch_group.DispatchGroup,
    now: float,
    upstreams: collections.abc.Iterable[model.Upstream],
) -> None:
    """Sets the configured upstreams.

    One that is gone or leaving gets no new calls and is removed when its
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
            dispatch_group.remove_if_drained(group, replica)
    for waiting in list(group.queue.waiting.values()):
        if not dispatch_group.has_upstream(group, waiting.request):
            call_queue.remove(group.queue, waiting.request.call_id)
            slot_grants.refuse(
                group, now, waiting.request, slot_grants.NO_UPSTREAM_RETRY_S
            )


def set_classes(
    group: dispatch_group.DispatchGroup,
    now: float,
    classes: collections.abc.Iterable[model.ProgramClass],
) -> None:
    """Sets the class targets, for queued calls as well."""
    targets = {each.name: each.target_s for each in classes}
    call_queue.set_targets(group.queue, targets)


def set_accounts(
    group: dispatch_group.DispatchGroup,
    now: float,
    accounts: collections.abc.Iterable[model.ClientAccount],
) -> None:
    """Sets the client accounts' rates as their fair-share weights."""
    weights = {each.name: each.rate_per_s for each in accounts}
    fair_share.set_weights(group.queue.ledger, weights)


def submit(
    group: dispatch_group.DispatchGroup,
    now: float,
    request: messages.SlotRequest,
    holder: str = '',
) -> None:
    """Queues or refuses a call; a repeated call id changes nothing."""
    if (
        request.call_id in group.queue.waiting
        or request.call_id in group.granted_upstreams
    ):
        return
    if not dispatch_group.has_upstream(group, request):
        slot_grants.refuse(
            group, now, request, slot_grants.NO_UPSTREAM_RETRY_S
        )
        return
    retry_after_s = 0.0
    if group.rules.refusing:
        retry_after_s = overload.retry_after_s(
            group.service_stats, group.queue, now, request
        )
    if retry_after_s > 0.0:
        slot_grants.refuse(group, now, request, retry_after_s)
        return
    overload.note_submitted(group.service_stats, request)
    retention.on_resume(group.retained, request.program)
    call_queue.add(group.queue, now, request, holder)


def release(
    group: dispatch_group.DispatchGroup,
    now: float,
    released: messages.SlotReleased,
) -> None:
    """Frees a slot and updates the estimates; a repeat changes nothing."""
    outstanding = dispatch_group.remove_outstanding(group, released.call_id)
    replica = group.replicas.get(released.upstream)
    if outstanding is None or replica is None:
        return
    placement.correct_backlog(replica, outstanding, released.cached_tokens)
    overload.note_released(group.service_stats, now)
    slot_learning.record_outcome(group, now, replica, released.failed)
    if not released.failed:
        slot_learning.update_estimates(
            group, now, replica, outstanding, released
        )
        slot_learning.retain_prefix(group, now, replica, outstanding.request)
    else:
        retention.on_abandoned(
            group.retained, now, outstanding.request.program
        )
    dispatch_group.remove_if_drained(group, replica)


def withdraw(
    group: dispatch_group.DispatchGroup, now: float, call_id: str
) -> None:
    """Removes a call whose caller is gone from the queue or its slot."""
    waiting = call_queue.remove(group.queue, call_id)
    replica = group.replicas.get(group.granted_upstreams.get(call_id, ''))
    outstanding = dispatch_group.remove_outstanding(group, call_id)
    if outstanding is not None and replica is not None:
        dispatch_group.remove_if_drained(group, replica)
    for each in (waiting, outstanding):
        if each is not None:
            program = each.request.program
            retention.on_abandoned(group.retained, now, program)


def withdraw_holder(
    group: dispatch_group.DispatchGroup, now: float, holder: str
) -> None:
    """Withdraws all calls of an instance that has failed."""
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


def end_program(
    group: dispatch_group.DispatchGroup, now: float, program: str
) -> None:
    """Releases the cached prefix of a program that ended."""
    retention.release_prefix(group.retained, program)


def on_load(
    group: dispatch_group.DispatchGroup,
    now: float,
    upstream: str,
    running: int,
    waiting: int,
) -> None:
    """Applies an engine's load report, which lags.

    An engine that reports no calls has ended all but the latest ones.  So
    slots older than LOST_RELEASE_S are freed, since their release was lost.
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
        if now - outstanding.granted_at > slot_grants.LOST_RELEASE_S
    ]
    for call_id in lost:
        withdraw(group, now, call_id)


def on_cache_event(
    group: dispatch_group.DispatchGroup,
    now: float,
    upstream: str,
    sequence: int,
    stored: tuple[bytes, ...] = (),
    removed: tuple[bytes, ...] = (),
) -> None:
    """Applies an engine's cache event, which may be late or lost."""
    replica = group.replicas.get(upstream)
    if replica is not None:
        prefix_cache.on_event(replica.cache, now, sequence, stored, removed)
