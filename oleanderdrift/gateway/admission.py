"""Decides whether a request is admitted, from the instance's local state."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import engine_admission
from oleanderdrift.gateway import engine_memory
from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing

# Callers retry after this when only this instance cannot serve; another one
# may serve them at once.
RETRY_ELSEWHERE_S: typing.Final = 0.05
# Outages of the store last some seconds, and callers retry only a few times.
OUTAGE_RETRY_S: typing.Final = 1.0
# A long outage is likely to continue: the next try comes after this fraction
# of its age, so that six tries outlast it.
OUTAGE_RETRY_FRACTION: typing.Final = 0.8
# A longer delay would be idle time after a usual outage.
MAX_OUTAGE_RETRY_S: typing.Final = 2.0


@attrs.frozen(kw_only=True)
class Admitted:
    """An admitted request with its route, service and account.

    suspended_s was the total time that the machine had been suspended when
    the request was admitted.  begins_program says that it is the first turn
    of a program, so that nothing is lost if it has to come back.
    """

    request: model.Request
    route: model.Route
    service: model.Service
    account: model.ClientAccount | None
    config_version: int
    suspended_s: float
    begins_program: bool = False

    def is_turn(self) -> bool:
        """Returns whether it has a token budget or a retained conversation."""
        has_budget = self.request.token_budget is not None
        return has_budget or self.route.retains

    def is_call(self) -> bool:
        """Returns whether it is a call of a plain upstream."""
        is_stream = self.route.kind is model.RouteKind.STREAMING
        return not (self.service.is_engine or is_stream or self.request.prompt)

    def may_repeat(self) -> bool:
        """Returns whether the request may run more than once."""
        return (
            self.route.kind is model.RouteKind.IDEMPOTENT
            or self.route.is_resumable_stream()
        )

    def may_abort(self) -> bool:
        """Returns whether the request may be aborted on a silent upstream.

        A program retries a failed turn, but not a failed call of a
        non-idempotent tool.
        """
        return self.may_repeat() or self.is_turn()


def admit(
    board: board_lib.Board,
    request: model.Request,
    now: float,
    boot_now: float,
) -> Admitted:
    """Returns the admitted request; raises ResultError if it is refused.

    now is monotonic time, and boot_now also advances during suspension.
    """
    config = board.config
    if config is None or not board.upstreams_known:
        raise errors.ResultError(
            codes.NOT_READY, retry_after_s=RETRY_ELSEWHERE_S
        )
    peers_have_store = board.reachability.others_have_store(now)
    if not may_serve(board, peers_have_store, boot_now):
        age_s = board.freshness.age_s(boot_now)
        raise errors.ResultError(
            codes.KEYS_UNVERIFIABLE,
            f'the last answered read of the store is {age_s:.2f} s old',
            retry_after_s=store_retry_s(
                peers_have_store, age_s, request.request_id
            ),
        )
    check_pause(board, now, boot_now)
    route = routing.find_route(config, request.host, request.target)
    check_stop(board, request, route)
    account = routing.find_account(config, route, request.key)
    name = routing.choose_service(route, request)
    service = config.services.get(name)
    if service is None:
        raise errors.ResultError(
            codes.NO_UPSTREAM, f'no service {name} is configured'
        )
    engine_memory.check(service, request)
    program_started = engine_admission.has_started(board, request)
    begins_program = bool(
        service.is_engine and request.program_id and not program_started
    )
    if service.is_engine:
        engine_admission.check(
            board,
            request,
            route,
            account,
            now,
            begins_program=begins_program,
        )
    if account is not None:
        refusal = board.rate_limiter.admit(account, now, program_started)
        if refusal is not None:
            raise errors.ResultError(
                codes.RATE_EXCEEDED,
                f'{account.name}: {refusal.text()}',
                retry_after_s=refusal.retry_after_s,
            )
    if request.program_id:
        board.note_started_program(request.program_id)
    return Admitted(
        request=request,
        route=route,
        service=service,
        account=account,
        config_version=config.version,
        suspended_s=boot_now - now,
        begins_program=begins_program,
    )


def may_serve(
    board: board_lib.Board, peers_have_store: bool, boot_now: float
) -> bool:
    """Returns whether what is known of keys and evacuations may be used."""
    limit_s = board.settings.key_grace_s
    evacuate_s = board.settings.evacuate_s
    if peers_have_store and evacuate_s is not None:
        limit_s = min(limit_s, evacuate_s)
    return board.freshness.may_serve(boot_now, limit_s, peers_have_store)


def check_pause(board: board_lib.Board, now: float, boot_now: float) -> None:
    """Raises ResultError if the store was not read since a pause."""
    board.check_pause(now, boot_now)
    if not board.has_read_since_pause():
        raise errors.ResultError(
            codes.KEYS_UNVERIFIABLE,
            'the store has not been read since the process was paused',
            retry_after_s=RETRY_ELSEWHERE_S,
        )


def latest_end(request: model.Request, route: model.Route) -> float:
    """Returns when the work on a request ends at the latest."""
    return min(request.deadline, request.received + route.timeout_s)


def check_stop(
    board: board_lib.Board, request: model.Request, route: model.Route
) -> None:
    """Raises ResultError if a request might outlast a stopping instance.

    Most requests end long before their latest end, but another instance
    serves all of them, at the cost of one more connection.
    """
    left_s = board.stop_deadline - latest_end(request, route)
    if left_s < 0:
        raise errors.ResultError(
            codes.SHUTTING_DOWN,
            f'the request may take {-left_s:.2f} s more than is left',
            retry_after_s=RETRY_ELSEWHERE_S,
        )


def remaining_s(
    board: board_lib.Board,
    admitted: Admitted,
    deadline: float,
    now: float,
    boot_now: float,
) -> float:
    """Returns the time left for a request that is about to be sent.

    The process may have been paused since the request was admitted, so all
    that allowed it is checked again.  The monotonic clock, which deadline is
    on, stands still while the machine is suspended.  Raises ResultError if
    the request may not be sent any more.
    """
    peers_have_store = board.reachability.others_have_store(now)
    check_pause(board, now, boot_now)
    if not may_serve(board, peers_have_store, boot_now):
        raise errors.ResultError(
            codes.KEYS_UNVERIFIABLE,
            'the store was lost while the request was prepared',
            retry_after_s=RETRY_ELSEWHERE_S,
        )
    config, account = board.config, admitted.account
    if account is not None and config is not None:
        accounts = config.accounts_by_key or {}
        holder = accounts.get(admitted.request.key or '')
        if holder is None or holder.name != account.name:
            raise errors.ResultError(
                codes.UNKNOWN_KEY,
                'the key was withdrawn while the request was prepared',
            )
    left_s = deadline - now - (boot_now - now - admitted.suspended_s)
    if left_s <= 0:
        raise errors.ResultError(
            codes.OVERLOADED, 'the deadline passed before the request was sent'
        )
    return left_s


def store_retry_s(
    peers_have_store: bool, age_s: float, request_id: str
) -> float:
    """Returns the Retry-After of a request that needs the store.

    peers_have_store says that another instance can serve the request.  If
    the whole fleet has lost the store, the delay grows with age_s, the time
    for which it has failed, so that the callers' few tries outlast the
    outage.  Up to half of the delay is added by request, to
    spread the callers.
    """
    if peers_have_store:
        return RETRY_ELSEWHERE_S
    delay_s = max(OUTAGE_RETRY_S, age_s * OUTAGE_RETRY_FRACTION)
    delay_s = min(delay_s, MAX_OUTAGE_RETRY_S)
    return delay_s * (1 + routing.hash_fraction(request_id) / 2)
