"""Adapts the window of one replica: how many calls it may hold at once.

An engine admits every call and queues it in its own order, so a call sent
too early can no longer be overtaken.  The window follows the engine's load
reports, which lag.  It grows if it was full and the engine queued nothing;
if the engine queued calls, it shrinks to just above the running batch.
The window of a service that reports no load follows the time to the first
byte.
"""

import typing

import attrs

INITIAL_SLOTS: typing.Final = 8
MIN_SLOTS: typing.Final = 1
MAX_SLOTS: typing.Final = 256
REPORT_STALE_S: typing.Final = 10.0
HEADROOM_SLOTS: typing.Final = 1
GROWTH_DIVISOR: typing.Final = 8
SLOW_FACTOR: typing.Final = 2.0


@attrs.define(kw_only=True)
class Window:
    """The slots of a replica, and the state used to adjust them.

    was_full tells whether the window was full since the last adjustment.
    min_first_byte_s is the shortest time to the first byte so far.
    releases counts the calls released since the last adjustment; it is used
    only while there are no load reports.
    """

    slots: int = INITIAL_SLOTS
    was_full: bool = False
    reported_at: float | None = None
    min_first_byte_s: float | None = None
    releases: int = 0


def note_granted(window: Window, in_flight: int) -> None:
    """Records a grant; in_flight counts the granted call too."""
    if in_flight >= window.slots:
        window.was_full = True


def on_report(window: Window, now: float, running: int, waiting: int) -> None:
    """Adjusts the window to a report of running and queued calls."""
    window.reported_at = now
    if waiting > 0:
        shrink_to(window, running + HEADROOM_SLOTS)
    elif window.was_full and running + 1 >= window.slots:
        grow(window)
    window.was_full = False


def on_release(window: Window, now: float, first_token_s: float) -> None:
    """Adjusts the window of a service that reports no load.

    The window may change once per window's worth of released calls, by the
    time to the first byte of the last one.
    """
    if reports_load(window, now):
        return
    if (
        window.min_first_byte_s is None
        or first_token_s < window.min_first_byte_s
    ):
        window.min_first_byte_s = first_token_s
    window.releases += 1
    if window.releases < window.slots:
        return
    window.releases = 0
    if first_token_s > SLOW_FACTOR * window.min_first_byte_s:
        shrink_to(window, window.slots - 1)
    elif window.was_full:
        grow(window)
    window.was_full = False


def reports_load(window: Window, now: float) -> bool:
    """Tells whether the replica has reported its load recently."""
    return (
        window.reported_at is not None
        and now - window.reported_at < REPORT_STALE_S
    )


def grow(window: Window) -> None:
    """Adds slots, more for a larger window."""
    step = max(1, window.slots // GROWTH_DIVISOR)
    window.slots = min(MAX_SLOTS, window.slots + step)


def shrink_to(window: Window, slots: int) -> None:
    """Lowers the window to the given slots; never raises it."""
    window.slots = max(MIN_SLOTS, min(window.slots, slots))
