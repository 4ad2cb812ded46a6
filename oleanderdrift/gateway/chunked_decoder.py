"""Decodes chunked bodies, also those in very many chunks.

A caller may send each byte in a chunk of its own.  Chunks of one size that
follow each other are decoded together, so that such a body takes little more
time than any other.
"""

import re
import typing

# Callers may write zeros before a size.
MAX_SIZE_DIGITS: typing.Final = 62
# Only a run of small chunks is worth looking for.
MAX_RUN_SIZE: typing.Final = 64
MIN_RUN: typing.Final = 8
# How many times as many chunks as a run has had are looked at next.
RUN_GROWTH: typing.Final = 4
END_OF_LINE: typing.Final = b'\r\n'
_SIZE_LINE: typing.Final = re.compile(
    rb'([0-9A-Fa-f]{1,%d})\r\n' % MAX_SIZE_DIGITS
)
_MAX_LINE_BYTES: typing.Final = MAX_SIZE_DIGITS + len(END_OF_LINE)


class MalformedBodyError(Exception):
    """The bytes are no chunked body."""


class BodyTooLongError(Exception):
    """A body has more bytes than allowed."""


class ChunkedDecoder:
    """Decodes one body of max_bytes at the most.

    left is what is still to come of the chunk that has begun, with the end of
    its line.  rest holds bytes that are not decoded yet; once is_done, those
    that follow the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self.left = 0
        self.rest = b''
        self.is_done = False
        self.last_line = b''
        self.run = 0

    def feed(self, data: bytes) -> bytes:
        """Returns what the next bytes of the wire add to the body.

        Raises MalformedBodyError or BodyTooLongError.
        """
        data = self.rest + data
        found: list[bytes] = []
        at = 0
        while at < len(data) and not self.is_done:
            if self.left:
                after = self.take_data(data, at, found)
            else:
                after = self.take_chunks(data, at, found)
            if after == at:
                break
            at = after
        self.rest = data[at:]
        return b''.join(found)

    def take_data(self, data: bytes, at: int, found: list[bytes]) -> int:
        """Takes data of the chunk that has begun; returns where it ends."""
        count = min(max(self.left - len(END_OF_LINE), 0), len(data) - at)
        if count:
            found.append(data[at : at + count])
            self.left -= count
            return at + count
        end = at + self.left
        if end > len(data):
            return at
        if data[at:end] != END_OF_LINE:
            raise MalformedBodyError('a chunk is longer than its size')
        self.left = 0
        return end

    def take_chunks(self, data: bytes, at: int, found: list[bytes]) -> int:
        """Takes whole chunks, or begins one; returns where they end."""
        line = _SIZE_LINE.match(data, at)
        if line is None:
            if len(data) - at >= _MAX_LINE_BYTES or not _may_begin(data[at:]):
                raise MalformedBodyError('invalid chunk size')
            return at
        size = int(line[1], 16)
        if not size:
            return self.take_end(data, at, line.end())
        self.count(size)
        end = line.end() + size
        if data[end : end + len(END_OF_LINE)] != END_OF_LINE:
            self.left = size + len(END_OF_LINE)
            return line.end()
        found.append(data[line.end() : end])
        end += len(END_OF_LINE)
        return self.take_run(data, end, data[at : line.end()], size, found)

    def take_end(self, data: bytes, at: int, end: int) -> int:
        """Takes the end of the body, which has no trailers."""
        after = end + len(END_OF_LINE)
        if not END_OF_LINE.startswith(data[end:after]):
            raise MalformedBodyError('improperly terminated body')
        if after > len(data):
            return at
        self.is_done = True
        return after

    def take_run(
        self, data: bytes, at: int, line: bytes, size: int, found: list[bytes]
    ) -> int:
        """Takes the chunks that follow one with the same size line."""
        if line != self.last_line:
            self.last_line, self.run = line, 1
            return at
        self.run += 1
        if self.run < MIN_RUN or size > MAX_RUN_SIZE:
            return at
        period = len(line) + size + len(END_OF_LINE)
        most = min((len(data) - at) // period, self.run * RUN_GROWTH)
        count = _run_length(data[at : at + most * period], line, period)
        if not count:
            self.run = 0
            return at
        self.count(count * size)
        self.run += count
        end = at + count * period
        found.append(_run_data(data[at:end], len(line), size, period))
        return end

    def count(self, size: int) -> None:
        """Counts bytes of the body; raises BodyTooLongError."""
        self.total += size
        if self.total > self.max_bytes:
            raise BodyTooLongError


def _may_begin(data: bytes) -> bool:
    """Returns whether bytes may be the beginning of a size line."""
    digits, end, rest = data.partition(b'\r')
    return not rest and _SIZE_LINE.match(digits + END_OF_LINE) is not None


def _run_length(data: bytes, line: bytes, period: int) -> int:
    """Returns how many whole chunks with a size line data begins with."""
    framing = [*enumerate(line)]
    framing += enumerate(END_OF_LINE, period - len(END_OF_LINE))
    count = len(data) // period
    for place, byte in framing:
        column = data[place : count * period : period]
        count -= len(column.lstrip(bytes([byte])))
    return count


def _run_data(data: bytes, start: int, size: int, period: int) -> bytes:
    """Returns the data of chunks of one size."""
    if size == 1:
        return data[start::period]
    joined = bytearray(len(data) // period * size)
    for place in range(size):
        joined[place::size] = data[start + place :: period]
    return bytes(joined)
