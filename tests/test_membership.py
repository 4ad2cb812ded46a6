"""Who is alive, and homes of keys."""

import pytest

from oleanderdrift import errors
from oleanderdrift import membership


def member(name: str, *, leaving: bool = False) -> membership.Member:
    return membership.Member(
        name=name,
        data_centre='dc1',
        address='127.0.0.1',
        http_port=1,
        peer_port=2,
        leaving=leaving,
    )


def fleet(*names: str) -> membership.Members:
    members = membership.Members(this=member(names[0]))
    membership.update(members, 0.0, [member(name) for name in names])
    return members


def test_alive_leaves_out_the_leaving() -> None:
    members = membership.Members(this=member('a'))
    listed = [member('b'), member('c', leaving=True)]
    membership.update(members, 0.0, listed)
    assert [m.name for m in membership.alive(members, 0.0)] == ['a', 'b']


def test_home_moves_only_the_keys_of_the_lost_instance() -> None:
    keys = [str(number) for number in range(200)]
    whole = fleet('a', 'b', 'c', 'd')
    fewer = fleet('a', 'b', 'c')
    moved = set()
    for key in keys:
        before = membership.home(whole, 0.0, key).name
        if membership.home(fewer, 0.0, key).name != before:
            moved.add(before)
    assert moved == {'d'}


def test_home_of_an_empty_fleet_is_refused() -> None:
    members = membership.Members(this=member('a', leaving=True))
    with pytest.raises(errors.ResultError):
        membership.home(members, 0.0, 'key')
