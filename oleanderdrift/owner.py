"""The owner controller: answers messages on the programs of its shards.

Takes each decision from `programs`, `call_ends` or `program_ends`, commits
its records as the decision requires, and then replies.  A reply that tells
of a program's history also waits for `record_copies`.  It is notified of
instances that are gone, so that their attempts do not stay open.
"""

import asyncio
import collections.abc
import time
import typing

import attrs

from oleanderdrift import blackboard
from oleanderdrift import call_ends
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import group_commit
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import ownership
from oleanderdrift import program_ends
from oleanderdrift import programs
from oleanderdrift import record_copies
from oleanderdrift import shard_manager

EXPIRE_INTERVAL_S: typing.Final = 1.0

Releaser: typing.TypeAlias = collections.abc.Callable[
    [decisions.PrefixRelease], None
]


@attrs.frozen(kw_only=True)
class AttemptId:
    """Identifies an attempt of a call that some instance is running."""

    program: str
    call: int
    attempt: int
    fencing_token: int


@attrs.define(kw_only=True)
class Owner:
    """The owner controller of one instance.

    shard_manager tells which shards are served here and under which epoch.
    attempts maps each attempt in progress to the instance running it.
    """

    board: blackboard.Board
    commit: group_commit.GroupCommit
    release: Releaser
    shard_manager: shard_manager.ShardManager
    copier: record_copies.Copier
    attempts: dict[AttemptId, str] = attrs.field(factory=dict)


async def handle(
    owner: Owner, sender: str, message: messages.Message
) -> messages.Message:
    """Answers one message on a program that this instance owns.

    Raises ResultError if the message is refused.
    """
    now = time.time()
    ledger = owner.board.ledger
    match message:
        case messages.CreateProgram():
            decision = _create(owner, now, message)
        case messages.BeginCall():
            try:
                epoch = epoch_of(owner, message.program)
            except errors.ResultError as error:
                raise programs.error_without_owner(message, error) from error
            decision = programs.begin(ledger, now, epoch, message)
        case messages.CallPlaced():
            epoch_of(owner, message.program)
            decision = call_ends.place(ledger, now, message)
        case messages.EndCall():
            owner.attempts.pop(_attempt_id(message), None)
            decision = call_ends.end(ledger, now, message)
        case messages.EndProgram():
            epoch_of(owner, message.program)
            decision = program_ends.finish(ledger, now, message)
        case _:
            raise errors.ResultError(codes.BAD_REQUEST, 'unexpected message')
    return await _execute(owner, sender, decision)


def _create(
    owner: Owner, now: float, message: messages.CreateProgram
) -> decisions.Decision:
    program_class = owner.board.config.classes.get(message.class_name)
    if program_class is None:
        raise errors.ResultError(codes.UNKNOWN_CLASS, message.class_name)
    shard = shard_manager.shard_for_new_program(
        owner.shard_manager, time.monotonic()
    )
    if message.parent:
        epoch_of(owner, message.parent)
    return programs.create(
        owner.board.ledger, now, shard, message, program_class
    )


def epoch_of(owner: Owner, program: str) -> int:
    """Returns the epoch under which a program may be served now.

    Raises ResultError(OWNER_UNAVAILABLE) if it may not be served.
    """
    shard = ledger_lib.shard_of(program)
    return shard_manager.epoch_of(owner.shard_manager, time.monotonic(), shard)


def _attempt_id(
    message: messages.CallGranted | messages.EndCall,
) -> AttemptId:
    return AttemptId(
        program=message.program,
        call=message.call,
        attempt=message.attempt,
        fencing_token=message.fencing_token,
    )


async def _execute(
    owner: Owner, sender: str, decision: decisions.Decision
) -> messages.Message:
    reply = decision.reply
    durable = [_append(owner, record) for record in decision.records]
    for release in decision.releases:
        owner.release(release)
    if isinstance(reply, messages.ErrorReply):
        raise errors.ResultError(codes.TABLE[reply.code], reply.detail)
    if isinstance(reply, messages.CallGranted):
        owner.attempts[_attempt_id(reply)] = sender
    if decision.commit_required:
        await _await_required_commit(owner, decision, durable)
    elif decision.commit_if_available and durable and not owner.commit.failing:
        await _wait_durable(durable, owner.board.settings.platform.timeout_s)
        # Records that follow a successor's fence in the log are ignored,
        # so the lease must still be held.
        epoch_of(owner, decision.records[0].program)
    if decision.tells_history:
        await _await_kept(owner, decision.tells_history)
    return reply


async def _await_kept(owner: Owner, program: str) -> None:
    """Waits until a program's history outlasts this instance's death.

    Raises ResultError(OUTCOME_UNAVAILABLE) if neither the log nor the
    other instances take its records.
    """
    shard = ledger_lib.shard_of(program)
    if not await record_copies.protect(owner.copier, shard):
        raise errors.ResultError(
            codes.OUTCOME_UNAVAILABLE,
            'neither the log nor a peer has taken the history',
            retry_after_s=owner.board.settings.platform.timeout_s,
        )
    # Copies count only if they were made while the lease was held.
    epoch_of(owner, program)


def _append(owner: Owner, record: messages.Message) -> asyncio.Future[int]:
    shard = ledger_lib.shard_of(record.program)
    state = owner.board.ledger.shards.get(shard)
    if state is None:
        raise errors.ResultError(codes.OWNER_UNAVAILABLE)
    epoch = state.epoch
    return owner.commit.add(shard, epoch, record)


async def _await_required_commit(
    owner: Owner,
    decision: decisions.Decision,
    durable: list[asyncio.Future[int]],
) -> None:
    reply = decision.reply
    timeout_s = owner.board.settings.platform.timeout_s
    if not isinstance(reply, messages.CallGranted):
        await _wait_durable(durable, timeout_s)
        return
    attempt = _attempt_id(reply)
    if not await _wait_durable(durable, timeout_s):
        _allow_unrecorded(owner, attempt)
    try:
        # The lease may have expired during the commit.
        epoch_of(owner, reply.program)
    except errors.ResultError as error:
        abandon(owner, attempt, codes.Execution.NOT_RUN)
        raise programs.as_outcome_unavailable(error) from error


def _allow_unrecorded(owner: Owner, attempt: AttemptId) -> None:
    """Allows a call without its intent in the log, or abandons it.

    It is allowed in a shard that nobody else can take over, or if every
    possible successor has promised to wait and so knows that calls of the
    shard may be unrecorded.
    """
    fleet = owner.shard_manager.fleet
    shard = ledger_lib.shard_of(attempt.program)
    try:
        # Without the lease, a successor may have run a repeat of the call.
        epoch_of(owner, attempt.program)
    except errors.ResultError as error:
        abandon(owner, attempt, codes.Execution.NOT_RUN)
        raise programs.as_outcome_unavailable(error) from error
    if ownership.may_dispatch_unrecorded(fleet, time.monotonic(), shard):
        ownership.note_unrecorded(fleet)
        return
    abandon(owner, attempt, codes.Execution.NOT_RUN)
    raise errors.ResultError(
        codes.LOG_UNAVAILABLE,
        'the intent of the non-idempotent call could not be logged',
        retry_after_s=owner.board.settings.platform.timeout_s,
    )


async def _wait_durable(
    durable: list[asyncio.Future[int]], timeout_s: float
) -> bool:
    _done, waiting = await asyncio.wait(durable, timeout=timeout_s)
    return not waiting


def abandon(
    owner: Owner, attempt: AttemptId, execution: codes.Execution
) -> None:
    """Ends an attempt whose end no instance will report."""
    owner.attempts.pop(attempt, None)
    decision = call_ends.end(
        owner.board.ledger,
        time.time(),
        messages.EndCall(
            program=attempt.program,
            call=attempt.call,
            attempt=attempt.attempt,
            fencing_token=attempt.fencing_token,
            execution=execution,
            status=0,
            tokens=0,
            upstream='',
            service_s=0.0,
        ),
    )
    append_records(owner, decision)


def append_records(owner: Owner, decision: decisions.Decision) -> None:
    """Appends a decision's records and sends its releases, not waiting."""
    for record in decision.records:
        _append(owner, record)
    for release in decision.releases:
        owner.release(release)


def on_members_gone(owner: Owner, gone: collections.abc.Iterable[str]) -> None:
    """Ends the attempts of instances that are gone, outcome unknown."""
    lost = set(gone)
    for attempt, holder in list(owner.attempts.items()):
        if holder in lost:
            logs.warning(
                'attempt-lost',
                program=attempt.program,
                call=attempt.call,
                instance=holder,
            )
            abandon(owner, attempt, codes.Execution.UNKNOWN)


async def run(owner: Owner) -> None:
    """Ends programs that are out of time or idle; runs until cancelled."""
    while True:
        await asyncio.sleep(EXPIRE_INTERVAL_S)
        served = shard_manager.served_shards(
            owner.shard_manager, time.monotonic()
        )
        decision = program_ends.expire(owner.board.ledger, time.time(), served)
        append_records(owner, decision)
