"""Tests of the log's client under the log's faults."""

import asyncio
import time
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import log_client
from tests import log_service as services

log_service = services.log_service
Calls: typing.TypeAlias = typing.Callable[
    [log_client.LogClient], typing.Coroutine[typing.Any, typing.Any, None]
]


def run(url: str, calls: Calls, timeout_s: float = 0.3) -> None:
    """Makes calls on a client."""

    async def whole() -> None:
        client = log_client.LogClient(url, timeout_s)
        try:
            await calls(client)
        finally:
            client.close()

    asyncio.run(whole())


def test_append_then_read(log_service: services.LogService) -> None:
    async def calls(client: log_client.LogClient) -> None:
        offsets = [await client.append('s', data) for data in (b'a', b'b')]
        assert offsets == [1, 2]
        result = await client.read('s', 1, 1, 0)
        assert [one.data for one in result.records] == [b'a']
        assert (result.first, result.next_offset, result.end_offset) == (
            1,
            2,
            3,
        )
        empty = await client.read('s', 3, 10, 0.01)
        assert (empty.records, empty.next_offset) == ((), 3)
        with pytest.raises(errors.ResultError):
            await client.read('s', 4, 10, 0)

    run(log_service.url, calls)


def test_read_begins_at_the_oldest_record_held(
    log_service: services.LogService,
) -> None:
    log_service.set_switches(retention=1)

    async def calls(client: log_client.LogClient) -> None:
        for data in (b'a', b'b', b'c'):
            await client.append('s', data)
        result = await client.read('s', 1, 10, 0)
        assert (result.first, result.next_offset) == (3, 4)

    run(log_service.url, calls)


@pytest.mark.parametrize(
    ('fault', 'code'),
    [
        ({'lose_answer': 1}, codes.APPEND_UNCONFIRMED),
        ({'outage': 'hang'}, codes.APPEND_UNCONFIRMED),
        ({'outage': 'refuse'}, codes.APPEND_UNCONFIRMED),
    ],
)
def test_append_that_may_be_taken_is_unconfirmed(
    log_service: services.LogService,
    fault: dict[str, typing.Any],
    code: codes.ResultCode,
) -> None:
    log_service.set_switches(**fault)

    async def calls(client: log_client.LogClient) -> None:
        with pytest.raises(errors.ResultError) as caught:
            await client.append('s', b'a')
        assert caught.value.code is code

    run(log_service.url, calls)


def test_append_without_connection_is_not_run() -> None:
    async def calls(client: log_client.LogClient) -> None:
        with pytest.raises(errors.ResultError) as caught:
            await client.append('s', b'a')
        assert caught.value.code is codes.LOG_UNAVAILABLE

    # Nothing listens on the discard port.
    run('http://127.0.0.1:9', calls)


def test_silent_connections_are_left_after_a_bounded_wait(
    log_service: services.LogService,
) -> None:
    async def calls(client: log_client.LogClient) -> None:
        await asyncio.gather(
            *(client.read('s', 1, 10, 0.05) for _ in range(3))
        )
        log_service.set_switches(silent=True)
        began = time.monotonic()
        with pytest.raises(errors.ResultError):
            await client.read('s', 1, 10, 0.1)
        assert time.monotonic() - began < 2
        assert (await client.read('s', 1, 10, 0)).next_offset == 1

    run(log_service.url, calls)
