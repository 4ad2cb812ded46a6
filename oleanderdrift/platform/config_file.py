"""Checks a file with the platform's configuration."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift.gateway import config_check
from oleanderdrift import json_lines
from oleanderdrift.platform import operator

_SECTIONS: typing.Final = {
    config_check.Section.ROUTE: 'Routes',
    config_check.Section.SERVICE: 'Services',
    config_check.Section.ACCOUNT: 'Tenants',
}


@attrs.frozen(kw_only=True)
class Result:
    """A finding with its line; code is that of an error, 0 for a warning."""

    line: int
    code: int
    text: str


@attrs.frozen(kw_only=True)
class Report:
    """All findings by line, and the differences from another version."""

    results: tuple[Result, ...]
    differences: tuple[config_check.Difference, ...] = ()

    def has_errors(self) -> bool:
        """Returns whether the product would refuse the file."""
        return any(one.code for one in self.results)


def check(
    value: bytes,
    in_force: bytes | None = None,
    known_regions: frozenset[str] | None = None,
) -> Report:
    """Checks a configuration; raises ResultError if in_force is invalid.

    known_regions are those of the data centres, None if not known.
    """
    old = None if in_force is None else operator.decode_listed(in_force)
    faults = operator.find_faults(value)
    if faults:
        results = [_locate(value, one) for one in faults]
        return Report(results=tuple(sorted(results, key=_line)))
    new = operator.decode_listed(value)
    lines = json_lines.lines_of(value.decode())
    results = [
        Result(
            line=json_lines.nearest(
                lines, (_SECTIONS[one.section], one.place)
            ),
            code=0,
            text=f'{one.section.value} {one.place}: {one.text}',
        )
        for one in config_check.check(new, known_regions)
    ]
    if old is None:
        return Report(results=tuple(sorted(results, key=_line)))
    version, known = new.config.version, old.config.version
    if version <= known:
        results.append(
            Result(
                line=json_lines.nearest(lines, ('Version',)),
                code=codes.CONFIG_INVALID.number,
                text=f'version {version} is not above {known}, in force',
            )
        )
    return Report(
        results=tuple(sorted(results, key=_line)),
        differences=tuple(config_check.differences(old, new)),
    )


def _line(result: Result) -> int:
    return result.line


def _locate(value: bytes, fault: operator.Fault) -> Result:
    """Returns a fault of the decoder with its line."""
    if fault.offset is not None:
        line = value.count(b'\n', 0, fault.offset) + 1
    else:
        lines = json_lines.lines_of(value.decode())
        line = json_lines.nearest(lines, json_lines.parse_path(fault.path))
    return Result(line=line, code=codes.CONFIG_INVALID.number, text=fault.text)
