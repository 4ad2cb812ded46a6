"""Estimates the speed of one replica from its released calls.

Replicas differ widely, so no speed is configured.  Decoding slows down as
the batch fills, so seconds per token are fitted as a line over the number
of calls on the replica, by least squares with decay.  Seconds per prompt
token follow the lower envelope of the samples, since queueing inside the
engine only adds to them.
"""

import typing

import attrs

SMOOTHING: typing.Final = 0.1
FIT_DECAY: typing.Final = 0.98
DEFAULT_PREFILL_S: typing.Final = 0.0002
DEFAULT_DECODE_S: typing.Final = 0.03
DEFAULT_CALL_S: typing.Final = 1.0
MIN_VARIANCE: typing.Final = 0.5
PREFILL_FALL_SMOOTHING: typing.Final = 0.3
PREFILL_RISE_SMOOTHING: typing.Final = 0.02
# The time to the first token of a shorter prompt is mostly waiting.
PREFILL_MIN_TOKENS: typing.Final = 200


@attrs.define(kw_only=True)
class LineFit:
    """Decayed sums of the least-squares fit of a line, y over x."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


@attrs.define(kw_only=True)
class Speed:
    """Seconds per computed prompt token, per output token and per call.

    decode fits seconds per output token over concurrent calls.
    """

    prefill_s: float = DEFAULT_PREFILL_S
    call_s: float = DEFAULT_CALL_S
    decode: LineFit = attrs.field(factory=LineFit)
    samples: int = 0
    prefill_samples: int = 0


def on_release(
    speed: Speed,
    *,
    computed_tokens: float,
    tokens: int,
    concurrent_calls: float,
    first_token_s: float,
    duration_s: float,
) -> None:
    """Updates the estimates with one finished call.

    concurrent_calls is the mean number of calls on the replica meanwhile.
    """
    speed.samples += 1
    weight = max(SMOOTHING, 1.0 / speed.samples)
    speed.call_s += weight * (duration_s - speed.call_s)
    if computed_tokens >= PREFILL_MIN_TOKENS:
        update_prefill(speed, first_token_s / computed_tokens)
    if tokens > 1:
        decode_s = (duration_s - first_token_s) / (tokens - 1)
        add_point(speed.decode, concurrent_calls, decode_s)


def update_prefill(speed: Speed, sample_s: float) -> None:
    """Moves prefill_s towards a sample, fast down and slowly up."""
    speed.prefill_samples += 1
    if speed.prefill_samples == 1:
        speed.prefill_s = sample_s
        return
    change_s = sample_s - speed.prefill_s
    speed.prefill_s += change_s * (
        PREFILL_FALL_SMOOTHING if change_s < 0.0 else PREFILL_RISE_SMOOTHING
    )


def add_point(
    line: LineFit, x: float, y: float, decay: float = FIT_DECAY
) -> None:
    """Adds a point and decays the older ones."""
    line.weight = line.weight * decay + 1.0
    line.x = line.x * decay + x
    line.y = line.y * decay + y
    line.xx = line.xx * decay + x * x
    line.xy = line.xy * decay + x * y


def decode_s(speed: Speed, concurrent_calls: float) -> float:
    """Returns the seconds per output token at a number of concurrent calls.

    While the points are too close together for a fit, this is their mean.
    A negative slope counts as zero, and the result is never below a quarter
    of the mean.
    """
    line = speed.decode
    if line.weight <= 0.0:
        return DEFAULT_DECODE_S
    mean_x = line.x / line.weight
    mean_y = line.y / line.weight
    variance = line.xx / line.weight - mean_x * mean_x
    if variance < MIN_VARIANCE:
        return mean_y
    slope = max(0.0, (line.xy / line.weight - mean_x * mean_y) / variance)
    return max(mean_y / 4.0, mean_y + slope * (concurrent_calls - mean_x))
