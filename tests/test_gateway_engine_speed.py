"""Engines that differ in speed, and turns that are placed by it."""

import random

import msgspec
import pytest

from oleanderdrift.gateway import engine_speed
from oleanderdrift.gateway import program_admission
from oleanderdrift.gateway import time_left
from oleanderdrift.gateway import upstream_speed
from tests import gateway_support
from tests import speed_fleet

FAST = set(range(1, 12, 2))
TIMES = engine_speed.TurnTimes(
    unread_tokens=12_600,
    tokens=140,
    tokens_per_event=14,
    running=1.0,
    sent_at=0.0,
    first_at=0.05,
    last_at=0.3,
    read_held_s=0.0,
    held_s=0.0,
)


def fleet(learns: bool) -> speed_fleet.EngineFleet:
    """Returns a fleet of which two engines turn slow at 4 s."""
    made = speed_fleet.EngineFleet(
        instances=21,
        upstreams=12,
        slots=8,
        per_s=120.0,
        chance=random.Random(1),
        learns=learns,
    )
    made.run(4.0)
    made.factors[0] = made.factors[1] = 3.0
    made.run(8.0)
    made.factors.clear()
    made.run(16.0)
    return made


def test_turns_go_to_the_faster_engines() -> None:
    learned, constant = fleet(learns=True), fleet(learns=False)
    assert learned.mean_s(2.0, 4.0) < 0.9 * constant.mean_s(2.0, 4.0)
    assert learned.mean_s(5.0, 8.0) < 0.9 * constant.mean_s(5.0, 8.0)
    assert learned.share_of({0, 1}, 4.5, 8.0) < 0.07
    assert constant.share_of({0, 1}, 4.5, 8.0) > 0.07
    # None of them is starved for good, and the fast one has its work back.
    assert learned.share_of({1}, 13.0, 16.0) > 0.5 / 12
    assert learned.share_of(FAST, 2.0, 4.0) < 0.95
    engine = learned.desks[0].known.by_id['3'].engine
    assert 1 / engine.reading_s() == pytest.approx(300_000, rel=0.15)
    for running in (2, 6):
        token_s = learned.token_s(3, running)
        assert engine.token_s(running, 16.0) == pytest.approx(token_s, rel=0.1)


@pytest.mark.parametrize(
    ('times', 'counts', 'reads'),
    [
        (TIMES, 1, True),
        # One event tells no time between events.
        (TIMES._replace(tokens=14), 0, False),
        # The own link, the caller or the processor held it up.
        (TIMES._replace(held_s=0.2), 0, False),
        (TIMES._replace(read_held_s=0.04), 1, False),
        # A short prompt tells nothing of reading.
        (TIMES._replace(unread_tokens=840), 1, False),
        # Values that no peer would read.
        (TIMES._replace(running=0.2, unread_tokens=0), 1, False),
        # A clock that stands still.
        (TIMES._replace(first_at=0.0, last_at=0.0), 1, False),
    ],
)
def test_what_a_turn_tells(
    times: engine_speed.TurnTimes, counts: int, reads: bool
) -> None:
    speed = engine_speed.EngineSpeed()
    speed.note_turn(times, 1.0)
    assert speed.series.count == counts
    for point in speed.series.newest:
        data = msgspec.msgpack.encode(point)
        msgspec.msgpack.decode(data, type=upstream_speed.TurnPoint)
    assert (speed.reading_s() != engine_speed.READING_S) == reads


def test_one_slow_turn_condemns_no_engine() -> None:
    speed = engine_speed.EngineSpeed()
    slow = TIMES._replace(last_at=5 * TIMES.last_at)
    ratios = []
    for times in [TIMES] * 20 + [slow, slow, slow]:
        speed.note_turn(times, 1.0)
        ratios.append(speed.ratio.ratio(1.0))
    assert ratios[-3] == 1.0
    assert ratios[-1] > 3.0
    # It falls back while nobody measures it, and is known when it is tried.
    assert speed.ratio.ratio(30.0) < 1.01
    speed.note_turn(slow, 30.0)
    assert speed.ratio.ratio(30.0) > 3.0


@pytest.mark.parametrize(
    ('left_s', 'is_short'),
    [(0.0, False), (0.2, False), (0.4, True), (1.2, True), (2.4, False)],
)
def test_programs_with_little_time_try_no_slow_engine(
    left_s: float, is_short: bool
) -> None:
    assert time_left.is_short(left_s, 0.3) is is_short


def test_slow_engine_carries_fewer_programs() -> None:
    engines = [gateway_support.upstream(f'u{n}', slots=8) for n in range(3)]
    for one in engines:
        one.own_requests = 9
    assert program_admission.refuse_program(engines, 1, 'q', 1.0) is None
    for _ in range(3):
        engines[0].engine.note_turn(
            TIMES._replace(last_at=2.0, unread_tokens=0), 1.0
        )
    refusal = program_admission.refuse_program(engines, 1, 'q', 1.0)
    assert refusal is not None
    assert refusal.slots < 20
