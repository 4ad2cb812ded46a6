"""Which paths to upstreams are lost, and which peer is asked for a tunnel."""

import collections
import random
import typing

import pytest

from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import tunnel_peers
from oleanderdrift.gateway import upstream_paths
from oleanderdrift.gateway import upstreams
from tests import gateway_support

Loss: typing.TypeAlias = upstream_paths.Loss
FAILURES: typing.Final = tunnel_peers.TunnelFailure


def peers_of(
    *names: str, unreachable: dict[str, frozenset[str]] | None = None
) -> tunnel_peers.TunnelPeers:
    """Returns peers named DATA_CENTRE-NUMBER that were heard at 10.0."""
    result = tunnel_peers.TunnelPeers()
    for name in names:
        result.note_state(
            relays.Instance(
                name=name,
                data_centre=name.partition('-')[0],
                address='',
                cores=1.0,
                tunnel_address=f'{name}:1',
            ),
            (unreachable or {}).get(name, frozenset()),
            False,
            10.0,
        )
    return result


def chosen(
    peers: tunnel_peers.TunnelPeers,
    now: float = 10.1,
    asked: tuple[str, ...] = (),
    seed: int = 1,
) -> str | None:
    """Returns the peer chosen by an instance in north for one in south."""
    found = peers.choose(
        gateway_support.entry('u1', data_centre='south'),
        'north',
        [peers.by_name[name].instance for name in asked],
        now,
        random.Random(seed),
    )
    return found.name if found is not None else None


def test_a_lost_packet_beside_other_bytes_is_no_lost_path() -> None:
    path = upstream_paths.Path(heard_at=10.1)
    assert not path.note_timed_out(10.0, 10.25, random.Random(1))
    assert path.loss is None
    assert path.note_timed_out(10.2, 10.45, random.Random(1))
    assert path.loss is Loss.TIMED_OUT


def test_a_refusal_that_no_peer_contradicts_is_no_lost_path() -> None:
    path = upstream_paths.Path()
    path.note_no_peer(10.0)
    assert path.loss is None
    assert not path.may_ask_peers(10.1)
    assert path.may_ask_peers(10.0 + upstream_paths.NO_PEER_S)


def test_a_failure_from_before_a_connection_does_not_lose_the_path() -> None:
    path = upstream_paths.Path()
    path.note_connected(10.2)
    assert not path.note_timed_out(10.0, 10.25, random.Random(1))
    assert not path.note_reached_by_peer(
        Loss.REFUSED, 10.0, 10.25, random.Random(1)
    )
    assert path.loss is None


def test_probes_of_a_lost_path_come_at_a_slowly_growing_interval() -> None:
    path, chance, now = upstream_paths.Path(), random.Random(1), 10.0
    path.note_timed_out(9.75, now, chance)
    gaps = []
    for _ in range(12):
        gaps.append(path.probe_at - now)
        assert not path.is_probe_due(path.probe_at - 0.01)
        assert path.is_probe_due(path.probe_at)
        now = path.probe_at
        path.schedule_probe(now, chance)
    assert 0.3 < gaps[0] < 0.5
    assert 0.8 <= max(gaps) <= upstream_paths.MAX_PROBE_INTERVAL_S * 1.2
    assert path.note_connected(now)
    assert not path.is_probe_due(now + 60.0)


@pytest.mark.parametrize(
    ('silent_s', 'others_silent_s', 'checked_s_ago', 'expected'),
    [
        (0.20, 5.0, 60.0, False),
        (0.30, 5.0, 60.0, True),
        (0.30, 0.1, 60.0, False),
        (0.60, 0.1, 60.0, True),
        (0.60, 5.0, 0.3, False),
        (1.50, 5.0, 1.1, True),
    ],
)
def test_silence_leads_to_a_probe_and_not_to_many(
    silent_s: float,
    others_silent_s: float,
    checked_s_ago: float,
    expected: bool,
) -> None:
    path = upstream_paths.Path(checked_at=100.0 - checked_s_ago)
    found = path.is_suspect(100.0 - silent_s, 100.0 - others_silent_s, 100.0)
    assert found is expected


@pytest.mark.parametrize(
    ('via', 'confirmed', 'expected'),
    [
        ('', False, True),
        ('', True, False),
        ('north-2', True, True),
    ],
)
def test_upstream_that_a_peer_reaches_is_ejected_for_a_lost_path(
    via: str, confirmed: bool, expected: bool
) -> None:
    engine = gateway_support.upstream()
    engine.silence_timeout_s = 0.9
    engine.path.confirmed = confirmed
    connection = channel.Channel(buffering.BufferingProtocol(), via)
    engine.abortable[connection] = 10.0
    assert engine.eject_if_silent(11.0, unreachable=False) == []
    assert engine.is_ejected(11.0) is expected
    aborted_at = 11.0 + upstreams.ABORT_DELAY_S
    assert engine.eject_if_silent(aborted_at, False) == [connection]


@pytest.mark.parametrize(
    ('names', 'asked', 'expected'),
    [
        (('north-1', 'south-1', 'east-1'), (), 'south-1'),
        (('north-1', 'east-1'), (), 'north-1'),
        (('east-1',), (), 'east-1'),
        (('south-1', 'south-2', 'east-1'), ('south-1',), 'east-1'),
        (('south-1', 'south-2'), ('south-1',), 'south-2'),
        (('south-1',), ('south-1',), None),
        ((), (), None),
    ],
)
def test_the_peer_that_is_nearest_is_asked_and_then_one_elsewhere(
    names: tuple[str, ...], asked: tuple[str, ...], expected: str | None
) -> None:
    assert chosen(peers_of(*names), asked=asked) == expected


@pytest.mark.parametrize(
    ('failure', 'left_out_for'),
    [
        (FAILURES.SILENT, ('u1', 'u2')),
        (FAILURES.REFUSED, ('u1',)),
        (FAILURES.UNREACHABLE, ('u1',)),
        (FAILURES.UNAVAILABLE, ('u1',)),
    ],
)
def test_a_peer_that_failed_is_left_out_for_a_moment(
    failure: tunnel_peers.TunnelFailure, left_out_for: tuple[str, ...]
) -> None:
    peers = peers_of('south-1')
    peers.note_failed('south-1', 'u1', failure, 10.0)
    for upstream_id in ('u1', 'u2'):
        carries = peers.carries('south-1', upstream_id, 10.1)
        assert carries is (upstream_id not in left_out_for)
    peers.by_name['south-1'].heard_at = 11.0
    assert peers.carries('south-1', 'u1', 11.1)


@pytest.mark.parametrize(
    ('failure', 'hangs'),
    [(FAILURES.UNREACHABLE, True), (FAILURES.UNAVAILABLE, False)],
)
def test_peer_that_opens_no_more_tunnels_is_taken_for_cut_off(
    failure: tunnel_peers.TunnelFailure, hangs: bool
) -> None:
    peers = peers_of('south-1')
    peers.note_failed('south-1', 'u1', failure, 10.0)
    assert peers.hangs('south-1', 'u1', 10.1) is hangs


def test_peers_that_left_are_silent_or_cut_off_are_not_asked() -> None:
    peers = peers_of(
        'south-1',
        'south-2',
        'north-1',
        unreachable={'south-1': frozenset({'u1'})},
    )
    peers.forget('south-2')
    assert peers.take_left() == {'south-2'}
    assert chosen(peers) == 'north-1'
    assert chosen(peers, now=10.01 + tunnel_peers.HEARD_S) is None


def test_a_peer_that_cannot_list_what_it_lost_is_not_asked() -> None:
    ids = [f'u{number}' for number in range(40)]
    listed, more = tunnel_peers.published(ids)
    assert len(listed) == tunnel_peers.MAX_PUBLISHED
    assert more
    peers = peers_of('south-1', 'east-1')
    peers.by_name['south-1'].reaches_few = more
    assert chosen(peers) == 'east-1'
    assert tunnel_peers.published([]) == (frozenset(), False)


def test_tunnels_spread_over_the_peers_that_are_left() -> None:
    cut = {f'south-{number}': frozenset({'u1'}) for number in range(6)}
    names = [*cut, 'south-6', 'south-7', 'south-8']
    peers = peers_of(*names, unreachable=cut)
    counts = collections.Counter(
        chosen(peers, seed=seed) for seed in range(300)
    )
    assert set(counts) == {'south-6', 'south-7', 'south-8'}
    assert min(counts.values()) > 60


@pytest.mark.parametrize(
    ('silent_s', 'held_s', 'expected'),
    [(1.0, 0.0, True), (1.0, 0.2, False), (1.2, 0.2, True)],
)
def test_upstream_is_ejected_for_a_full_link(
    silent_s: float, held_s: float, expected: bool
) -> None:
    """Guards against sound upstreams blamed for bytes that come late."""
    engine = gateway_support.upstream()
    engine.silence_timeout_s = upstreams.ENGINE_SILENCE_S
    connection = channel.Channel(buffering.BufferingProtocol(), '')
    engine.abortable[connection] = 10.0
    now = 10.0 + silent_s
    assert engine.eject_if_silent(now, False, held_s) == []
    assert engine.is_ejected(now) is expected


@pytest.mark.parametrize(
    ('silent_s', 'held_s', 'expected'),
    [(0.7, 0.0, True), (0.7, 0.2, False), (0.9, 0.2, True)],
)
def test_tunnels_are_given_up_for_states_that_a_full_link_holds_up(
    silent_s: float, held_s: float, expected: bool
) -> None:
    """Guards against peers taken for silent for states that come late."""
    peers = peers_of('south-1')
    now = 10.0 + silent_s
    assert peers.hangs('south-1', 'u1', now, held_s) is expected
