"""How much of a group's service each client account has had of late.

Counts served tokens as a virtual token counter does (Sheng et al.,
"Fairness in Serving Large Language Models", OSDI 24: output tokens count
double), but lets the counts decay, so an account is judged by the last
minute or so and needs no lift when it comes back from idling.  An account
over its share yields to the others while they wait, and only then.
"""

import math
import typing

import attrs

DECAY_S: typing.Final = 60.0
INPUT_WEIGHT: typing.Final = 1.0
OUTPUT_WEIGHT: typing.Final = 2.0
MARGIN: typing.Final = 1.5
FREE_CALLS: typing.Final = 4.0
FORGET_CALLS: typing.Final = 0.01
SMOOTHING: typing.Final = 0.05


@attrs.define(kw_only=True)
class Usage:
    """Decayed tokens served to one account, by band; up to updated_at."""

    bands: dict[int, float] = attrs.field(factory=dict)
    updated_at: float = 0.0


@attrs.define(kw_only=True)
class Ledger:
    """The usage of all accounts of a group, and their weights.

    Weights follow the accounts' configured rates; one that is not
    configured counts as the mean of the others.  mean_charge is the
    moving average of a call's charge.
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    default_weight: float = 1.0
    usage: dict[str, Usage] = attrs.field(factory=dict)
    total: float = 0.0
    total_weight: float = 0.0
    total_at: float = 0.0
    mean_charge: float = 0.0


def set_weights(ledger: Ledger, weights: dict[str, float]) -> None:
    """Takes over the accounts' rates as weights."""
    ledger.weights = dict(weights)
    if weights:
        ledger.default_weight = sum(weights.values()) / len(weights)
    ledger.total_weight = sum(weight(ledger, name) for name in ledger.usage)


def weight(ledger: Ledger, account: str) -> float:
    """Returns an account's weight."""
    return ledger.weights.get(account, ledger.default_weight)


def charge_of(computed_tokens: float, tokens: float) -> float:
    """Returns what a call counts."""
    return INPUT_WEIGHT * computed_tokens + OUTPUT_WEIGHT * tokens


def charge(
    ledger: Ledger, now: float, account: str, band: int, amount: float
) -> None:
    """Counts a granted call in an account's usage in a band."""
    correct(ledger, now, account, band, amount)
    if not ledger.mean_charge:
        ledger.mean_charge = amount
    ledger.mean_charge += SMOOTHING * (amount - ledger.mean_charge)


def correct(
    ledger: Ledger, now: float, account: str, band: int, amount: float
) -> None:
    """Adds to an account's usage; a negative amount takes back."""
    usage = ledger.usage.get(account)
    if usage is None:
        usage = ledger.usage[account] = Usage(updated_at=now)
        ledger.total_weight += weight(ledger, account)
    decay_usage(usage, now)
    usage.bands[band] = usage.bands.get(band, 0.0) + amount
    decay_total(ledger, now)
    ledger.total += amount


def decay_usage(usage: Usage, now: float) -> None:
    """Brings a usage up to the present time."""
    factor = math.exp((usage.updated_at - now) / DECAY_S)
    usage.updated_at = now
    for band in usage.bands:
        usage.bands[band] *= factor


def decay_total(ledger: Ledger, now: float) -> None:
    """Brings the total up to the present time."""
    ledger.total *= math.exp((ledger.total_at - now) / DECAY_S)
    ledger.total_at = now


def forget_idle(ledger: Ledger, now: float) -> None:
    """Drops the accounts whose usage has decayed to nothing."""
    floor = FORGET_CALLS * ledger.mean_charge
    for account, usage in list(ledger.usage.items()):
        decay_usage(usage, now)
        if sum(usage.bands.values()) <= floor:
            del ledger.usage[account]
            ledger.total_weight -= weight(ledger, account)


def is_over(ledger: Ledger, now: float, account: str, band: int) -> bool:
    """Tells whether an account is over its share.

    Only its usage in this band and more urgent ones counts: planning does
    not cost an account its urgent calls.  A few calls are always free, so
    that a small account's first program is not held against it.
    """
    usage = ledger.usage.get(account)
    if usage is None or not ledger.total_weight:
        return False
    decay_usage(usage, now)
    decay_total(ledger, now)
    used = sum(
        amount for of_band, amount in usage.bands.items() if of_band <= band
    )
    share = weight(ledger, account) / ledger.total_weight
    allowed = MARGIN * share * ledger.total + FREE_CALLS * ledger.mean_charge
    return used > allowed
