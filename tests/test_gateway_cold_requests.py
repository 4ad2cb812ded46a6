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


@pytest.mark.parametrize(
    ('rate', 'cold_s', 'born_ms', 'cold_ms', 'received'),
    [
        (RATE, (0,), 1, 0, [4]),
        # The fourth request waits, and is refused.
        (RATE, (8,), 1, None, [3]),
        # Others come first.
        (RATE, (8, 0), 1, None, [0, 4]),
        # Another start, whose entry has not been read yet.
        (RATE, (0,), 2, None, [0]),
        # Cold again; what was sent before may fill its rate.
        (RATE, (0,), 1, 8000, [0]),
        # Without a configuration, all is as before.
        (0.0, (8,), 2, 8000, [4]),
    ],
)
def test_cold_upstreams_are_spared(
    rate: float,
    cold_s: tuple[float, ...],
    born_ms: int,
    cold_ms: int | None,
    received: list[int],
) -> None:
    async def run() -> None:
        answers = [[replica.CompleteResponse()] for _ in cold_s]
        route = {'kind': model.RouteKind.IDEMPOTENT}
        async with gateway_desk.run_harness(*answers, route=route) as harness:
            board = harness.forwarder.board
            configure(board, rate)
            for one, left_s in zip(harness.replicas, cold_s, strict=True):
                one.born_ms, one.cold_ms = born_ms, cold_ms
                name = f'u{harness.replicas.index(one)}'
                entry = gateway_support.entry(name, cold_s=left_s)
                board.cold_shares.note_entry(
                    entry, board.services()['guide'], clock.monotonic(), True
                )
            replies = await asyncio.gather(
                *(
                    harness.send_request(request_id=f'q{number}')
                    for number in range(4)
                )
            )
            assert [len(one.received) for one in harness.replicas] == received
            served = [one.status for one in replies].count(200)
            assert served == sum(received)
            assert {one.status for one in replies} <= {200, 503}

    asyncio.run(run())


@pytest.mark.parametrize(
    ('begins_program', 'is_sent', 'ends_s'),
    [(False, False, 0.4), (True, False, 0.4), (False, True, 2.0)],
)
def test_request_waits_for_a_share(
    begins_program: bool, is_sent: bool, ends_s: float
) -> None:
    async def run() -> None:
        board = gateway_support.board()
        configure(board)
        service = board.services()['guide']
        entry = gateway_support.entry(cold_s=8.0)
        board.upstreams.put(entry)
        board.cold_shares.note_entry(entry, service, 0.0)
        board.cold_shares.members.settles_at = 100.0
        admitted = gateway_support.admitted(
            service=service, begins_program=begins_program
        )
        progress = progress_lib.Progress(
            admitted=admitted,
            fingerprints=fingerprints.fingerprints(admitted.request, ''),
            body=b'',
            deadline=2.0,
            sent=is_sent,
        )
        chooser = upstream_choice.UpstreamChooser(
            board, connection_pool.Pool()
        )
        if is_sent:
            assert await chooser.acquire(progress) is None
        else:
            with pytest.raises(errors.ResultError) as raised:
                await chooser.acquire(progress)
            assert raised.value.code is codes.OVERLOADED
        assert ends_s <= clock.monotonic() < ends_s + 0.1

    virtual_time.run(run())


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
