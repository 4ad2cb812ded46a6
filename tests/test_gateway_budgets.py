"""Token budgets with parallel turns, several instances and lost answers."""

import asyncio
import random

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import records
from tests import gateway_support

VALID = budgets.Verdict.VALID
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
    ledger.apply_records(0, tuple(data), 0.0)
    program = ledger.programs['p']
    held = {name: program.verdict(name) is VALID for name in valid}
    assert held == valid


def test_every_reader_reaches_the_same_verdicts() -> None:
    data = tuple(reserve(name) for name in 'abcde')
    whole = budgets.BudgetLedger()
    whole.apply_records(0, data, 0.0)
    pieces = budgets.BudgetLedger()
    pieces.apply_records(0, data[:2], 0.0)
    # A read may overlap with records that were applied already.
    pieces.apply_records(1, data[1:], 5.0)
    assert (
        attrs.asdict(pieces.programs['p'])['reservations']
        == (attrs.asdict(whole.programs['p'])['reservations'])
    )
    assert pieces.programs['p'].refused == whole.programs['p'].refused


@pytest.mark.parametrize('instances', [1, 2, 9])
def test_looping_program_stays_within_budget_and_one_turn(
    instances: int,
) -> None:
    async def scenario() -> int:
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
        return sum(one is VALID for one in valid)

    assert asyncio.run(scenario()) * TURN <= BUDGET + TURN


@pytest.mark.parametrize('seed', range(5))
def test_turns_of_a_program_spread_over_a_large_fleet_are_served(
    seed: int,
) -> None:
    """A turn each 0.4 s, each at any of 195 instances.

    A turn may take a quarter of the budget, and takes a quarter of that;
    what it does not use is settled within a second.
    """

    async def scenario() -> list[budgets.Verdict]:
        chance = random.Random(seed)
        log = gateway_support.MemoryLog()
        logs = [budget_log.BudgetLog(log) for _ in range(195)]
        budget = 4 * TURN
        verdicts = []
        now = 0.0
        for turn in range(8):
            one = chance.choice(logs)
            verdict = await one.reserve(
                'p', f't{turn}', TURN, budget, now, len(logs)
            )
            verdicts.append(verdict)
            now += 0.3
            one.settle(f't{turn}', TURN // 4, now)
            now += 0.1
            for each in logs:
                await each.flush(now)
        return verdicts

    assert set(asyncio.run(scenario())) == {VALID}


def test_lost_answer_returns_the_tokens() -> None:
    async def scenario() -> bool:
        log = gateway_support.MemoryLog(unconfirmed_appends=1)
        budget = budget_log.BudgetLog(log)
        with pytest.raises(errors.ResultError):
            await budget.reserve('p', 'a', BUDGET, BUDGET, 0.0)
        return await budget.reserve('p', 'b', TURN, BUDGET, 0.1) is VALID

    assert asyncio.run(scenario())


def test_settlements_survive_an_outage() -> None:
    async def scenario() -> int:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log)
        await budget.reserve('p', 'a', TURN, BUDGET, 0.0)
        budget.settle('a', 14, 0.0)
        log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        await budget.flush(3.0)
        log.failure = None
        await budget.flush(4.0)
        fresh = budget_log.BudgetLog(log)
        await fresh.reserve('p', 'b', TURN, BUDGET, 0.0)
        return fresh.partition_of('p').ledger.programs['p'].used()

    assert asyncio.run(scenario()) == 14


def test_spent_budget_is_known_without_the_store() -> None:
    ledger = budgets.BudgetLedger()
    ledger.apply_records(0, (reserve('a'), settle('a', BUDGET)), 0.0)
    assert ledger.is_spent('p', BUDGET)
    assert not ledger.is_spent('p', BUDGET + 1)
    assert not ledger.is_spent('other', BUDGET)


def test_later_turns_of_a_program_need_no_call() -> None:
    async def scenario() -> int:
        log = gateway_support.MemoryLog()
        budget = budget_log.BudgetLog(log)
        for number in range(8):
            turn = f't{number}'
            verdict = await budget.reserve(
                'p', turn, TURN, 12 * TURN, number * 0.3
            )
            assert verdict is VALID
            budget.settle(turn, TURN // 4, number * 0.3)
        return log.appends

    assert asyncio.run(scenario()) == 1


def test_spare_tokens_are_returned_to_other_instances() -> None:
    async def scenario() -> list[budgets.Verdict]:
        log = gateway_support.MemoryLog()
        one, two = budget_log.BudgetLog(log), budget_log.BudgetLog(log)
        found = [await one.reserve('p', 'a', TURN, BUDGET, 0.0)]
        for turn in 'bc':
            found.append(await two.reserve('p', turn, TURN, BUDGET, 0.0))
        one.settle('a', 14, 0.1)
        await one.flush(3.0)
        await one.flush(4.0)
        found.append(await two.reserve('p', 'd', TURN, BUDGET, 4.0))
        return found

    unsettled = budgets.Verdict.UNSETTLED
    assert asyncio.run(scenario()) == [VALID, VALID, unsettled, VALID]


@pytest.mark.parametrize('seed', range(20))
def test_tokens_handed_out_stay_within_budget_and_one_turn(
    seed: int,
) -> None:
    async def scenario() -> int:
        chance = random.Random(seed)
        log = gateway_support.MemoryLog()
        instances = [budget_log.BudgetLog(log) for _ in range(3)]
        budget = chance.randrange(2, 12) * TURN
        handed = 0
        for number in range(60):
            at = chance.randrange(3)
            now = number * 0.2
            turn = f't{number}'
            log.unconfirmed_appends = chance.random() < 0.1
            if chance.random() < 0.05:
                # The instance is killed and loses its memory.
                instances[at] = budget_log.BudgetLog(log)
            try:
                found = await instances[at].reserve(
                    'p', turn, TURN, budget, now
                )
            except errors.ResultError:
                continue
            if found is VALID:
                tokens = chance.randrange(TURN + 1)
                handed += tokens
                instances[at].settle(turn, tokens, now)
            await instances[at].flush(now)
        assert handed <= budget + TURN
        return handed

    assert asyncio.run(scenario()) > 0


def test_last_flush_keeps_what_is_known_of_budgets() -> None:
    """Guards against turns over the budget while the last writes go on."""

    async def scenario() -> budgets.Verdict:
        budget = budget_log.BudgetLog(gateway_support.MemoryLog())
        await budget.reserve('p', 'a', TURN, TURN, 0.0)
        await budget.flush(float('inf'))
        return await budget.reserve('p', 'b', TURN, TURN, 0.1)

    assert asyncio.run(scenario()) is budgets.Verdict.SPENT
