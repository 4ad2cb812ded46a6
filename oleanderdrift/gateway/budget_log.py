"""Reserves turns' tokens in the store.

The order of the records in the store decides which reservations are valid.
A reservation takes one append to the program's partition and, if other
instances have written there since, one read.  It reserves more than one
turn needs, for the program's next turns at this instance.  The number of
tokens actually used is appended with a later reservation, or alone after a
short delay.
"""

import asyncio
import collections
import math
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import budget_reads
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import grants
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import routing
from oleanderdrift import logs

# The spare tokens requested are the budget divided by this.  Programs
# usually use a quarter of their budget; a third suffices for the turns to
# come and leaves tokens for the program's turns at other instances.
SPARE_DIVISOR: typing.Final = 3
# In a larger fleet the next turns come to other instances, and spare tokens
# at each would leave none for them.  There, only a program that has come back
# to an instance gets any.
MAX_SPARE_INSTANCES: typing.Final = 12
# Programs of some minutes.
MAX_SEEN_PROGRAMS: typing.Final = 4_096
# Half of the time within which all instances must know a turn's usage.
SETTLE_DELAY_S: typing.Final = 0.5
# Records are written again once they may have this part of the store's
# retention, so that one that starts later finds all that was used.
RENEWAL_FRACTION: typing.Final = 0.4
# What is known of programs takes so much, and of that, what new ones leave to
# those that have begun.
LEDGER_BYTES: typing.Final = 64_000_000
NEW_PROGRAMS_SHARE: typing.Final = 0.8
# Programs are forgotten minutes after their latest turn.
FULL_RETRY_S: typing.Final = 5.0


class BudgetLog:
    """The budgets of all programs, computed from the store's records.

    limit is how many bytes the ledgers take in memory before reservations
    are refused.
    """

    def __init__(
        self,
        log: ports.RecordLog,
        retention_s: float = math.inf,
        share: link_share.LinkShare | None = None,
        limit: int = LEDGER_BYTES,
    ) -> None:
        self.log = log
        self.limit = limit
        share = share or link_share.LinkShare(math.inf)
        self.reads = budget_reads.BudgetReads(log, share)
        self.renewal_age_s = retention_s * RENEWAL_FRACTION
        self.grants = grants.Grants()
        self.seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.partitions = [
            budget_reads.Partition(number=number)
            for number in range(log.partitions)
        ]

    def partition_of(self, program: str) -> budget_reads.Partition:
        """Returns the partition of a program's records."""
        index = routing.hash_of(program) % len(self.partitions)
        return self.partitions[index]

    def describe(self, program: str) -> str:
        """Describes a program's reservations, for error messages."""
        known = self.partition_of(program).ledger.programs.get(program)
        if known is None:
            return 'unknown'
        return (
            f'{known.total} tokens in {len(known.reservations)} '
            f'reservations, {known.unsettled_spare()} of them spare, '
            f'{known.used()} used'
        )

    def is_spent(self, program: str, budget: int) -> bool:
        """Tells whether the known records show that the budget is spent."""
        return self.partition_of(program).ledger.is_spent(program, budget)

    def renew(self, program: str, now: float) -> None:
        """Queues what is known of a program that is old in the store."""
        partition = self.partition_of(program)
        state = partition.ledger.programs.get(program)
        if state is None:
            return
        before = now - self.renewal_age_s
        renewed = state.renew(program, before, now)
        if renewed:
            partition.pending_since = min(partition.pending_since, now)
            partition.pending += renewed

    def note_seen(self, program: str) -> bool:
        """Records a program's turn; returns whether it had one here before."""
        was_seen = program in self.seen
        self.seen[program] = None
        self.seen.move_to_end(program)
        if len(self.seen) > MAX_SEEN_PROGRAMS:
            self.seen.popitem(last=False)
        return was_seen

    async def reserve(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        now: float,
        instances: int = 1,
    ) -> budgets.Verdict:
        """Reserves a turn's tokens; returns the verdict on its budget.

        instances is the number of instances that its program may come to.
        Raises ResultError if the store does not answer.
        """
        if self.grants.try_spend(program, turn, tokens, now):
            return budgets.Verdict.VALID
        returns = self.note_seen(program) or instances <= MAX_SPARE_INSTANCES
        verdict = await self.write_reservation(
            records.Reserve(
                program=program,
                turn=turn,
                tokens=tokens,
                budget=budget,
                spare=budget // SPARE_DIVISOR if returns else 0,
            ),
            now,
        )
        if verdict is budgets.Verdict.VALID:
            held = self.held_by(program, turn)
            previous = self.grants.add(program, turn, tokens, held, now)
            self.settle_grant(previous, now)
        return verdict

    def size(self) -> int:
        """Returns how many bytes the ledgers take in memory."""
        return sum(one.ledger.size for one in self.partitions)

    def check_room(self, program: str) -> None:
        """Raises ResultError if nothing more is taken in of a program."""
        size = self.size()
        limit: float = self.limit
        if program not in self.partition_of(program).ledger.programs:
            limit *= NEW_PROGRAMS_SHARE
        if size >= limit:
            raise errors.ResultError(
                codes.MEMORY_EXHAUSTED,
                f'budgets of programs have {size} bytes',
                retry_after_s=FULL_RETRY_S,
            )

    async def write_reservation(
        self, record: records.Reserve, now: float
    ) -> budgets.Verdict:
        """Appends a reservation; returns the verdict of the records on it.

        Raises ResultError if the store does not answer, or if too much is
        known of programs.
        """
        program, turn = record.program, record.turn
        self.check_room(program)
        partition = self.partition_of(program)
        self.renew(program, now)
        try:
            end = await self.append(partition, [record], now)
            await self.reads.read_up_to(partition, end, now)
            partition.ledger.note_written(program, turn, now)
            # Also what was read just now.
            self.renew(program, now)
        except BaseException:
            # The record may still take effect; release its tokens.
            self.queue_settlement(program, turn, 0, now)
            raise
        return partition.ledger.program(program, now).verdict(turn)

    def held_by(self, program: str, reservation: str) -> int:
        """Returns the tokens of a valid reservation."""
        state = self.partition_of(program).ledger.programs[program]
        return state.reservations[reservation].held

    def drop_grants(self, now: float) -> int:
        """Starts no further turn on the grants; returns their number."""
        count = len(self.grants.by_program)
        for grant in self.grants.drop_all():
            self.settle_grant(grant, now)
        return count

    def settle(self, turn: str, tokens: int, now: float) -> None:
        """Records the tokens that a turn used, if it had reserved any."""
        self.settle_grant(self.grants.end(turn, tokens, now), now)

    def settle_grant(self, grant: grants.Grant | None, now: float) -> None:
        """Queues the settlement of a grant, if one is given."""
        if grant is not None:
            self.queue_settlement(
                grant.program, grant.reservation, grant.used, now
            )

    def queue_settlement(
        self, program: str, reservation: str, tokens: int, now: float
    ) -> None:
        """Queues a settlement for the next append to its partition."""
        partition = self.partition_of(program)
        partition.pending_since = min(partition.pending_since, now)
        partition.pending.append(
            records.Settle(program=program, turn=reservation, tokens=tokens)
        )

    async def append(
        self,
        partition: budget_reads.Partition,
        new: list[records.BudgetRecord],
        now: float,
    ) -> int:
        """Appends all queued settlements, then new records.

        Returns the offset after the last one.
        """
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
            # The append may have taken effect; settling twice is harmless.
            partition.pending = settlements + partition.pending
            partition.pending_since = min(
                partition.pending_since, pending_since
            )
            raise
        if start == partition.ledger.end:
            partition.ledger.apply_records(start, tuple(data), now, now)
            partition.read_at = now
        return start + len(data)

    async def flush(self, now: float) -> None:
        """Appends settlements that have been queued for SETTLE_DELAY_S.

        Pass infinity as now to append all of them.
        """
        for grant in self.grants.close_idle(now):
            self.settle_grant(grant, now)
        due = []
        for partition in self.partitions:
            if now < math.inf:
                # Turns may still be served beside the last writes.
                partition.ledger.forget(now)
            if now - partition.pending_since >= SETTLE_DELAY_S:
                due.append(partition)
        # Together, as a slow store would answer too late one by one.
        await asyncio.gather(
            *(self.append_settlements(partition, now) for partition in due)
        )

    async def append_settlements(
        self, partition: budget_reads.Partition, now: float
    ) -> None:
        """Appends a partition's queued settlements, or logs why not."""
        try:
            await self.append(partition, [], now)
        except errors.ResultError as error:
            logs.warning(
                'settlements-not-appended',
                partition=partition.number,
                count=len(partition.pending),
                reason=error.detail,
            )
