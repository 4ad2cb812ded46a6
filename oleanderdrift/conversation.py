"""Parses requests and answers of the OpenAI chat completions API.

Only what the scheduler needs is parsed: from a request the model, the
messages in a canonical form for the history digest, and the size; from an
answer the assistant's message and the tokens used.
"""

import hashlib
import re
import typing

import attrs
import msgspec

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors

BYTES_PER_TOKEN: typing.Final = 4
BLOCK_BYTES: typing.Final = 2_048
DEFAULT_MAX_TOKENS: typing.Final = 16_384
DONE_EVENT: typing.Final = b'data: [DONE]'
_BLOCK_DIGEST_BYTES: typing.Final = 8
_DATA: typing.Final = b'data: '
_DONE: typing.Final = b'[DONE'
_EVENT_END: typing.Final = b'\n\n'
_FINISH_REASON: typing.Final = b'"finish_reason"'
_FINISHED: typing.Final = re.compile(_FINISH_REASON + rb'\s*:\s*"')
# Longer than any match of _FINISHED that an engine sends.
_FINISHED_BYTES: typing.Final = 32
_CANONICAL_KEYS: typing.Final = (
    'role',
    'name',
    'content',
    'tool_calls',
    'tool_call_id',
)

_Json: typing.TypeAlias = dict[str, typing.Any]


@attrs.frozen(kw_only=True)
class ChatRequest:
    """A chat completion request.

    messages holds each message's canonical JSON.  history_length is the
    number of messages up to and including the last one of the assistant;
    these are the history that the program's owner has recorded.
    """

    model: str
    stream: bool
    messages: tuple[bytes, ...]
    history_length: int
    prompt_tokens: int
    max_tokens: int
    fields: _Json


@attrs.frozen(kw_only=True)
class ChatAnswer:
    """The assistant's message as canonical JSON and the tokens used.

    cached_tokens is the number of prompt tokens that the engine had
    cached, or None if it did not report one.
    """

    message: bytes
    tokens: int
    completion_tokens: int
    cached_tokens: int | None


@attrs.define(kw_only=True)
class _ToolCall:
    id: str = ''
    name: str = ''
    arguments: list[str] = attrs.field(factory=list)


def parse_request(body: bytes) -> ChatRequest:
    """Parses a request body; raises ResultError(MALFORMED_JSON)."""
    try:
        fields = msgspec.json.decode(body, type=_Json)
    except decoding.DECODE_ERRORS as error:
        raise errors.ResultError(codes.MALFORMED_JSON, str(error)) from error
    model = fields.get('model')
    if not isinstance(model, str):
        raise errors.ResultError(
            codes.MALFORMED_JSON, 'model must be a string'
        )
    messages = _messages(fields)
    encoded = tuple(canonical(message) for message in messages)
    return ChatRequest(
        model=model,
        stream=fields.get('stream') is True,
        messages=encoded,
        history_length=_history_length(messages),
        prompt_tokens=sum(map(len, encoded)) // BYTES_PER_TOKEN,
        max_tokens=_max_tokens(fields),
        fields=fields,
    )


def _messages(fields: _Json) -> list[_Json]:
    found = fields.get('messages')
    if not isinstance(found, list) or not found:
        raise errors.ResultError(
            codes.MALFORMED_JSON, 'messages must be a non-empty list'
        )
    for message in found:
        if not isinstance(message, dict) or 'role' not in message:
            raise errors.ResultError(
                codes.MALFORMED_JSON, 'each message must have a role'
            )
    return found


def _history_length(messages: list[_Json]) -> int:
    for index in range(len(messages), 0, -1):
        if messages[index - 1]['role'] == 'assistant':
            return index
    return 0


def _max_tokens(fields: _Json) -> int:
    for key in ('max_completion_tokens', 'max_tokens'):
        value = fields.get(key)
        if value is None:
            continue
        if not isinstance(value, int) or value < 1:
            raise errors.ResultError(
                codes.MALFORMED_JSON, f'{key} must be a positive integer'
            )
        return value
    return DEFAULT_MAX_TOKENS


def canonical(message: _Json) -> bytes:
    """Returns canonical JSON of the fields that identify a message."""
    kept = {
        key: message[key]
        for key in _CANONICAL_KEYS
        if message.get(key) is not None
    }
    return msgspec.json.encode(kept, order='deterministic')


def prefix_blocks(request: ChatRequest) -> tuple[bytes, ...]:
    """Returns the chained digests of the prompt's complete blocks."""
    data = b''.join(request.messages)
    digest = b''
    blocks = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        block = data[end - BLOCK_BYTES : end]
        digest = hashlib.blake2b(
            digest + block, digest_size=_BLOCK_DIGEST_BYTES
        ).digest()
        blocks.append(digest)
    return tuple(blocks)


def upstream_body(request: ChatRequest) -> bytes:
    """Returns the body to send to the engine.

    It requests the usage, by which budgets are settled, and limits the
    output to the tokens that the program's budget reserved for the call.
    """
    fields = dict(request.fields)
    if request.stream:
        options = fields.get('stream_options') or {}
        fields['stream_options'] = {**options, 'include_usage': True}
    fields.pop('max_completion_tokens', None)
    fields['max_tokens'] = request.max_tokens
    return msgspec.json.encode(fields)


def parse_answer(body: bytes) -> ChatAnswer:
    """Parses a complete answer; raises ResultError(UPSTREAM_FAILED)."""
    try:
        answer = msgspec.json.decode(body, type=_Json)
        message = answer['choices'][0]['message']
        return _answer(message, answer.get('usage') or {})
    except (
        *decoding.DECODE_ERRORS,
        LookupError,
        TypeError,
        AttributeError,
    ) as error:
        raise _unreadable_answer(error) from error


def parse_stream(body: bytes) -> ChatAnswer:
    """Parses a complete event stream; raises ResultError(UPSTREAM_FAILED)."""
    if DONE_EVENT not in body:
        raise _unreadable_answer('no [DONE] event')
    text: list[str] = []
    calls: dict[int, _ToolCall] = {}
    usage: _Json = {}
    try:
        for event in _events(body):
            usage = event.get('usage') or usage
            for choice in event.get('choices', ()):
                _merge_delta(choice['delta'], text, calls)
    except (
        *decoding.DECODE_ERRORS,
        LookupError,
        TypeError,
        AttributeError,
    ) as error:
        raise _unreadable_answer(error) from error
    message: _Json = {'role': 'assistant', 'content': ''.join(text) or None}
    if calls:
        message['tool_calls'] = [_tool_call(calls[i]) for i in sorted(calls)]
    return _answer(message, usage)


def _answer(message: _Json, usage: _Json) -> ChatAnswer:
    details = usage.get('prompt_tokens_details') or {}
    return ChatAnswer(
        message=canonical(message),
        tokens=int(usage.get('total_tokens', 0)),
        completion_tokens=int(usage.get('completion_tokens', 0)),
        cached_tokens=details.get('cached_tokens'),
    )


def _events(body: bytes) -> typing.Iterator[_Json]:
    for line in body.splitlines():
        if line.startswith(_DATA) and not line.startswith(DONE_EVENT):
            yield msgspec.json.decode(line[len(_DATA) :], type=_Json)


def _merge_delta(
    delta: _Json, text: list[str], calls: dict[int, _ToolCall]
) -> None:
    if delta.get('content'):
        text.append(delta['content'])
    for part in delta.get('tool_calls') or ():
        call = calls.setdefault(part['index'], _ToolCall())
        function = part.get('function') or {}
        call.id = part.get('id') or call.id
        call.name = function.get('name') or call.name
        call.arguments.append(function.get('arguments') or '')


def _tool_call(call: _ToolCall) -> _Json:
    return {
        'id': call.id,
        'type': 'function',
        'function': {
            'name': call.name,
            'arguments': ''.join(call.arguments),
        },
    }


def _unreadable_answer(reason: object) -> errors.ResultError:
    return errors.ResultError(
        codes.UPSTREAM_FAILED, f'the answer cannot be parsed: {reason}'
    )


def find_done(parts: list[bytes]) -> int:
    """Returns the offset in the last part from which the answer is over.

    That is where a finish reason or the [DONE] event begins, since callers
    take either for the end of the answer.  It is 0 if that began in an
    earlier part, and -1 if neither has been received.
    """
    finished = _find_finished(parts)
    done = _find_done_event(parts)
    if finished < 0 or done < 0:
        return max(finished, done)
    return min(finished, done)


def _find_finished(parts: list[bytes]) -> int:
    overlap = _tail(parts, _FINISHED_BYTES)
    data = overlap + parts[-1]
    start = data.find(_FINISH_REASON)
    match = _FINISHED.search(data, start) if start >= 0 else None
    return max(0, match.start() - len(overlap)) if match else -1


def _find_done_event(parts: list[bytes]) -> int:
    """Returns the offset in the last part at which the [DONE] event begins.

    It is 0 if the event began in an earlier part, and -1 if the event has
    not been received.
    """
    last = parts[-1]
    whole = last.endswith(_EVENT_END) and last.startswith(_DATA)
    if whole and _DONE not in last:
        return -1
    overlap = _tail(parts, len(DONE_EVENT) - 1)
    found = (overlap + last).find(DONE_EVENT)
    return max(0, found - len(overlap)) if found >= 0 else -1


def _tail(parts: list[bytes], size: int) -> bytes:
    """Returns up to size bytes before the last part, if its event is split.

    No part is empty.
    """
    if len(parts) < 2 or parts[-2].endswith(_EVENT_END):
        return b''
    return b''.join(parts[-size - 1 : -1])[-size:]
