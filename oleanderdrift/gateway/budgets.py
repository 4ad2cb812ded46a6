"""Folds one partition's budget records into what each program has left.

Every reader folds the same records in the same order and so reaches the
same verdicts: a reservation is valid if what was set aside before it is
below the budget.  Answers programs that loop over many instances at once.
"""

import typing

import attrs

from oleanderdrift.gateway import records

# Programs without records for this long are forgotten.
KEEP_PROGRAM_S: typing.Final = 400.0


@attrs.define(kw_only=True)
class Program:
    """What a program's turns have set aside or used, by turn.

    Refused turns are kept with None, so that a repeated record gets the
    same verdict.
    """

    turns: dict[str, int | None] = attrs.field(factory=dict)
    settled: set[str] = attrs.field(factory=set)
    total: int = 0
    touched: float


@attrs.define(kw_only=True)
class BudgetLedger:
    """One partition's programs, folded up to the offset `end`."""

    end: int = 0
    programs: dict[str, Program] = attrs.field(factory=dict)

    def fold(
        self, start: int, data: tuple[bytes, ...], now: float
    ) -> list[tuple[str, bool]]:
        """Folds records from offset start on; returns new verdicts.

        A verdict is a turn and whether its reservation is valid.
        """
        verdicts = []
        for place, each in enumerate(data):
            if start + place < self.end:
                continue
            record = records.decode_budget(each)
            match record:
                case records.Reserve():
                    valid = self.reserve(record, now)
                    verdicts.append((record.turn, valid))
                case records.Settle():
                    self.settle(record, now)
        self.end = max(self.end, start + len(data))
        return verdicts

    def program(self, name: str, now: float) -> Program:
        """Returns a program, new where it is not known."""
        found = self.programs.get(name)
        if found is None:
            found = self.programs[name] = Program(touched=now)
        found.touched = now
        return found

    def reserve(self, record: records.Reserve, now: float) -> bool:
        """Folds a reservation and returns whether it is valid."""
        program = self.program(record.program, now)
        if record.turn in program.turns:
            return program.turns[record.turn] is not None
        valid = program.total < record.budget
        program.turns[record.turn] = record.tokens if valid else None
        program.total += record.tokens if valid else 0
        return valid

    def settle(self, record: records.Settle, now: float) -> None:
        """Folds what a turn has used."""
        program = self.program(record.program, now)
        # A delayed reservation may follow; it is void then.
        held = program.turns.get(record.turn, 0)
        if held is None or record.turn in program.settled:
            return
        program.settled.add(record.turn)
        program.total += record.tokens - held
        program.turns[record.turn] = record.tokens

    def is_spent(self, name: str, budget: int) -> bool:
        """Tells whether turns that have ended used the budget up."""
        program = self.programs.get(name)
        if program is None:
            return False
        used = sum(program.turns[turn] or 0 for turn in program.settled)
        return used >= budget

    def forget(self, now: float) -> None:
        """Drops programs without records for long."""
        for name in [
            name
            for name, program in self.programs.items()
            if now - program.touched > KEEP_PROGRAM_S
        ]:
            del self.programs[name]
