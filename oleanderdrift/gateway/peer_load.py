"""Sums the load that all peers put on each upstream."""

import typing

import attrs

from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import upstreams as upstreams_lib

# A peer's load is dropped if no state arrives for this long.
PEER_TIMEOUT_S: typing.Final = 1.0
EXPIRY_CHECK_INTERVAL_S: typing.Final = 0.2


@attrs.frozen(kw_only=True)
class Load:
    """Open requests, their prompt tokens that are not processed, and all."""

    running: int = 0
    pending: int = 0
    held: int = 0


_NO_LOAD: typing.Final = Load()


@attrs.define(kw_only=True)
class PeerLoad:
    """The latest load of each peer by upstream, and the sums by upstream.

    last_heard has the peers whose states arrive.
    """

    upstreams: upstreams_lib.UpstreamSet
    last_heard: dict[str, float] = attrs.field(factory=dict)
    by_peer: dict[str, dict[str, Load]] = attrs.field(factory=dict)
    totals: dict[str, Load] = attrs.field(factory=dict)
    last_check: float = float('-inf')

    def note_heard(self, peer: str, now: float) -> bool:
        """Records a state of a peer; returns whether it was not heard."""
        is_new = peer not in self.last_heard
        self.last_heard[peer] = now
        return is_new

    def update(
        self,
        peer: str,
        work: dict[str, peer_messages.UpstreamLoad],
        now: float,
    ) -> None:
        """Replaces a peer's load and applies it to the upstreams.

        Its measurements count only for the start that they name.
        """
        self.replace(
            peer,
            {
                name: Load(
                    running=one.running, pending=one.pending, held=one.held
                )
                for name, one in work.items()
            },
        )
        for name, one in work.items():
            upstream = self.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.add_cached_parts(one.cached)
                if one.speed is not None:
                    upstream.note_speed_report(peer, one.speed, now)

    def replace(self, peer: str, load: dict[str, Load]) -> None:
        """Replaces a peer's load and updates the sums.

        The sums change by the difference: adding up all peers for every
        state would take most of a large fleet's CPU time.
        """
        previous = self.by_peer.pop(peer, {})
        if load:
            self.by_peer[peer] = load
        for name in previous.keys() | load.keys():
            old, new = previous.get(name, _NO_LOAD), load.get(name, _NO_LOAD)
            total = self.totals.pop(name, _NO_LOAD)
            total = Load(
                running=total.running + new.running - old.running,
                pending=total.pending + new.pending - old.pending,
                held=total.held + new.held - old.held,
            )
            if total != _NO_LOAD:
                self.totals[name] = total
            upstream = self.upstreams.by_id.get(name)
            if upstream is not None:
                upstream.peer_requests = total.running
                upstream.peer_pending_tokens = total.pending
                upstream.peer_held_tokens = total.held
                upstream.pending_by_peer.pop(peer, None)
                if new.pending:
                    upstream.pending_by_peer[peer] = (
                        new.pending,
                        self.last_heard.get(peer, float('-inf')),
                    )

    def expire(self, now: float) -> list[str]:
        """Drops the load of silent peers and returns their names."""
        if now - self.last_check < EXPIRY_CHECK_INTERVAL_S:
            return []
        self.last_check = now
        silent = [
            name
            for name, since in self.last_heard.items()
            if now - since > PEER_TIMEOUT_S
        ]
        for name in silent:
            del self.last_heard[name]
            self.replace(name, {})
        return silent
