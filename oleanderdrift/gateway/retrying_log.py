"""Appends records that may be appended twice, until one is confirmed.

Readers of such topics ignore a record that repeats an earlier one, also
where the first append takes effect long after the second.
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

# How often an append looks whether its answer is late.
LOOK_EVERY_S: typing.Final = 0.03


class RetryingLog:
    """The log whose appends are repeated where its answer is late."""

    def __init__(self, log: ports.Log) -> None:
        self.log = log
        self.partitions = log.partitions
        self.record_bytes = log.record_bytes
        self.repeats = repeats.RetryLimiter()
        self.breakers = breakers.Breakers()
        self.repeated_appends = 0

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Returns the first record's offset, as one append was answered.

        Raises the last append's ResultError where all of them failed.
        """
        try:
            start = await self.append_surely(topic, partition, records)
        except errors.ResultError as error:
            self.note_failure(topic, partition, error)
            raise
        self.note_answer(topic, partition)
        return start

    async def append_surely(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Appends and repeats where the answer is late."""
        open_sends = {self.send(topic, partition, records)}
        sends, sent = 1, clock.monotonic()
        try:
            while True:
                done, open_sends = await asyncio.wait(
                    open_sends,
                    timeout=LOOK_EVERY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for each in done:
                    if each.exception() is None:
                        return each.result()
                if done and not open_sends:
                    return done.pop().result()
                now = clock.monotonic()
                if self.repeats.try_retry(sends, sent, now):
                    sends, sent = sends + 1, now
                    self.repeated_appends += 1
                    open_sends.add(self.send(topic, partition, records))
        finally:
            for each in open_sends:
                each.cancel()

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Reads records from start on, waiting wait_s for the first."""
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
        """Counts a partition's failed call, and logs when it is lost."""
        if self.breakers.note_failure((topic, partition), clock.monotonic()):
            logs.info(
                'partition-lost',
                topic=topic,
                partition=partition,
                code=error.code.number,
                detail=error.detail,
            )

    def note_answer(self, topic: str, partition: int) -> None:
        """Notes a partition's answer, and logs when it is regained."""
        if self.breakers.note_answer((topic, partition), clock.monotonic()):
            logs.info('partition-regained', topic=topic, partition=partition)

    def soundest_first(self, topic: str, parts: tuple[int, ...]) -> list[int]:
        """Returns partitions, those that fail at present last."""
        now = clock.monotonic()
        return sorted(
            parts,
            key=lambda partition: self.breakers.is_open(
                (topic, partition), now
            ),
        )

    def send(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> asyncio.Task[int]:
        """Sends one append."""
        return asyncio.create_task(self.measured(topic, partition, records))

    async def measured(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[bytes],
    ) -> int:
        """Appends and notes how long the answer took."""
        sent = clock.monotonic()
        start = await self.log.append(topic, partition, records)
        self.repeats.note_answer(sent, clock.monotonic())
        return start
