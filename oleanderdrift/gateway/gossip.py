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
TELL_EVERY_S: typing.Final = 0.1
# More instances tell less often, so that each hears as much.
PEERS_AT_FULL_PACE: typing.Final = 12
# Reading in batches costs a fraction of a wake-up for each message.
HEAR_EVERY_S: typing.Final = 0.05
HEAR_EVERY_PACES: typing.Final = 0.2
MESSAGES_AT_ONCE: typing.Final = 2_000
FIND_EVERY_S: typing.Final = 2.0
# An instance that went for good must not be called ten times a second.
RECONNECT_MS: typing.Final = 100
MAX_RECONNECT_MS: typing.Final = 2_000
# Listeners find connections that have gone silent.  Heartbeats of both
# sides, more often, were most of a large fleet's packets.
HEARTBEAT_MS: typing.Final = 1_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 700
# A message that is not acknowledged for so long ends its connection.
UNACKNOWLEDGED_MS: typing.Final = 5_000
# What is cached is told in so many messages at most, since some get lost.
TELL_SHARED_AGAIN: typing.Final = 10
# Stands for no news at all.
LONG_AGO_S: typing.Final = 1e6
# Messages to a peer that does not read; each makes the one before stale.
QUEUE_MESSAGES: typing.Final = 8
# What a peer said it runs is void after this long, or so many messages.
STALE_S: typing.Final = 1.0
STALE_MESSAGES: typing.Final = 4
# Open requests and unread tokens of an instance without any.
NO_WORK: typing.Final = (0, 0)


@attrs.frozen(kw_only=True)
class Work:
    """What an instance has at one upstream.

    running are its open requests, pending the prompt tokens that wait to
    be read, and shared first parts of prompts that it found cached.
    """

    running: int
    pending: int
    shared: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class News:
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
    work: dict[str, Work]
    leaving: bool = False


_DECODER: typing.Final = msgspec.msgpack.Decoder(News)


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
        self.out = self.context.socket(zmq.PUB)
        self.into = self.context.socket(zmq.SUB)
        self.into.subscribe(b'')
        for each in (self.out, self.into):
            each.linger = 0
            each.sndhwm = QUEUE_MESSAGES
            each.reconnect_ivl = RECONNECT_MS
            each.reconnect_ivl_max = MAX_RECONNECT_MS
        self.into.heartbeat_ivl = HEARTBEAT_MS
        self.into.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        self.out.tcp_maxrt = UNACKNOWLEDGED_MS
        self.started_ms = clock.unix_ms()
        self.told = 0
        self.connected: dict[str, str] = {}
        self.last_heard: dict[str, float] = {}
        self.work: dict[str, dict[str, tuple[int, int]]] = {}
        self.totals: dict[str, tuple[int, int]] = {}

    def bind(self) -> None:
        """Starts to listen; raises zmq.ZMQError."""
        self.out.bind(f'tcp://{self.board.settings.peer_listen}')

    def close(self) -> None:
        """Closes all connections at once."""
        self.context.destroy(linger=0)

    async def register(self) -> None:
        """Leaves this instance's record until it is in the store."""
        record = records.InstanceRecord(
            peer_address=self.board.settings.peer_listen,
            started_ms=self.started_ms,
        )
        await self.put(records.encode_instance(record))

    async def put(self, value: bytes | None) -> None:
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
                await asyncio.sleep(FIND_EVERY_S)

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
            await asyncio.sleep(FIND_EVERY_S)

    def connect(self, record: ports.KeyedRecord) -> None:
        """Subscribes to one instance."""
        name = record.key
        if record.value is None or name == self.board.settings.instance:
            return
        peer = records.decode_instance(record.value)
        if peer is None or self.connected.get(name) == peer.peer_address:
            return
        self.connected[name] = peer.peer_address
        self.into.connect(f'tcp://{peer.peer_address}')
        self.events.info('peer-found', peer=name)

    async def publish_periodically(self) -> None:
        """Publishes news for ever."""
        while True:
            self.publish()
            slower = max(len(self.last_heard) / PEERS_AT_FULL_PACE, 1.0)
            pace_s = TELL_EVERY_S * slower
            self.board.reachability.update_interval_s = pace_s
            self.board.rate_limiter.update_interval_s = pace_s
            await asyncio.sleep(pace_s)

    def publish(self) -> None:
        """Publishes news once."""
        whole = self.board.rate_limiter.next_is_full()
        news = News(
            instance=self.board.settings.instance,
            data_centre=self.board.settings.data_centre,
            started_ms=self.started_ms,
            store_age_s=min(
                self.board.freshness.age_s(clock.boot()), LONG_AGO_S
            ),
            usage=self.board.rate_limiter.usage_update(clock.monotonic()),
            whole=whole,
            work={
                name: Work(
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
        self.out.send(msgspec.msgpack.encode(news), zmq.NOBLOCK)
        self.told += 1
        if self.told % TELL_SHARED_AGAIN == 0:
            for one in self.board.upstreams.by_id.values():
                one.new_prefixes.clear()

    async def receive_periodically(self) -> None:
        """Takes the others' news in for ever."""
        while True:
            pace_s = self.board.reachability.update_interval_s
            await asyncio.sleep(max(HEAR_EVERY_S, HEAR_EVERY_PACES * pace_s))
            self.read_all(clock.monotonic())

    def read_all(self, now: float) -> None:
        """Takes the news in that have come."""
        for _ in range(MESSAGES_AT_ONCE):
            try:
                data = self.into.recv(zmq.NOBLOCK)
            except zmq.Again:
                break
            try:
                news = _DECODER.decode(data)
            except msgspec.MsgspecError as error:
                self.events.info('news-unreadable', reason=error)
                continue
            self.take(news, now)
        self.note_silent(now)

    def take(self, news: News, now: float) -> None:
        """Takes one instance's news in."""
        if news.instance not in self.last_heard:
            self.events.info('peer-heard', peer=news.instance)
        self.last_heard[news.instance] = now
        if news.leaving:
            self.board.reachability.forget(news.instance)
        else:
            self.board.reachability.note_report(
                news.instance,
                reachability.PeerReport(
                    data_centre=news.data_centre,
                    at=now,
                    store_age_s=news.store_age_s,
                ),
            )
        self.board.rate_limiter.apply_update(
            news.instance, news.started_ms, news.usage, news.whole, now
        )
        self.count(
            news.instance,
            {
                name: (work.running, work.pending)
                for name, work in news.work.items()
            },
        )
        for name, work in news.work.items():
            upstream = self.board.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.note_peer_prefixes(work.shared)

    def note_silent(self, now: float) -> None:
        """Forgets what peers run that have fallen silent."""
        pace_s = self.board.reachability.update_interval_s
        stale_s = max(STALE_S, STALE_MESSAGES * pace_s)
        for name, since in list(self.last_heard.items()):
            if now - since > stale_s:
                del self.last_heard[name]
                self.count(name, {})
                self.events.info('peer-silent', peer=name)

    def count(self, peer: str, work: dict[str, tuple[int, int]]) -> None:
        """Puts a peer's open work in the place of what it said before.

        The sums change by the difference: adding up all peers at each
        message would cost a large fleet most of its processor time.
        """
        before = self.work.pop(peer, {})
        if work:
            self.work[peer] = work
        for name in before.keys() | work.keys():
            old, new = before.get(name, NO_WORK), work.get(name, NO_WORK)
            total = self.totals.get(name, NO_WORK)
            running = total[0] + new[0] - old[0]
            pending = total[1] + new[1] - old[1]
            self.totals[name] = (running, pending)
            if not running and not pending:
                del self.totals[name]
            upstream = self.board.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.peer_requests = running
                upstream.peer_pending_tokens = pending
