"""Tests of the live members and of the homes of keys."""

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


def test_alive_excludes_leaving_members() -> None:
    members = membership.Members(this=member('a'))
    listed = [member('b'), member('c', leaving=True)]
    membership.update(members, 0.0, listed)
    assert [m.name for m in membership.alive(members, 0.0)] == ['a', 'b']


def test_home_moves_only_the_keys_of_the_lost_instance() -> None:
    keys = [str(number) for number in range(200)]
    before_loss = fleet('a', 'b', 'c', 'd')
    after_loss = fleet('a', 'b', 'c')
    moved_from = set()
    for key in keys:
        before = membership.home(before_loss, 0.0, key).name
        if membership.home(after_loss, 0.0, key).name != before:
            moved_from.add(before)
    assert moved_from == {'d'}


def test_home_of_an_empty_fleet_is_refused() -> None:
    members = membership.Members(this=member('a', leaving=True))
    with pytest.raises(errors.ResultError):
        membership.home(members, 0.0, 'key')
