"""A figure of a bench: a measured value with its baseline and bound."""

import json
import typing

import attrs


@attrs.frozen(kw_only=True)
class Figure:
    """A measured value.

    baseline is the value of the better baseline in the same run, and bound
    the highest value allowed.  Either may be None.
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
    """Rounds a value that may be None."""
    return None if value is None else round(value, 4)


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]
