"""What an instance may still do on news of the store of a given age.

Answers an outage of the store, or a cut from it: at first requests are
served on what is known; then the instance leaves the balancer's rotation
and sends its callers elsewhere; before a key that may have been withdrawn
could still be used, it refuses.  Times are on a clock that goes on while
the machine is suspended.
"""

import typing

import attrs

# Readers hear of the store twice a second, and a slow store answers in a
# quarter of a second.
UNREADY_AFTER_S: typing.Final = 0.9
# Requests at an instance that alone has lost the store this long ago are
# better sent to another one.
REFUSE_AFTER_S: typing.Final = 2.6
# How long entries that lapsed while the store was away may take to return.
LAPSE_GRACE_S: typing.Final = 2.0
MIN_OUTAGE_S: typing.Final = 1.5


@attrs.define(kw_only=True)
class Freshness:
    """When the store was last heard of.

    confirmed is when the latest read that was answered had been sent.
    returned is when the store came back from its last outage, and
    peers_lost_store says that the peers had lost it too.  Only then may
    entries have lapsed: a slow answer to one instance lets none lapse.
    """

    confirmed_at: float = float('-inf')
    recovered_at: float = float('-inf')
    peers_lost_store: bool = False

    def note_failure(self, others_have_store: bool) -> None:
        """Notes a failed read, and whether peers have the store."""
        if not others_have_store:
            self.peers_lost_store = True

    def confirm(self, sent: float, now: float) -> bool:
        """Notes an answer; returns whether it ends an outage."""
        ended = self.confirmed_at > float('-inf') and (
            now - self.confirmed_at > MIN_OUTAGE_S
        )
        if ended and self.peers_lost_store:
            self.recovered_at = now
        self.peers_lost_store = False
        self.confirmed_at = max(self.confirmed_at, sent)
        return ended

    def age_s(self, now: float) -> float:
        """Returns the age of the news in seconds."""
        return now - self.confirmed_at

    def is_ready(self, now: float) -> bool:
        """Tells whether the balancer should send new connections."""
        return self.age_s(now) < UNREADY_AFTER_S

    def may_serve(
        self, now: float, key_grace_s: float, others_have_store: bool
    ) -> bool:
        """Tells whether requests with keys may be served.

        Where the others have lost the store too, a refusal would help
        nobody, so keys are used as long as they may be.
        """
        limit_s = key_grace_s
        if others_have_store:
            limit_s = min(limit_s, REFUSE_AFTER_S)
        return self.age_s(now) < limit_s

    def in_lapse_grace(self, now: float) -> bool:
        """Tells whether vanished entries may still come back."""
        return now - self.recovered_at < LAPSE_GRACE_S
