"""Keeps an instance's configuration up to date with the log.

The follower reads with a bounded long poll and notifies its listeners of
each accepted change, so that the streams of a withdrawn key can be ended.
log_client opens a new connection when the log does not answer in time.
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
# A silent connection is noticed after WAIT_S plus the client's timeout.
WAIT_S: typing.Final = 3.0
RETRY_S: typing.Final = 0.1
MAX_RETRY_S: typing.Final = 2.0

Listener: typing.TypeAlias = typing.Callable[[model.ObjectChange], None]
WithdrawalListener: typing.TypeAlias = typing.Callable[[model.ApiKey], None]


@attrs.define(kw_only=True)
class ConfigFeed:
    """The state of one instance's follower.

    last_contact is the monotonic time at which the configuration was
    last known to be complete, in seconds, or None if it never was.
    caught_up is set the first time that the configuration is complete,
    whether the log or a peer shows it.  snapshot_schedule, if set, says
    when to append snapshots.  The withdrawal listeners are called for
    keys withdrawn directly, which config still contains.
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
        """The configuration in force; always the same object."""
        return self.reader.config

    @property
    def next_offset(self) -> int:
        """The offset of the next record to apply."""
        return self.reader.config.next_offset


async def follow(feed: ConfigFeed) -> typing.NoReturn:
    """Polls the log until cancelled, and appends what is due."""
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
    """Returns the delay before the next attempt, with jitter.

    The first delay is short, since a new connection may work.  It then
    doubles up to MAX_RETRY_S, so that a fleet does not overload a slow
    log.
    """
    delay_s = min(
        MAX_RETRY_S, feed.retry_s * 2.0 ** min(consecutive_failures - 1, 10)
    )
    return feed.random.uniform(0.5, 1.0) * delay_s


async def poll(feed: ConfigFeed) -> list[config_reader.EvaluatedRecord]:
    """Makes one bounded read and applies the records returned.

    Raises ResultError LOG_UNAVAILABLE.
    """
    # The response is at least as recent as the request.
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
    """Appends direct withdrawals and a snapshot, if they are due.

    Raises ResultError LOG_UNAVAILABLE or APPEND_UNCONFIRMED; after
    either it is safe to append again.
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


def note_complete(feed: ConfigFeed, complete_at: float) -> None:
    """Notes that the configuration was complete at a monotonic time."""
    feed.last_contact = max(complete_at, feed.last_contact or complete_at)
    feed.caught_up.set()


def apply_peer_response(
    feed: ConfigFeed,
    requested_at: float,
    response: config_peers.ConfigResponse,
) -> None:
    """Applies a peer's response to a request sent at requested_at."""
    update = config_peers.apply_response(feed.reader, response, requested_at)
    notify_listeners(feed, update.changes)
    if update.complete_at is not None:
        note_complete(feed, update.complete_at)


def notify_listeners(
    feed: ConfigFeed, changes: typing.Iterable[model.ObjectChange]
) -> None:
    """Calls every listener with the changes now in force."""
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
    # An exception in a listener must not stop the follower.
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
