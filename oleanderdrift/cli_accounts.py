"""The commands on client accounts and keys."""

import asyncio
import secrets
import typing

import typer

from oleanderdrift import cli_common
from oleanderdrift import codes
from oleanderdrift import config_admin
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import instance_client
from oleanderdrift import model

KEY_BYTES: typing.Final = 24

account_app = typer.Typer(
    no_args_is_help=True,
    help='Client accounts with their rate and burst.',
    epilog=cli_common.EXIT_CODES,
)
key_app = typer.Typer(
    no_args_is_help=True,
    help="Issue, withdraw and list callers' keys.",
    epilog=cli_common.EXIT_CODES,
)


@account_app.command('set')
def account_set(
    name: cli_common.NameArgument,
    log: cli_common.LogOption,
    rate: typing.Annotated[
        float, typer.Option(help='Requests a second, all instances together.')
    ],
    burst: typing.Annotated[
        int, typer.Option(help='Requests that may come at once.')
    ],
    as_json: cli_common.JsonOption = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
    author: cli_common.AuthorOption = '',
) -> None:
    """Creates a client account or changes its rate and burst."""
    item = model.ClientAccount(name=name, rate_per_s=rate, burst=burst)
    cli_common.publish_one(
        log,
        author or cli_common.current_user(),
        timeout_s,
        model.Kind.ACCOUNT,
        name,
        item,
        as_json,
    )


@account_app.command('remove')
def account_remove(
    name: cli_common.NameArgument,
    log: cli_common.LogOption,
    as_json: cli_common.JsonOption = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
    author: cli_common.AuthorOption = '',
) -> None:
    """Removes a client account; withdraw its keys first."""
    cli_common.publish_one(
        log,
        author or cli_common.current_user(),
        timeout_s,
        model.Kind.ACCOUNT,
        name,
        None,
        as_json,
    )


@account_app.command('list')
def account_list(
    log: cli_common.LogOption, as_json: cli_common.JsonOption = False
) -> None:
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
    cli_common.print_table(
        headings, cli_common.run_session(log, '', 1.0, work), as_json
    )


@key_app.command('issue')
def key_issue(
    account: typing.Annotated[str, typer.Argument(help='Its account.')],
    log: cli_common.LogOption,
    name: typing.Annotated[
        str,
        typer.Option(
            help='The name to withdraw it by; default: a generated name.'
        ),
    ] = '',
    as_json: cli_common.JsonOption = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
    author: cli_common.AuthorOption = '',
) -> None:
    """Issues a key and shows it only once; only its hash is kept."""
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
        change = config_admin.build_change(
            session, cli_common.new_change_id(), model.Kind.KEY, name, item
        )
        return await config_admin.publish(session, change)

    outcome = cli_common.run_session(
        log, author or cli_common.current_user(), timeout_s, work
    )
    if not outcome.verdict.accepted:
        cli_common.report_outcomes([outcome], as_json)
    rows = [(name, account, outcome.offset, secret)]
    cli_common.print_table(('name', 'account', 'offset', 'key'), rows, as_json)


@key_app.command('withdraw')
def key_withdraw(
    name: cli_common.NameArgument,
    log: cli_common.OptionalLogOption = '',
    instance: typing.Annotated[
        str,
        typer.Option(
            help='Withdraw directly at the instance with this base URL, when '
            'the log is unavailable. Repeat without it later.'
        ),
    ] = '',
    token: cli_common.TokenOption = '',
    as_json: cli_common.JsonOption = False,
    timeout_s: cli_common.TimeoutOption = 10.0,
    author: cli_common.AuthorOption = '',
) -> None:
    """Withdraws a key; open streams that use it are ended too."""
    if instance:
        withdraw_directly(name, instance, token, as_json)
        return
    if not log:
        raise typer.BadParameter('give --log or --instance')
    cli_common.publish_one(
        log,
        author or cli_common.current_user(),
        timeout_s,
        model.Kind.KEY,
        name,
        None,
        as_json,
    )


def withdraw_directly(
    name: str, instance: str, token: str, as_json: bool
) -> None:
    """Withdraws a key directly at an instance and prints the result."""
    try:
        asyncio.run(instance_client.withdraw_key(instance, token, name))
    except errors.ResultError as error:
        raise cli_common.report_error(error)
    rows = [(name, instance, 'withdrawn, not yet in the log')]
    cli_common.print_table(('name', 'instance', 'state'), rows, as_json)


@key_app.command('list')
def key_list(
    log: cli_common.LogOption, as_json: cli_common.JsonOption = False
) -> None:
    """Lists the keys in force by name; the keys themselves are not kept."""

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
    cli_common.print_table(
        headings, cli_common.run_session(log, '', 1.0, work), as_json
    )
