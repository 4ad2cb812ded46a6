"""Decodes the platform's settings file.

Unknown fields are ignored, since the platform adds fields over time.
"""

import functools
import os
import pathlib
import tomllib
import typing

import msgspec

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import bounds as bounds_lib
from oleanderdrift.gateway import settings
from oleanderdrift import logs

PATH_VARIABLE: typing.Final = 'OLEANDERDRIFT_CONFIG'
MS_PER_S: typing.Final = 1_000.0
BYTES_PER_MB: typing.Final = 1_048_576
# A port that exporters commonly use; also set in deploy/system.toml.
METRICS_PORT: typing.Final = 9464
# The port for grants of tokens, after the first of PortRange.
_GRANT_PORT: typing.Final = 2
# A request must not run if it was sent more than RevokeMs after its key was
# revoked, nor to a data centre more than EvacuateMs after the begin of its
# evacuation.  The margin covers the time a request takes to the upstream.
_MARGIN_S: typing.Final = 0.5
# The store is read every half a second; a shorter time would refuse always.
_MIN_EVACUATE_S: typing.Final = 1.0


class _Listen(msgspec.Struct):
    Front: str
    ReadyAddr: str


class _Bounds(msgspec.Struct):
    RevokeMs: float = 5_000
    EvacuateMs: float | None = None
    GraceS: float = 8
    DrainMs: float = 2_000


class _Limits(msgspec.Struct):
    # The share of one core, and how many times as fast that core is.
    CpuShare: float = 1.0
    Cores: float = 1.0
    MemoryMb: float = 180
    LinkMbps: float = 1_000
    # Zero or less: the limit of the process alone holds.
    MaxFds: float = 0


class _Platform(msgspec.Struct):
    Address: str
    parts: int = 12
    RecordBytes: int = 262_144
    WritesPerS: float = 800
    # How long the store retains records, not how long turns are retained.
    RetainS: float = 300


class _File(msgspec.Struct):
    # The machine's name, also used as the instance's name.
    Node: str
    Ip: str
    Zone: str
    PortRange: tuple[int, int]
    Listen: _Listen
    Platform: _Platform
    Bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    # Checked apart: what is wrong here leaves a data centre without a region,
    # but must not keep the instance from starting.
    Region: typing.Any = ''
    Zones: typing.Any = msgspec.field(default_factory=dict)


def path() -> pathlib.Path:
    """Returns the path of the settings file from the environment."""
    value = os.environ.get(PATH_VARIABLE)
    if value is None:
        raise errors.ResultError(
            codes.SETTINGS_INVALID, f'{PATH_VARIABLE} is not set'
        )
    return pathlib.Path(value)


def load(file: pathlib.Path) -> settings.GatewaySettings:
    """Reads a settings file; raises ResultError SETTINGS_INVALID."""
    try:
        return decode(file.read_bytes())
    except OSError as error:
        raise errors.ResultError(codes.SETTINGS_INVALID, str(error)) from error


# Cached, because the file is read once a second but hardly ever changes.
@functools.lru_cache(maxsize=1)
def decode(text: bytes) -> settings.GatewaySettings:
    """Decodes the file's text; raises ResultError SETTINGS_INVALID."""
    try:
        table = tomllib.loads(text.decode())
        file_settings = msgspec.convert(table, _File)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.ResultError(codes.SETTINGS_INVALID, str(error)) from error
    bounds = file_settings.Bounds
    first_port, last_port = file_settings.PortRange
    grant_port = first_port + _GRANT_PORT
    limits = file_settings.Limits
    return settings.GatewaySettings(
        instance=file_settings.Node,
        data_centre=file_settings.Zone,
        listen=file_settings.Listen.Front,
        ready_listen=file_settings.Listen.ReadyAddr,
        peer_listen=f'{file_settings.Ip}:{file_settings.PortRange[0]}',
        tunnel_listen=f'{file_settings.Ip}:{file_settings.PortRange[0] + 1}',
        metrics_listen=f'{file_settings.Ip}:{METRICS_PORT}',
        store=file_settings.Platform.Address,
        store_partitions=file_settings.Platform.parts,
        store_record_bytes=file_settings.Platform.RecordBytes,
        store_writes_per_s=max(file_settings.Platform.WritesPerS, 1.0),
        key_grace_s=bounds.RevokeMs / MS_PER_S - _MARGIN_S,
        evacuate_s=(
            max(bounds.EvacuateMs / MS_PER_S - _MARGIN_S, _MIN_EVACUATE_S)
            if bounds.EvacuateMs is not None
            else None
        ),
        stop_s=bounds.GraceS,
        upstream_drain_s=bounds.DrainMs / MS_PER_S,
        cores=limits.CpuShare * limits.Cores,
        memory_bytes=int(limits.MemoryMb * BYTES_PER_MB),
        link_mbps=limits.LinkMbps,
        turn_retention_s=file_settings.Platform.RetainS,
        grant_listen=f'{file_settings.Ip}:{grant_port}'
        if grant_port <= last_port
        else '',
        region=file_settings.Region if _is_text(file_settings.Region) else '',
        regions_by_data_centre=_regions(
            file_settings.Zones, file_settings.Region
        ),
        max_descriptors=_count(limits.MaxFds),
    )


def _is_text(value: object) -> bool:
    return (
        isinstance(value, str) and 0 < len(value) <= bounds_lib.MAX_TEXT_LENGTH
    )


def _regions(zones: object, region: object) -> dict[str, str]:
    """Returns the regions of data centres; logs what is left out."""
    table = zones if isinstance(zones, dict) else {}
    regions = {name: each for name, each in table.items() if _is_text(each)}
    ignored = sorted(table.keys() - regions.keys())
    if not isinstance(zones, dict):
        ignored.append('Zones')
    if region != '' and not _is_text(region):
        ignored.append('Region')
    if ignored:
        logs.info('settings-ignored', names=','.join(ignored))
    return regions


def _count(value: float) -> int:
    """Returns a count from the file; 0 if it is none."""
    return int(value) if 0 < value <= bounds_lib.MAX_COUNT else 0
