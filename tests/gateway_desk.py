"""A test harness: a forwarder in front of stand-in replicas."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_support


class RecordingReply:
    """Records the response to one request, and is as strict as the wire.

    ended is 'complete' or 'aborted'; gone makes the next write
    raise ClientDisconnectedError.  A second head, a chunk before the head and
    anything after the end raise AssertionError.
    """

    def __init__(self) -> None:
        self.started = False
        self.progress: progress_lib.Progress | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.ended = ''
        self.gone = False

    def check(self, started: bool) -> None:
        """Checks that something may be written now."""
        assert self.started is started, 'a head comes once, before the body'
        assert not self.ended, 'nothing comes after the end'

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Records the status and headers."""
        self.check(started=False)
        self.started = True
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Records a complete response."""
        await self.start(status, headers)
        self.body = body
        self.ended = 'complete'

    async def write(self, chunk: bytes) -> None:
        """Appends a chunk to the body."""
        self.check(started=True)
        if self.gone:
            raise reply_lib.ClientDisconnectedError
        self.body += chunk

    async def finish(self) -> None:
        """Records a complete end."""
        self.check(started=True)
        self.ended = 'complete'

    def abort(self) -> None:
        """Records an aborted response."""
        assert not self.ended, 'nothing comes after the end'
        self.ended = 'aborted'


@attrs.define(kw_only=True)
class Harness:
    """A forwarder, its replicas and the log that it writes to."""

    forwarder: forwarder.Forwarder
    replicas: list[replica.Replica]
    log: gateway_support.MemoryLog

    async def send_request(self, **changes: typing.Any) -> RecordingReply:
        """Serves one request and returns its recorded response."""
        loop_now = asyncio.get_running_loop().time()
        request_id = changes.get('request_id', 'q1')
        request = gateway_support.request(
            received=loop_now,
            deadline=loop_now + 5.0,
            headers=(('Host', 'desk.example'), ('Attempt-Id', request_id)),
            **changes,
        )
        reply = RecordingReply()
        async with asyncio.timeout(10):
            await self.forwarder.serve(request, reply)
        return reply


@contextlib.asynccontextmanager
async def run_harness(
    *behaviours: collections.abc.Sequence[replica.Behaviour],
    route: dict[str, typing.Any] | None = None,
) -> collections.abc.AsyncIterator[Harness]:
    """Runs replicas with the given behaviours behind a forwarder."""
    replicas = [replica.Replica(behaviours=list(one)) for one in behaviours]
    board = gateway_support.board()
    # The forwarder reads the real clocks; a read of the store at infinity
    # never becomes stale.
    board.freshness.confirm(float('inf'), clock.boot())
    route_config = gateway_support.route(**(route or {}))
    board.config = gateway_support.config(routes=(route_config,))
    for number, one in enumerate(replicas):
        await one.start()
        board.upstreams.put(gateway_support.entry(f'u{number}', port=one.port))
    log = gateway_support.MemoryLog()
    served_by = forwarder.Forwarder(
        board, codec.PlatformCodec(), log, event_log.EventLog()
    )
    await served_by.origins.update(clock.boot())
    yield Harness(forwarder=served_by, replicas=replicas, log=log)
    for one in replicas:
        await one.stop()
