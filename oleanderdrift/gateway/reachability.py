"""Tells which data centres cannot be reached, from peers' silence.

Answers a partition, in which connections hang without an error: peers
send news ten times a second, so a data centre whose instances all fall
silent at once is cut off long previous a connection to it times out.
"""

import typing

import attrs

# Four messages in a row that did not come.
SILENT_S: typing.Final = 0.45
# A peer that was heard within this time shows that news still arrives.
ALIVE_S: typing.Final = 0.3
# Peers that have been silent for long are gone and show nothing.
PEER_EXPIRY_S: typing.Final = 10.0


@attrs.frozen(kw_only=True)
class PeerReport:
    """When a peer was last heard, and what it said of the store.

    store_age_s is the age of its news of the store at that time.
    """

    data_centre: str
    at: float
    store_age_s: float


@attrs.define(kw_only=True)
class Reachability:
    """The latest news of each peer, by its name.

    update_interval_s is the time between two messages of a peer.
    """

    data_centre: str
    peers: dict[str, PeerReport] = attrs.field(factory=dict)
    update_interval_s: float = 0.1

    def note_report(self, peer: str, report: PeerReport) -> None:
        """Takes a peer's news in."""
        self.peers[peer] = report

    def forget(self, peer: str) -> None:
        """Drops a peer that leaves."""
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
            # Nobody is heard: this instance may have stood still.
            return frozenset()
        return frozenset(
            name
            for name, at in latest.items()
            if name != self.data_centre and now - at > SILENT_S + extra_s
        )

    def is_isolated(self, now: float) -> bool:
        """Tells whether all other data centres are out of reach.

        The partition is then around this instance's own data centre.
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
        """Tells whether a peer in reach has fresh news of the store."""
        if self.is_isolated(now):
            return False
        return any(
            now - report.at < 2 * SILENT_S and report.store_age_s < 1.0
            for report in self.peers.values()
        )
