"""Estimates which prompt prefixes a replica holds in its cache.

Engines publish cache events late and with gaps, so the estimate may be
wrong at any time.  It starts from the prefixes sent to the replica, applies
the events that do arrive, and is corrected by the cached tokens that the
engine reports for each call: where fewer blocks were cached than expected,
the assumed capacity falls below the number of blocks held, and the least
recently used blocks are evicted with the next prefix sent.
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
    """A cached block, and when it was last sent.

    program is the only one that uses it, or empty for a shared block.
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

    The tail of a prefix is evicted first, so binary search finds the end
    of its cached part.
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
    """Records that a program's prefix was sent to the replica.

    The head of the prefix becomes the most recently used block, as in
    engines that evict from the tail.
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
    """Corrects the assumed capacity by an engine's report on one call.

    Fewer cached blocks than expected lower it; a confirmed expectation
    raises it slowly.
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
    """Applies one cache event; one older than the last is ignored.

    Gaps are not detected: the capacity and the engine's reports on later
    calls correct what was lost.  A block sent within the lag of the events
    is kept, since the removal is older than its last use.
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


def remove_program_blocks(
    view: CacheView, prefix: tuple[bytes, ...], program: str
) -> None:
    """Removes the blocks of a prefix that only its program uses."""
    for digest in prefix:
        block = view.blocks.get(digest)
        if block is not None and block.program == program:
            del view.blocks[digest]
