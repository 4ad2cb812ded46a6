"""The shards that an instance holds, and what it takes over with one.

A takeover folds the shard's records and settles calls whose end is not
among them.  `now` is Unix time.
"""

import typing

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages


def hold_shard(ledger: decisions.Ledger, shard: str, epoch: int = 0) -> None:
    """Notes that the instance holds a shard that it opened itself.

    The epoch is 0 until the shard's opening has been read in the log.
    """
    state = ledger.shards.setdefault(shard, ledger_lib.Shard())
    state.epoch = epoch
    state.published = state.published or epoch != 0


def publish_shard(ledger: decisions.Ledger, shard: str) -> None:
    """Notes that the shard's opening is about to be sent to the log.

    From then on others may take it over, so its intents must be durable.
    All its records so far must be durable before this.
    """
    ledger.shards[shard].published = True


def drop_shard(ledger: decisions.Ledger, shard: str) -> None:
    """Forgets a shard that the instance no longer holds."""
    ledger.shards.pop(shard, None)


def take_shard(
    ledger: decisions.Ledger,
    now: float,
    shard: str,
    epoch: int,
    found: decisions.Ledger,
    *,
    unrecorded: bool = False,
) -> decisions.Decision:
    """Moves a shard that was folded up to its fence into the ledger.

    A non-idempotent call whose end was not found may have run; it is
    settled as such.  unrecorded says that the former holder may have
    dispatched calls whose intent is not in the log.
    """
    state = found.shards.get(shard, ledger_lib.Shard())
    state.epoch = epoch
    state.published = True
    state.unrecorded = state.unrecorded or unrecorded
    state.serial_prefix = f'{epoch}-'
    ledger.shards[shard] = state
    records = [
        _lost(program, program.open, now)
        for program in state.programs.values()
        if program.open is not None
    ]
    for record in records:
        ledger_lib.apply(ledger, record)
    return decisions.Decision(
        reply=messages.SuccessReply(), records=tuple(records)
    )


def _lost(
    program: ledger_lib.Program, call: ledger_lib.OpenCall, now: float
) -> messages.CallFinished:
    return messages.CallFinished(
        program=program.program,
        call=program.next_call,
        idempotency_key=call.idempotency_key,
        body_digest=call.body_digest,
        execution=codes.Execution.UNKNOWN,
        status=codes.OUTCOME_UNKNOWN.status,
        tokens=0,
        upstream='',
        content_type='',
        answer=b'',
        history=b'',
        history_digest=b'',
        attempt=program.attempt,
        finished_at=now,
    )


def replay(
    records: typing.Iterable[messages.Message], shards: typing.Iterable[str]
) -> decisions.Ledger:
    """Folds the wanted shards out of a programs stream, for a takeover."""
    replay = ledger_lib.Replay(shards=frozenset(shards))
    for record in records:
        ledger_lib.replay_record(replay, record)
    return replay.ledger
