"""Tokens that one instance per program grants to turns at all instances."""

import asyncio
import collections
import collections.abc
import math
import random
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import grant_links
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import grantors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import relays
from tests import grant_net
from tests import virtual_time

TURN: typing.Final = 588
BUDGET: typing.Final = 8 * TURN
SPENT: typing.Final = -codes.TOKENS_SPENT.number
BUSY: typing.Final = -codes.OVERLOADED.number
NO_STORE: typing.Final = -codes.LOG_UNAVAILABLE.number
Scenario: typing.TypeAlias = collections.abc.Callable[
    [grant_net.Net], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run(scenario: Scenario, instances: int = 20, **net: typing.Any) -> None:
    """Runs a scenario with instances that know each other."""

    async def play() -> None:
        made = grant_net.Net(**net)
        for number in range(instances):
            made.start(f'n{number}')
        made.meet()
        await grant_net.with_housekeeping(made, scenario(made))

    virtual_time.run(play())


def instance(name: str) -> relays.Instance:
    return grant_net.Node(
        name=name, flow=typing.cast(typing.Any, None)
    ).instance()


def fleet(count: int) -> grantors.Grantors:
    found = grantors.Grantors()
    for number in range(count):
        found.note_state(instance(f'n{number}'))
    return found


def test_programs_are_spread_evenly_and_few_move() -> None:
    found = fleet(20)
    programs = [f'p{number}' for number in range(4_000)]
    before = {one: found.choose(one, None, 0.0) for one in programs}
    counts = collections.Counter(one.name for one in before.values() if one)
    assert len(counts) == 20
    assert max(counts.values()) < 1.4 * 200
    assert min(counts.values()) > 0.6 * 200
    found.avoid('n3', 0.0)
    found.forget('n4')
    for program, first in before.items():
        chosen = found.choose(program, None, 0.1)
        assert first is not None and chosen is not None
        assert (chosen != first) == (first.name in ('n3', 'n4'))


@pytest.mark.parametrize(
    ('peers', 'own', 'chosen'),
    [
        ([], 'a', None),
        ([attrs.evolve(instance('b'), grant_address='')], 'a', None),
        ([instance('b')], None, 'b'),
    ],
)
def test_no_grantor_without_another_instance_that_grants(
    peers: list[relays.Instance], own: str | None, chosen: str | None
) -> None:
    found = grantors.Grantors()
    for peer in peers:
        found.note_state(peer)
    grantor = found.choose('p', instance(own) if own else None, 0.0)
    assert (grantor.name if grantor else None) == chosen


def test_grantor_of_the_own_data_centre_goes_first() -> None:
    """A data centre that is cut off lost the grants of its programs."""
    found = fleet(9)
    own = attrs.evolve(instance('n9'), data_centre='cut')
    found.data_centre = 'cut'
    found.note_state(attrs.evolve(instance('n10'), data_centre='cut'))
    programs = [f'p{number}' for number in range(50)]
    chosen = {found.choose(one, own, 0.0) for one in programs}
    assert {one.name for one in chosen if one} == {'n9', 'n10'}
    found.avoid('n10', 0.0)
    names = {found.choose(one, None, 0.0) for one in programs}
    assert all(one is not None for one in names)


def test_silent_grantor_is_avoided_for_longer_each_time() -> None:
    found = fleet(1)
    assert [found.avoid('n0', 0.0) for _ in range(5)] == [2, 4, 8, 16, 16]
    found.note_answer('n0')
    assert not found.is_avoided('n0', 0.0)


@pytest.mark.parametrize(
    ('shared', 'settled', 'verdict'),
    [
        (False, None, budgets.Verdict.SPENT),
        (True, None, budgets.Verdict.UNSETTLED),
        (True, BUDGET, budgets.Verdict.SPENT),
        (True, 0, budgets.Verdict.VALID),
    ],
)
def test_no_token_that_may_come_back_makes_a_budget_spent(
    shared: bool, settled: int | None, verdict: budgets.Verdict
) -> None:
    """Guards against 402 while a grantor may return what nobody used."""
    ledger = budgets.BudgetLedger()
    held = records.Reserve(
        program='p', turn='g', tokens=BUDGET, budget=BUDGET, shared=shared
    )
    turn = records.Reserve(program='p', turn='q', tokens=TURN, budget=BUDGET)
    data: list[records.BudgetRecord] = [held]
    if settled is not None:
        data.append(records.Settle(program='p', turn='g', tokens=settled))
    data.append(turn)
    ledger.apply_records(0, tuple(map(records.encode, data)), 0.0)
    assert ledger.programs['p'].verdict('q') is verdict
    renewed = ledger.programs['p'].renew('p', math.inf, 1.0)
    assert renewed[0] == (
        held
        if settled is None
        else records.Settle(program='p', turn='g', tokens=settled)
    )


@pytest.mark.parametrize(('used', 'appends'), [(TURN // 4, 1), (TURN, 2)])
def test_later_turns_at_any_instance_take_a_millisecond(
    used: int, appends: int
) -> None:
    """Guards against a call to the store for each turn."""

    async def scenario(net: grant_net.Net) -> None:
        for number, node in enumerate(
            [*net.others('p')[:7], net.grantor('p')]
        ):
            began = clock.monotonic()
            progress = await net.begin(node, 'p', TURN, 2 * BUDGET)
            took_s = clock.monotonic() - began
            assert number == 0 or took_s <= 3 * 2 * grant_net.LINK_S
            progress.tokens = used
            await asyncio.sleep(0.2)
            node.flow.settle(progress)
            await asyncio.sleep(0.1)
        assert net.log.appends == appends

    run(scenario)


def test_programs_go_on_while_the_store_is_away() -> None:
    async def scenario(net: grant_net.Net) -> None:
        assert await net.turn(net.others('p')[0], 'p', TURN, BUDGET, 9) == 9
        net.log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        for node in net.others('p')[1:9]:
            assert await net.turn(node, 'p', TURN, BUDGET, 9) == 9
            found = await net.turn(node, 'new', TURN, BUDGET)
            assert found == NO_STORE

    run(scenario)


def test_turn_that_is_open_elsewhere_keeps_the_grant() -> None:
    """Guards against tokens that are settled below what a turn may use."""

    async def scenario(net: grant_net.Net) -> None:
        node, other = net.others('p')[:2]
        progress = await net.begin(node, 'p', TURN, 2 * TURN)
        await asyncio.sleep(4.0)
        partition = node.flow.budgets.partition_of('p')
        stored = net.log.data[records.BUDGET_TOPIC, partition.number]
        assert len(stored) == 1
        progress.tokens = 14
        node.flow.settle(progress)
        await asyncio.sleep(4.0)
        assert records.decode_budget(stored[-1]) == records.Settle(
            program='p',
            turn=typing.cast(
                records.Reserve, records.decode_budget(stored[0])
            ).turn,
            tokens=14,
        )
        assert await net.turn(other, 'p', TURN, 2 * TURN, 0) == 0

    run(scenario)


@pytest.mark.parametrize('is_lost', [False, True])
def test_tokens_of_an_instance_that_ends_count_as_used(is_lost: bool) -> None:
    async def scenario(net: grant_net.Net) -> None:
        node = net.others('p')[0]
        progress = await net.begin(node, 'p', TURN, BUDGET)
        if is_lost:
            net.kill(node)
        else:
            node.flow.settle(progress)
            # Repeated reports have no effect.
            node.flow.settle(progress)
        await asyncio.sleep(12.0)
        assert net.grantor('p').flow.grants.desk.open == {}
        partition = node.flow.budgets.partition_of('p')
        stored = net.log.data[records.BUDGET_TOPIC, partition.number]
        settled = records.decode_budget(stored[-1])
        assert isinstance(settled, records.Settle)
        assert settled.tokens == (TURN if is_lost else 0)

    run(scenario)


@pytest.mark.parametrize('fault', ['slow store', 'cut'])
def test_turn_falls_back_to_the_store_and_returns_a_late_grant(
    fault: str,
) -> None:
    async def scenario(net: grant_net.Net) -> None:
        node, grantor = net.others('p')[0], net.grantor('p')
        net.log.latency_s = 0.1 if fault == 'slow store' else 0.009
        grantor.is_cut = fault == 'cut'
        began = clock.monotonic()
        progress = await net.begin(node, 'p', TURN, BUDGET)
        assert clock.monotonic() - began < 0.06 + 3 * net.log.latency_s
        assert progress.grant is None
        assert node.flow.grants.client.fallbacks == 1
        avoided = node.flow.board.grantors.is_avoided(
            grantor.name, clock.monotonic()
        )
        assert avoided == (fault == 'cut')
        await asyncio.sleep(1.0)
        assert grantor.flow.grants.desk.open == {}
        grant = grantor.flow.budgets.grants.by_program.get('p')
        assert (grant is None) == (fault == 'cut')
        assert grant is None or not grant.open

    run(scenario)


def test_silent_grantor_costs_its_wait_once() -> None:
    async def scenario(net: grant_net.Net) -> None:
        node, grantor = net.others('p')[0], net.grantor('p')
        await net.turn(node, 'p', TURN, BUDGET, 0)
        grantor.is_cut = True
        waits = []
        for _ in range(4):
            began = clock.monotonic()
            progress = await net.begin(node, 'p', TURN, BUDGET)
            waits.append(clock.monotonic() - began)
            node.flow.settle(progress)
        assert waits[0] > 0.06 > max(waits[1:])

    run(scenario)


def test_grants_of_before_a_pause_are_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tokens that the store's records do not show any more."""

    async def scenario(net: grant_net.Net) -> None:
        grantor, other = net.grantor('p'), net.others('p')[0]
        monkeypatch.setattr(clock, 'boot', clock.monotonic)
        for node in (grantor, other):
            await net.turn(node, 'p', TURN, BUDGET, 9)
            # As if the process had been stopped for so long.
            grantor.flow.board.exchanged_at = clock.monotonic() - 400.0
            appends = net.log.appends
            assert await net.turn(node, 'p', TURN, BUDGET, 9) == 9
            assert net.log.appends == appends + 1

    run(scenario)


def test_instance_that_stops_hands_its_programs_over() -> None:
    async def scenario(net: grant_net.Net) -> None:
        node, stopping = net.others('p')[0], net.grantor('p')
        budget = 2 * TURN
        assert await net.turn(node, 'p', TURN, budget, 9) == 9
        stopping.flow.board.stopping = True
        stopping.flow.grants.hand_over()
        await asyncio.sleep(0.4)
        # One that has not heard of the stop falls back.
        assert await net.turn(node, 'p', TURN, budget, 9) == 9
        net.meet()
        assert net.grantor('p') is not stopping
        assert await net.turn(node, 'p', TURN, budget, 9) == 9
        partition = node.flow.budgets.partition_of('p')
        assert partition.ledger.programs['p'].used() >= 9

    run(scenario)


def test_looping_program_stops_at_its_budget() -> None:
    """Sub-agents at many instances spend a whole budget within a second."""

    async def scenario(net: grant_net.Net) -> None:
        nodes = list(net.nodes.values())
        used, final = 0, 0

        async def loop(node: grant_net.Node) -> None:
            nonlocal used, final
            for _ in range(12):
                found = await net.turn(node, 'p', TURN, BUDGET, TURN)
                used += max(found, 0)
                if found == SPENT:
                    final += 1
                    return
                assert found in (TURN, BUSY)
                await asyncio.sleep(0.7 if found == BUSY else 0.0)

        await asyncio.gather(*(loop(node) for node in nodes * 3))
        assert BUDGET <= used < BUDGET + TURN
        assert final == 3 * len(nodes)

    run(scenario)


async def disturb(net: grant_net.Net) -> None:
    """Kills, cuts, pauses, stops and the store's faults, until cancelled."""
    chance = net.chance
    while True:
        await asyncio.sleep(chance.uniform(0.05, 0.4))
        node = chance.choice(list(net.nodes.values()))
        match chance.randrange(8):
            case 0:
                net.kill(node)
                net.start(node.name)
                net.meet()
            case 1:
                node.is_cut = not node.is_cut
            case 2:
                node.flow.board.pauses += 1
            case 3:
                node.flow.board.stopping = True
                node.flow.grants.hand_over()
                await node.flow.flush()
                net.kill(node)
                net.start(node.name)
                net.meet()
            case 4:
                net.meet()
            case 5:
                net.log.unconfirmed_appends = 1
            case 6:
                failure = errors.ResultError(codes.LOG_UNAVAILABLE)
                net.log.failure = None if net.log.failure else failure
            case _ if chance.random() < 0.2:
                for each in list(net.nodes.values()):
                    net.kill(each)
                    net.start(each.name)
                net.meet()
            case _:
                node.flow.board.grantors.forget(f'n{chance.randrange(6)}')


def check_final(net: grant_net.Net, program: str, budget: int) -> None:
    """Checks that the records show that a budget is spent."""
    ledger = budgets.BudgetLedger()
    node = next(iter(net.nodes.values()))
    partition = node.flow.budgets.partition_of(program).number
    ledger.apply_records(
        0, tuple(net.log.data[records.BUDGET_TOPIC, partition]), 0.0
    )
    found = ledger.programs[program]
    assert found.used() >= budget


@pytest.mark.parametrize('seed', range(40))
def test_budget_is_never_exceeded_by_more_than_one_turn(seed: int) -> None:
    """Guards against tokens granted twice, whatever fails."""
    chance = random.Random(seed)
    used: collections.Counter[str] = collections.Counter()
    limits = {f'p{n}': chance.randrange(1, 14) * TURN // 2 for n in range(4)}

    async def caller(net: grant_net.Net) -> None:
        for _ in range(20):
            program = chance.choice(list(limits))
            node = chance.choice(list(net.nodes.values()))
            found = await net.turn(node, program, TURN, limits[program])
            used[program] += max(found, 0)
            if found == SPENT:
                check_final(net, program, limits[program])
            await asyncio.sleep(chance.uniform(0.0, 0.2))

    async def scenario(net: grant_net.Net) -> None:
        task = asyncio.create_task(disturb(net))
        await asyncio.gather(*(caller(net) for _ in range(12)))
        task.cancel()

    run(scenario, 6, chance=chance, lost=0.02, late=0.1, repeated=0.05)
    assert all(used[one] < limits[one] + TURN for one in limits)
    assert sum(used.values()) > 0


@pytest.mark.parametrize(
    'data',
    [
        b'\xff' * 8,
        b'\x00\x00\x00\x02\x91\xa3',
        b'GET / HTTP/1.1\r\n\r\n',
        grant_messages.encode(grant_messages.Used(number=1, tokens=1)),
        grant_messages.encode(
            grant_messages.Hello(instance='', incarnation=1)
        ),
        2
        * grant_messages.encode(
            grant_messages.Hello(instance='x', incarnation=1)
        ),
        (5_000).to_bytes(4),
    ],
)
def test_peer_that_sends_nonsense_is_disconnected(
    data: bytes,
) -> None:
    async def scenario(net: grant_net.Net) -> None:
        node = net.nodes['n0']
        link = grant_links.Link(node.flow.grants.links)
        net.connect(node, link, net.nodes['n1'])
        link.data_received(data)
        assert link.is_closed
        assert node.flow.grants.links.open == set()
        assert net.events['grant-link-closed'] == 1

    run(scenario, 2)
