"""Measures the processor time that a tunnel costs the instance carrying it.

The carrier runs in a thread of its own, whose processor time is taken; the
caller and the upstream share another.  Both wait for one interpreter lock, so
the figures are upper bounds.
"""

import asyncio
import collections.abc
import contextlib
import threading
import time
import typing

import attrs

from bench import figure
from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import model
from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import settings as settings_lib
from oleanderdrift.gateway import tunnel_client
from oleanderdrift.gateway import tunnel_server

HOST: typing.Final = '127.0.0.1'
TUNNELS: typing.Final = 500
EVENTS: typing.Final = 5_000
EVENT: typing.Final = b'id: 1\ndata: ' + b'x' * 106 + b'\n\n'
MIB: typing.Final = 1_048_576
ANSWER_MIB: typing.Final = 64
TIMEOUT_S: typing.Final = 1.0
CLOSE_S: typing.Final = 0.05
US_PER_S: typing.Final = 1e6
HEAD: typing.Final = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
SETTINGS: typing.Final = settings_lib.GatewaySettings(
    instance='north-1',
    data_centre='north',
    listen='',
    ready_listen='',
    peer_listen='',
    tunnel_listen='',
    metrics_listen='',
    store='',
    store_partitions=1,
    store_record_bytes=1,
    store_writes_per_s=1.0,
    key_grace_s=1.0,
    stop_s=1.0,
    upstream_drain_s=1.0,
    cores=1.0,
    memory_bytes=188_743_680,
    link_mbps=1_000.0,
    turn_retention_s=1.0,
)


class Carrier:
    """Runs a tunnel server in a thread with a loop of its own."""

    def __init__(self, entry: model.UpstreamEntry) -> None:
        board = board_lib.Board(
            settings=SETTINGS,
            rate_limiter=allotments.RateLimiter(started=0.0),
            reachability=reachability.Reachability(data_centre='north'),
        )
        board.upstreams.put(entry)
        self.server = tunnel_server.TunnelServer(board, event_log.EventLog())
        self.server.listen(HOST, 0)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.serving = asyncio.run_coroutine_threadsafe(
            self.server.serve(), self.loop
        )

    async def cpu_s(self) -> float:
        """Returns the processor time of the carrier's thread."""

        async def read() -> float:
            return time.thread_time()

        reading = asyncio.run_coroutine_threadsafe(read(), self.loop)
        return await asyncio.wrap_future(reading)

    def stop(self) -> None:
        """Ends the thread, once the server has closed."""
        self.serving.cancel()
        closing = asyncio.sleep(CLOSE_S)
        asyncio.run_coroutine_threadsafe(closing, self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


@attrs.frozen(kw_only=True)
class Ends:
    """Opens tunnels; the upstream's end of each comes to accepted."""

    carrier: Carrier
    entry: model.UpstreamEntry
    accepted: 'asyncio.Queue[asyncio.StreamWriter]'

    async def open(self) -> tuple[channel.Channel, asyncio.StreamWriter]:
        """Opens a tunnel; returns both of its ends."""
        host, port = self.carrier.server.listeners[0].getsockname()
        opened = await tunnel_client.open_tunnel(
            f'{host}:{port}', self.entry, TIMEOUT_S
        )
        return opened, await self.accepted.get()


@contextlib.asynccontextmanager
async def run_ends() -> collections.abc.AsyncIterator[Ends]:
    """Runs a carrier and an upstream."""
    accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def accept(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await accepted.put(writer)

    upstream = await asyncio.start_server(accept, HOST, 0)
    entry = model.UpstreamEntry(
        upstream_id='u1',
        service='s',
        data_centre='north',
        host=HOST,
        port=upstream.sockets[0].getsockname()[1],
        slots=1,
        draining=False,
        born_ms=1,
        cold_s=0.0,
        version='v1',
    )
    carrier = Carrier(entry)
    try:
        yield Ends(carrier=carrier, entry=entry, accepted=accepted)
    finally:
        carrier.stop()
        upstream.close()


async def tunnel_us(ends: Ends) -> float:
    """Returns the processor time of opening and closing a tunnel."""
    before = await ends.carrier.cpu_s()
    for _ in range(TUNNELS):
        opened, writer = await ends.open()
        opened.close()
        writer.close()
    return (await ends.carrier.cpu_s() - before) / TUNNELS * US_PER_S


async def event_us(ends: Ends) -> float:
    """Returns the processor time of an event that comes by itself."""
    opened, writer = await ends.open()
    await opened.send('POST', '/', [('Host', 'x')], b'')
    writer.write(HEAD % (EVENTS * len(EVENT)))
    await opened.read_head(0.0)
    before = await ends.carrier.cpu_s()
    for _ in range(EVENTS):
        writer.write(EVENT)
        await opened.read_chunk()
    spent = await ends.carrier.cpu_s() - before
    opened.close()
    writer.close()
    return spent / EVENTS * US_PER_S


async def mib_us(ends: Ends) -> float:
    """Returns the processor time of 1 MiB of a large answer."""
    opened, writer = await ends.open()
    await opened.send('POST', '/', [('Host', 'x')], b'')
    size = ANSWER_MIB * MIB
    writer.write(HEAD % size)
    await opened.read_head(0.0)
    before = await ends.carrier.cpu_s()
    writer.write(bytes(size))
    await opened.read_body(size)
    spent = await ends.carrier.cpu_s() - before
    opened.close()
    writer.close()
    return spent / ANSWER_MIB * US_PER_S


async def measure() -> list[figure.Figure]:
    """Returns the figures."""
    async with run_ends() as ends:
        return [
            figure.Figure(
                name='tunnel opened and closed',
                unit='us of the carrier',
                value=await tunnel_us(ends),
            ),
            figure.Figure(
                name='event of 120 bytes through a tunnel',
                unit='us of the carrier',
                value=await event_us(ends),
            ),
            figure.Figure(
                name='MiB through a tunnel',
                unit='us of the carrier',
                value=await mib_us(ends),
            ),
        ]


def figures() -> list[figure.Figure]:
    """Returns the figures."""
    return asyncio.run(measure())
