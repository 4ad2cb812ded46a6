"""Connects one instance's shares to the log, its peers and its requests.

Reads the `shares` stream, appends the records that share_moves returns,
passes messages between share_loans and the peers, and suspends requests
that wait for tokens.
"""

import asyncio
import collections.abc
import itertools
import math
import random
import time
import typing

import attrs

from oleanderdrift import blackboard
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_ledger
from oleanderdrift import share_loans
from oleanderdrift import share_moves
from oleanderdrift import share_state
from oleanderdrift import share_types
from oleanderdrift import share_verdicts

STREAM: typing.Final = 'shares'
BATCH_RECORDS: typing.Final = 500
READ_WAIT_S: typing.Final = 3.0
READ_RETRY_S: typing.Final = 0.5
TICK_INTERVAL_S: typing.Final = 0.02
PLAN_INTERVAL_S: typing.Final = 0.25
_LENDER_READY_MS: typing.Final = 16_000
_LATEST: typing.Final = -1
READY_AFTER_S: typing.Final = (
    share_state.GAIN_WAIT_S + share_moves.PLAN_EVERY_S
)

SendToPeer: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], None
]
AskPeer: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], collections.abc.Awaitable[messages.Message]
]
ReadLive: typing.TypeAlias = collections.abc.Callable[[], set[str]]


@attrs.define(kw_only=True)
class ShareFeed:
    """Input and output of one instance's shares.

    send sends a one-way message to the instance named, ask also awaits its
    answer, and live returns the names of the live instances.  waiting maps
    the tickets of waiting requests to their futures.  usable_since_s is
    when the own lease was first seen to be valid.  appended_ms maps the
    offsets that opened the present holders to the times the log appended
    them, and _LATEST to the time of the last record read.
    """

    board: blackboard.Board
    shares: share_types.Shares
    client: log_client.LogClient
    random: random.Random
    send: SendToPeer
    ask: AskPeer
    live: ReadLive
    planner: share_moves.Planner = attrs.field(factory=share_moves.Planner)
    tickets: typing.Iterator[int] = attrs.field(factory=itertools.count)
    waiting: dict[int, asyncio.Future[None]] = attrs.field(factory=dict)
    next_offset: int = 0
    usable_since_s: float = math.inf
    appended_ms: dict[int, int] = attrs.field(factory=dict)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


async def admit(feed: ShareFeed, account: model.ClientAccount) -> None:
    """Spends a token of the account; may wait a short time for a loan.

    Raises ResultError(RATE_EXCEEDED) if it gets none.
    """
    ticket = next(feed.tickets)
    decision = share_loans.request(
        feed.shares, time.monotonic(), account, ticket
    )
    _send_all(feed, decision.sends)
    match decision:
        case share_verdicts.Refused():
            raise _rate_exceeded(decision.retry_after_s)
        case share_verdicts.Waiting():
            future: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            feed.waiting[ticket] = future
            await future


def _rate_exceeded(retry_after_s: float) -> errors.ResultError:
    return errors.ResultError(codes.RATE_EXCEEDED, retry_after_s=retry_after_s)


def receive_message(
    feed: ShareFeed, sender: str, message: messages.Message
) -> None:
    """Handles a peer message about tokens or parts."""
    accounts = feed.board.config.accounts
    outcome = share_loans.receive(
        feed.shares, time.monotonic(), sender, message, accounts
    )
    _apply_outcome(feed, outcome)


def _apply_outcome(feed: ShareFeed, outcome: share_verdicts.Outcome) -> None:
    for ticket in outcome.admitted:
        future = feed.waiting.pop(ticket, None)
        if future is not None and not future.done():
            future.set_result(None)
    for ticket in outcome.refused:
        future = feed.waiting.pop(ticket, None)
        if future is not None and not future.done():
            future.set_exception(_rate_exceeded(outcome.retry_after_s))
    _send_all(feed, outcome.sends)


def _send_all(
    feed: ShareFeed, sends: collections.abc.Iterable[outbound.OutboundMessage]
) -> None:
    for send in sends:
        feed.send(send.to, send.message)


async def follow(feed: ShareFeed) -> typing.NoReturn:
    """Reads and applies the stream's records until cancelled."""
    while True:
        wait_s = READ_WAIT_S if feed.ready.is_set() else 0.0
        try:
            result = await feed.client.read(
                STREAM, feed.next_offset, BATCH_RECORDS, wait_s
            )
        except errors.ResultError:
            await _copy_peer_ledger(feed)
            await asyncio.sleep(feed.random.uniform(0.5, 1) * READ_RETRY_S)
            continue
        _apply_records(feed, result)
        if not result.records and not feed.ready.is_set():
            await asyncio.sleep(TICK_INTERVAL_S)


def _decode(entry: log_client.LogRecord) -> messages.Message:
    try:
        return codec.decode(entry.data)
    except codec.CodecError as error:
        # The offset is applied as an empty record: skipping it would be a gap.
        logs.warning(
            'shares-record-undecodable', offset=entry.offset, detail=error
        )
        return None


def _apply_records(feed: ShareFeed, result: log_client.ReadResult) -> None:
    now = time.monotonic()
    ledger = feed.shares.ledger
    if not result.records and result.first > ledger.next_offset:
        share_state.reset(feed.shares, now, result.first)
    for entry in result.records:
        feed.next_offset = entry.offset + 1
        feed.appended_ms[entry.offset] = entry.time_ms
        feed.appended_ms[_LATEST] = entry.time_ms
        try:
            share_state.apply_record(
                feed.shares, now, entry.offset, _decode(entry)
            )
        except errors.ResultError as error:
            logs.warning(
                'shares-record-refused', offset=entry.offset, detail=error
            )
    feed.next_offset = max(feed.next_offset, result.next_offset)
    epochs = {h.epoch for h in feed.shares.ledger.holders.values()}
    for offset in feed.appended_ms.keys() - epochs - {_LATEST}:
        del feed.appended_ms[offset]
    if share_state.can_use_units(feed.shares, now):
        feed.usable_since_s = min(feed.usable_since_s, now)


async def tick(feed: ShareFeed) -> typing.NoReturn:
    """Calls share_loans.tick at regular intervals until cancelled."""
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        accounts = feed.board.config.accounts
        outcome = share_loans.tick(feed.shares, time.monotonic(), accounts)
        _apply_outcome(feed, outcome)
        _note_ready(feed, time.monotonic())


def _note_ready(feed: ShareFeed, now: float) -> None:
    # Sets ready when this instance can spend or borrow tokens, or after
    # READY_AFTER_S: units that a fleet has just distributed are in use
    # nowhere until all loans of their last holder must have ended.
    if (
        feed.shares.active_units
        or now >= feed.usable_since_s + READY_AFTER_S
        or _has_ready_lender(feed)
    ):
        feed.ready.set()


def _has_ready_lender(feed: ShareFeed) -> bool:
    live = feed.live()
    return any(
        holder.units
        and holder.instance in live
        and holder.name != feed.shares.holder
        and _opened_long_ago(feed, holder.epoch)
        for holder in feed.shares.ledger.holders.values()
    )


def _opened_long_ago(feed: ShareFeed, epoch: int) -> bool:
    # A holder known only from a snapshot opened long ago.
    latest_ms = feed.appended_ms.get(_LATEST, 0)
    appended_ms = feed.appended_ms.get(epoch)
    return appended_ms is None or latest_ms - appended_ms >= _LENDER_READY_MS


async def _copy_peer_ledger(feed: ShareFeed) -> None:
    """Reads the ledger from a peer if the log fails and none is known yet."""
    others = sorted(feed.live() - {feed.shares.instance})
    if not others or feed.shares.ledger.holders:
        return
    try:
        snapshot = await feed.ask(
            feed.random.choice(others), messages.ReadShares()
        )
    except errors.ResultError:
        return
    if isinstance(snapshot, messages.SharesSnapshot) and snapshot.holders:
        offset = snapshot.next_offset - 1
        share_state.apply_record(
            feed.shares, time.monotonic(), offset, snapshot
        )
        feed.next_offset = snapshot.next_offset


def read_shares(feed: ShareFeed) -> messages.SharesSnapshot:
    """Returns the ledger for a peer that cannot reach the log.

    Raises ResultError(LOG_UNAVAILABLE) if the own ledger is incomplete.
    """
    if not feed.shares.ledger.complete:
        raise errors.ResultError(codes.LOG_UNAVAILABLE)
    return share_ledger.snapshot(feed.shares.ledger)


async def plan(feed: ShareFeed) -> typing.NoReturn:
    """Appends the records that are due, until cancelled."""
    while True:
        records = share_moves.plan(
            feed.planner, feed.shares, time.monotonic(), feed.live()
        )
        for record in records:
            await _append(feed, record)
        await asyncio.sleep(PLAN_INTERVAL_S)


async def _append(feed: ShareFeed, record: messages.Message) -> None:
    try:
        await feed.client.append(STREAM, codec.encode(record))
    except errors.ResultError as error:
        logs.info('shares-append-failed', code=error.code.number)


async def close(feed: ShareFeed) -> None:
    """Stops using all units and announces it, for a shutdown."""
    for record in share_moves.close(feed.planner, feed.shares):
        await _append(feed, record)


def fraction(feed: ShareFeed) -> float:
    """Returns the fraction of all accounts' limits in use here."""
    total = share_ledger.SLOTS * share_ledger.UNITS
    return sum(feed.shares.active_units.values()) / total
