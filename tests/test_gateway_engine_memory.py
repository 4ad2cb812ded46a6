"""Engines whose memory runs out, and requests that need it."""

import random
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import engine_memory
from oleanderdrift.gateway import model
from oleanderdrift.platform import operator
from tests import gateway_support
from tests import speed_fleet

SERVICE: typing.Final = attrs.evolve(
    gateway_support.config().services['guide'], memory_tokens=60_000
)


def request(tokens: int) -> model.Request:
    """Returns a turn that needs memory for so many tokens."""
    part = model.PromptPart(part_id='p', tokens=tokens - 80)
    return gateway_support.request(prompt=(part,), max_tokens=80)


@pytest.mark.parametrize(
    ('own', 'peers', 'memory', 'kept'),
    [
        ([50_000, 0], [0, 0], 60_000, 'b'),
        ([0, 0], [50_000, 0], 60_000, 'b'),
        ([20_000, 45_000], [25_000, 5_000], 60_000, 'a'),
        # Nobody has room, or no limit is known.
        ([50_000, 55_000], [0, 0], 60_000, 'ab'),
        ([50_000, 0], [0, 0], 0, 'ab'),
    ],
)
def test_requests_go_where_there_is_room(
    own: list[int], peers: list[int], memory: int, kept: str
) -> None:
    known = [gateway_support.upstream(name) for name in 'ab']
    for one, mine, others in zip(known, own, peers, strict=True):
        one.own_held_tokens, one.peer_held_tokens = mine, others
    service = attrs.evolve(SERVICE, memory_tokens=memory)
    found = engine_memory.with_room(known, service, request(15_000), 0.0)
    assert ''.join(one.entry.upstream_id for one in found) == kept


def test_room_on_an_engine_that_cannot_be_used_does_not_count() -> None:
    full, ejected = (gateway_support.upstream(name) for name in 'ab')
    full.own_held_tokens = 60_000
    turn = request(15_000)
    ejected.note_failure(0.0)
    found = engine_memory.with_room([full, ejected], SERVICE, turn, 0.1)
    assert found == [full, ejected]
    for excluded, silent in ((('b',), ()), ((), ('north',))):
        found = engine_memory.with_room(
            [full, ejected], SERVICE, turn, 60.0, excluded, silent
        )
        assert found == [full, ejected]


def test_request_larger_than_any_engine_is_refused_as_not_run() -> None:
    board = gateway_support.board()
    assert board.config is not None
    board.config.services['guide'] = SERVICE
    board.upstreams.put(gateway_support.entry())
    admission.admit(board, request(60_000), 0.0, 0.0)
    with pytest.raises(errors.ResultError) as refused:
        admission.admit(board, request(60_001), 0.0, 0.0)
    assert refused.value.code is codes.NO_UPSTREAM


@pytest.mark.parametrize(
    ('engine', 'tokens'),
    [(b'{"KvCapacity":60000}', 60_000), (b'{}', 0), (b'null', 0)],
)
def test_memory_of_engines_is_configured(engine: bytes, tokens: int) -> None:
    config = operator.decode_configuration(
        b'{"Version":1,"Routes":[],"Services":[{"Name":"s","Engine":%s}]}'
        % engine
    )
    assert config.services['s'].memory_tokens == tokens


@pytest.mark.parametrize('seed', [2, 3])
def test_memory_is_not_overrun_while_another_engine_has_room(
    seed: int,
) -> None:
    """On a view without age; an older one misses what peers just placed."""

    def overrun(memory: int) -> float:
        made = speed_fleet.EngineFleet(
            instances=1,
            upstreams=12,
            slots=16,
            per_s=24.0,
            chance=random.Random(seed),
            service=attrs.evolve(SERVICE, memory_tokens=memory),
        )
        for number in range(12):
            made.factors[number] = 6.0
        made.run(15.0)
        held = [each for found in made.held.values() for each in found]
        return sum(each > SERVICE.memory_tokens for each in held) / len(held)

    assert overrun(SERVICE.memory_tokens) == 0.0
    assert overrun(0) > 0.0
