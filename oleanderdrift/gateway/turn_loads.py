"""Reads conversations from the store, by tasks that outlast their callers."""

import asyncio
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
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import turn_index_log
from oleanderdrift.gateway import turn_search
from oleanderdrift.gateway import turns

# Framing of the store's read response: for each record, and for all.
LENGTH_BYTES: typing.Final = 4
OFFSETS_BYTES: typing.Final = 16
# Pauses before a read of a known place is tried again.
READ_RETRY_DELAYS_S: typing.Final = (0.1, 0.2, 0.4, 0.8)
MS_PER_S: typing.Final = 1_000.0
# Of one conversation at once, before its caller counts them.  One turn may
# have more.
LOAD_BYTES: typing.Final = 2_097_152


@attrs.define(kw_only=True, eq=False)
class TurnLoads:
    """The reads of conversations and of single turns under way.

    loading holds the turns that conversations are read from.
    """

    log: retrying_log.RetryingLog
    share: link_share.LinkShare
    cache: turns.TurnCache
    index: turn_index_log.TurnIndexLog
    search: turn_search.TurnSearch
    events: event_log.EventLog
    loads: shared_work.SharedTasks[list[turns.Turn]] = attrs.field(
        factory=shared_work.SharedTasks
    )
    loading: set[str] = attrs.field(factory=set)
    # Those wait for their share of the link, however many there are.
    fetches: shared_work.SharedTasks[turns.Turn | None] = attrs.field(
        factory=lambda: shared_work.SharedTasks(math.inf)
    )

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
            size=sum(one.size() for one in loaded),
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
        """Reads the latest turns of an entry, the latest first.

        Returns None if they are not where it says.
        """
        check_account(entry.turns[-1].turn, entry.account, account)
        latest = turns.latest_within(entry, LOAD_BYTES)
        fetched = await asyncio.gather(*map(self.fetch, latest))
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


def check_account(turn: str, owner: str, account: str) -> None:
    """Raises ResultError UNKNOWN_TURN if a turn is another account's."""
    if owner != account:
        raise errors.ResultError(
            codes.UNKNOWN_TURN,
            f'turn {turn} is one of {owner}, not of {account}',
        )
