"""Asks engines to release the cached prefixes of programs.

A release that fails is retried with exponential back-off.
"""

import asyncio
import typing

import attrs
import msgspec

from oleanderdrift import blackboard
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import http_out
from oleanderdrift import logs

RELEASE_PATH: typing.Final = '/v1/release'
MAX_TRIES: typing.Final = 6
FIRST_RETRY_S: typing.Final = 0.5


@attrs.frozen(kw_only=True)
class ReleaseBody:
    """The JSON body of a release request."""

    program: str


@attrs.define(kw_only=True)
class Releases:
    """The controller that sends releases; failed counts those given up."""

    board: blackboard.Board
    upstream_client: http_out.UpstreamClient
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    failed: int = 0


def submit(releases: Releases, release: decisions.PrefixRelease) -> None:
    """Sends one release in the background, with retries."""
    task = asyncio.get_running_loop().create_task(_deliver(releases, release))
    releases.tasks.add(task)
    task.add_done_callback(releases.tasks.discard)


async def _deliver(
    releases: Releases, release: decisions.PrefixRelease
) -> None:
    delay_s = FIRST_RETRY_S
    for _attempt in range(MAX_TRIES):
        upstream = releases.board.config.upstreams.get(release.upstream)
        if upstream is None or not upstream.models:
            return
        if await _send(releases, upstream.url, release.program):
            return
        await asyncio.sleep(delay_s)
        delay_s *= 2
    releases.failed += 1
    logs.warning(
        'release-failed', program=release.program, upstream=release.upstream
    )


async def _send(releases: Releases, url: str, program: str) -> bool:
    limits = releases.board.settings.limits
    stream = releases.upstream_client.open(
        http_out.UpstreamRequest(
            method='POST',
            url=url.rstrip('/') + RELEASE_PATH,
            headers={'Content-Type': 'application/json'},
            body=msgspec.json.encode(ReleaseBody(program=program)),
            once=False,
            connect_timeout_s=limits.connect_timeout_s,
            silence_s=limits.connect_timeout_s,
        )
    )
    try:
        await stream.start()
        while await stream.read():
            pass
    except errors.ResultError:
        return False
    return stream.status < 300
