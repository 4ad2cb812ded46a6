"""Keeps one connection to each instance that grants or asks for tokens.

Either side may open it, and both may then send messages of any kind.
"""

import asyncio
import collections.abc
import socket
import typing

from tornado import netutil

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import settings as settings_lib
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import tunnel_wire

# Connecting goes on for longer than an Ask waits, for the next one.
CONNECT_TIMEOUT_S: typing.Final = 0.25
# A peer says Hello at once.
HELLO_TIMEOUT_S: typing.Final = 1.0
# The largest fleets have 300 instances; the smallest machine has 1,638 file
# descriptors.
MAX_LINKS: typing.Final = 400
# More connections are closed unread.
MAX_CONNECTIONS: typing.Final = MAX_LINKS + 16
# A peer that leaves so much unread has stalled; messages have some 100 bytes.
MAX_UNREAD_BYTES: typing.Final = 65_536
USER_TIMEOUT_MS: typing.Final = 5_000

Dial: typing.TypeAlias = collections.abc.Callable[
    ['Link', str, int], collections.abc.Awaitable[None]
]
Receive: typing.TypeAlias = collections.abc.Callable[
    ['Link', grant_messages.Message], None
]


class Link(asyncio.Protocol):
    """A connection to a peer; its name is empty until it has said Hello.

    expected is the name of the peer that this side has connected to.
    """

    def __init__(self, links: 'GrantLinks', expected: str = '') -> None:
        self.links = links
        self.expected = expected
        self.name = ''
        self.incarnation = 0
        self.reader = grant_messages.reader()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Says Hello, and waits for the peer's."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.links.open.add(self)
        if len(self.links.open) > MAX_CONNECTIONS:
            self.close(f'more than {MAX_CONNECTIONS} connections')
            return
        channel.set_tcp_options(transport, USER_TIMEOUT_MS)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            HELLO_TIMEOUT_S, self.close, f'no message in {HELLO_TIMEOUT_S} s'
        )
        self.write(self.links.hello())

    def write(self, message: grant_messages.Message) -> None:
        """Sends a message to the peer, unless the connection has ended."""
        if self.is_closed or self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.close(f'more than {MAX_UNREAD_BYTES} bytes unread')
            return
        self.transport.write(grant_messages.encode(message))

    def data_received(self, data: bytes) -> None:
        """Applies the messages that are complete."""
        self.links.board.link.note(len(data), clock.monotonic())
        try:
            messages = self.reader.feed(data)
        except tunnel_wire.MalformedMessageError as error:
            self.close(f'malformed: {error}')
            return
        for message in messages:
            if self.is_closed:
                return
            self.apply(message)

    def apply(self, message: grant_messages.Message) -> None:
        """Applies one message; the first has to be Hello, and no other."""
        if isinstance(message, grant_messages.Hello) == bool(self.name):
            self.close(f'malformed: {type(message).__name__} out of place')
        elif isinstance(message, grant_messages.Hello):
            if message.instance != (self.expected or message.instance):
                self.close(f'it is not {self.expected}')
                return
            if not message.instance:
                self.close('malformed: no name')
                return
            self.name = message.instance
            self.incarnation = message.incarnation
            if self.timer is not None:
                self.timer.cancel()
            self.links.note_hello(self)
        else:
            self.links.note_message(self, message)

    def close(self, reason: str) -> None:
        """Closes the connection at once, and logs why."""
        if self.is_closed:
            return
        address = ('', 0)
        if self.transport is not None:
            address = self.transport.get_extra_info('peername') or address
            self.transport.abort()
        self.links.events.info(
            'grant-link-closed',
            peer=self.name or f'{address[0]}:{address[1]}',
            reason=reason,
        )
        self.end()

    def end(self) -> None:
        """Has the asks on this connection end."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.links.note_lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits for this connection."""
        self.end()
        self.links.open.discard(self)


async def _dial(link: Link, host: str, port: int) -> None:
    """Connects a link to a peer; raises OSError."""
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: link, host, port)


class GrantLinks:
    """The connections of this instance; by_name has the latest of each peer.

    receive and lost are called with messages other than Hello, and with
    connections that have ended.
    """

    def __init__(
        self,
        board: board_lib.Board,
        events: event_log.EventLog,
        incarnation: int,
    ) -> None:
        self.board = board
        self.events = events
        self.incarnation = incarnation
        self.open: set[Link] = set()
        self.by_name: dict[str, Link] = {}
        self.dial: Dial = _dial
        self.listeners: list[socket.socket] = []
        self.receive: list[Receive] = []
        self.lost: list[collections.abc.Callable[[Link], None]] = []
        self.connecting: shared_work.SharedTasks[Link] = (
            shared_work.SharedTasks(MAX_LINKS)
        )

    def hello(self) -> grant_messages.Hello:
        """Returns the first message of this instance."""
        return grant_messages.Hello(
            instance=self.board.settings.instance,
            incarnation=self.incarnation,
        )

    def listen(self, host: str, port: int) -> None:
        """Starts listening; raises OSError."""
        self.listeners = netutil.bind_sockets(
            port, host, backlog=MAX_CONNECTIONS
        )

    async def serve(self) -> None:
        """Accepts connections until cancelled."""
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(
                lambda: Link(self), sock=one, backlog=MAX_CONNECTIONS
            )
            for one in self.listeners
        ]
        try:
            await asyncio.Event().wait()
        finally:
            for server in servers:
                server.close()

    def ready(self, name: str) -> Link | None:
        """Returns the connection to a peer, if there is one."""
        return self.by_name.get(name)

    async def get(self, instance: relays.Instance) -> Link:
        """Returns a connection to a peer, which is opened if need be.

        Raises OSError, TimeoutError, or ResultError if too many are being
        opened.
        """
        return self.by_name.get(instance.name) or await self.connecting.get(
            instance.name, lambda: self.connect(instance)
        )

    async def connect(self, instance: relays.Instance) -> Link:
        """Opens a connection to a peer."""
        if len(self.open) >= MAX_LINKS:
            raise ConnectionError(f'{MAX_LINKS} connections are open')
        link = Link(self, instance.name)
        try:
            host, port = settings_lib.split_address(instance.grant_address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.dial(link, host, port)
        except (ValueError, OverflowError) as error:
            raise ConnectionError('the address cannot be used') from error
        if not link.is_closed:
            # The peer's Hello may be on its way, and may have come already.
            self.by_name.setdefault(instance.name, link)
        return self.by_name.get(instance.name, link)

    def note_hello(self, link: Link) -> None:
        """Uses the connection for what is sent to its peer from now on."""
        self.by_name[link.name] = link

    def note_message(
        self, link: Link, message: grant_messages.Message
    ) -> None:
        """Passes a message on to those who receive them."""
        for receive in self.receive:
            receive(link, message)

    def note_lost(self, link: Link) -> None:
        """Forgets a connection that has ended."""
        for name in [n for n, one in self.by_name.items() if one is link]:
            del self.by_name[name]
        for lost in self.lost:
            lost(link)

    def close(self) -> None:
        """Closes all connections once what was written is sent."""
        for link in list(self.open):
            if link.transport is not None:
                link.transport.close()
