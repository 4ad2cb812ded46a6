"""Wrongful refusals, overspending and cost of the accounts' limits.

Nine instances in model time take the requests of eight accounts, three of
them large and one sending five times its rate.  The baseline gives each
instance a fixed ninth of every account, and sees the same requests.
"""

import collections.abc
import random
import time
import typing

import attrs

from bench import figure
from bench import share_fleet
from oleanderdrift import errors
from oleanderdrift import model
from oleanderdrift import shares

SEED: typing.Final = 11
RUN_S: typing.Final = 120.0
LOAD: typing.Final = 0.8
FLOOD: typing.Final = 5.0
FLOODING: typing.Final = 'a3'
MOVE_S: typing.Final = 5.0
MOVING_PART: typing.Final = 0.8
RATES_PER_S: typing.Final = (60.0, 40.0, 20.0, 4.0, 4.0, 2.0, 2.0, 2.0)
BURSTS: typing.Final = (120, 80, 40, 20, 20, 10, 10, 5)

TARGET_NODES: typing.Final = 600
TARGET_ACCOUNTS: typing.Final = 1_700
TARGET_REQUESTS_PER_S: typing.Final = 18_000.0
TARGET_CENTRES: typing.Final = 7
SIZES: typing.Final = (28, 56, 112)
COST_RUN_S: typing.Final = 10.0
BYTES_PER_S: typing.Final = 5_000.0
CORE_PERCENT: typing.Final = 1.4


@attrs.frozen(kw_only=True)
class Site:
    """One user's network: one-way delay between instances."""

    name: str
    delay_s: tuple[float, float]


SITES: typing.Final = (
    Site(name='caderno-vivo', delay_s=(0.0002, 0.0018)),
    Site(name='marga-sahayak', delay_s=(0.0002, 0.0008)),
)


@attrs.define(kw_only=True)
class Totals:
    """What became of one run's requests."""

    within: int = 0
    wrongful: int = 0
    static_wrongful: int = 0
    overspent: int = 0
    shortfall_percent: float = 0.0
    waited_s: list[float] = attrs.field(factory=list)


Picker: typing.TypeAlias = collections.abc.Callable[[int, float], str]


def figures() -> list[figure.Figure]:
    """Returns all figures of this bench."""
    found = []
    for site in SITES:
        found.extend(_refusals(site, moving=False))
        found.extend(_refusals(site, moving=True))
    found.extend(_costs())
    return found


def _refusals(site: Site, *, moving: bool) -> list[figure.Figure]:
    totals = run(site, moving=moving)
    demand = 'moving' if moving else 'steady'
    name = f'shares.{site.name}.{demand}'
    per_mille = 1000.0 / max(1, totals.within)
    return [
        figure.Figure(
            name=f'{name}.wrongful-refusals',
            unit='per 1000 requests within rate',
            value=totals.wrongful * per_mille,
            baseline=totals.static_wrongful * per_mille,
            bound=1.0 if moving else 0.0,
        ),
        figure.Figure(
            name=f'{name}.overspent',
            unit='requests',
            value=float(totals.overspent),
            bound=0.0,
        ),
        figure.Figure(
            name=f'{name}.flooding-account-shortfall',
            unit='% of its rate and burst',
            value=totals.shortfall_percent,
            bound=3.0,
        ),
        figure.Figure(
            name=f'{name}.wait-p99',
            unit='ms',
            value=figure.percentile(totals.waited_s, 99) * 1000,
        ),
    ]


def run(site: Site, *, moving: bool) -> Totals:
    """Runs the eight accounts' demand over nine instances.

    A refusal is wrongful where one bucket for the whole fleet admits the
    request.  The flooding account is over its rate: of it counts how much
    less was admitted than by such a bucket.
    """
    rng = random.Random(SEED)
    accounts = [
        model.ClientAccount(name=f'a{place}', rate_per_s=rate, burst=burst)
        for place, (rate, burst) in enumerate(
            zip(RATES_PER_S, BURSTS, strict=True)
        )
    ]
    fleet = share_fleet.nine(rng, accounts)
    fleet.delay_s = site.delay_s
    names = sorted(fleet.nodes)
    split = {
        name: shares.Shares(instance=name, fraction=1 / 9) for name in names
    }
    static = dict.fromkeys(fleet.accounts, 0)
    for due_s, place in _arrivals(rng, fleet.now, accounts):
        fleet.run(due_s)
        name = rng.choice(names)
        if moving and rng.random() < MOVING_PART:
            name = names[(int(due_s / MOVE_S) + place) % len(names)]
        account = accounts[place]
        before = fleet.meter(account.name).ideal_admitted
        fleet.request(name, account.name)
        ideal = fleet.meter(account.name).ideal_admitted > before
        try:
            shares.admit(split[name], due_s, account)
        except errors.ResultError:
            static[account.name] += ideal
    fleet.run(fleet.now + 1.0)
    return _totals(fleet, static)


def _totals(fleet: share_fleet.Fleet, static: dict[str, int]) -> Totals:
    totals = Totals(overspent=fleet.overspent())
    for account, meter in fleet.meters.items():
        ideal = meter.ideal_admitted
        if account == FLOODING:
            short = max(0, ideal - meter.admitted)
            totals.shortfall_percent = 100.0 * short / ideal
            continue
        totals.within += ideal
        totals.wrongful += meter.wrongful
        totals.static_wrongful += static[account]
        totals.waited_s.extend(meter.waited_s)
    return totals


def _arrivals(
    rng: random.Random, start_s: float, accounts: list[model.ClientAccount]
) -> list[tuple[float, int]]:
    found = []
    for place, account in enumerate(accounts):
        load = FLOOD if account.name == FLOODING else LOAD
        now = start_s
        while now < start_s + RUN_S:
            now += rng.expovariate(account.rate_per_s * load)
            found.append((now, place))
    return sorted(found)


def _costs() -> list[figure.Figure]:
    """Returns the cost of one instance at three sizes and at the target."""
    found = []
    bytes_points = []
    core_points = []
    for nodes in SIZES:
        bytes_per_s, core_percent = _cost(nodes)
        bytes_points.append((nodes, bytes_per_s))
        core_points.append((nodes, core_percent))
        found.append(_cost_figure(f'bytes-at-{nodes}', 'B/s', bytes_per_s))
        found.append(_cost_figure(f'core-at-{nodes}', '%', core_percent))
    found.append(
        _cost_figure(
            f'bytes-at-{TARGET_NODES}-extrapolated',
            'B/s',
            _at_target(bytes_points),
            BYTES_PER_S,
        )
    )
    found.append(
        _cost_figure(
            f'core-at-{TARGET_NODES}-extrapolated',
            '%',
            _at_target(core_points),
            CORE_PERCENT,
        )
    )
    return found


def _cost_figure(
    name: str, unit: str, value: float, bound: float | None = None
) -> figure.Figure:
    return figure.Figure(
        name=f'shares.cost.{name}', unit=unit, value=value, bound=bound
    )


def _cost(nodes: int) -> tuple[float, float]:
    """Returns bytes sent a second and percent of a core of one instance.

    Requests and accounts are in proportion to the target's.  The time is
    that of the deciders with the queue that feeds them, without sockets.
    """
    rng = random.Random(SEED)
    count = max(1, TARGET_ACCOUNTS * nodes // TARGET_NODES)
    demand_per_s = TARGET_REQUESTS_PER_S * nodes / TARGET_NODES / count
    accounts = [
        model.ClientAccount(
            name=f'a{place}', rate_per_s=demand_per_s / LOAD, burst=20
        )
        for place in range(count)
    ]
    fleet = share_fleet.Fleet(
        rng=rng, accounts={each.name: each for each in accounts}
    )
    for number in range(nodes):
        fleet.join(f'i{number}', f'dc{number % TARGET_CENTRES}', '0')
    fleet.run(30.0)
    names = sorted(fleet.nodes)
    start_s = fleet.now
    before = sum(node.sent_bytes for node in fleet.nodes.values())
    started = time.process_time()
    while fleet.now < start_s + COST_RUN_S:
        fleet.run(fleet.now + rng.expovariate(demand_per_s * count))
        fleet.request(rng.choice(names), rng.choice(accounts).name)
    spent_s = time.process_time() - started
    sent = sum(node.sent_bytes for node in fleet.nodes.values()) - before
    seconds = COST_RUN_S * nodes
    return sent / seconds, 100.0 * spent_s / seconds


def _at_target(points: list[tuple[int, float]]) -> float:
    """Extends the last two sizes' line to the target; it never falls."""
    (size, value), (larger, last) = points[-2:]
    slope = max(0.0, (last - value) / (larger - size))
    return last + slope * (TARGET_NODES - larger)
