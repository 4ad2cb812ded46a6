"""A log behind a slow link that all reads of an instance share."""

import asyncio
import random
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import ports
from tests import gateway_support

LENGTH_BYTES: typing.Final = 4
OFFSETS_BYTES: typing.Final = 16
# What the link carries of one answer before it goes on with another one.
PIECE_BYTES: typing.Final = 16_384
ANSWER_S: typing.Final = 0.004
BITS_PER_BYTE: typing.Final = 8
BITS_PER_MEGABIT: typing.Final = 1_000_000


@attrs.define(kw_only=True)
class SlowLog(gateway_support.MemoryLog):
    """A log whose answers to reads share a link of link_mbps.

    An answer whose reader has left takes nothing more of the link.
    An answer begins after answer_s.  Of all, lost_share never come, and none
    of silent_partitions: the read fails after silent_s.  A strict log brings
    no record that is larger than the page that was asked for.
    carried counts the bytes of all answers, whole or not.  firsts holds the
    oldest offsets of partitions whose older records have expired.
    """

    link_mbps: float = float('inf')
    lost_share: float = 0.0
    silent_s: float = 1.6
    silent_partitions: set[tuple[str, int]] = attrs.field(factory=set)
    answer_s: float = ANSWER_S
    is_strict: bool = False
    chance: random.Random = attrs.field(factory=lambda: random.Random(1))
    carried: int = 0
    firsts: dict[tuple[str, int], int] = attrs.field(factory=dict)
    link: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Returns the records from start on that fit, one at least."""
        self.reads += 1
        self.check(topic, partition)
        is_silent = (topic, partition) in self.silent_partitions
        if is_silent or self.chance.random() < self.lost_share:
            await asyncio.sleep(self.silent_s)
            raise errors.ResultError(codes.APPEND_UNCONFIRMED, 'lost')
        stored = self.data[topic, partition]
        first = self.firsts.get((topic, partition), 0)
        if start < first:
            return ports.LogRecords(
                start=first, records=(), end=first, first=first, trimmed=True
            )
        size, count = OFFSETS_BYTES, 0
        for record in stored[start:]:
            grown = size + LENGTH_BYTES + len(record)
            if grown > max_bytes and (count or self.is_strict):
                break
            size, count = grown, count + 1
        await asyncio.sleep(self.answer_s)
        await self.carry(size)
        return ports.LogRecords(
            start=start,
            records=tuple(stored[start : start + count]),
            end=len(stored),
            first=first,
        )

    async def carry(self, size: int) -> None:
        """Waits until the link has carried an answer."""
        bytes_per_s = self.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        while size > 0:
            piece = min(size, PIECE_BYTES)
            async with self.link:
                await asyncio.sleep(piece / bytes_per_s)
            self.carried += piece
            size -= piece
