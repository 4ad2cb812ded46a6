"""A simulated fleet that grants tokens, without sockets, in virtual time."""

import asyncio
import collections
import random
import typing
from unittest import mock

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_links
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import turn_flow
from tests import gateway_support

STORE_S: typing.Final = 0.009
LINK_S: typing.Final = 0.0005
LATE_S: typing.Final = 0.15
TURN_S: typing.Final = 0.3


@attrs.define(kw_only=True)
class TimedLog(gateway_support.MemoryLog):
    """A log whose calls take latency_s."""

    latency_s: float = STORE_S

    async def append(self, *call: typing.Any) -> int:
        """Appends after the latency."""
        await asyncio.sleep(self.latency_s)
        return await super().append(*call)

    async def read(self, *call: typing.Any, **more: typing.Any) -> typing.Any:
        """Reads after the latency."""
        await asyncio.sleep(self.latency_s)
        return await super().read(*call, **more)


class Wire(asyncio.Transport):
    """One side of a simulated connection; bytes may be late or repeated."""

    def __init__(
        self, net: 'Net', link: grant_links.Link, own: 'Node', other: 'Node'
    ) -> None:
        super().__init__({'socket': mock.Mock()})
        self.net, self.own, self.other = net, own, other
        self.link: grant_links.Link | None = link
        self.peer: Wire | None = None
        self.due = 0.0
        self.has_greeted = False

    def get_write_buffer_size(self) -> int:
        """Returns that all was sent."""
        return 0

    def write(self, data: typing.Any) -> None:
        """Delivers bytes in order, and repeated ones at any time."""
        net, loop = self.net, asyncio.get_running_loop()
        if net.loses(self.own, self.other):
            return
        late_s = net.chance.uniform(0, LATE_S) if net.happens(net.late) else 0
        self.due = max(self.due, loop.time() + LINK_S + late_s)
        loop.call_at(self.due, self.deliver, data)
        # A repeated Hello would end the connection.
        if self.has_greeted and net.happens(net.repeated):
            again = self.due + net.chance.uniform(0, TURN_S)
            loop.call_at(again, self.deliver, data)
        self.has_greeted = True

    def deliver(self, data: bytes) -> None:
        """Passes bytes to the other side."""
        link = self.peer.link if self.peer is not None else None
        if link is not None and self.other.is_alive:
            link.data_received(data)

    def abort(self) -> None:
        """Ends both sides."""
        for wire in (self, self.peer):
            if wire is not None and wire.link is not None:
                link, wire.link = wire.link, None
                link.connection_lost(None)


@attrs.define(kw_only=True, eq=False)
class Node:
    """An instance; a killed one sends and receives nothing more."""

    name: str
    flow: turn_flow.TurnFlow
    is_alive: bool = True
    is_cut: bool = False


def instance(name: str, grants: bool = True) -> relays.Instance:
    """Returns what peers know of an instance."""
    return relays.Instance(
        name=name,
        data_centre='north',
        address=f'{name}:1',
        cores=1.0,
        grant_address=f'{name}:3' if grants else '',
    )


@attrs.define(kw_only=True)
class Net:
    """Instances by name with one store; lost, late and repeated are shares.

    own is the grantor of a test's program, and others are the rest.
    """

    chance: random.Random = attrs.field(factory=lambda: random.Random(1))
    log: TimedLog = attrs.field(factory=TimedLog)
    lost: float = 0.0
    late: float = 0.0
    repeated: float = 0.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)
    turns: int = 0
    own: Node = attrs.field(init=False)
    others: list[Node] = attrs.field(init=False)

    def happens(self, share: float) -> bool:
        """Returns whether something happens that does so at times."""
        return share > 0 and self.chance.random() < share

    def loses(self, own: Node, other: Node) -> bool:
        """Returns whether bytes between two instances are lost."""
        is_cut = own.is_cut or other.is_cut or not own.is_alive
        return is_cut or self.happens(self.lost)

    def start(self, name: str) -> None:
        """Starts an instance, or another in place of a killed one."""
        board = gateway_support.board()
        board.freshness.confirm(float('inf'), 0.0)
        board.settings = attrs.evolve(
            board.settings, instance=name, grant_listen=f'{name}:3'
        )
        events = mock.create_autospec(event_log.EventLog, instance=True)
        events.info.side_effect = lambda event, **_: self.events.update(
            [event]
        )
        flow = turn_flow.TurnFlow(board, self.log, events)
        node = self.nodes[name] = Node(name=name, flow=flow)

        async def dial(link: grant_links.Link, host: str, port: int) -> None:
            await asyncio.sleep(LINK_S)
            other = self.nodes[host]
            if not other.is_alive or self.loses(node, other):
                raise ConnectionRefusedError
            self.connect(node, link, other)

        flow.grants.links.dial = dial

    def connect(self, own: Node, link: grant_links.Link, other: Node) -> None:
        """Connects a link to another instance."""
        accepted = grant_links.Link(other.flow.grants.links)
        here = Wire(self, link, own, other)
        there = Wire(self, accepted, other, own)
        here.peer, there.peer = there, here
        link.connection_made(here)
        accepted.connection_made(there)

    def meet(self) -> None:
        """Has all instances hear all that live."""
        for node in self.nodes.values():
            node.flow.board.instances = len(self.nodes)
            grantors = node.flow.board.grantors
            for other in self.nodes.values():
                grantors.forget(other.name)
                is_leaving = other.flow.board.stopping
                if other is not node and other.is_alive and not is_leaving:
                    grantors.note_state(instance(other.name))

    def kill(self, node: Node) -> None:
        """Kills an instance; its connections break."""
        node.is_alive = False
        for link in list(node.flow.grants.links.open):
            if link.transport is not None:
                link.transport.abort()

    async def housekeep(self) -> None:
        """Does what instances do now and then, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.3)
            for node in list(self.nodes.values()):
                if node.is_alive:
                    node.flow.grants.desk.expire(loop.time())
                    await node.flow.budgets.flush(loop.time())

    def split(self, program: str) -> tuple[Node, list[Node]]:
        """Returns a program's grantor, as all choose, and the others."""
        nodes = list(self.nodes.values())
        found = nodes[0].flow.grants.client.grantor_of(program, 0.0)
        assert found is not None
        grantor = self.nodes[found.name]
        return grantor, [one for one in nodes if one is not grantor]

    async def begin(
        self, node: Node, program: str, tokens: int, budget: int
    ) -> progress_lib.Progress:
        """Begins a turn; raises ResultError if it is refused."""
        now = asyncio.get_running_loop().time()
        self.turns += 1
        request = gateway_support.request(
            request_id=f'q{self.turns}',
            program_id=program,
            token_budget=budget,
            max_tokens=tokens,
        )
        progress = progress_lib.Progress(
            admitted=gateway_support.admitted(request=request),
            body=b'',
            deadline=now + 5.0,
            fingerprints=mock.Mock(),
        )
        try:
            await node.flow.prepare(progress)
        except BaseException:
            node.flow.settle(progress)
            raise
        return progress

    async def turn(
        self,
        node: Node,
        program: str,
        tokens: int,
        budget: int,
        used: int | None = None,
    ) -> int:
        """Runs a turn; returns the tokens used, or less the code of a refusal.

        A killed instance reports nothing.
        """
        try:
            progress = await self.begin(node, program, tokens, budget)
        except errors.ResultError as error:
            return -error.code.number
        if used is None:
            used = self.chance.randrange(tokens + 1)
        progress.tokens = used
        await asyncio.sleep(self.chance.uniform(0.01, TURN_S))
        if node.is_alive:
            node.flow.settle(progress)
        return used
