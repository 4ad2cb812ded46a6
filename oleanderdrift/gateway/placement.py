"""Chooses the upstream for a request.

Answers uneven upstreams under load: speeds that differ by a factor of
two, prompts that are cached on some, and plain services with few places.
The choice is the least expected time until the answer, where a request
waits for those before it and reads what is not cached.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams

# Reading a prompt on an engine of usual speed.
PREFILL_S_PER_TOKEN: typing.Final = 1 / 200_000
# An engine's first token of a prompt that is all cached.
FIRST_S: typing.Final = 0.01
# What one more running request adds to the others of an engine.
BATCH_S: typing.Final = 0.002
# A plain call of usual length.
CALL_S: typing.Final = 0.04
# A hop to another data centre and back, with the price of its bytes.
REMOTE_S: typing.Final = 0.003
# Keeps requests with equal prompts together where times are equal.
TIE_S: typing.Final = 0.001


def expected_s(
    upstream: upstreams.Upstream,
    request: model.Request,
    data_centre: str,
) -> float:
    """Returns the expected seconds until the answer begins."""
    entry = upstream.entry
    running = upstream.ours + upstream.theirs
    queued = max(running + 1 - entry.slots, 0)
    if request.prompt:
        work_s = expected_work_s(upstream, request.prompt)
        work_s += queued * CALL_S
    else:
        load = running / entry.slots
        work_s = CALL_S * (1 + load / 2 + queued / entry.slots * 2)
    away_s = 0.0 if entry.data_centre == data_centre else REMOTE_S
    return work_s * upstream.slowness + away_s


def expected_work_s(
    upstream: upstreams.Upstream, prompt: tuple[model.PromptPart, ...]
) -> float:
    """Returns an engine's expected seconds until the first token."""
    missing = upstream.missing_tokens(prompt)
    running = upstream.ours + upstream.theirs
    return FIRST_S + missing * PREFILL_S_PER_TOKEN + running * BATCH_S


def choose(
    candidates: collections.abc.Sequence[upstreams.Upstream],
    request: model.Request,
    data_centre: str,
    now: float,
    tried: collections.abc.Container[str] = (),
) -> upstreams.Upstream | None:
    """Returns the best upstream, None where every one was tried.

    Upstreams that are set aside are chosen only where no other is left.
    """
    left = [one for one in candidates if one.entry.upstream_id not in tried]
    sound = [one for one in left if not one.is_aside(now)]
    first_part = request.prompt[0].part_id if request.prompt else ''
    name = first_part or request.request_id

    def order(one: upstreams.Upstream) -> float:
        tie = routing.fraction(f'{name} {one.entry.upstream_id}') * TIE_S
        return expected_s(one, request, data_centre) + tie

    return min(sound or left, key=order, default=None)
