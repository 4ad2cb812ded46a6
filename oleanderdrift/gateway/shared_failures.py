"""Counts the answers that upstreams break off, over all instances.

The load it answers: an upstream accepts connections and resets them, fails a
part of its requests while its health check passes, or goes down and up every
second.  In a large fleet each instance sends it about one request a second.
If each had to find out by itself, each would lose a request, and a call that
may not be repeated ends its program when it breaks off.

Instances tell each other how many requests an upstream answered and how many
it broke off, while any of them has lately seen one broken off.  The share of
all instances' requests that fail there, times what a failure costs the
caller, is a delay that placement adds to the upstream's own.  A request that
may be repeated costs little, so such requests show when an upstream is sound
again.  An instance whose own links fail counts for no more than its requests
among those of all others.
"""

import math
import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds

# The time constants of the two decaying counts: the short one shows that an
# upstream fails now, the long one that it went down several times.
SHORT_S: typing.Final = 1.0
LONG_S: typing.Final = 4.0
# Answers that are assumed beside those counted, so that the first failure of
# an upstream says little.
ASSUMED_ANSWERS: typing.Final = 3.0
# More failures would only take longer to be forgotten.
MAX_FAILURES: typing.Final = 30.0
# Outcomes are counted and told until this long after the last failure.
WATCHED_S: typing.Final = 15.0
# Failures that a peer tells of later are not counted: it was cut off, and its
# links failed rather than the upstreams.
MAX_TOLD_AGE_S: typing.Final = 0.6
# A call that may not be repeated ends its program, which then starts again.
FAILED_CALL_S: typing.Final = 2.0
# A turn is sent again by its caller, from its start.
FAILED_TURN_S: typing.Final = 0.5
# The gateway itself sends it again or has it continued: a round trip and
# often a new connection.
REPEATED_S: typing.Final = 0.02


class Report(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """How many requests of an instance an upstream answered and broke off.

    Counted from when the instance began to watch the upstream.  age_s is the
    age of its last failure.
    """

    answered: bounds.Count
    failed: bounds.Count
    age_s: bounds.Seconds = 0.0


_NOTHING: typing.Final = Report(answered=0, failed=0)


@attrs.define(kw_only=True)
class DecayingCounts:
    """Outcomes whose weight decays with a time constant, as of a time."""

    time_constant_s: float
    answered: float = 0.0
    failed: float = 0.0
    at: float

    def add(self, answered: int, failed: int, now: float) -> None:
        """Adds outcomes."""
        weight = math.exp(-max(now - self.at, 0.0) / self.time_constant_s)
        self.answered = self.answered * weight + answered
        self.failed = min(self.failed * weight + failed, MAX_FAILURES)
        self.at = now

    def failed_share(self, now: float) -> float:
        """Returns the share of requests that fail, between 0 and 1."""
        self.add(0, 0, now)
        total = self.answered + self.failed + ASSUMED_ANSWERS
        return self.failed / total


@attrs.define(kw_only=True)
class Watched:
    """An upstream that lately broke off an answer, by all instances' counts.

    answered and failed count this instance's requests, the last of which
    failed at failed_at.  told is what each peer last reported.
    """

    short: DecayingCounts
    long: DecayingCounts
    last_failure: float
    answered: int = 0
    failed: int = 0
    failed_at: float = float('-inf')
    told: dict[str, Report] = attrs.field(factory=dict)

    def add(self, answered: int, failed: int, now: float) -> None:
        """Adds outcomes of any instance."""
        self.short.add(answered, failed, now)
        self.long.add(answered, failed, now)
        if failed:
            self.last_failure = now

    def report(self, now: float) -> Report:
        """Returns what this instance counted, for its peers."""
        return Report(
            answered=self.answered,
            failed=self.failed,
            age_s=min(max(now - self.failed_at, 0.0), WATCHED_S),
        )

    def failed_share(self, now: float) -> float:
        """Returns the share of requests that fail there."""
        return max(self.short.failed_share(now), self.long.failed_share(now))


@attrs.define(kw_only=True)
class SharedFailures:
    """The upstreams that lately broke off answers, by incarnation.

    failures_told is how many failures of this instance peers were told of.
    """

    watched: dict[str, Watched] = attrs.field(factory=dict)
    own_failures: int = 0
    failures_told: int = 0

    def note_answer(self, incarnation: str, now: float) -> None:
        """Counts a complete answer to a request of this instance."""
        watched = self.watched.get(incarnation)
        if watched is not None:
            watched.add(1, 0, now)
            watched.answered += 1

    def note_failure(self, incarnation: str, now: float) -> None:
        """Counts an answer to this instance that broke off."""
        watched = self.watch(incarnation, now)
        watched.add(0, 1, now)
        watched.failed += 1
        watched.failed_at = now
        self.own_failures += 1

    def watch(self, incarnation: str, now: float) -> Watched:
        """Returns the counts of an upstream, new ones if it has none."""
        found = self.watched.get(incarnation)
        if found is None:
            found = self.watched[incarnation] = Watched(
                short=DecayingCounts(time_constant_s=SHORT_S, at=now),
                long=DecayingCounts(time_constant_s=LONG_S, at=now),
                last_failure=now,
            )
        return found

    def note_reports(
        self, peer: str, reports: dict[str, Report], now: float
    ) -> list[str]:
        """Adds what a peer counted; returns who is watched from now on."""
        begun = []
        for incarnation, report in reports.items():
            is_recent = report.age_s <= MAX_TOLD_AGE_S
            if incarnation not in self.watched:
                if not report.failed or not is_recent:
                    continue
                begun.append(incarnation)
            watched = self.watch(incarnation, now)
            before = watched.told.get(peer, _NOTHING)
            if (
                report.answered < before.answered
                or report.failed < before.failed
            ):
                # The peer has started again, or to count anew.
                before = _NOTHING
            watched.told[peer] = report
            failed = report.failed - before.failed if is_recent else 0
            watched.add(report.answered - before.answered, failed, now)
        return begun

    def reports(self, now: float) -> dict[str, Report]:
        """Returns what this instance counted, for its peers."""
        for incarnation, each in list(self.watched.items()):
            if now - each.last_failure > WATCHED_S:
                del self.watched[incarnation]
        self.failures_told = self.own_failures
        return {
            incarnation: each.report(now)
            for incarnation, each in self.watched.items()
            if each.answered or each.failed
        }

    def has_unreported(self) -> bool:
        """Returns whether peers have not been told of a failure."""
        return self.own_failures != self.failures_told

    def expected_loss_s(self, cost_s: float, now: float) -> dict[str, float]:
        """Returns the expected loss at each watched upstream.

        cost_s is what a failure costs the request.  The losses are delays in
        seconds, by incarnation.
        """
        return {
            incarnation: each.failed_share(now) * cost_s
            for incarnation, each in self.watched.items()
        }


def failure_cost_s(*, may_repeat: bool, is_turn: bool) -> float:
    """Returns by how much an answer that breaks off delays its program."""
    if may_repeat:
        return REPEATED_S
    return FAILED_TURN_S if is_turn else FAILED_CALL_S
