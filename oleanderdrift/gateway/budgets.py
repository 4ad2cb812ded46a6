"""Folds one partition's budget records into what each program has left.

Every reader folds the same records in the same order and so reaches the
same verdicts: a reservation is valid if what was set aside before it is
below the budget.  Answers programs that loop over many instances at once.
"""

import enum
import typing

import attrs

from oleanderdrift.gateway import records

# Programs without records for this long are forgotten.
KEEP_PROGRAM_S: typing.Final = 400.0


class Verdict(enum.Enum):
    """What the records say of a reservation.

    UNSETTLED means that the budget is held by reservations whose spare
    tokens may come back, so that a later try may succeed.
    """

    VALID = 'valid'
    UNSETTLED = 'unsettled'
    SPENT = 'spent'


@attrs.define(kw_only=True)
class Reservation:
    """What one reservation holds, in tokens, of which spare is extra."""

    held: int
    spare: int
    settled: bool = False


@attrs.define(kw_only=True)
class Program:
    """A program's reservations and their sum.

    refused reservations are kept, so that a repeated record gets the
    same verdict.
    """

    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    refused: dict[str, Verdict] = attrs.field(factory=dict)
    total: int = 0
    touched: float

    def verdict(self, turn: str) -> Verdict:
        """Returns the verdict on a reservation that was folded."""
        if turn in self.reservations:
            return Verdict.VALID
        return self.refused.get(turn, Verdict.UNSETTLED)

    def unsettled_spare(self) -> int:
        """Returns spare tokens that may come back."""
        return sum(
            one.spare for one in self.reservations.values() if not one.settled
        )

    def used(self) -> int:
        """Returns what reservations that have ended used."""
        return sum(
            one.held for one in self.reservations.values() if one.settled
        )


@attrs.define(kw_only=True)
class BudgetLedger:
    """One partition's programs, folded up to the offset `end`."""

    end: int = 0
    programs: dict[str, Program] = attrs.field(factory=dict)

    def apply_records(
        self, start: int, data: tuple[bytes, ...], now: float
    ) -> None:
        """Folds records from offset start on."""
        for place, each in enumerate(data):
            if start + place < self.end:
                continue
            record = records.decode_budget(each)
            match record:
                case records.Reserve():
                    self.reserve(record, now)
                case records.Settle():
                    self.settle(record, now)
        self.end = max(self.end, start + len(data))

    def program(self, name: str, now: float) -> Program:
        """Returns a program, new where it is not known."""
        found = self.programs.get(name)
        if found is None:
            found = self.programs[name] = Program(touched=now)
        found.touched = now
        return found

    def reserve(self, record: records.Reserve, now: float) -> None:
        """Folds a reservation."""
        program = self.program(record.program, now)
        if record.turn in program.reservations:
            return
        if record.turn in program.refused:
            return
        if program.total >= record.budget:
            certain = program.total - program.unsettled_spare()
            program.refused[record.turn] = (
                Verdict.SPENT
                if certain >= record.budget
                else Verdict.UNSETTLED
            )
            return
        left = record.budget - program.total - record.tokens
        spare = min(record.spare, max(left // 2, 0))
        held = record.tokens + spare
        program.reservations[record.turn] = Reservation(held=held, spare=spare)
        program.total += held

    def settle(self, record: records.Settle, now: float) -> None:
        """Folds what a reservation's turns have used."""
        program = self.program(record.program, now)
        if record.turn in program.refused:
            return
        # A delayed reservation may follow; it is void then.
        found = program.reservations.setdefault(
            record.turn, Reservation(held=0, spare=0)
        )
        if found.settled:
            return
        program.total += record.tokens - found.held
        found.held = record.tokens
        found.settled = True

    def is_spent(self, name: str, budget: int) -> bool:
        """Tells whether turns that have ended used the budget up."""
        program = self.programs.get(name)
        return program is not None and program.used() >= budget

    def forget(self, now: float) -> None:
        """Drops programs without records for long."""
        for name in [
            name
            for name, program in self.programs.items()
            if now - program.touched > KEEP_PROGRAM_S
        ]:
            del self.programs[name]
