"""Detects failed members; the load per member is independent of fleet size.

The protocol is SWIM (Das, Gupta, Motivala, 2002).  In each period a member
probes one other member, in shuffled rounds.  If that one does not answer,
it asks some others to probe it; if they get no answer either, it suspects
the member, and after a time-out declares it dead.  Membership updates are
piggybacked on the probes and their answers.

A member that learns that it is suspected or dead refutes this with a
higher incarnation, so a paused instance is alive again as soon as it
resumes.  Dead members are still probed, so the members find each other
again after a partition.
"""

import math
import random
import typing

import attrs

from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import outbound

PERIOD_S: typing.Final = 1.0
DIRECT_TIMEOUT_S: typing.Final = 0.35
INDIRECT_PROBES: typing.Final = 3
MAX_UPDATES: typing.Final = 6
SUSPICION_FACTOR_S: typing.Final = 1.0
MIN_SUSPICION_S: typing.Final = 3.0
RETRANSMIT_FACTOR: typing.Final = 3
# A longer interval between ticks means that this process was paused.
PAUSED_S: typing.Final = 2.0 * PERIOD_S
_DEAD: typing.Final = membership.Health.DEAD


@attrs.define(kw_only=True)
class PendingProbe:
    """The probe of the current period."""

    target: str
    serial: int
    sent_s: float
    indirect_sent: bool = False


@attrs.frozen(kw_only=True)
class RelayedProbe:
    """A probe sent on behalf of a requester, which gets the answer."""

    requester: str
    serial: int
    target: str
    sent_s: float


@attrs.define(kw_only=True)
class Prober:
    """The state of one instance's failure detector.

    send_counts maps a member's name to the number of times that its
    latest update was sent; members whose updates were sent often enough
    are removed.
    """

    rng: random.Random
    serial: int = 0
    round: list[str] = attrs.field(factory=list)
    pending: PendingProbe | None = None
    relays: dict[int, RelayedProbe] = attrs.field(factory=dict)
    send_counts: dict[str, int] = attrs.field(factory=dict)
    period_ends_s: float = float('-inf')
    last_tick_s: float = float('-inf')


def tick(
    prober: Prober, members: membership.Members, now: float
) -> list[outbound.OutboundMessage]:
    """Returns the probes to send now and updates the members' states.

    Call it several times a period.
    """
    _discount_pause(prober, members, now)
    prober.last_tick_s = now
    sends: list[outbound.OutboundMessage] = []
    pending = prober.pending
    if now >= prober.period_ends_s:
        if pending is not None:
            _suspect(prober, members, now, pending.target)
        prober.period_ends_s = now + PERIOD_S
        sends.extend(_probe_next(prober, members, now))
    elif pending is not None and not pending.indirect_sent:
        if now >= pending.sent_s + DIRECT_TIMEOUT_S:
            pending.indirect_sent = True
            sends.extend(_probe_indirectly(prober, members, pending))
    _confirm_failures(prober, members, now)
    return sends


def receive(
    prober: Prober,
    members: membership.Members,
    now: float,
    sender: str,
    message: messages.Message,
) -> list[outbound.OutboundMessage]:
    """Handles a probe or an answer and returns the messages to send."""
    for update in message.updates:
        _apply_update(prober, members, now, update)
    match message:
        case (
            messages.Probe(target='')
            | messages.Probe(target=members.this.name)
        ):
            answer = messages.ProbeAnswer(
                serial=message.serial,
                updates=_piggybacked_updates(prober, members, sender),
            )
            return [outbound.OutboundMessage(to=sender, message=answer)]
        case messages.Probe():
            return _relay_probe(prober, members, now, sender, message)
        case messages.ProbeAnswer():
            return _handle_answer(prober, members, now, sender, message)
    return []


def leave(prober: Prober, members: membership.Members) -> None:
    """Marks this instance as leaving; its next probes tell the peers."""
    membership.set_leaving(members)
    members.incarnation += 1
    prober.send_counts[members.this.name] = 0


def suspicion_timeout_s(members: membership.Members) -> float:
    """Returns how long a member is suspected before it is declared dead.

    It grows with the logarithm of the fleet's size, as does the time that
    an update takes to reach all members.
    """
    size = len(members.listed) + 1
    return max(MIN_SUSPICION_S, SUSPICION_FACTOR_S * math.log2(size))


def _discount_pause(
    prober: Prober, members: membership.Members, now: float
) -> None:
    """Keeps a pause of this process from counting against other members."""
    pause_s = now - prober.last_tick_s
    if not PAUSED_S < pause_s < float('inf'):
        return
    prober.pending = None
    for view in members.views.values():
        view.since_s += pause_s


def _others(members: membership.Members) -> list[str]:
    return [name for name in members.listed if name != members.this.name]


def _probe_next(
    prober: Prober, members: membership.Members, now: float
) -> list[outbound.OutboundMessage]:
    prober.pending = None
    while prober.round and prober.round[-1] not in members.listed:
        prober.round.pop()
    if not prober.round:
        prober.round = sorted(_others(members))
        prober.rng.shuffle(prober.round)
    if not prober.round:
        return []
    target = prober.round.pop()
    prober.serial += 1
    prober.pending = PendingProbe(
        target=target, serial=prober.serial, sent_s=now
    )
    probe = messages.Probe(
        serial=prober.serial,
        updates=_piggybacked_updates(prober, members, target),
    )
    return [outbound.OutboundMessage(to=target, message=probe)]


def _probe_indirectly(
    prober: Prober, members: membership.Members, pending: PendingProbe
) -> list[outbound.OutboundMessage]:
    candidates = [
        name
        for name in sorted(_others(members))
        if name != pending.target and _health(members, name) < _DEAD
    ]
    count = min(INDIRECT_PROBES, len(candidates))
    probe = messages.Probe(serial=pending.serial, target=pending.target)
    return [
        outbound.OutboundMessage(to=name, message=probe)
        for name in prober.rng.sample(candidates, count)
    ]


def _relay_probe(
    prober: Prober,
    members: membership.Members,
    now: float,
    requester: str,
    message: messages.Probe,
) -> list[outbound.OutboundMessage]:
    if message.target not in members.listed:
        return []
    for serial, relay in list(prober.relays.items()):
        if now >= relay.sent_s + PERIOD_S:
            del prober.relays[serial]
    prober.serial += 1
    prober.relays[prober.serial] = RelayedProbe(
        requester=requester,
        serial=message.serial,
        target=message.target,
        sent_s=now,
    )
    probe = messages.Probe(
        serial=prober.serial,
        updates=_piggybacked_updates(prober, members, message.target),
    )
    return [outbound.OutboundMessage(to=message.target, message=probe)]


def _handle_answer(
    prober: Prober,
    members: membership.Members,
    now: float,
    sender: str,
    message: messages.ProbeAnswer,
) -> list[outbound.OutboundMessage]:
    relay = prober.relays.get(message.serial)
    if relay is not None and relay.target == sender:
        del prober.relays[message.serial]
        answer = messages.ProbeAnswer(
            serial=relay.serial,
            updates=_piggybacked_updates(prober, members, relay.requester),
            target=relay.target,
        )
        return [outbound.OutboundMessage(to=relay.requester, message=answer)]
    pending = prober.pending
    target = message.target or sender
    if pending is None or pending.serial != message.serial:
        return []
    if pending.target == target:
        prober.pending = None
    return []


def _suspect(
    prober: Prober, members: membership.Members, now: float, name: str
) -> None:
    if _health(members, name) >= membership.Health.SUSPECT:
        return
    view = members.views.get(name)
    update = messages.MemberUpdate(
        name=name,
        incarnation=0 if view is None else view.incarnation,
        state=membership.Health.SUSPECT,
    )
    _apply_update(prober, members, now, update)


def _confirm_failures(
    prober: Prober, members: membership.Members, now: float
) -> None:
    """Declares suspected members dead that have not refuted it in time."""
    wait_s = suspicion_timeout_s(members)
    for name, view in list(members.views.items()):
        if view.health is not membership.Health.SUSPECT:
            continue
        if now >= view.since_s + wait_s:
            dead = attrs.evolve(view, health=_DEAD, since_s=now)
            membership.set_view(members, name, dead)
            prober.send_counts[name] = 0


def _apply_update(
    prober: Prober,
    members: membership.Members,
    now: float,
    update: messages.MemberUpdate,
) -> None:
    """Applies an update if it is newer than the known state."""
    if update.name == members.this.name:
        _refute(prober, members, update)
        return
    if update.name not in members.listed:
        return
    health = membership.Health(update.state)
    view = members.views.get(update.name)
    if view is None:
        view = membership.View(
            health=membership.Health.ALIVE, incarnation=-1, since_s=now
        )
    if (update.incarnation, health) <= (view.incarnation, view.health):
        return
    new_view = membership.View(
        health=health, incarnation=update.incarnation, since_s=now
    )
    membership.set_view(members, update.name, new_view)
    prober.send_counts[update.name] = 0


def _refute(
    prober: Prober,
    members: membership.Members,
    update: messages.MemberUpdate,
) -> None:
    if update.incarnation < members.incarnation:
        return
    if update.state == _own_health(members):
        members.incarnation = update.incarnation
        return
    members.incarnation = update.incarnation + 1
    prober.send_counts[members.this.name] = 0


def _own_health(members: membership.Members) -> membership.Health:
    if members.this.leaving:
        return membership.Health.LEAVING
    return membership.Health.ALIVE


def _health(members: membership.Members, name: str) -> membership.Health:
    view = members.views.get(name)
    return membership.Health.ALIVE if view is None else view.health


def _piggybacked_updates(
    prober: Prober, members: membership.Members, to: str
) -> tuple[messages.MemberUpdate, ...]:
    """Returns the updates to attach to a message, the least sent first.

    They include one about the receiver if it is not known as alive, so
    that it can refute this.
    """
    limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(members.listed) + 2))
    names = sorted(
        prober.send_counts, key=lambda name: prober.send_counts[name]
    )
    names = names[:MAX_UPDATES]
    if _health(members, to) > membership.Health.ALIVE and to not in names:
        names.append(to)
    updates = []
    for name in names:
        if name in prober.send_counts:
            prober.send_counts[name] += 1
            if prober.send_counts[name] >= limit:
                del prober.send_counts[name]
        update = _member_update(members, name)
        if update is not None:
            updates.append(update)
    return tuple(updates)


def _member_update(
    members: membership.Members, name: str
) -> messages.MemberUpdate | None:
    if name == members.this.name:
        return messages.MemberUpdate(
            name=name,
            incarnation=members.incarnation,
            state=_own_health(members),
        )
    view = members.views.get(name)
    if view is None:
        return None
    return messages.MemberUpdate(
        name=name, incarnation=view.incarnation, state=view.health
    )
