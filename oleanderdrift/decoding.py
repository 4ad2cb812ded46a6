"""What decoding raises for bytes that come from outside."""

import typing

import msgspec

# All that a decoder raises for any bytes; deep nesting exhausts the stack
# even in fields that nobody reads.
DECODE_ERRORS: typing.Final = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)
