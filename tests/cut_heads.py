"""Answers that an upstream stops writing before they are whole."""

import typing

_LENGTH: typing.Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 10\r\n\r\n0123456789'
)
_CHUNKED: typing.Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n'
)
_UNFRAMED: typing.Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n0123456789'
)
BODY: typing.Final = b'0123456789'
WHOLE: typing.Final = {
    'length': _LENGTH,
    'chunked': _CHUNKED,
    'unframed': _UNFRAMED,
}


def _up_to(answer: bytes, part: bytes) -> bytes:
    """Returns an answer up to and with a part of it."""
    return answer[: answer.index(part) + len(part)]


# An unframed answer ends with its connection: only its head can be cut.
CUT: typing.Final[dict[str, bytes]] = {
    'length-version': _up_to(_LENGTH, b'HTTP/1.1'),
    'length-status': _up_to(_LENGTH, b' 20'),
    'length-reason': _up_to(_LENGTH, b' OK'),
    'length-status-line': _up_to(_LENGTH, b' OK\r\n'),
    'length-name': _up_to(_LENGTH, b'Content-Ty'),
    'length-colon': _up_to(_LENGTH, b'Content-Length:'),
    'length-number': _up_to(_LENGTH, b'Content-Length: 1'),
    'length-digits': _up_to(_LENGTH, b'Content-Length: 10'),
    'length-line': _up_to(_LENGTH, b'Content-Length: 10\r\n'),
    'length-blank-half': _up_to(_LENGTH, b'Content-Length: 10\r\n\r'),
    'length-head': _up_to(_LENGTH, b'\r\n\r\n'),
    'length-body': _up_to(_LENGTH, b'01234'),
    'chunked-status-line': _up_to(_CHUNKED, b' OK\r\n'),
    'chunked-name': _up_to(_CHUNKED, b'Transfer-En'),
    'chunked-value': _up_to(_CHUNKED, b'Transfer-Encoding: chu'),
    'chunked-line': _up_to(_CHUNKED, b'chunked\r\n'),
    'chunked-head': _up_to(_CHUNKED, b'\r\n\r\n'),
    'chunked-size': _up_to(_CHUNKED, b'\r\n\r\na'),
    'chunked-size-line': _up_to(_CHUNKED, b'\r\n\r\na\r\n'),
    'chunked-chunk': _up_to(_CHUNKED, b'01234'),
    'chunked-chunk-end': _up_to(_CHUNKED, b'0123456789\r\n'),
    'chunked-last-size': _up_to(_CHUNKED, b'789\r\n0'),
    'chunked-last-line': _up_to(_CHUNKED, b'789\r\n0\r\n'),
    'chunked-last-half': _CHUNKED[:-1],
    'unframed-status-line': _up_to(_UNFRAMED, b' OK\r\n'),
    'unframed-name': _up_to(_UNFRAMED, b'Content-Ty'),
    'unframed-value': _up_to(_UNFRAMED, b'text/pl'),
    'unframed-line': _up_to(_UNFRAMED, b'text/plain\r\n'),
}
