"""Says which instances are alive and which one is home to a key.

The platform's lagging list of instances is folded in by update().
"""

import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors

_HASH_BYTES: typing.Final = 8


@attrs.frozen(kw_only=True)
class Member:
    """One instance, as the platform's list names it."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    leaving: bool = False


@attrs.define(kw_only=True)
class Members:
    """The instances known to this one, itself included."""

    this: Member
    listed: dict[str, Member] = attrs.field(factory=dict)


def update(members: Members, now: float, listed: list[Member]) -> None:
    """Takes in a fresh copy of the platform's list."""
    members.listed = {member.name: member for member in listed}


def alive(members: Members, now: float) -> list[Member]:
    """Returns the live instances that are not leaving, by name.

    This instance is always one of them unless it is leaving itself.
    """
    known = {**members.listed, members.this.name: members.this}
    return [known[name] for name in sorted(known) if not known[name].leaving]


def home(members: Members, now: float, key: str) -> Member:
    """Returns the key's home among the live instances.

    Rendezvous hashing moves only the keys of instances that come or go.
    Raises ResultError(SHUTTING_DOWN) where no instance is left.
    """
    live = alive(members, now)
    if not live:
        raise errors.ResultError(codes.SHUTTING_DOWN, 'no live instance')
    return max(live, key=lambda member: weight(member.name, key))


def weight(name: str, key: str) -> bytes:
    """Returns the rendezvous weight of a key on an instance."""
    return hashlib.blake2b(
        f'{name}\0{key}'.encode(), digest_size=_HASH_BYTES
    ).digest()
