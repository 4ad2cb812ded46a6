"""Exchanges load and usage with all other instances over ZeroMQ.

An instance publishes its state when that changes, up to ten times a second,
and otherwise as a heartbeat.  It receives the states of the others directly
or through relays, as `relays` decides, and is a relay itself while others
subscribe to it as one.
"""

import asyncio
import random
import typing

import attrs

from oleanderdrift import decoding
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import directory as directory_lib
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import peer_crashes
from oleanderdrift.gateway import peer_load
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import peer_sockets
from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import tunnel_peers

# Relays forward at every turn of the loop, so that two relays on the way
# add less than the interval between two states of an instance.
EXCHANGE_INTERVAL_S: typing.Final = 0.05
# Short enough that nine instances learn of an account that requests eight
# times its rate before it has used up its burst.
PUBLISH_INTERVAL_S: typing.Final = 0.1
# The interval of a state that does not change, and that nobody needs to
# detect the silence of a data centre.
HEARTBEAT_INTERVAL_S: typing.Final = 0.25
MAX_BATCH_MESSAGES: typing.Final = 2_000
# States that wait to be forwarded; one state of each instance of a large
# fleet, several times.
MAX_FORWARDED: typing.Final = 4_000
# A cached prompt part is published in at most this many messages; it is
# repeated because messages can be lost.
PART_REPEATS: typing.Final = 4
# Published as the store's age if it has never been read.
MAX_STORE_AGE_S: typing.Final = 1e6
MAX_INCARNATION: typing.Final = 2**63 - 1

Topic: typing.TypeAlias = peer_messages.Topic


@attrs.frozen(kw_only=True)
class _FleetView:
    """All that the choice of sources depends on."""

    directory_changes: int
    subscribers: relays.Subscribers
    unwanted: frozenset[str]


class Gossip:
    """Publishes this instance's state and tracks that of its peers.

    forwarded holds the received states that are still to be forwarded, by
    the topic they came with.  leaving holds the peers that are stopping.
    uses_relays says that this instance receives states through relays.
    """

    def __init__(
        self,
        board: board_lib.Board,
        directory: directory_lib.Directory,
        events: event_log.EventLog,
        sockets: peer_sockets.Sockets,
    ) -> None:
        self.board = board
        self.directory = directory
        self.events = events
        self.sockets = sockets
        self.incarnation = random.SystemRandom().randint(1, MAX_INCARNATION)
        self.sequence = 0
        self.published_at = float('-inf')
        self.published_work: dict[str, peer_messages.UpstreamLoad] = {}
        self.published_unreachable: frozenset[str] = frozenset()
        self.sequences = peer_messages.Sequences()
        self.relay_health = relays.RelayHealth()
        self.peer_load = peer_load.PeerLoad(upstreams=board.upstreams)
        self.peer_crashes = peer_crashes.PeerCrashes(board, events)
        self.leaving: frozenset[str] = frozenset()
        self.fleet_view: _FleetView | None = None
        self.uses_relays = False
        self.forwarded: dict[Topic, list[peer_messages.Envelope]] = {
            topic: [] for topic in Topic
        }

    def bind(self) -> None:
        """Starts listening; raises zmq.ZMQError."""
        self.sockets.bind(self.board.settings.peer_listen)

    def close(self) -> None:
        """Closes all connections at once."""
        self.sockets.close()

    async def exchange_periodically(self) -> None:
        """Receives, publishes and forwards states until cancelled."""
        while True:
            now, boot_now = clock.monotonic(), clock.boot()
            self.board.check_pause(now, boot_now)
            self.board.call_speeds.pauses.check(now)
            self.exchange(now)
            self.board.exchanged_at = boot_now
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def exchange(self, now: float) -> None:
        """Receives, publishes and forwards states once."""
        if self.sockets.update_subscribed():
            self.board.refusals['peer-topics'] += 1
            self.events.info('peer-connections-closed')
        self.receive_pending(now)
        self.expire_silent(now)
        self.peer_crashes.review(now)
        self.review_speeds(now)
        self.update_sources(now)
        if self.is_publish_due(now):
            self.publish(now)
        self.forward()

    def subscribers(self) -> relays.Subscribers:
        """Returns which relayed topics others subscribe to here."""
        return relays.Subscribers(
            data_centre=Topic.DATA_CENTRE in self.sockets.subscribed,
            fleet=Topic.FLEET in self.sockets.subscribed,
        )

    def update_sources(self, now: float) -> None:
        """Subscribes to the sources that suit the fleet as it is known."""
        for name in self.relay_health.avoid_silent(now):
            self.events.info('relay-silent', peer=name)
        view = _FleetView(
            directory_changes=self.directory.changes,
            subscribers=self.subscribers(),
            unwanted=self.leaving | self.relay_health.avoided_now(now),
        )
        if view == self.fleet_view:
            return
        self.fleet_view = view
        others = {one.name: one for one in self.directory.others()}
        sources = relays.choose_sources(
            self.directory.own,
            others.values(),
            view.subscribers,
            view.unwanted,
        )
        self.relay_health.note_sources(sources, now)
        self.sockets.set_sources(
            {source: others[source.instance].address for source in sources}
        )
        self.uses_relays = any(
            source.topic is Topic.FLEET for source in sources
        )
        self.board.rate_limiter.update_interval_s = (
            HEARTBEAT_INTERVAL_S
            if any(source.topic is not Topic.OWN for source in sources)
            else PUBLISH_INTERVAL_S
        )

    def is_publish_due(self, now: float) -> bool:
        """Returns whether this instance's state is to be published.

        The states of relays, and of instances that are received directly,
        show that their data centre can be reached.
        """
        since_s = now - self.published_at
        if since_s < PUBLISH_INTERVAL_S - EXCHANGE_INTERVAL_S / 2:
            return False
        subscribers = self.subscribers()
        return (
            since_s >= HEARTBEAT_INTERVAL_S
            or subscribers.data_centre
            or subscribers.fleet
            or not self.uses_relays
            or self.board.rate_limiter.has_unannounced()
            or self.board.upstream_limits.has_unreported()
            or self.board.failures.has_unreported()
            or self.board.crashes.has_unreported(self.published_at)
            or self.board.lost_paths.keys() != self.published_unreachable
            or self.current_work(now) != self.published_work
        )

    def review_speeds(self, now: float) -> None:
        """Counts overdue calls, and logs which upstreams became slow."""
        known = self.board.upstreams.by_id.values()
        self.board.call_speeds.note_overdue(known, now)
        for change in self.board.call_speeds.review(known, now):
            self.events.info(
                'upstream-slow' if change.is_slow else 'upstream-fast-again',
                upstream=change.upstream.entry.upstream_id,
                ratio=f'{change.ratio:.2f}',
            )

    def current_work(
        self, now: float
    ) -> dict[str, peer_messages.UpstreamLoad]:
        """Returns this instance's load by upstream."""
        return {
            name: peer_messages.UpstreamLoad(
                running=one.own_requests,
                pending=min(one.pending_tokens, bounds.MAX_COUNT),
                cached=tuple(one.new_parts),
                speed=speed,
                held=min(one.own_held_tokens, bounds.MAX_COUNT),
            )
            for name, one, speed in (
                (name, one, one.speed_report(now))
                for name, one in self.board.upstreams.by_id.items()
            )
            if one.own_requests or one.new_parts or speed is not None
        }

    def publish(self, now: float) -> None:
        """Publishes this instance's state once."""
        whole = self.board.rate_limiter.next_is_full()
        blocked = self.board.crashes.blocked_left_s(now) if whole else {}
        self.published_at = now
        self.published_work = self.current_work(now)
        self.published_unreachable = frozenset(self.board.lost_paths)
        unreachable, reaches_few = tunnel_peers.published(
            self.published_unreachable
        )
        self.sequence += 1
        state = peer_messages.StateUpdate(
            data_centre=self.board.settings.data_centre,
            store_age_s=min(
                max(self.board.freshness.age_s(clock.boot()), 0.0),
                MAX_STORE_AGE_S,
            ),
            usage=self.board.rate_limiter.usage_update(now),
            whole=whole,
            work=self.published_work,
            leaving=self.board.stopping,
            limits=self.board.upstream_limits.reports(now),
            crashes=self.board.crashes.reports(now),
            blocked=blocked,
            living=self.board.crashes.living(now),
            grounds={
                one: self.board.crashes.grounds.get(one, frozenset())
                for one in blocked
            },
            unreachable=unreachable,
            reaches_few=reaches_few,
            failures=self.board.failures.reports(now),
            paces=self.board.paces.reports(now) if whole else {},
        )
        envelope = peer_messages.Envelope(
            instance=self.board.settings.instance,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=peer_messages.encode_state(state),
        )
        self.send(Topic.OWN, [envelope])
        self.queue(Topic.OWN, envelope)
        if self.sequence % PART_REPEATS == 0:
            for one in self.board.upstreams.by_id.values():
                one.new_parts.clear()

    def send(
        self, topic: Topic, envelopes: list[peer_messages.Envelope]
    ) -> None:
        """Sends envelopes to the subscribers of a topic."""
        bundle = peer_messages.Bundle(
            publisher=self.board.settings.instance, envelopes=envelopes
        )
        self.sockets.publish(topic, bundle)

    def queue(self, topic: Topic, envelope: peer_messages.Envelope) -> None:
        """Queues a state for forwarding; topic is the one it came with."""
        waiting = self.forwarded[topic]
        if self.sockets.subscribed and len(waiting) < MAX_FORWARDED:
            waiting.append(envelope)

    def forward(self) -> None:
        """Forwards the states that were received since the last call.

        States from other data centres go to this instance's own data
        centre only, so that nothing goes in circles.
        """
        local = self.forwarded[Topic.OWN]
        remote = self.forwarded[Topic.DATA_CENTRE]
        if local:
            self.send(Topic.DATA_CENTRE, local)
        if local or remote:
            self.send(Topic.FLEET, [*local, *remote])
        self.forwarded = {topic: [] for topic in Topic}

    def receive_pending(self, now: float) -> None:
        """Processes received messages, up to the maximum batch."""
        for topic in Topic:
            for _ in range(MAX_BATCH_MESSAGES):
                data = self.sockets.receive(topic)
                if data is None:
                    break
                self.board.link.note(len(data), now)
                self.receive(topic, data, now)

    def receive(self, topic: Topic, data: bytes, now: float) -> None:
        """Applies the new states of one message.

        What cannot be decoded is logged and ignored.
        """
        try:
            bundle = peer_messages.decode_bundle(data)
        except decoding.DECODE_ERRORS as error:
            self.events.info('peer-message-unreadable', reason=error)
            return
        source = relays.Source(instance=bundle.publisher, topic=topic)
        self.relay_health.note_heard(source, now)
        for envelope in bundle.envelopes:
            if envelope.instance == self.board.settings.instance:
                continue
            if not self.sequences.accept(envelope):
                continue
            try:
                state = peer_messages.decode_state(envelope)
            except decoding.DECODE_ERRORS as error:
                self.events.info(
                    'peer-state-unreadable',
                    peer=envelope.instance,
                    reason=error,
                )
                continue
            self.apply(envelope, state, now)
            self.queue(self.forwarding_topic(topic, envelope), envelope)

    def forwarding_topic(
        self, topic: Topic, envelope: peer_messages.Envelope
    ) -> Topic:
        """Returns under which topic a received state is forwarded.

        A small data centre's states come directly, also from outside this
        instance's own data centre.
        """
        known = self.directory.instances.get(envelope.instance)
        is_local = (
            known is not None
            and known.data_centre == self.board.settings.data_centre
        )
        return topic if is_local else Topic.DATA_CENTRE

    def apply(
        self,
        envelope: peer_messages.Envelope,
        state: peer_messages.StateUpdate,
        now: float,
    ) -> None:
        """Applies one peer's state."""
        name = envelope.instance
        if self.peer_load.note_heard(name, now):
            self.events.info('peer-heard', peer=name)
        if state.leaving:
            self.leaving |= {name}
            self.board.reachability.forget(name)
            self.board.tunnel_peers.forget(name)
            self.board.grantors.forget(name)
        else:
            self.leaving -= {name}
            self.board.reachability.note_report(
                name,
                reachability.PeerReport(
                    data_centre=state.data_centre,
                    at=now,
                    store_age_s=state.store_age_s,
                ),
            )
            self.note_peer(name, state, now)
        for limit in self.board.upstream_limits.note_reports(
            state.limits, now
        ):
            self.events.info(
                'upstream-rate-limit',
                peer=name,
                limit=limit,
                rate_per_s=state.limits[limit].rate_per_s,
            )
        for incarnation in self.board.failures.note_reports(
            name, state.failures, now
        ):
            self.events.info(
                'upstream-watched', peer=name, incarnation=incarnation
            )
        self.peer_crashes.apply(name, state, now)
        self.board.paces.note_reports(name, state.paces)
        self.board.rate_limiter.apply_update(
            name, envelope.incarnation, state.usage, state.whole, now
        )
        self.peer_load.update(name, state.work, now)

    def note_peer(
        self, name: str, state: peer_messages.StateUpdate, now: float
    ) -> None:
        """Records which upstreams a peer reaches, and whether it grants."""
        known = self.directory.instances.get(name)
        if known is not None:
            self.board.tunnel_peers.note_state(
                known, state.unreachable, state.reaches_few, now
            )
            self.board.grantors.note_state(known)

    def expire_silent(self, now: float) -> None:
        """Drops the load of peers whose states have stopped."""
        for name in self.peer_load.expire(now):
            self.events.info('peer-silent', peer=name)
            self.board.tunnel_peers.forget(name)
            self.board.grantors.forget(name)
            self.board.paces.forget(name)
        self.board.instances = len(self.peer_load.last_heard) + 1
