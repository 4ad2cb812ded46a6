"""Chooses the upstream for a request.

Answers uneven upstreams under load: speeds that differ by a factor of
two, prompts that are cached on some only, and engines on which reading
one long prompt holds up everybody's tokens.  The choice is the least
delay in all: the expected time of this request, from the tokens that wait
to be read and those of its prompt that are not cached, and the time by
which it holds up the requests that run; both by how much slower than
expected the upstream was lately.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams

# Reading a prompt on an engine of usual speed.
PREFILL_S_PER_TOKEN: typing.Final = 1 / 200_000
# An engine's work on a request beside reading: a turn of usual length.
TURN_DECODE_S: typing.Final = 0.33
# The time between two events of a stream on an idle engine, by token.
TOKEN_S: typing.Final = 0.0013
# What each running request adds to a turn.
BATCH_SLOWDOWN_S: typing.Final = 0.003
# A plain call of usual length.
CALL_S: typing.Final = 0.04
# A hop to another data centre and back, with the price of its bytes.
REMOTE_S: typing.Final = 0.004
# Keeps requests with equal prompts together where times are equal.
TIE_BREAK_S: typing.Final = 0.002


def cost_s(
    upstream: upstreams.Upstream,
    request: model.Request,
    data_centre: str,
    now: float,
) -> float:
    """Returns the expected seconds of this request and of others."""
    entry = upstream.entry
    running = upstream.own_requests + upstream.peer_requests
    queued = max(running + 1 - entry.slots, 0)
    if request.prompt:
        pending = upstream.pending_tokens + upstream.peer_pending_tokens
        uncached = upstream.uncached_tokens(request.prompt)
        prefill_s = uncached * PREFILL_S_PER_TOKEN
        request_s = TURN_DECODE_S + prefill_s + pending * PREFILL_S_PER_TOKEN
        request_s += (
            running * BATCH_SLOWDOWN_S + queued * TURN_DECODE_S / entry.slots
        )
        work_s = request_s + running * (prefill_s + BATCH_SLOWDOWN_S)
    else:
        load = running / entry.slots
        work_s = CALL_S * (1 + load / 2 + queued / entry.slots * 2)
    remote_s = 0.0 if entry.data_centre == data_centre else REMOTE_S
    return work_s * upstream.current_slowness(now) + remote_s


def choose(
    candidates: collections.abc.Sequence[upstreams.Upstream],
    request: model.Request,
    data_centre: str,
    now: float,
    tried: collections.abc.Container[str] = (),
    silent_data_centres: collections.abc.Container[str] = (),
) -> upstreams.Upstream | None:
    """Returns the best upstream, None where every one was tried.

    Upstreams that are set aside, or whose data centre is among the
    silent ones, are chosen only where no other is left.
    """
    remaining = [
        one for one in candidates if one.entry.upstream_id not in tried
    ]
    healthy = [
        one
        for one in remaining
        if not one.is_ejected(now)
        and one.entry.data_centre not in silent_data_centres
    ]
    first_part = request.prompt[0].part_id if request.prompt else ''
    name = first_part or request.request_id

    def score(one: upstreams.Upstream) -> float:
        tie = (
            routing.hash_fraction(f'{name} {one.entry.upstream_id}')
            * TIE_BREAK_S
        )
        return cost_s(one, request, data_centre, now) + tie

    return min(healthy or remaining, key=score, default=None)
