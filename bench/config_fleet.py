"""Measures how soon changes and key withdrawals reach nine real instances.

standins.fleet runs the processes: three data centres of three instances
each, with network links that can be cut.
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
POLL_INTERVAL_S: typing.Final = 0.01
POLL_TIMEOUT_S: typing.Final = 60.0
TOKEN: typing.Final = 'operator'
CUT_DATA_CENTRE: typing.Final = 'north'
# Long enough for connections and reads across the cut to time out.
CUT_SETTLE_S: typing.Final = 10.0
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
    """The running fleet, the HTTP client that polls it, and the figures."""

    fleet: fleet_state.Fleet
    http: httpclient.AsyncHTTPClient
    figures: list[figure.Figure] = attrs.field(factory=list)


def config_text(running: fleet_state.Fleet) -> str:
    """Returns the fleet's configuration."""
    return CONFIG + fleet_config.upstream_tables(running, 'guide', ['desk'])


async def config_offset_at(bench: Bench, node: fleet_state.Node) -> int:
    """Returns the offset of the last record that a node has applied."""
    request = httpclient.HTTPRequest(
        f'{node.url}/v1/status', headers={'Authorization': f'Bearer {TOKEN}'}
    )
    response = await bench.http.fetch(request)
    return int(msgspec.json.decode(response.body)['config_offset'])


async def result_code_at(
    bench: Bench, node: fleet_state.Node, key: str
) -> int:
    """Returns the result code of a request for an unknown program class.

    The class is checked after the key, so the code is UNKNOWN_KEY only if
    the instance refuses the key.
    """
    request = httpclient.HTTPRequest(
        f'{node.url}/v1/programs',
        method='POST',
        headers={'Authorization': f'Bearer {key}'},
        body=b'{"class_name":"none"}',
    )
    response = await bench.http.fetch(request, raise_error=False)
    return int(msgspec.json.decode(response.body)['error']['code'])


async def wait_until(
    condition: typing.Callable[[], typing.Awaitable[bool]],
) -> float:
    """Polls the condition and returns the time at which it held.

    Raises TimeoutError after POLL_TIMEOUT_S.
    """
    async with asyncio.timeout(POLL_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)
    return time.perf_counter()


async def await_refusal(
    bench: Bench, nodes: typing.Iterable[fleet_state.Node], key: str
) -> float:
    """Waits until all nodes refuse the key; returns the time of the last."""

    async def refused(node: fleet_state.Node) -> float:
        async def check() -> bool:
            code = await result_code_at(bench, node, key)
            return code == codes.UNKNOWN_KEY.number

        return await wait_until(check)

    return max(await asyncio.gather(*map(refused, nodes)))


async def run_command(bench: Bench, *arguments: str) -> typing.Any:
    """Runs an operator command in a thread, so that polling goes on."""
    return await asyncio.to_thread(
        fleet_config.run_accepted_command, bench.fleet, *arguments
    )


async def issue(bench: Bench, name: str) -> str:
    """Issues a key and waits until every instance accepts it."""
    (row,) = await run_command(bench, 'key', 'issue', 'ward', '--name', name)
    key: str = row['key']
    for node in bench.fleet.nodes.values():

        async def accepted(node: fleet_state.Node = node) -> bool:
            code = await result_code_at(bench, node, key)
            return code != codes.UNKNOWN_KEY.number

        await wait_until(accepted)
    return key


def add_figures(bench: Bench, name: str, times: list[float]) -> None:
    """Adds figures of the median and the slowest time."""
    bench.figures += config_cost.time_figures(f'config.fleet_9.{name}', times)


async def publish_one(
    bench: Bench, client: log_client.LogClient, burst: int
) -> float:
    """Returns the seconds until a change is in force at all instances."""
    account = model.ClientAccount(name='ward', rate_per_s=1000, burst=burst)
    change = config_cost.make_change(model.Kind.ACCOUNT, account, burst)
    started = time.perf_counter()
    offset = await client.append('config', codec.encode(change))
    for node in bench.fleet.nodes.values():

        async def applied(node: fleet_state.Node = node) -> bool:
            return await config_offset_at(bench, node) >= offset

        await wait_until(applied)
    return time.perf_counter() - started


async def measure_publish(bench: Bench) -> None:
    """Measures changes, with and without the log in one data centre."""
    client = log_client.LogClient(bench.fleet.log.url)
    times = [
        await publish_one(bench, client, 1000 + number)
        for number in range(PUBLISHES)
    ]
    add_figures(bench, 'in_force', times)
    fleet.set_cut(
        bench.fleet, [f'{CUT_DATA_CENTRE}/log', f'{CUT_DATA_CENTRE}/list']
    )
    times = [
        await publish_one(bench, client, 2000 + number)
        for number in range(CHANGES_WITHOUT_LOG)
    ]
    add_figures(bench, 'in_force_relayed_by_peers', times)
    fleet.set_cut(bench.fleet, [])
    client.close()


async def measure_withdrawal(bench: Bench) -> None:
    """Measures how long a key is accepted after its withdrawal."""
    times = []
    for number in range(WITHDRAWALS):
        key = await issue(bench, f'key-{number}')
        started = time.perf_counter()
        await run_command(bench, 'key', 'withdraw', f'key-{number}')
        refused_at = await await_refusal(
            bench, bench.fleet.nodes.values(), key
        )
        times.append(refused_at - started)
    add_figures(bench, 'withdrawn', times)


async def measure_cut(bench: Bench) -> None:
    """Measures a direct withdrawal in a cut-off data centre."""
    key = await issue(bench, 'leaked')
    inside = bench.fleet.in_data_centre(CUT_DATA_CENTRE)
    fleet.cut_off(bench.fleet, CUT_DATA_CENTRE)
    await asyncio.sleep(CUT_SETTLE_S)
    started = time.perf_counter()
    await instance_client.withdraw_key(inside[0].url, TOKEN, 'leaked')
    add_figures(
        bench,
        'withdrawn_in_cut_data_centre',
        [await await_refusal(bench, inside, key) - started],
    )
    outside = [
        node for node in bench.fleet.nodes.values() if node not in inside
    ]
    codes_outside = {
        await result_code_at(bench, node, key) for node in outside
    }
    assert codes.UNKNOWN_KEY.number not in codes_outside, codes_outside
    fleet.set_cut(bench.fleet, [])
    started = time.perf_counter()
    add_figures(
        bench,
        'withdrawn_everywhere_after_the_cut',
        [await await_refusal(bench, outside, key) - started],
    )
    verdicts: list[str] = []

    async def logged() -> bool:
        history = await run_command(
            bench, 'config', 'history', '--limit', '100'
        )
        verdicts[:] = [
            row['verdict']
            for row in history
            if (row['name'], row['change']) == ('leaked', 'remove')
        ]
        return bool(verdicts)

    add_figures(
        bench,
        'withdrawn_in_the_log_after_the_cut',
        [await wait_until(logged) - started],
    )
    assert set(verdicts) == {'accepted'}, verdicts


async def measure(running: fleet_state.Fleet) -> list[figure.Figure]:
    """Takes all measurements on a running fleet."""
    bench = Bench(
        fleet=running,
        http=curl_httpclient.CurlAsyncHTTPClient(force_instance=True),
    )
    await measure_publish(bench)
    await measure_withdrawal(bench)
    await measure_cut(bench)
    return bench.figures


def figures() -> list[figure.Figure]:
    """Starts the fleet and returns all figures."""
    plan = fleet_state.Plan(
        operator_token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest()
    )
    with fleet.running(plan, config_text) as running:
        return asyncio.run(measure(running))
