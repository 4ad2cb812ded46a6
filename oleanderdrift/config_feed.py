"""Keeps an instance's configuration up to date with the log.

The follower reads with a bounded long poll, goes over to a new
connection after silence (log_client does), and tells its listeners of
each accepted change, so that streams of a withdrawn key can be ended.
"""

import asyncio
import random
import time
import typing

import attrs


from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import config_peers
from oleanderdrift import config_reader
from oleanderdrift import config_snapshots
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import key_trust
from oleanderdrift import log_client
from oleanderdrift import logs
from oleanderdrift import model

BATCH_RECORDS: typing.Final = 500
# Silence is noticed after WAIT_S and the client's timeout together.
WAIT_S: typing.Final = 3.0
RETRY_S: typing.Final = 0.1
MAX_RETRY_S: typing.Final = 2.0

Listener: typing.TypeAlias = typing.Callable[[model.ObjectChange], None]
WithdrawalListener: typing.TypeAlias = typing.Callable[[model.ApiKey], None]


@attrs.define(kw_only=True)
class ConfigFeed:
    """The follower of one instance.

    last_contact is the monotonic time at which the configuration was
    last known to be complete, in seconds, or None before the first time.
    caught_up is set once everything that the log holds is folded.
    snapshot_schedule, if set, says when to append snapshots.  The
    withdrawal listeners hear of keys withdrawn directly, which config
    still has.
    """

    client: log_client.LogClient
    random: random.Random
    reader: config_reader.ConfigReader = attrs.field(
        factory=config_reader.ConfigReader
    )
    wait_s: float = WAIT_S
    retry_s: float = RETRY_S
    listeners: list[Listener] = attrs.field(factory=list)
    withdrawal_listeners: list[WithdrawalListener] = attrs.field(factory=list)
    last_contact: float | None = None
    trust: key_trust.KeyTrust = attrs.field(factory=key_trust.KeyTrust)
    snapshot_schedule: config_snapshots.SnapshotSchedule | None = None
    caught_up: asyncio.Event = attrs.field(factory=asyncio.Event)
    failures: int = 0

    @property
    def config(self) -> model.Config:
        """The configuration in force; one object for good."""
        return self.reader.config

    @property
    def next_offset(self) -> int:
        """The first offset not yet folded."""
        return self.reader.config.next_offset


async def follow(feed: ConfigFeed) -> typing.NoReturn:
    """Reads for good; returns only by cancellation."""
    consecutive_failures = 0
    while True:
        try:
            await poll(feed)
            await append_due_records(feed)
            consecutive_failures = 0
        except errors.ResultError as error:
            feed.failures += 1
            logs.warning(
                'config-log-failed',
                code=error.code.number,
                next_offset=feed.next_offset,
                detail=error.detail,
            )
            consecutive_failures += 1
            await asyncio.sleep(retry_delay_s(feed, consecutive_failures))


def retry_delay_s(feed: ConfigFeed, consecutive_failures: int) -> float:
    """Returns the time to the next try after some failures in a row.

    The first is soon, since a new connection may work; then it doubles
    up to MAX_RETRY_S, so that a fleet leaves a slow log alone.
    """
    delay_s = min(
        MAX_RETRY_S, feed.retry_s * 2.0 ** min(consecutive_failures - 1, 10)
    )
    return feed.random.uniform(0.5, 1.0) * delay_s


async def poll(feed: ConfigFeed) -> list[config_reader.EvaluatedRecord]:
    """Makes one bounded read and folds what it brings.

    Raises ResultError LOG_UNAVAILABLE.
    """
    # The answer is at least as new as the question.
    requested_at = time.monotonic()
    wait_s = feed.wait_s if feed.caught_up.is_set() else 0.0
    result = await feed.client.read(
        config_reader.STREAM, feed.reader.read_offset, BATCH_RECORDS, wait_s
    )
    evaluated, changes = config_reader.apply_batch(feed.reader, result)
    notify_listeners(feed, changes)
    if (
        feed.reader.gap_end is None
        and feed.reader.read_offset >= result.end_offset
    ):
        note_complete(feed, requested_at)
    return evaluated


async def append_due_records(feed: ConfigFeed) -> None:
    """Appends what is due: withdrawals made directly, and a snapshot.

    Raises ResultError LOG_UNAVAILABLE or APPEND_UNCONFIRMED; both are
    safe to be repeated.
    """
    if not feed.caught_up.is_set():
        return
    for change in key_trust.due_withdrawals(
        feed.trust, feed.config, time.monotonic()
    ):
        await feed.client.append(config_reader.STREAM, codec.encode(change))
    schedule = feed.snapshot_schedule
    if schedule is None or not config_snapshots.is_due(
        schedule, feed.reader, time.time(), feed.random
    ):
        return
    snapshot = config_state.snapshot(feed.config)
    data = codec.encode(snapshot)
    offset = await feed.client.append(config_reader.STREAM, data)
    logs.info(
        'config-snapshot',
        offset=offset,
        next_offset=snapshot.next_offset,
        bytes=len(data),
    )


def note_complete(feed: ConfigFeed, requested_at: float) -> None:
    """Notes that the configuration was complete at requested_at."""
    feed.last_contact = max(requested_at, feed.last_contact or requested_at)
    feed.caught_up.set()


def apply_peer_response(
    feed: ConfigFeed, requested_at: float, response: config_peers.Response
) -> None:
    """Takes in a peer's answer to what was asked at a monotonic time."""
    update = config_peers.apply_response(feed.reader, response, requested_at)
    notify_listeners(feed, update.changes)
    if update.complete_at is not None:
        note_complete(feed, update.complete_at)


def notify_listeners(
    feed: ConfigFeed, changes: typing.Iterable[model.ObjectChange]
) -> None:
    """Tells every listener of changes now in force."""
    for change in changes:
        key_trust.on_change(feed.trust, change)
        logs.info(
            'config-in-force',
            kind=change.kind,
            name=change.name,
            offset=change.offset,
            removed=change.after is None,
        )
        for listener in feed.listeners:
            _notify(feed, listener, change)


def _notify(
    feed: ConfigFeed, listener: Listener, change: model.ObjectChange
) -> None:
    # The follower must outlive a fault in what listens to it.
    try:
        listener(change)
    except Exception as error:
        feed.failures += 1
        logs.warning(
            'config-listener-failed',
            code=codes.INVARIANT_BROKEN.number,
            offset=change.offset,
            detail=repr(error),
        )
