"""Runs a gateway instance on the users' platform."""

import asyncio
import pathlib
import typing

from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import server
from oleanderdrift.gateway import settings as gateway_settings
from oleanderdrift.platform import codec
from oleanderdrift.platform import settings as settings_lib
from oleanderdrift.platform import store

READY_PATH: typing.Final = '/-/ready'


def run() -> None:
    """Runs until SIGTERM; raises ResultError if the settings are invalid."""
    event_log.set_up()
    path = settings_lib.path()
    settings = settings_lib.load(path)
    asyncio.run(_serve(settings, path))


async def _serve(
    settings: gateway_settings.GatewaySettings, path: pathlib.Path
) -> None:
    link = own_link.OwnLink(mbps=settings.link_mbps)
    gateway = server.build(
        settings,
        lambda: settings_lib.load(path),
        codec.PlatformCodec(),
        store.Store(
            settings.store,
            settings.store_partitions,
            settings.store_record_bytes,
            link,
        ),
        READY_PATH,
        link,
    )
    await gateway.run()
