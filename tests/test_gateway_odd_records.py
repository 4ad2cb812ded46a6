"""Records of instances that no instance would write are left out."""

import collections.abc
import json
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import peer_sockets
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from tests import gateway_support
from tests import odd_values

# Nested deeper than any decoder follows, in MessagePack.
DEEP: typing.Final = b'\x91' * 100_000 + b'\xc0'
INSTANCE: typing.Final[dict[str, typing.Any]] = {
    'peer_address': '10.0.0.1:80',
    'data_centre': 'n',
    'cores': 0.5,
}
DECODERS: typing.Final[
    dict[str, collections.abc.Callable[[bytes], object]]
] = {
    'budget': records.decode_budget,
    'turn': records.decode_turn,
    'origin': records.decode_origin,
    'streams': records.decode_streams,
}


def packed(*values: object) -> bytes:
    """Returns an encoded record."""
    return msgspec.msgpack.encode(values)


def packed_deep(*values: object) -> bytes:
    """Returns an encoded record with a deeply nested further field."""
    data = packed(*values)
    return bytes([data[0] + 1]) + data[1:] + DEEP


INPUT: typing.Final = (0, 5, 1, 10)
ODD_RECORDS: typing.Final[dict[str, tuple[str, bytes]]] = {
    'budget-deep': ('budget', packed_deep('s', 'p', 't', 1)),
    'budget-tokens-negative': ('budget', packed('s', 'p', 't', -1)),
    'budget-tokens-huge': ('budget', packed('r', 'p', 't', 2**63, 9, 0)),
    'budget-negative': ('budget', packed('r', 'p', 't', 1, -9, 0)),
    'budget-spare-negative': ('budget', packed('r', 'p', 't', 1, 9, -4)),
    'turn-deep': ('turn', packed_deep('t', 'x', None, 'a', INPUT, b'', 1)),
    'turn-ended-huge': (
        'turn',
        packed('t', 'x', None, 'a', INPUT, b'', 2**64 - 1),
    ),
    'turn-offset-negative': (
        'turn',
        packed('t', 'x', None, 'a', (0, -5, 1, 10), b'', 1),
    ),
    'turn-size-huge': (
        'turn',
        packed('t', 'x', None, 'a', (0, 5, 1, 2**63), b'', 1),
    ),
    'turn-partition-negative': (
        'turn',
        packed('t', 'x', None, 'a', (-1, 5, 1, 10), b'', 1),
    ),
    'origin-deep': ('origin', packed_deep('o', 's', 'v1')),
    'streams-deep': ('streams', packed_deep('b', 's', 'v1', [1])),
    'streams-text': ('streams', packed('b', 's', 'v1', ['x'])),
}


@pytest.mark.parametrize(
    ('kind', 'data'), ODD_RECORDS.values(), ids=ODD_RECORDS
)
def test_odd_record_is_left_out(kind: str, data: bytes) -> None:
    assert DECODERS[kind](data) is None


def instance(**changes: object) -> bytes:
    """Returns an encoded record of an instance, with changes."""
    return json.dumps({**INSTANCE, **changes}).encode()


ODD_INSTANCES: typing.Final = {
    'nested': instance(Unread='mark').replace(b'"mark"', odd_values.DEEP),
    'port-0': instance(peer_address='10.0.0.1:0'),
    'port-65536': instance(peer_address='10.0.0.1:65536'),
    'no-port': instance(peer_address='10.0.0.1'),
    'address-empty': instance(peer_address=''),
    'address-with-nul': instance(peer_address='a\0b:80'),
    'address-with-scheme': instance(peer_address='ipc:///x:80'),
    'cores-negative': instance(cores=-1),
    'cores-huge': instance(cores=1e300),
}


@pytest.mark.parametrize('value', ODD_INSTANCES.values(), ids=ODD_INSTANCES)
def test_odd_instance_leaves_the_others_known(value: bytes) -> None:
    known = directory.Directory(
        gateway_support.board(),
        gateway_support.MemoryLog(),
        event_log.EventLog(),
    )
    for name, each in (('a', instance()), ('odd', value), ('b', instance())):
        known.apply(ports.KeyedRecord(key=name, value=each))
    assert known.instances.keys() == {'a', 'b'}
    known.apply(ports.KeyedRecord(key='a', value=value))
    assert known.instances.keys() == {'a', 'b'}


@pytest.mark.parametrize('value', ODD_INSTANCES.values(), ids=ODD_INSTANCES)
def test_odd_instance_does_not_end_the_exchange_with_others(
    value: bytes,
) -> None:
    board = gateway_support.board()
    events = event_log.EventLog()
    known = directory.Directory(board, gateway_support.MemoryLog(), events)
    sockets = peer_sockets.PeerSockets()
    exchange = gossip.Gossip(board, known, events, sockets)
    found = (('a', instance()), ('odd', value), ('b', instance()))
    try:
        for name, each in found:
            known.apply(ports.KeyedRecord(key=name, value=each))
        exchange.update_sources(1.0)
    finally:
        exchange.close()
    assert {one.instance for one in sockets.addresses} == {'a', 'b'}


@odd_values.SEEDED
@hypothesis.given(
    strategies.binary()
    | odd_values.json_values.map(odd_values.pack)
    | strategies.lists(odd_values.json_values).map(odd_values.pack)
)
def test_any_record_is_in_range_or_left_out(data: bytes) -> None:
    for decode in DECODERS.values():
        match decode(data):
            case records.Reserve() | records.Settle() as budget:
                assert 0 <= budget.tokens <= bounds.MAX_COUNT
            case records.TurnEnd() as turn:
                assert 0 <= turn.ended_ms <= bounds.MAX_COUNT


@odd_values.SEEDED
@hypothesis.given(odd_values.changed(INSTANCE))
def test_any_instance_is_in_range_or_left_out(data: bytes) -> None:
    found = records.decode_instance(data)
    if found is not None:
        assert bounds.parse_address(found.peer_address) is not None
        assert 0 <= found.cores <= bounds.MAX_CORES
