"""The baseline for account limits: a fixed split between instances.

Each instance has a token bucket per client account, with a fixed fraction
of the account's rate and burst.  The fractions of all instances add up to
at most one, so the fleet as a whole keeps to the account's limits.
"""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import model

MIN_RETRY_AFTER_S: typing.Final = 0.1
MAX_RETRY_AFTER_S: typing.Final = 60.0


@attrs.define(kw_only=True)
class Bucket:
    """One client account's token bucket at this instance."""

    tokens: float
    updated_s: float


@attrs.define(kw_only=True)
class Shares:
    """The state of one instance: its fraction and its buckets."""

    instance: str
    fraction: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)


def admit(shares: Shares, now: float, account: model.ClientAccount) -> None:
    """Spends one token, or raises ResultError(RATE_EXCEEDED)."""
    bucket = refilled_bucket(shares, now, account)
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return
    raise errors.ResultError(
        codes.RATE_EXCEEDED,
        f'client account {account.name}',
        retry_after_s=_retry_after_s(shares, bucket, account),
    )


def refilled_bucket(
    shares: Shares, now: float, account: model.ClientAccount
) -> Bucket:
    """Returns the account's bucket with the tokens due by now."""
    capacity = account.burst * shares.fraction
    bucket = shares.buckets.get(account.name)
    if bucket is None:
        bucket = Bucket(tokens=capacity, updated_s=now)
        shares.buckets[account.name] = bucket
        return bucket
    gained = (now - bucket.updated_s) * account.rate_per_s * shares.fraction
    bucket.tokens = min(capacity, bucket.tokens + max(0.0, gained))
    bucket.updated_s = max(now, bucket.updated_s)
    return bucket


def _retry_after_s(
    shares: Shares, bucket: Bucket, account: model.ClientAccount
) -> float:
    rate = account.rate_per_s * shares.fraction
    if rate <= 0.0:
        return MAX_RETRY_AFTER_S
    wait_s = (1.0 - bucket.tokens) / rate
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
