"""What an instance does when peers, the list or the configuration change."""

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
_DISPATCH_KINDS: typing.Final = (
    model.Kind.UPSTREAM,
    model.Kind.CLASS,
    model.Kind.ACCOUNT,
)


async def follow_list(daemon: daemon_parts.Daemon) -> None:
    """Follows the platform's list of instances for ever."""
    interval_s = daemon.board.settings.platform.list_interval_s
    while True:
        try:
            listed = await daemon.listing.read()
            _on_list(daemon, listed)
        except errors.ResultError as error:
            logs.info('list-read-failed', code=error.code.number)
        await asyncio.sleep(interval_s)


async def probe(daemon: daemon_parts.Daemon) -> None:
    """Probes the other instances for ever."""
    members = daemon.board.members
    before = live_names(daemon.board)
    while True:
        await asyncio.sleep(PROBE_TICK_S)
        sends = probes.tick(daemon.prober, members, time.monotonic())
        post(daemon, sends)
        live = live_names(daemon.board)
        if before - live:
            logs.info('instances-gone', names=','.join(sorted(before - live)))
            dispatch_lib.on_members(daemon.dispatch, before - live)
        before = live


def post(
    daemon: daemon_parts.Daemon, sends: list[outbound.OutboundMessage]
) -> None:
    """Sends messages to the instances they are for."""
    for send in sends:
        send_to(daemon, send.to, send.message)


def _on_list(
    daemon: daemon_parts.Daemon, listed: list[list_client.ListedInstance]
) -> None:
    now = time.monotonic()
    members = daemon.board.members
    before = set(members.listed)
    fresh = [
        membership.Member(
            name=entry.name,
            data_centre=entry.data_centre,
            address=entry.address,
            http_port=entry.http_port,
            peer_port=entry.peer_port,
            leaving=entry.state == 'leaving',
        )
        for entry in listed
    ]
    membership.update(members, now, fresh)
    gone = before - set(members.listed) - {members.this.name}
    if gone:
        owner_lib.on_members_gone(daemon.owner, gone)


async def on_peer(
    daemon: daemon_parts.Daemon, sender: str, message: messages.Message
) -> messages.Message | None:
    """Handles a peer's message; returns the answer, if there is one."""
    if isinstance(message, messages.Probe | messages.ProbeAnswer):
        post(
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
                config_addresses(daemon.board),
            )
        case messages.PromiseRequest():
            return shard_manager.on_promise_request(
                daemon.shard_manager, time.monotonic(), message
            )
        case messages.SlotReleased():
            dispatch_lib.on_release(daemon.dispatch, message)
            return None
        case _:
            return await owner_lib.handle(daemon.owner, sender, message)


def on_late(
    daemon: daemon_parts.Daemon, peer: str, message: messages.Message
) -> None:
    """Undoes what a grant gives that comes too late to be used."""
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
    """Passes a change of the configuration on to whom it concerns."""
    if change.kind in _DISPATCH_KINDS:
        dispatch_lib.on_config(daemon.dispatch)
    before, after = change.before, change.after
    if isinstance(before, model.ApiKey):
        kept = isinstance(after, model.ApiKey) and (
            after.sha256 == before.sha256
        )
        if not kept:
            end_calls(daemon.board, before.sha256)


def end_calls(board: blackboard.Board, key_sha256: str) -> None:
    """Ends the open calls of a key that was withdrawn."""
    for call in list(board.open_calls.values()):
        if call.key_sha256 == key_sha256:
            call.abort()


def live_names(board: blackboard.Board) -> set[str]:
    """Returns the names of the instances that are alive."""
    members = membership.alive(board.members, time.monotonic())
    return {member.name for member in members}


def send_to(
    daemon: daemon_parts.Daemon, name: str, message: messages.Message
) -> None:
    """Sends a message to an instance, if it is listed."""
    member = daemon.board.members.listed.get(name)
    if member is not None:
        daemon.peers.send(dispatch_lib.peer_address(member), message)


def config_addresses(board: blackboard.Board) -> list[str]:
    """Returns the peer addresses of the neighbours that config asks."""
    now = time.monotonic()
    return [
        dispatch_lib.peer_address(member)
        for member in config_peers.neighbours(board.members, now)
    ]
