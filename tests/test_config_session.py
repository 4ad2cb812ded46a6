"""Steps of features/config.feature: an operator, the log, an instance."""

import asyncio
import contextlib
import random
import re
import typing

import attrs
import pytest
import pytest_bdd
from pytest_bdd import parsers
from typer import testing

from oleanderdrift import cli
from oleanderdrift import config_feed
from oleanderdrift import config_reader
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import model
from tests import log_service as services

log_service = services.log_service
pytest_bdd.scenarios('features/config.feature')


@attrs.define(kw_only=True)
class Scenario:
    """The state shared by the steps of one scenario."""

    log: services.LogService
    reader: config_reader.ConfigReader = attrs.field(
        factory=config_reader.ConfigReader
    )
    key: str = ''
    exit_code: int = 0
    output: str = ''

    async def poll_log(self) -> None:
        """Makes the instance read the log once."""
        client = log_client.LogClient(self.log.url)
        feed = config_feed.ConfigFeed(
            client=client, random=random.Random(1), reader=self.reader
        )
        with contextlib.suppress(errors.ResultError):
            await config_feed.poll(feed)
        client.close()

    def config(self) -> model.Config:
        """Returns the instance's configuration after one more read."""
        asyncio.run(self.poll_log())
        return self.reader.config


@pytest_bdd.given(
    'a log with an instance that follows it', target_fixture='scenario'
)
def make_scenario(log_service: services.LogService) -> Scenario:
    """Returns a scenario at the stand-in log."""
    return Scenario(log=log_service)


@pytest_bdd.when(parsers.parse('the operator runs "{words}"'))
def run(scenario: Scenario, words: str) -> None:
    """Runs a command and stores its result and any key it issued."""
    result = testing.CliRunner().invoke(
        cli.app, words.split(), env={'OLEANDERDRIFT_LOG': scenario.log.url}
    )
    scenario.exit_code, scenario.output = result.exit_code, result.output
    issued = re.search(r'od-\S+', result.output)
    scenario.key = issued.group() if issued else scenario.key


@pytest_bdd.when(parsers.parse('the log fault "{name}" is set to "{value}"'))
def set_log_fault(scenario: Scenario, name: str, value: typing.Any) -> None:
    """Sets a fault switch after the instance has read the log."""
    scenario.config()
    scenario.log.throw(**{name: value})


@pytest_bdd.then(parsers.parse('it exits with {code:d} and says "{text}"'))
def exits(scenario: Scenario, code: int, text: str) -> None:
    """Checks the exit code and the output of the last command."""
    assert (scenario.exit_code, text in scenario.output) == (code, True)


@pytest_bdd.then('the key is admitted')
def admitted(scenario: Scenario) -> None:
    """Checks that the key is valid and belongs to account ward."""
    found = config_state.authenticate(scenario.config(), scenario.key)
    assert found.client_account == 'ward'


@pytest_bdd.then(parsers.parse('the key is refused with code {code:d}'))
def refused(scenario: Scenario, code: int) -> None:
    """Checks that authentication fails with this result code."""
    with pytest.raises(errors.ResultError) as caught:
        config_state.authenticate(scenario.config(), scenario.key)
    assert caught.value.code.number == code


@pytest_bdd.then(parsers.parse('the burst of "{name}" is {burst:d}'))
def burst_is(scenario: Scenario, name: str, burst: int) -> None:
    """Checks an account's burst in the instance's configuration."""
    assert scenario.config().accounts[name].burst == burst
