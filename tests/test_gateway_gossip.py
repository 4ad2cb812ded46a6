"""How an instance applies the states that its peers publish."""

import collections.abc

import msgspec
import pytest

from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import model
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import peer_sockets
from tests import gateway_support


@pytest.fixture
def listener() -> collections.abc.Iterator[gossip.Gossip]:
    board = gateway_support.board()
    events = event_log.EventLog()
    made = gossip.Gossip(
        board,
        directory.Directory(board, gateway_support.MemoryLog(), events),
        events,
        peer_sockets.PeerSockets(),
    )
    made.board.upstreams.put(gateway_support.entry('u1'))
    yield made
    made.close()


def envelope(
    peer: str, sequence: int, incarnation: int = 1, **running: int
) -> peer_messages.Envelope:
    """Returns a peer's state with its open requests by upstream."""
    state = peer_messages.StateUpdate(
        data_centre='south',
        store_age_s=0.1,
        usage={},
        whole=True,
        work={
            name: peer_messages.UpstreamLoad(running=count, pending=10 * count)
            for name, count in running.items()
        },
    )
    return peer_messages.Envelope(
        instance=peer,
        incarnation=incarnation,
        sequence=sequence,
        state=peer_messages.encode_state(state),
    )


def receive(
    listener: gossip.Gossip,
    *envelopes: peer_messages.Envelope,
    now: float = 1.0,
) -> None:
    """Applies a message of a relay."""
    bundle = peer_messages.Bundle(publisher='relay', envelopes=[*envelopes])
    topic = peer_messages.Topic.FLEET
    listener.receive(topic, peer_messages.encode_bundle(topic, bundle), now)


def test_load_of_all_peers_is_summed(listener: gossip.Gossip) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    receive(listener, envelope('a', 1, u1=3), envelope('b', 1, u1=2))
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (5, 50)
    receive(listener, envelope('a', 2, u1=1))
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (3, 30)
    receive(listener, envelope('b', 2))
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (1, 10)


def test_state_that_arrives_again_or_late_is_ignored(
    listener: gossip.Gossip,
) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    receive(listener, envelope('a', 2, u1=3))
    receive(listener, envelope('a', 2, u1=3), envelope('a', 1, u1=7))
    assert upstream.peer_requests == 3
    # A restarted peer counts from the beginning.
    receive(listener, envelope('a', 1, 5, u1=2))
    assert upstream.peer_requests == 2
    # Its earlier incarnation's messages may still be under way.
    receive(listener, envelope('a', 3, 1, u1=9))
    assert upstream.peer_requests == 2


def test_load_published_before_an_upstream_was_known_counts(
    listener: gossip.Gossip,
) -> None:
    receive(listener, envelope('a', 1, u2=3), envelope('b', 1, u2=2))
    listener.board.upstreams.put(gateway_support.entry('u2'))
    receive(listener, envelope('a', 2, u2=2))
    assert listener.board.upstreams.by_id['u2'].peer_requests == 4


def test_load_of_a_silent_peer_is_dropped(listener: gossip.Gossip) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    receive(listener, envelope('a', 1, u1=3))
    listener.expire_silent(1.9)
    assert upstream.peer_requests == 3
    listener.expire_silent(2.1)
    assert upstream.peer_requests == 0


def test_peer_whose_heartbeats_are_lost_is_not_taken_for_silent(
    listener: gossip.Gossip,
) -> None:
    receive(listener, envelope('a', 1, u1=3))
    # Two heartbeats are lost; the third passes two relays.
    listener.expire_silent(1.0 + 3 * gossip.HEARTBEAT_INTERVAL_S + 0.2)
    assert listener.board.upstreams.by_id['u1'].peer_requests == 3


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'f',
        b'f\xff\xff',
        b'f' + msgspec.msgpack.encode({'publisher': 'a'}),
        b'f' + msgspec.msgpack.encode(['relay', [['a', 1, 1, ['south']]]]),
        b'f' + msgspec.msgpack.encode(['relay', [['a', 'x', 1, []]]]),
    ],
)
def test_unreadable_message_changes_nothing(
    listener: gossip.Gossip, data: bytes
) -> None:
    listener.receive(peer_messages.Topic.FLEET, data, 1.0)
    assert listener.peer_load.totals == {}
    assert listener.board.rate_limiter.peers == {}


def test_readable_states_of_a_message_are_applied(
    listener: gossip.Gossip,
) -> None:
    broken = peer_messages.Envelope(
        instance='b', incarnation=1, sequence=1, state=msgspec.Raw(b'\xc1')
    )
    unknown = peer_messages.Envelope(
        instance='b', incarnation=1, sequence=2, state=msgspec.Raw(b'\xc0')
    )
    receive(listener, unknown, envelope('a', 1, u1=3))
    assert listener.board.upstreams.by_id['u1'].peer_requests == 3
    # Not even the message can be read; the next one is.
    receive(listener, broken, envelope('a', 2, u1=4))
    receive(listener, envelope('a', 2, u1=4))
    assert listener.board.upstreams.by_id['u1'].peer_requests == 4


def test_parts_that_peers_are_told_of_fit_into_a_message() -> None:
    """Guards against a state that is too long, and closes its connection."""
    loads = {}
    for number in range(90):
        one = gateway_support.upstream(f'u{number}')
        for prompt in range(20):
            one.note_cached_parts(
                tuple(
                    model.PromptPart(
                        part_id=f'{number} {prompt} {part}'.rjust(64),
                        tokens=1,
                    )
                    for part in range(256)
                )
            )
        loads[f'u{number}'] = peer_messages.UpstreamLoad(
            running=1, pending=0, cached=tuple(one.new_parts)
        )
        # Those at the beginning tell which upstream has more of a prompt.
        assert f'{number} 0 0'.rjust(64) in one.new_parts
    size = len(msgspec.msgpack.encode(loads))
    assert size < peer_sockets.MAX_MESSAGE_BYTES
