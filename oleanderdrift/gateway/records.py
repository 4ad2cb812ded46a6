"""The records that instances write to the store, and their codec."""

import typing

import attrs
import msgspec

from oleanderdrift import decoding
from oleanderdrift.gateway import bounds

BUDGET_TOPIC: typing.Final = 'budgets'
TURN_TOPIC: typing.Final = 'turns'
INPUT_TOPIC: typing.Final = 'inputs'
# Where ended turns are stored.  The index has many small partitions, so that
# finding one turn takes a small read however many there are.
TURN_INDEX_TOPICS: typing.Final = tuple(
    f'turn-index-{number}' for number in range(32)
)
INSTANCE_TOPIC: typing.Final = 'instances'
# The origins in service by key, and those of single streams.
ORIGIN_TOPIC: typing.Final = 'origins'
STREAM_TOPIC: typing.Final = 'streams'


class Reserve(msgspec.Struct, tag='r', array_like=True, frozen=True):
    """Reserves a turn's maximum tokens; valid while budget is left.

    spare is the number of further tokens that the writer requests for later
    turns of the program; it gets at most half of what is left.  shared says
    that the writer lends the tokens to turns at all instances, so that all
    of them may be returned.
    """

    program: str
    turn: str
    tokens: bounds.Count
    budget: bounds.Count
    spare: bounds.Count = 0
    shared: bool = False


class Settle(msgspec.Struct, tag='s', array_like=True, frozen=True):
    """Replaces a reservation's tokens by the number actually generated.

    turn is the turn that the Reserve record names.
    """

    program: str
    turn: str
    tokens: bounds.Count


class InputLocation(msgspec.Struct, array_like=True, frozen=True):
    """Where a turn's input is stored.

    It is split over count consecutive records of partition part, from
    offset on; size is its length in bytes.
    """

    part: bounds.Count
    offset: bounds.Count
    count: bounds.Count
    size: bounds.Count


class TurnEnd(msgspec.Struct, tag='t', array_like=True, frozen=True):
    """A completed turn; output holds its events' data, one per line."""

    turn: str
    previous: str | None
    account: str
    input: InputLocation
    output: bytes
    ended_ms: bounds.Count


class StoredTurn(msgspec.Struct, array_like=True, frozen=True):
    """Where an ended turn is stored.

    Its record of size bytes has an offset in partition part of TURN_TOPIC.
    """

    turn: str
    part: bounds.Count
    offset: bounds.Count
    size: bounds.Count
    input: InputLocation


class IndexedTurn(msgspec.Struct, tag='i', array_like=True, frozen=True):
    """Where the latest turns of an account's conversation are stored.

    They are the oldest first; the record is looked up by the last of them.
    """

    account: str
    turns: typing.Annotated[tuple[StoredTurn, ...], msgspec.Meta(min_length=1)]
    ended_ms: bounds.Count


class ListedOrigin(msgspec.Struct, tag='o', array_like=True, frozen=True):
    """A service and a software version at which streams may have begun."""

    service: str
    version: str


class StreamsBegun(msgspec.Struct, tag='b', array_like=True, frozen=True):
    """Streams that one origin began, by their keys."""

    service: str
    version: str
    streams: list[int]


BudgetRecord: typing.TypeAlias = Reserve | Settle
_MSGPACK_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_BUDGET_DECODER: typing.Final = msgspec.msgpack.Decoder(BudgetRecord)
_TURN_DECODER: typing.Final = msgspec.msgpack.Decoder(TurnEnd)
_INDEXED_TURN_DECODER: typing.Final = msgspec.msgpack.Decoder(IndexedTurn)
_ORIGIN_DECODER: typing.Final = msgspec.msgpack.Decoder(ListedOrigin)
_STREAMS_DECODER: typing.Final = msgspec.msgpack.Decoder(StreamsBegun)


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """An instance's addresses for peers, and its share of processor cores.

    tunnel_address is empty in the records of builds without tunnels, and
    grant_address in those of instances that grant no tokens.
    """

    peer_address: bounds.Text
    data_centre: str
    cores: bounds.Cores
    tunnel_address: str = ''
    grant_address: str = ''


_INSTANCE_DECODER: typing.Final = msgspec.json.Decoder(InstanceRecord)


def encode(
    record: BudgetRecord | TurnEnd | IndexedTurn | StreamsBegun,
) -> bytes:
    """Encodes a record of a topic without keys."""
    return _MSGPACK_ENCODER.encode(record)


def encode_origin(service: str, version: str) -> bytes:
    """Encodes a listed origin."""
    return _MSGPACK_ENCODER.encode(
        ListedOrigin(service=service, version=version)
    )


def decode_origin(data: bytes) -> ListedOrigin | None:
    """Decodes a listed origin; returns None for invalid bytes."""
    try:
        return _ORIGIN_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None


def decode_streams(data: bytes) -> StreamsBegun | None:
    """Decodes a record of streams; returns None for invalid bytes."""
    try:
        return _STREAMS_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None


def decode_budget(data: bytes) -> BudgetRecord | None:
    """Decodes a budget record; returns None for invalid bytes."""
    try:
        return _BUDGET_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None


def decode_turn(data: bytes) -> TurnEnd | None:
    """Decodes a turn's record; returns None for invalid bytes."""
    try:
        return _TURN_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None


def decode_indexed_turn(data: bytes) -> IndexedTurn | None:
    """Decodes a record of the turns' index; returns None for invalid bytes."""
    try:
        return _INDEXED_TURN_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None


def encode_instance(record: InstanceRecord) -> bytes:
    """Encodes an instance's record."""
    return msgspec.json.encode(record)


def decode_instance(data: bytes) -> InstanceRecord | None:
    """Decodes an instance's record; returns None for invalid bytes."""
    try:
        record = _INSTANCE_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return None
    addresses = [record.peer_address]
    addresses += filter(None, [record.tunnel_address, record.grant_address])
    return record if all(map(bounds.parse_address, addresses)) else None
