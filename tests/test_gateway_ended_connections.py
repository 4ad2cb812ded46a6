"""Connections that have ended leave nothing to the cyclic collector.

It runs by the number of objects, not by their bytes: what a closed
connection leaves in reference cycles stays in memory, and nobody counts it.
"""

import asyncio
import collections
import collections.abc
import gc
import typing

import h11
import pytest

from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import connection_reply
from oleanderdrift.gateway import model
from oleanderdrift.gateway import progress
from oleanderdrift.gateway import request_body
from oleanderdrift.gateway import request_reader
from standins import replica as replica_lib
from tests import test_gateway_whole as whole

CALLERS: typing.Final = 5
BODY: typing.Final = b'x' * 100_000
HEAD: typing.Final = (
    'POST /a/b HTTP/1.1\r\nHost: desk.example\r\nCredential: k1\r\n'
    'Attempt-Id: q%d\r\nDeadline-Ms: 1500\r\n%s\r\n'
)
STATED: typing.Final = f'Content-Length: {len(BODY)}\r\n'
CHUNKED: typing.Final = 'Transfer-Encoding: chunked\r\n'
CHUNK: typing.Final = b'186a0\r\n' + BODY + b'\r\n'
# What there is of each connection or request.
KINDS: typing.Final = (
    client_stream.ClientStream,
    connection_reply.ConnectionReply,
    h11.Request,
    model.Request,
    progress.Progress,
    request_body.RequestBody,
    request_reader.RequestReader,
)


def alive() -> list[object]:
    """Returns all objects of connections and requests."""
    return [one for one in gc.get_objects() if type(one) in KINDS]


def count_new(others: list[object]) -> dict[str, int]:
    """Returns how many objects there are besides others, by their kind."""
    known = set(map(id, others))
    return dict(
        collections.Counter(
            type(one).__name__ for one in alive() if id(one) not in known
        )
    )


async def call(port: int, number: int, fields: str, data: bytes) -> None:
    """Sends a request, waits for what comes for a moment, and leaves."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write((HEAD % (number, fields)).encode() + data)
    try:
        async with asyncio.timeout(0.3):
            await reader.read()
    except (TimeoutError, ConnectionError):
        pass
    writer.transport.abort()


@pytest.fixture
def others() -> collections.abc.Iterator[list[object]]:
    """Switches the cyclic collector off; yields what other tests left."""
    gc.collect()
    gc.disable()
    yield alive()
    gc.enable()


@pytest.mark.parametrize(
    ('fields', 'data', 'behaviour'),
    [
        pytest.param(STATED, b'', replica_lib.Silent(), id='head'),
        pytest.param(STATED, BODY[1:], replica_lib.Silent(), id='short'),
        pytest.param(CHUNKED, CHUNK, replica_lib.Silent(), id='short-chunks'),
        pytest.param(
            CHUNKED, CHUNK + b'0\r\n\r\n', replica_lib.Silent(), id='chunks'
        ),
        pytest.param(CHUNKED, b'zz\r\n', replica_lib.Silent(), id='malformed'),
        pytest.param(
            CHUNKED, b'ffffffff\r\n', replica_lib.Silent(), id='too-long'
        ),
        pytest.param(STATED, BODY, replica_lib.Silent(), id='unanswered'),
        pytest.param(
            STATED, BODY, replica_lib.CompleteResponse(), id='answered'
        ),
        pytest.param(
            STATED + 'Connection: close\r\n',
            BODY,
            replica_lib.CompleteResponse(),
            id='answered-and-closed',
        ),
        pytest.param(STATED, BODY, replica_lib.Reset(), id='broken-off'),
        pytest.param(
            STATED, BODY * 2, replica_lib.CompleteResponse(), id='too-many'
        ),
    ],
)
def test_ended_connections_leave_nothing(
    fields: str,
    data: bytes,
    behaviour: replica_lib.Behaviour,
    others: list[object],
) -> None:
    """Guards against bodies that nobody counts."""

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            env.replica.behaviours = [behaviour]
            env.write_config(
                Version=2,
                Routes=[
                    {**whole.ROUTE, 'Kind': 'idempotent', 'Retain': False}
                ],
            )
            board = env.gateway.board
            await env.wait_until(
                lambda: bool(board.config and board.config.version == 2)
            )
            for number in range(CALLERS):
                await call(env.port, number, fields, data)
            await env.wait_until(
                lambda: (
                    not board.open_requests and not env.gateway.ingress.readers
                )
            )
            # The last callbacks of the tasks that have ended.
            await asyncio.sleep(0.05)
            assert count_new(others) == {}

    asyncio.run(play())
