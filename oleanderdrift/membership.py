"""Says which instances are alive and which one is home to a key.

The platform's lagging list, folded in by update(), says who exists and
where.  Probes between peers (module probes) say sooner who has failed, is
suspected or leaves.  With no probes the list alone decides.
"""

import enum
import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors

MAX_HOMES: typing.Final = 10_000
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


class Health(enum.IntEnum):
    """What peers say of a member; the higher wins in one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.define(kw_only=True)
class View:
    """What this instance believes of one other member, since when."""

    health: Health
    incarnation: int
    since_s: float


@attrs.define(kw_only=True)
class Members:
    """The instances known to this one, itself included.

    incarnation is this instance's own; only it raises it, to refute what
    others say of it.  live and homes keep answers until a change.
    """

    this: Member
    listed: dict[str, Member] = attrs.field(factory=dict)
    views: dict[str, View] = attrs.field(factory=dict)
    incarnation: int = 0
    live: list[Member] | None = None
    homes: dict[str, Member] = attrs.field(factory=dict)


def update(members: Members, now: float, listed: list[Member]) -> None:
    """Takes in a fresh copy of the platform's list."""
    members.listed = {member.name: member for member in listed}
    for name in members.views.keys() - members.listed.keys():
        del members.views[name]
    _forget_answers(members)


def set_view(members: Members, name: str, view: View) -> None:
    """Takes in what is newly believed of another member."""
    members.views[name] = view
    _forget_answers(members)


def set_leaving(members: Members) -> None:
    """Marks this instance as leaving."""
    members.this = attrs.evolve(members.this, leaving=True)
    _forget_answers(members)


def known(members: Members) -> dict[str, Member]:
    """Returns all instances of the list and this one, by name."""
    return {**members.listed, members.this.name: members.this}


def alive(members: Members, now: float) -> list[Member]:
    """Returns the live instances that are not leaving, by name.

    A suspected one counts as alive until its suspicion is confirmed.
    This instance is always one of them unless it is leaving itself.
    """
    if members.live is None:
        everyone = known(members)
        members.live = [
            everyone[name]
            for name in sorted(everyone)
            if _takes_part(members, everyone[name])
        ]
    return list(members.live)


def home(members: Members, now: float, key: str) -> Member:
    """Returns the key's home among the live instances.

    Rendezvous hashing moves only the keys of instances that come or go.
    Raises ResultError(SHUTTING_DOWN) where no instance is left.
    """
    chosen = members.homes.get(key)
    if chosen is not None:
        return chosen
    live = alive(members, now)
    if not live:
        raise errors.ResultError(codes.SHUTTING_DOWN, 'no live instance')
    chosen = max(live, key=lambda member: weight(member.name, key))
    if len(members.homes) >= MAX_HOMES:
        members.homes.clear()
    members.homes[key] = chosen
    return chosen


def weight(name: str, key: str) -> bytes:
    """Returns the rendezvous weight of a key on an instance."""
    return hashlib.blake2b(
        f'{name}\0{key}'.encode(), digest_size=_HASH_BYTES
    ).digest()


def _forget_answers(members: Members) -> None:
    members.live = None
    members.homes.clear()


def _takes_part(members: Members, member: Member) -> bool:
    if member.leaving:
        return False
    view = members.views.get(member.name)
    return view is None or view.health < Health.LEAVING
