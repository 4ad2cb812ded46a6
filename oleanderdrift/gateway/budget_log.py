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
SPARE_DIVISOR: typing.Final = 3
# Half of the time in which the end of a turn is to be known to all.
SETTLE_DELAY_S: typing.Final = 0.5
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
    read_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


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
        index = routing.hash_of(program) % len(self.partitions)
        return self.partitions[index]

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
        partition = self.partition_of(program)
        record = records.Reserve(
            program=program,
            turn=turn,
            tokens=tokens,
            budget=budget,
            spare=budget // SPARE_DIVISOR,
        )
        try:
            end = await self.append(partition, [record], now)
            await self.read_up_to(partition, end, now)
        except BaseException:
            # The record may still come into force.
            self.queue_settlement(program, turn, 0, now)
            raise
        state = partition.ledger.program(program, now)
        verdict = state.verdict(turn)
        if verdict is budgets.Verdict.VALID:
            held = state.reservations[turn].held
            previous = self.grants.add(program, turn, tokens, held, now)
            self.settle_grant(previous, now)
        return verdict

    def settle(self, turn: str, tokens: int, now: float) -> None:
        """Notes what a turn used, if it had tokens set aside."""
        self.settle_grant(self.grants.end(turn, tokens, now), now)

    def settle_grant(self, grant: grants.Grant | None, now: float) -> None:
        """Gives back what is left of a grant."""
        if grant is not None:
            self.queue_settlement(
                grant.program, grant.reservation, grant.used, now
            )

    def queue_settlement(
        self, program: str, reservation: str, tokens: int, now: float
    ) -> None:
        """Notes what a reservation used; the store hears of it soon."""
        partition = self.partition_of(program)
        partition.pending_since = min(partition.pending_since, now)
        partition.pending.append(
            records.Settle(program=program, turn=reservation, tokens=tokens)
        )

    async def append(
        self,
        partition: Partition,
        new: list[records.BudgetRecord],
        now: float,
    ) -> int:
        """Appends records with all settlements; returns the new end."""
        settlements, partition.pending = partition.pending, []
        pending_since, partition.pending_since = (
            partition.pending_since,
            float('inf'),
        )
        data = [records.encode(record) for record in [*settlements, *new]]
        try:
            start = await self.log.append(
                records.BUDGET_TOPIC, partition.number, data
            )
        except BaseException:
            # Settling twice does no harm.
            partition.pending = settlements + partition.pending
            partition.pending_since = min(
                partition.pending_since, pending_since
            )
            raise
        if start == partition.ledger.end:
            partition.ledger.apply_records(start, tuple(data), now)
        return start + len(data)

    async def read_up_to(
        self, partition: Partition, end: int, now: float
    ) -> None:
        """Reads and folds records until the ledger reaches an offset."""
        async with partition.read_lock:
            while partition.ledger.end < end:
                found = await self.log.read(
                    records.BUDGET_TOPIC,
                    partition.number,
                    partition.ledger.end,
                    max_bytes=READ_BYTES,
                )
                if found.trimmed:
                    partition.ledger.end = found.first
                    continue
                partition.ledger.apply_records(found.start, found.records, now)

    async def flush(self, now: float) -> None:
        """Appends settlements that no reservation took along in time.

        A now in the far future appends all.
        """
        for grant in self.grants.close_idle(now):
            self.settle_grant(grant, now)
        for partition in self.partitions:
            partition.ledger.forget(now)
            if now - partition.pending_since < SETTLE_DELAY_S:
                continue
            try:
                await self.append(partition, [], now)
            except errors.ResultError as error:
                logs.warning(
                    'settlements-kept',
                    partition=partition.number,
                    count=len(partition.pending),
                    reason=error.detail,
                )
                return
