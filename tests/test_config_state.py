"""Tests of the fold of configuration records."""

import typing

import attrs
import msgspec
import pytest

from oleanderdrift import codes
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model
from tests import config_records

SHA: typing.Final = config_state.key_digest('secret')
BASE: typing.Final[tuple[model.ConfigObject, ...]] = (
    model.ClientAccount(name='ward', rate_per_s=5, burst=10),
    model.ProgramClass(name='urgent', target_s=10),
    model.Model(name='m'),
    model.Tool(name='page', idempotent=False),
    model.Tool(name='look', idempotent=True),
    model.Route(name='r', prefix='/desk', tool='page'),
    model.Upstream(
        name='u',
        data_centre='dc',
        url='http://10.0.0.1:80',
        models=('m',),
        tools=('look',),
    ),
    model.ApiKey(name='k', client_account='ward', sha256=SHA),
)
KEY: typing.Final = {'name': 'j', 'client_account': 'ward', 'sha256': SHA}
ROUTE: typing.Final = {'name': 's', 'prefix': '/x', 'tool': 'look'}
OPEN: typing.Final = {**ROUTE, 'tool': 'page', 'open_to_all': True}


def change(
    kind: str, name: str, body: typing.Any, expected: int = -1
) -> messages.ConfigChange:
    """Returns a change; a body other than None goes as JSON."""
    made = config_records.remove(model.Kind.KEY, name, 'x', expected)
    data = None if body is None else msgspec.json.encode(body)
    return attrs.evolve(made, kind=kind, body=data)


@pytest.fixture
def config() -> model.Config:
    """A configuration of one object of each kind."""
    config = model.Config()
    for offset, item in enumerate(BASE, 1):
        made = config_records.set_object(item, item.name, 0)
        verdict = config_state.apply(config, offset, made)
        assert verdict.accepted, verdict
    return config


UPSTREAM: typing.Final = {'name': 'v', 'data_centre': 'd', 'url': 'http://h:1'}
SERVING: typing.Final = {**UPSTREAM, 'models': ['m']}


@pytest.mark.parametrize(
    ('kind', 'name', 'body', 'why'),
    [
        ('thing', 'a', {'name': 'a'}, 'no kind'),
        ('account', 'a', {'name': 'b', 'rate_per_s': 1, 'burst': 1}, 'names'),
        ('account', 'a', {'name': 'a', 'rate_per_s': 0, 'burst': 1}, 'above'),
        ('account', 'a', {'name': 'a', 'rate_per_s': 1, 'burst': 0}, 'above'),
        ('account', 'a', {'name': 'a', 'rate_per_s': 1}, 'missing'),
        ('account', 'a', {'name': 'a', 'rate_per_s': 'x', 'burst': 1}, 'got'),
        ('account', 'a', {'name': 'a', 'rate': 1}, 'unknown field'),
        ('account', 'a b', {'name': 'a b'}, 'must be letters'),
        ('account', 'a', [1], 'not a JSON object'),
        ('account', 'ward', None, 'used by key k'),
        ('account', 'none', None, 'there is no'),
        ('class', 'c', {'name': 'c', 'target_s': -1}, 'above 0'),
        ('key', 'j', {**KEY, 'client_account': 'no'}, 'no account'),
        ('key', 'j', KEY, 'same'),
        ('key', 'j', {**KEY, 'sha256': 'A'}, 'hex'),
        ('model', 'm', None, 'used by upstream u'),
        ('tool', 'page', None, 'used by route r'),
        ('tool', 'look', None, 'used by upstream u'),
        ('route', 's', {**ROUTE, 'tool': 'no'}, 'no tool'),
        ('route', 's', {**ROUTE, 'prefix': 'x'}, 'start'),
        ('route', 's', {**ROUTE, 'prefix': '/desk/'}, 'same'),
        ('route', 's', OPEN, 'open to all'),
        ('upstream', 'v', {**UPSTREAM, 'models': ['no']}, 'no model'),
        ('upstream', 'v', UPSTREAM, 'needs a model'),
        ('upstream', 'v', {**SERVING, 'url': 'ftp://h'}, 'url'),
        ('upstream', 'v', {**SERVING, 'url': 'http://u@h'}, 'url'),
        ('upstream', 'v', {**SERVING, 'url': 'http://h:x'}, 'url'),
    ],
)
def test_bad_change_is_refused(
    config: model.Config, kind: str, name: str, body: typing.Any, why: str
) -> None:
    before = config_state.snapshot(config)
    verdict = config_state.apply(config, 20, change(kind, name, body))
    assert verdict.code is codes.CONFIG_INVALID
    assert why in verdict.detail
    assert config_state.snapshot(config).objects == before.objects


@pytest.mark.parametrize(
    ('name', 'expected', 'accepted'),
    [
        ('ward', 1, True),
        ('ward', 0, False),
        ('ward', 2, False),
        ('new', 0, True),
        ('new', 1, False),
        ('ward', messages.ANY_VERSION, True),
    ],
)
def test_version_is_compared(
    config: model.Config, name: str, expected: int, accepted: bool
) -> None:
    body = model.ClientAccount(name=name, rate_per_s=9, burst=9)
    verdict = config_state.apply(
        config, 20, change('account', name, body, expected)
    )
    assert verdict.accepted is accepted
    assert verdict.code is (codes.OK if accepted else codes.CONFIG_CONFLICT)
    assert config.versions.get((model.Kind.ACCOUNT, name), 0) == (
        20 if accepted else {'ward': 1, 'new': 0}[name]
    )


def test_repeated_change_gets_the_first_verdict(config: model.Config) -> None:
    made = config_records.set_object(BASE[0], 'again', 1)
    first = config_state.apply(config, 20, made)
    fresh = model.Config()
    config_state.load(fresh, config_state.snapshot(config))
    for reader in (config, fresh):
        second = config_state.apply(reader, 21, made)
        assert (second.accepted, second.version) == (True, first.version)
        assert second.changes == ()
    assert config == fresh


def test_number_of_stored_verdicts_is_limited(config: model.Config) -> None:
    for offset in range(20, 30 + config_state.MAX_RECENT_VERDICTS):
        made = config_records.remove(model.Kind.MODEL, 'm', f'c{offset}')
        config_state.apply(config, offset, made)
    assert len(config.recent_verdicts) == config_state.MAX_RECENT_VERDICTS


def test_older_snapshots_and_records_are_not_applied(
    config: model.Config,
) -> None:
    old = config_state.snapshot(config)
    config_state.apply(config, 20, change('key', 'k', None))
    assert config_state.load(config, old) == ()
    assert not config.keys
    with pytest.raises(errors.ResultError) as caught:
        config_state.apply(config, 20, change('account', 'ward', None))
    assert caught.value.code is codes.INVARIANT_BROKEN


def test_loading_a_snapshot_returns_the_changes(config: model.Config) -> None:
    ahead = model.Config()
    config_state.load(ahead, config_state.snapshot(config))
    config_state.apply(ahead, 20, change('key', 'k', None))
    (done,) = config_state.load(config, config_state.snapshot(ahead))
    assert (done.name, done.before, done.after) == ('k', BASE[-1], None)
    assert config == ahead


@pytest.mark.parametrize(
    ('key', 'withdrawn', 'code'),
    [
        ('secret', (), None),
        ('', (), codes.MISSING_KEY),
        ('other', (), codes.UNKNOWN_KEY),
        ('secret', {SHA}, codes.UNKNOWN_KEY),
    ],
)
def test_authenticate(
    config: model.Config,
    key: str,
    withdrawn: set[str],
    code: codes.ResultCode | None,
) -> None:
    if code is None:
        assert config_state.authenticate(config, key, withdrawn) == BASE[-1]
        return
    with pytest.raises(errors.ResultError) as caught:
        config_state.authenticate(config, key, withdrawn)
    assert caught.value.code is code


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/desk', 'r'),
        ('/desk/a', 'r'),
        ('/desks', None),
        ('/desk/sub/a', 'sub'),
        ('/', None),
    ],
)
def test_route_with_the_longest_prefix(
    config: model.Config, path: str, name: str | None
) -> None:
    sub = model.Route(name='sub', prefix='/desk/sub/', tool='look')
    config_state.apply(config, 20, change('route', 'sub', sub))
    found = config_state.find_route(config, path)
    assert (found and found.name) == name
