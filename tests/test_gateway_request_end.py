"""Requests that were read whole have one end, whatever happens meanwhile."""

import asyncio
import contextlib
import random
import socket
import threading
import time
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import answer_relay
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import chunked_decoder
from oleanderdrift.gateway import chunked_reader
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import model
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
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)

    async def play() -> None:
        async with whole.run_environment() as env:
            await limit_idle(env, 2, IDLE_MS)
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


async def limit_idle(
    env: whole.Environment, version: int, idle_ms: int
) -> None:
    """Writes a configuration with an idle limit; waits until it is applied."""
    env.write_config(Version=version, Limits={'IdleTimeoutMs': idle_ms})
    ingress = env.gateway.ingress
    await env.wait_until(
        lambda: ingress.limits.idle_timeout_s == idle_ms / 1_000
    )


# The moments are those after the answer before, in seconds.
@pytest.mark.parametrize(
    ('busy_from', 'busy_until', 'sent_at'),
    [(0.2, 0.4, 0.24), (0.1, 0.5, 0.2), (0.1, 0.9, 0.24), (0.0, 0.0, 0.24)],
)
@pytest.mark.parametrize('idle_ms', [IDLE_MS, 50, 5_000])
def test_request_on_an_idle_connection_is_served_while_the_loop_is_busy(
    monkeypatch: pytest.MonkeyPatch,
    busy_from: float,
    busy_until: float,
    sent_at: float,
    idle_ms: int,
) -> None:
    """A new configuration changes the idle limit to idle_ms meanwhile."""
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            await limit_idle(env, 2, IDLE_MS)
            client = socket.create_connection(('127.0.0.1', env.port))
            client.settimeout(END_WITHIN_S)
            request = f'{HEAD}\r\n'.encode('latin-1')
            await asyncio.to_thread(exchange_bytes, client, request)
            loop = asyncio.get_running_loop()
            answered = loop.time()
            config = env.gateway.board.config
            assert config is not None
            limits = model.Limits(idle_timeout_s=idle_ms / 1_000)
            loop.call_at(
                answered + busy_from,
                set_config,
                env.gateway.board,
                attrs.evolve(config, limits=limits),
            )
            loop.call_at(
                answered + busy_from, time.sleep, busy_until - busy_from
            )
            timer = threading.Timer(sent_at, client.sendall, [request])
            timer.start()
            received = await asyncio.to_thread(read_end, client)
            assert received.startswith(b'HTTP/1.1 200 ')
            client.close()

    asyncio.run(play())


def set_config(board: board_lib.Board, config: model.Configuration) -> None:
    """Puts a configuration in force, as if it had just been read."""
    board.config = config


def exchange_bytes(client: socket.socket, request: bytes) -> None:
    """Sends a request and reads its answer."""
    client.sendall(request)
    assert read_end(client).startswith(b'HTTP/1.1 200 ')


def read_end(client: socket.socket) -> bytes:
    """Returns what arrives until the end of an answer or connection."""
    received = b''
    while not received.endswith(b'0\r\n\r\n'):
        data = client.recv(65_536)
        if not data:
            break
        received += data
    return received


@pytest.mark.parametrize('head_bytes', [0, 20])
def test_connection_without_a_whole_head_is_closed_in_time(
    lines: Lines, monkeypatch: pytest.MonkeyPatch, head_bytes: int
) -> None:
    """A head that has begun has its own limit, counted from its beginning."""
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)
    limits = {'IdleTimeoutMs': 100, 'HeaderTimeoutMs': 500}

    async def play() -> None:
        async with whole.run_environment() as env:
            env.write_config(Limits=limits)
            ingress = env.gateway.ingress
            await env.wait_until(lambda: ingress.limits.idle_timeout_s == 0.1)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            writer.write(HEAD[:head_bytes].encode())
            async with asyncio.timeout(END_WITHIN_S):
                assert await reader.read() == b''
            writer.close()
            await env.wait_until(
                lambda: bool(named(lines, 'connection-closed'))
            )

    asyncio.run(play())
    [values] = named(lines, 'connection-closed')
    assert values['head_begun'] is bool(head_bytes)
    assert (int(str(values['idle_ms'])) >= 490) is bool(head_bytes)


@pytest.mark.parametrize(
    ('head_bytes', 'body_bytes', 'status'),
    [
        (3_000, 0, 200),
        (50_000, 0, 200),
        (300_000, 0, 431),
        (0, 3_000, 200),
        (0, 9_000, 413),
    ],
)
def test_request_within_limits_that_grew_while_its_connection_was_idle(
    monkeypatch: pytest.MonkeyPatch,
    head_bytes: int,
    body_bytes: int,
    status: int,
) -> None:
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)
    small = {'HeaderBytes': 2_000, 'MaxBodyBytes': 2_000}
    large = {'HeaderBytes': 200_000, 'MaxBodyBytes': 4_000}

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            params = env.gateway.ingress.server.conn_params
            env.write_config(Version=2, Limits=small)
            await env.wait_until(lambda: params.max_body_size == 2_000)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            await env.wait_until(lambda: bool(env.gateway.ingress.readers))
            env.write_config(Version=3, Limits=large)
            await env.wait_until(lambda: params.max_body_size == 4_000)
            head = HEAD.replace('Length: 0', f'Length: {body_bytes}')
            padding = f'X-Padding: {"x" * head_bytes}'
            writer.write(f'{head}{padding}\r\n\r\n'.encode())
            writer.write(b'x' * body_bytes)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await reader.readuntil(b'\r\n\r\n')
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())
            writer.close()

    asyncio.run(play())


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


@pytest.mark.parametrize(
    ('kind', 'goes_on'),
    [('streaming', False), ('idempotent', False), ('keyed', True)],
)
def test_work_ends_when_the_caller_has_left(kind: str, goes_on: bool) -> None:
    """A request that is not idempotent goes on once it was sent."""
    route = {**whole.ROUTE, 'Kind': kind, 'Retain': False}

    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [replica.Silent()]
            await whole.make_ready(env)
            env.write_config(Version=2, Routes=[route])
            board = env.gateway.board
            await env.wait_until(
                lambda: bool(board.config and board.config.version == 2)
            )
            _, writer = await asyncio.open_connection('127.0.0.1', env.port)
            head = HEAD.replace('Token-Budget: 9000\r\n', '')
            writer.write(f'{head}\r\n'.encode())
            await env.wait_until(lambda: bool(env.replica.received))
            writer.close()
            readers = env.gateway.ingress.readers
            await env.wait_until(lambda: not readers)
            await asyncio.sleep(0.05)
            assert bool(board.open_requests) is goes_on
            assert bool(env.replica.closed) is not goes_on

    asyncio.run(play())


def test_whole_answer_is_not_cut_by_a_failure_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def answer_and_fail(
        _: object, reply: connection_reply.ConnectionReply
    ) -> None:
        await reply.send_complete(200, [], b'whole')
        reply.abort()

    async def play() -> None:
        async with whole.run_environment() as env:
            monkeypatch.setattr(
                env.gateway.forwarder, 'serve', answer_and_fail
            )
            # So that no answer announces a close.
            await whole.make_ready(env)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            async with asyncio.timeout(END_WITHIN_S):
                for _ in range(2):
                    writer.write(f'{HEAD}\r\n'.encode())
                    answer = await reader.readuntil(b'whole')
                    assert answer.startswith(b'HTTP/1.1 200 ')
            writer.close()

    asyncio.run(play())


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
    lines: Lines, header: str, status: int
) -> None:
    """A refusal has the request's id, and so has its line."""

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send(env, f'{HEAD}{header}\r\n\r\n')
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())
            assert b'Attempt-Id: q1' in answer

    asyncio.run(play())
    refused = [one['request'] for one in named(lines, 'request-refused')]
    assert refused == (['q1'] if status == 400 else [])


@pytest.mark.parametrize(
    ('framing', 'body', 'code'),
    [
        ('Content-Length: 4194305', 'x', codes.BODY_TOO_LARGE),
        (f'Content-Length: {"9" * 5_000}', 'x', codes.BODY_TOO_LARGE),
        (
            'Expect: 100-continue\r\nContent-Length: 9999999',
            '',
            codes.BODY_TOO_LARGE,
        ),
        ('Transfer-Encoding: chunked', 'ffffffff\r\n', codes.BODY_TOO_LARGE),
        ('Transfer-Encoding: chunked', 'zz\r\n', codes.BAD_FRAMING),
        ('Transfer-Encoding: chunked', '1\r\nxxx', codes.BAD_FRAMING),
    ],
)
def test_refusal_of_a_body_that_is_not_read_names_the_request(
    lines: Lines, framing: str, body: str, code: codes.ResultCode
) -> None:
    """Guards against a bare status, which does not say that nothing ran."""
    head = HEAD.replace('Content-Length: 0', framing)

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send_until_closed(env, f'{head}\r\n{body}')
            assert answer.startswith(f'HTTP/1.1 {code.status} '.encode())
            assert answer.count(b'HTTP/1.1') == 1
            assert b'Attempt-Id: q1' in answer
            assert b'Connection: close' in answer
            assert not env.replica.received

    asyncio.run(play())
    (line,) = named(lines, 'request-refused')
    assert (line['request'], line['code']) == ('q1', code.number)


@pytest.mark.parametrize(
    'error',
    [chunked_decoder.BodyTooLongError, chunked_decoder.MalformedBodyError],
)
def test_request_that_was_refused_is_not_refused_again(
    lines: Lines, monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    """Guards against a second refusal for what was to be decoded then."""

    async def refuse_and_fail(*args: typing.Any) -> None:
        # The last one stores parts of the body for the reader.
        args[-1].__self__.stop_for_bytes()
        raise error

    monkeypatch.setattr(chunked_reader, 'read_chunked', refuse_and_fail)
    head = HEAD.replace('Content-Length: 0', 'Transfer-Encoding: chunked')

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send_until_closed(env, f'{head}\r\n')
            assert answer.startswith(b'HTTP/1.1 503 ')
            assert answer.count(b'HTTP/1.1') == 1

    asyncio.run(play())
    assert len(named(lines, 'request-refused')) == 1


async def send(env: whole.Environment, data: str) -> bytes:
    """Sends bytes on a new connection; returns the head of the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
    writer.write(data.encode('latin-1'))
    try:
        return await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()


async def send_until_closed(env: whole.Environment, data: str) -> bytes:
    """Sends bytes on a new connection; returns all that is answered."""
    reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
    writer.write(data.encode('latin-1'))
    received = b''
    # What was not read of them makes a close a reset.
    with contextlib.suppress(ConnectionResetError):
        while part := await reader.read(65_536):
            received += part
    writer.close()
    return received


def test_request_has_an_end_where_its_log_line_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            monkeypatch.setattr(event_log.EventLog, 'info', fail)
            monkeypatch.setattr(admission, 'admit', fail)
            async with asyncio.timeout(END_WITHIN_S):
                answer = await send(env, f'{HEAD}\r\n')
            assert answer.startswith(b'HTTP/1.1 503 ')

    asyncio.run(play())
