"""Holds client accounts to rate and burst over all instances.

Answers two loads.  In calm times a program's requests come in clumps at
one instance, which must find the whole burst there and not a ninth of it.
When an account asks for several times its rate at all instances at once,
their sum must stay within it though none can ask the others in time.

Every instance keeps an estimate of the account's one bucket: it spends
its own requests at once and subtracts what its peers say they have spent,
several times a second.  An instance may spend what is there beyond what
the others are likely to spend before it hears of it; of the rest only its
part by demand between two messages of its own.  A peer that falls silent is
taken to go on as before until it must have stopped serving.  A bucket
starts empty, so a restart grants nothing twice.  Many instances have many
accounts, so news names only those that were asked for lately.
"""

import collections.abc
import math
import typing

import attrs

from oleanderdrift.gateway import model

# Time constant of the demand's moving average.
DEMAND_TIME_CONSTANT_S: typing.Final = 1.0
# A peer without news for this long, or for as many of its messages, is
# taken to go on as before.
OVERDUE_S: typing.Final = 0.5
OVERDUE_UPDATES: typing.Final = 3
# Half of the pace at which a small fleet tells.
CHARGE_INTERVAL_S: typing.Final = 0.05
# A message may be lost, so each change is told so many times, and now and
# then all of them.
SENDS_PER_CHANGE: typing.Final = 2
FULL_UPDATE_EVERY: typing.Final = 10
# Less demand is told as none, in requests a second.
MIN_REPORTED_DEMAND: typing.Final = 0.1
# By then an instance without peers and store has stopped serving.
PEER_EXPIRY_S: typing.Final = 6.0
# What an instance without demand may begin with, in requests a second.
IDLE_RATE: typing.Final = 0.3
# The part of the burst that is kept for programs that have begun, and
# while the account asks for more than its rate.
RESERVE_FRACTION: typing.Final = 0.3
BUSY_RESERVE_FRACTION: typing.Final = 0.6
# How old the others' spending may be: a message's pace and its way.
UPDATE_LAG_S: typing.Final = 0.2
# A program has few tries; they should not all fall into one moment.
MIN_RETRY_S: typing.Final = 0.2


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request is over the allotment, for the caller and the log."""

    retry_after_s: float
    tokens: float
    share: float
    demand: float
    rate_per_s: float
    peers: int

    def text(self) -> str:
        """Returns the inputs of the decision."""
        return (
            f'tokens {self.tokens:.2f}, part {self.share:.3f} of '
            f'{self.rate_per_s:g}/s, demand {self.demand:.2f}/s, '
            f'{self.peers} peers'
        )


@attrs.frozen(kw_only=True)
class Usage:
    """An instance's requests for one account.

    spent counts those admitted since the instance started; demand is
    what callers ask for, in requests a second.
    """

    spent: int
    demand: float


@attrs.define(kw_only=True)
class Peer:
    """The latest news of one incarnation of a peer.

    spent is by account; demand names only accounts that are asked for.
    complete says that spent names all accounts it was ever asked for.
    """

    started_ms: int
    spent: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    complete: bool
    last_update: float
    charged_until: float

    def merge(self, usage: dict[str, Usage]) -> None:
        """Takes news of some accounts in."""
        for account, reported in usage.items():
            self.spent[account] = reported.spent
            if reported.demand > 0:
                self.demand[account] = reported.demand
            else:
                self.demand.pop(account, None)


@attrs.define(kw_only=True)
class Bucket:
    """An account's bucket as this instance sees it.

    tokens may fall below 0 where instances spent at the same time.
    announced is how many of the spent requests its peers know of, and
    sends_left how many more messages name the account.
    """

    tokens: float = 0.0
    updated: float
    demand: float = 0.0
    spent: int = 0
    announced: int = 0
    sends_left: int = 0


@attrs.define(kw_only=True)
class RateLimiter:
    """The buckets of one instance, empty when it started.

    update_interval_s is the time between two messages of an instance;
    updates_sent is how many this one has sent.  last_charge is when quiet
    peers' likely spending was last subtracted.
    """

    started: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    accounts: dict[str, model.ClientAccount] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    update_interval_s: float = 0.1
    updates_sent: int = 0
    last_charge: float = float('-inf')

    def configure(
        self, accounts: collections.abc.Iterable[model.ClientAccount]
    ) -> None:
        """Takes the accounts' present rates over."""
        self.accounts = {one.name: one for one in accounts}

    def next_is_full(self) -> bool:
        """Tells whether the next news name all accounts."""
        return self.updates_sent % FULL_UPDATE_EVERY == 0

    def usage_update(self, now: float) -> dict[str, Usage]:
        """Returns what peers may not know of this instance's requests."""
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
        started_ms: int,
        usage: dict[str, Usage],
        full: bool,
        now: float,
    ) -> None:
        """Takes a peer's news in; full where they name all accounts."""
        known = self.peers.get(name)
        if known is not None and started_ms < known.started_ms:
            return
        for account, reported in usage.items():
            before = self.already_subtracted(
                known, started_ms, account, reported
            )
            self.bucket(account).tokens -= max(reported.spent - before, 0)
        if known is None or known.started_ms != started_ms:
            # All that a restarted peer spends comes after its start.
            full = full or known is not None
            known = self.peers[name] = Peer(
                started_ms=started_ms,
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
        started_ms: int,
        account: str,
        reported: Usage,
    ) -> float:
        """Returns what of a peer's spending is subtracted already."""
        if known is None:
            # This instance started empty, after those requests.
            return reported.spent
        if known.started_ms != started_ms:
            return 0
        if account not in known.spent:
            return 0 if known.complete else reported.spent
        guessed_s = known.charged_until - known.last_update - self.overdue_s()
        asked = min(known.demand.get(account, 0.0), self.rate(account))
        return known.spent[account] + asked * max(guessed_s, 0.0)

    def bucket(self, account: str) -> Bucket:
        """Returns an account's bucket."""
        found = self.buckets.get(account)
        if found is None:
            found = self.buckets[account] = Bucket(updated=self.started)
        return found

    def refill(self, name: str, bucket: Bucket, now: float) -> None:
        """Adds what has come in since the last time."""
        elapsed_s = max(now - bucket.updated, 0.0)
        bucket.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        bucket.updated = now
        account = self.accounts.get(name)
        if account is not None:
            bucket.tokens += elapsed_s * account.rate_per_s
            bucket.tokens = min(bucket.tokens, account.burst)

    def overdue_s(self) -> float:
        """Returns after how long without news a peer counts as quiet."""
        return max(OVERDUE_S, OVERDUE_UPDATES * self.update_interval_s)

    def charge_overdue_peers(self, now: float) -> None:
        """Subtracts what peers without news are likely to spend."""
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
        """Returns an account's rate, 0 where it is not known."""
        found = self.accounts.get(account)
        return found.rate_per_s if found is not None else 0.0

    def peers_demand(self, account: str) -> float:
        """Returns the peers' demand for an account in all."""
        return sum(
            peer.demand.get(account, 0.0) for peer in self.peers.values()
        )

    def share(self, account: str, peers_demand: float) -> float:
        """Returns this instance's part of an account, 0 to 1.

        peers_demand is the peers' demand for it.
        """
        mine = self.bucket(account).demand + IDLE_RATE
        total = mine + peers_demand + IDLE_RATE * len(self.peers)
        return mine / total

    def admit(
        self, account: model.ClientAccount, now: float, program_started: bool
    ) -> Refusal | None:
        """Spends one request; returns None, or why it is refused.

        program_started says that the request belongs to a program under
        way, which may use what is kept back from new ones.
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
        share = self.share(account.name, peers_demand)
        # All instances may spend at the same time, each its part; one
        # request is let through where the part is less.
        unannounced = bucket.spent - bucket.announced
        limit = max(share * (bucket.tokens + unannounced), 1.0) - unannounced
        available = max(bucket.tokens - peers_demand * UPDATE_LAG_S, limit)
        available = min(available, bucket.tokens)
        reserve = (
            BUSY_RESERVE_FRACTION
            if total > account.rate_per_s
            else RESERVE_FRACTION
        )
        floor = 0.0 if program_started else reserve * account.burst
        if available < 1 or bucket.tokens - 1 < floor:
            missing = max(1 - available, floor + 1 - bucket.tokens)
            return Refusal(
                retry_after_s=MIN_RETRY_S + missing / account.rate_per_s,
                tokens=bucket.tokens,
                share=share,
                demand=total,
                rate_per_s=account.rate_per_s,
                peers=len(self.peers),
            )
        bucket.tokens -= 1
        bucket.spent += 1
        return None
