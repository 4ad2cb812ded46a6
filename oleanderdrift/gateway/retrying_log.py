"""Appends idempotent records and reads, retrying what has no answer.

Readers of these topics ignore duplicate records, even if the first append
takes effect long after the second.
"""

import asyncio
import collections.abc
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import breakers
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import repeats
from oleanderdrift import logs

# How often a pending call is checked for being late.
POLL_INTERVAL_S: typing.Final = 0.03
# A read's answer may have long bytes, on a slow link.
MIN_LATE_READ_S: typing.Final = 0.2
# Framing of a record in the store's answer, and of the answer.
FRAMING_BYTES: typing.Final = 64

_T = typing.TypeVar('_T')


class RetryingLog:
    """A log that retries calls whose response is late.

    It also keeps a circuit breaker for each partition.
    """

    def __init__(self, log: ports.Log) -> None:
        self.log = log
        self.partitions = log.partitions
        self.record_bytes = log.record_bytes
        self.retry_limiter = repeats.RetryLimiter()
        self.read_limiter = repeats.RetryLimiter(
            min_late_s=MIN_LATE_READ_S, needs_later=False
        )
        self.breakers = breakers.Breakers()
        self.repeated_calls = 0

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[ports.Record],
    ) -> int:
        """Appends records; returns the first one's offset.

        The offset is that of the first attempt to succeed.  Raises the
        ResultError of the last attempt if all fail.
        """
        try:
            start = await self.send_with_retries(
                lambda: self.log.append(topic, partition, records),
                self.retry_limiter,
            )
        except errors.ResultError as error:
            self.note_failure(topic, partition, error)
            raise
        self.note_answer(topic, partition)
        return start

    async def append_with_failover(
        self,
        topic: str,
        partitions: tuple[int, ...],
        data: collections.abc.Sequence[ports.Record],
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

    async def send_with_retries(
        self,
        send: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, _T]
        ],
        limiter: repeats.RetryLimiter,
    ) -> _T:
        """Sends a call, and sends it again whenever the response is late."""
        pending = {asyncio.create_task(_timed(send, limiter))}
        sends, last_sent = 1, clock.monotonic()
        try:
            while True:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=POLL_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for call in done:
                    if call.exception() is None:
                        return call.result()
                if done and not pending:
                    return done.pop().result()
                now = clock.monotonic()
                if limiter.try_retry(sends, last_sent, now):
                    sends, last_sent = sends + 1, now
                    self.repeated_calls += 1
                    pending.add(asyncio.create_task(_timed(send, limiter)))
        finally:
            for call in pending:
                call.cancel()

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Reads records from start on, one at least if there is one."""
        found = await self.read_page(topic, partition, start, max_bytes)
        if found.records or found.trimmed or found.end <= start:
            return found
        # The first record has more.
        max_bytes = self.record_bytes + FRAMING_BYTES
        found = await self.read_page(topic, partition, start, max_bytes)
        if found.records or found.trimmed or found.end <= start:
            return found
        raise errors.ResultError(
            codes.LOG_UNAVAILABLE,
            f'{topic} {partition} shows no record from {start} to {found.end}',
        )

    async def read_page(
        self, topic: str, partition: int, start: int, max_bytes: int
    ) -> ports.LogRecords:
        """Reads what records from start on are within a size."""
        try:
            found = await self.send_with_retries(
                lambda: self.log.read(
                    topic, partition, start, max_bytes=max_bytes
                ),
                self.read_limiter,
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

    def is_failing(self, topic: str, partition: int, now: float) -> bool:
        """Returns whether a call to a partition is likely to fail.

        That is so in an outage of the store, or of this partition.
        """
        is_outage = (
            self.log.consecutive_failures > 1
            and not self.breakers.is_partial_outage(now)
        )
        return is_outage or self.breakers.is_open((topic, partition), now)

    def is_open(self, topic: str, partition: int) -> bool:
        """Returns whether calls to a partition are likely to fail."""
        return self.breakers.is_open((topic, partition), clock.monotonic())


async def _timed(
    send: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ],
    limiter: repeats.RetryLimiter,
) -> _T:
    """Sends a call and records how long the response took."""
    sent = clock.monotonic()
    result = await send()
    limiter.note_answer(sent, clock.monotonic())
    return result
