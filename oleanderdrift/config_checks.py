"""Validates configuration changes.

The checks depend only on the change and the configuration before it, so
every reader of the log finds the same faults.
"""

import math
import re
import typing
import urllib.parse

import attrs
import msgspec

from oleanderdrift import decoding
from oleanderdrift import messages
from oleanderdrift import model

MAX_NAME_LENGTH: typing.Final = 128
_NAME: typing.Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]*')
_SHA256_HEX: typing.Final = re.compile(r'[0-9a-f]{64}')
_FIELDS: typing.Final = {
    kind: frozenset(field.name for field in attrs.fields(type_))
    for kind, type_ in model.TYPES.items()
}


class InvalidChange(ValueError):
    """A change is refused; the message says why."""


def validate_change(
    config: model.Config,
    kind: model.Kind,
    change: messages.ConfigChange,
    before: model.ConfigObject | None,
) -> model.ConfigObject | None:
    """Returns the object that a change sets, or None if it deletes one.

    Raises InvalidChange for a fault in the body or a broken reference.
    """
    if change.body is None:
        if before is None:
            raise InvalidChange(f'there is no {kind} {change.name}')
        _check_unused(config, before)
        return None
    after = parse_object(kind, change.name, change.body)
    _check_references(config, after)
    return after


def parse_object(
    kind: model.Kind, name: str, body: bytes
) -> model.ConfigObject:
    """Parses a JSON body and validates the object's own fields.

    References to other objects are not checked.  Raises InvalidChange.
    """
    check_name('name', name)
    try:
        values = msgspec.json.decode(body, type=dict[str, typing.Any])
    except decoding.DECODE_ERRORS as error:
        raise InvalidChange(f'the body is not a JSON object: {error}')
    unknown = sorted(values.keys() - _FIELDS[kind])
    if unknown:
        allowed = ', '.join(sorted(_FIELDS[kind]))
        raise InvalidChange(
            f'unknown field {", ".join(unknown)}; allowed: {allowed}'
        )
    try:
        item: model.ConfigObject = msgspec.convert(
            values, type=model.TYPES[kind]
        )
    except msgspec.ValidationError as error:
        raise InvalidChange(str(error))
    if item.name != name:
        raise InvalidChange(f'the body names {item.name!r}, not {name!r}')
    _check_values(item)
    return item


def check_name(what: str, name: str) -> None:
    """Raises InvalidChange unless name is a valid object name."""
    if len(name) > MAX_NAME_LENGTH or not _NAME.fullmatch(name):
        raise InvalidChange(
            f'{what} {name[:MAX_NAME_LENGTH]!r} must be letters, digits '
            f'and . _ : / - (at most {MAX_NAME_LENGTH}, a letter or digit '
            'first)'
        )


def _check_values(item: model.ConfigObject) -> None:
    match item:
        case model.ClientAccount():
            _check_positive('rate_per_s', item.rate_per_s)
            _check_positive('burst', item.burst)
        case model.ApiKey():
            if not _SHA256_HEX.fullmatch(item.sha256):
                raise InvalidChange('sha256 must be 64 lower-case hex digits')
        case model.ProgramClass():
            _check_positive('target_s', item.target_s)
            _check_positive('max_calls', item.max_calls)
            _check_positive('max_tokens', item.max_tokens)
            _check_positive('max_duration_s', item.max_duration_s)
        case model.Route():
            if not item.prefix.startswith('/') or '?' in item.prefix:
                raise InvalidChange('prefix must be a path that starts with /')
        case model.Upstream():
            check_name('data_centre', item.data_centre)
            _check_url(item.url)
            if not item.models and not item.tools:
                raise InvalidChange('an upstream needs a model or a tool')
        case _:
            pass


def _check_positive(field: str, value: float) -> None:
    if not (value > 0 and math.isfinite(value)):
        raise InvalidChange(f'{field} is {value}; it must be above 0')


def _check_url(url: str) -> None:
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as error:
        raise InvalidChange(f'url {url!r}: {error}')
    plain = not (parts.query or parts.fragment or '@' in parts.netloc)
    if (
        parts.scheme not in ('http', 'https')
        or not parts.hostname
        or port == 0
        or not plain
        or any(char.isspace() for char in url)
    ):
        raise InvalidChange(
            f'url {url!r} must be like http://10.0.0.7:8000, without user, '
            'query or fragment'
        )


def _check_references(config: model.Config, item: model.ConfigObject) -> None:
    match item:
        case model.ApiKey():
            _check_exists(config.accounts, 'account', item.client_account)
            other = config.keys.get(item.sha256)
            if other is not None and other.name != item.name:
                raise InvalidChange(f'key {other.name} has the same sha256')
        case model.Tool():
            _check_open_routes(config, item)
        case model.Route():
            _check_exists(config.tools, 'tool', item.tool)
            _check_route(config, item)
        case model.Upstream():
            for name in item.models:
                _check_exists(config.models, 'model', name)
            for name in item.tools:
                _check_exists(config.tools, 'tool', name)
        case _:
            pass


def _check_exists(
    index: typing.Mapping[str, model.ConfigObject], what: str, name: str
) -> None:
    if name not in index:
        raise InvalidChange(f'there is no {what} {name}')


def _check_open_routes(config: model.Config, tool: model.Tool) -> None:
    for route in config.routes.values():
        if route.tool == tool.name and route.open_to_all:
            _check_open_to_all(route, tool)


def _check_route(config: model.Config, route: model.Route) -> None:
    if route.open_to_all:
        _check_open_to_all(route, config.tools[route.tool])
    for other in config.routes.values():
        same = other.prefix.rstrip('/') == route.prefix.rstrip('/')
        if same and other.name != route.name:
            raise InvalidChange(f'route {other.name} has the same prefix')


def _check_open_to_all(route: model.Route, tool: model.Tool) -> None:
    if not tool.idempotent:
        raise InvalidChange(
            f'route {route.name} is open to all, but tool {tool.name} is '
            'not idempotent and needs a program, hence a key'
        )


def _check_unused(config: model.Config, item: model.ConfigObject) -> None:
    users: list[str] = []
    match item:
        case model.ClientAccount():
            users += [
                f'key {key.name}'
                for key in config.keys.values()
                if key.client_account == item.name
            ]
        case model.Model():
            users += [
                f'upstream {upstream.name}'
                for upstream in config.upstreams.values()
                if item.name in upstream.models
            ]
        case model.Tool():
            users += [
                f'route {route.name}'
                for route in config.routes.values()
                if route.tool == item.name
            ]
            users += [
                f'upstream {upstream.name}'
                for upstream in config.upstreams.values()
                if item.name in upstream.tools
            ]
        case _:
            pass
    if users:
        raise InvalidChange(f'{item.name} is used by {", ".join(users[:5])}')
