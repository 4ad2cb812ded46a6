"""Budgets of programs that go on for longer than the store keeps records."""

import asyncio
import collections.abc
import random
import typing

import pytest

from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import ports
from tests import gateway_support

VALID: typing.Final = budgets.Verdict.VALID
RETENTION_S: typing.Final = 300.0
TURN: typing.Final = 576
BUDGET: typing.Final = 4_608
STEP_S: typing.Final = 6.0


class ExpiringLog(gateway_support.MemoryLog):
    """A log that drops records that are older than RETENTION_S."""

    now: float = 0.0

    def __init__(self) -> None:
        super().__init__()
        self.times: dict[tuple[str, int], list[float]] = {}

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[ports.Record],
    ) -> int:
        """Appends records; notes when."""
        times = self.times.setdefault((topic, partition), [])
        times += [self.now] * len(records)
        return await super().append(topic, partition, records)

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Returns the records from start on that are left."""
        times = self.times.get((topic, partition), [])
        first = sum(self.now - each > RETENTION_S for each in times)
        if start < first:
            return ports.LogRecords(
                start=first, records=(), end=first, first=first, trimmed=True
            )
        return await super().read(topic, partition, start)


def make(log: ExpiringLog) -> budget_log.BudgetLog:
    """Returns the budgets of an instance that starts now."""
    return budget_log.BudgetLog(log, RETENTION_S)


async def run_turn(
    one: budget_log.BudgetLog, log: ExpiringLog, number: int, tokens: int
) -> int:
    """Runs a turn as an instance does; returns the tokens handed out."""
    now = log.now
    one.renew('p', now)
    if one.is_spent('p', BUDGET):
        await one.flush(now + 1.0)
        return 0
    verdict = await one.reserve('p', f't{number}', TURN, BUDGET, now)
    if verdict is not VALID:
        await one.flush(now + 1.0)
        return 0
    one.settle(f't{number}', tokens, now)
    # Its grant is closed when it has been idle, and settled then.
    await one.flush(now + 3.0)
    await one.flush(now + 4.0)
    return tokens


@pytest.mark.parametrize('waste', [14, TURN])
def test_budget_is_not_granted_anew_after_its_records_expired(
    waste: int,
) -> None:
    """Guards against a program that gets its budget again and again."""

    async def play() -> int:
        log = ExpiringLog()
        first = make(log)
        handed = 0
        for number in range(7):
            handed += await run_turn(first, log, number, TURN - 2)
        for number in range(7, 7 + round(2.5 * RETENTION_S / STEP_S)):
            log.now += STEP_S
            handed += await run_turn(first, log, number, waste)
        for start in range(3):
            other = make(log)
            for number in range(10):
                name = 1_000 * (start + 1) + number
                handed += await run_turn(other, log, name, TURN)
        return handed

    assert asyncio.run(play()) <= BUDGET + TURN


@pytest.mark.parametrize('seed', range(20))
def test_budget_holds_while_instances_restart(seed: int) -> None:
    """A program without end that comes to any instance, at any time."""

    async def play() -> int:
        chance = random.Random(seed)
        log = ExpiringLog()
        instances = [make(log) for _ in range(4)]
        handed = 0
        for number in range(300):
            log.now += chance.choice((0.5, 6.0, 20.0))
            place = chance.randrange(len(instances))
            if chance.random() < 0.1:
                instances[place] = make(log)
            tokens = chance.choice((14, 200, TURN))
            handed += await run_turn(instances[place], log, number, tokens)
        return handed

    assert asyncio.run(play()) <= BUDGET + TURN


def test_program_that_is_short_is_written_once() -> None:
    async def play() -> int:
        log = ExpiringLog()
        one, other = make(log), make(log)
        for number in range(4):
            log.now += STEP_S
            instance = one if number % 2 else other
            await run_turn(instance, log, number, 100)
        return sum(map(len, log.data.values()))

    # A reservation and a settlement for each; the second instance to come
    # does not know the age of what it reads first.
    assert asyncio.run(play()) <= 4 * 2 + 1
