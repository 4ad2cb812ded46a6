"""Exchanges load and usage with all other instances over ZeroMQ.

Every instance publishes a small message several times a second and
subscribes to all others, which it discovers by their records in the store.
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

# Short enough that nine instances learn of an account that requests eight
# times its rate before it has used up its burst.
PUBLISH_INTERVAL_S: typing.Final = 0.1
# With more peers than this, the publish interval grows in proportion to
# their number, so that each instance receives as many messages a second.
PEERS_AT_FULL_RATE: typing.Final = 12
# Messages are read in batches, so that one wake-up serves several.  The
# ratio is the least interval between batches, in publish intervals.
RECEIVE_INTERVAL_S: typing.Final = 0.05
RECEIVE_INTERVAL_RATIO: typing.Final = 0.2
MAX_BATCH_MESSAGES: typing.Final = 2_000
DISCOVERY_INTERVAL_S: typing.Final = 2.0
# The reconnect interval doubles up to the maximum, so that a peer that is
# gone for good is not contacted ten times a second.
RECONNECT_MS: typing.Final = 100
MAX_RECONNECT_MS: typing.Final = 2_000
# Only subscribers send heartbeats, to detect dead connections.  More
# frequent ones from both sides made up most of a large fleet's packets.
HEARTBEAT_MS: typing.Final = 1_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 700
# TCP closes a connection whose data is not acknowledged for this long.
ACK_TIMEOUT_MS: typing.Final = 5_000
# A cached prompt part is published in at most this many messages; it is
# repeated because messages can be lost.
MAX_SHARED_REPEATS: typing.Final = 10
# Published as the store's age if it has never been read.
MAX_STORE_AGE_S: typing.Final = 1e6
# Messages queued for a peer that does not read.  Each one supersedes the
# one before, so older ones are not worth queueing.
SEND_QUEUE_MESSAGES: typing.Final = 8
# A peer's load is dropped if no message arrives for this long or, if that
# is longer, for this many publish intervals.
PEER_TIMEOUT_S: typing.Final = 1.0
PEER_TIMEOUT_INTERVALS: typing.Final = 4
# Open requests and pending prompt tokens of an idle instance.
NO_LOAD: typing.Final = (0, 0)


@attrs.frozen(kw_only=True)
class UpstreamLoad:
    """The load that an instance puts on one upstream.

    running is the number of its open requests, and pending the number of
    their prompt tokens that the upstream has not processed yet.  shared
    holds the first parts of its prompts that the upstream has cached.
    """

    running: int
    pending: int
    shared: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StateUpdate:
    """The state that an instance publishes to its peers.

    usage is keyed by client account; whole says that it names every
    account that was ever requested.  work is keyed by upstream.
    started_ms distinguishes the incarnations of an instance.
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
    """Publishes this instance's state and tracks that of its peers.

    load_by_peer holds each peer's (running, pending) by upstream, and
    total_load their sums over all peers.
    """

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
        """Starts listening; raises zmq.ZMQError."""
        self.publisher.bind(f'tcp://{self.board.settings.peer_listen}')

    def close(self) -> None:
        """Closes all connections at once."""
        self.context.destroy(linger=0)

    async def register(self) -> None:
        """Registers this instance's address in the store."""
        record = records.InstanceRecord(
            peer_address=self.board.settings.peer_listen,
            started_ms=self.started_ms,
        )
        await self.write_record(records.encode_instance(record))

    async def write_record(self, value: bytes | None) -> None:
        """Writes this instance's record, retrying until it succeeds."""
        while True:
            try:
                await self.log.put(
                    records.INSTANCE_TOPIC,
                    self.board.settings.instance,
                    value,
                )
                return
            except errors.ResultError as error:
                self.events.info('registration-failed', detail=error.detail)
                await asyncio.sleep(DISCOVERY_INTERVAL_S)

    async def discover_peers(self) -> None:
        """Connects to registered instances, periodically."""
        while True:
            try:
                found = await self.log.newest(records.INSTANCE_TOPIC)
            except errors.ResultError as error:
                self.events.info('peer-discovery-failed', detail=error.detail)
            else:
                for record in found.records:
                    self.connect(record)
            await asyncio.sleep(DISCOVERY_INTERVAL_S)

    def connect(self, record: ports.KeyedRecord) -> None:
        """Subscribes to an instance unless already subscribed to it."""
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
        """Publishes this instance's state, periodically."""
        while True:
            self.publish()
            slowdown = max(len(self.last_heard) / PEERS_AT_FULL_RATE, 1.0)
            interval_s = PUBLISH_INTERVAL_S * slowdown
            self.board.reachability.update_interval_s = interval_s
            self.board.rate_limiter.update_interval_s = interval_s
            await asyncio.sleep(interval_s)

    def publish(self) -> None:
        """Publishes this instance's state once."""
        whole = self.board.rate_limiter.next_is_full()
        update = StateUpdate(
            instance=self.board.settings.instance,
            data_centre=self.board.settings.data_centre,
            started_ms=self.started_ms,
            store_age_s=min(
                self.board.freshness.age_s(clock.boot()), MAX_STORE_AGE_S
            ),
            usage=self.board.rate_limiter.usage_update(clock.monotonic()),
            whole=whole,
            work={
                name: UpstreamLoad(
                    running=one.own_requests,
                    pending=one.pending_tokens,
                    shared=tuple(one.new_prefixes),
                )
                for name, one in self.board.upstreams.by_id.items()
                if one.own_requests or one.new_prefixes
            },
            leaving=self.board.stopping,
        )
        # A publisher drops messages for peers that do not read.
        self.publisher.send(msgspec.msgpack.encode(update), zmq.NOBLOCK)
        self.published_messages += 1
        if self.published_messages % MAX_SHARED_REPEATS == 0:
            for one in self.board.upstreams.by_id.values():
                one.new_prefixes.clear()

    async def receive_periodically(self) -> None:
        """Processes the peers' messages, periodically."""
        while True:
            interval_s = self.board.reachability.update_interval_s
            await asyncio.sleep(
                max(RECEIVE_INTERVAL_S, RECEIVE_INTERVAL_RATIO * interval_s)
            )
            self.receive_pending(clock.monotonic())

    def receive_pending(self, now: float) -> None:
        """Processes received messages, up to the maximum batch."""
        for _ in range(MAX_BATCH_MESSAGES):
            try:
                data = self.subscriber.recv(zmq.NOBLOCK)
            except zmq.Again:
                break
            try:
                update = _DECODER.decode(data)
            except msgspec.MsgspecError as error:
                self.events.info('peer-message-unreadable', reason=error)
                continue
            self.apply(update, now)
        self.expire_silent(now)

    def apply(self, update: StateUpdate, now: float) -> None:
        """Applies one peer's update."""
        if update.instance not in self.last_heard:
            self.events.info('peer-heard', peer=update.instance)
        self.last_heard[update.instance] = now
        if update.leaving:
            self.board.reachability.forget(update.instance)
        else:
            self.board.reachability.note_report(
                update.instance,
                reachability.PeerReport(
                    data_centre=update.data_centre,
                    at=now,
                    store_age_s=update.store_age_s,
                ),
            )
        self.board.rate_limiter.apply_update(
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
                upstream.note_peer_prefixes(load.shared)

    def expire_silent(self, now: float) -> None:
        """Drops the load of peers whose messages have stopped."""
        interval_s = self.board.reachability.update_interval_s
        timeout_s = max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * interval_s)
        for name, since in list(self.last_heard.items()):
            if now - since > timeout_s:
                del self.last_heard[name]
                self.update_load(name, {})
                self.events.info('peer-silent', peer=name)

    def update_load(self, peer: str, load: dict[str, tuple[int, int]]) -> None:
        """Replaces a peer's load and updates the totals.

        The totals change by the difference: summing over all peers on
        every message would take most of a large fleet's CPU time.
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
                upstream.peer_requests = running
                upstream.peer_pending_tokens = pending
