"""The configuration that the demonstration and the fleet tests publish."""

import hashlib
import json
import typing

from standins import fleet_config
from standins import fleet_state

MODEL: typing.Final = 'guide'
DISPATCH_PATH: typing.Final = '/dispatch'
SHEET_PATH: typing.Final = '/sheet'
OPEN_PATH: typing.Final = '/open'
ACCOUNTS: typing.Final = ('school', 'ward', 'museum', 'harbour')
TARGETS_S: typing.Final = {'alert': 3.0, 'dispatch': 6.0, 'planning': 20.0}
RATE_PER_S: typing.Final = 200.0
BURST: typing.Final = 400
OPERATOR_TOKEN: typing.Final = 'demonstration-operator'  # nosec


def caller_key(account: str) -> str:
    """Returns the API key of an account."""
    return f'od-demonstration-{account}'


def sha256(text: str) -> str:
    """Returns the digest that a configuration lists for a key or token."""
    return hashlib.sha256(text.encode()).hexdigest()


def make_toml(fleet: fleet_state.Fleet) -> str:
    """Returns the configuration of a fleet as TOML."""
    tables: dict[str, dict[str, typing.Any]] = {}
    for account in ACCOUNTS:
        limits = {'rate_per_s': RATE_PER_S, 'burst': BURST}
        tables[f'account.{account}'] = limits
        tables[f'key.{account}-key'] = {
            'client_account': account,
            'sha256': sha256(caller_key(account)),
        }
    for name, target_s in TARGETS_S.items():
        tables[f'class.{name}'] = {'target_s': target_s}
    tables[f'model.{MODEL}'] = {}
    tables['tool.dispatch'] = {'idempotent': False}
    tables['tool.sheet'] = {'idempotent': True}
    tables['route.dispatch'] = {'prefix': DISPATCH_PATH, 'tool': 'dispatch'}
    tables['route.sheet'] = {'prefix': SHEET_PATH, 'tool': 'sheet'}
    tables['route.open'] = {
        'prefix': OPEN_PATH,
        'tool': 'sheet',
        'open_to_all': True,
    }
    lines = []
    for heading, values in tables.items():
        lines.append(f'[{heading}]')
        lines += [
            f'{key} = {json.dumps(value)}' for key, value in values.items()
        ]
    upstreams = fleet_config.upstream_tables(
        fleet, MODEL, ['dispatch', 'sheet']
    )
    return '\n'.join(lines) + '\n' + upstreams
