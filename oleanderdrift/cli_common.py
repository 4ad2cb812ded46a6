"""Shared by the operators' commands: options, sessions, output, exits."""

import asyncio
import getpass
import pathlib
import typing
import uuid

import msgspec
import typer

from oleanderdrift import codes
from oleanderdrift import config_admin
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import model

EXIT_REFUSED: typing.Final = 1
EXIT_UNAVAILABLE: typing.Final = 3
EXIT_UNCONFIRMED: typing.Final = 4
EXIT_WARNINGS: typing.Final = 5
UNAVAILABLE: typing.Final = (
    codes.LOG_UNAVAILABLE,
    codes.CONFIG_LOST,
    codes.PEER_UNREACHABLE,
)

EXIT_CODES: typing.Final = """
Exit codes: 0 done or accepted; 1 refused, or the file has faults;
2 incorrect usage; 3 no answer from the log (nothing was changed) or from
the instance; 4 unconfirmed: the change may be in the log, see `config
history`; 5 `config check` has found warnings, but no errors.
"""

LogOption = typing.Annotated[
    str,
    typer.Option(
        '--log',
        envvar='OLEANDERDRIFT_LOG',
        help='Base URL of the log service, such as http://10.0.0.9:7000.',
    ),
]
OptionalLogOption = typing.Annotated[
    str,
    typer.Option(
        '--log',
        envvar='OLEANDERDRIFT_LOG',
        help='Base URL of the log service, if the log is to be used.',
    ),
]
InstanceOption = typing.Annotated[
    str,
    typer.Option(
        envvar='OLEANDERDRIFT_INSTANCE',
        help='Base URL of an instance, such as http://10.0.0.4:8080.',
    ),
]
TokenOption = typing.Annotated[
    str,
    typer.Option(
        envvar='OLEANDERDRIFT_TOKEN',
        help='The operator token, for --instance.',
        show_default=False,
    ),
]
JsonOption = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON, one document.')
]
TimeoutOption = typing.Annotated[
    float,
    typer.Option(
        '--timeout', min=0.1, help='Seconds to wait for each change.'
    ),
]
AuthorOption = typing.Annotated[
    str,
    typer.Option(
        '--author', help='Who makes the change; kept in the history.'
    ),
]
FileArgument = typing.Annotated[
    pathlib.Path,
    typer.Argument(
        exists=True,
        dir_okay=False,
        help='A TOML file; `config check` reads JSON as well.',
    ),
]
NameArgument = typing.Annotated[str, typer.Argument(help='Its name.')]

T = typing.TypeVar('T')


def run_session(
    log: str,
    author: str,
    timeout_s: float,
    work: typing.Callable[
        [config_admin.Session], typing.Coroutine[typing.Any, typing.Any, T]
    ],
    allow_lost: bool = False,
) -> T:
    """Runs work with a session that has read the log to its end.

    With allow_lost, work runs even if the configuration is lost.
    """

    async def run_connected() -> T:
        client = log_client.LogClient(log)
        try:
            session = config_admin.Session(
                client=client, author=author, timeout_s=timeout_s
            )
            try:
                await config_admin.refresh(session)
            except errors.ResultError as error:
                if error.code is not codes.CONFIG_LOST or not allow_lost:
                    raise
            return await work(session)
        finally:
            client.close()

    try:
        return asyncio.run(run_connected())
    except errors.ResultError as error:
        raise report_error(error)


def report_error(error: errors.ResultError) -> typer.Exit:
    """Prints an error and returns the exit with its code, to be raised."""
    typer.echo(f'error {error}', err=True)
    typer.echo(f'Try `oleanderdrift explain {error.code.number}`.', err=True)
    if error.code in UNAVAILABLE:
        return typer.Exit(EXIT_UNAVAILABLE)
    if error.code is codes.CONFIG_UNCONFIRMED:
        return typer.Exit(EXIT_UNCONFIRMED)
    return typer.Exit(EXIT_REFUSED)


def current_user() -> str:
    """Returns the login name of the user, or '' if there is none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def print_table(
    headings: tuple[str, ...],
    rows: typing.Sequence[tuple[typing.Any, ...]],
    as_json: bool,
) -> None:
    """Prints rows as an aligned table or as a JSON list of objects."""
    if as_json:
        print_json([dict(zip(headings, row)) for row in rows])
        return
    texts = [headings] + [tuple(str(cell) for cell in row) for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(*texts)]
    for row in texts:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        typer.echo('  '.join(cells).rstrip())


def print_json(value: typing.Any) -> None:
    """Prints one JSON document."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def outcome_row(outcome: config_admin.Outcome) -> tuple[typing.Any, ...]:
    """Returns a change's outcome as a row for OUTCOME_HEADINGS."""
    verdict = outcome.verdict
    return (
        outcome.change.kind,
        outcome.change.name,
        'remove' if outcome.change.body is None else 'set',
        'accepted' if verdict.accepted else 'refused',
        outcome.offset,
        verdict.code.number,
        verdict.detail,
    )


OUTCOME_HEADINGS: typing.Final = (
    'kind',
    'name',
    'change',
    'verdict',
    'offset',
    'code',
    'detail',
)


def report_outcomes(
    outcomes: list[config_admin.Outcome], as_json: bool
) -> None:
    """Prints the outcomes of changes; exits 1 if any was refused."""
    print_table(
        OUTCOME_HEADINGS, [outcome_row(one) for one in outcomes], as_json
    )
    if not all(one.verdict.accepted for one in outcomes):
        raise typer.Exit(EXIT_REFUSED)


def publish_one(
    log: str,
    author: str,
    timeout_s: float,
    kind: model.Kind,
    name: str,
    item: model.ConfigObject | None,
    as_json: bool,
) -> None:
    """Publishes one change and prints its outcome."""

    async def work(session: config_admin.Session) -> config_admin.Outcome:
        change = config_admin.build_change(
            session, new_change_id(), kind, name, item
        )
        return await config_admin.publish(session, change)

    report_outcomes([run_session(log, author, timeout_s, work)], as_json)


def new_change_id() -> str:
    """Returns a unique change id."""
    return uuid.uuid4().hex
