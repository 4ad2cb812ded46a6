"""Compares the dispatch scheduler with the baselines, in simulated time.

FULL_LOAD is a fraction of the load that keeps every slot of the fleet busy
for the whole run (fleet.programs_per_s); during the bursts between lessons
it is over twice the fleet's capacity.  It was fixed before any policy was
measured; the sweep covers the loads around it.
"""

import collections.abc
import typing

import attrs

from bench import baselines
from bench import dispatchers
from bench import figure
from bench import fleet
from bench import replay
from bench import replay_state
from bench import workload
from oleanderdrift import policy

SEEDS: typing.Final = (20261204, 20261205, 20261206, 20261207)
DURATION_S: typing.Final = 900.0
FULL_LOAD: typing.Final = 0.85
SWEEP_LOADS: typing.Final = (0.5, 0.7, 1.0)
HOP_S: typing.Final = 0.0015
URGENT_BOUND: typing.Final = 1.0
BASELINE_FRACTION: typing.Final = 0.5
FAIRNESS_BOUND: typing.Final = 1.5
RECOMPUTED_FRACTION: typing.Final = 1.0 / 3.0
REFUSED_BOUND: typing.Final = 0.001

DispatcherFactory: typing.TypeAlias = collections.abc.Callable[
    [str], replay_state.Dispatcher
]


@attrs.frozen(kw_only=True)
class Summary:
    """The results of one dispatcher, pooled over all seeds.

    class_p95 and all_p95 are 95th percentiles of the whole program's
    latency divided by its class target.  slowdowns are 95th percentiles
    per account of that latency divided by the program's ideal latency on
    an idle engine.
    """

    class_p95: dict[str, float]
    all_p95: float
    slowdowns: dict[str, float]
    recomputed_tokens: int
    prefix_tokens: int
    refusals: int
    calls: int
    fraction_in_target: float

    @property
    def worst_over_median(self) -> float:
        """The worst account's slowdown divided by the median account's."""
        ordered = sorted(self.slowdowns.values())
        middle = len(ordered) // 2
        median = (ordered[middle - 1] + ordered[middle]) / 2.0
        return ordered[-1] / median


def summarise(results: list[replay_state.Result]) -> Summary:
    """Pools the results of several replays."""
    spec = fleet.model_spec(0, 1.0)
    ratios: dict[str, list[float]] = {}
    slowdowns: dict[str, list[float]] = {}
    for result in results:
        for outcome in result.outcomes:
            program = outcome.program
            latency_s = outcome.finished_at - program.start_at
            ratios.setdefault(program.class_name, []).append(
                latency_s / workload.TARGETS[program.class_name]
            )
            slowdowns.setdefault(program.client_account, []).append(
                latency_s / fleet.ideal_s(program, spec)
            )
    all_ratios = [each for group in ratios.values() for each in group]
    return Summary(
        class_p95=percentiles(ratios),
        all_p95=figure.percentile(all_ratios, 95),
        slowdowns=percentiles(slowdowns),
        recomputed_tokens=sum(each.recomputed_tokens for each in results),
        prefix_tokens=sum(each.prefix_tokens for each in results),
        refusals=sum(each.refusals for each in results),
        calls=sum(each.calls for each in results),
        fraction_in_target=sum(each <= 1.0 for each in all_ratios)
        / len(all_ratios),
    )


def percentiles(groups: dict[str, list[float]]) -> dict[str, float]:
    """Returns the 95th percentile of each group."""
    return {
        name: figure.percentile(values, 95) for name, values in groups.items()
    }


def measure(
    size: str,
    load: float,
    make_dispatcher: DispatcherFactory,
    *,
    seeds: tuple[int, ...] = SEEDS,
    duration_s: float = DURATION_S,
    hop_s: float = 0.0,
) -> Summary:
    """Replays the opening-week workload once for each seed."""
    rate_per_s = fleet.programs_per_s(size, load)
    results = []
    for seed in seeds:
        programs = workload.make_programs(
            seed, rate_per_s=rate_per_s, duration_s=duration_s, flood=True
        )
        engines = fleet.make_fleet(size, duration_s)
        results.append(
            replay.run(
                programs, engines, make_dispatcher, seed=seed, hop_s=hop_s
            )
        )
    return summarise(results)


@attrs.frozen(kw_only=True)
class Comparison:
    """The results of the scheduler and both baselines at one load."""

    scheduler: Summary
    round_robin: Summary
    least_outstanding: Summary

    def better_baseline(
        self, value: collections.abc.Callable[[Summary], float]
    ) -> float:
        """Returns the lower of the two baselines' values."""
        return min(value(self.round_robin), value(self.least_outstanding))


def compare(
    size: str,
    load: float,
    *,
    seeds: tuple[int, ...] = SEEDS,
    duration_s: float = DURATION_S,
    rules: policy.Policy | None = None,
) -> Comparison:
    """Replays the same load with the scheduler and both baselines."""
    return Comparison(
        scheduler=measure(
            size,
            load,
            dispatchers.make_scheduler(rules or policy.Policy()),
            seeds=seeds,
            duration_s=duration_s,
            hop_s=HOP_S,
        ),
        round_robin=measure(
            size,
            load,
            lambda name: baselines.RoundRobin(),
            seeds=seeds,
            duration_s=duration_s,
        ),
        least_outstanding=measure(
            size,
            load,
            lambda name: baselines.LeastOutstanding(),
            seeds=seeds,
            duration_s=duration_s,
        ),
    )


def bounded_figures(
    prefix: str, compared: Comparison
) -> collections.abc.Iterator[figure.Figure]:
    """Yields the figures for which the users set bounds."""
    scheduler = compared.scheduler
    yield figure.Figure(
        name=f'{prefix}.urgent_p95_over_target',
        unit='ratio',
        value=scheduler.class_p95['urgent'],
        baseline=compared.better_baseline(
            lambda each: each.class_p95['urgent']
        ),
        bound=URGENT_BOUND,
    )
    all_baseline = compared.better_baseline(lambda each: each.all_p95)
    yield figure.Figure(
        name=f'{prefix}.all_p95_over_target',
        unit='ratio',
        value=scheduler.all_p95,
        baseline=all_baseline,
        bound=BASELINE_FRACTION * all_baseline,
    )
    yield figure.Figure(
        name=f'{prefix}.worst_account_over_median',
        unit='ratio',
        value=scheduler.worst_over_median,
        baseline=compared.better_baseline(lambda each: each.worst_over_median),
        bound=FAIRNESS_BOUND,
    )
    baseline_tokens = float(compared.round_robin.recomputed_tokens)
    yield figure.Figure(
        name=f'{prefix}.recomputed_prefix',
        unit='tokens',
        value=float(scheduler.recomputed_tokens),
        baseline=baseline_tokens,
        bound=RECOMPUTED_FRACTION * baseline_tokens,
    )
    yield figure.Figure(
        name=f'{prefix}.refused_calls',
        unit='share',
        value=scheduler.refusals / scheduler.calls,
        baseline=0.0,
        bound=REFUSED_BOUND,
    )


def unbounded_figures(
    prefix: str, compared: Comparison
) -> collections.abc.Iterator[figure.Figure]:
    """Yields the figures without a bound."""
    for name, value in sorted(compared.scheduler.class_p95.items()):
        yield figure.Figure(
            name=f'{prefix}.{name}_p95_over_target',
            unit='ratio',
            value=value,
            baseline=compared.least_outstanding.class_p95[name],
        )
    yield figure.Figure(
        name=f'{prefix}.all_p95_over_target',
        unit='ratio',
        value=compared.scheduler.all_p95,
        baseline=compared.better_baseline(lambda each: each.all_p95),
    )
    yield figure.Figure(
        name=f'{prefix}.programs_in_target',
        unit='share',
        value=compared.scheduler.fraction_in_target,
        baseline=max(
            compared.round_robin.fraction_in_target,
            compared.least_outstanding.fraction_in_target,
        ),
    )


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the figures of both fleet sizes, then of the load sweep."""
    for size in fleet.SPEEDS:
        compared = compare(size, FULL_LOAD)
        yield from bounded_figures(f'decisions.{size}', compared)
        yield from unbounded_figures(f'decisions.{size}.shown', compared)
    for size in fleet.SPEEDS:
        for load in SWEEP_LOADS:
            compared = compare(size, load, seeds=SEEDS[:1])
            yield from unbounded_figures(
                f'decisions.{size}.load_{load}', compared
            )
