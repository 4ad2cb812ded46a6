"""Measures changes and withdrawals at nine real instances.

The processes are those of standins.fleet: three data centres of three
instances, whose links can be cut.
"""

import asyncio
import hashlib
import time
import typing

import attrs
import msgspec
from tornado import curl_httpclient
from tornado import httpclient

from bench import config_cost
from bench import figure
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import instance_client
from oleanderdrift import log_client
from oleanderdrift import model
from standins import fleet
from standins import fleet_config
from standins import fleet_state

PUBLISHES: typing.Final = 20
WITHDRAWALS: typing.Final = 5
POLL_S: typing.Final = 0.01
GIVE_UP_S: typing.Final = 60.0
TOKEN: typing.Final = 'operator'
CUT: typing.Final = 'north'
# Long enough for links and reads to be given up.
CUT_S: typing.Final = 10.0
CHANGES_WITHOUT_LOG: typing.Final = 5
CONFIG: typing.Final = """
[account.ward]
rate_per_s = 1000
burst = 1000
[class.urgent]
target_s = 10
[model.guide]
[tool.desk]
idempotent = true
"""


@attrs.define(kw_only=True)
class Bench:
    """The running fleet and the clients that look at it."""

    fleet: fleet_state.Fleet
    http: httpclient.AsyncHTTPClient
    figures: list[figure.Figure] = attrs.field(factory=list)


def config_text(running: fleet_state.Fleet) -> str:
    """Returns the fleet's configuration."""
    return CONFIG + fleet_config.upstream_tables(running, 'guide', ['desk'])


async def offset_at(bench: Bench, node: fleet_state.Node) -> int:
    """Returns the offset of the last record that a node has folded."""
    request = httpclient.HTTPRequest(
        f'{node.url}/v1/status', headers={'Authorization': f'Bearer {TOKEN}'}
    )
    response = await bench.http.fetch(request)
    return int(msgspec.json.decode(response.body)['config_offset'])


async def code_at(bench: Bench, node: fleet_state.Node, key: str) -> int:
    """Returns the result code of a call that a good key fails later on.

    A class that does not exist is noticed only after the key.
    """
    request = httpclient.HTTPRequest(
        f'{node.url}/v1/programs',
        method='POST',
        headers={'Authorization': f'Bearer {key}'},
        body=b'{"class_name":"none"}',
    )
    response = await bench.http.fetch(request, raise_error=False)
    return int(msgspec.json.decode(response.body)['error']['code'])


async def until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
) -> float:
    """Returns the time at which the condition came true.

    Raises TimeoutError after GIVE_UP_S.
    """
    async with asyncio.timeout(GIVE_UP_S):
        while not await condition():
            await asyncio.sleep(POLL_S)
    return time.perf_counter()


async def all_refuse(
    bench: Bench, nodes: typing.Iterable[fleet_state.Node], key: str
) -> float:
    """Returns the time from which all nodes refuse the key."""

    async def refused(node: fleet_state.Node) -> float:
        async def check() -> bool:
            found = await code_at(bench, node, key)
            return found == codes.UNKNOWN_KEY.number

        return await until(check)

    return max(await asyncio.gather(*map(refused, nodes)))


async def command(bench: Bench, *words: str) -> typing.Any:
    """Runs an operator's command beside the polling."""
    return await asyncio.to_thread(
        fleet_config.run_accepted_command, bench.fleet, *words
    )


async def issue(bench: Bench, name: str) -> str:
    """Issues a key and waits until every instance admits it."""
    (row,) = await command(bench, 'key', 'issue', 'ward', '--name', name)
    key: str = row['key']
    for node in bench.fleet.nodes.values():

        async def admitted(node: fleet_state.Node = node) -> bool:
            found = await code_at(bench, node, key)
            return found != codes.UNKNOWN_KEY.number

        await until(admitted)
    return key


def note(bench: Bench, name: str, times: list[float]) -> None:
    """Adds the median and the slowest of some times to the figures."""
    bench.figures += config_cost.of_times(f'config.fleet_9.{name}', times)


async def publish_one(
    bench: Bench, client: log_client.LogClient, burst: int
) -> float:
    """Returns how long a change takes to be in force at all instances."""
    account = model.ClientAccount(name='ward', rate_per_s=1000, burst=burst)
    change = config_cost.change_of(model.Kind.ACCOUNT, account, burst)
    began = time.perf_counter()
    offset = await client.append('config', codec.encode(change))
    for node in bench.fleet.nodes.values():

        async def folded(node: fleet_state.Node = node) -> bool:
            return await offset_at(bench, node) >= offset

        await until(folded)
    return time.perf_counter() - began


async def measure_publish(bench: Bench) -> None:
    """Measures the times, with and without the log in one data centre."""
    client = log_client.LogClient(bench.fleet.log.url)
    times = [
        await publish_one(bench, client, 1000 + number)
        for number in range(PUBLISHES)
    ]
    note(bench, 'in_force', times)
    fleet.set_cut(bench.fleet, [f'{CUT}/log', f'{CUT}/list'])
    times = [
        await publish_one(bench, client, 2000 + number)
        for number in range(CHANGES_WITHOUT_LOG)
    ]
    note(bench, 'in_force_relayed_by_peers', times)
    fleet.set_cut(bench.fleet, [])
    client.close()


async def measure_withdrawal(bench: Bench) -> None:
    """Measures how long a key works on after it was withdrawn."""
    times = []
    for number in range(WITHDRAWALS):
        key = await issue(bench, f'key-{number}')
        began = time.perf_counter()
        await command(bench, 'key', 'withdraw', f'key-{number}')
        done = await all_refuse(bench, bench.fleet.nodes.values(), key)
        times.append(done - began)
    note(bench, 'withdrawn', times)


async def measure_cut(bench: Bench) -> None:
    """Measures a direct withdrawal in a data centre that is cut off."""
    key = await issue(bench, 'leaked')
    inside = bench.fleet.in_data_centre(CUT)
    fleet.cut_off(bench.fleet, CUT)
    await asyncio.sleep(CUT_S)
    began = time.perf_counter()
    await instance_client.withdraw_key(inside[0].url, TOKEN, 'leaked')
    note(
        bench,
        'withdrawn_in_cut_data_centre',
        [await all_refuse(bench, inside, key) - began],
    )
    outside = [
        node for node in bench.fleet.nodes.values() if node not in inside
    ]
    codes_outside = {await code_at(bench, node, key) for node in outside}
    assert codes.UNKNOWN_KEY.number not in codes_outside, codes_outside
    fleet.set_cut(bench.fleet, [])
    began = time.perf_counter()
    note(
        bench,
        'withdrawn_everywhere_after_the_cut',
        [await all_refuse(bench, outside, key) - began],
    )
    verdicts: list[str] = []

    async def logged() -> bool:
        history = await command(bench, 'config', 'history', '--limit', '100')
        verdicts[:] = [
            row['verdict']
            for row in history
            if (row['name'], row['change']) == ('leaked', 'remove')
        ]
        return bool(verdicts)

    note(
        bench,
        'withdrawn_in_the_log_after_the_cut',
        [await until(logged) - began],
    )
    assert set(verdicts) == {'accepted'}, verdicts


async def measure(running: fleet_state.Fleet) -> list[figure.Figure]:
    """Returns all figures of a running fleet."""
    bench = Bench(
        fleet=running,
        http=curl_httpclient.CurlAsyncHTTPClient(force_instance=True),
    )
    await measure_publish(bench)
    await measure_withdrawal(bench)
    await measure_cut(bench)
    return bench.figures


def figures() -> list[figure.Figure]:
    """Runs the fleet and returns all figures."""
    plan = fleet_state.Plan(
        operator_token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest()
    )
    with fleet.running(plan, config_text) as running:
        return asyncio.run(measure(running))
