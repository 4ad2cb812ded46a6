"""Where requests are placed, on their own and when load is at its worst."""

import collections
import random
import typing

import pytest

from oleanderdrift.gateway import model
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import upstream_speed
from oleanderdrift.gateway import upstreams
from tests import gateway_support
from tests import peer_fleet

CHANCE: typing.Final = random.Random(1)
PLACE: typing.Final = placement.Place(data_centre='north', instances=9)


def prompt(*parts: tuple[str, int]) -> tuple[model.PromptPart, ...]:
    """Returns a prompt's parts."""
    return tuple(
        model.PromptPart(part_id=name, tokens=tokens) for name, tokens in parts
    )


SHARED = ('shared', 12_600)


def choose(candidates: list[upstreams.Upstream], now: float = 0.0) -> str:
    """Returns where a turn with a shared prompt goes."""
    request = gateway_support.request(prompt=prompt(SHARED, ('own', 1_680)))
    found = placement.choose(candidates, request, PLACE, now, CHANCE)
    assert found is not None
    return found.entry.upstream_id


def test_turn_goes_where_its_prompt_is_cached() -> None:
    cold = gateway_support.upstream('cold')
    warm = gateway_support.upstream('warm')
    warm.note_cached_parts(prompt(SHARED))
    warm.own_requests = 3
    assert choose([cold, warm]) == 'warm'


def test_prefill_cost_includes_delay_of_running_requests() -> None:
    # Prefill on a full engine delays all requests there, so a turn goes to
    # the busier engine that has its prompt cached.
    cold = gateway_support.upstream('cold')
    cold.own_requests = 12
    warm = gateway_support.upstream('warm')
    warm.note_cached_parts(prompt(SHARED))
    warm.own_requests = 16
    assert choose([cold, warm]) == 'warm'


def test_pending_prefill_sends_turns_elsewhere() -> None:
    busy = gateway_support.upstream('busy')
    free = gateway_support.upstream('free')
    for one in (busy, free):
        one.note_cached_parts(prompt(SHARED))
    busy.add_pending_tokens('q0', prompt(('long', 60_000)))
    assert choose([busy, free]) == 'free'


def test_slow_upstream_is_avoided_and_retried_later() -> None:
    slow = gateway_support.upstream('slow')
    fast = gateway_support.upstream('fast')
    for count in range(40):
        times = [0.0013, 0.0013] if count < 20 else [0.0065, 0.0008]
        for one, token_s in zip([slow, fast], times, strict=True):
            point = upstream_speed.TurnPoint(
                running=1, token=upstream_speed.encode_s(token_s)
            )
            one.engine.apply('', point, 0.0)
    fast.own_requests = 12
    assert choose([slow, fast]) == 'fast'
    assert choose([slow, fast], now=60.0) == 'slow'


def test_pending_tokens_are_cleared_once() -> None:
    one = gateway_support.upstream()
    one.add_pending_tokens('q1', prompt(SHARED))
    assert one.pending_tokens == 12_600
    one.clear_pending_tokens('q1')
    one.clear_pending_tokens('q1')
    assert one.pending_tokens == 0


def test_ejected_upstream_is_the_last_resort() -> None:
    failed = gateway_support.upstream('failed')
    failed.note_failure(0.0)
    sound = gateway_support.upstream('sound')
    sound.own_requests = 60
    assert choose([failed, sound]) == 'sound'
    assert choose([failed]) == 'failed'


def test_calls_without_prompt_avoid_full_upstreams() -> None:
    # Six slots each; nine instances report their open requests to each
    # other.
    full = gateway_support.upstream('full', slots=6)
    full.peer_requests = 6
    free = gateway_support.upstream('free', slots=6)
    free.peer_requests = 2
    request = gateway_support.request()
    found = placement.choose([full, free], request, PLACE, 0.0, CHANCE)
    assert found is free


def engines(count: int, slots: int) -> list[upstreams.Upstream]:
    """Returns idle engines that have the shared prompt cached."""
    found = [
        gateway_support.upstream(f'u{number}', slots=slots)
        for number in range(count)
    ]
    for one in found:
        one.note_cached_parts(prompt(SHARED))
    return found


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize(
    ('instances', 'count', 'slots', 'turns'),
    [(195, 47, 8, 50), (75, 24, 12, 30), (603, 141, 8, 150)],
)
def test_turns_placed_on_the_same_view_fill_no_engine(
    instances: int, count: int, slots: int, turns: int, seed: int
) -> None:
    """Turns that begin before any instance hears of the others' choices."""
    chance = random.Random(seed)
    place = placement.Place(data_centre='north', instances=instances)
    known = engines(count, slots)
    placed: collections.Counter[str] = collections.Counter()
    for number in range(turns):
        request = gateway_support.request(
            request_id=f'q{number}', prompt=prompt(SHARED, (f'o{number}', 840))
        )
        found = placement.choose(known, request, place, 0.0, chance)
        assert found is not None
        placed[found.entry.upstream_id] += 1
    assert max(placed.values()) <= slots


@pytest.mark.parametrize('seed', range(5))
def test_calls_placed_on_the_same_view_spread(seed: int) -> None:
    """A data centre's tool calls of one moment, on plain services."""
    chance = random.Random(seed)
    place = placement.Place(data_centre='north', instances=195)
    known = [gateway_support.upstream(f'u{n}', slots=6) for n in range(10)]
    placed: collections.Counter[str] = collections.Counter()
    for number in range(60):
        request = gateway_support.request(request_id=f'q{number}')
        found = placement.choose(known, request, place, 0.0, chance)
        assert found is not None
        placed[found.entry.upstream_id] += 1
    # Six slots, and twice as many in the queue.
    assert max(placed.values()) <= 18


@pytest.mark.parametrize('seed', range(5))
def test_full_engines_get_few_turns_in_a_large_fleet(seed: int) -> None:
    chance = random.Random(seed)
    place = placement.Place(data_centre='north', instances=195)
    known = engines(47, 8)
    for one in known[:12]:
        one.peer_requests = 16
    full = {one.entry.upstream_id for one in known[:12]}
    request = gateway_support.request(prompt=prompt(SHARED, ('own', 840)))
    chosen = [
        placement.choose(known, request, place, 0.0, chance)
        for _ in range(200)
    ]
    unlucky = [one for one in chosen if one and one.entry.upstream_id in full]
    # All of three random engines are full once in some 60 draws.
    assert len(unlucky) <= 15


def test_calls_of_a_large_fleet_use_open_connections() -> None:
    """Two calls a second of one instance, among ten upstreams."""
    known = [gateway_support.upstream(f'u{n}', slots=6) for n in range(10)]
    place = placement.Place(
        data_centre='north',
        instances=195,
        connected=frozenset(('u4', 'u7')),
    )
    chance = random.Random(1)
    requests = [
        gateway_support.request(request_id=f'q{number}')
        for number in range(50)
    ]
    chosen = [
        placement.choose(known, request, place, 0.0, chance)
        for request in requests
    ]
    assert {one.entry.upstream_id for one in chosen if one} == {'u4', 'u7'}
    # A busy upstream is not worth the connection that is saved.
    for name in ('u4', 'u7'):
        known[int(name[1:])].peer_requests = 9
    found = placement.choose(known, requests[0], place, 0.0, chance)
    assert found is not None
    assert found.entry.upstream_id not in place.connected


def test_requests_of_a_large_fleet_stay_in_their_data_centre() -> None:
    places = ['north', 'south', 'east', 'west', 'hub']
    known = [
        gateway_support.upstream(
            f'u{n}', slots=8, data_centre=places[n % len(places)]
        )
        for n in range(45)
    ]
    for one in known:
        one.note_cached_parts(prompt(SHARED))
    place = placement.Place(data_centre='north', instances=195)
    chance = random.Random(1)
    request = gateway_support.request(prompt=prompt(SHARED, ('own', 840)))

    def share_of_north() -> float:
        chosen = [
            placement.choose(known, request, place, 0.0, chance)
            for _ in range(200)
        ]
        north = [one for one in chosen if one in known[::5]]
        return len(north) / len(chosen)

    assert share_of_north() > 0.9
    # Unless the engines there are busier.
    for one in known[::5]:
        one.peer_requests = 12
    assert share_of_north() < 0.1


def test_conversation_returns_to_its_engine_in_a_large_fleet() -> None:
    place = placement.Place(data_centre='north', instances=195)
    known = engines(47, 8)
    known[30].note_cached_parts(prompt(SHARED, ('past', 4_000)))
    request = gateway_support.request(
        prompt=prompt(SHARED, ('past', 4_000), ('own', 840))
    )
    for seed in range(20):
        chance = random.Random(seed)
        found = placement.choose(known, request, place, 0.0, chance)
        assert found is known[30]
    known[30].peer_requests = 40
    found = placement.choose(known, request, place, 0.0, chance)
    assert found is not known[30]


def test_call_returns_to_the_upstream_that_handled_its_object() -> None:
    known = [gateway_support.upstream(f'u{n}', slots=6) for n in range(3)]
    known[1].note_warm_object('17')
    request = gateway_support.request(affinity_key='17')
    for instances in (1, 195):
        place = placement.Place(data_centre='north', instances=instances)
        found = placement.choose(known, request, place, 0.0, CHANCE)
        assert found is known[1]
        # Load counts as well.
        known[1].peer_requests = 9
        found = placement.choose(known, request, place, 0.0, CHANCE)
        assert found is not known[1]
        known[1].peer_requests = 0
    other = gateway_support.request(affinity_key='18')
    picks = {
        placement.choose(known, other, PLACE, 0.0, CHANCE) is known[1]
        for _ in range(5)
    }
    # All instances agree on where a new object goes first.
    assert len(picks) == 1


def test_objects_are_forgotten() -> None:
    one = gateway_support.upstream()
    one.note_warm_object('first')
    for number in range(upstreams.MAX_WARM_OBJECTS):
        one.note_warm_object(str(number))
    assert not one.is_warm_for('first')
    assert len(one.warm_objects) == upstreams.MAX_WARM_OBJECTS
    known = upstreams.UpstreamSet()
    known.put(gateway_support.entry())
    known.by_id['u1'].note_warm_object('17')
    known.put(gateway_support.entry(born_ms=2))
    assert not known.by_id['u1'].is_warm_for('17')


class FakeConnection:
    """A direct connection on which nothing has been received."""

    via = ''

    class protocol:  # noqa: N801 - stands for an attribute
        received = False


@pytest.mark.parametrize(
    ('peer_requests', 'silent_s', 'ejected', 'aborted'),
    [
        # Sound engines answer within this.
        (0, 0.8, False, False),
        (0, 1.0, True, False),
        # Sound engines go on within this.
        (0, 1.9, True, False),
        (0, 2.1, True, True),
        # Two rounds of turns come before this one.
        (24, 1.0, False, False),
        (24, 1.5, False, False),
        (24, 1.7, True, False),
        (24, 2.8, True, True),
    ],
)
def test_engine_with_a_queue_is_not_taken_for_silent(
    peer_requests: int, silent_s: float, ejected: bool, aborted: bool
) -> None:
    engine = gateway_support.upstream(slots=8)
    engine.silence_timeout_s = upstreams.ENGINE_SILENCE_S
    engine.peer_requests = peer_requests
    connection = typing.cast(typing.Any, FakeConnection())
    engine.abortable[connection] = 10.0
    found = engine.eject_if_silent(10.0 + silent_s, unreachable=False)
    assert bool(found) == aborted
    assert engine.is_ejected(10.0 + silent_s) == ejected


def test_conversation_that_moves_between_instances_keeps_its_engine() -> None:
    """Its first turn comes to one instance, the next one to another."""
    network = peer_fleet.build({'north': 8, 'south': 8}, 1)
    network.run(2.0)
    first, second = 'north-3', 'south-6'
    for one in network.instances.values():
        for number in range(12):
            one.board.upstreams.put(
                gateway_support.entry(f'e{number}', slots=8)
            )
    said = prompt(SHARED, ('said', 1_680))
    engines_of = network.instances[first].board.upstreams.by_id
    engines_of['e7'].note_cached_parts(said)
    network.run(0.5)
    known = [
        one
        for one in network.instances[second].board.upstreams.by_id.values()
        if one.entry.upstream_id.startswith('e')
    ]
    request = gateway_support.request(
        prompt=prompt(SHARED, ('said', 1_680), ('next', 840))
    )
    place = placement.Place(data_centre='south', instances=16)
    found = placement.choose(known, request, place, 0.0, CHANCE)
    assert found is not None
    assert found.entry.upstream_id == 'e7'


def test_cached_parts_have_a_limit_wherever_they_come_from() -> None:
    one = gateway_support.upstream()
    one.add_cached_parts(
        str(number) for number in range(2 * upstreams.MAX_CACHED_PARTS)
    )
    assert len(one.cached_parts) == upstreams.MAX_CACHED_PARTS
    assert '0' not in one.cached_parts
