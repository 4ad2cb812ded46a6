"""Assembles a gateway instance and runs it until SIGTERM."""

import asyncio
import collections.abc
import signal
import typing

import attrs
from tornado import web

from oleanderdrift import errors
from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import caller_limits
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import drain
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import follow
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import ingress
from oleanderdrift.gateway import operators_port
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import peer_sockets
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import process_memory
from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import settings as settings_lib
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import tunnel_server
from oleanderdrift.gateway import upstreams
from oleanderdrift import logs
from oleanderdrift import metrics

UPSTREAM_CHECK_INTERVAL_S: typing.Final = 0.1
HOUSEKEEPING_INTERVAL_S: typing.Final = 0.3
CONNECTION_CHECK_INTERVAL_S: typing.Final = 0.3
# Removed upstreams are kept this long for responses still under way.
REMOVED_UPSTREAM_RETENTION_S: typing.Final = 5.0
METRICS_PATH: typing.Final = '/metrics'
# Each is a gauge.
REFUSAL_KINDS: typing.Final = (
    'connections-closed',
    'connections-refused',
    'held-bytes',
    'long-bodies',
    'long-heads',
    'slow-bodies',
    'slow-heads',
    'open-requests',
    'operators',
    'peer-topics',
    'tunnels',
    'unread-answers',
)
RESTART_DELAY_S: typing.Final = 0.5
SETTINGS_POLL_INTERVAL_S: typing.Final = 1.0

TaskFunction: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
LoadSettings: typing.TypeAlias = collections.abc.Callable[
    [], settings_lib.GatewaySettings
]


@attrs.define(kw_only=True)
class Gateway:
    """A gateway instance: its shared state and components."""

    board: board_lib.Board
    log: ports.Log
    forwarder: forwarder.Forwarder
    ingress: ingress.Ingress
    store_watcher: follow.StoreWatcher
    directory: directory.Directory
    gossip: gossip.Gossip
    tunnels: tunnel_server.TunnelServer
    events: event_log.EventLog
    load_settings: LoadSettings
    ready_path: str
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def listen(self) -> None:
        """Opens all sockets; raises OSError."""
        settings = self.board.settings
        self.ingress.listen(*settings_lib.split_address(settings.listen))
        self.listen_operators(
            settings.ready_listen,
            (self.ready_path, _ReadyHandler, {'board': self.board}),
        )
        self.listen_operators(
            settings.metrics_listen,
            (METRICS_PATH, _MetricsHandler, {'gateway': self}),
        )
        self.gossip.bind()
        self.tunnels.listen(
            *settings_lib.split_address(settings.tunnel_listen)
        )
        if settings.grant_listen:
            self.forwarder.turns.grants.links.listen(
                *settings_lib.split_address(settings.grant_listen)
            )

    def listen_operators(
        self,
        address: str,
        handler: tuple[str, type[web.RequestHandler], dict[str, typing.Any]],
    ) -> None:
        """Opens a port that operators use; raises OSError."""
        host, port = settings_lib.split_address(address)
        application = web.Application([handler], log_function=_skip_access_log)
        operators_port.make_server(
            application, self.board, self.events
        ).listen(port, host)

    def gauges(self, boot_now: float) -> dict[str, float]:
        """Returns the current values of the gauge metrics."""
        board = self.board
        config = board.config
        return {
            **{
                f'refused_{kind.replace("-", "_")}': board.refusals[kind]
                for kind in REFUSAL_KINDS
            },
            'client_connections': len(self.ingress.server.open_streams),
            'client_connections_limit': board.caller_limits.clients,
            'held_bytes': board.held.total,
            'held_bytes_limit': board.held.limit,
            'open_requests': board.open_requests,
            'config_version': config.version if config else 0,
            'store_age_seconds': board.freshness.age_s(boot_now),
            'upstreams': len(board.upstreams.by_id),
            'peers_subscribed': len(self.gossip.sockets.addresses),
            'peers': len(self.gossip.peer_load.last_heard),
            'silent_data_centres': len(board.silent_data_centres),
            'evacuated_data_centres': len(board.evacuated),
            'region_refusals': self.forwarder.attempts.region_refusals,
            'upstream_connections_opened': self.forwarder.attempts.pool.opened,
            'tokens_held_by_engines': sum(
                one.own_held_tokens + one.peer_held_tokens
                for one in board.upstreams.by_id.values()
            ),
            'slow_upstreams': len(board.call_speeds.slow),
            'call_seconds_expected': board.call_speeds.expected_s,
            'call_seconds_measured': board.call_speeds.measured_s,
            'turn_seconds_expected': sum(
                one.engine.expected_s for one in board.upstreams.by_id.values()
            ),
            'turn_seconds_measured': sum(
                one.engine.measured_s for one in board.upstreams.by_id.values()
            ),
            'open_tunnels': len(self.tunnels.open),
            'lost_paths': len(board.lost_paths),
            'upstreams_watched': len(board.failures.watched),
            'cold_upstreams': len(
                board.cold_shares.cold_now(
                    board.upstreams.by_id.values(),
                    board.services(),
                    clock.monotonic(),
                )
            ),
            'tunnels_opened': (
                self.forwarder.attempts.connections.tunnels_opened
            ),
            'waiting_long_prompts': board.prefill.waiting(),
            'store_calls': self.log.calls,
            'store_failures': self.log.failures,
            'store_calls_repeated': (
                self.forwarder.turns.retrying_log.repeated_calls
            ),
            **board.paces.gauges(clock.monotonic()),
            **self.forwarder.turns.grants.gauges(),
        }

    def start(self) -> None:
        """Starts the background tasks."""
        for function in (
            self.store_watcher.watch_config,
            self.store_watcher.watch_upstreams,
            self.directory.stay_registered,
            self.directory.follow,
            self.gossip.exchange_periodically,
            self.tunnels.serve,
            self.forwarder.turns.grants.links.serve,
            self.forwarder.origins.follow,
            self.forwarder.attempts.probes.probe_periodically,
            self.run_housekeeping,
            self.limit_connections,
            self.poll_settings,
            self.monitor_upstreams,
            self.forwarder.attempts.paths.watch_paths,
        ):
            task = asyncio.create_task(self.supervise(function))
            self.tasks.append(task)

    async def supervise(self, function: TaskFunction) -> None:
        """Runs a background task until cancelled; restarts it if it ends.

        Without one of its tasks, the instance would go on serving from
        state that is no longer updated.
        """
        while True:
            reason = 'it returned'
            try:
                await function()
            except asyncio.CancelledError as error:
                own = asyncio.current_task()
                if own is None or own.cancelling():
                    raise
                # Something that it waited for was cancelled.
                reason = repr(error)
            except Exception as error:
                reason = repr(error)
            self.events.info(
                'task-failed', task=function.__name__, reason=reason
            )
            await asyncio.sleep(RESTART_DELAY_S)

    async def run_housekeeping(self) -> None:
        """Writes settlements and discards expired state until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = clock.monotonic()
            self.forwarder.turns.grants.desk.expire(now)
            await self.forwarder.turns.budgets.flush(now)
            self.forwarder.turns.fit_cache()
            for upstream in self.board.upstreams.forget(
                now, REMOVED_UPSTREAM_RETENTION_S
            ):
                self.forwarder.attempts.pool.close_idle(upstream.key())
            known = self.board.upstreams.by_id.values()
            self.board.upstream_limits.keep_only(known)
            self.board.cold_shares.keep_only(known)
            retention_ms = int(self.board.settings.turn_retention_s * 1_000)
            self.forwarder.turns.turns.forget(clock.unix_ms() - retention_ms)

    async def limit_connections(self) -> None:
        """Applies the limits of client connections until cancelled.

        Apart from the housekeeping, which may wait for the store.
        """
        while True:
            await asyncio.sleep(CONNECTION_CHECK_INTERVAL_S)
            if self.board.config is not None:
                self.ingress.apply_limits(self.board.config.limits)
            self.ingress.close_overdue(clock.monotonic())
            self.ingress.limit_kernel_bytes()

    async def poll_settings(self) -> None:
        """Reloads the settings periodically until cancelled.

        The file may change without a SIGHUP.
        """
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload()

    async def monitor_upstreams(self) -> None:
        """Ejects silent upstreams and closes their abortable connections."""
        while True:
            await time_limits.pause(UPSTREAM_CHECK_INTERVAL_S)
            now = clock.monotonic()
            silent = self.board.unreachable_data_centres(now)
            if silent != self.board.silent_data_centres:
                logs.info('data-centres-silent', names=','.join(silent))
                self.board.silent_data_centres = silent
            since = now - upstreams.ENGINE_SILENCE_S
            held_s = self.board.link.held_s(since, now)
            for upstream in self.board.upstreams.by_id.values():
                away = upstream.entry.data_centre in silent
                for connection in upstream.eject_if_silent(now, away, held_s):
                    connection.close()
            self.log_cold_upstreams()

    def log_cold_upstreams(self) -> None:
        """Logs the cold times that have begun since the last call."""
        for one in self.board.cold_shares.begun:
            self.events.info(
                'upstream-cold',
                upstream=one.upstream,
                service=one.service,
                cold_s=round(one.cold_s, 2),
                reason=one.reason,
                share_per_s=one.share,
                instances=one.members,
            )
        self.board.cold_shares.begun.clear()

    async def run(self) -> None:
        """Serves until SIGTERM, then drains."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.listen()
        self.start()
        settings = self.board.settings
        logs.info(
            'start',
            instance=settings.instance,
            data_centre=settings.data_centre,
            listen=settings.listen,
            metrics=settings.metrics_listen,
            store=settings.store,
        )
        await stop.wait()
        await self.drain()
        logs.info('stop', instance=self.board.settings.instance)

    def reload(self) -> None:
        """Reloads the settings file.

        Changed addresses take effect only after a restart.
        """
        try:
            settings = self.load_settings()
        except errors.ResultError as error:
            self.events.info('reload-failed', reason=error.detail)
            return
        if settings != self.board.settings:
            self.board.settings = settings
            self.board.link.mbps = settings.link_mbps
            logs.info('reload', instance=settings.instance)

    async def drain(self) -> None:
        """Completes the open requests and ends the background tasks."""
        await drain.Drain(
            board=self.board,
            ingress=self.ingress,
            turns=self.forwarder.turns,
            tunnels=self.tunnels,
        ).run()
        for task in self.tasks:
            task.cancel()
        self.forwarder.attempts.pool.close()
        self.tunnels.close()
        self.forwarder.turns.grants.links.close()
        self.gossip.close()


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Keeps readiness probes and metrics scrapes out of the log."""


class _MetricsHandler(web.RequestHandler):
    """Serves the metrics endpoint."""

    def initialize(self, gateway: Gateway) -> None:
        """Stores the gateway whose metrics are served."""
        self.gateway = gateway

    def get(self) -> None:
        """Responds with all metrics in the text exposition format."""
        gateway_metrics = self.gateway.forwarder.metrics
        gateway_metrics.gauges.update(self.gateway.gauges(clock.boot()))
        self.set_header('Content-Type', metrics.CONTENT_TYPE)
        self.finish(gateway_metrics.exposition())


class _ReadyHandler(web.RequestHandler):
    """Serves the readiness probe of the load balancer."""

    def initialize(self, board: board_lib.Board) -> None:
        """Stores the board that readiness is read from."""
        self.board = board

    def get(self) -> None:
        """Responds with 200 if the instance is ready, else 503."""
        ready = self.board.is_ready(clock.monotonic(), clock.boot())
        self.set_status(200 if ready else 503)


def build(
    settings: settings_lib.GatewaySettings,
    load_settings: LoadSettings,
    codec: ports.Codec,
    log: ports.Log,
    ready_path: str,
    link: own_link.OwnLink | None = None,
) -> Gateway:
    """Returns a gateway instance that is not listening yet.

    link counts what comes over the instance's link; that of the log as well,
    if it was given the same.
    """
    board = board_lib.Board(
        settings=settings,
        rate_limiter=allotments.RateLimiter(started=clock.monotonic()),
        reachability=reachability.Reachability(
            data_centre=settings.data_centre
        ),
        link=link or own_link.OwnLink(mbps=settings.link_mbps),
        caller_limits=caller_limits.derive(
            settings.memory_bytes,
            process_memory.descriptor_limit(settings.max_descriptors),
            process_memory.resident_bytes(),
        ),
    )
    process_memory.return_freed_memory()
    events = event_log.EventLog()
    fleet = directory.Directory(board, log, events)
    request_forwarder = forwarder.Forwarder(board, codec, log, events)
    return Gateway(
        board=board,
        log=log,
        forwarder=request_forwarder,
        ingress=ingress.Ingress(request_forwarder, codec),
        store_watcher=follow.StoreWatcher(board, codec, log, events),
        directory=fleet,
        gossip=gossip.Gossip(board, fleet, events, peer_sockets.PeerSockets()),
        tunnels=tunnel_server.TunnelServer(board, events),
        events=events,
        load_settings=load_settings,
        ready_path=ready_path,
    )
