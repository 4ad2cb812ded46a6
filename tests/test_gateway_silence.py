"""Sound upstreams that fall silent for a second or so and go on."""

import asyncio
import socket
import typing

import pytest

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from standins import replica
from tests import test_gateway_whole as whole

SILENCE_S: typing.Final = 1.2
LATE: typing.Final = replica.CompleteResponse(pause_s=SILENCE_S)
LATE_EVENTS: typing.Final = replica.Stream(events=2, pause_s=SILENCE_S)

COMMON: typing.Final = (
    'Attempt-Id: t1\r\nCredential: k1\r\nDeadline-Ms: 5000\r\n'
    'Content-Length: 0\r\n'
)
CALL: typing.Final = ''
TURN: typing.Final = (
    'Program-Id: p\r\nToken-Budget: 9000\r\nToken-Count: 10,588\r\n'
)


CASES: typing.Final = {
    'turn, streamed': ('streaming', LATE_EVENTS, TURN),
    'turn, whole': ('non-idempotent', LATE, TURN),
    'stream': ('streaming', LATE_EVENTS, CALL),
    'resumable stream': ('resumable', LATE_EVENTS, CALL),
    'idempotent call': ('idempotent', LATE, CALL),
    'non-idempotent call': ('non-idempotent', LATE, CALL),
}


@pytest.mark.parametrize(
    ('kind', 'behaviour', 'headers'), CASES.values(), ids=CASES.keys()
)
def test_short_silence_of_an_upstream_cuts_no_request(
    kind: str, behaviour: replica.Behaviour, headers: str
) -> None:
    async def play() -> None:
        async with whole.run_environment() as env:
            env.replica.behaviours = [behaviour]
            await whole.make_ready(env)
            resumable = kind == 'resumable'
            route = {
                **whole.ROUTE,
                'Kind': 'streaming' if resumable else kind,
                'Resumable': resumable,
                'Retain': False,
            }
            env.write_config(Version=2, Routes=[route])
            board = env.gateway.board
            await env.wait_until(
                lambda: bool(board.config and board.config.version == 2)
            )
            known = board.upstreams.of_service('guide', include_lapsed=False)
            if resumable:
                await env.wait_until(
                    lambda: bool(board.origins.of_listed(known, clock.boot()))
                )
            response = await env.send(
                env.port, 'POST /a/b HTTP/1.1', COMMON + headers
            )
            assert response.startswith(b'HTTP/1.1 200')
            assert len(env.replica.received) == 1
            if isinstance(behaviour, replica.Stream):
                assert response.count(b'data: ') == behaviour.events

    asyncio.run(play())


def test_one_lost_probe_ends_no_connection() -> None:
    async def play() -> None:
        server = replica.Replica(behaviours=[LATE])
        await server.start()
        connection = await channel.connect('127.0.0.1', server.port, 1.0)
        assert connection.protocol.transport is not None
        sock = connection.protocol.transport.get_extra_info('socket')
        tcp = socket.IPPROTO_TCP
        second_probe_s = sock.getsockopt(
            tcp, socket.TCP_KEEPIDLE
        ) + sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        # Where it is set, it decides when probes give up, not their count.
        user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        assert user_timeout_ms > second_probe_s * 1_000
        connection.close()
        await server.stop()

    asyncio.run(play())
