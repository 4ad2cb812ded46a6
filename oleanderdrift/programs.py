"""Decides on the calls of the programs that an instance owns.

Keeps order, idempotency, history and budget.  Each function answers one
message with a Decision: the reply, and the records that the caller of
the function appends to the programs stream.  The ledger already shows
the records applied.  `now` is Unix time.

An owner must hold the shard's lease when it asks for a decision, and
once more after a commit that the reply waited for: a successor reads
the stream only after that lease has lapsed, so it finds the intent of
every non-idempotent call that was dispatched.
"""

import hashlib
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import model

IDLE_LIMIT_S: typing.Final = 14_400.0
ENDED_KEEP_S: typing.Final = 900.0

_DIGEST_BYTES: typing.Final = 16

Ledger: typing.TypeAlias = ledger_lib.Ledger


@attrs.frozen(kw_only=True)
class Release:
    """An upstream that may hold the prefix of a program that ended."""

    program: str
    upstream: str


@attrs.frozen(kw_only=True)
class Decision:
    """What to answer and what to do.

    records go to the programs stream in order.  With commit_first they
    must be durable, and the lease held still, before the reply is given;
    without the commit the call must be ended as not run.  With
    commit_soon the reply waits for them while the log answers, and goes
    out without them in an outage.
    """

    reply: messages.Message
    records: tuple[messages.Message, ...] = ()
    commit_first: bool = False
    commit_soon: bool = False
    releases: tuple[Release, ...] = ()


def history_digest(
    encoded: typing.Iterable[bytes], start: bytes = b''
) -> bytes:
    """Chains the canonical bytes of messages onto a digest."""
    digest = start
    for data in encoded:
        link = digest.ljust(_DIGEST_BYTES, b'\0') + data
        digest = hashlib.blake2b(link, digest_size=_DIGEST_BYTES).digest()
    return digest


def hold_shard(ledger: Ledger, shard: str, epoch: int = 0) -> None:
    """Notes that the instance holds a shard that it opened itself.

    The epoch is 0 until the shard's opening has been read in the log.
    """
    state = ledger.shards.setdefault(shard, ledger_lib.Shard())
    state.epoch = epoch
    state.published = state.published or epoch != 0


def publish_shard(ledger: Ledger, shard: str) -> None:
    """Notes that the shard's opening is about to be sent to the log.

    From then on others may take it over, so its intents must be durable.
    All its records so far must be durable before this.
    """
    ledger.shards[shard].published = True


def drop_shard(ledger: Ledger, shard: str) -> None:
    """Forgets a shard that the instance no longer holds."""
    ledger.shards.pop(shard, None)


def take_shard(
    ledger: Ledger,
    now: float,
    shard: str,
    epoch: int,
    found: Ledger,
    *,
    unrecorded: bool = False,
) -> Decision:
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
    return Decision(reply=messages.Done(), records=tuple(records))


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


def _refuse(code: codes.Result, detail: str = '') -> Decision:
    reply = messages.Failed(code=code.number, detail=detail or code.help)
    return Decision(reply=reply)


def _decided(decide: typing.Callable[[], Decision]) -> Decision:
    try:
        return decide()
    except errors.ResultError as error:
        return _refuse(error.code, error.detail)


def create(
    ledger: Ledger,
    now: float,
    shard: str,
    message: messages.CreateProgram,
    program_class: model.ProgramClass,
) -> Decision:
    """Starts a program in a shard; a sub-agent goes to its parent's."""
    return _decided(
        lambda: _create(ledger, now, shard, message, program_class)
    )


def _create(
    ledger: Ledger,
    now: float,
    shard: str,
    message: messages.CreateProgram,
    program_class: model.ProgramClass,
) -> Decision:
    if message.parent:
        _live_program(ledger, message.parent, message.client_account)
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
    return Decision(reply=reply, records=(record,), commit_soon=True)


def _held_shard(ledger: Ledger, shard: str) -> ledger_lib.Shard:
    state = ledger.shards.get(shard)
    if state is None:
        raise errors.ResultError(codes.OWNER_UNAVAILABLE)
    return state


def _program(
    ledger: Ledger, program: str, client_account: str
) -> ledger_lib.Program:
    _held_shard(ledger, ledger_lib.shard_of(program))
    found = ledger_lib.find(ledger, program)
    if found is None and ledger_lib.was_minted(ledger, program):
        raise errors.ResultError(codes.PROGRAM_ENDED)
    if found is None or found.client_account != client_account:
        raise errors.ResultError(codes.UNKNOWN_PROGRAM)
    return found


def _live_program(
    ledger: Ledger, program: str, client_account: str
) -> ledger_lib.Program:
    found = _program(ledger, program, client_account)
    if found.ended_code is not None:
        raise errors.ResultError(codes.PROGRAM_ENDED)
    return found


def begin(
    ledger: Ledger, now: float, epoch: int, message: messages.BeginCall
) -> Decision:
    """Admits an attempt of a call, or answers a repeat of an earlier one.

    epoch is the one under which the instance holds the shard now.
    """
    return _decided(lambda: _begin(ledger, now, epoch, message))


def _begin(
    ledger: Ledger, now: float, epoch: int, message: messages.BeginCall
) -> Decision:
    shard = _held_shard(ledger, ledger_lib.shard_of(message.program))
    if shard.epoch != epoch:
        raise errors.ResultError(codes.OWNER_UNAVAILABLE)
    message = _with_key(message)
    program = _program_of_call(ledger, message)
    repeat = _repeat(program, message)
    if repeat is not None:
        return repeat
    _check_unrecorded(ledger, program, message)
    if program.ended_code is not None:
        raise errors.ResultError(codes.PROGRAM_ENDED)
    _check_order(program, message)
    _check_history(program, message)
    _check_budget(program.budget, now, message.estimated_tokens)
    return _grant(ledger, now, epoch, program, message)


def _with_key(message: messages.BeginCall) -> messages.BeginCall:
    # Without a key, a repeat is still known by its place in the program.
    if message.idempotency_key or not message.call:
        return message
    return attrs.evolve(message, idempotency_key=f'\0call {message.call}')


def _program_of_call(
    ledger: Ledger, message: messages.BeginCall
) -> ledger_lib.Program:
    shard = _held_shard(ledger, ledger_lib.shard_of(message.program))
    known = ledger_lib.find(ledger, message.program) is not None
    minted = ledger_lib.was_minted(ledger, message.program)
    forgotten = minted or shard.unrecorded
    if forgotten and not known and not message.idempotent:
        # The program's calls are not known, so this may be a repeat.
        raise errors.ResultError(codes.OUTCOME_UNKNOWN)
    return _program(ledger, message.program, message.client_account)


def _check_unrecorded(
    ledger: Ledger,
    program: ledger_lib.Program,
    message: messages.BeginCall,
) -> None:
    shard = ledger.shards[ledger_lib.shard_of(program.program)]
    prefix, _ = ledger_lib.split_serial(program.program)
    earlier = prefix != shard.serial_prefix
    if shard.unrecorded and earlier and not message.idempotent:
        raise errors.ResultError(codes.OUTCOME_UNKNOWN)


def _repeat(
    program: ledger_lib.Program, message: messages.BeginCall
) -> Decision | None:
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
) -> Decision | None:
    if settled.state == ledger_lib.RAN:
        return _replayed(program, settled)
    repeatable = settled.state == ledger_lib.REPEATABLE
    free = program.open is None and settled.call == program.next_call
    if repeatable and free:
        return None
    raise errors.ResultError(codes.OUTCOME_UNKNOWN)


def _replayed(
    program: ledger_lib.Program, settled: ledger_lib.SettledCall
) -> Decision:
    held = program.held
    if held is None or held.call != settled.call or held.status == 0:
        raise errors.ResultError(codes.ALREADY_RAN)
    reply = messages.CallReplayed(
        program=program.program,
        call=held.call,
        attempt=1,
        status=held.status,
        content_type=held.content_type,
        answer=held.answer,
    )
    return Decision(reply=reply)


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
    ledger: Ledger,
    now: float,
    epoch: int,
    program: ledger_lib.Program,
    message: messages.BeginCall,
) -> Decision:
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
    return Decision(
        reply=reply,
        records=records,
        commit_first=bool(records) and published,
    )


def _is_current(
    program: ledger_lib.Program,
    message: messages.CallPlaced | messages.EndCall,
) -> bool:
    if program.open is None:
        return False
    token = program.open.fencing_token
    newest = (program.next_call, program.attempt, token)
    named = (message.call, message.attempt, message.fencing_token)
    return named == newest


def place(
    ledger: Ledger, now: float, message: messages.CallPlaced
) -> Decision:
    """Remembers the upstream that an attempt is about to be sent to."""
    del now
    program = ledger_lib.find(ledger, message.program)
    if program is None:
        return _refuse(codes.UNKNOWN_PROGRAM)
    if program.ended_code is not None:
        return _refuse(codes.PROGRAM_ENDED)
    if not _is_current(program, message):
        return _refuse(codes.OUT_OF_ORDER, 'the attempt is not under way')
    return _use_upstream(ledger, program, message.upstream)


def _use_upstream(
    ledger: Ledger, program: ledger_lib.Program, upstream: str
) -> Decision:
    if not upstream or upstream in program.upstreams:
        return Decision(reply=messages.Done())
    record = messages.UpstreamUsed(program=program.program, upstream=upstream)
    ledger_lib.apply(ledger, record)
    return Decision(reply=messages.Done(), records=(record,), commit_soon=True)


def end(ledger: Ledger, now: float, message: messages.EndCall) -> Decision:
    """Settles an attempt; a late end of an older attempt is dropped.

    The upstream of a late end is still remembered, or released at once
    where the program has ended.  One that adds to the history is refused,
    so that no caller is given an answer that the history does not hold.
    """
    program = ledger_lib.find(ledger, message.program)
    if program is None:
        return _released(message.program, (message.upstream,))
    if not _is_current(program, message):
        return _end_late(ledger, program, message)
    return _end_current(ledger, now, program, message)


def _end_late(
    ledger: Ledger, program: ledger_lib.Program, message: messages.EndCall
) -> Decision:
    if program.ended_code is None:
        decision = _use_upstream(ledger, program, message.upstream)
    else:
        decision = _released(message.program, (message.upstream,))
    if not message.history or _is_recorded(program, message):
        return decision
    refusal = _refuse(codes.OUTCOME_UNAVAILABLE, 'another attempt came first')
    return attrs.evolve(decision, reply=refusal.reply, commit_soon=False)


def _is_recorded(
    program: ledger_lib.Program, message: messages.EndCall
) -> bool:
    """Tells whether the end is a repeat of the one that was recorded."""
    held = program.held
    if held is None or held.call != message.call:
        return False
    return message.history_digest == program.history_digest


def _released(program: str, upstreams: tuple[str, ...]) -> Decision:
    releases = tuple(
        Release(program=program, upstream=upstream)
        for upstream in upstreams
        if upstream
    )
    return Decision(reply=messages.Done(), releases=releases)


def _end_current(
    ledger: Ledger,
    now: float,
    program: ledger_lib.Program,
    message: messages.EndCall,
) -> Decision:
    call = program.open
    if call is None:
        return Decision(reply=messages.Done())
    records: tuple[messages.Message, ...] = ()
    if message.execution is codes.Execution.NOT_RUN and call.idempotent:
        # It left no trace, so the log need not know of it.
        ledger_lib.close_call(program)
    else:
        records = (_finished(program, call, now, message),)
        ledger_lib.apply(ledger, records[0])
    releases: tuple[Release, ...] = ()
    if program.ended_code is not None:
        releases = _released(program.program, (message.upstream,)).releases
    return Decision(
        reply=messages.Done(),
        records=records,
        commit_soon=message.execution is codes.Execution.RAN,
        releases=releases,
    )


def _finished(
    program: ledger_lib.Program,
    call: ledger_lib.OpenCall,
    now: float,
    message: messages.EndCall,
) -> messages.CallFinished:
    held = len(message.answer) <= ledger_lib.ANSWER_LIMIT_BYTES
    return messages.CallFinished(
        program=message.program,
        call=message.call,
        idempotency_key=call.idempotency_key,
        body_digest=call.body_digest,
        execution=message.execution,
        # A status of 0 says that the answer is not held.
        status=message.status if held else 0,
        tokens=message.tokens,
        upstream=message.upstream,
        content_type=message.content_type,
        answer=message.answer if held else b'',
        history=message.history,
        history_digest=message.history_digest,
        attempt=program.attempt,
        finished_at=now,
        service_s=message.service_s,
    )


def finish(
    ledger: Ledger, now: float, message: messages.EndProgram
) -> Decision:
    """Ends a program and its sub-agents because the caller says so."""
    try:
        program = _program(ledger, message.program, message.client_account)
    except errors.ResultError as error:
        if error.code is codes.PROGRAM_ENDED:
            return Decision(reply=messages.Done())
        return _refuse(error.code, error.detail)
    return _end_tree(ledger, now, program, codes.OK)


def _end_tree(
    ledger: Ledger,
    now: float,
    program: ledger_lib.Program,
    code: codes.Result,
) -> Decision:
    shard = ledger.shards[ledger_lib.shard_of(program.program)]
    tree = [program, *ledger_lib.descendants(shard, program)]
    records = []
    releases: list[Release] = []
    for member in tree:
        if member.ended_code is not None:
            continue
        record = messages.ProgramEnded(
            program=member.program, code=code.number, ended_at=now
        )
        ledger_lib.apply(ledger, record)
        records.append(record)
        releases += _released(member.program, member.upstreams).releases
    return Decision(
        reply=messages.Done(), records=tuple(records), releases=tuple(releases)
    )


def expire(
    ledger: Ledger, now: float, served: typing.Container[str] | None = None
) -> Decision:
    """Ends programs out of time or idle, and forgets those long ended.

    served names the shards that may be served now, None for all.
    """
    records: list[messages.Message] = []
    releases: list[Release] = []
    for name, shard in ledger.shards.items():
        if served is not None and name not in served:
            continue
        _forget_ended(shard, now)
        for program in list(shard.programs.values()):
            if program.ended_code is None and _is_over(program, now):
                ended = _end_tree(ledger, now, program, codes.BUDGET_EXHAUSTED)
                records += ended.records
                releases += ended.releases
    return Decision(
        reply=messages.Done(), records=tuple(records), releases=tuple(releases)
    )


def _is_over(program: ledger_lib.Program, now: float) -> bool:
    budget = program.budget
    out_of_time = now >= budget.created_at + budget.max_duration_s
    idle = budget.open_calls == 0 and now >= budget.active_at + IDLE_LIMIT_S
    return out_of_time or idle


def _forget_ended(shard: ledger_lib.Shard, now: float) -> None:
    forgotten = [
        name
        for name, program in shard.programs.items()
        if program.ended_code is not None
        and program.open is None
        and now >= program.ended_at + ENDED_KEEP_S
    ]
    for name in forgotten:
        del shard.programs[name]


def unanswered(
    message: messages.Message, error: errors.ResultError
) -> errors.ResultError:
    """Returns what to answer where the owner of a program cannot be asked.

    A non-idempotent call may be the repeat of one that ran.
    """
    if isinstance(message, messages.BeginCall) and not message.idempotent:
        return lost_owner(error)
    return error


def lost_owner(error: errors.ResultError) -> errors.ResultError:
    """Returns what to answer to a non-idempotent call without an owner."""
    if error.code is not codes.OWNER_UNAVAILABLE:
        return error
    return errors.ResultError(
        codes.OUTCOME_UNAVAILABLE,
        error.detail,
        retry_after_s=error.retry_after_s,
    )


def replay(
    records: typing.Iterable[messages.Message], shards: typing.Iterable[str]
) -> Ledger:
    """Folds the wanted shards out of a programs stream, for a takeover."""
    replay = ledger_lib.Replay(shards=frozenset(shards))
    for record in records:
        ledger_lib.replay_record(replay, record)
    return replay.ledger
