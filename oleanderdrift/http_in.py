"""The HTTP server for callers, on Tornado.

Callers speak the usual chat completions API, or reach tools through
configured routes.  Programs are named in headers:

  Oleander-Program   the program's id, or `new` for a new one
  Oleander-Class     the class of a new program
  Oleander-Parent    the parent of a new program (a sub-agent)
  Oleander-Call      the call's place in the program, from 1
  Idempotency-Key    the same for each repeat of one call

Every answer names the program, the call, the attempt, the result code
and whether the request was run.
"""

import asyncio
import collections.abc
import hashlib
import hmac
import time
import typing
import urllib.parse

from absl import logging
import attrs
import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import web

from oleanderdrift import blackboard
from oleanderdrift import calls as calls_lib
from oleanderdrift import codes
from oleanderdrift import config_feed
from oleanderdrift import config_state
from oleanderdrift import conversation
from oleanderdrift import errors
from oleanderdrift import key_trust
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import metrics
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import share_feed

CHAT_PATH: typing.Final = '/v1/chat/completions'
NEW_PROGRAM: typing.Final = 'new'
JSON: typing.Final = 'application/json'
UNSENT_LIMIT_BYTES: typing.Final = 262_144

Status: typing.TypeAlias = collections.abc.Callable[[], bytes]
Withdraw: typing.TypeAlias = collections.abc.Callable[[str], model.ApiKey]


@attrs.define(kw_only=True)
class Front:
    """What the handlers work with."""

    board: blackboard.Board
    calls: calls_lib.Calls
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


@attrs.frozen(kw_only=True)
class NewProgram:
    """The JSON body that asks for a program."""

    class_name: str
    parent: str = ''


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

    front: Front

    def initialize(self, front: Front) -> None:
        """Receives what Application hands to each handler."""
        self.front = front
        self.parts: list[bytes] = []
        self.size = 0
        self.started = time.monotonic()
        self.task: asyncio.Task[None] | None = None
        self.client_account = ''
        self.program = ''

    def prepare(self) -> None:
        """Refuses a body that is known to be too long before it comes."""
        length = self.request.headers.get('Content-Length', '0')
        if int(length) > self.front.board.settings.limits.body_bytes:
            self.refuse(errors.ResultError(codes.BODY_TOO_LARGE))

    def data_received(self, chunk: bytes) -> None:
        """Gathers the body."""
        self.size += len(chunk)
        limit = self.front.board.settings.limits.body_bytes
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
        self.front.metrics.count_result(self.client_account, error.code)
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

    def set_result(self, code: codes.Result) -> None:
        """Sets the headers that every answer has."""
        self.set_header('Oleander-Code', str(code.number))
        self.set_header('Oleander-Execution', code.execution)
        self.set_header(
            'Oleander-Instance', self.front.board.settings.instance.name
        )
        if self.program:
            self.set_header('Oleander-Program', self.program)

    def identify(self) -> Caller:
        """Returns who calls; raises ResultError."""
        key = bearer(self.request)
        feed = self.front.feed
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
        account = self.front.board.config.accounts.get(caller.client_account)
        if account is None:
            raise errors.ResultError(codes.UNKNOWN_KEY)
        await share_feed.admit(self.front.shares, account)

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
        self.front.metrics.count_result(self.client_account, error.code)
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


class CallHandler(BaseHandler):
    """A call of a model or a tool."""

    unsent = 0
    resume: collections.abc.Callable[[], None] = staticmethod(lambda: None)

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sends the status and headers of a streamed answer."""
        self.set_status(status)
        self.set_grant(grant)
        self.set_header('Content-Type', content_type)

    def write_piece(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""
        if not self._headers_written:
            self.flush()
        stream = self.caller_stream()
        if self.request.version == 'HTTP/1.1':
            data = b'%x\r\n%b\r\n' % (len(data), data)
        if not stream.writing():
            data = data[_send_now(stream, data) :]
        if data:
            self.unsent += len(data)
            stream.write(data).add_done_callback(self._on_written)

    def caller_stream(self) -> iostream.IOStream:
        """Returns the caller's connection."""
        connection = self.request.connection
        if not isinstance(connection, http1connection.HTTP1Connection):
            raise errors.ResultError(codes.INVARIANT_BROKEN, 'not HTTP/1')
        return connection.stream

    def has_room(self) -> bool:
        """Tells whether the caller keeps up with the answer."""
        return self.unsent < UNSENT_LIMIT_BYTES

    def _on_written(self, _future: object) -> None:
        self.unsent = 0
        self.resume()

    def set_grant(
        self, grant: messages.CallGranted | messages.CallReplayed
    ) -> None:
        """Sets the headers that name the program and the attempt."""
        self.set_result(codes.OK)
        if grant.program:
            self.set_header('Oleander-Call', str(grant.call))
            self.set_header('Oleander-Attempt', str(grant.attempt))
        if isinstance(grant, messages.CallReplayed):
            self.set_header('Oleander-Replayed', 'true')

    async def run_call(
        self, service: calls_lib.Service, caller: Caller
    ) -> None:
        """Runs a call and sends its answer."""
        check_no_key(self.request, service, caller)
        identity = await self.program_identity(service, caller)
        result = await calls_lib.run(
            self.front.calls, service, identity, _Sink(handler=self)
        )
        self.front.metrics.observe(
            caller.client_account,
            class_of(result.grant),
            time.monotonic() - self.started,
        )
        self.front.metrics.count_result(caller.client_account, codes.OK)
        if not result.streamed:
            self.set_status(result.status)
            self.set_grant(result.grant)
            self.set_header('Content-Type', result.content_type)
            self.write(result.body)
        self.finish()

    async def program_identity(
        self, service: calls_lib.Service, caller: Caller
    ) -> calls_lib.Identity:
        """Reads the program headers and starts a program if asked to."""
        headers = self.request.headers
        program = headers.get('Oleander-Program', '')
        if program == NEW_PROGRAM:
            program = await self.start_program(
                caller,
                headers.get('Oleander-Class', ''),
                headers.get('Oleander-Parent', ''),
            )
        needed = service.chat is not None or not service.idempotent
        if needed and not program:
            raise errors.ResultError(codes.PROGRAM_REQUIRED)
        self.program = program
        return calls_lib.Identity(
            client_account=caller.client_account,
            key_sha256=caller.key_sha256,
            program=program,
            call=call_number(headers),
            idempotency_key=headers.get('Idempotency-Key', ''),
        )

    async def start_program(
        self, caller: Caller, class_name: str, parent: str
    ) -> str:
        """Starts a program and returns its id."""
        reply = await owner_client_lib.ask(
            self.front.owners,
            parent,
            messages.CreateProgram(
                client_account=caller.client_account,
                class_name=class_name,
                parent=parent,
            ),
        )
        if isinstance(reply, messages.ProgramStarted):
            return reply.program
        raise errors.ResultError(codes.OWNER_UNAVAILABLE, 'unexpected reply')


@attrs.frozen(kw_only=True)
class _Sink:
    """The answer of a handler, as calls writes it."""

    handler: CallHandler

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sends the status and headers of a streamed answer."""
        self.handler.begin(status, content_type, grant)

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""
        self.handler.write_piece(data)

    def has_room(self) -> bool:
        """Tells whether the caller keeps up with the answer."""
        return self.handler.has_room()

    def on_room(self, resume: collections.abc.Callable[[], None]) -> None:
        """Takes what to call when there is room again."""
        self.handler.resume = resume


def _send_now(stream: iostream.IOStream, data: bytes) -> int:
    """Sends what the socket takes at once and returns how much.

    Most pieces are one token: a write through the stream's buffer costs
    several times the system call.
    """
    try:
        return stream.socket.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        # Closing tells the handler, which ends the call.
        stream.close()
        return len(data)


def class_of(grant: messages.CallGranted | messages.CallReplayed) -> str:
    """Returns the class of a call's program, '' where it is not known."""
    return grant.class_name if isinstance(grant, messages.CallGranted) else ''


def call_number(headers: httputil.HTTPHeaders) -> int:
    """Returns the call's place from the headers, 0 for the next."""
    text = headers.get('Oleander-Call', '0')
    if not text.isdecimal() or len(text) > 9:
        raise errors.ResultError(
            codes.BAD_REQUEST, 'Oleander-Call must be a whole number'
        )
    return int(text)


def check_no_key(
    request: httputil.HTTPServerRequest,
    service: calls_lib.Service,
    caller: Caller,
) -> None:
    """Refuses a request that would carry the caller's key upstream."""
    if not caller.key:
        return
    key = caller.key.encode()
    sent = [
        service.body,
        urllib.parse.unquote(request.uri or '').encode(),
        request.headers.get('Idempotency-Key', '').encode(),
        service.content_type.encode(),
    ]
    if service.chat is not None:
        sent.append(msgspec.json.encode(service.chat.fields))
    if any(key in data for data in sent):
        raise errors.ResultError(codes.KEY_IN_REQUEST)


class ChatHandler(CallHandler):
    """POST /v1/chat/completions."""

    async def post(self) -> None:
        """Runs a model call."""
        await self.guard(self._chat())

    async def _chat(self) -> None:
        caller = self.identify()
        await self.admit(caller)
        body = self.body()
        chat = conversation.parse_request(body)
        if chat.model not in self.front.board.config.models:
            raise errors.ResultError(codes.UNKNOWN_MODEL, chat.model)
        service = calls_lib.Service(
            name=chat.model,
            idempotent=True,
            path=CHAT_PATH,
            method='POST',
            content_type=JSON,
            body=body,
            chat=chat,
        )
        await self.run_call(service, caller)


class ToolHandler(CallHandler):
    """Any path that a configured route maps to a tool."""

    async def handle(self) -> None:
        """Runs a tool call."""
        await self.guard(self._tool())

    get = post = put = delete = patch = handle

    async def _tool(self) -> None:
        route = config_state.find_route(
            self.front.board.config, self.request.path
        )
        if route is None:
            raise errors.ResultError(codes.UNKNOWN_ROUTE, self.request.path)
        caller = Caller()
        if not route.open_to_all:
            caller = self.identify()
            await self.admit(caller)
        await self.run_call(self._service(route), caller)

    def _service(self, route: model.Route) -> calls_lib.Service:
        tool = self.front.board.config.tools.get(route.tool)
        if tool is None:
            raise errors.ResultError(codes.UNKNOWN_ROUTE, route.name)
        return calls_lib.Service(
            name=tool.name,
            idempotent=tool.idempotent,
            path=self.request.uri or '/',
            method=self.request.method or 'GET',
            content_type=self.request.headers.get('Content-Type', JSON),
            body=self.body(),
        )


class ProgramsHandler(CallHandler):
    """POST /v1/programs starts a program."""

    async def post(self) -> None:
        """Starts a program."""
        await self.guard(self._post())

    async def _post(self) -> None:
        caller = self.identify()
        await self.admit(caller)
        try:
            asked = msgspec.json.decode(self.body(), type=NewProgram)
        except msgspec.MsgspecError as error:
            raise errors.ResultError(
                codes.MALFORMED_JSON, str(error)
            ) from error
        self.program = await self.start_program(
            caller, asked.class_name, asked.parent
        )
        self.set_result(codes.OK)
        self.set_status(201)
        self.set_header('Content-Type', JSON)
        self.finish(msgspec.json.encode({'program': self.program}))


class ProgramHandler(CallHandler):
    """DELETE /v1/programs/ID ends a program."""

    async def delete(self, program: str) -> None:
        """Ends a program."""
        await self.guard(self._delete(program))

    async def _delete(self, program: str) -> None:
        caller = self.identify()
        self.program = program
        await owner_client_lib.ask(
            self.front.owners,
            program,
            messages.EndProgram(
                program=program, client_account=caller.client_account
            ),
        )
        self.set_result(codes.OK)
        self.set_status(204)
        self.finish()


class HealthHandler(BaseHandler):
    """GET /healthz: the balancer's check."""

    def get(self) -> None:
        """Answers 200 while the instance takes new requests."""
        ready = self.front.feed.caught_up.is_set()
        ready = ready and self.front.shares.settled.is_set()
        ready = ready and not self.front.board.draining
        self.set_status(200 if ready else 503)
        self.finish('ready\n' if ready else 'not ready\n')


class MetricsHandler(BaseHandler):
    """GET /metrics, in the usual text format."""

    def get(self) -> None:
        """Answers with all metrics."""
        self.set_header('Content-Type', metrics.CONTENT_TYPE)
        self.finish(self.front.metrics.exposition())


class OperatorHandler(BaseHandler):
    """What only operators may do, with the operator token."""

    def check_operator(self) -> None:
        """Raises ResultError(OPERATOR_ONLY) without the token."""
        expected = self.front.board.settings.operators.token_sha256
        token = bearer(self.request)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not expected or not hmac.compare_digest(digest, expected):
            raise errors.ResultError(codes.OPERATOR_ONLY)


class WithdrawHandler(OperatorHandler):
    """POST /v1/operator/keys/NAME/withdraw, without the log."""

    async def post(self, name: str) -> None:
        """Withdraws a key at once, here and at every reachable peer."""
        await self.guard(self._post(name))

    async def _post(self, name: str) -> None:
        self.check_operator()
        key = self.front.withdraw(name)
        self.set_result(codes.OK)
        self.set_header('Content-Type', JSON)
        self.finish(msgspec.json.encode({'withdrawn': key.name}))


class StatusHandler(OperatorHandler):
    """GET /v1/status, for operators.

    It is open to all where no operator token is set.
    """

    def get(self) -> None:
        """Answers with the instance's view as JSON."""
        try:
            if self.front.board.settings.operators.token_sha256:
                self.check_operator()
        except errors.ResultError as error:
            self.refuse(error)
            return
        self.set_header('Content-Type', JSON)
        self.finish(self.front.status())


def make_app(front: Front) -> web.Application:
    """Returns the Tornado application."""
    arguments = {'front': front}
    return web.Application(
        [
            (CHAT_PATH, ChatHandler, arguments),
            ('/v1/programs', ProgramsHandler, arguments),
            ('/v1/programs/([^/]+)', ProgramHandler, arguments),
            ('/healthz', HealthHandler, arguments),
            ('/metrics', MetricsHandler, arguments),
            ('/v1/status', StatusHandler, arguments),
            (
                '/v1/operator/keys/([^/]+)/withdraw',
                WithdrawHandler,
                arguments,
            ),
            ('/.*', ToolHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
