"""Opens and keeps the connections to upstreams, directly or through a peer.

A peer carries bytes only: this instance keeps all that a request needs, as
over a direct connection, and a tunnel leads through one peer at most.
"""

import asyncio
import collections.abc
import random
import typing

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import model
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import sent_requests
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import tunnel_client
from oleanderdrift.gateway import tunnel_peers
from oleanderdrift.gateway import upstream_paths
from oleanderdrift.gateway import upstreams

# Connecting takes a few milliseconds; a lost SYN is retransmitted only
# after one second.
CONNECT_TIMEOUT_S: typing.Final = 0.25
# Some round trips, between data centres as well.
TUNNEL_TIMEOUT_S: typing.Final = 0.2
# A lost path's log line says how long the own link was full in this time.
HELD_SPAN_S: typing.Final = 1.0
MAX_PEERS_ASKED: typing.Final = 2
MAX_WITNESSES: typing.Final = 6
# A path that is refused so soon after a direct connection broke is taken for
# one whose open connections are reset as well.
BREAK_MEMORY_S: typing.Final = 1.0
# A refusal takes some milliseconds; requests wait for the witnesses.
WITNESS_TIMEOUT_S: typing.Final = 0.4

OpenTunnel: typing.TypeAlias = collections.abc.Callable[
    [str, model.UpstreamEntry, float, str],
    collections.abc.Coroutine[typing.Any, typing.Any, channel.Channel],
]


async def open_tunnel(
    address: str, entry: model.UpstreamEntry, timeout_s: float, via: str
) -> channel.Channel:
    """Opens a tunnel; see tunnel_client."""
    return await tunnel_client.open_tunnel(address, entry, timeout_s, via=via)


class UpstreamConnections:
    """The connections of one instance to the upstreams.

    open holds the connections with a request.  heard_at is when bytes last
    came directly from an upstream, broke_at when a direct connection with a
    request last broke, and lost_at when a path was last lost.
    """

    def __init__(
        self,
        board: board_lib.Board,
        pool: connection_pool.Pool,
        events: event_log.EventLog,
        chance: random.Random,
    ) -> None:
        self.board = board
        self.pool = pool
        self.events = events
        self.chance = chance
        self.peers = board.tunnel_peers
        self.open_tunnel: OpenTunnel = open_tunnel
        self.open: dict[channel.Channel, sent_requests.SentRequest] = {}
        self.heard_at = float('-inf')
        self.broke_at = float('-inf')
        self.lost_at = float('-inf')
        self.tunnels_opened = 0

    async def acquire(
        self,
        upstream: upstreams.Upstream,
        now: float,
        inside: regions.Inside = None,
    ) -> channel.Channel:
        """Returns a connection to an upstream, idle or new.

        inside holds the data centres that a peer may be in to carry it.
        Raises ConnectionError if it refuses this instance, else OSError or
        TimeoutError, if no peer reaches it either.
        """
        idle = self.take_idle(upstream, now, inside)
        if idle is not None:
            return idle
        if upstream.path.loss is not None:
            found = await self.open_through_peer(
                upstream, MAX_PEERS_ASKED, inside
            )
            if found is None:
                raise OSError('the path is lost, and no peer reaches it')
            return found
        try:
            return await self.open_direct(upstream)
        except OSError as error:
            found = await self.open_through_peer(
                upstream, MAX_PEERS_ASKED, inside
            )
            if found is None:
                raise
            self.note_reached_by_peer(upstream, error, now, found.via)
            return found

    def take_idle(
        self, upstream: upstreams.Upstream, now: float, inside: regions.Inside
    ) -> channel.Channel | None:
        """Returns an idle connection that is likely to work, if any."""
        upstream_id = upstream.entry.upstream_id
        is_usable = self.peers.usable(inside)
        while True:
            idle = self.pool.take(upstream.key(), now, is_usable)
            if idle is None or not idle.via:
                return idle
            if self.peers.carries(idle.via, upstream_id, now):
                return idle
            idle.close()

    async def open_direct(
        self, upstream: upstreams.Upstream
    ) -> channel.Channel:
        """Opens a direct connection; raises OSError or TimeoutError."""
        entry = upstream.entry
        started = clock.monotonic()
        held = self.board.link.held_s
        try:
            async with time_limits.within(CONNECT_TIMEOUT_S, held):
                connection = await self.pool.open(
                    entry.host,
                    entry.port,
                    CONNECT_TIMEOUT_S + own_link.MAX_HELD_S,
                )
        except TimeoutError:
            self.note_timed_out(upstream, started)
            raise
        self.note_connected(upstream)
        return connection

    async def open_through_peer(
        self,
        upstream: upstreams.Upstream,
        max_asked: int,
        inside: regions.Inside = None,
    ) -> channel.Channel | None:
        """Opens a connection through a peer; None if no peer reaches it."""
        path = upstream.path
        asked: list[relays.Instance] = []
        if not path.may_ask_peers(clock.monotonic()):
            return None
        while len(asked) < max_asked:
            peer = self.choose_peer(upstream, asked, inside)
            if peer is None:
                break
            asked.append(peer)
            found = await self.ask(peer, upstream)
            if found is not None:
                return found
        if asked:
            path.note_no_peer(clock.monotonic())
        return None

    async def witness(
        self, upstream: upstreams.Upstream
    ) -> crash_detector.WitnessAnswer:
        """Returns what peers find that try an upstream which refuses here.

        Enough of them are asked that some have links of their own, also
        where most instances have lost theirs.
        """
        started = clock.monotonic()
        upstream.path.no_peer_until = started
        try:
            async with asyncio.timeout(WITNESS_TIMEOUT_S):
                found = await self.open_through_peer(upstream, MAX_WITNESSES)
        except TimeoutError:
            return crash_detector.WitnessAnswer.NO_ANSWER
        if found is not None:
            self.note_reached_by_peer(
                upstream, ConnectionRefusedError(), started, found.via
            )
            self.release(upstream, found, clock.monotonic())
            return crash_detector.WitnessAnswer.REACHED
        failures = self.peers.recent_failures(
            upstream.entry.upstream_id, clock.monotonic()
        )
        refused = tunnel_peers.TunnelFailure.REFUSED
        if failures and all(each is refused for each in failures):
            return crash_detector.WitnessAnswer.REFUSED
        return crash_detector.WitnessAnswer.NO_ANSWER

    def choose_peer(
        self,
        upstream: upstreams.Upstream,
        asked: collections.abc.Collection[relays.Instance],
        inside: regions.Inside,
    ) -> relays.Instance | None:
        """Returns the peer to ask for a tunnel next, if any."""
        return self.peers.choose(
            upstream.entry,
            self.board.settings.data_centre,
            asked,
            clock.monotonic(),
            self.chance,
            inside,
        )

    async def ask(
        self, peer: relays.Instance, upstream: upstreams.Upstream
    ) -> channel.Channel | None:
        """Asks a peer for a tunnel to an upstream; None if it fails."""
        self.tunnels_opened += 1
        held = self.board.link.held_s
        try:
            async with time_limits.within(TUNNEL_TIMEOUT_S, held):
                found = await self.open_tunnel(
                    peer.tunnel_address,
                    upstream.entry,
                    TUNNEL_TIMEOUT_S + own_link.MAX_HELD_S,
                    peer.name,
                )
            found.protocol.link = self.board.link
            return found
        except tunnel_client.UpstreamRefusedError:
            failure = tunnel_peers.TunnelFailure.REFUSED
        except tunnel_client.PeerUnavailableError:
            failure = tunnel_peers.TunnelFailure.UNAVAILABLE
        except tunnel_client.UpstreamUnreachableError:
            failure = tunnel_peers.TunnelFailure.UNREACHABLE
        except OSError:
            failure = tunnel_peers.TunnelFailure.SILENT
        self.events.info(
            'tunnel-failed',
            peer=peer.name,
            upstream=upstream.entry.upstream_id,
            reason=failure.value,
        )
        self.peers.note_failed(
            peer.name, upstream.entry.upstream_id, failure, clock.monotonic()
        )
        return None

    def release(
        self,
        upstream: upstreams.Upstream,
        connection: channel.Channel,
        now: float,
    ) -> None:
        """Keeps a connection for the next request, or closes it."""
        self.forget(connection)
        loss = upstream.path.loss
        if connection.via:
            is_wanted = loss is not None
        else:
            is_wanted = loss is not upstream_paths.Loss.TIMED_OUT
        if is_wanted:
            self.pool.release(upstream.key(), connection, now)
        else:
            connection.close()

    def note_sent(
        self,
        upstream: upstreams.Upstream,
        connection: channel.Channel,
        admitted: admission.Admitted,
        now: float,
    ) -> None:
        """Records that a request was sent on a connection."""
        connection.protocol.holder = self.board.held.open(
            upstream.entry.incarnation(),
            lambda: self.cut_for_bytes(upstream, connection),
        )
        self.open[connection] = sent_requests.SentRequest(
            upstream=upstream,
            sent_at=now,
            may_repeat=admitted.may_repeat(),
            may_abort=admitted.may_abort(),
        )

    def cut_for_bytes(
        self, upstream: upstreams.Upstream, connection: channel.Channel
    ) -> None:
        """Breaks off an answer, so that others can be held."""
        self.board.refusals['held-bytes'] += 1
        self.events.info(
            'answer-cut-for-bytes',
            upstream=upstream.entry.upstream_id,
            held=self.board.held.total,
        )
        connection.protocol.cut()

    def forget(self, connection: channel.Channel) -> None:
        """Records that a connection has no request any more."""
        if connection.protocol.holder is not None:
            connection.protocol.holder.release()
            connection.protocol.holder = None
        sent = self.open.pop(connection, None)
        if sent is not None and not connection.via:
            self.note_heard(sent.upstream, connection)

    def note_leaving(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream has said that it leaves."""
        incarnation = upstream.entry.incarnation()
        known = self.board.upstreams
        if not known.leaving.note(incarnation, clock.monotonic()):
            return
        self.pool.close_idle(upstream.key())
        self.events.info(
            'upstream-leaving', upstream=upstream.entry.upstream_id
        )

    def note_heard(
        self, upstream: upstreams.Upstream, connection: channel.Channel
    ) -> None:
        """Records when bytes last came on a direct connection."""
        received_at = connection.protocol.received_at
        upstream.path.note_heard(received_at)
        self.heard_at = max(self.heard_at, received_at)

    def note_broken(self, now: float) -> None:
        """Records that a direct connection with a request broke.

        Idle ones that are reset show it only by the next request.
        """
        self.broke_at = now
        for upstream in self.board.lost_paths.values():
            self.pool.close_idle_direct(upstream.key())

    def note_connected(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream was reached directly."""
        now = clock.monotonic()
        path = upstream.path
        if not path.note_connected(now):
            return
        self.board.lost_paths.pop(upstream.entry.upstream_id, None)
        self.pool.close_idle_tunnels(upstream.key())
        self.events.info(
            'path-regained',
            upstream=upstream.entry.upstream_id,
            after_s=round(now - path.lost_at, 2),
        )

    def note_timed_out(
        self, upstream: upstreams.Upstream, started: float
    ) -> None:
        """Records that connecting directly has timed out."""
        now = clock.monotonic()
        if upstream.path.note_timed_out(started, now, self.chance):
            self.note_lost(upstream, upstream_paths.Loss.TIMED_OUT, '', now)

    def note_reached_by_peer(
        self,
        upstream: upstreams.Upstream,
        error: OSError,
        started: float,
        via: str,
    ) -> None:
        """Records that a peer reached an upstream after an error here."""
        now = clock.monotonic()
        path = upstream.path
        was_lost = path.loss is not None
        loss = upstream_paths.loss_of(error)
        if not path.note_reached_by_peer(loss, started, now, self.chance):
            return
        upstream.note_success()
        if not was_lost:
            self.note_lost(upstream, loss, via, now)

    def note_lost(
        self,
        upstream: upstreams.Upstream,
        loss: upstream_paths.Loss,
        via: str,
        now: float,
    ) -> None:
        """Records that the path to an upstream was lost just now."""
        self.lost_at = now
        self.board.lost_paths[upstream.entry.upstream_id] = upstream
        is_breaking = now - self.broke_at < BREAK_MEMORY_S
        if loss is upstream_paths.Loss.TIMED_OUT or is_breaking:
            self.pool.close_idle_direct(upstream.key())
        self.events.info(
            'path-lost',
            upstream=upstream.entry.upstream_id,
            reason=loss.value,
            via=via,
            held_s=round(self.board.link.held_s(now - HELD_SPAN_S, now), 2),
        )
