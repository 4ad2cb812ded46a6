"""A cache of conversations' turns, and an index of those in the store."""

import collections
import collections.abc
import typing

import attrs

from oleanderdrift.gateway import records

# Complete turns in an instance's memory.  All instances together hold many
# times as much, and the store has all turns.
CACHE_BYTES: typing.Final = 24_000_000
# Python's objects of a turn, with its ids and its place in the cache.
TURN_OBJECT_BYTES: typing.Final = 1_024
# What is known of where turns are, in the index or beside it.
INDEX_BYTES: typing.Final = 24_000_000
# Python's objects of an entry, with its id and its place in a dict.
ENTRY_OBJECT_BYTES: typing.Final = 320
# Of a longer conversation, an entry of the index has the latest turns only:
# each turn of it writes one.
MAX_LISTED_TURNS: typing.Final = 8


@attrs.frozen(kw_only=True)
class Turn:
    """A complete turn with its input and output.

    The input of one without a previous turn may hold those before it.
    ended_ms is a Unix time.  stored says where the store has it, if known.
    """

    turn_id: str
    previous: str | None
    account: str
    input: bytes
    output: bytes
    ended_ms: int
    stored: records.StoredTurn | None = None

    def size(self) -> int:
        """Returns how many bytes it adds to a conversation."""
        return len(self.input) + len(self.output)

    def held_size(self) -> int:
        """Returns how many bytes it takes in memory."""
        return self.size() + TURN_OBJECT_BYTES


@attrs.define(kw_only=True)
class TurnCache:
    """Complete turns, the most recently used last.

    size is what they take in memory, in bytes, and limit the most of it; the
    latest turn is kept whatever it takes.
    """

    turns: collections.OrderedDict[str, Turn] = attrs.field(
        factory=collections.OrderedDict
    )
    size: int = 0
    limit: int = CACHE_BYTES

    def get(self, turn: str) -> Turn | None:
        """Returns a turn, or None if it is not cached."""
        found = self.turns.get(turn)
        if found is not None:
            self.turns.move_to_end(turn)
        return found

    def put(self, turn: Turn) -> None:
        """Adds a turn; evicts the least recently used ones over the limit."""
        if turn.turn_id in self.turns:
            return
        self.turns[turn.turn_id] = turn
        self.size += turn.held_size()
        self.evict()

    def fit(self, limit: int) -> None:
        """Sets another limit."""
        self.limit = limit
        self.evict()

    def evict(self) -> None:
        """Drops the least recently used turns over the limit."""
        while self.size > self.limit and len(self.turns) > 1:
            _, old = self.turns.popitem(last=False)
            self.size -= old.held_size()


@attrs.frozen(kw_only=True)
class _Entry:
    """An entry of the index as it is stored, which takes the least memory."""

    data: bytes
    ended_ms: int

    def held_size(self) -> int:
        """Returns how many bytes it takes in memory."""
        return len(self.data) + ENTRY_OBJECT_BYTES


@attrs.define(kw_only=True)
class TurnIndex:
    """Where turns are stored, by the records before the offset end.

    entries has them in the order in which they were read, and size is what
    they take in memory, in bytes.
    """

    end: int = 0
    entries: dict[str, _Entry] = attrs.field(factory=dict)
    size: int = 0

    def add(self, entry: records.IndexedTurn) -> None:
        """Adds the turn that an entry ends with."""
        name = entry.turns[-1].turn
        self.remove(name)
        added = _Entry(data=records.encode(entry), ended_ms=entry.ended_ms)
        self.entries[name] = added
        self.size += added.held_size()

    def find(self, name: str) -> records.IndexedTurn | None:
        """Returns a turn's entry, None if there is none."""
        found = self.entries.get(name)
        return records.decode_indexed_turn(found.data) if found else None

    def remove(self, name: str) -> None:
        """Removes a turn, if it is there."""
        old = self.entries.pop(name, None)
        if old is not None:
            self.size -= old.held_size()

    def keep(self, limit: int) -> None:
        """Removes those that were read first, beyond limit bytes."""
        if self.size <= limit:
            return
        for name in list(self.entries):
            self.remove(name)
            if self.size <= limit:
                return

    def keep_only(self, names: collections.abc.Set[str]) -> None:
        """Removes all turns but some."""
        for name in self.entries.keys() - names:
            self.remove(name)

    def forget(self, before_ms: int) -> None:
        """Removes turns that ended before a Unix time."""
        for name in [
            name
            for name, entry in self.entries.items()
            if entry.ended_ms < before_ms
        ]:
            self.remove(name)


def entry_of(
    turn: Turn,
    stored: records.StoredTurn,
    earlier: collections.abc.Sequence[records.StoredTurn],
) -> records.IndexedTurn:
    """Returns the index's entry of a turn, after some just before it."""
    listed = (*earlier, stored)[-MAX_LISTED_TURNS:]
    return records.IndexedTurn(
        account=turn.account, turns=listed, ended_ms=turn.ended_ms
    )


def entry_of_record(
    data: bytes, part: int, offset: int
) -> records.IndexedTurn | None:
    """Returns the entry of a turn from its record, None if unreadable."""
    record = records.decode_turn(data)
    if record is None:
        return None
    stored = records.StoredTurn(
        turn=record.turn,
        part=part,
        offset=offset,
        size=len(data),
        input=record.input,
    )
    return records.IndexedTurn(
        account=record.account, turns=(stored,), ended_ms=record.ended_ms
    )


def latest_stored(
    chain: collections.abc.Sequence[Turn],
) -> tuple[records.StoredTurn, ...]:
    """Returns where the last turns of a conversation are stored.

    It stops before the latest one of which that is not known.
    """
    found: list[records.StoredTurn] = []
    for turn in reversed(chain):
        if turn.stored is None or len(found) >= MAX_LISTED_TURNS:
            break
        found.append(turn.stored)
    return tuple(reversed(found))


def latest_within(
    entry: records.IndexedTurn, limit: int
) -> list[records.StoredTurn]:
    """Returns the latest turns of an entry that have some bytes together.

    The latest comes first, and is always there.
    """
    found: list[records.StoredTurn] = []
    total = 0
    for stored in reversed(entry.turns):
        total += stored.size + stored.input.size
        if found and total > limit:
            break
        found.append(stored)
    return found


def connected(loaded: collections.abc.Sequence[Turn]) -> list[Turn]:
    """Returns turns as far as each is the previous one of the one before."""
    found = list(loaded[:1])
    for turn in loaded[1:]:
        if found[-1].previous != turn.turn_id:
            break
        found.append(turn)
    return found
