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
class Scene:
    """What the steps of one scenario share."""

    log: services.LogService
    reader: config_reader.ConfigReader = attrs.field(
        factory=config_reader.ConfigReader
    )
    key: str = ''
    exit_code: int = 0
    output: str = ''

    async def poll(self) -> None:
        """Lets the instance read the log once."""
        client = log_client.LogClient(self.log.url)
        feed = config_feed.ConfigFeed(
            client=client, random=random.Random(1), reader=self.reader
        )
        with contextlib.suppress(errors.ResultError):
            await config_feed.poll(feed)
        client.close()

    def config(self) -> model.Config:
        """Returns what the instance has in force now."""
        asyncio.run(self.poll())
        return self.reader.config


@pytest_bdd.given(
    'a log with an instance that follows it', target_fixture='scene'
)
def make_scene(log_service: services.LogService) -> Scene:
    """Makes the scene."""
    return Scene(log=log_service)


@pytest_bdd.when(parsers.parse('the operator runs "{words}"'))
def run(scene: Scene, words: str) -> None:
    """Runs a command."""
    result = testing.CliRunner().invoke(
        cli.app, words.split(), env={'OLEANDERDRIFT_LOG': scene.log.url}
    )
    scene.exit_code, scene.output = result.exit_code, result.output
    issued = re.search(r'od-\S+', result.output)
    scene.key = issued.group() if issued else scene.key


@pytest_bdd.when(parsers.parse('the log has the fault "{name}" of "{value}"'))
def throw(scene: Scene, name: str, value: typing.Any) -> None:
    """Throws a switch, once the instance has read the log."""
    scene.config()
    scene.log.throw(**{name: value})


@pytest_bdd.then(parsers.parse('it exits with {code:d} and says "{text}"'))
def exits(scene: Scene, code: int, text: str) -> None:
    """Checks the command's end."""
    assert (scene.exit_code, text in scene.output) == (code, True)


@pytest_bdd.then('the key is admitted')
def admitted(scene: Scene) -> None:
    """Checks whose key it is."""
    found = config_state.authenticate(scene.config(), scene.key)
    assert found.client_account == 'ward'


@pytest_bdd.then(parsers.parse('the key is refused with code {code:d}'))
def refused(scene: Scene, code: int) -> None:
    """Checks that the key no longer works."""
    with pytest.raises(errors.ResultError) as caught:
        config_state.authenticate(scene.config(), scene.key)
    assert caught.value.code.number == code


@pytest_bdd.then(parsers.parse('the burst of "{name}" is {burst:d}'))
def burst_is(scene: Scene, name: str, burst: int) -> None:
    """Checks what the instance has in force."""
    assert scene.config().accounts[name].burst == burst
