"""Crowds that go on from long conversations do not fill a process.

A turn is sent with all turns before it, so a caller that sends a few bytes
has an instance hold what many requests brought.
"""

import asyncio
import pathlib
import typing

import pytest

from standins import crowd as crowd_lib
from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_body_crowds as bodies
from tests import test_gateway_floods as floods
from tests import test_gateway_untrusted_callers as untrusted

LIMITS: typing.Final = (
    f'MemoryMb = {bodies.MEMORY_MB}\nMaxFds = {bodies.MAX_FDS}\n'
)
TURN_BYTES: typing.Final = 1_000_000
CALLERS: typing.Final = 40
HEAD: typing.Final = (
    'POST /turns/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {name}\r\n'
    'Credential: k1\r\nDeadline-Ms: 20000\r\nContent-Length: {size}\r\n'
    'Connection: close\r\n{fields}\r\n'
)


async def send_turn(
    site: floods.Site, name: str, previous: str, size: int
) -> None:
    """Sends a turn; waits until its answer is whole, and it is stored."""
    fields = f'Previous-Turn: {previous}\r\n' if previous else ''
    reader, writer = await asyncio.open_connection(
        site.instance.address, gateways.FRONT_PORT
    )
    head = HEAD.format(name=name, size=size, fields=fields)
    writer.write(head.encode() + b'x' * size)
    async with asyncio.timeout(floods.WAIT_S):
        received = await reader.read()
    writer.close()
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('turns', [6, 11])
def test_crowd_of_long_conversations_does_not_fill_the_process(
    turns: int, tmp_path: pathlib.Path
) -> None:
    """Guards against conversations that nobody counts while they are read."""

    async def play() -> None:
        replica = replica_lib.Replica(behaviours=[replica_lib.Stream()])
        async with floods.run_site(tmp_path, replica, LIMITS) as site:
            await send_turn(site, 't0', '', TURN_BYTES)
            for number in range(1, turns):
                # It is stored in the store only, as far as it is read.
                await send_turn(
                    site, f't{number}', f't{number - 1}', TURN_BYTES
                )
            replica.behaviours = [replica_lib.Silent()]
            head = HEAD.format(
                name=crowd_lib.ID,
                size=0,
                fields=f'Previous-Turn: t{turns - 1}\r\n',
            )
            crowd = crowd_lib.Crowd(
                host=site.instance.address,
                port=gateways.FRONT_PORT,
                callers=CALLERS,
                heads=(head,),
                returns=True,
            )
            async with bodies.run_crowd(site, crowd) as most:
                await untrusted.await_ordinary(site)
            await untrusted.await_ordinary(site)
            bodies.check_most(site, most)

    asyncio.run(play())
