"""Callers of the soak test that continue streams that broke off."""

import asyncio
import typing

import attrs

from tests import soak_callers

MAX_TRIES: typing.Final = 5
RETRY_PAUSE_S: typing.Final = 0.05


@attrs.define(kw_only=True)
class StreamCaller:
    """Reads one stream after the other, and goes on where one broke off.

    whole counts the streams that were received to their end, continued those
    of them that came in more than one answer.
    """

    caller: soak_callers.Caller
    whole: int = 0
    continued: int = 0

    async def run(self, until: float) -> None:
        """Reads streams until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.read_stream()

    async def read_stream(self) -> None:
        """Reads one stream, in several tries if need be."""
        began_with = ''
        lines: list[bytes] = []
        parts = 0
        complete = False
        for _ in range(MAX_TRIES):
            request_id, response = await self.send_try(began_with, len(lines))
            new = whole_lines(response.body) if response.status == 200 else []
            if new:
                parts += 1
                began_with = began_with or request_id
                lines += new
            complete = response.status == 200 and response.complete
            if complete:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self.caller.observations.violations += find_joined(
            began_with, lines, complete
        )
        self.whole += complete
        self.continued += complete and parts > 1

    async def send_try(
        self, began_with: str, received: int
    ) -> tuple[str, soak_callers.Response]:
        """Sends a request that begins a stream, or continues it."""
        request_id = self.caller.next_id()
        self.caller.observations.repeatable.add(request_id)
        headers = ''
        if began_with:
            headers = f'Resumes: {began_with}\r\nLast-Event-Id: {received}\r\n'
        head = self.caller.request_head('POST /c/x', request_id, 0, headers)
        response = await self.caller.send_request(head, b'')
        self.caller.record(request_id, response)
        return request_id, response


def whole_lines(body: bytes) -> list[bytes]:
    """Returns the data of the whole events of a body."""
    return [
        line
        for event in body.split(b'\n\n')[:-1]
        for line in event.split(b'\n')
        if line.startswith(b'data')
    ]


def find_joined(name: str, lines: list[bytes], complete: bool) -> list[str]:
    """Returns what is wrong with the events of one stream."""
    count = soak_callers.EVENTS if complete else len(lines)
    if any(
        lines == soak_callers.event_lines(version)[:count]
        for version in soak_callers.VERSIONS
    ):
        return []
    return [f'{name}: the stream is {lines!r}']
