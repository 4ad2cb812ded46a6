"""Metrics: HdrHistograms per client account and class, and counters."""

import collections
import typing

import attrs
from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from oleanderdrift import codes

CONTENT_TYPE: typing.Final = prometheus_client.CONTENT_TYPE_LATEST
LOWEST_MS: typing.Final = 1
HIGHEST_MS: typing.Final = 3_600_000
SIGNIFICANT_DIGITS: typing.Final = 2
PERCENTILES: typing.Final = (50.0, 95.0, 99.0)
MS_PER_S: typing.Final = 1_000.0


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


@attrs.define(kw_only=True)
class Metrics:
    """The metrics of one instance.

    Latencies are of whole calls; results count the answers by client
    account and code.
    """

    by_account: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    by_class: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    results: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    gauges: dict[str, float] = attrs.field(factory=dict)

    def observe(
        self, client_account: str, class_name: str, seconds: float
    ) -> None:
        """Counts one whole call of a client account and class."""
        ms = round(seconds * MS_PER_S)
        value = min(max(ms, LOWEST_MS), HIGHEST_MS)
        for table, key in (
            (self.by_account, client_account),
            (self.by_class, class_name),
        ):
            if key not in table:
                table[key] = _histogram()
            table[key].record_value(value)

    def count_result(
        self, client_account: str, code: codes.ResultCode
    ) -> None:
        """Counts one answer."""
        self.results[client_account, code.name] += 1

    def exposition(self) -> bytes:
        """Returns all metrics in the usual text format."""
        collected = registry.CollectorRegistry(auto_describe=False)
        collected.register(_Collector(self))
        return prometheus_client.generate_latest(collected)


class _Collector(registry.Collector):
    """Shows Metrics to the Prometheus library."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yields every metric family."""
        yield _summary(
            'oleanderdrift_call_seconds_by_account',
            'client_account',
            self.metrics.by_account,
        )
        yield _summary(
            'oleanderdrift_call_seconds_by_class',
            'class',
            self.metrics.by_class,
        )
        results = core.CounterMetricFamily(
            'oleanderdrift_results',
            'Answers by client account and result code.',
            labels=('client_account', 'result'),
        )
        for labels, count in self.metrics.results.items():
            results.add_metric(labels, count)
        yield results
        for name, value in self.metrics.gauges.items():
            yield core.GaugeMetricFamily(f'oleanderdrift_{name}', name, value)


def _summary(
    name: str, label: str, table: dict[str, histogram.HdrHistogram]
) -> core.Metric:
    family = core.Metric(name, 'Latency of whole calls.', 'summary')
    for key, values in table.items():
        for percentile in PERCENTILES:
            seconds = values.get_value_at_percentile(percentile) / MS_PER_S
            labels = {label: key, 'quantile': f'{percentile / 100:g}'}
            family.add_sample(name, labels, seconds)
        total = values.get_total_count()
        family.add_sample(f'{name}_count', {label: key}, total)
        mean_s = values.get_mean_value() / MS_PER_S
        family.add_sample(f'{name}_sum', {label: key}, mean_s * total)
    return family
