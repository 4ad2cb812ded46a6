"""Finds what a valid configuration says in vain, or against itself.

Operators change configurations many times a day; a route that never
matches, or an account that admits nothing, shows only as refused requests.
"""

import collections.abc
import enum
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import regions as regions_lib

# A request without a deadline has this long.
DEADLINE_S: typing.Final = 30.0


class Section(enum.Enum):
    """The parts of a configuration that have several entries."""

    ROUTE = 'route'
    SERVICE = 'service'
    ACCOUNT = 'account'


@attrs.frozen(kw_only=True)
class Finding:
    """What is wrong with an entry, by its place in its section."""

    section: Section
    place: int
    text: str


@attrs.frozen(kw_only=True)
class Listed:
    """A configuration with all that its file lists.

    services holds their names in the file's order, and accounts each with
    its keys: the configuration itself keeps one of equals.
    """

    config: model.Configuration
    services: tuple[str, ...]
    accounts: tuple[tuple[model.ClientAccount, tuple[str, ...]], ...]


@attrs.frozen(kw_only=True)
class Difference:
    """How an entry differs between two configurations."""

    section: Section
    name: str
    text: str


def check(
    listed: Listed, known_regions: frozenset[str] | None
) -> list[Finding]:
    """Returns all findings; known_regions is None if not known."""
    found = [
        Finding(section=section, place=place, text=text)
        for section, pairs in (
            (Section.ROUTE, _check_routes(listed)),
            (Section.SERVICE, _check_services(listed)),
            (Section.ACCOUNT, _check_accounts(listed)),
            (Section.ROUTE, _check_bindings(listed)),
        )
        for place, text in pairs
    ]
    if known_regions is not None:
        found += _check_regions(listed, known_regions)
    return found


Pairs: typing.TypeAlias = collections.abc.Iterator[tuple[int, str]]


def _check_routes(listed: Listed) -> Pairs:
    """Yields what is wrong with each route alone and beside the others."""
    first: dict[tuple[str, str], int] = {}
    for place, route in enumerate(listed.config.routes):
        earlier = first.setdefault((route.host, route.path_prefix), place)
        if earlier != place:
            yield place, f'never matches: route {earlier} has its prefix'
        if route.path_prefix and not route.path_prefix.startswith('/'):
            yield place, 'never matches: its prefix does not begin with /'
        if '?' in route.path_prefix:
            yield place, 'never matches: paths contain no ?'
        for one in route.services:
            if one.service not in listed.config.services:
                yield place, f'leads to {one.service!r}, which is no service'
            if one.weight == 0:
                yield place, f'{one.service!r} has weight 0 and gets nothing'
        if route.timeout_s > DEADLINE_S:
            yield (
                place,
                f'its timeout of {route.timeout_s:g} s is over the '
                f'{DEADLINE_S:g} s of requests without a deadline',
            )
        if route.target_s > route.timeout_s:
            yield (
                place,
                f'its target of {route.target_s:g} s is over its timeout of '
                f'{route.timeout_s:g} s',
            )


def _check_services(listed: Listed) -> Pairs:
    """Yields services that nothing leads to, and names used again."""
    used = {
        one.service for route in listed.config.routes for one in route.services
    }
    for place, name in enumerate(listed.services):
        if name not in used:
            yield place, f'no route leads to {name!r}'
        if name in listed.services[:place]:
            yield place, f'another service is named {name!r} too'


def _check_accounts(listed: Listed) -> Pairs:
    """Yields accounts that admit nothing."""
    owners = {
        key: place
        for place, (_, keys) in enumerate(listed.accounts)
        for key in keys
    }
    for place, (account, keys) in enumerate(listed.accounts):
        if not keys:
            yield place, f'{account.name!r} has no keys'
        lost = sum(owners[key] != place for key in set(keys))
        if lost:
            yield (
                place,
                f'{lost} keys of {account.name!r} belong to a later account',
            )
        if account.rate_per_s > 0 and account.burst < 1:
            yield (
                place,
                f'{account.name!r} has a burst of {account.burst:g}, below '
                'one request, and admits none',
            )


def _check_bindings(listed: Listed) -> Pairs:
    """Yields routes whose regions no account has as well."""
    accounts = [account for account, keys in listed.accounts if keys]
    for place, route in enumerate(listed.config.routes):
        if route.public or not accounts or not route.regions:
            continue
        allowed = [regions_lib.allowed(route, one) for one in accounts]
        if not any(allowed):
            yield place, 'no account may reach any of its regions'


def _check_regions(
    listed: Listed, known_regions: frozenset[str]
) -> list[Finding]:
    """Returns the entries with regions that no data centre is in."""
    bound: list[tuple[Section, int, frozenset[str]]] = [
        (Section.ROUTE, place, route.regions)
        for place, route in enumerate(listed.config.routes)
    ]
    bound += [
        (Section.ACCOUNT, place, account.regions)
        for place, (account, _) in enumerate(listed.accounts)
    ]
    return [
        Finding(
            section=section,
            place=place,
            text=f'no data centre is in region {region!r}',
        )
        for section, place, names in bound
        for region in sorted(names - known_regions)
    ]


def differences(old: Listed, new: Listed) -> list[Difference]:
    """Returns how a configuration differs from an earlier one."""
    found = []
    for section in Section:
        before, after = _entries(old, section), _entries(new, section)
        for name in [*before, *(one for one in after if one not in before)]:
            if name not in after:
                text = 'removed'
            elif name not in before:
                text = 'added'
            else:
                text = _changes(before[name], after[name])
            if text:
                found.append(Difference(section=section, name=name, text=text))
    return found


def _entries(
    listed: Listed, section: Section
) -> dict[str, dict[str, typing.Any]]:
    """Returns the fields of a section's entries by name."""
    entries: dict[str, dict[str, typing.Any]] = {}
    match section:
        case Section.ROUTE:
            for route in listed.config.routes:
                name = route.name or f'{route.host}{route.path_prefix}'
                entries[name] = _fields(route)
        case Section.SERVICE:
            for each, service in listed.config.services.items():
                entries[each] = _fields(service)
        case Section.ACCOUNT:
            for account, keys in listed.accounts:
                entries[account.name] = _fields(account)
                entries[account.name]['keys'] = frozenset(keys)
    return entries


def _fields(entry: attrs.AttrsInstance) -> dict[str, typing.Any]:
    """Returns an entry's fields; nested entries stay as they are."""
    return attrs.asdict(entry, recurse=False)


def _changes(old: dict[str, typing.Any], new: dict[str, typing.Any]) -> str:
    """Returns the changed fields as text; keys are counted, not shown."""
    texts = []
    for field, value in new.items():
        before = old[field]
        if before == value:
            continue
        if field == 'keys':
            texts.append(f'keys +{len(value - before)}-{len(before - value)}')
        else:
            texts.append(f'{field} {_text(before)} -> {_text(value)}')
    return ', '.join(texts)


def _text(value: object) -> str:
    match value:
        case frozenset():
            return '|'.join(sorted(value)) or 'any'
        case tuple():
            return '|'.join(f'{one.service}:{one.weight:g}' for one in value)
        case enum.Enum():
            return str(value.value)
        case float():
            return f'{value:g}'
    return str(value)
