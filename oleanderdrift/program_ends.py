"""Ends programs: at a caller's request, out of time, or when idle.

`now` is Unix time.
"""

import typing

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import programs

IDLE_LIMIT_S: typing.Final = 14_400.0
ENDED_RETENTION_S: typing.Final = 900.0


def finish(
    ledger: decisions.Ledger, now: float, message: messages.EndProgram
) -> decisions.Decision:
    """Ends a program and its sub-agents at the caller's request."""
    try:
        program = programs.get_program(
            ledger, message.program, message.client_account
        )
    except errors.ResultError as error:
        if error.code is codes.PROGRAM_ENDED:
            return decisions.Decision(reply=messages.SuccessReply())
        return decisions.refuse(error.code, error.detail)
    return end_tree(ledger, now, program, codes.OK)


def end_tree(
    ledger: decisions.Ledger,
    now: float,
    program: ledger_lib.Program,
    code: codes.ResultCode,
) -> decisions.Decision:
    """Ends a program and its sub-agents of every depth."""
    shard = ledger.shards[ledger_lib.shard_of(program.program)]
    tree = [program, *ledger_lib.descendants(shard, program)]
    records = []
    releases: list[decisions.PrefixRelease] = []
    for member in tree:
        if member.ended_code is not None:
            continue
        record = messages.ProgramEnded(
            program=member.program, code=code.number, ended_at=now
        )
        ledger_lib.apply(ledger, record)
        records.append(record)
        releases += decisions.release_prefixes(
            member.program, member.upstreams
        ).releases
    return decisions.Decision(
        reply=messages.SuccessReply(),
        records=tuple(records),
        releases=tuple(releases),
    )


def expire(
    ledger: decisions.Ledger,
    now: float,
    served: typing.Container[str] | None = None,
) -> decisions.Decision:
    """Ends programs that are out of time or idle.

    Also removes programs that ended more than ENDED_RETENTION_S ago.  Only
    the shards in served are considered, or all if it is None.
    """
    records: list[messages.Message] = []
    releases: list[decisions.PrefixRelease] = []
    for name, shard in ledger.shards.items():
        if served is not None and name not in served:
            continue
        _remove_ended(shard, now)
        for program in list(shard.programs.values()):
            if program.ended_code is None and is_expired(program, now):
                ended = end_tree(ledger, now, program, codes.BUDGET_EXHAUSTED)
                records += ended.records
                releases += ended.releases
    return decisions.Decision(
        reply=messages.SuccessReply(),
        records=tuple(records),
        releases=tuple(releases),
    )


def is_expired(program: ledger_lib.Program, now: float) -> bool:
    """Returns whether a program is out of time or idle."""
    budget = program.budget
    out_of_time = now >= budget.created_at + budget.max_duration_s
    idle = budget.open_calls == 0 and now >= budget.active_at + IDLE_LIMIT_S
    return out_of_time or idle


def _remove_ended(shard: ledger_lib.Shard, now: float) -> None:
    removable = [
        name
        for name, program in shard.programs.items()
        if program.ended_code is not None
        and program.open is None
        and now >= program.ended_at + ENDED_RETENTION_S
    ]
    for name in removable:
        del shard.programs[name]
