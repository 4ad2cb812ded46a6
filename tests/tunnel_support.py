"""A test harness: an instance that carries tunnels, and scripted upstreams."""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import typing

import attrs

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import model
from oleanderdrift.gateway import tunnel_client
from oleanderdrift.gateway import tunnel_server
from tests import gateway_support

HOST: typing.Final = '127.0.0.1'
# Longer than any connection here takes.
TIMEOUT_S: typing.Final = 2.0
WAIT_S: typing.Final = 5.0


class RecordingLog(event_log.EventLog):
    """Records the events' values by kind, without writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.recorded: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **values: object) -> None:
        """Records an event."""
        self.recorded.append((event, values))

    def reasons(self, event: str) -> list[str]:
        """Returns the reasons that the events of a kind name."""
        return [
            str(values['reason'])
            for name, values in self.recorded
            if name == event
        ]


@attrs.define(kw_only=True)
class Connection:
    """A connection to a scripted upstream."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def reset(self) -> None:
        """Resets the connection."""
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.writer.transport.abort()


@attrs.define(kw_only=True)
class Upstream:
    """Accepts connections; each waits in accepted to be scripted."""

    port: int = 0
    accepted: asyncio.Queue[Connection] = attrs.field(factory=asyncio.Queue)
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Hands a connection to the test."""
        self.writers.append(writer)
        await self.accepted.put(Connection(reader=reader, writer=writer))


@attrs.define(kw_only=True)
class Carrier:
    """An instance that carries tunnels to one upstream."""

    board: board_lib.Board
    server: tunnel_server.TunnelServer
    events: RecordingLog
    upstream: Upstream
    serving: asyncio.Task[None]

    @property
    def address(self) -> str:
        """Returns where the instance accepts tunnels."""
        return f'{HOST}:{self.server.listeners[0].getsockname()[1]}'

    @property
    def entry(self) -> model.UpstreamEntry:
        """Returns the upstream's entry."""
        return self.board.upstreams.by_id['u1'].entry

    async def open(
        self,
        entry: model.UpstreamEntry | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> channel.Channel:
        """Opens a tunnel to the upstream, or to another entry."""
        return await tunnel_client.open_tunnel(
            self.address, entry or self.entry, timeout_s, via='north-2'
        )

    def only(self) -> tunnel_server.PeerSide:
        """Returns the peer's connection of the only tunnel."""
        (found,) = self.server.open
        return found

    async def open_both(self) -> tuple[channel.Channel, Connection]:
        """Opens a tunnel; returns both of its ends."""
        opened = await self.open()
        return opened, await self.upstream.accepted.get()


@contextlib.asynccontextmanager
async def run_carrier() -> collections.abc.AsyncIterator[Carrier]:
    """Runs an instance that carries tunnels, and its upstream."""
    upstream = Upstream()
    listening = await asyncio.start_server(upstream.accept, HOST, 0)
    upstream.port = listening.sockets[0].getsockname()[1]
    board = gateway_support.board()
    board.upstreams.put(gateway_support.entry('u1', port=upstream.port))
    events = RecordingLog()
    server = tunnel_server.TunnelServer(board, events)
    server.listen(HOST, 0)
    serving = asyncio.create_task(server.serve())
    try:
        async with asyncio.timeout(WAIT_S * 2):
            yield Carrier(
                board=board,
                server=server,
                events=events,
                upstream=upstream,
                serving=serving,
            )
    finally:
        serving.cancel()
        listening.close()
        for one in list(server.open):
            assert one.transport is not None
            one.transport.abort()
        for writer in upstream.writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_peer(
    script: collections.abc.Callable[
        [asyncio.StreamReader, asyncio.StreamWriter],
        collections.abc.Awaitable[None],
    ],
) -> collections.abc.AsyncIterator[str]:
    """Runs a scripted peer; yields its address."""
    writers = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        await script(reader, writer)

    server = await asyncio.start_server(accept, HOST, 0)
    try:
        yield f'{HOST}:{server.sockets[0].getsockname()[1]}'
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)


async def wait_until(
    condition: collections.abc.Callable[[], bool], within_s: float = WAIT_S
) -> None:
    """Waits until a condition holds; raises TimeoutError."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.005)
