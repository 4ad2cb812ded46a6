"""The index of ended turns in the store: which records a turn needs.

An entry is a few bytes for each turn of a conversation, in one of many small
partitions, so that finding a turn costs the same however many turns others
have stored and however long their outputs are.  It is written once the turn
itself is stored.  The end of an answer waits for it for a short time: those
who lose power together continue their latest turns.  Until it is there, and
for turns of builds that write none, `turn_search` finds the turn.
"""

import asyncio
import collections
import math
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turns

# One read; a partition hardly ever has more.
READ_BYTES: typing.Final = 65_536
# Of the limit, what one partition may take.
PARTITION_SHARE: typing.Final = 0.25
# How soon entries that could not be written are tried again; the delay doubles
# with each failure, as all instances do so in an outage of the store.
RETRY_DELAY_S: typing.Final = 0.3
MAX_RETRY_DELAY_S: typing.Final = 4.8
# Some times what an append takes.
MAX_WAIT_S: typing.Final = 0.05
# The turns of some minutes at a busy instance; later ones are left out.
MAX_PENDING: typing.Final = 4_096

# A topic of the index, and the two partitions that may have a turn's entry.
Slot: typing.TypeAlias = tuple[str, tuple[int, int]]
# A topic of the index and one of its partitions.
Partition: typing.TypeAlias = tuple[str, int]


class TurnIndexLog:
    """The index as one instance reads and writes it.

    indexes and reads are those of the partitions that it has looked at, the
    latest last.  limit is how many bytes the indexes take together.
    pending holds the entries to write, and writers the tasks that do it.
    unwritten counts those and the ones that are being written.
    """

    def __init__(
        self,
        log: retrying_log.RetryingLog,
        events: event_log.EventLog,
        limit: int = turns.INDEX_BYTES,
    ) -> None:
        self.log = log
        self.events = events
        self.limit = limit
        self.indexes: collections.OrderedDict[Partition, turns.TurnIndex] = (
            collections.OrderedDict()
        )
        self.reads: dict[
            Partition, shared_work.SharedRead[turns.TurnIndex]
        ] = {}
        self.unwritten = 0
        self.pending: dict[Slot, list[records.IndexedTurn]] = {}
        self.writers: shared_work.SharedTasks[None] = shared_work.SharedTasks(
            math.inf
        )

    def slot_of(self, name: str) -> Slot:
        """Returns where a turn's entry is; the second part is a spare."""
        number = routing.hash_of(f'index of {name}')
        topics = records.TURN_INDEX_TOPICS
        topic = topics[number % len(topics)]
        return topic, routing.two_partitions(name, self.log.partitions)

    async def put(self, entry: records.IndexedTurn) -> None:
        """Has an entry written; returns then, or after MAX_WAIT_S."""
        writer = self.note(entry)
        if writer is not None:
            await asyncio.wait([writer], timeout=MAX_WAIT_S)

    def note(self, entry: records.IndexedTurn) -> asyncio.Task[None] | None:
        """Has an entry written by the task that it returns.

        Returns None if too many are waiting; the entry is left out then.
        """
        if self.unwritten >= MAX_PENDING:
            self.events.info('turn-not-indexed', turn=entry.turns[-1].turn)
            return None
        self.unwritten += 1
        slot = self.slot_of(entry.turns[-1].turn)
        self.pending.setdefault(slot, []).append(entry)
        return self.writers.ensure(slot, lambda: self.write(slot))

    async def write(self, slot: Slot) -> None:
        """Writes the pending entries of a slot until there are none."""
        topic, partitions = slot
        delay_s = RETRY_DELAY_S
        while entries := self.pending.pop(slot, []):
            data = [records.encode(entry) for entry in entries]
            try:
                await self.log.append_with_failover(topic, partitions, data)
            except errors.ResultError as error:
                self.events.info(
                    'turns-not-indexed-yet',
                    topic=topic,
                    count=len(entries),
                    detail=error.detail,
                )
                newer = self.pending.get(slot, [])
                self.pending[slot] = entries + newer
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            else:
                self.unwritten -= len(entries)
                delay_s = RETRY_DELAY_S

    async def flush(self) -> None:
        """Waits until no entry is left to write."""
        while self.writers.running:
            await asyncio.wait(self.writers.running.values())

    async def find(self, name: str) -> records.IndexedTurn | None:
        """Returns a turn's entry, None if the index has none.

        Raises the store's ResultError if that cannot be determined.
        """
        topic, partitions = self.slot_of(name)
        failed: errors.ResultError | None = None
        for partition in self.log.healthy_first(topic, partitions):
            key = (topic, partition)
            known = self.indexes.get(key)
            entry = known.find(name) if known is not None else None
            if entry is not None:
                return entry
            try:
                index = await self.reader(key).get()
            except errors.ResultError as error:
                failed = error
                continue
            entry = index.find(name)
            if entry is not None:
                return entry
        if failed is not None:
            raise failed
        return None

    def reader(
        self, key: Partition
    ) -> shared_work.SharedRead[turns.TurnIndex]:
        """Returns the shared read of a partition."""
        if key not in self.reads:
            self.reads[key] = shared_work.SharedRead(
                lambda: self.read_to_end(key)
            )
        return self.reads[key]

    async def read_to_end(self, key: Partition) -> turns.TurnIndex:
        """Reads what a partition has got since the last read.

        Of a partition over its share of the limit, the latest entries stay.
        Raises ResultError if it was dropped meanwhile.
        """
        topic, partition = key
        index = self.indexes.setdefault(key, turns.TurnIndex())
        while True:
            read = await self.log.read(
                topic, partition, index.end, max_bytes=READ_BYTES
            )
            if self.indexes.get(key) is not index:
                raise errors.ResultError(
                    codes.LOG_UNAVAILABLE,
                    f'partition {partition} of {topic} has no room',
                )
            if read.trimmed:
                index.end = read.first
                continue
            for data in read.records:
                entry = records.decode_indexed_turn(data)
                if entry is not None:
                    index.add(entry)
            index.end = read.start + len(read.records)
            self.make_room(key)
            if index.end >= read.end:
                return index

    def make_room(self, latest: Partition) -> None:
        """Drops what was not read for longest, until all keep to the limit."""
        self.indexes.move_to_end(latest)
        self.indexes[latest].keep(int(self.limit * PARTITION_SHARE))
        held = sum(one.size for one in self.indexes.values())
        while held > self.limit:
            _, dropped = self.indexes.popitem(last=False)
            held -= dropped.size
            # A read that is under way refers to it.
            dropped.keep(0)

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time."""
        for index in self.indexes.values():
            index.forget(before_ms)
