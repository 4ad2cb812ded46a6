"""Upstreams that fail requests are avoided by all instances."""

import random
import typing

import pytest

from oleanderdrift.gateway import model
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import shared_failures
from oleanderdrift.gateway import upstreams

INSTANCES: typing.Final = 61
CALLS_PER_S: typing.Final = 300
UPSTREAMS: typing.Final = 4
CALL_S: typing.Final = 0.04
# The age of a peer's state, and the interval of states.
TRANSIT_S: typing.Final = 0.15
INTERVAL_S: typing.Final = 0.1
STEP_S: typing.Final = 1 / CALLS_PER_S


def entry(number: int) -> model.UpstreamEntry:
    return model.UpstreamEntry(
        upstream_id=f'u{number}',
        service='tool',
        data_centre='a',
        host='127.0.0.1',
        port=9000 + number,
        slots=6,
        draining=False,
        born_ms=1,
        cold_s=0.0,
        version='v1',
    )


def request(request_id: str) -> model.Request:
    return model.Request(
        request_id=request_id,
        method='POST',
        target='/',
        host='',
        headers=(),
        body=b'',
        key=None,
        deadline=1.0,
        received=0.0,
    )


def replay(
    is_down: typing.Callable[[float], bool], *, shares: bool
) -> dict[str, int]:
    """Plays ten seconds of calls; returns how many of them broke off.

    Half of the calls may be repeated.  The first upstream breaks off its
    calls while it is down.
    """
    chance = random.Random(5)
    known = [
        [upstreams.Upstream(entry=entry(one)) for one in range(UPSTREAMS)]
        for _ in range(INSTANCES)
    ]
    failures = [shared_failures.SharedFailures() for _ in range(INSTANCES)]
    place = placement.Place(data_centre='a', instances=INSTANCES)
    lost = {'repeatable': 0, 'once': 0, 'first': 0}
    sent: list[tuple[float, int, dict[str, shared_failures.Report]]] = []
    published = [0.0] * INSTANCES
    running: list[tuple[float, int]] = []
    for step in range(10 * CALLS_PER_S):
        now = step * STEP_S
        while sent and sent[0][0] <= now:
            _, peer, reports = sent.pop(0)
            for name, each in enumerate(failures):
                if name != peer:
                    each.note_reports(str(peer), reports, now)
        while running and running[0][0] <= now:
            running.pop(0)
        name = chance.randrange(INSTANCES)
        own, ledger = known[name], failures[name]
        for number, one in enumerate(own):
            one.peer_requests = sum(at == number for _, at in running)
        repeats = chance.random() < 0.5
        cost_s = shared_failures.failure_cost_s(
            may_repeat=repeats, is_turn=False
        )
        chosen = placement.choose(
            own,
            request(str(step)),
            place,
            now,
            chance,
            losses_s=ledger.expected_loss_s(cost_s, now),
        )
        assert chosen is not None
        is_first = chosen is own[0]
        lost['first'] += is_first
        if is_first and is_down(now):
            lost['repeatable' if repeats else 'once'] += 1
            chosen.note_failure(now)
            ledger.note_failure(chosen.entry.incarnation(), now)
        else:
            running.append((now + CALL_S, own.index(chosen)))
            chosen.note_success()
            ledger.note_answer(chosen.entry.incarnation(), now)
        if shares and now - published[name] >= INTERVAL_S:
            published[name] = now
            sent.append((now + TRANSIT_S, name, ledger.reports(now)))
    return lost


@pytest.mark.parametrize(
    ('is_down', 'most'),
    [
        (lambda now: 2 <= now < 3.1, 0.5),
        (lambda now: 2 <= now < 7.3 and (now - 2) % 2.2 < 1.1, 0.4),
    ],
    ids=['one outage', 'down and up by turns'],
)
def test_calls_of_all_instances_avoid_an_upstream_that_breaks_them_off(
    is_down: typing.Callable[[float], bool], most: float
) -> None:
    """Each instance lost a call that may not be repeated to it."""
    alone = replay(is_down, shares=False)['once']
    together = replay(is_down, shares=True)['once']
    assert alone >= 20
    assert together <= alone * most


def test_upstream_that_is_sound_again_gets_its_share() -> None:
    """It stayed without calls once all instances had seen it fail."""
    calm = replay(lambda now: False, shares=True)['first']
    after = replay(lambda now: 1 <= now < 2, shares=True)['first']
    assert after >= calm * 0.5


def test_few_failures_among_many_answers_cost_little() -> None:
    """One lost answer in a hundred moved all calls elsewhere."""
    ledger = shared_failures.SharedFailures()
    ledger.note_failure('u', 0.0)
    for step in range(100):
        ledger.note_answer('u', step / 100)
    loss_s = ledger.expected_loss_s(shared_failures.FAILED_CALL_S, 1.0)
    assert loss_s['u'] < placement.MAX_LOSS_S / 4


@pytest.mark.parametrize(
    ('reports', 'failed'),
    [
        ([(0, 1, 0.1), (0, 1, 0.2)], 1),
        ([(0, 1, 0.1), (5, 4, 0.1)], 4),
        ([(0, 3, 0.1), (0, 1, 0.1)], 4),
        ([(0, 8, 2.0)], None),
        ([(5, 0, 0.0)], None),
    ],
    ids=['told twice', 'one lost', 'restarted', 'cut off before', 'sound'],
)
def test_peers_failures_count_once(
    reports: list[tuple[int, int, float]], failed: int | None
) -> None:
    """States are lost and repeated, and peers restart or were cut off."""
    ledger = shared_failures.SharedFailures()
    for answered, count, age_s in reports:
        report = shared_failures.Report(
            answered=answered, failed=count, age_s=age_s
        )
        ledger.note_reports('peer', {'u': report}, 0.0)
    found = ledger.watched.get('u')
    assert (found.short.failed if found else None) == failed


def test_watch_ends_after_the_last_failure() -> None:
    """Instances told each other of failures for ever."""
    ledger = shared_failures.SharedFailures()
    ledger.note_failure('u', 0.0)
    assert ledger.has_unreported()
    assert ledger.reports(1.0)
    assert not ledger.has_unreported()
    assert not ledger.reports(shared_failures.WATCHED_S + 1)
    assert not ledger.expected_loss_s(1.0, 20.0)
