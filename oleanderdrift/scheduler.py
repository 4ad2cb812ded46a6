"""Decides which waiting call gets the next slot, and on which upstream.

A dispatch group holds the replicas of one model or tool.  Its home
instance keeps one DispatchGroup, feeds it slot requests, releases and load
reports, and sends out what poll() returns.  Engines admit what comes, so
each replica has a bounded window and the order is made here, before it.

Everything is pure: the present time is an argument and no input or output
is done.
"""

import collections
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import messages
from oleanderdrift import model

WINDOW_SLOTS: typing.Final = 8
NO_UPSTREAM_RETRY_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class Replica:
    """One upstream as the group sees it.

    outstanding maps the calls granted and not yet released to the time of
    their grant.
    """

    upstream: model.Upstream
    window_slots: int = WINDOW_SLOTS
    outstanding: dict[str, float] = attrs.field(factory=dict)
    leaving: bool = False


@attrs.define(kw_only=True)
class Waiting:
    """A call that waits for a slot, and the instance that asked."""

    request: messages.SlotRequest
    submitted_at: float
    holder: str


@attrs.define(kw_only=True)
class DispatchGroup:
    """The state of one dispatch group at its home instance."""

    name: str
    replicas: dict[str, Replica] = attrs.field(factory=dict)
    waiting: dict[str, Waiting] = attrs.field(factory=dict)
    holders: dict[str, str] = attrs.field(factory=dict)


def set_upstreams(
    group: DispatchGroup,
    now: float,
    upstreams: collections.abc.Iterable[model.Upstream],
) -> None:
    """Takes over the configured upstreams.

    One that is gone or leaving gets nothing new; it is forgotten when its
    last call is released.
    """
    configured = {upstream.name: upstream for upstream in upstreams}
    for name, upstream in configured.items():
        replica = group.replicas.get(name)
        if replica is None:
            group.replicas[name] = Replica(
                upstream=upstream, leaving=upstream.leaving
            )
        else:
            replica.upstream = upstream
            replica.leaving = upstream.leaving
    for name, replica in list(group.replicas.items()):
        if name not in configured:
            replica.leaving = True
            forget_if_idle(group, replica)


def forget_if_idle(group: DispatchGroup, replica: Replica) -> None:
    """Drops a leaving replica that serves no call."""
    if replica.leaving and not replica.outstanding:
        group.replicas.pop(replica.upstream.name, None)


def submit(
    group: DispatchGroup,
    now: float,
    request: messages.SlotRequest,
    holder: str = '',
) -> None:
    """Queues a call; a repeated call id changes nothing."""
    if request.call_id in group.waiting or request.call_id in group.holders:
        return
    group.waiting[request.call_id] = Waiting(
        request=request, submitted_at=now, holder=holder
    )


def release(
    group: DispatchGroup, now: float, released: messages.SlotReleased
) -> None:
    """Frees a slot; one already freed is left as it is."""
    group.holders.pop(released.call_id, None)
    replica = group.replicas.get(released.upstream)
    if replica is None:
        return
    replica.outstanding.pop(released.call_id, None)
    forget_if_idle(group, replica)


def withdraw(group: DispatchGroup, now: float, call_id: str) -> None:
    """Takes a call whose caller is gone out of the queue or its slot."""
    group.waiting.pop(call_id, None)
    group.holders.pop(call_id, None)
    for replica in list(group.replicas.values()):
        if replica.outstanding.pop(call_id, None) is not None:
            forget_if_idle(group, replica)


def withdraw_holder(group: DispatchGroup, now: float, holder: str) -> None:
    """Takes out all calls of an instance that has failed."""
    lost = [
        call_id
        for call_id, waiting in group.waiting.items()
        if waiting.holder == holder
    ]
    lost += [
        call_id for call_id, name in group.holders.items() if name == holder
    ]
    for call_id in lost:
        withdraw(group, now, call_id)


def poll(
    group: DispatchGroup, now: float
) -> list[messages.SlotGranted | messages.SlotRefused]:
    """Returns the grants and refusals that are due."""
    decisions: list[messages.SlotGranted | messages.SlotRefused] = []
    for waiting in list(group.waiting.values()):
        usable = usable_replicas(group, waiting.request)
        if not usable:
            decisions.append(refuse(group, waiting))
            continue
        replica = least_outstanding(usable)
        if replica is not None:
            decisions.append(grant(group, now, waiting, replica))
    return decisions


def usable_replicas(
    group: DispatchGroup, request: messages.SlotRequest
) -> list[Replica]:
    """Returns the replicas that may serve the call, full ones included."""
    return [
        replica
        for replica in group.replicas.values()
        if not replica.leaving
        and replica.upstream.name not in request.excluded
    ]


def least_outstanding(
    replicas: collections.abc.Iterable[Replica],
) -> Replica | None:
    """Returns the least loaded replica with a free slot, if any."""
    free = [
        replica
        for replica in replicas
        if len(replica.outstanding) < replica.window_slots
    ]
    return min(
        free, key=lambda replica: len(replica.outstanding), default=None
    )


def grant(
    group: DispatchGroup, now: float, waiting: Waiting, replica: Replica
) -> messages.SlotGranted:
    """Moves a call from the queue into a replica's window."""
    call_id = waiting.request.call_id
    del group.waiting[call_id]
    group.holders[call_id] = waiting.holder
    replica.outstanding[call_id] = now
    return messages.SlotGranted(
        call_id=call_id, upstream=replica.upstream.name
    )


def refuse(group: DispatchGroup, waiting: Waiting) -> messages.SlotRefused:
    """Takes a call that no replica may serve out of the queue."""
    call_id = waiting.request.call_id
    del group.waiting[call_id]
    return messages.SlotRefused(
        call_id=call_id,
        code=codes.OVERLOADED.number,
        retry_after_s=NO_UPSTREAM_RETRY_S,
    )


def next_wakeup(group: DispatchGroup, now: float) -> float | None:
    """Returns when poll() next decides without a new event, or None."""
    return None


def on_load(
    group: DispatchGroup,
    now: float,
    upstream: str,
    running: int,
    waiting: int,
) -> None:
    """Takes an engine's load report, which lags.

    A replica that holds more calls than it was granted, or queues some,
    gets a smaller window.
    """
    replica = group.replicas.get(upstream)
    if replica is None:
        return
    if waiting > 0:
        replica.window_slots = max(1, replica.window_slots - 1)
    elif running >= replica.window_slots:
        replica.window_slots += 1
