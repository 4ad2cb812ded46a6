"""The check of the platform's configuration, and its command."""

import json
import pathlib
import typing

import pytest
from typer import testing

from oleanderdrift import cli
from oleanderdrift import json_lines
from oleanderdrift.platform import config_file

ROUTE: typing.Final = {
    'Name': 'a',
    'Host': 'h',
    'PathPrefix': '/a/',
    'Kind': 'idempotent',
    'Service': 's',
}
TENANT: typing.Final = {'Name': 't', 'ApiKeys': ['secret'], 'RatePerS': 0}
OTHER: typing.Final = {**TENANT, 'Name': 'o', 'ApiKeys': ['secret', 'k']}
NO_SPLIT: typing.Final = [{'Service': 's', 'Weight': 0}]


def text(**changes: typing.Any) -> str:
    """Returns a sound configuration with changes; a value on each line."""
    config = {
        'Version': 3,
        'Routes': [ROUTE],
        'Services': [{'Name': 's', 'Unknown': '"}\\'}],
        'Tenants': [TENANT],
    }
    return json.dumps({**config, **changes}, indent=1)


def route(**changes: typing.Any) -> dict[str, typing.Any]:
    """Returns two routes, the second with changes."""
    second = {**ROUTE, 'Name': 'b', 'PathPrefix': '/b/', **changes}
    return {'Routes': [ROUTE, second]}


def tenant(**changes: typing.Any) -> dict[str, typing.Any]:
    """Returns one account with changes."""
    return {'Tenants': [{**TENANT, **changes}]}


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, []),
        (route(PathPrefix='/a/', Host='H'), ['11: never matches: route 0']),
        # The longest prefix is chosen, wherever it stands.
        (route(PathPrefix='/'), []),
        (route(Host='other', PathPrefix='/a/'), []),
        (route(PathPrefix='a'), ['11: never matches: its prefix does']),
        (route(PathPrefix='/?a'), ['11: never matches: paths']),
        (route(Service='x'), ["11: leads to 'x'"]),
        (route(Split=NO_SPLIT), ["11: 's' has weight 0"]),
        (route(TimeoutMs=30_001), ['11: its timeout of 30.001 s']),
        (route(TimeoutMs=900), ['11: its target of 1 s']),
        (
            {'Services': [{'Name': 's'}, {'Name': 's'}, {'Name': 'x'}]},
            ['16: another', "19: no route leads to 'x'"],
        ),
        (tenant(ApiKeys=[]), ["19: 't' has no keys"]),
        (tenant(RatePerS=1, Burst=0.5), ["19: 't' has a burst of 0.5"]),
        ({'Tenants': [TENANT, OTHER]}, ["19: 1 keys of 't'"]),
        (route(AllowedRegions=['eu', 'mars']), ['11: no data centre is in']),
        (tenant(AllowedRegions=['mars']), ['19: no data centre is in']),
        (
            {**route(AllowedRegions=['eu']), **tenant(AllowedRegions=['us'])},
            ['11: no account may reach'],
        ),
    ],
)
def test_warnings_name_the_line_and_what_is_in_vain(
    changes: dict[str, typing.Any], expected: list[str]
) -> None:
    report = config_file.check(
        text(**changes).encode(), known_regions=frozenset(('eu', 'us'))
    )
    assert len(report.results) == len(expected)
    for one, start in zip(report.results, expected, strict=True):
        line, _, message = start.partition(': ')
        assert message in one.text and one.line == int(line)
        assert one.code == 0 and 'secret' not in one.text


@pytest.mark.parametrize(
    ('value', 'lines'),
    [
        (text(Version=-1), [2]),
        (text(**route(TimeoutMs='x'), **tenant(Burst=-1e300)), [17, 33]),
        (text().replace('"h"', 'h'), [6]),
        (text()[:-1], [27]),
        ('{"x": ' + '[' * 5_000 + ']' * 5_000 + '}', [1]),
        ('[]', [1]),
        ('', [1]),
    ],
)
def test_each_error_has_its_line_and_code(
    value: str, lines: list[int]
) -> None:
    report = config_file.check(value.encode())
    assert [(one.line, one.code) for one in report.results] == [
        (line, 6002) for line in lines
    ]


def test_lines_are_found_in_any_layout() -> None:
    value = '{"a\\"]":[1,\n{"b" :"},\\\\"}\n], "c":{},"d":[\n[]],"e":-1e9}'
    lines = json_lines.lines_of(value)
    paths = [('a"]', 1, 'b'), ('c',), ('d', 0), ('e',)]
    assert [lines[path] for path in paths] == [2, 3, 4, 4]
    assert json_lines.nearest(lines, ('d', 0, 'gone')) == 4


@pytest.mark.parametrize(
    ('old', 'new', 'code', 'expected'),
    [
        ({}, {'Version': 4}, 0, []),
        ({}, {}, 1, []),
        (
            tenant(ApiKeys=['k1', 'k2']),
            {'Version': 4, **tenant(ApiKeys=['k2', 'k3', 'k4'], Burst=8)},
            0,
            ['account t: burst 0 -> 8, keys +2-1'],
        ),
        (
            {'Services': [{'Name': 's'}, {'Name': 'old'}]},
            {'Version': 4, **route(AllowedRegions=['x'], TimeoutMs=9)},
            5,
            ['route b: added', 'service old: removed'],
        ),
    ],
)
def test_command_shows_differences_and_exits_by_what_it_found(
    tmp_path: pathlib.Path,
    old: dict[str, typing.Any],
    new: dict[str, typing.Any],
    code: int,
    expected: list[str],
) -> None:
    paths = [tmp_path / 'old.json', tmp_path / 'new']
    for path, changes in zip(paths, (old, new), strict=True):
        path.write_text(text(**changes))
    words = ['config', 'check', str(paths[1]), '--in-force', str(paths[0])]
    runner = testing.CliRunner()
    result = runner.invoke(cli.app, words)
    assert result.exit_code == code, result.output
    lines = result.output.splitlines()
    assert [one for one in lines if 'new:' not in one] == expected
    result = runner.invoke(cli.app, [*words, '--json'])
    assert result.exit_code == code
    found = json.loads(result.output)
    assert len(found['differences']) == len(expected)
    severities = {one['severity'] for one in found['findings']}
    assert severities == {1: {'error'}, 5: {'warning'}}.get(code, set())
