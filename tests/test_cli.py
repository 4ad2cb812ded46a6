"""Tests of the operators' command line against the stand-in log."""

import asyncio
import json
import pathlib
import typing

import pytest
from tornado import web
from typer import testing

from oleanderdrift import cli
from oleanderdrift import codes
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import http_base
from oleanderdrift import instance_client
from standins import serving
from tests import log_service as services

log_service = services.log_service
FILE: typing.Final = """
[account.ward]
rate_per_s = 5
burst = 10
[class.urgent]
target_s = 10
[model.m]
[tool.page]
idempotent = false
[route.page]
prefix = "/page"
tool = "page"
[upstream.u]
data_centre = "dc"
url = "http://10.0.0.1:80"
models = ["m"]
"""


class Operator:
    """Runs commands against one log."""

    def __init__(self, url: str) -> None:
        self.url = url

    def run(self, *words: str, code: int = 0) -> str:
        """Runs a command; returns what it printed."""
        result = testing.CliRunner().invoke(
            cli.app, words, env={'OLEANDERDRIFT_LOG': self.url}
        )
        assert result.exit_code == code, result.output
        return result.output

    def json(self, *words: str, code: int = 0) -> typing.Any:
        """Runs a command with --json; returns the parsed output."""
        return json.loads(self.run(*words, '--json', code=code))


@pytest.fixture
def operator(log_service: services.LogService) -> Operator:
    """An operator whose commands use the stand-in log."""
    return Operator(log_service.url)


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """A configuration file."""
    path = tmp_path / 'fleet.toml'
    path.write_text(FILE)
    return path


def test_publish_sends_only_differences(
    operator: Operator, file: pathlib.Path
) -> None:
    rows = operator.json('config', 'publish', str(file))
    assert [row['verdict'] for row in rows] == ['accepted'] * 6
    assert [row['offset'] for row in rows] == [1, 2, 3, 4, 5, 6]
    file.write_text(FILE.replace('burst = 10', 'burst = 20'))
    (row,) = operator.json('config', 'publish', str(file))
    assert (row['name'], row['offset']) == ('ward', 7)
    assert operator.json('config', 'check', str(file)) == []
    file.write_text(FILE.replace('[class.urgent]\ntarget_s = 10\n', ''))
    rows = operator.json('config', 'publish', '--remove-missing', str(file))
    assert [row['change'] for row in rows] == ['set', 'remove']
    assert len(operator.json('config', 'history')) == 9


def test_all_file_faults_are_listed_at_once(
    operator: Operator, file: pathlib.Path
) -> None:
    file.write_text('[account.a]\nburst = 1\n[thing.x]\n[model]\n')
    output = operator.run('config', 'check', str(file), code=1)
    assert output.count(str(file)) == 3
    file.write_text(FILE.replace('tool = "page"', 'tool = "pag"'))
    assert 'no tool pag' in operator.run(
        'config', 'publish', str(file), code=1
    )
    assert operator.json('config', 'history') == []


def test_key_is_shown_once_and_kept_as_hash(
    operator: Operator, log_service: services.LogService
) -> None:
    operator.run('account', 'set', 'ward', '--rate', '5', '--burst', '9')
    (row,) = operator.json('key', 'issue', 'ward')
    (listed,) = operator.json('key', 'list')
    digest = config_state.key_digest(row['key'])
    assert listed['sha256_start'] == digest[:12]
    requests = log_service.app.state.requests
    assert all(row['key'] not in one.body for one in requests)
    assert not cli.app.pretty_exceptions_enable
    operator.run('key', 'withdraw', row['name'])
    assert operator.json('key', 'list') == []
    assert operator.json('account', 'list')[0]['keys'] == 0


class WithdrawHandler(web.RequestHandler):
    """Responds as an instance does to a direct withdrawal."""

    def post(self, name: str) -> None:
        """Accepts only the key `tablet` with the token `right`."""
        token = self.request.headers['Authorization']
        if (name, token) == ('tablet', 'Bearer right'):
            self.finish({'withdrawn': name})
            return
        self.set_status(403)
        error = errors.ResultError(codes.OPERATOR_ONLY)
        self.finish(http_base.error_body(error))


@pytest.mark.parametrize(
    ('name', 'token', 'refused'),
    [('tablet', 'right', False), ('tablet', 'x', True), ('y', 'right', True)],
)
def test_withdrawal_at_an_instance(
    name: str, token: str, refused: bool
) -> None:
    path = '/v1/operator/keys/([^/]+)/withdraw'
    app = web.Application([(path, WithdrawHandler)])

    async def withdraw() -> codes.ResultCode:
        _, port = serving.listen(app, '127.0.0.1', 0)
        url = f'http://127.0.0.1:{port}'
        try:
            await instance_client.withdraw_key(url, token, name)
        except errors.ResultError as error:
            return error.code
        return codes.OK

    expected = codes.OPERATOR_ONLY if refused else codes.OK
    assert asyncio.run(withdraw()) is expected


def test_status_is_a_table_for_each_list(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    reported = {'ready': True, 'members': [{'port': 7, 'name': 'n1'}], 'x': []}

    async def read_status(url: str, token: str) -> dict[str, typing.Any]:
        assert (url, token) == ('http://i', 't')
        return reported

    monkeypatch.setattr(instance_client, 'read_status', read_status)
    words = ('status', '--instance', 'http://i', '--token', 't')
    assert operator.json(*words) == reported
    lines = operator.run(*words).splitlines()
    assert lines[-6:] == ['members', 'name  port', 'n1    7', '', 'x', 'none']


def test_lost_configuration_is_restored_from_an_export(
    operator: Operator,
    file: pathlib.Path,
    log_service: services.LogService,
) -> None:
    operator.run('config', 'publish', str(file))
    operator.run('key', 'issue', 'ward')
    shown = operator.json('config', 'show')
    file.write_text(operator.run('config', 'export'))
    operator.run('config', 'restore', str(file), code=1)
    log_service.set_switches(retention=1)
    assert '6007' in operator.run('config', 'show', code=3)
    operator.run('config', 'restore', str(file))
    restored = operator.json('config', 'show')
    assert [{**row, 'version': 0} for row in restored] == [
        {**row, 'version': 0} for row in shown
    ]
    operator.run('config', 'publish', str(file))


def test_exit_codes(operator: Operator) -> None:
    operator.run('explain', '4006')
    operator.run('explain', 'nonsense', code=1)
    operator.run('key', code=2)
    closed = 'http://127.0.0.1:9'
    operator.run('key', 'withdraw', 'k', '--instance', closed, code=3)
    operator.run('key', 'issue', 'nobody', code=1)


def test_codes_page_is_up_to_date(operator: Operator) -> None:
    page = pathlib.Path(__file__).parent.parent / 'docs' / 'CODES.md'
    rows = [line for line in page.read_text().splitlines() if line[:1] == '|']
    printed = operator.run('explain', '--markdown').splitlines()
    assert rows == printed, (
        'regenerate it with `oleanderdrift explain --markdown`'
    )
