"""The ZeroMQ sockets over which instances publish and subscribe."""

import contextlib
import typing

import zmq

from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import relays

# The reconnect interval doubles up to the maximum, so that a peer that is
# gone for good is not contacted ten times a second.
RECONNECT_MS: typing.Final = 100
MAX_RECONNECT_MS: typing.Final = 2_000
# Only subscribers send heartbeats, to detect dead connections.
HEARTBEAT_MS: typing.Final = 1_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 700
# TCP closes a connection whose data is not acknowledged for this long.
ACK_TIMEOUT_MS: typing.Final = 5_000
# Messages queued for a peer that does not read.  Each state is repeated, so
# older ones are not worth queueing.
SEND_QUEUE_MESSAGES: typing.Final = 8
# A larger message closes its connection; those of a whole fleet are smaller.
MAX_MESSAGE_BYTES: typing.Final = 1_048_576
# Of what subscribers send.  Their topics have one byte.
MAX_NOTICE_BYTES: typing.Final = 64
# In one exchange; more wait for the next one.
MAX_NOTICES: typing.Final = 1_024
# Each topic stays in memory.  Peers ask for no others than those of a state.
MAX_UNKNOWN_TOPICS: typing.Final = 16
# That a connection may have sent before it was looked at.
RECEIVED_NOTICES: typing.Final = 16
_SUBSCRIBED: typing.Final = 1
_TOPICS: typing.Final = {topic.value: topic for topic in peer_messages.Topic}

Topic: typing.TypeAlias = peer_messages.Topic


class Sockets(typing.Protocol):
    """Publishes to subscribers and receives from sources.

    addresses has the addresses of the current sources.  subscribed holds the
    topics that any peer subscribes to here.
    """

    addresses: dict[relays.Source, str]
    subscribed: set[Topic]

    def bind(self, address: str) -> None:
        """Starts listening at HOST:PORT."""

    def close(self) -> None:
        """Closes all connections at once."""

    def set_sources(self, wanted: dict[relays.Source, str]) -> None:
        """Connects to the sources at their addresses, and to no others."""

    def publish(self, topic: Topic, bundle: peer_messages.Bundle) -> None:
        """Sends a bundle to the subscribers of a topic."""

    def receive(self, topic: Topic) -> bytes | None:
        """Returns the next message of a topic, if there is one."""

    def update_subscribed(self) -> bool:
        """Processes the peers' new and ended subscriptions.

        Returns whether all connections were closed for what others sent.
        """


class PeerSockets:
    """ZeroMQ sockets: one publisher, and one subscriber for each topic.

    address is where the publisher is to listen, is_bound whether it does.
    unknown_topics counts those that were subscribed to here.
    """

    def __init__(self) -> None:
        self.context = zmq.Context()
        self.publisher = self.new_publisher()
        self.address = ''
        self.is_bound = False
        self.unknown_topics = 0
        self.subscribers = {topic: self.new_subscriber() for topic in Topic}
        for topic, subscriber in self.subscribers.items():
            subscriber.subscribe(topic.value)
        for each in self.subscribers.values():
            each.linger = 0
            each.sndhwm = SEND_QUEUE_MESSAGES
            each.maxmsgsize = MAX_MESSAGE_BYTES
        self.addresses: dict[relays.Source, str] = {}
        self.subscribed: set[Topic] = set()

    def new_publisher(self) -> zmq.Socket[bytes]:
        """Returns a publisher that does not listen yet."""
        made = self.context.socket(zmq.XPUB)
        made.tcp_maxrt = ACK_TIMEOUT_MS
        made.linger = 0
        made.sndhwm = SEND_QUEUE_MESSAGES
        made.rcvhwm = RECEIVED_NOTICES
        made.maxmsgsize = MAX_NOTICE_BYTES
        return made

    def new_subscriber(self) -> zmq.Socket[bytes]:
        """Returns an unconnected subscriber."""
        made = self.context.socket(zmq.SUB)
        made.reconnect_ivl = RECONNECT_MS
        made.reconnect_ivl_max = MAX_RECONNECT_MS
        made.heartbeat_ivl = HEARTBEAT_MS
        made.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        return made

    def bind(self, address: str) -> None:
        """Starts listening at HOST:PORT; raises zmq.ZMQError."""
        self.address = address
        self.publisher.bind(f'tcp://{address}')
        self.is_bound = True

    def close(self) -> None:
        """Closes all connections at once."""
        self.context.destroy(linger=0)

    def set_sources(self, wanted: dict[relays.Source, str]) -> None:
        """Connects to the sources at their addresses, and to no others."""
        for source, address in list(self.addresses.items()):
            if wanted.get(source) != address:
                del self.addresses[source]
                self.subscribers[source.topic].disconnect(f'tcp://{address}')
        for source, address in wanted.items():
            if source not in self.addresses:
                self.addresses[source] = address
                self.subscribers[source.topic].connect(f'tcp://{address}')

    def publish(self, topic: Topic, bundle: peer_messages.Bundle) -> None:
        """Sends a bundle to the subscribers of a topic.

        It is dropped for peers that do not read.
        """
        if topic in self.subscribed:
            data = peer_messages.encode_bundle(topic, bundle)
            self.publisher.send(data, zmq.NOBLOCK)

    def receive(self, topic: Topic) -> bytes | None:
        """Returns the next message of a topic, if there is one."""
        try:
            return self.subscribers[topic].recv(zmq.NOBLOCK)
        except zmq.Again:
            return None

    def update_subscribed(self) -> bool:
        """Processes the peers' new and ended subscriptions.

        Returns whether all connections were closed for what others sent.
        Peers come back by themselves.
        """
        self.listen_again()
        for _ in range(MAX_NOTICES):
            try:
                notice = self.publisher.recv(zmq.NOBLOCK)
            except zmq.Again:
                return False
            self.note(notice)
            if self.unknown_topics > MAX_UNKNOWN_TOPICS:
                self.drop_connections()
                return True
        return False

    def note(self, notice: bytes) -> None:
        """Processes one subscription, or something else."""
        topic = _TOPICS.get(notice[1:])
        if topic is None:
            self.unknown_topics += 1
        elif notice[0] == _SUBSCRIBED:
            self.subscribed.add(topic)
        else:
            self.subscribed.discard(topic)

    def drop_connections(self) -> None:
        """Closes the publisher, with all that subscribers have sent."""
        self.publisher.close(linger=0)
        self.publisher = self.new_publisher()
        self.is_bound = False
        self.subscribed.clear()
        self.unknown_topics = 0

    def listen_again(self) -> None:
        """Listens after drop_connections(), once the port is free again."""
        if self.is_bound or not self.address:
            return
        with contextlib.suppress(zmq.ZMQError):
            self.bind(self.address)
