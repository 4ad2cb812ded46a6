"""Finds a request's route, service and client account.

The results depend only on the request and the configuration, not on load.
"""

import hashlib
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model

_HASH_RANGE: typing.Final = 2**64


def find_route(
    config: model.Configuration, host: str, target: str
) -> model.Route:
    """Returns the route with the longest prefix of the target's path.

    Raises ResultError UNKNOWN_ROUTE.
    """
    path = target.partition('?')[0]
    found = None
    for route in config.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if found is None or len(route.path_prefix) > len(found.path_prefix):
            found = route
    if found is None:
        raise errors.ResultError(codes.UNKNOWN_ROUTE)
    return found


def find_account(
    config: model.Configuration, route: model.Route, key: str | None
) -> model.ClientAccount | None:
    """Returns the owner of a key, or None on public routes.

    Raises ResultError MISSING_KEY or UNKNOWN_KEY.
    """
    if config.accounts_by_key is None or route.public:
        return None
    if key is None:
        raise errors.ResultError(codes.MISSING_KEY)
    account = config.accounts_by_key.get(key)
    if account is None:
        raise errors.ResultError(codes.UNKNOWN_KEY)
    return account


def choose_service(route: model.Route, request: model.Request) -> str:
    """Returns the service for a request by the route's weights.

    Requests of one session go to one service, where their prompts are
    cached.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(one.weight for one in services)
    place = hash_fraction(request.session_id or request.request_id) * total
    for one in services:
        place -= one.weight
        if place < 0:
            return one.service
    return services[-1].service


def hash_fraction(text: str) -> float:
    """Maps a text to a number in [0, 1), the same on every instance."""
    return hash_of(text) / _HASH_RANGE


def hash_of(text: str) -> int:
    """Returns a 64-bit hash that is the same on every instance."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def two_partitions(name: str, partitions: int) -> tuple[int, int]:
    """Returns two partitions for a name, distinct if there are several."""
    first = hash_of(name) % partitions
    step = 1 + hash_of(f'{name}+') % max(partitions - 1, 1)
    return first, (first + step) % partitions
