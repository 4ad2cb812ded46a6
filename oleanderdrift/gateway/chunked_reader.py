"""Reads chunked bodies from the connections of callers."""

import asyncio
import collections.abc
import functools
import typing

from oleanderdrift.gateway import chunked_decoder
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import work_share

# Decoding so many lines takes less time than waiting for a turn.
MAX_LINES: typing.Final = 32
# Other connections have their turn after so many bytes of one.
TURN_BYTES: typing.Final = 65_536

Take: typing.TypeAlias = collections.abc.Callable[[bytes], bool]


async def read_chunked(
    stream: client_stream.ClientStream,
    max_bytes: int,
    share: work_share.WorkShare,
    take: Take,
) -> None:
    """Reads a body of max_bytes at the most.

    Each part of it is given to take, until that returns that no more is
    wanted.  Bytes that follow the body go back to the stream.  Raises
    StreamClosedError, MalformedBodyError or BodyTooLongError.
    """
    decoder = chunked_decoder.ChunkedDecoder(max_bytes)
    count = 0
    while not decoder.is_done:
        # What waits to be decoded is not counted.
        size = max(client_stream.READ_BYTES, min(decoder.left, TURN_BYTES))
        stream.body_left = decoder.left
        data = await stream.read_bytes(size, partial=True)
        count += len(data)
        if data.count(b'\n') > MAX_LINES:
            part = await share.run(functools.partial(decoder.feed, data))
        else:
            part = decoder.feed(data)
        if part and not take(part):
            return
        if count >= TURN_BYTES:
            count = 0
            await asyncio.sleep(0)
    stream.unread(decoder.rest)
