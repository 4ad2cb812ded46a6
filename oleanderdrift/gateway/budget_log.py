"""Reserves turns' tokens in the store, whose order decides.

A reservation is one append to the program's partition and, where others
wrote there meanwhile, one read.  It sets more aside than one turn needs,
for the program's next turns here.  What was really used goes along with a
later append, or by itself soon after.
"""

import asyncio
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import grants
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import routing
from oleanderdrift import logs

# A program uses a quarter of its budget as a rule; a third of it is enough
# for the turns to come, and leaves room for its other instances.
SPARE_PARTS: typing.Final = 3
# Half of the time in which the end of a turn is to be known to all.
SETTLE_AFTER_S: typing.Final = 0.5
# Reads of one partition: some thousand records.
READ_BYTES: typing.Final = 262_144


@attrs.define(kw_only=True)
class Partition:
    """One partition's ledger and the settlements that wait for it.

    pending_since is when the oldest settlement came.
    """

    number: int
    ledger: budgets.BudgetLedger = attrs.field(factory=budgets.BudgetLedger)
    pending: list[records.Settle] = attrs.field(factory=list)
    pending_since: float = float('inf')
    reading: asyncio.Lock = attrs.field(factory=asyncio.Lock)


class BudgetLog:
    """The budgets of all programs, as the store's records tell them."""

    def __init__(self, log: ports.RecordLog) -> None:
        self.log = log
        self.grants = grants.Grants()
        self.partitions = [
            Partition(number=number) for number in range(log.partitions)
        ]

    def partition_of(self, program: str) -> Partition:
        """Returns the partition of a program's records."""
        place = routing.hash_of(program) % len(self.partitions)
        return self.partitions[place]

    def describe(self, program: str) -> str:
        """Returns what a program's turns hold, for the log."""
        known = self.partition_of(program).ledger.programs.get(program)
        if known is None:
            return 'unknown'
        return (
            f'{known.total} tokens in {len(known.reservations)} '
            f'reservations, {known.unsettled_spare()} of them spare, '
            f'{known.used()} used'
        )

    def is_spent(self, program: str, budget: int) -> bool:
        """Tells whether the known records show the budget used up."""
        return self.partition_of(program).ledger.is_spent(program, budget)

    async def reserve(
        self, program: str, turn: str, tokens: int, budget: int, now: float
    ) -> budgets.Verdict:
        """Sets a turn's tokens aside; returns whether the budget held.

        Raises ResultError where the store cannot tell.
        """
        if self.grants.try_spend(program, turn, tokens, now):
            return budgets.Verdict.VALID
        part = self.partition_of(program)
        record = records.Reserve(
            program=program,
            turn=turn,
            tokens=tokens,
            budget=budget,
            spare=budget // SPARE_PARTS,
        )
        try:
            end = await self.append(part, [record], now)
            await self.read_up_to(part, end, now)
        except BaseException:
            # The record may still come into force.
            self.note_used(program, turn, 0, now)
            raise
        state = part.ledger.program(program, now)
        verdict = state.verdict(turn)
        if verdict is budgets.Verdict.VALID:
            held = state.reservations[turn].held
            before = self.grants.add(program, turn, tokens, held, now)
            self.close(before, now)
        return verdict

    def settle(self, turn: str, tokens: int, now: float) -> None:
        """Notes what a turn used, if it had tokens set aside."""
        self.close(self.grants.end(turn, tokens, now), now)

    def close(self, grant: grants.Grant | None, now: float) -> None:
        """Gives back what is left of a grant."""
        if grant is not None:
            self.note_used(grant.program, grant.reservation, grant.used, now)

    def note_used(
        self, program: str, reservation: str, tokens: int, now: float
    ) -> None:
        """Notes what a reservation used; the store hears of it soon."""
        part = self.partition_of(program)
        part.pending_since = min(part.pending_since, now)
        part.pending.append(
            records.Settle(program=program, turn=reservation, tokens=tokens)
        )

    async def append(
        self,
        part: Partition,
        new: list[records.BudgetRecord],
        now: float,
    ) -> int:
        """Appends records with all settlements; returns the new end."""
        settled, part.pending = part.pending, []
        since, part.pending_since = part.pending_since, float('inf')
        data = [records.encode(record) for record in [*settled, *new]]
        try:
            start = await self.log.append(
                records.BUDGET_TOPIC, part.number, data
            )
        except BaseException:
            # Settling twice does no harm.
            part.pending = settled + part.pending
            part.pending_since = min(part.pending_since, since)
            raise
        if start == part.ledger.end:
            part.ledger.apply_records(start, tuple(data), now)
        return start + len(data)

    async def read_up_to(self, part: Partition, end: int, now: float) -> None:
        """Reads and folds records until the ledger reaches an offset."""
        async with part.reading:
            while part.ledger.end < end:
                found = await self.log.read(
                    records.BUDGET_TOPIC,
                    part.number,
                    part.ledger.end,
                    max_bytes=READ_BYTES,
                )
                if found.trimmed:
                    part.ledger.end = found.first
                    continue
                part.ledger.apply_records(found.start, found.records, now)

    async def flush(self, now: float) -> None:
        """Appends settlements that no reservation took along in time.

        A now in the far future appends all.
        """
        for grant in self.grants.close_idle(now):
            self.close(grant, now)
        for part in self.partitions:
            part.ledger.forget(now)
            if now - part.pending_since < SETTLE_AFTER_S:
                continue
            try:
                await self.append(part, [], now)
            except errors.ResultError as error:
                logs.warning(
                    'settlements-kept',
                    partition=part.number,
                    count=len(part.pending),
                    reason=error.detail,
                )
                return
