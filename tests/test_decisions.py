"""Checks the bounds of the decisions bench in simulated time.

One seed and ten minutes a case keep the tests fast.
"""

import attrs
import pytest

from bench import decisions
from bench import fleet

DURATION_S = 600.0


BOUNDED = (
    'urgent_p95_over_target',
    'all_p95_over_target',
    'worst_account_over_median',
    'recomputed_prefix',
    'refused_calls',
)


def broken(compared: decisions.Comparison) -> list[str]:
    """Returns the names of the figures that exceed their bounds."""
    return [
        each.name
        for each in decisions.bounded_figures('t', compared)
        if not each.ok
    ]


@pytest.fixture(scope='module', params=sorted(fleet.SPEEDS))
def compared(request: pytest.FixtureRequest) -> decisions.Comparison:
    return decisions.compare(
        request.param,
        decisions.FULL_LOAD,
        seeds=decisions.SEEDS[:1],
        duration_s=DURATION_S,
    )


@pytest.mark.parametrize('name', BOUNDED)
def test_bound_holds(compared: decisions.Comparison, name: str) -> None:
    assert f't.{name}' not in broken(compared)


def test_every_bound_is_tested(compared: decisions.Comparison) -> None:
    names = [each.name for each in decisions.bounded_figures('t', compared)]
    assert names == [f't.{name}' for name in BOUNDED]


def test_bounds_break_for_the_baselines(
    compared: decisions.Comparison,
) -> None:
    for baseline in (compared.round_robin, compared.least_outstanding):
        instead = attrs.evolve(compared, scheduler=baseline)
        assert {
            't.recomputed_prefix',
            't.all_p95_over_target',
            't.urgent_p95_over_target',
        } <= set(broken(instead))
