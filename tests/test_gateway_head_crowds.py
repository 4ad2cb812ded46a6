"""Crowds whose heads are legal and costly neither fill nor hang a process.

What is made of a head takes many times its bytes where it has many fields, or
fields with many parts, and some of it is kept when the request has ended.
"""

import asyncio
import pathlib
import typing

import pytest

from standins import crowd as crowd_lib
from standins import replica as replica_lib
from tests import test_gateway_body_crowds as bodies

Piece: typing.TypeAlias = crowd_lib.Piece
Row: typing.TypeAlias = bodies.Row
# A head has at most 16,384 bytes.
HEAD_BYTES: typing.Final = 15_500
TOKENS: typing.Final = 'Token-Count: 10,10\r\nModel: m\r\n'
NO_BODY: typing.Final = 'Content-Length: 0'


def many(each: str, separator: str = '') -> str:
    """Returns as many numbered texts as a head may have."""
    found: list[str] = []
    size = 0
    while size < HEAD_BYTES:
        found.append(each.replace('#', f'{len(found):x}'))
        size += len(found[-1]) + len(separator)
    return separator.join(found)


SHORT: typing.Final = (Piece(text='x'),)
ROWS: typing.Final = {
    'many-fields': Row(framing=many('#:\r\n') + bodies.stated(), pieces=SHORT),
    'one-field-many-times': Row(
        framing=many('a:\r\n') + bodies.stated(), pieces=SHORT
    ),
    'many-fields-then-gone': Row(
        framing=many('#:\r\n') + NO_BODY,
        pieces=(),
        closes=True,
        returns=True,
    ),
    'many-prompt-parts': Row(
        framing=f'Prompt-Prefix: {many("#:1", ",")}\r\n{TOKENS}{NO_BODY}',
        pieces=(),
    ),
    'many-prompt-parts-then-gone': Row(
        framing=f'Prompt-Prefix: {many("#:1", ",")}\r\n{TOKENS}{NO_BODY}',
        pieces=(),
        callers=20,
        closes=True,
        returns=True,
    ),
    'long-program-ids': Row(
        framing=f'Program-Id: {crowd_lib.ID}{"p" * 15_000}\r\n{TOKENS}'
        f'Token-Budget: 1000\r\n{NO_BODY}',
        pieces=(),
        callers=20,
        paths=bodies.TURNS,
        closes=True,
        returns=True,
    ),
    'bodies-a-byte-at-a-time': Row(
        pieces=(Piece(text='x', count=100_000),),
        callers=300,
        pause_s=0.4,
    ),
}


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
def test_crowd_of_heads_does_not_fill_the_process(
    row: Row, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that is killed, or serves nobody else."""
    behaviour = replica_lib.CompleteResponse()
    asyncio.run(bodies.check_crowd(row, tmp_path, behaviour))
