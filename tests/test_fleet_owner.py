"""Tests on real processes: owners that are killed, pause or lose the log."""

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
    """Tells whether a tool stand-in has run the dispatch with this key."""
    return fleet_support.count_runs(running)[key] > 0


@pytest.fixture
def pool() -> concurrent.futures.ThreadPoolExecutor:
    """Returns a thread pool for requests that block."""
    return concurrent.futures.ThreadPoolExecutor(16)


def test_programs_move_between_instances(nine: fleet_state.Fleet) -> None:
    ledger = fleet_support.DispatchLedger()
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
    ledger.check(fleet_support.count_runs(nine))
    fleet_support.check_history(nine, program)


def test_history_of_another_program_is_refused(
    nine: fleet_state.Fleet,
) -> None:
    node = nine.nodes['north-2']
    program = fleet_support.start_program(node)
    fleet_support.ask_until_answered(node, program, 'first')
    other_history = [{'role': 'user', 'content': 'other'}]
    other_history.append({'role': 'assistant', 'content': 'words'})
    mixed = client.Program(
        program_id=program.program_id,
        key=program.key,
        class_name=program.class_name,
        calls=program.calls,
        messages=other_history,
    )
    stream = fleet_support.ask(node, mixed, 'second')
    assert not stream.finished
    assert stream.code == codes.HISTORY_MISMATCH.number
    other_account = client.Program(
        program_id=program.program_id,
        key=demo_config.caller_key('school'),
        class_name=program.class_name,
    )
    stream = fleet_support.ask(node, other_account, 'mine?')
    assert stream.code == codes.UNKNOWN_PROGRAM.number
    fleet_support.check_history(nine, program)


def test_owner_killed_in_mid_stream(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['north-1'], nine.nodes['north-2']
    program = fleet_support.start_program(owner)
    fleet_support.ask_until_answered(owner, program, 'before')
    first_token = threading.Event()
    streams = [
        pool.submit(
            fleet_support.ask,
            node,
            client.Program(
                program_id=one.program_id, key=one.key, class_name='planning'
            ),
            'in mid-stream',
            TOKENS,
            lambda token: first_token.set(),
        )
        for node in (owner, other)
        for one in [fleet_support.start_program(owner)]
    ]
    assert first_token.wait(10)
    owner.running.kill()
    try:
        for future in streams:
            stream = future.result()
            complete = client.is_correct_answer(
                stream, 'in mid-stream', TOKENS
            )
            assert complete or stream.error, stream
        fleet_support.ask_until_answered(other, program, 'after')
        fleet_support.check_history(nine, program)
    finally:
        fleet_support.restart(nine, owner)


def test_dispatch_under_way_when_owner_is_killed(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['east-1'], nine.nodes['east-2']
    ledger = fleet_support.DispatchLedger()
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
            fleet_support.retry_until_final(ledger, other, program, key, 1)
        ledger.check(fleet_support.count_runs(nine))
    finally:
        for tool in nine.of_kind('tool'):
            processes.set_switches(tool, delay_s=0.0)
        fleet_support.restart(nine, owner)


def test_owner_frozen_past_its_lease(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    owner, other = nine.nodes['south-1'], nine.nodes['south-2']
    ledger = fleet_support.DispatchLedger()
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
            fleet_support.retry_until_final(ledger, other, program, key, 2)
    finally:
        owner.running.signal(signal.SIGCONT)
    concurrent.futures.wait(calls)
    for program, key in zip(programs, keys, strict=True):
        ledger.dispatch(owner.url, program, key, 2)
    ledger.check(fleet_support.count_runs(nine))
    for program in programs:
        fleet_support.ask_until_answered(owner, program, 'thawed')


def test_thawed_owner_without_the_log_serves_nothing(
    nine: fleet_state.Fleet,
) -> None:
    owner, other = nine.nodes['south-1'], nine.nodes['south-2']
    ledger = fleet_support.DispatchLedger()
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
        # Without a lease the owner cannot know which calls a successor ran.
        unavailable = codes.OUTCOME_UNAVAILABLE.number
        assert answer is not None and answer.code == unavailable, answer
    finally:
        owner.running.thaw()
        fleet.set_cut(nine, [])
    fleet_support.ask_until_answered(owner, program, 'after')
    fleet_support.check_history(nine, program)
    runs = fleet_support.count_runs(nine)
    ledger.check(runs)
    assert runs[key] == 0


def test_program_started_just_before_its_owner_is_killed(
    nine: fleet_state.Fleet,
) -> None:
    owner, other = nine.nodes['east-2'], nine.nodes['east-3']
    program = fleet_support.start_program(owner)
    owner.running.kill()
    unknown = codes.UNKNOWN_PROGRAM.number

    def is_decided() -> bool:
        stream = fleet_support.ask(other, program, 'still there?')
        return stream.finished or stream.code == unknown

    try:
        fleet_support.wait_until(is_decided, fleet_support.TAKEOVER_BOUND_S)
    finally:
        fleet_support.restart(nine, owner)


def test_log_outage_under_load(
    nine: fleet_state.Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    nodes = list(nine.nodes.values())
    ledger = fleet_support.DispatchLedger()
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
    ledger.check(fleet_support.count_runs(nine))
    for program in programs:
        fleet_support.check_history(nine, program)
