"""Decides whether and when to retry a failed call or hedge a slow one.

Each first attempt at a call earns a fraction of a token; each retry or
hedge spends a whole token, both from the upstream's budget and from the
fleet's.  So retries add at most that fraction to the load, however many
calls fail.  A call that may have run is repeated only if it is idempotent.
"""

import random
import typing

import attrs

from oleanderdrift import codes

EARNED_PER_CALL: typing.Final = 0.1
MAX_TOKENS: typing.Final = 10.0
MAX_ATTEMPTS: typing.Final = 3
BASE_DELAY_S: typing.Final = 0.05
MAX_DELAY_S: typing.Final = 2.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Tokens for retries; starts full, so a rare failure is retried."""

    tokens: float = MAX_TOKENS


@attrs.define(kw_only=True)
class RetryBudgets:
    """This instance's budget for the whole fleet, and one per upstream."""

    fleet: RetryBudget = attrs.field(factory=RetryBudget)
    upstreams: dict[str, RetryBudget] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Retry:
    """Try again after delay_s, not on the upstream that failed."""

    delay_s: float


@attrs.frozen(kw_only=True)
class GiveUp:
    """Do not try again; reason is a word that says why."""

    reason: str


def on_attempt(budgets: RetryBudgets, upstream: str) -> None:
    """Credits both budgets for a first attempt at a call."""
    for budget in (budgets.fleet, upstream_budget(budgets, upstream)):
        budget.tokens = min(MAX_TOKENS, budget.tokens + EARNED_PER_CALL)


def upstream_budget(budgets: RetryBudgets, upstream: str) -> RetryBudget:
    """Returns the upstream's budget, created if it is missing."""
    return budgets.upstreams.setdefault(upstream, RetryBudget())


def decide(
    budgets: RetryBudgets,
    *,
    upstream: str,
    execution: codes.Execution,
    idempotent: bool,
    attempt: int,
    remaining_s: float,
    rng: random.Random,
) -> Retry | GiveUp:
    """Returns what to do after attempt (from 1) failed on an upstream.

    remaining_s is the time left until the caller gives up.
    """
    if execution is codes.Execution.RAN:
        return GiveUp(reason='ran')
    if execution is codes.Execution.UNKNOWN and not idempotent:
        return GiveUp(reason='may-have-run')
    if attempt >= MAX_ATTEMPTS:
        return GiveUp(reason='attempts')
    delay_s = backoff_s(attempt, rng)
    if delay_s >= remaining_s:
        return GiveUp(reason='deadline')
    if not try_spend(budgets, upstream):
        return GiveUp(reason='budget')
    return Retry(delay_s=delay_s)


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns a fully jittered exponential delay after an attempt."""
    ceiling_s = min(MAX_DELAY_S, BASE_DELAY_S * 2.0**attempt)
    return rng.uniform(0.0, ceiling_s)


def try_spend(budgets: RetryBudgets, upstream: str) -> bool:
    """Takes one token from each budget, or returns False and takes none."""
    own = upstream_budget(budgets, upstream)
    if budgets.fleet.tokens < 1.0 or own.tokens < 1.0:
        return False
    budgets.fleet.tokens -= 1.0
    own.tokens -= 1.0
    return True


def try_hedge(
    budgets: RetryBudgets,
    *,
    upstream: str,
    idempotent: bool,
    waited_s: float,
    p95_first_byte_s: float,
) -> bool:
    """Spends for a second copy of a call, or returns False.

    p95_first_byte_s is the 95th percentile of the time to the first byte,
    before which no copy is sent.
    """
    if not idempotent or waited_s < p95_first_byte_s:
        return False
    return try_spend(budgets, upstream)
