"""The records that instances leave in the store, and their codec."""

import typing

import attrs
import msgspec

BUDGET_TOPIC: typing.Final = 'budgets'
TURN_TOPIC: typing.Final = 'turns'
INPUT_TOPIC: typing.Final = 'inputs'
INSTANCE_TOPIC: typing.Final = 'instances'


class Reserve(msgspec.Struct, tag='r', array_like=True, frozen=True):
    """Sets a turn's most tokens aside; valid if the budget holds it.

    spare are further tokens that the writer would like to have for later
    turns of the program; it gets at most half of what is left.
    """

    program: str
    turn: str
    tokens: int
    budget: int
    spare: int = 0


class Settle(msgspec.Struct, tag='s', array_like=True, frozen=True):
    """Replaces what a reservation had set aside by what was generated.

    turn is the one that the reservation names.
    """

    program: str
    turn: str
    tokens: int


class InputLocation(msgspec.Struct, array_like=True, frozen=True):
    """Where a turn's input lies: records of one partition in a row."""

    part: int
    offset: int
    count: int
    size: int


class TurnEnd(msgspec.Struct, tag='t', array_like=True, frozen=True):
    """A whole turn; output is its events' data, a line each."""

    turn: str
    previous: str | None
    account: str
    input: InputLocation
    output: bytes
    ended_ms: int


BudgetRecord: typing.TypeAlias = Reserve | Settle
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_BUDGET: typing.Final = msgspec.msgpack.Decoder(BudgetRecord)
_TURN: typing.Final = msgspec.msgpack.Decoder(TurnEnd)


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """How peers reach an instance, and since when (Unix time)."""

    peer_address: str
    started_ms: int


_INSTANCE: typing.Final = msgspec.json.Decoder(InstanceRecord)


def encode(record: BudgetRecord | TurnEnd) -> bytes:
    """Returns a record's bytes."""
    return _ENCODER.encode(record)


def decode_budget(data: bytes) -> BudgetRecord | None:
    """Returns a budget record, None where the bytes are none."""
    try:
        return _BUDGET.decode(data)
    except msgspec.MsgspecError:
        return None


def decode_turn(data: bytes) -> TurnEnd | None:
    """Returns a turn's record, None where the bytes are none."""
    try:
        return _TURN.decode(data)
    except msgspec.MsgspecError:
        return None


def encode_instance(record: InstanceRecord) -> bytes:
    """Returns an instance record's bytes."""
    return msgspec.json.encode(record)


def decode_instance(data: bytes) -> InstanceRecord | None:
    """Returns an instance's record, None where the bytes are none."""
    try:
        return _INSTANCE.decode(data)
    except msgspec.MsgspecError:
        return None
