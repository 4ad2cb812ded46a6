"""Input nested deeper than any decoder follows has a code, as other input."""

import collections.abc
import typing

import pytest

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import config_checks
from oleanderdrift import conversation
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model
from tests import odd_values

NESTED: typing.Final = b'{"model": "m", "unread": ' + odd_values.DEEP + b'}'


@pytest.mark.parametrize(
    ('parse', 'body', 'code'),
    [
        (conversation.parse_request, NESTED, codes.MALFORMED_JSON),
        (conversation.parse_answer, NESTED, codes.UPSTREAM_FAILED),
        (
            conversation.parse_stream,
            b'data: ' + NESTED + b'\n\ndata: [DONE]\n\n',
            codes.UPSTREAM_FAILED,
        ),
    ],
    ids=['request', 'answer', 'stream'],
)
def test_nested_conversation_has_a_code(
    parse: collections.abc.Callable[[bytes], object],
    body: bytes,
    code: codes.ResultCode,
) -> None:
    with pytest.raises(errors.ResultError) as caught:
        parse(body)
    assert caught.value.code is code


def test_nested_record_is_a_bad_one() -> None:
    number = min(messages.KINDS)
    nested = b'\x81\xa1z' + b'\x91' * 100_000 + b'\xc0'
    with pytest.raises(codec.CodecError):
        codec.decode(number.to_bytes(2, 'big') + nested)


def test_nested_configuration_is_refused() -> None:
    with pytest.raises(config_checks.InvalidChange):
        config_checks.parse_object(model.Kind.ACCOUNT, 'a', NESTED)
