"""Typed messages between instances over ZeroMQ.

A ROUTER socket receives the messages of all peers; a DEALER socket for
each peer sends to it and receives its replies.  A message names its
sender, and a request has a correlation id.

A peer that has not replied for a while is pinged, so that one that has
stopped is detected long before the request's own time-out.  A reply to a
request that has timed out is passed to on_late, so that whatever it
granted can be released.  Every connection has heartbeats, and one that
fell silent is closed and replaced by a new one.
"""

import asyncio
import collections.abc
import itertools
import math
import time
import typing

import attrs
import zmq
from zmq.eventloop import zmqstream

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import logs
from oleanderdrift import messages

HEARTBEAT_INTERVAL_MS: typing.Final = 1_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 3_000
HIGH_WATER_MARK: typing.Final = 10_000
PING_AFTER_S: typing.Final = 0.5
PING_TIMEOUT_S: typing.Final = 0.5
_ID_BYTES: typing.Final = 8
_ONE_WAY: typing.Final = bytes(_ID_BYTES)

Handler: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message],
    collections.abc.Awaitable[messages.Message | None],
]
LateHandler: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], None
]


@attrs.define(kw_only=True)
class Connection:
    """The connection to one peer, with the requests that await replies."""

    address: str
    stream: typing.Any
    pending_replies: dict[bytes, asyncio.Future[messages.Message]] = (
        attrs.field(factory=dict)
    )
    last_received_at: float = -math.inf


class Peers:
    """The peer adapter of one instance."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        port: int,
        handler: Handler,
        on_late: LateHandler,
    ) -> None:
        self.name = name.encode()
        self.handler = handler
        self.on_late = on_late
        self.connections: dict[str, Connection] = {}
        self.sent_bytes = 0
        self.context = zmq.Context()
        self.correlation = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        router = self.context.socket(zmq.ROUTER)
        _set_options(router)
        self.port = port or router.bind_to_random_port(f'tcp://{address}')
        if port:
            router.bind(f'tcp://{address}:{port}')
        self.router = zmqstream.ZMQStream(router)
        self.router.on_recv(self._on_request)

    def close(self) -> None:
        """Closes every socket and discards unsent messages."""
        self.router.close(linger=0)
        for connection in self.connections.values():
            connection.stream.close(linger=0)
        self.connections.clear()
        self.context.destroy(linger=0)

    async def request(
        self, address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a request to a peer's address (IP:port) and awaits the reply.

        Raises ResultError(PEER_UNREACHABLE) if none arrives in time, and
        the peer's own ResultError if it replied with ErrorReply.
        """
        connection = self._get_connection(address)
        deadline_s = time.monotonic() + timeout_s
        try:
            reply = await self._exchange(connection, message, deadline_s)
        except TimeoutError as error:
            self._close_unresponsive(connection)
            raise errors.ResultError(
                codes.PEER_UNREACHABLE, f'no reply from {address}'
            ) from error
        if isinstance(reply, messages.ErrorReply):
            raise _result_error(reply)
        return reply

    async def _exchange(
        self,
        connection: Connection,
        message: messages.Message,
        deadline_s: float,
    ) -> messages.Message:
        """Awaits a reply, and pings the peer while it is outstanding."""
        correlation = next(self.correlation).to_bytes(_ID_BYTES, 'big')
        future: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        connection.pending_replies[correlation] = future
        try:
            self._send(connection, correlation, message)
            while True:
                remaining_s = deadline_s - time.monotonic()
                done, _ = await asyncio.wait(
                    {future}, timeout=min(remaining_s, PING_AFTER_S)
                )
                if done:
                    return future.result()
                if remaining_s <= PING_AFTER_S:
                    raise TimeoutError
                await self._ping(connection)
        finally:
            connection.pending_replies.pop(correlation, None)

    async def _ping(self, connection: Connection) -> None:
        deadline_s = time.monotonic() + PING_TIMEOUT_S
        if time.monotonic() < connection.last_received_at + PING_AFTER_S:
            return
        await self._exchange(connection, messages.Ping(), deadline_s)

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message that needs no reply; it may be lost."""
        try:
            self._send(self._get_connection(address), _ONE_WAY, message)
        except errors.ResultError:
            logs.info('peer-send-dropped', peer=address)

    def _send(
        self,
        connection: Connection,
        correlation: bytes,
        message: messages.Message,
    ) -> None:
        frames = [correlation, self.name, codec.encode(message)]
        try:
            _send_nonblocking(connection.stream, frames)
        except zmq.Again as error:
            raise errors.ResultError(
                codes.PEER_UNREACHABLE,
                f'{connection.address} is not connected',
            ) from error
        self.sent_bytes += sum(len(frame) for frame in frames)

    def _get_connection(self, address: str) -> Connection:
        connection = self.connections.get(address)
        if connection is None:
            socket = self.context.socket(zmq.DEALER)
            _set_options(socket)
            socket.connect(f'tcp://{address}')
            stream = zmqstream.ZMQStream(socket)
            connection = Connection(address=address, stream=stream)
            stream.on_recv(lambda frames: self._on_reply(connection, frames))
            self.connections[address] = connection
        return connection

    def _close_unresponsive(self, connection: Connection) -> None:
        # A device on the path may have dropped the connection's state, so
        # the next request uses a new connection.
        if (
            self.connections.get(connection.address) is not connection
            or connection.pending_replies
        ):
            return
        del self.connections[connection.address]
        connection.stream.close(linger=0)

    def _on_reply(self, connection: Connection, frames: list[bytes]) -> None:
        correlation, data = frames
        connection.last_received_at = time.monotonic()
        message = codec.decode(data)
        future = connection.pending_replies.get(correlation)
        if future is None or future.done():
            self.on_late(connection.address, message)
            return
        future.set_result(message)

    def _on_request(self, frames: list[bytes]) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(frames))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, frames: list[bytes]) -> None:
        identity, correlation, sender, data = frames
        try:
            message = codec.decode(data)
            reply: messages.Message | None = messages.SuccessReply()
            if not isinstance(message, messages.Ping):
                reply = await self.handler(sender.decode(), message)
        except errors.ResultError as error:
            reply = failure_message(error)
        except codec.CodecError as error:
            logs.warning('peer-message-undecodable', detail=error)
            return
        if correlation == _ONE_WAY or reply is None:
            return
        encoded = codec.encode(reply)
        self.sent_bytes += len(encoded)
        try:
            _send_nonblocking(self.router, [identity, correlation, encoded])
        except zmq.ZMQError as error:
            logs.info('peer-reply-dropped', detail=error)


def _send_nonblocking(
    stream: zmqstream.ZMQStream, frames: list[bytes]
) -> None:
    """Sends without blocking; raises zmq.Again if the queue is full."""
    stream.socket.send_multipart(frames, zmq.NOBLOCK)
    # ZeroMQ's file descriptor is edge-triggered: the send may have consumed
    # the event of an incoming message, so the stream has to poll again.
    asyncio.get_running_loop().call_soon(_receive_pending, stream)


def _receive_pending(stream: zmqstream.ZMQStream) -> None:
    if not stream.closed():
        stream.flush(zmq.POLLIN)


def failure_message(error: errors.ResultError) -> messages.ErrorReply:
    """Returns the message that carries an error to a peer."""
    return messages.ErrorReply(
        code=error.code.number,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )


def _result_error(message: messages.ErrorReply) -> errors.ResultError:
    return errors.ResultError(
        codes.TABLE[message.code],
        message.detail,
        retry_after_s=message.retry_after_s,
    )


def _set_options(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
