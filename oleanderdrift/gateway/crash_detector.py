"""Tells the crash of an upstream from the failure of one connection.

When an answer breaks off, the upstream may have crashed, or it may have
closed this one connection, or the network may have failed.  It has crashed
if no other connection to it is left and it refuses a new one.
"""

import asyncio
import collections
import collections.abc
import enum
import random
import typing

import attrs

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import upstreams

# The resets of all connections arrive within this time.
SETTLE_S: typing.Final = 0.03
CONNECT_TIMEOUT_S: typing.Final = 0.25
# Other upstreams that are tried before one is said to have crashed.
MAX_CONTROLS: typing.Final = 3


class WitnessAnswer(enum.Enum):
    """What a try to reach an upstream showed."""

    REACHED = 'reached'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


Witness: typing.TypeAlias = collections.abc.Callable[
    [upstreams.Upstream],
    collections.abc.Coroutine[typing.Any, typing.Any, WitnessAnswer],
]


async def no_witness(upstream: upstreams.Upstream) -> WitnessAnswer:
    """Says nothing, where there is no second witness."""
    return WitnessAnswer.NO_ANSWER


@attrs.define(kw_only=True)
class OpenRequest:
    """A request at an upstream; answering says that its answer has begun."""

    fingerprints: fingerprints.Fingerprints
    answering: bool = False


class CrashDetector:
    """Watches the open requests of one instance, by upstream.

    broken holds those whose answers broke off, until the reason is known.
    checks holds the tasks that find out.  witness tries an upstream that
    refuses this instance from elsewhere.
    """

    def __init__(
        self,
        board: board_lib.Board,
        pool: connection_pool.Pool,
        events: event_log.EventLog,
        chance: random.Random,
        witness: Witness = no_witness,
    ) -> None:
        self.board = board
        self.pool = pool
        self.events = events
        self.chance = chance
        self.witness = witness
        self.open: collections.defaultdict[str, dict[str, OpenRequest]] = (
            collections.defaultdict(dict)
        )
        self.broken: collections.defaultdict[str, list[OpenRequest]] = (
            collections.defaultdict(list)
        )
        self.checks: dict[str, asyncio.Task[bool]] = {}

    def begin(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Notes that a request is sent to an upstream."""
        request_id = progress.admitted.request.request_id
        self.open[upstream.entry.incarnation()][request_id] = OpenRequest(
            fingerprints=progress.fingerprints
        )

    def note_answering(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Notes that a part of the answer has come."""
        request_id = progress.admitted.request.request_id
        found = self.open[upstream.entry.incarnation()].get(request_id)
        if found is not None:
            found.answering = True

    def end(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Notes that a request is no longer at an upstream."""
        incarnation = upstream.entry.incarnation()
        requests = self.open[incarnation]
        requests.pop(progress.admitted.request.request_id, None)
        if not requests and incarnation not in self.checks:
            del self.open[incarnation]

    def note_broken(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> asyncio.Task[bool]:
        """Notes that an answer broke off; returns the check for a crash.

        The result of the check is whether the upstream has crashed.
        """
        incarnation = upstream.entry.incarnation()
        request_id = progress.admitted.request.request_id
        found = self.open[incarnation].pop(request_id, None)
        if found is not None:
            self.broken[incarnation].append(found)
        check = self.checks.get(incarnation)
        if check is None:
            check = asyncio.create_task(self.check(upstream))
            self.checks[incarnation] = check
        return check

    async def check(self, upstream: upstreams.Upstream) -> bool:
        """Finds out whether an upstream has crashed, and records it."""
        incarnation = upstream.entry.incarnation()
        before = set(self.open[incarnation])
        try:
            await asyncio.sleep(SETTLE_S)
            still_open = before & self.open[incarnation].keys()
            if (
                self.has_left(upstream)
                or still_open
                or not await self.refuses(upstream)
                or not await self.is_believable(upstream)
            ):
                return False
            self.record(upstream)
            return True
        finally:
            self.checks.pop(incarnation, None)
            self.broken.pop(incarnation, None)
            if not self.open[incarnation]:
                del self.open[incarnation]

    def open_at(self, upstream: upstreams.Upstream) -> set[str]:
        """Returns the ids of the requests that are open at an upstream."""
        return set(self.open.get(upstream.entry.incarnation(), ()))

    def has_left(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream was to end, after its last requests."""
        entry = upstream.entry
        if entry.draining or self.board.upstreams.is_leaving(entry):
            return True
        is_known = upstream.entry.incarnation() in self.board.crashes.crashes
        return upstream.removed_at is not None and not is_known

    async def refuses(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream refuses a connection.

        Where the own links to it hang, only a witness can tell.
        """
        key, entry = upstream.key(), upstream.entry
        now = clock.monotonic()
        if self.pool.has_idle(key, now):
            return False
        try:
            connection = await self.pool.acquire(
                key, entry.host, entry.port, CONNECT_TIMEOUT_S, now
            )
        except ConnectionError:
            return True
        except (OSError, TimeoutError):
            answer = await self.witness(upstream)
            return answer is WitnessAnswer.REFUSED
        self.pool.release(key, connection, clock.monotonic())
        return False

    async def is_believable(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream that refuses connections has crashed.

        If nobody else says so, this instance believes itself only while it
        reaches other upstreams.
        """
        answer = await self.witness(upstream)
        match answer:
            case WitnessAnswer.REFUSED:
                return True
            case WitnessAnswer.REACHED:
                self.note_doubt(upstream, 'a witness reaches it')
                return False
            case WitnessAnswer.NO_ANSWER:
                pass
        others = controls(
            self.board.upstreams.by_id.values(), upstream, self.chance
        )
        refused = await asyncio.gather(*map(self.refuses_now, others))
        if refused and all(refused):
            names = ','.join(one.entry.upstream_id for one in others)
            self.note_doubt(upstream, f'{names} cannot be reached either')
            return False
        return True

    def note_doubt(self, upstream: upstreams.Upstream, reason: str) -> None:
        """Records that no crash is reported, and why."""
        upstream.begin_probes(clock.monotonic(), self.chance)
        self.events.info(
            'crash-doubted',
            upstream=upstream.entry.upstream_id,
            reason=reason,
        )

    async def refuses_now(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a new connection to an upstream fails."""
        key, entry = upstream.key(), upstream.entry
        try:
            connection = await self.pool.open(
                entry.host, entry.port, CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            return True
        self.pool.release(key, connection, clock.monotonic())
        return False

    def record(self, upstream: upstreams.Upstream) -> None:
        """Records a crash and the requests that were open."""
        now = clock.monotonic()
        incarnation = upstream.entry.incarnation()
        requests = self.broken[incarnation]
        report = crash_ledger.CrashReport(
            age_s=0.0,
            silent=_fingerprints(one for one in requests if not one.answering),
            answering=_fingerprints(one for one in requests if one.answering),
        )
        self.events.info(
            'upstream-crashed',
            upstream=upstream.entry.upstream_id,
            silent=','.join(sorted(report.silent)),
            answering=','.join(sorted(report.answering)),
        )
        upstream.begin_probes(now, self.chance)
        log_blames(
            self.events, self.board.note_crash(incarnation, report, now)
        )


def controls(
    known: collections.abc.Iterable[upstreams.Upstream],
    suspect: upstreams.Upstream,
    chance: random.Random,
) -> list[upstreams.Upstream]:
    """Returns some upstreams that show whether this instance's links work.

    They are at other addresses than the suspect.  None is returned if all
    others are set aside.
    """
    address = (suspect.entry.host, suspect.entry.port)
    others = [
        one
        for one in known
        if (one.entry.host, one.entry.port) != address
        and one.removed_at is None
        and one.set_aside_at is None
    ]
    return chance.sample(others, min(len(others), MAX_CONTROLS))


def log_blames(
    events: event_log.EventLog,
    blames: collections.abc.Iterable[crash_ledger.Blame],
) -> None:
    """Logs which requests or targets are refused from now on."""
    for blame in blames:
        events.info(
            'request-blocked',
            fingerprint=blame.fingerprint,
            block_s=blame.block_s,
        )


def log_unblocked(
    events: event_log.EventLog, unblocked: collections.abc.Iterable[str]
) -> None:
    """Logs which requests or targets are no longer refused."""
    for fingerprint in unblocked:
        events.info('request-unblocked', fingerprint=fingerprint)


def _fingerprints(
    requests: collections.abc.Iterable[OpenRequest],
) -> frozenset[str]:
    """Returns the fingerprints of requests and of their targets."""
    return frozenset(
        name
        for one in requests
        for name in (one.fingerprints.request, one.fingerprints.target)
    )
