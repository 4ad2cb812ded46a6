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
from tests import grant_net
from tests import peer_fleet
from tests import virtual_time

TURN: typing.Final = 588
BUDGET: typing.Final = 8 * TURN
SPENT: typing.Final = -codes.TOKENS_SPENT.number
BUSY: typing.Final = -codes.OVERLOADED.number
NO_STORE: typing.Final = -codes.LOG_UNAVAILABLE.number
Play: typing.TypeAlias = collections.abc.Callable[
    [grant_net.Net], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run(play: Play, instances: int = 20, **net: typing.Any) -> None:
    """Plays with a fleet; its own instance is the grantor of program p."""

    async def scenario() -> None:
        made = grant_net.Net(**net)
        for number in range(instances):
            made.start(f'n{number}')
        made.meet()
        task = asyncio.create_task(made.housekeep())
        made.own, made.others = made.split('p')
        await play(made)
        task.cancel()

    virtual_time.run(scenario())


def stored(net: grant_net.Net, program: str) -> list[bytes]:
    """Returns the records of a program's partition."""
    flow = net.nodes['n0'].flow
    partition = flow.budgets.partition_of(program).number
    return net.log.data[records.BUDGET_TOPIC, partition]


def test_programs_are_spread_evenly_and_few_move() -> None:
    found = grantors.Grantors()
    for number in range(20):
        found.note_state(grant_net.instance(f'n{number}'))
    programs = [f'p{number}' for number in range(4_000)]
    before = {one: found.choose(one, None, 0.0) for one in programs}
    counts = collections.Counter(one.name for one in before.values() if one)
    assert len(counts) == 20
    assert all(0.6 * 200 < count < 1.4 * 200 for count in counts.values())
    found.avoid('n3', 0.0)
    found.forget('n4')
    for program, first in before.items():
        chosen = found.choose(program, None, 0.1)
        assert first is not None
        assert (chosen != first) == (first.name in ('n3', 'n4'))
    assert [found.avoid('n3', 0.0) for _ in range(4)] == [4, 8, 16, 16]
    found.note_answer('n3')
    assert not found.is_avoided('n3', 0.0)


@pytest.mark.parametrize(
    ('peers', 'own', 'chosen'),
    [
        ([], True, None),
        ([grant_net.instance('b', grants=False)], True, None),
        ([grant_net.instance('b')], False, 'b'),
    ],
)
def test_no_grantor_without_another_instance_that_grants(
    peers: list[typing.Any], own: bool, chosen: str | None
) -> None:
    found = grantors.Grantors()
    for peer in peers:
        found.note_state(peer)
    this = grant_net.instance('a') if own else None
    grantor = found.choose('p', this, 0.0)
    assert (grantor.name if grantor else None) == chosen


def test_grantor_of_the_own_data_centre_goes_first() -> None:
    """A data centre that is cut off lost the grants of its programs."""
    found = grantors.Grantors(data_centre='cut')
    for number in range(9):
        found.note_state(grant_net.instance(f'n{number}'))
    own, peer = (
        attrs.evolve(grant_net.instance(name), data_centre='cut')
        for name in ('n9', 'n10')
    )
    found.note_state(peer)
    programs = [f'p{number}' for number in range(50)]
    chosen = {found.choose(one, own, 0.0) for one in programs}
    assert {one.name for one in chosen if one} == {'n9', 'n10'}
    found.avoid('n10', 0.0)
    names = {found.choose(one, None, 0.0) for one in programs}
    assert all(one is not None for one in names)


def test_peers_are_grantors_while_they_are_heard_and_do_not_stop() -> None:
    net = peer_fleet.Network(chance=random.Random(1))
    for name in 'abc':
        net.add(name, 'north')
        net.fleet[name] = grant_net.instance(name)
    for each in net.instances.values():
        each.directory.instances = dict(net.fleet)
    net.run(1.0)
    known = net.instances['a'].board.grantors.peers
    assert known.keys() == {'b', 'c'}
    net.instances['b'].board.stopping = True
    net.paused.add('c')
    net.run(2.0)
    assert known.keys() == set()


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
    held: records.BudgetRecord = records.Reserve(
        program='p', turn='g', tokens=BUDGET, budget=BUDGET, shared=shared
    )
    turn = records.Reserve(program='p', turn='q', tokens=TURN, budget=BUDGET)
    data = [held]
    if settled is not None:
        data.append(records.Settle(program='p', turn='g', tokens=settled))
    encoded = [records.encode(one) for one in [*data, turn]]
    ledger.apply_records(0, tuple(encoded), 0.0)
    assert ledger.programs['p'].verdict('q') is verdict
    assert ledger.programs['p'].renew('p', math.inf, 1.0)[0] == data[-1]


@pytest.mark.parametrize(('used', 'appends'), [(TURN // 4, 1), (TURN, 2)])
def test_later_turns_at_any_instance_take_a_millisecond(
    used: int, appends: int
) -> None:
    """Guards against a call to the store for each turn."""

    async def play(net: grant_net.Net) -> None:
        for number, node in enumerate([*net.others[:7], net.own]):
            began = clock.monotonic()
            progress = await net.begin(node, 'p', TURN, 2 * BUDGET)
            took_s = clock.monotonic() - began
            assert number == 0 or took_s <= 6 * grant_net.LINK_S
            progress.tokens = used
            await asyncio.sleep(0.2)
            node.flow.settle(progress)
            await asyncio.sleep(0.1)
        assert net.log.appends == appends

    run(play)


def test_programs_go_on_while_the_store_is_away() -> None:
    async def play(net: grant_net.Net) -> None:
        assert await net.turn(net.others[0], 'p', TURN, BUDGET, 9) == 9
        net.log.failure = errors.ResultError(codes.LOG_UNAVAILABLE)
        for node in net.others[1:9]:
            assert await net.turn(node, 'p', TURN, BUDGET, 9) == 9
            assert await net.turn(node, 'new', TURN, BUDGET) == NO_STORE

    run(play)


@pytest.mark.parametrize(
    ('end', 'used'), [('late', 14), ('unused', 0), ('killed', TURN)]
)
def test_open_turn_keeps_its_tokens_until_its_end_is_known(
    end: str, used: int
) -> None:
    """Guards against tokens that are settled below what a turn may use."""

    async def play(net: grant_net.Net) -> None:
        progress = await net.begin(net.others[0], 'p', TURN, BUDGET)
        await asyncio.sleep(4.0 if end == 'late' else 0.0)
        assert len(stored(net, 'p')) == 1
        if end == 'killed':
            net.kill(net.others[0])
        else:
            progress.tokens = used
            net.others[0].flow.settle(progress)
            # A repeated report has no effect.
            net.others[0].flow.settle(progress)
        await asyncio.sleep(12.0)
        assert net.own.flow.grants.desk.open == {}
        settled = records.decode_budget(stored(net, 'p')[-1])
        assert isinstance(settled, records.Settle)
        assert settled.tokens == used

    run(play)


@pytest.mark.parametrize('is_cut', [False, True])
def test_turn_falls_back_to_the_store_and_returns_a_late_grant(
    is_cut: bool,
) -> None:
    """A slow store makes the grantor late; one that is cut off is avoided."""

    async def play(net: grant_net.Net) -> None:
        if is_cut:
            await net.turn(net.others[0], 'p', TURN, 2 * BUDGET, 0)
            net.own.is_cut = True
        else:
            net.log.latency_s = 0.1
        waits = []
        for _ in range(3):
            began = clock.monotonic()
            progress = await net.begin(net.others[0], 'p', TURN, 2 * BUDGET)
            waits.append(clock.monotonic() - began)
            await asyncio.sleep(0.2)
            net.others[0].flow.settle(progress)
        assert 0.06 < waits[0] < 0.06 + 3 * net.log.latency_s
        assert max(waits[1:]) < 0.06
        assert net.others[0].flow.grants.client.fallbacks == 1
        assert net.events['grantor-silent'] == int(is_cut)
        await asyncio.sleep(0.1)
        assert net.own.flow.grants.desk.open == {}
        grant = net.own.flow.budgets.grants.by_program.get('p')
        assert grant is not None
        assert not grant.open

    run(play)


def test_grants_of_before_a_pause_are_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tokens that the store's records do not show any more."""

    async def play(net: grant_net.Net) -> None:
        monkeypatch.setattr(clock, 'boot', clock.monotonic)
        for node in (net.own, net.others[0]):
            await net.turn(node, 'p', TURN, BUDGET, 9)
            # As if the process had been stopped for so long.
            net.own.flow.board.exchanged_at = clock.monotonic() - 400.0
            appends = net.log.appends
            assert await net.turn(node, 'p', TURN, BUDGET, 9) == 9
            assert net.log.appends == appends + 1

    run(play)


def test_reservation_that_a_pause_fell_into_is_not_used() -> None:
    async def play(net: grant_net.Net) -> None:
        waiting = asyncio.create_task(
            net.begin(net.others[0], 'p', TURN, BUDGET)
        )
        await asyncio.sleep(grant_net.STORE_S)
        net.own.flow.board.pauses += 1
        assert (await waiting).grant is None
        await asyncio.sleep(1.5)
        settled = records.decode_budget(stored(net, 'p')[-1])
        assert isinstance(settled, records.Settle)
        assert settled.turn.startswith(net.own.name)
        assert settled.tokens == 0

    run(play)


def test_instance_that_stops_hands_its_programs_over() -> None:
    async def play(net: grant_net.Net) -> None:
        assert await net.turn(net.others[0], 'p', TURN, 2 * TURN, 9) == 9
        net.own.flow.board.stopping = True
        net.own.flow.grants.hand_over()
        await asyncio.sleep(0.4)
        # The first has not heard of the stop and falls back.
        assert await net.turn(net.others[0], 'p', TURN, 2 * TURN, 9) == 9
        net.meet()
        assert await net.turn(net.others[0], 'p', TURN, 2 * TURN, 9) == 9
        assert net.others[0].flow.grants.client.fallbacks == 1

    run(play)


def test_looping_program_stops_at_its_budget() -> None:
    """Sub-agents at many instances spend a whole budget within a second."""
    ends: collections.Counter[int] = collections.Counter()

    async def play(net: grant_net.Net) -> None:
        async def loop(node: grant_net.Node) -> None:
            while ends[SPENT] < 60 and ends[TURN] < 60:
                found = await net.turn(node, 'p', TURN, BUDGET, TURN)
                ends[found] += 1
                await asyncio.sleep(0.7 if found < 0 else 0.0)

        await asyncio.gather(
            *(loop(node) for node in [net.own, *net.others] * 3)
        )

    run(play)
    assert ends.keys() <= {TURN, BUSY, SPENT}
    assert BUDGET <= TURN * ends[TURN] < BUDGET + TURN


async def disturb(net: grant_net.Net) -> None:
    """Kills, cuts, pauses, stops and the store's faults, until cancelled."""
    while True:
        await asyncio.sleep(net.chance.uniform(0.05, 0.4))
        node = net.chance.choice(list(net.nodes.values()))
        restarted = [node]
        match net.chance.randrange(8):
            case 0:
                node.flow.board.stopping = True
                node.flow.grants.hand_over()
                await node.flow.flush()
            case 1 if net.happens(0.2):
                # A power loss.
                restarted = list(net.nodes.values())
            case 2:
                pass
            case 3:
                node.is_cut = not node.is_cut
                continue
            case 4:
                node.flow.board.pauses += 1
                continue
            case 5:
                net.log.unconfirmed_appends = 1
                continue
            case 6:
                failure = errors.ResultError(codes.LOG_UNAVAILABLE)
                net.log.failure = None if net.log.failure else failure
                continue
            case _:
                node.flow.board.grantors.forget(f'n{net.chance.randrange(6)}')
                continue
        for each in restarted:
            net.kill(each)
            net.start(each.name)
        net.meet()


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
                # The records show it, without tokens that may come back.
                ledger = budgets.BudgetLedger()
                ledger.apply_records(0, tuple(stored(net, program)), 0.0)
                assert ledger.is_spent(program, limits[program])
            await asyncio.sleep(chance.uniform(0.0, 0.2))

    async def play(net: grant_net.Net) -> None:
        task = asyncio.create_task(disturb(net))
        await asyncio.gather(*(caller(net) for _ in range(12)))
        task.cancel()

    run(play, 6, chance=chance, lost=0.02, late=0.1, repeated=0.05)
    assert all(used[one] < limits[one] + TURN for one in limits)
    assert sum(used.values()) > 0


HELLO: typing.Final = grant_messages.encode(
    grant_messages.Hello(instance='x', incarnation=1)
)


@pytest.mark.parametrize(
    'data',
    [
        b'\xff' * 8,
        b'GET / HTTP/1.1\r\n\r\n',
        b'\x00\x00\x00\x02\x91\xa3',
        (grant_messages.MAX_MESSAGE_BYTES + 1).to_bytes(4),
        grant_messages.encode(grant_messages.Used(number=1, tokens=1)),
        HELLO.replace(b'\xa1x', b'\xa1y'),
        HELLO + HELLO,
    ],
)
def test_peer_that_sends_nonsense_is_disconnected(data: bytes) -> None:
    async def play(net: grant_net.Net) -> None:
        links = net.nodes['n0'].flow.grants.links
        link = grant_links.Link(links, 'x')
        net.connect(net.nodes['n0'], link, net.nodes['n1'])
        link.data_received(data)
        assert link.is_closed
        assert links.open == set()
        assert net.events['grant-link-closed'] == 1

    run(play, 2)
