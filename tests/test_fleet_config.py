"""Proofs on real processes: configuration, keys and racing operators."""

import concurrent.futures
import threading
import typing

from oleanderdrift import codes
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
    issued = fleet_config.command(
        nine, 'key', 'issue', 'museum', '--name', 'short-lived'
    )
    secret = issued[0]['key']
    fleet_support.await_everywhere(nine.nodes.values(), secret, True)
    node = nine.nodes['south-3']
    program = client.start_program(node.url, secret, 'planning')
    begun = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        stream = pool.submit(
            fleet_support.ask,
            node,
            program,
            'to be ended',
            20_000,
            lambda token: begun.set(),
        )
        assert begun.wait(10)
        fleet_config.command(nine, 'key', 'withdraw', 'short-lived')
        fleet_support.await_everywhere(nine.nodes.values(), secret, False)
        ended = stream.result(timeout=BOUND_S)
    assert not ended.finished and ended.error, ended
    fleet_support.await_everywhere(nine.nodes.values(), secret, False)


def test_no_upstream_sees_a_key(nine: fleet_state.Fleet) -> None:
    secrets = [demo_config.caller_key(x) for x in demo_config.ACCOUNTS]
    node = nine.nodes['north-3']
    program = fleet_support.start_program(node)
    fleet_support.ask_until_answered(node, program, 'with a key')
    ledger = fleet_support.Ledger()
    ledger.dispatch(node.url, program, fleet_support.new_key())
    seen = 0
    for process in nine.of_kind('engine') + nine.of_kind('tool'):
        for request in processes.report(process)['requests']:
            seen += 1
            assert not any(secret in str(request) for secret in secrets)
            names = [name.lower() for name, _ in request['headers']]
            assert 'authorization' not in names
    assert seen > 1


def test_racing_operators_get_true_verdicts(nine: fleet_state.Fleet) -> None:
    secrets = [f'od-race-{number}' for number in range(4)]

    def publish(secret: str) -> typing.Any:
        path = nine.folder / f'{secret}.toml'
        path.write_text(fleet_support.key_table('raced', 'museum', secret))
        return fleet_config.outcome(nine, 'config', 'publish', str(path))

    with concurrent.futures.ThreadPoolExecutor(len(secrets)) as pool:
        outcomes = [x[0] for x in pool.map(publish, secrets)]
    accepted = {
        outcome['offset']: secret
        for secret, outcome in zip(secrets, outcomes, strict=True)
        if outcome['verdict'] == 'accepted'
    }
    refused = [x for x in outcomes if x['verdict'] != 'accepted']
    assert accepted
    assert {x['code'] for x in refused} <= {codes.CONFIG_CONFLICT.number}
    history = fleet_config.command(nine, 'config', 'history')
    judged = {x['offset']: x['verdict'] for x in history}
    assert all(judged[x['offset']] == x['verdict'] for x in outcomes)
    winner = accepted[max(accepted)]
    fleet_support.await_everywhere(nine.nodes.values(), winner, True)
    for secret in secrets:
        if secret != winner:
            fleet_support.await_everywhere(nine.nodes.values(), secret, False)
    fleet_config.command(nine, 'key', 'withdraw', 'raced')


def test_configuration_in_a_restarted_instance_during_an_outage(
    nine: fleet_state.Fleet,
) -> None:
    node = nine.nodes['east-3']
    secret = demo_config.caller_key('museum')
    node.running.kill()
    processes.throw(nine.log, outage='refuse')
    try:
        fleet_support.restart(nine, node)
        fleet_support.wait_until(
            lambda: fleet_support.works(node, secret), BOUND_S
        )
    finally:
        processes.throw(nine.log, outage='')
        if not node.running.running:
            fleet_support.restart(nine, node)
