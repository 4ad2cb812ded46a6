"""Decides whether a request may go on, from what the instance knows."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing

# Callers come back after this long when the instance cannot serve; another
# instance may serve them at once.
ELSEWHERE_S: typing.Final = 0.05
# Outages of the store last some seconds, and callers try a few times.
OUTAGE_RETRY_S: typing.Final = 1.0
# An outage that has lasted for long is likely to last on: the next try
# comes after this part of its age, so that six tries outlast it.
OUTAGE_RETRY_PART: typing.Final = 0.8
# A longer pause would be idle time after the usual outage.
MAX_OUTAGE_RETRY_S: typing.Final = 2.0


@attrs.frozen(kw_only=True)
class Admitted:
    """A request that may go on, and what was found for it."""

    request: model.Request
    route: model.Route
    service: model.Service
    account: model.ClientAccount | None
    config_version: int

    def is_turn(self) -> bool:
        """Tells whether the request has a token budget or is kept."""
        has_budget = self.request.token_budget is not None
        return has_budget or self.route.retains

    def may_repeat(self) -> bool:
        """Tells whether the request may run more than once."""
        return self.route.kind is model.RouteKind.IDEMPOTENT or (
            self.route.kind is model.RouteKind.STREAMING
            and self.route.resumable
        )

    def may_abort(self) -> bool:
        """Tells whether an unreachable upstream may be given up.

        A program sends a failed turn again, but not a failed call of a
        tool that must not be repeated.
        """
        return self.may_repeat() or self.is_turn()


def admit(
    board: board_lib.Board,
    request: model.Request,
    now: float,
    boot_now: float,
) -> Admitted:
    """Returns the admitted request; raises ResultError where it is not.

    now is monotonic time, boot_now goes on during a suspension.
    """
    config = board.config
    if config is None or not board.upstreams_known:
        raise errors.ResultError(codes.NOT_READY, retry_after_s=ELSEWHERE_S)
    elsewhere = board.reachability.others_have_store(now)
    if not board.freshness.may_serve(
        boot_now, board.settings.key_grace_s, elsewhere
    ):
        age_s = board.freshness.age_s(boot_now)
        raise errors.ResultError(
            codes.KEYS_UNVERIFIABLE,
            f'news of the store is {age_s:.2f} s old',
            retry_after_s=store_retry_s(elsewhere, age_s, request.request_id),
        )
    route = routing.find_route(config, request.host, request.target)
    account = routing.find_account(config, route, request.key)
    name = routing.choose_service(route, request)
    service = config.services.get(name)
    if service is None:
        raise errors.ResultError(
            codes.NO_UPSTREAM, f'no service {name} is configured'
        )
    if account is not None:
        begun = _has_begun(board, request)
        refusal = board.rate_limiter.admit(account, now, begun)
        if refusal is not None:
            raise errors.ResultError(
                codes.RATE_EXCEEDED,
                f'{account.name}: {refusal.text()}',
                retry_after_s=refusal.retry_after_s,
            )
    if request.program_id:
        board.note_program(request.program_id)
    return Admitted(
        request=request,
        route=route,
        service=service,
        account=account,
        config_version=config.version,
    )


def store_retry_s(elsewhere: bool, age_s: float, request_id: str) -> float:
    """Returns when a caller that needs the store should come back.

    age_s is the age of the news of the store.  Where the whole fleet has
    lost the store, callers come back spread over half of the pause, and
    later the longer the outage has lasted, so that their few tries last
    through it.
    """
    if elsewhere:
        return ELSEWHERE_S
    pause_s = max(OUTAGE_RETRY_S, age_s * OUTAGE_RETRY_PART)
    pause_s = min(pause_s, MAX_OUTAGE_RETRY_S)
    return pause_s * (1 + routing.fraction(request_id) / 2)


def _has_begun(board: board_lib.Board, request: model.Request) -> bool:
    return (
        request.previous_turn is not None
        or request.token_budget is None
        or request.program_id in board.programs
    )
