"""Smoke test of the single-file executable that `make binary` builds."""

import os
import pathlib
import typing
import urllib.request

import pytest

from standins import fleet
from standins import fleet_config
from standins import fleet_state
from standins import processes

BINARY = pathlib.Path(__file__).parent.parent / 'dist' / 'oleanderdrift'
CONFIG = """
[account.escola]
rate_per_s = 100.0
burst = 200
[class.planning]
target_s = 60.0
[model.guide]
[tool.sheet]
idempotent = true
[route.sheet]
prefix = "/sheet"
tool = "sheet"
open_to_all = true
"""


def child_pids(pid: int) -> str:
    """Returns the ids of a process's child processes, as /proc lists them."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return ''.join((task / 'children').read_text() for task in tasks)


def open_files(pid: int) -> list[str]:
    """Returns the targets of a process's open file descriptors."""
    descriptors = pathlib.Path(f'/proc/{pid}/fd').iterdir()
    return [os.readlink(descriptor) for descriptor in descriptors]


@pytest.mark.binary
def test_binary_serves_as_one_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv('PEX_ROOT', str(tmp_path))

    def config(running: fleet_state.Fleet) -> str:
        return CONFIG + fleet_config.upstream_tables(
            running, 'guide', ['sheet']
        )

    plan = fleet_state.Plan(
        data_centres=('north',),
        instances_each=1,
        python_arguments=(str(BINARY),),
    )
    with fleet.running(plan, config) as running:
        node = next(iter(running.nodes.values()))
        request = urllib.request.Request(f'{node.url}/sheet/read', b'{}')
        with urllib.request.urlopen(request) as response:
            assert response.status == 200
        status: dict[str, typing.Any] = processes.call(
            'GET', f'{node.url}/v1/status'
        )
        pid = node.running.child.pid
        assert status['ready']
        assert child_pids(pid) == ''
        assert not [name for name in open_files(pid) if 'io_uring' in name]
