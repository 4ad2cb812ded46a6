"""The state of the programs in an instance's shards.

`programs` makes decisions and turns them into records; `apply` is the
only function through which a record changes the state.  A successor that
replays the same records from the log therefore reaches the state that the
owner had.  Times are Unix time, because a successor continues from them.
"""

import hashlib
import struct
import typing

import attrs

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import messages

STORED_ANSWER_LIMIT_BYTES: typing.Final = 16_384

_DIGEST_BYTES: typing.Final = 16
_SETTLED_CALL: typing.Final = struct.Struct('>HB16s16s')
_KEY_OFFSET: typing.Final = 3

# States of a settled call.  A repeat of a call that RAN gets the stored
# answer or ALREADY_RAN; one that MAY_HAVE_RUN gets OUTCOME_UNKNOWN; one
# that is REPEATABLE runs again as long as it is the program's next call.
RAN: typing.Final = 1
MAY_HAVE_RUN: typing.Final = 2
REPEATABLE: typing.Final = 3


@attrs.define(kw_only=True)
class Budget:
    """Limits and usage shared by a root program and its sub-agents.

    active_at is excluded from comparison because the start of an
    idempotent call is not logged, so a replay cannot reproduce it.
    """

    created_at: float
    active_at: float = attrs.field(eq=False)
    target_s: float
    max_calls: int
    max_tokens: int
    max_duration_s: float
    calls: int = 0
    tokens: int = 0
    attained_s: float = 0.0
    open_calls: int = 0
    reserved_tokens: int = 0


@attrs.define(kw_only=True)
class OpenCall:
    """A call with an attempt in progress."""

    idempotency_key: str
    body_digest: bytes
    idempotent: bool
    estimated_tokens: int = 0
    fencing_token: int = 0


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer of the latest call, returned to its repeats."""

    call: int
    status: int
    content_type: str
    answer: bytes
    adds_history: bool = False


@attrs.frozen(kw_only=True)
class SettledCall:
    """A call that is no longer open, and its state (RAN, for example)."""

    call: int
    state: int
    body_digest: bytes


@attrs.define(kw_only=True)
class Program:
    """One program: its next call, the digest of its history, its usage.

    settled packs the calls that are no longer open, 35 bytes each.
    attempt and finished_attempt are the numbers of the latest attempt of
    next_call that was started and that was finished.
    """

    program: str
    client_account: str
    class_name: str
    parent: str
    budget: Budget
    next_call: int = 1
    history_digest: bytes = b''
    upstreams: tuple[str, ...] = ()
    settled: bytearray = attrs.field(factory=bytearray)
    stored_answer: StoredAnswer | None = None
    open: OpenCall | None = None
    ended_code: int | None = None
    ended_at: float = 0.0
    attempt: int = attrs.field(default=0, eq=False)
    finished_attempt: int = attrs.field(default=0, eq=False)


@attrs.define(kw_only=True)
class Shard:
    """One ownership shard.

    serial_prefix distinguishes program ids minted after a takeover from
    ids that an earlier holder may have minted without recording them.
    minted maps each prefix to the highest serial known to be in use.  A
    shard that is not published cannot be taken over.  unrecorded means
    that calls may have run under an earlier holder without a durable
    intent.
    """

    epoch: int = 0
    published: bool = False
    unrecorded: bool = False
    serial_prefix: str = ''
    minted: dict[str, int] = attrs.field(factory=dict)
    programs: dict[str, Program] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Ledger:
    """The shards whose programs an instance owns."""

    shards: dict[str, Shard] = attrs.field(factory=dict)


def shard_of(program: str) -> str:
    """Returns the shard name contained in a program id."""
    return program.rpartition('.')[0]


def split_serial(program: str) -> tuple[str, int]:
    """Returns the prefix and number of a program id's serial, or ('', 0)."""
    prefix, dash, number = program.rpartition('.')[2].rpartition('-')
    if not (number.isascii() and number.isdigit()):
        return '', 0
    return prefix + dash, int(number)


def find(ledger: Ledger, program: str) -> Program | None:
    """Returns a program of the ledger, even if it has ended."""
    shard = ledger.shards.get(shard_of(program))
    return shard.programs.get(program) if shard else None


def was_minted(ledger: Ledger, program: str) -> bool:
    """Returns whether the id was ever given to a program."""
    shard = ledger.shards.get(shard_of(program))
    prefix, number = split_serial(program)
    return shard is not None and 0 < number <= shard.minted.get(prefix, 0)


def short_digest(data: bytes) -> bytes:
    """Returns the digest by which keys and bodies are compared."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def find_settled(program: Program, key: str) -> SettledCall | None:
    """Returns the call that used an idempotency key, if it is settled."""
    start = _find_entry(program.settled, short_digest(key.encode()))
    if start < 0:
        return None
    call, state, _, body = _SETTLED_CALL.unpack_from(program.settled, start)
    return SettledCall(call=call, state=state, body_digest=body)


def _find_entry(settled: bytearray, key_digest: bytes) -> int:
    found = settled.find(key_digest)
    while found >= 0 and found % _SETTLED_CALL.size != _KEY_OFFSET:
        found = settled.find(key_digest, found + 1)
    return found - _KEY_OFFSET if found >= 0 else -1


def _settle(
    program: Program, record: messages.CallFinished, state: int
) -> None:
    if not record.idempotency_key:
        return
    key = short_digest(record.idempotency_key.encode())
    entry = _SETTLED_CALL.pack(record.call, state, key, record.body_digest)
    start = _find_entry(program.settled, key)
    if start < 0:
        program.settled += entry
    else:
        program.settled[start : start + _SETTLED_CALL.size] = entry


def open_call(program: Program, attempt: int, call: OpenCall) -> None:
    """Records that an attempt of the next call is in progress."""
    program.open = call
    program.attempt = attempt
    program.budget.open_calls += 1
    program.budget.reserved_tokens += call.estimated_tokens


def close_call(program: Program) -> OpenCall | None:
    """Ends the attempt in progress and frees its token reservation."""
    call = program.open
    if call is not None:
        program.open = None
        program.finished_attempt = program.attempt
        program.budget.open_calls -= 1
        program.budget.reserved_tokens -= call.estimated_tokens
    return call


def descendants(shard: Shard, program: Program) -> list[Program]:
    """Returns a program's sub-agents of every depth."""
    found: list[Program] = []
    parents = {program.program}
    for other in shard.programs.values():
        if other.parent in parents:
            parents.add(other.program)
            found.append(other)
    return found


def apply(ledger: Ledger, record: messages.Message) -> None:
    """Applies one record of a shard; applying it again has no effect."""
    shard = ledger.shards.setdefault(shard_of(record.program), Shard())
    if isinstance(record, messages.ProgramCreated):
        _apply_created(shard, record)
        return
    program = shard.programs.get(record.program)
    if program is None:
        return
    match record:
        case messages.CallIntended():
            _apply_intended(program, record)
        case messages.CallFinished():
            _apply_finished(program, record)
        case messages.UpstreamUsed():
            _apply_upstream(program, record.upstream)
        case messages.ProgramEnded():
            _apply_ended(program, record)


def _apply_created(shard: Shard, record: messages.ProgramCreated) -> None:
    prefix, number = split_serial(record.program)
    if number <= shard.minted.get(prefix, 0):
        return
    shard.minted[prefix] = number
    parent = shard.programs.get(record.parent)
    budget = parent.budget if parent else _new_budget(record)
    budget.active_at = record.created_at
    shard.programs[record.program] = Program(
        program=record.program,
        client_account=record.client_account,
        class_name=record.class_name,
        parent=record.parent,
        budget=budget,
    )


def _new_budget(record: messages.ProgramCreated) -> Budget:
    return Budget(
        created_at=record.created_at,
        active_at=record.created_at,
        target_s=record.target_s,
        max_calls=record.max_calls,
        max_tokens=record.max_tokens,
        max_duration_s=record.max_duration_s,
    )


def _apply_intended(program: Program, record: messages.CallIntended) -> None:
    newest = (program.next_call, program.attempt)
    if (record.call, record.attempt) <= newest:
        return
    close_call(program)
    call = OpenCall(
        idempotency_key=record.idempotency_key,
        body_digest=record.body_digest,
        idempotent=False,
    )
    open_call(program, record.attempt, call)
    program.budget.active_at = record.intended_at


def _apply_finished(program: Program, record: messages.CallFinished) -> None:
    newest = (program.next_call, program.finished_attempt)
    if (record.call, record.attempt) <= newest:
        return
    call = close_call(program)
    program.finished_attempt = record.attempt
    program.attempt = max(program.attempt, record.attempt)
    budget = program.budget
    budget.active_at = record.finished_at
    budget.tokens += record.tokens
    budget.attained_s += record.service_s
    _apply_upstream(program, record.upstream)
    if record.execution is codes.Execution.NOT_RUN:
        return
    budget.calls += 1
    if record.execution is codes.Execution.RAN:
        _settle(program, record, RAN)
        _advance(program, record)
    elif call is None or call.idempotent:
        _settle(program, record, REPEATABLE)
    else:
        _settle(program, record, MAY_HAVE_RUN)
        _advance(program, record)


def _advance(program: Program, record: messages.CallFinished) -> None:
    program.next_call = record.call + 1
    program.attempt = 0
    program.finished_attempt = 0
    program.history_digest = record.history_digest or program.history_digest
    program.stored_answer = StoredAnswer(
        call=record.call,
        status=record.status,
        content_type=record.content_type,
        answer=record.answer,
        adds_history=bool(record.history),
    )


def _apply_upstream(program: Program, upstream: str) -> None:
    if upstream and upstream not in program.upstreams:
        program.upstreams = (*program.upstreams, upstream)


def _apply_ended(program: Program, record: messages.ProgramEnded) -> None:
    if program.ended_code is None:
        program.ended_code = record.code
        program.ended_at = record.ended_at
        program.stored_answer = None


@attrs.define(kw_only=True)
class Replay:
    """Rebuilds the ledger of some shards from a programs stream.

    fences maps each shard to the newest epoch that fenced it.
    """

    shards: frozenset[str]
    ledger: Ledger = attrs.field(factory=Ledger)
    fences: dict[str, int] = attrs.field(factory=dict)


def replay_record(replay: Replay, record: messages.Message) -> None:
    """Applies the stream's next Batch, ShardRecords or ShardFenced.

    Records of an epoch older than a preceding fence are ignored.
    """
    match record:
        case messages.Batch():
            for data in record.records:
                replay_record(replay, codec.decode(data))
        case messages.ShardFenced():
            newest = max(replay.fences.get(record.shard, 0), record.epoch)
            replay.fences[record.shard] = newest
        case messages.ShardRecords() if record.shard in replay.shards:
            if record.epoch >= replay.fences.get(record.shard, 0):
                for data in record.records:
                    apply(replay.ledger, codec.decode(data))
