"""An address that cannot be connected to is a failed connection."""

import asyncio
import random
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.platform import codec
from oleanderdrift.platform import store
from tests import gateway_support

ADDRESSES: typing.Final = (
    ('127.0.0.1', 0),
    ('127.0.0.1', 65_536),
    ('127.0.0.1', -1),
    ('127.0.0.1', 2**70),
    ('127.0.0.1', 10**400),
    ('a\0b', 80),
    ('a' * 64 + '.example', 80),
    ('a..example', 80),
    ('\udcff', 80),
    ('\u00e9' * 300, 80),
)


@pytest.mark.parametrize(('host', 'port'), ADDRESSES)
def test_connection_fails_as_any_other(host: str, port: int) -> None:
    with pytest.raises((OSError, TimeoutError)):
        asyncio.run(channel.connect(host, port, 0.25))


@pytest.mark.parametrize(('host', 'port'), ADDRESSES)
def test_request_to_an_odd_address_was_not_run(host: str, port: int) -> None:
    outgoing = exchange.Outgoing(
        admitted=gateway_support.admitted(),
        body=b'',
        deadline=float('inf'),
        last_event_id=None,
        is_first=True,
        keeps_version=False,
        continues=False,
        begin=lambda: None,
    )
    board = gateway_support.board()
    connections = upstream_connections.UpstreamConnections(
        board, connection_pool.Pool(), event_log.EventLog(), random.Random(1)
    )
    outcome = asyncio.run(
        exchange.send_request(
            connections,
            codec.PlatformCodec(),
            board,
            gateway_support.upstream(host=host, port=port),
            outgoing,
        )
    )
    assert isinstance(outcome, exchange.NotConnected)


@pytest.mark.parametrize('address', ['127.0.0.1:0', '127.0.0.1:65536'])
def test_store_at_an_odd_address_is_unavailable(address: str) -> None:
    client = store.Store(address, 4, 4_096)
    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(client.append('t', 0, [b'a']))
    assert caught.value.code is codes.LOG_UNAVAILABLE
