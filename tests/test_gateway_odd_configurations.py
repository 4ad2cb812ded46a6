"""An odd configuration is refused, and the one before stays in force."""

import json
import typing

import hypothesis
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import follow
from oleanderdrift.platform import codec
from oleanderdrift.platform import operator
from tests import gateway_support
from tests import odd_values

ROUTE: typing.Final = odd_values.CONFIG['Routes'][0]
ACCOUNT: typing.Final = odd_values.CONFIG['Tenants'][0]


def encoded(**changes: object) -> bytes:
    """Returns an encoded configuration of version 4, with changes."""
    whole = {**odd_values.CONFIG, 'Version': 4, **changes}
    return json.dumps(whole).encode()


def with_route(**changes: object) -> bytes:
    """Returns a configuration with one odd route beside a sound one."""
    return encoded(Routes=[ROUTE, {**ROUTE, 'Host': 'i', **changes}])


def with_account(**changes: object) -> bytes:
    """Returns a configuration with one odd account beside a sound one."""
    return encoded(Tenants=[ACCOUNT, {**ACCOUNT, 'Name': 'x', **changes}])


ODD: typing.Final = {
    'nested': encoded(Unread='mark').replace(b'"mark"', odd_values.DEEP),
    'nested-route': with_route(Unread='mark').replace(
        b'"mark"', odd_values.DEEP
    ),
    'version-huge': encoded(Version=2**63),
    'version-negative': encoded(Version=-1),
    'timeout-negative': with_route(TimeoutMs=-1),
    'timeout-huge': with_route(TimeoutMs=1e300),
    'retention-huge': with_route(RetainS=1e300),
    'attempts-negative': with_route(Attempts=-1),
    'weight-negative': with_route(Split=[{'Service': 'g', 'Weight': -1}]),
    'weight-huge': with_route(Split=[{'Service': 'g', 'Weight': 1e308}]),
    'stride-negative': encoded(
        Services=[{'Name': 'g', 'Engine': {'Stride': -1}}]
    ),
    'cold-time-huge': encoded(Services=[{'Name': 'g', 'ColdStartS': 1e300}]),
    'cold-rate-negative': encoded(Services=[{'Name': 'g', 'ColdPerS': -1}]),
    'cold-rate-text': encoded(Services=[{'Name': 'g', 'ColdPerS': '6'}]),
    'header-bytes-negative': encoded(Limits={'HeaderBytes': -1}),
    'idle-time-negative': encoded(Limits={'IdleTimeoutMs': -1}),
    'rate-negative': with_account(RatePerS=-1),
    'rate-huge': with_account(RatePerS=1e300),
    'burst-negative': with_account(Burst=-1),
    'account-empty': with_account(Name=''),
    'account-with-a-line-end': with_account(Name='x\r\nDeadline-Ms: 9'),
    'account-beyond-ascii': with_account(Name='caf\u00e9'),
    'cut': encoded()[:-1],
    'utf-8': encoded().replace(b'"w"', b'"\xff"'),
}


@pytest.mark.parametrize('value', ODD.values(), ids=ODD)
def test_odd_configuration_is_refused_whole(value: bytes) -> None:
    with pytest.raises(errors.ResultError) as raised:
        operator.decode_configuration(value)
    assert raised.value.code is codes.CONFIG_INVALID


@pytest.mark.parametrize('value', ODD.values(), ids=ODD)
def test_odd_configuration_keeps_no_later_one_out(value: bytes) -> None:
    board = gateway_support.board()
    watcher = follow.StoreWatcher(
        board,
        codec.PlatformCodec(),
        gateway_support.MemoryLog(),
        event_log.EventLog(),
    )
    versions = []
    for each in (encoded(Version=3), value, encoded(Version=5)):
        watcher.apply_config(each)
        assert board.config is not None
        versions.append(board.config.version)
    assert versions == [3, 3, 5]


@odd_values.SEEDED
@hypothesis.given(odd_values.changed(odd_values.CONFIG))
def test_any_configuration_is_in_range_or_refused(value: bytes) -> None:
    try:
        config = operator.decode_configuration(value)
    except errors.ResultError as error:
        assert error.code is codes.CONFIG_INVALID
        return
    assert 0 <= config.version <= bounds.MAX_COUNT
    for route in config.routes:
        assert 0 <= route.timeout_s <= bounds.MAX_S
        assert 0 <= route.retention_s <= bounds.MAX_S
        assert all(one.weight >= 0 for one in route.services)
    for account in (config.accounts_by_key or {}).values():
        assert bounds.is_name(account.name)
        assert 0 <= account.rate_per_s <= bounds.MAX_PER_S
