"""Finds the lines of the values in a JSON text."""

import contextlib
import json
import re
import typing

Path: typing.TypeAlias = tuple[str | int, ...]

_SPACE: typing.Final = re.compile(r'[ \t\r\n]*')
_STRING: typing.Final = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_SCALAR: typing.Final = re.compile(r'[^\s,\]}]+')
_STEP: typing.Final = re.compile(r'\.(\w+)|\[(\d+)\]')


def lines_of(text: str) -> dict[Path, int]:
    """Returns the line of each value of a well-formed text, by its path.

    Those after values that are nested too deeply are missing.
    """
    offsets: dict[Path, int] = {}
    with contextlib.suppress(RecursionError):
        _scan(text, 0, (), offsets)
    return {path: line_at(text, offset) for path, offset in offsets.items()}


def line_at(text: str, offset: int) -> int:
    """Returns the line of an offset, the first being 1."""
    return text.count('\n', 0, offset) + 1


def nearest(lines: dict[Path, int], path: Path) -> int:
    """Returns the line of a path, or of the innermost value that is there."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def parse_path(text: str) -> Path:
    """Returns the path that a decoder's error names, such as $.a[3].b."""
    return tuple(name or int(place) for name, place in _STEP.findall(text))


def _scan(text: str, at: int, path: Path, offsets: dict[Path, int]) -> int:
    """Notes the offsets of a value and what is in it; returns its end."""
    at = _skip(text, at)
    offsets[path] = at
    if text[at] not in '{[':
        return _end(text, at)
    is_object = text[at] == '{'
    place = 0
    at = _skip(text, at + 1)
    while text[at] not in '}]':
        step: str | int = place
        if is_object:
            end = _end(text, at)
            step = str(json.loads(text[at:end]))
            # After the colon.
            at = _skip(text, end) + 1
        at = _skip(text, _scan(text, at, (*path, step), offsets))
        place += 1
        if text[at] == ',':
            at = _skip(text, at + 1)
    return at + 1


def _end(text: str, at: int) -> int:
    """Returns the end of a string, number or name."""
    pattern = _STRING if text[at] == '"' else _SCALAR
    found = pattern.match(text, at)
    return found.end() if found else at + 1


def _skip(text: str, at: int) -> int:
    found = _SPACE.match(text, at)
    return found.end() if found else at
