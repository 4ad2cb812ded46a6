"""Limits client accounts to a rate and burst shared by all instances.

The limiter is designed for two loads.  Normally a program's requests
arrive in bursts at one instance, which must be able to use the whole
burst and not only a ninth of it.  When an account sends several times its
rate to all instances at once, the total must stay within the rate although
no instance can ask the others in time.

Every instance estimates one token bucket per account.  It subtracts its
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
import msgspec

from oleanderdrift.gateway import model

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
# The time that a peer's update takes, with the intervals of relays.
TRANSIT_S: typing.Final = 0.1
# A program retries only a few times, so retries must not follow each other
# at once.
MIN_RETRY_S: typing.Final = 0.2


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request exceeds the limit, for the caller and the log."""

    retry_after_s: float
    tokens: float
    share: float
    demand: float
    rate_per_s: float
    peers: int

    def text(self) -> str:
        """Returns the inputs of the decision as text."""
        return (
            f'tokens {self.tokens:.2f}, share {self.share:.3f} of '
            f'{self.rate_per_s:g}/s, demand {self.demand:.2f}/s, '
            f'{self.peers} peers'
        )


class Usage(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An instance's requests for one account.

    spent counts the requests admitted since the instance started; demand is
    the rate of all requests, admitted or refused, per second.
    """

    spent: int
    demand: float


@attrs.define(kw_only=True)
class Peer:
    """The latest reported usage of one incarnation of a peer.

    spent and demand are by account; demand has no entries of 0.  complete
    says that spent has all accounts with requests since the peer started.
    charged_until is the time up to which its spending was subtracted.
    """

    incarnation: int
    spent: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    complete: bool
    last_update: float
    charged_until: float

    def merge(self, usage: dict[str, Usage]) -> None:
        """Updates the accounts that are named."""
        for account, reported in usage.items():
            self.spent[account] = reported.spent
            if reported.demand > 0:
                self.demand[account] = reported.demand
            else:
                self.demand.pop(account, None)


@attrs.define(kw_only=True)
class Bucket:
    """An account's bucket as this instance sees it.

    tokens falls below 0 if instances spent the same tokens concurrently.
    announced is the number of spent requests that were sent to the peers.
    sends_left is the number of further updates that name the account after
    its demand has ended.
    """

    tokens: float = 0.0
    updated: float
    demand: float = 0.0
    spent: int = 0
    announced: int = 0
    sends_left: int = 0


@attrs.define(kw_only=True)
class RateLimiter:
    """The token buckets of one instance, empty when it starts.

    last_charge is when the assumed spending of peers with overdue updates
    was last subtracted.
    """

    started: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    accounts: dict[str, model.ClientAccount] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    update_interval_s: float = 0.1
    updates_sent: int = 0
    chance: random.Random = attrs.field(factory=random.Random)
    last_charge: float = float('-inf')

    def configure(
        self, accounts: collections.abc.Iterable[model.ClientAccount]
    ) -> None:
        """Sets the accounts and their limits."""
        self.accounts = {one.name: one for one in accounts}

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

    def usage_update(self, now: float) -> dict[str, Usage]:
        """Returns the usage that peers may not know yet, by account."""
        full = self.next_is_full()
        self.updates_sent += 1
        found: dict[str, Usage] = {}
        for name, bucket in self.buckets.items():
            if not (full or bucket.sends_left):
                continue
            self.refill(name, bucket, now)
            bucket.announced = bucket.spent
            demand = round(bucket.demand, 2)
            if demand < MIN_REPORTED_DEMAND:
                demand = 0.0
                bucket.sends_left = max(bucket.sends_left - 1, 0)
            found[name] = Usage(spent=bucket.spent, demand=demand)
        return found

    def apply_update(
        self,
        name: str,
        incarnation: int,
        usage: dict[str, Usage],
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
            known = self.peers[name] = Peer(
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
        known: Peer | None,
        incarnation: int,
        account: str,
        reported: Usage,
    ) -> float:
        """Returns how much of a peer's reported spending was subtracted."""
        if known is None:
            # Those requests precede the start of this instance's bucket.
            return reported.spent
        if known.incarnation != incarnation:
            return 0
        if account not in known.spent:
            return 0 if known.complete else reported.spent
        guessed_s = known.charged_until - known.last_update - self.overdue_s()
        asked = min(known.demand.get(account, 0.0), self.rate(account))
        return known.spent[account] + asked * max(guessed_s, 0.0)

    def bucket(self, account: str) -> Bucket:
        """Returns an account's bucket, new if there was none."""
        found = self.buckets.get(account)
        if found is None:
            found = self.buckets[account] = Bucket(updated=self.started)
        return found

    def refill(self, name: str, bucket: Bucket, now: float) -> None:
        """Adds the tokens since the last call and decays the demand."""
        elapsed_s = max(now - bucket.updated, 0.0)
        bucket.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        bucket.updated = now
        account = self.accounts.get(name)
        if account is not None:
            bucket.tokens += elapsed_s * account.rate_per_s
            bucket.tokens = min(bucket.tokens, account.burst)

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
        found = self.accounts.get(account)
        return found.rate_per_s if found is not None else 0.0

    def peers_demand(self, account: str) -> float:
        """Returns the sum of the peers' demand for an account."""
        return sum(
            peer.demand.get(account, 0.0) for peer in self.peers.values()
        )

    def update_lag_s(self) -> float:
        """Returns the most age of peers' reported spending."""
        return self.update_interval_s + TRANSIT_S

    def admit(
        self, account: model.ClientAccount, now: float, program_started: bool
    ) -> Refusal | None:
        """Admits one request, or returns why it is refused.

        program_started says that the request belongs to a program under
        way, which may use the tokens that are reserved from new programs.
        """
        if account.rate_per_s <= 0:
            return None
        if now - self.last_charge >= CHARGE_INTERVAL_S:
            self.last_charge = now
            self.charge_overdue_peers(now)
        bucket = self.bucket(account.name)
        self.refill(account.name, bucket, now)
        bucket.demand += 1 / DEMAND_TIME_CONSTANT_S
        bucket.sends_left = SENDS_PER_CHANGE
        peers_demand = self.peers_demand(account.name)
        total = bucket.demand + peers_demand
        # What peers may spend before their reports arrive.
        unreported = peers_demand * self.update_lag_s()
        admitted_share = min(bucket.tokens / max(unreported, 1.0), 1.0)
        may_spend = (
            bucket.tokens - unreported >= 1
            or self.chance.random() < admitted_share
        )
        reserve = (
            BUSY_RESERVE_FRACTION
            if total > account.rate_per_s
            else RESERVE_FRACTION
        )
        floor = 0.0 if program_started else reserve * account.burst
        if not may_spend or bucket.tokens - 1 < floor:
            missing = max(floor + 1 - bucket.tokens, unreported / total)
            return Refusal(
                retry_after_s=MIN_RETRY_S + missing / account.rate_per_s,
                tokens=bucket.tokens,
                share=admitted_share,
                demand=total,
                rate_per_s=account.rate_per_s,
                peers=len(self.peers),
            )
        bucket.tokens -= 1
        bucket.spent += 1
        return None
