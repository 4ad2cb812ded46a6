"""Decides from which instances an instance receives the fleet's states.

With a connection between any two instances, the cost of an update grows
with the fleet, and larger fleets would have to send them less often.  That
is a loss where load is at its worst: an engine has a few slots, and a load
that is older than a turn says nothing about them.

A data centre of a few instances is received directly, from each of them.  A
larger one is received through two of its instances, its relays, which
forward what they receive.  Whoever is subscribed to as a relay is one, so
there is nothing to agree on: instances that choose differently, after a
failure that not all of them have noticed, only receive some states twice.
"""

import collections.abc
import typing

import attrs

from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import routing

# A data centre with more instances is received through relays.
MAX_DIRECT_INSTANCES: typing.Final = 4
# One may fail without a gap.
RELAYS_PER_DATA_CENTRE: typing.Final = 2
# Relays send ten times a second.
RELAY_TIMEOUT_S: typing.Final = 0.45
# A new subscription takes two round trips, and the relay's own ones.
FIRST_MESSAGE_TIMEOUT_S: typing.Final = 1.0
# How long a silent relay is avoided; doubles with each silence.
FIRST_AVOIDANCE_S: typing.Final = 2.0
MAX_AVOIDANCE_S: typing.Final = 30.0

Topic: typing.TypeAlias = peer_messages.Topic


@attrs.frozen(kw_only=True)
class Instance:
    """An instance of the fleet; cores is its share of processors.

    tunnel_address is empty if it carries no bytes for its peers, and
    grant_address if it grants them no tokens.
    """

    name: str
    data_centre: str
    address: str
    cores: float
    tunnel_address: str = ''
    grant_address: str = ''


@attrs.frozen(kw_only=True)
class Source:
    """A subscription to a topic of an instance."""

    instance: str
    topic: Topic


@attrs.frozen(kw_only=True)
class Subscribers:
    """Which relayed topics others subscribe to at this instance."""

    data_centre: bool = False
    fleet: bool = False


@attrs.define(kw_only=True)
class Avoidance:
    """A relay that was silent; avoided until a time."""

    until: float
    silences: int


@attrs.define(kw_only=True)
class RelayHealth:
    """When each source was subscribed to and last heard.

    heard has the sources that are subscribed to.
    """

    subscribed_at: dict[Source, float] = attrs.field(factory=dict)
    heard_at: dict[Source, float] = attrs.field(factory=dict)
    avoided: dict[str, Avoidance] = attrs.field(factory=dict)

    def note_sources(
        self, sources: collections.abc.Collection[Source], now: float
    ) -> None:
        """Records the current subscriptions."""
        for gone in self.subscribed_at.keys() - sources:
            del self.subscribed_at[gone]
            self.heard_at.pop(gone, None)
        for source in sources:
            self.subscribed_at.setdefault(source, now)

    def note_heard(self, source: Source, now: float) -> None:
        """Records a message from a source."""
        if source in self.subscribed_at:
            self.heard_at[source] = now
            self.avoided.pop(source.instance, None)

    def avoid_silent(self, now: float) -> list[str]:
        """Avoids relays that have become silent; returns their names."""
        silent = []
        for source, since in self.subscribed_at.items():
            if source.topic is Topic.OWN or self.is_avoided(
                source.instance, now
            ):
                continue
            heard = self.heard_at.get(source)
            if heard is None:
                is_silent = now - since > FIRST_MESSAGE_TIMEOUT_S
            else:
                is_silent = now - heard > RELAY_TIMEOUT_S
            if is_silent:
                self.avoid(source.instance, now)
                silent.append(source.instance)
        return silent

    def avoid(self, instance: str, now: float) -> None:
        """Avoids an instance as a relay, each time for longer."""
        known = self.avoided.get(instance)
        silences = known.silences + 1 if known is not None else 1
        pause_s = min(
            FIRST_AVOIDANCE_S * 2.0 ** (silences - 1), MAX_AVOIDANCE_S
        )
        self.avoided[instance] = Avoidance(
            until=now + pause_s, silences=silences
        )

    def avoided_now(self, now: float) -> frozenset[str]:
        """Returns the instances that were silent relays lately."""
        return frozenset(
            name for name in self.avoided if self.is_avoided(name, now)
        )

    def is_avoided(self, instance: str, now: float) -> bool:
        """Returns whether an instance was a silent relay lately."""
        known = self.avoided.get(instance)
        return known is not None and now < known.until


def choose_sources(
    own: Instance,
    others: collections.abc.Iterable[Instance],
    subscribers: Subscribers,
    unwanted: frozenset[str],
) -> frozenset[Source]:
    """Returns the subscriptions of an instance.

    own is this instance and others the rest of the fleet.  unwanted
    holds the instances that are silent or leaving; they are relays only
    where there are no others.
    """
    by_data_centre: dict[str, list[Instance]] = {own.data_centre: []}
    for one in others:
        by_data_centre.setdefault(one.data_centre, []).append(one)
    local = by_data_centre.pop(own.data_centre)
    is_relay = subscribers.data_centre or subscribers.fleet
    is_direct = len(local) < MAX_DIRECT_INSTANCES
    sources: set[Source] = set()
    if is_direct or is_relay:
        sources |= _sources_of(local, Topic.OWN)
    if not is_direct and not subscribers.fleet:
        relays = choose_relays(local, unwanted)
        return frozenset(sources | _sources_of(relays, Topic.FLEET))
    for remote in by_data_centre.values():
        if len(remote) <= MAX_DIRECT_INSTANCES:
            sources |= _sources_of(remote, Topic.OWN)
        else:
            relays = choose_relays(remote, unwanted)
            sources |= _sources_of(relays, Topic.DATA_CENTRE)
    return frozenset(sources)


def choose_relays(
    instances: collections.abc.Iterable[Instance],
    unwanted: frozenset[str],
) -> list[Instance]:
    """Returns the relays of a data centre.

    All choose alike: the largest instances, in an order given by a hash, so
    that a relay has processor time to spare.
    """

    def rank(one: Instance) -> tuple[bool, float, float]:
        hashed = routing.hash_fraction(one.name)
        return (one.name in unwanted, -one.cores, hashed)

    return sorted(instances, key=rank)[:RELAYS_PER_DATA_CENTRE]


def _sources_of(
    instances: collections.abc.Iterable[Instance], topic: Topic
) -> set[Source]:
    return {Source(instance=one.name, topic=topic) for one in instances}
