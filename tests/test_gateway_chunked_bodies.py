"""Chunked bodies of callers: decoding, and the time that it may take."""

import asyncio
import collections.abc
import functools
import random
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from oleanderdrift.gateway import chunked_decoder
from oleanderdrift.gateway import work_share
from tests import test_gateway_whole as whole

LIMIT: typing.Final = 100_000
HEAD: typing.Final = (
    'POST /a/b HTTP/1.1\r\nHost: desk.example\r\nCredential: k1\r\n'
    'Attempt-Id: %s\r\nDeadline-Ms: 5000\r\n%s\r\n'
)
CHUNKED: typing.Final = 'Transfer-Encoding: chunked\r\n'


def encode(body: bytes, sizes: collections.abc.Sequence[int]) -> bytes:
    """Returns a body in chunks of some sizes, and the rest in one."""
    found = []
    for size in sizes:
        part, body = body[:size], body[size:]
        if part:
            found.append(b'%x\r\n%b\r\n' % (len(part), part))
    if body:
        found.append(b'%X\r\n%b\r\n' % (len(body), body))
    return b''.join([*found, b'0\r\n\r\n'])


def decode(wire: bytes, cuts: collections.abc.Sequence[int]) -> bytes:
    """Returns what is decoded of bytes that come in pieces."""
    decoder = chunked_decoder.ChunkedDecoder(LIMIT)
    found = []
    for cut in cuts:
        piece, wire = wire[:cut], wire[cut:]
        found.append(decoder.feed(piece))
    found.append(decoder.feed(wire))
    assert decoder.is_done
    return b''.join([*found, b'|', decoder.rest])


@hypothesis.given(
    runs=st.lists(
        st.tuples(st.integers(1, 70), st.integers(1, 60)), max_size=12
    ),
    cuts=st.lists(st.integers(0, 90), max_size=40),
    rest=st.sampled_from([b'', b'G', b'GET / HTTP/1.1\r\n\r\n']),
)
def test_body_is_decoded_however_it_is_cut(
    runs: list[tuple[int, int]], cuts: list[int], rest: bytes
) -> None:
    sizes = [size for size, count in runs for _ in range(count)]
    # Its own bytes look like framing.
    body = b''.join(
        random.Random(1).choices([b'1', b'\r', b'\n', b'a'], k=sum(sizes) + 9)
    )
    found = decode(encode(body, sizes) + rest, cuts)
    assert found == body + b'|' + rest


@pytest.mark.parametrize(
    'wire',
    [
        b'zz\r\n',
        b'\r\n',
        b'-1\r\nx\r\n',
        b'0x1\r\nx\r\n',
        b'1_0\r\n',
        b' 1\r\n',
        b'1 \r\nx\r\n',
        b'1;a=b\r\nx\r\n',
        b'1\nx\n',
        b'1\rx',
        b'1\r\nxx\r\n',
        b'1\r\nx\n1',
        b'1\r\nx\r\n' * 20 + b'1\r\nxx\n',
        b'1\r\nx\r\n' * 20 + b'2\r\nx\r\n1',
        b'0\r\na: b\r\n\r\n',
        b'0\r\nx',
        b'0' * 63,
    ],
)
@pytest.mark.parametrize('size', [1, 7, 1_000])
def test_malformed_body_is_refused_at_once(wire: bytes, size: int) -> None:
    """Guards against bytes that two servers take for different requests."""
    decoder = chunked_decoder.ChunkedDecoder(LIMIT)
    with pytest.raises(chunked_decoder.MalformedBodyError):
        for start in range(0, len(wire), size):
            decoder.feed(wire[start : start + size])


@pytest.mark.parametrize(
    'wire',
    [
        b'ffffffff\r\n',
        b'f' * 62 + b'\r\n',
        b'%x\r\n' % (LIMIT + 1),
        encode(bytes(LIMIT + 1), [1] * LIMIT),
        encode(bytes(LIMIT + 1), [60_000]),
    ],
)
def test_body_over_the_limit_is_refused(wire: bytes) -> None:
    decoder = chunked_decoder.ChunkedDecoder(LIMIT)
    with pytest.raises(chunked_decoder.BodyTooLongError):
        decoder.feed(wire)
    assert decoder.total <= LIMIT + 60_000 or not decoder.rest


def test_largest_body_is_within_the_limit() -> None:
    body = bytes(LIMIT)
    assert decode(encode(body, [1] * LIMIT), []) == body + b'|'


def test_work_is_done_in_its_order_a_part_in_each_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that keep all others from their turn."""
    done: list[int] = []
    turns: list[int] = []
    now = 0.0

    def work(number: int) -> int:
        nonlocal now
        # A quarter of a turn.
        now += work_share.TURN_S / 4
        done.append(number)
        return number

    def fail() -> int:
        raise ValueError('injected')

    async def count_turns() -> None:
        while True:
            turns.append(len(done))
            await asyncio.sleep(0)

    async def play() -> None:
        share = work_share.WorkShare()
        counter = asyncio.create_task(count_turns())
        calls = [
            asyncio.create_task(share.run(functools.partial(work, number)))
            for number in range(40)
        ]
        failing = asyncio.create_task(share.run(fail))
        await asyncio.sleep(0)
        calls[9].cancel()
        found = await asyncio.gather(*calls, return_exceptions=True)
        assert isinstance(found.pop(9), asyncio.CancelledError)
        assert found == done == [n for n in range(40) if n != 9]
        with pytest.raises(ValueError, match='injected'):
            await failing
        assert not share.jobs
        assert await share.run(lambda: work(99)) == 99
        counter.cancel()

    monkeypatch.setattr('oleanderdrift.gateway.clock.monotonic', lambda: now)
    asyncio.run(play())
    steps = [after - before for before, after in zip(turns, turns[1:])]
    assert max(steps) <= 4


@pytest.mark.parametrize('fields', ['', 'Expect: 100-continue\r\n'])
@pytest.mark.parametrize('sizes', [[], [1] * 500, [3, 2] * 100])
def test_requests_that_follow_on_a_connection_are_served(
    fields: str, sizes: list[int]
) -> None:
    """Guards against a next request that is lost with the last chunk."""
    body = random.Random(2).randbytes(800)
    wire = b''.join(
        (HEAD % (name, CHUNKED + fields)).encode() + encode(body, sizes)
        for name in ('q1', 'q2')
    )
    wire += (
        HEAD % ('q3', 'Content-Length: 3\r\nConnection: close\r\n')
    ).encode()

    async def play() -> bytes:
        async with whole.run_environment() as env:
            await whole.make_ready(env)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', env.port
            )
            writer.write(wire + b'end')
            async with asyncio.timeout(whole.WAIT_S):
                received = await reader.read()
            writer.close()
            found = [one.body for one in env.replica.received]
            assert found == [body, body, b'end']
            return received

    received = asyncio.run(play())
    assert received.count(b'HTTP/1.1 200') == 3
    continued = received.count(b'HTTP/1.1 100')
    assert continued == (2 if fields else 0)
