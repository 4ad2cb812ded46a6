"""One request of the largest legal size is served, however it is framed.

The instance has the limits of the users' smallest machine, and no other
caller.
"""

import asyncio
import collections.abc
import pathlib
import typing

import pytest

from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_floods as floods

LIMITS: typing.Final = 'MemoryMb = 136\nMaxFds = 1638\n'
BODY_BYTES: typing.Final = 4_194_304
# The longest that callers usually wait.
DEADLINE_S: typing.Final = 30
SEND_BYTES: typing.Final = 1_000_000
STATED: typing.Final = f'Content-Length: {BODY_BYTES}'
CHUNKED: typing.Final = 'Transfer-Encoding: chunked'
BODY: typing.Final = bytes(range(256)) * (BODY_BYTES // 256)


def chunked(sizes: collections.abc.Sequence[int]) -> bytes:
    """Returns the largest body in chunks of some sizes in turn."""
    found = []
    start = number = 0
    while start < BODY_BYTES:
        end = start + sizes[number % len(sizes)]
        found.append(floods.chunk(BODY[start:end]))
        start = end
        number += 1
    return b''.join([*found, b'0\r\n\r\n'])


async def post(site: floods.Site, framing: str, data: bytes) -> bytes:
    """Sends a request; returns its answer."""
    reader, writer = await asyncio.open_connection(
        site.instance.address, gateways.FRONT_PORT
    )
    writer.write(
        'POST /calls/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: q1\r\n'
        f'Credential: k1\r\nDeadline-Ms: {DEADLINE_S * 1_000}\r\n'
        f'Connection: close\r\n{framing}\r\n\r\n'.encode()
    )
    async with asyncio.timeout(DEADLINE_S):
        for start in range(0, len(data), SEND_BYTES):
            writer.write(data[start : start + SEND_BYTES])
            await writer.drain()
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ('framing', 'sizes'),
    [
        pytest.param(STATED, [], id='length'),
        pytest.param(CHUNKED, [BODY_BYTES], id='one-chunk'),
        pytest.param(CHUNKED, [65_536], id='large-chunks'),
        pytest.param(CHUNKED, [2_048], id='small-chunks'),
        pytest.param(CHUNKED, [10], id='chunks-of-10-bytes'),
        pytest.param(CHUNKED, [1], id='chunks-of-one-byte'),
        pytest.param(CHUNKED, [1, 2, 1, 17, 3], id='chunks-of-few-bytes'),
    ],
)
def test_largest_body_is_served(
    framing: str, sizes: list[int], tmp_path: pathlib.Path
) -> None:
    """Guards against limits that a caller within the documented ones meets."""

    async def play() -> None:
        answer = replica_lib.CompleteResponse()
        async with floods.run_site(
            tmp_path, answer, LIMITS, DEADLINE_S * 1_000
        ) as site:
            data = chunked(sizes) if sizes else BODY
            received = await post(site, framing, data)
            assert received.startswith(b'HTTP/1.1 200')
            assert [one.body for one in site.flooding.received] == [BODY]

    asyncio.run(play())
