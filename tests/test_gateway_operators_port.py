"""The operators' ports take little time, whoever asks there."""

import asyncio
import collections
import typing

import pytest
from tornado import httpclient
from tornado import web

from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import operators_port
from tests import gateway_support
from tests import test_gateway_whole as whole

CALLERS: typing.Final = 20
REQUEST: typing.Final = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class Counter:
    """Counts the turns of the event loop, and the requests in each."""

    def __init__(self) -> None:
        self.turn = 0
        self.served: collections.Counter[int] = collections.Counter()

    async def run(self) -> None:
        """Counts until cancelled."""
        while True:
            self.turn += 1
            await asyncio.sleep(0)


class Handler(web.RequestHandler):
    """Notes the turn in which it is asked."""

    def initialize(self, counter: Counter) -> None:
        """Stores the counter."""
        self.counter = counter

    def get(self) -> None:
        """Counts a request."""
        self.counter.served[self.counter.turn] += 1


@pytest.mark.parametrize('requests', [1, 3])
def test_one_request_is_served_in_a_turn(requests: int) -> None:
    """Guards against callers of these ports that hold up all others."""

    async def play() -> Counter:
        counter = Counter()
        board = gateway_support.board()
        server = operators_port.make_server(
            web.Application([('/', Handler, {'counter': counter})]),
            board,
            event_log.EventLog(),
        )
        (port,) = whole.free_ports(1)
        server.listen(port, '127.0.0.1')
        opened = [
            await asyncio.open_connection('127.0.0.1', port)
            for _ in range(CALLERS)
        ]
        task = asyncio.create_task(counter.run())
        for _, writer in opened:
            writer.write(REQUEST * requests)
        async with asyncio.timeout(whole.WAIT_S):
            for reader, _ in opened:
                for _ in range(requests):
                    await reader.readuntil(b'\r\n\r\n')
        task.cancel()
        for _, writer in opened:
            writer.close()
        server.stop()
        return counter

    counter = asyncio.run(play())
    assert counter.served.total() == CALLERS * requests
    # What one connection has sent behind its first request is read with it.
    assert max(counter.served.values()) <= requests


def test_other_requests_are_answered_as_by_any_server() -> None:
    async def play() -> list[int]:
        server = operators_port.make_server(
            web.Application([('/', Handler, {'counter': Counter()})]),
            gateway_support.board(),
            event_log.EventLog(),
        )
        (port,) = whole.free_ports(1)
        server.listen(port, '127.0.0.1')
        client = httpclient.AsyncHTTPClient(force_instance=True)
        found = [
            (
                await client.fetch(
                    f'http://127.0.0.1:{port}{path}', raise_error=False
                )
            ).code
            for path in ('/', '/unknown')
        ]
        client.close()
        server.stop()
        return found

    assert asyncio.run(play()) == [200, 404]
