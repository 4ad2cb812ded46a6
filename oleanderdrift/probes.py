"""Finds failed members by probes whose number does not grow with the fleet.

The protocol is SWIM (Das, Gupta, Motivala, 2002): in each period a member
probes one other, in shuffled rounds; without an answer it asks some others
to probe it; without their answer it suspects it, and after a while declares
it dead.  What is learnt rides on the probes.  A member that hears itself
suspected or dead refutes it with a higher incarnation, so a paused instance
is back as soon as it runs again.  Members that are dead stay in the rounds:
a partition that ends heals by itself.
"""

import math
import random
import typing

import attrs

from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import outbound

PERIOD_S: typing.Final = 1.0
DIRECT_S: typing.Final = 0.35
HELPERS: typing.Final = 3
MAX_UPDATES: typing.Final = 6
SUSPECT_FACTOR_S: typing.Final = 1.0
MIN_SUSPECT_S: typing.Final = 3.0
RETRANSMIT_FACTOR: typing.Final = 3
# A silence of this length means that this process was paused.
PAUSED_S: typing.Final = 2.0 * PERIOD_S
_DEAD: typing.Final = membership.Health.DEAD


@attrs.define(kw_only=True)
class Pending:
    """The probe of the present period."""

    target: str
    serial: int
    sent_s: float
    helped: bool = False


@attrs.frozen(kw_only=True)
class Relay:
    """A probe made for another member, to whom its answer goes."""

    requester: str
    serial: int
    target: str
    sent_s: float


@attrs.define(kw_only=True)
class Prober:
    """The state of one instance's failure detector.

    rumours maps a member's name to how often what is known of it was
    passed on.
    """

    rng: random.Random
    serial: int = 0
    round: list[str] = attrs.field(factory=list)
    pending: Pending | None = None
    relays: dict[int, Relay] = attrs.field(factory=dict)
    rumours: dict[str, int] = attrs.field(factory=dict)
    period_ends_s: float = float('-inf')
    ticked_s: float = float('-inf')


def tick(
    prober: Prober, members: membership.Members, now: float
) -> list[outbound.OutboundMessage]:
    """Probes, asks for help, suspects; call it several times a period."""
    _forgive_a_pause(prober, members, now)
    prober.ticked_s = now
    found: list[outbound.OutboundMessage] = []
    pending = prober.pending
    if now >= prober.period_ends_s:
        if pending is not None:
            _suspect(prober, members, now, pending.target)
        prober.period_ends_s = now + PERIOD_S
        found.extend(_probe_next(prober, members, now))
    elif pending is not None and not pending.helped:
        if now >= pending.sent_s + DIRECT_S:
            pending.helped = True
            found.extend(_ask_for_help(prober, members, pending))
    _confirm(prober, members, now)
    return found


def receive(
    prober: Prober,
    members: membership.Members,
    now: float,
    sender: str,
    message: messages.Message,
) -> list[outbound.OutboundMessage]:
    """Takes in a probe or an answer and returns what follows."""
    for update in message.updates:
        _learn(prober, members, now, update)
    match message:
        case (
            messages.Probe(target='')
            | messages.Probe(target=members.this.name)
        ):
            answer = messages.ProbeAnswer(
                serial=message.serial,
                updates=_updates(prober, members, sender),
            )
            return [outbound.OutboundMessage(to=sender, message=answer)]
        case messages.Probe():
            return _probe_for(prober, members, now, sender, message)
        case messages.ProbeAnswer():
            return _take_answer(prober, members, now, sender, message)
    return []


def leave(prober: Prober, members: membership.Members) -> None:
    """Lets the peers know by the coming probes that this one leaves."""
    membership.set_leaving(members)
    members.incarnation += 1
    prober.rumours[members.this.name] = 0


def suspect_s(members: membership.Members) -> float:
    """Returns how long a suspicion stands before it is confirmed.

    It grows with the logarithm of the fleet, as news takes that long.
    """
    size = len(members.listed) + 1
    return max(MIN_SUSPECT_S, SUSPECT_FACTOR_S * math.log2(size))


def _forgive_a_pause(
    prober: Prober, members: membership.Members, now: float
) -> None:
    """After a pause of its own an instance accuses nobody for it."""
    silence_s = now - prober.ticked_s
    if not PAUSED_S < silence_s < float('inf'):
        return
    prober.pending = None
    for view in members.views.values():
        view.since_s += silence_s


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
    prober.pending = Pending(target=target, serial=prober.serial, sent_s=now)
    probe = messages.Probe(
        serial=prober.serial, updates=_updates(prober, members, target)
    )
    return [outbound.OutboundMessage(to=target, message=probe)]


def _ask_for_help(
    prober: Prober, members: membership.Members, pending: Pending
) -> list[outbound.OutboundMessage]:
    candidates = [
        name
        for name in sorted(_others(members))
        if name != pending.target and _health(members, name) < _DEAD
    ]
    count = min(HELPERS, len(candidates))
    probe = messages.Probe(serial=pending.serial, target=pending.target)
    return [
        outbound.OutboundMessage(to=name, message=probe)
        for name in prober.rng.sample(candidates, count)
    ]


def _probe_for(
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
    prober.relays[prober.serial] = Relay(
        requester=requester,
        serial=message.serial,
        target=message.target,
        sent_s=now,
    )
    probe = messages.Probe(
        serial=prober.serial,
        updates=_updates(prober, members, message.target),
    )
    return [outbound.OutboundMessage(to=message.target, message=probe)]


def _take_answer(
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
            updates=_updates(prober, members, relay.requester),
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
    _learn(prober, members, now, update)


def _confirm(prober: Prober, members: membership.Members, now: float) -> None:
    """Declares members dead whose suspicion nobody refuted in time."""
    wait_s = suspect_s(members)
    for name, view in list(members.views.items()):
        if view.health is not membership.Health.SUSPECT:
            continue
        if now >= view.since_s + wait_s:
            dead = attrs.evolve(view, health=_DEAD, since_s=now)
            membership.set_view(members, name, dead)
            prober.rumours[name] = 0


def _learn(
    prober: Prober,
    members: membership.Members,
    now: float,
    update: messages.MemberUpdate,
) -> None:
    """Takes in an update if it is newer than what is known."""
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
    newer = membership.View(
        health=health, incarnation=update.incarnation, since_s=now
    )
    membership.set_view(members, update.name, newer)
    prober.rumours[update.name] = 0


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
    prober.rumours[members.this.name] = 0


def _own_health(members: membership.Members) -> membership.Health:
    if members.this.leaving:
        return membership.Health.LEAVING
    return membership.Health.ALIVE


def _health(members: membership.Members, name: str) -> membership.Health:
    view = members.views.get(name)
    return membership.Health.ALIVE if view is None else view.health


def _updates(
    prober: Prober, members: membership.Members, to: str
) -> tuple[messages.MemberUpdate, ...]:
    """Returns the least told rumours, and what is held against `to`."""
    limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(members.listed) + 2))
    names = sorted(prober.rumours, key=lambda name: prober.rumours[name])
    names = names[:MAX_UPDATES]
    if _health(members, to) > membership.Health.ALIVE and to not in names:
        names.append(to)
    found = []
    for name in names:
        if name in prober.rumours:
            prober.rumours[name] += 1
            if prober.rumours[name] >= limit:
                del prober.rumours[name]
        update = _update_of(members, name)
        if update is not None:
            found.append(update)
    return tuple(found)


def _update_of(
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
