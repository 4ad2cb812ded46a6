"""Chooses whom an instance asks for tokens of an account."""

import typing

from oleanderdrift import model
from oleanderdrift import share_ledger
from oleanderdrift import share_parts
from oleanderdrift import share_types

MAX_ASKS: typing.Final = 3
MIN_ASK_TOKENS: typing.Final = 0.05


def next_lender(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
) -> str | None:
    """Returns the instance to ask next.

    One of the own data centre that is at least half full goes first, then
    the one with most tokens: buckets that are full waste what they gain,
    so all are to be drained alike.
    """
    if len(line.asked_lenders) >= MAX_ASKS:
        return None
    slot = share_ledger.slot_of(account.name)
    home = share_parts.home(shares, now, account)
    best = (0, MIN_ASK_TOKENS, 0)
    chosen = None
    for name, units in shares.ledger.by_slot.get(slot, {}).items():
        holder = shares.ledger.holders[name]
        instance = holder.instance
        if instance == shares.instance or instance in line.asked_lenders:
            continue
        if now < shares.avoided_until_s.get(instance, 0.0):
            continue
        part = 1.0 if name == home else units / share_ledger.UNITS
        tokens = estimate(line, now, account, instance, part)
        near = holder.data_centre == shares.data_centre
        half_full = tokens >= max(1.0, account.burst * part / 2.0)
        spread = share_ledger.hash_of(f'{shares.instance}\0{instance}')
        order = 2 if name == home else int(near and half_full)
        rank = (order, tokens, spread)
        if rank > best:
            best = rank
            chosen = instance
    return chosen


def estimate(
    line: share_types.AccountQueue,
    now: float,
    account: model.ClientAccount,
    lender: str,
    part: float,
) -> float:
    """Returns the tokens that a lender may have by now."""
    cap = account.burst * part
    level = line.lender_balances.get(lender)
    if level is None:
        return cap
    gained = (now - level.at_s) * account.rate_per_s * part
    return max(0.0, min(cap, level.tokens + gained))
