"""The measured speed of one replica, learnt from its released calls.

Replicas differ widely, so no speed is configured.  Decoding slows down as
the batch fills: seconds per token are fitted as a line over the calls that
the replica held, by least squares with decay.  Prompt speed follows the
lower envelope of what is seen, since waiting in the engine only adds.
"""

import typing

import attrs

SMOOTHING: typing.Final = 0.1
FIT_DECAY: typing.Final = 0.98
DEFAULT_PREFILL_S: typing.Final = 0.0002
DEFAULT_DECODE_S: typing.Final = 0.03
DEFAULT_CALL_S: typing.Final = 1.0
MIN_SPREAD: typing.Final = 0.5
PREFILL_FALL: typing.Final = 0.3
PREFILL_RISE: typing.Final = 0.02
# A shorter prompt's first token is mostly waiting, not computing.
PREFILL_MIN_TOKENS: typing.Final = 200


@attrs.define(kw_only=True)
class Line:
    """Decayed sums for a least-squares line y over x."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


@attrs.define(kw_only=True)
class Speed:
    """Seconds per computed prompt token, per output token and per call.

    decode fits seconds per output token over the calls held.
    """

    prefill_s: float = DEFAULT_PREFILL_S
    call_s: float = DEFAULT_CALL_S
    decode: Line = attrs.field(factory=Line)
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
    """Takes one finished call into the averages.

    concurrent_calls is the mean number of calls the replica held meanwhile.
    """
    speed.samples += 1
    weight = max(SMOOTHING, 1.0 / speed.samples)
    speed.call_s += weight * (duration_s - speed.call_s)
    if computed_tokens >= PREFILL_MIN_TOKENS:
        follow_prefill(speed, first_token_s / computed_tokens)
    if tokens > 1:
        decode_s = (duration_s - first_token_s) / (tokens - 1)
        add_point(speed.decode, concurrent_calls, decode_s)


def follow_prefill(speed: Speed, seen_s: float) -> None:
    """Moves the prompt speed, fast downwards and slowly upwards."""
    speed.prefill_samples += 1
    if speed.prefill_samples == 1:
        speed.prefill_s = seen_s
        return
    change_s = seen_s - speed.prefill_s
    speed.prefill_s += change_s * (
        PREFILL_FALL if change_s < 0.0 else PREFILL_RISE
    )


def add_point(line: Line, x: float, y: float) -> None:
    """Adds a point and lets the older ones fade."""
    line.weight = line.weight * FIT_DECAY + 1.0
    line.x = line.x * FIT_DECAY + x
    line.y = line.y * FIT_DECAY + y
    line.xx = line.xx * FIT_DECAY + x * x
    line.xy = line.xy * FIT_DECAY + x * y


def decode_s(speed: Speed, concurrent_calls: float) -> float:
    """Returns the seconds per output token while so many calls are held.

    The slope is never taken as negative; without enough spread the mean
    is returned.
    """
    line = speed.decode
    if line.weight <= 0.0:
        return DEFAULT_DECODE_S
    mean_x = line.x / line.weight
    mean_y = line.y / line.weight
    spread = line.xx / line.weight - mean_x * mean_x
    if spread < MIN_SPREAD:
        return mean_y
    slope = max(0.0, (line.xy / line.weight - mean_x * mean_y) / spread)
    return max(mean_y / 4.0, mean_y + slope * (concurrent_calls - mean_x))
