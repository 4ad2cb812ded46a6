"""The messages of a tunnel between two instances, and their codec.

An instance that cannot reach an upstream has a peer carry the bytes of a
connection.  It sends an Open and, once it has read Opened, the upstream's
bytes as they are.  The peer sends messages all the time, so that the end of
the upstream's connection can be told from that of the tunnel.

Each message is preceded by its length.
"""

import typing

import msgspec

LENGTH_BYTES: typing.Final = 4
MAX_OPEN_BYTES: typing.Final = 1_024
# The most bytes in one Data message.
MAX_DATA_BYTES: typing.Final = 32_768
# Its kind and the encoded lengths need a few bytes more.
MAX_MESSAGE_BYTES: typing.Final = MAX_DATA_BYTES + 64


class Open(msgspec.Struct, tag='open', array_like=True, frozen=True):
    """Asks for a connection to one start of an upstream."""

    incarnation: str


class Opened(msgspec.Struct, tag='opened', array_like=True, frozen=True):
    """The peer has connected to the upstream."""


class Refused(msgspec.Struct, tag='refused', array_like=True, frozen=True):
    """The upstream refused the peer's connection."""


class Unreachable(
    msgspec.Struct, tag='unreachable', array_like=True, frozen=True
):
    """The peer has not connected to the upstream, for a reason."""

    reason: str


class Unavailable(
    msgspec.Struct, tag='unavailable', array_like=True, frozen=True
):
    """The peer has not tried to connect, for a reason."""

    reason: str


class Data(msgspec.Struct, tag='d', array_like=True, frozen=True):
    """Bytes that the upstream sent."""

    data: bytes


class End(msgspec.Struct, tag='end', array_like=True, frozen=True):
    """The upstream closed its connection after its last byte."""


class Reset(msgspec.Struct, tag='reset', array_like=True, frozen=True):
    """The connection to the upstream broke."""


class Leaving(msgspec.Struct, tag='leaving', array_like=True, frozen=True):
    """The peer is stopping, and carries no request after this one."""


Message: typing.TypeAlias = (
    Opened | Refused | Unreachable | Unavailable | Data | End | Reset | Leaving
)
Received = typing.TypeVar('Received')
_OPEN_DECODER: typing.Final = msgspec.msgpack.Decoder(Open)
_MESSAGE_DECODER: typing.Final = msgspec.msgpack.Decoder(Message)


class MalformedMessageError(Exception):
    """Bytes that are no message, or one that is too long."""


class Reader(typing.Generic[Received]):
    """Splits received bytes into messages; rest holds the next one's start."""

    def __init__(
        self, decoder: msgspec.msgpack.Decoder[Received], max_bytes: int
    ) -> None:
        self.decoder = decoder
        self.max_bytes = max_bytes
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[Received]:
        """Adds bytes; returns the messages that they complete.

        Raises MalformedMessageError.
        """
        self.rest += data
        found = []
        start = 0
        while len(self.rest) >= start + LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(self.rest[start:body])
            if length > self.max_bytes:
                raise MalformedMessageError(f'{length} bytes')
            if len(self.rest) < body + length:
                break
            start = body + length
            found.append(self.decode(bytes(self.rest[body:start])))
        del self.rest[:start]
        return found

    def decode(self, data: bytes) -> Received:
        """Decodes one message; raises MalformedMessageError."""
        try:
            return self.decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MalformedMessageError(repr(error)) from error


def open_reader() -> Reader[Open]:
    """Returns a reader of what the opening instance sends first."""
    return Reader(_OPEN_DECODER, MAX_OPEN_BYTES)


def message_reader() -> Reader[Message]:
    """Returns a reader of what the carrying instance sends."""
    return Reader(_MESSAGE_DECODER, MAX_MESSAGE_BYTES)


def encode(message: Open | Message) -> bytes:
    """Encodes a message with its length."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body
