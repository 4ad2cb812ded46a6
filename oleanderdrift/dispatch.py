"""Acquires and releases upstream slots through dispatch groups.

Each group is scheduled by one instance, its home, which rendezvous hashing
chooses among the live instances.  Any instance may ask the home for a slot
or be the home itself.  If the home stops answering while a request waits,
the request goes to the next home; the call has not been dispatched yet, so
it cannot run twice.
"""

import asyncio
import collections.abc
import time
import typing

import attrs
import msgspec

from oleanderdrift import blackboard
from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import dispatch_group
from oleanderdrift import errors
from oleanderdrift import http_out
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import peers
from oleanderdrift import retention
from oleanderdrift import scheduler
from oleanderdrift import slot_grants

MAX_HOME_ATTEMPTS: typing.Final = 4
AVOID_S: typing.Final = 10.0
MIN_WAKEUP_S: typing.Final = 0.001
LOAD_INTERVAL_S: typing.Final = 1.0
LOAD_PATH: typing.Final = '/v1/load'

PrefixReleaser: typing.TypeAlias = collections.abc.Callable[
    [retention.Release], None
]
_Decision: typing.TypeAlias = messages.SlotGranted | messages.SlotRefused


@attrs.define(kw_only=True)
class Dispatch:
    """The dispatch controller of one instance.

    release tells an upstream to evict the cached prefix of a program.
    avoided_until maps each instance that did not answer to the time from
    which it may be chosen as a home again.  pending holds the requests
    queued here, by call id, and timers the next poll of each group.
    """

    board: blackboard.Board
    peers: peers.Peers
    upstream_client: http_out.UpstreamClient
    release: PrefixReleaser
    avoided_until: dict[str, float] = attrs.field(factory=dict)
    timers: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    pending: dict[str, asyncio.Future[_Decision]] = attrs.field(factory=dict)


def get_or_create_group(
    dispatch: Dispatch, service: str
) -> dispatch_group.DispatchGroup:
    """Returns the group of a model or tool, created if it is missing."""
    board = dispatch.board
    group = board.groups.get(service)
    if group is None:
        group = dispatch_group.DispatchGroup(name=service)
        board.groups[service] = group
        configure(board.config, group)
    return group


def configure(
    config: model.Config, group: dispatch_group.DispatchGroup
) -> None:
    """Applies the configuration in force to a group."""
    now = time.monotonic()
    scheduler.set_upstreams(group, now, upstreams_of(config, group.name))
    scheduler.set_classes(group, now, config.classes.values())
    scheduler.set_accounts(group, now, config.accounts.values())


def upstreams_of(config: model.Config, service: str) -> list[model.Upstream]:
    """Returns the upstreams that serve a model or tool."""
    return [
        upstream
        for upstream in config.upstreams.values()
        if service in upstream.models or service in upstream.tools
    ]


async def acquire(
    dispatch: Dispatch, request: messages.SlotRequest
) -> messages.SlotGranted:
    """Waits for a slot; raises ResultError with the code of a refusal.

    The code is OVERLOADED where no home answers.
    """
    timeout_s = dispatch.board.settings.limits.queue_timeout_s
    for _attempt in range(MAX_HOME_ATTEMPTS):
        home = _find_home(dispatch, request.service)
        try:
            decision = await _request_slot(dispatch, home, request, timeout_s)
        except errors.ResultError as error:
            if error.code is not codes.PEER_UNREACHABLE:
                raise
            dispatch.avoided_until[home.name] = time.monotonic() + AVOID_S
            continue
        if isinstance(decision, messages.SlotGranted):
            return decision
        raise errors.ResultError(
            codes.TABLE[decision.code], retry_after_s=decision.retry_after_s
        )
    raise errors.ResultError(
        codes.OVERLOADED,
        f'no home instance answered for dispatch group {request.service!r}',
        retry_after_s=1.0,
    )


def _find_home(dispatch: Dispatch, service: str) -> membership.Member:
    now = time.monotonic()
    members = dispatch.board.members
    for name in [
        n for n, until in dispatch.avoided_until.items() if until <= now
    ]:
        del dispatch.avoided_until[name]
    key = f'group {service}'
    if not dispatch.avoided_until:
        return membership.home(members, now, key)
    answering = [
        member
        for member in membership.alive(members, now)
        if member.name not in dispatch.avoided_until
    ]
    return max(
        answering or [members.this],
        key=lambda member: membership.weight(member.name, key),
    )


async def _request_slot(
    dispatch: Dispatch,
    home: membership.Member,
    request: messages.SlotRequest,
    timeout_s: float,
) -> _Decision:
    this = dispatch.board.settings.instance.name
    if home.name == this:
        return await wait_for_slot(dispatch, this, request)
    reply = await dispatch.peers.request(
        peer_address(home), request, timeout_s + 1.0
    )
    if isinstance(reply, messages.SlotGranted | messages.SlotRefused):
        return reply
    raise errors.ResultError(
        codes.PEER_UNREACHABLE, 'unexpected reply to a slot request'
    )


def peer_address(member: membership.Member) -> str:
    """Returns the address of a member's peer socket."""
    return f'{member.address}:{member.peer_port}'


def release_slot(
    dispatch: Dispatch, service: str, released: messages.SlotReleased
) -> None:
    """Releases a slot at the group's home.

    The home may have moved since the slot was granted.
    """
    home = _find_home(dispatch, service)
    if home.name == dispatch.board.settings.instance.name:
        on_release(dispatch, released)
    else:
        dispatch.peers.send(peer_address(home), released)


async def wait_for_slot(
    dispatch: Dispatch, holder: str, request: messages.SlotRequest
) -> _Decision:
    """Queues a call at this instance, the group's home, until decided."""
    group = get_or_create_group(dispatch, request.service)
    future: asyncio.Future[_Decision] = (
        asyncio.get_running_loop().create_future()
    )
    dispatch.pending[request.call_id] = future
    scheduler.submit(group, time.monotonic(), request, holder)
    poll_group(dispatch, group)
    limits = dispatch.board.settings.limits
    try:
        return await asyncio.wait_for(future, limits.queue_timeout_s)
    except TimeoutError:
        return messages.SlotRefused(
            call_id=request.call_id,
            code=codes.OVERLOADED.number,
            retry_after_s=1.0,
        )
    finally:
        dispatch.pending.pop(request.call_id, None)
        if not future.done() or future.cancelled():
            scheduler.withdraw(group, time.monotonic(), request.call_id)
            poll_group(dispatch, group)


def poll_group(
    dispatch: Dispatch, group: dispatch_group.DispatchGroup
) -> None:
    """Polls a group and delivers its decisions and prefix releases.

    A grant whose request is no longer pending is withdrawn.  The next poll
    is scheduled where the group asks for one.
    """
    now = time.monotonic()
    for decision in slot_grants.poll(group, now):
        future = dispatch.pending.get(decision.call_id)
        if future is not None and not future.done():
            future.set_result(decision)
        elif isinstance(decision, messages.SlotGranted):
            scheduler.withdraw(group, now, decision.call_id)
    for release in slot_grants.due_releases(group, now):
        dispatch.release(release)
    wakeup_at = slot_grants.next_wakeup(group, now)
    if wakeup_at is not None:
        _schedule_poll(dispatch, group, max(MIN_WAKEUP_S, wakeup_at - now))


def _schedule_poll(
    dispatch: Dispatch, group: dispatch_group.DispatchGroup, delay_s: float
) -> None:
    timer = dispatch.timers.pop(group.name, None)
    if timer is not None:
        timer.cancel()
    dispatch.timers[group.name] = asyncio.get_running_loop().call_later(
        delay_s, poll_group, dispatch, group
    )


def on_release(dispatch: Dispatch, released: messages.SlotReleased) -> None:
    """Frees a released slot at the group's home."""
    now = time.monotonic()
    for group in dispatch.board.groups.values():
        if released.upstream in group.replicas:
            scheduler.release(group, now, released)
            poll_group(dispatch, group)


def on_members(
    dispatch: Dispatch, gone: collections.abc.Iterable[str]
) -> None:
    """Withdraws the calls of instances that are gone."""
    now = time.monotonic()
    for name in gone:
        for group in dispatch.board.groups.values():
            scheduler.withdraw_holder(group, now, name)
            poll_group(dispatch, group)


def on_config(dispatch: Dispatch) -> None:
    """Applies a changed configuration to every group."""
    for group in dispatch.board.groups.values():
        configure(dispatch.board.config, group)
        poll_group(dispatch, group)


async def poll_load(dispatch: Dispatch) -> None:
    """Polls engine load for the groups whose home is here, forever."""
    while True:
        await asyncio.sleep(LOAD_INTERVAL_S)
        groups = [
            group
            for group in dispatch.board.groups.values()
            if _is_home(dispatch, group.name)
        ]
        await asyncio.gather(
            *(
                _read_load(dispatch, group, upstream)
                for group in groups
                for upstream in upstreams_of(dispatch.board.config, group.name)
                if upstream.models
            )
        )


def _is_home(dispatch: Dispatch, service: str) -> bool:
    this = dispatch.board.settings.instance.name
    return _find_home(dispatch, service).name == this


@attrs.frozen(kw_only=True)
class _Load:
    running: int
    waiting: int


async def _read_load(
    dispatch: Dispatch,
    group: dispatch_group.DispatchGroup,
    upstream: model.Upstream,
) -> None:
    try:
        body = await http_out.get(
            dispatch.upstream_client,
            upstream.url.rstrip('/') + LOAD_PATH,
            dispatch.board.settings.limits.connect_timeout_s,
        )
        load = msgspec.json.decode(body, type=_Load)
    except (errors.ResultError, *decoding.DECODE_ERRORS):
        return
    now = time.monotonic()
    scheduler.on_load(group, now, upstream.name, load.running, load.waiting)
    poll_group(dispatch, group)
