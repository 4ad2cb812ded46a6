"""An answer that was cut is never passed on, or decoded, as a whole one."""

import asyncio
import collections.abc
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift import instance_client
from oleanderdrift import list_client
from oleanderdrift import log_client
from oleanderdrift.platform import store
from standins import replica
from tests import cut_heads
from tests import gateway_desk

ROUTES: typing.Final[dict[str, dict[str, typing.Any]]] = {
    'idempotent': {'kind': model.RouteKind.IDEMPOTENT},
    'once': {'kind': model.RouteKind.NON_IDEMPOTENT},
    'stream': {'kind': model.RouteKind.STREAMING},
    'resumable': {'kind': model.RouteKind.STREAMING, 'resumable': True},
}
BAD_GATEWAY: typing.Final = 502


def of_upstream(data: bytes, content_type: bytes) -> bytes:
    """Returns an answer with the headers that upstreams send."""
    own = b' OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n'
    data = data.replace(b' OK\r\n', own)
    return data.replace(b'text/plain', content_type)


def has_head(name: str) -> bool:
    """Returns whether an answer is cut behind its head."""
    return b'\r\n\r\n' in cut_heads.CUT[name]


@pytest.mark.parametrize('kind', [b'text/plain', b'text/event-stream'])
@pytest.mark.parametrize('route', ROUTES.values(), ids=ROUTES)
@pytest.mark.parametrize('name', cut_heads.CUT)
def test_cut_answer_is_not_passed_on_as_whole(
    name: str, route: dict[str, typing.Any], kind: bytes
) -> None:
    async def scenario() -> gateway_desk.RecordingReply:
        data = of_upstream(cut_heads.CUT[name], kind)
        async with gateway_desk.run_harness(
            [replica.Raw(data=data)], route=route
        ) as harness:
            return await harness.send_request()

    reply = asyncio.run(scenario())
    if reply.ended == 'aborted':
        assert has_head(name)
    else:
        assert reply.status == BAD_GATEWAY
        assert 'response-seal' not in reply.headers


@pytest.mark.parametrize('data', cut_heads.WHOLE.values(), ids=cut_heads.WHOLE)
def test_whole_answer_is_passed_on(data: bytes) -> None:
    async def scenario() -> None:
        answer = of_upstream(data, b'text/plain')
        async with gateway_desk.run_harness(
            [replica.Raw(data=answer)], route=ROUTES['once']
        ) as harness:
            reply = await harness.send_request()
            assert (reply.status, reply.ended) == (200, 'complete')
            assert reply.body == cut_heads.BODY

    asyncio.run(scenario())


Call: typing.TypeAlias = collections.abc.Callable[
    [int], collections.abc.Awaitable[object]
]


async def append_to_store(port: int) -> object:
    """Appends a record to the platform's store."""
    return await store.Store(f'127.0.0.1:{port}', 4, 4_096).append(
        't', 0, [b'a']
    )


async def read_store(port: int) -> object:
    """Reads records of the platform's store."""
    return await store.Store(f'127.0.0.1:{port}', 4, 4_096).read('t', 0, 0)


async def list_store(port: int) -> object:
    """Lists the newest records of the platform's store."""
    return await store.Store(f'127.0.0.1:{port}', 4, 4_096).newest('t')


async def append_to_log(port: int) -> object:
    """Appends a record to the log."""
    client = log_client.LogClient(f'http://127.0.0.1:{port}')
    try:
        return await client.append('s', b'a')
    finally:
        client.close()


async def read_log(port: int) -> object:
    """Reads records of the log."""
    client = log_client.LogClient(f'http://127.0.0.1:{port}')
    try:
        return await client.read('s', 1, 1, 0)
    finally:
        client.close()


async def read_list(port: int) -> object:
    """Reads the list of instances."""
    client = list_client.ListClient(
        base_url=f'http://127.0.0.1:{port}', timeout_s=1.0
    )
    try:
        return await client.read()
    finally:
        client.close()


async def read_status(port: int) -> object:
    """Reads the status of an instance."""
    return await instance_client.read_status(f'http://127.0.0.1:{port}', 't')


CALLS: typing.Final[dict[str, tuple[Call, codes.ResultCode, bytes]]] = {
    'store-append': (
        append_to_store,
        codes.APPEND_UNCONFIRMED,
        b'{"Offset": 1}',
    ),
    'store-read': (read_store, codes.APPEND_UNCONFIRMED, b'\0' * 16),
    'store-newest': (list_store, codes.APPEND_UNCONFIRMED, b'{}'),
    'log-append': (append_to_log, codes.APPEND_UNCONFIRMED, b'{"offset": 1}'),
    'log-read': (read_log, codes.LOG_UNAVAILABLE, b'\x83'),
    'list': (read_list, codes.LOG_UNAVAILABLE, b'[]'),
    'status': (read_status, codes.PEER_UNREACHABLE, b'{}'),
}


async def call_cut(call: Call, data: bytes) -> object:
    """Makes a call to a server that answers with data and closes."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await replica.read_request(reader)
        writer.write(data)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        return await call(server.sockets[0].getsockname()[1])
    finally:
        server.close()


def with_body(name: str, body: bytes) -> bytes:
    """Returns a cut answer whose body means something, if it has one.

    The length that its head gives is one more than what comes.
    """
    cut = cut_heads.CUT[name]
    head, end, _ = cut.partition(b'\r\n\r\n')
    if not end:
        return cut
    if b'chunked' in head:
        return head + end + b'%x\r\n' % len(body) + body + b'\r\n'
    return head.replace(b': 10', b': %d' % (len(body) + 1)) + end + body


@pytest.mark.parametrize('name', cut_heads.CUT)
@pytest.mark.parametrize(
    ('call', 'code', 'body'), CALLS.values(), ids=CALLS.keys()
)
def test_cut_answer_to_an_own_call_is_not_taken_for_whole(
    call: Call, code: codes.ResultCode, body: bytes, name: str
) -> None:
    data = with_body(name, body)
    if call is append_to_log:
        data = data.replace(b'200', b'201')
    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(call_cut(call, data))
    assert caught.value.code is code
