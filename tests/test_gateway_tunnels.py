"""Connections to upstreams whose bytes a peer carries."""

import asyncio
import collections.abc
import contextlib
import random
import socket
import typing

import attrs
import msgspec
import pytest

from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import tunnel_client
from oleanderdrift.gateway import tunnel_server
from oleanderdrift.gateway import tunnel_wire
from tests import gateway_support
from tests import tunnel_support

HEAD: typing.Final = b'HTTP/1.1 200 OK\r\n'
KEPT: typing.Final = HEAD + b'Content-Length: 4\r\n\r\ndone'
UNFRAMED: typing.Final = HEAD + b'Content-Type: text/plain\r\n\r\n'
# An upstream stops its work this long after its caller left, at most.
STOP_S: typing.Final = 0.5
CHUNK: typing.Final = 65_536

Scenario: typing.TypeAlias = collections.abc.Callable[
    [tunnel_support.Carrier], collections.abc.Awaitable[None]
]


def run(scenario: Scenario) -> None:
    """Runs a scenario with an instance that carries tunnels."""

    async def play() -> None:
        async with tunnel_support.run_carrier() as carrier:
            await scenario(carrier)

    asyncio.run(play())


async def send(opened: channel.Channel, body: bytes = b'') -> None:
    """Sends a request."""
    await opened.send('POST', '/a', [('Host', 'x')], body)


async def read_request(connection: tunnel_support.Connection) -> bytes:
    """Returns the head of the request that an upstream got."""
    return await connection.reader.readuntil(b'\r\n\r\n')


def test_request_and_answer_pass_and_the_tunnel_is_used_again() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        pool = connection_pool.Pool()
        assert opened.via == 'north-2'
        for _ in range(3):
            await send(opened)
            assert b'POST /a HTTP/1.1' in await read_request(connection)
            connection.writer.write(KEPT)
            head = await opened.read_head(clock.monotonic())
            assert head.status == 200
            assert await opened.read_body() == b'done'
            pool.release('u1', opened, clock.monotonic())
            assert pool.has_idle('u1', clock.monotonic())
            opened = await pool.acquire('u1', '', 0, 0.0, clock.monotonic())
        assert carrier.upstream.accepted.empty()

    run(scenario)


@pytest.mark.parametrize('size', [1, 65_535, 4_194_304])
def test_large_bodies_pass_whole_both_ways(size: int) -> None:
    body = random.Random(size).randbytes(size)

    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened, body)
        await read_request(connection)
        assert await connection.reader.readexactly(size) == body
        connection.writer.write(
            HEAD + b'Content-Length: %d\r\n\r\n' % size + body
        )
        await opened.read_head(clock.monotonic())
        assert await opened.read_body() == body

    run(scenario)


async def close_in_order(connection: tunnel_support.Connection) -> None:
    """Ends the upstream's connection after all that was written."""
    await connection.writer.drain()
    connection.writer.close()


def test_unframed_answer_is_complete_after_the_upstream_closed() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened)
        await read_request(connection)
        connection.writer.write(UNFRAMED + b'whole')
        await close_in_order(connection)
        await opened.read_head(clock.monotonic())
        assert await opened.read_body() == b'whole'
        assert not opened.is_reusable(clock.monotonic())
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


def reset_upstream(
    carrier: tunnel_support.Carrier, connection: tunnel_support.Connection
) -> None:
    """Resets the upstream's connection."""
    connection.reset()


def kill_carrier(
    carrier: tunnel_support.Carrier, connection: tunnel_support.Connection
) -> None:
    """Ends the carrying instance: its connections are closed."""
    for one in carrier.server.open:
        assert one.transport is not None
        one.transport.abort()


@pytest.mark.parametrize('fail', [reset_upstream, kill_carrier])
def test_unframed_answer_that_broke_off_is_never_complete(
    fail: collections.abc.Callable[
        [tunnel_support.Carrier, tunnel_support.Connection], None
    ],
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened)
        await read_request(connection)
        connection.writer.write(UNFRAMED + b'half')
        await opened.read_head(clock.monotonic())
        assert await opened.read_chunk() == b'half'
        fail(carrier, connection)
        with pytest.raises(buffering.ChannelError) as raised:
            await opened.read_chunk()
        assert raised.value.failure is buffering.Failure.RESET

    run(scenario)


# A transport takes one more message over its limit.
MAX_CARRIED: typing.Final = (
    tunnel_server.WRITE_BUFFER_BYTES + tunnel_wire.MAX_MESSAGE_BYTES
)
# More than the kernel holds for the connections of one tunnel.
ANSWER_BYTES: typing.Final = 33_554_432


async def carried_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes wait to be sent, once these stay the same."""
    seen, same = 0, 0
    while not seen or same < 20:
        await asyncio.sleep(0.01)
        same = same + 1 if transport.get_write_buffer_size() == seen else 0
        seen = transport.get_write_buffer_size()
    return seen


def test_caller_that_does_not_read_has_the_upstream_wait() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened)
        await read_request(connection)
        connection.writer.write(
            HEAD + b'Content-Length: %d\r\n\r\n' % ANSWER_BYTES
        )
        connection.writer.write(bytes(ANSWER_BYTES))
        transport = carrier.only().transport
        assert transport is not None
        assert await carried_bytes(transport) <= MAX_CARRIED
        assert opened.protocol.paused
        # TCP takes a window that stays closed for a peer that is gone.
        await asyncio.sleep(channel.TCP_USER_TIMEOUT_MS / 1_000 + 0.5)
        await opened.read_head(clock.monotonic())
        assert len(await opened.read_body(ANSWER_BYTES)) == ANSWER_BYTES

    run(scenario)


def test_upstream_that_does_not_read_has_the_caller_wait() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened, bytes(ANSWER_BYTES))
        upstream_side = carrier.only().upstream_side
        assert upstream_side is not None
        assert upstream_side.transport is not None
        assert await carried_bytes(upstream_side.transport) <= MAX_CARRIED
        await read_request(connection)
        body = await connection.reader.readexactly(ANSWER_BYTES)
        assert body == bytes(ANSWER_BYTES)

    run(scenario)


@pytest.mark.parametrize('reads_on', [False, True])
def test_tunnel_of_a_caller_that_left_ends_whether_it_is_read_or_not(
    reads_on: bool,
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened, bytes(ANSWER_BYTES))
        upstream_side = carrier.only().upstream_side
        assert upstream_side is not None
        assert upstream_side.transport is not None
        await carried_bytes(upstream_side.transport)
        opened.close()
        if reads_on:
            body = await connection.reader.read()
            assert len(body) < ANSWER_BYTES
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


def free_port() -> int:
    """Returns a port at which nothing listens."""
    with socket.socket() as sock:
        sock.bind((tunnel_support.HOST, 0))
        port: int = sock.getsockname()[1]
    return port


def test_refusal_by_the_upstream_is_told() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        refusing = gateway_support.entry('u2', port=free_port())
        carrier.board.upstreams.put(refusing)
        with pytest.raises(tunnel_client.UpstreamRefusedError):
            await carrier.open(refusing)
        assert not carrier.server.open
        assert carrier.events.reasons('tunnel-refused') == [
            'the upstream refused'
        ]

    run(scenario)


def make_unknown(carrier: tunnel_support.Carrier) -> None:
    """Takes the upstream from what the instance knows."""
    carrier.board.upstreams.by_id.clear()


def restart_upstream(carrier: tunnel_support.Carrier) -> None:
    """Has the upstream start again at its address."""
    carrier.board.upstreams.put(attrs.evolve(carrier.entry, born_ms=2))


def stop_carrier(carrier: tunnel_support.Carrier) -> None:
    """Has the instance stop."""
    carrier.board.stopping = True


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (make_unknown, 'not known'),
        (restart_upstream, 'not known'),
        (stop_carrier, 'the instance is stopping'),
    ],
)
def test_no_tunnel_leads_to_what_the_instance_does_not_serve(
    change: collections.abc.Callable[[tunnel_support.Carrier], None],
    reason: str,
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        wanted = carrier.entry
        change(carrier)
        with pytest.raises(tunnel_client.PeerUnavailableError, match=reason):
            await carrier.open(wanted)
        assert carrier.events.reasons('tunnel-refused') == [reason]
        assert carrier.upstream.accepted.empty()
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


@pytest.mark.parametrize(
    'changes', [{'port': 65_536}, {'host': 'x\0'}, {'host': 'x' * 64 + '.y'}]
)
def test_entry_with_an_odd_address_is_unreachable(
    changes: dict[str, typing.Any],
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        odd = gateway_support.entry('u2', **changes)
        carrier.board.upstreams.put(odd)
        with pytest.raises(tunnel_client.UpstreamUnreachableError):
            await carrier.open(odd)

    run(scenario)


async def hang(*_: object, **__: object) -> typing.NoReturn:
    """Takes the place of a connection that is never established."""
    await asyncio.Event().wait()
    raise AssertionError


def test_upstream_that_hangs_is_unreachable_before_the_peer_gives_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        reader, writer = await asyncio.open_connection(
            *carrier.server.listeners[0].getsockname()
        )
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'create_connection', hang)
        started = loop.time()
        message = tunnel_wire.Open(incarnation=carrier.entry.incarnation())
        writer.write(tunnel_wire.encode(message))
        found = tunnel_wire.message_reader().feed(await reader.read())
        assert loop.time() - started < 0.25
        assert found == [tunnel_wire.Unreachable(reason='TimeoutError()')]
        writer.close()

    run(scenario)


def test_upstream_is_unreachable_for_a_peer_whose_link_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sound tunnels given up for one late connection."""

    async def scenario(carrier: tunnel_support.Carrier) -> None:
        carrier.board.link.mbps = 8.0

        async def fill() -> None:
            while True:
                carrier.board.link.note(10_000, clock.monotonic())
                await asyncio.sleep(0.01)

        filling = asyncio.create_task(fill())
        host, port = carrier.server.listeners[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'create_connection', hang)
        message = tunnel_wire.Open(incarnation=carrier.entry.incarnation())
        writer.write(tunnel_wire.encode(message))
        (found,) = tunnel_wire.message_reader().feed(await reader.read())
        filling.cancel()
        assert isinstance(found, tunnel_wire.Unavailable)
        writer.close()

    run(scenario)


def test_too_many_tunnels_are_refused() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        board = carrier.server.board
        board.caller_limits = attrs.evolve(board.caller_limits, tunnels=2)
        first = await carrier.open()
        await carrier.open()
        with pytest.raises(tunnel_client.UpstreamUnreachableError):
            await carrier.open()
        first.close()
        await tunnel_support.wait_until(lambda: len(carrier.server.open) == 1)
        await carrier.open()

    run(scenario)


def test_connections_that_ask_for_nothing_are_bounded() -> None:
    """Guards also against a crowd that keeps the tunnels of peers out."""

    async def scenario(carrier: tunnel_support.Carrier) -> None:
        board = carrier.server.board
        board.caller_limits = attrs.evolve(board.caller_limits, opening=2)
        address = carrier.server.listeners[0].getsockname()
        pairs = [await asyncio.open_connection(*address) for _ in range(3)]
        assert await pairs[0][0].read() == b''
        assert len(carrier.server.open) == 2
        (await carrier.open()).close()
        for _, writer in pairs:
            writer.close()

    run(scenario)


OPEN: typing.Final = tunnel_wire.encode(tunnel_wire.Open(incarnation='u'))


def framed(body: bytes) -> bytes:
    """Returns bytes with their length before them."""
    return len(body).to_bytes(tunnel_wire.LENGTH_BYTES) + body


@pytest.mark.parametrize(
    'data',
    [
        pytest.param(b'GET / HTTP/1.1\r\n\r\n', id='another protocol'),
        pytest.param(b'\0' * 64, id='zeros'),
        pytest.param(framed(b'\xff' * 32), id='no message'),
        pytest.param(framed(msgspec.msgpack.encode(['open', 5])), id='type'),
        pytest.param(
            framed(b'\x93\xa4open\xa1u' + b'\x91' * 1_000 + b'\xc0'),
            id='deeply nested',
        ),
        pytest.param(
            tunnel_wire.encode(
                tunnel_wire.Open(incarnation='u' * tunnel_wire.MAX_OPEN_BYTES)
            ),
            id='too long',
        ),
        pytest.param(
            tunnel_wire.encode(tunnel_wire.Opened()), id='another message'
        ),
    ],
)
def test_odd_first_bytes_end_their_connection_only(data: bytes) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        reader, writer = await asyncio.open_connection(
            *carrier.server.listeners[0].getsockname()
        )
        writer.write(data)
        try:
            assert await reader.read() == b''
        except ConnectionError:
            pass
        writer.close()
        assert len(carrier.events.reasons('tunnel-refused')) == 1
        opened, _ = await carrier.open_both()
        assert opened.is_reusable(clock.monotonic())

    run(scenario)


@pytest.mark.parametrize('waits', [False, True])
def test_bytes_before_the_answer_end_their_connection(
    waits: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        reader, writer = await asyncio.open_connection(
            *carrier.server.listeners[0].getsockname()
        )
        monkeypatch.setattr(
            asyncio.get_running_loop(), 'create_connection', hang
        )
        message = tunnel_wire.Open(incarnation=carrier.entry.incarnation())
        writer.write(tunnel_wire.encode(message) + b'P' * (not waits))
        if waits:
            await tunnel_support.wait_until(
                lambda: any(one.opening for one in carrier.server.open)
            )
            writer.write(b'P')
        assert await reader.read() == b''
        writer.close()
        assert carrier.events.reasons('tunnel-refused') == [
            'bytes came before the answer'
        ]

    run(scenario)


@pytest.mark.parametrize('data', [b'', OPEN[:6]])
def test_connection_that_never_asks_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tunnel_server, 'OPEN_TIMEOUT_S', 0.05)

    async def scenario(carrier: tunnel_support.Carrier) -> None:
        reader, writer = await asyncio.open_connection(
            *carrier.server.listeners[0].getsockname()
        )
        writer.write(data)
        async with asyncio.timeout(STOP_S):
            assert await reader.read() == b''
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    'answer',
    [
        pytest.param(b'', id='closed'),
        pytest.param(b'HTTP/1.1 400 Bad Request\r\n\r\n', id='no message'),
        pytest.param(tunnel_wire.encode(tunnel_wire.End()), id='another'),
    ],
)
def test_peer_that_answers_oddly_cannot_be_reached(answer: bytes) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(CHUNK)
        writer.write(answer)
        writer.close()

    async def play() -> None:
        async with tunnel_support.run_peer(serve) as address:
            with pytest.raises(ConnectionError):
                await tunnel_client.open_tunnel(
                    address, gateway_support.entry(), 1.0
                )

    asyncio.run(play())


def test_tunnel_with_part_of_a_message_is_not_reused() -> None:
    data = tunnel_wire.encode(tunnel_wire.Data(data=b'x' * 100))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(CHUNK)
        writer.write(tunnel_wire.encode(tunnel_wire.Opened()))
        await reader.read(1)
        writer.write(data[:50])

    async def play() -> None:
        async with tunnel_support.run_peer(serve) as address:
            opened = await tunnel_client.open_tunnel(
                address, gateway_support.entry(), 1.0
            )
            assert opened.is_reusable(clock.monotonic())
            assert opened.protocol.transport is not None
            opened.protocol.transport.write(b'x')
            await tunnel_support.wait_until(
                lambda: not opened.is_reusable(clock.monotonic())
            )
            opened.close()

    asyncio.run(play())


def test_upstream_with_an_odd_name_is_not_blamed_on_the_peer() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        odd = gateway_support.entry('u' * 2_000)
        carrier.board.upstreams.put(odd)
        with pytest.raises(tunnel_client.UpstreamUnreachableError):
            await carrier.open(odd)

    run(scenario)


@pytest.mark.parametrize(
    'address',
    ['', ':', 'x', '127.0.0.1:65536', '127.0.0.1:-1', 'x\0:1', 'a..b:1']
    + ['127.0.0.1:' + '9' * 5_000, 'x' * 64 + '.y:1'],
)
def test_peer_with_an_odd_address_cannot_be_reached(address: str) -> None:
    opening = tunnel_client.open_tunnel(address, gateway_support.entry(), 1.0)
    with pytest.raises(OSError):
        asyncio.run(opening)


def test_peer_that_does_not_answer_is_given_up_in_time() -> None:
    async def play() -> None:
        with socket.create_server((tunnel_support.HOST, 0)) as silent:
            port = silent.getsockname()[1]
            with pytest.raises(TimeoutError):
                await tunnel_client.open_tunnel(
                    f'{tunnel_support.HOST}:{port}',
                    gateway_support.entry(),
                    0.05,
                )

    asyncio.run(play())


@pytest.mark.parametrize('sends_body', [False, True])
def test_upstream_sees_at_once_that_the_caller_left(sends_body: bool) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened, b'x' * 1_000 if sends_body else b'')
        await read_request(connection)
        connection.writer.write(UNFRAMED + b'begun')
        await opened.read_head(clock.monotonic())
        opened.close()
        async with asyncio.timeout(STOP_S):
            await connection.reader.read()
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


def test_tunnel_that_the_upstream_closes_while_idle_is_not_reused() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        await send(opened)
        await read_request(connection)
        connection.writer.write(KEPT)
        await opened.read_head(clock.monotonic())
        await opened.read_body()
        opened.protocol.idle = True
        connection.writer.close()
        await tunnel_support.wait_until(
            lambda: not opened.is_reusable(clock.monotonic())
        )
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


@pytest.mark.parametrize('surplus', [b'HTTP/1.1 200 OK', b'x' * 100_000])
def test_bytes_that_belong_to_no_request_close_the_tunnel(
    surplus: bytes,
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        opened, connection = await carrier.open_both()
        opened.protocol.idle = True
        connection.writer.write(surplus)
        async with asyncio.timeout(STOP_S):
            # Closed with bytes unread, it is reset.
            with contextlib.suppress(ConnectionResetError):
                await connection.reader.read()
        assert connection.reader.at_eof() or connection.reader.exception()
        assert not opened.is_reusable(clock.monotonic())

    run(scenario)


def test_peers_learn_where_an_instance_accepts_tunnels() -> None:
    log = gateway_support.MemoryLog()
    board = gateway_support.board()
    board.settings = attrs.evolve(
        board.settings,
        peer_listen='10.0.0.1:7780',
        tunnel_listen='10.0.0.1:7781',
    )
    known = directory.Directory(board, log, event_log.EventLog())

    async def play() -> None:
        await known.register()
        await known.read(None)

    asyncio.run(play())
    assert known.instances['north-1'].tunnel_address == '10.0.0.1:7781'
    assert known.instances['north-1'] == known.own


def test_record_of_a_build_without_tunnels_is_read() -> None:
    board = gateway_support.board()
    known = directory.Directory(
        board, gateway_support.MemoryLog(), event_log.EventLog()
    )
    value = b'{"peer_address":"a:1","data_centre":"north","cores":2.0}'
    known.apply(ports.KeyedRecord(key='north-2', value=value))
    assert known.instances['north-2'].tunnel_address == ''
    newer = value[:-1] + b',"tunnel_address":"a:2","later":[1]}'
    record = records.decode_instance(newer)
    assert record is not None
    assert record.tunnel_address == 'a:2'


def test_tunnels_of_a_stopping_carrier_end_after_their_requests() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        busy, connection = await carrier.open_both()
        idle, _ = await carrier.open_both()
        idle.protocol.idle = True
        await send(busy)
        await read_request(connection)
        stop_carrier(carrier)
        carrier.server.leave()
        await tunnel_support.wait_until(lambda: len(carrier.server.open) == 1)
        assert not idle.is_reusable(clock.monotonic())
        connection.writer.write(KEPT)
        await busy.read_head(clock.monotonic())
        assert await busy.read_body() == b'done'
        pool = connection_pool.Pool()
        pool.release('u1', busy, clock.monotonic())
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)


def test_tunnel_that_opens_as_its_carrier_stops_carries_one_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        gate = asyncio.Event()

        async def connect_late(
            factory: typing.Any, host: str, port: int
        ) -> typing.Any:
            if port == carrier.upstream.port:
                await gate.wait()
            return await connect(factory, host, port)

        monkeypatch.setattr(loop, 'create_connection', connect_late)
        opening = asyncio.create_task(carrier.open())
        await tunnel_support.wait_until(
            lambda: any(one.opening for one in carrier.server.open)
        )
        stop_carrier(carrier)
        carrier.server.leave()
        gate.set()
        opened = await opening
        await tunnel_support.wait_until(
            lambda: not opened.is_reusable(clock.monotonic())
        )
        await send(opened)
        connection = await carrier.upstream.accepted.get()
        await read_request(connection)

    run(scenario)


def test_idle_tunnels_over_a_peer_are_closed_and_no_others() -> None:
    async def scenario(carrier: tunnel_support.Carrier) -> None:
        direct = await channel.connect(
            tunnel_support.HOST, carrier.upstream.port, 1.0
        )
        other = await tunnel_client.open_tunnel(
            carrier.address, carrier.entry, 1.0, via='north-3'
        )
        pool = connection_pool.Pool()
        for opened in (direct, other, await carrier.open()):
            pool.release('u1', opened, clock.monotonic())
        pool.close_idle_via('north-2')
        assert pool.idle == {'u1': [direct, other]}
        await tunnel_support.wait_until(lambda: len(carrier.server.open) == 1)
        pool.close()
        assert not pool.has_idle('u1', clock.monotonic())
        await tunnel_support.wait_until(lambda: not carrier.server.open)

    run(scenario)
