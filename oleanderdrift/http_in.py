"""HTTP handlers for callers: model calls, tool calls and programs.

Callers use the OpenAI chat completions API, or call tools through
configured routes.  Headers identify the program and the call:

  Oleander-Program   the program's id, or `new` for a new one
  Oleander-Class     the class of a new program
  Oleander-Parent    the parent of a new program (a sub-agent)
  Oleander-Call      the call's number within the program, from 1
  Idempotency-Key    the same for each retry of one call

Response headers give the program, the call, the attempt, the result code
and whether the request was run.
"""

import collections.abc
import time
import typing
import urllib.parse

import attrs
import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import web

from oleanderdrift import call_state
from oleanderdrift import calls as calls_lib
from oleanderdrift import codes
from oleanderdrift import config_state
from oleanderdrift import conversation
from oleanderdrift import decoding
from oleanderdrift import errors
from oleanderdrift import http_base
from oleanderdrift import http_operators
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib

CHAT_PATH: typing.Final = '/v1/chat/completions'
NEW_PROGRAM: typing.Final = 'new'
UNSENT_LIMIT_BYTES: typing.Final = 262_144


@attrs.frozen(kw_only=True)
class NewProgram:
    """The JSON body of a request to start a program."""

    class_name: str
    parent: str = ''


class CallHandler(http_base.BaseHandler):
    """Base class of the handlers for model calls, tool calls, programs."""

    unsent_bytes = 0
    resume: collections.abc.Callable[[], None] = staticmethod(lambda: None)

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sets the status and headers of a streamed response."""
        self.set_status(status)
        self.set_grant(grant)
        self.set_header('Content-Type', content_type)

    def write_chunk(self, data: bytes) -> None:
        """Sends a chunk of a streamed response."""
        if not self._headers_written:
            self.flush()
        stream = self.caller_stream()
        if self.request.version == 'HTTP/1.1':
            data = b'%x\r\n%b\r\n' % (len(data), data)
        if not stream.writing():
            data = data[_send_now(stream, data) :]
        if data:
            self.unsent_bytes += len(data)
            stream.write(data).add_done_callback(self._on_written)

    def caller_stream(self) -> iostream.IOStream:
        """Returns the caller's connection."""
        connection = self.request.connection
        if not isinstance(connection, http1connection.HTTP1Connection):
            raise errors.ResultError(
                codes.INVARIANT_BROKEN, 'the connection is not HTTP/1'
            )
        return connection.stream

    def is_writable(self) -> bool:
        """Returns whether the caller keeps up with the response."""
        return self.unsent_bytes < UNSENT_LIMIT_BYTES

    def _on_written(self, _future: object) -> None:
        self.unsent_bytes = 0
        self.resume()

    def set_grant(
        self, grant: messages.CallGranted | messages.CallReplayed
    ) -> None:
        """Sets the headers that identify the program and the attempt."""
        self.set_result(codes.OK)
        if grant.program:
            self.set_header('Oleander-Call', str(grant.call))
            self.set_header('Oleander-Attempt', str(grant.attempt))
        if isinstance(grant, messages.CallReplayed):
            self.set_header('Oleander-Replayed', 'true')

    async def run_call(
        self, call_request: call_state.CallRequest, caller: http_base.Caller
    ) -> None:
        """Runs a call and sends its response."""
        check_key_not_forwarded(self.request, call_request, caller)
        identity = await self.program_identity(call_request, caller)
        result = await calls_lib.run(
            self.context.calls,
            call_request,
            identity,
            _ResponseWriter(handler=self),
        )
        self.context.metrics.observe(
            caller.client_account,
            class_name_of(result.grant),
            time.monotonic() - self.started_s,
        )
        self.context.metrics.count_result(caller.client_account, codes.OK)
        if not result.streamed:
            self.set_status(result.status)
            self.set_grant(result.grant)
            self.set_header('Content-Type', result.content_type)
            self.write(result.body)
        self.finish()

    async def program_identity(
        self, call_request: call_state.CallRequest, caller: http_base.Caller
    ) -> call_state.Identity:
        """Reads the program headers; starts a program if they ask for one."""
        headers = self.request.headers
        program = headers.get('Oleander-Program', '')
        if program == NEW_PROGRAM:
            program = await self.start_program(
                caller,
                headers.get('Oleander-Class', ''),
                headers.get('Oleander-Parent', ''),
            )
        needed = call_request.chat is not None or not call_request.idempotent
        if needed and not program:
            raise errors.ResultError(codes.PROGRAM_REQUIRED)
        self.program = program
        return call_state.Identity(
            client_account=caller.client_account,
            key_sha256=caller.key_sha256,
            program=program,
            call=call_number(headers),
            idempotency_key=headers.get('Idempotency-Key', ''),
        )

    async def start_program(
        self, caller: http_base.Caller, class_name: str, parent: str
    ) -> str:
        """Starts a program and returns its id."""
        reply = await owner_client_lib.ask(
            self.context.owners,
            parent,
            messages.CreateProgram(
                client_account=caller.client_account,
                class_name=class_name,
                parent=parent,
            ),
        )
        if isinstance(reply, messages.ProgramStarted):
            return reply.program
        raise errors.ResultError(
            codes.OWNER_UNAVAILABLE,
            'the owner sent an unexpected reply to CreateProgram',
        )


@attrs.frozen(kw_only=True)
class _ResponseWriter:
    """Implements call_state.ResponseWriter on a handler."""

    handler: CallHandler

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sets the status and headers of a streamed response."""
        self.handler.begin(status, content_type, grant)

    def write(self, data: bytes) -> None:
        """Sends a chunk of a streamed response."""
        self.handler.write_chunk(data)

    def is_writable(self) -> bool:
        """Returns whether the caller keeps up with the response."""
        return self.handler.is_writable()

    def on_writable(self, resume: collections.abc.Callable[[], None]) -> None:
        """Sets the function to call when the handler is writable again."""
        self.handler.resume = resume


def _send_now(stream: iostream.IOStream, data: bytes) -> int:
    """Writes to the socket without blocking; returns the bytes written.

    It bypasses the stream's buffer, since most chunks are a single token
    and a buffered write costs several times as much as the system call.
    """
    try:
        return stream.socket.send(data)
    except BlockingIOError:
        return 0
    except OSError:
        # Closing calls the handler's on_connection_close, which cancels
        # the call.
        stream.close()
        return len(data)


def class_name_of(grant: messages.CallGranted | messages.CallReplayed) -> str:
    """Returns the class of a call's program, or '' if it is not known."""
    return grant.class_name if isinstance(grant, messages.CallGranted) else ''


def call_number(headers: httputil.HTTPHeaders) -> int:
    """Returns the call's number from the headers, or 0 for the next."""
    text = headers.get('Oleander-Call', '0')
    if not text.isdecimal() or len(text) > 9:
        raise errors.ResultError(
            codes.BAD_REQUEST, 'Oleander-Call must be a whole number'
        )
    return int(text)


def check_key_not_forwarded(
    request: httputil.HTTPServerRequest,
    call_request: call_state.CallRequest,
    caller: http_base.Caller,
) -> None:
    """Refuses a request that would pass the caller's key to an upstream."""
    if not caller.key:
        return
    key = caller.key.encode()
    forwarded = [
        call_request.body,
        urllib.parse.unquote(request.uri or '').encode(),
        request.headers.get('Idempotency-Key', '').encode(),
        call_request.content_type.encode(),
    ]
    if call_request.chat is not None:
        forwarded.append(msgspec.json.encode(call_request.chat.fields))
    if any(key in data for data in forwarded):
        raise errors.ResultError(codes.KEY_IN_REQUEST)


class ChatHandler(CallHandler):
    """POST /v1/chat/completions."""

    async def post(self) -> None:
        """Runs a model call."""
        await self.run_request(self._chat())

    async def _chat(self) -> None:
        caller = self.authenticate()
        await self.admit(caller)
        body = self.body()
        chat = conversation.parse_request(body)
        if chat.model not in self.context.board.config.models:
            raise errors.ResultError(codes.UNKNOWN_MODEL, chat.model)
        call_request = call_state.CallRequest(
            name=chat.model,
            idempotent=True,
            path=CHAT_PATH,
            method='POST',
            content_type=http_base.JSON,
            body=body,
            chat=chat,
        )
        await self.run_call(call_request, caller)


class ToolHandler(CallHandler):
    """Handles every path that a configured route maps to a tool."""

    async def handle(self) -> None:
        """Runs a tool call."""
        await self.run_request(self._tool())

    get = post = put = delete = patch = handle

    async def _tool(self) -> None:
        if not self.context.feed.caught_up.is_set():
            raise errors.ResultError(codes.NOT_READY, retry_after_s=1.0)
        route = config_state.find_route(
            self.context.board.config, self.request.path
        )
        if route is None:
            raise errors.ResultError(codes.UNKNOWN_ROUTE, self.request.path)
        caller = http_base.Caller()
        if not route.open_to_all:
            caller = self.authenticate()
            await self.admit(caller)
        await self.run_call(self._call_request(route), caller)

    def _call_request(self, route: model.Route) -> call_state.CallRequest:
        tool = self.context.board.config.tools.get(route.tool)
        if tool is None:
            raise errors.ResultError(codes.UNKNOWN_ROUTE, route.name)
        return call_state.CallRequest(
            name=tool.name,
            idempotent=tool.idempotent,
            path=self.request.uri or '/',
            method=self.request.method or 'GET',
            content_type=self.request.headers.get(
                'Content-Type', http_base.JSON
            ),
            body=self.body(),
        )


class ProgramsHandler(CallHandler):
    """POST /v1/programs: starts a program."""

    async def post(self) -> None:
        """Starts a program."""
        await self.run_request(self._post())

    async def _post(self) -> None:
        caller = self.authenticate()
        await self.admit(caller)
        try:
            new_program = msgspec.json.decode(self.body(), type=NewProgram)
        except decoding.DECODE_ERRORS as error:
            raise errors.ResultError(
                codes.MALFORMED_JSON, str(error)
            ) from error
        self.program = await self.start_program(
            caller, new_program.class_name, new_program.parent
        )
        self.set_result(codes.OK)
        self.set_status(201)
        self.set_header('Content-Type', http_base.JSON)
        self.finish(msgspec.json.encode({'program': self.program}))


class ProgramHandler(CallHandler):
    """DELETE /v1/programs/ID: ends a program."""

    async def delete(self, program: str) -> None:
        """Ends a program."""
        await self.run_request(self._delete(program))

    async def _delete(self, program: str) -> None:
        caller = self.authenticate()
        self.program = program
        await owner_client_lib.ask(
            self.context.owners,
            program,
            messages.EndProgram(
                program=program, client_account=caller.client_account
            ),
        )
        self.set_result(codes.OK)
        self.set_status(204)
        self.finish()


def make_app(context: http_base.HandlerContext) -> web.Application:
    """Returns the Tornado application."""
    arguments = {'context': context}
    return web.Application(
        [
            (CHAT_PATH, ChatHandler, arguments),
            ('/v1/programs', ProgramsHandler, arguments),
            ('/v1/programs/([^/]+)', ProgramHandler, arguments),
            ('/healthz', http_operators.HealthHandler, arguments),
            ('/metrics', http_operators.MetricsHandler, arguments),
            ('/v1/status', http_operators.StatusHandler, arguments),
            (
                '/v1/operator/keys/([^/]+)/withdraw',
                http_operators.WithdrawHandler,
                arguments,
            ),
            ('/.*', ToolHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
