"""Ejects failing upstreams and readmits them gradually.

An ejected upstream gets no new calls for a time that doubles with each
consecutive ejection.  It then returns with a share of its window that
grows over the ramp, so that an upstream which still fails gets few calls.
At least half of a group's upstreams, and always one, are not ejected.
"""

import typing

import attrs

FAILURES_TO_EJECT: typing.Final = 3
EJECTION_S: typing.Final = 5.0
MAX_EJECTION_S: typing.Final = 120.0
RAMP_S: typing.Final = 20.0
INITIAL_SHARE: typing.Final = 0.1
MAX_EJECTED_SHARE: typing.Final = 0.5


@attrs.define(kw_only=True)
class UpstreamHealth:
    """The consecutive failures and ejections of one upstream."""

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = float('-inf')
    healthy_since: float = float('-inf')


def on_outcome(
    health: UpstreamHealth, now: float, failed: bool, may_eject: bool
) -> bool:
    """Records a call's outcome; returns whether it ejected the upstream.

    may_eject says whether enough other upstreams of the group are in use.
    """
    if not failed:
        health.consecutive_failures = 0
        if now >= health.ejected_until + RAMP_S:
            health.consecutive_ejections = 0
        return False
    health.consecutive_failures += 1
    if health.consecutive_failures < FAILURES_TO_EJECT or not may_eject:
        return False
    if is_ejected(health, now):
        return False
    ejection_s = min(
        MAX_EJECTION_S, EJECTION_S * 2.0**health.consecutive_ejections
    )
    health.consecutive_ejections += 1
    health.consecutive_failures = 0
    health.ejected_until = now + ejection_s
    return True


def is_ejected(health: UpstreamHealth, now: float) -> bool:
    """Tells whether the upstream is ejected now."""
    return now < health.ejected_until


def may_eject(ejected: int, total: int) -> bool:
    """Tells whether one more of the total upstreams may be ejected."""
    return ejected + 1 <= total * MAX_EJECTED_SHARE


def usable_share(health: UpstreamHealth, now: float) -> float:
    """Returns the share of its window that the upstream may use, 0 to 1."""
    if is_ejected(health, now):
        return 0.0
    elapsed_s = now - health.ejected_until
    if elapsed_s >= RAMP_S:
        return 1.0
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed_s / RAMP_S
