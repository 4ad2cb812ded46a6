"""A record that cannot be read stops no instance, whoever reads it next."""

import json
import random
import typing

import pytest

from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.platform import operator

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
)
CONFIG: typing.Final = {
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
ENTRY: typing.Final = {
    'Service': 'g',
    'Address': '10.0.0.1:80',
    'Zone': 'n',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'born': 1,
    'ColdLeftMs': 1,
}
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
    copy = json.loads(json.dumps(value))
    path = chance.choice(paths(copy)[1:])
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = chance.choice(VALUES)
    data = json.dumps(copy).encode()
    if chance.random() < 0.1:
        return data[: chance.randrange(len(data))]
    return data


@pytest.mark.parametrize('seed', range(2))
def test_configuration_is_refused_with_a_code(seed: int) -> None:
    chance = random.Random(seed)
    refused = 0
    for _ in range(TRIES):
        try:
            operator.decode_configuration(spoil(CONFIG, chance))
        except errors.ResultError:
            refused += 1
    assert refused > 0


@pytest.mark.parametrize('seed', range(2))
def test_entry_of_an_upstream_names_none(seed: int) -> None:
    chance = random.Random(seed)
    entries = [
        operator.decode_upstream_entry('u1', spoil(ENTRY, chance))
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
