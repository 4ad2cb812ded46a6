"""The ranges of what comes from outside.

Other programs than the writer in mind may have written it.  Decoders are
given types from here, so that a value is in its range once it is decoded.
"""

import functools
import re
import typing

import msgspec

# Every integer up to here is exact as a float too.
MAX_COUNT: typing.Final = 2**53
# Some 30 years; the clocks' values stay exact beside it.
MAX_S: typing.Final = 1e9
MAX_MS: typing.Final = MAX_S * 1_000
MAX_PER_S: typing.Final = 1e9
# Far more than any upstream runs at once.
MAX_SLOTS: typing.Final = 1_000_000
MAX_WEIGHT: typing.Final = 1e9
MAX_CORES: typing.Final = 100_000
MIN_PORT: typing.Final = 1
MAX_PORT: typing.Final = 65_535
# The length of a key in the store is one byte.
MAX_NAME_LENGTH: typing.Final = 255
# The name of one start of an upstream is longer than its id.
MAX_TEXT_LENGTH: typing.Final = 512
MAX_HOST_LENGTH: typing.Final = 253
# Upstreams write their entries again and again; those of a large fleet.
CACHED_TEXTS: typing.Final = 8_192
# Only these can be sent in a header on their own.
_NAME: typing.Final = r'\A[!-~]+( +[!-~]+)*\Z'
_LABEL: typing.Final = r'[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
_HOST: typing.Final = re.compile(rf'\A{_LABEL}(\.{_LABEL})*\Z')
_PORT: typing.Final = re.compile(r'\A[0-9]{1,5}\Z')

Name: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern=_NAME, max_length=MAX_NAME_LENGTH)
]
Text: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)
]
Count: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_COUNT)
]
Rank: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)
]
Slots: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=1, le=MAX_SLOTS)
]
Seconds: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_S)
]
Milliseconds: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_MS)
]
PerSecond: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_PER_S)
]
Weight: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_WEIGHT)
]
Cores: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_CORES)
]

_NAME_PATTERN: typing.Final = re.compile(_NAME)


@functools.lru_cache(CACHED_TEXTS)
def is_name(text: str) -> bool:
    """Returns whether a text is a name that can be sent in a header."""
    return (
        len(text) <= MAX_NAME_LENGTH and _NAME_PATTERN.search(text) is not None
    )


@functools.lru_cache(CACHED_TEXTS)
def parse_address(text: str) -> tuple[str, int] | None:
    """Returns the host and port of HOST:PORT, None if it has none."""
    host, _, port = text.rpartition(':')
    if len(host) > MAX_HOST_LENGTH or not _HOST.search(host):
        return None
    if not _PORT.search(port) or not MIN_PORT <= int(port) <= MAX_PORT:
        return None
    return host, int(port)
