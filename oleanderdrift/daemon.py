"""Builds the adapters and controllers of one instance and runs them."""

import asyncio
import collections.abc
import pathlib
import random
import signal
import time
import typing
import uuid

from tornado import httpserver
from tornado import netutil

from oleanderdrift import blackboard
from oleanderdrift import call_state
from oleanderdrift import codec
from oleanderdrift import config_exchange
from oleanderdrift import config_feed
from oleanderdrift import config_snapshots
from oleanderdrift import daemon_events
from oleanderdrift import daemon_parts
from oleanderdrift import decisions
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import errors
from oleanderdrift import group_commit
from oleanderdrift import http_base
from oleanderdrift import http_in
from oleanderdrift import http_out
from oleanderdrift import key_trust
from oleanderdrift import list_client
from oleanderdrift import log_client
from oleanderdrift import logs
from oleanderdrift import membership
from oleanderdrift import metrics as metrics_lib
from oleanderdrift import owner as owner_lib
from oleanderdrift import owner_client as owner_client_lib
from oleanderdrift import peers as peers_lib
from oleanderdrift import probes
from oleanderdrift import record_copies
from oleanderdrift import releases as releases_lib
from oleanderdrift import settings as settings_lib
from oleanderdrift import shard_feed
from oleanderdrift import shard_manager
from oleanderdrift import share_feed
from oleanderdrift import share_state
from oleanderdrift import status

DRAIN_POLL_S: typing.Final = 0.05
_INCARNATION_DIGITS: typing.Final = 8


def run(path: pathlib.Path) -> None:
    """Runs an instance with the settings file at path until it is stopped.

    Raises ResultError(SETTINGS_INVALID) for an invalid settings file.
    """
    settings = settings_lib.load(path)
    logs.set_up()
    asyncio.run(serve(settings))


async def serve(settings: settings_lib.Settings) -> None:
    """Runs an instance until SIGTERM or SIGINT, then drains it."""
    daemon = build(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    start(daemon)
    daemon.tasks.append(loop.create_task(_log_when_ready(daemon)))
    await stop.wait()
    await drain(daemon)
    close(daemon)


async def _log_when_ready(daemon: daemon_parts.Daemon) -> None:
    """Waits until the instance is ready, then logs it."""
    await daemon.feed.caught_up.wait()
    await daemon.context.shares.ready.wait()
    instance = daemon.board.settings.instance
    logs.info(
        'ready',
        instance=instance.name,
        data_centre=instance.data_centre,
        http_port=instance.http_port,
        peer_port=daemon.peers.port,
    )


def build(settings: settings_lib.Settings) -> daemon_parts.Daemon:
    """Builds an instance; its background tasks are not started yet."""
    board = _make_board(settings)
    log = log_client.LogClient(
        settings.platform.log_url, settings.platform.timeout_s
    )
    feed = config_feed.ConfigFeed(
        client=log,
        random=random.Random(),
        trust=key_trust.KeyTrust(grace_s=settings.fleet.key_grace_s),
        snapshot_schedule=config_snapshots.SnapshotSchedule(
            retention_s=settings.platform.log_retention_s
        ),
    )
    board.config = feed.config
    upstream_client = http_out.UpstreamClient(
        max_streams=settings.limits.client_streams
    )
    releases = releases_lib.Releases(
        board=board, upstream_client=upstream_client
    )
    commit = _make_commit(settings, log)
    manager = _make_shard_manager(board)
    copier = record_copies.Copier(
        commit=commit,
        fleet=manager.fleet,
        ask=lambda name, message: owner_client_lib.ask_instance(
            owners, name, message
        ),
        neighbours=lambda shard: daemon_events.neighbours(board, shard),
        timeout_s=settings.fleet.peer_timeout_s / 2,
    )
    owner = owner_lib.Owner(
        board=board,
        commit=commit,
        release=lambda release: releases_lib.submit(releases, release),
        shard_manager=manager,
        copier=copier,
    )
    peers = peers_lib.Peers(
        name=settings.instance.name,
        address=settings.instance.address,
        port=settings.instance.peer_port,
        handler=lambda sender, message: daemon_events.on_peer_message(
            daemon, sender, message
        ),
        on_late=lambda peer, message: daemon_events.on_late_reply(
            daemon, peer, message
        ),
    )
    dispatch = dispatch_lib.Dispatch(
        board=board,
        peers=peers,
        upstream_client=upstream_client,
        release=lambda request: releases_lib.submit(
            releases,
            decisions.PrefixRelease(
                program=request.program, upstream=request.upstream
            ),
        ),
    )
    owners = owner_client_lib.OwnerClient(
        board=board, owner=owner, peers=peers, shard_manager=manager
    )
    calls = call_state.Calls(
        board=board,
        owners=owners,
        dispatch=dispatch,
        upstream_client=upstream_client,
        random=random.Random(),
    )
    share = share_feed.ShareFeed(
        board=board,
        shares=board.shares,
        client=log,
        random=random.Random(),
        send=lambda name, message: daemon_events.send_to(
            daemon, name, message
        ),
        ask=lambda name, message: owner_client_lib.ask_instance(
            owners, name, message
        ),
        live=lambda: daemon_events.live_names(board),
    )
    context = http_base.HandlerContext(
        board=board,
        calls=calls,
        owners=owners,
        metrics=metrics_lib.Metrics(),
        read_status=lambda: status.read(board, feed, share, commit),
        feed=feed,
        shares=share,
        withdraw_key=lambda name: config_exchange.withdraw(
            feed, name, peers.send, daemon_events.config_peer_addresses(board)
        ),
    )
    shards = shard_feed.ShardFeed(
        manager=manager,
        client=log,
        random=random.Random(),
        ask=lambda name, message: owner_client_lib.ask_instance(
            owners, name, message
        ),
        write=lambda decision: owner_lib.append_records(owner, decision),
        is_durable=lambda: not commit.entries,
        waiting_shards=lambda: {entry.shard for entry in commit.entries},
    )
    daemon = daemon_parts.Daemon(
        board=board,
        shard_manager=manager,
        shards=shards,
        log=log,
        feed=feed,
        list_client=list_client.ListClient(
            base_url=settings.platform.list_url,
            timeout_s=settings.platform.timeout_s,
        ),
        peers=peers,
        upstream_client=upstream_client,
        dispatch=dispatch,
        owner=owner,
        commit=commit,
        releases=releases,
        context=context,
        server=_make_server(settings, context),
        prober=probes.Prober(rng=random.Random()),
    )
    feed.listeners.append(
        lambda change: daemon_events.on_change(daemon, change)
    )
    feed.withdrawal_listeners.append(
        lambda key: daemon_events.end_calls(board, key.sha256)
    )
    return daemon


def _make_board(settings: settings_lib.Settings) -> blackboard.Board:
    this = membership.Member(
        name=settings.instance.name,
        data_centre=settings.instance.data_centre,
        address=settings.instance.address,
        http_port=settings.instance.http_port,
        peer_port=settings.instance.peer_port,
    )
    return blackboard.Board(
        settings=settings,
        members=membership.Members(this=this),
        shares=share_state.new(
            instance=this.name,
            data_centre=this.data_centre,
            address=f'{this.address}:{this.peer_port}',
            incarnation=uuid.uuid4().hex[:_INCARNATION_DIGITS],
            rng=random.Random(),
        ),
    )


def _make_shard_manager(board: blackboard.Board) -> shard_manager.ShardManager:
    instance = board.settings.instance
    return shard_manager.make(
        instance=instance.name,
        data_centre=instance.data_centre,
        lease_s=board.settings.fleet.lease_s,
        unix_s=time.time(),
        rng=random.Random(),
        ledger=board.ledger,
    )


def _make_commit(
    settings: settings_lib.Settings, log: log_client.LogClient
) -> group_commit.GroupCommit:
    stream = shard_feed.programs_stream(settings.instance.data_centre)
    return group_commit.GroupCommit(
        append=lambda data: log.append(stream, data),
        interval_s=settings.fleet.commit_interval_s,
    )


def _make_server(
    settings: settings_lib.Settings, context: http_base.HandlerContext
) -> httpserver.HTTPServer:
    limits = settings.limits
    server = httpserver.HTTPServer(
        http_in.make_app(context),
        idle_connection_timeout=limits.receive_timeout_s,
        body_timeout=limits.receive_timeout_s,
        # Handlers refuse a body over body_bytes with a result code before
        # Tornado's own limit applies.
        max_body_size=limits.body_bytes * 16,
    )
    sockets = netutil.bind_sockets(
        settings.instance.http_port, settings.instance.address
    )
    server.add_sockets(sockets)
    return server


def start(daemon: daemon_parts.Daemon) -> None:
    """Starts the instance's background tasks."""
    coroutines: list[
        collections.abc.Coroutine[typing.Any, typing.Any, None]
    ] = [
        config_feed.follow(daemon.feed),
        daemon.commit.run(),
        daemon_events.poll_instance_list(daemon),
        daemon_events.probe(daemon),
        dispatch_lib.poll_load(daemon.dispatch),
        owner_lib.run(daemon.owner),
        config_exchange.run(
            daemon.feed,
            daemon.peers.request,
            daemon.peers.send,
            lambda: daemon_events.config_peer_addresses(daemon.board),
        ),
        share_feed.follow(daemon.context.shares),
        share_feed.tick(daemon.context.shares),
        share_feed.plan(daemon.context.shares),
        shard_feed.follow(daemon.shards),
        shard_feed.run(daemon.shards),
    ]
    loop = asyncio.get_running_loop()
    daemon.tasks = [loop.create_task(each) for each in coroutines]


async def drain(daemon: daemon_parts.Daemon) -> None:
    """Fails the health check and waits for open calls to end.

    Waits up to limits.shutdown_s for calls and log appends.  Then closes
    the shares, releases the shards if no append is pending, and closes
    all connections.
    """
    daemon.board.draining = True
    probes.leave(daemon.prober, daemon.board.members)
    logs.info('draining', open_calls=len(daemon.board.open_calls))
    limits = daemon.board.settings.limits
    deadline = time.monotonic() + limits.shutdown_s
    # Gives the load balancer time to see the health check fail.
    await asyncio.sleep(limits.drain_grace_s)
    while daemon.board.open_calls and time.monotonic() < deadline:
        await asyncio.sleep(DRAIN_POLL_S)
    while daemon.commit.entries and time.monotonic() < deadline:
        await asyncio.sleep(DRAIN_POLL_S)
    await share_feed.close(daemon.context.shares)
    if not daemon.commit.entries:
        await _release_shards(daemon)
    daemon.server.stop()
    await daemon.server.close_all_connections()


async def _release_shards(daemon: daemon_parts.Daemon) -> None:
    for record in shard_manager.release_all(daemon.shard_manager):
        try:
            await daemon.log.append(
                shard_feed.FLEET_STREAM, codec.encode(record)
            )
        except errors.ResultError as error:
            logs.warning('shard-release-failed', code=error.code.number)


def close(daemon: daemon_parts.Daemon) -> None:
    """Cancels the background tasks and closes all clients."""
    for task in daemon.tasks:
        task.cancel()
    daemon.peers.close()
    daemon.upstream_client.close()
    daemon.list_client.close()
    daemon.log.close()
    logs.info('stopped', instance=daemon.board.settings.instance.name)
