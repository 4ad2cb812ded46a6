"""A process that was paused checks what it may do before it does it."""

import asyncio

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import model
from oleanderdrift.gateway import reachability
from standins import replica
from tests import gateway_desk
from tests import gateway_support
from tests import test_gateway_allotments as fleets

KEYED: dict[str, model.ClientAccount] = {'key': gateway_support.account()}


def admitted_at(
    board: board_lib.Board, now: float, boot_now: float
) -> admission.Admitted:
    """Returns a request that was admitted at a time."""
    board.freshness.confirm(boot_now, boot_now)
    return admission.admit(
        board, gateway_support.request(key='key'), now, boot_now
    )


@pytest.mark.parametrize(
    ('now', 'boot_now', 'code'),
    [
        (10.01, 10.01, None),
        # Paused with the clocks running: the last read is too old.
        (13.0, 13.0, codes.KEYS_UNVERIFIABLE),
        # Suspended: the monotonic clock stood still.
        (10.01, 18.0, codes.KEYS_UNVERIFIABLE),
    ],
)
def test_request_is_checked_again_before_it_is_sent(
    now: float, boot_now: float, code: codes.ResultCode | None
) -> None:
    board = gateway_support.board(now=10.0)
    board.config = gateway_support.config(accounts_by_key=KEYED)
    board.rate_limiter.configure(KEYED.values())
    # A peer has the store, so callers are better off there.
    peer_reports(board, 10.0)
    admitted = admitted_at(board, 10.0, 10.0)
    peer_reports(board, now)
    if code is None:
        left_s = admission.remaining_s(board, admitted, 15.0, now, boot_now)
        assert left_s == pytest.approx(15.0 - now)
        return
    with pytest.raises(errors.ResultError) as caught:
        admission.remaining_s(board, admitted, 15.0, now, boot_now)
    assert caught.value.code is code
    assert code.execution is codes.Execution.NOT_RUN


def peer_reports(board: board_lib.Board, now: float) -> None:
    """Has a peer report that it has read the store."""
    board.reachability.note_report(
        'peer',
        reachability.PeerReport(data_centre='south', at=now, store_age_s=0.1),
    )


def test_time_spent_suspended_counts_against_the_deadline() -> None:
    board = gateway_support.board(now=10.0)
    admitted = admitted_at(board, 10.0, 100.0)
    board.freshness.confirm(104.0, 104.0)
    # Suspended for three seconds.
    left_s = admission.remaining_s(board, admitted, 15.0, 11.0, 104.0)
    assert left_s == pytest.approx(1.0)
    with pytest.raises(errors.ResultError) as caught:
        admission.remaining_s(board, admitted, 13.0, 11.0, 104.0)
    assert caught.value.code is codes.OVERLOADED


@pytest.mark.parametrize('withdrawn', [True, False])
def test_key_that_is_withdrawn_meanwhile_runs_nothing(withdrawn: bool) -> None:
    """The turn waits for the store while its key is withdrawn."""

    async def play() -> None:
        route = {'kind': model.RouteKind.STREAMING}
        async with gateway_desk.run_harness(
            [replica.Stream()], route=route
        ) as harness:
            board = harness.forwarder.board
            assert board.config is not None
            board.config = gateway_support.config(
                routes=board.config.routes, accounts_by_key=KEYED
            )
            board.rate_limiter.configure(
                [gateway_support.account(rate=1e3, burst=1e3)]
            )
            harness.log.blocked_topic = 'budgets'
            turn = asyncio.create_task(
                harness.send_request(
                    key='key', program_id='p', token_budget=900, max_tokens=9
                )
            )
            while not harness.log.appends:
                await asyncio.sleep(0)
            if withdrawn:
                board.config = gateway_support.config(
                    routes=board.config.routes, accounts_by_key={}
                )
            harness.log.gate.set()
            reply = await turn
            assert reply.status == (401 if withdrawn else 200)
            assert len(harness.replicas[0].received) == (not withdrawn)

    asyncio.run(play())


def test_request_of_a_suspended_machine_is_not_sent_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        route = {'kind': model.RouteKind.STREAMING}
        async with gateway_desk.run_harness(
            [replica.Stream()], route=route
        ) as harness:
            harness.log.blocked_topic = 'budgets'
            turn = asyncio.create_task(
                harness.send_request(
                    program_id='p', token_budget=900, max_tokens=9
                )
            )
            while not harness.log.appends:
                await asyncio.sleep(0)
            before = clock.boot()
            monkeypatch.setattr(clock, 'boot', lambda: before + 8.0)
            harness.log.gate.set()
            reply = await turn
            assert reply.status == 503
            assert harness.replicas[0].received == []

    asyncio.run(play())


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('pause_s', [2.0, 5.0, 8.0])
def test_paused_instances_do_not_exceed_the_rate_when_they_wake(
    pause_s: float, seed: int
) -> None:
    """Most of a fleet freezes and wakes at once, under load."""
    fleet = fleets.Fleet(50.0, 50.0)
    fleet.simulate(2.0, 6.0, 150.0, seed)
    everyone = fleet.limiters
    paused = everyone[3:]
    fleet.limiters = everyone[:3]
    fleet.simulate(6.0, 6.0 + pause_s, 150.0, seed)
    fleet.limiters = everyone
    woken = 6.0 + pause_s
    for limiter in paused:
        limiter.restart(woken)
    # All of them get requests before the next updates arrive.
    for instance in range(3, 9):
        while fleet.admit(instance, woken):
            pass
    fleet.simulate(woken, woken + 6.0, 150.0, seed)
    assert fleet.most_in_window() <= fleet.limit()


def test_board_notices_a_pause_once() -> None:
    board = gateway_support.board()
    account = gateway_support.account(rate=10.0, burst=10.0)
    board.rate_limiter = allotments.RateLimiter(started=0.0)
    board.rate_limiter.configure([account])
    board.exchanged_at = 100.0
    board.check_pause(50.0, 100.9)
    assert board.rate_limiter.admit(account, 50.0, True) is None
    # Suspended for four seconds.
    board.check_pause(50.1, 105.0)
    assert board.rate_limiter.admit(account, 50.1, True) is not None
    board.check_pause(50.4, 105.3)
    assert board.rate_limiter.admit(account, 50.4, True) is None
