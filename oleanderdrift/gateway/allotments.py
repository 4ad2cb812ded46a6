"""Keeps within rates that all instances share, and within their bursts.

The limiter is designed for two loads.  Normally a program's requests
arrive in bursts at one instance, which must be able to use the whole
burst and not only a ninth of it.  When an account sends several times its
rate to all instances at once, the total must stay within the rate although
no instance can ask the others in time.  An upstream that names the rate that
it takes is the same case under another name, from when it is told on.

Every instance estimates one token bucket per account.  Accounts stand here
for upstreams with a limit as well.  It subtracts its
own requests at once, and its peers' requests as they report them, several
times a second.  An instance may spend the tokens beyond what its peers are
likely to spend before their next reports arrive.  Of the remaining tokens
each request of any instance has the same chance, so that all together spend
what there is, however many instances there are.  A peer without updates is
assumed to continue at its last demand until it must have stopped serving.
Buckets start empty, so that a restart grants nothing twice.  To keep updates
small with many instances and accounts, an update names only accounts with
recent requests.
"""

import collections.abc
import math
import random
import typing

import attrs

from oleanderdrift.gateway import rate_buckets

# Time constant of the exponential decay of an account's demand.
DEMAND_TIME_CONSTANT_S: typing.Final = 1.0
# A peer whose updates have been missing for both this time and this number
# of update intervals is assumed to continue at its last demand.
OVERDUE_S: typing.Final = 0.5
OVERDUE_UPDATES: typing.Final = 3
# Half of the update interval of a small fleet.
CHARGE_INTERVAL_S: typing.Final = 0.05
# Messages may be lost, so each change is sent this many times, and every
# tenth update names all accounts.
SENDS_PER_CHANGE: typing.Final = 2
FULL_UPDATE_EVERY: typing.Final = 10
# Lower demand is reported as 0, in requests per second.
MIN_REPORTED_DEMAND: typing.Final = 0.1
# By then an instance that has lost its peers and the store has stopped
# serving.
PEER_EXPIRY_S: typing.Final = 6.0
# Fractions of the burst that are reserved for programs under way: normally,
# and while the account's demand exceeds its rate.
RESERVE_FRACTION: typing.Final = 0.3
BUSY_RESERVE_FRACTION: typing.Final = 0.6
# Instances that spend the same tokens at once owe a burst each, and those
# that are silent their rate for some seconds.  A debt beyond that is a
# wrong count of one peer's.
MAX_DEBT_S: typing.Final = 30.0
# The time that a peer's update takes, with the intervals of relays.
TRANSIT_S: typing.Final = 0.1
# A program retries only a few times, so retries must not follow each other
# at once.
MIN_RETRY_S: typing.Final = 0.2


@attrs.define(kw_only=True)
class RateLimiter:
    """The token buckets of one instance, empty when it starts.

    last_charge is when the assumed spending of peers with overdue updates
    was last subtracted.  accounts holds the configured limits, and upstreams
    those that came into force while this instance ran.
    """

    started: float
    buckets: dict[str, rate_buckets.Bucket] = attrs.field(factory=dict)
    accounts: dict[str, rate_buckets.Limit] = attrs.field(factory=dict)
    upstreams: dict[str, rate_buckets.Limit] = attrs.field(factory=dict)
    peers: dict[str, rate_buckets.Peer] = attrs.field(factory=dict)
    update_interval_s: float = 0.1
    updates_sent: int = 0
    chance: random.Random = attrs.field(factory=random.Random)
    last_charge: float = float('-inf')

    def configure(
        self, accounts: collections.abc.Iterable[rate_buckets.Limit]
    ) -> None:
        """Sets the accounts and their limits."""
        self.accounts = {one.name: one for one in accounts}

    def set_upstream(self, limit: rate_buckets.Limit, now: float) -> None:
        """Puts an upstream's limit in force.

        Its bucket has filled since this instance started, as if the limit
        had been in force before.  It is held until the instances have told
        each other how much they ask for, which nobody counted until now.
        """
        bucket = self.bucket(limit.name)
        self.refill(limit.name, bucket, now)
        if limit.name not in self.upstreams:
            filled = limit.rate_per_s * (now - self.started)
            bucket.tokens = min(filled, limit.burst)
            bucket.held_until = now + self.update_lag_s()
        self.upstreams[limit.name] = limit

    def remove_upstream(self, name: str) -> None:
        """Lifts an upstream's limit; what was spent is remembered."""
        self.upstreams.pop(name, None)

    def forget_upstream(self, name: str) -> None:
        """Removes all that is known of an upstream that has gone."""
        self.remove_upstream(name)
        self.buckets.pop(name, None)

    def limit(self, name: str) -> rate_buckets.Limit | None:
        """Returns the limit of an account or upstream, None if unknown."""
        return self.accounts.get(name) or self.upstreams.get(name)

    def has_token(
        self, limit: rate_buckets.Limit, now: float, program_started: bool
    ) -> bool:
        """Returns whether a request has a chance to be admitted."""
        bucket = self.bucket(limit.name)
        self.refill(limit.name, bucket, now)
        if bucket.tokens < 1 or now < bucket.held_until:
            return False
        if program_started:
            return True
        total = bucket.demand + self.peers_demand(limit.name)
        return bucket.tokens - 1 >= _reserve(limit, total)

    def restart(self, now: float) -> None:
        """Starts again with empty buckets.

        After a pause, this instance does not know what its peers have spent
        meanwhile, and they counted on it to spend nothing.
        """
        self.peers.clear()
        for bucket in self.buckets.values():
            bucket.tokens = min(bucket.tokens, 0.0)
            bucket.updated = now
        self.started = now

    def next_is_full(self) -> bool:
        """Returns whether the next update names all accounts."""
        return self.updates_sent % FULL_UPDATE_EVERY == 0

    def has_unannounced(self) -> bool:
        """Returns whether peers have not been told of all requests."""
        return any(
            bucket.spent != bucket.announced
            for bucket in self.buckets.values()
        )

    def usage_update(self, now: float) -> dict[str, rate_buckets.Usage]:
        """Returns the usage that peers may not know yet, by account."""
        full = self.next_is_full()
        self.updates_sent += 1
        found: dict[str, rate_buckets.Usage] = {}
        for name, bucket in self.buckets.items():
            if not (full or bucket.sends_left):
                continue
            self.refill(name, bucket, now)
            bucket.announced = bucket.spent
            demand = round(bucket.demand, 2)
            if demand < MIN_REPORTED_DEMAND:
                demand = 0.0
                bucket.sends_left = max(bucket.sends_left - 1, 0)
            found[name] = rate_buckets.Usage(spent=bucket.spent, demand=demand)
        return found

    def apply_update(
        self,
        name: str,
        incarnation: int,
        usage: dict[str, rate_buckets.Usage],
        full: bool,
        now: float,
    ) -> None:
        """Applies a peer's update; full if it names all accounts.

        Updates come in the order in which the peer sent them, and none from
        an earlier incarnation follows one from a later.
        """
        known = self.peers.get(name)
        for account, reported in usage.items():
            before = self.already_subtracted(
                known, incarnation, account, reported
            )
            self.bucket(account).tokens -= max(reported.spent - before, 0)
        if known is None or known.incarnation != incarnation:
            # A restarted peer's counts began at 0 while this instance ran.
            full = full or known is not None
            known = self.peers[name] = rate_buckets.Peer(
                incarnation=incarnation,
                complete=full,
                last_update=now,
                charged_until=now,
            )
        known.merge(usage)
        known.complete = known.complete or full
        known.last_update = known.charged_until = now

    def already_subtracted(
        self,
        known: rate_buckets.Peer | None,
        incarnation: int,
        account: str,
        reported: rate_buckets.Usage,
    ) -> float:
        """Returns how much of a peer's reported spending was subtracted."""
        if known is None:
            # Those requests precede the start of this instance's bucket.
            return reported.spent
        if known.incarnation != incarnation:
            return 0
        if account not in known.spent:
            return 0 if known.complete else reported.spent
        if reported.spent < known.spent[account]:
            # The peer forgot an upstream that has come back.
            return 0
        guessed_s = known.charged_until - known.last_update - self.overdue_s()
        asked = min(known.demand.get(account, 0.0), self.rate(account))
        return known.spent[account] + asked * max(guessed_s, 0.0)

    def bucket(self, account: str) -> rate_buckets.Bucket:
        """Returns an account's bucket, new if there was none."""
        found = self.buckets.get(account)
        if found is None:
            found = self.buckets[account] = rate_buckets.Bucket(
                updated=self.started
            )
        return found

    def refill(
        self, name: str, bucket: rate_buckets.Bucket, now: float
    ) -> None:
        """Adds the tokens since the last call and decays the demand."""
        elapsed_s = max(now - bucket.updated, 0.0)
        bucket.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        bucket.updated = now
        limit = self.limit(name)
        if limit is not None:
            bucket.tokens = max(bucket.tokens, -self.max_debt(limit))
            bucket.tokens += elapsed_s * limit.rate_per_s
            bucket.tokens = min(bucket.tokens, limit.burst)

    def max_debt(self, limit: rate_buckets.Limit) -> float:
        """Returns the most tokens that all instances can owe together."""
        bursts = (len(self.peers) + 1) * limit.burst
        return bursts + MAX_DEBT_S * limit.rate_per_s

    def overdue_s(self) -> float:
        """Returns the age at which a peer's next update is overdue."""
        return max(OVERDUE_S, OVERDUE_UPDATES * self.update_interval_s)

    def charge_overdue_peers(self, now: float) -> None:
        """Subtracts the assumed spending of peers with overdue updates."""
        overdue_s = self.overdue_s()
        for name, peer in list(self.peers.items()):
            if now - peer.last_update > PEER_EXPIRY_S:
                del self.peers[name]
                continue
            since = max(peer.charged_until, peer.last_update + overdue_s)
            if now <= since:
                continue
            for account, demand in peer.demand.items():
                asked = min(demand, self.rate(account))
                self.bucket(account).tokens -= asked * (now - since)
            peer.charged_until = now

    def rate(self, account: str) -> float:
        """Returns an account's rate, 0 for an unknown account."""
        found = self.limit(account)
        return found.rate_per_s if found is not None else 0.0

    def peers_demand(self, account: str) -> float:
        """Returns the sum of the peers' demand for an account."""
        peers = self.peers.values()
        return sum(peer.demand.get(account, 0.0) for peer in peers)

    def update_lag_s(self) -> float:
        """Returns the most age of peers' reported spending."""
        return self.update_interval_s + TRANSIT_S

    def admit(
        self, account: rate_buckets.Limit, now: float, program_started: bool
    ) -> rate_buckets.Refusal | None:
        """Admits one request, or returns why it is refused.

        program_started says that the request belongs to a program under
        way, which may use the tokens that are reserved from new programs.
        """
        if account.rate_per_s <= 0:
            return None
        self.note_demand(account, now)
        return self.spend(account, now, program_started)

    def note_demand(self, limit: rate_buckets.Limit, now: float) -> None:
        """Counts a request that asks for a token."""
        bucket = self.bucket(limit.name)
        self.refill(limit.name, bucket, now)
        bucket.demand += 1 / DEMAND_TIME_CONSTANT_S
        bucket.sends_left = SENDS_PER_CHANGE

    def spend(
        self, limit: rate_buckets.Limit, now: float, program_started: bool
    ) -> rate_buckets.Refusal | None:
        """Spends a token on a request that was counted; see admit."""
        if now - self.last_charge >= CHARGE_INTERVAL_S:
            self.last_charge = now
            self.charge_overdue_peers(now)
        bucket = self.bucket(limit.name)
        peers_demand = self.peers_demand(limit.name)
        total = bucket.demand + peers_demand
        # What peers may spend before their reports arrive.
        unreported = peers_demand * self.update_lag_s()
        admitted_share = min(bucket.tokens / max(unreported, 1.0), 1.0)
        may_spend = now >= bucket.held_until and (
            bucket.tokens - unreported >= 1
            or self.chance.random() < admitted_share
        )
        floor = 0.0 if program_started else _reserve(limit, total)
        if not may_spend or bucket.tokens - 1 < floor:
            unheard_s = unreported / max(total, MIN_REPORTED_DEMAND)
            missing = max(floor + 1 - bucket.tokens, unheard_s)
            return rate_buckets.Refusal(
                retry_after_s=MIN_RETRY_S + missing / limit.rate_per_s,
                tokens=bucket.tokens,
                share=admitted_share,
                demand=total,
                rate_per_s=limit.rate_per_s,
                peers=len(self.peers),
            )
        bucket.tokens -= 1
        bucket.spent += 1
        return None


def _reserve(limit: rate_buckets.Limit, demand: float) -> float:
    """Returns the tokens that are kept for programs under way."""
    is_busy = demand > limit.rate_per_s
    fraction = BUSY_RESERVE_FRACTION if is_busy else RESERVE_FRACTION
    return fraction * limit.burst
