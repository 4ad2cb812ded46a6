"""Tests of how failed exchanges with upstreams are classified."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import http_out
from tests import cut_heads

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n'


class Server:
    """Responds with fixed bytes, then closes the connection or keeps it."""

    def __init__(self, data: bytes, keep_open: bool) -> None:
        self.data = data
        self.keep_open = keep_open
        self.requests = 0
        self.shutdown = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to the requests of one connection."""
        with contextlib.closing(writer):
            while await reader.readline():
                while (await reader.readline()).strip():
                    pass
                self.requests += 1
                writer.write(self.data)
                if not self.keep_open:
                    return
                if not self.data.startswith(HEAD + b'0123456789'):
                    await self.shutdown.wait()


def request(port: int, *, once: bool = False) -> http_out.UpstreamRequest:
    """Returns a request to a loopback port."""
    return http_out.UpstreamRequest(
        method='GET',
        url=f'http://127.0.0.1:{port}/',
        headers={},
        body=b'',
        once=once,
        connect_timeout_s=1.0,
        silence_s=1.0,
    )


async def exchange(
    data: bytes,
    keep_open: bool,
    use: collections.abc.Callable[
        [http_out.UpstreamClient, int, Server],
        collections.abc.Awaitable[typing.Any],
    ],
) -> typing.Any:
    """Calls use with a client and a server that responds with data."""
    server = Server(data, keep_open)
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    client = http_out.UpstreamClient(max_streams=4)
    port = listener.sockets[0].getsockname()[1]
    try:
        return await use(client, port, server)
    finally:
        server.shutdown.set()
        listener.close()
        client.close()


async def read_all(stream: http_out.Stream) -> bytes:
    """Reads a stream to its end."""
    await stream.start()
    parts = []
    while data := await stream.read():
        parts.append(data)
    return b''.join(parts)


@pytest.mark.parametrize(
    ('data', 'keep_open', 'code'),
    [
        (b'', False, codes.UPSTREAM_FAILED),
        (HEAD + b'short', False, codes.UPSTREAM_FAILED),
        (HEAD + b'short', True, codes.UPSTREAM_TIMEOUT),
        (b'', True, codes.UPSTREAM_TIMEOUT),
    ],
)
def test_incomplete_response_may_have_run(
    data: bytes, keep_open: bool, code: codes.ResultCode
) -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        await read_all(client.open(request(port)))

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(data, keep_open, use))
    assert caught.value.code is code


@pytest.mark.parametrize('once', [False, True])
@pytest.mark.parametrize('data', cut_heads.CUT.values(), ids=cut_heads.CUT)
def test_cut_answer_may_have_run(data: bytes, once: bool) -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        await read_all(client.open(request(port, once=once)))

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(data, False, use))
    assert caught.value.code is codes.UPSTREAM_FAILED


@pytest.mark.parametrize('data', cut_heads.CUT.values(), ids=cut_heads.CUT)
def test_cut_stream_is_not_passed_on_as_whole(data: bytes) -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        stream = client.open(request(port))
        await stream.start()
        await stream.pipe(lambda _data: True)

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(data, False, use))
    assert caught.value.code is codes.UPSTREAM_FAILED


@pytest.mark.parametrize('data', cut_heads.CUT.values(), ids=cut_heads.CUT)
def test_cut_report_is_no_report(data: bytes) -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        await http_out.get(client, f'http://127.0.0.1:{port}/', 1.0)

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(data, False, use))
    assert caught.value.code is codes.UPSTREAM_FAILED


@pytest.mark.parametrize('data', cut_heads.WHOLE.values(), ids=cut_heads.WHOLE)
def test_whole_answer_is_read(data: bytes) -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> bytes:
        return await read_all(client.open(request(port)))

    assert asyncio.run(exchange(data, False, use)) == cut_heads.BODY


def test_interim_answer_alone_may_have_run() -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        await read_all(client.open(request(port)))

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(b'HTTP/1.1 100 Continue\r\n\r\n', False, use))
    assert caught.value.code is codes.UPSTREAM_FAILED


def test_refused_connection_was_not_run() -> None:
    async def use(
        client: http_out.UpstreamClient, _port: int, _server: Server
    ) -> None:
        await read_all(client.open(request(1)))

    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(exchange(b'', False, use))
    assert caught.value.code is codes.UPSTREAM_UNREACHABLE


def test_cancelled_stream_ends() -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, _server: Server
    ) -> None:
        stream = client.open(request(port))
        await stream.start()
        assert await stream.read() == b'short'
        stream.cancel()
        await stream.read()

    with pytest.raises(errors.ResultError):
        asyncio.run(exchange(HEAD + b'short', True, use))


def test_once_request_is_not_retried_on_a_closed_connection() -> None:
    async def use(
        client: http_out.UpstreamClient, port: int, server: Server
    ) -> int:
        await read_all(client.open(request(port)))
        server.keep_open = False
        server.data = b''
        with pytest.raises(errors.ResultError):
            await read_all(client.open(request(port, once=True)))
        return server.requests

    assert asyncio.run(exchange(HEAD + b'0123456789', True, use)) == 2
