"""A forwarder before replicas, and callers that ask it."""

import asyncio
import collections.abc
import contextlib
import typing

import attrs

from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_support


class RecordingReply:
    """A caller's side of one answer.

    ended is 'complete' or 'aborted'; gone makes the next write fail.
    """

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.ended = ''
        self.gone = False

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Takes the head."""
        self.started = True
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Takes a whole answer."""
        await self.start(status, headers)
        self.body = body
        self.ended = 'complete'

    async def write(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        if self.gone:
            raise reply_lib.ClientDisconnectedError
        self.body += chunk

    async def finish(self) -> None:
        """Takes the end."""
        self.ended = 'complete'

    def abort(self) -> None:
        """Takes a broken end."""
        self.ended = 'aborted'


@attrs.define(kw_only=True)
class Harness:
    """A forwarder before replicas, and the log it keeps things in."""

    forwarder: forwarder.Forwarder
    replicas: list[replica.Replica]
    log: gateway_support.MemoryLog

    async def send_request(self, **changes: typing.Any) -> RecordingReply:
        """Sends one request and returns its caller at the end."""
        loop_now = asyncio.get_running_loop().time()
        request_id = changes.get('request_id', 'q1')
        request = gateway_support.request(
            received=loop_now,
            deadline=loop_now + 5.0,
            headers=(('Host', 'desk.example'), ('Attempt-Id', request_id)),
            **changes,
        )
        caller = RecordingReply()
        async with asyncio.timeout(10):
            await self.forwarder.serve(request, caller)
        return caller


@contextlib.asynccontextmanager
async def run_harness(
    *behaviours: collections.abc.Sequence[replica.Behaviour],
    route: dict[str, typing.Any] | None = None,
) -> collections.abc.AsyncIterator[Harness]:
    """Runs replicas that behave as listed, with a forwarder before them."""
    replicas = [replica.Replica(behaviours=list(one)) for one in behaviours]
    loop = asyncio.get_running_loop()
    board = gateway_support.board()
    # The board's clocks are those of the machine.
    board.freshness.confirm(float('inf'), loop.time())
    made = gateway_support.route(**(route or {}))
    board.config = gateway_support.config(routes=(made,))
    for number, one in enumerate(replicas):
        await one.start()
        board.upstreams.put(gateway_support.entry(f'u{number}', port=one.port))
    log = gateway_support.MemoryLog()
    yield Harness(
        forwarder=forwarder.Forwarder(
            board, codec.PlatformCodec(), log, event_log.EventLog()
        ),
        replicas=replicas,
        log=log,
    )
    for one in replicas:
        await one.stop()
