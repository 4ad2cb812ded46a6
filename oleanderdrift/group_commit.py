"""Group commit: appends many records of one instance at once.

Records that are added within an interval go to the log in one Batch, so
that an instance makes at most one append per interval.  A failed append
is repeated with the same records.  If both took effect, readers ignore
the second copy, since applying a record is idempotent.
"""

import asyncio
import collections.abc
import math
import time
import typing

import attrs

from oleanderdrift import codec
from oleanderdrift import errors
from oleanderdrift import logs
from oleanderdrift import messages

RETRY_S: typing.Final = 0.5
MAX_BATCH_BYTES: typing.Final = 1_000_000

Append: typing.TypeAlias = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[int]
]


@attrs.frozen(kw_only=True)
class Entry:
    """A record to be appended, and a future for its offset.

    keepers are the other instances that have a copy of it.
    """

    shard: str
    epoch: int
    data: bytes
    durable: asyncio.Future[int]
    keepers: set[typing.Any] = attrs.field(factory=set)


class GroupCommit:
    """Batches the records of one stream and appends them in order.

    failing says that the latest append failed and is being repeated.
    """

    def __init__(self, *, append: Append, interval_s: float) -> None:
        self.append = append
        self.interval_s = interval_s
        self.entries: list[Entry] = []
        self.ready = asyncio.Event()
        self.appends = 0
        self.failing = False
        self.appended_at = -math.inf

    def add(
        self, shard: str, epoch: int, record: messages.Message
    ) -> asyncio.Future[int]:
        """Queues a shard's record; the future yields its batch's offset."""
        return self.add_encoded(shard, epoch, codec.encode(record))

    def add_encoded(
        self, shard: str, epoch: int, data: bytes
    ) -> asyncio.Future[int]:
        """Queues an encoded record, as add does."""
        durable: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        entry = Entry(shard=shard, epoch=epoch, data=data, durable=durable)
        self.entries.append(entry)
        self.ready.set()
        return durable

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            await self.ready.wait()
            # The first record after an idle interval is appended at once;
            # those that follow within the interval share the next append.
            elapsed_s = time.monotonic() - self.appended_at
            await asyncio.sleep(max(0.0, self.interval_s - elapsed_s))
            self.ready.clear()
            await self._append_all()

    async def _append_all(self) -> None:
        while self.entries:
            self.appended_at = time.monotonic()
            batch = first_batch(self.entries)
            offset = await self._append_with_retries(batch)
            del self.entries[: len(batch)]
            for entry in batch:
                if not entry.durable.done():
                    entry.durable.set_result(offset)

    async def _append_with_retries(self, batch: list[Entry]) -> int:
        data = codec.encode(messages.Batch(records=_group_by_shard(batch)))
        while True:
            try:
                offset = await self.append(data)
            except errors.ResultError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_S)
                continue
            self.failing = False
            self.appends += 1
            return offset

    def _note_failure(self, error: errors.ResultError) -> None:
        if not self.failing:
            logs.warning(
                'log-append-failing',
                code=error.code.number,
                waiting=len(self.entries),
            )
        self.failing = True


def _group_by_shard(batch: list[Entry]) -> tuple[bytes, ...]:
    grouped: dict[tuple[str, int], list[bytes]] = {}
    for entry in batch:
        grouped.setdefault((entry.shard, entry.epoch), []).append(entry.data)
    return tuple(
        codec.encode(
            messages.ShardRecords(
                shard=shard, epoch=epoch, records=tuple(records)
            )
        )
        for (shard, epoch), records in grouped.items()
    )


def first_batch(entries: list[Entry]) -> list[Entry]:
    """Returns the first entries that fit into one batch, at least one."""
    size = 0
    batch: list[Entry] = []
    for entry in entries:
        size += len(entry.data)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(entry)
    return batch
