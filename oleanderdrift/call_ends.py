"""Decisions on the placement and the end of a call's attempt.

A late end of an older attempt only updates the list of upstreams that may
cache the program's prefix.  `now` is Unix time.
"""

import attrs

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages


def is_current(
    program: ledger_lib.Program,
    message: messages.CallPlaced | messages.EndCall,
) -> bool:
    """Returns whether a message refers to the attempt in progress."""
    if program.open is None:
        return False
    token = program.open.fencing_token
    newest = (program.next_call, program.attempt, token)
    named = (message.call, message.attempt, message.fencing_token)
    return named == newest


def place(
    ledger: decisions.Ledger, now: float, message: messages.CallPlaced
) -> decisions.Decision:
    """Records the upstream that an attempt is about to be sent to."""
    del now
    program = ledger_lib.find(ledger, message.program)
    if program is None:
        return decisions.refuse(codes.UNKNOWN_PROGRAM)
    if program.ended_code is not None:
        return decisions.refuse(codes.PROGRAM_ENDED)
    if not is_current(program, message):
        return decisions.refuse(
            codes.OUT_OF_ORDER, 'the attempt is not under way'
        )
    return _record_upstream(ledger, program, message.upstream)


def _record_upstream(
    ledger: decisions.Ledger, program: ledger_lib.Program, upstream: str
) -> decisions.Decision:
    if not upstream or upstream in program.upstreams:
        return decisions.Decision(reply=messages.SuccessReply())
    record = messages.UpstreamUsed(program=program.program, upstream=upstream)
    ledger_lib.apply(ledger, record)
    return decisions.Decision(
        reply=messages.SuccessReply(),
        records=(record,),
        commit_if_available=True,
    )


def end(
    ledger: decisions.Ledger, now: float, message: messages.EndCall
) -> decisions.Decision:
    """Settles an attempt; a late end of an older attempt is not applied.

    The upstream of a late end is still recorded, or released at once if
    the program has ended.  A late end that would add to the history is
    refused, so that no caller gets an answer that the history lacks, and
    so is such an end of a program that is not known here.
    """
    program = ledger_lib.find(ledger, message.program)
    if program is None:
        return _end_unknown(message)
    if not is_current(program, message):
        return _end_late(ledger, program, message)
    return _end_current(ledger, now, program, message)


def _end_unknown(message: messages.EndCall) -> decisions.Decision:
    decision = decisions.release_prefixes(message.program, (message.upstream,))
    if not message.history:
        return decision
    return _refuse_history(decision, 'the program is not known here')


def _refuse_history(
    decision: decisions.Decision, detail: str
) -> decisions.Decision:
    refusal = decisions.refuse(codes.OUTCOME_UNAVAILABLE, detail)
    return attrs.evolve(
        decision, reply=refusal.reply, commit_if_available=False
    )


def _end_late(
    ledger: decisions.Ledger,
    program: ledger_lib.Program,
    message: messages.EndCall,
) -> decisions.Decision:
    if program.ended_code is None:
        decision = _record_upstream(ledger, program, message.upstream)
    else:
        decision = decisions.release_prefixes(
            message.program, (message.upstream,)
        )
    if not message.history:
        return decision
    if _is_recorded(program, message):
        return attrs.evolve(decision, tells_history=program.program)
    return _refuse_history(decision, 'another attempt was recorded first')


def _is_recorded(
    program: ledger_lib.Program, message: messages.EndCall
) -> bool:
    """Returns whether the end is a repeat of the one already recorded."""
    stored = program.stored_answer
    if stored is None or stored.call != message.call:
        return False
    return message.history_digest == program.history_digest


def _end_current(
    ledger: decisions.Ledger,
    now: float,
    program: ledger_lib.Program,
    message: messages.EndCall,
) -> decisions.Decision:
    call = program.open
    if call is None:
        return decisions.Decision(reply=messages.SuccessReply())
    records: tuple[messages.Message, ...] = ()
    if message.execution is codes.Execution.NOT_RUN and call.idempotent:
        # The attempt had no effect and no intent, so nothing is logged.
        ledger_lib.close_call(program)
    else:
        records = (_finished(program, call, now, message),)
        ledger_lib.apply(ledger, records[0])
    releases: tuple[decisions.PrefixRelease, ...] = ()
    if program.ended_code is not None:
        releases = decisions.release_prefixes(
            program.program, (message.upstream,)
        ).releases
    return decisions.Decision(
        reply=messages.SuccessReply(),
        records=records,
        commit_if_available=message.execution is codes.Execution.RAN,
        releases=releases,
        tells_history=program.program if message.history else '',
    )


def _finished(
    program: ledger_lib.Program,
    call: ledger_lib.OpenCall,
    now: float,
    message: messages.EndCall,
) -> messages.CallFinished:
    is_stored = len(message.answer) <= ledger_lib.STORED_ANSWER_LIMIT_BYTES
    return messages.CallFinished(
        program=message.program,
        call=message.call,
        idempotency_key=call.idempotency_key,
        body_digest=call.body_digest,
        execution=message.execution,
        # A status of 0 marks an answer that is too large to be stored.
        status=message.status if is_stored else 0,
        tokens=message.tokens,
        upstream=message.upstream,
        content_type=message.content_type,
        answer=message.answer if is_stored else b'',
        history=message.history,
        history_digest=message.history_digest,
        attempt=program.attempt,
        finished_at=now,
        service_s=message.service_s,
    )
