"""The interface through which a response is written to a client."""

import collections.abc
import typing

from oleanderdrift.gateway import progress as progress_lib

Headers: typing.TypeAlias = collections.abc.Iterable[tuple[str, str]]


class ClientDisconnectedError(Exception):
    """The client has closed its connection."""


class Reply(typing.Protocol):
    """Writes one response; coroutines raise ClientDisconnectedError.

    started is true once the response headers are being sent.  progress is
    that of its request, None before the request is admitted.
    """

    started: bool
    progress: progress_lib.Progress | None

    async def send_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete response."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and headers; the body follows.

        Its length is unknown unless the headers state it.
        """

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body."""

    async def finish(self) -> None:
        """Marks a response of unknown length as complete."""

    def abort(self) -> None:
        """Ends the response so that the client sees it as incomplete."""
