"""Upstreams that differ in speed, and instances that share what they see."""

import math
import random
import typing

import pytest

from oleanderdrift.gateway import call_speeds
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import upstream_speed
from tests import gateway_support
from tests import speed_fleet

SLOW: typing.Final = {0, 1}
ROUTE: typing.Final = gateway_support.route()
REQUEST: typing.Final = gateway_support.request()


def fleet(instances: int, seed: int, shares: bool) -> speed_fleet.Fleet:
    """Returns a fleet of which two upstreams turn slow at 3 s, until 7 s."""
    made = speed_fleet.Fleet(
        instances=instances,
        upstreams=4,
        slots=6,
        per_s=200.0,
        chance=random.Random(seed),
        shares=shares,
    )
    made.run(3.0)
    for number in SLOW:
        made.factors[number] = 6.0
    made.run(7.0)
    made.factors.clear()
    made.run(10.0)
    return made


@pytest.mark.parametrize('instances', [9, 61])
def test_slow_upstreams_lose_their_work_and_get_it_back(
    instances: int,
) -> None:
    made = fleet(instances, 1, shares=True)
    assert made.share_of(SLOW, 3.5, 7.0) < 0.08
    assert made.share_of(SLOW, 8.5, 10.0) > 0.3
    # Those that are left are not overrun by instances with an old view.
    assert made.mean_s(3.5, 7.0) < 1.5 * made.mean_s(1.0, 3.0)
    for number in (2, 3):
        assert made.share_of({number}, 3.5, 7.0) > 0.3


def test_slow_upstreams_keep_their_work_if_nobody_shares() -> None:
    """The proof above fails with the mechanism switched off."""
    assert fleet(61, 1, shares=False).share_of(SLOW, 3.5, 7.0) > 0.2


Call: typing.TypeAlias = tuple[float, float]
USUAL: typing.Final = [(0.04, 0.0)] * 4


@pytest.mark.parametrize(
    ('calls', 'pause_at', 'ratio'),
    [
        # Time of a call, and for how much of it the own link was taken.
        ([(0.24, 0.0)] * 2, None, 6.0),
        # One slow answer.
        ([(0.24, 0.0)], None, 1.0),
        # The own link is full.
        ([(0.24, 0.2)] * 4, None, 1.0),
        ([(0.05, 0.01)] * 4, None, 1.0),
        # It was full for longer than is known.
        ([(1.2, own_link.MAX_HELD_S)] * 4, None, 1.0),
        # The instance is paused during the calls.
        ([(0.24, 0.0)] * 4, 0.1, 1.0),
    ],
)
def test_what_condemns_an_upstream(
    calls: list[Call], pause_at: float | None, ratio: float
) -> None:
    speeds = call_speeds.CallSpeeds(data_centre='north')
    one = gateway_support.upstream()
    now = 10.0
    for time_s, held_s in USUAL + calls:
        speeds.pauses.check(now)
        speeds.begin(one, REQUEST, ROUTE, now)
        for step in range(0 if pause_at else int(time_s / 0.05)):
            speeds.pauses.check(now + step * 0.05)
        now += time_s
        speeds.end(one, REQUEST.request_id, now, held_s)
        one.overdue_at = now
    assert one.calls.ratio(now) == pytest.approx(ratio, rel=0.15)


def test_call_behind_a_full_link_is_not_overdue() -> None:
    link = own_link.OwnLink(mbps=8.0)
    speeds = call_speeds.CallSpeeds(data_centre='north', link=link)
    one = gateway_support.upstream()
    for number in range(4):
        speeds.begin(one, REQUEST, ROUTE, number)
        speeds.end(one, REQUEST.request_id, number + 0.04, 0.0)
    counted = one.calls.series.count
    speeds.begin(one, REQUEST, ROUTE, 10.0)
    for step in range(1, 40):
        now = 10.0 + step * 0.02
        link.note(20_000, now)
        speeds.pauses.check(now)
        speeds.note_overdue([one], now)
    assert one.calls.series.count == counted


def test_overdue_call_counts_before_it_ends_but_once() -> None:
    speeds = call_speeds.CallSpeeds(data_centre='north')
    one = gateway_support.upstream()
    for number in range(4):
        speeds.begin(one, REQUEST, ROUTE, number)
        speeds.end(one, REQUEST.request_id, number + 0.04, 0.0)
    counted = one.calls.series.count
    speeds.begin(one, REQUEST, ROUTE, 10.0)
    counts = []
    for now in (10.08, 10.12, 10.5):
        speeds.pauses.check(now)
        speeds.note_overdue([one], now)
        counts.append(one.calls.series.count - counted)
    speeds.pauses.check(10.6)
    speeds.end(one, REQUEST.request_id, 10.6, 0.0)
    assert [*counts, one.calls.series.count - counted] == [0, 1, 1, 1]


@pytest.mark.parametrize(
    ('reports', 'votes'),
    [
        # What comes again, or of another start, changes nothing.
        ([('a', 1, 2, (60, 70)), ('a', 1, 2, (60, 70))], [60, 70]),
        ([('a', 1, 1, (60,)), ('a', 1, 2, (60, 70))], [60, 70]),
        ([('a', 2, 1, (60,))], []),
        # The count has wrapped, or the peer has started again.
        ([('a', 1, 65_535, (60,)), ('a', 1, 0, (60, 70))], [60, 70]),
        ([('a', 1, 9, (60,)), ('a', 1, 1, (70,))], [60, 70]),
        # No peer has more than two votes, however many it tells.
        ([('a', 1, 9, (50, 60, 70)), ('b', 1, 3, (80,))], [60, 70, 80]),
    ],
)
def test_measurements_of_peers_count_once(
    reports: list[tuple[str, int, int, tuple[int, ...]]], votes: list[int]
) -> None:
    one = gateway_support.upstream()
    for peer, start, count, ratios in reports:
        report = upstream_speed.Report(start=start, count=count, ratios=ratios)
        one.note_speed_report(peer, report, 1.0)
    found = [upstream_speed.encode_ratio(v.log_ratio) for v in one.calls.votes]
    assert found == votes


def test_upstream_that_nobody_measures_is_tried_again() -> None:
    """Guards against an upstream that is starved where calls are rare."""
    slow, fast = (gateway_support.upstream(name) for name in 'ab')
    for _ in range(3):
        slow.calls.note_own(math.log(6), 0.0)
    place = placement.Place(data_centre='north', instances=3)
    chance = random.Random(1)
    found = [
        placement.choose(
            [slow, fast],
            gateway_support.request(request_id=f'q{now}'),
            place,
            now,
            chance,
        )
        for now in range(60)
    ]
    assert found[0] is fast
    assert 15 <= found.count(slow)


def test_change_of_speed_is_told_once() -> None:
    speeds = call_speeds.CallSpeeds(data_centre='north')
    known = [gateway_support.upstream(name) for name in 'ab']
    told = []
    for ratio in (1.0, 6.0, 6.0, 6.0, 1.0, 1.0, 1.0, 1.0):
        known[0].calls.note_own(math.log(ratio), 1.0)
        told += [one.is_slow for one in speeds.review(known, 1.0)]
    assert told == [True, False]
    assert not speeds.slow


def test_calls_of_varying_length_make_no_upstream_slow() -> None:
    """Sound upstreams were taken for slow in turn, and the others filled."""
    chance = random.Random(4)
    known = [gateway_support.upstream(f'u{one}', slots=6) for one in range(16)]
    slow = judged = 0
    for step in range(8_000):
        now = step / 400
        one = chance.choice(known)
        log_ratio = chance.gauss(0.0, 0.7)
        source = f'n{chance.randrange(31)}'
        one.calls.apply(source, log_ratio, now)
        if step > 1_000 and step % 10 == 0:
            slow += len(placement.slow_ones(known, False, now))
            judged += len(known)
    assert slow < 0.02 * judged
