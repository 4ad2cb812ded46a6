"""Reads budget records into ledgers, for all callers of an instance at once.

A partition is read page by page by a task that outlasts its callers.  A
caller waits until the ledger has its own record, and others may have left.
"""

import typing

import attrs

from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import shared_work

# A page takes a slow link for some 50 ms; other answers wait behind it.
PAGE_BYTES: typing.Final = 65_536
# Others need not wait for a whole page if only some records are left.
LIKELY_RECORD_BYTES: typing.Final = 256


@attrs.define(kw_only=True)
class Partition:
    """One partition's ledger, and settlements not yet appended to it.

    pending_since is when the oldest of them was queued.  read_at is a time
    at which the ledger had all records of the partition.  It is to be read
    up to the offset wanted, and asked_at is the latest time of a caller.
    """

    number: int
    ledger: budgets.BudgetLedger = attrs.field(factory=budgets.BudgetLedger)
    pending: list[records.BudgetRecord] = attrs.field(factory=list)
    read_at: float = float('-inf')
    pending_since: float = float('inf')
    wanted: int = 0
    asked_at: float = float('-inf')

    def want(self, end: int, now: float) -> None:
        """Has the records before an offset read."""
        self.wanted = max(self.wanted, end)
        self.asked_at = max(self.asked_at, now)

    def likely_bytes(self) -> int:
        """Returns how much the next page is likely to bring."""
        left = max(self.wanted - self.ledger.end, 1)
        return min(left * LIKELY_RECORD_BYTES, PAGE_BYTES)

    def apply(self, found: ports.LogRecords, asked_at: float) -> None:
        """Applies what was read after a time to the ledger."""
        if found.trimmed:
            self.ledger.end = max(self.ledger.end, found.first)
            return
        self.ledger.apply_records(
            found.start, found.records, asked_at, self.read_at
        )
        if self.ledger.end >= found.end:
            self.read_at = max(self.read_at, asked_at)


class BudgetReads:
    """The reads of all partitions.

    pages are the reads under way, and runs the tasks that go on with them.
    """

    def __init__(
        self, log: ports.RecordLog, share: link_share.LinkShare
    ) -> None:
        self.log = log
        self.share = share
        self.pages: shared_work.SharedTasks[None] = shared_work.SharedTasks()
        self.runs: shared_work.SharedTasks[None] = shared_work.SharedTasks()

    async def read_up_to(
        self, partition: Partition, end: int, now: float
    ) -> None:
        """Waits until the ledger has the records before an offset.

        Raises the store's ResultError if a read fails.
        """
        partition.want(end, now)
        while partition.ledger.end < end:
            # Goes on if this caller leaves.
            self.runs.ensure(partition.number, lambda: self.run(partition))
            await self.next_page(partition)

    async def run(self, partition: Partition) -> None:
        """Reads a partition up to what is wanted.

        Ends if a read fails or brings nothing.
        """
        while partition.ledger.end < partition.wanted:
            before = partition.ledger.end
            await self.next_page(partition)
            if partition.ledger.end == before:
                return

    async def next_page(self, partition: Partition) -> None:
        """Reads a page, or waits for the one that is being read."""
        await self.pages.get(
            partition.number, lambda: self.read_page(partition)
        )

    async def read_page(self, partition: Partition) -> None:
        """Reads a page into the ledger."""
        async with self.share.take(partition.likely_bytes()):
            asked_at = partition.asked_at
            found = await self.log.read(
                records.BUDGET_TOPIC,
                partition.number,
                partition.ledger.end,
                max_bytes=PAGE_BYTES,
            )
        partition.apply(found, asked_at)
