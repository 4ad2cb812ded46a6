"""Reports to a program's owner how an attempt of a call ended."""

import asyncio
import time
import typing

from oleanderdrift import call_state
from oleanderdrift import codes
from oleanderdrift import conversation
from oleanderdrift import errors
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import programs

MAX_END_TRIES: typing.Final = 4
END_RETRY_S: typing.Final = 0.5


async def end_ran(
    calls: call_state.Calls,
    call: call_state.Call,
    attempt: call_state.Attempt,
    status: int,
    content_type: str,
    body: bytes,
    chat_answer: conversation.ChatAnswer | None,
) -> None:
    """Reports that an attempt has run, with its answer."""
    attempt.chat_answer = chat_answer
    chat = call.request.chat
    history = b''
    digest = b''
    tokens = 0
    if chat is not None and chat_answer is not None:
        added = (*chat.messages[chat.history_length :], chat_answer.message)
        history = b'[' + b','.join(added) + b']'
        digest = programs.history_digest((*chat.messages, chat_answer.message))
        tokens = chat_answer.tokens
    await report(
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


async def end_failed(
    calls: call_state.Calls, call: call_state.Call, error: errors.ResultError
) -> None:
    """Reports a failed attempt; one that was never sent did not run."""
    attempt = call.attempt
    execution = error.code.execution
    if attempt is None or attempt.stream is None:
        execution = codes.Execution.NOT_RUN
    await report(
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


async def report(
    calls: call_state.Calls, call: call_state.Call, message: messages.EndCall
) -> None:
    """Reports an end to the owner, with retries.

    Raises ResultError(OUTCOME_UNAVAILABLE) if an answer that adds to the
    history could not be recorded: the caller must not get it, because the
    program's history would lack it.
    """
    if not call.grant.program:
        return
    for tries_left in range(MAX_END_TRIES - 1, -1, -1):
        try:
            await owner_client_lib.ask(
                calls.owners, call.grant.program, message
            )
            return
        except errors.ResultError as error:
            if not tries_left or error.code is codes.OUTCOME_UNAVAILABLE:
                _handle_unreported(call, message, error)
                return
        await asyncio.sleep(END_RETRY_S)


def _handle_unreported(
    call: call_state.Call, message: messages.EndCall, error: errors.ResultError
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
