"""Appends idempotent records, retrying until one append is confirmed.

Readers of these topics ignore duplicate records, even if the first append
takes effect long after the second.
"""

import asyncio
import collections.abc
import typing

from oleanderdrift import errors
from oleanderdrift.gateway import breakers
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import repeats
from oleanderdrift import logs

# How often a pending append is checked for being late.
POLL_INTERVAL_S: typing.Final = 0.03


class RetryingLog:
    """A log that retries appends whose response is late.

    It also keeps a circuit breaker for each partition.
    """

    def __init__(self, log: ports.Log) -> None:
        self.log = log
        self.partitions = log.partitions
        self.record_bytes = log.record_bytes
        self.retry_limiter = repeats.RetryLimiter()
        self.breakers = breakers.Breakers()
        self.repeated_appends = 0

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Appends records; returns the first one's offset.

        The offset is that of the first attempt to succeed.  Raises the
        ResultError of the last attempt if all fail.
        """
        try:
            start = await self.append_with_retries(topic, partition, records)
        except errors.ResultError as error:
            self.note_failure(topic, partition, error)
            raise
        self.note_answer(topic, partition)
        return start

    async def append_with_failover(
        self,
        topic: str,
        partitions: tuple[int, ...],
        data: collections.abc.Sequence[bytes],
    ) -> tuple[int, int]:
        """Appends to the first of several partitions that confirms it.

        Returns the partition and the first record's offset.
        """
        *others, last = self.healthy_first(topic, partitions)
        for partition in others:
            try:
                return partition, await self.append(topic, partition, data)
            except errors.ResultError as error:
                logs.info(
                    'partition-left-out',
                    topic=topic,
                    partition=partition,
                    code=error.code.number,
                    detail=error.detail,
                )
        return last, await self.append(topic, last, data)

    async def append_with_retries(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Appends, and starts another append whenever the response is late."""
        pending = {self.start_append(topic, partition, records)}
        sends, last_sent = 1, clock.monotonic()
        try:
            while True:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=POLL_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for append in done:
                    if append.exception() is None:
                        return append.result()
                if done and not pending:
                    return done.pop().result()
                now = clock.monotonic()
                if self.retry_limiter.try_retry(sends, last_sent, now):
                    sends, last_sent = sends + 1, now
                    self.repeated_appends += 1
                    pending.add(self.start_append(topic, partition, records))
        finally:
            for append in pending:
                append.cancel()

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Reads records from start on; waits up to wait_s for the first."""
        try:
            found = await self.log.read(
                topic, partition, start, wait_s=wait_s, max_bytes=max_bytes
            )
        except errors.ResultError as error:
            self.note_failure(topic, partition, error)
            raise
        self.note_answer(topic, partition)
        return found

    def note_failure(
        self, topic: str, partition: int, error: errors.ResultError
    ) -> None:
        """Counts a partition's failure; logs when its breaker opens."""
        if self.breakers.note_failure((topic, partition), clock.monotonic()):
            logs.info(
                'partition-lost',
                topic=topic,
                partition=partition,
                code=error.code.number,
                detail=error.detail,
            )

    def note_answer(self, topic: str, partition: int) -> None:
        """Records a partition's success; logs when its breaker closes."""
        if self.breakers.note_answer((topic, partition), clock.monotonic()):
            logs.info('partition-regained', topic=topic, partition=partition)

    def healthy_first(self, topic: str, parts: tuple[int, ...]) -> list[int]:
        """Returns partitions, those with an open breaker last."""
        now = clock.monotonic()
        return sorted(
            parts,
            key=lambda partition: self.breakers.is_open(
                (topic, partition), now
            ),
        )

    def start_append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> asyncio.Task[int]:
        """Starts one attempt to append."""
        return asyncio.create_task(
            self.timed_append(topic, partition, records)
        )

    async def timed_append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Appends and records how long the response took."""
        sent = clock.monotonic()
        start = await self.log.append(topic, partition, records)
        self.retry_limiter.note_answer(sent, clock.monotonic())
        return start
