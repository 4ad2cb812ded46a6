"""Reports of peers that upstreams have crashed, until they are checked."""

import asyncio

import attrs

from oleanderdrift.gateway import crash_ledger


@attrs.frozen(kw_only=True)
class Accusation:
    """A peer's report of a crash, as of when it was received."""

    report: crash_ledger.CrashReport
    received: float


@attrs.define(kw_only=True)
class Accusations:
    """The latest accusation by each peer, by incarnation of the upstream.

    raised is set when there is one that nobody has looked at.
    """

    by_incarnation: dict[str, dict[str, Accusation]] = attrs.field(
        factory=dict
    )
    raised: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(
        self,
        peer: str,
        incarnation: str,
        report: crash_ledger.CrashReport,
        now: float,
    ) -> None:
        """Adds what a peer says."""
        known = self.by_incarnation.setdefault(incarnation, {})
        known[peer] = Accusation(report=report, received=now)
        self.raised.set()

    def has(self, peer: str, incarnation: str) -> bool:
        """Returns whether a peer's report waits to be checked."""
        return peer in self.by_incarnation.get(incarnation, {})

    def take(
        self, incarnation: str, now: float
    ) -> dict[str, crash_ledger.CrashReport]:
        """Removes and returns the reports of an upstream's crash, by peer."""
        found = self.by_incarnation.pop(incarnation, {})
        return {
            peer: crash_ledger.CrashReport(
                age_s=one.report.age_s + now - one.received,
                silent=one.report.silent,
                answering=one.report.answering,
            )
            for peer, one in found.items()
        }
