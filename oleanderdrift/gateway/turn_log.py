"""Keeps conversations' turns in the store, so that any instance has them.

A turn's input is appended while the upstream works on it, in batches of
this instance.  Its end is one small record with the output, appended
before the caller sees the end of the answer.
"""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import turns
from oleanderdrift import logs

READ_BYTES: typing.Final = 1_048_576
# Room for the fields of a record beside its output.
RECORD_MARGIN_BYTES: typing.Final = 1_024
# Longer chains than callers build are taken for a loop.
MAX_CHAIN: typing.Final = 1_000
LENGTH_BYTES: typing.Final = 4
OFFSETS_BYTES: typing.Final = 16


@attrs.define(kw_only=True)
class _Waiting:
    """Pieces of one input that wait for an append."""

    pieces: list[bytes]
    place: asyncio.Future[records.InputLocation]


class TurnLog:
    """The turns of all conversations, as the store's records tell them."""

    def __init__(self, log: retrying_log.RetryingLog, instance: str) -> None:
        self.log = log
        self.cache = turns.TurnCache()
        self.indexes = [turns.TurnIndex() for _ in range(log.partitions)]
        self.locks = [asyncio.Lock() for _ in range(log.partitions)]
        self.input_partitions = _two_of(instance, log.partitions)
        self.waiting: list[_Waiting] = []
        self.appender: asyncio.Task[None] | None = None

    async def append_input(self, data: bytes) -> records.InputLocation:
        """Appends a turn's input, together with others that wait."""
        step = self.log.record_bytes - RECORD_MARGIN_BYTES
        pieces = [
            data[at : at + step] for at in range(0, len(data), step)
        ] or [b'']
        loop = asyncio.get_running_loop()
        one = _Waiting(pieces=pieces, place=loop.create_future())
        self.waiting.append(one)
        if self.appender is None or self.appender.done():
            # A task of its own: a caller that leaves must not take the
            # others' inputs with it.
            self.appender = asyncio.create_task(self.append_waiting())
        return await one.place

    async def append_waiting(self) -> None:
        """Appends inputs until none waits."""
        while self.waiting:
            batch, self.waiting = self.waiting, []
            pieces = [piece for one in batch for piece in one.pieces]
            try:
                part, start = await self.append_to_one(
                    records.INPUT_TOPIC, self.input_partitions, pieces
                )
            except errors.ResultError as error:
                _fail(batch, error)
                continue
            for one in batch:
                place = records.InputLocation(
                    part=part,
                    offset=start,
                    count=len(one.pieces),
                    size=sum(len(piece) for piece in one.pieces),
                )
                start += len(one.pieces)
                if not one.place.done():
                    one.place.set_result(place)

    async def store_turn(
        self, turn: turns.Turn, place: records.InputLocation, now_ms: int
    ) -> None:
        """Makes an ended turn last; raises ResultError where it cannot."""
        record = records.TurnEnd(
            turn=turn.turn_id,
            previous=turn.previous,
            account=turn.account,
            input=place,
            output=turn.output,
            ended_ms=now_ms,
        )
        data = records.encode(record)
        if len(data) > self.log.record_bytes:
            raise errors.ResultError(
                codes.BODY_TOO_LARGE, 'the output is over a record'
            )
        parts = self.partitions_of(turn.turn_id)
        await self.append_to_one(records.TURN_TOPIC, parts, [data])
        self.cache.put(turn)

    async def append_to_one(
        self,
        topic: str,
        parts: tuple[int, ...],
        data: collections.abc.Sequence[bytes],
    ) -> tuple[int, int]:
        """Appends to the first of some partitions that confirms it.

        Returns the partition and the first record's offset.
        """
        *others, last = self.log.healthy_first(topic, parts)
        for part in others:
            try:
                return part, await self.log.append(topic, part, data)
            except errors.ResultError as error:
                logs.info(
                    'partition-left-out',
                    topic=topic,
                    partition=part,
                    code=error.code.number,
                    detail=error.detail,
                )
        return last, await self.log.append(topic, last, data)

    def partitions_of(self, turn: str) -> tuple[int, int]:
        """Returns the partitions that may hold a turn's end.

        The second one is used while the first one fails.
        """
        return _two_of(turn, self.log.partitions)

    async def chain(self, last: str, account: str) -> list[turns.Turn]:
        """Returns a turn and those before it, the oldest first.

        Raises ResultError UNKNOWN_TURN where the account has no such
        turn, and what the store raises where that cannot be told.
        """
        found: list[turns.Turn] = []
        name: str | None = last
        while name is not None and len(found) < MAX_CHAIN:
            turn = self.cache.get(name) or await self.fetch(name)
            if turn.account != account:
                raise errors.ResultError(codes.UNKNOWN_TURN)
            found.append(turn)
            name = turn.previous
        return found[::-1]

    async def fetch(self, name: str) -> turns.Turn:
        """Returns a turn from the store."""
        record = await self.find_end(name)
        place = record.input
        read = await self.log.read(
            records.INPUT_TOPIC,
            place.part,
            place.offset,
            max_bytes=place.size + place.count * LENGTH_BYTES + OFFSETS_BYTES,
        )
        if read.trimmed or len(read.records) < place.count:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'the input of {name} is not there'
            )
        turn = turns.Turn(
            turn_id=name,
            previous=record.previous,
            account=record.account,
            input=b''.join(read.records[: place.count]),
            output=record.output,
        )
        self.cache.put(turn)
        return turn

    async def find_end(self, name: str) -> records.TurnEnd:
        """Returns a turn's record; raises ResultError UNKNOWN_TURN."""
        parts = self.partitions_of(name)
        failed: errors.ResultError | None = None
        for part in self.log.healthy_first(records.TURN_TOPIC, parts):
            try:
                record = await self.find_end_in(part, name)
            except errors.ResultError as error:
                failed = error
                continue
            if record is not None:
                return record
        raise failed or errors.ResultError(codes.UNKNOWN_TURN)

    async def find_end_in(
        self, part: int, name: str
    ) -> records.TurnEnd | None:
        """Returns a turn's record if a partition has it."""
        index = self.indexes[part]
        async with self.locks[part]:
            if name not in index.ends:
                await self.read_on(part, index)
        return index.ends.get(name)

    async def read_on(self, part: int, index: turns.TurnIndex) -> None:
        """Folds a partition's records up to its present end."""
        while True:
            read = await self.log.read(
                records.TURN_TOPIC, part, index.end, max_bytes=READ_BYTES
            )
            if read.trimmed:
                index.end = read.first
                continue
            index.apply_records(read.start, read.records)
            if index.end >= read.end:
                return

    def forget(self, before_ms: int) -> None:
        """Drops what ended before a Unix time from the indexes."""
        for index in self.indexes:
            index.forget(before_ms)


def _two_of(name: str, partitions: int) -> tuple[int, int]:
    """Returns two partitions for a name, different where there are two."""
    first = routing.hash_of(name) % partitions
    step = 1 + routing.hash_of(f'{name}+') % max(partitions - 1, 1)
    return first, (first + step) % partitions


def _fail(
    batch: collections.abc.Iterable[_Waiting], error: errors.ResultError
) -> None:
    for one in batch:
        if not one.place.done():
            one.place.set_exception(error)
