"""Probes upstreams that may be alive although they get no requests.

A probe is a connection, and the upstream's report of which start it is, but
no caller's request.
"""

import asyncio
import contextlib
import random
import typing

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstreams as upstreams_lib

MAX_OPEN_PROBES: typing.Final = 16
CHECK_INTERVAL_S: typing.Final = 0.1

WitnessAnswer: typing.TypeAlias = crash_detector.WitnessAnswer


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
            reach = await self.try_to_reach(upstream)
            self.conclude(upstream, reach, clock.monotonic())
        finally:
            self.tasks.pop(upstream.entry.incarnation(), None)

    async def try_to_reach(
        self, upstream: upstreams_lib.Upstream
    ) -> WitnessAnswer:
        """Returns whether an upstream, in this start of it, can be reached.

        A request that stays open there shows it as well: where only new
        connections are refused, old ones live on.
        """
        before = self.crashes.open_at(upstream)
        reach = await self.connect(upstream)
        if reach is WitnessAnswer.REACHED or not before:
            return reach
        await asyncio.sleep(crash_detector.SETTLE_S)
        if before & self.crashes.open_at(upstream):
            return WitnessAnswer.REACHED
        return reach

    async def connect(self, upstream: upstreams_lib.Upstream) -> WitnessAnswer:
        """Returns how a connection to an upstream turns out.

        One that is established is kept for requests.
        """
        try:
            connection = await self.connections.acquire(
                upstream, clock.monotonic()
            )
        except ConnectionError:
            return WitnessAnswer.REFUSED
        except (OSError, TimeoutError):
            return WitnessAnswer.NO_ANSWER
        try:
            if not await exchange.is_incarnation(
                connection, self.codec, upstream.entry
            ):
                return WitnessAnswer.REFUSED
        except (TimeoutError, channel.ChannelError):
            return WitnessAnswer.NO_ANSWER
        self.connections.release(upstream, connection, clock.monotonic())
        return WitnessAnswer.REACHED

    def conclude(
        self,
        upstream: upstreams_lib.Upstream,
        reach: WitnessAnswer,
        now: float,
    ) -> None:
        """Takes an upstream back, or believes those who say it crashed."""
        incarnation = upstream.entry.incarnation()
        reports = self.board.accusations.take(incarnation, now)
        peers = ','.join(sorted(reports))
        if reach is WitnessAnswer.REACHED:
            self.take_back(upstream, peers, now)
            return
        upstream.schedule_probe(now, self.chance)
        if not reports:
            return
        upstream.set_aside(now)
        self.events.info(
            'crash-believed',
            upstream=upstream.entry.upstream_id,
            peers=peers,
            reach=reach.value,
        )
        for report in reports.values():
            blames = self.board.crashes.note_crash(incarnation, report, now)
            crash_detector.log_blames(self.events, blames)

    def take_back(
        self, upstream: upstreams_lib.Upstream, peers: str, now: float
    ) -> None:
        """Sends an upstream requests again."""
        if peers:
            self.events.info(
                'crash-contradicted',
                upstream=upstream.entry.upstream_id,
                peers=peers,
            )
        if upstream.probe_failures:
            self.events.info(
                'upstream-returned',
                upstream=upstream.entry.upstream_id,
                reason='probe',
                probes=upstream.probe_failures,
                was_set_aside=upstream.set_aside_at is not None,
            )
        incarnation = upstream.entry.incarnation()
        if peers or incarnation in self.board.crashes.crashes:
            unblocked = self.board.crashes.withdraw(incarnation, now)
            crash_detector.log_unblocked(self.events, unblocked)
        upstream.take_back()
