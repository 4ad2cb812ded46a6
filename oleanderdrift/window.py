"""The bounded window of one replica: how many calls it may hold at once.

An engine admits what comes and queues it in its own order, so a call sent
too early can no longer be overtaken.  The window follows the engine's load
reports, which lag: it grows while it was the limit and the engine queued
nothing, and falls to what the engine really ran when it queued.  Services
that report no load are judged by their time to the first byte.
"""

import typing

import attrs

INITIAL_SLOTS: typing.Final = 8
MIN_SLOTS: typing.Final = 1
MAX_SLOTS: typing.Final = 256
REPORT_STALE_S: typing.Final = 10.0
HEADROOM: typing.Final = 1
GROWTH_DIVISOR: typing.Final = 8
SLOW_FACTOR: typing.Final = 2.0


@attrs.define(kw_only=True)
class Window:
    """The slots of a replica and what they are judged by.

    limited tells whether the window was full since the last judgement;
    fastest_s is the lowest time to the first byte seen.
    """

    slots: int = INITIAL_SLOTS
    limited: bool = False
    reported_at: float | None = None
    fastest_s: float | None = None
    releases: int = 0


def note_granted(window: Window, in_flight: int) -> None:
    """Records that a call was granted, in_flight with it."""
    if in_flight >= window.slots:
        window.limited = True


def on_report(window: Window, now: float, running: int, waiting: int) -> None:
    """Follows a load report: calls in the batch and calls queued."""
    window.reported_at = now
    if waiting > 0:
        shrink_to(window, running + HEADROOM)
    elif window.limited and running + 1 >= window.slots:
        grow(window)
    window.limited = False


def on_release(window: Window, now: float, first_token_s: float) -> None:
    """Judges a service that reports no load, once a window of calls."""
    if reports_load(window, now):
        return
    if window.fastest_s is None or first_token_s < window.fastest_s:
        window.fastest_s = first_token_s
    window.releases += 1
    if window.releases < window.slots:
        return
    window.releases = 0
    if first_token_s > SLOW_FACTOR * window.fastest_s:
        shrink_to(window, window.slots - 1)
    elif window.limited:
        grow(window)
    window.limited = False


def reports_load(window: Window, now: float) -> bool:
    """Tells whether the replica has reported its load of late."""
    return (
        window.reported_at is not None
        and now - window.reported_at < REPORT_STALE_S
    )


def grow(window: Window) -> None:
    """Adds slots, more for a larger window."""
    step = max(1, window.slots // GROWTH_DIVISOR)
    window.slots = min(MAX_SLOTS, window.slots + step)


def shrink_to(window: Window, slots: int) -> None:
    """Lowers the window to so many slots; never raises it."""
    window.slots = max(MIN_SLOTS, min(window.slots, slots))
