"""The operators' command line.

Configuration commands use the platform's log directly, so they work
whichever instances are up.  A change is reported as accepted or refused
only after it was read back from the log.
"""

import asyncio
import importlib
import importlib.metadata
import pathlib
import typing

import typer

from oleanderdrift import cli_accounts
from oleanderdrift import cli_common
from oleanderdrift import cli_config
from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import instance_client

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    # A traceback with local variables would show keys.
    pretty_exceptions_enable=False,
    help='Runs and configures the scheduler for agent programs.',
    epilog=cli_common.EXIT_CODES,
)
app.add_typer(cli_config.app, name='config')
app.add_typer(cli_accounts.account_app, name='account')
app.add_typer(cli_accounts.key_app, name='key')


def main() -> None:
    """Runs the command line; the entry point of the package."""
    app()


@app.command()
def status(
    instance: cli_common.InstanceOption,
    token: cli_common.TokenOption = '',
    as_json: cli_common.JsonOption = False,
) -> None:
    """Shows what one instance sees: the fleet, upstreams and classes."""
    try:
        found = asyncio.run(instance_client.read_status(instance, token))
    except errors.ResultError as error:
        raise cli_common.report_error(error)
    if as_json:
        cli_common.print_json(found)
        return
    plain = [
        (field, value)
        for field, value in found.items()
        if not isinstance(value, list)
    ]
    cli_common.print_table(('field', 'value'), plain, False)
    for field, value in found.items():
        if isinstance(value, list):
            typer.echo(f'\n{field}')
            print_objects(value)


def print_objects(values: list[typing.Any]) -> None:
    """Prints objects with the same fields as a table."""
    if not values:
        typer.echo('none')
        return
    fields = sorted(values[0], key=lambda field: field != 'name')
    rows = [tuple(value[field] for field in fields) for value in values]
    cli_common.print_table(tuple(fields), rows, False)


@app.command()
def explain(
    code: typing.Annotated[
        str, typer.Argument(help='Number or name; all codes if left out.')
    ] = '',
    as_json: cli_common.JsonOption = False,
    as_markdown: typing.Annotated[
        bool, typer.Option('--markdown', help='Print as docs/CODES.md does.')
    ] = False,
) -> None:
    """Says what a result code means and whether the request was run.

    Execution not-run: no effect, safe to send again.  unknown: it may
    have had an effect.  ran: it had its effect.
    """
    rows = [
        (one.number, one.name, one.status, one.execution, one.help)
        for one in sorted(codes.TABLE.values(), key=lambda one: one.number)
        if code in ('', str(one.number), one.name)
    ]
    if not rows:
        typer.echo(f'There is no code {code}; see docs/CODES.md.', err=True)
        raise typer.Exit(cli_common.EXIT_REFUSED)
    headings = ('code', 'name', 'http_status', 'execution', 'meaning')
    if as_markdown:
        for cells in (headings, ('---',) * len(headings), *rows):
            typer.echo('| ' + ' | '.join(map(str, cells)) + ' |')
        return
    cli_common.print_table(headings, rows, as_json)


@app.command()
def version() -> None:
    """Prints the version."""
    typer.echo(importlib.metadata.version('oleanderdrift'))


@app.command()
def serve(
    settings: typing.Annotated[
        pathlib.Path,
        typer.Option(exists=True, dir_okay=False, help='A TOML file.'),
    ],
) -> None:
    """Runs an instance until SIGTERM."""
    # Imported only here: operators' commands do not need the daemon.
    daemon = importlib.import_module('oleanderdrift.daemon')
    try:
        daemon.run(settings)
    except errors.ResultError as error:
        typer.echo(f'{error.code.number} {error.code.name}', err=True)
        typer.echo(error.detail, err=True)
        raise typer.Exit(cli_common.EXIT_REFUSED) from None


@app.command()
def gateway() -> None:
    """Runs an instance on the users' platform until SIGTERM.

    The platform's environment says where its settings file is.
    """
    run = importlib.import_module('oleanderdrift.platform.run')
    try:
        run.run()
    except errors.ResultError as error:
        typer.echo(f'{error.code.number} {error.code.name}', err=True)
        typer.echo(error.detail, err=True)
        raise typer.Exit(cli_common.EXIT_REFUSED) from None
