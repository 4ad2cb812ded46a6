"""A second copy of an answer on a connection that is in use again."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_desk
from tests import gateway_support

NON_IDEMPOTENT: typing.Final = {'kind': model.RouteKind.NON_IDEMPOTENT}
INTERIM: typing.Final = b'HTTP/1.1 100 Continue\r\n\r\n'


def answer(name: str, framing: str = 'length') -> bytes:
    """Returns an answer that carries its request's id in its body."""
    body = f'answer to {name}'.encode()
    head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\nResponse-Seal: s\r\n'
    match framing:
        case 'length':
            head += f'Content-Length: {len(body)}\r\n\r\n'
            return head.encode() + body
        case 'chunked':
            head += 'Transfer-Encoding: chunked\r\n\r\n'
            return head.encode() + replica.framed(body, False) + b'0\r\n\r\n'
        case _:
            return head.encode() + b'\r\n' + body


@contextlib.asynccontextmanager
async def scripted_upstream(
    harness: gateway_desk.Harness,
    scripts: list[collections.abc.Callable[[str], list[bytes]]],
) -> collections.abc.AsyncIterator[list[str]]:
    """Replaces the upstream; each script gives the pieces of an answer.

    The pieces are sent with pauses; the yielded list receives the ids of the
    requests.
    """
    received: list[str] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await replica.read_request(reader)
                name = request.headers['attempt-id']
                received.append(name)
                for piece in scripts.pop(0)(name):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.005)
        except (asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            # The event loop cancels open connections when a test ends.
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    entry = gateway_support.entry('u0', port=port, born_ms=9)
    harness.forwarder.board.upstreams.put(entry)
    yield received
    server.close()


def own(name: str) -> list[bytes]:
    """The right answer alone."""
    return [answer(name)]


@pytest.mark.parametrize(
    'second',
    [
        pytest.param([answer('q1')], id='whole'),
        pytest.param([answer('q1', 'chunked')], id='chunked'),
        pytest.param([answer('q1')[:30], answer('q1')[30:]], id='pieces'),
        pytest.param([INTERIM, answer('q1')], id='after interim'),
        pytest.param([answer('q1'), answer('q1')], id='twice'),
        pytest.param([answer('q1', 'unframed')], id='without length'),
        pytest.param([answer('q1')[:40]], id='cut short'),
    ],
)
@pytest.mark.parametrize('joined', [True, False])
def test_late_copy_is_not_given_to_the_next_caller(
    second: list[bytes], joined: bool
) -> None:
    """The copy comes after the connection carries the next request."""

    def copy_then_own(name: str) -> list[bytes]:
        pieces = [*second, answer(name)]
        return [b''.join(pieces)] if joined else pieces

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()], route=NON_IDEMPOTENT
        ) as harness:
            async with scripted_upstream(
                harness, [own, copy_then_own, own]
            ) as received:
                first = await harness.send_request(request_id='q1')
                assert first.body == b'answer to q1'
                reply = await harness.send_request(request_id='q2')
                assert reply.body in (b'answer to q2', b'')
                assert (reply.status == 200) == bool(reply.body)
                last = await harness.send_request(request_id='q3')
                assert last.body == b'answer to q3'
                assert received == ['q1', 'q2', 'q3']

    asyncio.run(play())


def refusal(name: str | None, status: int = 503, length: bool = True) -> bytes:
    """Returns a refusal: its request did not run."""
    lines = [f'HTTP/1.1 {status} Answer', 'Not-Executed: 1']
    if name is not None:
        lines.append(f'Attempt-Id: {name}')
    if length:
        lines.append('Content-Length: 4')
    return ('\r\n'.join([*lines, '', '']) + 'full').encode()


@pytest.mark.parametrize(
    'copy',
    [
        pytest.param([refusal('q1')], id='whole'),
        pytest.param([refusal(None)], id='without an id'),
        pytest.param([refusal('q1', 421)], id='misdirected'),
        pytest.param([refusal('q1', 429)], id='too many'),
        pytest.param([refusal('q1')[:25], refusal('q1')[25:]], id='pieces'),
        pytest.param([INTERIM, refusal('q1')], id='after interim'),
        pytest.param([refusal('q1')] * 2, id='twice'),
        pytest.param([refusal('q1', length=False)], id='without length'),
        pytest.param([refusal('q1')[:25]], id='cut short'),
    ],
)
@pytest.mark.parametrize('joined', [True, False])
@pytest.mark.parametrize('budget', [None, 900])
def test_earlier_refusal_does_not_answer_a_request_that_runs(
    copy: list[bytes], joined: bool, budget: int | None
) -> None:
    """A refusal is written again while the next request runs (REFUSED)."""

    def copy_then_own(name: str) -> list[bytes]:
        pieces = [*copy, answer(name)]
        return [b''.join(pieces)] if joined else pieces

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()],
            [replica.CompleteResponse(body=b'elsewhere')],
            route=NON_IDEMPOTENT,
        ) as harness:
            harness.forwarder.board.upstreams.by_id['u1'].own_requests = 200
            async with scripted_upstream(
                harness, [lambda name: [refusal(name)], copy_then_own, own]
            ) as received:
                await harness.send_request(request_id='q1')
                before = len(harness.replicas[1].received)
                reply = await harness.send_request(
                    request_id='q2', token_budget=budget, max_tokens=9
                )
                # Never refused, and never run a second time elsewhere.
                assert reply.status in (200, 502)
                assert reply.body in (b'answer to q2', b'')
                assert (reply.status == 200) == bool(reply.body)
                assert received == ['q1', 'q2']
                assert len(harness.replicas[1].received) == before

    asyncio.run(play())


def test_refusal_that_came_before_the_request_is_not_its_answer() -> None:
    """It is in the socket's buffer when the connection is chosen."""

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()],
            [replica.CompleteResponse()],
            route=NON_IDEMPOTENT,
        ) as harness:
            harness.forwarder.board.upstreams.by_id['u1'].own_requests = 200
            async with scripted_upstream(
                harness, [lambda name: [refusal(name)], own]
            ) as received:
                await harness.send_request(request_id='q1')
                pool = harness.forwarder.attempts.pool
                upstream = harness.forwarder.board.upstreams.by_id['u0']
                (kept,) = pool.idle[upstream.key()]
                # What the kernel holds reaches the protocol after the send.
                kept.protocol.idle = False
                task = asyncio.create_task(
                    harness.send_request(request_id='q2')
                )
                while kept.request_count < 2:
                    await asyncio.sleep(0)
                kept.protocol.data_received(refusal('q1'))
                reply = await task
                assert reply.status == 200
                assert reply.body == b'answer to q2'
                assert received == ['q1', 'q2']

    asyncio.run(play())


def test_copy_before_the_next_request_closes_the_connection() -> None:
    def twice(name: str) -> list[bytes]:
        return [answer(name), answer(name)]

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()], route=NON_IDEMPOTENT
        ) as harness:
            async with scripted_upstream(harness, [twice, own]) as received:
                first = await harness.send_request(request_id='q1')
                assert first.body == b'answer to q1'
                await asyncio.sleep(0.05)
                reply = await harness.send_request(request_id='q2')
                assert reply.body == b'answer to q2'
                assert received == ['q1', 'q2']

    asyncio.run(play())


def test_answer_to_a_caller_that_has_gone_reaches_nobody() -> None:
    """The caller leaves before its answer, which then comes late."""

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()], route=NON_IDEMPOTENT
        ) as harness:
            async with scripted_upstream(
                harness, [lambda name: [b''], own]
            ) as received:
                task = asyncio.create_task(
                    harness.send_request(request_id='q1')
                )
                while not received:
                    await asyncio.sleep(0.001)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                reply = await harness.send_request(request_id='q2')
                assert reply.body == b'answer to q2'

    asyncio.run(play())
