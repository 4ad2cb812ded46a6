"""Decodes requests and responses on the wire, and encodes their headers."""

import collections.abc
import re
import typing

from tornado import httputil

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import identifiers
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.platform import operator

MS_PER_S: typing.Final = 1_000.0
# For requests without a deadline; the longest that callers usually set.
DEFAULT_DEADLINE_S: typing.Final = 30.0
# Numbers of callers are below 10 to this power, so that sums of them fit into
# the integers of the wire.
MAX_DIGITS: typing.Final = 9
# The cookie whose value is the same for requests about the same object.
AFFINITY_COOKIE: typing.Final = 'Affinity-Key'
# Longer values are not used; they would cost memory for each object.
MAX_AFFINITY_LENGTH: typing.Final = 128
# Parts are looked up for each upstream.  The rest of a prompt counts as one.
MAX_PROMPT_PARTS: typing.Final = 256
REQUEST_ID_HEADER: typing.Final = 'attempt-id'
KEY_HEADER: typing.Final = 'credential'
DEADLINE_HEADER: typing.Final = 'deadline-ms'
# The time until the request's program should end.
FINISH_HEADER: typing.Final = 'finish-ms'
# Proof that a response comes from the upstream itself.
SEAL_HEADER: typing.Final = 'response-seal'
NOT_RUN_HEADER: typing.Final = 'not-executed'
EXPECT_UPSTREAM_HEADER: typing.Final = 'expect-instance'
ACCOUNT_HEADER: typing.Final = 'tenant'
LAST_EVENT_HEADER: typing.Final = 'last-event-id'
# The request whose answer brought the first event of a resumed stream.
RESUMES_HEADER: typing.Final = 'resumes'
RETRY_AFTER_HEADER: typing.Final = 'retry-after'
STREAM_TYPE: typing.Final = 'text/event-stream'
# Requests a second that an upstream accepts from all instances together.
RATE_LIMIT_HEADER: typing.Final = 'server-limit'
# In all answers of an upstream that leaves.
LEAVING_HEADER: typing.Final = 'server-leaving'
LEAVING_VALUE: typing.Final = '1'
# How much longer the upstream will be slow after its start.
COLD_HEADER: typing.Final = 'cold-ms'
_PART_TOKENS: typing.Final = re.compile(
    r':([0-9]{1,%d})[ \t]*(?:,|\Z)' % MAX_DIGITS
)
_HOP_BY_HOP: typing.Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
# Identify a message, so a Connection header cannot remove them.
_NEVER_DROPPED: typing.Final = frozenset(
    ('host', REQUEST_ID_HEADER, SEAL_HEADER)
)
# Set by the gateway only; a caller's values are dropped.
_GATEWAY_ONLY: typing.Final = frozenset(
    (
        KEY_HEADER,
        DEADLINE_HEADER,
        EXPECT_UPSTREAM_HEADER,
        ACCOUNT_HEADER,
        LAST_EVENT_HEADER,
        'expect-version',
        'pin-ms',
        'kv-hold',
        'kv-backup',
        'kv-from',
        'kv-fetch',
    )
)

Headers: typing.TypeAlias = collections.abc.Sequence[tuple[str, str]]


class PlatformCodec:
    """The codec of the users' platform."""

    config_topic = 'op'
    config_key = 'config'
    evacuation_prefix = 'evacuate/'
    upstreams_topic = 'servers'
    report_target = '/-/report'

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        now: float,
    ) -> model.Request:
        """Decodes a caller's request; raises ResultError BAD_REQUEST."""
        by_name = {name.lower(): value for name, value in headers}
        request_id = by_name.get(REQUEST_ID_HEADER, '')
        if not request_id:
            raise errors.ResultError(
                codes.BAD_REQUEST, 'the request has no id'
            )
        deadline_ms = _number_header(
            by_name, DEADLINE_HEADER, DEFAULT_DEADLINE_S * MS_PER_S
        )
        tokens = by_name.get('token-count', '').partition(',')[2].strip()
        budget = by_name.get('token-budget')
        return model.Request(
            request_id=request_id,
            method=method,
            target=target,
            host=by_name.get('host', '').lower(),
            headers=_forwarded_headers(by_name, headers),
            body=body,
            key=by_name.get(KEY_HEADER),
            deadline=now + deadline_ms / MS_PER_S,
            received=now,
            program_id=identifiers.short_id(by_name.get('program-id', '')),
            session_id=identifiers.short_id(by_name.get('session-id', '')),
            token_budget=int(_number_header(by_name, 'token-budget', 0))
            if budget is not None
            else None,
            max_tokens=_parse_count(tokens) if _is_count(tokens) else 0,
            prompt=_parse_prompt(by_name.get('prompt-prefix', '')),
            previous_turn=identifiers.short_id(
                by_name.get('previous-turn', '')
            )
            or None,
            last_event_id=by_name.get(LAST_EVENT_HEADER),
            resumes=by_name.get(RESUMES_HEADER) or None,
            affinity_key=_affinity_key(headers),
            finish_s=_optional_s(by_name.get(FINISH_HEADER)),
        )

    def request_id(self, headers: Headers) -> str:
        """Returns the id of a caller's request, empty if it has none."""
        return _last_value(headers, REQUEST_ID_HEADER)

    def key(self, headers: Headers) -> str:
        """Returns the key of a caller's request, empty if it has none."""
        return _last_value(headers, KEY_HEADER)

    def upstream_headers(
        self,
        request: model.Request,
        upstream: model.UpstreamEntry,
        account: model.ClientAccount | None,
        remaining_s: float,
        last_event_id: str | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers of the request to the upstream."""
        headers = list(request.headers)
        headers.append(
            (DEADLINE_HEADER, str(max(int(remaining_s * MS_PER_S), 1)))
        )
        headers.append((EXPECT_UPSTREAM_HEADER, upstream.upstream_id))
        if account is not None:
            headers.append((ACCOUNT_HEADER, account.name))
        if last_event_id is not None:
            headers.append((LAST_EVENT_HEADER, last_event_id))
        return headers

    def decode_upstream_head(
        self, status: int, headers: Headers, *, is_framed: bool
    ) -> ports.UpstreamHead:
        """Decodes the head of an upstream's response."""
        by_name = {name.lower(): value for name, value in headers}
        dropped = _connection_options(by_name) | _HOP_BY_HOP
        return ports.UpstreamHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ),
            request_id=by_name.get(REQUEST_ID_HEADER),
            not_run=NOT_RUN_HEADER in by_name or status == 421,
            sealed=SEAL_HEADER in by_name,
            is_event_stream=by_name.get('content-type', STREAM_TYPE)
            .lower()
            .startswith(STREAM_TYPE),
            is_framed=is_framed,
            rate_limit_per_s=_parse_number(
                by_name.get(RATE_LIMIT_HEADER), bounds.MAX_PER_S
            ),
            cold_s=_parse_seconds(by_name.get(COLD_HEADER)),
        )

    def says_leaving(self, headers: Headers) -> bool:
        """Returns whether an upstream says in an answer that it leaves."""
        return any(
            name.lower() == LEAVING_HEADER and value.strip() == LEAVING_VALUE
            for name, value in headers
        )

    def decode_report(self, body: bytes) -> int | None:
        """Decodes when an upstream started, from its report."""
        return operator.decode_report(body)

    def refusal_headers(
        self, request_id: str | None, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Returns the headers of a response that the gateway generates."""
        headers = []
        if request_id is not None:
            headers.append((REQUEST_ID_HEADER, request_id))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER_HEADER, f'{retry_after_s:.2f}'))
        return headers

    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes a configuration; raises ResultError CONFIG_INVALID."""
        return operator.decode_configuration(value)

    def decode_upstream_entry(
        self, upstream_id: str, value: bytes
    ) -> model.UpstreamEntry | None:
        """Decodes an upstream's entry; None if it names no upstream."""
        return operator.decode_upstream_entry(upstream_id, value)


def _last_value(headers: Headers, name: str) -> str:
    """Returns the last value of a header, empty if there is none."""
    by_name = {each.lower(): value for each, value in headers}
    return by_name.get(name, '')


def _number_header(
    by_name: dict[str, str], name: str, default: float
) -> float:
    text = by_name.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError as error:
        raise errors.ResultError(
            codes.BAD_REQUEST, f'{name} is not a number'
        ) from error
    # Also false for NaN.
    if not 0 <= number < 10**MAX_DIGITS:
        raise errors.ResultError(codes.BAD_REQUEST, f'{name} is out of range')
    return number


def _optional_s(text: str | None) -> float | None:
    """Returns the seconds of a header; None if it is missing or unusable."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    # Also false for NaN.
    return number / MS_PER_S if 0 <= number < 10**MAX_DIGITS else None


def _is_count(text: str) -> bool:
    """Returns whether a text has decimal digits only."""
    return text.isascii() and text.isdigit()


def _parse_count(text: str) -> int:
    """Returns the number of some decimal digits; raises ResultError."""
    digits = text.lstrip('0')
    if len(digits) > MAX_DIGITS:
        raise errors.ResultError(codes.BAD_REQUEST, 'a number is too large')
    return int(digits or '0')


def _forwarded_headers(
    by_name: dict[str, str], headers: Headers
) -> tuple[tuple[str, str], ...]:
    dropped = _connection_options(by_name) | _HOP_BY_HOP | _GATEWAY_ONLY
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _connection_options(by_name: dict[str, str]) -> frozenset[str]:
    """Returns the header names listed in the Connection header.

    Headers that identify a message are left out, so that a peer cannot
    make the gateway drop them.
    """
    options = by_name.get('connection', '').lower().split(',')
    return frozenset(one.strip() for one in options) - _NEVER_DROPPED


def _parse_number(text: str | None, most: float) -> float | None:
    """Returns a number; None if it is missing or is not a usable one."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    # Also false for NaN.
    return number if 0 <= number <= most else None


def _parse_seconds(text: str | None) -> float | None:
    """Returns the seconds of a number of milliseconds, if it is usable."""
    number = _parse_number(text, bounds.MAX_MS)
    return number / MS_PER_S if number is not None else None


def _affinity_key(headers: Headers) -> str | None:
    """Returns the affinity cookie's value, read as browsers' servers do."""
    lines = [value for name, value in headers if name.lower() == 'cookie']
    if not lines:
        return None
    value = httputil.parse_cookie('; '.join(lines)).get(AFFINITY_COOKIE, '')
    if not 0 < len(value) <= MAX_AFFINITY_LENGTH:
        return None
    return value


def _parse_prompt(text: str) -> tuple[model.PromptPart, ...]:
    entries = text.split(',', MAX_PROMPT_PARTS)
    rest = entries.pop() if len(entries) > MAX_PROMPT_PARTS else ''
    parts = []
    for entry in entries:
        part_id, _, tokens = entry.strip().partition(':')
        if part_id and _is_count(tokens):
            parts.append(
                model.PromptPart(
                    part_id=identifiers.short_id(part_id),
                    tokens=_parse_count(tokens),
                )
            )
    if rest:
        tokens_left = sum(map(int, _PART_TOKENS.findall(rest)))
        parts.append(
            model.PromptPart(
                part_id=identifiers.short_id(rest), tokens=tokens_left
            )
        )
    return tuple(parts)
