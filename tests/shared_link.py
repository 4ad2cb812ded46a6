"""A slow link that all bytes to one instance share, in real time."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

from oleanderdrift.gateway import channel
from standins import relay
from tests import path_fleet

# What the link carries for one connection before it goes on with another.
PIECE_BYTES: typing.Final = 16_384
HANDSHAKE_BYTES: typing.Final = 64
BYTES_PER_MEGABIT: typing.Final = 125_000


@attrs.define(kw_only=True)
class SharedLink:
    """Carries the bytes to an instance in the order in which they came."""

    mbps: float
    free: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def carry(self, size: int) -> None:
        """Waits until the link has carried some bytes."""
        while size > 0:
            piece = min(size, PIECE_BYTES)
            async with self.free:
                await asyncio.sleep(piece / (self.mbps * BYTES_PER_MEGABIT))
            size -= piece


@attrs.define(kw_only=True)
class PacedLink(relay.Link):
    """A relay's link whose answers come over a shared link."""

    shared: SharedLink
    clients: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects a client to the target."""
        self.clients.add(writer)
        await super().accept(reader, writer)

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards bytes; those to the client wait for the shared link."""
        if writer not in self.clients:
            await super().forward(reader, writer)
            return
        with contextlib.closing(writer), contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                await self.flowing.wait()
                await self.shared.carry(len(data))
                writer.write(data)
                await writer.drain()


async def paced_link(port: int, shared: SharedLink) -> PacedLink:
    """Returns a link to a port whose answers come over a shared link."""
    flowing = asyncio.Event()
    flowing.set()
    link = PacedLink(
        address=path_fleet.HOST, port=port, flowing=flowing, shared=shared
    )
    link.server = await asyncio.start_server(link.accept, path_fleet.HOST, 0)
    return link


async def slow_down(
    paths: path_fleet.PathFleet, mbps: float
) -> tuple[SharedLink, path_fleet.Links]:
    """Puts the first instance behind a slow link."""
    shared, links = SharedLink(mbps=mbps), paths.links[0]
    for port in paths.ports:
        links.by_port[port] = await paced_link(port, shared)
    board = paths.fleet.forwarders[0].board
    board.link.mbps = mbps

    async def connect(
        host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        async with asyncio.timeout(timeout_s):
            await shared.carry(HANDSHAKE_BYTES)
            return await links.connect(host, port, timeout_s)

    paths.fleet.forwarders[0].attempts.pool.connect = connect
    return shared, links


async def _send_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Sends bytes until the connection breaks."""
    with contextlib.closing(writer), contextlib.suppress(OSError):
        while True:
            writer.write(bytes(PIECE_BYTES))
            await writer.drain()


async def _read(connection: channel.Channel) -> None:
    """Takes all that arrives on a connection."""
    while await connection.protocol.read():
        pass


@contextlib.asynccontextmanager
async def fill(
    paths: path_fleet.PathFleet, shared: SharedLink, connections: int
) -> collections.abc.AsyncIterator[None]:
    """Has other connections of the first instance take its link."""
    pool = paths.fleet.forwarders[0].attempts.pool
    server = await asyncio.start_server(_send_without_end, path_fleet.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    paths.links[0].by_port[port] = await paced_link(port, shared)
    opened = [
        await pool.open(path_fleet.HOST, port, path_fleet.WAIT_S)
        for _ in range(connections)
    ]
    readers = [asyncio.create_task(_read(one)) for one in opened]
    try:
        yield
    finally:
        server.close()
        for one in readers:
            one.cancel()
        for connection in opened:
            connection.close()
