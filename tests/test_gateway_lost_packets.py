"""One lost packet of a new connection is no lost path to an upstream."""

import asyncio
import typing

import attrs
import pytest

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_fleet
from tests import gateway_support
from tests import path_fleet

SILENT_S: typing.Final = 1.0
TURNS: typing.Final = gateway_support.route(retains=True)


@attrs.define(kw_only=True)
class LosingLinks:
    """Links on which the packets of some new connections are lost."""

    links: path_fleet.Links
    to_lose: int = 0

    async def connect(
        self, host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        """Opens a connection, unless its packet is lost."""
        if self.to_lose:
            self.to_lose -= 1
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        return await self.links.connect(host, port, timeout_s)


@pytest.mark.parametrize(
    ('route', 'behaviour'),
    [
        pytest.param(
            gateway_fleet.CALLS,
            replica.CompleteResponse(pause_s=SILENT_S),
            id='repeated',
        ),
        pytest.param(
            TURNS, replica.Stream(events=2, pause_s=SILENT_S), id='turn'
        ),
    ],
)
def test_lost_packet_of_a_probe_ends_or_repeats_a_silent_request(
    route: model.Route, behaviour: replica.Behaviour
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(behaviour, route=route) as paths:
            lossy = LosingLinks(links=paths.links[0])
            forwarder = paths.fleet.forwarders[0]
            forwarder.attempts.pool.connect = lossy.connect
            sent = asyncio.create_task(paths.send())
            await path_fleet.wait_until(lambda: len(paths.runs()) == 1)
            lossy.to_lose = 1
            answer = await sent
            assert lossy.to_lose == 0
            assert answer.reply.status == 200
            assert answer.reply.ended == 'complete'
            assert len(paths.runs()) == 1

    asyncio.run(scenario())
