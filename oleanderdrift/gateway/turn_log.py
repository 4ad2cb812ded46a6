"""Stores conversations' turns, so that any instance can continue them.

A turn's input is appended while the upstream works on it, batched with the
other inputs of this instance.  When the turn ends, a small record with its
output is appended before the end of the response is sent to the caller.
"""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import turns
from oleanderdrift import logs

READ_BYTES: typing.Final = 1_048_576
MS_PER_S: typing.Final = 1_000.0
# Space reserved in a record for everything but its data.
RECORD_MARGIN_BYTES: typing.Final = 1_024
# Callers build no chain of turns this long; a longer one is taken to be a
# loop and cut off here.
MAX_CHAIN: typing.Final = 1_000
# Framing of the store's read response: for each record, and for all.
LENGTH_BYTES: typing.Final = 4
OFFSETS_BYTES: typing.Final = 16


@attrs.define(kw_only=True)
class _PendingInput:
    """The chunks of an input that is waiting to be appended."""

    chunks: list[bytes]
    location: asyncio.Future[records.InputLocation]


class TurnLog:
    """The turns of all conversations, read from and written to the store.

    There is one index and one lock for each partition of the turns' topic.
    input_partitions are the two that this instance appends inputs to.
    """

    def __init__(self, log: retrying_log.RetryingLog, instance: str) -> None:
        self.log = log
        self.cache = turns.TurnCache()
        self.indexes = [turns.TurnIndex() for _ in range(log.partitions)]
        self.locks = [asyncio.Lock() for _ in range(log.partitions)]
        self.input_partitions = _two_partitions(instance, log.partitions)
        self.pending_inputs: list[_PendingInput] = []
        self.appender: asyncio.Task[None] | None = None
        self.events = event_log.EventLog()

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
            batch, self.pending_inputs = self.pending_inputs, []
            chunks = [chunk for one in batch for chunk in one.chunks]
            try:
                partition, start = await self.append_with_failover(
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
                    size=sum(len(chunk) for chunk in one.chunks),
                )
                start += len(one.chunks)
                if not one.location.done():
                    one.location.set_result(location)

    async def store_turn(
        self, turn: turns.Turn, location: records.InputLocation
    ) -> None:
        """Stores a completed turn; raises ResultError if that fails."""
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
        partitions = self.partitions_of(turn.turn_id)
        await self.append_with_failover(records.TURN_TOPIC, partitions, [data])
        self.cache.put(turn)

    async def append_with_failover(
        self,
        topic: str,
        partitions: tuple[int, ...],
        data: collections.abc.Sequence[bytes],
    ) -> tuple[int, int]:
        """Appends to the first of several partitions that confirms it.

        Returns the partition and the first record's offset.
        """
        *others, last = self.log.healthy_first(topic, partitions)
        for partition in others:
            try:
                return partition, await self.log.append(topic, partition, data)
            except errors.ResultError as error:
                logs.info(
                    'partition-left-out',
                    topic=topic,
                    partition=partition,
                    code=error.code.number,
                    detail=error.detail,
                )
        return last, await self.log.append(topic, last, data)

    def partitions_of(self, turn: str) -> tuple[int, int]:
        """Returns the partitions that may hold a turn's record.

        The second one is used while the first one fails.
        """
        return _two_partitions(turn, self.log.partitions)

    async def chain(self, last: str, account: str) -> list[turns.Turn]:
        """Returns a turn and all turns before it, oldest first.

        Raises ResultError UNKNOWN_TURN if the account has no such turn,
        BAD_REQUEST if the conversation is too long, and the store's
        ResultError if that cannot be determined.
        """
        found: list[turns.Turn] = []
        name: str | None = last
        while name is not None:
            if len(found) >= MAX_CHAIN:
                raise errors.ResultError(
                    codes.BAD_REQUEST,
                    f'the conversation has more than {MAX_CHAIN} turns',
                )
            turn = self.cache.get(name) or await self.fetch(name)
            if turn.account != account:
                raise errors.ResultError(
                    codes.UNKNOWN_TURN,
                    f'turn {name} is one of {turn.account}, not of {account}',
                )
            found.append(turn)
            name = turn.previous
        return found[::-1]

    async def fetch(self, name: str) -> turns.Turn:
        """Reads a turn from the store into the cache."""
        record = await self.find_record(name)
        location = record.input
        read = await self.log.read(
            records.INPUT_TOPIC,
            location.part,
            location.offset,
            max_bytes=location.size
            + location.count * LENGTH_BYTES
            + OFFSETS_BYTES,
        )
        if read.trimmed or len(read.records) < location.count:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'the input of turn {name} is missing'
            )
        turn = turns.Turn(
            turn_id=name,
            previous=record.previous,
            account=record.account,
            input=b''.join(read.records[: location.count]),
            output=record.output,
            ended_ms=record.ended_ms,
        )
        self.cache.put(turn)
        return turn

    async def find_record(self, name: str) -> records.TurnEnd:
        """Returns a turn's record; raises ResultError UNKNOWN_TURN."""
        partitions = self.partitions_of(name)
        failed: errors.ResultError | None = None
        for partition in self.log.healthy_first(
            records.TURN_TOPIC, partitions
        ):
            try:
                record = await self.find_record_in(partition, name)
            except errors.ResultError as error:
                failed = error
                continue
            if record is not None:
                return record
        raise failed or errors.ResultError(
            codes.UNKNOWN_TURN, f'there is no record of turn {name}'
        )

    async def find_record_in(
        self, partition: int, name: str
    ) -> records.TurnEnd | None:
        """Returns a turn's record if a partition has it, else None."""
        index = self.indexes[partition]
        async with self.locks[partition]:
            if name not in index.ends:
                await self.read_to_end(partition, index)
        return index.ends.get(name)

    async def read_to_end(
        self, partition: int, index: turns.TurnIndex
    ) -> None:
        """Reads a partition's records into its index, up to its end."""
        while True:
            read = await self.read_page(partition, index.end)
            if read.trimmed:
                index.end = read.first
                continue
            index.apply_records(read.start, read.records)
            if index.end >= read.end:
                return

    async def read_page(self, partition: int, start: int) -> ports.LogRecords:
        """Reads ended turns from an offset on, and logs how that went."""
        begun = clock.monotonic()
        outcome = 'cancelled'
        read = None
        try:
            read = await self.log.read(
                records.TURN_TOPIC, partition, start, max_bytes=READ_BYTES
            )
            outcome = 'read'
            return read
        except errors.ResultError as error:
            outcome = f'failed: {error.detail}'
            raise
        finally:
            found = read.records if read is not None else ()
            self.events.info(
                'turns-read',
                partition=partition,
                start=start,
                records=len(found),
                size=sum(map(len, found)),
                end=read.end if read is not None else -1,
                ms=round((clock.monotonic() - begun) * MS_PER_S),
                outcome=outcome,
            )

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time from the indexes."""
        for index in self.indexes:
            index.forget(before_ms)


def _two_partitions(name: str, partitions: int) -> tuple[int, int]:
    """Returns two partitions for a name, distinct if there are several."""
    first = routing.hash_of(name) % partitions
    step = 1 + routing.hash_of(f'{name}+') % max(partitions - 1, 1)
    return first, (first + step) % partitions


def _fail_all(
    batch: collections.abc.Iterable[_PendingInput], error: errors.ResultError
) -> None:
    """Fails all inputs of a batch."""
    for one in batch:
        if not one.location.done():
            one.location.set_exception(error)
