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
# A data centre that is silent for longer has been removed.
EXPIRY_S: typing.Final = 10.0
# A peer whose last answered read of the store is older has lost the store,
# and so has a data centre without news of a later read.
FRESH_STORE_AGE_S: typing.Final = 1.0
STORE_NEWS_S: typing.Final = 0.45


@attrs.frozen(kw_only=True)
class PeerReport:
    """When a peer's last update came, and its view of the store then.

    store_age_s is the age of the peer's last answered read of the store.
    """

    data_centre: str
    at: float
    store_age_s: float


@attrs.define(kw_only=True)
class DataCentre:
    """What the reports of one data centre's instances say together.

    heard_at is the time of the latest report, and store_at that of the
    latest from an instance that has the store.  members are the instances
    that have not said that they leave.
    """

    heard_at: float
    store_at: float = float('-inf')
    members: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class Reachability:
    """The latest reports, by the data centre that they came from.

    Every response asks whether this instance is ready, so the cost must not
    grow with the number of peers.
    """

    data_centre: str
    data_centres: dict[str, DataCentre] = attrs.field(factory=dict)

    def note_report(self, peer: str, report: PeerReport) -> None:
        """Records a peer's report."""
        found = self.data_centres.get(report.data_centre)
        if found is None:
            found = self.data_centres[report.data_centre] = DataCentre(
                heard_at=report.at
            )
        found.heard_at = max(found.heard_at, report.at)
        found.members.add(peer)
        if report.store_age_s < FRESH_STORE_AGE_S:
            found.store_at = max(found.store_at, report.at)

    def forget(self, peer: str) -> None:
        """Removes a peer that is shutting down.

        A data centre that all its instances have left is not silent.
        """
        for name, found in list(self.data_centres.items()):
            found.members.discard(peer)
            if not found.members:
                del self.data_centres[name]

    def current(self, now: float) -> dict[str, DataCentre]:
        """Returns the data centres that have not been removed."""
        return {
            name: one
            for name, one in self.data_centres.items()
            if now - one.heard_at < EXPIRY_S
        }

    def silent_data_centres(self, now: float) -> frozenset[str]:
        """Returns other data centres whose instances are all silent."""
        current = self.current(now)
        if not any(now - one.heard_at < ALIVE_S for one in current.values()):
            # No peer at all is heard: this instance itself may have been
            # suspended.
            return frozenset()
        return frozenset(
            name
            for name, one in current.items()
            if name != self.data_centre and now - one.heard_at > SILENT_S
        )

    def is_isolated(self, now: float) -> bool:
        """Returns whether all other data centres are unreachable.

        This instance's own data centre is then the one that is cut off.
        """
        others = self.current(now).keys() - {self.data_centre}
        silent = self.silent_data_centres(now)
        return len(others) > 1 and others <= silent

    def others_have_store(self, now: float) -> bool:
        """Returns whether a reachable peer has read the store recently."""
        if self.is_isolated(now):
            return False
        return any(
            now - one.store_at < STORE_NEWS_S
            for one in self.data_centres.values()
        )
