"""TCP relay whose links can be cut, to simulate network partitions.

A link listens on a port of its own and forwards to one target.  While a
link is cut it forwards nothing: open connections stay open but silent,
and new ones are accepted but get no answer.  The bytes sent meanwhile are
delivered once the link is restored, as TCP would do.
"""

import asyncio
import contextlib
import typing

import attrs
import msgspec

from standins import faults
from standins import serving

CHUNK_BYTES: typing.Final = 65_536


@attrs.define(kw_only=True)
class Link:
    """A listening port and the address and port of its target.

    flowing is set while the link is not cut.
    """

    address: str
    port: int
    flowing: asyncio.Event
    server: asyncio.Server | None = None
    connections: int = 0

    @property
    def listening_port(self) -> int:
        """The port for clients to connect to."""
        assert self.server is not None
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects a client to the target and forwards in both directions.

        If the target refuses, the client's connection is reset.
        """
        self.connections += 1
        with contextlib.closing(writer):
            await self.flowing.wait()
            try:
                target_streams = await asyncio.open_connection(
                    self.address, self.port
                )
            except OSError:
                writer.transport.abort()
                return
            target_reader, target_writer = target_streams
            await asyncio.gather(
                self.forward(reader, target_writer),
                self.forward(target_reader, writer),
            )

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards bytes until the sender closes; waits while cut."""
        with contextlib.closing(writer):
            with contextlib.suppress(OSError):
                while data := await reader.read(CHUNK_BYTES):
                    await self.flowing.wait()
                    writer.write(data)
                    await writer.drain()
            await self.flowing.wait()


@attrs.define(kw_only=True)
class Relay:
    """Links by name; they listen on one address."""

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
        """Cuts the links with one of the prefixes; restores all others.

        Returns the names of the cut links.
        """
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
    """The target of a link."""

    address: str
    port: int


class LinkHandler(serving.Handler):
    """Handles requests to open a link."""

    relay: Relay

    async def put(self, name: str) -> None:
        """Opens a link to the target in the body; answers with its port."""
        target = msgspec.json.decode(self.request.body, type=Target)
        link = await self.relay.open(name, target.address, target.port)
        self.write_json({'port': link.listening_port})


class CutHandler(serving.Handler):
    """Handles requests to cut and restore links."""

    relay: Relay

    def put(self) -> None:
        """Cuts the links with a prefix in the body; restores all others."""
        prefixes = msgspec.json.decode(self.request.body, type=list[str])
        self.write_json({'cut': self.relay.cut(prefixes)})


def make_app(address: str = '127.0.0.1') -> serving.Application:
    """Returns a relay application without links."""
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
        faults.ServerState(switches=faults.Switches()),
        [(r'/links/([\w./-]+)', LinkHandler), (r'/cut', CutHandler)],
        report,
        relay=relay,
    )


def main() -> None:
    """Runs the relay until SIGTERM."""
    options = serving.make_parser(__doc__ or '').parse_args()
    application = make_app(options.address)
    asyncio.run(serving.serve(application, options.address, options.port))


if __name__ == '__main__':
    main()
