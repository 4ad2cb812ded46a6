"""A simulated fleet of instances that exchange states through relays."""

import collections
import random
import typing

import attrs

from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import relays
from tests import gateway_support

STEP_S: typing.Final = gossip.EXCHANGE_INTERVAL_S
# A message between two instances takes up to this many steps.
MAX_DELAY_STEPS: typing.Final = 1
ACCOUNT: typing.Final = 'ward'

Topic: typing.TypeAlias = peer_messages.Topic


class FakeSockets:
    """Sockets of one simulated instance; see peer_sockets.Sockets."""

    def __init__(self, network: 'Network', name: str) -> None:
        self.network = network
        self.name = name
        self.addresses: dict[relays.Source, str] = {}
        self.subscribed: set[Topic] = set()
        self.inbox: dict[Topic, collections.deque[tuple[float, bytes]]] = {
            topic: collections.deque() for topic in Topic
        }

    def bind(self, address: str) -> None:
        """Does nothing; the network knows its instances."""

    def close(self) -> None:
        """Does nothing."""

    def set_sources(self, wanted: dict[relays.Source, str]) -> None:
        """Replaces the sources."""
        for source in self.addresses:
            self.network.subscribers[source].discard(self.name)
        for source in wanted:
            self.network.subscribers[source].add(self.name)
        self.addresses = wanted

    def publish(self, topic: Topic, bundle: peer_messages.Bundle) -> None:
        """Sends a bundle to each subscriber that it reaches."""
        data = peer_messages.encode_bundle(topic, bundle)
        source = relays.Source(instance=self.name, topic=topic)
        for other in sorted(self.network.subscribers[source]):
            self.network.deliver(self.name, other, topic, data)

    def receive(self, topic: Topic) -> bytes | None:
        """Returns the next message that has arrived."""
        waiting = self.inbox[topic]
        if waiting and waiting[0][0] <= self.network.now:
            return waiting.popleft()[1]
        return None

    def update_subscribed(self) -> bool:
        """Looks up which topics are subscribed to here."""
        self.subscribed = {
            topic
            for topic in Topic
            if self.network.subscribers[
                relays.Source(instance=self.name, topic=topic)
            ]
        }
        return False


@attrs.define(kw_only=True)
class Network:
    """Instances by name; paused ones do nothing, cut pairs lose messages.

    loss is the share of messages that are lost.
    """

    chance: random.Random
    loss: float = 0.0
    now: float = 100.0
    instances: dict[str, gossip.Gossip] = attrs.field(factory=dict)
    sockets: dict[str, FakeSockets] = attrs.field(factory=dict)
    fleet: dict[str, relays.Instance] = attrs.field(factory=dict)
    subscribers: collections.defaultdict[relays.Source, set[str]] = (
        attrs.field(factory=lambda: collections.defaultdict(set))
    )
    paused: set[str] = attrs.field(factory=set)
    cut_data_centres: set[str] = attrs.field(factory=set)

    def add(self, name: str, data_centre: str, cores: float = 1.0) -> None:
        """Starts an instance, or restarts one under its name."""
        settings = attrs.evolve(
            gateway_support.SETTINGS,
            instance=name,
            data_centre=data_centre,
            peer_listen=name,
            cores=cores,
        )
        board = gateway_support.board()
        board.settings = settings
        board.reachability.data_centre = data_centre
        board.upstreams.put(gateway_support.entry('u1'))
        account = gateway_support.account(name=ACCOUNT, rate=1e6, burst=1e6)
        board.rate_limiter.configure([account])
        board.rate_limiter.started = self.now
        events = event_log.EventLog()
        known = directory.Directory(board, gateway_support.MemoryLog(), events)
        if name in self.sockets:
            self.sockets[name].set_sources({})
        self.sockets[name] = FakeSockets(self, name)
        self.instances[name] = gossip.Gossip(
            board, known, events, self.sockets[name]
        )
        self.fleet[name] = known.own
        for each in self.instances.values():
            each.directory.instances = dict(self.fleet)
            each.directory.changes += 1

    def kill(self, name: str) -> None:
        """Ends an instance; its record stays in the store."""
        self.sockets[name].set_sources({})
        del self.instances[name]
        del self.sockets[name]
        self.paused.discard(name)

    def is_connected(self, first: str, second: str) -> bool:
        """Returns whether messages between two instances can arrive."""
        places = {
            self.fleet[first].data_centre,
            self.fleet[second].data_centre,
        }
        return len(places) == 1 or not places & self.cut_data_centres

    def deliver(
        self, sender: str, receiver: str, topic: Topic, data: bytes
    ) -> None:
        """Delivers a message after a delay, or loses it."""
        if not self.is_connected(sender, receiver):
            return
        if self.chance.random() < self.loss:
            return
        delay_s = self.chance.randint(0, MAX_DELAY_STEPS) * STEP_S
        waiting = self.sockets[receiver].inbox[topic]
        earliest = waiting[-1][0] if waiting else 0.0
        waiting.append((max(self.now + delay_s, earliest), data))

    def run(self, duration_s: float) -> None:
        """Lets all instances exchange states for a time."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for name in self.chance.sample(
                sorted(self.instances), len(self.instances)
            ):
                if name not in self.paused:
                    self.instances[name].exchange(self.now)

    def set_load(self, name: str, running: int) -> None:
        """Sets the open requests of an instance on the upstream."""
        upstream = self.instances[name].board.upstreams.by_id['u1']
        upstream.own_requests = running

    def spend(self, name: str, count: int) -> None:
        """Admits requests of the account at an instance."""
        limiter = self.instances[name].board.rate_limiter
        account = limiter.accounts[ACCOUNT]
        bucket = limiter.bucket(ACCOUNT)
        bucket.updated = self.now
        bucket.tokens = account.burst
        for _ in range(count):
            assert limiter.admit(account, self.now, True) is None

    def peer_load_at(self, name: str) -> int:
        """Returns the load of all others as an instance sees it."""
        board = self.instances[name].board
        return board.upstreams.by_id['u1'].peer_requests

    def peer_spent_at(self, name: str) -> int:
        """Returns the requests of all others that an instance knows of."""
        peers = self.instances[name].board.rate_limiter.peers
        return sum(peer.spent.get(ACCOUNT, 0) for peer in peers.values())


def build(sizes: dict[str, int], seed: int, loss: float = 0.0) -> Network:
    """Returns a fleet with the given number of instances by data centre."""
    network = Network(chance=random.Random(seed), loss=loss)
    for data_centre, size in sizes.items():
        for number in range(size):
            cores = 2.0 if number % 5 == 0 else 0.4
            network.add(f'{data_centre}-{number}', data_centre, cores)
    return network
