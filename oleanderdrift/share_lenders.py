"""Chooses which instance to ask for tokens of an account."""

import typing

from oleanderdrift import model
from oleanderdrift import share_ledger
from oleanderdrift import share_parts
from oleanderdrift import share_types

MAX_LENDERS_ASKED: typing.Final = 3
MIN_LENDER_TOKENS: typing.Final = 0.05


def next_lender(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
) -> str | None:
    """Returns the instance to ask next, or None.

    The account's home goes first, then instances in the own data centre
    whose bucket is at least half full, then all others.  Within each group
    the one with the most tokens goes first: full buckets waste the tokens
    that they gain, so all are drained evenly.
    """
    if len(queue.asked_lenders) >= MAX_LENDERS_ASKED:
        return None
    slot = share_ledger.slot_of(account.name)
    home = share_parts.find_home(shares, now, account)
    best_rank = (0, MIN_LENDER_TOKENS, 0)
    chosen = None
    for name, units in shares.ledger.by_slot.get(slot, {}).items():
        holder = shares.ledger.holders[name]
        instance = holder.instance
        if instance == shares.instance or instance in queue.asked_lenders:
            continue
        if now < shares.avoided_until_s.get(instance, 0.0):
            continue
        fraction = 1.0 if name == home else units / share_ledger.UNITS
        tokens = estimate_tokens(queue, now, account, instance, fraction)
        same_data_centre = holder.data_centre == shares.data_centre
        half_full = tokens >= max(1.0, account.burst * fraction / 2.0)
        tie_breaker = share_ledger.hash_of(f'{shares.instance}\0{instance}')
        preference = 2 if name == home else int(same_data_centre and half_full)
        rank = (preference, tokens, tie_breaker)
        if rank > best_rank:
            best_rank = rank
            chosen = instance
    return chosen


def estimate_tokens(
    queue: share_types.AccountQueue,
    now: float,
    account: model.ClientAccount,
    lender: str,
    fraction: float,
) -> float:
    """Returns the estimate of the tokens that a lender has now.

    A lender that has not answered yet is taken to have a full bucket.
    """
    cap = account.burst * fraction
    balance = queue.lender_balances.get(lender)
    if balance is None:
        return cap
    gained = (now - balance.at_s) * account.rate_per_s * fraction
    return max(0.0, min(cap, balance.tokens + gained))
