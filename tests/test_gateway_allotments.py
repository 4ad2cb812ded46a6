"""Replays the loads that decide how allotments are shared."""

import random
import typing

import pytest

from oleanderdrift.gateway import allotments
from tests import gateway_support

INSTANCES = 9
TELL_S = 0.1
# The tolerance that the users allow over a window of five seconds.
WINDOW_S = 5.0
OVER = 1.1
SLACK = 20.0


class Fleet:
    """Instances that tell each other of one account's requests."""

    def __init__(
        self,
        rate: float,
        burst: float,
        instances: int = INSTANCES,
        tell_s: float = TELL_S,
    ) -> None:
        self.account = gateway_support.account(rate=rate, burst=burst)
        self.tell_s = tell_s
        self.parts = [
            allotments.RateLimiter(started=0.0, update_interval_s=tell_s)
            for _ in range(instances)
        ]
        for part in self.parts:
            part.configure([self.account])
        self.cut: set[int] = set()
        self.admitted: list[float] = []

    def tell(self, now: float) -> None:
        """Exchanges news between all that are not cut off."""
        for sender, part in enumerate(self.parts):
            whole = part.next_is_full()
            usage = part.usage_update(now)
            for receiver, other in enumerate(self.parts):
                if sender == receiver or self.cut & {sender, receiver}:
                    continue
                other.apply_update(f'i{sender}', 1, usage, whole, now)

    def ask(self, instance: int, now: float, begun: bool = True) -> bool:
        """Asks for one request."""
        refusal = self.parts[instance].admit(self.account, now, begun)
        if refusal is None:
            self.admitted.append(now)
        return refusal is None

    def play(self, start: float, end: float, per_s: float, seed: int) -> float:
        """Plays even load; returns the share that was admitted."""
        chance = random.Random(seed)
        step = 0.01
        asked = passed = 0
        now = start
        told = start
        while now < end:
            if now - told >= self.tell_s:
                told = now
                self.tell(now)
            due = per_s * step
            for _ in range(int(due) + (chance.random() < due % 1)):
                asked += 1
                passed += self.ask(chance.randrange(len(self.parts)), now)
            now += step
        return passed / asked

    def most_in_window(self) -> int:
        """Returns the most requests admitted in any window."""
        times = self.admitted
        first = most = 0
        for place, now in enumerate(times):
            while now - times[first] > WINDOW_S:
                first += 1
            most = max(most, place + 1 - first)
        return most

    def limit(self) -> float:
        """Returns what the users allow in a window."""
        base = self.account.rate_per_s * WINDOW_S + self.account.burst
        return base * OVER + SLACK


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate', [20.0, 101.0])
def test_usual_load_is_admitted_whole(rate: float, seed: int) -> None:
    fleet = Fleet(rate, rate)
    assert fleet.play(2.0, 12.0, rate / 1.6, seed) == 1.0


def test_clump_at_one_instance_finds_the_whole_burst() -> None:
    # A program's tool calls come all at once where its turn was served.
    fleet = Fleet(20.0, 20.0)
    fleet.play(2.0, 4.0, 2.0, 0)
    assert all(fleet.ask(3, 4.01) for _ in range(12))


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate', [20.0, 101.0])
@pytest.mark.parametrize('times', [3.0, 8.0])
def test_account_at_many_times_its_rate_stays_within_it(
    rate: float, times: float, seed: int
) -> None:
    fleet = Fleet(rate, rate)
    fleet.play(2.0, 6.0, rate / 1.6, seed)
    fleet.play(6.0, 14.0, rate / 1.6 * times, seed)
    assert fleet.most_in_window() <= fleet.limit()


def test_account_over_its_rate_gets_what_it_has() -> None:
    fleet = Fleet(101.0, 101.0)
    fleet.play(2.0, 6.0, 63.0, 1)
    before = len(fleet.admitted)
    fleet.play(6.0, 16.0, 400.0, 1)
    assert len(fleet.admitted) - before >= 0.95 * 101.0 * 10.0


@pytest.mark.parametrize('seed', range(3))
def test_partition_does_not_double_the_rate(seed: int) -> None:
    fleet = Fleet(50.0, 50.0)
    fleet.play(2.0, 6.0, 150.0, seed)
    fleet.cut = {6, 7, 8}
    # Those cut off refuse by themselves once their news is too old.
    fleet.play(6.0, 8.6, 150.0, seed)
    assert fleet.most_in_window() <= fleet.limit()


def test_restarted_instance_starts_empty() -> None:
    fleet = Fleet(20.0, 20.0)
    fleet.play(2.0, 6.0, 12.0, 0)
    fresh = allotments.RateLimiter(started=6.0)
    fresh.configure([fleet.account])
    assert fresh.admit(fleet.account, 6.0, True) is not None


def test_restart_of_all_grants_no_second_burst() -> None:
    fleet = Fleet(50.0, 50.0)
    fleet.play(2.0, 6.0, 150.0, 0)
    fleet.parts = [
        allotments.RateLimiter(started=7.0) for _ in range(INSTANCES)
    ]
    for part in fleet.parts:
        part.configure([fleet.account])
    fleet.play(7.0, 12.0, 150.0, 1)
    assert fleet.most_in_window() <= fleet.limit()


def test_new_programs_leave_room_for_those_begun() -> None:
    fleet = Fleet(20.0, 20.0)
    fleet.play(2.0, 4.0, 2.0, 0)
    while fleet.ask(0, 4.0, begun=False):
        pass
    assert fleet.ask(0, 4.0, begun=True)


# As many instances, at as slow a pace, as the users' grown deployments.
LARGE: typing.Final = 63
LARGE_TELL_S: typing.Final = 0.525


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('rate', [6.0, 20.0])
@pytest.mark.parametrize('times', [3.0, 8.0])
def test_many_instances_stay_within_a_small_account(
    rate: float, times: float, seed: int
) -> None:
    fleet = Fleet(rate, rate, LARGE, LARGE_TELL_S)
    fleet.play(2.0, 6.0, rate / 1.6, seed)
    fleet.play(6.0, 16.0, rate / 1.6 * times, seed)
    assert fleet.most_in_window() <= fleet.limit()


@pytest.mark.parametrize('seed', range(3))
def test_many_instances_admit_the_usual_load(seed: int) -> None:
    fleet = Fleet(20.0, 20.0, LARGE, LARGE_TELL_S)
    assert fleet.play(2.0, 12.0, 20.0 / 1.6, seed) >= 0.99


def test_many_instances_use_what_an_account_has() -> None:
    fleet = Fleet(20.0, 20.0, LARGE, LARGE_TELL_S)
    fleet.play(2.0, 6.0, 12.0, 1)
    before = len(fleet.admitted)
    fleet.play(6.0, 16.0, 60.0, 1)
    assert len(fleet.admitted) - before >= 0.9 * 20.0 * 10.0


def test_news_names_what_changed_only() -> None:
    accounts = [gateway_support.account(name=f'a{n}') for n in range(70)]
    part = allotments.RateLimiter(started=0.0)
    part.configure(accounts)
    for account in accounts:
        part.admit(account, 9.0, True)
    for number in range(allotments.TELL_ALL_EVERY + 1):
        part.usage_update(10.0 + number)
    part.admit(accounts[3], 20.5, True)
    assert set(part.usage_update(20.6)) == {'a3'}
    # A message may be lost, so the same is told again.
    assert set(part.usage_update(20.7)) == {'a3'}


def test_partial_news_keep_what_was_heard() -> None:
    part = allotments.RateLimiter(started=0.0)
    account = gateway_support.account(rate=20.0, burst=20.0)
    part.configure([account])
    usage = allotments.Usage(spent=5, demand=3.0)
    part.apply_update('peer', 1, {account.name: usage}, True, 5.0)
    part.apply_update('peer', 1, {}, False, 5.1)
    assert part.others_demand(account.name) == 3.0
    tokens = part.bucket(account.name).tokens
    part.apply_update('peer', 1, {account.name: usage}, False, 5.2)
    assert part.bucket(account.name).tokens == tokens


@pytest.mark.parametrize(
    ('first_is_whole', 'charged'), [(True, 40), (False, 0)]
)
def test_new_instance_is_not_charged_for_what_came_before_it(
    first_is_whole: bool, charged: int
) -> None:
    part = allotments.RateLimiter(started=0.0)
    account = gateway_support.account(rate=20.0, burst=20.0)
    part.configure([account])
    usage = allotments.Usage(spent=40, demand=3.0)
    part.apply_update('peer', 1, {}, first_is_whole, 5.0)
    part.apply_update('peer', 1, {account.name: usage}, False, 5.1)
    assert part.bucket(account.name).tokens == -charged


def test_restarted_peer_is_charged_from_its_start() -> None:
    part = allotments.RateLimiter(started=0.0)
    account = gateway_support.account(rate=20.0, burst=20.0)
    part.configure([account])
    usage = allotments.Usage(spent=4, demand=3.0)
    part.apply_update('peer', 1, {}, True, 5.0)
    part.apply_update('peer', 2, {}, False, 5.1)
    part.apply_update('peer', 2, {account.name: usage}, False, 5.2)
    assert part.bucket(account.name).tokens == -4


def test_peer_that_was_quiet_is_charged_for_what_it_spent() -> None:
    part = allotments.RateLimiter(started=0.0)
    account = gateway_support.account(rate=20.0, burst=20.0)
    part.configure([account])
    start = 100.0
    part.refill(account.name, part.bucket(account.name), start)
    for spent, at in ((10, start), (18, start + 2.0)):
        usage = allotments.Usage(spent=spent, demand=4.0)
        part.charge_quiet(at)
        part.apply_update('peer', 1, {account.name: usage}, True, at)
    # What came in since is not counted yet.
    assert part.bucket(account.name).tokens == pytest.approx(20.0 - 8.0)
