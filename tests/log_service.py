"""Runs the stand-in log service in a thread, for tests of its clients."""

import asyncio
import threading
import typing

import pytest

from oleanderdrift import log_client
from standins import log
from standins import serving


class LogService:
    """A running stand-in log; set_switches changes its switches meanwhile."""

    def __init__(self) -> None:
        self.switches = log.LogSwitches()
        self.app = log.make_app(self.switches)
        self.loop = asyncio.new_event_loop()
        self.url = ''
        ready = threading.Event()
        self.thread = threading.Thread(target=self.serve, args=(ready,))
        self.thread.start()
        assert ready.wait(5)

    def serve(self, ready: threading.Event) -> None:
        """Serves until stop is called."""
        asyncio.set_event_loop(self.loop)
        self.server, port = serving.listen(self.app, '127.0.0.1', 0)
        self.url = f'http://127.0.0.1:{port}'
        self.loop.call_soon(ready.set)
        self.loop.run_forever()
        self.server.stop()
        self.loop.run_until_complete(self.server.close_all_connections())
        self.loop.close()

    def set_switches(self, **changes: typing.Any) -> None:
        """Sets switches by name."""
        done = threading.Event()

        def act() -> None:
            self.app.state.set_switches(changes)
            done.set()

        self.loop.call_soon_threadsafe(act)
        assert done.wait(5)

    def append(self, *records: bytes) -> None:
        """Appends to the `config` stream."""

        async def act() -> None:
            client = log_client.LogClient(self.url)
            for data in records:
                await client.append('config', data)
            client.close()

        asyncio.run(act())

    def stop(self) -> None:
        """Stops the server and its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


@pytest.fixture
def log_service() -> typing.Iterator[LogService]:
    """A new stand-in log with empty streams."""
    service = LogService()
    yield service
    service.stop()
