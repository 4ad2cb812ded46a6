"""Measures the processor time of one placement of the gateway.

Placement runs for each request, so its cost counts on the smallest machine.
It is measured at three numbers of upstreams of a service, for calls before
and after their upstreams' speeds are known, and for turns.
"""

import collections.abc
import math
import random
import time
import typing

from bench import figure
from oleanderdrift.gateway import model
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import upstreams

UPSTREAMS: typing.Final = (4, 15, 60)
INSTANCES: typing.Final = 61
DECISIONS: typing.Final = 2_000
RUNS: typing.Final = 5
SHARED: typing.Final = model.PromptPart(part_id='shared', tokens=12_600)
OWN: typing.Final = model.PromptPart(part_id='own', tokens=840)


def make_upstream(number: int) -> upstreams.Upstream:
    """Returns an upstream with a load of its own."""
    found = upstreams.Upstream(
        entry=model.UpstreamEntry(
            upstream_id=f'u{number}',
            service='s',
            data_centre=f'd{number % 3}',
            host='127.0.0.1',
            port=1,
            slots=8,
            draining=False,
            born_ms=1,
            cold_s=0.0,
            version='v1',
        )
    )
    found.peer_requests = number % 5
    found.note_cached_parts((SHARED,))
    return found


def make_request(number: int, is_turn: bool) -> model.Request:
    """Returns a turn or a call."""
    return model.Request(
        request_id=f'q{number}',
        method='POST',
        target='/',
        host='h',
        headers=(),
        body=b'',
        key=None,
        deadline=5.0,
        received=0.0,
        prompt=(SHARED, OWN) if is_turn else (),
    )


def choice_us(count: int, kind: str) -> float:
    """Returns the processor time of one choice in microseconds."""
    known = [make_upstream(number) for number in range(count)]
    if kind == 'learned_call':
        for number, one in enumerate(known):
            one.calls.log_mean = math.log(6.0) if number % 4 == 3 else 0.1
            one.calls.measured_at = 1.0
    place = placement.Place(
        data_centre='d0',
        instances=INSTANCES,
        connected=frozenset(('u1', 'u2')),
    )
    chance = random.Random(1)
    requests = [
        make_request(each, kind == 'turn') for each in range(DECISIONS)
    ]
    times = []
    for _ in range(RUNS):
        started = time.process_time()
        for each in requests:
            placement.choose(known, each, place, 1.0, chance)
        times.append(time.process_time() - started)
    return min(times) / DECISIONS * 1e6


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the cost of a choice at each size."""
    for kind in ('call', 'learned_call', 'turn'):
        for count in UPSTREAMS:
            yield figure.Figure(
                name=f'placement_cost.{kind}.upstreams_{count}',
                unit='us',
                value=choice_us(count, kind),
            )
