"""Watches the paths to upstreams: probes them, and ends what hangs."""

import asyncio
import typing

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import sent_requests
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import tunnel_peers
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstream_paths
from oleanderdrift.gateway import upstreams as upstreams_lib

CHECK_INTERVAL_S: typing.Final = 0.05
MAX_OPEN_PROBES: typing.Final = 32
# All paths are probed after one was lost, at most this often.
SUSPICION_INTERVAL_S: typing.Final = 1.0
# Paths that carried something within this time are in use.
IN_USE_S: typing.Final = 10.0


class PathMonitor:
    """Watches the paths that this instance uses.

    probes holds the probes under way or waiting, by upstream, and
    tunnel_probes those of tunnels.  tunnel_probes_at holds when tunnels
    through a peer to an upstream were probed lately.
    """

    def __init__(
        self,
        board: board_lib.Board,
        connections: upstream_connections.UpstreamConnections,
        pool: connection_pool.Pool,
    ) -> None:
        self.board = board
        self.connections = connections
        self.pool = pool
        self.probes: dict[str, asyncio.Task[None]] = {}
        self.tunnel_probes: set[asyncio.Task[None]] = set()
        self.tunnel_probes_at: dict[tuple[str, str], float] = {}
        self.may_probe = asyncio.Semaphore(MAX_OPEN_PROBES)
        self.suspected_at = float('-inf')

    async def watch_paths(self) -> None:
        """Watches all paths until cancelled."""
        try:
            while True:
                await time_limits.pause(CHECK_INTERVAL_S)
                self.check(clock.monotonic())
        finally:
            for task in (*self.probes.values(), *self.tunnel_probes):
                task.cancel()

    def check(self, now: float) -> None:
        """Ends requests that hang, and starts the probes that are due."""
        self.note_heard()
        for connection, sent in list(self.connections.open.items()):
            self.check_request(connection, sent, now)
        self.suspect_all(now)
        for name, upstream in list(self.board.lost_paths.items()):
            if self.board.upstreams.by_id.get(name) is not upstream:
                del self.board.lost_paths[name]
            elif upstream.path.is_probe_due(now):
                self.start_probe(upstream)
        for peer in self.connections.peers.take_left():
            self.pool.close_idle_via(peer)

    def note_heard(self) -> None:
        """Records which paths have carried bytes; drops what has ended."""
        for connection, sent in list(self.connections.open.items()):
            if connection.protocol.closed is not None:
                self.connections.forget(connection)
            elif not connection.via:
                self.connections.note_heard(sent.upstream, connection)

    def check_request(
        self,
        connection: channel.Channel,
        sent: sent_requests.SentRequest,
        now: float,
    ) -> None:
        """Has the path of a silent request probed, or ends the request."""
        if connection.response_complete:
            return
        silent_s = now - max(sent.sent_at, connection.protocol.received_at)
        if silent_s <= upstream_paths.ALL_SILENT_S:
            return
        upstream = sent.upstream
        if self.hangs(connection, upstream, now):
            # A program sends a turn again, once it is sure that it hangs.
            is_sure = not connection.via and upstream.path.confirmed
            if sent.may_repeat or (sent.may_abort and is_sure):
                connection.close()
        elif connection.via:
            if silent_s > upstream_paths.ONE_SILENT_S:
                self.start_tunnel_probe(connection.via, upstream, now)
        elif upstream.path.is_suspect(
            sent.sent_at, self.connections.heard_at, now
        ):
            self.start_probe(upstream)

    def hangs(
        self,
        connection: channel.Channel,
        upstream: upstreams_lib.Upstream,
        now: float,
    ) -> bool:
        """Returns whether nothing can come on a silent connection."""
        if connection.via:
            held_s = self.board.link.held_s(now - tunnel_peers.HEARD_S, now)
            return self.connections.peers.hangs(
                connection.via, upstream.entry.upstream_id, now, held_s
            )
        return upstream.path.loss is upstream_paths.Loss.TIMED_OUT

    def suspect_all(self, now: float) -> None:
        """Probes all paths in use just after one was lost."""
        if (
            self.connections.lost_at <= self.suspected_at
            or now - self.suspected_at < SUSPICION_INTERVAL_S
        ):
            return
        self.suspected_at = now
        for upstream in self.board.upstreams.by_id.values():
            if upstream.path.loss is None and self.is_in_use(upstream, now):
                self.start_probe(upstream)

    def is_in_use(self, upstream: upstreams_lib.Upstream, now: float) -> bool:
        """Returns whether this instance sent an upstream requests lately."""
        path = upstream.path
        used_at = max(path.heard_at, path.connected_at)
        return (
            upstream.own_requests > 0
            or now - used_at < IN_USE_S
            or self.pool.has_idle(upstream.key(), now)
        )

    def start_probe(self, upstream: upstreams_lib.Upstream) -> None:
        """Probes a path, unless a probe is under way."""
        name = upstream.entry.upstream_id
        if name not in self.probes:
            self.probes[name] = asyncio.create_task(self.probe(upstream))

    def start_tunnel_probe(
        self, via: str, upstream: upstreams_lib.Upstream, now: float
    ) -> None:
        """Tries another tunnel beside a silent one, once in a while."""
        peer = self.connections.peers.by_name.get(via)
        key = (via, upstream.entry.upstream_id)
        since = self.tunnel_probes_at.get(key, float('-inf'))
        if peer is None or now - since < upstream_paths.RECHECK_S:
            return
        self.tunnel_probes_at = {
            each: at
            for each, at in self.tunnel_probes_at.items()
            if now - at < upstream_paths.RECHECK_S
        }
        self.tunnel_probes_at[key] = now
        task = asyncio.create_task(self.probe_tunnel(peer.instance, upstream))
        self.tunnel_probes.add(task)
        task.add_done_callback(self.tunnel_probes.discard)

    async def probe_tunnel(
        self, peer: relays.Instance, upstream: upstreams_lib.Upstream
    ) -> None:
        """Tries another tunnel through a peer; a failure is remembered."""
        async with self.may_probe:
            found = await self.connections.ask(peer, upstream)
        if found is not None:
            self.connections.release(upstream, found, clock.monotonic())

    async def probe(self, upstream: upstreams_lib.Upstream) -> None:
        """Probes a path once, and asks a peer if it is lost."""
        name = upstream.entry.upstream_id
        try:
            async with self.may_probe:
                await self.try_path(upstream)
        finally:
            self.probes.pop(name, None)

    async def try_path(self, upstream: upstreams_lib.Upstream) -> None:
        """Opens a connection; keeps it where there is none."""
        started = clock.monotonic()
        path = upstream.path
        if path.loss is not None:
            path.schedule_probe(started, self.connections.chance)
        try:
            connection = await self.connections.open_direct(upstream)
        except OSError as error:
            if not path.confirmed:
                await self.confirm(upstream, error, started)
            return
        now = clock.monotonic()
        path.checked_at = now
        if self.pool.has_idle(upstream.key(), now):
            connection.close()
        else:
            self.connections.release(upstream, connection, now)

    async def confirm(
        self,
        upstream: upstreams_lib.Upstream,
        error: OSError,
        started: float,
    ) -> None:
        """Finds out whether a peer reaches an upstream."""
        connections = self.connections
        found = await connections.open_through_peer(
            upstream, upstream_connections.MAX_PEERS_ASKED
        )
        if found is None:
            return
        connections.note_reached_by_peer(upstream, error, started, found.via)
        connections.release(upstream, found, clock.monotonic())
