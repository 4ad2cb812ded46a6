"""Budgets at an instance that starts beside many records, over slow links."""

import asyncio
import random
import typing

import attrs
import pytest

from oleanderdrift import errors
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import turn_flow
from tests import slow_link
from tests import virtual_time

VALID: typing.Final = budgets.Verdict.VALID
PARTITIONS: typing.Final = 24
RECORD_BYTES: typing.Final = 262_144
TURN: typing.Final = 576
BUDGET: typing.Final = 8 * TURN
# 2.5 MB in all partitions together.
STORED_TURNS: typing.Final = 1_000
CALLERS: typing.Final = 48
RECOVERY_S: typing.Final = 15.0
# A caller comes back this long after a refusal.
COME_BACK_S: typing.Final = 0.2


def make_budgets(log: slow_link.SlowLog) -> budget_log.BudgetLog:
    """Returns the budgets of an instance that has just started."""
    return budget_log.BudgetLog(
        retrying_log.RetryingLog(log),
        share=link_share.LinkShare(log.link_mbps),
    )


def store_records(log: slow_link.SlowLog) -> int:
    """Stores settled turns in each partition; returns their bytes."""
    size = 0
    for partition in range(log.partitions):
        stored = log.data[records.BUDGET_TOPIC, partition]
        for number in range(STORED_TURNS):
            program = f'old-program-{partition}-{number // 8}'
            turn = f'attempt-of-a-turn-{number}'
            for record in (
                records.Reserve(
                    program=program, turn=turn, tokens=TURN, budget=BUDGET
                ),
                records.Settle(program=program, turn=turn, tokens=TURN // 4),
            ):
                stored.append(records.encode(record))
                size += slow_link.LENGTH_BYTES + len(stored[-1])
    return size


async def served_after_s(
    budget: budget_log.BudgetLog, program: str, tries: list[str]
) -> float:
    """Reserves a turn as callers do; returns when that worked."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        tries.append(f'{program}-try-{len(tries)}')
        try:
            async with asyncio.timeout(turn_flow.PREPARE_TIMEOUT_S):
                verdict = await budget.reserve(
                    program, tries[-1], TURN, BUDGET, loop.time()
                )
            assert verdict is VALID
            return loop.time() - began
        except (TimeoutError, errors.ResultError):
            await asyncio.sleep(COME_BACK_S)


@pytest.mark.parametrize('link_mbps', [11.0, 22.0, 75.0, 300.0])
def test_budgets_are_read_at_an_instance_with_a_slow_link(
    link_mbps: float,
) -> None:
    """Guards against pages that are thrown away with each caller."""

    async def scenario() -> list[float]:
        log = slow_link.SlowLog(
            partitions=PARTITIONS, record_bytes=RECORD_BYTES
        )
        size = store_records(log)
        log.link_mbps = link_mbps
        started = make_budgets(log)
        async with asyncio.timeout(10 * RECOVERY_S):
            took = await asyncio.gather(
                *(
                    served_after_s(started, f'new-{number}', [])
                    for number in range(CALLERS)
                )
            )
        # Once, not once for each caller.
        assert log.carried < 1.2 * size
        return took

    assert max(virtual_time.run(scenario())) <= RECOVERY_S


async def leave_and_return(
    budget: budget_log.BudgetLog, seed: int, name: str
) -> None:
    """Reserves and settles turns, and leaves at any time."""
    chance = random.Random(f'{seed}-{name}')
    loop = asyncio.get_running_loop()
    for number in range(30):
        await asyncio.sleep(chance.uniform(0.0, 0.1))
        program = f'p{chance.randrange(12)}'
        turn = f'{name}-{number}'
        try:
            async with asyncio.timeout(chance.uniform(0.001, 0.05)):
                await budget.reserve(program, turn, TURN, BUDGET, loop.time())
        except (TimeoutError, errors.ResultError):
            pass
        else:
            budget.settle(turn, chance.randrange(TURN), loop.time())
        await budget.flush(loop.time())


@pytest.mark.parametrize('seed', range(10))
def test_ledgers_are_the_fold_of_all_records_although_callers_leave(
    seed: int,
) -> None:
    async def scenario() -> None:
        log = slow_link.SlowLog(partitions=3, link_mbps=2.0)
        instances = [make_budgets(log) for _ in range(3)]
        await asyncio.gather(
            *(
                leave_and_return(one, seed, f'{place}-{caller}')
                for place, one in enumerate(instances)
                for caller in range(4)
            )
        )
        for one in instances:
            await one.flush(100.0)
            await one.flush(101.0)
        for one in instances:
            for partition in one.partitions:
                stored = log.data[records.BUDGET_TOPIC, partition.number]
                await one.reads.read_up_to(partition, len(stored), 9.0)
                folded = budgets.BudgetLedger()
                folded.apply_records(0, tuple(stored), 0.0)
                assert state(partition.ledger) == state(folded)

    virtual_time.run(scenario())


def state(ledger: budgets.BudgetLedger) -> dict[str, typing.Any]:
    """Returns all of a ledger but times."""
    return {
        name: (
            program.total,
            program.refused,
            {
                turn: attrs.evolve(one, since=0.0)
                for turn, one in program.reservations.items()
            },
        )
        for name, program in ledger.programs.items()
    }


def test_read_that_brings_nothing_ends_with_its_caller() -> None:
    async def scenario() -> None:
        log = slow_link.SlowLog()
        budget = make_budgets(log)
        partition = budget.partitions[0]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await budget.reads.read_up_to(partition, 7, 0.0)
        await asyncio.sleep(1.0)
        assert not budget.reads.runs.running
        reads = log.reads
        await asyncio.sleep(1.0)
        assert log.reads == reads

    virtual_time.run(scenario())
