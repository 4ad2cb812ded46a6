"""Upstreams that name the rate that they take from all instances."""

import asyncio
import math
import random
import typing

import pytest

from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import program_admission
from oleanderdrift.gateway import upstream_limits
from oleanderdrift import speed
from standins import replica
from tests import gateway_fleet
from tests import gateway_support
from tests import peer_fleet

# The users allow, in any so many seconds, so many times the rate and so many
# requests more, counted half a second after an instance has been told.
WINDOW_S: typing.Final = 4.0
RATE_TOLERANCE: typing.Final = 1.5
SLACK: typing.Final = 5
TOLD_S: typing.Final = 0.5


def allowed(rate_per_s: float) -> float:
    """Returns the most requests that an upstream may get in a window."""
    return rate_per_s * RATE_TOLERANCE * WINDOW_S + SLACK


def naming(rate: str) -> replica.CompleteResponse:
    """Returns an answer that names a rate."""
    return replica.CompleteResponse(headers=(('Server-Limit', rate),))


def test_upstream_gets_no_more_than_the_rate_that_it_names() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            3, naming('3'), replica.CompleteResponse()
        ) as fleet:
            await fleet.send_evenly(40.0, TOLD_S)
            before = len(fleet.replicas[0].received)
            assert before > 0
            replies = await fleet.send_evenly(40.0, 3.0)
            received = len(fleet.replicas[0].received) - before
            assert {one.status for one in replies} == {200}
            assert received <= allowed(3.0)

    asyncio.run(run())


def test_what_limited_upstreams_take_is_used_and_the_rest_is_refused() -> None:
    async def run() -> None:
        async with gateway_fleet.run_fleet(
            3, naming('4'), naming('8')
        ) as fleet:
            await fleet.send_evenly(40.0, TOLD_S)
            before = [len(one.received) for one in fleet.replicas]
            replies = await fleet.send_evenly(40.0, 3.0)
            received = [
                len(one.received) - count
                for one, count in zip(fleet.replicas, before, strict=True)
            ]
            assert received[0] <= allowed(4.0)
            assert received[1] <= allowed(8.0)
            # 36 tokens come in the time.
            assert sum(received) >= 0.7 * 36
            statuses = [one.status for one in replies]
            assert statuses.count(200) == sum(received)
            refused = [one for one in replies if one.status != 200]
            assert {one.status for one in refused} == {503}
            assert all(
                0 < float(one.headers['retry-after']) < 1 for one in refused
            )

    asyncio.run(run())


RATE_NAMED_AT: typing.Final = 10.0
ANSWER_S: typing.Final = 0.05
STEP_S: typing.Final = 0.01


class Simulation:
    """Instances that send to one upstream, which names its rate.

    told holds when each instance passed on the first answer with the rate.
    """

    def __init__(
        self, instances: int, rate: float, interval_s: float, seed: int
    ) -> None:
        self.chance = random.Random(seed)
        self.upstream = gateway_support.upstream()
        self.rate = rate
        self.interval_s = interval_s
        self.limits = [
            upstream_limits.UpstreamLimits(
                limiter=allotments.RateLimiter(
                    started=0.0,
                    update_interval_s=interval_s,
                    chance=random.Random(seed * 1_000 + number),
                )
            )
            for number in range(instances)
        ]
        self.incarnations = [1] * instances
        self.silent: set[int] = set()
        self.now = RATE_NAMED_AT - 1.0
        self.told: dict[int, float] = {}
        self.answers: list[tuple[float, int]] = []
        self.sent: list[float] = []
        self.counted: list[float] = []

    def exchange(self, now: float) -> None:
        """Exchanges states between all instances that are not silent."""
        heard = [n for n in range(len(self.limits)) if n not in self.silent]
        for sender in heard:
            one = self.limits[sender]
            full = one.limiter.next_is_full()
            usage = one.limiter.usage_update(now)
            reports = one.reports(now)
            for receiver in heard:
                if receiver == sender:
                    continue
                other = self.limits[receiver]
                other.note_reports(reports, now)
                other.limiter.apply_update(
                    f'i{sender}', self.incarnations[sender], usage, full, now
                )

    def restart(self, instance: int, now: float) -> None:
        """Replaces an instance by a new one that knows nothing."""
        self.incarnations[instance] += 1
        self.told.pop(instance, None)
        self.limits[instance] = upstream_limits.UpstreamLimits(
            limiter=allotments.RateLimiter(
                started=now, update_interval_s=self.interval_s
            )
        )

    def ask(self, instance: int, now: float) -> None:
        """Sends a request from an instance, if its limits allow it."""
        limits = self.limits[instance]
        limits.note_demand(self.upstream, now)
        if not limits.try_send(self.upstream, now, may_use_reserve=True):
            return
        self.sent.append(now)
        if now - self.told.get(instance, math.inf) >= TOLD_S:
            self.counted.append(now)
        self.answers.append((now + ANSWER_S, instance))

    def receive_answers(self, now: float) -> None:
        """Has instances receive the answers that are due."""
        while self.answers and self.answers[0][0] <= now:
            _, instance = self.answers.pop(0)
            rate = self.rate if now >= RATE_NAMED_AT else None
            if rate is not None:
                self.told.setdefault(instance, now)
            self.limits[instance].note_answer(self.upstream, rate, now)

    def run(self, end: float, per_s: float) -> None:
        """Has instances ask for the upstream at random, until a time."""
        now = self.now
        exchanged_at = now
        while now < end:
            if now - exchanged_at >= self.interval_s:
                exchanged_at = now
                self.exchange(now)
            self.receive_answers(now)
            due = per_s * STEP_S
            for _ in range(int(due) + (self.chance.random() < due % 1)):
                self.ask(self.chance.randrange(len(self.limits)), now)
            now += STEP_S
        self.now = now

    def most_in_window(self) -> int:
        """Returns the most requests that count in any window."""
        first = most = 0
        for place, now in enumerate(self.counted):
            while now - self.counted[first] > WINDOW_S:
                first += 1
            most = max(most, place + 1 - first)
        return most


@pytest.mark.parametrize('rate', [1.0, 3.0, 15.0])
@pytest.mark.parametrize(
    ('instances', 'interval_s', 'per_s', 'seed'),
    [
        (9, 0.1, 40.0, 0),
        (9, 0.1, 40.0, 1),
        (9, 0.1, 90.0, 0),
        (9, 0.1, 90.0, 1),
        (195, 0.35, 200.0, 0),
    ],
)
def test_instances_share_the_rate_of_an_upstream(
    instances: int, interval_s: float, per_s: float, rate: float, seed: int
) -> None:
    fleet = Simulation(instances, rate, interval_s, seed)
    fleet.run(RATE_NAMED_AT + 12.0, per_s)
    assert fleet.most_in_window() <= allowed(rate)
    # What it takes is used.
    late = [now for now in fleet.sent if now >= RATE_NAMED_AT + 4.0]
    assert len(late) >= 0.8 * rate * 8.0


@pytest.mark.parametrize('seed', range(3))
def test_restarted_instances_do_not_add_to_the_rate(seed: int) -> None:
    fleet = Simulation(9, 5.0, 0.1, seed)
    fleet.run(RATE_NAMED_AT + 4.0, 60.0)
    before = len(fleet.sent)
    fleet.restart(3, RATE_NAMED_AT + 4.0)
    fleet.restart(4, RATE_NAMED_AT + 4.0)
    fleet.run(RATE_NAMED_AT + 8.0, 60.0)
    assert len(fleet.sent) - before <= allowed(5.0)


@pytest.mark.parametrize('seed', range(3))
def test_instance_that_hears_nobody_assumes_that_the_others_go_on(
    seed: int,
) -> None:
    fleet = Simulation(9, 5.0, 0.1, seed)
    fleet.run(RATE_NAMED_AT + 4.0, 60.0)
    before = len(fleet.sent)
    fleet.silent = {0, 1, 2, 3, 4}
    fleet.run(RATE_NAMED_AT + 8.0, 60.0)
    assert len(fleet.sent) - before <= allowed(5.0)


def test_limit_ends_when_the_upstream_names_none() -> None:
    fleet = Simulation(3, 5.0, 0.1, 1)
    first, second, third = fleet.limits
    first.note_answer(fleet.upstream, 5.0, 10.0)
    second.note_answer(fleet.upstream, 5.0, 10.1)
    fleet.exchange(10.2)
    assert third.rate_per_s(fleet.upstream) == 5.0
    second.note_answer(fleet.upstream, None, 10.5)
    assert second.rate_per_s(fleet.upstream) is None
    fleet.exchange(10.6)
    assert first.rate_per_s(fleet.upstream) is None
    assert third.rate_per_s(fleet.upstream) is None
    # Nobody tells an instance that starts later of a limit that has ended.
    fleet.restart(2, 20.0)
    fleet.exchange(20.1)
    assert fleet.limits[2].rate_per_s(fleet.upstream) is None


def test_limit_may_change_from_answer_to_answer() -> None:
    fleet = Simulation(2, 5.0, 0.1, 1)
    first, second = fleet.limits
    first.note_answer(fleet.upstream, 5.0, 10.0)
    first.note_answer(fleet.upstream, 2.0, 10.1)
    fleet.exchange(10.2)
    assert second.rate_per_s(fleet.upstream) == 2.0


def test_limit_does_not_outlive_the_upstream_that_named_it() -> None:
    fleet = Simulation(1, 5.0, 0.1, 1)
    limits = fleet.limits[0]
    limits.note_answer(fleet.upstream, 5.0, 10.0)
    restarted = gateway_support.upstream(born_ms=2)
    assert limits.rate_per_s(restarted) is None
    limits.keep_only([restarted])
    assert limits.newest == {}
    assert limits.limiter.buckets == {}


def test_upstream_that_takes_nothing_is_asked_again() -> None:
    fleet = Simulation(1, 0.0, 0.1, 1)
    limits = fleet.limits[0]
    limits.note_answer(fleet.upstream, 0.0, 10.0)
    sent = 0
    for number in range(200):
        now = 10.0 + number / 10
        limits.note_demand(fleet.upstream, now)
        sent += limits.try_send(fleet.upstream, now, may_use_reserve=True)
    assert 0 < sent <= allowed(0.0) * 20.0 / WINDOW_S


def test_instance_forgets_what_it_heard_before_a_pause() -> None:
    board = gateway_support.board()
    upstream = gateway_support.upstream()
    board.upstream_limits.note_answer(upstream, 5.0, 10.0)
    board.exchanged_at = 10.0
    board.check_pause(10.1, 16.0)
    assert board.upstream_limits.reports(10.1) == {}
    assert board.upstream_limits.rate_per_s(upstream) == 5.0


def test_program_begins_where_it_is_served_in_time() -> None:
    limits = Simulation(1, 5.0, 0.1, 1).limits[0]
    limited, other = (gateway_support.upstream(name) for name in 'ab')
    now = 10.0
    assert limits.can_begin('guide', [limited, other], now)
    # Its load makes it 1.8 times as slow.
    other.engine.speed.decode = line = speed.LineFit()
    speed.add_point(line, 1, 0.0010)
    speed.add_point(line, 9, 0.0018)
    other.peer_requests = 9
    # No upstream names a limit.
    assert limits.can_begin('guide', [limited, other], now)
    limits.note_answer(limited, 5.0, now - 1.0)
    limits.note_demand(limited, now)
    assert limits.overloaded([limited, other], now) == {'b'}
    while limits.try_send(limited, now, may_use_reserve=False):
        pass
    assert not limits.can_begin('guide', [limited, other], now)
    # Tokens are left for the programs under way.
    assert limits.try_send(limited, now, may_use_reserve=True)


def test_turns_that_wait_go_before_new_programs() -> None:
    limits = Simulation(1, 5.0, 0.1, 1).limits[0]
    limits.waiting['guide'] += 1
    assert not limits.can_begin('guide', [gateway_support.upstream()], 10.0)


def test_engines_with_a_limit_carry_fewer_programs() -> None:
    limits = Simulation(1, 5.0, 0.1, 1).limits[0]
    engine = gateway_support.upstream()
    engine.own_requests = 4
    assert program_admission.refuse_program([engine], 1, 'q', 10.0) is None
    limits.note_answer(engine, 6.0, 10.0)
    refusal = program_admission.refuse_program([engine], 1, 'q', 10.0, limits)
    assert refusal is not None
    assert refusal.slots == 2


def test_instances_hear_of_a_limit_from_each_other() -> None:
    network = peer_fleet.build({'north': 6, 'south': 5}, seed=1)
    network.run(2.0)
    first = network.instances['north-3'].board
    upstream = first.upstreams.by_id['u1']
    first.upstream_limits.note_answer(upstream, 7.0, network.now)
    # The users' bound.
    network.run(TOLD_S)
    boards = [one.board for one in network.instances.values()]
    assert {one.upstream_limits.rate_per_s(upstream) for one in boards} == {
        7.0
    }
    first.upstream_limits.note_answer(upstream, None, network.now)
    network.run(TOLD_S)
    assert {one.upstream_limits.rate_per_s(upstream) for one in boards} == {
        None
    }


def test_instance_that_starts_later_hears_of_a_limit() -> None:
    network = peer_fleet.build({'north': 5, 'south': 5}, seed=2)
    network.run(2.0)
    first = network.instances['south-2'].board
    upstream = first.upstreams.by_id['u1']
    first.upstream_limits.note_answer(upstream, 7.0, network.now)
    network.run(1.0)
    network.kill('north-1')
    network.add('north-1', 'north')
    network.run(1.0)
    later = network.instances['north-1'].board
    assert later.upstream_limits.rate_per_s(upstream) == 7.0
