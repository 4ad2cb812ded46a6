"""A whole instance over loopback: store, replica, callers, stop."""

import asyncio
import collections.abc
import contextlib
import json
import socket
import typing

import attrs
import pytest

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import follow
from oleanderdrift.gateway import server
from oleanderdrift.platform import codec
from oleanderdrift.platform import store as store_lib
from standins import platform_store
from standins import replica
from tests import gateway_support

WAIT_S: typing.Final = 15.0
ROUTE: dict[str, typing.Any] = {
    'Name': 'r',
    'Host': 'desk.example',
    'PathPrefix': '/a/',
    'Kind': 'streaming',
    'TimeoutMs': 5000,
    'Service': 'guide',
    'Attempts': 1,
    'Retain': True,
}
CONFIG: dict[str, typing.Any] = {
    'Version': 1,
    'Routes': [ROUTE],
    'Services': [{'Name': 'guide', 'Engine': {'Stride': 14}}],
    'Tenants': [{'Name': 'ward', 'ApiKeys': ['k1'], 'RatePerS': 0}],
}


@attrs.define(kw_only=True)
class Site:
    """An instance with what is around it."""

    gateway: server.Gateway
    store: platform_store.Store
    replica: replica.Replica
    port: int
    ready_port: int

    def publish(self, **changes: typing.Any) -> None:
        """Puts a configuration in the store, with changes."""
        value = json.dumps({**CONFIG, **changes}).encode()
        self.store.put('keyed.op', 'config', value)

    def enter(self, state: str = 'ready', born: int = 1) -> None:
        """Puts the replica's entry in the store."""
        entry = {
            'Service': 'guide',
            'Address': f'127.0.0.1:{self.replica.port}',
            'Zone': 'north',
            'Slots': 4,
            'State': state,
            'born': born,
        }
        value = json.dumps(entry).encode()
        self.store.put('keyed.servers', 'u1', value)

    async def until(self, met: collections.abc.Callable[[], bool]) -> None:
        """Waits until something holds."""
        async with asyncio.timeout(WAIT_S):
            while not met():
                await asyncio.sleep(0.005)

    async def status(self, port: int, path: str = '/') -> int:
        """Returns the status of a plain request."""
        answer = await self.ask(port, f'GET {path} HTTP/1.1', '')
        return int(answer.split(b' ')[1])

    async def ask(self, port: int, line: str, fields: str) -> bytes:
        """Sends a request on a new connection; returns all that comes."""
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = f'{line}\r\nHost: desk.example\r\nConnection: close\r\n'
        writer.write(f'{head}{fields}\r\n'.encode())
        async with asyncio.timeout(WAIT_S):
            answer = await reader.read()
        writer.close()
        return answer

    async def turn(self, name: str, fields: str = '') -> bytes:
        """Sends a turn and returns its answer."""
        return await self.ask(
            self.port,
            'POST /a/b HTTP/1.1',
            f'Attempt-Id: {name}\r\nCredential: k1\r\nProgram-Id: p\r\n'
            f'Token-Budget: 9000\r\nToken-Count: 10,588\r\n'
            f'Deadline-Ms: 5000\r\nContent-Length: 0\r\n{fields}',
        )


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@contextlib.asynccontextmanager
async def site() -> collections.abc.AsyncIterator[Site]:
    """Runs an instance, a store and a replica."""
    found = platform_store.start()
    there = replica.Replica(behaviours=[replica.Stream()])
    await there.start()
    ports = free_ports(4)
    addresses = [f'127.0.0.1:{port}' for port in ports]
    settings = attrs.evolve(
        gateway_support.SETTINGS,
        listen=addresses[0],
        ready_listen=addresses[1],
        peer_listen=addresses[2],
        metrics_listen=addresses[3],
        stop_s=5.0,
    )
    gateway = server.build(
        settings,
        lambda: settings,
        codec.PlatformCodec(),
        store_lib.Store(f'127.0.0.1:{found.port}', 4, 262_144),
        '/-/ready',
    )
    gateway.listen()
    gateway.start()
    try:
        yield Site(
            gateway=gateway,
            store=found.store,
            replica=there,
            port=ports[0],
            ready_port=ports[1],
        )
    finally:
        for task in gateway.tasks:
            task.cancel()
        gateway.gossip.close()
        gateway.ingress.server.stop()
        found.stop()
        await there.stop()


async def ready(at: Site) -> None:
    """Publishes and waits until the instance knows."""
    at.publish()
    at.enter()
    board = at.gateway.board
    await at.until(lambda: board.upstreams_known and bool(board.config))


def test_instance_serves_once_it_knows_the_configuration() -> None:
    async def play() -> None:
        async with site() as at:
            assert await at.status(at.ready_port, '/-/ready') == 503
            assert b' 503 ' in await at.turn('t0')
            await ready(at)
            assert await at.status(at.ready_port, '/-/ready') == 200
            answer = await at.turn('t1')
            assert answer.startswith(b'HTTP/1.1 200')
            assert b'Response-Seal: s' in answer
            assert answer.endswith(b'0\r\n\r\n')

    asyncio.run(play())


def test_key_that_was_taken_away_is_refused() -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            tenants = [{'Name': 'ward', 'ApiKeys': ['k2'], 'RatePerS': 0}]
            at.publish(Version=2, Tenants=tenants)
            board = at.gateway.board
            await at.until(
                lambda: bool(board.config and board.config.version == 2)
            )
            assert b' 401 ' in await at.turn('t1')
            # An older version must not come back.
            at.publish(Version=1)
            at.publish(Version=3, Tenants=tenants)
            await at.until(
                lambda: bool(board.config and board.config.version == 3)
            )
            assert at.replica.received == []

    asyncio.run(play())


def test_dropped_history_does_not_hide_a_version() -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            at.publish(Version=5)
            at.store.drop_history('keyed.op')
            board = at.gateway.board
            await at.until(
                lambda: bool(board.config and board.config.version == 5)
            )

    asyncio.run(play())


def test_draining_replica_gets_no_new_work() -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            at.enter('draining')
            upstreams = at.gateway.board.upstreams
            await at.until(lambda: not upstreams.of_service('guide', False))
            answer = await at.turn('t1')
            assert b' 503 ' in answer
            assert b'retry-after' in answer.lower()
            assert at.replica.received == []

    asyncio.run(play())


def test_malformed_entry_does_not_disturb_the_others() -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            at.store.put('keyed.servers', 'bad', b'{"Service": 5}')
            at.store.put('keyed.servers', 'worse', b'\xff')
            assert b' 200 ' in await at.turn('t1')

    asyncio.run(play())


def test_instance_stays_ready_in_calm_times() -> None:
    # Between two answers of the store its news is half a second old.
    async def play() -> None:
        async with site() as at:
            await ready(at)
            loop = asyncio.get_running_loop()
            until = loop.time() + 2 * follow.CONFIG_POLL_TIMEOUT_S + 0.2
            await at.until(lambda: at.gateway.store_watcher.config_reads > 1)
            oldest = 0.0
            while loop.time() < until:
                age_s = at.gateway.board.freshness.age_s(clock.boot())
                oldest = max(oldest, age_s)
                await asyncio.sleep(0.01)
            assert oldest < follow.CONFIG_POLL_TIMEOUT_S + 0.2

    asyncio.run(play())


def test_part_that_fails_begins_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        monkeypatch.setattr(server, 'RESTART_DELAY_S', 0.001)
        async with site() as at:
            began = 0

            async def failing() -> None:
                nonlocal began
                began += 1
                raise ValueError('a fault of the program')

            task = asyncio.create_task(at.gateway.supervise(failing))
            await at.until(lambda: began > 2)
            task.cancel()

    asyncio.run(play())


def test_outage_sends_callers_away_and_ends() -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            at.store.fault = platform_store.Fault.BUSY
            board = at.gateway.board
            await at.until(lambda: at.gateway.log.consecutive_failures > 1)
            answer = await at.turn('t1')
            assert b' 503 ' in answer
            assert b'Connection: close' in answer
            assert at.replica.received == []
            at.store.fault = platform_store.Fault.NONE
            await at.until(lambda: at.gateway.log.consecutive_failures == 0)
            assert board.config is not None
            assert b' 200 ' in await at.turn('t2')

    asyncio.run(play())


@pytest.mark.parametrize(
    'fields',
    [
        # Two lengths, or a length and chunks: one may hide a request.
        'Content-Length: 5\r\nContent-Length: 6\r\n',
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
    ],
)
def test_smuggled_request_is_not_passed_on(fields: str) -> None:
    async def play() -> None:
        async with site() as at:
            await ready(at)
            answer = await at.ask(
                at.port,
                'POST /a/b HTTP/1.1',
                f'Attempt-Id: t1\r\nCredential: k1\r\n{fields}',
            )
            assert b' 200 ' not in answer
            assert at.replica.received == []

    asyncio.run(play())


def test_stop_ends_what_is_open_and_leaves_the_rotation() -> None:
    async def play() -> None:
        async with site() as at:
            at.replica.behaviours = [replica.Stream(pause_s=0.3)]
            await ready(at)
            turn = asyncio.create_task(at.turn('t1'))
            await at.until(lambda: bool(at.replica.received))
            stop = asyncio.create_task(at.gateway.drain())
            await asyncio.sleep(0)
            assert await at.status(at.ready_port, '/-/ready') == 503
            assert (await turn).endswith(b'0\r\n\r\n')
            await stop

    asyncio.run(play())
