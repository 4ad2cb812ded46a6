"""Relays over real sockets: subscriptions, failover and restarts."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs
import zmq

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import peer_sockets
from oleanderdrift.gateway import relays
from tests import gateway_support
from tests import test_gateway_whole as whole

# Seven instances in one data centre use relays, two in the other none.
PLACES: typing.Final = ['north'] * 7 + ['south'] * 2
WAIT_S: typing.Final = 20.0
# What a subscriber sends first: signature, version, mechanism, and its kind.
GREETING: typing.Final = (
    b'\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL'
    + bytes(48)
    + b'\x04\x19\x05READY\x0bSocket-Type\0\0\0\x03SUB'
)
# A long message that subscribes; the library's own sockets end their process
# with such a topic, as they go down one call for each byte.
LONG_TOPIC: typing.Final = (
    b'\x02' + (1_000_001).to_bytes(8) + b'\x01' + b't' * 1_000_000
)


@attrs.define(kw_only=True)
class Fleet:
    """Running instances by name, and the records of all."""

    running: dict[str, gossip.Gossip] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    records: dict[str, relays.Instance] = attrs.field(factory=dict)

    def start(self, name: str, data_centre: str, port: int) -> None:
        """Starts an instance, or restarts one at its address."""
        board = gateway_support.board()
        board.settings = attrs.evolve(
            gateway_support.SETTINGS,
            instance=name,
            data_centre=data_centre,
            peer_listen=f'127.0.0.1:{port}',
        )
        board.upstreams.put(gateway_support.entry('u1'))
        events = event_log.EventLog()
        known = directory.Directory(board, gateway_support.MemoryLog(), events)
        made = gossip.Gossip(board, known, events, peer_sockets.PeerSockets())
        made.bind()
        self.records[name] = known.own
        self.running[name] = made
        for one in self.running.values():
            one.directory.instances = dict(self.records)
            one.directory.changes += 1
        self.tasks[name] = asyncio.create_task(made.exchange_periodically())

    async def stop(self, name: str) -> None:
        """Ends an instance without a word."""
        task = self.tasks.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        self.running.pop(name).close()

    def relays(self) -> list[str]:
        """Returns the instances that others subscribe to as relays."""
        relayed = {
            peer_messages.Topic.FLEET,
            peer_messages.Topic.DATA_CENTRE,
        }
        return [
            name
            for name, one in self.running.items()
            if one.sockets.subscribed & relayed
        ]

    async def wait_until_known(self, loads: dict[str, int]) -> None:
        """Sets loads and waits until all instances know all others'."""
        for name, load in loads.items():
            upstream = self.running[name].board.upstreams.by_id['u1']
            upstream.own_requests = load
        total = sum(loads.values())

        def is_known() -> bool:
            return all(
                one.board.upstreams.by_id['u1'].peer_requests
                == total - loads[name]
                for name, one in self.running.items()
            )

        async with asyncio.timeout(WAIT_S):
            while not is_known():
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_fleet() -> collections.abc.AsyncIterator[Fleet]:
    """Runs the instances of all places."""
    fleet = Fleet()
    ports = whole.free_ports(len(PLACES))
    for number, place in enumerate(PLACES):
        fleet.start(f'{place}-{number}', place, ports[number])
    try:
        yield fleet
    finally:
        for name in list(fleet.running):
            await fleet.stop(name)


def loads(fleet: Fleet, factor: int) -> dict[str, int]:
    """Returns a different load for each running instance."""
    return {
        name: factor * (number + 1)
        for number, name in enumerate(fleet.running)
    }


def test_states_pass_through_relays_that_fail_and_restart() -> None:
    async def play() -> None:
        async with run_fleet() as fleet:
            await fleet.wait_until_known(loads(fleet, 1))
            found = [name for name in fleet.relays() if 'north' in name]
            assert 2 <= len(found) <= 3
            gone = found[0]
            await fleet.stop(gone)
            await fleet.wait_until_known(loads(fleet, 2))
            record = fleet.records[gone]
            port = int(record.address.rpartition(':')[2])
            fleet.start(gone, record.data_centre, port)
            await fleet.wait_until_known(loads(fleet, 3))

    asyncio.run(play())


def test_message_that_is_too_large_closes_its_connection() -> None:
    async def play() -> None:
        (port,) = whole.free_ports(1)
        context = zmq.Context()
        sender = context.socket(zmq.PUB)
        sender.bind(f'tcp://127.0.0.1:{port}')
        sockets = peer_sockets.PeerSockets()
        topic = peer_messages.Topic.OWN
        source = relays.Source(instance='a', topic=topic)
        sockets.set_sources({source: f'127.0.0.1:{port}'})
        huge = topic.value + bytes(peer_sockets.MAX_MESSAGE_BYTES + 1)
        received: list[bytes] = []
        async with asyncio.timeout(WAIT_S):
            started = clock.monotonic()
            while clock.monotonic() - started < 0.5:
                sender.send(huge)
                sender.send(topic.value + b'small')
                while (data := sockets.receive(topic)) is not None:
                    received.append(data)
                await asyncio.sleep(0.02)
        assert all(len(data) < 100 for data in received)
        sockets.close()
        context.destroy(linger=0)

    asyncio.run(play())


@contextlib.contextmanager
def listening() -> collections.abc.Iterator[
    tuple[peer_sockets.PeerSockets, str]
]:
    """Yields sockets that listen, and their endpoint."""
    (port,) = whole.free_ports(1)
    sockets = peer_sockets.PeerSockets()
    sockets.bind(f'127.0.0.1:{port}')
    yield sockets, f'tcp://127.0.0.1:{port}'
    sockets.close()


async def await_topic(
    sockets: peer_sockets.PeerSockets, peer: zmq.Socket[bytes]
) -> int:
    """Waits until a peer's subscription is known; counts the drops."""
    drops = 0
    async with asyncio.timeout(WAIT_S):
        while peer_messages.Topic.OWN not in sockets.subscribed:
            drops += sockets.update_subscribed()
            # It subscribes again as it looks for messages.
            peer.poll(0)
            await asyncio.sleep(0.01)
    return drops


def test_strangers_topics_are_not_kept() -> None:
    """Guards against memory that anybody at the port can fill.

    The library keeps each topic, and has no limit of them.
    """

    async def play() -> None:
        context = zmq.Context()
        with listening() as (sockets, endpoint):
            peer = context.socket(zmq.SUB)
            peer.reconnect_ivl = peer_sockets.RECONNECT_MS
            peer.connect(endpoint)
            peer.subscribe(peer_messages.Topic.OWN.value)
            assert await await_topic(sockets, peer) == 0
            stranger = context.socket(zmq.SUB)
            stranger.connect(endpoint)
            for number in range(5_000):
                stranger.subscribe(f'{number}'.rjust(40).encode())
            drops = 0
            async with asyncio.timeout(WAIT_S):
                while not drops:
                    drops += sockets.update_subscribed()
                    await asyncio.sleep(0.01)
            stranger.close(linger=0)
            assert not sockets.subscribed
            # The peer comes back by itself.
            await await_topic(sockets, peer)
            sockets.publish(
                peer_messages.Topic.OWN,
                peer_messages.Bundle(publisher='a', envelopes=[]),
            )
            async with asyncio.timeout(WAIT_S):
                while not peer.poll(0):
                    await asyncio.sleep(0.01)
        context.destroy(linger=0)

    asyncio.run(play())


def test_few_unknown_topics_close_nothing() -> None:
    """Peers of a later build may ask for more."""

    async def play() -> None:
        context = zmq.Context()
        with listening() as (sockets, endpoint):
            peer = context.socket(zmq.SUB)
            peer.connect(endpoint)
            for topic in (b'x', b'y', peer_messages.Topic.OWN.value):
                peer.subscribe(topic)
            assert await await_topic(sockets, peer) == 0
        context.destroy(linger=0)

    asyncio.run(play())


def test_long_topic_closes_its_connection_alone() -> None:
    """Guards against topics of 1 MiB, each of whose bytes takes memory."""

    async def play() -> None:
        context = zmq.Context()
        with listening() as (sockets, endpoint):
            _, writer = await asyncio.open_connection(
                '127.0.0.1', int(endpoint.rpartition(':')[2])
            )
            writer.write(GREETING + LONG_TOPIC)
            peer = context.socket(zmq.SUB)
            peer.connect(endpoint)
            peer.subscribe(peer_messages.Topic.OWN.value)
            assert await await_topic(sockets, peer) == 0
            for _ in range(20):
                assert not sockets.update_subscribed()
                await asyncio.sleep(0.01)
            assert sockets.unknown_topics == 0
            writer.close()
        context.destroy(linger=0)

    asyncio.run(play())
