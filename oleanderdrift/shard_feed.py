"""Connects a shard manager to the log and the peers.

Follows the fleet stream with bounded reads, performs the actions that the
shard manager returns, and reads the records of shards to take over.
"""

import asyncio
import collections.abc
import random
import time
import typing

from absl import logging
import attrs

from oleanderdrift import codec
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import ledger
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import shard_manager

FLEET_STREAM: typing.Final = 'fleet'
BATCH_RECORDS: typing.Final = 500
WAIT_S: typing.Final = 3.0
RETRY_S: typing.Final = 0.5
STEPS_PER_LEASE: typing.Final = 40

Ask: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], collections.abc.Awaitable[messages.Message]
]
Write: typing.TypeAlias = collections.abc.Callable[[decisions.Decision], None]


@attrs.define(kw_only=True)
class ShardFeed:
    """The adapter of one shard manager.

    ask sends a request to the named instance, write queues the records of
    a takeover for the log, is_durable tells whether all queued records
    are in the log, waiting_shards returns the shards of those that are
    not.  last_contact is when the log last answered a read of
    the fleet stream, in monotonic seconds.
    """

    manager: shard_manager.ShardManager
    client: log_client.LogClient
    random: random.Random
    ask: Ask
    write: Write
    is_durable: collections.abc.Callable[[], bool]
    waiting_shards: collections.abc.Callable[[], collections.abc.Set[str]] = (
        frozenset
    )
    last_contact: float | None = None
    caught_up: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


def programs_stream(data_centre: str) -> str:
    """Returns the name of a data centre's programs stream."""
    return f'programs.{data_centre}'


async def follow(feed: ShardFeed) -> typing.NoReturn:
    """Reads the fleet stream until cancelled."""
    while True:
        try:
            await poll(feed)
        except errors.ResultError as error:
            logging.warning(
                'event=fleet-read-failed code=%d detail="%s"',
                error.code.number,
                error.detail,
            )
            await asyncio.sleep(feed.random.uniform(0.5, 1) * RETRY_S)


async def poll(feed: ShardFeed) -> None:
    """Makes one bounded read; raises ResultError(LOG_UNAVAILABLE)."""
    fleet = feed.manager.fleet
    wait_s = WAIT_S if feed.caught_up.is_set() else 0.0
    result = await feed.client.read(
        FLEET_STREAM, fleet.next_offset, BATCH_RECORDS, wait_s
    )
    now = time.monotonic()
    for record in result.records:
        _apply(feed, now, record)
    feed.last_contact = now
    if result.next_offset >= result.end_offset:
        feed.caught_up.set()


def _apply(feed: ShardFeed, now: float, record: log_client.LogRecord) -> None:
    message = _decode(record)
    shard_manager.on_fleet_record(feed.manager, now, record.offset, message)


def _decode(record: log_client.LogRecord) -> messages.Message:
    try:
        return codec.decode(record.data)
    except codec.CodecError:
        logging.warning('event=record-not-understood offset=%d', record.offset)
        return None


async def run(feed: ShardFeed) -> typing.NoReturn:
    """Performs the actions of the shard manager until cancelled."""
    lease_s = feed.manager.fleet.lease_s
    while True:
        now = time.monotonic()
        if feed.caught_up.is_set():
            for action in shard_manager.step(
                feed.manager,
                now,
                log_answers=_log_answers(feed, now),
                durable=feed.is_durable(),
                copied=feed.waiting_shards(),
            ):
                _spawn(feed, _perform(feed, action))
        await asyncio.sleep(lease_s / STEPS_PER_LEASE)


def _log_answers(feed: ShardFeed, now: float) -> bool:
    bound_s = WAIT_S + feed.client.timeout_s
    return feed.last_contact is not None and now < feed.last_contact + bound_s


def _spawn(
    feed: ShardFeed,
    work: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    task = asyncio.get_running_loop().create_task(work)
    feed.tasks.add(task)
    task.add_done_callback(feed.tasks.discard)


async def _perform(feed: ShardFeed, action: shard_manager.Action) -> None:
    try:
        match action:
            case shard_manager.AppendFleet():
                data = codec.encode(action.record)
                await feed.client.append(FLEET_STREAM, data)
            case shard_manager.AskPromise():
                reply = await feed.ask(action.instance, action.request)
                if isinstance(reply, messages.LeasePromise):
                    shard_manager.on_promise(feed.manager, reply)
            case shard_manager.TakeOver():
                await _take_over(feed, action)
    except errors.ResultError as error:
        logging.warning(
            'event=shard-action-failed action=%s code=%d detail="%s"',
            type(action).__name__,
            error.code.number,
            error.detail,
        )


async def _take_over(feed: ShardFeed, action: shard_manager.TakeOver) -> None:
    try:
        replayed = await _read_shard(feed, action)
    except errors.ResultError:
        await asyncio.sleep(RETRY_S)
        shard_manager.takeover_failed(feed.manager, action)
        raise
    decision = shard_manager.finish_takeover(
        feed.manager, time.time(), action, replayed
    )
    if decision is None:
        return
    feed.write(decision)
    logging.info(
        'event=shard-taken shard=%s epoch=%d programs=%d unknown=%d',
        action.shard,
        action.fence.epoch,
        len(feed.manager.ledger.shards[action.shard].programs),
        len(decision.records),
    )


async def _read_shard(
    feed: ShardFeed, action: shard_manager.TakeOver
) -> decisions.Ledger:
    stream = programs_stream(feed.manager.fleet.data_centre)
    await feed.client.append(stream, codec.encode(action.fence))
    replay = ledger.Replay(shards=frozenset((action.shard,)))
    offset = action.checkpoint
    while True:
        result = await feed.client.read(stream, offset, BATCH_RECORDS, 0.0)
        for record in result.records:
            message = _decode(record)
            if message == action.fence:
                return replay.ledger
            ledger.replay_record(replay, message)
        offset = result.next_offset
        if not result.records:
            await asyncio.sleep(RETRY_S)
