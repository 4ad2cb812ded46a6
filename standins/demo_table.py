"""Counters of the demonstration, and the table that it prints."""

import collections

import attrs
from hdrh import histogram

from standins import demo_config
from standins import fleet_state
from standins import processes


@attrs.define(kw_only=True)
class Totals:
    """Results of all programs, as the callers saw them.

    side_effects lists the idempotency keys of the answered dispatches.
    """

    programs: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    in_target: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    failed: list[str] = attrs.field(factory=list)
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    wrong_answers: int = 0
    side_effects: list[str] = attrs.field(factory=list)
    latency: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)


def count_runs(running: fleet_state.Fleet) -> collections.Counter[str]:
    """Returns how often the tool stand-ins ran each dispatch, by key."""
    runs: collections.Counter[str] = collections.Counter()
    for tool in running.of_kind('tool'):
        for entry in processes.report(tool)['runs']:
            if entry['path'].startswith(demo_config.DISPATCH_PATH):
                runs[entry['key']] += entry['runs']
    return runs


def print_totals(totals: Totals, runs: collections.Counter[str]) -> bool:
    """Prints the table; returns whether everything went as it should.

    No program may have failed and no answer been wrong, and the tools must
    have run each answered dispatch exactly once and no other dispatch.
    """
    print(f'\n{"class":<12}{"target":>8}{"programs":>10}{"in target":>11}')
    for name, target_s in demo_config.TARGETS_S.items():
        print(
            f'{name:<12}{target_s:>6.0f} s{totals.programs[name]:>10}'
            f'{totals.in_target[name]:>11}'
        )
    print(f'\n{"account":<12}{"refused":>8}{"p50":>10}{"p95":>11}')
    for account, latencies in totals.latency.items():
        p50, p95 = (
            latencies.get_value_at_percentile(x) / 1000 for x in (50, 95)
        )
        print(
            f'{account:<12}{totals.refusals[account]:>8}'
            f'{p50:>8.2f} s{p95:>9.2f} s'
        )
    run_once = sum(runs[key] == 1 for key in totals.side_effects)
    duplicates = sum(count > 1 for count in runs.values())
    print(f'\nside effects: {len(totals.side_effects)} answered,', end=' ')
    print(f'{run_once} of them run once, {duplicates} run more than once')
    print(f'answers to the wrong question: {totals.wrong_answers}')
    for failure in totals.failed[:10]:
        print(f'failed: {failure}')
    effects_ok = (
        run_once == len(totals.side_effects) == len(runs) and not duplicates
    )
    return effects_ok and not totals.wrong_answers and not totals.failed
