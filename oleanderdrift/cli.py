"""The operators' command line.

Configuration commands go straight to the platform's log, so they work
whichever instances are up.  A change is reported as accepted or refused
only after it was read back from the log.
"""

import asyncio
import datetime
import getpass
import importlib
import importlib.metadata
import pathlib
import secrets
import tomllib
import typing
import uuid

import msgspec
import typer

from oleanderdrift import codes
from oleanderdrift import config_admin
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import instance_client
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model

EXIT_REFUSED: typing.Final = 1
EXIT_UNAVAILABLE: typing.Final = 3
EXIT_UNCONFIRMED: typing.Final = 4
UNAVAILABLE: typing.Final = (
    codes.LOG_UNAVAILABLE,
    codes.CONFIG_LOST,
    codes.PEER_UNREACHABLE,
)
KEY_BYTES: typing.Final = 24

EXIT_CODES: typing.Final = """
Exit codes: 0 done or accepted; 1 refused, or the file has faults;
2 wrong use of the command; 3 no answer from the log, nothing changed, or
from the instance;
4 unconfirmed: the change may be in the log, see `config history`.
"""

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help='Runs and configures the scheduler for agent programs.' + EXIT_CODES,
)
config_app = typer.Typer(
    no_args_is_help=True,
    help='Check, publish and show configuration.',
    epilog=EXIT_CODES,
)
account_app = typer.Typer(
    no_args_is_help=True,
    help='Client accounts with their rate and burst.',
    epilog=EXIT_CODES,
)
key_app = typer.Typer(
    no_args_is_help=True,
    help="Issue, withdraw and list callers' keys.",
    epilog=EXIT_CODES,
)
app.add_typer(config_app, name='config')
app.add_typer(account_app, name='account')
app.add_typer(key_app, name='key')

LogOption = typing.Annotated[
    str,
    typer.Option(
        '--log',
        envvar='OLEANDERDRIFT_LOG',
        help='Base URL of the log service, as http://10.0.0.9:7000.',
    ),
]
OptionalLogOption = typing.Annotated[
    str,
    typer.Option(
        '--log',
        envvar='OLEANDERDRIFT_LOG',
        help='Base URL of the log service, if it is to be asked.',
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
    str, typer.Option('--author', help='Who asks; kept in the history.')
]
FileArgument = typing.Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, help='A TOML file.'),
]
NameArgument = typing.Annotated[str, typer.Argument(help='Its name.')]

T = typing.TypeVar('T')


def main() -> None:
    """Runs the command line; the entry point of the package."""
    app()


def run(
    log: str,
    author: str,
    timeout_s: float,
    work: typing.Callable[
        [config_admin.Session], typing.Coroutine[typing.Any, typing.Any, T]
    ],
    lost_allowed: bool = False,
) -> T:
    """Runs work on a session that has read the log to its end.

    With lost_allowed, work runs also where the configuration is lost.
    """

    async def whole() -> T:
        client = log_client.LogClient(log)
        try:
            session = config_admin.Session(
                client=client, author=author, timeout_s=timeout_s
            )
            try:
                await config_admin.refresh(session)
            except errors.ResultError as error:
                if error.code is not codes.CONFIG_LOST or not lost_allowed:
                    raise
            return await work(session)
        finally:
            client.close()

    try:
        return asyncio.run(whole())
    except errors.ResultError as error:
        raise failed(error)


def failed(error: errors.ResultError) -> typer.Exit:
    """Prints an error and returns the exit that fits it."""
    typer.echo(f'error {error}', err=True)
    typer.echo(f'Try `oleanderdrift explain {error.code.number}`.', err=True)
    if error.code in UNAVAILABLE:
        return typer.Exit(EXIT_UNAVAILABLE)
    if error.code is codes.CONFIG_UNCONFIRMED:
        return typer.Exit(EXIT_UNCONFIRMED)
    return typer.Exit(EXIT_REFUSED)


def operator() -> str:
    """Returns the name of the user at the terminal, '' if none."""
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


def finish(outcomes: list[config_admin.Outcome], as_json: bool) -> None:
    """Prints what became of changes; exits 1 if any was refused."""
    print_table(
        OUTCOME_HEADINGS, [outcome_row(one) for one in outcomes], as_json
    )
    if not all(one.verdict.accepted for one in outcomes):
        raise typer.Exit(EXIT_REFUSED)


def change_one(
    log: str,
    author: str,
    timeout_s: float,
    kind: model.Kind,
    name: str,
    item: model.ConfigObject | None,
    as_json: bool,
) -> None:
    """Publishes one change and prints what became of it."""

    async def work(session: config_admin.Session) -> config_admin.Outcome:
        change = config_admin.change_of(
            session, new_change_id(), kind, name, item
        )
        return await config_admin.publish(session, change)

    finish([run(log, author, timeout_s, work)], as_json)


def new_change_id() -> str:
    """Returns an id that no other change has."""
    return uuid.uuid4().hex


def read_file(
    path: pathlib.Path,
) -> dict[tuple[model.Kind, str], model.ConfigObject]:
    """Returns the objects in a file; prints every fault and exits 1."""
    try:
        tables = tomllib.loads(path.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        report_faults(path, [str(error)])
    found, faults = config_admin.parse_file(tables)
    report_faults(path, faults)
    return found


def report_faults(path: pathlib.Path, faults: list[str]) -> None:
    """Prints faults and exits 1, or returns if there is none."""
    for fault in faults:
        typer.echo(f'{path}: {fault}', err=True)
    if faults:
        raise typer.Exit(EXIT_REFUSED)


@config_app.command('check')
def config_check(
    file: FileArgument,
    log: OptionalLogOption = '',
    as_json: JsonOption = False,
) -> None:
    """Says whether a file could be published; changes nothing.

    With a log, the file is checked against what is in force there.
    """
    wanted = read_file(file)

    async def work(session: config_admin.Session) -> model.Config:
        return session.reader.config

    config = run(log, '', 1.0, work) if log else model.Config()
    steps = config_admin.differences(config, wanted, False)
    report_faults(file, config_admin.check(config, steps))
    rows = [(kind, name) for kind, name, _ in steps]
    print_table(('kind', 'would_change'), rows, as_json)


@config_app.command('publish')
def config_publish(
    file: FileArgument,
    log: LogOption,
    remove_missing: typing.Annotated[
        bool,
        typer.Option(help='Also remove what the file lacks (never keys).'),
    ] = False,
    as_json: JsonOption = False,
    timeout_s: TimeoutOption = 10.0,
    author: AuthorOption = '',
) -> None:
    """Publishes what a file changes, one object after the other.

    Each change names the version it replaces: if another operator was
    faster, it is refused, the rest is left, and nothing of theirs is
    overwritten.  Publish again to go on.
    """
    wanted = read_file(file)
    outcomes: list[config_admin.Outcome] = []

    async def work(session: config_admin.Session) -> None:
        config = session.reader.config
        steps = config_admin.differences(config, wanted, remove_missing)
        report_faults(file, config_admin.check(config, steps))
        changes = [
            config_admin.change_of(session, new_change_id(), *step)
            for step in steps
        ]
        for change in changes:
            outcomes.append(await config_admin.publish(session, change))
            if not outcomes[-1].verdict.accepted:
                break

    try:
        run(log, author or operator(), timeout_s, work)
    finally:
        finish(outcomes, as_json)


@config_app.command('show')
def config_show(
    log: LogOption,
    kind: typing.Annotated[
        model.Kind | None, typer.Option(help='Only this kind.')
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Shows the configuration in force, with each object's version."""
    rows = run(log, '', 1.0, lambda session: shown(session, kind))
    print_table(('kind', 'name', 'version', 'fields'), rows, as_json)


async def shown(
    session: config_admin.Session, only: model.Kind | None
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
        if only in (None, kind)
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


@config_app.command('export')
def config_export(log: LogOption) -> None:
    """Prints the configuration in force as a file, keys by their hashes.

    Keep it: `config restore` takes it back if the log loses everything.
    """

    async def work(session: config_admin.Session) -> str:
        return config_admin.to_toml(session.reader.config)

    typer.echo(run(log, '', 1.0, work), nl=False)


@config_app.command('restore')
def config_restore(
    file: FileArgument,
    log: LogOption,
    replace_all: typing.Annotated[
        bool,
        typer.Option(help='Also where the log still has a configuration.'),
    ] = False,
    timeout_s: TimeoutOption = 10.0,
) -> None:
    """Puts an exported file in place of the whole configuration.

    For a log that answers 6007 config-lost: it has trimmed everything
    while no instance was alive. What the file lacks is gone, keys too.
    """
    wanted = read_file(file)
    steps = config_admin.differences(model.Config(), wanted, False)
    report_faults(file, config_admin.check(model.Config(), steps))

    async def work(session: config_admin.Session) -> int:
        if session.reader.gap_end is None and not replace_all:
            raise errors.ResultError(
                codes.CONFIG_CONFLICT,
                'the log has a configuration; --replace-all replaces it',
            )
        return await config_admin.restore(session, wanted)

    offset = run(log, '', timeout_s, work, lost_allowed=True)
    typer.echo(f'restored {len(wanted)} objects, read back at {offset}')


@config_app.command('history')
def config_history(
    log: LogOption,
    limit: typing.Annotated[
        int, typer.Option(min=1, help='How many of the latest changes.')
    ] = 20,
    as_json: JsonOption = False,
) -> None:
    """Shows the latest changes, refused ones too, the newest last."""
    rows = run(log, '', 1.0, past)[-limit:]
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
    print_table(headings, rows, as_json)


async def past(
    session: config_admin.Session,
) -> list[tuple[typing.Any, ...]]:
    """Returns a row for each change that the log still holds."""
    rows: list[tuple[typing.Any, ...]] = []
    for judged in session.history:
        change = judged.message
        if not isinstance(change, messages.ConfigChange):
            continue
        outcome = config_admin.Outcome(
            change=change,
            offset=judged.record.offset,
            verdict=judged.verdict,
        )
        kind, name, what, verdict, offset, code, detail = outcome_row(outcome)
        time = datetime.datetime.fromtimestamp(
            judged.record.time_ms / 1000, datetime.UTC
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


@account_app.command('set')
def account_set(
    name: NameArgument,
    log: LogOption,
    rate: typing.Annotated[
        float, typer.Option(help='Requests a second, all instances together.')
    ],
    burst: typing.Annotated[
        int, typer.Option(help='Requests that may come at once.')
    ],
    as_json: JsonOption = False,
    timeout_s: TimeoutOption = 10.0,
    author: AuthorOption = '',
) -> None:
    """Creates a client account or changes its rate and burst."""
    item = model.ClientAccount(name=name, rate_per_s=rate, burst=burst)
    change_one(
        log,
        author or operator(),
        timeout_s,
        model.Kind.ACCOUNT,
        name,
        item,
        as_json,
    )


@account_app.command('remove')
def account_remove(
    name: NameArgument,
    log: LogOption,
    as_json: JsonOption = False,
    timeout_s: TimeoutOption = 10.0,
    author: AuthorOption = '',
) -> None:
    """Removes a client account; withdraw its keys first."""
    change_one(
        log,
        author or operator(),
        timeout_s,
        model.Kind.ACCOUNT,
        name,
        None,
        as_json,
    )


@account_app.command('list')
def account_list(log: LogOption, as_json: JsonOption = False) -> None:
    """Lists client accounts with rate, burst and number of keys."""

    async def work(
        session: config_admin.Session,
    ) -> list[tuple[typing.Any, ...]]:
        config = session.reader.config
        owners = [key.client_account for key in config.keys.values()]
        return [
            (one.name, one.rate_per_s, one.burst, owners.count(one.name))
            for one in config.accounts.values()
        ]

    headings = ('account', 'rate_per_s', 'burst', 'keys')
    print_table(headings, run(log, '', 1.0, work), as_json)


@key_app.command('issue')
def key_issue(
    account: typing.Annotated[str, typer.Argument(help='Its account.')],
    log: LogOption,
    name: typing.Annotated[
        str, typer.Option(help='The name to withdraw it by; default: made up.')
    ] = '',
    as_json: JsonOption = False,
    timeout_s: TimeoutOption = 10.0,
    author: AuthorOption = '',
) -> None:
    """Issues a key and shows it, this once; only its hash is kept."""
    name = name or f'{account}-{secrets.token_hex(4)}'
    secret = f'od-{secrets.token_urlsafe(KEY_BYTES)}'
    item = model.ApiKey(
        name=name,
        client_account=account,
        sha256=config_state.key_digest(secret),
    )

    async def work(session: config_admin.Session) -> config_admin.Outcome:
        if (model.Kind.KEY, name) in session.reader.config.versions:
            raise errors.ResultError(
                codes.CONFIG_CONFLICT, f'there is a key {name} already'
            )
        change = config_admin.change_of(
            session, new_change_id(), model.Kind.KEY, name, item
        )
        return await config_admin.publish(session, change)

    outcome = run(log, author or operator(), timeout_s, work)
    if not outcome.verdict.accepted:
        finish([outcome], as_json)
    rows = [(name, account, outcome.offset, secret)]
    print_table(('name', 'account', 'offset', 'key'), rows, as_json)


@key_app.command('withdraw')
def key_withdraw(
    name: NameArgument,
    log: OptionalLogOption = '',
    instance: typing.Annotated[
        str,
        typer.Option(
            help='Withdraw directly at the instance with this base URL; for '
            'when the log is away. Repeat without it later.'
        ),
    ] = '',
    token: typing.Annotated[
        str,
        typer.Option(
            envvar='OLEANDERDRIFT_TOKEN',
            help='The operator token, for --instance.',
            show_default=False,
        ),
    ] = '',
    as_json: JsonOption = False,
    timeout_s: TimeoutOption = 10.0,
    author: AuthorOption = '',
) -> None:
    """Withdraws a key; open streams that use it are ended too."""
    if instance:
        withdraw_directly(name, instance, token, as_json)
        return
    if not log:
        raise typer.BadParameter('give --log or --instance')
    change_one(
        log,
        author or operator(),
        timeout_s,
        model.Kind.KEY,
        name,
        None,
        as_json,
    )


def withdraw_directly(
    name: str, instance: str, token: str, as_json: bool
) -> None:
    """Withdraws a key at an instance and prints what it said."""
    try:
        asyncio.run(instance_client.withdraw_key(instance, token, name))
    except errors.ResultError as error:
        raise failed(error)
    rows = [(name, instance, 'withdrawn, not yet in the log')]
    print_table(('name', 'instance', 'state'), rows, as_json)


@key_app.command('list')
def key_list(log: LogOption, as_json: JsonOption = False) -> None:
    """Lists the keys in force by name; the keys are known to nobody."""

    async def work(
        session: config_admin.Session,
    ) -> list[tuple[typing.Any, ...]]:
        config = session.reader.config
        return [
            (
                key.name,
                key.client_account,
                config.versions[model.Kind.KEY, key.name],
                key.sha256[:12],
            )
            for key in config.keys.values()
        ]

    headings = ('name', 'account', 'version', 'sha256_start')
    print_table(headings, run(log, '', 1.0, work), as_json)


@app.command()
def explain(
    code: typing.Annotated[
        str, typer.Argument(help='Number or name; all codes if left out.')
    ] = '',
    as_json: JsonOption = False,
    as_markdown: typing.Annotated[
        bool, typer.Option('--markdown', help='Print as docs/CODES.md does.')
    ] = False,
) -> None:
    """Says what a result code means and whether the request was run.

    Execution not-run: no effect, safe to send again.  unknown: it may
    have had its effect.  ran: it had.
    """
    rows = [
        (one.number, one.name, one.status, one.execution, one.help)
        for one in sorted(codes.TABLE.values(), key=lambda one: one.number)
        if code in ('', str(one.number), one.name)
    ]
    if not rows:
        typer.echo(f'There is no code {code}; see docs/CODES.md.', err=True)
        raise typer.Exit(EXIT_REFUSED)
    headings = ('code', 'name', 'http_status', 'execution', 'meaning')
    if as_markdown:
        for cells in (headings, ('---',) * len(headings), *rows):
            typer.echo('| ' + ' | '.join(map(str, cells)) + ' |')
        return
    print_table(headings, rows, as_json)


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
    # Operators' commands need none of what an instance loads.
    daemon = importlib.import_module('oleanderdrift.daemon')
    daemon.run(settings)
