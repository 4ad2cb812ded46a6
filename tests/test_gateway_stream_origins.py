"""A stream goes on only at the software version that began it (ORDER)."""

import asyncio

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from tests import gateway_support
from tests import gateway_versions


@pytest.mark.parametrize('remembers', [True, False])
def test_caller_goes_on_at_the_version_that_began_its_stream(
    remembers: bool,
) -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            assert gateway_versions.served(harness, 0) == 1
            await harness.forwarder.origins.update(gateway_versions.now())
            if not remembers:
                gateway_versions.lose_memory(harness)
            gateway_versions.load(harness, 0)
            reply = await gateway_versions.continue_stream(harness)
            assert gateway_versions.served_each(harness) == [2, 0]
            assert reply.body.startswith(b'id: 3\n')

    asyncio.run(scenario())


def test_instance_does_not_join_two_versions_in_one_answer() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions(
            'v1', 'v2', behaviours={0: gateway_versions.CUT}, attempts=3
        ) as harness:
            gateway_versions.load(harness, 1)
            task = asyncio.create_task(harness.send_request())
            while not gateway_versions.served(harness, 0):
                await asyncio.sleep(0)
            await harness.replicas[0].stop()
            reply = await task
            assert reply.ended == 'aborted'
            assert gateway_versions.served(harness, 1) == 0

    asyncio.run(scenario())


def test_stream_without_the_name_of_its_first_request_does_not_go_on() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            await harness.send_request()
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness, None)
            )

    asyncio.run(scenario())


def test_all_streams_go_on_while_one_version_alone_has_served() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            await harness.send_request()
            await harness.forwarder.origins.update(gateway_versions.now())
            assert not harness.log.data
            gateway_versions.lose_memory(harness)
            reply = await gateway_versions.continue_stream(harness)
            assert reply.ended == 'complete'
            assert reply.body.startswith(b'id: 3\n')

    asyncio.run(scenario())


def test_stream_begun_before_a_release_goes_on_or_ends() -> None:
    """The new version comes into service after the stream has begun."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            gateway_versions.set_version(harness, 1, version='v2', born_ms=2)
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.lose_memory(harness)
            gateway_versions.load(harness, 0)
            await gateway_versions.continue_stream(harness)
            assert gateway_versions.served_each(harness) == [2, 0]

    asyncio.run(scenario())


def test_stream_of_a_version_that_has_left_is_refused_at_once() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(gateway_versions.now())
            board = harness.forwarder.board
            board.upstreams.remove('u0', gateway_versions.now())
            gateway_versions.lose_memory(harness)
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


def test_version_replaced_while_all_instances_were_down() -> None:
    """Nobody saw both versions; what is unrecorded is of either."""

    async def scenario() -> None:
        async with gateway_versions.run_versions('v1') as harness:
            await harness.send_request()
            gateway_versions.lose_memory(harness)
            gateway_versions.set_version(harness, 0, version='v2', born_ms=2)
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


def test_stream_does_not_follow_its_route_to_another_service() -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v1') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            board = harness.forwarder.board
            assert board.config is not None
            gateway_versions.set_version(harness, 1, service='desk', born_ms=2)
            moved = gateway_support.route(
                **gateway_versions.RESUMABLE,
                services=(model.WeightedService(service='desk', weight=1.0),),
            )
            desk = model.Service(
                name='desk', tokens_per_event=1, is_engine=True
            )
            board.config = gateway_support.config(
                routes=(moved,),
                services={**board.config.services, 'desk': desk},
            )
            await harness.forwarder.origins.update(gateway_versions.now())
            gateway_versions.check_refused(
                harness, await gateway_versions.continue_stream(harness)
            )

    asyncio.run(scenario())


def test_split_route_continues_a_stream_at_its_service() -> None:
    async def scenario() -> None:
        both = (
            model.WeightedService(service='guide', weight=1e-9),
            model.WeightedService(service='desk', weight=1.0),
        )
        async with gateway_versions.run_versions(
            'v1', 'v1', services=both
        ) as harness:
            board = harness.forwarder.board
            assert board.config is not None
            gateway_versions.set_version(harness, 1, service='desk', born_ms=2)
            desk = model.Service(
                name='desk', tokens_per_event=1, is_engine=True
            )
            board.config.services['desk'] = desk
            await harness.forwarder.origins.update(gateway_versions.now())
            board.origins.note_begun(
                'q1', gateway_versions.V1, gateway_versions.now()
            )
            await gateway_versions.continue_stream(harness)
            assert gateway_versions.served_each(harness) == [1, 0]

    asyncio.run(scenario())


@pytest.mark.parametrize('remembers', [True, False])
def test_instance_that_has_lost_the_store_knows_its_own_streams(
    remembers: bool,
) -> None:
    async def scenario() -> None:
        async with gateway_versions.run_versions('v1', 'v2') as harness:
            gateway_versions.load(harness, 1)
            await harness.send_request()
            await harness.forwarder.origins.update(gateway_versions.now())
            if not remembers:
                gateway_versions.lose_memory(harness)
            harness.log.failure = errors.ResultError(
                codes.LOG_UNAVAILABLE, 'down'
            )
            reply = await gateway_versions.continue_stream(harness)
            if remembers:
                assert gateway_versions.served_each(harness) == [2, 0]
            else:
                gateway_versions.check_refused(harness, reply)

    asyncio.run(scenario())
