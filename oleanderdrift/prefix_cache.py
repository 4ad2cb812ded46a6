"""An estimate of which prompt prefixes a replica holds in its cache.

Engines publish cache events late and with gaps, so this view is never
taken as true.  It starts from what was sent to the replica, follows the
events that do arrive, and heals by what the engine says of each call's
cached part: a prefix that proves to be gone is dropped, and the assumed
capacity shrinks to what was held then.
"""

import collections
import typing

import attrs

DEFAULT_CAPACITY_BLOCKS: typing.Final = 100_000
MIN_CAPACITY_BLOCKS: typing.Final = 16
CAPACITY_SHRINK: typing.Final = 0.95
CAPACITY_GROWTH_BLOCKS: typing.Final = 1
EVENT_LAG_S: typing.Final = 5.0


@attrs.define(kw_only=True)
class Block:
    """A cached block: when it was last sent, and its only program.

    program is empty for a block that several programs share.
    """

    sent_at: float
    program: str


@attrs.define(kw_only=True)
class CacheView:
    """The blocks believed cached, least recently used first."""

    blocks: collections.OrderedDict[bytes, Block] = attrs.field(
        factory=collections.OrderedDict
    )
    capacity_blocks: int = DEFAULT_CAPACITY_BLOCKS
    next_sequence: int | None = None


def matched_blocks(view: CacheView, prefix: tuple[bytes, ...]) -> int:
    """Returns how many leading blocks of the prefix are believed cached.

    A chain loses its tail first, so it is searched by halves.
    """
    blocks = view.blocks
    if not prefix or prefix[0] not in blocks:
        return 0
    low, high = 1, len(prefix)
    while low < high:
        middle = (low + high + 1) // 2
        if prefix[middle - 1] in blocks:
            low = middle
        else:
            high = middle - 1
    return low


def cached_tokens(
    view: CacheView, prefix: tuple[bytes, ...], prompt_tokens: int
) -> float:
    """Returns how many prompt tokens are expected to be cached."""
    matched = matched_blocks(view, prefix)
    if not matched:
        return 0.0
    return prompt_tokens * matched / len(prefix)


def note_sent(
    view: CacheView, now: float, prefix: tuple[bytes, ...], program: str = ''
) -> None:
    """Records that the replica is about to hold a program's prefix.

    The head of the chain becomes the most recently used, as in engines
    that evict from the tail.
    """
    for digest in reversed(prefix):
        block = view.blocks.get(digest)
        if block is None:
            view.blocks[digest] = Block(sent_at=now, program=program)
            continue
        block.sent_at = now
        if block.program != program:
            block.program = ''
        view.blocks.move_to_end(digest)
    while len(view.blocks) > view.capacity_blocks:
        view.blocks.popitem(last=False)


def note_reported(
    view: CacheView,
    prefix: tuple[bytes, ...],
    expected_blocks: int,
    reported_blocks: int,
) -> None:
    """Heals the view by what the engine said was cached for a call.

    A prefix that was expected and proved to be gone lowers the capacity
    assumed, a confirmed one raises it slowly.
    """
    if reported_blocks < expected_blocks:
        held = min(len(view.blocks), view.capacity_blocks)
        view.capacity_blocks = max(
            MIN_CAPACITY_BLOCKS, len(prefix), int(held * CAPACITY_SHRINK)
        )
    elif expected_blocks:
        view.capacity_blocks = min(
            DEFAULT_CAPACITY_BLOCKS,
            view.capacity_blocks + CAPACITY_GROWTH_BLOCKS,
        )


def on_event(
    view: CacheView,
    now: float,
    sequence: int,
    stored: tuple[bytes, ...],
    removed: tuple[bytes, ...],
) -> None:
    """Takes one cache event; an older one than the last is ignored.

    Nothing is made of a gap: what was lost heals by the capacity and by
    what the engine reports of later calls.
    A block sent within the events' lag is kept: its removal is older than
    its last use.
    """
    if view.next_sequence is not None and sequence < view.next_sequence:
        return
    view.next_sequence = sequence + 1
    for digest in removed:
        block = view.blocks.get(digest)
        if block is not None and block.sent_at < now - EVENT_LAG_S:
            del view.blocks[digest]
    for digest in stored:
        if digest not in view.blocks:
            view.blocks[digest] = Block(sent_at=now, program='')


def forget(view: CacheView, prefix: tuple[bytes, ...], program: str) -> None:
    """Drops the part of a prefix that only its program used."""
    for digest in prefix:
        block = view.blocks.get(digest)
        if block is not None and block.program == program:
            del view.blocks[digest]
