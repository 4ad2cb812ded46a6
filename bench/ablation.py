"""Measures what each part of the dispatch policy buys.

Run as `python -m bench.ablation`: one JSON line for the whole policy and
for each part turned off, at full load and above it.  `make bench` leaves
it out, since it has no bounds.
"""

import json
import typing

import attrs

from bench import decisions
from bench import dispatchers
from oleanderdrift import policy

SIZE: typing.Final = '5+3'
LOADS: typing.Final = (decisions.FULL_LOAD, 1.0)
SEEDS: typing.Final = decisions.SEEDS[:2]


def line_of(load: float, part: str) -> str:
    """Returns the figures with one part off, or none where it is ''."""
    rules = policy.Policy()
    if part:
        rules = attrs.evolve(rules, **{part: False})
    summary = decisions.measure(
        SIZE,
        load,
        dispatchers.make_scheduler(rules),
        seeds=SEEDS,
        hop_s=decisions.HOP_S,
    )
    ratios = {
        f'{name}_p95_over_target': round(value, 2)
        for name, value in sorted(summary.class_p95.items())
    }
    return json.dumps(
        {
            'load': load,
            'off': part or 'nothing',
            **ratios,
            'all_p95_over_target': round(summary.all_p95, 2),
            'worst_account_over_median': round(summary.worst_over_median, 2),
            'programs_in_target': round(summary.fraction_in_target, 3),
            'recomputed_tokens': summary.recomputed_tokens,
            'refused_calls': summary.refusals,
        }
    )


def main() -> None:
    """Prints all lines."""
    parts = [field.name for field in attrs.fields(policy.Policy)]
    for load in LOADS:
        for part in ['', *parts]:
            print(line_of(load, part), flush=True)


if __name__ == '__main__':
    main()
