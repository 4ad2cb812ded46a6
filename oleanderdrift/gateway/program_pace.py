"""Learns how many seconds per token the programs of a service can afford.

Callers say until when a program should end, not how many turns it has.  Over
many programs, the time that they have when they begin, less their waits for
first tokens, can be spent on the tokens that they generate.  The quotient is
about the same for long and short programs and at any load, since callers set
the time by what a program takes on idle engines.

A program's turns come to any instance.  Its time ends at the same moment for
all of them, so each turn is counted at that moment: by then the program's
other turns have been counted as well, wherever they came.
"""

import heapq
import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds

# Programs of which the time has ended, before the quotient is used.
MIN_PROGRAMS: typing.Final = 20
# Few programs have more than so many times the time that is left on average.
LONG_PROGRAM: typing.Final = 2.0
# Of the latest decisions, some seconds of them, and the share of refused ones
# from which on nothing is learned.
DECISION_WEIGHT: typing.Final = 0.05
MAX_REFUSED_SHARE: typing.Final = 0.2
# Older programs count less: so many count in all.
COUNTED_PROGRAMS: typing.Final = 200
# Turns that are not counted yet.
MAX_COUNTED_LATER: typing.Final = 20_000


@attrs.frozen(kw_only=True, order=True)
class Turn:
    """A turn that has ended, to be counted at the time due.

    left_s is the time that its program had left when it came, and first_s how
    long it waited for its first token.
    """

    due: float
    left_s: float
    tokens: int
    first_s: float
    begins_program: bool


class Report(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What the programs that an instance counted spent, for its peers.

    spendable_s is the time that they had for their turns.
    """

    programs: bounds.Weight
    spendable_s: bounds.Seconds
    tokens: bounds.Weight


@attrs.define(kw_only=True)
class ProgramPace:
    """What the programs of one service spend their time on.

    since is from when on programs begin that are counted, ended counts all
    turns, and left_s is the sum of the times that their programs had left.
    refused_share is which part of the latest programs was refused.
    allowed_s, programs, tokens and waited_s, for first tokens, are decayed
    sums over programs whose time has ended.  later holds the turns of the
    others, by when they are counted, and peers the latest report of each peer.
    """

    since: float | None = None
    ended: int = 0
    left_s: float = 0.0
    allowed_s: float = 0.0
    programs: float = 0.0
    tokens: float = 0.0
    waited_s: float = 0.0
    refused_share: float = 0.0
    later: list[Turn] = attrs.field(factory=list)
    peers: dict[str, Report] = attrs.field(factory=dict)

    def note_end(self, turn: Turn, now: float) -> None:
        """Counts a turn that has ended, once its program's time is over."""
        if self.since is None:
            self.since = now
        self.ended += 1
        self.left_s += turn.left_s
        if len(self.later) < MAX_COUNTED_LATER:
            heapq.heappush(self.later, turn)

    def note_decision(self, *, is_refused: bool, now: float) -> None:
        """Notes whether a program was refused for the load of engines.

        While many are, no program that runs is counted: some end early, with
        fewer tokens than they need, and others late.
        """
        share = float(is_refused)
        self.refused_share += DECISION_WEIGHT * (share - self.refused_share)
        if self.refused_share > MAX_REFUSED_SHARE:
            self.since = now

    def count_due(self, now: float) -> None:
        """Counts the turns of programs whose time is over."""
        while self.later and self.later[0].due <= now:
            turn = heapq.heappop(self.later)
            if turn.due < self.counted_from():
                continue
            self.tokens += turn.tokens
            self.waited_s += turn.first_s
            if not turn.begins_program:
                continue
            self.allowed_s += turn.left_s
            self.programs += 1
            if self.programs > COUNTED_PROGRAMS:
                self.decay(COUNTED_PROGRAMS / self.programs)

    def counted_from(self) -> float:
        """Returns from when on the ends of programs' times are counted.

        Of programs that began before the first turn here, too few turns are
        known.
        """
        if self.since is None:
            return float('inf')
        return self.since + LONG_PROGRAM * self.left_s / self.ended

    def decay(self, factor: float) -> None:
        """Reduces the weight of all programs that were counted."""
        self.allowed_s *= factor
        self.programs *= factor
        self.tokens *= factor
        self.waited_s *= factor

    def report(self, now: float) -> Report:
        """Returns what this instance counted."""
        self.count_due(now)
        return Report(
            programs=self.programs,
            spendable_s=max(self.allowed_s - self.waited_s, 0.0),
            tokens=self.tokens,
        )

    def token_s(self, now: float) -> float | None:
        """Returns the seconds per token that programs can afford, if known."""
        reports = [self.report(now), *self.peers.values()]
        tokens = sum(one.tokens for one in reports)
        if sum(one.programs for one in reports) < MIN_PROGRAMS or not tokens:
            return None
        return sum(one.spendable_s for one in reports) / tokens


@attrs.define(kw_only=True)
class Paces:
    """The paces of all services that have been seen, by service."""

    by_service: dict[str, ProgramPace] = attrs.field(factory=dict)

    def of(self, service: str) -> ProgramPace:
        """Returns the pace of a service."""
        return self.by_service.setdefault(service, ProgramPace())

    def reports(self, now: float) -> dict[str, Report]:
        """Returns what peers are told, by service."""
        return {
            service: one.report(now)
            for service, one in self.by_service.items()
        }

    def note_reports(self, peer: str, reports: dict[str, Report]) -> None:
        """Replaces what a peer told, if it told anything."""
        for service, one in reports.items():
            self.of(service).peers[peer] = one

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the lowest time per token that programs can afford."""
        known = [one.token_s(now) for one in self.by_service.values()]
        affordable_s = min(
            (one for one in known if one is not None), default=0
        )
        return {
            'affordable_token_seconds': affordable_s,
            'programs_counted': sum(
                one.programs for one in self.by_service.values()
            ),
        }

    def forget(self, peer: str) -> None:
        """Drops what a peer told."""
        for one in self.by_service.values():
            one.peers.pop(peer, None)
