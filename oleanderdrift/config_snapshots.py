"""Decides when an instance appends a snapshot of the configuration.

The log trims its oldest records, so the whole state has to be appended
again in time.  Any instance may do so.  Each draws a random delay after
the latest snapshot that it has seen, so that few of many instances
append one; a superfluous snapshot does no harm.
"""

import random
import typing

import attrs

from oleanderdrift import config_reader

# The delay is drawn between these fractions of the retention time.
EARLIEST_FRACTION: typing.Final = 0.25
LATEST_FRACTION: typing.Final = 0.5
# A snapshot is also due after this many records, or up to twice as many
# according to the fraction drawn, to limit what a fresh reader applies.
MAX_RECORDS_BETWEEN_SNAPSHOTS: typing.Final = 5000
RETRY_S: typing.Final = 10.0


@attrs.define(kw_only=True)
class SnapshotSchedule:
    """The log's retention time, and the random delay of a snapshot.

    fraction, in [0, 1), is the position of the delay between its bounds.
    It was drawn for the snapshot at offset fraction_drawn_for.  No
    snapshot is due before not_before.
    """

    retention_s: float
    fraction_drawn_for: int = -1
    fraction: float = 0.0
    not_before: float = 0.0


def is_due(
    schedule: SnapshotSchedule,
    reader: config_reader.ConfigReader,
    now: float,
    rng: random.Random,
) -> bool:
    """Returns whether to append a snapshot now.

    now is in seconds since 1970.  Once it has returned True, it returns
    False for the next RETRY_S.
    """
    if reader.gap_end is not None or reader.config.next_offset == 0:
        return False
    if reader.snapshot_time_ms == 0:
        # The state came from a peer, so no record's time is known.
        reader.snapshot_time_ms = int(now * 1000)
    if schedule.fraction_drawn_for != reader.snapshot_offset:
        schedule.fraction_drawn_for = reader.snapshot_offset
        schedule.fraction = rng.random()
    if now < schedule.not_before or not _is_limit_reached(
        schedule, reader, now
    ):
        return False
    schedule.not_before = now + RETRY_S
    return True


def _is_limit_reached(
    schedule: SnapshotSchedule, reader: config_reader.ConfigReader, now: float
) -> bool:
    age_s = now - reader.snapshot_time_ms / 1000
    span = LATEST_FRACTION - EARLIEST_FRACTION
    limit_s = schedule.retention_s * (
        EARLIEST_FRACTION + span * schedule.fraction
    )
    records = reader.config.next_offset - 1 - reader.snapshot_offset
    return age_s >= limit_s or records >= MAX_RECORDS_BETWEEN_SNAPSHOTS * (
        1 + schedule.fraction
    )
