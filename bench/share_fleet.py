"""Simulates several instances that share out the account limits.

The real share modules receive messages, log records and clock readings in
simulated time, and the requests that they admit are counted.  Tests inject
faults into the simulation; the bench takes measurements.
"""

import heapq
import random
import typing

import attrs

from oleanderdrift import codec
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_loans
from oleanderdrift import share_moves
from oleanderdrift import share_state
from oleanderdrift import share_types
from oleanderdrift import share_verdicts

TOLERANCE_TOKENS: typing.Final = 1e-3


@attrs.define(kw_only=True)
class Meter:
    """Checks an account's admissions against an exact token bucket.

    The admissions keep to the limits in every time window if and only if
    the bucket in tokens, full at the start, never goes below zero.
    reference_tokens is the bucket of a reference that serves the whole
    fleet and admits a request whenever it has a token.
    """

    rate_per_s: float
    burst: float
    tokens: float
    reference_tokens: float
    at_s: float = 0.0
    requests: int = 0
    admitted: int = 0
    refused: int = 0
    wrongly_refused: int = 0
    reference_admitted: int = 0
    overspent: int = 0
    waited_s: list[float] = attrs.field(factory=list)

    def fill(self, now: float) -> None:
        """Adds the tokens due by now."""
        gained = (now - self.at_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.reference_tokens = min(self.burst, self.reference_tokens + gained)
        self.at_s = now


@attrs.define(kw_only=True)
class Node:
    """One instance, with its clock and its read position in the stream."""

    state: share_types.Shares
    planner: share_moves.Planner
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0
    cursor: int = 0
    paused: bool = False
    partition: int = 0
    platform_reachable: bool = True
    inbox: list[tuple[str, messages.Message]] = attrs.field(factory=list)
    sent_bytes: int = 0
    sent_messages: int = 0


@attrs.define(kw_only=True)
class Fleet:
    """The instances, the record stream and the messages in flight."""

    rng: random.Random
    accounts: dict[str, model.ClientAccount]
    delay_s: tuple[float, float] = (0.0005, 0.002)
    loss: float = 0.0
    duplication: float = 0.0
    tick_s: float = 0.025
    read_every_ticks: int = 8
    now: float = 0.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    log: list[messages.Message] = attrs.field(factory=list)
    meters: dict[str, Meter] = attrs.field(factory=dict)
    tickets: dict[tuple[str, int], tuple[str, float, bool]] = attrs.field(
        factory=dict
    )
    queue: list[tuple[float, int, str, str, messages.Message]] = attrs.field(
        factory=list
    )
    serial: int = 0
    ticks: int = 0

    def join(self, name: str, data_centre: str, incarnation: str) -> Node:
        """Starts an instance."""
        state = share_state.new(
            instance=name,
            data_centre=data_centre,
            address=name,
            incarnation=incarnation,
            rng=self.rng,
        )
        node = Node(state=state, planner=share_moves.Planner())
        node.clock_rate = 1.0 + self.rng.uniform(-1, 1) * 0.0004
        node.clock_offset_s = self.rng.uniform(0.0, 1e5)
        self.nodes[name] = node
        return node

    def clock(self, node: Node) -> float:
        """Returns the node's own time."""
        return node.clock_offset_s + self.now * node.clock_rate

    def request(self, name: str, account: str) -> None:
        """Sends one request of an account to an instance."""
        node = self.nodes[name]
        meter = self.meter(account)
        meter.fill(self.now)
        meter.requests += 1
        reference_admits = meter.reference_tokens >= 1.0
        if reference_admits:
            meter.reference_tokens -= 1.0
            meter.reference_admitted += 1
        self.serial += 1
        ticket = self.serial
        self.tickets[name, ticket] = (account, self.now, reference_admits)
        decision = share_loans.request(
            node.state, self.clock(node), self.accounts[account], ticket
        )
        self.post(name, decision.sends)
        match decision:
            case share_verdicts.Admitted():
                self.admit(name, ticket)
            case share_verdicts.Refused():
                self.refuse(name, ticket)

    def meter(self, account: str) -> Meter:
        """Returns the account's meter."""
        if account not in self.meters:
            limits = self.accounts[account]
            self.meters[account] = Meter(
                rate_per_s=limits.rate_per_s,
                burst=float(limits.burst),
                tokens=float(limits.burst),
                reference_tokens=float(limits.burst),
                at_s=self.now,
            )
        return self.meters[account]

    def admit(self, name: str, ticket: int) -> None:
        """Counts an admission and checks it against the limits."""
        account, asked_s, _ = self.tickets.pop((name, ticket))
        meter = self.meters[account]
        meter.fill(self.now)
        meter.admitted += 1
        meter.tokens -= 1.0
        meter.waited_s.append(self.now - asked_s)
        if meter.tokens < -TOLERANCE_TOKENS:
            meter.overspent += 1

    def refuse(self, name: str, ticket: int) -> None:
        """Counts a refusal; it is wrong if the reference admitted it."""
        account, _, reference_admits = self.tickets.pop((name, ticket))
        meter = self.meters[account]
        meter.refused += 1
        meter.wrongly_refused += reference_admits

    def post(
        self, sender: str, sends: typing.Iterable[outbound.OutboundMessage]
    ) -> None:
        """Queues messages, subject to loss, duplication and delay."""
        node = self.nodes[sender]
        for send in sends:
            node.sent_messages += 1
            node.sent_bytes += len(codec.encode(send.message))
            copies = 1 + (self.rng.random() < self.duplication)
            for _ in range(copies):
                if self.rng.random() < self.loss:
                    continue
                self.serial += 1
                due_s = self.now + self.rng.uniform(*self.delay_s)
                item = (due_s, self.serial, sender, send.to, send.message)
                heapq.heappush(self.queue, item)

    def run(self, until_s: float) -> None:
        """Delivers messages and runs ticks up to a time."""
        while True:
            tick_s = (self.ticks + 1) * self.tick_s
            if self.queue and self.queue[0][0] <= min(tick_s, until_s):
                due_s, _, sender, to, message = heapq.heappop(self.queue)
                self.now = max(self.now, due_s)
                self.deliver(sender, to, message)
            elif tick_s <= until_s:
                self.now = max(self.now, tick_s)
                self.ticks += 1
                self.tick_all()
            else:
                self.now = max(self.now, until_s)
                return

    def jump(self, seconds: float) -> None:
        """Advances the time while every process is suspended."""
        self.now += seconds
        self.ticks = int(self.now / self.tick_s)

    def deliver(self, sender: str, to: str, message: messages.Message) -> None:
        """Delivers a message, unless sender and receiver are partitioned."""
        node = self.nodes.get(to)
        source = self.nodes.get(sender)
        if (
            node is None
            or source is None
            or node.partition != source.partition
        ):
            return
        if node.paused:
            node.inbox.append((sender, message))
            return
        outcome = share_loans.receive(
            node.state, self.clock(node), sender, message, self.accounts
        )
        self.apply_outcome(to, outcome)

    def apply_outcome(
        self, name: str, outcome: share_verdicts.Outcome
    ) -> None:
        """Carries out an outcome."""
        for ticket in outcome.admitted:
            self.admit(name, ticket)
        for ticket in outcome.refused:
            self.refuse(name, ticket)
        self.post(name, outcome.sends)

    def tick_all(self) -> None:
        """Runs the tick of every instance that is not paused."""
        for index, (name, node) in enumerate(list(self.nodes.items())):
            if node.paused:
                continue
            outcome = share_loans.tick(
                node.state, self.clock(node), self.accounts
            )
            self.apply_outcome(name, outcome)
            if (self.ticks + index) % self.read_every_ticks == 0:
                self.read_and_plan(node)

    def read_and_plan(self, node: Node) -> None:
        """Reads the stream to its end and appends the planned records."""
        if not node.platform_reachable:
            return
        now = self.clock(node)
        while node.cursor < len(self.log):
            record = self.log[node.cursor]
            node.cursor += 1
            share_state.apply_record(node.state, now, node.cursor, record)
        for record in share_moves.plan(
            node.planner, node.state, now, self.live(node)
        ):
            self.append(record)

    def append(self, record: messages.Message) -> None:
        """Appends to the stream; the append may be lost."""
        if self.rng.random() >= self.loss:
            self.log.append(record)

    def live(self, node: Node) -> set[str]:
        """Returns the instances that the node believes to be alive."""
        return {
            name
            for name, other in self.nodes.items()
            if other.partition == node.partition and not other.planner.leaving
        }

    def resume(self, name: str) -> None:
        """Resumes a paused instance and delivers the messages it missed."""
        node = self.nodes[name]
        node.paused = False
        missed, node.inbox = node.inbox, []
        for sender, message in missed:
            self.deliver(sender, name, message)

    def overspent(self) -> int:
        """Returns how many admissions broke the limits."""
        return sum(meter.overspent for meter in self.meters.values())


def make_fleet(
    rng: random.Random, accounts: list[model.ClientAccount]
) -> Fleet:
    """Returns three data centres of three instances, after start-up."""
    fleet = Fleet(rng=rng, accounts={a.name: a for a in accounts})
    for number in range(9):
        fleet.join(f'i{number}', f'dc{number % 3}', '0')
    fleet.run(20.0)
    return fleet
