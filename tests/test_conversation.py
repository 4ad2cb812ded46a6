"""Tests of parsing chat requests and answers."""

import pytest

from oleanderdrift import codes
from oleanderdrift import conversation
from oleanderdrift import errors

REQUEST = b'{"model":"m","messages":[{"role":"user","content":"hi"}]}'


@pytest.mark.parametrize(
    ('parts', 'found'),
    [
        ([b'data: x\n\n'], -1),
        ([b'data: x\n\ndata: [DONE]\n\n'], 9),
        ([b'x', b'data: [DONE]'], 0),
        ([b'data: [DO', b'NE]\n\n'], 0),
        ([b'd', b'ata: [DON', b'E]'], 0),
        ([b'data: [DO', b'data: [DONE]'], 0),
        ([b'data: [DO', b'-data: [DONE]'], 1),
    ],
)
def test_find_done_over_parts(parts: list[bytes], found: int) -> None:
    assert conversation.find_done(parts) == found


TOKEN = b'data: {"choices":[{"finish_reason":null,"delta":{}}]}\n\n'
FINISH = b'data: {"choices":[{"delta":{},"finish_reason": "stop"}]}\n\n'


@pytest.mark.parametrize('cut', range(1, len(FINISH)))
def test_finish_reason_is_not_passed_on_before_the_end_is_recorded(
    cut: int,
) -> None:
    """Callers take a finish reason for the end, before [DONE]."""
    passed_on = b''
    parts: list[bytes] = []
    for part in (TOKEN, FINISH[:cut], FINISH[cut:]):
        parts.append(part)
        end = conversation.find_done(parts)
        passed_on += part if end < 0 else part[:end]
        if end >= 0:
            break
    assert end >= 0
    assert passed_on.startswith(TOKEN)
    assert b'"stop"' not in passed_on
    assert not passed_on.endswith(b'\n\n')


def test_quoted_finish_reason_does_not_end_an_answer() -> None:
    """A finish reason in an answer's text is no end."""
    quoted = rb'data: {"delta":{"content":"\"finish_reason\": \"stop\""}}'
    assert conversation.find_done([TOKEN, quoted + b'\n\n']) < 0


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"model":1}',
        b'{"model":"m"}',
        b'{"model":"m","messages":[]}',
        b'{"model":"m","messages":["x"]}',
        REQUEST[:-1] + b',"max_tokens":0}',
    ],
)
def test_malformed_request_is_refused(body: bytes) -> None:
    with pytest.raises(errors.ResultError) as caught:
        conversation.parse_request(body)
    assert caught.value.code is codes.MALFORMED_JSON


def test_stream_and_whole_answer_give_one_message() -> None:
    whole = conversation.parse_answer(
        b'{"choices":[{"message":{"role":"assistant","content":"ab"}}],'
        b'"usage":{"total_tokens":5}}'
    )
    streamed = conversation.parse_stream(
        b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
        b'data: {"choices":[{"delta":{"content":"b"}}]}\n\n'
        b'data: {"choices":[],"usage":{"total_tokens":5}}\n\n'
        b'data: [DONE]\n\n'
    )
    assert whole == streamed


@pytest.mark.parametrize(
    'body', [b'', b'data: {"choices":[]}\n\n', b'data: {\n\ndata: [DONE]\n\n']
)
def test_stream_cut_short_is_no_answer(body: bytes) -> None:
    with pytest.raises(errors.ResultError) as caught:
        conversation.parse_stream(body)
    assert caught.value.code is codes.UPSTREAM_FAILED
