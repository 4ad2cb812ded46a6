"""Stores conversations' turns, so that any instance can continue them.

A turn's input is appended while the upstream works on it, batched with the
other inputs of this instance.  When the turn ends, a small record with its
output is appended before the end of the response is sent to the caller.
Its place is noted in an index, which finds a whole conversation in one look.
"""

import asyncio
import collections.abc
import math
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turn_index_log
from oleanderdrift.gateway import turn_search
from oleanderdrift.gateway import turns
from oleanderdrift import logs

# Space reserved in a record for everything but its data.
RECORD_MARGIN_BYTES: typing.Final = 1_024
# The store takes some MiB in one call, and the turns of a batch wait for all
# of it.  A single input may have more.
BATCH_BYTES: typing.Final = 524_288
# Callers build no chain of turns this long; a longer one is taken to be a
# loop and cut off here.
MAX_CHAIN: typing.Final = 1_000
# Framing of the store's read response: for each record, and for all.
LENGTH_BYTES: typing.Final = 4
OFFSETS_BYTES: typing.Final = 16
# Pauses before a read of a known place is tried again.
READ_RETRY_DELAYS_S: typing.Final = (0.1, 0.2, 0.4, 0.8)
MS_PER_S: typing.Final = 1_000.0


@attrs.define(kw_only=True)
class _PendingInput:
    """The chunks of an input that is waiting to be appended."""

    chunks: list[bytes]
    location: asyncio.Future[records.InputLocation]

    def size(self) -> int:
        """Returns its length in bytes."""
        return sum(map(len, self.chunks))


class TurnLog:
    """The turns of all conversations, read from and written to the store.

    index and search find turns there.  loads and fetches are the reads of
    conversations and single turns, which go on if their callers leave, and
    loading the turns that conversations are read from.
    input_partitions are the two that this instance appends inputs to.
    """

    def __init__(
        self,
        log: retrying_log.RetryingLog,
        instance: str,
        link_mbps: float = math.inf,
    ) -> None:
        self.log = log
        self.share = link_share.LinkShare(link_mbps)
        self.events = event_log.EventLog()
        self.cache = turns.TurnCache()
        self.index = turn_index_log.TurnIndexLog(log, self.events)
        self.search = turn_search.TurnSearch(log, self.share, self.events)
        self.loads: shared_work.SharedTasks[list[turns.Turn]] = (
            shared_work.SharedTasks()
        )
        self.loading: set[str] = set()
        # Those wait for their share of the link, however many there are.
        self.fetches: shared_work.SharedTasks[turns.Turn | None] = (
            shared_work.SharedTasks(math.inf)
        )
        self.input_partitions = routing.two_partitions(
            instance, log.partitions
        )
        self.pending_inputs: list[_PendingInput] = []
        self.appender: asyncio.Task[None] | None = None

    async def append_input(self, data: bytes) -> records.InputLocation:
        """Appends a turn's input, batched with other pending inputs."""
        max_chunk = self.log.record_bytes - RECORD_MARGIN_BYTES
        chunks = [
            data[at : at + max_chunk] for at in range(0, len(data), max_chunk)
        ] or [b'']
        loop = asyncio.get_running_loop()
        one = _PendingInput(chunks=chunks, location=loop.create_future())
        self.pending_inputs.append(one)
        if self.appender is None or self.appender.done():
            # A separate task, so that a caller that disconnects does not
            # cancel the append of other callers' inputs.
            self.appender = asyncio.create_task(self.append_pending_inputs())
        return await one.location

    async def append_pending_inputs(self) -> None:
        """Appends inputs in batches until none is pending."""
        while self.pending_inputs:
            batch = self.take_batch()
            chunks = [chunk for one in batch for chunk in one.chunks]
            try:
                partition, start = await self.log.append_with_failover(
                    records.INPUT_TOPIC, self.input_partitions, chunks
                )
            except errors.ResultError as error:
                _fail_all(batch, error)
                continue
            except Exception as error:
                # The inputs that came meanwhile are still to be appended.
                logs.warning('inputs-not-appended', reason=repr(error))
                _fail_all(
                    batch,
                    errors.ResultError(codes.LOG_UNAVAILABLE, repr(error)),
                )
                continue
            for one in batch:
                location = records.InputLocation(
                    part=partition,
                    offset=start,
                    count=len(one.chunks),
                    size=one.size(),
                )
                start += len(one.chunks)
                if not one.location.done():
                    one.location.set_result(location)

    def take_batch(self) -> list[_PendingInput]:
        """Takes the oldest pending inputs that make one call."""
        size = count = 0
        for one in self.pending_inputs:
            size += one.size()
            if count and size > BATCH_BYTES:
                break
            count += 1
        batch = self.pending_inputs[:count]
        self.pending_inputs = self.pending_inputs[count:]
        return batch

    async def store_turn(
        self,
        turn: turns.Turn,
        location: records.InputLocation,
        earlier: tuple[records.StoredTurn, ...] = (),
    ) -> None:
        """Stores a completed turn; raises ResultError if that fails.

        earlier says where the turns just before it are stored.
        """
        record = records.TurnEnd(
            turn=turn.turn_id,
            previous=turn.previous,
            account=turn.account,
            input=location,
            output=turn.output,
            ended_ms=turn.ended_ms,
        )
        data = records.encode(record)
        if len(data) > self.log.record_bytes:
            raise errors.ResultError(
                codes.BODY_TOO_LARGE, 'the output exceeds the record size'
            )
        partition, offset = await self.log.append_with_failover(
            records.TURN_TOPIC, self.partitions_of(turn.turn_id), [data]
        )
        stored = records.StoredTurn(
            turn=turn.turn_id,
            part=partition,
            offset=offset,
            size=len(data),
            input=location,
        )
        self.cache.put(attrs.evolve(turn, stored=stored))
        self.index.note(turns.entry_of(turn, stored, earlier))

    def partitions_of(self, turn: str) -> tuple[int, int]:
        """Returns the partitions that may hold a turn's record.

        The second one is used while the first one fails.
        """
        return routing.two_partitions(turn, self.log.partitions)

    async def chain(self, last: str, account: str) -> list[turns.Turn]:
        """Returns a turn and all turns before it, oldest first.

        Raises ResultError UNKNOWN_TURN if the account has no such turn,
        BAD_REQUEST if the conversation is too long, and the store's
        ResultError if that cannot be determined.
        """
        found: list[turns.Turn] = []
        name: str | None = last
        while name is not None:
            for turn in await self.latest_turns(name, account):
                if len(found) >= MAX_CHAIN:
                    raise errors.ResultError(
                        codes.BAD_REQUEST,
                        f'the conversation has more than {MAX_CHAIN} turns',
                    )
                _check_account(turn.turn_id, turn.account, account)
                found.append(turn)
                name = turn.previous
        return found[::-1]

    async def latest_turns(self, name: str, account: str) -> list[turns.Turn]:
        """Returns a turn, and some of those before it, the latest first."""
        cached = self.cache.get(name)
        if cached is not None:
            return [cached]
        return await self.loads.get(
            (name, account), lambda: self.load(name, account)
        )

    async def load(self, name: str, account: str) -> list[turns.Turn]:
        """Reads a turn and those listed with it from the store.

        Raises ResultError UNKNOWN_TURN if the account has no such turn.
        """
        begun = clock.monotonic()
        self.loading.add(name)
        try:
            loaded = await self.load_by_index(name, account)
            if loaded is None:
                loaded = await self.load_by_search(name, account)
        finally:
            self.loading.discard(name)
        self.events.info(
            'turns-loaded',
            turn=name,
            turns=len(loaded),
            size=sum(len(one.input) + len(one.output) for one in loaded),
            ms=round((clock.monotonic() - begun) * MS_PER_S),
        )
        return loaded

    async def load_by_index(
        self, name: str, account: str
    ) -> list[turns.Turn] | None:
        """Reads a turn that the index leads to, None if it does not."""
        try:
            entry = await self.index.find(name)
        except errors.ResultError as error:
            self.events.info('index-unread', turn=name, detail=error.detail)
            return None
        if entry is None:
            return None
        return await self.fetch_listed(entry, account)

    async def load_by_search(
        self, name: str, account: str
    ) -> list[turns.Turn]:
        """Reads a turn that the index does not lead to."""
        entry = await self.search.find(name)
        if entry is None:
            raise errors.ResultError(
                codes.UNKNOWN_TURN, f'there is no record of turn {name}'
            )
        loaded = await self.fetch_listed(entry, account)
        if loaded is None:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'turn {name} is not at its place'
            )
        return loaded

    async def fetch_listed(
        self, entry: records.IndexedTurn, account: str
    ) -> list[turns.Turn] | None:
        """Reads the turns of an entry, the latest first.

        Returns None if they are not where it says.
        """
        _check_account(entry.turns[-1].turn, entry.account, account)
        fetched = await asyncio.gather(
            *(self.fetch(stored) for stored in reversed(entry.turns))
        )
        loaded = [turn for turn in fetched if turn is not None]
        if len(loaded) < len(fetched):
            self.events.info('turn-misplaced', turn=entry.turns[-1].turn)
            return None
        return turns.connected(loaded)

    async def fetch(self, stored: records.StoredTurn) -> turns.Turn | None:
        """Returns a turn from the cache or from its place in the store.

        Returns None if it is not there.
        """
        cached = self.cache.get(stored.turn)
        if cached is not None:
            return cached
        return await self.fetches.get(stored, lambda: self.read_turn(stored))

    async def read_turn(self, stored: records.StoredTurn) -> turns.Turn | None:
        """Reads a turn from its place in the store into the cache.

        Returns None if another record is there, or none.
        """
        place = stored.input
        found, pieces = await asyncio.gather(
            self.read_exactly(
                records.TURN_TOPIC, stored.part, stored.offset, 1, stored.size
            ),
            self.read_exactly(
                records.INPUT_TOPIC,
                place.part,
                place.offset,
                place.count,
                place.size,
            ),
        )
        if not found or not pieces:
            return None
        record = records.decode_turn(found[0])
        if record is None or record.turn != stored.turn:
            return None
        turn = turns.Turn(
            turn_id=record.turn,
            previous=record.previous,
            account=record.account,
            input=b''.join(pieces),
            output=record.output,
            ended_ms=record.ended_ms,
            stored=stored,
        )
        self.cache.put(turn)
        return turn

    async def read_exactly(
        self, topic: str, partition: int, offset: int, count: int, size: int
    ) -> tuple[bytes, ...]:
        """Returns records of a known place, count of them with size bytes.

        Returns none if the store does not have them all there.  Raises its
        ResultError if several reads fail: this work outlasts its callers,
        and nothing else leads to the records.
        """
        max_bytes = size + count * LENGTH_BYTES + OFFSETS_BYTES
        for delay_s in READ_RETRY_DELAYS_S:
            try:
                return await self.read_place(
                    topic, partition, offset, count, max_bytes
                )
            except errors.ResultError:
                await asyncio.sleep(delay_s)
        return await self.read_place(
            topic, partition, offset, count, max_bytes
        )

    async def read_place(
        self,
        topic: str,
        partition: int,
        offset: int,
        count: int,
        max_bytes: int,
    ) -> tuple[bytes, ...]:
        """Reads as read_exactly does, once."""
        async with self.share.take(max_bytes):
            read = await self.log.read(
                topic, partition, offset, max_bytes=max_bytes
            )
        if read.trimmed or len(read.records) < count:
            return ()
        return read.records[:count]

    def describe(self, name: str) -> str:
        """Describes what is known of a turn, for error messages."""
        if self.search.is_searching(name):
            left = self.search.left(name)
            return f'turn {name} is not in the index, {left} records left'
        if name in self.loading:
            return f'turn {name} is being read'
        return f'an earlier turn of {name} is being read'

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time from the indexes."""
        self.index.forget(before_ms)
        self.search.forget(before_ms)


def _check_account(turn: str, owner: str, account: str) -> None:
    """Raises ResultError UNKNOWN_TURN if a turn is another account's."""
    if owner != account:
        raise errors.ResultError(
            codes.UNKNOWN_TURN,
            f'turn {turn} is one of {owner}, not of {account}',
        )


def _fail_all(
    batch: collections.abc.Iterable[_PendingInput], error: errors.ResultError
) -> None:
    """Fails all inputs of a batch."""
    for one in batch:
        if not one.location.done():
            one.location.set_exception(error)
