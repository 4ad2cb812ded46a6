"""Proofs on real processes: owners that die, pause or lose the log."""

import concurrent.futures
import signal
import threading

import attrs
import pytest

from oleanderdrift import codes
from standins import client
from standins import demo_config
from standins import fleet
from standins import fleet_state
from standins import processes
from tests import fleet_support

TOKENS = 400


def tool_runs(running: fleet_state.Fleet, key: str) -> bool:
    """Returns whether a tool stand-in has run the dispatch."""
    return fleet_support.runs(running)[key] > 0


@pytest.fixture
def pool() -> concurrent.futures.ThreadPoolExecutor:
    """Returns threads for callers that wait."""
    return concurrent.futures.ThreadPoolExecutor(16)


def test_programs_move_between_instances(nine: fleet_state.Fleet) -> None:
    ledger = fleet_support.Ledger()
    program = fleet_support.start_program(nine.nodes['north-1'])
    for number, node in enumerate(nine.nodes.values()):
        fleet_support.ask_until_answered(node, program, f'question {number}')
    key = fleet_support.new_key()
    answer = ledger.dispatch(nine.nodes['east-1'].url, program, key)
    assert answer is not None and answer.status == 200, answer
    again = ledger.dispatch(
        nine.nodes['south-2'].url, program, key, program.calls
    )
    assert again is not None and again.execution == 'ran', again
    ledger.check(fleet_support.runs(nine))
    fleet_support.check_history(nine, program)


def test_history_of_another_program_is_refused(
    nine: fleet_state.Fleet,
) -> None:
    node = nine.nodes['north-2']
    program = fleet_support.start_program(node)
    fleet_support.ask_until_answered(node, program, 'first')
    foreign = [{'role': 'user', 'content': 'other'}]
    foreign.append({'role': 'assistant', 'content': 'words'})
    mixed = client.Program(
        program_id=program.program_id,
        key=program.key,
        class_name=program.class_name,
        calls=program.calls,
        messages=foreign,
    )
    stream = fleet_support.ask(node, mixed, 'second')
    assert not stream.finished
    assert stream.code == codes.HISTORY_MISMATCH.number
    stranger = client.Program(
        program_id=program.program_id,
        key=demo_config.caller_key('school'),
        class_name=program.class_name,
    )
    stream = fleet_support.ask(node, stranger, 'mine?')
    assert stream.code == codes.UNKNOWN_PROGRAM.number
    fleet_support.check_history(nine, program)


def test_owner_killed_in_mid_stream(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['north-1'], nine.nodes['north-2']
    program = fleet_support.start_program(owner)
    fleet_support.ask_until_answered(owner, program, 'before')
    begun = threading.Event()
    streams = [
        pool.submit(
            fleet_support.ask,
            node,
            client.Program(
                program_id=one.program_id, key=one.key, class_name='planning'
            ),
            'in mid-stream',
            TOKENS,
            lambda token: begun.set(),
        )
        for node in (owner, other)
        for one in [fleet_support.start_program(owner)]
    ]
    assert begun.wait(10)
    owner.running.kill()
    try:
        for future in streams:
            stream = future.result()
            whole = client.is_correct_answer(stream, 'in mid-stream', TOKENS)
            assert whole or stream.error, stream
        fleet_support.ask_until_answered(other, program, 'after')
        fleet_support.check_history(nine, program)
    finally:
        fleet_support.restart(nine, owner)


def test_dispatch_under_way_when_owner_is_killed(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['east-1'], nine.nodes['east-2']
    ledger = fleet_support.Ledger()
    programs = [fleet_support.start_program(owner) for _ in range(4)]
    keys = [fleet_support.new_key() for _ in programs]
    for tool in nine.of_kind('tool'):
        processes.set_switches(tool, delay_s=2.0)
    try:
        calls = [
            pool.submit(ledger.dispatch, node.url, program, key)
            for node, program, key in zip(
                [owner, other, owner, other], programs, keys, strict=True
            )
        ]
        fleet_support.wait_until(
            lambda: all(tool_runs(nine, key) for key in keys), 10
        )
        owner.running.kill()
        concurrent.futures.wait(calls)
        for program, key in zip(programs, keys, strict=True):
            fleet_support.repeat_until_known(ledger, other, program, key, 1)
        ledger.check(fleet_support.runs(nine))
    finally:
        for tool in nine.of_kind('tool'):
            processes.set_switches(tool, delay_s=0.0)
        fleet_support.restart(nine, owner)


def test_owner_frozen_past_its_lease(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['south-1'], nine.nodes['south-2']
    ledger = fleet_support.Ledger()
    programs = [fleet_support.start_program(owner) for _ in range(8)]
    for program in programs:
        fleet_support.ask_until_answered(owner, program, 'before')
    keys = [fleet_support.new_key() for _ in programs]
    owner.running.freeze()
    try:
        calls = [
            pool.submit(ledger.dispatch, owner.url, program, key)
            for program, key in zip(programs, keys, strict=True)
        ]
        for program, key in zip(programs, keys, strict=True):
            fleet_support.repeat_until_known(ledger, other, program, key, 2)
    finally:
        owner.running.signal(signal.SIGCONT)
    concurrent.futures.wait(calls)
    for program, key in zip(programs, keys, strict=True):
        ledger.dispatch(owner.url, program, key, 2)
    ledger.check(fleet_support.runs(nine))
    for program in programs:
        fleet_support.ask_until_answered(owner, program, 'thawed')


def test_thawed_owner_without_the_log_serves_nothing(
    nine: fleet_state.Fleet,
) -> None:
    owner, other = nine.nodes['south-1'], nine.nodes['south-2']
    ledger = fleet_support.Ledger()
    program = fleet_support.start_program(owner)
    fleet_support.ask_until_answered(owner, program, 'before')
    stale = attrs.evolve(program, messages=list(program.messages))
    fleet.cut_from_platform(nine, owner)
    owner.running.freeze()
    try:
        fleet_support.ask_until_answered(other, program, 'taken over')
        owner.running.thaw()
        forked = fleet_support.ask(owner, stale, 'a fork')
        assert not forked.finished and forked.code, forked
        key = fleet_support.new_key()
        answer = ledger.dispatch(owner.url, stale, key)
        # Without its lease it cannot know what a successor has run.
        lost = codes.OUTCOME_UNAVAILABLE.number
        assert answer is not None and answer.code == lost, answer
    finally:
        owner.running.thaw()
        fleet.set_cut(nine, [])
    fleet_support.ask_until_answered(owner, program, 'after')
    fleet_support.check_history(nine, program)
    runs = fleet_support.runs(nine)
    ledger.check(runs)
    assert runs[key] == 0


def test_program_started_just_before_its_owner_is_killed(
    nine: fleet_state.Fleet,
) -> None:
    owner, other = nine.nodes['east-2'], nine.nodes['east-3']
    program = fleet_support.start_program(owner)
    owner.running.kill()
    gone = codes.UNKNOWN_PROGRAM.number

    def settled() -> bool:
        stream = fleet_support.ask(other, program, 'still there?')
        return stream.finished or stream.code == gone

    try:
        fleet_support.wait_until(settled, fleet_support.TAKEOVER_BOUND_S)
    finally:
        fleet_support.restart(nine, owner)


def test_log_outage_under_load(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    nodes = list(nine.nodes.values())
    ledger = fleet_support.Ledger()
    programs = [fleet_support.start_program(node) for node in nodes]
    processes.set_switches(nine.log, outage='refuse')
    try:
        turns = [
            pool.submit(fleet_support.ask, node, program, 'in the outage')
            for node, program in zip(nodes, programs, strict=True)
        ]
        streams = [turn.result() for turn in turns]
    finally:
        processes.set_switches(nine.log, outage='')
    for stream in streams:
        assert client.is_correct_answer(stream, 'in the outage', 8), (
            stream.error
        )
    for node, program in zip(nodes, programs, strict=True):
        ledger.dispatch(node.url, program, fleet_support.new_key())
    ledger.check(fleet_support.runs(nine))
    for program in programs:
        fleet_support.check_history(nine, program)
