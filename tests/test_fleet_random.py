"""A randomised run on real processes: faults of all kinds under load.

Long; `make long` runs it.  FLEET_SEED and FLEET_SECONDS choose the run.
"""

import collections
import concurrent.futures
import os
import random
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
FAULT_S: typing.Final = (1.0, 6.0)
BACK_OFF_S: typing.Final = (0.1, 0.6)
TRIES: typing.Final = 40
NOT_TO_BE_REPEATED: typing.Final = {
    codes.OUTCOME_UNKNOWN.number,
    codes.ALREADY_RAN.number,
    codes.UNKNOWN_PROGRAM.number,
    codes.PROGRAM_ENDED.number,
}


@attrs.define(kw_only=True)
class Caller:
    """A caller with programs of its own; counted names what it met."""

    running: fleet_state.Fleet
    chance: random.Random
    ledger: fleet_support.DispatchLedger
    programs: list[client.Program] = attrs.field(factory=list)
    counted: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    wrong: list[str] = attrs.field(factory=list)

    def node(self) -> fleet_state.Node:
        """Returns an instance as a balancer would."""
        return self.chance.choice(list(self.running.nodes.values()))

    def back_off(self) -> None:
        """Waits before a repeat, as callers do."""
        time.sleep(self.chance.uniform(*BACK_OFF_S))

    def run(self, until: float) -> None:
        """Runs programs one after the other."""
        while time.monotonic() < until:
            try:
                program = fleet_support.start_program(self.node())
            except (RuntimeError, OSError):
                self.counted['not started'] += 1
                continue
            self.programs.append(program)
            self.counted['started'] += 1
            if all(self.turn(program, number) for number in range(TURNS)):
                self.counted['finished'] += 1

    def turn(self, program: client.Program, number: int) -> bool:
        """Makes a model call and a dispatch; returns whether to go on."""
        question = f'{program.program_id} turn {number}'
        if not self.ask(program, question):
            return False
        return self.dispatch(program, fleet_support.new_key())

    def ask(self, program: client.Program, question: str) -> bool:
        """Repeats a model call until it is answered or cannot be."""
        key = fleet_support.new_key()
        for _ in range(TRIES):
            stream = fleet_support.ask(
                self.node(), program, question, idempotency_key=key
            )
            if stream.finished:
                if not client.is_correct_answer(stream, question, 8):
                    self.wrong.append(f'{question}: {stream.text}')
                return True
            self.counted[f'ask {stream.code}'] += 1
            if stream.code in NOT_TO_BE_REPEATED:
                return False
            self.back_off()
        self.counted['ask given up'] += 1
        return False

    def dispatch(self, program: client.Program, key: str) -> bool:
        """Repeats a dispatch until its outcome is final."""
        call = program.calls + 1
        for _ in range(TRIES):
            answer = self.ledger.dispatch(self.node().url, program, key, call)
            if answer is not None and answer.status == 200:
                return True
            code = answer.code if answer else -1
            self.counted[f'dispatch {code}'] += 1
            if code in NOT_TO_BE_REPEATED:
                return False
            self.back_off()
        self.counted['dispatch given up'] += 1
        return False


def kill(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Kills an instance and replaces it after a while."""
    node = chance.choice(list(running.nodes.values()))
    node.running.kill()
    time.sleep(chance.uniform(*FAULT_S))
    fleet.start_node(running, node)


def freeze(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Freezes an instance and thaws it."""
    process = chance.choice(list(running.nodes.values())).running
    process.freeze()
    time.sleep(chance.uniform(*FAULT_S))
    process.thaw()


def cut(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Cuts a data centre off for a while."""
    fleet.cut_off(running, chance.choice(running.plan.data_centres))
    time.sleep(chance.uniform(*FAULT_S))
    fleet.set_cut(running, [])


def silence_log(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Silences the log's open connections and loses answers."""
    processes.set_switches(
        running.log, silent=True, lose_answer=chance.randrange(20)
    )


def stop_log(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Stops the log for a while."""
    processes.set_switches(
        running.log, outage=chance.choice(['refuse', 'hang'])
    )
    time.sleep(chance.uniform(*FAULT_S))
    processes.set_switches(running.log, outage='')


def cut_streams(running: fleet_state.Fleet, chance: random.Random) -> None:
    """Makes an engine cut streams and a tool lose answers."""
    engine = chance.choice(running.of_kind('engine'))
    processes.set_switches(engine, fail_after_tokens=3, fail_streams=5)
    tool = chance.choice(running.of_kind('tool'))
    processes.set_switches(tool, fail_before=2, fail_after=2)


FAULTS: typing.Final = (kill, freeze, cut, silence_log, stop_log, cut_streams)


def throw_faults(
    running: fleet_state.Fleet, chance: random.Random, until: float
) -> list[str]:
    """Throws one fault after the other; returns their names."""
    thrown = []
    while time.monotonic() < until:
        fault = chance.choice(FAULTS)
        thrown.append(fault.__name__)
        fault(running, chance)
    return thrown


@pytest.mark.long
def test_promises_hold_under_random_faults(nine: fleet_state.Fleet) -> None:
    print(f'FLEET_SEED={SEED} FLEET_SECONDS={RUN_S}')
    chance = random.Random(SEED)
    ledger = fleet_support.DispatchLedger()
    callers = [
        Caller(
            running=nine,
            chance=random.Random(f'{SEED} {number}'),
            ledger=ledger,
        )
        for number in range(CALLERS)
    ]
    until = time.monotonic() + RUN_S
    with concurrent.futures.ThreadPoolExecutor(CALLERS + 2) as pool:
        faults = [
            pool.submit(throw_faults, nine, random.Random(seed), until)
            for seed in (chance.random(), chance.random())
        ]
        work = [pool.submit(caller.run, until) for caller in callers]
        concurrent.futures.wait(work)
        thrown = [fault.result() for fault in faults]
        for future in work:
            future.result()
    mend(nine)
    counted = sum(
        (caller.counted for caller in callers), collections.Counter()
    )
    print(thrown)
    print(sorted(counted.items()))
    ledger.check(fleet_support.count_runs(nine))
    assert not [text for caller in callers for text in caller.wrong]
    assert counted['finished'] > 0
    assert not lost_histories(
        nine, [one for caller in callers for one in caller.programs]
    )


def lost_histories(
    running: fleet_state.Fleet, programs: list[client.Program]
) -> list[str]:
    """Returns the programs whose answers are not all in the log."""
    lost = []
    for program in programs:
        try:
            fleet_support.check_history_begins(running, program)
        except AssertionError:
            found = fleet_support.recorded_messages(running, program)
            counts = f'{len(found)} of {len(program.messages)} messages'
            lost.append(f'{program.program_id}: {counts}')
    return lost


def mend(running: fleet_state.Fleet) -> None:
    """Ends every fault and waits for the instances."""
    fleet.set_cut(running, [])
    processes.set_switches(running.log, outage='', lose_answer=0)
    for node in running.nodes.values():
        node.running.thaw()
        processes.await_health(node.running, fleet.HEALTH_PATH)
