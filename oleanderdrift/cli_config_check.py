"""Prints the check of a file with the users' platform's configuration."""

import pathlib
import typing

import typer

from oleanderdrift import cli_common
from oleanderdrift import errors
from oleanderdrift.platform import config_file
from oleanderdrift.platform import settings as settings_lib

InForceOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True,
        dir_okay=False,
        help='The version in force, to show what differs (JSON only).',
    ),
]
SettingsOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True,
        dir_okay=False,
        help="An instance's settings file, for the regions (JSON only).",
    ),
]


def is_platform_file(path: pathlib.Path) -> bool:
    """Returns whether a file is JSON; no TOML begins with a brace."""
    return path.suffix == '.json' or path.read_bytes().lstrip()[:1] == b'{'


def run(
    path: pathlib.Path,
    in_force: pathlib.Path | None,
    settings: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Prints all findings; exits 1 on errors and 5 on warnings only."""
    try:
        regions = None
        if settings is not None:
            known = settings_lib.load(settings).regions_by_data_centre
            regions = frozenset(known.values())
        report = config_file.check(
            path.read_bytes(),
            in_force.read_bytes() if in_force is not None else None,
            regions,
        )
    except errors.ResultError as error:
        raise cli_common.report_error(error)
    print_report(path, report, as_json)
    if report.has_errors():
        raise typer.Exit(cli_common.EXIT_REFUSED)
    if report.results:
        raise typer.Exit(cli_common.EXIT_WARNINGS)


def print_report(
    path: pathlib.Path, report: config_file.Report, as_json: bool
) -> None:
    """Prints a report as lines, or as one JSON document."""
    if as_json:
        cli_common.print_json(
            {
                'findings': [
                    {
                        'file': str(path),
                        'line': one.line,
                        'severity': 'error' if one.code else 'warning',
                        'code': one.code,
                        'text': one.text,
                    }
                    for one in report.results
                ],
                'differences': [
                    {
                        'kind': one.section.value,
                        'name': one.name,
                        'text': one.text,
                    }
                    for one in report.differences
                ],
            }
        )
        return
    for one in report.results:
        kind = f'error {one.code}' if one.code else 'warning'
        typer.echo(f'{path}:{one.line}: {kind}: {one.text}')
    for each in report.differences:
        typer.echo(f'{each.section.value} {each.name}: {each.text}')
