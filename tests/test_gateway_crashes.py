"""Requests that end each upstream that begins to run them."""

import asyncio
import typing

import pytest

from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_fleet
from tests import gateway_support

DEADLY: typing.Final = b'deadly'
# The users allow so many ends, and so many tries more once all instances
# could know.
MAX_CRASHES: typing.Final = 3
ROUTES: typing.Final = {
    'stream': gateway_support.route(),
    'call': gateway_fleet.CALLS,
    'once': gateway_support.route(kind=model.RouteKind.NON_IDEMPOTENT),
    'resumable': gateway_support.route(resumable=True, attempts=3),
}


@pytest.mark.parametrize('route', ROUTES.values(), ids=ROUTES.keys())
def test_request_ends_no_more_than_three_upstreams(route: model.Route) -> None:
    async def run() -> None:
        behaviours = [replica.Stream(pause_s=0.01)] * 12
        async with gateway_fleet.run_fleet(
            3, *behaviours, route=route
        ) as fleet:
            for one in fleet.replicas:
                one.deadly_body = DEADLY
            for number in range(12):
                beside = [
                    asyncio.create_task(
                        fleet.send(each, body=f'{number} {each}'.encode())
                    )
                    for each in (0, 1, 2)
                ]
                await fleet.send(number % 3, body=DEADLY)
                await asyncio.gather(*beside)
                await asyncio.sleep(0.2)
            crashes = sum(one.crashes for one in fleet.replicas)
            assert 0 < crashes <= MAX_CRASHES

    asyncio.run(run())
