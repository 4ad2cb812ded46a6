"""Finds turns that the index has no entry for, the latest first.

Those are turns that have just ended, whose entry is on its way or could not be
written, and turns of builds that write no index.  Their partitions are read
from the end backwards, in pages, by tasks that outlast their callers.
"""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import turns

# A page takes a slow link for some 50 ms; other answers wait behind it.
PAGE_BYTES: typing.Final = 65_536
# The smallest read: it shows where a partition ends.
PEEK_BYTES: typing.Final = 1_024
# Until a page has shown how large records are.
FIRST_STEP_RECORDS: typing.Final = 16
SMOOTHING: typing.Final = 0.2
MS_PER_S: typing.Final = 1_000.0


@attrs.define(kw_only=True)
class SearchedPartition:
    """How far one partition has been read, from its end backwards.

    All records from start to index.end have been read, and in the step under
    way those from step_start to step_at.  first is the oldest record that the
    store still has.
    """

    number: int
    index: turns.TurnIndex = attrs.field(factory=turns.TurnIndex)
    is_begun: bool = False
    step_records: int = FIRST_STEP_RECORDS
    first: int = 0
    start: int = 0
    step_start: int = 0
    step_at: int = 0
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def begin(self, first: int, end: int) -> None:
        """Begins to read a partition, a step before its end."""
        self.is_begun = True
        self.first = first
        self.start = max(first, end - self.step_records)
        self.index.end = self.step_at = self.start

    def next_older(self) -> int | None:
        """Returns the next offset to read, None if no older ones are left."""
        if self.step_at >= self.start:
            if self.start <= self.first:
                return None
            self.step_start = max(self.first, self.start - self.step_records)
            self.step_at = self.step_start
        return self.step_at

    def note_older(self, first: int, end: int) -> None:
        """Records that the step was read up to an offset."""
        self.first = max(self.first, first)
        self.step_at = max(self.first, end)
        if self.step_at >= self.start:
            self.start = self.step_start

    def note_size(self, record_bytes: float) -> None:
        """Fits the next steps to the average size of some records."""
        self.step_records = max(1, int(PAGE_BYTES / max(record_bytes, 1.0)))

    def left(self) -> int:
        """Returns how many records have not been read yet."""
        return max(self.start - self.first, 0)


class TurnSearch:
    """Searches the partitions of ended turns.

    record_s is a moving average of the time that reading a record takes.
    searched holds the turns that are being looked for.
    """

    def __init__(
        self,
        log: retrying_log.RetryingLog,
        share: link_share.LinkShare,
        events: event_log.EventLog,
    ) -> None:
        self.log = log
        self.share = share
        self.events = events
        self.partitions = [
            SearchedPartition(number=number)
            for number in range(log.partitions)
        ]
        self.record_s = 0.0
        self.searched: set[str] = set()
        # One page at a time, so that other answers of the store get through.
        self.may_read = asyncio.Lock()

    async def find(self, name: str) -> records.IndexedTurn | None:
        """Returns a turn's entry, None if there is no such turn.

        Raises the store's ResultError if that cannot be determined.
        """
        self.searched.add(name)
        try:
            return await self.read_until_found(name)
        finally:
            self.searched.discard(name)

    async def read_until_found(self, name: str) -> records.IndexedTurn | None:
        """Reads a turn's partitions side by side until one has it."""
        partitions = self.partitions_of(name)
        failed: errors.ResultError | None = None
        read = self.read_newer
        while partitions:
            left = []
            for partition in partitions:
                try:
                    if await self.look(partition, name, read):
                        left.append(partition)
                except errors.ResultError as error:
                    failed = error
                entry = partition.index.entries.get(name)
                if entry is not None:
                    return entry
            partitions, read = left, self.read_older
        if failed is not None:
            raise failed
        return None

    def partitions_of(self, name: str) -> list[SearchedPartition]:
        """Returns the partitions that may have a turn's record."""
        numbers = routing.two_partitions(name, self.log.partitions)
        return [
            self.partitions[number]
            for number in self.log.healthy_first(records.TURN_TOPIC, numbers)
        ]

    def is_searching(self, name: str) -> bool:
        """Returns whether a turn is being looked for."""
        return name in self.searched

    def left(self, name: str) -> int:
        """Returns how many records may be read until a turn is found."""
        return sum(one.left() for one in self.partitions_of(name))

    def remaining_s(self, name: str) -> float:
        """Estimates how long the search for a turn takes yet."""
        if not self.is_searching(name):
            return 0.0
        return self.left(name) * self.record_s

    async def look(
        self,
        partition: SearchedPartition,
        name: str,
        read: collections.abc.Callable[
            [SearchedPartition], collections.abc.Awaitable[bool]
        ],
    ) -> bool:
        """Reads on unless others have found the turn meanwhile.

        Returns whether there may be more to read.
        """
        async with partition.lock:
            if name in partition.index.entries:
                return False
            return await read(partition)

    async def read_newer(self, partition: SearchedPartition) -> bool:
        """Reads what a partition has got since the last time.

        Returns whether it has been read; older records may be left.
        """
        if not partition.is_begun:
            peek = await self.read_page(partition, 0, PEEK_BYTES)
            if peek.trimmed:
                peek = await self.read_page(partition, peek.first, PEEK_BYTES)
            partition.begin(peek.first, peek.end)
        while True:
            read = await self.read_page(partition, partition.index.end)
            partition.index.end = read.start + len(read.records)
            if not read.trimmed and partition.index.end >= read.end:
                return True

    async def read_older(self, partition: SearchedPartition) -> bool:
        """Reads one page backwards; returns False if there is none."""
        start = partition.next_older()
        if start is None:
            return False
        read = await self.read_page(partition, start)
        partition.note_older(read.first, read.start + len(read.records))
        return True

    async def read_page(
        self,
        partition: SearchedPartition,
        start: int,
        max_bytes: int = PAGE_BYTES,
    ) -> ports.LogRecords:
        """Reads records from an offset on into the partition's index."""
        async with self.may_read, self.share.take(max_bytes):
            begun = clock.monotonic()
            read = await self.log.read(
                records.TURN_TOPIC,
                partition.number,
                start,
                max_bytes=max_bytes,
            )
            took_s = clock.monotonic() - begun
        for place, data in enumerate(read.records):
            entry = turns.entry_of_record(
                data, partition.number, read.start + place
            )
            if entry is not None:
                partition.index.add(entry)
        size = sum(map(len, read.records))
        if read.records:
            partition.note_size(size / len(read.records))
            each_s = took_s / len(read.records)
            self.record_s += SMOOTHING * (each_s - self.record_s)
        self.events.info(
            'turns-searched',
            partition=partition.number,
            start=read.start,
            records=len(read.records),
            size=size,
            first=read.first,
            end=read.end,
            ms=round(took_s * MS_PER_S),
        )
        return read

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time."""
        for partition in self.partitions:
            partition.index.forget(before_ms)
