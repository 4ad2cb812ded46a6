"""Values that no writer in mind would write, and entries to put them into."""

import json
import typing

import hypothesis
from hypothesis import strategies
import msgspec

SEEDED: typing.Final = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
# Nested deeper than any decoder follows.
DEEP: typing.Final = b'[' * 100_000 + b']' * 100_000
CONFIG: typing.Final[dict[str, typing.Any]] = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r',
            'Host': 'h',
            'PathPrefix': '/a/',
            'Kind': 'streaming',
            'TimeoutMs': 5000,
            'Service': 'g',
            'Attempts': 1,
            'Retain': True,
            'RetainS': 60,
        }
    ],
    'Services': [{'Name': 'g', 'Engine': {'Stride': 14}}],
    'Tenants': [{'Name': 'w', 'ApiKeys': ['k'], 'RatePerS': 0, 'Burst': 3}],
    'Limits': {'HeaderBytes': 1},
}
ENTRY: typing.Final[dict[str, typing.Any]] = {
    'Service': 'g',
    'Address': '10.0.0.1:80',
    'Zone': 'n',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'born': 1,
    'ColdLeftMs': 1,
}

json_values: typing.Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(-(10**400), 10**400)
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=10,
)


def changed(
    value: dict[str, typing.Any],
) -> strategies.SearchStrategy[bytes]:
    """Returns a strategy of any bytes, any JSON and a value with changes."""
    fields = strategies.dictionaries(
        strategies.sampled_from(sorted(value)), json_values, max_size=3
    )
    return (
        strategies.binary()
        | json_values.map(lambda one: json.dumps(one).encode())
        | fields.map(lambda some: json.dumps({**value, **some}).encode())
    )


def pack(value: object) -> bytes:
    """Encodes a value in MessagePack; nothing if it cannot hold it."""
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, UnicodeError):
        return b''
