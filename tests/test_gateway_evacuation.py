"""Evacuated data centres get no requests, whatever way these come."""

import asyncio
import time
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import evacuations
from oleanderdrift.gateway import follow
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import refusals
from oleanderdrift.gateway import upstreams
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_desk
from tests import gateway_support
from tests import path_fleet
from tests import test_gateway_whole
from tests import tunnel_support

PREFIX: typing.Final = codec.PlatformCodec.evacuation_prefix
IDEMPOTENT: typing.Final = {
    'kind': model.RouteKind.IDEMPOTENT,
    'attempts': 3,
}
STREAM: typing.Final = {
    'kind': model.RouteKind.STREAMING,
    'resumable': True,
    'attempts': 3,
}


def records(**values: bytes | None) -> list[ports.KeyedRecord]:
    """Returns records of data centres, and one of another key."""
    found = [ports.KeyedRecord(key='config', value=b'{}')]
    return found + [
        ports.KeyedRecord(key=PREFIX + name, value=value)
        for name, value in values.items()
    ]


@pytest.mark.parametrize(
    ('is_full', 'read', 'names', 'changes'),
    [
        (False, records(), {'a'}, []),
        (False, records(b=b'{}'), {'a', 'b'}, ['began b']),
        (False, records(a=b'{}'), {'a'}, []),
        (False, records(a=None), set(), ['ended a']),
        (False, records(b=None), {'a'}, []),
        (False, records(b=b'{}') + records(b=None), {'a'}, ['began b']),
        # What an operator wrote there does not matter.
        (False, records(b=b'\xff-1e99'), {'a', 'b'}, ['began b']),
        # The undecodable value of a full read is empty.
        (True, records(b=b''), {'b'}, ['ended a', 'began b']),
        (True, records(), set(), ['ended a']),
        (True, records(a=b'{}'), {'a'}, []),
        (False, records(**{'': b'{}'}), {'a'}, ['ignored ']),
        (False, records(**{' ': b'{}'}), {'a'}, ['ignored  ']),
        (False, records(**{'x\ufffd': b'{}'}), {'a'}, ['ignored x\ufffd']),
        (False, records(**{'': None}), {'a'}, []),
    ],
)
def test_records_decide_what_is_evacuated(
    is_full: bool,
    read: list[ports.KeyedRecord],
    names: set[str],
    changes: list[str],
) -> None:
    known = evacuations.Evacuations(names={'a'})
    apply = known.replace if is_full else known.apply
    found = apply(read, PREFIX)
    assert known.names == names
    seen = [f'{one.kind.value} {one.data_centre}' for one in found]
    assert [one for one in seen if not one.startswith('ended')] == [
        one for one in changes if not one.startswith('ended')
    ]
    assert ('ended a' in seen) == ('ended a' in changes)


@pytest.mark.parametrize(
    ('places', 'last_reason', 'retry_s'),
    [
        (['north', 'north'], '', refusals.LASTING_RETRY_S),
        (['north', 'south'], 'refused', refusals.RETRY_AFTER_S),
        ([], '', refusals.RETRY_AFTER_S),
    ],
)
def test_refusal_tells_callers_when_to_return(
    places: list[str], last_reason: str, retry_s: float
) -> None:
    known = upstreams.UpstreamSet()
    known.evacuations.names = {'north'}
    for number, place in enumerate(places):
        known.put(gateway_support.entry(f'u{number}', data_centre=place))
    found = refusals.no_upstream(known, 'guide', last_reason)
    assert found.retry_after_s == retry_s
    assert found.code.execution is codes.Execution.NOT_RUN
    assert len(known.of_service('guide', True)) == places.count('south')


def evacuate_first(harness: gateway_desk.Harness) -> upstreams.UpstreamSet:
    """Evacuates the first upstream, while the second is elsewhere."""
    known = harness.forwarder.board.upstreams
    first = known.by_id['u0'].entry
    known.by_id['u0'].entry = gateway_support.entry(
        'u0', port=first.port, data_centre='south'
    )
    known.evacuations.names = {'south'}
    return known


@pytest.mark.parametrize(
    'route',
    [
        pytest.param(IDEMPOTENT, id='call'),
        pytest.param({'kind': model.RouteKind.STREAMING}, id='turn'),
        pytest.param(STREAM, id='resumable'),
    ],
)
def test_evacuation_that_begins_while_connecting_moves_the_request(
    route: dict[str, typing.Any],
) -> None:
    """Guards against a request that was placed before and sent after."""

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.Stream()], [replica.Stream()], route=route
        ) as harness:
            known = harness.forwarder.board.upstreams
            known.by_id['u1'].set_aside(0.0)
            tried = []

            async def connect(
                host: str, port: int, timeout_s: float
            ) -> channel.Channel:
                opened = await channel.connect(host, port, timeout_s)
                tried.append(port)
                if len(tried) == 1:
                    known.by_id['u1'].use_again()
                    evacuate_first(harness)
                return opened

            harness.forwarder.attempts.pool.connect = connect
            reply = await harness.send_request(program_id='p')
            assert (reply.status, reply.ended) == (200, 'complete')
            assert [len(one.received) for one in harness.replicas] == [0, 1]

    asyncio.run(play())


def test_stream_that_breaks_off_is_resumed_elsewhere() -> None:
    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.Stream(cut_after=2, pause_s=0.05)],
            [replica.Stream()],
            route=STREAM,
        ) as harness:
            known = harness.forwarder.board.upstreams
            known.by_id['u1'].set_aside(0.0)
            sent = asyncio.create_task(harness.send_request())
            await path_fleet.wait_until(
                lambda: bool(harness.replicas[0].received)
            )
            known.by_id['u1'].use_again()
            evacuate_first(harness)
            reply = await sent
            assert reply.ended == 'complete'
            assert [len(one.received) for one in harness.replicas] == [1, 1]

    asyncio.run(play())


def test_service_without_upstreams_elsewhere_is_refused_at_once() -> None:
    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.Stream()], route=STREAM
        ) as harness:
            evacuate_first(harness)
            started = time.monotonic()
            reply = await harness.send_request()
            assert time.monotonic() - started < 0.2
            assert (reply.status, reply.headers['retry-after']) == (
                503,
                '1.00',
            )
            assert harness.replicas[0].received == []

    asyncio.run(play())


def test_tunnel_through_a_peer_carries_nothing_there() -> None:
    """The evacuation begins while a peer opens the tunnel."""

    async def play() -> None:
        async with path_fleet.run_paths(
            replica.CompleteResponse(), instances=2
        ) as paths:
            paths.cut(path_fleet.Cut.REFUSE)
            forwarder = paths.fleet.forwarders[0]
            known = forwarder.board.upstreams
            connections = forwarder.attempts.connections
            ask = connections.ask

            async def slow(*args: typing.Any) -> channel.Channel | None:
                found = await ask(*args)
                known.evacuations.names = {'north'}
                return found

            setattr(connections, 'ask', slow)
            answer = await paths.send()
            assert answer.reply.status == 503
            assert paths.runs() == []

    asyncio.run(play())


@pytest.mark.parametrize(
    ('paused_s', 'read_after', 'is_served'),
    [(0.9, False, True), (1.2, False, False), (1.2, True, True)],
)
def test_paused_instance_reads_the_store_before_it_sends(
    paused_s: float, read_after: bool, is_served: bool
) -> None:
    """An evacuation may have begun in the pause."""
    board = gateway_support.board(now=10.0)
    board.config = gateway_support.config(accounts_by_key=None)
    board.exchanged_at = 10.0
    admitted = admission.admit(board, gateway_support.request(), 10.0, 10.0)
    woke = 10.0 + paused_s
    board.check_pause(woke, woke)
    if read_after:
        board.freshness.confirm(woke, woke)
    for check in (
        lambda: admission.remaining_s(board, admitted, 15.0, woke, woke),
        lambda: admission.admit(board, gateway_support.request(), woke, woke),
    ):
        if is_served:
            check()
            continue
        with pytest.raises(errors.ResultError) as caught:
            check()
        assert caught.value.code is codes.KEYS_UNVERIFIABLE


class FollowedLog(gateway_support.MemoryLog):
    """A log whose reads of changes return nothing; notes their waits."""

    waits: list[float] = []

    async def read_keyed(
        self, topic: str, start: int, *, wait_s: float
    ) -> ports.KeyedRecords | None:
        """Notes the wait."""
        self.waits.append(wait_s)
        await asyncio.sleep(0)
        return ports.KeyedRecords(records=(), end=start)


async def follow_some(board: board_lib.Board, log: FollowedLog) -> list[str]:
    """Follows the configuration for some reads; returns the events."""
    events = tunnel_support.RecordingLog()
    watcher = follow.StoreWatcher(board, codec.PlatformCodec(), log, events)
    task = asyncio.create_task(watcher.watch_config())
    for _ in range(12):
        await asyncio.sleep(0)
    task.cancel()
    return [name for name, _ in events.recorded]


def test_first_read_after_a_pause_does_not_wait_for_changes() -> None:
    log = FollowedLog()
    log.waits = []
    log.keyed['op', PREFIX + 'south'] = b'{}'
    board = gateway_support.board(now=clock.boot() - 3.0)
    board.exchanged_at = clock.boot() - 2.0
    board.upstreams.evacuations.names = {'north'}
    events = asyncio.run(follow_some(board, log))
    assert board.has_read_since_pause()
    assert board.evacuated == {'south'}
    assert {'evacuation-began', 'evacuation-ended'} <= set(events)
    # The full read has shown it; the next ones wait.
    assert log.waits and 0.0 not in log.waits
    board.freshness.confirmed_at = float('-inf')
    board.exchanged_at = clock.boot() - 2.0
    log.waits.clear()

    async def newest(topic: str) -> ports.KeyedRecords:
        board.exchanged_at = clock.boot() - 2.0
        return ports.KeyedRecords(records=(), end=0)

    setattr(log, 'newest', newest)
    asyncio.run(follow_some(board, log))
    assert log.waits[0] == 0.0


def test_operators_begin_and_end_an_evacuation_in_the_store() -> None:
    """Through a compacted history, over real sockets."""

    async def play() -> None:
        async with test_gateway_whole.run_environment() as env:
            env.store.put('keyed.op', PREFIX + 'north', b'{}')
            await test_gateway_whole.make_ready(env)
            board = env.gateway.board
            steps: list[tuple[bytes, bool, int]] = [
                (b'{}', False, 0),
                (b'', False, 1),
                (b'{}', True, 0),
                (b'', True, 1),
            ]
            for number, (value, is_compacted, served) in enumerate(steps):
                env.store.put('keyed.op', PREFIX + 'north', value)
                if is_compacted:
                    env.store.drop_history('keyed.op')
                await env.wait_until(
                    lambda: board.evacuated == ({'north'} if value else set())
                )
                env.replica.received.clear()
                answer = await env.send_turn(f't{number}')
                assert (b' 200 ' in answer.split(b'\r\n')[0]) == bool(served)
                assert len(env.replica.received) == served
                gauges = env.gateway.gauges(clock.boot())
                assert gauges['evacuated_data_centres'] == (not served)

    asyncio.run(play())


def test_upstreams_are_cold_after_an_evacuation() -> None:
    """They were used at full rate until their next entries were read."""
    board = gateway_support.board()
    assert board.config is not None
    services = {
        name: attrs.evolve(one, cold_start_s=3.0, cold_per_s=21.0)
        for name, one in board.config.services.items()
    }
    board.config = attrs.evolve(board.config, services=services)
    entry = gateway_support.entry('u1')
    board.upstreams.put(entry)
    watcher = follow.StoreWatcher(
        board,
        codec.PlatformCodec(),
        gateway_support.MemoryLog(),
        tunnel_support.RecordingLog(),
    )
    for value in (b'{}', None):
        record = ports.KeyedRecord(key=PREFIX + entry.data_centre, value=value)
        found = ports.KeyedRecords(records=(record,), end=1)
        watcher.apply_evacuations(found, is_full=False)
        is_cold = board.cold_shares.is_cold(
            board.upstreams.by_id['u1'], clock.monotonic()
        )
        assert is_cold is (value is None)
