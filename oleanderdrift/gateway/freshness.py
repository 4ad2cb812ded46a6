"""Decides what an instance may serve by the age of its data.

During an outage of the store, or a partition from it, requests are served
on the last known data at first.  Then the instance reports that it is not
ready, so that the load balancer stops sending it connections, and refers
callers to other instances.  It refuses requests before it could accept a
key that was withdrawn longer ago than the grace period.  Times are on a
clock that also advances while the machine is suspended.
"""

import typing

import attrs

# The store is read twice a second, and answers within a quarter of a second
# when it is slow.
UNREADY_AFTER_S: typing.Final = 0.9
# After this time an instance that alone has lost the store refers callers to
# other instances.
REFUSE_AFTER_S: typing.Final = 2.6
# Entries that expired in an outage of the store are written again within this
# time.
LAPSE_GRACE_S: typing.Final = 2.0
MIN_OUTAGE_S: typing.Final = 1.5


@attrs.define(kw_only=True)
class Freshness:
    """When the store was last read, and when it recovered from an outage.

    confirmed_at is when the latest answered read was sent.  recovered_at is
    when the last outage of the whole fleet's store ended.  Other outages do
    not count, as no entries expire when only this instance gets slow
    answers.  peers_lost_store says that the peers lost it in this outage too.
    """

    confirmed_at: float = float('-inf')
    recovered_at: float = float('-inf')
    peers_lost_store: bool = False

    def note_failure(self, others_have_store: bool) -> None:
        """Records a failed read, and whether peers have the store."""
        if not others_have_store:
            self.peers_lost_store = True

    def confirm(self, sent: float, now: float) -> bool:
        """Records an answered read; returns whether it ends an outage."""
        ended = self.confirmed_at > float('-inf') and (
            now - self.confirmed_at > MIN_OUTAGE_S
        )
        if ended and self.peers_lost_store:
            self.recovered_at = now
        self.peers_lost_store = False
        self.confirmed_at = max(self.confirmed_at, sent)
        return ended

    def age_s(self, now: float) -> float:
        """Returns the age of the latest answered read."""
        return now - self.confirmed_at

    def is_ready(self, now: float) -> bool:
        """Returns whether the load balancer should send new connections."""
        return self.age_s(now) < UNREADY_AFTER_S

    def may_serve(
        self, now: float, key_grace_s: float, others_have_store: bool
    ) -> bool:
        """Returns whether requests with keys may be served.

        If the peers have lost the store too, they cannot serve the callers
        either, so known keys are accepted for the whole grace period.
        """
        limit_s = key_grace_s
        if others_have_store:
            limit_s = min(limit_s, REFUSE_AFTER_S)
        return self.age_s(now) < limit_s

    def in_lapse_grace(self, now: float) -> bool:
        """Returns whether expired entries may still be written again."""
        return now - self.recovered_at < LAPSE_GRACE_S
