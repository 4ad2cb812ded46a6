"""How states spread through a fleet, with and without failures."""

import typing

import pytest

from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import relays
from tests import peer_fleet

SMALL: typing.Final = {'north': 3, 'south': 3, 'east': 3}
MIXED: typing.Final = {'north': 3, 'south': 8, 'east': 5}
LARGE: typing.Final = {'north': 13, 'south': 12, 'east': 12, 'west': 11}
# Shorter than a turn of a conversation.
MAX_AGE_S: typing.Final = 0.3
# Until all know that a relay is gone, and have chosen another.
RECOVERY_S: typing.Final = 3.0


def assert_converged(network: peer_fleet.Network) -> None:
    """Checks that each instance knows the state of all others exactly."""
    loads = {
        name: one.board.upstreams.by_id['u1'].own_requests
        for name, one in network.instances.items()
    }
    for name in network.instances:
        expected = sum(loads.values()) - loads[name]
        assert network.peer_load_at(name) == expected, name


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('sizes', [SMALL, MIXED, LARGE])
def test_load_is_known_within_a_turn(sizes: dict[str, int], seed: int) -> None:
    network = peer_fleet.build(sizes, seed)
    network.run(RECOVERY_S)
    for number, name in enumerate(network.instances):
        network.set_load(name, 1 + number)
    network.run(MAX_AGE_S)
    assert_converged(network)


@pytest.mark.parametrize('seed', range(3))
def test_lost_messages_are_made_good(seed: int) -> None:
    network = peer_fleet.build(LARGE, seed, loss=0.2)
    network.run(RECOVERY_S)
    for number, name in enumerate(network.instances):
        network.set_load(name, 1 + number)
        network.spend(name, number)
    network.run(2.0)
    network.loss = 0.0
    network.run(RECOVERY_S)
    assert_converged(network)
    total = sum(range(len(network.instances)))
    for number, name in enumerate(network.instances):
        assert network.peer_spent_at(name) == total - number


def relays_of(network: peer_fleet.Network, data_centre: str) -> list[str]:
    """Returns the instances that relay for a data centre."""
    return [
        name
        for name, one in network.instances.items()
        if one.directory.own.data_centre == data_centre
        and (one.subscribers().fleet or one.subscribers().data_centre)
    ]


def test_each_large_data_centre_has_few_relays() -> None:
    network = peer_fleet.build(LARGE, 0)
    network.run(RECOVERY_S)
    for data_centre in LARGE:
        found = relays_of(network, data_centre)
        # A relay does not subscribe to itself, but to the third in order.
        assert 2 <= len(found) <= 3
        assert all(network.fleet[name].cores == 2.0 for name in found)
    for name, one in network.instances.items():
        members = LARGE[network.fleet[name].data_centre]
        assert len(one.sockets.addresses) < members + 2 * len(LARGE)


def test_connections_of_a_member_do_not_grow_with_the_fleet() -> None:
    for size in (10, 30):
        network = peer_fleet.build({'north': size, 'south': size}, 0)
        network.run(RECOVERY_S)
        fewest = min(
            len(one.sockets.addresses) for one in network.instances.values()
        )
        assert fewest == relays.RELAYS_PER_DATA_CENTRE


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('how', ['killed', 'paused'])
def test_loss_of_relays_is_made_good(how: str, seed: int) -> None:
    network = peer_fleet.build(LARGE, seed)
    network.run(RECOVERY_S)
    gone = relays_of(network, 'north') + relays_of(network, 'south')
    for name in gone:
        if how == 'killed':
            network.kill(name)
        else:
            network.paused.add(name)
    for number, name in enumerate(network.instances):
        network.set_load(name, 1 + number)
    network.run(RECOVERY_S)
    if how == 'paused':
        network.paused.clear()
        network.run(RECOVERY_S)
    assert_converged(network)


@pytest.mark.parametrize('seed', range(3))
def test_one_lost_relay_leaves_no_gap(seed: int) -> None:
    network = peer_fleet.build(LARGE, seed)
    network.run(RECOVERY_S)
    network.kill(relays_of(network, 'north')[0])
    for number, name in enumerate(network.instances):
        network.set_load(name, 1 + number)
    network.run(MAX_AGE_S)
    gone = {'north-0', 'north-5', 'north-10'} - network.instances.keys()
    assert len(gone) == 1
    assert_converged(network)


@pytest.mark.parametrize('sizes', [SMALL, LARGE])
def test_cut_off_data_centre_is_noticed_on_both_sides(
    sizes: dict[str, int],
) -> None:
    network = peer_fleet.build(sizes, 0)
    network.run(RECOVERY_S)
    for one in network.instances.values():
        assert not one.board.reachability.silent_data_centres(network.now)
    network.cut_data_centres.add('south')
    # Up to two updates are under way at that moment.
    network.run(reachability.SILENT_S + 0.2)
    for name, one in network.instances.items():
        reach = one.board.reachability
        if network.fleet[name].data_centre == 'south':
            assert reach.is_isolated(network.now)
        else:
            assert reach.silent_data_centres(network.now) == {'south'}
    network.cut_data_centres.clear()
    network.run(RECOVERY_S)
    for one in network.instances.values():
        assert not one.board.reachability.silent_data_centres(network.now)


@pytest.mark.parametrize('seed', range(5))
def test_random_failures_count_nothing_twice(seed: int) -> None:
    """Kills, restarts, pauses and cuts at random, with messages lost."""
    network = peer_fleet.build(MIXED, seed, loss=0.1)
    chance = network.chance
    network.run(RECOVERY_S)
    spent = dict.fromkeys(network.instances, 0)
    # The most that any incarnation of an instance has spent.
    highest = dict(spent)
    for _ in range(12):
        name = chance.choice(sorted(network.instances))
        match chance.randrange(4):
            case 0:
                network.add(name, network.fleet[name].data_centre)
                spent[name] = 0
            case 1:
                network.paused.add(name)
            case 2:
                network.cut_data_centres = {chance.choice(sorted(MIXED))}
            case _:
                network.paused.clear()
                network.cut_data_centres.clear()
        for other in sorted(network.instances.keys() - network.paused):
            network.set_load(other, chance.randrange(5))
            count = chance.randrange(3)
            network.spend(other, count)
            spent[other] += count
            highest[other] = max(highest[other], spent[other])
        network.run(chance.choice([0.1, 0.4, 1.0]))
        for other in network.instances:
            assert network.peer_load_at(other) <= 4 * len(network.instances)
            most = sum(highest.values()) - highest[other]
            assert network.peer_spent_at(other) <= most
    network.paused.clear()
    network.cut_data_centres.clear()
    network.loss = 0.0
    network.run(2 * RECOVERY_S)
    assert_converged(network)
    for other in network.instances:
        total = sum(spent.values()) - spent[other]
        assert network.peer_spent_at(other) == total


def instance(name: str, data_centre: str, cores: float) -> relays.Instance:
    """Returns an instance."""
    return relays.Instance(
        name=name, data_centre=data_centre, address=name, cores=cores
    )


def test_relays_are_large_instances_that_answer() -> None:
    fleet = [instance(f'n{n}', 'north', float(n % 3)) for n in range(9)]
    first = relays.choose_relays(fleet, frozenset())
    assert {one.cores for one in first} == {2.0}
    silent = frozenset(one.name for one in first)
    second = relays.choose_relays(fleet, silent)
    assert not silent & {one.name for one in second}
    # Where all are silent, the usual ones are tried again.
    everyone = frozenset(one.name for one in fleet)
    assert relays.choose_relays(fleet, everyone) == first


def test_silent_relay_is_avoided_for_longer_each_time() -> None:
    health = relays.RelayHealth()
    source = relays.Source(instance='n1', topic=relays.Topic.FLEET)
    health.note_sources({source}, 0.0)
    assert health.avoid_silent(0.9) == []
    assert health.avoid_silent(1.1) == ['n1']
    assert health.is_avoided('n1', 3.0)
    assert not health.is_avoided('n1', 3.2)
    assert health.avoid_silent(3.2) == ['n1']
    assert health.is_avoided('n1', 7.1)
    health.note_heard(source, 7.2)
    assert not health.is_avoided('n1', 7.2)
    assert health.avoid_silent(7.6) == []
    assert health.avoid_silent(7.7) == ['n1']
