"""The state of calls: their requests, attempts and responses."""

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
    """A request to a model or a tool, which name identifies.

    chat is the parsed chat completion request, None for a tool.
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
    """The caller, and the call's position in its program.

    program is empty for a call outside any program; call is 0 for the
    program's next call.
    """

    client_account: str
    key_sha256: str
    program: str
    call: int
    idempotency_key: str


class ResponseWriter(typing.Protocol):
    """Sends a streamed answer to the caller; http_in implements it."""

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sends the status and headers of a streamed answer."""

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""

    def is_writable(self) -> bool:
        """Returns whether the caller keeps up with the answer."""

    def on_writable(self, resume: collections.abc.Callable[[], None]) -> None:
        """Sets the function to call when the writer is writable again."""


@attrs.define(kw_only=True)
class Attempt:
    """One attempt of a call on one upstream.

    placement is the task that reports the upstream to the owner, if it
    runs concurrently with the attempt.
    """

    upstream: model.Upstream
    slot: messages.SlotGranted
    started: float
    first_token_s: float = 0.0
    chat_answer: conversation.ChatAnswer | None = None
    stream: http_out.Stream | None = None
    placement: asyncio.Task[None] | None = None


@attrs.define(kw_only=True)
class Relay:
    """A streamed answer that is being passed on.

    parts is what was received so far; held_back is its end, which is not
    passed on yet.
    """

    call: 'Call'
    attempt: Attempt
    writer: ResponseWriter
    parts: list[bytes] = attrs.field(factory=list)
    held_back: bytes = b''


@attrs.frozen(kw_only=True)
class Response:
    """A complete response; a streamed one has already been sent."""

    status: int
    content_type: str
    body: bytes
    grant: messages.CallGranted | messages.CallReplayed
    streamed: bool = False


@attrs.define(kw_only=True)
class Calls:
    """The controller of the calls that arrive at this instance."""

    board: blackboard.Board
    owners: owner_client_lib.OwnerClient
    dispatch: dispatch_lib.Dispatch
    upstream_client: http_out.UpstreamClient
    random: random.Random
    budgets: retries.RetryBudgets = attrs.field(factory=retries.RetryBudgets)


@attrs.define(kw_only=True)
class Call:
    """A call in progress.

    excluded names the upstreams already tried; aborted is set when the
    call's API key has been withdrawn.
    """

    id: str
    request: CallRequest
    identity: Identity
    grant: messages.CallGranted
    excluded: tuple[str, ...] = ()
    aborted: errors.ResultError | None = None
    attempt: Attempt | None = None
    response_begun: bool = False
