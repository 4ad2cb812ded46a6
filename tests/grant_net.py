"""A simulated fleet whose instances grant tokens to each other's turns.

It has no sockets and runs in virtual time.
"""

import asyncio
import collections
import collections.abc
import random
import typing

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
TURN_S: typing.Final = 0.3


@attrs.define(kw_only=True)
class TimedLog(gateway_support.MemoryLog):
    """A log whose calls take latency_s."""

    latency_s: float = STORE_S

    async def append(self, *call: typing.Any) -> int:
        """Appends after the latency."""
        await asyncio.sleep(self.latency_s)
        return await super().append(*call)

    async def read(
        self, *call: typing.Any, **options: typing.Any
    ) -> typing.Any:
        """Reads after the latency."""
        await asyncio.sleep(self.latency_s)
        return await super().read(*call, **options)


class Events(event_log.EventLog):
    """Counts events in place of logging them."""

    def __init__(self, counts: collections.Counter[str]) -> None:
        super().__init__()
        self.counts = counts

    def info(self, event: str, **values: object) -> None:
        """Counts an event."""
        self.counts[event] += 1


class Wire:
    """The transport of one side of a simulated connection."""

    def __init__(self, net: 'Net', own: 'Node', other: 'Node') -> None:
        self.net = net
        self.ends = (own, other)
        self.link: grant_links.Link | None = None
        self.peer: Wire | None = None
        self.due = 0.0
        self.written: list[bytes] = []

    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        """Returns something that takes options."""
        return self if name == 'socket' else default

    def setsockopt(self, *option: object) -> None:
        """Does nothing."""

    def get_write_buffer_size(self) -> int:
        """Returns that all was sent."""
        return 0

    def write(self, data: bytes) -> None:
        """Delivers bytes in order, late, twice or not at all."""
        self.written.append(data)
        loop = asyncio.get_running_loop()
        if self.net.is_lost(*self.ends):
            return
        self.due = max(self.due, loop.time() + self.net.delay_s())
        loop.call_at(self.due, self.deliver, data)
        if self.net.happens(self.net.repeated):
            again = self.due + self.net.chance.uniform(0, TURN_S)
            loop.call_at(again, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        """Passes bytes to the other side, if it lives."""
        assert self.peer is not None
        link = self.peer.link
        if link is not None and not link.is_closed and self.ends[1].is_alive:
            # A repeated Hello would end the connection.
            if data != self.written[0] or not link.name:
                link.data_received(data)

    def abort(self) -> None:
        """Ends both sides."""
        for wire in (self, self.peer):
            if wire is not None and wire.link is not None:
                link, wire.link = wire.link, None
                link.connection_lost(None)

    close = abort


@attrs.define(kw_only=True, eq=False)
class Node:
    """An instance; a killed one sends and receives nothing more."""

    name: str
    flow: turn_flow.TurnFlow
    is_alive: bool = True
    is_cut: bool = False

    def instance(self) -> relays.Instance:
        """Returns what its peers know of it."""
        return relays.Instance(
            name=self.name,
            data_centre='north',
            address=f'{self.name}:1',
            cores=1.0,
            grant_address=f'{self.name}:3',
        )


@attrs.define(kw_only=True)
class Net:
    """Instances by name with one store; lost and repeated are shares."""

    chance: random.Random = attrs.field(factory=lambda: random.Random(1))
    log: TimedLog = attrs.field(factory=TimedLog)
    lost: float = 0.0
    late: float = 0.0
    repeated: float = 0.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)
    turns: int = 0

    def happens(self, share: float) -> bool:
        """Returns whether something happens that does so at times."""
        return share > 0 and self.chance.random() < share

    def is_lost(self, own: Node, other: Node) -> bool:
        """Returns whether bytes between two instances are lost."""
        cut = own.is_cut or other.is_cut or not own.is_alive
        return cut or self.happens(self.lost)

    def delay_s(self) -> float:
        """Returns how long bytes are on their way."""
        return (
            self.chance.uniform(0, 0.15)
            if self.happens(self.late)
            else (LINK_S)
        )

    def start(self, name: str) -> Node:
        """Starts an instance, or another in place of a killed one."""
        board = gateway_support.board()
        board.freshness.confirm(float('inf'), 0.0)
        board.settings = attrs.evolve(
            board.settings, instance=name, grant_listen=f'{name}:3'
        )
        node = Node(
            name=name,
            flow=turn_flow.TurnFlow(board, self.log, Events(self.events)),
        )

        async def dial(link: grant_links.Link, host: str, port: int) -> None:
            await asyncio.sleep(LINK_S)
            other = self.nodes[host]
            if not other.is_alive or self.is_lost(node, other):
                raise ConnectionRefusedError
            self.connect(node, link, other)

        node.flow.grants.links.dial = dial
        self.nodes[name] = node
        return node

    def connect(self, own: Node, link: grant_links.Link, other: Node) -> None:
        """Connects a link to another instance."""
        accepted = grant_links.Link(other.flow.grants.links)
        here, there = Wire(self, own, other), Wire(self, other, own)
        here.link, here.peer, there.link, there.peer = (
            link,
            there,
            accepted,
            here,
        )
        link.connection_made(typing.cast(asyncio.Transport, here))
        accepted.connection_made(typing.cast(asyncio.Transport, there))

    def meet(self) -> None:
        """Has all instances hear all that live."""
        for node in self.nodes.values():
            board = node.flow.board
            board.instances = len(self.nodes)
            for other in self.nodes.values():
                if other is node:
                    continue
                if other.is_alive and not other.flow.board.stopping:
                    board.grantors.note_state(other.instance())
                else:
                    board.grantors.forget(other.name)

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

    def grantor(self, program: str) -> Node:
        """Returns the instance that all choose for a program."""
        node = next(iter(self.nodes.values()))
        found = node.flow.grants.client.grantor_of(program, 0.0)
        assert found is not None
        return self.nodes[found.name]

    def others(self, program: str) -> list[Node]:
        """Returns the instances that are not a program's grantor."""
        grantor = self.grantor(program)
        return [one for one in self.nodes.values() if one is not grantor]

    async def begin(
        self, node: Node, program: str, tokens: int, budget: int
    ) -> progress_lib.Progress:
        """Begins a turn; raises ResultError if it is refused."""
        loop = asyncio.get_running_loop()
        self.turns += 1
        now = loop.time()
        request = gateway_support.request(
            request_id=f'q{self.turns}',
            program_id=program,
            token_budget=budget,
            max_tokens=tokens,
            received=now,
            deadline=now + 5.0,
        )
        progress = progress_lib.Progress(
            admitted=gateway_support.admitted(request=request),
            body=b'',
            deadline=now + 5.0,
            fingerprints=typing.cast(typing.Any, None),
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
        """Runs a turn; returns the tokens used, or the code of a refusal.

        A code is negative.  A killed instance reports nothing.
        """
        try:
            progress = await self.begin(node, program, tokens, budget)
        except errors.ResultError as error:
            return -error.code.number
        progress.tokens = (
            self.chance.randrange(tokens + 1) if used is None else used
        )
        await asyncio.sleep(self.chance.uniform(0.01, TURN_S))
        if node.is_alive:
            node.flow.settle(progress)
        return progress.tokens


async def with_housekeeping(
    net: Net, play: collections.abc.Awaitable[None]
) -> None:
    """Plays a scenario beside the periodic work."""
    task = asyncio.create_task(net.housekeep())
    try:
        await play
    finally:
        task.cancel()
