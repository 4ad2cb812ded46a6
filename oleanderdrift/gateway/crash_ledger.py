"""Finds requests under which one upstream after the other crashes.

A crash is blamed on a request and not on the upstream once the same request
was open at several upstreams when they crashed.  Callers send it again at any
instance, with another id, so it is known by its fingerprint, and instances
tell each other which requests they had open at which upstream.  An upstream
that ends counts once, however many instances report it.

Several requests are open at each crash, and most of them are innocent.  One
that was open at two crashes is blamed if no other was open at both, unless
one that is blamed already explains one of them.  Three crashes are enough in
any case: a fourth upstream would be lost for certainty.  The first event of
an answer shows that an upstream has run a request for a while without harm,
so such requests are blamed only where there was no other.  One that an
upstream has run to its end is not blamed: many callers' requests are alike,
and some are open at every crash.

A caller may change the body from try to try, as a conversation does that is
sent whole each time.  So the same is asked of a caller's target, whatever the
body, but one or two crashes say nothing about a target.

An upstream that is said to have crashed may live.  Its crash is withdrawn
then, and who is blocked for it is decided anew by the other crashes.
"""

import collections
import collections.abc
import itertools
import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import fingerprints

# Crashes with a request open after which it is blamed in any case, and after
# which it is if nothing else can be.
CERTAIN_CRASHES: typing.Final = 3
LIKELY_CRASHES: typing.Final = 2
# How long a request is refused.  The shorter time gives one that is blamed
# wrongly another chance; the longer one outlasts callers that try again.
CERTAIN_BLOCK_S: typing.Final = 600.0
LIKELY_BLOCK_S: typing.Final = 60.0
# Crashes are forgotten after this time, and the oldest beyond this number.
CRASH_RETENTION_S: typing.Final = 60.0
MAX_CRASHES: typing.Final = 256
# Requests that are remembered at one crash.
MAX_SUSPECTS: typing.Final = 256
MAX_BLOCKED: typing.Final = 4_096
# The latest requests that were run, those of some minutes.
MAX_PROVEN: typing.Final = 10_000
# By then, all instances have reported a crash.
SETTLE_S: typing.Final = 0.25
# What is told of refused requests at once; the latest are the likeliest to
# come again.
MAX_REPORTED: typing.Final = 64
# A crash is told for this long, so that lost messages do no harm.
REPORT_S: typing.Final = 1.0


_NO_GROUNDS: typing.Final[dict[str, frozenset[str]]] = {}


class CrashReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What was open at an upstream when it crashed, by fingerprint.

    silent are those whose answer had not begun, answering the others.
    """

    age_s: bounds.Seconds
    silent: frozenset[str]
    answering: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class Crash:
    """One crash, as all instances together saw it; see CrashReport.

    at is when it happened, by the first report.
    """

    at: float
    silent: frozenset[str] = frozenset()
    answering: frozenset[str] = frozenset()

    def open_requests(self) -> frozenset[str]:
        """Returns all requests that were open."""
        return self.silent | self.answering

    def suspects(self) -> frozenset[str]:
        """Returns the requests that may have caused it."""
        return self.silent or self.answering


@attrs.frozen(kw_only=True)
class Blame:
    """A request or target that is refused from now on, for a time."""

    fingerprint: str
    block_s: float


@attrs.define(kw_only=True)
class CrashLedger:
    """The crashes that any instance saw, by incarnation of the upstream.

    blocked holds until when requests are refused, by fingerprint, and grounds
    at which crashes they were open.  refuted holds as of when upstreams were
    found alive that were said to have crashed, by any instance, and
    found_alive by this one: only that is told to the peers.  proven holds
    those that upstreams have run to their end for this instance, the latest
    last.  own holds what this instance had open, as of a time.
    undecided are those that may have to be blamed once all instances had the
    time to report the latest crash, at review_at.
    """

    crashes: collections.OrderedDict[str, Crash] = attrs.field(
        factory=collections.OrderedDict
    )
    blocked: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    grounds: dict[str, frozenset[str]] = attrs.field(factory=dict)
    refuted: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    found_alive: dict[str, float] = attrs.field(factory=dict)
    proven: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    own: dict[str, Crash] = attrs.field(factory=dict)
    undecided: set[str] = attrs.field(factory=set)
    review_at: float = float('inf')

    def note_success(self, prints: fingerprints.Fingerprints) -> None:
        """Notes that an upstream has run a request to its end."""
        for one in (prints.request, prints.target):
            self.proven[one] = None
            self.proven.move_to_end(one)
        while len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        return now < self.blocked.get(fingerprint, float('-inf'))

    def blocked_for_s(
        self, prints: fingerprints.Fingerprints, now: float
    ) -> float:
        """Returns for how long a request is refused, 0 if it is not."""
        until = max(
            self.blocked.get(prints.request, now),
            self.blocked.get(prints.target, now),
        )
        return max(until - now, 0.0)

    def note_crash(
        self, incarnation: str, report: CrashReport, now: float
    ) -> list[Blame]:
        """Adds what an instance had open; returns who is blamed now."""
        at = now - report.age_s
        if self.is_refuted(incarnation, at):
            return []
        known = self.crashes.get(incarnation)
        if known is None:
            known = self.crashes[incarnation] = Crash(at=at)
        added = report.silent - known.silent or (
            report.answering - known.answering
        )
        if not added or len(known.open_requests()) > MAX_SUSPECTS:
            return []
        known.at = min(known.at, at)
        known.silent |= report.silent
        known.answering |= report.answering
        self.forget_old(now)
        self.undecided |= known.open_requests()
        self.review_at = now + SETTLE_S
        certain = {
            one
            for one in report.silent - self.proven.keys()
            if self.silent_crashes(one) >= CERTAIN_CRASHES
        }
        return self.blame(certain, CERTAIN_BLOCK_S, now)

    def is_refuted(self, incarnation: str, at: float) -> bool:
        """Returns whether an upstream was alive after its crash at a time."""
        return at <= self.refuted.get(incarnation, float('-inf'))

    def note_alive(self, incarnation: str, now: float) -> list[str]:
        """Notes that this instance has found an upstream alive; see withdraw.

        Peers do not tell on what they were told: it would never end.
        """
        self.found_alive[incarnation] = now
        return self.withdraw(incarnation, now)

    def withdraw(self, incarnation: str, alive_at: float) -> list[str]:
        """Withdraws the crash of an upstream that was alive later.

        Returns the fingerprints that are no longer refused.
        """
        known = self.crashes.get(incarnation)
        if self.is_refuted(incarnation, alive_at) or (
            known is not None and known.at > alive_at
        ):
            return []
        self.refuted[incarnation] = alive_at
        self.refuted.move_to_end(incarnation)
        if len(self.refuted) > MAX_CRASHES:
            self.refuted.popitem(last=False)
        self.crashes.pop(incarnation, None)
        self.own.pop(incarnation, None)
        affected = [
            one for one, each in self.grounds.items() if incarnation in each
        ]
        return [
            one
            for one in affected
            if self.unblock(one, self.grounds[one] - {incarnation}, alive_at)
        ]

    def unblock(
        self, fingerprint: str, left: frozenset[str], now: float
    ) -> bool:
        """Decides anew about a request, as some of its crashes were none.

        left are the others.  Returns whether it is no longer refused.
        """
        self.grounds[fingerprint] = left
        if len(left) >= CERTAIN_CRASHES:
            return False
        del self.grounds[fingerprint]
        self.blocked.pop(fingerprint, None)
        for name in left & self.crashes.keys():
            self.undecided |= self.crashes[name].open_requests()
        self.review_at = min(self.review_at, now + SETTLE_S)
        return True

    def silent_crashes(self, fingerprint: str) -> int:
        """Returns at how many crashes a request had no answer yet."""
        return sum(fingerprint in one.silent for one in self.crashes.values())

    def review(self, now: float) -> list[Blame]:
        """Decides about the latest crashes; returns who is blamed now."""
        if now < self.review_at:
            return []
        likely = {
            one
            for one in self.undecided - self.proven.keys()
            if self.is_likely(one, now)
        }
        self.undecided = set()
        self.review_at = float('inf')
        return self.blame(likely, LIKELY_BLOCK_S, now)

    def blame(
        self,
        prints: collections.abc.Iterable[str],
        block_s: float,
        now: float,
    ) -> list[Blame]:
        """Blocks requests for a time; returns those that were not yet."""
        found = []
        for one in sorted(prints):
            if not self.is_blocked(one, now):
                found.append(Blame(fingerprint=one, block_s=block_s))
            self.grounds[one] = self.crashes_of(one)
            self.block(one, now + block_s)
        return found

    def crashes_of(self, fingerprint: str) -> frozenset[str]:
        """Returns the crashes at which a request was open."""
        return frozenset(
            name
            for name, one in self.crashes.items()
            if fingerprint in one.open_requests()
        )

    def is_likely(self, fingerprint: str, now: float) -> bool:
        """Returns whether nothing else explains a request's crashes."""
        unexplained = [
            one
            for one in self.crashes.values()
            if fingerprint in one.suspects()
            and not any(
                self.is_blocked(other, now) for other in one.open_requests()
            )
        ]
        is_target = fingerprints.is_target(fingerprint)
        if len(unexplained) < _enough_crashes(fingerprint):
            return False
        others = collections.Counter(
            other
            for one in unexplained
            for other in one.suspects() - {fingerprint}
            if fingerprints.is_target(other) is is_target
        )
        return max(others.values(), default=0) < len(unexplained)

    def block(self, fingerprint: str, until: float) -> None:
        """Refuses a request until a time, or for longer if it is already."""
        known = self.blocked.pop(fingerprint, until)
        self.blocked[fingerprint] = max(known, until)
        if len(self.blocked) > MAX_BLOCKED:
            oldest, _ = self.blocked.popitem(last=False)
            self.grounds.pop(oldest, None)

    def note_blocked(
        self,
        left_s: dict[str, float],
        now: float,
        grounds: collections.abc.Mapping[str, frozenset[str]] = _NO_GROUNDS,
    ) -> None:
        """Adopts what a peer refuses, for instances that started later.

        A known time is not extended: peers would extend it in turn.  grounds
        are the crashes for which the peer does; peers of an earlier build
        tell none.
        """
        for fingerprint, each in left_s.items():
            if fingerprint in self.blocked or fingerprint in self.proven:
                continue
            told = grounds.get(fingerprint, frozenset())
            real = told - self.refuted.keys()
            if told and len(real) < _enough_crashes(fingerprint):
                continue
            self.block(fingerprint, now + min(each, CERTAIN_BLOCK_S))
            self.grounds[fingerprint] = real

    def forget_old(self, now: float) -> None:
        """Drops old crashes and what is no longer refused."""
        for name, one in list(self.crashes.items()):
            if now - one.at > CRASH_RETENTION_S:
                del self.crashes[name]
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        for fingerprint, until in list(self.blocked.items()):
            if until <= now:
                del self.blocked[fingerprint]
                self.grounds.pop(fingerprint, None)

    def note_own_crash(
        self, incarnation: str, report: CrashReport, now: float
    ) -> list[Blame]:
        """Adds what this instance had open, to be told to its peers."""
        own = self.own.setdefault(incarnation, Crash(at=now))
        own.at = now
        own.silent |= report.silent
        own.answering |= report.answering
        return self.note_crash(incarnation, report, now)

    def has_unreported(self, since: float) -> bool:
        """Returns whether this instance saw something of a crash since."""
        return any(one.at > since for one in self.own.values()) or any(
            at > since for at in self.found_alive.values()
        )

    def reports(self, now: float) -> dict[str, CrashReport]:
        """Returns what this instance had open lately, by incarnation."""
        for name, one in list(self.own.items()):
            if now - one.at >= REPORT_S:
                del self.own[name]
        return {
            name: CrashReport(
                age_s=max(now - one.at, 0.0),
                silent=one.silent,
                answering=one.answering,
            )
            for name, one in self.own.items()
        }

    def living(self, now: float) -> dict[str, float]:
        """Returns which upstreams were found alive lately, by incarnation.

        The values are for how many seconds this has been known.
        """
        self.found_alive = {
            name: at
            for name, at in self.found_alive.items()
            if now - at < REPORT_S
        }
        return {
            name: max(now - at, 0.0) for name, at in self.found_alive.items()
        }

    def blocked_left_s(self, now: float) -> dict[str, float]:
        """Returns for how long the latest requests are still refused."""
        latest = itertools.islice(reversed(self.blocked), MAX_REPORTED)
        return {
            fingerprint: self.blocked[fingerprint] - now
            for fingerprint in latest
            if self.is_blocked(fingerprint, now)
        }


def _enough_crashes(fingerprint: str) -> int:
    """Returns how many crashes a request or target may be blamed for."""
    is_target = fingerprints.is_target(fingerprint)
    return CERTAIN_CRASHES if is_target else LIKELY_CRASHES
