"""The queue of requests that wait for tokens of a client account."""

import math
import typing

from oleanderdrift import model
from oleanderdrift import share_ledger
from oleanderdrift import share_lenders
from oleanderdrift import share_parts
from oleanderdrift import share_types
from oleanderdrift import share_verdicts

MAX_WAIT_S: typing.Final = 0.25
DEMAND_WINDOW_S: typing.Final = 1.0
MAX_RETRY_AFTER_S: typing.Final = 60.0


def max_waiting(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
) -> float:
    """Returns how many requests may wait for tokens.

    That is the estimate of the tokens that all lenders have now, plus the
    tokens that the account gains in MAX_WAIT_S.
    """
    tokens = account.rate_per_s * MAX_WAIT_S
    slot = share_ledger.slot_of(account.name)
    home = share_parts.find_home(shares, now, account)
    for name, units in shares.ledger.by_slot.get(slot, {}).items():
        fraction = 1.0 if name == home else units / share_ledger.UNITS
        lender = shares.ledger.holders[name].instance
        if lender != shares.instance:
            tokens += share_lenders.estimate_tokens(
                queue, now, account, lender, fraction
            )
    return tokens


def note_demand(queue: share_types.AccountQueue, now: float) -> None:
    """Counts one request in the account's demand, in requests per second."""
    elapsed_s = max(0.0, now - queue.demand_updated_s)
    queue.demand_per_s *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
    queue.demand_per_s += 1.0 / DEMAND_WINDOW_S
    queue.demand_updated_s = now


def retry_after_s(account: model.ClientAccount) -> float:
    """Returns when a refused request may find a token, in seconds."""
    if account.rate_per_s <= 0.0:
        return MAX_RETRY_AFTER_S
    wait_s = 1.0 / account.rate_per_s
    return min(
        MAX_RETRY_AFTER_S, max(share_verdicts.MIN_RETRY_AFTER_S, wait_s)
    )
