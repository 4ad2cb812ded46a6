"""Chooses the upstream for a request.

Upstreams differ in speed by up to a factor of two, a prompt is cached only
on some of them, and prefilling a long prompt on an engine delays all
requests that run there.  The request goes to the upstream with the lowest
total cost: the expected time of this request, from the tokens that wait for
prefill and the uncached tokens of its prompt, plus the delay that it causes
for running requests, both at the speeds that were measured there.

In a large fleet many instances place requests before any of them hears of
the others' choices.  If each took the best upstream, they would all take the
same one, and fill it.  So the more instances share an upstream, the fewer
upstreams an instance compares, drawn at random for each request.
"""

import collections.abc
import math
import random
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import time_left
from oleanderdrift.gateway import upstream_speed
from oleanderdrift.gateway import upstreams

# A call without a prompt, on a route of which no call has been measured.
CALL_S: typing.Final = 0.04
# A round trip to another data centre, including the price of its traffic.
REMOTE_S: typing.Final = 0.004
# What remains of a call's time at an upstream that handled its object lately.
WARM_CALL_RATIO: typing.Final = 0.6
# A new connection takes round trips and, for a moment, a slot of its upstream.
NEW_CONNECTION_S: typing.Final = 0.01
# So many instances may compare an upstream within the age of its load.
INSTANCES_PER_UPSTREAM: typing.Final = 10
# Two random choices already spread requests far better than one.
MIN_COMPARED: typing.Final = 2
# An upstream that takes so many times as long as the fast ones gets no more
# requests than it takes to see whether it is still slow.
SLOW_RATIO: typing.Final = 2.5
# Below engine_speed.JUMP: any engine that turned slow is tried again.
SLOW_TURN_RATIO: typing.Final = 1.5
# The parts of calls and of turns that may go to such upstreams.  A turn there
# makes its program late.
RETRY_SHARE: typing.Final = 0.05
RETRY_TURNS_SHARE: typing.Final = 0.02
# Upper bound of a hash-based cost that keeps requests with equal prompts
# together when costs are equal.
TIE_BREAK_S: typing.Final = 0.002
# Upstreams with a higher expected loss are compared only if there are no
# others: of a few that are drawn at random, all may be such.
MAX_LOSS_S: typing.Final = 0.2

_NO_LOSSES: typing.Final[dict[str, float]] = {}


@attrs.frozen(kw_only=True)
class Place:
    """Where a request is placed from.

    instances is the number of instances that place requests on the same
    upstreams.  connected holds the ids of those with an idle connection.
    silent_data_centres cannot be reached.  call_s is the usual time of a
    call on the request's route.
    """

    data_centre: str
    instances: int
    connected: frozenset[str] = frozenset()
    silent_data_centres: frozenset[str] = frozenset()
    call_s: float = CALL_S


def delay_s(
    upstream: upstreams.Upstream,
    request: model.Request,
    data_centre: str,
    now: float,
    call_s: float = CALL_S,
) -> float:
    """Returns the request's expected time plus the delay of other requests."""
    entry = upstream.entry
    running = upstream.own_requests + upstream.peer_requests
    queued = max(running + 1 - entry.slots, 0)
    remote_s = 0.0 if entry.data_centre == data_centre else REMOTE_S
    if request.prompt:
        engine = upstream.engine
        reading_s = engine.reading_s()
        prefill_s = upstream.uncached_tokens(request.prompt) * reading_s
        pending = upstream.pending_tokens + upstream.peer_pending_tokens
        turn_s = engine.turn_s(min(running + 1, entry.slots), now)
        request_s = turn_s + prefill_s + pending * reading_s
        request_s += queued * turn_s / entry.slots
        slowdown_s = turn_s - engine.turn_s(min(running, entry.slots), now)
        return request_s + running * (prefill_s + slowdown_s) + remote_s
    load = running / entry.slots
    work_s = call_s * (1 + load / 2 + queued / entry.slots * 2)
    if upstream.is_warm_for(request.affinity_key):
        work_s -= call_s * (1 - WARM_CALL_RATIO)
    return work_s * upstream.calls.ratio(now) + remote_s


def choose(
    candidates: collections.abc.Sequence[upstreams.Upstream],
    request: model.Request,
    place: Place,
    now: float,
    chance: random.Random,
    excluded: collections.abc.Container[str] = (),
    busy: collections.abc.Container[str] = (),
    losses_s: collections.abc.Mapping[str, float] = _NO_LOSSES,
) -> upstreams.Upstream | None:
    """Returns the best upstream, or None if all are excluded or busy.

    losses_s has what upstreams that fail requests are expected to cost this
    one, by incarnation.

    Upstreams that are ejected or in a silent data centre are chosen only
    if there are no others: a busy one is worth waiting for.  Those that are
    much slower are compared only if the others have a queue.
    """
    remaining = [
        one for one in candidates if one.entry.upstream_id not in excluded
    ]
    healthy = [
        one
        for one in remaining
        if not one.is_ejected(now)
        and one.entry.data_centre not in place.silent_data_centres
    ]
    first_part = request.prompt[0].part_id if request.prompt else ''
    name = request.affinity_key or first_part or request.request_id

    def loss_s(one: upstreams.Upstream) -> float:
        if not losses_s:
            return 0.0
        return losses_s.get(one.entry.incarnation(), 0.0)

    def score(one: upstreams.Upstream) -> float:
        tie = (
            routing.hash_fraction(f'{name} {one.entry.upstream_id}')
            * TIE_BREAK_S
        )
        is_connected = one.entry.upstream_id in place.connected
        connect_s = 0.0 if is_connected else NEW_CONNECTION_S
        delay = delay_s(one, request, place.data_centre, now, place.call_s)
        return delay + connect_s + tie + loss_s(one)

    free = [
        one
        for one in healthy or remaining
        if one.entry.upstream_id not in busy
    ]
    if losses_s:
        sound = [one for one in free if loss_s(one) < MAX_LOSS_S]
        free = sound or free
    slow = slow_ones(free, bool(request.prompt), now)
    if not slow:
        compared = draw(free, request, place, chance)
        return min(compared, key=score, default=None)
    share = RETRY_TURNS_SHARE if request.prompt else RETRY_SHARE
    may_retry = not time_left.hurries(free, request, now)
    if may_retry and chance.random() < share:
        retried = chance.choice(slow)
        ratio = ratio_of(retried, bool(request.prompt))
        if not has_queue(retried) and ratio.try_retry(now, place.instances):
            return retried
    names = {one.entry.upstream_id for one in slow}
    fast = [one for one in free if one.entry.upstream_id not in names]
    best = min(draw(fast, request, place, chance), key=score)
    if not has_queue(best):
        return best
    return min([best, *draw(slow, request, place, chance)], key=score)


def has_queue(one: upstreams.Upstream) -> bool:
    """Returns whether all slots of an upstream are taken."""
    return one.own_requests + one.peer_requests >= one.entry.slots


def ratio_of(
    one: upstreams.Upstream, is_turn: bool
) -> upstream_speed.SpeedRatio:
    """Returns how slow an upstream is for turns or for calls."""
    return one.engine.ratio if is_turn else one.calls


def slow_ones(
    candidates: list[upstreams.Upstream], is_turn: bool, now: float
) -> list[upstreams.Upstream]:
    """Returns those that are much slower than the fast ones.

    Engines count only if they are much slower than they usually are: their
    usual speed is in the cost of each.
    """
    if not any(ratio_of(one, is_turn).log_mean for one in candidates):
        return []
    ratios = [ratio_of(one, is_turn).ratio(now) for one in candidates]
    limit = SLOW_TURN_RATIO if is_turn else SLOW_RATIO
    limit *= fast_ratio(ratios)
    return [
        one
        for one, ratio in zip(candidates, ratios, strict=True)
        if ratio > limit
    ]


def fast_ratio(ratios: collections.abc.Collection[float]) -> float:
    """Returns the ratio of a fast upstream, by the quartile.

    The lowest of many measured ratios is too low by chance.
    """
    return sorted(ratios)[(len(ratios) - 1) // 4]


def draw(
    candidates: list[upstreams.Upstream],
    request: model.Request,
    place: Place,
    chance: random.Random,
) -> list[upstreams.Upstream]:
    """Returns the upstreams that are compared for a request.

    Beside those drawn at random, some of them in the instance's own data
    centre, these are some that an idle connection leads to, the upstream with
    most of the request's own conversation in its cache, and those that handled
    its object lately.  An instance of a large fleet sends an upstream few
    requests, and would else open a connection for most of them; and what
    stays in a data centre is not lost when another one is cut off.
    """
    share = INSTANCES_PER_UPSTREAM / max(place.instances, 1)
    count = max(math.ceil(len(candidates) * share), MIN_COMPARED)
    if count >= len(candidates):
        return candidates
    local = [
        one for one in candidates if one.entry.data_centre == place.data_centre
    ]
    connected = [
        one for one in candidates if one.entry.upstream_id in place.connected
    ]
    drawn = chance.sample(local, min(len(local), MIN_COMPARED))
    drawn += chance.sample(candidates, max(count - len(drawn), 1))
    drawn += chance.sample(connected, min(len(connected), MIN_COMPARED))
    if request.affinity_key is not None:
        drawn += [
            one for one in candidates if one.is_warm_for(request.affinity_key)
        ]
    if request.prompt:
        uncached = [one.uncached_tokens(request.prompt) for one in candidates]
        fewest = min(uncached)
        # Several that have the same parts are as good as each other.
        drawn.append(
            chance.choice(
                [
                    one
                    for one, tokens in zip(candidates, uncached, strict=True)
                    if tokens == fewest
                ]
            )
        )
    return drawn
