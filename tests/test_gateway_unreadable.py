"""A record that cannot be read stops no instance, whoever reads it next."""

import json
import random
import typing

import pytest

from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.platform import operator
from tests import odd_values

VALUES: typing.Final[tuple[object, ...]] = (
    None,
    1,
    -1,
    1.5,
    'x',
    '',
    [],
    {},
    True,
    [1],
    [None],
    {'a': 1},
    1e308,
    2**70,
    '9' * 30,
    10**399,
    'a\x00b',
    'a\r\nb',
    '\x7f',
    '\udc80',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:\u00b2',
    '10.0.0.1:' + '9' * 5_000,
    'a\x00b:80',
    'a' * 64 + '.example:80',
)
# What no encoder writes, in place of a value.
RAW_VALUES: typing.Final = (
    odd_values.DEEP,
    b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    b'[' * 100_000,
    b'9' * 5_000,
    b'1e999',
    b'-1e999',
    b'NaN',
    b'-Infinity',
    b'"\xff"',
    b'"\\ud800"',
)
MARK: typing.Final = 'replaced'
TRIES: typing.Final = 2_000


def paths(
    value: typing.Any, path: tuple[typing.Any, ...] = ()
) -> list[tuple[typing.Any, ...]]:
    """Returns the paths of all values inside a value."""
    found = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += paths(inner, (*path, key))
    if isinstance(value, list):
        for place, inner in enumerate(value):
            found += paths(inner, (*path, place))
    return found


def spoil(value: typing.Any, chance: random.Random) -> bytes:
    """Returns an encoded value with one part replaced, or cut short."""
    if chance.random() < 0.2:
        return insert_raw(value, chance.choice(RAW_VALUES), chance)
    data = replace(value, chance.choice(VALUES), chance)
    if chance.random() < 0.1:
        return data[: chance.randrange(len(data))]
    return data


def replace(value: typing.Any, part: object, chance: random.Random) -> bytes:
    """Returns an encoded value with one part of it replaced."""
    copy = json.loads(json.dumps(value))
    path = chance.choice(paths(copy)[1:])
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = part
    return json.dumps(copy).encode()


def insert_raw(value: typing.Any, part: bytes, chance: random.Random) -> bytes:
    """Returns an encoded value with raw bytes in place of one part.

    Every other time, they are in a field that nobody reads.
    """
    if chance.random() < 0.5:
        data = json.dumps({**value, 'Unread': MARK}).encode()
    else:
        data = replace(value, MARK, chance)
    return data.replace(json.dumps(MARK).encode(), part)


@pytest.mark.parametrize('seed', range(2))
def test_configuration_is_refused_with_a_code(seed: int) -> None:
    chance = random.Random(seed)
    refused = 0
    for _ in range(TRIES):
        try:
            operator.decode_configuration(spoil(odd_values.CONFIG, chance))
        except errors.ResultError:
            refused += 1
    assert refused > 0


@pytest.mark.parametrize('seed', range(2))
def test_entry_of_an_upstream_names_none(seed: int) -> None:
    chance = random.Random(seed)
    entries = [
        operator.decode_upstream_entry('u1', spoil(odd_values.ENTRY, chance))
        for _ in range(TRIES)
    ]
    assert None in entries


@pytest.mark.parametrize('seed', range(2))
def test_record_of_an_instance_is_skipped(seed: int) -> None:
    chance = random.Random(seed)
    for _ in range(TRIES):
        data = chance.randbytes(chance.randrange(40))
        assert records.decode_turn(data) is None
        assert records.decode_budget(data) is None
        assert records.decode_instance(data) is None
