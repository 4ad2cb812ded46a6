"""Measures the CPU, memory and log bytes that programs cost their owner.

Each program makes CALLS_PER_PROGRAM calls, of which every fourth is not
idempotent.
"""

import collections.abc
import gc
import time
import tracemalloc
import typing

import attrs

from bench import figure
from oleanderdrift import call_ends
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import held_shards
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import programs

PROGRAMS: typing.Final = (30, 121, 483)
CALLS_PER_PROGRAM: typing.Final = 120
ANSWER_BYTES: typing.Final = 2_000
HISTORY_BYTES: typing.Final = 3_000
US_PER_S: typing.Final = 1_000_000
PROGRAM_CLASS: typing.Final = model.ProgramClass(name='plan', target_s=60.0)


@attrs.define(kw_only=True)
class Costs:
    """The resources used by a number of programs."""

    programs: int
    cpu_s: float = 0.0
    log_bytes: int = 0


def _add_log_bytes(costs: Costs, decision: decisions.Decision) -> None:
    encoded = tuple(codec.encode(record) for record in decision.records)
    if encoded:
        batch = messages.ShardRecords(shard='s', epoch=7, records=encoded)
        costs.log_bytes += len(codec.encode(batch))


def _run_call(
    ledger: decisions.Ledger, costs: Costs, name: str, call: int
) -> None:
    begun = programs.begin(
        ledger,
        float(call),
        7,
        messages.BeginCall(
            program=name,
            client_account='acme',
            call=call,
            idempotency_key=f'{name}/{call}/0123456789abcdef',
            body_digest=b'0123456789abcdef',
            idempotent=call % 4 != 0,
            estimated_tokens=2_000,
        ),
    )
    _add_log_bytes(costs, begun)
    ended = call_ends.end(
        ledger,
        float(call),
        messages.EndCall(
            program=name,
            call=call,
            attempt=1,
            fencing_token=7,
            execution=codes.Execution.RAN,
            status=200,
            tokens=1_800,
            upstream=f'engine-{call % 3}',
            service_s=1.0,
            content_type='application/json',
            answer=bytes(ANSWER_BYTES),
            history=bytes(HISTORY_BYTES),
            history_digest=call.to_bytes(16, 'big'),
        ),
    )
    _add_log_bytes(costs, ended)


def _run_programs(count: int) -> Costs:
    costs = Costs(programs=count)
    ledger = decisions.Ledger()
    held_shards.hold_shard(ledger, 's', 7)
    create = messages.CreateProgram(client_account='acme', class_name='plan')
    names = []
    for _ in range(count):
        decision = programs.create(ledger, 0.0, 's', create, PROGRAM_CLASS)
        _add_log_bytes(costs, decision)
        names.append(decision.reply.program)
    started = time.process_time()
    for call in range(1, CALLS_PER_PROGRAM + 1):
        for name in names:
            _run_call(ledger, costs, name, call)
    costs.cpu_s = time.process_time() - started
    return costs


def _memory_bytes(count: int) -> int:
    gc.collect()
    tracemalloc.start()
    ledger = decisions.Ledger()
    held_shards.hold_shard(ledger, 's', 7)
    create = messages.CreateProgram(client_account='acme', class_name='plan')
    costs = Costs(programs=count)
    for _ in range(count):
        reply = programs.create(ledger, 0.0, 's', create, PROGRAM_CLASS).reply
        for call in range(1, CALLS_PER_PROGRAM + 1):
            _run_call(ledger, costs, reply.program, call)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the figures for each number of programs."""
    for count in PROGRAMS:
        costs = _run_programs(count)
        calls = count * CALLS_PER_PROGRAM
        for name, unit, value in (
            ('cpu_per_call', 'us', costs.cpu_s / calls * US_PER_S),
            ('log_per_call', 'B', costs.log_bytes / calls),
            ('memory_per_program', 'B', _memory_bytes(count) / count),
        ):
            yield figure.Figure(
                name=f'owner.{name}.programs_{count}', unit=unit, value=value
            )
