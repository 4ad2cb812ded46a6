"""The commands on the configuration: `oleanderdrift config`."""

import datetime
import pathlib
import tomllib
import typing

import msgspec
import typer

from oleanderdrift import cli_common
from oleanderdrift import cli_config_check
from oleanderdrift import codes
from oleanderdrift import config_admin
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model

app = typer.Typer(
    no_args_is_help=True,
    help='Check, publish and show configuration.',
    epilog=cli_common.EXIT_CODES,
)


def read_file(
    path: pathlib.Path,
) -> dict[tuple[model.Kind, str], model.ConfigObject]:
    """Returns the objects in a file; on faults, prints them and exits 1."""
    try:
        tables = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        report_faults(path, [str(error)])
    found, faults = config_admin.parse_file(tables)
    report_faults(path, faults)
    return found


def report_faults(path: pathlib.Path, faults: list[str]) -> None:
    """Prints the faults and exits 1; returns if there are none."""
    for fault in faults:
        typer.echo(f'{path}: {fault}', err=True)
    if faults:
        raise typer.Exit(cli_common.EXIT_REFUSED)


@app.command('check')
def config_check(
    file: cli_common.FileArgument,
    log: cli_common.OptionalLogOption = '',
    in_force: cli_config_check.InForceOption = None,
    settings: cli_config_check.SettingsOption = None,
    as_json: cli_common.JsonOption = False,
) -> None:
    """Says whether a file could be published; changes nothing.

    With a log, the file is checked against what is in force there.  A file
    of the users' platform (JSON) is also checked for entries that can never
    match and limits that contradict each other.
    """
    if cli_config_check.is_platform_file(file):
        cli_config_check.run(file, in_force, settings, as_json)
        return
    if in_force is not None or settings is not None:
        raise typer.BadParameter('--in-force and --settings need JSON')
    wanted = read_file(file)

    async def work(session: config_admin.Session) -> model.Config:
        return session.reader.config

    config = (
        cli_common.run_session(log, '', 1.0, work) if log else model.Config()
    )
    steps = config_admin.differences(config, wanted, False)
    report_faults(file, config_admin.check_steps(config, steps))
    rows = [(kind, name) for kind, name, _ in steps]
    cli_common.print_table(('kind', 'would_change'), rows, as_json)


@app.command('publish')
def config_publish(
    file: cli_common.FileArgument,
    log: cli_common.LogOption,
    remove_missing: typing.Annotated[
        bool,
        typer.Option(help='Also remove what the file lacks (never keys).'),
    ] = False,
    as_json: cli_common.JsonOption = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
    author: cli_common.AuthorOption = '',
) -> None:
    """Publishes what a file changes, one object after the other.

    Each change names the version it replaces: if another operator has
    changed the object, the change is refused and those after it are not
    made, so nothing is overwritten.  Publish again to continue.
    """
    wanted = read_file(file)
    outcomes: list[config_admin.Outcome] = []

    async def work(session: config_admin.Session) -> None:
        config = session.reader.config
        steps = config_admin.differences(config, wanted, remove_missing)
        report_faults(file, config_admin.check_steps(config, steps))
        changes = [
            config_admin.build_change(
                session, cli_common.new_change_id(), *step
            )
            for step in steps
        ]
        for change in changes:
            outcomes.append(await config_admin.publish(session, change))
            if not outcomes[-1].verdict.accepted:
                break

    try:
        cli_common.run_session(
            log, author or cli_common.current_user(), timeout_s, work
        )
    finally:
        cli_common.report_outcomes(outcomes, as_json)


@app.command('show')
def config_show(
    log: cli_common.LogOption,
    kind: typing.Annotated[
        model.Kind | None, typer.Option(help='Only this kind.')
    ] = None,
    as_json: cli_common.JsonOption = False,
) -> None:
    """Shows the configuration in force, with each object's version."""
    rows = cli_common.run_session(
        log, '', 1.0, lambda session: object_rows(session, kind)
    )
    cli_common.print_table(
        ('kind', 'name', 'version', 'fields'), rows, as_json
    )


async def object_rows(
    session: config_admin.Session, only_kind: model.Kind | None
) -> list[tuple[typing.Any, ...]]:
    """Returns a row for each object in force."""
    config = session.reader.config
    return [
        (
            kind,
            item.name,
            config.versions[kind, item.name],
            fields_text(item),
        )
        for kind in model.Kind
        if only_kind in (None, kind)
        for item in config_state.objects(config, kind).values()
    ]


def fields_text(item: model.ConfigObject) -> str:
    """Returns an object's fields as key=value, without its name."""
    values = msgspec.to_builtins(item)
    return ' '.join(
        f'{field}={msgspec.json.encode(value).decode()}'
        for field, value in values.items()
        if field != 'name'
    )


@app.command('export')
def config_export(log: cli_common.LogOption) -> None:
    """Prints the configuration in force as a file, keys as their hashes.

    Keep it: `config restore` reads it if the log loses everything.
    """

    async def work(session: config_admin.Session) -> str:
        return config_admin.to_toml(session.reader.config)

    typer.echo(cli_common.run_session(log, '', 1.0, work), nl=False)


@app.command('restore')
def config_restore(
    file: cli_common.FileArgument,
    log: cli_common.LogOption,
    replace_all: typing.Annotated[
        bool,
        typer.Option(help='Even if the log still has a configuration.'),
    ] = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
) -> None:
    """Replaces the whole configuration by an exported file.

    For a log that answers 6007 config-lost: it has trimmed everything
    while no instance was alive. Objects that the file lacks, keys too,
    are removed.
    """
    wanted = read_file(file)
    steps = config_admin.differences(model.Config(), wanted, False)
    report_faults(file, config_admin.check_steps(model.Config(), steps))

    async def work(session: config_admin.Session) -> int:
        if session.reader.gap_end is None and not replace_all:
            raise errors.ResultError(
                codes.CONFIG_CONFLICT,
                'the log has a configuration; --replace-all replaces it',
            )
        return await config_admin.restore(session, wanted)

    offset = cli_common.run_session(log, '', timeout_s, work, allow_lost=True)
    typer.echo(f'restored {len(wanted)} objects, read back at {offset}')


@app.command('history')
def config_history(
    log: cli_common.LogOption,
    limit: typing.Annotated[
        int, typer.Option(min=1, help='How many of the latest changes.')
    ] = 20,
    as_json: cli_common.JsonOption = False,
) -> None:
    """Shows the latest changes, also refused ones, newest last."""
    rows = cli_common.run_session(log, '', 1.0, history_rows)[-limit:]
    headings = (
        'offset',
        'time',
        'author',
        'kind',
        'name',
        'change',
        'verdict',
        'code',
        'detail',
    )
    cli_common.print_table(headings, rows, as_json)


async def history_rows(
    session: config_admin.Session,
) -> list[tuple[typing.Any, ...]]:
    """Returns a row for each change that the log still holds."""
    rows: list[tuple[typing.Any, ...]] = []
    for evaluated in session.history:
        change = evaluated.message
        if not isinstance(change, messages.ConfigChange):
            continue
        outcome = config_admin.Outcome(
            change=change,
            offset=evaluated.record.offset,
            verdict=evaluated.verdict,
        )
        kind, name, what, verdict, offset, code, detail = (
            cli_common.outcome_row(outcome)
        )
        time = datetime.datetime.fromtimestamp(
            evaluated.record.time_ms / 1000, datetime.UTC
        ).isoformat(timespec='seconds')
        rows.append(
            (
                offset,
                time,
                change.author,
                kind,
                name,
                what,
                verdict,
                code,
                detail,
            )
        )
    return rows
