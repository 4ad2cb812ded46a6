"""Carries bytes between peers and the upstreams that they cannot reach.

The peer keeps all that a request needs.  Here, a tunnel is two connections
and the bytes between them; it only ever leads to an upstream that this
instance knows.
"""

import asyncio
import socket
import typing

from tornado import netutil

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import model
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import tunnel_wire

# A peer sends its Open at once.
OPEN_TIMEOUT_S: typing.Final = 1.0
# The peer waits for the answer little longer than for a connection.
CONNECT_TIMEOUT_S: typing.Final = 0.15
# A connection is no evidence if the own link was full for a part of it.
HELD_S: typing.Final = 0.05
# Of connections that are not accepted yet.
BACKLOG: typing.Final = 320
# asyncio accepts as many before the first is counted.
ACCEPTED_AT_ONCE: typing.Final = 4
# A connection with more unsent bytes has its source wait.
WRITE_BUFFER_BYTES: typing.Final = 32_768
# A peer whose caller reads slowly has no window meanwhile, and TCP counts
# that as unacknowledged.
PEER_USER_TIMEOUT_MS: typing.Final = 10_000


class TunnelServer:
    """Accepts tunnels; open holds the connections of peers.

    buffer receives the bytes of all connections, each in its turn.
    """

    def __init__(
        self, board: board_lib.Board, events: event_log.EventLog
    ) -> None:
        self.board = board
        self.events = events
        self.open: set[PeerSide] = set()
        self.buffer = memoryview(bytearray(tunnel_wire.MAX_DATA_BYTES))
        self.listeners: list[socket.socket] = []

    def listen(self, host: str, port: int) -> None:
        """Starts listening; raises OSError."""
        self.listeners = netutil.bind_sockets(port, host, backlog=BACKLOG)

    async def serve(self) -> None:
        """Accepts connections until cancelled."""
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(
                lambda: PeerSide(self), sock=one, backlog=ACCEPTED_AT_ONCE
            )
            for one in self.listeners
        ]
        for one in self.listeners:
            one.listen(BACKLOG)
        try:
            await asyncio.Event().wait()
        finally:
            for server in servers:
                server.close()

    def leave(self) -> None:
        """Has the peers end their tunnels after the requests on them."""
        for peer_side in self.open:
            peer_side.leave()

    def close(self) -> None:
        """Ends all tunnels at once; a request on one may have run."""
        for peer_side in list(self.open):
            peer_side.close()

    def find(self, incarnation: str) -> model.UpstreamEntry | None:
        """Returns the entry of one start of an upstream, if it is known."""
        upstream_id = incarnation.partition(model.INCARNATION_SEPARATOR)[0]
        known = self.board.upstreams.by_id.get(upstream_id)
        if known is None or known.entry.incarnation() != incarnation:
            return None
        return known.entry

    def reason_to_refuse(self) -> str:
        """Returns why no tunnel is opened now; empty if one may be."""
        if self.board.stopping:
            return 'the instance is stopping'
        most = self.board.caller_limits.tunnels
        if sum(one.opening is not None for one in self.open) > most:
            return f'more than {most} tunnels'
        return ''

    def make_room(self) -> None:
        """Closes the oldest of too many connections that ask for nothing."""
        waiting = [one for one in self.open if one.opening is None]
        if len(waiting) > self.board.caller_limits.opening:
            oldest = min(waiting, key=lambda one: one.began)
            oldest.refuse(f'{len(waiting)} connections wait for a message')


class PeerSide(asyncio.BufferedProtocol):
    """The connection from a peer; upstream_side is None until it is open."""

    def __init__(self, server: TunnelServer) -> None:
        self.server = server
        self.reader = tunnel_wire.open_reader()
        self.transport: asyncio.Transport | None = None
        self.upstream_side: UpstreamSide | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.began = clock.monotonic()
        self.holder: held_bytes.Holder | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the Open."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.server.open.add(self)
        self.server.make_room()
        channel.set_tcp_options(transport, PEER_USER_TIMEOUT_MS)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            OPEN_TIMEOUT_S, self.refuse, f'no message in {OPEN_TIMEOUT_S} s'
        )

    def log_refused(self, incarnation: str, reason: str) -> None:
        """Logs why a tunnel was not opened."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info('peername', ('', 0))
        self.server.events.info(
            'tunnel-refused',
            upstream=incarnation.partition(model.INCARNATION_SEPARATOR)[0],
            peer=f'{host}:{port}',
            reason=reason,
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes bytes on to the upstream, or reads the Open."""
        self.server.board.link.note(nbytes, clock.monotonic())
        data = bytes(self.server.buffer[:nbytes])
        if self.upstream_side is not None:
            self.upstream_side.write(data)
            return
        try:
            messages = self.reader.feed(data)
        except tunnel_wire.MalformedMessageError as error:
            self.refuse(f'malformed: {error}')
            return
        is_early = bool(messages and self.reader.rest) or len(messages) > 1
        if self.opening is not None or is_early:
            self.refuse('bytes came before the answer')
            return
        if not messages:
            return
        assert self.timer is not None
        self.timer.cancel()
        self.opening = asyncio.create_task(self.connect(messages[0]))

    def refuse(self, reason: str) -> None:
        """Closes a connection that does not keep to the protocol."""
        self.server.board.refusals['tunnels'] += 1
        self.log_refused('', reason)
        self.close()

    async def connect(self, message: tunnel_wire.Open) -> None:
        """Connects to the upstream and answers the Open."""
        assert self.transport is not None
        answer = await self.try_connect(message.incarnation)
        self.write(answer)
        if self.upstream_side is not None:
            self.upstream_side.resume_reading()
            if self.server.board.stopping:
                self.leave()
            return
        reason = getattr(answer, 'reason', 'the upstream refused')
        self.log_refused(message.incarnation, reason)
        self.transport.close()

    def leave(self) -> None:
        """Has the peer send no more requests through this instance."""
        if self.upstream_side is not None:
            self.write(tunnel_wire.Leaving())

    def close(self) -> None:
        """Ends the tunnel at once."""
        assert self.transport is not None
        self.server.open.discard(self)
        self.transport.abort()

    def hold(self, count: int) -> None:
        """Counts bytes that wait for the side that reads slowly."""
        assert self.transport is not None
        if self.holder is None:
            host, _ = self.transport.get_extra_info('peername', ('', 0))
            self.holder = self.server.board.held.open(
                f'tunnel {host}', self.stop_for_bytes
            )
        self.holder.grow(count)

    def let_go(self) -> None:
        """Counts no bytes any more."""
        if self.holder is not None:
            self.holder.shrink(self.holder.count)

    def stop_for_bytes(self) -> None:
        """Ends the tunnel for what waits in it."""
        self.refuse('too many bytes wait for a slow reader')

    async def try_connect(self, incarnation: str) -> tunnel_wire.Message:
        """Connects to the upstream; returns the answer to the Open."""
        reason = self.server.reason_to_refuse()
        if reason:
            return tunnel_wire.Unavailable(reason=reason)
        entry = self.server.find(incarnation)
        if entry is None:
            return tunnel_wire.Unavailable(reason='not known')
        loop = asyncio.get_running_loop()
        began = clock.monotonic()
        try:
            async with time_limits.within(CONNECT_TIMEOUT_S):
                _, self.upstream_side = await loop.create_connection(
                    lambda: UpstreamSide(self), entry.host, entry.port
                )
        except ConnectionRefusedError:
            return tunnel_wire.Refused()
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            link = self.server.board.link
            if link.held_s(began, clock.monotonic()) > HELD_S:
                # The upstream may be sound, and open tunnels to it as well.
                return tunnel_wire.Unavailable(reason='its own link is full')
            return tunnel_wire.Unreachable(reason=repr(error))
        return tunnel_wire.Opened()

    def write(self, message: tunnel_wire.Message) -> None:
        """Sends a message to the peer."""
        assert self.transport is not None
        self.transport.write(tunnel_wire.encode(message))

    def pause_reading(self) -> None:
        """Reads nothing for now."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Goes on reading."""
        if self.transport is not None:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Has the upstream wait: the peer does not read."""
        if self.upstream_side is not None:
            self.upstream_side.pause_reading()
        if self.transport is not None:
            self.hold(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Goes on reading from the upstream."""
        self.let_go()
        if self.upstream_side is not None:
            self.upstream_side.resume_reading()

    def eof_received(self) -> bool:
        """Ends the tunnel at once: a peer that closes has left."""
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the upstream's connection, so that it stops work."""
        self.server.open.discard(self)
        if self.holder is not None:
            self.holder.release()
        if self.timer is not None:
            self.timer.cancel()
        if self.opening is not None:
            self.opening.cancel()
        if self.upstream_side is not None:
            self.upstream_side.abort()


class UpstreamSide(asyncio.BufferedProtocol):
    """The connection to the upstream of a tunnel."""

    def __init__(self, peer_side: PeerSide) -> None:
        self.peer_side = peer_side
        self.transport: asyncio.Transport | None = None
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reads nothing until the peer has its answer."""
        self.transport = typing.cast(asyncio.Transport, transport)
        channel.set_tcp_options(transport, channel.TCP_USER_TIMEOUT_MS)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.transport.pause_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return self.peer_side.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes bytes on to the peer."""
        server = self.peer_side.server
        server.board.link.note(nbytes, clock.monotonic())
        data = bytes(server.buffer[:nbytes])
        self.peer_side.write(tunnel_wire.Data(data=data))

    def write(self, data: bytes) -> None:
        """Sends bytes to the upstream, unless its connection has ended."""
        if not self.has_ended and self.transport is not None:
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Has the peer wait: the upstream does not read."""
        self.peer_side.pause_reading()
        if self.transport is not None:
            self.peer_side.hold(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Goes on reading from the peer."""
        self.peer_side.let_go()
        self.peer_side.resume_reading()

    def pause_reading(self) -> None:
        """Reads nothing for now."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Goes on reading."""
        if self.transport is not None:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Tells the peer that the upstream closed, and whether in order."""
        if buffering.has_unsent(self.transport):
            # It has not taken the whole request.
            self.end(tunnel_wire.Reset())
        else:
            self.end(tunnel_wire.End())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the peer that the connection broke."""
        self.end(tunnel_wire.Reset())

    def end(self, message: tunnel_wire.End | tunnel_wire.Reset) -> None:
        """Tells the peer how the connection ended; the peer then closes."""
        if self.has_ended:
            return
        self.has_ended = True
        self.peer_side.write(message)
        self.peer_side.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once; nobody waits for its bytes."""
        self.has_ended = True
        if self.transport is not None:
            self.transport.abort()
