"""Adds shards to an instance's ledger and removes them.

A takeover replays the shard's records and settles the calls whose end is
not among them.  `now` is Unix time.
"""

import typing

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages


def hold_shard(ledger: decisions.Ledger, shard: str, epoch: int = 0) -> None:
    """Records that the instance holds a shard, under an epoch.

    The epoch is 0 until the shard's opening has been read in the log.
    """
    state = ledger.shards.setdefault(shard, ledger_lib.Shard())
    state.epoch = epoch
    state.published = state.published or epoch != 0


def publish_shard(ledger: decisions.Ledger, shard: str) -> None:
    """Records that the shard's opening is about to be sent to the log.

    From then on other instances may take it over, so the intents of its
    calls must be durable.  All its records so far must be durable before.
    """
    ledger.shards[shard].published = True


def drop_shard(ledger: decisions.Ledger, shard: str) -> None:
    """Removes a shard that the instance no longer holds."""
    ledger.shards.pop(shard, None)


def take_shard(
    ledger: decisions.Ledger,
    now: float,
    shard: str,
    epoch: int,
    replayed: decisions.Ledger,
    *,
    unrecorded: bool = False,
) -> decisions.Decision:
    """Moves a shard that was replayed up to its fence into the ledger.

    A non-idempotent call whose end was not found may have run; it is
    settled with an unknown outcome.  unrecorded says that the former
    holder may have dispatched calls whose intents are not in the log.
    """
    state = replayed.shards.get(shard, ledger_lib.Shard())
    state.epoch = epoch
    state.published = True
    state.unrecorded = state.unrecorded or unrecorded
    state.serial_prefix = f'{epoch}-'
    ledger.shards[shard] = state
    records = [
        _unknown_outcome(program, program.open, now)
        for program in state.programs.values()
        if program.open is not None
    ]
    for record in records:
        ledger_lib.apply(ledger, record)
    return decisions.Decision(
        reply=messages.SuccessReply(), records=tuple(records)
    )


def _unknown_outcome(
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
    """Replays the given shards' records from a programs stream."""
    replay = ledger_lib.Replay(shards=frozenset(shards))
    for record in records:
        ledger_lib.replay_record(replay, record)
    return replay.ledger
