"""No client account gets more than its rate and burst under any faults.

A state machine runs the deciding modules of several instances under message
loss, delay and duplication, pauses longer than the lease, crashes, joins,
leaves and partitions.  Scenarios then show that each safety mechanism is
needed: with the mechanism disabled, the fleet exceeds the limits.
"""

import collections.abc
import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bench import share_fleet
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import share_ledger
from oleanderdrift import share_loans
from oleanderdrift import share_moves
from oleanderdrift import share_parts
from oleanderdrift import share_state
from oleanderdrift import share_types

ACCOUNTS: typing.Final = {
    'large': model.ClientAccount(name='large', rate_per_s=400.0, burst=80),
    'small': model.ClientAccount(name='small', rate_per_s=40.0, burst=5),
}
NAMES: typing.Final = ('a', 'b', 'c', 'd', 'e')
INSTANCES: typing.Final = strategies.sampled_from(NAMES)


def make_fleet(seed: int, count: int = 4) -> share_fleet.Fleet:
    """Returns a fleet in two data centres after its units are distributed."""
    fleet = share_fleet.Fleet(
        rng=random.Random(seed),
        accounts=dict(ACCOUNTS),
        tick_s=0.1,
        read_every_ticks=2,
    )
    for index, name in enumerate(NAMES[:count]):
        fleet.join(name, f'dc{index % 2}', '0')
    fleet.run(20.0)
    return fleet


class SharesMachine(stateful.RuleBasedStateMachine):
    """Instances under random faults; meters count excess admissions."""

    @stateful.initialize(seed=strategies.integers(0, 9))
    def start(self, seed: int) -> None:
        self.fleet = make_fleet(seed)
        self.incarnation = 0

    @stateful.rule(
        name=INSTANCES,
        account=strategies.sampled_from(sorted(ACCOUNTS)),
        count=strategies.sampled_from((1, 12)),
        seconds=strategies.sampled_from((0.0, 0.3, 1.5)),
    )
    def send_requests(
        self, name: str, account: str, count: int, seconds: float
    ) -> None:
        node = self.fleet.nodes.get(name)
        if node is None or node.paused:
            return
        for _ in range(count):
            self.fleet.request(name, account)
        self.fleet.run(self.fleet.now + seconds)

    @stateful.rule()
    def spend_everything(self) -> None:
        """Sends each instance enough requests to spend all its tokens."""
        for account, limits in ACCOUNTS.items():
            for name, node in self.fleet.nodes.items():
                for _ in range(0 if node.paused else limits.burst):
                    self.fleet.request(name, account)

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.3, 3.0, 12.0)))
    def wait(self, seconds: float) -> None:
        self.fleet.run(self.fleet.now + seconds)

    @stateful.rule()
    def stall_beyond_lease(self) -> None:
        self.fleet.jump(share_state.LEASE_S * 1.01)
        self.fleet.run(self.fleet.now + 6.0)

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.3)),
        duplication=strategies.sampled_from((0.0, 0.3)),
        delay_s=strategies.sampled_from((0.002, 0.3, 4.0)),
    )
    def set_network_faults(
        self, loss: float, duplication: float, delay_s: float
    ) -> None:
        self.fleet.loss = loss
        self.fleet.duplication = duplication
        self.fleet.delay_s = (0.0005, delay_s)

    @stateful.rule(name=INSTANCES)
    def pause_or_resume(self, name: str) -> None:
        node = self.fleet.nodes.get(name)
        if node is not None and node.paused:
            self.fleet.resume(name)
        elif node is not None:
            node.paused = True

    @stateful.rule(name=INSTANCES, group=strategies.integers(0, 1))
    def partition(self, name: str, group: int) -> None:
        if name in self.fleet.nodes:
            self.fleet.nodes[name].partition = group
            self.fleet.nodes[name].platform_reachable = group == 0

    @stateful.rule(name=INSTANCES)
    def crash(self, name: str) -> None:
        if len(self.fleet.nodes) > 1:
            self.fleet.nodes.pop(name, None)

    @stateful.rule(name=INSTANCES)
    def join(self, name: str) -> None:
        if name not in self.fleet.nodes:
            self.incarnation += 1
            index = NAMES.index(name) % 2
            self.fleet.join(name, f'dc{index}', str(self.incarnation))

    @stateful.rule(name=INSTANCES)
    def leave(self, name: str) -> None:
        node = self.fleet.nodes.get(name)
        if node is None or node.paused or not node.platform_reachable:
            return
        for record in share_moves.close(node.planner, node.state):
            self.fleet.append(record)

    @stateful.rule()
    def resume_and_spend_everything(self) -> None:
        for name, node in self.fleet.nodes.items():
            if node.paused:
                self.fleet.resume(name)
        self.spend_everything()

    def teardown(self) -> None:
        if hasattr(self, 'fleet'):
            self.resume_and_spend_everything()
            self.within_limits()

    @stateful.invariant()
    def within_limits(self) -> None:
        if hasattr(self, 'fleet'):
            assert self.fleet.overspent() == 0


def settings(examples: int) -> hypothesis.settings:
    """Returns the settings of a deterministic run."""
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_limits_hold_under_random_faults() -> None:
    stateful.run_state_machine_as_test(SharesMachine, settings=settings(12))


def spend_everything(fleet: share_fleet.Fleet) -> int:
    """Lets each instance spend all its tokens; returns the excess."""
    for name, node in fleet.nodes.items():
        if node.paused:
            fleet.resume(name)
    for account, limits in ACCOUNTS.items():
        for name in fleet.nodes:
            for _ in range(2 * limits.burst):
                fleet.request(name, account)
    return fleet.overspent()


def borrow_ahead(fleet: share_fleet.Fleet) -> None:
    """An instance borrows ahead; then the lender's bucket refills."""
    for _ in range(41):
        fleet.request('a', 'large')
    fleet.run(fleet.now + 0.5)


def receive_loan_late(fleet: share_fleet.Fleet) -> None:
    """A loan arrives just before it ends at its lender."""
    fleet.delay_s = (0.01, 0.01)
    for _ in range(21):
        fleet.request('a', 'large')
    fleet.delay_s = (1.9, 1.9)
    fleet.run(fleet.now + 2.2)
    for name in 'bcd':
        fleet.request(name, 'large')
    fleet.run(fleet.now + 0.2)


def pause_beyond_lease(fleet: share_fleet.Fleet) -> None:
    """The others reclaim a paused instance's units before it resumes."""
    fleet.nodes['a'].paused = True
    fleet.run(fleet.now + 1.0)
    for _ in range(3):
        fleet.jump(share_state.LEASE_S * 0.4)
        fleet.run(fleet.now + 30.0)
    fleet.nodes['a'].platform_reachable = False


def collect_parts(fleet: share_fleet.Fleet) -> None:
    """The home of the small account borrows all its parts."""
    for _ in range(3):
        for name in fleet.nodes:
            fleet.request(name, 'small')
        fleet.run(fleet.now + 0.3)


def receive_parts_late(fleet: share_fleet.Fleet) -> None:
    """A home receives its parts after a pause and cannot renew the loans."""
    node = fleet.nodes['a']
    chosen = share_parts.find_home(
        node.state, fleet.clock(node), ACCOUNTS['small']
    )
    home = str(chosen).partition('#')[0]
    fleet.delay_s = (0.01, 0.01)
    for _ in range(2):
        fleet.request(home, 'small')
    fleet.nodes[home].paused = True
    fleet.run(fleet.now + 4.5)
    fleet.loss = 1.0
    fleet.resume(home)
    fleet.run(fleet.now + 6.0)
    for name in fleet.nodes:
        fleet.request(name, 'small')
    fleet.run(fleet.now + 0.3)


def close_a_part_lender(fleet: share_fleet.Fleet) -> None:
    """A holder closes while the home uses its part; another gets its units."""
    fleet.run(fleet.now + 20.0)
    collect_parts(fleet)
    node = fleet.nodes['d']
    for record in share_moves.close(node.planner, node.state):
        fleet.append(record)
    fleet.run(fleet.now + 6.5)


def cut_off_a_donor(fleet: share_fleet.Fleet) -> None:
    """A donor cannot read its own move from the stream."""
    fleet.join('e', 'dc0', '1')
    start = len(fleet.log)
    moves: list[messages.SharesMoved] = []
    while not moves:
        fleet.run(fleet.now + fleet.tick_s)
        for record in fleet.log[start:]:
            if isinstance(record, messages.SharesMoved):
                moves.append(record)
    donor = moves[0].donor.partition('#')[0]
    fleet.nodes[donor].platform_reachable = False
    fleet.run(fleet.now + 20.0)


def cut_off_a_holder(fleet: share_fleet.Fleet) -> None:
    """A holder keeps running without access to the stream and its peers."""
    fleet.nodes['a'].partition = 1
    fleet.nodes['a'].platform_reachable = False
    fleet.run(fleet.now + 30.0)


Patch: typing.TypeAlias = pytest.MonkeyPatch


def disable_lowered_cap(patch: Patch) -> None:
    def lend_tokens(
        shares: share_types.Shares,
        now: float,
        account: str,
        key: tuple[str, int],
        tokens: float,
    ) -> None:
        shares.buckets[account].tokens -= tokens

    patch.setattr(share_state, 'lend_tokens', lend_tokens)


def disable_lease_check(patch: Patch) -> None:
    patch.setattr(share_state, 'can_use_units', lambda shares, now: True)


def shorten_reclaim_wait(patch: Patch) -> None:
    def has_ended(
        shares: share_types.Shares, now: float, holder: share_ledger.Holder
    ) -> bool:
        return now >= shares.seen_renewals[holder.name].at_s + 25.0

    patch.setattr(share_moves, '_has_ended', has_ended)


def disable_lent_part(patch: Patch) -> None:
    def active_fraction(bucket: share_types.Bucket) -> float:
        units = sum(part.units for part in bucket.borrowed_parts.values())
        return (bucket.units + units) / share_ledger.UNITS

    patch.setattr(share_state, 'active_fraction', active_fraction)


def disable_gain_wait(patch: Patch) -> None:
    patch.setattr(share_state, 'GAIN_WAIT_S', 0.0)


def disable_donor_lowering(patch: Patch) -> None:
    patch.setattr(share_state, '_units_given_away', lambda shares, slot: 0)


def count_loan_from_answer(patch: Patch) -> None:
    patch.setattr(
        share_loans, '_loan_ends_s', lambda loan_request, now: now + 2.0
    )


def count_part_from_answer(patch: Patch) -> None:
    patch.setattr(
        share_parts, '_part_ends_s', lambda loan_request, now: now + 8.0
    )


Scenario: typing.TypeAlias = collections.abc.Callable[
    [share_fleet.Fleet], None
]
Mutation: typing.TypeAlias = collections.abc.Callable[[Patch], None]

SCENARIOS: typing.Final[list[tuple[Scenario, Mutation]]] = [
    (borrow_ahead, disable_lowered_cap),
    (receive_loan_late, count_loan_from_answer),
    (pause_beyond_lease, disable_lease_check),
    (cut_off_a_holder, shorten_reclaim_wait),
    (collect_parts, disable_lent_part),
    (receive_parts_late, count_part_from_answer),
    (close_a_part_lender, disable_gain_wait),
    (cut_off_a_donor, disable_donor_lowering),
]


@pytest.mark.parametrize(('scenario', 'mutate'), SCENARIOS)
def test_each_mechanism_is_needed(
    scenario: Scenario,
    mutate: Mutation,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    intact = make_fleet(1)
    scenario(intact)
    assert spend_everything(intact) == 0
    mutate(monkeypatch)
    faulty = make_fleet(1)
    scenario(faulty)
    assert spend_everything(faulty) > 0


def active_units_of(fleet: share_fleet.Fleet, name: str) -> int:
    """Returns the units that an instance has in use."""
    return sum(fleet.nodes[name].state.active_units.values())


def restart(fleet: share_fleet.Fleet) -> None:
    """An instance crashes and restarts at the same address."""
    del fleet.nodes['a']
    fleet.run(fleet.now + 1.0)
    fleet.join('a', 'dc0', '1')


def leave(fleet: share_fleet.Fleet) -> None:
    """An instance closes and is removed."""
    node = fleet.nodes['a']
    for record in share_moves.close(node.planner, node.state):
        fleet.append(record)
    fleet.run(fleet.now + 1.0)
    del fleet.nodes['a']


def lose_instance(fleet: share_fleet.Fleet) -> None:
    """An instance crashes and its lease expires."""
    del fleet.nodes['a']
    for _ in range(5):
        fleet.jump(share_state.LEASE_S * 0.3)
        fleet.run(fleet.now + 20.0)


def retire_instance(fleet: share_fleet.Fleet) -> None:
    """An instance crashes and an operator retires it."""
    del fleet.nodes['a']
    state = fleet.nodes['b'].state
    fleet.log.extend(share_moves.retire(state, 'a', 'operator'))


@pytest.mark.parametrize(
    'scenario', [restart, leave, lose_instance, retire_instance]
)
def test_units_of_departed_instances_are_reused(scenario: Scenario) -> None:
    fleet = make_fleet(1)
    scenario(fleet)
    fleet.run(fleet.now + 45.0)
    units = [active_units_of(fleet, name) for name in fleet.nodes]
    assert sum(units) == share_ledger.SLOTS * share_ledger.UNITS
    assert min(units) > 0
    assert spend_everything(fleet) == 0
