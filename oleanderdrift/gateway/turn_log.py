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
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import turn_index_log
from oleanderdrift.gateway import turn_loads
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


@attrs.define(kw_only=True, eq=False)
class _PendingInput:
    """The chunks of an input that is waiting to be appended.

    They are views of the input, so that it is in memory once.
    """

    chunks: list[memoryview]
    location: asyncio.Future[records.InputLocation]

    def size(self) -> int:
        """Returns its length in bytes."""
        return sum(map(len, self.chunks))


class TurnLog:
    """The turns of all conversations, read from and written to the store.

    index and search find turns there, each with index_bytes of memory at the
    most, and loads reads them.
    input_partitions are the two that this instance appends inputs to.
    """

    def __init__(
        self,
        log: retrying_log.RetryingLog,
        instance: str,
        link_mbps: float = math.inf,
        cache_bytes: int = turns.CACHE_BYTES,
        index_bytes: int = turns.INDEX_BYTES,
    ) -> None:
        self.log = log
        self.share = link_share.LinkShare(link_mbps)
        self.events = event_log.EventLog()
        self.cache = turns.TurnCache(limit=cache_bytes)
        self.index = turn_index_log.TurnIndexLog(log, self.events, index_bytes)
        self.search = turn_search.TurnSearch(
            log, self.share, self.events, index_bytes
        )
        self.loads = turn_loads.TurnLoads(
            log=log,
            share=self.share,
            cache=self.cache,
            index=self.index,
            search=self.search,
            events=self.events,
        )
        self.input_partitions = routing.two_partitions(
            instance, log.partitions
        )
        self.pending_inputs: list[_PendingInput] = []
        self.appender: asyncio.Task[None] | None = None

    async def append_input(self, data: bytes) -> records.InputLocation:
        """Appends a turn's input, batched with other pending inputs.

        One whose caller leaves before is not appended.
        """
        loop = asyncio.get_running_loop()
        one = _PendingInput(
            chunks=self.split(data), location=loop.create_future()
        )
        self.pending_inputs.append(one)
        if self.appender is None or self.appender.done():
            # A separate task, so that a caller that disconnects does not
            # cancel the append of other callers' inputs.
            self.appender = asyncio.create_task(self.append_pending_inputs())
        try:
            return await one.location
        except asyncio.CancelledError:
            if one in self.pending_inputs:
                self.pending_inputs.remove(one)
            raise

    def split(self, data: bytes) -> list[memoryview]:
        """Returns the records of an input, at least one."""
        most = self.log.record_bytes - RECORD_MARGIN_BYTES
        view = memoryview(data)
        return [
            view[start : start + most]
            for start in range(0, max(len(data), 1), most)
        ]

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
        await self.index.put(turns.entry_of(turn, stored, earlier))

    def partitions_of(self, turn: str) -> tuple[int, int]:
        """Returns the partitions that may hold a turn's record.

        The second one is used while the first one fails.
        """
        return routing.two_partitions(turn, self.log.partitions)

    async def chain(
        self,
        last: str,
        account: str,
        hold: collections.abc.Callable[[int], None] | None = None,
    ) -> list[turns.Turn]:
        """Returns a turn and all turns before it, oldest first.

        hold is told of the bytes of each; what it raises ends the search.
        Raises ResultError UNKNOWN_TURN if the account has no such turn,
        BAD_REQUEST if the conversation is too long, and the store's
        ResultError if that cannot be determined.
        """
        found: list[turns.Turn] = []
        name: str | None = last
        while name is not None:
            for turn in await self.loads.latest_turns(name, account):
                if len(found) >= MAX_CHAIN:
                    raise errors.ResultError(
                        codes.BAD_REQUEST,
                        f'the conversation has more than {MAX_CHAIN} turns',
                    )
                turn_loads.check_account(turn.turn_id, turn.account, account)
                if hold is not None:
                    hold(turn.size())
                found.append(turn)
                name = turn.previous
        return found[::-1]

    def forget(self, before_ms: int) -> None:
        """Drops turns that ended before a Unix time from the indexes."""
        self.index.forget(before_ms)
        self.search.forget(before_ms)


def _fail_all(
    batch: collections.abc.Iterable[_PendingInput], error: errors.ResultError
) -> None:
    """Fails all inputs of a batch."""
    for one in batch:
        if not one.location.done():
            one.location.set_exception(error)
