"""Heads that come little by little take no more work than whole ones."""

import asyncio
import re
import socket
import types
import typing

import hypothesis
import hypothesis.strategies as st
import pytest
from tornado import iostream

from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import head_search

END: typing.Final = rb'\r?\n\r?\n'
HEAD: typing.Final = b'GET / HTTP/1.1\r\nA: ' + b'b' * 3_000 + b'\r\n\r\n'
WAIT_S: typing.Final = 20.0


class CountingPattern:
    """A pattern that counts the bytes that were searched for it."""

    def __init__(self, pattern: bytes) -> None:
        self.pattern = re.compile(pattern)
        self.searched = 0

    def search(
        self, data: bytearray, start: int = 0
    ) -> re.Match[bytes] | None:
        """Searches for the pattern from a place on."""
        self.searched += len(data) - start
        return self.pattern.search(data, start)


@hypothesis.given(
    data=st.lists(
        st.sampled_from([b'a', b'\r', b'\n', b'\r\n', b'\r\n\r\n']),
        max_size=30,
    ).map(b''.join),
    cuts=st.lists(st.integers(1, 9), max_size=30),
)
def test_end_is_found_however_a_head_is_cut(
    data: bytes, cuts: list[int]
) -> None:
    pattern = re.compile(END)
    search = head_search.HeadSearch()
    came = bytearray()
    for cut in [*cuts, len(data)]:
        came += data[len(came) :][:cut]
        whole = pattern.search(came)
        found = search.find(pattern, came)
        assert found == (whole.end() if whole is not None else None)
        if found is not None:
            return


def test_each_byte_of_a_head_is_searched_about_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers whose heads keep the process busy."""
    made: list[CountingPattern] = []

    def compile_pattern(pattern: bytes) -> CountingPattern:
        made.append(CountingPattern(pattern))
        return made[-1]

    monkeypatch.setattr(
        iostream, 're', types.SimpleNamespace(compile=compile_pattern)
    )

    async def play() -> None:
        ours, theirs = socket.socketpair()
        stream = client_stream.ClientStream(ours)
        for _ in range(2):
            stream.expect_request()
            head = asyncio.ensure_future(stream.read_until_regex(END))
            for byte in HEAD:
                theirs.send(bytes([byte]))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            async with asyncio.timeout(WAIT_S):
                assert await head == HEAD
        stream.close()
        theirs.close()

    asyncio.run(play())
    assert len(made) == 2
    for pattern in made:
        assert len(HEAD) <= pattern.searched < 10 * len(HEAD)
