"""Tests a fleet of real processes under load and random faults.

Run by `make long`.  FLEET_SEED sets the random seed, FLEET_SECONDS the
duration.
"""

import collections
import concurrent.futures
import contextlib
import os
import random
import threading
import time
import typing

import attrs
import pytest

from oleanderdrift import codes
from standins import client
from standins import fleet
from standins import fleet_state
from standins import processes
from tests import fleet_support

SEED: typing.Final = int(os.environ.get('FLEET_SEED', '1'))
RUN_S: typing.Final = float(os.environ.get('FLEET_SECONDS', '60'))
CALLERS: typing.Final = 12
TURNS: typing.Final = 4
FAULT_DURATION_S: typing.Final = (1.0, 6.0)
BACKOFF_S: typing.Final = (0.1, 0.6)
MAX_ATTEMPTS: typing.Final = 40
NOT_RETRYABLE: typing.Final = {
    codes.OUTCOME_UNKNOWN.number,
    codes.ALREADY_RAN.number,
    codes.UNKNOWN_PROGRAM.number,
    codes.PROGRAM_ENDED.number,
}


@attrs.define(kw_only=True)
class Caller:
    """A caller that runs programs of its own.

    outcomes counts program results and error codes; wrong_answers lists
    the completed model calls with an incorrect text.
    """

    running: fleet_state.Fleet
    rng: random.Random
    ledger: fleet_support.DispatchLedger
    programs: list[client.Program] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    wrong_answers: list[str] = attrs.field(factory=list)

    def node(self) -> fleet_state.Node:
        """Returns a random instance, as a load balancer would."""
        return self.rng.choice(list(self.running.nodes.values()))

    def back_off(self) -> None:
        """Sleeps for a random time before a retry."""
        time.sleep(self.rng.uniform(*BACKOFF_S))

    def run(self, until: float) -> None:
        """Runs programs one after the other until a monotonic time."""
        while time.monotonic() < until:
            try:
                program = fleet_support.start_program(self.node())
            except (RuntimeError, OSError):
                self.outcomes['not started'] += 1
                continue
            self.programs.append(program)
            self.outcomes['started'] += 1
            if all(self.turn(program, number) for number in range(TURNS)):
                self.outcomes['finished'] += 1

    def turn(self, program: client.Program, number: int) -> bool:
        """Makes a model call and a dispatch; returns whether both worked."""
        question = f'{program.program_id} turn {number}'
        if not self.ask(program, question):
            return False
        return self.dispatch(program, fleet_support.new_key())

    def ask(self, program: client.Program, question: str) -> bool:
        """Retries a model call; returns whether it was answered."""
        key = fleet_support.new_key()
        for _ in range(MAX_ATTEMPTS):
            stream = fleet_support.ask(
                self.node(), program, question, idempotency_key=key
            )
            if stream.finished:
                if not client.is_correct_answer(stream, question, 8):
                    self.wrong_answers.append(f'{question}: {stream.text}')
                return True
            self.outcomes[f'ask {stream.code}'] += 1
            if stream.code in NOT_RETRYABLE:
                return False
            self.back_off()
        self.outcomes['ask given up'] += 1
        return False

    def dispatch(self, program: client.Program, key: str) -> bool:
        """Retries a dispatch until its outcome is final.

        Returns whether it succeeded.
        """
        call = program.calls + 1
        for _ in range(MAX_ATTEMPTS):
            reply = self.ledger.dispatch(self.node().url, program, key, call)
            if reply is not None and reply.status == 200:
                return True
            code = reply.code if reply else -1
            self.outcomes[f'dispatch {code}'] += 1
            if code in NOT_RETRYABLE:
                return False
            self.back_off()
        self.outcomes['dispatch given up'] += 1
        return False


CLAIMED_NODES: typing.Final[set[str]] = set()
CLAIM_LOCK: typing.Final = threading.Lock()


@contextlib.contextmanager
def claimed_node(
    running: fleet_state.Fleet, rng: random.Random
) -> typing.Iterator[fleet_state.Node]:
    """Chooses a node that no other injector kills or freezes meanwhile.

    A process that has been killed can be neither frozen nor thawed.
    """
    with CLAIM_LOCK:
        name = rng.choice(
            [one for one in running.nodes if one not in CLAIMED_NODES]
        )
        CLAIMED_NODES.add(name)
    try:
        yield running.nodes[name]
    finally:
        CLAIMED_NODES.discard(name)


def kill(running: fleet_state.Fleet, rng: random.Random) -> None:
    """Kills an instance and restarts it after a random time."""
    with claimed_node(running, rng) as node:
        node.running.kill()
        time.sleep(rng.uniform(*FAULT_DURATION_S))
        fleet.start_node(running, node)


def freeze(running: fleet_state.Fleet, rng: random.Random) -> None:
    """Suspends an instance (SIGSTOP) for a random time."""
    with claimed_node(running, rng) as node:
        node.running.freeze()
        time.sleep(rng.uniform(*FAULT_DURATION_S))
        node.running.thaw()


def isolate_data_centre(
    running: fleet_state.Fleet, rng: random.Random
) -> None:
    """Cuts a data centre from the others and the platform for a while."""
    fleet.cut_off(running, rng.choice(running.plan.data_centres))
    time.sleep(rng.uniform(*FAULT_DURATION_S))
    fleet.set_cut(running, [])


def break_log_connections(
    running: fleet_state.Fleet, rng: random.Random
) -> None:
    """Silences the open connections of the log and drops append responses."""
    processes.set_switches(
        running.log, silent=True, lose_answer=rng.randrange(20)
    )


def stop_log(running: fleet_state.Fleet, rng: random.Random) -> None:
    """Makes the log refuse or hang requests for a random time."""
    processes.set_switches(running.log, outage=rng.choice(['refuse', 'hang']))
    time.sleep(rng.uniform(*FAULT_DURATION_S))
    processes.set_switches(running.log, outage='')


def fail_upstreams(running: fleet_state.Fleet, rng: random.Random) -> None:
    """Makes an engine break off streams and a tool drop connections."""
    engine = rng.choice(running.of_kind('engine'))
    processes.set_switches(engine, fail_after_tokens=3, fail_streams=5)
    tool = rng.choice(running.of_kind('tool'))
    processes.set_switches(tool, fail_before=2, fail_after=2)


FAULTS: typing.Final = (
    kill,
    freeze,
    isolate_data_centre,
    break_log_connections,
    stop_log,
    fail_upstreams,
)


def inject_faults(
    running: fleet_state.Fleet, rng: random.Random, until: float
) -> list[str]:
    """Injects random faults one after the other; returns their names."""
    injected = []
    while time.monotonic() < until:
        fault = rng.choice(FAULTS)
        injected.append(fault.__name__)
        fault(running, rng)
    return injected


@pytest.mark.long
def test_promises_hold_under_random_faults(nine: fleet_state.Fleet) -> None:
    print(f'FLEET_SEED={SEED} FLEET_SECONDS={RUN_S}')
    rng = random.Random(SEED)
    ledger = fleet_support.DispatchLedger()
    callers = [
        Caller(
            running=nine,
            rng=random.Random(f'{SEED} {number}'),
            ledger=ledger,
        )
        for number in range(CALLERS)
    ]
    until = time.monotonic() + RUN_S
    with concurrent.futures.ThreadPoolExecutor(CALLERS + 2) as pool:
        injectors = [
            pool.submit(inject_faults, nine, random.Random(seed), until)
            for seed in (rng.random(), rng.random())
        ]
        work = [pool.submit(caller.run, until) for caller in callers]
        concurrent.futures.wait(work)
        injected = [injector.result() for injector in injectors]
        for future in work:
            future.result()
    clear_faults(nine)
    outcomes = sum(
        (caller.outcomes for caller in callers), collections.Counter()
    )
    print(injected)
    print(sorted(outcomes.items()))
    ledger.check(fleet_support.count_runs(nine))
    assert not [text for caller in callers for text in caller.wrong_answers]
    assert outcomes['finished'] > 0
    assert not lost_histories(
        nine, [program for caller in callers for program in caller.programs]
    )


def lost_histories(
    running: fleet_state.Fleet, programs: list[client.Program]
) -> list[str]:
    """Describes the programs whose history is not fully in the log."""
    lost = []
    for program in programs:
        try:
            fleet_support.check_history_prefix(running, program)
        except AssertionError:
            recorded = fleet_support.recorded_messages(running, program)
            counts = f'{len(recorded)} of {len(program.messages)} messages'
            lost.append(f'{program.program_id}: {counts}')
    return lost


def clear_faults(running: fleet_state.Fleet) -> None:
    """Clears every fault and waits until all instances are healthy."""
    fleet.set_cut(running, [])
    processes.set_switches(running.log, outage='', lose_answer=0)
    for node in running.nodes.values():
        node.running.thaw()
        processes.await_health(node.running, fleet.HEALTH_PATH)
