"""Tests of decisions on programs: order, repeats, budgets, history."""

import typing

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from oleanderdrift import call_ends
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import held_shards
from oleanderdrift import invariants
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import program_ends
from oleanderdrift import programs

NOW: typing.Final = 1_000.0
EPOCH: typing.Final = 7
CLASS: typing.Final = model.ProgramClass(
    name='plan', target_s=60.0, max_calls=4, max_tokens=100
)
CREATE: typing.Final = messages.CreateProgram(
    client_account='acme', class_name='plan'
)
BEGIN: typing.Final = messages.BeginCall(
    program='s.1',
    client_account='acme',
    call=0,
    idempotency_key='k1',
    body_digest=b'b1',
    idempotent=True,
)
END: typing.Final = messages.EndCall(
    program='s.1',
    call=1,
    attempt=1,
    fencing_token=EPOCH,
    execution=codes.Execution.RAN,
    status=200,
    tokens=10,
    upstream='u1',
    service_s=0.5,
    answer=b'{}',
    history_digest=b'd1',
)
TOOL: typing.Final = attrs.evolve(BEGIN, idempotent=False)
LOST: typing.Final = attrs.evolve(END, execution=codes.Execution.UNKNOWN)
END_2: typing.Final = attrs.evolve(END, call=2)
NOT_RUN: typing.Final = attrs.evolve(END, execution=codes.Execution.NOT_RUN)
FINISH: typing.Final = messages.EndProgram(
    program='s.1', client_account='acme'
)

Step: typing.TypeAlias = (
    messages.CreateProgram
    | messages.BeginCall
    | messages.EndCall
    | messages.EndProgram
)


@pytest.fixture
def ledger() -> decisions.Ledger:
    ledger = decisions.Ledger()
    held_shards.hold_shard(ledger, 's', EPOCH)
    programs.create(ledger, NOW, 's', CREATE, CLASS)
    return ledger


def run(
    ledger: decisions.Ledger, *steps: Step, now: float = NOW
) -> decisions.Decision:
    """Handles the messages in turn and returns the last decision."""
    for step in steps:
        match step:
            case messages.CreateProgram():
                decision = programs.create(ledger, now, 's', step, CLASS)
            case messages.BeginCall():
                decision = programs.begin(ledger, now, EPOCH, step)
            case messages.EndCall():
                decision = call_ends.end(ledger, now, step)
            case messages.EndProgram():
                decision = program_ends.finish(ledger, now, step)
    return decision


def begin(**changes: typing.Any) -> messages.BeginCall:
    return attrs.evolve(BEGIN, **changes)


SECOND: typing.Final = begin(call=2, idempotency_key='k2')


@pytest.mark.parametrize(
    ('steps', 'code'),
    [
        ([begin(program='s.2')], codes.UNKNOWN_PROGRAM),
        ([begin(client_account='other')], codes.UNKNOWN_PROGRAM),
        ([begin(program='t.1')], codes.OWNER_UNAVAILABLE),
        ([begin(call=2)], codes.OUT_OF_ORDER),
        ([BEGIN, begin(idempotency_key='k2')], codes.OUT_OF_ORDER),
        ([BEGIN, END, begin(call=1, idempotency_key='x')], codes.OUT_OF_ORDER),
        ([BEGIN, BEGIN], codes.CALL_IN_PROGRESS),
        ([BEGIN, begin(body_digest=b'b2')], codes.BODY_MISMATCH),
        ([BEGIN, END, begin(body_digest=b'b2')], codes.BODY_MISMATCH),
        ([BEGIN, END, begin(call=2)], codes.BODY_MISMATCH),
        ([TOOL, LOST, TOOL], codes.OUTCOME_UNKNOWN),
        (
            [BEGIN, LOST, begin(idempotency_key='x'), BEGIN],
            codes.OUTCOME_UNKNOWN,
        ),
        ([BEGIN, END, SECOND, END_2, BEGIN], codes.ALREADY_RAN),
        ([BEGIN, END, FINISH, BEGIN], codes.ALREADY_RAN),
        ([BEGIN, END, FINISH, SECOND], codes.PROGRAM_ENDED),
        (
            [BEGIN, attrs.evolve(END, answer=bytes(20_000)), BEGIN],
            codes.ALREADY_RAN,
        ),
        (
            [BEGIN, END, attrs.evolve(SECOND, prefix_digest=b'other')],
            codes.HISTORY_MISMATCH,
        ),
        ([begin(estimated_tokens=101)], codes.BUDGET_EXHAUSTED),
        (
            [BEGIN, END, attrs.evolve(SECOND, estimated_tokens=91)],
            codes.BUDGET_EXHAUSTED,
        ),
    ],
)
def test_refusals(
    ledger: decisions.Ledger, steps: list[Step], code: codes.ResultCode
) -> None:
    reply = run(ledger, *steps).reply
    assert isinstance(reply, messages.ErrorReply)
    assert reply.code == code.number


@pytest.mark.parametrize(
    ('steps', 'call', 'attempt'),
    [
        ([BEGIN], 1, 1),
        ([BEGIN, LOST, BEGIN], 1, 2),
        ([BEGIN, LOST, begin(idempotency_key='k2')], 1, 2),
        ([TOOL, NOT_RUN, TOOL], 1, 2),
        ([TOOL, LOST, SECOND], 2, 1),
        ([BEGIN, END, attrs.evolve(SECOND, prefix_digest=b'd1')], 2, 1),
        ([BEGIN, END, begin(call=0, idempotency_key='')], 2, 1),
    ],
)
def test_grants(
    ledger: decisions.Ledger, steps: list[Step], call: int, attempt: int
) -> None:
    reply = run(ledger, *steps).reply
    assert isinstance(reply, messages.CallGranted)
    assert (reply.call, reply.attempt) == (call, attempt)
    assert reply.fencing_token == EPOCH


def test_repeat_gets_the_held_answer(ledger: decisions.Ledger) -> None:
    reply = run(ledger, TOOL, END, TOOL).reply
    assert isinstance(reply, messages.CallReplayed)
    assert (reply.status, reply.answer) == (200, b'{}')


def test_intent_of_a_published_shard_commits_first(
    ledger: decisions.Ledger,
) -> None:
    decision = run(ledger, TOOL)
    assert decision.commit_required
    assert isinstance(decision.records[0], messages.CallIntended)
    private = decisions.Ledger()
    held_shards.hold_shard(private, 's')
    programs.create(private, NOW, 's', CREATE, CLASS)
    assert not programs.begin(private, NOW, 0, TOOL).commit_required
    held_shards.publish_shard(private, 's')
    call_ends.end(private, NOW, attrs.evolve(END, fencing_token=0))
    second = attrs.evolve(SECOND, idempotent=False)
    assert programs.begin(private, NOW, 0, second).commit_required


@pytest.mark.parametrize(('attempt', 'token'), [(1, EPOCH), (2, EPOCH - 1)])
def test_late_end_is_dropped(
    ledger: decisions.Ledger, attempt: int, token: int
) -> None:
    run(ledger, BEGIN, LOST, BEGIN)
    late = attrs.evolve(
        END, attempt=attempt, fencing_token=token, upstream='u2'
    )
    decision = run(ledger, late)
    assert decision.records == (
        messages.UpstreamUsed(program='s.1', upstream='u2'),
    )
    reply = run(ledger, BEGIN).reply
    assert reply.code == codes.CALL_IN_PROGRESS.number


@pytest.mark.parametrize(
    ('last', 'history', 'recorded'),
    [
        (1, b'["other"]', False),
        (1, b'', True),
        (2, b'["told"]', True),
    ],
)
def test_late_end_may_not_add_to_the_history(
    ledger: decisions.Ledger, last: int, history: bytes, recorded: bool
) -> None:
    recorded_end = attrs.evolve(
        END, attempt=2, history=b'["told"]', history_digest=b'told'
    )
    run(ledger, BEGIN, LOST, BEGIN, recorded_end)
    late = attrs.evolve(
        recorded_end,
        attempt=last,
        history=history,
        history_digest=b'told' if last == 2 else b'other',
    )
    reply = run(ledger, late).reply
    assert isinstance(reply, messages.SuccessReply) == recorded


def test_end_of_an_unknown_program_may_not_add_to_the_history() -> None:
    """An owner that restarted knows none of its former programs."""
    restarted = decisions.Ledger()
    told = attrs.evolve(END, history=b'["told"]', history_digest=b'told')
    decision = run(restarted, told)
    assert decision.reply.code == codes.OUTCOME_UNAVAILABLE.number
    assert len(decision.releases) == 1
    assert run(restarted, END).reply == messages.SuccessReply()


def test_sub_agents_share_the_budget_and_end_with_the_root(
    ledger: decisions.Ledger,
) -> None:
    sub = attrs.evolve(CREATE, parent='s.1')
    assert run(ledger, sub).reply == messages.ProgramStarted(program='s.2')
    run(ledger, begin(estimated_tokens=60))
    reply = run(ledger, begin(program='s.2', estimated_tokens=60)).reply
    assert reply.code == codes.BUDGET_EXHAUSTED.number
    run(ledger, begin(program='s.2', estimated_tokens=40))
    run(ledger, END, attrs.evolve(END, program='s.2', upstream='u2'))
    decision = run(ledger, FINISH)
    assert decision.releases == (
        decisions.PrefixRelease(program='s.1', upstream='u1'),
        decisions.PrefixRelease(program='s.2', upstream='u2'),
    )
    reply = run(ledger, attrs.evolve(SECOND, program='s.2')).reply
    assert reply.code == codes.PROGRAM_ENDED.number


def test_late_end_of_an_ended_program_is_released(
    ledger: decisions.Ledger,
) -> None:
    release = decisions.PrefixRelease(program='s.1', upstream='u1')
    assert run(ledger, BEGIN, FINISH, END).releases == (release,)


@pytest.mark.parametrize('after_s', [CLASS.max_duration_s, 14_400.0])
def test_expiry_ends_and_forgets(
    ledger: decisions.Ledger, after_s: float
) -> None:
    run(ledger, TOOL, END)
    assert not program_ends.expire(ledger, NOW + 1).records
    decision = program_ends.expire(ledger, NOW + after_s)
    assert len(decision.releases) == 1
    program_ends.expire(ledger, NOW + after_s + program_ends.ENDED_RETENTION_S)
    reply = run(ledger, TOOL).reply
    assert reply.code == codes.OUTCOME_UNKNOWN.number


def test_takeover_settles_an_open_intent_as_unknown(
    ledger: decisions.Ledger,
) -> None:
    records = [
        messages.ProgramCreated(
            program='s.1',
            client_account='acme',
            class_name='plan',
            max_calls=4,
            max_duration_s=60.0,
            created_at=NOW,
        )
    ]
    records += run(ledger, TOOL).records
    late = messages.CallIntended(
        program='s.1', call=2, idempotency_key='k2', body_digest=b''
    )
    encoded = tuple(codec.encode(record) for record in records)
    stream = [
        messages.ShardRecords(shard='s', epoch=EPOCH, records=encoded),
        messages.ShardFenced(shard='s', epoch=9),
        messages.ShardRecords(
            shard='s', epoch=EPOCH, records=(codec.encode(late),)
        ),
    ]
    successor = decisions.Ledger()
    found = held_shards.replay(stream, {'s'})
    decision = held_shards.take_shard(successor, NOW, 's', 9, found)
    assert len(decision.records) == 1
    reply = programs.begin(successor, NOW, 9, TOOL).reply
    assert reply.code == codes.OUTCOME_UNKNOWN.number
    reply = programs.begin(successor, NOW, 9, SECOND).reply
    assert reply.fencing_token == 9
    started = programs.create(successor, NOW, 's', CREATE, CLASS).reply
    assert started == messages.ProgramStarted(program='s.9-1')


@pytest.mark.parametrize(
    ('program', 'unrecorded', 'code'),
    [
        ('s.1', False, codes.UNKNOWN_PROGRAM),
        ('s.1', True, codes.OUTCOME_UNKNOWN),
        ('s.9', True, codes.OUTCOME_UNKNOWN),
    ],
)
def test_takeover_where_calls_may_be_unrecorded(
    ledger: decisions.Ledger,
    program: str,
    unrecorded: bool,
    code: codes.ResultCode,
) -> None:
    successor = decisions.Ledger()
    found = ledger if unrecorded else decisions.Ledger()
    held_shards.take_shard(
        successor, NOW, 's', 9, found, unrecorded=unrecorded
    )
    message = attrs.evolve(TOOL, program=program)
    reply = programs.begin(successor, NOW, 9, message).reply
    assert reply.code == code.number


CHOICES: typing.Final = (
    CREATE,
    attrs.evolve(CREATE, parent='s.1'),
    FINISH,
    *(
        attrs.evolve(step, program=program)
        for program in ('s.1', 's.2')
        for step in (BEGIN, TOOL, SECOND, END, LOST, NOT_RUN, END_2)
    ),
)


@hypothesis.given(
    steps=strategies.lists(
        strategies.sampled_from(CHOICES), min_size=10, max_size=40
    ),
    copies=strategies.lists(strategies.integers(0, 39), max_size=5),
)
@hypothesis.settings(derandomize=True, database=None, max_examples=100)
def test_replay_reaches_the_owners_state(
    steps: list[Step], copies: list[int]
) -> None:
    live = decisions.Ledger()
    held_shards.hold_shard(live, 's', EPOCH)
    stream = []
    for number, step in enumerate([CREATE, *steps]):
        for record in run(live, step, now=NOW + number).records:
            data = (codec.encode(record),)
            stream.append(
                messages.ShardRecords(shard='s', epoch=EPOCH, records=data)
            )
    for copy in copies:
        number = copy % (len(stream) + 1)
        # An append whose answer was lost is repeated with all its records.
        stream[number:number] = stream[max(0, number - 3) : number]
    found = held_shards.replay(stream, ['s'])
    for ledger in (live, found):
        held_shards.hold_shard(ledger, 's', EPOCH)
        for program in ledger.shards['s'].programs.values():
            if program.open is not None and program.open.idempotent:
                ledger_lib.close_call(program)
            elif program.open is not None:
                program.open.fencing_token = EPOCH
    assert found == live


def test_history_digest_chains() -> None:
    whole = programs.history_digest([b'a', b'b', b'c'])
    first = programs.history_digest([b'a'])
    assert programs.history_digest([b'b', b'c'], first) == whole
    assert programs.history_digest([b'ab', b'c']) != whole


def test_a_broken_invariant_counts_and_raises() -> None:
    invariants.check(True, 'test-holds')
    with pytest.raises(errors.ResultError) as caught:
        invariants.check(False, 'test-broken', 'detail')
    assert caught.value.code is codes.INVARIANT_BROKEN
    assert invariants.BREACHES['test-broken'] == 1
