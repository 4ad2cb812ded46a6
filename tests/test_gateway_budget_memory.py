"""What an instance keeps of programs' budgets is bounded."""

import asyncio
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import turns
from tests import gateway_support

LIMIT: typing.Final = 100_000
TOKENS: typing.Final = 100
BUDGET: typing.Final = 1_000_000
# Of programs that have a turn each.
EACH: typing.Final = budgets.PROGRAM_BYTES + budgets.RESERVATION_BYTES
VALID: typing.Final = budgets.Verdict.VALID


async def fill(budget: budget_log.BudgetLog) -> int:
    """Has programs come until one is refused; returns how many came."""
    for number in range(LIMIT):
        try:
            await budget.reserve(f'p{number}', f't{number}', TOKENS, BUDGET, 0)
        except errors.ResultError as error:
            assert error.code is codes.MEMORY_EXHAUSTED
            return number
    raise AssertionError('none was refused')


def test_programs_are_refused_beyond_the_limit() -> None:
    """Guards against a client that names a new program in each request."""

    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log, limit=LIMIT)
        count = await fill(budget)
        most = LIMIT * budget_log.NEW_PROGRAMS_SHARE
        assert most <= budget.size() < most + EACH
        assert count == len(log_programs(budget))
        # Those that have begun go on.
        budget.drop_grants(1.0)
        assert await budget.reserve('p0', 'u0', TOKENS, BUDGET, 1.0) is VALID
        # Another instance leaves as much to them.
        other = budget_log.BudgetLog(log, limit=LIMIT)
        await fill(other)
        assert other.size() < LIMIT + EACH

    asyncio.run(scenario())


def log_programs(budget: budget_log.BudgetLog) -> set[str]:
    """Returns the programs that an instance knows."""
    return {name for one in budget.partitions for name in one.ledger.programs}


def test_program_of_many_turns_is_refused_at_the_limit() -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log, limit=LIMIT)
        with pytest.raises(errors.ResultError) as raised:
            for number in range(LIMIT):
                await budget.reserve('p', f't{number}', TOKENS, 1, 0.0)
        assert raised.value.code is codes.MEMORY_EXHAUSTED
        assert LIMIT <= budget.size() < LIMIT + EACH

    asyncio.run(scenario())


def test_programs_that_have_ended_leave_their_room() -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log, limit=LIMIT)
        await fill(budget)
        later = 2 * budgets.PROGRAM_EXPIRY_S
        await budget.flush(later)
        await budget.flush(2 * later)
        assert budget.size() == 0
        verdict = await budget.reserve('new', 'n', TOKENS, BUDGET, 2 * later)
        assert verdict is VALID

    asyncio.run(scenario())


def test_cached_turns_leave_room_for_budgets() -> None:
    cache = turns.TurnCache()
    for number in range(10):
        cache.put(
            turns.Turn(
                turn_id=f't{number}',
                previous=None,
                account='ward',
                input=bytes(5_000),
                output=b'',
                ended_ms=0,
            )
        )
    cache.fit(LIMIT // 4)
    assert 0 < cache.size <= LIMIT // 4
    assert cache.get('t9') is not None and cache.get('t0') is None
