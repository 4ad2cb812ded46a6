"""Requests that arrive while a drain closes their idle connection."""

import asyncio
import typing

import attrs
import pytest
from tornado import httputil

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ingress
from oleanderdrift.platform import codec

IDLE_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class Forwarder:
    """A stand-in that counts the requests it is given."""

    served: int = 0
    events: event_log.EventLog = attrs.field(factory=event_log.EventLog)

    async def serve(self, request: object, reply: object) -> None:
        """Counts a request."""
        self.served += 1


def receive_headers(reader: httputil.HTTPMessageDelegate) -> None:
    """Passes the start line and headers of a request to the reader."""
    line = httputil.RequestStartLine('GET', '/a/b', 'HTTP/1.1')
    headers = {'Host': 'a.example', 'Attempt-Id': 'q1', 'Deadline-Ms': '900'}
    reader.headers_received(line, httputil.HTTPHeaders(headers))


@pytest.mark.parametrize(
    ('head_before_close', 'runs'), [(False, 0), (True, 1)]
)
def test_request_that_arrives_after_the_close_is_not_run(
    monkeypatch: pytest.MonkeyPatch, head_before_close: bool, runs: int
) -> None:
    """A request whose headers arrived before the close still runs."""

    async def play() -> None:
        forwarder = Forwarder()
        gateway_ingress = ingress.Ingress(
            typing.cast(typing.Any, forwarder), codec.PlatformCodec()
        )
        aborted: list[object] = []
        monkeypatch.setattr(
            ingress.ConnectionReply,
            'abort',
            lambda reply: aborted.append(reply.conn),
        )
        conn = typing.cast(httputil.HTTPConnection, object())
        reader = gateway_ingress.start_request('c', conn)
        if head_before_close:
            receive_headers(reader)
        gateway_ingress.close_idle(clock.monotonic() + 2 * IDLE_S, IDLE_S)
        if not head_before_close:
            receive_headers(reader)
        assert bool(aborted) is not head_before_close
        reader.finish()
        await asyncio.gather(*gateway_ingress.tasks)
        assert forwarder.served == runs

    asyncio.run(play())
