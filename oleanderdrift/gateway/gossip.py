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
MESSAGES_AT_ONCE: typing.Final = 2_000
FIND_EVERY_S: typing.Final = 2.0
# An instance that went for good must not be called ten times a second.
RECONNECT_MS: typing.Final = 100
MAX_RECONNECT_MS: typing.Final = 2_000
HEARTBEAT_MS: typing.Final = 500
HEARTBEAT_TIMEOUT_MS: typing.Final = 1_500
# What is cached is told in so many messages at most, since some get lost.
TELL_SHARED_AGAIN: typing.Final = 10
# Stands for no news at all.
LONG_AGO_S: typing.Final = 1e6
# Messages to a peer that does not read; each makes the one before stale.
QUEUE_MESSAGES: typing.Final = 8
# What a peer said it runs is void after this long.
STALE_S: typing.Final = 1.0


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

    usage is by client account; work is by upstream.
    started_ms tells the lifetimes of an instance apart.
    """

    instance: str
    data_centre: str
    started_ms: int
    store_age_s: float
    usage: dict[str, allotments.Usage]
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
            each.heartbeat_ivl = HEARTBEAT_MS
            each.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        self.started_ms = clock.unix_ms()
        self.told = 0
        self.connected: dict[str, str] = {}
        self.heard: dict[str, float] = {}

    def bind(self) -> None:
        """Starts to listen; raises zmq.ZMQError."""
        self.out.bind(f'tcp://{self.board.settings.peer_listen}')

    def close(self) -> None:
        """Closes all connections at once."""
        self.context.destroy(linger=0)

    async def announce(self) -> None:
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

    async def find(self) -> None:
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

    async def tell(self) -> None:
        """Publishes news for ever."""
        while True:
            self.publish()
            slower = max(len(self.heard) / PEERS_AT_FULL_PACE, 1.0)
            self.board.reachability.pace_s = TELL_EVERY_S * slower
            await asyncio.sleep(TELL_EVERY_S * slower)

    def publish(self) -> None:
        """Publishes news once."""
        news = News(
            instance=self.board.settings.instance,
            data_centre=self.board.settings.data_centre,
            started_ms=self.started_ms,
            store_age_s=min(
                self.board.freshness.age_s(clock.boot()), LONG_AGO_S
            ),
            usage=self.board.allotments.usage(clock.monotonic()),
            work={
                name: Work(
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
        self.out.send(msgspec.msgpack.encode(news), zmq.NOBLOCK)
        self.told += 1
        if self.told % TELL_SHARED_AGAIN == 0:
            for one in self.board.upstreams.by_id.values():
                one.shared.clear()

    async def hear(self) -> None:
        """Takes the others' news in for ever."""
        while True:
            await asyncio.sleep(HEAR_EVERY_S)
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
        self.add_up()

    def take(self, news: News, now: float) -> None:
        """Takes one instance's news in."""
        if news.instance not in self.heard:
            self.events.info('peer-heard', peer=news.instance)
        self.heard[news.instance] = now
        if news.leaving:
            self.board.reachability.forget(news.instance)
        else:
            self.board.reachability.hear(
                news.instance,
                reachability.Heard(
                    data_centre=news.data_centre,
                    at=now,
                    store_age_s=news.store_age_s,
                ),
            )
        self.board.allotments.hear(
            news.instance, news.started_ms, news.usage, now
        )
        self.board.peer_work[news.instance] = {
            name: (work.running, work.pending)
            for name, work in news.work.items()
        }
        for name, work in news.work.items():
            upstream = self.board.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.note_shared(work.shared)

    def note_silent(self, now: float) -> None:
        """Forgets what peers run that have fallen silent."""
        for name, since in list(self.heard.items()):
            if now - since > STALE_S:
                del self.heard[name]
                self.board.peer_work.pop(name, None)
                self.events.info('peer-silent', peer=name)

    def add_up(self) -> None:
        """Adds up what the peers have at each upstream."""
        totals: dict[str, tuple[int, int]] = {}
        for work in self.board.peer_work.values():
            for name, (running, pending) in work.items():
                before = totals.get(name, (0, 0))
                totals[name] = (before[0] + running, before[1] + pending)
        for name, one in self.board.upstreams.by_id.items():
            one.theirs, one.their_pending_tokens = totals.get(name, (0, 0))
