"""Opens connections to upstreams whose bytes a peer carries."""

import asyncio

from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import model
from oleanderdrift.gateway import settings
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import tunnel_wire


class UpstreamRefusedError(Exception):
    """The upstream refused the peer's connection."""


class UpstreamUnreachableError(Exception):
    """The peer has not connected to the upstream, for the reason given."""


class PeerUnavailableError(UpstreamUnreachableError):
    """The peer has not tried to connect, so its other tunnels may be sound."""


class _TunnelProtocol(buffering.BufferingProtocol):
    """Buffers the bytes of an upstream that arrive through a tunnel.

    answer is the peer's answer to the Open; None if the tunnel failed first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reader = tunnel_wire.message_reader()
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[tunnel_wire.Message | None] = (
            loop.create_future()
        )

    def data_received(self, data: bytes) -> None:
        """Applies the messages that are complete."""
        try:
            messages = self.reader.feed(data)
        except tunnel_wire.MalformedMessageError:
            self.fail(buffering.Failure.MALFORMED)
            return
        for message in messages:
            self.apply(message)

    def has_unread(self) -> bool:
        """Returns whether bytes wait, or a part of a message."""
        return super().has_unread() or bool(self.reader.rest)

    def apply(self, message: tunnel_wire.Message) -> None:
        """Applies one message."""
        if not self.answer.done():
            self.answer.set_result(message)
            return
        if self.closed is not None:
            return
        match message:
            case tunnel_wire.Data():
                super().data_received(message.data)
            case tunnel_wire.End():
                super().eof_received()
                assert self.transport is not None
                self.transport.close()
            case tunnel_wire.Reset():
                self.fail(buffering.Failure.RESET)
            case tunnel_wire.Leaving():
                self.leave()
            case _:
                self.fail(buffering.Failure.MALFORMED)

    def leave(self) -> None:
        """Ends the tunnel after the request that it carries, if any."""
        self.is_leaving = True
        if self.idle:
            self.fail(buffering.Failure.CLOSED)

    def fail(self, failure: buffering.Failure) -> None:
        """Ends the tunnel; an answer under way has broken off."""
        self.closed = self.closed or failure
        if not self.answer.done():
            self.answer.set_result(None)
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    def eof_received(self) -> bool:
        """Takes the end of the tunnel for a reset: no End came before it."""
        self.fail(buffering.Failure.RESET)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the loss of the tunnel for a reset."""
        self.fail(buffering.Failure.RESET)


async def open_tunnel(
    address: str,
    entry: model.UpstreamEntry,
    timeout_s: float,
    *,
    via: str = '',
) -> channel.Channel:
    """Opens a connection to an upstream through the peer at HOST:PORT.

    via is the peer's name.  Raises UpstreamRefusedError if the upstream
    refused the peer, UpstreamUnreachableError if the peer has not connected
    for another reason, and OSError or TimeoutError if the peer cannot be
    reached.
    """
    message = tunnel_wire.Open(incarnation=entry.incarnation())
    opening = tunnel_wire.encode(message)
    if len(opening) > tunnel_wire.MAX_OPEN_BYTES:
        raise UpstreamUnreachableError('its name is too long')
    async with time_limits.within(timeout_s):
        transport, protocol = await _connect(address)
        try:
            channel.set_tcp_options(transport, channel.TCP_USER_TIMEOUT_MS)
            transport.write(opening)
            _check_opened(await protocol.answer)
        except BaseException:
            transport.abort()
            raise
    return channel.Channel(protocol, via=via)


async def _connect(
    address: str,
) -> tuple[asyncio.Transport, _TunnelProtocol]:
    """Connects to a peer; raises OSError."""
    loop = asyncio.get_running_loop()
    try:
        host, port = settings.split_address(address)
        return await loop.create_connection(_TunnelProtocol, host, port)
    except (ValueError, OverflowError) as error:
        raise ConnectionError('the address cannot be used') from error


def _check_opened(answer: tunnel_wire.Message | None) -> None:
    match answer:
        case tunnel_wire.Opened():
            return
        case tunnel_wire.Refused():
            raise UpstreamRefusedError
        case tunnel_wire.Unreachable():
            raise UpstreamUnreachableError(answer.reason)
        case tunnel_wire.Unavailable():
            raise PeerUnavailableError(answer.reason)
        case _:
            raise ConnectionError(f'the peer answered {answer!r}')
