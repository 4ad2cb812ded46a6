"""Sends messages on a program to the instance that owns its shard."""

import collections.abc
import time
import typing

import attrs

from oleanderdrift import blackboard
from oleanderdrift import codes
from oleanderdrift import dispatch
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import owner as owner_lib
from oleanderdrift import peers

RETRY_AFTER_S: typing.Final = 1.0

Holders: typing.TypeAlias = collections.abc.Callable[[str], str]


@attrs.define(kw_only=True)
class OwnerClient:
    """Finds owners; holder_of names the instance that holds a shard."""

    board: blackboard.Board
    owner: owner_lib.Owner
    peers: peers.Peers
    holder_of: Holders


async def ask(
    client: OwnerClient, program: str, message: messages.Message
) -> messages.Message:
    """Asks a program's owner; a program of '' is a new one, owned here.

    Raises ResultError(OWNER_UNAVAILABLE) when the owner does not answer.
    """
    this = client.board.settings.instance.name
    shard = ledger_lib.shard_of(program) if program else client.board.shard
    holder = client.holder_of(shard)
    if holder == this:
        return await owner_lib.handle(client.owner, this, message)
    member = _member(client.board.members, holder)
    timeout_s = client.board.settings.fleet.peer_timeout_s
    timeout_s += client.board.settings.platform.timeout_s
    try:
        return await client.peers.request(
            dispatch.peer_address(member), message, timeout_s
        )
    except errors.ResultError as error:
        if error.code is not codes.PEER_UNREACHABLE:
            raise
        raise errors.ResultError(
            codes.OWNER_UNAVAILABLE,
            f'instance {holder} does not answer',
            retry_after_s=RETRY_AFTER_S,
        ) from error


def _member(members: membership.Members, name: str) -> membership.Member:
    for member in membership.alive(members, time.monotonic()):
        if member.name == name:
            return member
    listed = members.listed.get(name)
    if listed is not None:
        return listed
    raise errors.ResultError(
        codes.OWNER_UNAVAILABLE,
        f'instance {name} is not known',
        retry_after_s=RETRY_AFTER_S,
    )
