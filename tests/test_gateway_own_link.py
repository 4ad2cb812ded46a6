"""How much of a silence the own link explains."""

import asyncio
import typing

import pytest

from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstream_paths
from oleanderdrift.platform import store
from standins import platform_store
from tests import peer_fleet
from tests import test_gateway_whole as whole
from tests import virtual_time

MBPS: typing.Final = 8.0
USABLE_BYTES_PER_S: typing.Final = 750_000
STEP_S: typing.Final = 0.01
# Steps of the count are not split.
TOLERANCE_S: typing.Final = 0.03
LIMIT_S: typing.Final = 0.25
# Clients abandon a stream after a longer gap.
CLIENTS_WAIT_S: typing.Final = 2.0


def filled(share: float, until: float) -> own_link.OwnLink:
    """Returns a link that carried a share of its rate from 10.0 on."""
    link = own_link.OwnLink(mbps=MBPS)
    for number in range(round((until - 10.0) / STEP_S)):
        now = 10.0 + (number + 1) * STEP_S
        link.note(round(share * USABLE_BYTES_PER_S * STEP_S), now)
    return link


@pytest.mark.parametrize(
    ('share', 'silent_s', 'held_s'),
    [
        (0.0, 1.0, 0.0),
        (0.1, 1.0, 0.1),
        (1.0, 0.3, 0.3),
        (1.3, 0.3, 0.3),
        (1.0, 1.0, own_link.MAX_HELD_S),
        (1.0, 60.0, own_link.MAX_HELD_S),
    ],
)
def test_time_of_a_full_link_is_no_silence_up_to_a_bound(
    share: float, silent_s: float, held_s: float
) -> None:
    link = filled(share, 11.0)
    found = link.held_s(11.0 - silent_s, 11.0)
    assert found == pytest.approx(held_s, abs=TOLERANCE_S)
    assert 0.0 <= found < min(silent_s, own_link.MAX_HELD_S) + 1e-9


@pytest.mark.parametrize('mbps', [0.0, -1.0, float('nan')])
def test_link_of_an_odd_rate_holds_up_nothing(mbps: float) -> None:
    link = filled(1.0, 11.0)
    link.mbps = mbps
    assert link.held_s(10.5, 11.0) == 0.0


def test_bytes_from_before_a_silence_explain_none_of_it() -> None:
    link = filled(1.0, 10.5)
    assert link.held_s(10.5 + own_link.STEP_S, 11.0) == 0.0


def test_counts_of_an_unknown_link_stay_small_and_hold_up_nothing() -> None:
    link = own_link.OwnLink()
    for number in range(10 * own_link.KEPT_STEPS):
        link.note(10**9, number * own_link.STEP_S)
    assert len(link.arrived) == own_link.KEPT_STEPS
    assert link.held_s(0.0, 100.0) == 0.0


@pytest.mark.parametrize(
    ('full_s', 'ended_s'),
    [(0.0, 0.25), (0.1, 0.35), (0.4, 0.65), (60.0, 0.65)],
)
def test_time_to_connect_goes_on_while_the_link_is_full(
    full_s: float, ended_s: float
) -> None:
    def held(since: float, now: float) -> float:
        return min(full_s, now - since, own_link.MAX_HELD_S)

    async def scenario() -> float:
        with pytest.raises(TimeoutError):
            async with time_limits.within(LIMIT_S, held):
                await asyncio.Event().wait()
        return asyncio.get_running_loop().time()

    assert virtual_time.run(scenario()) == pytest.approx(ended_s, abs=0.03)


def test_answer_in_the_time_that_is_held_ends_the_limit() -> None:
    async def scenario() -> None:
        async with time_limits.within(LIMIT_S, lambda *_: 1.0):
            await asyncio.sleep(2 * LIMIT_S)
        await asyncio.sleep(10 * LIMIT_S)

    virtual_time.run(scenario())


def test_lost_path_is_gone_round_before_clients_leave() -> None:
    held_s = own_link.MAX_HELD_S
    silent_s = upstream_paths.ONE_SILENT_S
    connecting_s = upstream_connections.CONNECT_TIMEOUT_S + held_s
    tunnel_s = upstream_connections.TUNNEL_TIMEOUT_S + held_s
    assert silent_s + connecting_s + tunnel_s < CLIENTS_WAIT_S


def test_states_of_peers_come_over_the_link() -> None:
    network = peer_fleet.build({'north': 2}, 1)
    network.run(1.0)
    for one in network.instances.values():
        assert sum(one.board.link.arrived.values()) > 0


def test_bodies_of_requests_come_over_the_link() -> None:
    body = bytes(100_000)

    async def play() -> None:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            writer.write(
                b'POST /a/b HTTP/1.1\r\nHost: x\r\nCredential: k1\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body) + body
            )
            await reader.readuntil(b'\r\n\r\n')
            writer.close()
            arrived = env.gateway.board.link.arrived
            assert sum(arrived.values()) >= len(body)

    asyncio.run(play())


def test_answers_of_the_store_come_over_the_link() -> None:
    async def play() -> None:
        link = own_link.OwnLink(mbps=MBPS)
        server = platform_store.start()
        client = store.Store(f'127.0.0.1:{server.port}', 4, 262_144, link)
        await client.append('t', 0, [bytes(100_000)])
        await client.read('t', 0, 0)
        assert sum(link.arrived.values()) >= 100_000
        client.pool.close()
        server.stop()

    asyncio.run(play())
