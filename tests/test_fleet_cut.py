"""Tests on real processes: a data centre that is cut off from the others."""

import collections
import concurrent.futures
import time
import typing

import pytest

from oleanderdrift import membership
from standins import client
from standins import demo_config
from standins import fleet
from standins import fleet_config
from standins import fleet_state
from tests import fleet_support

RATE_PER_S: typing.Final = 5.0
BURST: typing.Final = 10
FLOOD_S: typing.Final = 2.0
ROUNDING: typing.Final = 1


@pytest.fixture
def south(nine: fleet_state.Fleet) -> typing.Iterator[typing.Any]:
    """Returns a function that cuts off the south; reconnects it at the end."""
    yield lambda: fleet.cut_off(nine, 'south')
    fleet.set_cut(nine, [])


@pytest.fixture
def limited(nine: fleet_state.Fleet) -> typing.Iterator[str]:
    """Limits an account to a low rate during the test; returns its key."""

    def set_rate(rate: float, burst: int) -> None:
        options = ['--rate', str(rate), '--burst', str(burst)]
        changed = fleet_config.run_accepted_command(
            nine, 'account', 'set', 'harbour', *options
        )
        fleet_support.await_offset(nine, changed[0]['offset'])

    set_rate(RATE_PER_S, BURST)
    yield demo_config.caller_key('harbour')
    set_rate(demo_config.RATE_PER_S, demo_config.BURST)


def test_cut_data_centre_serves_its_own_programs(
    nine: fleet_state.Fleet, south: typing.Any
) -> None:
    inside, neighbour = nine.nodes['south-1'], nine.nodes['south-2']
    outside = nine.nodes['north-1']
    ledger = fleet_support.DispatchLedger()
    old = fleet_support.start_program(inside)
    fleet_support.ask_until_answered(inside, old, 'before the cut')
    south()
    fleet_support.ask_until_answered(neighbour, old, 'in the cut')
    new = fleet_support.start_program(inside)
    fleet_support.ask_until_answered(neighbour, new, 'started in the cut')
    keys = [fleet_support.new_key() for _ in range(3)]
    ledger.dispatch(inside.url, new, keys[0])
    ledger.dispatch(outside.url, old, keys[1])
    ledger.dispatch(outside.url, new, keys[2])
    fleet.set_cut(nine, [])
    fleet_support.ask_until_answered(outside, old, 'after the cut')
    fleet_support.check_history(nine, old)
    fleet_support.check_history(nine, new)
    ledger.check(fleet_support.count_runs(nine))


def test_others_go_on_while_a_data_centre_is_cut(
    nine: fleet_state.Fleet, south: typing.Any
) -> None:
    nodes = [nine.nodes[name] for name in ('north-1', 'north-2', 'east-1')]
    programs = [fleet_support.start_program(node) for node in nodes]
    south()
    for node, program in zip(nodes, programs, strict=True):
        fleet_support.ask_until_answered(node, program, 'north and east')


def test_home_of_the_dispatch_group_killed(nine: fleet_state.Fleet) -> None:
    home = max(
        nine.nodes.values(),
        key=lambda node: membership.weight(
            node.name, f'group {demo_config.MODEL}'
        ),
    )
    others = [node for node in nine.nodes.values() if node is not home]
    programs = [fleet_support.start_program(node) for node in others]
    home.running.kill()
    try:
        for node, program in zip(others, programs, strict=True):
            fleet_support.ask_until_answered(node, program, 'without a home')
    finally:
        fleet_support.restart(nine, home)


def test_configuration_reaches_a_healed_data_centre(
    nine: fleet_state.Fleet, south: typing.Any
) -> None:
    secret = 'od-made-in-the-cut'  # nosec
    south()
    table = fleet_support.key_table('made-in-the-cut', 'museum', secret)
    fleet_config.publish(nine, table)
    reached = [
        node for node in nine.nodes.values() if node.data_centre != 'south'
    ]
    fleet_support.await_key_state(reached, secret, True)
    assert not fleet_support.accepts_key(nine.nodes['south-1'], secret)
    fleet.set_cut(nine, [])
    fleet_support.await_key_state(nine.nodes.values(), secret, True)
    fleet_config.run_accepted_command(
        nine, 'key', 'withdraw', 'made-in-the-cut'
    )
    fleet_support.await_key_state(nine.nodes.values(), secret, False)


@pytest.mark.parametrize('is_cut', [False, True])
def test_rate_holds_across_the_fleet(
    nine: fleet_state.Fleet, limited: str, south: typing.Any, is_cut: bool
) -> None:
    if is_cut:
        south()
    started_at = time.monotonic()
    statuses = flood(list(nine.nodes.values()), limited)
    allowed = BURST + RATE_PER_S * (time.monotonic() - started_at) + ROUNDING
    assert 0 < statuses[201] <= allowed, (statuses, allowed)
    assert set(statuses) == {201, 429}, statuses


def flood(
    nodes: list[fleet_state.Node], secret: str
) -> collections.Counter[int]:
    """Sends requests to all nodes for FLOOD_S; counts the statuses."""
    body = b'{"class_name": "alert"}'
    end = time.monotonic() + FLOOD_S

    def send(node: fleet_state.Node) -> collections.Counter[int]:
        statuses: collections.Counter[int] = collections.Counter()
        while time.monotonic() < end:
            answer = client.send(
                'POST', f'{node.url}/v1/programs', secret, body
            )
            statuses[answer.status] += 1
        return statuses

    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        return sum(pool.map(send, nodes), collections.Counter())
