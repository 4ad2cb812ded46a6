"""Tracks which instances are alive and which one is home to a key.

The platform's list, applied by update(), gives the instances that exist
and their addresses, with some delay.  Probes between peers (module
probes) detect sooner which of them have failed, are suspected or are
leaving.  Without probes the list alone decides.
"""

import enum
import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors

MAX_CACHED_HOMES: typing.Final = 10_000
_HASH_BYTES: typing.Final = 8


@attrs.frozen(kw_only=True)
class Member:
    """One instance, as given by the platform's list."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    leaving: bool = False


class Health(enum.IntEnum):
    """A member's state; within an incarnation the highest value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.define(kw_only=True)
class View:
    """The state of another member as known here, and since when."""

    health: Health
    incarnation: int
    since_s: float


@attrs.define(kw_only=True)
class Members:
    """The instances known to this one, itself included.

    incarnation is this instance's own; only it raises it, to refute what
    others say of it.  cached_live and cached_homes hold the results of
    alive and home until the next change.
    """

    this: Member
    listed: dict[str, Member] = attrs.field(factory=dict)
    views: dict[str, View] = attrs.field(factory=dict)
    incarnation: int = 0
    cached_live: list[Member] | None = None
    cached_homes: dict[str, Member] = attrs.field(factory=dict)


def update(members: Members, now: float, listed: list[Member]) -> None:
    """Applies a new copy of the platform's list."""
    members.listed = {member.name: member for member in listed}
    for name in members.views.keys() - members.listed.keys():
        del members.views[name]
    _clear_caches(members)


def set_view(members: Members, name: str, view: View) -> None:
    """Replaces the known state of another member."""
    members.views[name] = view
    _clear_caches(members)


def set_leaving(members: Members) -> None:
    """Marks this instance as leaving."""
    members.this = attrs.evolve(members.this, leaving=True)
    _clear_caches(members)


def known(members: Members) -> dict[str, Member]:
    """Returns all listed instances and this one, by name."""
    return {**members.listed, members.this.name: members.this}


def alive(members: Members, now: float) -> list[Member]:
    """Returns the live instances that are not leaving, sorted by name.

    A suspected instance counts as alive until its failure is confirmed.
    This instance is always included unless it is leaving itself.
    """
    if members.cached_live is None:
        members_by_name = known(members)
        members.cached_live = [
            members_by_name[name]
            for name in sorted(members_by_name)
            if _is_active(members, members_by_name[name])
        ]
    return list(members.cached_live)


def home(members: Members, now: float, key: str) -> Member:
    """Returns the key's home among the live instances.

    Rendezvous hashing moves only the keys of instances that join or leave.
    Raises ResultError(SHUTTING_DOWN) if no instance is alive.
    """
    chosen = members.cached_homes.get(key)
    if chosen is not None:
        return chosen
    live = alive(members, now)
    if not live:
        raise errors.ResultError(codes.SHUTTING_DOWN, 'no live instance')
    chosen = max(live, key=lambda member: weight(member.name, key))
    if len(members.cached_homes) >= MAX_CACHED_HOMES:
        members.cached_homes.clear()
    members.cached_homes[key] = chosen
    return chosen


def weight(name: str, key: str) -> bytes:
    """Returns the rendezvous weight of a key on an instance."""
    return hashlib.blake2b(
        f'{name}\0{key}'.encode(), digest_size=_HASH_BYTES
    ).digest()


def _clear_caches(members: Members) -> None:
    members.cached_live = None
    members.cached_homes.clear()


def _is_active(members: Members, member: Member) -> bool:
    if member.leaving:
        return False
    view = members.views.get(member.name)
    return view is None or view.health < Health.LEAVING
