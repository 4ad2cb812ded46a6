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
