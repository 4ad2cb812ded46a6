"""A TCP relay whose links can be cut, in place of the network.

A link listens on a port of its own and forwards to one target.  While a
link is cut nothing passes: open connections stay open and go silent, new
ones are accepted and get no answer, and what was sent is delivered once
the link is whole again, as TCP would deliver it.
"""

import asyncio
import typing

import attrs
import msgspec

from standins import faults
from standins import serving

CHUNK_BYTES: typing.Final = 65_536


@attrs.define(kw_only=True)
class Link:
    """One listening port and the target that it leads to."""

    address: str
    port: int
    flowing: asyncio.Event
    server: asyncio.Server | None = None
    connections: int = 0

    @property
    def listening_port(self) -> int:
        """The port that clients connect to."""
        assert self.server is not None
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects a client to the target and pumps both ways."""
        self.connections += 1
        await self.flowing.wait()
        try:
            far = await asyncio.open_connection(self.address, self.port)
        except OSError:
            writer.transport.abort()
            return
        far_reader, far_writer = far
        await asyncio.gather(
            self.pump(reader, far_writer), self.pump(far_reader, writer)
        )

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards bytes while the link is whole."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.flowing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.flowing.wait()
        writer.close()


@attrs.define(kw_only=True)
class Relay:
    """The links by name."""

    address: str
    links: dict[str, Link] = attrs.field(factory=dict)

    async def open(self, name: str, address: str, port: int) -> Link:
        """Opens a link to a target."""
        flowing = asyncio.Event()
        flowing.set()
        link = Link(address=address, port=port, flowing=flowing)
        link.server = await asyncio.start_server(link.accept, self.address, 0)
        self.links[name] = link
        return link

    def cut(self, prefixes: list[str]) -> list[str]:
        """Cuts the links whose names start so; makes the others whole."""
        cut = []
        for name, link in self.links.items():
            if name.startswith(tuple(prefixes)):
                link.flowing.clear()
                cut.append(name)
            else:
                link.flowing.set()
        return cut


@attrs.frozen(kw_only=True)
class Target:
    """Where a link leads to."""

    address: str
    port: int


class LinkHandler(serving.Handler):
    """Opens links."""

    relay: Relay

    async def put(self, name: str) -> None:
        """Opens a link to the target in the body; answers its port."""
        target = msgspec.json.decode(self.request.body, type=Target)
        link = await self.relay.open(name, target.address, target.port)
        self.write_json({'port': link.listening_port})


class CutHandler(serving.Handler):
    """Cuts links."""

    relay: Relay

    def put(self) -> None:
        """Cuts exactly the links with a prefix listed in the body."""
        prefixes = msgspec.json.decode(self.request.body, type=list[str])
        self.write_json({'cut': self.relay.cut(prefixes)})


def make_app(address: str = '127.0.0.1') -> serving.Application:
    """Returns a relay without links as an application."""
    relay = Relay(address=address)

    def report() -> dict[str, typing.Any]:
        return {
            'connections': {
                name: link.connections for name, link in relay.links.items()
            },
            'cut': [
                name
                for name, link in relay.links.items()
                if not link.flowing.is_set()
            ],
        }

    return serving.make_application(
        faults.Frame(switches=faults.Switches()),
        [(r'/links/([\w./-]+)', LinkHandler), (r'/cut', CutHandler)],
        report,
        relay=relay,
    )


def main() -> None:
    """Runs the relay until SIGTERM."""
    options = serving.parser(__doc__ or '').parse_args()
    application = make_app(options.address)
    asyncio.run(serving.serve(application, options.address, options.port))


if __name__ == '__main__':
    main()
