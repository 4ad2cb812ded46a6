"""Runs one call, from the caller's request to the complete response.

The steps are: the owner admits the call, the dispatch group grants a slot,
the owner records the upstream, the upstream runs the call, the owner
records its end, and only then are the last bytes sent to the caller.  A
step that fails undoes the ones before it.
"""

import asyncio
import collections.abc
import time
import typing
import uuid

from oleanderdrift import blackboard
from oleanderdrift import call_exchange
from oleanderdrift import call_reports
from oleanderdrift import call_state
from oleanderdrift import codes
from oleanderdrift import conversation
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import programs
from oleanderdrift import retries

_RETRYABLE: typing.Final = (
    codes.UPSTREAM_UNREACHABLE,
    codes.UPSTREAM_FAILED,
    codes.UPSTREAM_TIMEOUT,
)


async def run(
    calls: call_state.Calls,
    request: call_state.CallRequest,
    identity: call_state.Identity,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    """Runs one call; raises ResultError if it fails."""
    reply = await _admit(calls, request, identity)
    if isinstance(reply, messages.CallReplayed):
        return call_state.Response(
            status=reply.status,
            content_type=reply.content_type,
            body=reply.answer,
            grant=reply,
        )
    call = call_state.Call(
        id=uuid.uuid4().hex, request=request, identity=identity, grant=reply
    )
    calls.board.open_calls[call.id] = blackboard.OpenCall(
        client_account=identity.client_account,
        key_sha256=identity.key_sha256,
        abort=lambda: _abort(call),
    )
    try:
        return await _run_attempts(calls, call, writer)
    finally:
        del calls.board.open_calls[call.id]


def _abort(call: call_state.Call) -> None:
    call.aborted = errors.ResultError(codes.KEY_WITHDRAWN)
    if call.attempt is not None and call.attempt.stream is not None:
        call.attempt.stream.cancel()


async def _admit(
    calls: call_state.Calls,
    request: call_state.CallRequest,
    identity: call_state.Identity,
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
            body_digest=programs.history_digest([request.body]),
            idempotent=request.idempotent,
            prefix_digest=prefix_digest(request),
            estimated_tokens=_estimated_tokens(request),
        ),
    )
    if isinstance(reply, messages.CallGranted | messages.CallReplayed):
        return reply
    raise errors.ResultError(
        codes.OWNER_UNAVAILABLE, 'unexpected reply to a call request'
    )


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


def prefix_digest(request: call_state.CallRequest) -> bytes:
    """Returns the digest of the history that a request carries."""
    chat = request.chat
    if chat is None or not chat.history_length:
        return b''
    return programs.history_digest(chat.messages[: chat.history_length])


def _estimated_tokens(request: call_state.CallRequest) -> int:
    chat = request.chat
    return chat.prompt_tokens + chat.max_tokens if chat else 0


async def _run_attempts(
    calls: call_state.Calls,
    call: call_state.Call,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    for number in range(1, retries.MAX_ATTEMPTS + 1):
        try:
            return await _run_attempt(calls, call, writer)
        except errors.ResultError as error:
            verdict = _retry(calls, call, error, number)
            if isinstance(verdict, retries.GiveUp):
                await call_reports.end_failed(calls, call, error)
                raise
            await asyncio.sleep(verdict.delay_s)
        except asyncio.CancelledError:
            cancellation = errors.ResultError(
                codes.UPSTREAM_FAILED, 'the caller disconnected'
            )
            # This task is being cancelled, so another one reports the end.
            _spawn(call_reports.end_failed(calls, call, cancellation))
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
    calls: call_state.Calls,
    call: call_state.Call,
    error: errors.ResultError,
    number: int,
) -> retries.Retry | retries.GiveUp:
    if call.aborted is not None or call.response_begun or call.attempt is None:
        return retries.GiveUp(reason='begun')
    if error.code not in _RETRYABLE:
        return retries.GiveUp(reason='refused')
    return retries.decide(
        calls.budgets,
        upstream=call.attempt.upstream.name,
        execution=error.code.execution,
        idempotent=call.request.idempotent,
        attempt=number,
        remaining_s=calls.board.settings.limits.queue_timeout_s,
        rng=calls.random,
    )


async def _run_attempt(
    calls: call_state.Calls,
    call: call_state.Call,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    call.attempt = None
    slot = await dispatch_lib.acquire(
        calls.dispatch, _slot_request(calls, call)
    )
    upstream = calls.board.config.upstreams.get(slot.upstream)
    if upstream is None:
        _release_slot(calls, call, slot, time.monotonic(), failed=False)
        raise errors.ResultError(codes.OVERLOADED, 'the upstream was removed')
    call.excluded += (upstream.name,)
    retries.on_attempt(calls.budgets, upstream.name)
    attempt = call_state.Attempt(
        upstream=upstream, slot=slot, started=time.monotonic()
    )
    call.attempt = attempt
    failed = False
    try:
        if call.request.idempotent:
            return await _exchange_while_placing(calls, call, attempt, writer)
        await _report_placement(calls, call, upstream)
        return await call_exchange.exchange(calls, call, attempt, writer)
    except errors.ResultError as error:
        failed = error.code in _RETRYABLE
        raise
    finally:
        if attempt.stream is not None:
            attempt.stream.cancel()
        _release_slot(calls, call, slot, attempt.started, failed=failed)


def _slot_request(
    calls: call_state.Calls, call: call_state.Call
) -> messages.SlotRequest:
    chat = call.request.chat
    return messages.SlotRequest(
        call_id=uuid.uuid4().hex,
        program=call.grant.program or call.id,
        client_account=call.identity.client_account,
        class_name=call.grant.class_name,
        service=call.request.name,
        slack_s=call.grant.slack_s,
        attained_s=call.grant.attained_s,
        program_age_s=program_age_s(calls, call.grant),
        prompt_tokens=chat.prompt_tokens if chat else 0,
        max_tokens=chat.max_tokens if chat else 0,
        prefix=conversation.prefix_blocks(chat) if chat else (),
        excluded=call.excluded,
    )


def program_age_s(
    calls: call_state.Calls, grant: messages.CallGranted
) -> float:
    """Returns the time since a call's program was created, in seconds."""
    program_class = calls.board.config.classes.get(grant.class_name)
    target_s = program_class.target_s if program_class else 0.0
    return max(0.0, target_s - grant.slack_s)


def _release_slot(
    calls: call_state.Calls,
    call: call_state.Call,
    slot: messages.SlotGranted,
    started: float,
    *,
    failed: bool,
) -> None:
    attempt = call.attempt
    answer = attempt.chat_answer if attempt else None
    dispatch_lib.release_slot(
        calls.dispatch,
        call.request.name,
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


async def _report_placement(
    calls: call_state.Calls, call: call_state.Call, upstream: model.Upstream
) -> None:
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


async def _exchange_while_placing(
    calls: call_state.Calls,
    call: call_state.Call,
    attempt: call_state.Attempt,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    """Sends the call while the owner records its upstream.

    No part of the answer is passed on before the owner has recorded it.
    """
    attempt.placement = asyncio.get_running_loop().create_task(
        _report_placement(calls, call, attempt.upstream)
    )
    try:
        return await call_exchange.exchange(calls, call, attempt, writer)
    finally:
        attempt.placement.cancel()
