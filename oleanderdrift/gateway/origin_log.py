"""Keeps the origins of streams in the store; see `stream_origins`."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import stream_origins
from oleanderdrift.gateway import write_pace

# How often the instance of a small fleet records streams.
MIN_INTERVAL_S: typing.Final = 0.02
# Of the writes that the store takes, what all instances together may use.
WRITE_SHARE: typing.Final = 0.2
# The origins in service also change with the configuration.
REVIEW_INTERVAL_S: typing.Final = 1.0
# Streams are recorded in these partitions of their topic.  All are read to
# find one, so they are as few as leave one when the other fails.
PARTITIONS: typing.Final = (0, 1)
# A page takes a slow link for some 50 ms; other answers wait behind it.
PAGE_BYTES: typing.Final = 65_536
# The smallest read: it shows where a partition ends.
PEEK_BYTES: typing.Final = 1_024
# Streams in one record, so that it stays far below the store's limit.
MAX_RECORD_STREAMS: typing.Final = 100
# The streams of a large fleet while they can be continued.
MAX_READ_STREAMS: typing.Final = 200_000
# Names of any length have keys of one length, within the store's limit.
KEY_FORMAT: typing.Final = '016x'

Origin: typing.TypeAlias = stream_origins.Origin
StreamKey: typing.TypeAlias = stream_origins.StreamKey


@attrs.frozen(kw_only=True)
class OriginList:
    """The origins that the store lists; end changes with each write."""

    origins: frozenset[Origin]
    end: int


class OriginLog:
    """The origins in the store, as one instance reads and writes them.

    found holds the origins of streams that were read, the latest last, and
    ends the offsets up to which the partitions were read.  reviewed_at is
    when the origins in service were compared with those listed, and
    reviewed_upstreams how many upstreams had started by then.  begun is set
    while streams wait to be recorded.
    """

    def __init__(
        self,
        board: board_lib.Board,
        log: ports.Log,
        appends: retrying_log.RetryingLog,
        share: link_share.LinkShare,
        events: event_log.EventLog,
    ) -> None:
        self.board = board
        self.origins = board.origins
        self.log = log
        self.appends = appends
        self.share = share
        self.events = events
        self.found: collections.OrderedDict[StreamKey, Origin] = (
            collections.OrderedDict()
        )
        self.ends: dict[int, int] = {}
        self.begun = asyncio.Event()
        self.pace = write_pace.WritePace()
        self.reviewed_upstreams = 0
        self.reviewed_at = float('-inf')
        self.list_reads = shared_work.SharedRead(self.read_list)
        self.stream_reads = shared_work.SharedRead(self.read_streams)

    async def follow(self) -> None:
        """Lists and records what is new until cancelled."""
        while True:
            try:
                await self.update(clock.boot())
            except errors.ResultError as error:
                self.events.info('origins-unwritten', detail=error.detail)
            await self.wait_for_work()

    async def wait_for_work(self) -> None:
        """Waits until a stream may be recorded, or origins reviewed.

        A stream is recorded as soon as its first event has come: its caller
        may continue it elsewhere if this instance is lost the moment after.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.interval_s()):
                await self.begun.wait()
        self.begun.clear()
        now = clock.boot()
        await asyncio.sleep(self.pace.wait_s(self.interval_s(), now))

    def note_begun(self, request_id: str, origin: Origin) -> None:
        """Notes that the first event of a stream has come."""
        self.origins.note_begun(request_id, origin, clock.boot())
        if self.origins.is_recording():
            self.begun.set()

    def interval_s(self) -> float:
        """Returns the average time between two records of this instance."""
        return max(
            MIN_INTERVAL_S, self.board.instances / self.fleet_writes_per_s()
        )

    def fleet_writes_per_s(self) -> float:
        """Returns how often all instances together may record streams."""
        return WRITE_SHARE * self.board.settings.store_writes_per_s

    def max_read_records(self) -> int:
        """Returns the records written while streams can be continued."""
        writes = self.fleet_writes_per_s() * self.origins.retention_s
        return math.ceil(writes)

    async def update(self, now: float) -> None:
        """Lists new origins and records new streams.

        Raises ResultError if the store does not confirm it.
        """
        if not self.origins.listed:
            self.origins.note_loaded((await self.list_reads.get()).origins)
        try:
            if self.is_review_due(now):
                await self.review(now)
        finally:
            # Other partitions of the store may have failed than these.
            await self.record_streams(now)

    def is_review_due(self, now: float) -> bool:
        """Returns whether the origins in service may have changed."""
        return (
            self.board.upstreams.added != self.reviewed_upstreams
            or now - self.reviewed_at >= REVIEW_INTERVAL_S
        )

    async def review(self, now: float) -> None:
        """Lists origins that came into service, and drops unused ones."""
        added = self.board.upstreams.added
        for origin in self.origins.note_in_service(self.in_service(), now):
            await self.list_origin(origin, now)
        for origin in self.origins.unused(now):
            await self.unlist_origin(origin)
        self.reviewed_upstreams, self.reviewed_at = added, now

    def in_service(self) -> set[Origin]:
        """Returns the origins at which streams can begin."""
        return stream_origins.in_service(
            self.board.config, self.board.upstreams
        )

    async def list_origin(self, origin: Origin, now: float) -> None:
        """Lists an origin; streams may begin there once it is confirmed."""
        value = records.encode_origin(origin.service, origin.version)
        await self.log.put(records.ORIGIN_TOPIC, _key(origin), value)
        self.origins.note_listed([origin], now)
        self.events.info(
            'origin-listed',
            service=origin.service,
            software=origin.version,
            listed=len(self.origins.listed),
        )

    async def unlist_origin(self, origin: Origin) -> None:
        """Removes an origin from the list, if nobody has written to it.

        An instance that sees the origin in service again lists it again,
        and its write must not come before a removal that was on its way.
        """
        found = await self.list_reads.get()
        if origin in found.origins and not await self.log.remove(
            records.ORIGIN_TOPIC, _key(origin), found.end
        ):
            return
        self.origins.unlist(origin)
        self.events.info(
            'origin-unlisted',
            service=origin.service,
            software=origin.version,
        )

    async def record_streams(self, now: float) -> None:
        """Appends the origins of streams, where they are needed."""
        taken = self.origins.take_unrecorded(now)
        if not taken:
            return
        self.pace.note_write(self.interval_s(), now)
        data = [records.encode(one) for one in _to_records(taken)]
        own = routing.hash_of(self.board.settings.instance)
        first = PARTITIONS[own % len(PARTITIONS)]
        ordered = self.appends.healthy_first(
            records.STREAM_TOPIC,
            (first, *(one for one in PARTITIONS if one != first)),
        )
        failure: errors.ResultError | None = None
        for partition in ordered:
            try:
                await self.appends.append(
                    records.STREAM_TOPIC, partition, data
                )
                return
            except errors.ResultError as error:
                failure = error
        self.origins.put_back(taken)
        if failure is not None:
            raise failure

    async def read_list(self) -> OriginList:
        """Returns the origins that the store lists."""
        found = await self.log.newest(records.ORIGIN_TOPIC)
        decoded = (
            records.decode_origin(record.value or b'')
            for record in found.records
        )
        origins = frozenset(
            Origin(service=one.service, version=one.version)
            for one in decoded
            if one is not None
        )
        return OriginList(origins=origins, end=found.end)

    async def read_streams(self) -> None:
        """Reads what instances have recorded since the last read.

        Raises ResultError if no partition could be read.
        """
        results = await asyncio.gather(
            *(self.read_partition(one) for one in PARTITIONS),
            return_exceptions=True,
        )
        failures = [one for one in results if isinstance(one, BaseException)]
        if len(failures) == len(PARTITIONS):
            raise failures[0]

    async def read_partition(self, partition: int) -> None:
        """Reads the rest of one partition."""
        if partition not in self.ends:
            read = await self.read_page(partition, 0, PEEK_BYTES)
            if read.trimmed:
                read = await self.read_page(partition, read.first, PEEK_BYTES)
            self.ends[partition] = max(
                read.first, read.end - self.max_read_records()
            )
        while True:
            read = await self.read_page(partition, self.ends[partition])
            if read.trimmed:
                self.ends[partition] = read.first
                continue
            self.apply(read.records)
            self.ends[partition] = read.start + len(read.records)
            if self.ends[partition] >= read.end or not read.records:
                return

    async def read_page(
        self, partition: int, start: int, max_bytes: int = PAGE_BYTES
    ) -> ports.LogRecords:
        """Reads records from an offset on."""
        async with self.share.take(max_bytes):
            return await self.appends.read(
                records.STREAM_TOPIC, partition, start, max_bytes=max_bytes
            )

    def apply(self, found: collections.abc.Iterable[bytes]) -> None:
        """Applies records of streams; skips what cannot be decoded."""
        for data in found:
            record = records.decode_streams(data)
            if record is None:
                continue
            origin = Origin(service=record.service, version=record.version)
            for stream in record.streams:
                self.found[stream] = origin
                self.found.move_to_end(stream)
        while len(self.found) > MAX_READ_STREAMS:
            self.found.popitem(last=False)

    async def find(self, request_id: str | None) -> Origin | None:
        """Returns the origin of a stream, None if it is not known.

        request_id is that of the request that began it.  Raises ResultError
        if the store does not answer.
        """
        stream = stream_origins.stream_key(request_id or '')
        known = self.origins.origin_of_begun(stream) or self.found.get(stream)
        if known is not None:
            return known
        listed = (await self.list_reads.get()).origins
        if len(listed) == 1:
            return next(iter(listed))
        if not listed or not request_id:
            return None
        await self.stream_reads.get()
        if stream not in self.found:
            # Its record may be on its way.
            await asyncio.sleep(2 * self.interval_s())
            await self.stream_reads.get()
        return self.found.get(stream)


def _key(origin: Origin) -> str:
    """Returns the key under which an origin is listed."""
    name = f'{origin.service}\n{origin.version}'
    return format(routing.hash_of(name), KEY_FORMAT)


def _to_records(
    origins: dict[StreamKey, Origin],
) -> list[records.StreamsBegun]:
    """Groups streams by their origins."""
    by_origin = collections.defaultdict(list)
    for stream, origin in origins.items():
        by_origin[origin].append(stream)
    return [
        records.StreamsBegun(
            service=origin.service,
            version=origin.version,
            streams=streams[at : at + MAX_RECORD_STREAMS],
        )
        for origin, streams in by_origin.items()
        for at in range(0, len(streams), MAX_RECORD_STREAMS)
    ]
