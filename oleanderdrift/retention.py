"""Decides which cached prefixes of paused programs engines should release.

An engine evicts the least recently used prefixes, which is right as long
as all programs are equally likely to return.  This module covers what the
engine cannot know: that a program ended, that it moved to another replica
and left a copy behind, or that its pause is so long that keeping the
prefix costs more than computing it again.  The retention time grows with
the time needed to rebuild the prefix, as in Continuum, which weighs the
same two costs for pauses during tool calls.
"""

import heapq
import typing

import attrs

MIN_KEEP_S: typing.Final = 20.0
KEEP_PER_REBUILD: typing.Final = 60.0
MAX_DUE: typing.Final = 10_000


@attrs.frozen(kw_only=True)
class Release:
    """Asks an upstream to release the blocks used only by one program."""

    upstream: str
    program: str


@attrs.frozen(kw_only=True)
class KeptPrefix:
    """A paused program's prefix on an upstream, kept until keep_until."""

    upstream: str
    prefix: tuple[bytes, ...]
    keep_until: float


@attrs.define(kw_only=True)
class Retention:
    """The prefixes kept, by program, and the releases now due.

    expiries is a heap of times and programs; an entry is stale unless the
    keep_until of the program's prefix is exactly that time.
    """

    kept: dict[str, KeptPrefix] = attrs.field(factory=dict)
    expiries: list[tuple[float, str]] = attrs.field(factory=list)
    due: list[tuple[Release, tuple[bytes, ...]]] = attrs.field(factory=list)


def keep_s(rebuild_s: float) -> float:
    """Returns how long to keep a prefix that takes rebuild_s to compute."""
    return MIN_KEEP_S + KEEP_PER_REBUILD * rebuild_s


def on_pause(
    retention: Retention,
    now: float,
    program: str,
    upstream: str,
    prefix: tuple[bytes, ...],
    rebuild_s: float,
) -> None:
    """Keeps the prefix of a finished call until its retention time is over.

    A copy that the program left on another upstream is released.
    """
    old = retention.kept.get(program)
    if old is not None and old.upstream != upstream:
        release_prefix(retention, program)
    keep_until = now + keep_s(rebuild_s)
    retention.kept[program] = KeptPrefix(
        upstream=upstream, prefix=prefix, keep_until=keep_until
    )
    heapq.heappush(retention.expiries, (keep_until, program))


def on_abandoned(retention: Retention, now: float, program: str) -> None:
    """Restarts the retention time after a call that was not carried out."""
    kept = retention.kept.get(program)
    if kept is not None:
        on_pause(retention, now, program, kept.upstream, kept.prefix, 0.0)


def on_resume(retention: Retention, program: str) -> None:
    """Suspends expiry for a program whose next call is waiting or running."""
    kept = retention.kept.get(program)
    if kept is not None:
        retention.kept[program] = attrs.evolve(kept, keep_until=float('inf'))


def release_prefix(retention: Retention, program: str) -> None:
    """Releases a program's prefix now, for example when it has ended."""
    kept = retention.kept.pop(program, None)
    if kept is not None:
        release = Release(upstream=kept.upstream, program=program)
        retention.due.append((release, kept.prefix))
        del retention.due[:-MAX_DUE]


def expire(retention: Retention, now: float) -> None:
    """Releases the prefixes whose retention time is over."""
    while retention.expiries and retention.expiries[0][0] <= now:
        expires_at, program = heapq.heappop(retention.expiries)
        kept = retention.kept.get(program)
        if kept is not None and kept.keep_until == expires_at:
            release_prefix(retention, program)
