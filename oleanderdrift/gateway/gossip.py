"""Tells the other instances what this one asks for and runs.

Every instance publishes a small message several times a second and
subscribes to all others, which it finds by their records in the store.
"""

import asyncio
import typing

import attrs
import msgspec
import zmq

from oleanderdrift import errors
from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import records

# At this pace nine instances hear of an account at eight times its rate
# before it has used its burst up.
PUBLISH_INTERVAL_S: typing.Final = 0.1
# More instances tell less often, so that each hears as much.
PEERS_AT_FULL_RATE: typing.Final = 12
# Reading in batches costs a fraction of a wake-up for each message.
RECEIVE_INTERVAL_S: typing.Final = 0.05
RECEIVE_INTERVAL_RATIO: typing.Final = 0.2
MAX_BATCH_MESSAGES: typing.Final = 2_000
DISCOVERY_INTERVAL_S: typing.Final = 2.0
# An instance that went for good must not be called ten times a second.
RECONNECT_MS: typing.Final = 100
MAX_RECONNECT_MS: typing.Final = 2_000
# Listeners find connections that have gone silent.  Heartbeats of both
# sides, more often, were most of a large fleet's packets.
HEARTBEAT_MS: typing.Final = 1_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 700
# A message that is not acknowledged for so long ends its connection.
ACK_TIMEOUT_MS: typing.Final = 5_000
# What is cached is told in so many messages at most, since some get lost.
MAX_SHARED_REPEATS: typing.Final = 10
# Stands for no news at all.
MAX_STORE_AGE_S: typing.Final = 1e6
# Messages to a peer that does not read; each makes the one before stale.
SEND_QUEUE_MESSAGES: typing.Final = 8
# What a peer said it runs is void after this long, or so many messages.
PEER_TIMEOUT_S: typing.Final = 1.0
PEER_TIMEOUT_INTERVALS: typing.Final = 4
# Open requests and unread tokens of an instance without any.
NO_LOAD: typing.Final = (0, 0)


@attrs.frozen(kw_only=True)
class UpstreamLoad:
    """What an instance has at one upstream.

    running are its open requests, pending the prompt tokens that wait to
    be read, and shared first parts of prompts that it found cached.
    """

    running: int
    pending: int
    shared: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StateUpdate:
    """What an instance tells its peers.

    usage is by client account, whole where it names all that were ever
    asked for; work is by upstream.  started_ms tells the incarnations of
    an instance apart.
    """

    instance: str
    data_centre: str
    started_ms: int
    store_age_s: float
    usage: dict[str, allotments.Usage]
    whole: bool
    work: dict[str, UpstreamLoad]
    leaving: bool = False


_DECODER: typing.Final = msgspec.msgpack.Decoder(StateUpdate)


class Gossip:
    """The exchange of news with all other instances."""

    def __init__(
        self,
        board: board_lib.Board,
        log: ports.Log,
        events: event_log.EventLog,
    ) -> None:
        self.board = board
        self.log = log
        self.events = events
        self.context = zmq.Context()
        self.publisher = self.context.socket(zmq.PUB)
        self.subscriber = self.context.socket(zmq.SUB)
        self.subscriber.subscribe(b'')
        for each in (self.publisher, self.subscriber):
            each.linger = 0
            each.sndhwm = SEND_QUEUE_MESSAGES
            each.reconnect_ivl = RECONNECT_MS
            each.reconnect_ivl_max = MAX_RECONNECT_MS
        self.subscriber.heartbeat_ivl = HEARTBEAT_MS
        self.subscriber.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        self.publisher.tcp_maxrt = ACK_TIMEOUT_MS
        self.started_ms = clock.unix_ms()
        self.published_messages = 0
        self.peer_addresses: dict[str, str] = {}
        self.last_heard: dict[str, float] = {}
        self.load_by_peer: dict[str, dict[str, tuple[int, int]]] = {}
        self.total_load: dict[str, tuple[int, int]] = {}

    def bind(self) -> None:
        """Starts to listen; raises zmq.ZMQError."""
        self.publisher.bind(f'tcp://{self.board.settings.peer_listen}')

    def close(self) -> None:
        """Closes all connections at once."""
        self.context.destroy(linger=0)

    async def register(self) -> None:
        """Leaves this instance's record until it is in the store."""
        record = records.InstanceRecord(
            peer_address=self.board.settings.peer_listen,
            started_ms=self.started_ms,
        )
        await self.write_record(records.encode_instance(record))

    async def write_record(self, value: bytes | None) -> None:
        """Writes this instance's record until that succeeds."""
        while True:
            try:
                await self.log.put(
                    records.INSTANCE_TOPIC,
                    self.board.settings.instance,
                    value,
                )
                return
            except errors.ResultError as error:
                self.events.info('announce-failed', detail=error.detail)
                await asyncio.sleep(DISCOVERY_INTERVAL_S)

    async def discover_peers(self) -> None:
        """Connects to the instances that have records, for ever."""
        while True:
            try:
                found = await self.log.newest(records.INSTANCE_TOPIC)
            except errors.ResultError as error:
                self.events.info('peers-unread', detail=error.detail)
            else:
                for record in found.records:
                    self.connect(record)
            await asyncio.sleep(DISCOVERY_INTERVAL_S)

    def connect(self, record: ports.KeyedRecord) -> None:
        """Subscribes to one instance."""
        name = record.key
        if record.value is None or name == self.board.settings.instance:
            return
        peer = records.decode_instance(record.value)
        if peer is None or self.peer_addresses.get(name) == peer.peer_address:
            return
        self.peer_addresses[name] = peer.peer_address
        self.subscriber.connect(f'tcp://{peer.peer_address}')
        self.events.info('peer-found', peer=name)

    async def publish_periodically(self) -> None:
        """Publishes news for ever."""
        while True:
            self.publish()
            slowdown = max(len(self.last_heard) / PEERS_AT_FULL_RATE, 1.0)
            interval_s = PUBLISH_INTERVAL_S * slowdown
            self.board.reachability.pace_s = interval_s
            self.board.allotments.pace_s = interval_s
            await asyncio.sleep(interval_s)

    def publish(self) -> None:
        """Publishes news once."""
        whole = self.board.allotments.is_whole_next()
        update = StateUpdate(
            instance=self.board.settings.instance,
            data_centre=self.board.settings.data_centre,
            started_ms=self.started_ms,
            store_age_s=min(
                self.board.freshness.age_s(clock.boot()), MAX_STORE_AGE_S
            ),
            usage=self.board.allotments.news(clock.monotonic()),
            whole=whole,
            work={
                name: UpstreamLoad(
                    running=one.ours,
                    pending=one.pending_tokens,
                    shared=tuple(one.shared),
                )
                for name, one in self.board.upstreams.by_id.items()
                if one.ours or one.shared
            },
            leaving=self.board.stopping,
        )
        # A publisher drops messages for peers that do not read.
        self.publisher.send(msgspec.msgpack.encode(update), zmq.NOBLOCK)
        self.published_messages += 1
        if self.published_messages % MAX_SHARED_REPEATS == 0:
            for one in self.board.upstreams.by_id.values():
                one.shared.clear()

    async def receive_periodically(self) -> None:
        """Takes the others' news in for ever."""
        while True:
            interval_s = self.board.reachability.pace_s
            await asyncio.sleep(
                max(RECEIVE_INTERVAL_S, RECEIVE_INTERVAL_RATIO * interval_s)
            )
            self.receive_pending(clock.monotonic())

    def receive_pending(self, now: float) -> None:
        """Takes the news in that have come."""
        for _ in range(MAX_BATCH_MESSAGES):
            try:
                data = self.subscriber.recv(zmq.NOBLOCK)
            except zmq.Again:
                break
            try:
                update = _DECODER.decode(data)
            except msgspec.MsgspecError as error:
                self.events.info('news-unreadable', reason=error)
                continue
            self.apply(update, now)
        self.expire_silent(now)

    def apply(self, update: StateUpdate, now: float) -> None:
        """Takes one instance's news in."""
        if update.instance not in self.last_heard:
            self.events.info('peer-heard', peer=update.instance)
        self.last_heard[update.instance] = now
        if update.leaving:
            self.board.reachability.forget(update.instance)
        else:
            self.board.reachability.hear(
                update.instance,
                reachability.Heard(
                    data_centre=update.data_centre,
                    at=now,
                    store_age_s=update.store_age_s,
                ),
            )
        self.board.allotments.hear(
            update.instance, update.started_ms, update.usage, update.whole, now
        )
        self.update_load(
            update.instance,
            {
                name: (load.running, load.pending)
                for name, load in update.work.items()
            },
        )
        for name, load in update.work.items():
            upstream = self.board.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.note_shared(load.shared)

    def expire_silent(self, now: float) -> None:
        """Forgets what peers run that have fallen silent."""
        interval_s = self.board.reachability.pace_s
        timeout_s = max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * interval_s)
        for name, since in list(self.last_heard.items()):
            if now - since > timeout_s:
                del self.last_heard[name]
                self.update_load(name, {})
                self.events.info('peer-silent', peer=name)

    def update_load(self, peer: str, load: dict[str, tuple[int, int]]) -> None:
        """Puts a peer's open work in the place of what it said before.

        The sums change by the difference: adding up all peers at each
        message would cost a large fleet most of its processor time.
        """
        previous = self.load_by_peer.pop(peer, {})
        if load:
            self.load_by_peer[peer] = load
        for name in previous.keys() | load.keys():
            old, new = previous.get(name, NO_LOAD), load.get(name, NO_LOAD)
            total = self.total_load.get(name, NO_LOAD)
            running = total[0] + new[0] - old[0]
            pending = total[1] + new[1] - old[1]
            self.total_load[name] = (running, pending)
            if not running and not pending:
                del self.total_load[name]
            upstream = self.board.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.theirs = running
                upstream.their_pending_tokens = pending
