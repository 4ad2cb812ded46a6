"""Long answers leave room on the link for the others."""

import asyncio
import typing

import pytest

from oleanderdrift.gateway import link_share
from tests import virtual_time

# 100,000 bytes in the time that others may be held up.
MBPS: typing.Final = 8.0
LIMIT: typing.Final = 100_000


async def ask(
    share: link_share.LinkShare, size: int, asked: list[int]
) -> None:
    """Asks for an answer that takes a second."""
    async with share.take(size):
        asked.append(size)
        assert share.asked <= LIMIT or share.asked == size
        await asyncio.sleep(1.0)


@pytest.mark.parametrize(
    ('sizes', 'seconds'),
    [
        ([LIMIT], 1.0),
        ([LIMIT // 2, LIMIT // 2], 1.0),
        ([LIMIT // 2, LIMIT // 2, 1], 2.0),
        ([5 * LIMIT, 1], 2.0),
        ([1, 5 * LIMIT, 1], 3.0),
        ([LIMIT // 4] * 9, 3.0),
    ],
)
def test_no_more_than_the_limit_is_asked_for(
    sizes: list[int], seconds: float
) -> None:
    async def scenario() -> float:
        share = link_share.LinkShare(MBPS)
        asked: list[int] = []
        await asyncio.gather(*(ask(share, size, asked) for size in sizes))
        assert asked == sizes
        assert not share.asked
        return asyncio.get_running_loop().time()

    assert virtual_time.run(scenario()) == pytest.approx(seconds)


@pytest.mark.parametrize('cancelled_s', [0.5, 1.0])
def test_caller_that_leaves_gives_its_place_to_the_next(
    cancelled_s: float,
) -> None:
    async def scenario() -> float:
        share = link_share.LinkShare(MBPS)
        asked: list[int] = []
        calls = [
            asyncio.create_task(ask(share, LIMIT, asked)) for _ in range(3)
        ]
        await asyncio.sleep(cancelled_s)
        calls[1].cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        assert not share.asked
        return asyncio.get_running_loop().time()

    assert virtual_time.run(scenario()) == pytest.approx(2.0)


def test_slow_link_still_has_a_page_at_once() -> None:
    assert link_share.LinkShare(0.1).limit == link_share.MIN_BYTES
