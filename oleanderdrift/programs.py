"""Admission of calls and programs at the instance that owns them.

Enforces call order, idempotency, history continuity and budgets.  Each
decision function handles one message and returns a Decision: the reply,
and the records that its caller must append to the programs stream.  The
records have already been applied to the ledger.  `now` is Unix time.

The owner must hold the shard's lease when it asks for a decision, and
must check it again after a commit that the reply waited for.  A successor
reads the stream only after the lease has expired, so it finds the intent
of every non-idempotent call that was dispatched.
"""

import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import model

_DIGEST_BYTES: typing.Final = 16


def history_digest(
    encoded: typing.Iterable[bytes], start: bytes = b''
) -> bytes:
    """Extends a digest with the canonical encodings of messages."""
    digest = start
    for data in encoded:
        link = digest.ljust(_DIGEST_BYTES, b'\0') + data
        digest = hashlib.blake2b(link, digest_size=_DIGEST_BYTES).digest()
    return digest


def create(
    ledger: decisions.Ledger,
    now: float,
    shard: str,
    message: messages.CreateProgram,
    program_class: model.ProgramClass,
) -> decisions.Decision:
    """Creates a program in a shard; a sub-agent uses its parent's shard."""
    return decisions.refuse_on_error(
        lambda: _create(ledger, now, shard, message, program_class)
    )


def _create(
    ledger: decisions.Ledger,
    now: float,
    shard: str,
    message: messages.CreateProgram,
    program_class: model.ProgramClass,
) -> decisions.Decision:
    if message.parent:
        _get_running_program(ledger, message.parent, message.client_account)
        shard = ledger_lib.shard_of(message.parent)
    state = _held_shard(ledger, shard)
    serial = state.minted.get(state.serial_prefix, 0) + 1
    record = messages.ProgramCreated(
        program=f'{shard}.{state.serial_prefix}{serial}',
        client_account=message.client_account,
        class_name=message.class_name,
        parent=message.parent,
        created_at=now,
        target_s=program_class.target_s,
        max_calls=program_class.max_calls,
        max_tokens=program_class.max_tokens,
        max_duration_s=program_class.max_duration_s,
    )
    ledger_lib.apply(ledger, record)
    reply = messages.ProgramStarted(program=record.program)
    return decisions.Decision(
        reply=reply, records=(record,), commit_if_available=True
    )


def _held_shard(ledger: decisions.Ledger, shard: str) -> ledger_lib.Shard:
    state = ledger.shards.get(shard)
    if state is None:
        raise errors.ResultError(codes.OWNER_UNAVAILABLE)
    return state


def get_program(
    ledger: decisions.Ledger, program: str, client_account: str
) -> ledger_lib.Program:
    """Returns a program, which may have ended; raises ResultError.

    A program of another client account is reported as unknown.
    """
    _held_shard(ledger, ledger_lib.shard_of(program))
    found = ledger_lib.find(ledger, program)
    if found is None and ledger_lib.was_minted(ledger, program):
        raise errors.ResultError(codes.PROGRAM_ENDED)
    if found is None or found.client_account != client_account:
        raise errors.ResultError(codes.UNKNOWN_PROGRAM)
    return found


def _get_running_program(
    ledger: decisions.Ledger, program: str, client_account: str
) -> ledger_lib.Program:
    found = get_program(ledger, program, client_account)
    if found.ended_code is not None:
        raise errors.ResultError(codes.PROGRAM_ENDED)
    return found


def begin(
    ledger: decisions.Ledger,
    now: float,
    epoch: int,
    message: messages.BeginCall,
) -> decisions.Decision:
    """Admits an attempt of a call, or answers a repeat of an earlier one.

    epoch is that of the instance's current lease on the shard.
    """
    return decisions.refuse_on_error(
        lambda: _begin(ledger, now, epoch, message)
    )


def _begin(
    ledger: decisions.Ledger,
    now: float,
    epoch: int,
    message: messages.BeginCall,
) -> decisions.Decision:
    shard = _held_shard(ledger, ledger_lib.shard_of(message.program))
    if shard.epoch != epoch:
        raise errors.ResultError(codes.OWNER_UNAVAILABLE)
    message = _with_default_key(message)
    program = _program_of_call(ledger, message)
    repeat = _answer_repeat(program, message)
    if repeat is not None:
        return repeat
    _check_unrecorded(ledger, program, message)
    if program.ended_code is not None:
        raise errors.ResultError(codes.PROGRAM_ENDED)
    _check_order(program, message)
    _check_history(program, message)
    _check_budget(program.budget, now, message.estimated_tokens)
    return _grant(ledger, now, epoch, program, message)


def _with_default_key(message: messages.BeginCall) -> messages.BeginCall:
    # A repeat without a key is recognized by its call number.
    if message.idempotency_key or not message.call:
        return message
    return attrs.evolve(message, idempotency_key=f'\0call {message.call}')


def _program_of_call(
    ledger: decisions.Ledger, message: messages.BeginCall
) -> ledger_lib.Program:
    shard = _held_shard(ledger, ledger_lib.shard_of(message.program))
    is_known = ledger_lib.find(ledger, message.program) is not None
    minted = ledger_lib.was_minted(ledger, message.program)
    may_have_existed = minted or shard.unrecorded
    if may_have_existed and not is_known and not message.idempotent:
        # Without the program's call history, this may be a repeat.
        raise errors.ResultError(codes.OUTCOME_UNKNOWN)
    return get_program(ledger, message.program, message.client_account)


def _check_unrecorded(
    ledger: decisions.Ledger,
    program: ledger_lib.Program,
    message: messages.BeginCall,
) -> None:
    shard = ledger.shards[ledger_lib.shard_of(program.program)]
    prefix, _ = ledger_lib.split_serial(program.program)
    earlier = prefix != shard.serial_prefix
    if shard.unrecorded and earlier and not message.idempotent:
        # An earlier holder may have run this call without recording it.
        raise errors.ResultError(codes.OUTCOME_UNKNOWN)


def _answer_repeat(
    program: ledger_lib.Program, message: messages.BeginCall
) -> decisions.Decision | None:
    key = message.idempotency_key
    if not key:
        return None
    body = ledger_lib.short_digest(message.body_digest)
    if program.open is not None and program.open.idempotency_key == key:
        if program.open.body_digest != body:
            raise errors.ResultError(codes.BODY_MISMATCH)
        raise errors.ResultError(codes.CALL_IN_PROGRESS)
    settled = ledger_lib.find_settled(program, key)
    if settled is None:
        return None
    if settled.body_digest != body:
        raise errors.ResultError(codes.BODY_MISMATCH)
    if message.call not in (0, settled.call):
        detail = f'the idempotency key belongs to call {settled.call}'
        raise errors.ResultError(codes.BODY_MISMATCH, detail)
    return _answer_settled(program, settled)


def _answer_settled(
    program: ledger_lib.Program, settled: ledger_lib.SettledCall
) -> decisions.Decision | None:
    if settled.state == ledger_lib.RAN:
        return _replay_answer(program, settled)
    repeatable = settled.state == ledger_lib.REPEATABLE
    free = program.open is None and settled.call == program.next_call
    if repeatable and free:
        return None
    raise errors.ResultError(codes.OUTCOME_UNKNOWN)


def _replay_answer(
    program: ledger_lib.Program, settled: ledger_lib.SettledCall
) -> decisions.Decision:
    stored = program.stored_answer
    if stored is None or stored.call != settled.call or stored.status == 0:
        raise errors.ResultError(codes.ALREADY_RAN)
    reply = messages.CallReplayed(
        program=program.program,
        call=stored.call,
        attempt=1,
        status=stored.status,
        content_type=stored.content_type,
        answer=stored.answer,
    )
    told = program.program if stored.adds_history else ''
    return decisions.Decision(reply=reply, tells_history=told)


def _check_order(
    program: ledger_lib.Program, message: messages.BeginCall
) -> None:
    if program.open is not None:
        detail = f'call {program.next_call} is under way'
        raise errors.ResultError(codes.OUT_OF_ORDER, detail)
    if message.call not in (0, program.next_call):
        detail = f'the next call is {program.next_call}'
        raise errors.ResultError(codes.OUT_OF_ORDER, detail)


def _check_history(
    program: ledger_lib.Program, message: messages.BeginCall
) -> None:
    if not message.prefix_digest or not program.history_digest:
        return
    if message.prefix_digest != program.history_digest:
        raise errors.ResultError(codes.HISTORY_MISMATCH)


def _check_budget(
    budget: ledger_lib.Budget, now: float, estimated_tokens: int
) -> None:
    if budget.calls + budget.open_calls >= budget.max_calls:
        raise errors.ResultError(codes.BUDGET_EXHAUSTED, 'calls')
    if _remaining_tokens(budget) < estimated_tokens:
        raise errors.ResultError(codes.BUDGET_EXHAUSTED, 'tokens')
    if now >= budget.created_at + budget.max_duration_s:
        raise errors.ResultError(codes.BUDGET_EXHAUSTED, 'time')


def _remaining_tokens(budget: ledger_lib.Budget) -> int:
    return budget.max_tokens - budget.tokens - budget.reserved_tokens


def _grant(
    ledger: decisions.Ledger,
    now: float,
    epoch: int,
    program: ledger_lib.Program,
    message: messages.BeginCall,
) -> decisions.Decision:
    published = ledger.shards[ledger_lib.shard_of(program.program)].published
    budget = program.budget
    remaining = _remaining_tokens(budget)
    attempt = program.attempt + 1
    records: tuple[messages.Message, ...] = ()
    body = ledger_lib.short_digest(message.body_digest)
    if message.idempotent:
        call = ledger_lib.OpenCall(
            idempotency_key=message.idempotency_key,
            body_digest=body,
            idempotent=True,
            estimated_tokens=message.estimated_tokens,
            fencing_token=epoch,
        )
        ledger_lib.open_call(program, attempt, call)
        budget.active_at = now
    else:
        intent = messages.CallIntended(
            program=program.program,
            call=program.next_call,
            idempotency_key=message.idempotency_key,
            body_digest=body,
            attempt=attempt,
            intended_at=now,
        )
        ledger_lib.apply(ledger, intent)
        if program.open is not None:
            program.open.fencing_token = epoch
        records = (intent,)
    reply = messages.CallGranted(
        program=program.program,
        call=program.next_call,
        attempt=attempt,
        fencing_token=epoch,
        class_name=program.class_name,
        slack_s=budget.created_at + budget.target_s - now,
        attained_s=budget.attained_s,
        remaining_tokens=remaining,
    )
    return decisions.Decision(
        reply=reply,
        records=records,
        commit_required=bool(records) and published,
    )


def error_without_owner(
    message: messages.Message, error: errors.ResultError
) -> errors.ResultError:
    """Returns the error to report when a program's owner cannot answer.

    A non-idempotent call may be a repeat of one that ran, so it must not
    be reported as not run.
    """
    if isinstance(message, messages.BeginCall) and not message.idempotent:
        return as_outcome_unavailable(error)
    return error


def as_outcome_unavailable(error: errors.ResultError) -> errors.ResultError:
    """Replaces OWNER_UNAVAILABLE ("not run") by OUTCOME_UNAVAILABLE."""
    if error.code is not codes.OWNER_UNAVAILABLE:
        return error
    return errors.ResultError(
        codes.OUTCOME_UNAVAILABLE,
        error.detail,
        retry_after_s=error.retry_after_s,
    )
