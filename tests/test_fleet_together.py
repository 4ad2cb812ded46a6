"""Proofs on real processes: two faults at once."""

import concurrent.futures

import pytest

from standins import fleet
from standins import fleet_state
from standins import processes
from tests import fleet_support


def test_owner_killed_while_the_log_loses_answers(
    nine: fleet_state.Fleet,
) -> None:
    owner, other = nine.nodes['east-1'], nine.nodes['east-2']
    ledger = fleet_support.DispatchLedger()
    programs = [fleet_support.start_program(owner) for _ in range(4)]
    for program in programs:
        fleet_support.ask_until_answered(owner, program, 'before')
    keys = [fleet_support.new_key() for _ in programs]
    processes.set_switches(nine.log, lose_answer=12)
    with concurrent.futures.ThreadPoolExecutor(len(programs)) as pool:
        calls = [
            pool.submit(ledger.dispatch, owner.url, program, key)
            for program, key in zip(programs, keys, strict=True)
        ]
        concurrent.futures.wait(calls[:1])
        owner.running.kill()
    try:
        for program, key in zip(programs, keys, strict=True):
            fleet_support.retry_until_final(ledger, other, program, key, 2)
        ledger.check(fleet_support.count_runs(nine))
        for program in programs:
            fleet_support.check_history(nine, program)
    finally:
        processes.set_switches(nine.log, lose_answer=0)
        fleet_support.restart(nine, owner)


@pytest.mark.long
def test_owner_frozen_in_a_log_outage(nine: fleet_state.Fleet) -> None:
    owner, other = nine.nodes['south-2'], nine.nodes['south-3']
    ledger = fleet_support.DispatchLedger()
    programs = [fleet_support.start_program(owner) for _ in range(3)]
    for program in programs:
        fleet_support.ask_until_answered(owner, program, 'before')
    keys = [fleet_support.new_key() for _ in programs]
    processes.set_switches(nine.log, outage='hang')
    owner.running.freeze()
    try:
        for program, key in zip(programs, keys, strict=True):
            refused = ledger.dispatch(other.url, program, key)
            assert refused is not None and refused.status == 503, refused
        processes.set_switches(nine.log, outage='')
        for program, key in zip(programs, keys, strict=True):
            fleet_support.retry_until_final(ledger, other, program, key, 2)
    finally:
        processes.set_switches(nine.log, outage='')
        owner.running.thaw()
    for program, key in zip(programs, keys, strict=True):
        ledger.dispatch(owner.url, program, key, 2)
        fleet_support.ask_until_answered(owner, program, 'thawed')
        fleet_support.check_history(nine, program)
    ledger.check(fleet_support.count_runs(nine))


@pytest.mark.long
def test_owner_killed_behind_a_cut(nine: fleet_state.Fleet) -> None:
    owner, near = nine.nodes['south-1'], nine.nodes['south-2']
    far = nine.nodes['north-1']
    ledger = fleet_support.DispatchLedger()
    program = fleet_support.start_program(owner)
    fleet_support.ask_until_answered(owner, program, 'before')
    key = fleet_support.new_key()
    fleet.cut_off(nine, 'south')
    try:
        ledger.dispatch(owner.url, program, key)
        owner.running.kill()
        for node in (near, far):
            refused = ledger.dispatch(node.url, program, key, 2)
            assert refused is not None and refused.status != 200, refused
    finally:
        fleet.set_cut(nine, [])
    fleet_support.retry_until_final(ledger, near, program, key, 2)
    ledger.check(fleet_support.count_runs(nine))
    fleet_support.check_history(nine, program)
    fleet_support.restart(nine, owner)
