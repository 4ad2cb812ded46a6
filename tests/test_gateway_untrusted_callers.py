"""Callers at the edge of the limits or beyond neither end nor hang a process.

Each test runs one instance as a process with low limits, a crowd of callers
that misbehave in one way, and one ordinary request beside the crowd and one
after it.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import re
import typing

import attrs
import pytest

from oleanderdrift.gateway import model
from oleanderdrift.gateway import tunnel_wire
from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_floods as floods

MEMORY_MB: typing.Final = 64
MAX_FDS: typing.Final = 400
CROWD: typing.Final = 150
# More connections than the process may have descriptors.
MANY: typing.Final = 450
# How long the crowd goes on before an ordinary request is sent.
PLAY_S: typing.Final = 3.0
METRICS_PORT: typing.Final = 9464
BODY_BYTES: typing.Final = 4_194_304
BLOCK: typing.Final = b'x' * 65_536
BODY: typing.Final = (BLOCK,) * (BODY_BYTES // len(BLOCK))
SHORT: typing.Final = (*BODY[1:], BLOCK[1:])
STATED: typing.Final = f'Content-Length: {BODY_BYTES}\r\n'
CHUNKED: typing.Final = 'Transfer-Encoding: chunked\r\n'
GET: typing.Final = b'GET %s HTTP/1.1\r\nHost: x\r\n\r\n'
POST: typing.Final = (
    b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\n'
)
TUNNEL: typing.Final = tunnel_wire.encode(
    tunnel_wire.Open(incarnation=f'u0{model.INCARNATION_SEPARATOR}1')
)
ANSWER: typing.Final = replica_lib.CompleteResponse(body=b'x' * 200_000)


class Unread(replica_lib.Replica):
    """A replica that accepts connections and reads nothing."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Keeps the connection open until the test ends."""
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


@attrs.frozen(kw_only=True)
class Row:
    """What each caller of a crowd sends; head is that of its requests.

    data follows the head, piece by piece with a pause after each.  refused
    is a kind of refusal that such a crowd meets, empty if it depends on the
    order in which they come.
    """

    head: bytes | None = None
    fields: str = STATED
    data: collections.abc.Sequence[bytes] = ()
    repeats: int = 1
    pause_s: float = 0.0
    port: int = gateways.FRONT_PORT
    callers: int = CROWD
    reads: bool = False
    upstream: 'replica_lib.Behaviour | type[Unread]' = replica_lib.Silent()
    refused: str = ''

    async def call(self, site: floods.Site) -> None:
        """Sends all, then keeps the connection open until cancelled."""
        try:
            _, writer = await asyncio.open_connection(
                site.instance.address, self.port, limit=4_096
            )
        except OSError:
            return
        try:
            # No answer is read, whatever comes.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            for _ in range(self.repeats):
                head = self.head
                if head is None:
                    head = site.head('/calls/', 'k1', self.fields)
                for piece in (head, *self.data):
                    writer.write(piece)
                    await writer.drain()
                    if self.pause_s:
                        await asyncio.sleep(self.pause_s)
            await asyncio.Event().wait()
        except ConnectionError:
            return
        finally:
            writer.transport.abort()


ROWS: typing.Final = {
    'whole-bodies': Row(data=BODY),
    'whole-bodies-unread-upstream': Row(data=BODY, upstream=Unread),
    'whole-smaller-bodies': Row(
        fields='Content-Length: 524288\r\n', data=BODY[:8], upstream=Unread
    ),
    'short-bodies': Row(data=SHORT, refused='held_bytes'),
    'short-chunked-bodies': Row(
        fields=CHUNKED, data=[floods.chunk(BLOCK)] * (len(BODY) - 1)
    ),
    'bodies-in-pieces': Row(data=[b'x' * 512] * 2_000),
    'bodies-in-small-chunks': Row(
        fields=CHUNKED, data=[floods.chunk(b'x' * 64) * 16] * 200
    ),
    'pipelined-unread': Row(
        fields='Content-Length: 0\r\n',
        repeats=3_000,
        upstream=ANSWER,
        refused='unread_answers',
    ),
    'pipelined-bodies-unread': Row(
        data=BODY, repeats=4, upstream=replica_lib.CompleteResponse()
    ),
    'endless-heads': Row(fields='A: ' + 'b' * 1_000_000, refused='long_heads'),
    'head-a-byte-a-second': Row(
        head=b'POST /calls/x', data=[b'x'] * 60, pause_s=1, callers=MANY
    ),
    'body-a-byte-a-second': Row(data=[*SHORT[1:], *[b'x'] * 60], pause_s=0.01),
    'silent': Row(head=b'', callers=MANY, refused='connections_closed'),
    'heads-then-silent': Row(callers=MANY),
    'ready-bodies': Row(
        head=POST % b'/-/ready',
        data=SHORT,
        port=gateways.READY_PORT,
        refused='operators',
    ),
    'ready-silent': Row(
        head=b'', callers=MANY, port=gateways.READY_PORT, refused='operators'
    ),
    'ready-heads': Row(
        head=BLOCK * 16, port=gateways.READY_PORT, refused='operators'
    ),
    'metrics-bodies': Row(
        head=POST % b'/metrics',
        data=SHORT,
        port=METRICS_PORT,
        refused='operators',
    ),
    'metrics-pipelined': Row(
        head=GET % b'/metrics',
        repeats=2_000,
        port=METRICS_PORT,
        refused='operators',
    ),
    'metrics-silent': Row(
        head=b'', callers=MANY, port=METRICS_PORT, refused='operators'
    ),
    'tunnel-bodies': Row(
        head=TUNNEL,
        data=[b'', *BODY],
        pause_s=0.01,
        port=gateways.TUNNEL_PORT,
        refused='tunnels',
        callers=MANY,
        upstream=Unread,
    ),
    'tunnel-silent': Row(
        head=b'', callers=MANY, port=gateways.TUNNEL_PORT, refused='tunnels'
    ),
}


# The log line of each kind of refusal.
EVENTS: typing.Final = {
    'connections_closed': 'event=connection-evicted',
    'connections_refused': 'event=connection-refused',
    'held_bytes': 'code=3004',
    'long_heads': 'event=head-too-long',
    'open_requests': 'code=3001',
    'operators': 'event=operators-connection-closed',
    'slow_bodies': 'code=1007',
    'slow_heads': 'event=connection-closed',
    'tunnels': 'event=tunnel-refused',
    'unread_answers': 'held=',
}


def count_refused(metrics: str, kind: str) -> float:
    """Returns how many refusals of a kind the metrics show."""
    (found,) = re.findall(
        rf'^oleanderdrift_refused_{kind} (.*)$', metrics, re.M
    )
    return float(found)


async def await_event(site: floods.Site, kind: str) -> None:
    """Waits for the log line of a kind of refusal; lines come in batches."""
    async with asyncio.timeout(floods.WAIT_S):
        while EVENTS[kind] not in site.instance.log():
            await asyncio.sleep(0.1)


async def read_answer(site: floods.Site, port: int, path: bytes) -> bytes:
    """Returns the answer of an operators' port."""
    try:
        reader, writer = await asyncio.open_connection(
            site.instance.address, port
        )
        writer.write((GET % path).replace(b'x\r', b'x\r\nConnection: close\r'))
        async with asyncio.timeout(2):
            received = await reader.read()
        writer.transport.abort()
    except (TimeoutError, OSError):
        return b''
    return received


async def await_ordinary(site: floods.Site) -> str:
    """Waits until a request and both ports are answered; returns metrics."""
    async with asyncio.timeout(floods.WAIT_S):
        while not await floods.is_serving(site):
            await asyncio.sleep(0.1)
        for port, path in (
            (gateways.READY_PORT, b'/-/ready'),
            (METRICS_PORT, b'/metrics'),
        ):
            while True:
                answer = await read_answer(site, port, path)
                if answer.startswith(b'HTTP/1.1 200'):
                    break
                await asyncio.sleep(0.1)
    return answer.decode()


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
def test_crowd_does_not_end_or_hang_the_process(
    row: Row, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that is killed, or that accepts no more."""
    limits = f'MemoryMb = {MEMORY_MB}\nMaxFds = {MAX_FDS}\n'
    most_fds = 0

    async def watch(site: floods.Site) -> None:
        nonlocal most_fds
        assert site.instance.child is not None
        folder = pathlib.Path(f'/proc/{site.instance.child.pid}/fd')
        while True:
            most_fds = max(most_fds, len(list(folder.iterdir())))
            await asyncio.sleep(0.02)

    async def play() -> None:
        upstream: 'replica_lib.Behaviour | replica_lib.Replica' = (
            Unread(behaviours=[])
            if isinstance(row.upstream, type)
            else row.upstream
        )
        async with floods.run_site(tmp_path, upstream, limits) as site:
            watcher = asyncio.create_task(watch(site))
            crowd = [
                asyncio.create_task(row.call(site)) for _ in range(row.callers)
            ]
            await asyncio.sleep(PLAY_S)
            await await_ordinary(site)
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            found = await await_ordinary(site)
            watcher.cancel()
            peak_mb = site.peak_mb()
            print(f'peak_mb={peak_mb:.0f} fds={most_fds}')
            assert peak_mb < MEMORY_MB
            assert most_fds < MAX_FDS
            assert sum(count_refused(found, kind) for kind in EVENTS) > 0
            if row.refused:
                assert count_refused(found, row.refused) > 0
                await await_event(site, row.refused)

    asyncio.run(play())


def test_single_callers_within_the_limits_are_served(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against limits that a caller within the documented ones meets.

    The machine is the smallest.  Callers that are too slow are told so.
    """

    async def play() -> None:
        async with floods.run_site(
            tmp_path,
            replica_lib.CompleteResponse(),
            'MemoryMb = 136\nMaxFds = 1638\n',
        ) as site:
            padding = f'A: {"b" * 15_000}\r\nConnection: close\r\n'
            answer = await site.send(
                '/calls/',
                fields=padding + STATED,
                body=BLOCK * len(BODY),
            )
            assert answer.startswith(b'HTTP/1.1 200')
            # The deadline of its requests is 3 s.
            slow = await site.send('/calls/', fields=STATED, body=BLOCK)
            assert slow.startswith(b'HTTP/1.1 408')
            _, writer = await asyncio.open_connection(
                site.instance.address, gateways.FRONT_PORT
            )
            writer.write(b'POST /calls/')
            async with asyncio.timeout(floods.WAIT_S):
                while True:
                    found = await await_ordinary(site)
                    if count_refused(found, 'slow_heads'):
                        break
                    await asyncio.sleep(0.1)
            assert count_refused(found, 'slow_bodies') == 1
            for kind in ('slow_bodies', 'slow_heads'):
                await await_event(site, kind)
            writer.close()

    asyncio.run(play())
