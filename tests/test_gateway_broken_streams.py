"""What a caller gets of a stream that broke off, and what may follow it."""

import asyncio
import typing

import pytest

from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_desk

RESUMABLE: typing.Final = {
    'kind': model.RouteKind.STREAMING,
    'resumable': True,
    'attempts': 3,
}
STREAM: typing.Final = {'kind': model.RouteKind.STREAMING}
PLAIN: typing.Final = {'kind': model.RouteKind.NON_IDEMPOTENT}
CUT: typing.Final = replica.Stream(cut_after=2)
FIRST_TWO: typing.Final = b'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n'
WHOLE: typing.Final = FIRST_TWO + b'id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n'


async def play(
    *behaviours: replica.Behaviour, route: dict[str, typing.Any]
) -> gateway_desk.RecordingReply:
    """Sends one request to a replica with these behaviours in turn."""
    async with gateway_desk.run_harness(
        list(behaviours), route=route
    ) as harness:
        return await harness.send_request()


@pytest.mark.parametrize(
    'following',
    [
        pytest.param(replica.CompleteResponse(status=500), id='error'),
        pytest.param(
            replica.CompleteResponse(status=500, sealed=False),
            id='error without seal',
        ),
        pytest.param(replica.CompleteResponse(status=404), id='not found'),
        pytest.param(replica.CompleteResponse(), id='no stream'),
        pytest.param(
            replica.CompleteResponse(body=b'one\n\ntwo\n\n'),
            id='no stream, with blank lines',
        ),
        pytest.param(replica.Stream(sealed=False), id='no seal'),
        pytest.param(
            replica.Stream(content_type='application/json'),
            id='other content type',
        ),
        pytest.param(replica.Stream(from_start=True), id='from the start'),
        pytest.param(replica.Stream(unframed=True, events=2), id='empty'),
        pytest.param(
            replica.Raw(
                data=b'HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n'
                b'Content-Type: text/event-stream\r\n\r\ndata: x\n\n'
            ),
            id='event without an id',
        ),
        pytest.param(replica.CompleteResponse(status=503), id='refusal'),
        pytest.param(
            replica.CompleteResponse(
                status=503, sealed=False, headers=(('Not-Executed', '1'),)
            ),
            id='refusal, not run',
        ),
        pytest.param(
            replica.CompleteResponse(status=204, body=b''), id='no content'
        ),
    ],
)
def test_stream_that_broke_off_gets_nothing_but_its_own_events(
    following: replica.Behaviour,
) -> None:
    reply = asyncio.run(play(CUT, following, route=RESUMABLE))
    assert reply.status == 200
    assert reply.body == FIRST_TWO
    assert reply.ended == 'aborted'


def test_stream_goes_on_after_an_error_of_the_next_upstream() -> None:
    error = replica.CompleteResponse(status=500)

    async def scenario() -> None:
        async with gateway_desk.run_harness(
            [CUT, error], [error, replica.Stream()], route=RESUMABLE
        ) as harness:
            harness.forwarder.board.upstreams.by_id['u1'].own_requests = 60
            reply = await harness.send_request()
            assert reply.body == WHOLE
            assert reply.ended == 'complete'

    asyncio.run(scenario())


@pytest.mark.parametrize('framing', ['chunked', 'unframed', 'sized'])
@pytest.mark.parametrize('cut_bytes', [1, 5, 15])
def test_stream_that_ends_inside_an_event_is_not_complete(
    framing: str, cut_bytes: int
) -> None:
    cut = replica.Stream(
        cut_after=2,
        cut_bytes=cut_bytes,
        unframed=framing == 'unframed',
        sized=framing == 'sized',
    )
    reply = asyncio.run(play(cut, route=STREAM))
    assert reply.body == FIRST_TWO
    assert reply.ended == 'aborted'


def test_stream_that_ends_with_its_channel_before_any_event_failed() -> None:
    empty = replica.Stream(unframed=True, events=0)
    reply = asyncio.run(play(empty, route=STREAM))
    assert reply.status == 502


@pytest.mark.parametrize('framing', ['chunked', 'unframed', 'sized'])
def test_whole_stream_is_complete(framing: str) -> None:
    whole = replica.Stream(
        unframed=framing == 'unframed', sized=framing == 'sized'
    )
    reply = asyncio.run(play(whole, route=STREAM))
    assert reply.body == WHOLE
    assert reply.ended == 'complete'


def test_stream_whose_last_event_was_sent_ends_when_it_goes_on() -> None:
    """It broke off between its last event and its end."""
    cut = replica.Stream(events=5, cut_after=4, cut_bytes=0)
    reply = asyncio.run(play(cut, replica.Stream(), route=RESUMABLE))
    assert reply.body == WHOLE
    assert reply.ended == 'complete'


@pytest.mark.parametrize('route', [STREAM, PLAIN])
def test_answer_whose_connection_the_instance_closes_is_not_complete(
    route: dict[str, typing.Any],
) -> None:
    """It has no length, and the instance gives up waiting for its rest."""
    head = (
        b'HTTP/1.1 200 OK\r\nAttempt-Id: $ID\r\nResponse-Seal: s\r\n'
        b'Content-Type: text/event-stream\r\n\r\n'
    )
    silent = replica.Stalled(data=head + FIRST_TWO)

    async def scenario() -> None:
        async with gateway_desk.run_harness([silent], route=route) as harness:
            upstream = harness.forwarder.board.upstreams.by_id['u0']
            task = asyncio.create_task(
                harness.send_request(token_budget=900, program_id='p')
            )
            while upstream.last_received == float('-inf'):
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)
            for connection in list(upstream.abortable):
                connection.close()
            reply = await task
            assert reply.ended == 'aborted' or reply.status == 502

    asyncio.run(scenario())
