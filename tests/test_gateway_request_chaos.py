"""Many whole requests, each with one end: failures, cancellations, changes.

Exceptions, cancellations and hanging waits are injected, by a seed, around
what a request waits for, while configurations and upstreams come and go.
"""

import asyncio
import collections
import functools
import random
import typing

import attrs
import pytest

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import answer_relay
from oleanderdrift.gateway import attempts
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import request_end
from oleanderdrift.gateway import server
from oleanderdrift.gateway import turn_flow
from oleanderdrift.gateway import upstream_choice
from oleanderdrift.platform import codec
from standins import replica
from tests import test_gateway_whole as whole

CLIENTS: typing.Final = 8
REQUESTS: typing.Final = 25
GUARDLESS_REQUESTS: typing.Final = 5
INJECTION_SHARE: typing.Final = 0.01
HANG_SHARE: typing.Final = 0.003
# Four fifths of the shortest idle limit, as callers keep to.
REUSE_S: typing.Final = 0.24
DEADLINE_MS: typing.Final = 1_000
# The deadline, and what callers allow beyond it.
END_WITHIN_S: typing.Final = 2.5
NOT_RUN_STATUSES: typing.Final = frozenset((400, 401, 404, 429, 503))
AWAITED: typing.Final[tuple[tuple[typing.Any, str], ...]] = (
    (forwarder.Forwarder, 'find_origin'),
    (forwarder.Forwarder, 'handle_timeout'),
    (forwarder.Forwarder, 'send_error'),
    (forwarder.Forwarder, 'serve'),
    (turn_flow.TurnFlow, 'prepare'),
    (turn_flow.TurnFlow, 'query_store'),
    (turn_flow.TurnFlow, 'reserve'),
    (turn_flow.TurnFlow, 'store_turn'),
    (upstream_choice.UpstreamChooser, 'acquire'),
    (upstream_choice.UpstreamChooser, 'wait_for_origins'),
    (attempts.Attempts, 'run'),
    (attempts.Attempts, 'try_one'),
    (attempts.Attempts, 'handle_broken'),
    (attempts.Attempts, 'relay_answer'),
    (exchange, 'send_request'),
    (exchange, '_read_own_head'),
    (answer_relay.AnswerRelay, 'relay'),
    (answer_relay.AnswerRelay, 'relay_stream'),
    (answer_relay.AnswerRelay, 'relay_event'),
    (connection_reply.ConnectionReply, 'write_head'),
    (connection_reply.ConnectionReply, 'send_complete'),
    (connection_reply.ConnectionReply, 'write'),
    (connection_reply.ConnectionReply, 'finish'),
    (connection_reply.ConnectionReply, 'flush'),
)
# Not inside the time limit of the request.
UNLIMITED: typing.Final = frozenset(
    (
        'handle_timeout',
        'send_error',
        'serve',
        'write_head',
        'send_complete',
        'flush',
    )
)
CALLED: typing.Final[tuple[tuple[typing.Any, str], ...]] = (
    (codec.PlatformCodec, 'decode_request'),
    (admission, 'admit'),
    (attempts.Attempts, 'check_blocked'),
    (turn_flow.TurnFlow, 'settle'),
    (forwarder.Forwarder, 'record_outcome'),
)
BEHAVIOURS: typing.Final[tuple[replica.Behaviour, ...]] = (
    replica.Stream(),
    replica.Stream(),
    replica.Stream(),
    replica.Stream(pause_s=0.02),
    replica.Stream(cut_after=2),
    replica.Reset(),
    replica.Silent(),
)


@attrs.define(kw_only=True)
class Ends:
    """How the requests ended; lies are refusals of requests that ran."""

    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: set[str] = attrs.field(factory=set)
    lies: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class Chaos:
    """Injects failures by a seed."""

    chance: random.Random
    injected: int = 0

    def strike(self) -> None:
        """Raises now and then."""
        if self.chance.random() >= INJECTION_SHARE:
            return
        self.injected += 1
        raise self.chance.choice(
            (ValueError('injected'), asyncio.CancelledError())
        )

    def spoil(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Puts failures around everything that a request waits for."""
        for owner, name in AWAITED:
            monkeypatch.setattr(
                owner, name, self.spoilt_coroutine(getattr(owner, name))
            )
        for owner, name in CALLED:
            monkeypatch.setattr(
                owner, name, self.spoilt_function(getattr(owner, name))
            )

    def spoilt_coroutine(self, function: typing.Any) -> typing.Any:
        """Returns a coroutine function that fails or hangs now and then."""
        may_hang = function.__name__ not in UNLIMITED

        @functools.wraps(function)
        async def spoilt(*args: typing.Any, **names: typing.Any) -> typing.Any:
            self.strike()
            if may_hang and self.chance.random() < HANG_SHARE:
                await asyncio.Event().wait()
            result = await function(*args, **names)
            await asyncio.sleep(0)
            self.strike()
            return result

        return spoilt

    def spoilt_function(self, function: typing.Any) -> typing.Any:
        """Returns a function that fails now and then."""

        @functools.wraps(function)
        def spoilt(*args: typing.Any, **names: typing.Any) -> typing.Any:
            self.strike()
            return function(*args, **names)

        return spoilt


async def change_configuration(
    env: whole.Environment, chance: random.Random
) -> None:
    """Replaces routes, accounts, services, limits and the upstream."""
    version = 1
    while True:
        version += 1
        tenants = [{'Name': 'ward', 'ApiKeys': ['k1'], 'RatePerS': 0}]
        route = {
            **whole.ROUTE,
            'Name': f'r{version}',
            'TimeoutMs': chance.choice([200, 1_000, 5_000]),
            'Retain': chance.random() < 0.5,
            'Kind': chance.choice(['streaming', 'idempotent', 'keyed']),
            'Service': 'guide' if chance.random() < 0.8 else 'other',
        }
        services = [
            {'Name': name, 'Engine': {'Stride': 14}}
            for name in ('guide', 'other')[: chance.choice([1, 2])]
        ]
        env.write_config(
            Version=version,
            Routes=[route] if chance.random() < 0.9 else [],
            Tenants=tenants if chance.random() < 0.9 else [],
            Services=services,
            Limits={'IdleTimeoutMs': chance.choice([300, 400, 5_000])},
        )
        env.register_replica('ready' if chance.random() < 0.8 else 'draining')
        env.replica.behaviours = [chance.choice(BEHAVIOURS)]
        await asyncio.sleep(chance.uniform(0.01, 0.1))


async def cancel_requests(
    env: whole.Environment, chance: random.Random
) -> None:
    """Cancels requests that nobody has asked to cancel."""
    while True:
        await asyncio.sleep(chance.uniform(0.0, 0.05))
        tasks = list(env.gateway.ingress.tasks)
        if tasks:
            chance.choice(tasks).cancel()


async def send_requests(
    env: whole.Environment,
    client: int,
    count: int,
    chance: random.Random,
    ends: Ends,
) -> None:
    """Sends requests one by one, on connections that are used again."""
    connection, reusable_until = None, 0.0
    for number in range(count):
        name = f'q{client}-{number}'
        if asyncio.get_running_loop().time() >= reusable_until:
            connection = None
        if connection is None:
            connection = await asyncio.open_connection('127.0.0.1', env.port)
        reader, writer = connection
        # Idle for less than since the request was sent.
        reusable_until = asyncio.get_running_loop().time() + REUSE_S
        writer.write(
            f'POST /a/b HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {name}\r\nCredential: k1\r\nProgram-Id: p{client}'
            f'\r\nToken-Budget: 900000\r\nToken-Count: 10,588\r\n'
            f'Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        keeps = False
        try:
            async with asyncio.timeout(END_WITHIN_S):
                status, keeps = await read_answer(reader, name)
            ends.counts[f'answer {status}'] += 1
            if status in NOT_RUN_STATUSES:
                ends.refused.add(name)
        except TimeoutError:
            ends.counts['no end'] += 1
        except CutError:
            ends.counts['cut'] += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            ends.counts['closed'] += 1
        if not keeps:
            writer.close()
            connection = None
        await asyncio.sleep(chance.uniform(0.0, 0.1))


class CutError(Exception):
    """An answer that has begun was cut."""


async def read_answer(
    reader: asyncio.StreamReader, name: str
) -> tuple[int, bool]:
    """Returns an answer's status, and whether its connection stays open.

    Raises CutError, or IncompleteReadError if it has not begun.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    assert 'attempt-id' not in head or f'attempt-id: {name}\r' in head
    try:
        if 'transfer-encoding: chunked' in head:
            await reader.readuntil(b'0\r\n\r\n')
        else:
            length = head.partition('content-length: ')[2].partition('\r')[0]
            await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise CutError from error
    return int(head.split(' ')[1]), 'connection: close' not in head


async def play(
    monkeypatch: pytest.MonkeyPatch, seed: int, count: int = REQUESTS
) -> tuple[Chaos, Ends]:
    """Plays one seed; returns what was injected and how requests ended.

    count is the number of requests of each client.
    """
    chance = random.Random(seed)
    chaos, ends = Chaos(chance=random.Random(seed)), Ends()
    async with whole.run_environment() as env:
        await whole.make_ready(env)
        chaos.spoil(monkeypatch)
        disturbances = [
            asyncio.create_task(change_configuration(env, chance)),
            asyncio.create_task(cancel_requests(env, chance)),
        ]
        await asyncio.gather(
            *(
                send_requests(env, client, count, random.Random(client), ends)
                for client in range(CLIENTS)
            )
        )
        for task in disturbances:
            task.cancel()
        ran = {one.headers['attempt-id'] for one in env.replica.received}
        ends.lies = ends.refused & ran
    return chaos, ends


@pytest.fixture(autouse=True)
def quick_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets the limits of connections come into force at once."""
    monkeypatch.setattr(server, 'CONNECTION_CHECK_INTERVAL_S', 0.01)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_each_whole_request_has_one_end(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    chaos, ends = asyncio.run(play(monkeypatch, seed))
    assert chaos.injected > CLIENTS
    assert ends.counts['answer 200']
    assert ends.counts.total() == CLIENTS * REQUESTS
    assert not ends.counts['no end'], ends.counts
    assert not ends.counts['closed'], ends.counts
    assert not ends.lies


def test_without_the_guard_some_requests_have_no_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        request_end.RequestEnd, 'on_done', lambda end, task: None
    )
    _, ends = asyncio.run(play(monkeypatch, 1, GUARDLESS_REQUESTS))
    assert ends.counts['no end']
