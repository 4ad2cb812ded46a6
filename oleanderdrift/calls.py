"""The path of one call, from the caller's request to the whole answer.

Order of steps: the owner admits the call, the dispatch group gives a
slot, the owner notes the upstream, the upstream runs the call, the owner
records its end, and then the answer's last bytes go out.  Each step that
fails undoes the ones before it.
"""

import asyncio
import collections.abc
import random
import time
import typing
import uuid

import attrs

from oleanderdrift import blackboard
from oleanderdrift import codes
from oleanderdrift import conversation
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import errors
from oleanderdrift import http_out
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import programs
from oleanderdrift import retries

END_TRIES: typing.Final = 4
END_RETRY_S: typing.Final = 0.5
ANSWER_LIMIT_BYTES: typing.Final = 67_108_864
SUCCESS: typing.Final = range(200, 300)
FENCED_STATUS: typing.Final = 409
_RETRIED: typing.Final = (
    codes.UPSTREAM_UNREACHABLE,
    codes.UPSTREAM_FAILED,
    codes.UPSTREAM_TIMEOUT,
)


@attrs.frozen(kw_only=True)
class Service:
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


class Answer(typing.Protocol):
    """Where the answer goes; http_in implements it."""

    def begin(
        self, status: int, content_type: str, grant: messages.CallGranted
    ) -> None:
        """Sends the status and headers of a streamed answer."""

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""

    def has_room(self) -> bool:
        """Tells whether the caller keeps up with the answer."""

    def on_room(self, resume: collections.abc.Callable[[], None]) -> None:
        """Takes what to call when there is room again."""


@attrs.define(kw_only=True)
class Attempt:
    """One attempt of a call on one upstream."""

    upstream: model.Upstream
    slot: messages.SlotGranted
    started: float
    first_token_s: float = 0.0
    answer: conversation.ChatAnswer | None = None
    stream: http_out.Stream | None = None
    placed: asyncio.Task[None] | None = None


@attrs.define(kw_only=True)
class Relay:
    """A streamed answer on its way; held is its end, not yet passed on."""

    call: 'Call'
    attempt: Attempt
    answer: Answer
    parts: list[bytes] = attrs.field(factory=list)
    held: bytes = b''


@attrs.frozen(kw_only=True)
class Result:
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
    budgets: retries.Budgets = attrs.field(factory=retries.Budgets)


@attrs.define(kw_only=True)
class Call:
    """A call under way."""

    id: str
    service: Service
    identity: Identity
    grant: messages.CallGranted
    excluded: tuple[str, ...] = ()
    aborted: errors.ResultError | None = None
    attempt: Attempt | None = None
    begun: bool = False


async def run(
    calls: Calls, service: Service, identity: Identity, answer: Answer
) -> Result:
    """Runs one call; raises ResultError where it cannot be answered."""
    reply = await _begin(calls, service, identity)
    if isinstance(reply, messages.CallReplayed):
        return Result(
            status=reply.status,
            content_type=reply.content_type,
            body=reply.answer,
            grant=reply,
        )
    call = Call(
        id=uuid.uuid4().hex, service=service, identity=identity, grant=reply
    )
    calls.board.open_calls[call.id] = blackboard.OpenCall(
        client_account=identity.client_account,
        key_sha256=identity.key_sha256,
        abort=lambda: _abort(call),
    )
    try:
        return await _attempts(calls, call, answer)
    finally:
        del calls.board.open_calls[call.id]


def _abort(call: Call) -> None:
    call.aborted = errors.ResultError(codes.KEY_WITHDRAWN)
    if call.attempt is not None and call.attempt.stream is not None:
        call.attempt.stream.cancel()


async def _begin(
    calls: Calls, service: Service, identity: Identity
) -> messages.CallGranted | messages.CallReplayed:
    if not identity.program:
        return _plain_grant()
    reply = await owner_client_lib.ask(
        calls.owners,
        identity.program,
        messages.BeginCall(
            program=identity.program,
            client_account=identity.client_account,
            call=identity.call,
            idempotency_key=identity.idempotency_key,
            body_digest=programs.history_digest([service.body]),
            idempotent=service.idempotent,
            prefix_digest=_prefix_digest(service),
            estimated_tokens=_estimated_tokens(service),
        ),
    )
    if isinstance(reply, messages.CallGranted | messages.CallReplayed):
        return reply
    raise errors.ResultError(codes.OWNER_UNAVAILABLE, 'unexpected reply')


def _plain_grant() -> messages.CallGranted:
    return messages.CallGranted(
        program='',
        call=0,
        attempt=1,
        fencing_token=0,
        class_name='',
        slack_s=0.0,
        attained_s=0.0,
        remaining_tokens=0,
    )


def _prefix_digest(service: Service) -> bytes:
    chat = service.chat
    if chat is None or not chat.recorded:
        return b''
    return programs.history_digest(chat.messages[: chat.recorded])


def _estimated_tokens(service: Service) -> int:
    chat = service.chat
    return chat.prompt_tokens + chat.max_tokens if chat else 0


async def _attempts(calls: Calls, call: Call, answer: Answer) -> Result:
    for number in range(1, retries.MAX_ATTEMPTS + 1):
        try:
            return await _attempt(calls, call, answer)
        except errors.ResultError as error:
            verdict = _retry(calls, call, error, number)
            if isinstance(verdict, retries.GiveUp):
                await _end_failed(calls, call, error)
                raise
            await asyncio.sleep(verdict.delay_s)
        except asyncio.CancelledError:
            gone = errors.ResultError(codes.UPSTREAM_FAILED, 'caller gone')
            # The task is being cancelled: the end is reported beside it.
            _spawn(_end_failed(calls, call, gone))
            raise
    raise errors.ResultError(codes.OVERLOADED)


_TASKS: typing.Final[set[asyncio.Task[None]]] = set()


def _spawn(
    work: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    task = asyncio.get_running_loop().create_task(work)
    _TASKS.add(task)
    task.add_done_callback(_TASKS.discard)


def _retry(
    calls: Calls, call: Call, error: errors.ResultError, number: int
) -> retries.Retry | retries.GiveUp:
    if call.aborted is not None or call.begun or call.attempt is None:
        return retries.GiveUp(reason='begun')
    if error.code not in _RETRIED:
        return retries.GiveUp(reason='refused')
    return retries.decide(
        calls.budgets,
        upstream=call.attempt.upstream.name,
        execution=error.code.execution,
        idempotent=call.service.idempotent,
        attempt=number,
        remaining_s=calls.board.settings.limits.queue_timeout_s,
        rng=calls.random,
    )


async def _attempt(calls: Calls, call: Call, answer: Answer) -> Result:
    call.attempt = None
    slot = await dispatch_lib.acquire(
        calls.dispatch, _slot_request(calls, call)
    )
    upstream = calls.board.config.upstreams.get(slot.upstream)
    if upstream is None:
        _give_back(calls, call, slot, time.monotonic(), failed=False)
        raise errors.ResultError(codes.OVERLOADED, 'the upstream has left')
    call.excluded += (upstream.name,)
    retries.on_attempt(calls.budgets, upstream.name)
    attempt = Attempt(upstream=upstream, slot=slot, started=time.monotonic())
    call.attempt = attempt
    failed = False
    try:
        if call.service.idempotent:
            return await _place_beside(calls, call, attempt, answer)
        await _place(calls, call, upstream)
        return await _exchange(calls, call, attempt, answer)
    except errors.ResultError as error:
        failed = error.code in _RETRIED
        raise
    finally:
        if attempt.stream is not None:
            attempt.stream.cancel()
        _give_back(calls, call, slot, attempt.started, failed=failed)


def _slot_request(calls: Calls, call: Call) -> messages.SlotRequest:
    chat = call.service.chat
    return messages.SlotRequest(
        call_id=uuid.uuid4().hex,
        program=call.grant.program or call.id,
        client_account=call.identity.client_account,
        class_name=call.grant.class_name,
        service=call.service.name,
        slack_s=call.grant.slack_s,
        attained_s=call.grant.attained_s,
        program_age_s=program_age_s(calls, call.grant),
        prompt_tokens=chat.prompt_tokens if chat else 0,
        max_tokens=chat.max_tokens if chat else 0,
        prefix=conversation.prefix_blocks(chat) if chat else (),
        excluded=call.excluded,
    )


def program_age_s(calls: Calls, grant: messages.CallGranted) -> float:
    """Returns how long ago a call's program began, in seconds."""
    program_class = calls.board.config.classes.get(grant.class_name)
    target_s = program_class.target_s if program_class else 0.0
    return max(0.0, target_s - grant.slack_s)


def _give_back(
    calls: Calls,
    call: Call,
    slot: messages.SlotGranted,
    started: float,
    *,
    failed: bool,
) -> None:
    attempt = call.attempt
    answer = attempt.answer if attempt else None
    dispatch_lib.give_back(
        calls.dispatch,
        call.service.name,
        messages.SlotReleased(
            call_id=slot.call_id,
            upstream=slot.upstream,
            failed=failed,
            first_token_s=attempt.first_token_s if attempt else 0.0,
            duration_s=time.monotonic() - started,
            tokens=answer.completion_tokens if answer else 0,
            cached_tokens=answer.cached_tokens if answer else None,
        ),
    )


async def _place(calls: Calls, call: Call, upstream: model.Upstream) -> None:
    grant = call.grant
    if not grant.program:
        return
    await owner_client_lib.ask(
        calls.owners,
        grant.program,
        messages.CallPlaced(
            program=grant.program,
            call=grant.call,
            attempt=grant.attempt,
            fencing_token=grant.fencing_token,
            upstream=upstream.name,
        ),
    )


async def _place_beside(
    calls: Calls, call: Call, attempt: Attempt, answer: Answer
) -> Result:
    """Lets the owner note the upstream while the call is on its way.

    Nothing of the answer goes out before the owner has noted it.
    """
    attempt.placed = asyncio.get_running_loop().create_task(
        _place(calls, call, attempt.upstream)
    )
    try:
        return await _exchange(calls, call, attempt, answer)
    finally:
        attempt.placed.cancel()


def _upstream_request(
    calls: Calls, call: Call, upstream: model.Upstream
) -> http_out.UpstreamRequest:
    service = call.service
    grant = call.grant
    limits = calls.board.settings.limits
    headers = {'Content-Type': service.content_type}
    if grant.program:
        key = call.identity.idempotency_key
        headers['X-Program'] = grant.program
        headers['X-Fencing-Token'] = str(grant.fencing_token)
        headers['Idempotency-Key'] = key or f'{grant.program}/{grant.call}'
    body = service.body
    if service.chat is not None:
        body = conversation.upstream_body(service.chat)
    return http_out.UpstreamRequest(
        method=service.method,
        url=upstream.url.rstrip('/') + service.path,
        headers=headers,
        body=body,
        once=not service.idempotent,
        connect_timeout_s=limits.connect_timeout_s,
        silence_s=limits.upstream_silence_s,
    )


async def _exchange(
    calls: Calls, call: Call, attempt: Attempt, answer: Answer
) -> Result:
    if call.aborted is not None:
        raise call.aborted
    stream = calls.upstreams.open(
        _upstream_request(calls, call, attempt.upstream)
    )
    attempt.stream = stream
    try:
        await stream.start()
        if attempt.placed is not None:
            await attempt.placed
        chat = call.service.chat
        if chat is not None and chat.stream and stream.status in SUCCESS:
            return await _stream(calls, call, attempt, answer)
        return await _whole(calls, call, attempt)
    except errors.ResultError as error:
        raise call.aborted or error from error


async def _whole(calls: Calls, call: Call, attempt: Attempt) -> Result:
    stream = _opened(attempt)
    body = await _read_whole(stream)
    attempt.first_token_s = time.monotonic() - attempt.started
    content_type = stream.headers.get(
        'Content-Type', 'application/octet-stream'
    )
    _check_status(call, attempt, stream.status)
    chat_answer = None
    if call.service.chat is not None and stream.status in SUCCESS:
        chat_answer = conversation.parse_answer(body)
    await _end_ran(
        calls, call, attempt, stream.status, content_type, body, chat_answer
    )
    return Result(
        status=stream.status,
        content_type=content_type,
        body=body,
        grant=call.grant,
    )


def _opened(attempt: Attempt) -> http_out.Stream:
    if attempt.stream is None:
        raise errors.ResultError(codes.INVARIANT_BROKEN, 'no open stream')
    return attempt.stream


def _check_status(call: Call, attempt: Attempt, status: int) -> None:
    checks = attempt.upstream.checks_fencing
    if checks and status == FENCED_STATUS and call.grant.program:
        raise errors.ResultError(codes.FENCED, attempt.upstream.name)
    if status >= 500 and call.service.idempotent:
        raise errors.ResultError(
            codes.UPSTREAM_FAILED, f'{attempt.upstream.name}: HTTP {status}'
        )


async def _read_whole(stream: http_out.Stream) -> bytes:
    parts: list[bytes] = []
    size = 0
    while data := await stream.read():
        size += len(data)
        if size > ANSWER_LIMIT_BYTES:
            raise errors.ResultError(codes.UPSTREAM_FAILED, 'too long')
        parts.append(data)
    return b''.join(parts)


async def _stream(
    calls: Calls, call: Call, attempt: Attempt, answer: Answer
) -> Result:
    stream = _opened(attempt)
    content_type = stream.headers.get('Content-Type', 'text/event-stream')
    relay = Relay(call=call, attempt=attempt, answer=answer)
    answer.on_room(stream.resume)
    await stream.pipe(lambda data: _relay(relay, stream, data))
    body = b''.join(relay.parts)
    await _end_ran(
        calls,
        call,
        attempt,
        stream.status,
        content_type,
        body,
        conversation.parse_stream(body),
    )
    answer.write(relay.held)
    return Result(
        status=stream.status,
        content_type=content_type,
        body=b'',
        grant=call.grant,
        streamed=True,
    )


def _relay(relay: Relay, stream: http_out.Stream, data: bytes) -> bool:
    """Passes a piece of the answer on, unless the caller is too slow."""
    if not relay.answer.has_room():
        return False
    call = relay.call
    if not call.begun:
        call.begun = True
        relay.attempt.first_token_s = time.monotonic() - relay.attempt.started
        content_type = stream.headers.get('Content-Type', 'text/event-stream')
        relay.answer.begin(stream.status, content_type, call.grant)
    relay.parts.append(data)
    # The event that ends the answer waits until the end is recorded, so
    # that the caller's next call finds this one ended.
    if relay.held:
        relay.held += data
        return True
    done = conversation.find_done(relay.parts)
    if done < 0:
        relay.answer.write(data)
        return True
    if done:
        relay.answer.write(data[:done])
    relay.held = data[done:]
    return True


async def _end_ran(
    calls: Calls,
    call: Call,
    attempt: Attempt,
    status: int,
    content_type: str,
    body: bytes,
    chat_answer: conversation.ChatAnswer | None,
) -> None:
    attempt.answer = chat_answer
    chat = call.service.chat
    history = b''
    digest = b''
    tokens = 0
    if chat is not None and chat_answer is not None:
        added = (*chat.messages[chat.recorded :], chat_answer.message)
        history = b'[' + b','.join(added) + b']'
        digest = programs.history_digest((*chat.messages, chat_answer.message))
        tokens = chat_answer.tokens
    await _end(
        calls,
        call,
        messages.EndCall(
            program=call.grant.program,
            call=call.grant.call,
            attempt=call.grant.attempt,
            fencing_token=call.grant.fencing_token,
            execution=codes.Execution.RAN,
            status=status,
            tokens=tokens,
            upstream=attempt.upstream.name,
            service_s=time.monotonic() - attempt.started,
            content_type=content_type,
            answer=body,
            history=history,
            history_digest=digest,
        ),
    )


async def _end_failed(
    calls: Calls, call: Call, error: errors.ResultError
) -> None:
    attempt = call.attempt
    execution = error.code.execution
    if attempt is None or attempt.stream is None:
        execution = codes.Execution.NOT_RUN
    await _end(
        calls,
        call,
        messages.EndCall(
            program=call.grant.program,
            call=call.grant.call,
            attempt=call.grant.attempt,
            fencing_token=call.grant.fencing_token,
            execution=execution,
            status=error.code.status,
            tokens=0,
            upstream=attempt.upstream.name if attempt else '',
            service_s=time.monotonic() - attempt.started if attempt else 0.0,
        ),
    )


async def _end(calls: Calls, call: Call, message: messages.EndCall) -> None:
    """Reports an end to the owner.

    Raises ResultError(OUTCOME_UNAVAILABLE) where an answer could not be
    recorded: the caller may not take it for the program's history.
    """
    if not call.grant.program:
        return
    for tries_left in range(END_TRIES - 1, -1, -1):
        try:
            await owner_client_lib.ask(
                calls.owners, call.grant.program, message
            )
            return
        except errors.ResultError as error:
            if not tries_left or error.code is codes.OUTCOME_UNAVAILABLE:
                _note_unreported(call, message, error)
                return
        await asyncio.sleep(END_RETRY_S)


def _note_unreported(
    call: Call, message: messages.EndCall, error: errors.ResultError
) -> None:
    logs.warning(
        'call-end-unreported',
        code=error.code.number,
        program=call.grant.program,
        call=call.grant.call,
    )
    if message.history:
        raise errors.ResultError(
            codes.OUTCOME_UNAVAILABLE,
            'the end of the call could not be recorded',
            retry_after_s=END_RETRY_S,
        ) from error
