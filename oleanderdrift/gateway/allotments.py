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
DEMAND_S: typing.Final = 1.0
# A peer without news for this long, or for as many of its messages, is
# taken to go on as before.
QUIET_S: typing.Final = 0.5
QUIET_MESSAGES: typing.Final = 3
# Half of the pace at which a small fleet tells.
CHARGE_EVERY_S: typing.Final = 0.05
# A message may be lost, so each change is told so many times, and now and
# then all of them.
TELL_TIMES: typing.Final = 2
TELL_ALL_EVERY: typing.Final = 10
# Less demand is told as none, in requests a second.
MIN_DEMAND: typing.Final = 0.1
# By then an instance without peers and store has stopped serving.
SILENT_S: typing.Final = 6.0
# What an instance without demand may begin with, in requests a second.
IDLE_RATE: typing.Final = 0.3
# The part of the burst that is kept for programs that have begun, and
# while the account asks for more than its rate.
RESERVE: typing.Final = 0.3
BUSY_RESERVE: typing.Final = 0.6
# How old the others' spending may be: a message's pace and its way.
LAG_S: typing.Final = 0.2
# A program has few tries; they should not all fall into one moment.
MIN_RETRY_S: typing.Final = 0.2


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request is over the allotment, for the caller and the log."""

    retry_after_s: float
    tokens: float
    part: float
    demand: float
    rate_per_s: float
    peers: int

    def text(self) -> str:
        """Returns the inputs of the decision."""
        return (
            f'tokens {self.tokens:.2f}, part {self.part:.3f} of '
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
    whole says that spent names all accounts it was ever asked for.
    """

    started_ms: int
    spent: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    whole: bool
    heard: float
    charged_until: float

    def take(self, usage: dict[str, Usage]) -> None:
        """Takes news of some accounts in."""
        for account, news in usage.items():
            self.spent[account] = news.spent
            if news.demand > 0:
                self.demand[account] = news.demand
            else:
                self.demand.pop(account, None)


@attrs.define(kw_only=True)
class Bucket:
    """An account's bucket as this instance sees it.

    tokens may fall below 0 where instances spent at the same time.
    told is how many of the spent requests its peers have heard of, and
    to_tell how many more messages name the account.
    """

    tokens: float = 0.0
    updated: float
    demand: float = 0.0
    spent: int = 0
    told: int = 0
    to_tell: int = 0


@attrs.define(kw_only=True)
class RateLimiter:
    """The buckets of one instance, empty when it started.

    update_interval_s is the time between two messages of an instance;
    messages is how many this one has sent.  charged is when quiet peers'
    likely spending was last subtracted.
    """

    started: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    accounts: dict[str, model.ClientAccount] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    update_interval_s: float = 0.1
    messages: int = 0
    charged: float = float('-inf')

    def configure(
        self, accounts: collections.abc.Iterable[model.ClientAccount]
    ) -> None:
        """Takes the accounts' present rates over."""
        self.accounts = {one.name: one for one in accounts}

    def next_is_full(self) -> bool:
        """Tells whether the next news name all accounts."""
        return self.messages % TELL_ALL_EVERY == 0

    def usage_update(self, now: float) -> dict[str, Usage]:
        """Returns what peers may not know of this instance's requests."""
        tell_all = self.next_is_full()
        self.messages += 1
        found: dict[str, Usage] = {}
        for name, bucket in self.buckets.items():
            if not (tell_all or bucket.to_tell):
                continue
            self.refill(name, bucket, now)
            bucket.told = bucket.spent
            demand = round(bucket.demand, 2)
            if demand < MIN_DEMAND:
                demand = 0.0
                bucket.to_tell = max(bucket.to_tell - 1, 0)
            found[name] = Usage(spent=bucket.spent, demand=demand)
        return found

    def apply_update(
        self,
        name: str,
        started_ms: int,
        usage: dict[str, Usage],
        whole: bool,
        now: float,
    ) -> None:
        """Takes a peer's news in; whole where they name all accounts."""
        known = self.peers.get(name)
        if known is not None and started_ms < known.started_ms:
            return
        for account, news in usage.items():
            before = self.spent_before(known, started_ms, account, news)
            self.bucket(account).tokens -= max(news.spent - before, 0)
        if known is None or known.started_ms != started_ms:
            # All that a restarted peer spends comes after its start.
            whole = whole or known is not None
            known = self.peers[name] = Peer(
                started_ms=started_ms,
                whole=whole,
                heard=now,
                charged_until=now,
            )
        known.take(usage)
        known.whole = known.whole or whole
        known.heard = known.charged_until = now

    def spent_before(
        self,
        known: Peer | None,
        started_ms: int,
        account: str,
        news: Usage,
    ) -> float:
        """Returns what of a peer's spending is subtracted already."""
        if known is None:
            # This instance started empty, after those requests.
            return news.spent
        if known.started_ms != started_ms:
            return 0
        if account not in known.spent:
            return 0 if known.whole else news.spent
        guessed_s = known.charged_until - known.heard - self.quiet_s()
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
        bucket.demand *= math.exp(-elapsed_s / DEMAND_S)
        bucket.updated = now
        account = self.accounts.get(name)
        if account is not None:
            bucket.tokens += elapsed_s * account.rate_per_s
            bucket.tokens = min(bucket.tokens, account.burst)

    def quiet_s(self) -> float:
        """Returns after how long without news a peer counts as quiet."""
        return max(QUIET_S, QUIET_MESSAGES * self.update_interval_s)

    def charge_quiet(self, now: float) -> None:
        """Subtracts what peers without news are likely to spend."""
        quiet_s = self.quiet_s()
        for name, peer in list(self.peers.items()):
            if now - peer.heard > SILENT_S:
                del self.peers[name]
                continue
            since = max(peer.charged_until, peer.heard + quiet_s)
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

    def others_demand(self, account: str) -> float:
        """Returns the peers' demand for an account in all."""
        return sum(
            peer.demand.get(account, 0.0) for peer in self.peers.values()
        )

    def part(self, account: str, others: float) -> float:
        """Returns this instance's part of an account, 0 to 1.

        others is the peers' demand for it.
        """
        mine = self.bucket(account).demand + IDLE_RATE
        total = mine + others + IDLE_RATE * len(self.peers)
        return mine / total

    def admit(
        self, account: model.ClientAccount, now: float, begun: bool
    ) -> Refusal | None:
        """Spends one request; returns None, or why it is refused.

        begun says that the request belongs to a program under way, which
        may use what is kept back from new ones.
        """
        if account.rate_per_s <= 0:
            return None
        if now - self.charged >= CHARGE_EVERY_S:
            self.charged = now
            self.charge_quiet(now)
        bucket = self.bucket(account.name)
        self.refill(account.name, bucket, now)
        bucket.demand += 1 / DEMAND_S
        bucket.to_tell = TELL_TIMES
        others = self.others_demand(account.name)
        total = bucket.demand + others
        part = self.part(account.name, others)
        # All instances may spend at the same time, each its part; one
        # request is let through where the part is less.
        untold = bucket.spent - bucket.told
        limit = max(part * (bucket.tokens + untold), 1.0) - untold
        room = max(bucket.tokens - others * LAG_S, limit)
        room = min(room, bucket.tokens)
        reserve = BUSY_RESERVE if total > account.rate_per_s else RESERVE
        floor = 0.0 if begun else reserve * account.burst
        if room < 1 or bucket.tokens - 1 < floor:
            missing = max(1 - room, floor + 1 - bucket.tokens)
            return Refusal(
                retry_after_s=MIN_RETRY_S + missing / account.rate_per_s,
                tokens=bucket.tokens,
                part=part,
                demand=total,
                rate_per_s=account.rate_per_s,
                peers=len(self.peers),
            )
        bucket.tokens -= 1
        bucket.spent += 1
        return None
