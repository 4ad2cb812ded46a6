"""The log lines of a failed request name its cause.

docs/OPERATIONS.md describes how operators find them by the request id.
"""

import asyncio
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift import logs
from standins import replica
from tests import gateway_desk
from tests import gateway_support


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns a list that receives the logged lines."""
    found: list[str] = []

    def keep(event: str, **values: typing.Any) -> None:
        found.append(logs.line(event, **values))

    monkeypatch.setattr(logs, 'info', keep)
    monkeypatch.setattr(logs, 'warning', keep)
    return found


def grep(log_lines: list[str], text: str) -> list[str]:
    """Returns the lines that contain the text."""
    return [line for line in log_lines if text in line]


def test_rate_limit_refusal_logs_its_inputs(
    log_lines: list[str],
) -> None:
    async def play() -> None:
        route = {'kind': model.RouteKind.NON_IDEMPOTENT}
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()], route=route
        ) as harness:
            board = harness.forwarder.board
            account = gateway_support.account(rate=1.0, burst=1.0)
            assert board.config is not None
            board.config = gateway_support.config(
                routes=board.config.routes,
                accounts_by_key={'key': account},
            )
            board.rate_limiter.configure([account])
            for number in range(3):
                await harness.send_request(request_id=f'q{number}')

    asyncio.run(play())
    (found,) = grep(log_lines, 'request=q2 ')
    assert f'code={codes.RATE_EXCEEDED.number}' in found
    assert 'ward: tokens' in found
    assert 'of 1/s' in found
    assert '0 peers' in found


def test_failed_request_logs_its_upstream_and_the_reason(
    log_lines: list[str],
) -> None:
    async def play() -> None:
        route = {'kind': model.RouteKind.NON_IDEMPOTENT}
        async with gateway_desk.run_harness(
            [replica.Reset()], route=route
        ) as harness:
            await harness.send_request(request_id='q7')

    asyncio.run(play())
    first, last = grep(log_lines, 'request=q7 ')
    assert 'event=upstream-failed' in first
    assert 'upstream=u0' in first
    assert 'before the response was complete' in first
    assert f'code={codes.UPSTREAM_FAILED.number}' in last
    assert codes.UPSTREAM_FAILED.execution is codes.Execution.UNKNOWN


def test_turn_refused_in_a_store_outage_logs_the_reason(
    log_lines: list[str],
) -> None:
    async def play() -> None:
        route = {'kind': model.RouteKind.STREAMING, 'retains': True}
        async with gateway_desk.run_harness(
            [replica.Stream()], route=route
        ) as harness:
            harness.log.failure = errors.ResultError(
                codes.LOG_UNAVAILABLE, 'status 503'
            )
            await harness.send_request(
                request_id='t1', token_budget=900, program_id='p'
            )

    asyncio.run(play())
    (found,) = grep(log_lines, 'request=t1 ')
    assert f'code={codes.LOG_UNAVAILABLE.number}' in found
    assert 'status 503' in found
    assert 'program=p' in found
