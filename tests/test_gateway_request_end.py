"""Requests that were read whole have one end, whatever happens meanwhile."""

import asyncio
import random
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift.gateway import server
from oleanderdrift import logs
from oleanderdrift.platform import codec
from tests import test_gateway_whole as whole

HEAD: typing.Final = (
    'POST /a/b HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: q1\r\n'
    'Credential: k1\r\nProgram-Id: p\r\nToken-Budget: 9000\r\n'
    'Token-Count: 10,588\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n'
)
IDLE_MS: typing.Final = 300
IDLE_S: typing.Final = IDLE_MS / 1_000
# What callers wait for at most.
END_WITHIN_S: typing.Final = 2.0

Lines: typing.TypeAlias = list[tuple[str, dict[str, object]]]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """Returns the list that log lines are appended to."""
    found: Lines = []
    monkeypatch.setattr(
        logs, 'info', lambda event, **values: found.append((event, values))
    )
    return found


def named(lines: Lines, event: str) -> list[dict[str, object]]:
    """Returns the values of the lines of one event."""
    return [values for name, values in lines if name == event]


def test_idle_close_leaves_a_line(
    lines: Lines, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, 'HOUSEKEEPING_INTERVAL_S', 0.01)

    async def play() -> None:
        async with whole.run_environment() as env:
            env.write_config(Limits={'IdleTimeoutMs': IDLE_MS})
            limits = env.gateway.ingress.server.conn_params
            await env.wait_until(lambda: limits.header_timeout == IDLE_S)
            # Closed by the caller, or as announced: no line.
            await env.send_turn('q0')
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            async with asyncio.timeout(END_WITHIN_S):
                assert await reader.read() == b''
            writer.close()
            await env.wait_until(
                lambda: bool(named(lines, 'connection-closed'))
            )

    asyncio.run(play())
    [values] = named(lines, 'connection-closed')
    assert values['unread'] is False
    assert values['head_begun'] is False
    assert int(str(values['idle_ms'])) >= IDLE_MS - 20


def test_request_without_a_reply_leaves_a_line(
    lines: Lines, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            monkeypatch.setattr(
                env.gateway.ingress.codec, 'decode_request', fail
            )
            _, writer = await asyncio.open_connection('127.0.0.1', env.port)
            writer.write(f'{HEAD}\r\n'.encode())
            await env.wait_until(
                lambda: bool(named(lines, 'request-unanswered'))
            )
            writer.close()

    asyncio.run(play())
    [values] = named(lines, 'request-unanswered')
    assert values == {'request': 'q1', 'reason': "ValueError('injected')"}


def fail(*_: object) -> model.Request:
    """Stands in for code that raises what nobody expects."""
    raise ValueError('injected')


FUZZED_NAMES: typing.Final = (
    'Attempt-Id',
    'Connection',
    'Cookie',
    'Credential',
    'Deadline-Ms',
    'Host',
    'Last-Event-Id',
    'Previous-Turn',
    'Program-Id',
    'Prompt-Prefix',
    'Resumes',
    'Session-Id',
    'Token-Budget',
    'Token-Count',
)
# Characters of Latin-1, as the bytes of a head are decoded.
FUZZED_PARTS: typing.Final = (
    *('1', '5,', 'a:', ',', ':', ';', '=', '"', ' ', '.', '-', '_', '+'),
    *('\xb2', '\xe9', '\x85', '\xa0', '\\', '\\777', 'nan', 'inf', '1e400'),
    *('9' * 5_000, '9' * 18, '0' * 5_000, 'Affinity-Key=', '0x1'),
)
FUZZED_REQUESTS: typing.Final = 20_000


def test_any_header_is_decoded_or_refused() -> None:
    chance = random.Random(30)
    for _ in range(FUZZED_REQUESTS):
        headers = [('Attempt-Id', 'q1')]
        for _ in range(3):
            parts = chance.choices(FUZZED_PARTS, k=chance.randrange(6))
            headers.append((chance.choice(FUZZED_NAMES), ''.join(parts)))
        try:
            request = codec.PlatformCodec().decode_request(
                'POST', '/a/b', headers, b'', 0.0
            )
        except errors.ResultError as error:
            assert error.code is codes.BAD_REQUEST
            continue
        numbers = [request.max_tokens, request.token_budget or 0]
        numbers += [part.tokens for part in request.prompt]
        assert all(0 <= number < 10**9 for number in numbers), headers


@pytest.mark.parametrize(
    ('header', 'status'),
    [
        ('Token-Count: 5,\xb2', 200),
        ('Prompt-Prefix: a:\xb2', 200),
        (f'Token-Count: 5,{"9" * 5_000}', 400),
        (f'Prompt-Prefix: a:{"9" * 5_000}', 400),
        (f'Deadline-Ms: {"9" * 5_000}', 400),
        (f'Token-Budget: {"9" * 5_000}', 400),
        ('X-Name: Jos\xe9', 200),
    ],
)
def test_whole_request_with_an_odd_header_gets_an_answer(
    header: str, status: int
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send(env, f'{HEAD}{header}\r\n\r\n')
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())

    asyncio.run(play())


async def send(env: whole.Environment, data: str) -> bytes:
    """Sends bytes on a new connection; returns the head of the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
    writer.write(data.encode('latin-1'))
    try:
        return await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()
