"""The answer to one caller, as the forwarder sees it."""

import collections.abc
import typing

Headers: typing.TypeAlias = collections.abc.Iterable[tuple[str, str]]


class ClientDisconnectedError(Exception):
    """The caller has closed its connection."""


class Reply(typing.Protocol):
    """Writes one answer; methods raise ClientDisconnectedError.

    started says that the head has gone out.
    """

    started: bool

    async def send_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends a whole answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of an answer whose length is not known."""

    async def write(self, chunk: bytes) -> None:
        """Sends a piece of the body."""

    async def finish(self) -> None:
        """Ends the answer as complete."""

    def abort(self) -> None:
        """Ends the answer so that it cannot be taken for complete."""
