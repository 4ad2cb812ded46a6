"""Writes instance settings and runs operator commands for a fleet."""

import json
import subprocess  # nosec
import sys
import typing

from standins import fleet_state
from standins import processes


def write_settings(
    fleet: fleet_state.Fleet,
    node: fleet_state.Node,
    platform: dict[str, typing.Any],
) -> None:
    """Writes a node's settings file, the plan's settings included."""
    sections: dict[str, dict[str, typing.Any]] = {
        'instance': {
            'name': node.name,
            'data_centre': node.data_centre,
            'address': node.address,
            'http_port': node.http_port,
            'peer_port': node.peer_port,
        },
        'platform': platform,
    }
    for section, values in fleet.plan.settings.items():
        sections.setdefault(section, {}).update(values)
    if fleet.plan.operator_token_sha256:
        sections['operators'] = {
            'token_sha256': fleet.plan.operator_token_sha256
        }
    toml_lines = []
    for section, values in sections.items():
        toml_lines.append(f'[{section}]')
        toml_lines += [
            f'{key} = {json.dumps(value)}' for key, value in values.items()
        ]
    node.settings_path.write_text('\n'.join(toml_lines) + '\n')


def run_command(fleet: fleet_state.Fleet, *arguments: str) -> typing.Any:
    """Runs an operator command on the fleet's log; returns its JSON.

    A command that is refused returns normally.  Raises RuntimeError if the
    command prints no JSON.
    """
    completed = subprocess.run(
        [sys.executable, '-m', 'oleanderdrift', *arguments]
        + ['--log', fleet.log.url, '--json'],
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
    )
    try:
        return json.loads(completed.stdout)
    except ValueError:
        text = f'exit {completed.returncode}: {completed.stderr}'
        raise RuntimeError(text) from None


def run_accepted_command(
    fleet: fleet_state.Fleet, *arguments: str
) -> typing.Any:
    """Runs an operator command; raises RuntimeError if a change is refused.

    The history may list refused changes.
    """
    rows = run_command(fleet, *arguments)
    refused = [row for row in rows if row.get('verdict') == 'refused']
    if refused and arguments != ('config', 'history'):
        raise RuntimeError(str(refused))
    return rows


def publish(fleet: fleet_state.Fleet, text: str) -> typing.Any:
    """Publishes a configuration with the operator command."""
    path = fleet.folder / 'published.toml'
    path.write_text(text)
    return run_accepted_command(fleet, 'config', 'publish', str(path))


def upstream_tables(
    fleet: fleet_state.Fleet, model: str, tools: list[str]
) -> str:
    """Returns the fleet's upstreams as TOML tables of a configuration."""
    tables = []
    for process in fleet.of_kind('engine') + fleet.of_kind('tool'):
        kind, data_centre = process.name.split('-')[:2]
        offers = {'models': [model]} if kind == 'engine' else {'tools': tools}
        values: dict[str, typing.Any] = {
            'data_centre': data_centre,
            'url': process.url,
            **offers,
        }
        if kind == 'tool':
            values['checks_fencing'] = fleet.plan.tools_check_fencing
        tables.append(f'[upstream.{process.name}]')
        tables += [
            f'{key} = {json.dumps(value)}' for key, value in values.items()
        ]
    return '\n'.join(tables) + '\n'
