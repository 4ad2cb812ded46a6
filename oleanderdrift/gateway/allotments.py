"""Holds client accounts to rate and burst over all instances.

Answers an account at several times its rate, met by instances that cannot
ask anybody within a request's time.  Each instance holds a bucket with a
part of the account's rate and burst.  The part follows the instance's
share of the demand, which instances tell each other several times a
second; what an instance that fell silent was last known to ask for stays
set aside for it.  A bucket starts empty, so a restart grants nothing
twice.
"""

import math
import typing

import attrs

from oleanderdrift.gateway import model

# Time constant of the demand's moving average.
DEMAND_S: typing.Final = 1.0
# The parts of a silent instance go to the others after this long; by then
# it has stopped serving if it lives.
SILENT_S: typing.Final = 6.0
# What an instance without demand may begin with, in requests a second.
IDLE_RATE: typing.Final = 0.5
# Left free for the lag of the news, as a share of rate and burst.
MARGIN: typing.Final = 0.03
# The part of a bucket that is kept for programs that have begun.
RESERVE: typing.Final = 0.25


@attrs.define(kw_only=True)
class PeerDemand:
    """The demand that a peer told, in requests a second by account."""

    rates: dict[str, float]
    heard: float


@attrs.define(kw_only=True)
class Bucket:
    """This instance's part of one account's allotment."""

    tokens: float = 0.0
    updated: float
    demand: float = 0.0
    asked: int = 0


@attrs.define(kw_only=True)
class Allotments:
    """The buckets of one instance, empty when it started."""

    started: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    peers: dict[str, PeerDemand] = attrs.field(factory=dict)

    def hear(self, peer: str, rates: dict[str, float], now: float) -> None:
        """Takes a peer's news in."""
        self.peers[peer] = PeerDemand(rates=rates, heard=now)

    def forget(self, peer: str) -> None:
        """Drops a peer that left in an orderly way."""
        self.peers.pop(peer, None)

    def demands(self, now: float) -> dict[str, float]:
        """Returns this instance's demand for its peers."""
        for bucket in self.buckets.values():
            _decay(bucket, now)
        return {
            name: round(bucket.demand, 2)
            for name, bucket in self.buckets.items()
            if bucket.demand > 0.01
        }

    def share(self, account: str, rate: float, now: float) -> float:
        """Returns this instance's part of an account's rate, 0 to 1."""
        mine = self.buckets[account].demand
        others = [
            peer.rates.get(account, 0.0)
            for peer in self.peers.values()
            if now - peer.heard < SILENT_S
        ]
        total = mine + sum(others)
        count = len(others) + 1
        if total < rate:
            return (mine + (rate - total) / count) / rate
        return (mine + IDLE_RATE) / (total + IDLE_RATE * count)

    def admit(
        self, account: model.ClientAccount, now: float, begun: bool
    ) -> float | None:
        """Spends one request; returns None, or seconds until a retry.

        begun says that the request belongs to a program under way, which
        may use what is kept back from new ones.
        """
        if account.rate_per_s <= 0:
            return None
        bucket = self.buckets.setdefault(
            account.name, Bucket(updated=self.started)
        )
        elapsed_s = _decay(bucket, now)
        bucket.demand += 1 / DEMAND_S
        bucket.asked += 1
        rate = account.rate_per_s * (1 - MARGIN)
        part = self.share(account.name, rate, now)
        depth = max(account.burst * (1 - MARGIN) * part, 1.0)
        refilled = bucket.tokens + elapsed_s * rate * part
        bucket.tokens = min(depth, refilled)
        floor = 0.0 if begun else min(RESERVE * depth, depth - 1)
        if bucket.tokens - 1 < floor:
            missing = floor + 1 - bucket.tokens
            return missing / max(rate * part, 0.1)
        bucket.tokens -= 1
        return None


def _decay(bucket: Bucket, now: float) -> float:
    elapsed_s = max(now - bucket.updated, 0.0)
    bucket.demand *= math.exp(-elapsed_s / DEMAND_S)
    bucket.updated = now
    return elapsed_s
