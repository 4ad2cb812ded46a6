"""Conversations go on after a loss of power, over slow links as well."""

import asyncio
import random
import typing

import pytest

from oleanderdrift import errors
from oleanderdrift.gateway import turn_flow
from oleanderdrift.gateway import turn_log
from tests import slow_link
from tests import turn_support
from tests import virtual_time

PARTITIONS: typing.Final = 24
RECORD_BYTES: typing.Final = 262_144
PROGRAMS: typing.Final = 120
TURNS: typing.Final = 7
# 840 turns of it are what a large day of the users stores: 15 MB.
OUTPUT_BYTES: typing.Final = 18_000
CALLERS: typing.Final = 24
# The time within which conversations have to go on after a loss of power.
RECOVERY_S: typing.Final = 15.0
# A caller comes back this long after a refusal.
COME_BACK_S: typing.Final = 0.2


async def store_programs(
    log: slow_link.SlowLog, programs: int, output_bytes: int
) -> list[str]:
    """Stores programs of several turns; returns the last turn of each."""
    writer = turn_support.make_turn_log(log, 'north-1')
    for number in range(TURNS):
        for program in range(programs):
            await turn_support.store_turn(
                writer,
                f'{program}-{number}',
                f'{program}-{number - 1}' if number else None,
                output=bytes(output_bytes),
            )
    return [f'{program}-{TURNS - 1}' for program in range(programs)]


async def served_after_s(log: turn_log.TurnLog, last: str) -> float:
    """Continues a conversation as callers do; returns when that worked."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        try:
            async with asyncio.timeout(turn_flow.PREPARE_TIMEOUT_S):
                chain = await log.chain(last, 'ward')
            assert len(chain) == TURNS
            return loop.time() - began
        except (TimeoutError, errors.ResultError):
            await asyncio.sleep(COME_BACK_S)


@pytest.mark.parametrize('link_mbps', [11.0, 22.0, 75.0, 300.0])
def test_conversations_go_on_at_an_instance_with_a_slow_link(
    link_mbps: float,
) -> None:
    """Guards against turns lost because all ended turns are read first."""

    async def scenario() -> list[float]:
        log = slow_link.SlowLog(
            partitions=PARTITIONS, record_bytes=RECORD_BYTES
        )
        lasts = await store_programs(log, PROGRAMS, OUTPUT_BYTES)
        log.link_mbps = link_mbps
        started = turn_support.make_turn_log(log, 'north-2', link_mbps)
        async with asyncio.timeout(20 * RECOVERY_S):
            return await asyncio.gather(
                *(served_after_s(started, last) for last in lasts[:CALLERS])
            )

    assert max(virtual_time.run(scenario())) <= RECOVERY_S


def test_finding_a_turn_does_not_cost_what_all_turns_cost() -> None:
    """Guards against reads that grow with what others have stored."""

    async def scenario(programs: int) -> int:
        log = slow_link.SlowLog(
            partitions=PARTITIONS, record_bytes=RECORD_BYTES
        )
        lasts = await store_programs(log, programs, OUTPUT_BYTES)
        started = turn_support.make_turn_log(log, 'north-2')
        await started.chain(lasts[0], 'ward')
        return log.carried

    few = virtual_time.run(scenario(PROGRAMS // 10))
    many = virtual_time.run(scenario(PROGRAMS))
    assert many < 2 * few


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('link_mbps', [11.0, 75.0])
def test_conversations_go_on_while_answers_of_the_store_are_lost(
    link_mbps: float, seed: int
) -> None:
    """Guards against many reads of which each has to succeed at once."""

    async def scenario() -> list[float]:
        log = slow_link.SlowLog(
            partitions=PARTITIONS, record_bytes=RECORD_BYTES
        )
        lasts = await store_programs(log, PROGRAMS, OUTPUT_BYTES)
        log.link_mbps = link_mbps
        log.lost_share = 1 / 3
        log.chance = random.Random(seed)
        started = turn_support.make_turn_log(log, 'north-2', link_mbps)
        async with asyncio.timeout(20 * RECOVERY_S):
            return await asyncio.gather(
                *(served_after_s(started, last) for last in lasts[:CALLERS])
            )

    assert max(virtual_time.run(scenario())) <= RECOVERY_S
