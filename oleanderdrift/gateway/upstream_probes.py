"""Probes upstreams that may be alive although they get no requests.

A probe is a connection, and the upstream's report of which start it is, but
no caller's request.
"""

import asyncio
import contextlib
import enum
import random
import typing

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstreams as upstreams_lib

MAX_OPEN_PROBES: typing.Final = 16
# Too soon after a crash for the upstream to have started again.
RESTART_S: typing.Final = 1.0
# The entry of another start is read within this time.
CONFIRM_S: typing.Final = 2.0
CHECK_INTERVAL_S: typing.Final = 0.1


class Finding(enum.Enum):
    """What a probe says of an upstream.

    LIVES needs its report.  ANSWERS is an answer of one that writes none, so
    that it may have started again.  UNCLEAR is a connection without an answer,
    or a request that has stayed open.
    """

    LIVES = 'lives'
    ANSWERS = 'answers'
    UNCLEAR = 'unclear'
    UNREACHED = 'unreached'


def due(
    known: upstreams_lib.UpstreamSet, now: float
) -> list[upstreams_lib.Upstream]:
    """Returns the upstreams to probe, the longest due first."""
    found = [one for one in known.by_id.values() if one.probe_due(now)]
    return sorted(found, key=lambda one: one.probe_at)


class UpstreamProbes:
    """Probes the upstreams that are due, and decides by the answers.

    tasks holds the probes under way, by incarnation.
    """

    def __init__(
        self,
        board: board_lib.Board,
        connections: upstream_connections.UpstreamConnections,
        codec: ports.Codec,
        crashes: crash_detector.CrashDetector,
        events: event_log.EventLog,
        chance: random.Random,
    ) -> None:
        self.board = board
        self.connections = connections
        self.codec = codec
        self.crashes = crashes
        self.events = events
        self.chance = chance
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def probe_periodically(self) -> None:
        """Probes all upstreams that are due until cancelled."""
        raised = self.board.accusations.raised
        try:
            while True:
                raised.clear()
                self.start_due(clock.monotonic())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await raised.wait()
        finally:
            for task in self.tasks.values():
                task.cancel()

    def start_due(self, now: float) -> None:
        """Starts the probes that are due."""
        for upstream in due(self.board.upstreams, now):
            incarnation = upstream.entry.incarnation()
            if len(self.tasks) >= MAX_OPEN_PROBES:
                return
            if incarnation not in self.tasks:
                task = asyncio.create_task(self.probe(upstream))
                self.tasks[incarnation] = task

    async def probe(self, upstream: upstreams_lib.Upstream) -> None:
        """Probes one upstream."""
        try:
            finding = await self.examine(upstream)
            self.conclude(upstream, finding, clock.monotonic())
        finally:
            self.tasks.pop(upstream.entry.incarnation(), None)

    async def examine(self, upstream: upstreams_lib.Upstream) -> Finding:
        """Finds out whether an upstream lives, in this start of it."""
        before = self.crashes.open_at(upstream)
        finding = await self.ask(upstream)
        if finding is Finding.UNREACHED and before:
            await asyncio.sleep(crash_detector.SETTLE_S)
            if before & self.crashes.open_at(upstream):
                return Finding.UNCLEAR
        return finding

    async def ask(self, upstream: upstreams_lib.Upstream) -> Finding:
        """Asks an upstream which start it is, also on an idle connection.

        Where only new connections are refused, idle ones live on; but one
        may have been closed without this instance having heard of it.
        """
        key = upstream.key()
        while True:
            now = clock.monotonic()
            was_idle = self.connections.pool.has_idle(key, now)
            try:
                connection = await self.connections.acquire(upstream, now)
            except (OSError, TimeoutError):
                return Finding.UNREACHED
            connection.is_verified = False
            try:
                if not await exchange.is_incarnation(
                    connection, self.codec, upstream.entry
                ):
                    return Finding.UNREACHED
            except exchange.NoReportError:
                return Finding.ANSWERS
            except (TimeoutError, buffering.ChannelError) as error:
                if was_idle and isinstance(error, buffering.ChannelError):
                    continue
                self.events.info(
                    'probe-unclear',
                    upstream=upstream.entry.upstream_id,
                    reason=repr(error),
                )
                return Finding.UNCLEAR
            exchange.note_cold(self.board, upstream, connection)
            self.connections.release(upstream, connection, clock.monotonic())
            return Finding.LIVES

    def conclude(
        self, upstream: upstreams_lib.Upstream, finding: Finding, now: float
    ) -> None:
        """Takes an upstream back, or believes those who say it crashed."""
        match finding:
            case Finding.LIVES:
                self.use_again(upstream)
                self.withdraw_crash(upstream, now)
            case Finding.ANSWERS:
                self.use_again(upstream)
                self.confirm(upstream, now)
            case Finding.UNCLEAR:
                upstream.schedule_probe(now, self.chance)
                if upstream.set_aside_at is None:
                    upstream.doubted_until = (
                        upstream.probe_at + upstreams_lib.DOUBT_S
                    )
            case Finding.UNREACHED:
                upstream.schedule_probe(now, self.chance)
                upstream.answered_at = None
                self.believe(upstream, now)

    def believe(self, upstream: upstreams_lib.Upstream, now: float) -> None:
        """Records the crash of an upstream that peers told of, if any did."""
        incarnation = upstream.entry.incarnation()
        reports = self.board.accusations.take(incarnation, now)
        if not reports:
            return
        upstream.set_aside(now)
        self.events.info(
            'crash-believed',
            upstream=upstream.entry.upstream_id,
            peers=','.join(sorted(reports)),
        )
        for report in reports.values():
            blames = self.board.crashes.note_crash(incarnation, report, now)
            crash_detector.log_blames(self.events, blames)

    def use_again(self, upstream: upstreams_lib.Upstream) -> None:
        """Sends an upstream requests again."""
        if upstream.probe_failures and upstream.answered_at is None:
            self.events.info(
                'upstream-returned',
                upstream=upstream.entry.upstream_id,
                reason='probe',
                probes=upstream.probe_failures,
                was_set_aside=upstream.set_aside_at is not None,
            )
        upstream.use_again()

    def confirm(self, upstream: upstreams_lib.Upstream, now: float) -> None:
        """Withdraws a crash once it cannot be another start that answers.

        None starts so soon after a crash, and another start's entry would
        have been read meanwhile.
        """
        if upstream.answered_at is None:
            upstream.answered_at = now
        confirmed_at = upstream.answered_at + CONFIRM_S
        if now >= confirmed_at or now < self.crash_at(upstream) + RESTART_S:
            self.withdraw_crash(upstream, now)
        else:
            upstream.probe_at = confirmed_at

    def crash_at(self, upstream: upstreams_lib.Upstream) -> float:
        """Returns when an upstream crashed, infinity if nobody says so."""
        incarnation = upstream.entry.incarnation()
        known = self.board.crashes.crashes.get(incarnation)
        if known is not None:
            return known.at
        return self.board.accusations.earliest(incarnation)

    def withdraw_crash(
        self, upstream: upstreams_lib.Upstream, now: float
    ) -> None:
        """Withdraws what was said of an upstream, and ends its probes."""
        incarnation = upstream.entry.incarnation()
        reports = self.board.accusations.take(incarnation, now)
        if reports:
            self.events.info(
                'crash-contradicted',
                upstream=upstream.entry.upstream_id,
                peers=','.join(sorted(reports)),
            )
        if reports or incarnation in self.board.crashes.crashes:
            unblocked = self.board.crashes.note_alive(incarnation, now)
            crash_detector.log_unblocked(self.events, unblocked)
        upstream.end_probes()
