"""Decides which prefixes of paused programs an engine should let go.

An engine keeps what was used last, which is right for programs that come
back alike.  What it cannot know is decided here: a program that ended, a
copy left behind when a program moved to another replica, and a pause so
long that holding the prefix costs more than computing it again.  The time
a prefix is kept grows with the time that rebuilding it would take, as in
Continuum, which weighs the same two costs for pauses at tools.
"""

import heapq
import typing

import attrs

MIN_KEEP_S: typing.Final = 20.0
KEEP_PER_REBUILD: typing.Final = 60.0
MAX_DUE: typing.Final = 10_000


@attrs.frozen(kw_only=True)
class Release:
    """Asks an upstream to release the blocks of one program alone."""

    upstream: str
    program: str


@attrs.frozen(kw_only=True)
class Kept:
    """A paused program's prefix on an upstream, and until when it stays."""

    upstream: str
    prefix: tuple[bytes, ...]
    keep_until: float


@attrs.define(kw_only=True)
class Retention:
    """The prefixes kept, by program, and the releases now due.

    expiries is a heap of times and programs; an entry counts only if the
    program's prefix is still kept until that very time.
    """

    kept: dict[str, Kept] = attrs.field(factory=dict)
    expiries: list[tuple[float, str]] = attrs.field(factory=list)
    due: list[tuple[Release, tuple[bytes, ...]]] = attrs.field(factory=list)


def keep_s(rebuild_s: float) -> float:
    """Returns how long a prefix that takes rebuild_s to compute is kept."""
    return MIN_KEEP_S + KEEP_PER_REBUILD * rebuild_s


def on_pause(
    retention: Retention,
    now: float,
    program: str,
    upstream: str,
    prefix: tuple[bytes, ...],
    rebuild_s: float,
) -> None:
    """Keeps the prefix of a call that ended; an older copy is let go."""
    old = retention.kept.get(program)
    if old is not None and old.upstream != upstream:
        release_prefix(retention, program)
    keep_until = now + keep_s(rebuild_s)
    retention.kept[program] = Kept(
        upstream=upstream, prefix=prefix, keep_until=keep_until
    )
    heapq.heappush(retention.expiries, (keep_until, program))


def on_abandoned(retention: Retention, now: float, program: str) -> None:
    """Starts the clock again where a call was not carried out."""
    kept = retention.kept.get(program)
    if kept is not None:
        on_pause(retention, now, program, kept.upstream, kept.prefix, 0.0)


def on_resume(retention: Retention, program: str) -> None:
    """Stops the clock of a program whose next call waits or runs."""
    kept = retention.kept.get(program)
    if kept is not None:
        retention.kept[program] = attrs.evolve(kept, keep_until=float('inf'))


def release_prefix(retention: Retention, program: str) -> None:
    """Lets a program's prefix go now, as when the program ended."""
    kept = retention.kept.pop(program, None)
    if kept is not None:
        release = Release(upstream=kept.upstream, program=program)
        retention.due.append((release, kept.prefix))
        del retention.due[:-MAX_DUE]


def expire(retention: Retention, now: float) -> None:
    """Lets go what has been kept for its time."""
    while retention.expiries and retention.expiries[0][0] <= now:
        expires_at, program = heapq.heappop(retention.expiries)
        kept = retention.kept.get(program)
        if kept is not None and kept.keep_until == expires_at:
            release_prefix(retention, program)
