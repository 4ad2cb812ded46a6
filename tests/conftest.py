"""Shared fixtures; marks the tests listed in KNOWN-RED.txt as xfail."""

import pathlib
import typing

import pytest

from standins import demo_config
from standins import fleet
from standins import fleet_state
from tests import fleet_support

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red() -> set[str]:
    """Returns the test ids at the starts of lines in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith('tests/')}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as xfail, so that they do not fail the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


@pytest.fixture(scope='session')
def nine() -> typing.Iterator[fleet_state.Fleet]:
    """Runs nine instances in three data centres as processes."""
    with fleet.running(fleet_support.PLAN, demo_config.make_toml) as running:
        yield running
