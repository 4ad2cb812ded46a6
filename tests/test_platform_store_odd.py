"""What the store's answers may hold, and what one odd value does."""

import asyncio
import base64
import json
import struct
import typing

import hypothesis
from hypothesis import strategies
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import buffering
from oleanderdrift.platform import store
from tests import odd_values

ODD_VALUES: typing.Final[dict[str, object]] = {
    'no-base64': '%%%',
    'padding': 'QQ',
    'beyond-ascii': 'caf\u00e9',
    'number': 5,
    'null': None,
    'list': ['QQ=='],
}


def item(key: object, value: object) -> dict[str, object]:
    """Returns a record as the store lists it."""
    return {'Key': key, 'Value': value, 'Offset': 1}


def sound(key: str) -> dict[str, object]:
    """Returns a sound record; its value is its key."""
    return item(key, base64.b64encode(key.encode()).decode())


class AnsweringStore(store.Store):
    """A client whose calls are answered with fixed bodies, in order."""

    def __init__(self, *answers: tuple[int, bytes]) -> None:
        super().__init__('127.0.0.1:1', 4, 4_096)
        self.answers = list(answers)
        self.queries: list[dict[str, str | int]] = []

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: buffering.Body = b'',
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Returns the next answer."""
        self.queries.append(dict(query))
        return self.answers.pop(0)


def page(*items: object, more: bool = False) -> tuple[int, bytes]:
    """Returns the answer with one page of the newest records."""
    body = {'items': items, 'HasMore': more, 'EndOffset': 7}
    return 200, json.dumps(body).encode()


@pytest.mark.parametrize('value', ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_value_leaves_the_others_of_its_page(value: object) -> None:
    client = AnsweringStore(
        page(sound('a'), item('odd', value), sound('b'), more=True),
        page(sound('c')),
    )
    found = asyncio.run(client.newest('t'))
    values = {one.key: one.value for one in found.records}
    assert values == {'a': b'a', 'odd': b'', 'b': b'b', 'c': b'c'}
    assert client.queries[1]['after'] == 'b'


@pytest.mark.parametrize('odd', [5, None, [], {}, {'Value': ''}, 'x'])
def test_record_without_a_key_leaves_the_others_of_its_page(
    odd: object,
) -> None:
    client = AnsweringStore(page(sound('a'), odd, sound('b')))
    found = asyncio.run(client.newest('t'))
    assert [one.key for one in found.records] == ['a', 'b']


def test_page_without_progress_does_not_go_on_for_ever() -> None:
    client = AnsweringStore(
        page(sound('a'), more=True), page(sound('a'), more=True)
    )
    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(client.newest('t'))
    assert caught.value.code is codes.APPEND_UNCONFIRMED


@pytest.mark.parametrize(
    'body',
    [
        b'{"items": ' + odd_values.DEEP + b'}',
        b'{"Unread": ' + odd_values.DEEP + b'}',
        odd_values.DEEP,
        b'{"EndOffset": -1, "Offset": -1, "FirstOffset": -1}',
        b'{"EndOffset": 1e999, "Offset": 1e999, "FirstOffset": 1e999}',
        b'{"EndOffset": %(n)b, "FirstOffset": %(n)b}' % {b'n': b'9' * 5_000},
        b'\xff',
    ],
    ids=lambda body: str(body)[:30],
)
def test_odd_answer_has_a_code(body: bytes) -> None:
    def client(status: int = 200) -> store.Store:
        return AnsweringStore((status, body))

    async def play() -> None:
        for call in (
            lambda: client().append('t', 0, [b'a']),
            lambda: client().newest('t'),
            lambda: client(410).read('t', 0, 0),
        ):
            with pytest.raises(errors.ResultError) as caught:
                await call()
            assert caught.value.code is codes.APPEND_UNCONFIRMED

    asyncio.run(play())


FRAME: typing.Final = struct.pack('>QQ', 9, 0)


CUT_RECORDS: typing.Final = {
    'record': struct.pack('>I', 5) + b'abcd',
    'length': b'\0\0',
    'endless': struct.pack('>I', 2**32 - 1),
}


@pytest.mark.parametrize('cut', CUT_RECORDS.values(), ids=CUT_RECORDS)
def test_record_that_was_cut_is_not_taken_for_whole(cut: bytes) -> None:
    whole = struct.pack('>I', 3) + b'abc'
    client = AnsweringStore((200, FRAME + whole + cut), (200, FRAME + cut))
    assert asyncio.run(client.read('t', 0, 0)).records == (b'abc',)
    with pytest.raises(errors.ResultError) as caught:
        asyncio.run(client.read('t', 0, 1))
    assert caught.value.code is codes.APPEND_UNCONFIRMED


@odd_values.SEEDED
@hypothesis.given(
    odd_values.changed({'items': [sound('a')], 'HasMore': False})
    | strategies.lists(odd_values.json_values).map(lambda some: page(*some)[1])
)
def test_any_page_is_read_or_has_a_code(body: bytes) -> None:
    end = page()
    try:
        found = asyncio.run(AnsweringStore((200, body), end).newest('t'))
    except errors.ResultError as error:
        assert error.code is codes.APPEND_UNCONFIRMED
        return
    assert all(isinstance(one.value, bytes) for one in found.records)


@odd_values.SEEDED
@hypothesis.given(strategies.binary() | strategies.binary().map(FRAME.__add__))
def test_any_records_are_read_or_have_a_code(data: bytes) -> None:
    try:
        client = AnsweringStore((200, data))
        found = asyncio.run(client.read_keyed('t', 0, wait_s=0.0))
    except errors.ResultError as error:
        assert error.code is codes.APPEND_UNCONFIRMED
        return
    assert found is not None
