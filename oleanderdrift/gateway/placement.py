"""Chooses the upstream for a request.

Upstreams differ in speed by up to a factor of two, a prompt is cached only
on some of them, and prefilling a long prompt on an engine delays all
requests that run there.  The request goes to the upstream with the lowest
total cost: the expected time of this request, from the tokens that wait for
prefill and the uncached tokens of its prompt, plus the delay that it causes
for running requests.  Both are multiplied by the upstream's recent slowness.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams

# Prefill on an engine of usual speed.
PREFILL_S_PER_TOKEN: typing.Final = 1 / 200_000
# An engine's time for a turn of usual length, without prefill.
TURN_DECODE_S: typing.Final = 0.33
# The time between two events of a stream on an idle engine, per token.
TOKEN_S: typing.Final = 0.0013
# What each running request adds to the time of a turn.
BATCH_SLOWDOWN_S: typing.Final = 0.003
# A call without a prompt, of usual length.
CALL_S: typing.Final = 0.04
# A round trip to another data centre, including the price of its traffic.
REMOTE_S: typing.Final = 0.004
# Upper bound of a hash-based cost that keeps requests with equal prompts
# together when costs are equal.
TIE_BREAK_S: typing.Final = 0.002


def delay_s(
    upstream: upstreams.Upstream,
    request: model.Request,
    data_centre: str,
    now: float,
) -> float:
    """Returns the request's expected time plus the delay of other requests."""
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
    excluded: collections.abc.Container[str] = (),
    silent_data_centres: collections.abc.Container[str] = (),
) -> upstreams.Upstream | None:
    """Returns the best upstream, or None if all are excluded.

    Upstreams that are ejected or in a silent data centre are chosen only
    if there are no others.
    """
    remaining = [
        one for one in candidates if one.entry.upstream_id not in excluded
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
        return delay_s(one, request, data_centre, now) + tie

    return min(healthy or remaining, key=score, default=None)
