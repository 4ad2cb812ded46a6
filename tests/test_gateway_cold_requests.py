"""Requests to upstreams that have just started, and what operators see."""

import asyncio
import json
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import directory
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import server
from oleanderdrift.gateway import upstream_choice
from oleanderdrift import logs
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_desk
from tests import gateway_support
from tests import odd_values
from tests import virtual_time

RATE: typing.Final = 3.0


def configure(board: board_lib.Board, rate: float = RATE) -> None:
    """Names cold starts, and registers this instance as the only one."""
    assert board.config is not None
    services = {
        name: attrs.evolve(one, cold_start_s=8.0, cold_per_s=rate)
        for name, one in board.config.services.items()
    }
    board.config = attrs.evolve(board.config, services=services)
    members = board.cold_shares.members
    members.note_read([members.own], -10.0, 0.0)
    members.read_at = float('inf')


def chooser(*cold: str, warm: str = '') -> upstream_choice.UpstreamChooser:
    """Returns a chooser before cold upstreams and a warm one."""
    board = gateway_support.board()
    configure(board)
    for name in filter(None, (*cold, warm)):
        entry = gateway_support.entry(name, cold_s=8.0 if name in cold else 0)
        board.upstreams.put(entry)
        board.cold_shares.note_entry(
            entry, board.services()['guide'], 0.0, is_new=True
        )
    return upstream_choice.UpstreamChooser(board, connection_pool.Pool())


def progress(
    board: board_lib.Board, begins_program: bool = False
) -> progress_lib.Progress:
    """Returns the progress of a request."""
    admitted = gateway_support.admitted(
        service=board.services()['guide'], begins_program=begins_program
    )
    return progress_lib.Progress(
        admitted=admitted,
        fingerprints=fingerprints.fingerprints(admitted.request, ''),
        body=b'',
        deadline=2.0,
    )


async def fill(one: upstream_choice.UpstreamChooser) -> list[str]:
    """Returns where requests go that take the whole rate."""
    found = [await one.acquire(progress(one.board)) for _ in range(3)]
    return [each.entry.upstream_id for each in found if each is not None]


def test_upstreams_that_are_not_cold_come_first() -> None:
    assert virtual_time.run(fill(chooser('u1', warm='u2'))) == ['u2'] * 3


@pytest.mark.parametrize('begins_program', [False, True])
def test_request_waits_for_a_share_and_is_then_refused(
    begins_program: bool,
) -> None:
    async def run() -> None:
        one = chooser('u1')
        assert await fill(one) == ['u1'] * 3
        with pytest.raises(errors.ResultError) as raised:
            await one.acquire(progress(one.board, begins_program))
        assert raised.value.code is codes.OVERLOADED
        assert 0.4 <= clock.monotonic() < 0.5

    virtual_time.run(run())


def test_request_that_may_have_run_waits_until_its_deadline() -> None:
    async def run() -> None:
        one = chooser('u1')
        one.board.cold_shares.members.settles_at = 100.0
        sent = progress(one.board)
        sent.sent = True
        assert await one.acquire(sent) is None
        assert 2.0 <= clock.monotonic() < 2.1

    virtual_time.run(run())


@pytest.mark.parametrize(
    ('rate', 'born_ms', 'cold_ms', 'received'),
    [
        # Without a configuration, all is as before.
        (0.0, 2, 8000, 1),
        (RATE, 1, 0, 1),
        # Another start, whose entry has not been read yet.
        (RATE, 2, None, 0),
        # Cold again; what was sent before may fill its rate.
        (RATE, 1, 8000, 0),
    ],
)
def test_new_connection_shows_a_cold_upstream(
    rate: float, born_ms: int, cold_ms: int | None, received: int
) -> None:
    async def run() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()],
            route={'kind': model.RouteKind.IDEMPOTENT},
        ) as harness:
            configure(harness.forwarder.board, rate)
            one = harness.replicas[0]
            one.born_ms, one.cold_ms = born_ms, cold_ms
            reply = await harness.send_request()
            assert reply.status == (200 if received else 503)
            assert len(one.received) == received

    asyncio.run(run())


@pytest.mark.parametrize(('rate', 'wait_s'), [(0.0, 10.0), (RATE, 1.0)])
def test_directory_is_polled_faster_only_for_cold_starts(
    rate: float, wait_s: float
) -> None:
    board = gateway_support.board()
    configure(board, rate)
    board.settings = attrs.evolve(
        board.settings,
        peer_listen='127.0.0.1:1',
        tunnel_listen='127.0.0.1:2',
    )
    log = gateway_support.MemoryLog()
    known = directory.Directory(board, log, event_log.EventLog())
    assert known.wait_s() == wait_s

    async def run() -> None:
        await known.register()
        await known.read(None)

    asyncio.run(run())
    assert board.cold_shares.members.present == {'north-1'}


@pytest.mark.parametrize(
    ('cold_ms', 'event', 'cold'),
    [
        (8000, 'event=upstream-cold upstream=u1 service=guide cold_s=8', 1),
        (10**9, 'event=cold-time-ignored upstream=u1', 0),
    ],
)
def test_operators_see_cold_upstreams(
    monkeypatch: pytest.MonkeyPatch, cold_ms: int, event: str, cold: int
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        logs,
        'info',
        lambda name, **some: lines.append(logs.line(name, **some)),
    )
    gateway = server.build(
        gateway_support.SETTINGS,
        lambda: gateway_support.SETTINGS,
        codec.PlatformCodec(),
        gateway_support.MemoryLog(),
        '/ready',
    )
    gateway.board.config = gateway_support.config()
    configure(gateway.board)
    entry = {**odd_values.ENTRY, 'Service': 'guide', 'ColdLeftMs': cold_ms}
    gateway.store_watcher.apply_entry(
        ports.KeyedRecord(key='u1', value=json.dumps(entry).encode())
    )
    gateway.log_cold_upstreams()
    assert any(line.startswith(event) for line in lines)
    assert gateway.gauges(0.0)['cold_upstreams'] == cold
