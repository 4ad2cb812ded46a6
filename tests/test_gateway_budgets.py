"""A program's tokens over parallel turns, instances and lost answers."""

import asyncio

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import records
from tests import gateway_support

TURN = 588
BUDGET = 3 * TURN


def reserve(turn: str) -> bytes:
    """Returns a reservation's record."""
    return records.encode(
        records.Reserve(program='p', turn=turn, tokens=TURN, budget=BUDGET)
    )


def settle(turn: str, tokens: int) -> bytes:
    """Returns a settlement's record."""
    return records.encode(
        records.Settle(program='p', turn=turn, tokens=tokens)
    )


@pytest.mark.parametrize(
    ('data', 'valid'),
    [
        ([reserve('a')], {'a': True}),
        ([reserve(name) for name in 'abcd'], {'c': True, 'd': False}),
        ([reserve('a'), reserve('a')], {'a': True}),
        (
            [*(reserve(name) for name in 'abc'), settle('a', 14)]
            + [reserve('d')],
            {'d': True},
        ),
        (
            [*(reserve(name) for name in 'abcd'), settle('a', 0)]
            + [reserve('d')],
            {'d': False},
        ),
        ([settle('a', 0), reserve('a')], {'a': True}),
        ([b'\xff', reserve('a')], {'a': True}),
    ],
)
def test_order_of_records_decides(
    data: list[bytes], valid: dict[str, bool]
) -> None:
    ledger = budgets.BudgetLedger()
    ledger.fold(0, tuple(data), 0.0)
    turns = ledger.programs['p'].turns
    assert {name: turns[name] is not None for name in valid} == valid


def test_every_reader_reaches_the_same_verdicts() -> None:
    data = tuple(reserve(name) for name in 'abcde')
    whole = budgets.BudgetLedger()
    whole.fold(0, data, 0.0)
    pieces = budgets.BudgetLedger()
    pieces.fold(0, data[:2], 0.0)
    # A read may overlap with what is folded already.
    pieces.fold(1, data[1:], 5.0)
    assert pieces.programs['p'].turns == whole.programs['p'].turns


@pytest.mark.parametrize('instances', [1, 2, 9])
def test_looping_program_stays_within_budget_and_one_turn(
    instances: int,
) -> None:
    async def play() -> int:
        log = gateway_support.MemoryLog()
        logs = [budget_log.BudgetLog(log) for _ in range(instances)]
        valid = await asyncio.gather(
            *(
                logs[turn % instances].reserve(
                    'p', f't{turn}', TURN, BUDGET, 0.0
                )
                for turn in range(40)
            )
        )
        return sum(valid)

    assert asyncio.run(play()) * TURN <= BUDGET + TURN


def test_lost_answer_gives_the_tokens_back() -> None:
    async def play() -> bool:
        log = gateway_support.MemoryLog(lost_answers=1)
        budget = budget_log.BudgetLog(log)
        with pytest.raises(errors.ResultError):
            await budget.reserve('p', 'a', BUDGET, BUDGET, 0.0)
        return await budget.reserve('p', 'b', TURN, BUDGET, 0.1)

    assert asyncio.run(play())


def test_settlements_survive_an_outage() -> None:
    async def play() -> int:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log)
        await budget.reserve('p', 'a', TURN, BUDGET, 0.0)
        budget.settle('p', 'a', 14, 0.0)
        log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        await budget.flush(1.0)
        log.failure = None
        await budget.flush(2.0)
        fresh = budget_log.BudgetLog(log)
        await fresh.reserve('p', 'b', TURN, BUDGET, 0.0)
        return fresh.partition_of('p').ledger.programs['p'].total

    assert asyncio.run(play()) == TURN + 14


def test_spent_budget_is_known_without_the_store() -> None:
    ledger = budgets.BudgetLedger()
    ledger.fold(0, (reserve('a'), settle('a', BUDGET)), 0.0)
    assert ledger.is_spent('p', BUDGET)
    assert not ledger.is_spent('p', BUDGET + 1)
    assert not ledger.is_spent('other', BUDGET)
