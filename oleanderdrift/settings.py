"""Settings of one instance, read from a TOML file and validated.

load() reports all faults at once, each with its key, the value found
and the values allowed.  An unknown key is a fault; its report suggests
the closest known name.
"""

import difflib
import ipaddress
import pathlib
import re
import tomllib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors

_NAME: typing.Final = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
MAX_PORT: typing.Final = 65_535


@attrs.frozen(kw_only=True)
class Constraint:
    """Constrains a setting: a pattern for text, bounds for numbers.

    text describes the allowed values in messages.
    """

    text: str
    low: float = 0
    high: float = float('inf')
    pattern: re.Pattern[str] | None = None
    is_ip_address: bool = False


def _setting(constraint: Constraint, **default: typing.Any) -> typing.Any:
    return attrs.field(metadata={'constraint': constraint}, **default)


def _name() -> typing.Any:
    return _setting(
        Constraint(
            text='lower-case letters, digits and hyphens, up to 63',
            pattern=_NAME,
        )
    )


def _url() -> typing.Any:
    return _setting(
        Constraint(
            text='an http:// or https:// address',
            pattern=re.compile(r'https?://[^\s/]+(/\S*)?'),
        )
    )


def _port() -> typing.Any:
    return _setting(Constraint(text='0 to 65535', low=0, high=MAX_PORT))


def _number(default: float, low: float, high: float) -> typing.Any:
    text = f'{low:g} to {high:g}'
    return _setting(Constraint(text=text, low=low, high=high), default=default)


@attrs.frozen(kw_only=True)
class Instance:
    """The identity and the listening addresses of this process."""

    name: str = _name()
    data_centre: str = _name()
    address: str = _setting(
        Constraint(text='an IP address', is_ip_address=True)
    )
    http_port: int = _port()
    peer_port: int = _port()


@attrs.frozen(kw_only=True)
class Platform:
    """How to reach the platform's log service and instance list."""

    log_url: str = _url()
    list_url: str = _url()
    timeout_s: float = _number(2.0, 0.1, 30)
    list_interval_s: float = _number(1.0, 0.1, 60)
    log_retention_s: float = _number(86_400.0, 60, 31_536_000)


@attrs.frozen(kw_only=True)
class Limits:
    """Size, time and stream limits on clients, upstreams and shutdown."""

    body_bytes: int = _number(8_388_608, 1_024, 1_073_741_824)
    receive_timeout_s: float = _number(20.0, 0.5, 600)
    queue_timeout_s: float = _number(30.0, 0.1, 3_600)
    connect_timeout_s: float = _number(1.0, 0.05, 30)
    upstream_silence_s: float = _number(30.0, 0.5, 3_600)
    shutdown_s: float = _number(120.0, 0, 3_600)
    drain_grace_s: float = _number(3.0, 0, 600)
    client_streams: int = _number(2_000, 1, 100_000)


@attrs.frozen(kw_only=True)
class Fleet:
    """Timing of the protocols between instances."""

    lease_s: float = _number(20.0, 1, 600)
    key_grace_s: float = _number(3_600.0, 1, 86_400)
    commit_interval_s: float = _number(0.02, 0, 5)
    peer_timeout_s: float = _number(2.0, 0.1, 60)


@attrs.frozen(kw_only=True)
class Operators:
    """Who may read the status and withdraw keys without the log."""

    token_sha256: str = _setting(
        Constraint(
            text='the SHA-256 of the operator token, 64 hex digits, or empty',
            pattern=re.compile(r'([0-9a-f]{64})?'),
        ),
        default='',
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one instance."""

    instance: Instance
    platform: Platform
    limits: Limits = attrs.field(factory=Limits)
    fleet: Fleet = attrs.field(factory=Fleet)
    operators: Operators = attrs.field(factory=Operators)


_Table: typing.TypeAlias = dict[str, typing.Any]


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises ResultError SETTINGS_INVALID, with one line of detail for each
    fault.
    """
    try:
        table = tomllib.loads(path.read_text('utf-8'))
    except OSError as error:
        raise _invalid(path, [f'cannot be read: {error.strerror}']) from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise _invalid(path, [f'is not TOML: {error}']) from error
    faults: list[str] = []
    sections = _build_sections(table, faults)
    if faults:
        raise _invalid(path, faults)
    return Settings(**sections)


def _invalid(path: pathlib.Path, faults: list[str]) -> errors.ResultError:
    lines = [f'{path}: {fault}' for fault in faults]
    return errors.ResultError(codes.SETTINGS_INVALID, '\n'.join(lines))


def _build_sections(table: _Table, faults: list[str]) -> _Table:
    section_types: dict[str, typing.Any] = {
        field.name: field.type for field in attrs.fields(Settings)
    }
    _check_unknown('', table, list(section_types), faults)
    sections = {}
    for name, type_ in section_types.items():
        found = table.get(name, {})
        if not isinstance(found, dict):
            faults.append(f'{name}: found {found!r}; allowed: a table')
            continue
        values = _read_values(name, type_, found, faults)
        if not faults:
            sections[name] = type_(**values)
    return sections


def _check_unknown(
    section: str, table: _Table, known: list[str], faults: list[str]
) -> None:
    for key in table:
        if key in known:
            continue
        closest = difflib.get_close_matches(key, known, n=1, cutoff=0)
        hint = f'; nearest is {closest[0]}' if closest else ''
        faults.append(f'{section}{key}: unknown setting{hint}')


def _read_values(
    section: str, type_: typing.Any, table: _Table, faults: list[str]
) -> _Table:
    fields = attrs.fields(type_)
    known = [field.name for field in fields]
    _check_unknown(f'{section}.', table, known, faults)
    values = {}
    for field in fields:
        constraint: Constraint = field.metadata['constraint']
        key = f'{section}.{field.name}'
        if field.name not in table:
            if field.default is attrs.NOTHING:
                faults.append(f'{key}: missing; allowed: {constraint.text}')
            continue
        found = table[field.name]
        if not _is_allowed(found, field.type, constraint):
            faults.append(
                f'{key}: found {found!r}; allowed: {constraint.text}'
            )
        values[field.name] = found
    return values


def _is_allowed(found: object, type_: object, constraint: Constraint) -> bool:
    if type_ is str:
        return isinstance(found, str) and _is_allowed_text(found, constraint)
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    if type_ is int and not isinstance(found, int):
        return False
    return constraint.low <= found <= constraint.high


def _is_allowed_text(found: str, constraint: Constraint) -> bool:
    if constraint.is_ip_address:
        try:
            ipaddress.ip_address(found)
        except ValueError:
            return False
        return True
    return constraint.pattern is None or bool(
        constraint.pattern.fullmatch(found)
    )
