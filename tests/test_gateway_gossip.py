"""How an instance applies the updates that its peers publish."""

import collections.abc

import pytest

from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from tests import gateway_support


@pytest.fixture
def listener() -> collections.abc.Iterator[gossip.Gossip]:
    made = gossip.Gossip(
        gateway_support.board(),
        gateway_support.MemoryLog(),
        event_log.EventLog(),
    )
    made.board.upstreams.put(gateway_support.entry('u1'))
    yield made
    made.close()


def update(peer: str, **running: int) -> gossip.StateUpdate:
    return gossip.StateUpdate(
        instance=peer,
        data_centre='south',
        started_ms=1,
        store_age_s=0.1,
        usage={},
        whole=True,
        work={
            name: gossip.UpstreamLoad(running=count, pending=10 * count)
            for name, count in running.items()
        },
    )


def test_load_of_all_peers_is_summed(listener: gossip.Gossip) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    listener.apply(update('a', u1=3), 1.0)
    listener.apply(update('b', u1=2), 1.0)
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (5, 50)
    listener.apply(update('a', u1=1), 1.1)
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (3, 30)
    listener.apply(update('b'), 1.2)
    assert (upstream.peer_requests, upstream.peer_pending_tokens) == (1, 10)


def test_load_published_before_an_upstream_was_known_counts(
    listener: gossip.Gossip,
) -> None:
    listener.apply(update('a', u2=3), 1.0)
    listener.apply(update('b', u2=2), 1.0)
    listener.board.upstreams.put(gateway_support.entry('u2'))
    listener.apply(update('a', u2=2), 1.1)
    assert listener.board.upstreams.by_id['u2'].peer_requests == 4


def test_load_of_a_silent_peer_is_dropped(listener: gossip.Gossip) -> None:
    upstream = listener.board.upstreams.by_id['u1']
    listener.apply(update('a', u1=3), 1.0)
    listener.expire_silent(1.9)
    assert upstream.peer_requests == 3
    listener.expire_silent(2.1)
    assert upstream.peer_requests == 0


def test_peers_of_a_large_fleet_are_not_taken_for_silent(
    listener: gossip.Gossip,
) -> None:
    listener.board.reachability.update_interval_s = 0.55
    listener.apply(update('a', u1=3), 1.0)
    # Two messages are overdue.
    listener.expire_silent(2.2)
    assert listener.board.upstreams.by_id['u1'].peer_requests == 3
