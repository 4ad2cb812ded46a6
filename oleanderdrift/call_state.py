"""What a call asks for, and how far it has come."""

import asyncio
import collections.abc
import random
import typing

import attrs

from oleanderdrift import blackboard
from oleanderdrift import conversation
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import errors
from oleanderdrift import http_out
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import retries


@attrs.frozen(kw_only=True)
class CallRequest:
    """What a call asks for: a model or a tool.

    chat is the parsed request where it is a model.
    """

    name: str
    idempotent: bool
    path: str
    method: str
    content_type: str
    body: bytes
    chat: conversation.ChatRequest | None = None


@attrs.frozen(kw_only=True)
class Identity:
    """Who asks, and for which place in which program.

    program is empty for a plain call outside any program.
    """

    client_account: str
    key_sha256: str
    program: str
    call: int
    idempotency_key: str


class ResponseWriter(typing.Protocol):
    """Where the answer goes; http_in implements it."""

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sends the status and headers of a streamed answer."""

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""

    def is_writable(self) -> bool:
        """Tells whether the caller keeps up with the answer."""

    def on_writable(self, resume: collections.abc.Callable[[], None]) -> None:
        """Takes what to call when there is room again."""


@attrs.define(kw_only=True)
class Attempt:
    """One attempt of a call on one upstream."""

    upstream: model.Upstream
    slot: messages.SlotGranted
    started: float
    first_token_s: float = 0.0
    chat_answer: conversation.ChatAnswer | None = None
    stream: http_out.Stream | None = None
    placement: asyncio.Task[None] | None = None


@attrs.define(kw_only=True)
class Relay:
    """A streamed answer on its way; held is its end, not yet passed on."""

    call: 'Call'
    attempt: Attempt
    writer: ResponseWriter
    parts: list[bytes] = attrs.field(factory=list)
    held_back: bytes = b''


@attrs.frozen(kw_only=True)
class Response:
    """A whole answer."""

    status: int
    content_type: str
    body: bytes
    grant: messages.CallGranted | messages.CallReplayed
    streamed: bool = False


@attrs.define(kw_only=True)
class Calls:
    """The controller of the calls that reach this instance."""

    board: blackboard.Board
    owners: owner_client_lib.OwnerClient
    dispatch: dispatch_lib.Dispatch
    upstreams: http_out.Upstreams
    random: random.Random
    budgets: retries.RetryBudgets = attrs.field(factory=retries.RetryBudgets)


@attrs.define(kw_only=True)
class Call:
    """A call under way."""

    id: str
    request: CallRequest
    identity: Identity
    grant: messages.CallGranted
    excluded: tuple[str, ...] = ()
    aborted: errors.ResultError | None = None
    attempt: Attempt | None = None
    response_begun: bool = False
