"""Measures the time to detect a failed instance and the cost of probing.

The real membership and probe modules run in simulated time over a lossy
queue at three fleet sizes; detection time and bytes per second have to
stay nearly constant as the fleet grows.
"""

import heapq
import random
import typing

import attrs

from bench import figure
from oleanderdrift import codec
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import outbound
from oleanderdrift import probes

SEED: typing.Final = 5
SIZES: typing.Final = (9, 75, 600)
SETTLE_S: typing.Final = 20.0
WATCH_S: typing.Final = 60.0
TICK_S: typing.Final = 0.1
LOSS: typing.Final = 0.01
DELAY_S: typing.Final = (0.0005, 0.003)
BYTES_BOUND_PER_S: typing.Final = 1_000.0
DETECTION_BOUND_S: typing.Final = 30.0


@attrs.define(kw_only=True)
class Node:
    """One instance: its view of the members and its prober."""

    members: membership.Members
    prober: probes.Prober
    up: bool = True
    partition: int = 0
    sent_bytes: int = 0


@attrs.define(kw_only=True)
class Net:
    """The instances and the messages in flight."""

    rng: random.Random
    loss: float = LOSS
    now: float = 0.0
    ticks: int = 0
    serial: int = 0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    cut_links: set[frozenset[str]] = attrs.field(factory=set)
    queue: list[tuple[float, int, str, str, messages.Message]] = attrs.field(
        factory=list
    )

    def post(self, sender: str, sends: list[outbound.OutboundMessage]) -> None:
        """Queues messages, subject to loss and delay."""
        for send in sends:
            size = len(codec.encode(send.message))
            self.nodes[sender].sent_bytes += size
            if self.rng.random() < self.loss:
                continue
            self.serial += 1
            due_s = self.now + self.rng.uniform(*DELAY_S)
            item = (due_s, self.serial, sender, send.to, send.message)
            heapq.heappush(self.queue, item)

    def run(self, until_s: float) -> None:
        """Delivers messages and runs ticks up to a time."""
        while True:
            tick_s = (self.ticks + 1) * TICK_S
            if self.queue and self.queue[0][0] <= min(tick_s, until_s):
                self.now, _, sender, to, message = heapq.heappop(self.queue)
                self.deliver(sender, to, message)
            elif tick_s <= until_s:
                self.now = tick_s
                self.ticks += 1
                for name, node in self.nodes.items():
                    if node.up:
                        sends = probes.tick(
                            node.prober, node.members, self.now
                        )
                        self.post(name, sends)
            else:
                self.now = until_s
                return

    def deliver(self, sender: str, to: str, message: messages.Message) -> None:
        """Delivers a message if the receiver can be reached."""
        node = self.nodes[to]
        if not node.up or node.partition != self.nodes[sender].partition:
            return
        if frozenset((sender, to)) in self.cut_links:
            return
        sends = probes.receive(
            node.prober, node.members, self.now, sender, message
        )
        self.post(to, sends)

    def seen_by(self, name: str) -> set[str]:
        """Returns the instances that an instance believes to be alive."""
        members = self.nodes[name].members
        return {each.name for each in membership.alive(members, self.now)}


def make_net(size: int, seed: int = SEED, loss: float = LOSS) -> Net:
    """Returns a network of instances that have all read the same list."""
    net = Net(rng=random.Random(seed), loss=loss)
    listed = [
        membership.Member(
            name=f'i{number}',
            data_centre=f'dc{number % 3}',
            address='127.0.0.1',
            http_port=1,
            peer_port=2,
        )
        for number in range(size)
    ]
    for member in listed:
        members = membership.Members(this=member)
        membership.update(members, 0.0, listed)
        prober = probes.Prober(rng=random.Random(net.rng.random()))
        net.nodes[member.name] = Node(members=members, prober=prober)
    return net


def figures() -> list[figure.Figure]:
    """Returns detection time, false alarms and bytes at each size."""
    results = []
    for size in SIZES:
        net = make_net(size)
        net.run(SETTLE_S)
        settled_bytes_per_s = _sent_bytes(net) / SETTLE_S / size
        false_alarms = _false_alarms(net, set(net.nodes))
        first_s, all_s = _detection_times(net)
        total_bytes_per_s = (_sent_bytes(net) / net.now) / size
        name = f'membership.{size}'
        results.append(
            _figure(
                f'{name}.bytes-quiet',
                'B/s',
                settled_bytes_per_s,
                BYTES_BOUND_PER_S,
            )
        )
        results.append(
            _figure(
                f'{name}.bytes', 'B/s', total_bytes_per_s, BYTES_BOUND_PER_S
            )
        )
        results.append(_figure(f'{name}.first-sees', 's', first_s, None))
        results.append(
            _figure(f'{name}.all-see', 's', all_s, DETECTION_BOUND_S)
        )
        results.append(
            _figure(f'{name}.false-alarms', 'members', false_alarms, 0.0)
        )
    return results


def _figure(
    name: str, unit: str, value: float, bound: float | None
) -> figure.Figure:
    return figure.Figure(name=name, unit=unit, value=value, bound=bound)


def _sent_bytes(net: Net) -> int:
    return sum(node.sent_bytes for node in net.nodes.values())


def _false_alarms(net: Net, up: set[str]) -> float:
    return float(sum(len(up - net.seen_by(name)) for name in up))


def _detection_times(net: Net) -> tuple[float, float]:
    """Stops an instance; returns when the first and the last one notice."""
    start_s = net.now
    net.nodes['i1'].up = False
    others = [name for name in net.nodes if name != 'i1']
    first_s = WATCH_S
    while net.now < start_s + WATCH_S:
        net.run(net.now + TICK_S)
        unaware = sum('i1' in net.seen_by(name) for name in others)
        if unaware < len(others):
            first_s = min(first_s, net.now - start_s)
        if not unaware:
            return first_s, net.now - start_s
    return first_s, WATCH_S
