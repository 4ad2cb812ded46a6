"""Finds turns that the index has no entry for, the latest first.

Those are turns that have just ended, whose entry is on its way or could not be
written, and turns of builds that write no index.  Their partitions are read
from the end backwards, in pages, by tasks that outlast their callers.
"""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turns

# A page takes a slow link for some 50 ms; other answers wait behind it.
PAGE_BYTES: typing.Final = 65_536
# The smallest read: it shows where a partition ends.
PEEK_BYTES: typing.Final = 1_024
# Until a page has shown how large the latest records are.
FIRST_PAGE_RECORDS: typing.Final = 4
SMOOTHING: typing.Final = 0.2
MS_PER_S: typing.Final = 1_000.0


@attrs.define(kw_only=True)
class UnreadRecords:
    """The offsets of a partition that have not been read yet.

    spans are those from a start to an end, the latest last.  end is the
    offset up to which they are known, None before the first read.
    page_records is how many are read at once.
    """

    spans: list[tuple[int, int]] = attrs.field(factory=list)
    end: int | None = None
    page_records: int = FIRST_PAGE_RECORDS

    def note_end(self, first: int, end: int) -> None:
        """Adds the records that have come, from the first still there on."""
        start = first if self.end is None else max(first, self.end)
        if start < end:
            self.spans.append((start, end))
        self.end = end

    def next_page(self) -> int | None:
        """Returns the offset of the latest page, None if all are read."""
        if not self.spans:
            return None
        start, end = self.spans[-1]
        return max(start, end - self.page_records)

    def note_read(self, offset: int, until: int) -> None:
        """Removes the records from an offset until another one."""
        spans = []
        for start, end in self.spans:
            spans += [
                (start, min(end, offset)),
                (max(start, until), end),
            ]
        self.spans = [(start, end) for start, end in spans if start < end]

    def note_size(self, record_bytes: float) -> None:
        """Fits the next page to the average size of some records."""
        self.page_records = max(1, int(PAGE_BYTES / max(record_bytes, 1.0)))

    def count(self) -> int:
        """Returns how many records have not been read yet."""
        return sum(end - start for start, end in self.spans)


class SearchedPartition:
    """What is known of one partition.

    newer is the read of what has come, shared by all that wait for it.
    is_full says that no more of it is read.
    """

    def __init__(
        self,
        number: int,
        peek: collections.abc.Callable[
            ['SearchedPartition'], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self.number = number
        self.newer = shared_work.SharedRead(lambda: peek(self))
        self.is_full = False
        self.index = turns.TurnIndex()
        self.unread = UnreadRecords()
        self.lock = asyncio.Lock()


class TurnSearch:
    """Searches the partitions of ended turns.

    record_s is a moving average of the time that reading a record takes.
    searched holds the turns that are being looked for.  limit is how many
    bytes all indexes take together: a search that would need more is given
    up, and the next one begins at the latest turn again.
    """

    def __init__(
        self,
        log: retrying_log.RetryingLog,
        share: link_share.LinkShare,
        events: event_log.EventLog,
        limit: int = turns.INDEX_BYTES,
    ) -> None:
        self.log = log
        self.share = share
        self.events = events
        self.limit = limit
        self.partitions = [
            SearchedPartition(number, self.peek)
            for number in range(log.partitions)
        ]
        self.record_s = 0.0
        self.searched: set[str] = set()

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
        """Reads a turn's partitions, a page of each in turn."""
        partitions = self.partitions_of(name)
        failed: errors.ResultError | None = None
        is_peeked = False
        while partitions:
            left = []
            for partition in partitions:
                try:
                    if not is_peeked:
                        self.check(partition)
                        await partition.newer.get()
                        left.append(partition)
                    elif await self.read_older(partition, name):
                        left.append(partition)
                except errors.ResultError as error:
                    failed = error
                entry = partition.index.find(name)
                if entry is not None:
                    return entry
            partitions, is_peeked = left, True
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

    def check(self, partition: SearchedPartition) -> None:
        """Raises ResultError if a partition is failing, or is full."""
        if partition.is_full:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE,
                f'partition {partition.number} of turns is too long to search',
            )
        if self.log.is_open(records.TURN_TOPIC, partition.number):
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE,
                f'partition {partition.number} of turns is failing',
            )

    def is_searching(self, name: str) -> bool:
        """Returns whether a turn is being looked for."""
        return name in self.searched

    def left(self, name: str) -> int:
        """Returns how many records may be read until a turn is found."""
        return sum(one.unread.count() for one in self.partitions_of(name))

    def remaining_s(self, name: str) -> float:
        """Estimates how long the search for a turn takes yet."""
        if not self.is_searching(name):
            return 0.0
        return self.left(name) * self.record_s

    async def peek(self, partition: SearchedPartition) -> None:
        """Finds out where a partition ends, and reads what fits beside."""
        start = partition.unread.end or 0
        read = await self.read_page(partition, start, PEEK_BYTES)
        if read.trimmed:
            start = read.first
            read = await self.read_page(partition, start, PEEK_BYTES)
        partition.unread.note_end(start, read.end)
        partition.unread.note_read(0, read.first)
        partition.unread.note_read(start, start + len(read.records))

    async def read_older(
        self, partition: SearchedPartition, name: str
    ) -> bool:
        """Reads the latest page, unless others have found a turn meanwhile.

        Returns whether there may be more to read.
        """
        async with partition.lock:
            if name in partition.index.entries:
                return False
            start = partition.unread.next_page()
            if start is None:
                return False
            self.check(partition)
            read = await self.read_page(partition, start, PAGE_BYTES)
        partition.unread.note_read(0, read.first)
        partition.unread.note_read(start, start + len(read.records))
        size = sum(map(len, read.records))
        if read.records:
            partition.unread.note_size(size / len(read.records))
        return True

    async def read_page(
        self, partition: SearchedPartition, start: int, max_bytes: int
    ) -> ports.LogRecords:
        """Reads records from an offset on into the partition's index."""
        async with self.share.take(max_bytes):
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
        self.make_room()
        if read.records:
            each_s = took_s / len(read.records)
            self.record_s += SMOOTHING * (each_s - self.record_s)
        self.events.info(
            'turns-searched',
            partition=partition.number,
            start=read.start,
            records=len(read.records),
            size=sum(map(len, read.records)),
            first=read.first,
            end=read.end,
            ms=round(took_s * MS_PER_S),
        )
        return read

    def make_room(self) -> None:
        """Drops what was read of the longest partitions, over the limit.

        Searches that are under way there are given up.
        """
        left = self.limit - sum(one.index.size for one in self.partitions)
        while left < 0:
            longest = max(self.partitions, key=lambda one: one.index.size)
            left += longest.index.size
            longest.is_full = True
            # What has given up may refer to it for a while.
            longest.index.keep_only(self.searched)
            self.partitions[longest.number] = SearchedPartition(
                longest.number, self.peek
            )
            self.events.info('turns-search-ended', partition=longest.number)

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time."""
        for partition in self.partitions:
            partition.index.forget(before_ms)
