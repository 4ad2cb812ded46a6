"""Invalid answers of upstreams do not reach callers as responses.

Each is sent directly and through a peer's tunnel, to an ordinary request and
to a turn that is retained; and through a process, to callers that send their
body in chunks or slowly.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import socket
import struct
import typing

import attrs
import pytest

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import model
from oleanderdrift.gateway import records
from oleanderdrift.gateway import tunnel_client
from standins import replica as replica_lib
from tests import gateway_desk
from tests import gateway_support
from tests import test_gateway_floods as floods
from tests import tunnel_support

BODY: typing.Final = b'x' * 4_194_304
ROUTES: typing.Final[dict[str, dict[str, typing.Any]]] = {
    'call': {'kind': model.RouteKind.NON_IDEMPOTENT},
    'repeated': {'kind': model.RouteKind.IDEMPOTENT, 'attempts': 2},
    'turn': {'kind': model.RouteKind.STREAMING, 'retains': True},
}
PARTS: typing.Final = {
    'text': b'part',
    'events': b'id: 1\ndata: e1\n\n',
}
STATED: typing.Final = 'Content-Length: 4\r\n'
RESET: typing.Final = struct.pack('ii', 1, 0)
PAUSE_S: typing.Final = 0.05
BAD_GATEWAY: typing.Final = 502


def head(status: str, fields: str) -> bytes:
    """Returns the head of an answer with the headers of upstreams."""
    return (
        f'HTTP/1.1 {status} OK\r\nAttempt-Id: $ID\r\nResponse-Seal: s\r\n'
        f'{fields}\r\n'
    ).encode()


@attrs.define(kw_only=True)
class Early(replica_lib.Replica):
    """Answers a request before its body is read, and breaks off.

    ends_first says that it first closes its own direction in order.
    """

    answer_data: bytes = b''
    pause_s: float = 0.0
    ends_first: bool = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the first request of a connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            lines = await reader.readuntil(b'\r\n\r\n')
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            found = lines.decode().lower().partition('attempt-id: ')[2]
            request_id = found.partition('\r\n')[0].encode()
            writer.write(self.answer_data.replace(b'$ID', request_id))
            await asyncio.sleep(self.pause_s)
            if self.ends_first:
                writer.write_eof()
                await asyncio.sleep(PAUSE_S)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


ENDS: typing.Final[dict[str, dict[str, typing.Any]]] = {
    'at once': {},
    'after a pause': {'pause_s': PAUSE_S},
    'after its end': {'pause_s': PAUSE_S, 'ends_first': True},
}


@contextlib.asynccontextmanager
async def run_harness(
    upstream: replica_lib.Replica, route: dict[str, typing.Any], tunnel: bool
) -> collections.abc.AsyncIterator[gateway_desk.Harness]:
    """Runs a forwarder before an upstream, directly or through a peer."""
    await upstream.start()
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            gateway_desk.run_harness(route=route)
        )
        entry = gateway_support.entry('u0', port=upstream.port)
        harness.forwarder.board.upstreams.put(entry)
        if tunnel:
            carrier = await stack.enter_async_context(
                tunnel_support.run_carrier()
            )
            carrier.board.upstreams.put(entry)

            async def connect(
                host: str, port: int, timeout_s: float
            ) -> channel.Channel:
                return await tunnel_client.open_tunnel(
                    carrier.address, entry, timeout_s, via='north-2'
                )

            harness.forwarder.attempts.pool.connect = connect
        yield harness
        await upstream.stop()


def check_broken(
    reply: gateway_desk.RecordingReply, harness: gateway_desk.Harness
) -> None:
    """Checks that the caller and the store have no whole answer."""
    assert reply.ended == 'aborted' or reply.status == BAD_GATEWAY
    assert not any(
        found
        for (topic, _), found in harness.log.data.items()
        if topic == records.TURN_TOPIC
    )


@pytest.mark.parametrize('tunnel', [False, True], ids=['direct', 'tunnel'])
@pytest.mark.parametrize('end', ENDS.values(), ids=ENDS)
@pytest.mark.parametrize('part', PARTS.values(), ids=PARTS)
@pytest.mark.parametrize('route', ROUTES.values(), ids=ROUTES)
def test_answer_that_breaks_off_during_the_upload_is_not_whole(
    route: dict[str, typing.Any],
    part: bytes,
    end: dict[str, typing.Any],
    tunnel: bool,
) -> None:
    """Guards against a part of an answer that is passed on as all of it."""
    fields = 'Content-Type: text/event-stream\r\n' if b'id' in part else ''
    upstream = Early(
        behaviours=[], answer_data=head('200', fields) + part, **end
    )

    async def play() -> None:
        async with run_harness(upstream, route, tunnel) as harness:
            reply = await harness.send_request(body=BODY)
            check_broken(reply, harness)

    asyncio.run(play())


@pytest.mark.parametrize('tunnel', [False, True], ids=['direct', 'tunnel'])
@pytest.mark.parametrize('framing', [STATED, ''])
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
@pytest.mark.parametrize('route', ROUTES.values(), ids=ROUTES)
def test_status_that_is_none_is_not_passed_on(
    route: dict[str, typing.Any], status: str, framing: str, tunnel: bool
) -> None:
    """Guards against a status that no caller can act on."""
    data = head(status, framing).replace(b'$ID', b'q1') + b'part'
    upstream = replica_lib.Replica(behaviours=[replica_lib.Raw(data=data)])

    async def play() -> None:
        async with run_harness(upstream, route, tunnel) as harness:
            reply = await harness.send_request()
            check_broken(reply, harness)
            assert reply.status == BAD_GATEWAY

    asyncio.run(play())


def is_whole(received: bytes) -> bool:
    """Returns whether a caller takes this for a whole answer."""
    lines, end, body = received.partition(b'\r\n\r\n')
    length = lines.lower().partition(b'content-length: ')[2]
    if length:
        return len(body) == int(length.split(b'\r\n')[0])
    return bool(end) and body.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('path', ['/calls/', '/turns/'])
@pytest.mark.parametrize('pause_s', [0.0, 0.01], ids=['fast', 'slow'])
@pytest.mark.parametrize('chunked', [False, True], ids=['length', 'chunks'])
def test_callers_of_a_process_get_no_invalid_answer(
    chunked: bool, pause_s: float, path: str, tmp_path: pathlib.Path
) -> None:
    """Guards against the same where the body comes in chunks or slowly."""
    pieces = [BODY[:65_536]] * 64
    fields = f'Content-Length: {len(BODY)}\r\n'
    if chunked:
        pieces = [*map(floods.chunk, pieces), b'0\r\n\r\n']
        fields = 'Transfer-Encoding: chunked\r\n'

    async def send(site: floods.Site) -> bytes:
        reader, writer = await asyncio.open_connection(
            site.instance.address, 8080
        )
        for piece in (site.head(path, 'k1', fields), *pieces):
            writer.write(piece)
            await asyncio.sleep(pause_s)
        received = b''
        with contextlib.suppress(ConnectionError):
            # Whole answers leave the connection open.
            while not is_whole(received):
                more = await reader.read(65_536)
                if not more:
                    break
                received += more
        writer.transport.abort()
        return received

    async def play() -> None:
        upstream = Early(behaviours=[])
        async with floods.run_site(tmp_path, upstream) as site:
            for status in ('200', '099', '600', '999'):
                for end in ENDS.values():
                    fields = '' if status == '200' else STATED
                    upstream.answer_data = head(status, fields) + b'part'
                    upstream.pause_s = end.get('pause_s', 0.0)
                    upstream.ends_first = end.get('ends_first', False)
                    async with asyncio.timeout(floods.WAIT_S):
                        received = await send(site)
                    found = received.startswith(b'HTTP/1.1 502 ')
                    assert found or not is_whole(received), received

    asyncio.run(play())
