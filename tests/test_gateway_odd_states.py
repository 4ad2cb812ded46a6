"""States of peers that no peer would publish change nothing."""

import collections.abc
import math
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import model
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import peer_sockets
from oleanderdrift.platform import codec
from tests import gateway_support
from tests import odd_values

# Nested deeper than any decoder follows, in MessagePack.
DEEP: typing.Final = b'\x91' * 100_000 + b'\xc0'
TOPIC: typing.Final = peer_messages.Topic.FLEET
NAN: typing.Final = float('nan')
# The fields of a state, in order.
STATE: typing.Final[dict[str, typing.Any]] = {
    'data_centre': 'south',
    'store_age_s': 0.1,
    'usage': {'ward': [0, 0.0]},
    'whole': True,
    'work': {'u1': [1, 10, []]},
    'leaving': False,
    'limits': {},
    'crashes': {},
    'blocked': {},
    'living': {},
    'grounds': {},
}


@pytest.fixture
def listener() -> collections.abc.Iterator[gossip.Gossip]:
    made = make_listener()
    yield made
    made.close()


def make_listener() -> gossip.Gossip:
    """Returns an instance that has heard of one upstream."""
    board = gateway_support.board()
    events = event_log.EventLog()
    made = gossip.Gossip(
        board,
        directory.Directory(board, gateway_support.MemoryLog(), events),
        events,
        peer_sockets.PeerSockets(),
    )
    made.board.upstreams.put(gateway_support.entry('u1'))
    return made


def message(*states: bytes) -> bytes:
    """Returns a relay's message with the states of peers a, b and so on."""
    envelopes = [
        [chr(ord('a') + place), 1, 1, msgspec.Raw(state)]
        for place, state in enumerate(states)
    ]
    return TOPIC.value + msgspec.msgpack.encode(['relay', envelopes])


def state(**changes: object) -> bytes:
    """Returns an encoded state, with changes."""
    return odd_values.pack([*{**STATE, **changes}.values()])


ODD_STATES: typing.Final = {
    'age-nan': state(store_age_s=NAN),
    'age-infinite': state(store_age_s=math.inf),
    'age-negative': state(store_age_s=-1.0),
    'running-negative': state(work={'u1': [-5, 10, []]}),
    'running-huge': state(work={'u1': [2**64 - 1, 10, []]}),
    'pending-negative': state(work={'u1': [1, -10, []]}),
    'spent-negative': state(usage={'ward': [-9, 0.0]}),
    'spent-huge': state(usage={'ward': [2**64 - 1, 0.0]}),
    'demand-nan': state(usage={'ward': [0, NAN]}),
    'demand-negative': state(usage={'ward': [0, -5.0]}),
    'demand-infinite': state(usage={'ward': [0, math.inf]}),
    'limit-nan': state(limits={'u1\x1f1': [NAN, 0.1]}),
    'limit-negative': state(limits={'u1\x1f1': [-1.0, 0.1]}),
    'limit-age-negative': state(limits={'u1\x1f1': [1.0, -1e6]}),
    'limit-age-nan': state(limits={'u1\x1f1': [1.0, NAN]}),
    'crash-age-nan': state(crashes={'u1\x1f1': [NAN, ['f'], []]}),
    'crash-age-negative': state(crashes={'u1\x1f1': [-1e6, ['f'], []]}),
    'blocked-nan': state(blocked={'f': NAN}),
    'blocked-infinite': state(blocked={'f': math.inf}),
    'living-nan': state(living={'u1\x1f1': NAN}),
    'living-negative': state(living={'u1\x1f1': -1e6}),
    'wrong-types': state(work=[], usage=5),
}


@pytest.mark.parametrize('odd', ODD_STATES.values(), ids=ODD_STATES)
def test_odd_state_changes_nothing_and_leaves_the_others(
    listener: gossip.Gossip, odd: bytes
) -> None:
    listener.receive(TOPIC, message(state(), odd, state()), 1.0)
    board = listener.board
    assert listener.peer_load.last_heard.keys() == {'a', 'c'}
    assert board.upstreams.by_id['u1'].peer_requests == 2
    assert board.upstreams.by_id['u1'].removed_at is None
    assert board.upstream_limits.newest == {}
    assert board.crashes.blocked == {}


@pytest.mark.parametrize(
    'data',
    [
        TOPIC.value + DEEP,
        message(state()) + DEEP,
        TOPIC.value + b'\x93\xa1r\x90' + DEEP,
        TOPIC.value + b'\x92\xa1r\x91\x95\xa1a\x01\x01\xc0' + DEEP,
        message(bytes([state()[0] + 1]) + state()[1:] + DEEP),
        message(state(work='mark').replace(b'\xa4mark', DEEP)),
    ],
    ids=['message', 'behind', 'field', 'envelope', 'state', 'work'],
)
def test_nested_message_changes_nothing(
    listener: gossip.Gossip, data: bytes
) -> None:
    listener.receive(TOPIC, data, 1.0)
    assert listener.peer_load.last_heard == {}
    listener.receive(TOPIC, message(state()), 1.0)
    assert listener.peer_load.last_heard.keys() == {'a'}


def test_peer_blocks_no_request_for_longer_than_instances_do(
    listener: gossip.Gossip,
) -> None:
    listener.receive(TOPIC, message(state(blocked={'f': 1e8})), 1.0)
    assert listener.board.crashes.is_blocked('f', 1.0)
    later = 1.0 + crash_ledger.CERTAIN_BLOCK_S
    assert not listener.board.crashes.is_blocked('f', later)


def test_prompt_of_any_length_does_not_end_the_exchange(
    listener: gossip.Gossip,
) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    part = model.PromptPart(part_id='p', tokens=10**400)
    upstream.own_requests = 1
    upstream.add_pending_tokens('q1', (part,))
    listener.publish(1.0)
    work = listener.published_work['u1']
    assert work.pending == bounds.MAX_COUNT


def test_peers_read_what_is_said_of_any_upstream(
    listener: gossip.Gossip,
) -> None:
    name = gateway_support.entry(
        'u' * bounds.MAX_NAME_LENGTH, born_ms=bounds.MAX_COUNT
    ).incarnation()
    said = state(
        limits={name: [1.0, 0.1]},
        crashes={name: [0.1, ['f'], []]},
        living={name: 0.1},
        grounds={'f': [name]},
    )
    listener.receive(TOPIC, message(said), 1.0)
    assert listener.peer_load.last_heard.keys() == {'a'}


@pytest.mark.parametrize('text', ['1e300', 'nan', 'inf', '-1', '9' * 400])
def test_rate_that_peers_would_not_read_is_no_limit(text: str) -> None:
    head = codec.PlatformCodec().decode_upstream_head(
        200, [('Server-Limit', text)], is_framed=True
    )
    assert head.rate_limit_per_s is None


json_states = strategies.dictionaries(
    strategies.sampled_from(sorted(STATE)), odd_values.json_values, max_size=2
).map(lambda changes: state(**changes))


@odd_values.SEEDED
@hypothesis.given(
    strategies.binary().map(TOPIC.value.__add__)
    | odd_values.json_values.map(
        lambda value: TOPIC.value + odd_values.pack(value)
    )
    | strategies.lists(json_states, min_size=1, max_size=3).map(
        lambda states: message(*states)
    )
)
def test_any_message_leaves_the_instance_able_to_go_on(data: bytes) -> None:
    heard = make_listener()
    try:
        heard.receive(TOPIC, data, 1.0)
        heard.board.crashes.review(2.0)
        heard.expire_silent(2.5)
        heard.board.rate_limiter.charge_overdue_peers(2.5)
        bucket = heard.board.rate_limiter.bucket('ward')
        assert math.isfinite(bucket.tokens)
        heard.publish(3.0)
    finally:
        heard.close()
