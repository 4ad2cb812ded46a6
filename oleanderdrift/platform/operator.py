"""Decodes the configuration and upstreams' entries in the platform's store.

Operators write the configuration; upstreams write their own entries.
"""

import re
import typing

import attrs
import msgspec

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import config_check
from oleanderdrift.gateway import model

MS_PER_S: typing.Final = 1_000.0
_KINDS: typing.Final = {
    'idempotent': model.RouteKind.IDEMPOTENT,
    'streaming': model.RouteKind.STREAMING,
}
_STATES: typing.Final = {'ready': False, 'draining': True}


class _Split(msgspec.Struct):
    Service: str
    Weight: bounds.Weight


class _Route(msgspec.Struct):
    Host: str
    PathPrefix: str
    Kind: str
    Name: str = ''
    TimeoutMs: bounds.Milliseconds = 30_000
    # A response is worth most within this time; a target, not a limit.
    GoalMs: bounds.Milliseconds = 1_000
    Priority: bounds.Rank = 0
    Service: str | None = None
    Split: list[_Split] | None = None
    Attempts: bounds.Count = 1
    Retain: bool = False
    # How long turns are retained; in the settings file, the same name is
    # how long the store retains records.
    RetainS: bounds.Seconds = 60.0
    Public: bool = False
    Resumable: bool = False
    Sticky: bool = False
    AllowedRegions: list[bounds.Text] | None = None


class _Engine(msgspec.Struct):
    # The number of tokens in one stream event.
    Stride: bounds.Count = 1
    # The tokens that its memory holds; 0 for no limit.
    KvCapacity: bounds.Count = 0


class _Service(msgspec.Struct):
    Name: str
    Engine: _Engine | None = None
    # How long an upstream is slow after its start, and how many requests a
    # second it takes until then.
    ColdStartS: bounds.Seconds = 0
    ColdPerS: bounds.PerSecond = 0


class _Limits(msgspec.Struct):
    HeaderBytes: bounds.Count = 16_384
    MaxBodyBytes: bounds.Count = 4_194_304
    HeaderTimeoutMs: bounds.Milliseconds = 3_000
    IdleTimeoutMs: bounds.Milliseconds = 15_000


class _Tenant(msgspec.Struct):
    # Sent to upstreams in a header.
    Name: bounds.Name
    ApiKeys: list[str] = []
    Priority: bounds.Rank | None = None
    RatePerS: bounds.PerSecond = 0
    Burst: bounds.PerSecond = 0
    AllowedRegions: list[bounds.Text] | None = None


class _Config(msgspec.Struct):
    Version: bounds.Count
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    Service: bounds.Text
    Address: bounds.Text
    Zone: bounds.Text
    Version: bounds.Text
    State: str
    Slots: bounds.Slots
    # How much longer the upstream will be slow after its start.
    ColdLeftMs: bounds.Milliseconds = 0
    born: bounds.Count = 0


class _Report(msgspec.Struct):
    born: int


# The parts with several items, and the types of these.
_ITEMS: typing.Final = {
    'Routes': _Route,
    'Services': _Service,
    'Tenants': _Tenant,
}
_PATH: typing.Final = re.compile(r' - at `\$(.*)`\Z')
_BYTE: typing.Final = re.compile(r'\(byte (\d+)\)')
_CONFIG_DECODER: typing.Final = msgspec.json.Decoder(_Config)
_ENTRY_DECODER: typing.Final = msgspec.json.Decoder(_Entry)
_REPORT_DECODER: typing.Final = msgspec.json.Decoder(_Report)


def decode_configuration(value: bytes) -> model.Configuration:
    """Decodes a configuration; raises ResultError CONFIG_INVALID.

    One that is invalid in a single part is refused as a whole: requests of
    a route that is left out would be refused for good.
    """
    return _to_configuration(_decode(value))


def _decode(value: bytes) -> _Config:
    try:
        return _CONFIG_DECODER.decode(value)
    except decoding.DECODE_ERRORS as error:
        raise errors.ResultError(codes.CONFIG_INVALID, str(error)) from error


def _to_configuration(config: _Config) -> model.Configuration:
    limits = config.Limits
    return model.Configuration(
        version=config.Version,
        routes=tuple(_to_route(route) for route in config.Routes),
        services={one.Name: _to_service(one) for one in config.Services},
        accounts_by_key=_accounts_by_key(config.Tenants),
        limits=model.Limits(
            header_bytes=limits.HeaderBytes,
            body_bytes=limits.MaxBodyBytes,
            header_timeout_s=limits.HeaderTimeoutMs / MS_PER_S,
            idle_timeout_s=limits.IdleTimeoutMs / MS_PER_S,
        ),
    )


def _to_route(route: _Route) -> model.Route:
    if route.Split:
        services = tuple(
            model.WeightedService(service=one.Service, weight=one.Weight)
            for one in route.Split
        )
    else:
        name = route.Service or ''
        services = (model.WeightedService(service=name, weight=1.0),)
    return model.Route(
        name=route.Name,
        host=route.Host.lower(),
        path_prefix=route.PathPrefix,
        # Requests of an unknown kind must not be repeated.
        kind=_KINDS.get(route.Kind, model.RouteKind.NON_IDEMPOTENT),
        timeout_s=route.TimeoutMs / MS_PER_S,
        target_s=route.GoalMs / MS_PER_S,
        priority=route.Priority,
        services=services,
        attempts=max(route.Attempts, 1),
        public=route.Public,
        resumable=route.Resumable,
        retains=route.Retain,
        retention_s=route.RetainS,
        sticky=route.Sticky,
        regions=frozenset(route.AllowedRegions or ()),
    )


def _to_service(service: _Service) -> model.Service:
    engine = service.Engine
    return model.Service(
        name=service.Name,
        tokens_per_event=max(engine.Stride, 1) if engine else 1,
        is_engine=engine is not None,
        cold_start_s=service.ColdStartS,
        cold_per_s=service.ColdPerS,
        memory_tokens=engine.KvCapacity if engine else 0,
    )


def _accounts_by_key(
    tenants: list[_Tenant] | None,
) -> dict[str, model.ClientAccount] | None:
    if tenants is None:
        return None
    accounts = {}
    for tenant in tenants:
        account = _to_account(tenant)
        for key in tenant.ApiKeys:
            accounts[key] = account
    return accounts


def _to_account(tenant: _Tenant) -> model.ClientAccount:
    return model.ClientAccount(
        name=tenant.Name,
        priority=tenant.Priority,
        rate_per_s=tenant.RatePerS,
        burst=tenant.Burst,
        regions=frozenset(tenant.AllowedRegions or ()),
    )


def decode_listed(value: bytes) -> config_check.Listed:
    """Decodes a configuration to be checked; raises ResultError."""
    config = _decode(value)
    return config_check.Listed(
        config=_to_configuration(config),
        services=tuple(one.Name for one in config.Services),
        accounts=tuple(
            (_to_account(one), tuple(one.ApiKeys))
            for one in config.Tenants or ()
        ),
    )


@attrs.frozen(kw_only=True)
class Fault:
    """Why a configuration is invalid, and where: a path or an offset."""

    text: str
    path: str = ''
    offset: int | None = None


def find_faults(value: bytes) -> list[Fault]:
    """Returns why a configuration is invalid, empty if it is not.

    The decoder names the first fault only, so the items are decoded one by
    one if it finds any.
    """
    try:
        _CONFIG_DECODER.decode(value)
        return []
    except decoding.DECODE_ERRORS as error:
        whole = _to_fault(error, '', len(value))
    try:
        tree = msgspec.json.decode(value)
    except decoding.DECODE_ERRORS:
        return [whole]
    if not isinstance(tree, dict):
        return [whole]
    found = []
    for name, kind in _ITEMS.items():
        items = tree.get(name)
        if not isinstance(items, list):
            continue
        for place, item in enumerate(items):
            try:
                msgspec.convert(item, kind)
            except decoding.DECODE_ERRORS as error:
                found.append(_to_fault(error, f'.{name}[{place}]', 0))
        tree[name] = []
    try:
        msgspec.convert(tree, _Config)
    except decoding.DECODE_ERRORS as error:
        found.append(_to_fault(error, '', 0))
    return found or [whole]


def _to_fault(error: Exception, prefix: str, end: int) -> Fault:
    """Returns a decoder's error as a fault of what is at a path.

    One without a path or byte is that of a text that ends too early.
    """
    text = str(error)
    path = _PATH.search(text)
    if path is not None or isinstance(error, msgspec.ValidationError):
        inner = path[1] if path is not None else ''
        return Fault(text=_PATH.sub('', text), path=prefix + inner)
    byte = _BYTE.search(text)
    return Fault(text=text, offset=int(byte[1]) if byte else end)


def decode_upstream_entry(
    upstream_id: str, value: bytes
) -> model.UpstreamEntry | None:
    """Decodes an upstream's entry; None if it is not valid.

    Other programs write to the topic too, so entries may have missing
    fields, wrong types, unknown states, values out of range, ids that no
    header can carry, or undecodable bytes.
    """
    try:
        entry = _ENTRY_DECODER.decode(value)
    except decoding.DECODE_ERRORS:
        return None
    address = bounds.parse_address(entry.Address)
    if address is None or not bounds.is_name(upstream_id):
        return None
    if entry.State not in _STATES or not entry.Service:
        return None
    host, port = address
    return model.UpstreamEntry(
        upstream_id=upstream_id,
        service=entry.Service,
        data_centre=entry.Zone,
        host=host,
        port=port,
        slots=entry.Slots,
        draining=_STATES[entry.State],
        born_ms=entry.born,
        cold_s=entry.ColdLeftMs / MS_PER_S,
        version=entry.Version,
    )


def decode_report(body: bytes) -> int | None:
    """Decodes when an upstream started, None if the report does not say."""
    try:
        return _REPORT_DECODER.decode(body).born
    except decoding.DECODE_ERRORS:
        return None
