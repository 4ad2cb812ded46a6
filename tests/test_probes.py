"""Tests of failure detection: failed members are found, and only these."""

import pytest

from bench import probes as bench_probes
from oleanderdrift import probes

DETECTED_S = 15.0


def others(net: bench_probes.Net, *names: str) -> list[str]:
    return [name for name in net.nodes if name not in names]


@pytest.mark.parametrize(('size', 'loss'), [(2, 0.0), (9, 0.0), (9, 0.05)])
def test_only_the_failed_instance_is_declared_dead(
    size: int, loss: float
) -> None:
    net = bench_probes.make_net(size, loss=loss)
    net.run(10.0)
    net.nodes['i1'].up = False
    net.run(10.0 + DETECTED_S)
    for name in others(net, 'i1'):
        assert net.seen_by(name) == set(others(net, 'i1'))


def test_a_resumed_instance_is_alive_and_suspects_nobody() -> None:
    net = bench_probes.make_net(9, loss=0.0)
    net.run(10.0)
    net.nodes['i1'].up = False
    net.run(30.0)
    net.nodes['i1'].up = True
    net.run(30.3)
    assert net.seen_by('i1') == set(net.nodes)
    net.run(42.0)
    for name in net.nodes:
        assert net.seen_by(name) == set(net.nodes)


def test_without_refutation_a_resumed_instance_stays_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(probes, '_refute', lambda *args: None)
    net = bench_probes.make_net(9, loss=0.0)
    net.run(10.0)
    net.nodes['i1'].up = False
    net.run(30.0)
    net.nodes['i1'].up = True
    net.run(50.0)
    assert 'i1' not in net.seen_by('i0')


def test_an_instance_that_one_member_cannot_reach_stays_alive() -> None:
    net = bench_probes.make_net(9, loss=0.0)
    net.cut_links.add(frozenset(('i0', 'i1')))
    net.run(60.0)
    for name in net.nodes:
        assert net.seen_by(name) == set(net.nodes)


def test_without_indirect_probes_a_cut_link_causes_a_false_alarm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(probes, '_probe_indirectly', lambda *args: [])
    monkeypatch.setattr(probes, '_refute', lambda *args: None)
    net = bench_probes.make_net(9, loss=0.0)
    net.cut_links.add(frozenset(('i0', 'i1')))
    net.run(60.0)
    assert any(net.seen_by(name) != set(net.nodes) for name in net.nodes)


def test_each_side_of_a_partition_sees_only_itself_until_it_ends() -> None:
    net = bench_probes.make_net(9, loss=0.0)
    net.run(5.0)
    side = {'i0', 'i3', 'i6'}
    for name in side:
        net.nodes[name].partition = 1
    net.run(45.0)
    for name in net.nodes:
        expected = side if name in side else set(net.nodes) - side
        assert net.seen_by(name) == expected
    for node in net.nodes.values():
        node.partition = 0
    net.run(75.0)
    for name in net.nodes:
        assert net.seen_by(name) == set(net.nodes)


def test_a_leaving_instance_is_not_alive_after_a_few_seconds() -> None:
    net = bench_probes.make_net(9, loss=0.0)
    net.run(5.0)
    node = net.nodes['i1']
    probes.leave(node.prober, node.members)
    net.run(9.0)
    for name in net.nodes:
        assert 'i1' not in net.seen_by(name)
