"""Random and enumerated runs of a simulated fleet under faults.

The invariants: a non-idempotent call is dispatched at most once, a call
that was reported not run has not run, calls run in order, a shard has at
most one holder at a time, budgets are not exceeded, and a call whose end
was acknowledged stays in its program's history.  It is not asserted yet
that every upstream that was used hears of a program's end.
"""

import itertools
import os
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from oleanderdrift import call_ends
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import ownership
from oleanderdrift import program_ends
from oleanderdrift import shard_manager
from tests import owner_fleet

EXAMPLES: typing.Final = int(os.environ.get('PROMISES_EXAMPLES', '60'))
STEPS: typing.Final = 40
RATES: typing.Final = {'x': 1.0, 'y': 0.98, 'z': 1.02}
UPSTREAMS: typing.Final = ('checks-fencing', 'plain')
PICK: typing.Final = strategies.integers(0, 99)
Items = typing.TypeVar('Items')


def pick(items: list[Items], choice: int) -> Items:
    return items[choice % len(items)]


class PromisesMachine(stateful.RuleBasedStateMachine):
    """Three instances, a faulty log, and callers that repeat calls.

    The fate of an append: a, it lands and is answered; l, it lands but
    the answer is lost; x, it fails and may land later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = owner_fleet.Fleet()
        self.programs: list[str] = []
        self.calls: list[messages.BeginCall] = []
        self.fenced: dict[str, int] = {}
        self.acknowledged: dict[str, int] = {}
        self.by_copies = False
        for name, rate in RATES.items():
            self.fleet.start(name, rate)
        for _ in range(3):
            self.fleet.run_nodes(self.fleet.nodes, log=True)
            self.fleet.now += owner_fleet.LEASE_S / 3
        self.programs += [self.fleet.create(n) for n in self.fleet.nodes]
        self.fleet.run_nodes(self.fleet.nodes, log=True)

    @stateful.rule(
        rounds=strategies.integers(1, 8),
        paused=strategies.sampled_from(['', *RATES]),
        log=strategies.booleans(),
        peers=strategies.booleans(),
    )
    def time_passes(
        self, rounds: int, paused: str, log: bool, peers: bool
    ) -> None:
        for _ in range(rounds):
            self.fleet.now += 2.0
            nodes = [n for n in self.fleet.nodes if n.name != paused]
            self.fleet.run_nodes(nodes, log=log, peers=peers)

    @stateful.rule(by_copies=strategies.booleans())
    def ends_are_acknowledged(self, by_copies: bool) -> None:
        self.by_copies = by_copies

    @stateful.rule(choice=PICK)
    def one_node_steps(self, choice: int) -> None:
        self.fleet.step(pick(self.fleet.nodes, choice))

    @stateful.rule(choice=PICK)
    def one_node_reads(self, choice: int) -> None:
        self.fleet.read(pick(self.fleet.nodes, choice))

    @stateful.precondition(lambda self: self.fleet.appends)
    @stateful.rule(choice=PICK, fate=strategies.sampled_from('alx'))
    def an_append_ends(self, choice: int, fate: str) -> None:
        one = pick(self.fleet.appends, choice)
        if fate == 'x':
            self.fleet.fail_append(one)
        else:
            self.fleet.land_append(one, answered=fate == 'a')

    @stateful.precondition(lambda self: self.fleet.late_appends)
    @stateful.rule(choice=PICK)
    def a_late_append_lands(self, choice: int) -> None:
        self.fleet.land_late_append(pick(self.fleet.late_appends, choice))

    @stateful.rule(choice=PICK)
    def an_instance_is_killed(self, choice: int) -> None:
        self.fleet.kill(pick(self.fleet.nodes, choice))

    @stateful.rule(choice=PICK)
    def a_program_starts(self, choice: int) -> None:
        node = pick(self.fleet.nodes, choice)
        self.programs.append(self.fleet.create(node))

    @stateful.rule(
        choice=PICK,
        owner=PICK,
        tool=strategies.booleans(),
        up=PICK,
        stages=strategies.integers(0, 3),
        log=strategies.booleans(),
    )
    def a_call_comes(
        self,
        choice: int,
        owner: int,
        tool: bool,
        up: int,
        stages: int,
        log: bool,
    ) -> None:
        message = self.new_call(pick(self.programs, choice), tool)
        self.ask(message, owner, up, stages, log)

    def new_call(self, program: str, tool: bool) -> messages.BeginCall:
        message = messages.BeginCall(
            program=program,
            client_account=owner_fleet.ACCOUNT,
            call=0,
            idempotency_key=f'k{len(self.calls)}',
            body_digest=b'body',
            idempotent=not tool,
            estimated_tokens=0 if tool else 9,
        )
        self.calls.append(message)
        return message

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        choice=PICK, owner=PICK, up=PICK, stages=strategies.integers(0, 3)
    )
    def a_call_is_repeated(
        self, choice: int, owner: int, up: int, stages: int
    ) -> None:
        # Repeats of recent calls are the most likely to find faults.
        message = pick(self.calls[-4:], choice)
        self.ask(message, owner, up, stages, log=True)

    def ask(
        self,
        message: messages.BeginCall,
        owner: int,
        up: int,
        stages: int,
        log: bool,
    ) -> None:
        shard = ledger_lib.shard_of(message.program)
        holders = [
            node
            for node in self.fleet.nodes
            if shard
            in shard_manager.served_shards(
                node.manager, self.fleet.clock(node)
            )
        ]
        if owner % 4 == 0 or not holders:
            holders = self.fleet.nodes
        node = pick(holders, owner)
        before = len(self.fleet.admitted)
        self.fleet.begin(node, message, pick(list(UPSTREAMS), up))
        for op in self.fleet.admitted[before:]:
            for _ in range(stages):
                self.fleet.run_nodes([node], log=log)
                self.advance(op, gives_up=False)

    @stateful.rule(
        choice=PICK,
        up=PICK,
        tool=strategies.booleans(),
        stages=strategies.integers(0, 3),
        cut=strategies.booleans(),
        rounds=strategies.integers(0, 10),
        land_at=strategies.integers(-1, 10),
        answered=strategies.booleans(),
        read_at=strategies.integers(-1, 10),
        wake=strategies.sampled_from(['goes on', 'reads', 'dies']),
        again=PICK,
    )
    def an_owner_is_away(
        self,
        choice: int,
        up: int,
        tool: bool,
        stages: int,
        cut: bool,
        rounds: int,
        land_at: int,
        answered: bool,
        read_at: int,
        wake: str,
        again: int,
    ) -> None:
        """Pauses an owner, or cuts it off from the log, during a call.

        With cut, the owner is cut off from the log for some rounds before
        the call.  stages is how far the call gets before the pause, rounds
        the length of the pause.  In round land_at, the owner's appends
        land; in round read_at, the owner reads the fleet stream.  wake is
        what the owner does after the pause.  The call is repeated during
        the pause and, unless the owner just goes on, again afterwards.
        """
        fleet = self.fleet
        node = pick(fleet.nodes, choice)
        others = [one for one in fleet.nodes if one is not node]
        for _ in range(rounds if cut else 0):
            fleet.now += 2.0
            fleet.run_nodes([node], log=False)
            fleet.run_nodes(others, log=True)
        before = len(fleet.admitted)
        message = self.new_call(pick(self.held_by(node), choice), tool)
        fleet.begin(node, message, pick(list(UPSTREAMS), up))
        opened = fleet.admitted[before:]
        for op in opened * stages:
            fleet.run_nodes([node], log=not cut)
            self.advance(op, gives_up=False)
        # The pause begins while a lease renewal is in progress.
        fleet.now += owner_fleet.LEASE_S / 2
        fleet.step(node)
        for number in range(rounds):
            fleet.now += 2.0
            for one in others:
                fleet.read(one)
                fleet.step(one)
            mine = [one for one in fleet.appends if one.node is node]
            for append in mine if number == land_at else []:
                fleet.land_append(append, answered=answered)
            if number == read_at:
                fleet.read(node)
            self.one_holder_at_a_time()
            fleet.run_nodes(others, log=True)
        self.ask(message, again, up, 3, log=True)
        if wake == 'dies':
            fleet.kill(node)
        elif wake == 'reads':
            fleet.read(node)
        for op in opened * 3:
            self.advance(op, gives_up=False)
        if wake != 'goes on':
            for _ in range(rounds):
                fleet.now += 2.0
                fleet.run_nodes(fleet.nodes, log=True)
            self.ask(message, again, up, 3, log=True)

    def held_by(self, node: owner_fleet.Node) -> list[str]:
        """Returns the two newest programs of a node, or all of the fleet's.

        The latter only if the node's ledger holds none.
        """
        held = [
            program
            for program in self.programs
            if ledger_lib.find(node.manager.ledger, program) is not None
        ]
        return held[-2:] or self.programs

    @stateful.precondition(lambda self: self.fleet.admitted)
    @stateful.rule(choice=PICK, gives_up=strategies.booleans())
    def a_call_goes_on(self, choice: int, gives_up: bool) -> None:
        self.advance(pick(self.fleet.admitted, choice), gives_up=gives_up)

    def advance(self, op: owner_fleet.AdmittedCall, *, gives_up: bool) -> None:
        if op not in self.fleet.admitted:
            return
        if op.state == owner_fleet.COMMIT:
            self.commit(op, gives_up)
        elif op.state == owner_fleet.READY:
            self.dispatch(op)
        else:
            ran = codes.Execution.RAN
            self.end(op, codes.Execution.UNKNOWN if gives_up else ran)

    def commit(self, op: owner_fleet.AdmittedCall, gives_up: bool) -> None:
        node = op.node
        shard = ledger_lib.shard_of(op.grant.program)
        now = self.fleet.clock(node)
        if op.must_commit and node.committed < op.needed_writes:
            if not ownership.may_dispatch_unrecorded(
                node.manager.fleet, now, shard
            ):
                if gives_up:
                    self.give_up(op)
                return
            ownership.note_unrecorded(node.manager.fleet)
            self.fleet.unrecorded.add(op.grant.program)
        try:
            shard_manager.epoch_of(node.manager, now, shard)
        except errors.ResultError:
            self.give_up(op)
            return
        op.state = owner_fleet.READY

    def give_up(self, op: owner_fleet.AdmittedCall) -> None:
        """Ends a call before its dispatch.

        Without the lease, the caller is not told that it has not run.
        """
        node = op.node
        shard = ledger_lib.shard_of(op.grant.program)
        if shard in shard_manager.served_shards(
            node.manager, self.fleet.clock(node)
        ):
            self.fleet.note_not_run(op.begin)
        self.end(op, codes.Execution.NOT_RUN)

    def dispatch(self, op: owner_fleet.AdmittedCall) -> None:
        fleet, grant, key = self.fleet, op.grant, op.begin.idempotency_key
        if op.upstream == 'checks-fencing':
            shard = ledger_lib.shard_of(grant.program)
            if grant.fencing_token < self.fenced.get(shard, 0):
                self.fleet.note_not_run(op.begin)
                self.end(op, codes.Execution.NOT_RUN)
                return
            self.fenced[shard] = grant.fencing_token
            place = (grant.fencing_token, grant.call)
            assert place >= fleet.newest_dispatch.get(grant.program, (0, 0))
            fleet.newest_dispatch[grant.program] = place
        op.state = owner_fleet.SENT
        fleet.run_counts[key] += 1
        fleet.used.setdefault(grant.program, set()).add(op.upstream)
        if not op.begin.idempotent:
            assert fleet.run_counts[key] == 1, 'ran twice'
            assert op.serial > fleet.not_run.get(key, 0), 'not run, but ran'

    def end(
        self, op: owner_fleet.AdmittedCall, execution: codes.Execution
    ) -> None:
        self.fleet.admitted.remove(op)
        grant = op.grant
        decision = call_ends.end(
            op.node.manager.ledger,
            self.fleet.now,
            messages.EndCall(
                program=grant.program,
                call=grant.call,
                attempt=grant.attempt,
                fencing_token=grant.fencing_token,
                execution=execution,
                status=200,
                tokens=0 if execution is codes.Execution.NOT_RUN else 9,
                upstream=op.upstream,
                service_s=0.1,
            ),
        )
        self.record_decision(op.node, decision)
        if execution is codes.Execution.RAN:
            self.acknowledge(op)

    def acknowledge(self, op: owner_fleet.AdmittedCall) -> None:
        """Acknowledges the end of a call to its caller.

        It is durable then or, with by_copies, copied to all successors.
        """
        node, program = op.node, op.grant.program
        if self.by_copies:
            if self.fleet.copy(node, ledger_lib.shard_of(program)):
                self.acknowledged[program] = op.grant.call
            return
        self.fleet.flush(node)
        for one in [a for a in self.fleet.appends if a.node is node]:
            self.fleet.land_append(one, answered=True)
        shard = ledger_lib.shard_of(program)
        now = self.fleet.clock(node)
        if (
            node.committed == node.written
            and shard in shard_manager.served_shards(node.manager, now)
        ):
            self.acknowledged[program] = op.grant.call

    def record_decision(
        self, node: owner_fleet.Node, decision: decisions.Decision
    ) -> None:
        node.write(decision)
        for one in decision.releases:
            released = self.fleet.released.setdefault(one.program, set())
            released.add(one.upstream)

    @stateful.precondition(lambda self: len(self.programs) > 3)
    @stateful.rule(choice=PICK, owner=PICK)
    def a_program_ends(self, choice: int, owner: int) -> None:
        node = pick(self.fleet.nodes, owner)
        program = pick(self.programs, choice)
        now = self.fleet.clock(node)
        if ledger_lib.shard_of(program) in shard_manager.served_shards(
            node.manager, now
        ):
            message = messages.EndProgram(
                program=program, client_account=owner_fleet.ACCOUNT
            )
            decision = program_ends.finish(
                node.manager.ledger, self.fleet.now, message
            )
            self.record_decision(node, decision)

    @stateful.invariant()
    def one_holder_at_a_time(self) -> None:
        seen: set[str] = set()
        for node in self.fleet.nodes:
            now = self.fleet.clock(node)
            served = shard_manager.served_shards(node.manager, now)
            assert not served & seen, 'two holders'
            seen |= served

    @stateful.invariant()
    def no_history_is_lost(self) -> None:
        for node in self.fleet.nodes:
            for name in shard_manager.served_shards(
                node.manager, self.fleet.clock(node)
            ):
                for program, acknowledged in self.acknowledged.items():
                    if ledger_lib.shard_of(program) == name:
                        self.check_acknowledged(node, program, acknowledged)

    def check_acknowledged(
        self, node: owner_fleet.Node, program: str, acknowledged: int
    ) -> None:
        found = ledger_lib.find(node.manager.ledger, program)
        if found is None:
            ended = ledger_lib.was_minted(node.manager.ledger, program)
            assert ended, 'program lost'
        else:
            assert found.next_call > acknowledged, 'history lost'

    @stateful.invariant()
    def the_budget_holds(self) -> None:
        for node in self.fleet.nodes:
            for shard in node.manager.ledger.shards.values():
                for program in shard.programs.values():
                    budget = program.budget
                    calls = budget.calls + budget.open_calls
                    tokens = budget.tokens + budget.reserved_tokens
                    assert calls <= budget.max_calls
                    assert tokens <= budget.max_tokens


SCENES: typing.Final = list(
    itertools.product(
        (True, False),
        range(4),
        (False, True),
        (3, 8),
        (-1, 1, 2, 3, 7),
        (False, True),
        (-1, 3, 5),
        ('goes on', 'reads', 'dies'),
    )
)


@pytest.mark.parametrize('part', range(4))
def test_owner_paused_or_cut_off(part: int) -> None:
    stride = int(os.environ.get('PROMISES_STRIDE', '8'))
    for scene in SCENES[part::4][::stride]:
        tool, stages, cut, rounds, land_at, answered, read_at, wake = scene
        machine = PromisesMachine()
        machine.an_owner_is_away(
            choice=part % 3,
            up=1,
            tool=tool,
            stages=stages,
            cut=cut,
            rounds=rounds,
            land_at=land_at,
            answered=answered,
            read_at=read_at,
            wake=wake,
            again=1,
        )
        machine.one_holder_at_a_time()
        machine.no_history_is_lost()


@pytest.mark.parametrize('failing_rounds', [0, 6, 12])
@pytest.mark.parametrize('renews', [False, True])
def test_takeover_finds_what_was_acknowledged_by_copies(
    renews: bool, failing_rounds: int
) -> None:
    """The batches of all others fail for some rounds after the kill."""
    machine = PromisesMachine()
    fleet = machine.fleet
    owner = fleet.nodes[0]
    program = machine.programs[0]
    message = machine.new_call(program, tool=False)
    fleet.begin(owner, message, 'plain')
    (op,) = fleet.admitted
    op.state = owner_fleet.SENT
    machine.ends_are_acknowledged(by_copies=True)
    machine.advance(op, gives_up=False)
    assert machine.acknowledged == {program: op.grant.call}
    if renews:
        # The log takes what an owner sends, but not its batches.
        fleet.now += owner_fleet.LEASE_S / 2
        run_without_batches(fleet, owner)
    fleet.kill(owner)
    for number in range(20):
        fleet.now += 2.0
        for node in fleet.nodes:
            if number < failing_rounds:
                run_without_batches(fleet, node)
            else:
                fleet.run_nodes([node], log=True)
            machine.no_history_is_lost()
    assert any(
        ledger_lib.find(node.manager.ledger, program) is not None
        for node in fleet.nodes
    )


def run_without_batches(
    fleet: owner_fleet.Fleet, node: owner_fleet.Node
) -> None:
    """Runs a round of a node whose batches fail."""
    fleet.read(node)
    fleet.step(node)
    for append in [one for one in fleet.appends if one.node is node]:
        if isinstance(append.record, messages.Batch):
            fleet.fail_append(append)
        else:
            fleet.land_append(append, answered=True)
    fleet.read(node)


PromisesTest = PromisesMachine.TestCase
PromisesTest.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize='PROMISES_EXAMPLES' not in os.environ,
    database=None,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
