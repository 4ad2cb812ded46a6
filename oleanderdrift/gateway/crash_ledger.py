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
so such requests are blamed after three crashes only.  One that an upstream
has run to its end is not blamed: many callers' requests are alike, and some
are open at every crash.
"""

import collections
import collections.abc
import typing

import attrs
import msgspec

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
# A crash is told for this long, so that lost messages do no harm.
REPORT_S: typing.Final = 1.0


class CrashReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What was open at an upstream when it crashed, by fingerprint.

    silent are those whose answer had not begun, answering the others.
    """

    age_s: float
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


@attrs.frozen(kw_only=True)
class Blame:
    """A request that is refused from now on, and the number of crashes."""

    fingerprint: str
    crashes: int


@attrs.define(kw_only=True)
class CrashLedger:
    """The crashes that any instance saw, by incarnation of the upstream.

    blocked holds until when requests are refused, by fingerprint.  proven
    holds those that upstreams have run to their end for this instance, the
    latest last.  own holds what this instance had open, as of a time.
    """

    crashes: collections.OrderedDict[str, Crash] = attrs.field(
        factory=collections.OrderedDict
    )
    blocked: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    proven: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    own: dict[str, Crash] = attrs.field(factory=dict)

    def note_success(self, fingerprint: str) -> None:
        """Notes that an upstream has run a request to its end."""
        self.proven[fingerprint] = None
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is refused."""
        return now < self.blocked.get(fingerprint, float('-inf'))

    def retry_s(self, fingerprint: str, now: float) -> float:
        """Returns the time until a request is no longer refused."""
        return max(self.blocked.get(fingerprint, now) - now, 0.0)

    def note_crash(
        self, incarnation: str, report: CrashReport, now: float
    ) -> list[Blame]:
        """Adds what an instance had open; returns who is blamed now."""
        at = now - report.age_s
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
        return self.blame(report.silent | report.answering, now)

    def blame(
        self, fingerprints: collections.abc.Iterable[str], now: float
    ) -> list[Blame]:
        """Blocks those of some requests that are to blame."""
        found = []
        for one in sorted(set(fingerprints) - self.proven.keys()):
            crashes = [
                each
                for each in self.crashes.values()
                if one in each.open_requests()
            ]
            if len(crashes) >= CERTAIN_CRASHES:
                block_s = CERTAIN_BLOCK_S
            elif not self.is_blocked(one, now) and self.is_likely(
                one, crashes, now
            ):
                block_s = LIKELY_BLOCK_S
            else:
                continue
            if not self.is_blocked(one, now):
                found.append(Blame(fingerprint=one, crashes=len(crashes)))
            self.block(one, now + block_s)
        return found

    def is_likely(
        self, fingerprint: str, crashes: list[Crash], now: float
    ) -> bool:
        """Returns whether nothing else explains a request's crashes."""
        unexplained = [
            one
            for one in crashes
            if fingerprint in one.silent
            and not any(
                self.is_blocked(other, now) for other in one.open_requests()
            )
        ]
        if len(unexplained) < LIKELY_CRASHES:
            return False
        others = collections.Counter(
            other
            for one in unexplained
            for other in one.open_requests() - {fingerprint}
        )
        return max(others.values(), default=0) < LIKELY_CRASHES

    def block(self, fingerprint: str, until: float) -> None:
        """Refuses a request until a time, or for longer if it is already."""
        known = self.blocked.pop(fingerprint, until)
        self.blocked[fingerprint] = max(known, until)
        if len(self.blocked) > MAX_BLOCKED:
            self.blocked.popitem(last=False)

    def note_blocked(self, left_s: dict[str, float], now: float) -> None:
        """Adopts what a peer refuses, for instances that started later.

        A known time is not extended: peers would extend it in turn.
        """
        for fingerprint, each in left_s.items():
            if fingerprint not in self.blocked and (
                fingerprint not in self.proven
            ):
                self.block(fingerprint, now + each)

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
        return any(one.at > since for one in self.own.values())

    def reports(self, now: float) -> dict[str, CrashReport]:
        """Returns what this instance had open lately, by incarnation."""
        for name, one in list(self.own.items()):
            if now - one.at >= REPORT_S:
                del self.own[name]
        return {
            name: CrashReport(
                age_s=now - one.at, silent=one.silent, answering=one.answering
            )
            for name, one in self.own.items()
        }

    def blocked_left_s(self, now: float) -> dict[str, float]:
        """Returns for how long requests are refused, by fingerprint."""
        return {
            fingerprint: until - now
            for fingerprint, until in self.blocked.items()
            if until > now
        }
