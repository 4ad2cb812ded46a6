"""The base class of the HTTP handlers: bodies, API keys and errors."""

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

StatusReader: typing.TypeAlias = collections.abc.Callable[[], bytes]
WithdrawKey: typing.TypeAlias = collections.abc.Callable[[str], model.ApiKey]


@attrs.define(kw_only=True)
class HandlerContext:
    """The parts of the instance that the HTTP handlers use."""

    board: blackboard.Board
    calls: call_state.Calls
    owners: owner_client_lib.OwnerClient
    metrics: metrics.Metrics
    read_status: StatusReader
    feed: config_feed.ConfigFeed
    shares: share_feed.ShareFeed
    withdraw_key: WithdrawKey


@attrs.frozen(kw_only=True)
class Caller:
    """An authenticated caller; all fields are empty on an open route."""

    client_account: str = ''
    key_sha256: str = ''
    key: str = ''


@attrs.frozen(kw_only=True)
class ErrorBody:
    """The error object of a response, as in the OpenAI API."""

    code: int
    type: str
    message: str
    execution: codes.Execution


@attrs.frozen(kw_only=True)
class ErrorAnswer:
    """The JSON body of an error response."""

    error: ErrorBody


def bearer_token(request: httputil.HTTPServerRequest) -> str:
    """Returns a request's bearer token, or '' if it has none."""
    header = request.headers.get('Authorization', '')
    scheme, _space, token = header.partition(' ')
    return token if scheme.lower() == 'bearer' else ''


def error_body(error: errors.ResultError) -> bytes:
    """Returns the JSON body of an error response."""
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
    """Reads the body up to its size limit and reports errors by code."""

    context: HandlerContext

    def initialize(self, context: HandlerContext) -> None:
        """Sets up the handler; called by Tornado for each request."""
        self.context = context
        self.body_chunks: list[bytes] = []
        self.received_bytes = 0
        self.started_s = time.monotonic()
        self.task: asyncio.Task[None] | None = None
        self.client_account = ''
        self.program = ''

    def prepare(self) -> None:
        """Refuses a body whose Content-Length is over the limit."""
        length = self.request.headers.get('Content-Length', '0')
        if int(length) > self.context.board.settings.limits.body_bytes:
            self.refuse(errors.ResultError(codes.BODY_TOO_LARGE))

    def data_received(self, chunk: bytes) -> None:
        """Buffers a chunk of the body; refuses a body over the limit."""
        self.received_bytes += len(chunk)
        limit = self.context.board.settings.limits.body_bytes
        if self.received_bytes <= limit:
            self.body_chunks.append(chunk)
        elif not self._finished:
            self.refuse(errors.ResultError(codes.BODY_TOO_LARGE))

    def body(self) -> bytes:
        """Returns the whole body."""
        return b''.join(self.body_chunks)

    def on_connection_close(self) -> None:
        """Cancels the request when the caller has disconnected."""
        if self.task is not None:
            self.task.cancel()

    def refuse(self, error: errors.ResultError) -> None:
        """Sends an error response."""
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
        """Sets the headers that every API response has."""
        self.set_header('Oleander-Code', str(code.number))
        self.set_header('Oleander-Execution', code.execution)
        self.set_header(
            'Oleander-Instance', self.context.board.settings.instance.name
        )
        if self.program:
            self.set_header('Oleander-Program', self.program)

    def authenticate(self) -> Caller:
        """Returns the caller; raises ResultError for an invalid key."""
        key = bearer_token(self.request)
        feed = self.context.feed
        api_key = key_trust.authenticate(
            feed.trust, feed.config, key, feed.last_contact, time.monotonic()
        )
        self.client_account = api_key.client_account
        return Caller(
            client_account=api_key.client_account,
            key_sha256=api_key.sha256,
            key=key,
        )

    async def admit(self, caller: Caller) -> None:
        """Takes one token from the client account's rate limit."""
        account = self.context.board.config.accounts.get(caller.client_account)
        if account is None:
            raise errors.ResultError(codes.UNKNOWN_KEY)
        await share_feed.admit(self.context.shares, account)

    async def run_request(self, work: collections.abc.Awaitable[None]) -> None:
        """Runs a request's coroutine and reports the errors it raises."""
        self.task = asyncio.ensure_future(work)
        try:
            await self.task
        except errors.ResultError as error:
            self.report_error(error)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            logs.info('caller-disconnected', program=self.program)
        except Exception as error:
            logging.exception('event=request-crashed')
            self.report_error(
                errors.ResultError(codes.INVARIANT_BROKEN, repr(error))
            )

    def report_error(self, error: errors.ResultError) -> None:
        """Sends an error response, or aborts a response already begun."""
        if not self._headers_written:
            self.refuse(error)
            return
        # An aborted response must not look complete, so the connection is
        # closed without the terminating chunk.
        self.context.metrics.count_result(self.client_account, error.code)
        logs.warning(
            'response-aborted', code=error.code.number, program=self.program
        )
        self.write(b'data: ' + error_body(error) + b'\n\n')
        self.flush()
        connection = self.request.connection
        if connection is not None:
            self.detach().close()

    def write_error(self, status_code: int, **_kwargs: typing.Any) -> None:
        """Gives Tornado's own error responses a result code."""
        code = codes.UNKNOWN_ROUTE if status_code == 404 else codes.BAD_REQUEST
        self.refuse(errors.ResultError(code))

    def log_exception(self, *_args: typing.Any) -> None:
        """Does nothing; refuse() logs the error."""
