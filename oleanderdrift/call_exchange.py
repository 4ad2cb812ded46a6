"""Sends an attempt of a call to its upstream and relays the answer.

The last bytes of an answer are passed on only after the owner has
recorded the end of the call.
"""

import time
import typing

from oleanderdrift import call_reports
from oleanderdrift import call_state
from oleanderdrift import codes
from oleanderdrift import conversation
from oleanderdrift import errors
from oleanderdrift import http_out
from oleanderdrift import model

ANSWER_LIMIT_BYTES: typing.Final = 67_108_864
SUCCESS: typing.Final = range(200, 300)
FENCED_STATUS: typing.Final = 409


def _upstream_request(
    calls: call_state.Calls, call: call_state.Call, upstream: model.Upstream
) -> http_out.UpstreamRequest:
    request = call.request
    grant = call.grant
    limits = calls.board.settings.limits
    headers = {'Content-Type': request.content_type}
    if grant.program:
        key = call.identity.idempotency_key
        headers['X-Program'] = grant.program
        headers['X-Fencing-Token'] = str(grant.fencing_token)
        headers['Idempotency-Key'] = key or f'{grant.program}/{grant.call}'
    body = request.body
    if request.chat is not None:
        body = conversation.upstream_body(request.chat)
    return http_out.UpstreamRequest(
        method=request.method,
        url=upstream.url.rstrip('/') + request.path,
        headers=headers,
        body=body,
        once=not request.idempotent,
        connect_timeout_s=limits.connect_timeout_s,
        silence_s=limits.upstream_silence_s,
    )


async def exchange(
    calls: call_state.Calls,
    call: call_state.Call,
    attempt: call_state.Attempt,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    """Sends an attempt and relays its answer; raises ResultError."""
    if call.aborted is not None:
        raise call.aborted
    stream = calls.upstream_client.open(
        _upstream_request(calls, call, attempt.upstream)
    )
    attempt.stream = stream
    try:
        await stream.start()
        if attempt.placement is not None:
            await attempt.placement
        chat = call.request.chat
        if chat is not None and chat.stream and stream.status in SUCCESS:
            return await _exchange_stream(calls, call, attempt, writer)
        return await _exchange_whole(calls, call, attempt)
    except errors.ResultError as error:
        raise call.aborted or error from error


async def _exchange_whole(
    calls: call_state.Calls, call: call_state.Call, attempt: call_state.Attempt
) -> call_state.Response:
    stream = _require_stream(attempt)
    body = await _read_whole(stream)
    attempt.first_token_s = time.monotonic() - attempt.started
    content_type = stream.headers.get(
        'Content-Type', 'application/octet-stream'
    )
    _check_status(call, attempt, stream.status)
    chat_answer = None
    if call.request.chat is not None and stream.status in SUCCESS:
        chat_answer = conversation.parse_answer(body)
    await call_reports.end_ran(
        calls, call, attempt, stream.status, content_type, body, chat_answer
    )
    return call_state.Response(
        status=stream.status,
        content_type=content_type,
        body=body,
        grant=call.grant,
    )


def _require_stream(attempt: call_state.Attempt) -> http_out.Stream:
    if attempt.stream is None:
        raise errors.ResultError(codes.INVARIANT_BROKEN, 'no open stream')
    return attempt.stream


def _check_status(
    call: call_state.Call, attempt: call_state.Attempt, status: int
) -> None:
    checks = attempt.upstream.checks_fencing
    if checks and status == FENCED_STATUS and call.grant.program:
        raise errors.ResultError(codes.FENCED, attempt.upstream.name)
    if status >= 500 and call.request.idempotent:
        raise errors.ResultError(
            codes.UPSTREAM_FAILED, f'{attempt.upstream.name}: HTTP {status}'
        )


async def _read_whole(stream: http_out.Stream) -> bytes:
    parts: list[bytes] = []
    size = 0
    while data := await stream.read():
        size += len(data)
        if size > ANSWER_LIMIT_BYTES:
            raise errors.ResultError(
                codes.UPSTREAM_FAILED,
                f'the answer is longer than {ANSWER_LIMIT_BYTES} bytes',
            )
        parts.append(data)
    return b''.join(parts)


async def _exchange_stream(
    calls: call_state.Calls,
    call: call_state.Call,
    attempt: call_state.Attempt,
    writer: call_state.ResponseWriter,
) -> call_state.Response:
    stream = _require_stream(attempt)
    content_type = stream.headers.get('Content-Type', 'text/event-stream')
    relay = call_state.Relay(call=call, attempt=attempt, writer=writer)
    writer.on_writable(stream.resume)
    await stream.pipe(lambda data: _relay_piece(relay, stream, data))
    body = b''.join(relay.parts)
    await call_reports.end_ran(
        calls,
        call,
        attempt,
        stream.status,
        content_type,
        body,
        conversation.parse_stream(body),
    )
    writer.write(relay.held_back)
    return call_state.Response(
        status=stream.status,
        content_type=content_type,
        body=b'',
        grant=call.grant,
        streamed=True,
    )


def _relay_piece(
    relay: call_state.Relay, stream: http_out.Stream, data: bytes
) -> bool:
    """Passes on a piece of the answer; returns False to pause the stream.

    The stream is paused while the caller does not keep up.
    """
    if not relay.writer.is_writable():
        return False
    call = relay.call
    if not call.response_begun:
        call.response_begun = True
        relay.attempt.first_token_s = time.monotonic() - relay.attempt.started
        content_type = stream.headers.get('Content-Type', 'text/event-stream')
        relay.writer.begin(stream.status, content_type, call.grant)
    relay.parts.append(data)
    # What ends the answer for its caller is held back until the owner has
    # recorded the end, so that the caller's next call finds this one ended.
    if relay.held_back:
        relay.held_back += data
        return True
    end = conversation.find_done(relay.parts)
    if end < 0:
        relay.writer.write(data)
        return True
    if end:
        relay.writer.write(data[:end])
    relay.held_back = data[end:]
    return True
