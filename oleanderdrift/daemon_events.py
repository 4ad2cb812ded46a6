"""Handles peer messages and changes of membership and configuration."""

import asyncio
import time
import typing

from oleanderdrift import blackboard
from oleanderdrift import codes
from oleanderdrift import config_exchange
from oleanderdrift import config_peers
from oleanderdrift import daemon_parts
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import errors
from oleanderdrift import list_client
from oleanderdrift import logs
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import owner as owner_lib
from oleanderdrift import probes
from oleanderdrift import record_copies
from oleanderdrift import shard_manager
from oleanderdrift import share_feed

PROBE_TICK_S: typing.Final = 0.1
_SHARE_MESSAGES: typing.Final = (
    messages.BorrowTokens,
    messages.TokensLent,
    messages.TokensReturned,
    messages.BorrowPart,
    messages.PartLent,
)
_DISPATCH_OBJECT_KINDS: typing.Final = (
    model.Kind.UPSTREAM,
    model.Kind.CLASS,
    model.Kind.ACCOUNT,
)


async def poll_instance_list(daemon: daemon_parts.Daemon) -> None:
    """Polls the platform's instance list until cancelled."""
    interval_s = daemon.board.settings.platform.list_interval_s
    while True:
        try:
            listed = await daemon.list_client.read()
            _update_members(daemon, listed)
        except errors.ResultError as error:
            logs.info('list-read-failed', code=error.code.number)
        await asyncio.sleep(interval_s)


async def probe(daemon: daemon_parts.Daemon) -> None:
    """Probes the other instances until cancelled."""
    members = daemon.board.members
    previous = live_names(daemon.board)
    while True:
        await asyncio.sleep(PROBE_TICK_S)
        sends = probes.tick(daemon.prober, members, time.monotonic())
        send_all(daemon, sends)
        live = live_names(daemon.board)
        if previous - live:
            logs.info(
                'instances-lost', names=','.join(sorted(previous - live))
            )
            dispatch_lib.on_members(daemon.dispatch, previous - live)
        previous = live


def send_all(
    daemon: daemon_parts.Daemon, sends: list[outbound.OutboundMessage]
) -> None:
    """Sends each message to the instance it is addressed to."""
    for send in sends:
        send_to(daemon, send.to, send.message)


def _update_members(
    daemon: daemon_parts.Daemon, entries: list[list_client.ListedInstance]
) -> None:
    now = time.monotonic()
    members = daemon.board.members
    before = set(members.listed)
    listed_members = [
        membership.Member(
            name=entry.name,
            data_centre=entry.data_centre,
            address=entry.address,
            http_port=entry.http_port,
            peer_port=entry.peer_port,
            leaving=entry.state == 'leaving',
        )
        for entry in entries
    ]
    membership.update(members, now, listed_members)
    gone = before - set(members.listed) - {members.this.name}
    if gone:
        owner_lib.on_members_gone(daemon.owner, gone)


async def on_peer_message(
    daemon: daemon_parts.Daemon, sender: str, message: messages.Message
) -> messages.Message | None:
    """Handles a peer's message; returns the reply, or None for none."""
    if isinstance(message, messages.Probe | messages.ProbeAnswer):
        send_all(
            daemon,
            probes.receive(
                daemon.prober,
                daemon.board.members,
                time.monotonic(),
                sender,
                message,
            ),
        )
        return None
    if isinstance(message, _SHARE_MESSAGES):
        share_feed.receive_message(daemon.context.shares, sender, message)
        return None
    match message:
        case messages.SlotRequest():
            return await dispatch_lib.wait_for_slot(
                daemon.dispatch, sender, message
            )
        case messages.ReadShares():
            return share_feed.read_shares(daemon.context.shares)
        case messages.ReadConfig() | messages.KeysWithdrawn():
            return config_exchange.handle(
                daemon.feed,
                message,
                daemon.peers.send,
                config_peer_addresses(daemon.board),
            )
        case messages.PromiseRequest():
            return shard_manager.on_promise_request(
                daemon.shard_manager, time.monotonic(), message
            )
        case messages.CopyRecords():
            return record_copies.keep(
                daemon.shard_manager.fleet, daemon.commit, message
            )
        case messages.SlotReleased():
            dispatch_lib.on_release(daemon.dispatch, message)
            return None
        case _:
            return await owner_lib.handle(daemon.owner, sender, message)


def on_late_reply(
    daemon: daemon_parts.Daemon, peer: str, message: messages.Message
) -> None:
    """Releases what a grant reserved if it arrived too late to be used."""
    match message:
        case messages.CallGranted():
            daemon.peers.send(
                peer,
                messages.EndCall(
                    program=message.program,
                    call=message.call,
                    attempt=message.attempt,
                    fencing_token=message.fencing_token,
                    execution=codes.Execution.NOT_RUN,
                    status=codes.OWNER_UNAVAILABLE.status,
                    tokens=0,
                    upstream='',
                    service_s=0.0,
                ),
            )
        case messages.SlotGranted():
            daemon.peers.send(
                peer,
                messages.SlotReleased(
                    call_id=message.call_id,
                    upstream=message.upstream,
                    failed=False,
                    first_token_s=0.0,
                    duration_s=0.0,
                    tokens=0,
                ),
            )


def on_change(daemon: daemon_parts.Daemon, change: model.ObjectChange) -> None:
    """Updates dispatch and ends calls after a configuration change.

    Calls are ended if their key was removed or replaced.
    """
    if change.kind in _DISPATCH_OBJECT_KINDS:
        dispatch_lib.on_config(daemon.dispatch)
    before, after = change.before, change.after
    if isinstance(before, model.ApiKey):
        still_valid = isinstance(after, model.ApiKey) and (
            after.sha256 == before.sha256
        )
        if not still_valid:
            end_calls(daemon.board, before.sha256)


def end_calls(board: blackboard.Board, key_sha256: str) -> None:
    """Aborts the open calls of a withdrawn key."""
    for call in list(board.open_calls.values()):
        if call.key_sha256 == key_sha256:
            call.abort()


def live_names(board: blackboard.Board) -> set[str]:
    """Returns the names of the instances that are alive."""
    members = membership.alive(board.members, time.monotonic())
    return {member.name for member in members}


def neighbours(board: blackboard.Board, key: str) -> list[str]:
    """Returns the other live instances of the data centre, best first."""
    this = board.members.this
    names = [
        member.name
        for member in membership.alive(board.members, time.monotonic())
        if member.data_centre == this.data_centre and member.name != this.name
    ]
    return sorted(names, key=lambda name: membership.weight(name, key))


def send_to(
    daemon: daemon_parts.Daemon, name: str, message: messages.Message
) -> None:
    """Sends a message to an instance, if it is listed."""
    member = daemon.board.members.listed.get(name)
    if member is not None:
        daemon.peers.send(dispatch_lib.peer_address(member), message)


def config_peer_addresses(board: blackboard.Board) -> list[str]:
    """Returns the peer addresses for the exchange of configuration."""
    now = time.monotonic()
    return [
        dispatch_lib.peer_address(member)
        for member in config_peers.neighbours(board.members, now)
    ]
