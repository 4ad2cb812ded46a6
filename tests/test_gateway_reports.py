"""An upstream is asked which start it is before a stream goes on there."""

import asyncio
import typing

import hypothesis
import pytest

from oleanderdrift.platform import codec
from tests import gateway_desk
from tests import gateway_versions
from tests import odd_values

EARLIER_REFUSAL: typing.Final = (
    b'HTTP/1.1 503 Answer\r\nNot-Executed: 1\r\nAttempt-Id: q1\r\n'
    b'Content-Length: 4\r\n\r\nfull'
)
EARLIER_ANSWER: typing.Final = (
    b'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: q1\r\n'
    b'Content-Length: 4\r\n\r\ndone'
)
NESTED_BODY: typing.Final = b'{"Unread": ' + odd_values.DEEP + b'}'
NESTED_REPORT: typing.Final = (
    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(NESTED_BODY)
    + NESTED_BODY
)
NO_REPORT: typing.Final = b'HTTP/1.1 500 Answer\r\nContent-Length: 0\r\n\r\n'


def close_idle(harness: gateway_desk.Harness) -> None:
    """Closes the idle connections, as a restart of the replicas does."""
    for kept in harness.forwarder.attempts.pool.idle.values():
        for connection in kept:
            connection.close()


def test_stream_of_an_unnoticed_restart_goes_on_at_no_other_version() -> None:
    """The entry that names the new version comes only after the stream."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            gateway_versions.load(harness, 1)
            harness.replicas[0].born_ms = 2
            await harness.send_request()
            begun_there = gateway_versions.served(harness, 0)
            gateway_versions.set_version(harness, 0, version='v2', born_ms=2)
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.load(harness, 0)
            await gateway_versions.continue_stream(harness)
            assert begun_there == 0 or gateway_versions.served(harness, 1) == 0

    asyncio.run(scenario())


def test_streams_begin_at_upstreams_that_write_no_report() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            harness.replicas[0].without_report = True
            reply = await harness.send_request()
            assert reply.status == 200
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


def test_upstream_restarted_under_its_id_gets_no_stream_of_before() -> None:
    """Its entry is still that of the start before, with other software."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            await harness.send_request()
            close_idle(harness)
            harness.replicas[0].born_ms = 2
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'before',
    [
        pytest.param(EARLIER_REFUSAL, id='refusal written again'),
        pytest.param(EARLIER_ANSWER, id='answer written again'),
        pytest.param(NO_REPORT, id='failure of its own'),
    ],
)
def test_another_answer_is_not_taken_for_the_report(before: bytes) -> None:
    """Its start is another one than the entry's, as its report would say."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            await harness.send_request()
            close_idle(harness)
            harness.replicas[0].born_ms = 2
            harness.replicas[0].before_report = before
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


def test_stream_does_not_run_twice_while_its_upstream_reports_nothing() -> (
    None
):
    """The upstream may still work on it, and only one may run it."""

    async def scenario() -> None:
        async with gateway_versions.run_versions(
            'v1', 'v1', behaviours={0: gateway_versions.CUT}, attempts=1
        ) as harness:
            gateway_versions.load(harness, 1)
            task = asyncio.create_task(harness.send_request())
            while not gateway_versions.served(harness, 0):
                await asyncio.sleep(0)
            harness.replicas[0].silent_report = True
            reply = await task
            assert reply.ended == 'aborted'
            assert gateway_versions.served_each(harness) == [1, 0]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('body', 'born_ms'),
    [
        (b'{"born": 5, "Busy": false}', 5),
        (b'{}', None),
        (b'{"born": "5"}', None),
        (b'not json', None),
        (b'', None),
        (b'{"born": 5, "Unread": ' + odd_values.DEEP + b'}', None),
        (b'{"born": ' + odd_values.DEEP + b'}', None),
        (odd_values.DEEP, None),
        (b'{"born": ' + b'9' * 5_000 + b'}', None),
        (b'{"born": 1e999}', None),
        (b'\xff', None),
    ],
    ids=lambda value: str(value)[:30],
)
def test_report_says_when_an_upstream_started(
    body: bytes, born_ms: int | None
) -> None:
    assert codec.PlatformCodec().decode_report(body) == born_ms


@odd_values.SEEDED
@hypothesis.given(odd_values.changed({'born': 5, 'Busy': False}))
def test_any_report_says_a_number_or_nothing(body: bytes) -> None:
    found = codec.PlatformCodec().decode_report(body)
    assert found is None or type(found) is int


def test_stream_goes_on_beside_a_report_that_cannot_be_decoded() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            await harness.send_request()
            harness.replicas[0].before_report = NESTED_REPORT
            reply = await gateway_versions.continue_stream(harness)
            assert reply.ended == 'complete'

    asyncio.run(scenario())


def test_upstream_is_asked_once_for_each_connection() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            await harness.send_request()
            await gateway_versions.continue_stream(harness)
            # From now on it would say that it has started again.
            harness.replicas[0].born_ms = 2
            reply = await gateway_versions.continue_stream(harness)
            assert reply.ended == 'complete'
            assert harness.replicas[0].connections == 1

    asyncio.run(scenario())
