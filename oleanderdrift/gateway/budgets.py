"""Computes programs' remaining budgets from a partition's budget records.

Every reader applies the same records in the same order and so reaches the
same verdicts: a reservation is valid if the tokens reserved before it are
below the budget.  This limits programs that loop on many instances at once.
"""

import enum
import typing

import attrs

from oleanderdrift.gateway import records

# Programs without records for this long are removed from memory.
PROGRAM_EXPIRY_S: typing.Final = 400.0
# Python's objects of a program, and of a reservation, with their names.
PROGRAM_BYTES: typing.Final = 700
RESERVATION_BYTES: typing.Final = 400


class Verdict(enum.Enum):
    """The verdict of the records on a reservation.

    UNSETTLED means that the budget is used up only by reservations whose
    spare tokens may be returned, so that a retry may succeed.
    """

    VALID = 'valid'
    UNSETTLED = 'unsettled'
    SPENT = 'spent'


@attrs.define(kw_only=True)
class Reservation:
    """The tokens that a reservation holds; spare ones are beyond its turn.

    All tokens of a shared one are spare: the turn that it was made for may
    have another reservation.  budget is its program's.  since is a time after
    which its latest record was written.
    """

    held: int
    spare: int
    budget: int
    since: float
    shared: bool = False
    settled: bool = False


@attrs.define(kw_only=True)
class Program:
    """A program's reservations and the sum of their tokens.

    Refused reservations are kept, so that a repeated record gets the same
    verdict.
    """

    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    refused: dict[str, Verdict] = attrs.field(factory=dict)
    total: int = 0
    last_used: float

    def held_size(self) -> int:
        """Returns how many bytes it takes in memory."""
        count = len(self.reservations) + len(self.refused)
        return PROGRAM_BYTES + count * RESERVATION_BYTES

    def verdict(self, turn: str) -> Verdict:
        """Returns the verdict on a reservation."""
        if turn in self.reservations:
            return Verdict.VALID
        return self.refused.get(turn, Verdict.UNSETTLED)

    def unsettled_spare(self) -> int:
        """Returns the spare tokens that may be returned."""
        return sum(
            one.spare for one in self.reservations.values() if not one.settled
        )

    def renew(
        self, name: str, before: float, now: float
    ) -> list[records.BudgetRecord]:
        """Returns the records to write again, since they may be older.

        name is the program's.  Readers that know a reservation ignore its
        repeated record.
        """
        renewed: list[records.BudgetRecord] = []
        for turn, one in self.reservations.items():
            if one.since >= before:
                continue
            one.since = now
            if one.settled:
                renewed.append(
                    records.Settle(program=name, turn=turn, tokens=one.held)
                )
            else:
                renewed.append(
                    records.Reserve(
                        program=name,
                        turn=turn,
                        tokens=one.held,
                        budget=one.budget,
                        shared=one.shared,
                    )
                )
        return renewed

    def used(self) -> int:
        """Returns the tokens used by settled reservations."""
        return sum(
            one.held for one in self.reservations.values() if one.settled
        )


@attrs.define(kw_only=True)
class BudgetLedger:
    """One partition's programs from all records before the offset `end`.

    size is what they take in memory, in bytes.
    """

    end: int = 0
    programs: dict[str, Program] = attrs.field(factory=dict)
    size: int = 0

    def apply_records(
        self,
        start: int,
        data: tuple[bytes, ...],
        now: float,
        since: float = float('-inf'),
    ) -> None:
        """Applies records from offset start on; known ones are skipped.

        All of them were written after the time since.
        """
        for place, each in enumerate(data):
            if start + place < self.end:
                continue
            record = records.decode_budget(each)
            if record is not None:
                self.apply(record, now, since)
        self.end = max(self.end, start + len(data))

    def apply(
        self, record: records.BudgetRecord, now: float, since: float
    ) -> None:
        """Applies a record that was written after the time since."""
        program = self.program(record.program, now)
        self.size -= program.held_size()
        match record:
            case records.Reserve():
                self.reserve(record, now, since)
            case records.Settle():
                self.settle(record, now, since)
        self.size += program.held_size()

    def program(self, name: str, now: float) -> Program:
        """Returns a program, new if it is unknown."""
        found = self.programs.get(name)
        if found is None:
            found = self.programs[name] = Program(last_used=now)
            self.size += found.held_size()
        found.last_used = now
        return found

    def reserve(
        self, record: records.Reserve, now: float, since: float
    ) -> None:
        """Applies a reservation."""
        program = self.program(record.program, now)
        known = program.reservations.get(record.turn)
        if known is not None:
            known.since = max(known.since, since)
            return
        if record.turn in program.refused:
            return
        if program.total >= record.budget:
            # A grantor answers for all turns of the program, and those that
            # are open may use less than they hold.
            certain = (
                program.used()
                if record.shared
                else program.total - program.unsettled_spare()
            )
            program.refused[record.turn] = (
                Verdict.SPENT
                if certain >= record.budget
                else Verdict.UNSETTLED
            )
            return
        left = record.budget - program.total - record.tokens
        spare = min(record.spare, max(left // 2, 0))
        held = record.tokens + spare
        program.reservations[record.turn] = Reservation(
            held=held,
            spare=held if record.shared else spare,
            budget=record.budget,
            since=since,
            shared=record.shared,
        )
        program.total += held

    def settle(self, record: records.Settle, now: float, since: float) -> None:
        """Replaces a reservation by the tokens that its turns used."""
        program = self.program(record.program, now)
        if record.turn in program.refused:
            return
        # The reservation may arrive later and is ignored then.
        found = program.reservations.setdefault(
            record.turn, Reservation(held=0, spare=0, budget=0, since=since)
        )
        found.since = max(found.since, since)
        if found.settled:
            return
        program.total += record.tokens - found.held
        found.held = record.tokens
        found.settled = True

    def note_written(self, name: str, turn: str, since: float) -> None:
        """Records that a reservation was written after a time."""
        program = self.programs.get(name)
        if program is not None and turn in program.reservations:
            program.reservations[turn].since = since

    def is_spent(self, name: str, budget: int) -> bool:
        """Returns whether settled reservations used up the budget."""
        program = self.programs.get(name)
        return program is not None and program.used() >= budget

    def forget(self, now: float) -> None:
        """Removes programs without recent records."""
        for name in [
            name
            for name, program in self.programs.items()
            if now - program.last_used > PROGRAM_EXPIRY_S
        ]:
            self.size -= self.programs.pop(name).held_size()
