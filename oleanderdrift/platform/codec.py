"""Decodes requests and answers on the wire, and encodes their headers."""

import collections.abc
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.platform import operator

MS_PER_S: typing.Final = 1_000.0
# A request that names no time to wait gets the longest that is usual.
DEFAULT_WAIT_S: typing.Final = 30.0
REQUEST_ID: typing.Final = 'attempt-id'
KEY: typing.Final = 'credential'
DEADLINE: typing.Final = 'deadline-ms'
# Proof that an answer is the upstream's own.
SEAL: typing.Final = 'response-seal'
NOT_RUN: typing.Final = 'not-executed'
EXPECT_UPSTREAM: typing.Final = 'expect-instance'
ACCOUNT: typing.Final = 'tenant'
LAST_EVENT: typing.Final = 'last-event-id'
RETRY_AFTER: typing.Final = 'retry-after'
_PER_CONNECTION: typing.Final = frozenset(
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
_KEPT: typing.Final = frozenset(('host', REQUEST_ID, SEAL))
# Set by the gateway alone, whatever the caller sent.
_OURS: typing.Final = frozenset(
    (
        KEY,
        DEADLINE,
        EXPECT_UPSTREAM,
        ACCOUNT,
        LAST_EVENT,
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
    upstreams_topic = 'servers'

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        now: float,
    ) -> model.Request:
        """Decodes a caller's request; raises ResultError BAD_REQUEST."""
        named = {name.lower(): value for name, value in headers}
        request_id = named.get(REQUEST_ID, '')
        if not request_id:
            raise errors.ResultError(
                codes.BAD_REQUEST, 'the request has no id'
            )
        wait_ms = _number(named, DEADLINE, DEFAULT_WAIT_S * MS_PER_S)
        tokens = named.get('token-count', '').partition(',')[2]
        budget = named.get('token-budget')
        return model.Request(
            request_id=request_id,
            method=method,
            target=target,
            host=named.get('host', '').lower(),
            headers=_forwarded(named, headers),
            body=body,
            key=named.get(KEY),
            deadline=now + wait_ms / MS_PER_S,
            received=now,
            program_id=named.get('program-id', ''),
            session_id=named.get('session-id', ''),
            token_budget=int(_number(named, 'token-budget', 0))
            if budget is not None
            else None,
            max_tokens=int(tokens) if tokens.strip().isdigit() else 0,
            prompt=_prompt(named.get('prompt-prefix', '')),
            previous_turn=named.get('previous-turn') or None,
            last_event_id=named.get(LAST_EVENT),
        )

    def upstream_headers(
        self,
        request: model.Request,
        upstream: model.UpstreamEntry,
        account: model.ClientAccount | None,
        left_s: float,
        last_event_id: str | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers of the request to the upstream."""
        headers = list(request.headers)
        headers.append((DEADLINE, str(max(int(left_s * MS_PER_S), 1))))
        headers.append((EXPECT_UPSTREAM, upstream.upstream_id))
        if account is not None:
            headers.append((ACCOUNT, account.name))
        if last_event_id is not None:
            headers.append((LAST_EVENT, last_event_id))
        return headers

    def decode_upstream_head(
        self, status: int, headers: Headers
    ) -> ports.UpstreamHead:
        """Decodes the head of an upstream's answer."""
        named = {name.lower(): value for name, value in headers}
        dropped = _named_by_connection(named) | _PER_CONNECTION
        return ports.UpstreamHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ),
            request_id=named.get(REQUEST_ID),
            not_run=NOT_RUN in named or status == 421,
            sealed=SEAL in named,
        )

    def refusal_headers(
        self, request_id: str | None, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer of the gateway's own."""
        headers = []
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, f'{retry_after_s:.2f}'))
        return headers

    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes a configuration; raises ResultError CONFIG_INVALID."""
        return operator.decode_configuration(value)

    def decode_upstream_entry(
        self, upstream_id: str, value: bytes
    ) -> model.UpstreamEntry | None:
        """Decodes an upstream's entry; None where it names none."""
        return operator.decode_upstream_entry(upstream_id, value)


def _number(named: dict[str, str], name: str, default: float) -> float:
    text = named.get(name)
    if text is None:
        return default
    try:
        found = float(text)
    except ValueError as error:
        raise errors.ResultError(
            codes.BAD_REQUEST, f'{name} is not a number'
        ) from error
    # Also false for NaN.
    if not 0 <= found < 1e9:
        raise errors.ResultError(codes.BAD_REQUEST, f'{name} is out of range')
    return found


def _forwarded(
    named: dict[str, str], headers: Headers
) -> tuple[tuple[str, str], ...]:
    dropped = _named_by_connection(named) | _PER_CONNECTION | _OURS
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _named_by_connection(named: dict[str, str]) -> frozenset[str]:
    """Returns the headers that concern this connection only.

    A peer cannot have those dropped that say what a message is.
    """
    listed = named.get('connection', '').lower().split(',')
    return frozenset(one.strip() for one in listed) - _KEPT


def _prompt(text: str) -> tuple[model.PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id and tokens.isdigit():
            parts.append(model.PromptPart(part_id=part_id, tokens=int(tokens)))
    return tuple(parts)
