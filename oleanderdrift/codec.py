"""Turns messages into bytes and back: a kind number, then MessagePack."""

import typing

import msgspec

from oleanderdrift import messages

_KIND_BYTES: typing.Final = 2
_NUMBERS: typing.Final[dict[type, bytes]] = {
    kind: number.to_bytes(_KIND_BYTES, 'big')
    for number, kind in messages.KINDS.items()
}
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODERS: typing.Final[dict[bytes, msgspec.msgpack.Decoder[typing.Any]]] = {
    number: msgspec.msgpack.Decoder(kind) for kind, number in _NUMBERS.items()
}


class CodecError(ValueError):
    """The bytes are not a message of a known kind."""


def encode(message: messages.Message) -> bytes:
    """Returns the bytes of a message."""
    return _NUMBERS[type(message)] + _ENCODER.encode(message)


def decode(data: bytes) -> messages.Message:
    """Returns the message in the bytes, or raises CodecError."""
    decoder = _DECODERS.get(data[:_KIND_BYTES])
    if decoder is None:
        raise CodecError(f'unknown message kind {data[:_KIND_BYTES]!r}')
    try:
        return decoder.decode(data[_KIND_BYTES:])
    except msgspec.MsgspecError as error:
        raise CodecError(str(error)) from error
