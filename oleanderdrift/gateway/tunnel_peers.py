"""Chooses the peer through which an upstream is reached.

A peer publishes the upstreams that it cannot reach directly, and only then:
in a sound fleet of any size nothing is published.
"""

import collections.abc
import enum
import random
import typing

import attrs

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import model
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import relays

# States come at least every 0.25 s, in large fleets over two relays.
HEARD_S: typing.Final = 0.6
# A state lists at most so many upstreams, ten times a second.
MAX_PUBLISHED: typing.Final = 16
# A peer that did not answer is left out for this time, and one that did not
# reach an upstream for that upstream.
AVOIDANCE_S: typing.Final = 1.0
# One that did not reach some upstream is a worse choice for others as well.
DOUBT_S: typing.Final = 0.5


class TunnelFailure(enum.Enum):
    """Why a peer has not opened a tunnel.

    REFUSED by the upstream, UNREACHABLE upstream and UNAVAILABLE peer are
    answers of the peer; SILENT means that the peer itself was not reached.
    """

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    UNAVAILABLE = 'unavailable'
    SILENT = 'silent'


@attrs.frozen(kw_only=True)
class FailedTunnel:
    """Why a tunnel was not opened, and when another may be tried."""

    failure: TunnelFailure
    until: float


@attrs.define(kw_only=True)
class Peer:
    """What is known of a peer; unreachable is as it last published.

    reaches_few says that it cannot reach more upstreams than it lists.
    avoided_until and doubted_until follow from failed tunnels;
    failed_upstreams holds those it did not reach lately.
    """

    instance: relays.Instance
    heard_at: float
    unreachable: frozenset[str] = frozenset()
    reaches_few: bool = False
    avoided_until: float = float('-inf')
    doubted_until: float = float('-inf')
    failed_upstreams: dict[str, FailedTunnel] = attrs.field(factory=dict)

    def carries(self, upstream_id: str, now: float) -> bool:
        """Returns whether it is likely to reach an upstream."""
        return (
            now - self.heard_at < HEARD_S
            and now >= self.avoided_until
            and not self.reaches_few
            and upstream_id not in self.unreachable
            and self.recent_failure(upstream_id, now) is None
        )

    def hangs(self, upstream_id: str, now: float, held_s: float) -> bool:
        """Returns whether its tunnels to an upstream carry nothing now.

        Those to an upstream that refuses new connections may live on.  held_s
        does not count as silence.
        """
        failure = self.recent_failure(upstream_id, now)
        return (
            now - self.heard_at - held_s >= HEARD_S
            or now < self.avoided_until
            or self.reaches_few
            or upstream_id in self.unreachable
            or failure is TunnelFailure.UNREACHABLE
        )

    def recent_failure(
        self, upstream_id: str, now: float
    ) -> TunnelFailure | None:
        """Returns why it did not reach an upstream lately, if it tried."""
        found = self.failed_upstreams.get(upstream_id)
        if found is None or now >= found.until:
            return None
        return found.failure


@attrs.define(kw_only=True)
class TunnelPeers:
    """The peers that are not leaving and accept tunnels, by name.

    left holds those that left and whose tunnels are still to be closed.
    """

    by_name: dict[str, Peer] = attrs.field(factory=dict)
    left: set[str] = attrs.field(factory=set)

    def note_state(
        self,
        instance: relays.Instance,
        unreachable: frozenset[str],
        reaches_few: bool,
        now: float,
    ) -> None:
        """Records a peer's state."""
        if not instance.tunnel_address:
            return
        found = self.by_name.get(instance.name)
        if found is None:
            found = Peer(instance=instance, heard_at=now)
            self.by_name[instance.name] = found
        found.instance = instance
        found.heard_at = now
        found.unreachable = unreachable
        found.reaches_few = reaches_few

    def forget(self, name: str) -> None:
        """Removes a peer that is leaving or silent."""
        if self.by_name.pop(name, None) is not None:
            self.left.add(name)

    def take_left(self) -> set[str]:
        """Returns the peers that were removed since the last call."""
        left, self.left = self.left, set()
        return left

    def carries(self, name: str, upstream_id: str, now: float) -> bool:
        """Returns whether a peer is likely to reach an upstream."""
        found = self.by_name.get(name)
        return found is not None and found.carries(upstream_id, now)

    def is_inside(self, name: str, inside: regions.Inside) -> bool:
        """Returns whether a request's body may go to a peer."""
        if inside is None:
            return True
        found = self.by_name.get(name)
        return found is not None and found.instance.data_centre in inside

    def usable(
        self, inside: regions.Inside
    ) -> collections.abc.Callable[[channel.Channel], bool] | None:
        """Returns which idle connections may carry a request, None for all."""
        if inside is None:
            return None
        return lambda idle: not idle.via or self.is_inside(idle.via, inside)

    def note_failed(
        self,
        name: str,
        upstream_id: str,
        failure: TunnelFailure,
        now: float,
    ) -> None:
        """Records that a peer has not opened a tunnel to an upstream."""
        found = self.by_name.get(name)
        if found is None:
            return
        if failure is TunnelFailure.SILENT:
            found.avoided_until = now + AVOIDANCE_S
            return
        found.failed_upstreams = {
            each: failed
            for each, failed in found.failed_upstreams.items()
            if now < failed.until
        }
        found.failed_upstreams[upstream_id] = FailedTunnel(
            failure=failure, until=now + AVOIDANCE_S
        )
        found.doubted_until = now + DOUBT_S

    def hangs(
        self, name: str, upstream_id: str, now: float, held_s: float = 0.0
    ) -> bool:
        """Returns whether a peer's tunnels carry nothing now.

        Those of a peer that is leaving go on to their end.  held_s is how
        long the own link has held up the states of peers.
        """
        found = self.by_name.get(name)
        return found is not None and found.hangs(upstream_id, now, held_s)

    def recent_failures(
        self, upstream_id: str, now: float
    ) -> list[TunnelFailure]:
        """Returns why peers did not reach an upstream lately."""
        found = [
            peer.recent_failure(upstream_id, now)
            for peer in self.by_name.values()
        ]
        return [each for each in found if each is not None]

    def choose(
        self,
        entry: model.UpstreamEntry,
        own_data_centre: str,
        asked: collections.abc.Collection[relays.Instance],
        now: float,
        chance: random.Random,
        inside: regions.Inside = None,
    ) -> relays.Instance | None:
        """Returns the peer to ask for a tunnel to an upstream, if any.

        Those in the upstream's data centre come first, then those in the
        own one; asked holds peers that have failed, whose data centres
        come last.  inside holds the data centres that it may be in.
        """
        preference = [entry.data_centre, own_data_centre]
        asked_names = {one.name for one in asked}
        asked_places = {one.data_centre for one in asked}

        def rank(peer: Peer) -> tuple[bool, bool, int]:
            place = peer.instance.data_centre
            nearness = (
                preference.index(place)
                if place in preference
                else len(preference)
            )
            return place in asked_places, now < peer.doubted_until, nearness

        ranked = [
            (rank(peer), peer.instance)
            for name, peer in self.by_name.items()
            if name not in asked_names
            and peer.carries(entry.upstream_id, now)
            and regions.is_inside(peer.instance.data_centre, inside)
        ]
        if not ranked:
            return None
        best = min(each for each, _ in ranked)
        return chance.choice([one for each, one in ranked if each == best])


def published(
    upstream_ids: collections.abc.Collection[str],
) -> tuple[frozenset[str], bool]:
    """Returns the ids to publish, and whether there are more."""
    listed = sorted(upstream_ids)[:MAX_PUBLISHED]
    return frozenset(listed), len(upstream_ids) > MAX_PUBLISHED
