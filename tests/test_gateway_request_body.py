"""The body of a request while it arrives."""

import subprocess  # nosec
import sys
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import request_body
from standins import processes

SMALL: typing.Final = request_body.MAX_HEAP_BYTES
BLOCK: typing.Final = request_body.BLOCK_BYTES
# Many bodies grow, with other objects between their parts, and go.  Prints by
# how many bytes the process has grown with them, and after them.
GROW_AND_GO: typing.Final = """\
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import process_memory
from oleanderdrift.gateway import request_body

process_memory.return_freed_memory()
ledger = held_bytes.HeldBytes(limit=1 << 30)
before = process_memory.resident_bytes()
bodies = [request_body.RequestBody(ledger.open('a')) for _ in range(300)]
others = []
for _ in range(50):
    for body in bodies:
        body.append(bytes(2_048))
        others.append(bytes(600))
print(process_memory.resident_bytes() - before)
for body in bodies:
    body.drop()
print(process_memory.resident_bytes() - before, len(others) * 700)
"""


def make_body(limit: int = 1 << 30) -> request_body.RequestBody:
    """Returns an empty body, with a ledger of its own."""
    return request_body.RequestBody(
        held_bytes.HeldBytes(limit=limit).open('a', lambda: None)
    )


@pytest.mark.parametrize(
    'sizes',
    [
        [],
        [1],
        [SMALL],
        [SMALL + 1],
        [SMALL, 1],
        [1, BLOCK, 1],
        [SMALL, BLOCK],
        [SMALL, BLOCK - 1, 1, 1],
        [4 * BLOCK],
    ],
)
def test_body_is_what_came(sizes: list[int]) -> None:
    body = make_body()
    parts = [bytes([65 + n]) * size for n, size in enumerate(sizes)]
    for part in parts:
        body.append(part)
    assert body.holder.count == sum(sizes)
    assert body.take() == b''.join(parts)
    # It counts on for whoever has taken it.
    assert body.holder.ledger.total == sum(sizes)
    body.drop()
    assert body.holder.ledger.total == 0


@hypothesis.given(parts=st.lists(st.binary(max_size=9_000), max_size=30))
def test_body_of_any_parts_is_what_came(parts: list[bytes]) -> None:
    body = make_body()
    for part in parts:
        body.append(part * 9)
    assert body.take() == b''.join(part * 9 for part in parts)


@pytest.mark.parametrize('size', [10, 3 * BLOCK])
def test_body_that_was_dropped_takes_nothing_more(size: int) -> None:
    """Guards against bytes that come after a refusal, and count nowhere."""
    body = make_body()
    body.append(bytes(size))
    body.drop()
    body.append(bytes(size))
    assert body.take() == b''
    assert body.holder.ledger.total == 0


def test_freed_bodies_go_back_to_the_system() -> None:
    """Guards against gaps that the allocator keeps."""
    printed = subprocess.run(
        [sys.executable, '-c', GROW_AND_GO],
        check=True,
        capture_output=True,
        text=True,
        cwd=processes.ROOT,
    ).stdout.split()
    grown, left, others = map(int, printed)
    print(f'{grown=} {left=} {others=}')
    bodies = grown - others
    assert bodies > 25_000_000
    assert left - others < bodies / 4
