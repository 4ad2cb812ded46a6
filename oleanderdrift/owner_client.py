"""Sends messages about a program to the instance that owns its shard."""

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
from oleanderdrift import programs
from oleanderdrift import shard_manager

RETRY_AFTER_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class OwnerClient:
    """Finds the owner of a program and sends messages to it."""

    board: blackboard.Board
    owner: owner_lib.Owner
    peers: peers.Peers
    shard_manager: shard_manager.ShardManager


async def ask(
    client: OwnerClient, program: str, message: messages.Message
) -> messages.Message:
    """Asks a program's owner; an empty program is a new one, owned here.

    If the owner does not answer, raises ResultError(OUTCOME_UNAVAILABLE)
    for a call that may be a repeat of one that ran, and
    ResultError(OWNER_UNAVAILABLE) for any other message.
    """
    try:
        return await _ask(client, program, message)
    except errors.ResultError as error:
        raise programs.error_without_owner(message, error) from error


async def _ask(
    client: OwnerClient, program: str, message: messages.Message
) -> messages.Message:
    this = client.board.settings.instance.name
    holder = this
    if program:
        shard = ledger_lib.shard_of(program)
        holder = shard_manager.holder_of(client.shard_manager, shard)
    if holder == this:
        return await owner_lib.handle(client.owner, this, message)
    try:
        return await ask_instance(client, holder, message)
    except errors.ResultError as error:
        if error.code is not codes.PEER_UNREACHABLE:
            raise
        raise errors.ResultError(
            codes.OWNER_UNAVAILABLE,
            f'instance {holder} does not answer',
            retry_after_s=RETRY_AFTER_S,
        ) from error


async def ask_instance(
    client: OwnerClient, name: str, message: messages.Message
) -> messages.Message:
    """Asks an instance by name; raises ResultError."""
    member = _member(client.board.members, name)
    timeout_s = client.board.settings.fleet.peer_timeout_s
    timeout_s += client.board.settings.platform.timeout_s
    return await client.peers.request(
        dispatch.peer_address(member), message, timeout_s
    )


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
