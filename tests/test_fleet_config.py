"""Tests with real processes: configuration, keys and racing operators."""

import asyncio
import concurrent.futures
import threading
import typing

from oleanderdrift import codes
from oleanderdrift import config_admin
from oleanderdrift import log_client
from oleanderdrift import model
from standins import client
from standins import demo_config
from standins import fleet_config
from standins import fleet_state
from standins import processes
from tests import fleet_support

BOUND_S: typing.Final = fleet_support.CONFIG_BOUND_S


def test_key_is_in_force_everywhere_and_withdrawn_from_open_streams(
    nine: fleet_state.Fleet,
) -> None:
    issued = fleet_config.run_accepted_command(
        nine, 'key', 'issue', 'museum', '--name', 'short-lived'
    )
    secret = issued[0]['key']
    fleet_support.await_key_state(nine.nodes.values(), secret, True)
    node = nine.nodes['south-3']
    program = client.start_program(node.url, secret, 'planning')
    first_token_received = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        stream = pool.submit(
            fleet_support.ask,
            node,
            program,
            'to be ended',
            20_000,
            lambda token: first_token_received.set(),
        )
        assert first_token_received.wait(10)
        fleet_config.run_accepted_command(
            nine, 'key', 'withdraw', 'short-lived'
        )
        fleet_support.await_key_state(nine.nodes.values(), secret, False)
        result = stream.result(timeout=BOUND_S)
    assert not result.finished and result.error, result
    fleet_support.await_key_state(nine.nodes.values(), secret, False)


def test_no_upstream_sees_a_key(nine: fleet_state.Fleet) -> None:
    secrets = [
        demo_config.caller_key(account) for account in demo_config.ACCOUNTS
    ]
    node = nine.nodes['north-3']
    program = fleet_support.start_program(node)
    fleet_support.ask_until_answered(node, program, 'with a key')
    ledger = fleet_support.DispatchLedger()
    ledger.dispatch(node.url, program, fleet_support.new_key())
    requests_checked = 0
    for process in nine.of_kind('engine') + nine.of_kind('tool'):
        for request in processes.report(process)['requests']:
            requests_checked += 1
            assert not any(secret in str(request) for secret in secrets)
            header_names = [name.lower() for name, _ in request['headers']]
            assert 'authorization' not in header_names
    assert requests_checked > 1


async def race_operators(
    url: str, secrets: list[str]
) -> list[config_admin.Outcome]:
    """Makes operators who have read the same version set the same key."""
    clients = [log_client.LogClient(url) for _ in secrets]
    sessions = [
        config_admin.Session(client=one, author='racer') for one in clients
    ]
    await asyncio.gather(*map(config_admin.refresh, sessions))
    changes = [
        config_admin.build_change(
            session,
            fleet_support.new_key(),
            model.Kind.KEY,
            'raced',
            model.ApiKey(
                name='raced',
                client_account='museum',
                sha256=demo_config.sha256(secret),
            ),
        )
        for session, secret in zip(sessions, secrets, strict=True)
    ]
    outcomes = await asyncio.gather(
        *map(config_admin.publish, sessions, changes)
    )
    for one in clients:
        one.close()
    return list(outcomes)


def test_racing_operators_get_correct_verdicts(
    nine: fleet_state.Fleet,
) -> None:
    secrets = [f'od-race-{number}' for number in range(4)]
    outcomes = asyncio.run(race_operators(nine.log.url, secrets))
    verdicts = [outcome.verdict for outcome in outcomes]
    assert [one.accepted for one in verdicts].count(True) == 1
    refused = {one.code for one in verdicts if not one.accepted}
    assert refused == {codes.CONFIG_CONFLICT}
    for secret, verdict in zip(secrets, verdicts, strict=True):
        fleet_support.await_key_state(
            nine.nodes.values(), secret, verdict.accepted
        )
    fleet_config.run_accepted_command(nine, 'key', 'withdraw', 'raced')


def test_configuration_in_a_restarted_instance_during_an_outage(
    nine: fleet_state.Fleet,
) -> None:
    node = nine.nodes['east-3']
    secret = demo_config.caller_key('museum')
    node.running.kill()
    processes.set_switches(nine.log, outage='refuse')
    try:
        fleet_support.restart(nine, node)
        fleet_support.wait_until(
            lambda: fleet_support.accepts_key(node, secret), BOUND_S
        )
    finally:
        processes.set_switches(nine.log, outage='')
        if not node.running.running:
            fleet_support.restart(nine, node)
