"""Admits turns by the load of the engines that they could go to.

Joins what `program_admission` decides with the state on the board.
"""

import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import engine_load
from oleanderdrift.gateway import model
from oleanderdrift.gateway import program_admission
from oleanderdrift.gateway import program_pace
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams

# What callers state beyond is not believed.
MAX_PROGRAM_S: typing.Final = 600.0
# Some tokens of limited upstreams come within this time.
LIMITED_RETRY_S: typing.Final = 0.3


def check(
    board: board_lib.Board,
    request: model.Request,
    route: model.Route,
    account: model.ClientAccount | None,
    now: float,
    *,
    begins_program: bool,
) -> None:
    """Raises ResultError if the engines cannot carry a turn.

    Turns of programs under way are refused only if these are late.
    """
    refused = board.refused_programs
    is_late = request.finish_s is not None and request.finish_s <= 0.0
    if begins_program:
        is_late = refused.is_late(request.program_id, request.finish_s)
    if not (begins_program or is_late):
        return
    service = routing.choose_service(route, request)
    engines = _usable(board, service, route, account, now)
    limits = board.upstream_limits
    if (
        begins_program
        and engines
        and not limits.can_begin(service, engines, now)
    ):
        raise limited_error(request.request_id, begins_program=True)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    pace = board.paces.of(service)
    refusal = program_admission.refuse_program(
        engines,
        priority,
        request.request_id,
        now,
        limits,
        load=engine_load.load_of(engines, pace.token_s(now), now),
        program=request.program_id,
        is_late=is_late,
    )
    pace.note_decision(is_refused=refusal is not None, now=now)
    if refusal is None:
        return
    refused.note(request.program_id, request.finish_s)
    raise errors.ResultError(
        codes.OVERLOADED,
        refusal.text(),
        retry_after_s=refusal.retry_after_s,
    )


def has_started(board: board_lib.Board, request: model.Request) -> bool:
    """Returns whether a request is a later one of its program.

    The last part of a prompt is its session's own.  Engines have it from the
    session's earlier turns, which may have come to other instances.
    """
    return bool(
        program_admission.is_later_turn(request)
        or request.token_budget is None
        or request.program_id in board.started_programs
        or (request.prompt and board.upstreams.is_cached(request.prompt[-1]))
    )


def note_ended(
    board: board_lib.Board,
    request: model.Request,
    service: str,
    tokens: int,
    first_s: float,
    now: float,
    *,
    begins_program: bool,
) -> None:
    """Counts a turn that has ended and the tokens that it generated.

    first_s is how long it waited for the first of them.
    """
    if not tokens or request.finish_s is None:
        return
    turn = program_pace.Turn(
        due=request.received + request.finish_s,
        left_s=min(request.finish_s, MAX_PROGRAM_S),
        tokens=tokens,
        first_s=first_s,
        begins_program=begins_program,
    )
    board.paces.of(service).note_end(turn, now)


def limited_error(
    request_id: str, *, begins_program: bool
) -> errors.ResultError:
    """Returns the error where all upstreams have got what they take.

    A new program comes back when some under way will have ended; others
    come back sooner, since their programs wait for them.
    """
    retry_s = (
        program_admission.MIN_RETRY_S if begins_program else LIMITED_RETRY_S
    )
    spread = program_admission.RETRY_SPREAD * routing.hash_fraction(request_id)
    return errors.ResultError(
        codes.OVERLOADED,
        'all upstreams have got the rate that they take',
        retry_after_s=retry_s * (1 + spread),
    )


def _usable(
    board: board_lib.Board,
    service: str,
    route: model.Route,
    account: model.ClientAccount | None,
    now: float,
) -> list[upstreams.Upstream]:
    """Returns the engines that a program's turns could go to.

    Those that are cold carry next to nothing.
    """
    engines = board.upstreams.of_service(
        service, include_lapsed=False, inside=board.inside(route, account)
    )
    return board.cold_shares.warm(board.services().get(service), engines, now)
