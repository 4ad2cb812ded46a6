"""An instance under a crowd stops, loses the store and starts as always."""

import asyncio
import collections.abc
import contextlib
import pathlib
import signal
import typing

import pytest

from standins import gateways
from standins import replica as replica_lib
from tests import test_gateway_body_crowds as bodies
from tests import test_gateway_floods as floods
from tests import test_gateway_untrusted_callers as untrusted

LIMITS: typing.Final = (
    f'MemoryMb = {bodies.MEMORY_MB}\nMaxFds = {bodies.MAX_FDS}\n'
)
# How long the link to the store is cut.
OUTAGE_S: typing.Final = 3.0
# A stop takes 6 s by the settings; the machine may be busy.
EXIT_WITHIN_S: typing.Final = 40.0
CROWDS: typing.Final = (
    'whole',
    'short-of-two-accounts',
    'small-chunks-short',
    'chunks-of-one-byte-come-back',
)
each_crowd: typing.Final = pytest.mark.parametrize('name', CROWDS)


@contextlib.asynccontextmanager
async def run_under_crowd(
    name: str, folder: pathlib.Path
) -> collections.abc.AsyncIterator[floods.Site]:
    """Runs an instance under a crowd; checks at its end what it used."""
    silent = replica_lib.Silent()
    async with floods.run_site(folder, silent, LIMITS) as site:
        crowd = bodies.ROWS[name].crowd(site.instance.address)
        async with bodies.run_crowd(site, crowd) as most:
            yield site
            await untrusted.await_ordinary(site)
        await untrusted.await_ordinary(site)
        bodies.check_most(site, most)


@each_crowd
def test_instance_under_a_crowd_serves_after_an_outage_of_the_store(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against what fills a process while its appends wait."""

    async def play() -> None:
        async with run_under_crowd(name, tmp_path) as site:
            site.instance.link.flowing.clear()
            await asyncio.sleep(OUTAGE_S)
            site.instance.link.flowing.set()

    asyncio.run(play())


@each_crowd
def test_instance_under_a_crowd_stops_and_starts_again(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a roll that callers who stay can hold up."""

    async def play() -> None:
        async with run_under_crowd(name, tmp_path) as site:
            await stop(site.instance)
            site.instance.start()

    asyncio.run(play())


async def stop(instance: gateways.Instance) -> None:
    """Has an instance stop; checks that it ends by itself."""
    instance.signal(signal.SIGTERM)
    assert instance.child is not None
    async with asyncio.timeout(EXIT_WITHIN_S):
        while instance.child.poll() is None:
            await asyncio.sleep(0.05)
    assert instance.child.returncode == 0
