"""What all HTTP handlers share: bodies, keys, codes and errors."""

import asyncio
import collections.abc
import time
import typing

from absl import logging
import attrs
import msgspec
from tornado import httputil
from tornado import iostream
from tornado import web

from oleanderdrift import blackboard
from oleanderdrift import call_state
from oleanderdrift import codes
from oleanderdrift import config_feed
from oleanderdrift import errors
from oleanderdrift import key_trust
from oleanderdrift import logs
from oleanderdrift import metrics
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import share_feed

JSON: typing.Final = 'application/json'

Status: typing.TypeAlias = collections.abc.Callable[[], bytes]
Withdraw: typing.TypeAlias = collections.abc.Callable[[str], model.ApiKey]


@attrs.define(kw_only=True)
class HandlerContext:
    """What the handlers work with."""

    board: blackboard.Board
    calls: call_state.Calls
    owners: owner_client_lib.OwnerClient
    metrics: metrics.Metrics
    status: Status
    feed: config_feed.ConfigFeed
    shares: share_feed.ShareFeed
    withdraw: Withdraw


@attrs.frozen(kw_only=True)
class Caller:
    """An authenticated caller; both are empty on a route open to all."""

    client_account: str = ''
    key_sha256: str = ''
    key: str = ''


@attrs.frozen(kw_only=True)
class ErrorBody:
    """The error object of an answer, in the usual API's shape."""

    code: int
    type: str
    message: str
    execution: codes.Execution


@attrs.frozen(kw_only=True)
class ErrorAnswer:
    """The JSON body of a refusal."""

    error: ErrorBody


def bearer(request: httputil.HTTPServerRequest) -> str:
    """Returns the bearer token of a request, '' where there is none."""
    header = request.headers.get('Authorization', '')
    scheme, _space, token = header.partition(' ')
    return token if scheme.lower() == 'bearer' else ''


def error_body(error: errors.ResultError) -> bytes:
    """Returns the JSON body of a refusal."""
    return msgspec.json.encode(
        ErrorAnswer(
            error=ErrorBody(
                code=error.code.number,
                type=error.code.name,
                message=error.detail,
                execution=error.code.execution,
            )
        )
    )


@web.stream_request_body
class BaseHandler(web.RequestHandler):
    """Takes the body within its bound and answers errors with codes."""

    context: HandlerContext

    def initialize(self, context: HandlerContext) -> None:
        """Receives what Application hands to each handler."""
        self.context = context
        self.parts: list[bytes] = []
        self.size = 0
        self.started = time.monotonic()
        self.task: asyncio.Task[None] | None = None
        self.client_account = ''
        self.program = ''

    def prepare(self) -> None:
        """Refuses a body that is known to be too long before it comes."""
        length = self.request.headers.get('Content-Length', '0')
        if int(length) > self.context.board.settings.limits.body_bytes:
            self.refuse(errors.ResultError(codes.BODY_TOO_LARGE))

    def data_received(self, chunk: bytes) -> None:
        """Gathers the body."""
        self.size += len(chunk)
        limit = self.context.board.settings.limits.body_bytes
        if self.size <= limit:
            self.parts.append(chunk)
        elif not self._finished:
            self.refuse(errors.ResultError(codes.BODY_TOO_LARGE))

    def body(self) -> bytes:
        """Returns the whole body."""
        return b''.join(self.parts)

    def on_connection_close(self) -> None:
        """Ends the work for a caller that has gone away."""
        if self.task is not None:
            self.task.cancel()

    def refuse(self, error: errors.ResultError) -> None:
        """Answers with a result code."""
        self.context.metrics.count_result(self.client_account, error.code)
        logs.info(
            'request-refused',
            code=error.code.number,
            execution=error.code.execution,
            program=self.program,
            client_account=self.client_account,
            path=self.request.path,
        )
        self.set_status(error.code.status)
        self.set_result(error.code)
        if error.retry_after_s is not None:
            seconds = max(1, round(error.retry_after_s))
            self.set_header('Retry-After', str(seconds))
        self.set_header('Content-Type', JSON)
        self.finish(error_body(error))

    def set_result(self, code: codes.ResultCode) -> None:
        """Sets the headers that every answer has."""
        self.set_header('Oleander-Code', str(code.number))
        self.set_header('Oleander-Execution', code.execution)
        self.set_header(
            'Oleander-Instance', self.context.board.settings.instance.name
        )
        if self.program:
            self.set_header('Oleander-Program', self.program)

    def identify(self) -> Caller:
        """Returns who calls; raises ResultError."""
        key = bearer(self.request)
        feed = self.context.feed
        found = key_trust.authenticate(
            feed.trust, feed.config, key, feed.last_contact, time.monotonic()
        )
        self.client_account = found.client_account
        return Caller(
            client_account=found.client_account,
            key_sha256=found.sha256,
            key=key,
        )

    async def admit(self, caller: Caller) -> None:
        """Spends one request of the client account's rate."""
        account = self.context.board.config.accounts.get(caller.client_account)
        if account is None:
            raise errors.ResultError(codes.UNKNOWN_KEY)
        await share_feed.admit(self.context.shares, account)

    async def guard(self, work: collections.abc.Awaitable[None]) -> None:
        """Runs the work of a request and answers what it raises."""
        self.task = asyncio.ensure_future(work)
        try:
            await self.task
        except errors.ResultError as error:
            self.fail(error)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            logs.info('caller-gone', program=self.program)
        except Exception as error:
            logging.exception('event=request-crashed')
            self.fail(errors.ResultError(codes.INVARIANT_BROKEN, repr(error)))

    def fail(self, error: errors.ResultError) -> None:
        """Answers an error, or breaks an answer that has begun off."""
        if not self._headers_written:
            self.refuse(error)
            return
        # A cut answer must not look whole: no terminating chunk is sent.
        self.context.metrics.count_result(self.client_account, error.code)
        logs.warning(
            'answer-cut', code=error.code.number, program=self.program
        )
        self.write(b'data: ' + error_body(error) + b'\n\n')
        self.flush()
        connection = self.request.connection
        if connection is not None:
            self.detach().close()

    def write_error(self, status_code: int, **_kwargs: typing.Any) -> None:
        """Answers Tornado's own refusals with a code."""
        code = codes.UNKNOWN_ROUTE if status_code == 404 else codes.BAD_REQUEST
        self.refuse(errors.ResultError(code))

    def log_exception(self, *_args: typing.Any) -> None:
        """Leaves logging to refuse()."""
