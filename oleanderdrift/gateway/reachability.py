"""Detects unreachable data centres by the silence of their instances.

In a network partition connections hang without an error.  Peers send
updates ten times a second, so a data centre whose instances are all silent
is found to be unreachable long before connections to it time out.
"""

import typing

import attrs

# Time in which four consecutive updates would have arrived.
SILENT_S: typing.Final = 0.45
# An update within this time shows that this instance receives updates.
ALIVE_S: typing.Final = 0.3
# Peers silent for longer have left and are ignored.
PEER_EXPIRY_S: typing.Final = 10.0


@attrs.frozen(kw_only=True)
class PeerReport:
    """When a peer's last update came, and its view of the store then.

    store_age_s is the age of the peer's last answered read of the store.
    """

    data_centre: str
    at: float
    store_age_s: float


@attrs.define(kw_only=True)
class Reachability:
    """The latest report of each peer, by name.

    update_interval_s is the time between two updates of a peer.
    """

    data_centre: str
    peers: dict[str, PeerReport] = attrs.field(factory=dict)
    update_interval_s: float = 0.1

    def note_report(self, peer: str, report: PeerReport) -> None:
        """Records a peer's report."""
        self.peers[peer] = report

    def forget(self, peer: str) -> None:
        """Removes a peer that is shutting down."""
        self.peers.pop(peer, None)

    def silent_data_centres(self, now: float) -> frozenset[str]:
        """Returns other data centres whose instances are all silent."""
        extra_s = max(self.update_interval_s - 0.1, 0.0) * 4
        latest: dict[str, float] = {}
        for report in self.peers.values():
            if now - report.at < PEER_EXPIRY_S:
                previous = latest.get(report.data_centre, report.at)
                latest[report.data_centre] = max(previous, report.at)
        if not any(now - at < ALIVE_S + extra_s for at in latest.values()):
            # No peer at all is heard: this instance itself may have been
            # suspended.
            return frozenset()
        return frozenset(
            name
            for name, at in latest.items()
            if name != self.data_centre and now - at > SILENT_S + extra_s
        )

    def is_isolated(self, now: float) -> bool:
        """Returns whether all other data centres are unreachable.

        This instance's own data centre is then the one that is cut off.
        """
        others = {
            report.data_centre
            for report in self.peers.values()
            if report.data_centre != self.data_centre
            and now - report.at < PEER_EXPIRY_S
        }
        silent = self.silent_data_centres(now)
        return len(others) > 1 and others <= silent

    def others_have_store(self, now: float) -> bool:
        """Returns whether a reachable peer has read the store recently."""
        if self.is_isolated(now):
            return False
        return any(
            now - report.at < 2 * SILENT_S and report.store_age_s < 1.0
            for report in self.peers.values()
        )
