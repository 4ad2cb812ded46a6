"""Heads of callers' requests: their sizes, and how they frame a body."""

import collections.abc
import re
import typing

from tornado import httputil

# Around the name and the value of each header.
HEADER_FRAMING_BYTES: typing.Final = 4
# What is made of each header here and for an upstream, besides its text.
HEADER_OBJECT_BYTES: typing.Final = 1_024
FRAMING_HEADERS: typing.Final = (
    'Connection',
    'Content-Length',
    'Expect',
    'Transfer-Encoding',
)
LENGTH: typing.Final = re.compile(r'\A[0-9]+\Z')
# A length with more digits is over any limit of bodies.
LENGTH_DIGITS: typing.Final = 12

Headers: typing.TypeAlias = collections.abc.Collection[tuple[str, str]]


def size(path: str, headers: Headers) -> int:
    """Returns the bytes of a start line and its headers."""
    return len(path) + sum(
        len(name) + len(value) + HEADER_FRAMING_BYTES
        for name, value in headers
    )


def held_size(path: str, headers: Headers) -> int:
    """Returns the bytes that a head takes while its request is served."""
    return size(path, headers) + HEADER_OBJECT_BYTES * len(headers)


def keep_framing(headers: httputil.HTTPHeaders) -> None:
    """Removes the headers that do not frame a body or a connection."""
    kept = {name: headers[name] for name in FRAMING_HEADERS if name in headers}
    headers.clear()
    headers.update(kept)


def stated_length(headers: httputil.HTTPHeaders) -> int:
    """Returns the length of a body, 0 if none is stated that is valid."""
    text = headers.get('Content-Length', '')
    if not LENGTH.search(text):
        return 0
    return int(text[: LENGTH_DIGITS + 1])


def is_chunked(headers: httputil.HTTPHeaders) -> bool:
    """Returns whether a body is chunked.

    Tornado refuses a head that says something else beside it.
    """
    encoding = headers.get('Transfer-Encoding', '')
    return 'Content-Length' not in headers and encoding.lower() == 'chunked'
