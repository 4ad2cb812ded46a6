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
EPOCH_S: typing.Final = 20 * DECAY_S
INPUT_WEIGHT: typing.Final = 1.0
OUTPUT_WEIGHT: typing.Final = 2.0
MARGIN: typing.Final = 1.5
FREE_CALLS: typing.Final = 4.0
FORGET_CALLS: typing.Final = 0.01
SMOOTHING: typing.Final = 0.05


@attrs.define(kw_only=True)
class Ledger:
    """The usage of all accounts of a group, and their weights.

    Weights follow the accounts' configured rates; one that is not
    configured counts as the mean of the others.  usage is by account and
    band.  Instead of shrinking all amounts as time passes, new ones are
    scaled up by the time since epoch_at, which gives the same shares.
    mean_charge is the moving average of a call's charge, not scaled.
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    default_weight: float = 1.0
    usage: dict[str, dict[int, float]] = attrs.field(factory=dict)
    total: float = 0.0
    total_weight: float = 0.0
    epoch_at: float = 0.0
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
    keep_epoch(ledger, now)
    bands = ledger.usage.get(account)
    if bands is None:
        bands = ledger.usage[account] = {}
        ledger.total_weight += weight(ledger, account)
    scaled = amount * scale(ledger, now)
    bands[band] = bands.get(band, 0.0) + scaled
    ledger.total += scaled


def scale(ledger: Ledger, now: float) -> float:
    """Returns what an amount of the present time counts."""
    return math.exp((now - ledger.epoch_at) / DECAY_S)


def keep_epoch(ledger: Ledger, now: float) -> None:
    """Starts a new epoch before the scale grows too large."""
    if now - ledger.epoch_at > EPOCH_S:
        start_epoch(ledger, now)


def start_epoch(ledger: Ledger, now: float) -> None:
    """Scales all amounts to the present; drops accounts with next to none."""
    factor = math.exp((ledger.epoch_at - now) / DECAY_S)
    ledger.epoch_at = now
    ledger.total = 0.0
    floor = FORGET_CALLS * ledger.mean_charge
    for account, bands in list(ledger.usage.items()):
        for band in bands:
            bands[band] *= factor
        used = sum(bands.values())
        if used <= floor:
            del ledger.usage[account]
        else:
            ledger.total += used
    ledger.total_weight = sum(weight(ledger, name) for name in ledger.usage)


def free_allowance(ledger: Ledger, now: float) -> float:
    """Returns the usage that every account has free, scaled."""
    keep_epoch(ledger, now)
    return FREE_CALLS * ledger.mean_charge * scale(ledger, now)


def is_over(ledger: Ledger, account: str, band: int, free: float) -> bool:
    """Tells whether an account is over its share.

    Only its usage in this band and more urgent ones counts: planning does
    not cost an account its urgent calls.  A few calls are always free
    (free_allowance), so that a small account's first program is not held
    against it.
    """
    bands = ledger.usage.get(account)
    if bands is None or not ledger.total_weight:
        return False
    used = sum(amount for of_band, amount in bands.items() if of_band <= band)
    share = weight(ledger, account) / ledger.total_weight
    return used > MARGIN * share * ledger.total + free
