"""Grants of tokens between instance processes while the store stops."""

import asyncio
import json
import pathlib
import random
import re
import typing

import pytest

from oleanderdrift.platform import settings
from standins import gateways
from standins import platform_store
from standins import replica as replica_lib
from tests import soak_callers
from tests import test_gateway_soak as soak

CALLERS: typing.Final = 8
TURNS: typing.Final = 10
OUTAGE_S: typing.Final = 1.2
# On a busy machine, an outage may fall between all turns of programs.
MAX_OUTAGES: typing.Final = 5
# Until an instance has noticed that the store does not answer.
NOTICED_S: typing.Final = 0.4
TURN_ROUTE: typing.Final = {
    **soak_callers.CONFIG['Routes'][0],  # type: ignore[index]
    'Retain': False,
}
CONFIG: typing.Final = {**soak_callers.CONFIG, 'Routes': [TURN_ROUTE]}


async def read_metric(instance: gateways.Instance, name: str) -> float:
    """Returns the value of a metric, 0 if the instance has none."""
    reader, writer = await asyncio.open_connection(
        instance.address, settings.METRICS_PORT
    )
    writer.write(b'GET /metrics HTTP/1.0\r\nHost: x\r\n\r\n')
    text = (await reader.read()).decode()
    writer.close()
    found = re.search(rf'^\S*{name} (\S+)', text, re.MULTILINE)
    return float(found[1]) if found else 0.0


async def play(folder: pathlib.Path, fault: platform_store.Fault) -> None:
    """Runs callers while the store stops and an instance is killed."""
    server = platform_store.start()
    replica = replica_lib.Replica(behaviours=[soak.LONG_STREAM])
    await replica.start()
    server.store.put(
        'keyed.servers', 'u0', soak_callers.entry(replica.port, 'guide', 'v1')
    )
    server.store.put('keyed.op', 'config', json.dumps(CONFIG).encode())
    instances = await gateways.build(
        folder, 3, server.port, random.SystemRandom()
    )
    seen = soak_callers.Observations()
    callers = [
        soak_callers.Caller(
            name=f'c{number}',
            instances=instances,
            observations=seen,
            rng=random.Random(number),
        )
        for number in range(CALLERS)
    ]
    is_over = False

    async def granted_by_peers() -> float:
        return sum(
            [
                await read_metric(one, 'turns_granted_by_peers')
                for one in instances
            ]
        )

    async def granted_in_outage() -> float:
        server.store.fault = fault
        await asyncio.sleep(NOTICED_S)
        before = await granted_by_peers()
        await asyncio.sleep(OUTAGE_S - NOTICED_S)
        granted = await granted_by_peers() - before
        server.store.fault = platform_store.Fault.NONE
        return granted

    async def call(caller: soak_callers.Caller) -> None:
        while not is_over:
            program = f'p{caller.name}.{caller.sent}'
            turns = 0
            while turns < TURNS and not is_over:
                turns += bool(await caller.send_turn(program, ''))
                await asyncio.sleep(0.1)

    try:
        for instance in instances:
            instance.start()
        assert await soak.until_all_serve(callers[0], soak.READY_TIMEOUT_S)
        calls = asyncio.gather(*(call(caller) for caller in callers))
        for _ in range(MAX_OUTAGES):
            # Programs in progress have spare tokens again by then.
            await asyncio.sleep(1.5)
            granted = await granted_in_outage()
            if granted:
                break
        instances[0].end()
        await asyncio.sleep(1.0)
        instances[0].start()
        assert await soak.until_all_serve(callers[0], soak.READY_TIMEOUT_S)
        is_over = True
        await calls
        assert soak_callers.find_violations(seen, [replica]) == []
        assert granted > 0, seen.counts
    finally:
        for caller in callers:
            caller.close()
        for instance in instances:
            instance.end()
        server.stop()
        await replica.stop()


@pytest.mark.parametrize(
    'fault', [platform_store.Fault.BUSY, platform_store.Fault.SILENT]
)
def test_programs_go_on_within_their_budgets_while_the_store_is_stopped(
    fault: platform_store.Fault, tmp_path: pathlib.Path
) -> None:
    asyncio.run(play(tmp_path, fault))
