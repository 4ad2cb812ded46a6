"""Crowds at the ports that instances have for each other."""

import asyncio
import pathlib
import typing

import pytest

from standins import crowd as crowd_lib
from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_body_crowds as bodies
from tests import test_gateway_floods as floods
from tests import test_gateway_peer_sockets as peers
from tests import test_gateway_untrusted_callers as untrusted

LIMITS: typing.Final = (
    f'MemoryMb = {bodies.MEMORY_MB}\nMaxFds = {bodies.MAX_FDS}\n'
)
Piece: typing.TypeAlias = crowd_lib.Piece
CROWDS: typing.Final = {
    'long-topics': (
        gateways.PEER_PORT,
        peers.GREETING,
        (Piece(text=peers.LONG_TOPIC.decode('latin-1')),),
    ),
    'long-messages': (
        gateways.PEER_PORT,
        peers.GREETING,
        (
            Piece(text='\x02\0\0\0\0\0\x0f\0\0'),
            Piece(text='x', repeats=983_040),
        ),
    ),
    'grants': (
        gateways.LAST_PORT,
        b'\0\0\x10\0',
        (Piece(text='x', repeats=4_000),),
    ),
    'tunnels': (
        gateways.TUNNEL_PORT,
        untrusted.TUNNEL,
        (Piece(text='x', repeats=65_536, count=100),),
    ),
}


@pytest.mark.parametrize(
    ('port', 'head', 'pieces'), CROWDS.values(), ids=CROWDS
)
def test_crowd_of_strangers_does_not_fill_the_process(
    port: int, head: bytes, pieces: tuple[Piece, ...], tmp_path: pathlib.Path
) -> None:
    """Guards against a process that is killed for what is no peer's."""

    async def play() -> None:
        async with floods.run_site(
            tmp_path, replica_lib.Silent(), LIMITS
        ) as site:
            crowd = crowd_lib.Crowd(
                host=site.instance.address,
                port=port,
                callers=200,
                heads=('',),
                pieces=(Piece(text=head.decode('latin-1')), *pieces),
                returns=True,
            )
            async with bodies.run_crowd(site, crowd) as most:
                await untrusted.await_ordinary(site)
            await untrusted.await_ordinary(site)
            bodies.check_most(site, most)

    asyncio.run(play())
