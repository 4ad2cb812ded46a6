"""Encodes messages as a two-byte kind number followed by MessagePack."""

import typing

import msgspec

from oleanderdrift import decoding
from oleanderdrift import messages

_PREFIX_BYTES: typing.Final = 2
_KIND_PREFIXES: typing.Final[dict[type, bytes]] = {
    kind: number.to_bytes(_PREFIX_BYTES, 'big')
    for number, kind in messages.KINDS.items()
}
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODERS: typing.Final[dict[bytes, msgspec.msgpack.Decoder[typing.Any]]] = {
    prefix: msgspec.msgpack.Decoder(kind)
    for kind, prefix in _KIND_PREFIXES.items()
}


class CodecError(ValueError):
    """The data is not a valid message of a known kind."""


def encode(message: messages.Message) -> bytes:
    """Encodes a message."""
    return _KIND_PREFIXES[type(message)] + _ENCODER.encode(message)


def decode(data: bytes) -> messages.Message:
    """Decodes a message; raises CodecError for invalid data."""
    decoder = _DECODERS.get(data[:_PREFIX_BYTES])
    if decoder is None:
        raise CodecError(f'unknown message kind {data[:_PREFIX_BYTES]!r}')
    try:
        return decoder.decode(data[_PREFIX_BYTES:])
    except decoding.DECODE_ERRORS as error:
        raise CodecError(str(error)) from error
