"""The measured speed of one replica, as moving averages.

Replicas differ widely, so no speed is configured: it is learnt from what
each released call shows.
"""

import typing

import attrs

SMOOTHING: typing.Final = 0.1
DEFAULT_PREFILL_S: typing.Final = 0.0002
DEFAULT_DECODE_S: typing.Final = 0.03
DEFAULT_CALL_S: typing.Final = 1.0
# A short prompt's first token is mostly waiting, not computing.
PREFILL_FULL_WEIGHT_TOKENS: typing.Final = 2000


@attrs.define(kw_only=True)
class Speed:
    """Seconds per computed prompt token, per output token and per call."""

    prefill_s: float = DEFAULT_PREFILL_S
    decode_s: float = DEFAULT_DECODE_S
    call_s: float = DEFAULT_CALL_S
    samples: int = 0


def on_release(
    speed: Speed,
    *,
    computed_tokens: int,
    tokens: int,
    first_token_s: float,
    duration_s: float,
) -> None:
    """Takes one finished call into the averages."""
    speed.samples += 1
    weight = max(SMOOTHING, 1.0 / speed.samples)
    speed.call_s += weight * (duration_s - speed.call_s)
    if computed_tokens > 0:
        prefill_s = first_token_s / computed_tokens
        share = min(1.0, computed_tokens / PREFILL_FULL_WEIGHT_TOKENS)
        speed.prefill_s += weight * share * (prefill_s - speed.prefill_s)
    if tokens > 1:
        decode_s = (duration_s - first_token_s) / (tokens - 1)
        speed.decode_s += weight * (decode_s - speed.decode_s)
