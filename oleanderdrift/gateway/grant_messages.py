"""The messages by which instances grant tokens to each other, their codec.

Both sides of a connection say Hello first.  Each may then ask the other for
tokens.  A turn is named by the incarnation of the instance that serves it
and by its number, which is never used again.  Each message is preceded by
its length.
"""

import enum
import typing

import msgspec

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import tunnel_wire

# Two texts of the longest kind, in characters of four bytes each.
MAX_MESSAGE_BYTES: typing.Final = 4_608


class Reply(enum.Enum):
    """The answer to an Ask.

    SPENT is final.  UNSETTLED means that tokens may come back, and
    UNAVAILABLE that nobody knows whether the budget has any.
    """

    GRANTED = 'granted'
    SPENT = 'spent'
    UNSETTLED = 'unsettled'
    UNAVAILABLE = 'unavailable'


class Hello(msgspec.Struct, tag='hello', array_like=True, frozen=True):
    """Names an instance; incarnation is random for each of its starts."""

    instance: bounds.Text
    incarnation: bounds.Count


class Ask(msgspec.Struct, tag='ask', array_like=True, frozen=True):
    """Asks for the maximum tokens of a turn.

    The turn ends after lasts_s at the latest.
    """

    number: bounds.Count
    program: bounds.Text
    tokens: bounds.Count
    budget: bounds.Count
    lasts_s: bounds.Seconds


class Waiting(msgspec.Struct, tag='waiting', array_like=True, frozen=True):
    """The grantor calls the store before it answers an Ask."""

    number: bounds.Count


class Answer(msgspec.Struct, tag='answer', array_like=True, frozen=True):
    """Answers an Ask."""

    number: bounds.Count
    reply: Reply


class Used(msgspec.Struct, tag='used', array_like=True, frozen=True):
    """A turn has ended and used some tokens, or has not begun and used 0."""

    number: bounds.Count
    tokens: bounds.Count


Message: typing.TypeAlias = Hello | Ask | Waiting | Answer | Used
_DECODER: typing.Final = msgspec.msgpack.Decoder(Message)


def reader() -> tunnel_wire.Reader[Message]:
    """Returns a reader of what a peer sends."""
    return tunnel_wire.Reader(_DECODER, MAX_MESSAGE_BYTES)


def encode(message: Message) -> bytes:
    """Encodes a message with its length."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(tunnel_wire.LENGTH_BYTES) + body
