"""Crowds whose bodies have no end, or whose callers leave, fill no process.

Each test runs one instance as a process with low limits and a crowd as
another.  What the kernel holds of bytes that the instance has not read counts
as its memory, as it does on the users' machines.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import re
import socket
import struct
import typing

import attrs
import pytest

from standins import crowd as crowd_lib
from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_floods as floods
from tests import test_gateway_untrusted_callers as untrusted

MEMORY_MB: typing.Final = 96
MAX_FDS: typing.Final = 1_638
# How long the crowd goes on before an ordinary request is sent.
PLAY_S: typing.Final = 4.0
SAMPLE_S: typing.Final = 0.02
MB: typing.Final = 1_048_576
BODY_BYTES: typing.Final = 4_194_304
PIECE_BYTES: typing.Final = 50_000
# Longer than the test, so that it is not the deadline that ends a body.
DEADLINE_MS: typing.Final = 60_000
CALLS: typing.Final = ('/calls/',)
TURNS: typing.Final = ('/turns/',)
BOTH: typing.Final = ('/calls/', '/turns/')
CHUNKED: typing.Final = 'Transfer-Encoding: chunked'
# State of a connection in /proc/net/tcp.
LISTENING: typing.Final = '0A'
Piece: typing.TypeAlias = crowd_lib.Piece


def stated(count: int = BODY_BYTES) -> str:
    """Returns the header of a body of a length."""
    return f'Content-Length: {count}'


def body(count: int = BODY_BYTES) -> tuple[Piece, ...]:
    """Returns a body that is sent at once."""
    return (Piece(text='x', repeats=count),)


def pieces(count: int, size: int = PIECE_BYTES) -> tuple[Piece, ...]:
    """Returns a body that is sent piece by piece."""
    return (
        Piece(text='x', repeats=size, count=count // size),
        Piece(text='x', repeats=count % size),
    )


def chunks(size: int, together: int, count: int) -> tuple[Piece, ...]:
    """Returns chunks of a size, some together in each piece."""
    text = floods.chunk(b'x' * size).decode()
    return (Piece(text=text, repeats=together, count=count),)


@attrs.frozen(kw_only=True)
class Row:
    """A crowd: its paths, the last fields of its heads, and what it sends."""

    framing: str = stated()
    pieces: tuple[Piece, ...]
    paths: tuple[str, ...] = BOTH
    keys: tuple[str, ...] = ('k1',)
    callers: int = 200
    pause_s: float = 0.0
    closes: bool = False
    returns: bool = False

    def crowd(self, host: str) -> crowd_lib.Crowd:
        """Returns the crowd that sends it to an instance."""
        return crowd_lib.Crowd(
            host=host,
            port=gateways.FRONT_PORT,
            callers=self.callers,
            heads=tuple(
                f'POST {path}x HTTP/1.1\r\nHost: desk.example\r\n'
                f'Attempt-Id: {crowd_lib.ID}\r\nCredential: {key}\r\n'
                f'Deadline-Ms: {DEADLINE_MS}\r\n{self.framing}\r\n\r\n'
                for path in self.paths
                for key in self.keys
            ),
            pieces=self.pieces,
            pause_s=self.pause_s,
            closes=self.closes,
            returns=self.returns,
        )


ROWS: typing.Final = {
    'whole': Row(pieces=body()),
    'whole-calls-then-gone': Row(
        pieces=body(), paths=CALLS, callers=8, closes=True, returns=True
    ),
    'whole-turns-then-gone': Row(
        pieces=body(), paths=TURNS, callers=4, closes=True, returns=True
    ),
    'pieces': Row(pieces=pieces(BODY_BYTES), pause_s=0.02),
    'pieces-short-then-gone': Row(
        framing=stated(MB),
        pieces=pieces(MB - 1),
        callers=8,
        pause_s=0.002,
        closes=True,
        returns=True,
    ),
    'short': Row(pieces=body(BODY_BYTES - 1)),
    'short-of-two-accounts': Row(
        pieces=body(BODY_BYTES - 1), keys=('k1', 'k2')
    ),
    'short-then-gone': Row(
        framing=stated(MB),
        pieces=body(MB - 1),
        callers=6,
        closes=True,
        returns=True,
    ),
    'short-come-back': Row(pieces=body(BODY_BYTES - 1), returns=True),
    'one-chunk-short': Row(
        framing=CHUNKED,
        pieces=(Piece(text=f'{BODY_BYTES:x}\r\n'), *body(BODY_BYTES - 1)),
    ),
    'large-chunks-short': Row(
        framing=CHUNKED, pieces=chunks(PIECE_BYTES, 1, 83), returns=True
    ),
    'small-chunks-short': Row(
        framing=CHUNKED, pieces=chunks(2_048, 25, 80), returns=True
    ),
    'chunks-of-one-byte-short': Row(
        framing=CHUNKED, pieces=chunks(1, 2_000, 2_000)
    ),
    'chunks-of-one-byte-come-back': Row(
        framing=CHUNKED, pieces=chunks(1, 2_000, 2_000), returns=True
    ),
    'over-the-limit-announced': Row(
        framing=stated(1_000_000_000),
        pieces=pieces(20_000_000),
        returns=True,
    ),
    'over-the-limit-one-chunk': Row(
        framing=CHUNKED,
        pieces=(Piece(text='ffffffff\r\n'), *pieces(20_000_000)),
        returns=True,
    ),
    'over-the-limit-chunks': Row(
        framing=CHUNKED,
        pieces=chunks(PIECE_BYTES, 1, 400),
        returns=True,
    ),
    'trailers-without-end': Row(
        framing=CHUNKED,
        pieces=(Piece(text='0\r\n'), Piece(text='a: b\r\n', count=100_000)),
        returns=True,
    ),
    'size-line-without-end': Row(
        framing=CHUNKED, pieces=(Piece(text='0' * 100, count=100_000),)
    ),
}


def unread_bytes(host: str) -> int:
    """Returns how many bytes the kernel holds unread for a process.

    Its connections are those at an address that nobody else uses.
    """
    packed = struct.unpack('=I', socket.inet_aton(host))
    local = f'{packed[0]:08X}:'
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
        fields = line.split()
        if fields[1].startswith(local) and fields[3] != LISTENING:
            total += int(fields[4].partition(':')[2], 16)
    return total


@attrs.define
class Watcher:
    """The most that an instance has used, sampled; memory is in bytes."""

    descriptors: int = 0
    memory: int = 0

    async def watch(self, site: floods.Site) -> None:
        """Samples until cancelled; the instance may be started again."""
        while True:
            # Its process may end at any moment.
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                self.sample(site)
            await asyncio.sleep(SAMPLE_S)

    def sample(self, site: floods.Site) -> None:
        """Looks up what is used now; raises OSError if nothing runs."""
        child = site.instance.child
        assert child is not None
        folder = pathlib.Path(f'/proc/{child.pid}')
        count = len(list((folder / 'fd').iterdir()))
        status = (folder / 'status').read_text()
        found = re.search(r'^VmRSS:\s+(\d+) kB$', status, re.M)
        if found is None:
            # It has ended, and nobody has waited for it yet.
            return
        used = int(found[1]) * 1_024 + unread_bytes(site.instance.address)
        self.descriptors = max(self.descriptors, count)
        self.memory = max(self.memory, used)


@contextlib.asynccontextmanager
async def run_crowd(
    site: floods.Site, crowd: crowd_lib.Crowd
) -> collections.abc.AsyncIterator[Watcher]:
    """Runs a crowd beside an instance for a while, and watches it."""
    watcher = Watcher()
    task = asyncio.create_task(watcher.watch(site))
    child = crowd_lib.start(crowd)
    try:
        await asyncio.sleep(PLAY_S)
        yield watcher
    finally:
        child.kill()
        child.wait()
        task.cancel()


def check_most(site: floods.Site, most: Watcher) -> None:
    """Checks what an instance has used against its limits."""
    peak_mb = site.peak_mb()
    print(
        f'peak_mb={peak_mb:.0f} fds={most.descriptors} '
        f'with_unread_mb={most.memory / MB:.0f}'
    )
    assert peak_mb < MEMORY_MB
    assert most.memory < MEMORY_MB * MB
    assert most.descriptors < MAX_FDS


async def check_crowd(
    row: Row,
    folder: pathlib.Path,
    behaviour: replica_lib.Behaviour,
) -> None:
    """Plays a row against one instance; checks what it holds and serves."""
    limits = f'MemoryMb = {MEMORY_MB}\nMaxFds = {MAX_FDS}\n'
    async with floods.run_site(folder, behaviour, limits) as site:
        crowd = row.crowd(site.instance.address)
        async with run_crowd(site, crowd) as most:
            await untrusted.await_ordinary(site)
        await untrusted.await_ordinary(site)
        check_most(site, most)


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
def test_crowd_of_bodies_does_not_fill_the_process(
    row: Row, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that is killed for what callers send."""
    asyncio.run(check_crowd(row, tmp_path, replica_lib.Silent()))
