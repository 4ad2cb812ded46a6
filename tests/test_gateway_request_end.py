"""Requests that were read whole have one end, whatever happens meanwhile."""

import asyncio
import random
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import answer_relay
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import server
from oleanderdrift.gateway import turn_flow
from oleanderdrift.gateway import upstream_choice
from oleanderdrift import logs
from oleanderdrift.platform import codec
from standins import replica
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


def fail(*_: object, **__: object) -> typing.Any:
    """Stands in for code that raises what nobody expects."""
    raise ValueError('injected')


async def fail_later(*_: object, **__: object) -> typing.Any:
    """Raises once other tasks have run."""
    await asyncio.sleep(0)
    raise ValueError('injected')


@pytest.mark.parametrize(
    ('module', 'name', 'failure', 'status', 'code'),
    [
        (codec.PlatformCodec, 'decode_request', fail, 400, '1000'),
        (admission, 'admit', fail, 503, '9001'),
        (turn_flow.TurnFlow, 'prepare', fail_later, 503, '9001'),
        (upstream_choice.UpstreamChooser, 'acquire', fail_later, 503, '9001'),
        (exchange, 'send_request', fail_later, 500, '9000'),
        (exchange, '_read_own_head', fail_later, 500, '9000'),
        (answer_relay.AnswerRelay, 'relay', fail_later, 500, '9000'),
        (turn_flow.TurnFlow, 'settle', fail, 200, 'had ended'),
        (forwarder.Forwarder, 'record_outcome', fail, 200, 'had ended'),
        (forwarder.Forwarder, 'serve', fail_later, 503, '9001'),
    ],
)
def test_exception_between_request_and_reply_gets_a_true_reply(
    lines: Lines,
    monkeypatch: pytest.MonkeyPatch,
    module: object,
    name: str,
    failure: object,
    status: int,
    code: str,
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            monkeypatch.setattr(module, name, failure)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send(env, f'{HEAD}\r\n')
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())
            assert (b'retry-after' in answer.lower()) is (status == 503)
            await env.wait_until(
                lambda: bool(named(lines, 'request-unanswered'))
            )

    asyncio.run(play())
    [values] = named(lines, 'request-unanswered')
    assert values['request'] == 'q1'
    assert 'injected' in str(values['reason'])
    assert values['end'] == code


@pytest.mark.parametrize(
    ('turns', 'status', 'sent'),
    [(0, 503, False), (1, 503, False), (2, 503, False), (50, 500, True)],
)
def test_cancellation_that_is_not_the_callers_gets_a_true_reply(
    monkeypatch: pytest.MonkeyPatch, turns: int, status: int, sent: bool
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Silent()]
            await whole.make_ready(env)
            if not sent:
                hold(monkeypatch, turn_flow.TurnFlow, 'prepare')
            tasks = env.gateway.ingress.tasks
            answering = asyncio.create_task(send(env, f'{HEAD}\r\n'))
            await env.wait_until(lambda: bool(tasks))
            for _ in range(turns):
                await asyncio.sleep(0)
            if sent:
                await env.wait_until(lambda: bool(env.replica.received))
            for task in tasks:
                task.cancel()
            async with asyncio.timeout(END_WITHIN_S):
                answer = await answering
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())

    asyncio.run(play())


def hold(monkeypatch: pytest.MonkeyPatch, module: object, name: str) -> None:
    """Replaces a coroutine by one that never returns."""

    async def wait(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(module, name, wait)


def test_stream_whose_work_fails_is_cut_and_not_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            monkeypatch.setattr(turn_flow.TurnFlow, 'store_turn', fail_later)
            answer = await env.send_turn('q1')
            assert answer.startswith(b'HTTP/1.1 200 ')
            assert not answer.endswith(b'0\r\n\r\n')

    asyncio.run(play())


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
