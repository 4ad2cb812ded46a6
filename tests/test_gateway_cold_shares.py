"""Cold upstreams get no more than their rate, from all instances together."""

import contextlib
import math
import random
import typing

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import fleet_members
from tests import gateway_support
from tests import odd_values

STEP_S: typing.Final = 0.05
END_S: typing.Final = 16.0
# What the platform allows in any second beside the rate.
TOLERANCE: typing.Final = 1.5
SLACK: typing.Final = 5
ENTRY: typing.Final = gateway_support.entry(cold_s=500.0)


def service(rate: float = 20.0, cold_start_s: float = 8.0) -> typing.Any:
    """Returns a service with cold starts."""
    known = gateway_support.config().services['guide']
    return attrs.evolve(known, cold_start_s=cold_start_s, cold_per_s=rate)


def settled(
    instances: int, own: int = 0, entry: typing.Any = ENTRY
) -> cold_shares.ColdShares:
    """Returns what one of several registered instances knows."""
    members = fleet_members.FleetMembers(own=f'n{own}')
    members.note_read([f'n{each}' for each in range(instances)], -10.0, 0.0)
    members.read_at = float('inf')
    found = cold_shares.ColdShares(members=members)
    found.note_entry(entry, service(), 0.0, is_new=True)
    return found


class Simulation:
    """Instances that register, leave, restart and lose the store at random.

    Each sends as often as it may.
    """

    def __init__(
        self, seed: int, instances: int, rate: float, settle_s: float
    ) -> None:
        self.chance = chance = random.Random(seed)
        self.service = service(rate)
        self.settle_s = settle_s
        # Some are registered from the start, others join soon after another.
        old, width_s = chance.random(), chance.uniform(0.1, 9)
        self.stays, self.interval_s, self.cut_at = {}, {}, {}
        for name in (f'n{number}' for number in range(instances)):
            joins = chance.uniform(0, width_s)
            joins = -20.0 if chance.random() < old else joins
            self.stays[name] = joins, joins + chance.choice([7.0, 14.0, 99.0])
            self.interval_s[name] = chance.uniform(0.3, 2)
            self.cut_at[name] = chance.uniform(0, 30)
        self.next_read = {name: at for name, (at, _) in self.stays.items()}
        self.known = {name: self.start(name) for name in self.stays}
        self.sent: list[float] = []

    def start(self, name: str) -> cold_shares.ColdShares:
        """Returns what a process knows that has just started."""
        members = fleet_members.FleetMembers(own=name, settle_s=self.settle_s)
        return cold_shares.ColdShares(members=members)

    def run(self) -> int:
        """Returns the most requests in any second."""
        for tick in range(round((END_S + 20) / STEP_S)):
            now = tick * STEP_S - 20
            for name, (joins, _) in self.stays.items():
                if now >= joins:
                    self.act(name, now)
        seconds = (
            sum(at <= each < at + 1 for each in self.sent) for at in self.sent
        )
        return max(seconds, default=0)

    def act(self, name: str, now: float) -> None:
        """Has an instance read the directory, and send what it may."""
        if now > 0 and self.chance.random() < 0.001:
            self.known[name] = self.start(name)
        known = self.known[name]
        is_cut = 0 <= now - self.cut_at[name] < 6
        if now >= self.next_read[name] and not is_cut:
            self.next_read[name] = now + self.interval_s[name]
            as_of = now - self.chance.uniform(0, 0.4)
            stays = self.stays.items()
            names = [each for each, (a, b) in stays if a <= as_of < b]
            known.members.note_read(names, now, as_of)
        known.note_entry(ENTRY, self.service, now, is_new=True)
        with contextlib.suppress(cold_shares.NoPlaceError):
            while place := known.take(ENTRY, self.service, now, now):
                if self.chance.random() < 0.2:
                    place.release()
                    return
                place.note_sent(now)
                self.sent.append(now)


# The platform counts at the upstream; the sum of the shares is exact.
@hypothesis.settings(parent=odd_values.SEEDED, max_examples=100)
@hypothesis.given(
    seed=strategies.integers(0, 10**6),
    instances=strategies.integers(1, 40),
    rate=strategies.sampled_from([0.4, 1.0, 3.7, 6.0, 25.0, 64.0]),
)
def test_no_second_sees_more_than_the_rate(
    seed: int, instances: int, rate: float
) -> None:
    most = Simulation(seed, instances, rate, fleet_members.SETTLE_S).run()
    assert most <= rate


def test_bound_breaks_without_the_wait_for_directories() -> None:
    most = Simulation(39, 40, 64.0, settle_s=0.0).run()
    assert most > 64.0 * TOLERANCE + SLACK


@pytest.mark.parametrize('instances', [1, 2, 9, 60, 300])
@pytest.mark.parametrize('rate', [1.0, 4.9, 6.0, 40.0])
def test_shares_use_most_of_the_rate(instances: int, rate: float) -> None:
    shares = [
        cold_shares.share_of(rate, rank, instances)
        for rank in range(instances)
    ]
    assert math.floor(rate) / 2 < sum(shares) <= rate


# Each statement is its kind or data centre, its time and the seconds left.
@pytest.mark.parametrize(
    ('statements', 'cold_at', 'warm_at'),
    [
        ([('entry', 0, 8)], [0, 7.9], [8]),
        # An entry read late after the end of its cold time.
        ([('entry', 0, 2), ('entry', 2.5, 0.1)], [1, 2.55], [2.7]),
        ([('entry', 0, 8), ('entry', 2, 0)], [], [2]),
        # Cold again, in the same start.
        ([('entry', 0, 0), ('entry', 9, 5)], [9, 13], [14]),
        ([('report', 0, 8), ('entry', 1, 0)], [1, 7], [8]),
        ([('report', 0, 8), ('entry', 3, 0)], [], [3]),
        ([('entry', 0, 8), ('report', 1, 0)], [], [1]),
        # The end of an evacuation, and entries that may be older.
        ([('entry', 0, 0), ('north', 1, 8), ('entry', 2, 0)], [2, 8], [9]),
        ([('north', 1, 8), ('entry', 4, 0)], [], [4]),
        ([('north', 1, 8), ('entry', 4, 2)], [5], [6]),
        ([('south', 1, 8)], [], [1]),
        ([('north', 1, 0)], [], [1]),
        # Odd times have no effect.
        ([('entry', 0, 601)], [], [1]),
        ([('entry', 0, 8), ('report', 1, 1e9)], [7], [8]),
    ],
)
def test_cold_time(
    statements: list[tuple[str, float, float]],
    cold_at: list[float],
    warm_at: list[float],
) -> None:
    one = gateway_support.upstream()
    shares = settled(1, entry=one.entry)
    for kind, at, left_s in statements:
        if kind == 'report':
            shares.note_report(one.entry, service(), left_s, at)
        elif kind == 'entry':
            entry = attrs.evolve(one.entry, cold_s=left_s)
            assert shares.note_entry(entry, service(), at) is (left_s <= 600)
        else:
            found = {'guide': service(cold_start_s=left_s)}
            shares.mark_data_centre(kind, [one], found, at, at)
    assert all(shares.is_cold(one, at) for at in cold_at)
    assert not any(shares.is_cold(one, at) for at in warm_at)


def test_requests_before_the_cold_time_count() -> None:
    shares = settled(1, entry=attrs.evolve(ENTRY, cold_s=0.0))
    shares.note_report(ENTRY, service(), 8.0, 5.0)
    for now, share in ((5.0, 0), (6.0, 0), (6.2, 20)):
        assert shares.share(ENTRY, service(), now, now) == share


def test_rate_doubles_in_steps_that_instances_make_apart() -> None:
    fleet = [settled(12, own) for own in range(12)]
    for one in fleet:
        one.note_entry(attrs.evolve(ENTRY, cold_s=1.0), service(), 0.0)
    totals = []
    for tick in range(100):
        now = 0.99 + tick * 0.01
        shares = [one.share(ENTRY, service(), now, now) for one in fleet]
        totals.append(sum(each or 0 for each in shares))
    assert totals[0] == 12
    assert totals[-1] > 10 * totals[0]
    # No instant raises the sum by more than a few instances' steps.
    rises = [b / a for a, b in zip(totals, totals[1:], strict=False)]
    assert max(rises) < 1.5
    assert all(one.share(ENTRY, service(), 4.0, 4.0) is None for one in fleet)


@pytest.mark.parametrize(
    ('reads', 'now', 'may_share'),
    [
        ([(0, 'ab')], 4.0, False),
        ([(0, 'ab'), (2, 'ab'), (4, 'ab')], 4.2, True),
        ([(0, 'ab'), (2, 'b'), (4, 'ab')], 4.2, False),
        # The last read is too old.
        ([(0, 'ab'), (2, 'ab'), (4, 'ab')], 7.1, False),
        # Members may have come and gone in the gap.
        ([(0, 'ab'), (4, 'ab')], 4.2, False),
        ([(0, 'b'), (2, 'b'), (4, 'b')], 4.2, False),
    ],
)
def test_only_settled_instances_share(
    reads: list[tuple[float, str]], now: float, may_share: bool
) -> None:
    members = fleet_members.FleetMembers(own='a')
    for at, names in reads:
        members.note_read(names, at, at)
    assert members.may_share(now, now) is may_share


def test_instance_that_left_counts_for_a_while() -> None:
    members = fleet_members.FleetMembers(own='a')
    members.note_read('abc', 0.0, 0.0)
    members.note_read('a', 1.0, 1.0)
    assert [len(members.counted(at)) for at in (5.0, 5.2)] == [3, 1]
