"""Tracks each client account's recent share of a group's service.

Served tokens are counted as by a virtual token counter (Sheng et al.,
"Fairness in Serving Large Language Models", OSDI 24), with output tokens
counted double.  The counts decay, so an account is judged by about the
last minute and needs no counter lift when it returns from idle.  An
account over its share yields to others only while they have calls waiting.
"""

import math
import typing

import attrs

DECAY_S: typing.Final = 60.0
EPOCH_S: typing.Final = 20 * DECAY_S
INPUT_WEIGHT: typing.Final = 1.0
OUTPUT_WEIGHT: typing.Final = 2.0
OVER_SHARE_FACTOR: typing.Final = 1.5
ALLOWANCE_CALLS: typing.Final = 4.0
MIN_USAGE_CALLS: typing.Final = 0.01
SMOOTHING: typing.Final = 0.05


@attrs.define(kw_only=True)
class UsageLedger:
    """The decaying usage of all accounts of a group, and their weights.

    weights are the accounts' configured rates; an account without one gets
    their mean.  usage is by account and band.  The decay is applied by
    scaling new amounts up by the time since epoch_at, instead of shrinking
    all older ones, which gives the same shares.  total_weight sums the
    weights of the accounts with usage.  mean_charge is the moving average
    of a call's charge, not scaled.
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    default_weight: float = 1.0
    usage: dict[str, dict[int, float]] = attrs.field(factory=dict)
    total_usage: float = 0.0
    total_weight: float = 0.0
    epoch_at: float = 0.0
    mean_charge: float = 0.0


def set_weights(ledger: UsageLedger, weights: dict[str, float]) -> None:
    """Sets the accounts' weights, their configured rates."""
    ledger.weights = dict(weights)
    if weights:
        ledger.default_weight = sum(weights.values()) / len(weights)
    ledger.total_weight = sum(weight(ledger, name) for name in ledger.usage)


def weight(ledger: UsageLedger, account: str) -> float:
    """Returns an account's weight."""
    return ledger.weights.get(account, ledger.default_weight)


def charge_of(computed_tokens: float, tokens: float) -> float:
    """Returns the charge of a call by its prompt and output tokens."""
    return INPUT_WEIGHT * computed_tokens + OUTPUT_WEIGHT * tokens


def charge(
    ledger: UsageLedger, now: float, account: str, band: int, amount: float
) -> None:
    """Adds a granted call's charge to an account's usage in a band."""
    adjust_usage(ledger, now, account, band, amount)
    if not ledger.mean_charge:
        ledger.mean_charge = amount
    ledger.mean_charge += SMOOTHING * (amount - ledger.mean_charge)


def adjust_usage(
    ledger: UsageLedger, now: float, account: str, band: int, amount: float
) -> None:
    """Adds to an account's usage; a negative amount reduces it."""
    renew_epoch(ledger, now)
    bands = ledger.usage.get(account)
    if bands is None:
        bands = ledger.usage[account] = {}
        ledger.total_weight += weight(ledger, account)
    scaled = amount * current_scale(ledger, now)
    bands[band] = bands.get(band, 0.0) + scaled
    ledger.total_usage += scaled


def current_scale(ledger: UsageLedger, now: float) -> float:
    """Returns the factor by which amounts charged now are scaled."""
    return math.exp((now - ledger.epoch_at) / DECAY_S)


def renew_epoch(ledger: UsageLedger, now: float) -> None:
    """Starts a new epoch before the scale grows too large."""
    if now - ledger.epoch_at > EPOCH_S:
        start_epoch(ledger, now)


def start_epoch(ledger: UsageLedger, now: float) -> None:
    """Rescales all amounts to now and drops accounts with almost none."""
    factor = math.exp((ledger.epoch_at - now) / DECAY_S)
    ledger.epoch_at = now
    ledger.total_usage = 0.0
    floor = MIN_USAGE_CALLS * ledger.mean_charge
    for account, bands in list(ledger.usage.items()):
        for band in bands:
            bands[band] *= factor
        used = sum(bands.values())
        if used <= floor:
            del ledger.usage[account]
        else:
            ledger.total_usage += used
    ledger.total_weight = sum(weight(ledger, name) for name in ledger.usage)


def free_allowance(ledger: UsageLedger, now: float) -> float:
    """Returns the usage that is allowed beyond each share, scaled."""
    renew_epoch(ledger, now)
    return ALLOWANCE_CALLS * ledger.mean_charge * current_scale(ledger, now)


def is_over_share(
    ledger: UsageLedger, account: str, band: int, free: float
) -> bool:
    """Tells whether an account is over its share.

    Only its usage in this band and in more urgent ones counts, so its less
    urgent calls do not hold back its urgent ones.  free is the allowance
    of a few calls from free_allowance(), without which an account of small
    weight would be over its share with its first program.
    """
    bands = ledger.usage.get(account)
    if bands is None or not ledger.total_weight:
        return False
    used = sum(amount for of_band, amount in bands.items() if of_band <= band)
    share = weight(ledger, account) / ledger.total_weight
    return used > OVER_SHARE_FACTOR * share * ledger.total_usage + free
