"""A figure of the bench: what was measured, against what bound."""

import json
import typing

import attrs


@attrs.frozen(kw_only=True)
class Figure:
    """One line of the bench.

    baseline is the same figure of the better baseline in the same run,
    bound the highest value allowed; either may be missing.
    """

    name: str
    unit: str
    value: float
    baseline: float | None = None
    bound: float | None = None

    @property
    def ok(self) -> bool:
        """Whether the value is within its bound."""
        return self.bound is None or self.value <= self.bound


def line_of(figure: Figure) -> str:
    """Returns the figure as one line of JSON."""
    fields: dict[str, typing.Any] = {
        'name': figure.name,
        'unit': figure.unit,
        'value': round(figure.value, 4),
        'baseline': round_optional(figure.baseline),
        'bound': round_optional(figure.bound),
        'ok': figure.ok,
    }
    return json.dumps(fields)


def round_optional(value: float | None) -> float | None:
    """Rounds a value that may be missing."""
    return None if value is None else round(value, 4)


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile, or 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]
