"""Tests of the message codec."""

import pytest

from oleanderdrift import codec
from oleanderdrift import messages


def test_round_trip() -> None:
    change = messages.ConfigChange(
        change_id='c1',
        kind='account',
        name='a',
        expected_version=0,
        body=b'{}',
    )
    assert codec.decode(codec.encode(change)) == change


@pytest.mark.parametrize('data', [b'', b'\xff\xff', b'\x00\x01\xc1'])
def test_bad_bytes_raise_codec_error(data: bytes) -> None:
    with pytest.raises(codec.CodecError):
        codec.decode(data)
