"""Requests reach no evacuated data centre and none outside their regions."""

import asyncio
import json
import typing

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import evacuations
from oleanderdrift.gateway import follow
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import refusals
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import upstreams
from oleanderdrift.platform import codec
from oleanderdrift.platform import operator
from oleanderdrift.platform import settings
from standins import replica
from tests import gateway_desk
from tests import gateway_fleet
from tests import gateway_support
from tests import path_fleet
from tests import test_gateway_whole
from tests import tunnel_support

PREFIX: typing.Final = codec.PlatformCodec.evacuation_prefix
ZONES: typing.Final = {'north': 'eu', 'south': 'eu', 'west': 'us'}
EU: typing.Final = frozenset(('eu',))
CALL: typing.Final = {'kind': model.RouteKind.IDEMPOTENT, 'attempts': 3}
SETTINGS_FILE: typing.Final = (
    'Node = "n"\nIp = "127.0.0.1"\nZone = "a"\nPortRange = [1, 9]\n{}\n'
    '[Listen]\nFront = "h:1"\nReadyAddr = "h:2"\n'
    '[Platform]\nAddress = "h:3"\n{}\n'
)


@pytest.mark.parametrize(
    ('is_full', 'read', 'changes', 'names'),
    [
        (False, [('b', b'{}'), ('b', b'{}')], ['began b'], 'ab'),
        (False, [('a', b'{}'), ('b', None), ('', None)], [], 'a'),
        (False, [('a', None)], ['ended a'], ''),
        (False, [('b', b'{}'), ('b', None)], ['began b', 'ended b'], 'a'),
        # What an operator wrote there does not matter.
        (False, [('b', b'\xff-1e99')], ['began b'], 'ab'),
        # The undecodable value of a full read is empty.
        (True, [('b', b'')], ['ended a', 'began b'], 'b'),
        (True, [], ['ended a'], ''),
        (True, [('a', b'{}')], [], 'a'),
        (False, [('', b'{}')], ['ignored '], 'a'),
        (False, [('x\ufffd', b'{}')], ['ignored x\ufffd'], 'a'),
    ],
)
def test_records_decide_what_is_evacuated(
    is_full: bool,
    read: list[tuple[str, bytes | None]],
    changes: list[str],
    names: str,
) -> None:
    records = [ports.KeyedRecord(key='config', value=b'{}')]
    records += [ports.KeyedRecord(key=PREFIX + a, value=b) for a, b in read]
    known = evacuations.Evacuations(names={'a'})
    found = (known.replace if is_full else known.apply)(records, PREFIX)
    assert [f'{one.kind.value} {one.data_centre}' for one in found] == changes
    assert known.names == set(names)


@pytest.mark.parametrize(
    ('of_route', 'of_account', 'expected'),
    [
        ('', None, None),
        ('us', '', {'west'}),
        ('', 'eu', {'north', 'south'}),
        ('eu us', 'us mars', {'west'}),
        # No restriction is something else than nothing in common.
        ('eu', 'us', set()),
        ('mars', None, set()),
    ],
)
def test_route_and_account_bind_together(
    of_route: str, of_account: str | None, expected: set[str] | None
) -> None:
    route = gateway_support.route(regions=frozenset(of_route.split()))
    account = None
    if of_account is not None:
        account = attrs.evolve(
            gateway_support.account(), regions=frozenset(of_account.split())
        )
    assert regions.inside(route, account, ZONES) == expected


@pytest.mark.parametrize(
    ('top', 'end', 'region', 'zones'),
    [
        ('', '', '', {}),
        ('Region = "eu"', '[Zones]\na = "eu"', 'eu', {'a': 'eu'}),
        ('Region = 7', '[Zones]\na = -1\nb = "us"\nc = ""', '', {'b': 'us'}),
        ('Zones = 3e99', '', '', {}),
    ],
)
def test_odd_settings_leave_a_data_centre_without_region(
    top: str, end: str, region: str, zones: dict[str, str]
) -> None:
    found = settings.decode(SETTINGS_FILE.format(top, end).encode())
    assert (found.region, found.regions_by_data_centre) == (region, zones)


@pytest.mark.parametrize('place', ['Routes', 'Tenants'])
@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (['eu', 'eu', 'us'], ['eu', 'us']),
        (None, []),
        ('eu', None),
        (['eu', -1e300], None),
        (['x' * 600], None),
    ],
)
def test_allowed_regions_are_decoded_or_the_whole_is_refused(
    place: str, value: object, expected: list[str] | None
) -> None:
    """Guards against a binding that is read as none."""
    config: dict[str, typing.Any] = {
        'Version': 1,
        'Routes': [{'Host': 'h', 'PathPrefix': '/', 'Kind': 'idempotent'}],
        'Services': [],
        'Tenants': [{'Name': 't', 'ApiKeys': ['k']}],
    }
    config[place][0]['AllowedRegions'] = value
    data = json.dumps(config).encode()
    if expected is None:
        with pytest.raises(errors.ResultError):
            operator.decode_configuration(data)
    else:
        found = operator.decode_configuration(data)
        assert regions.unknown(found, {}) == expected
        assert regions.unknown(found, ZONES) == []
        assert bool(found.routes[0].regions) == (
            place == 'Routes' and bool(expected)
        )


@pytest.mark.parametrize(
    ('inside', 'evacuated', 'left', 'detail', 'retry_s'),
    [
        (['north'], [], 1, 'failed', refusals.RETRY_AFTER_S),
        (['west'], [], 0, 'regions', refusals.LASTING_RETRY_S),
        (['north'], ['north'], 0, 'evacuated', refusals.LASTING_RETRY_S),
        (None, ['north'], 1, 'failed', refusals.RETRY_AFTER_S),
    ],
)
def test_refusal_says_what_is_missing(
    inside: list[str] | None,
    evacuated: list[str],
    left: int,
    detail: str,
    retry_s: float,
) -> None:
    known = upstreams.UpstreamSet()
    known.evacuations.names = set(evacuated)
    for place in ('north', 'south'):
        known.put(gateway_support.entry(place, data_centre=place))
    found = None if inside is None else frozenset(inside)
    assert len(known.of_service('guide', False, found)) == left
    error = refusals.no_upstream(known, 'guide', 'failed', found)
    assert detail in error.detail and error.retry_after_s == retry_s
    assert error.code.execution is codes.Execution.NOT_RUN


@pytest.mark.parametrize('bound', [frozenset[str](), EU])
def test_idle_engines_outside_make_no_room_for_a_program(
    bound: frozenset[str],
) -> None:
    board = gateway_support.board()
    board.settings = attrs.evolve(board.settings, regions_by_data_centre=ZONES)
    route = gateway_support.route(regions=bound, public=True)
    board.config = gateway_support.config(routes=(route,))
    for place, slots in (('north', 2), ('west', 200)):
        board.upstreams.put(
            gateway_support.entry(place, data_centre=place, slots=slots)
        )
    board.upstreams.by_id['north'].own_requests = 8
    request = gateway_support.request(program_id='p', token_budget=90)
    try:
        admission.admit(board, request, 0.0, 0.0)
        assert not bound
    except errors.ResultError as error:
        assert bound and error.code is codes.OVERLOADED


def arrange(harness: gateway_desk.Harness, zones: dict[str, str]) -> None:
    """Has the first upstream in the north, the second in the south."""
    board = harness.forwarder.board
    board.settings = attrs.evolve(board.settings, regions_by_data_centre=zones)
    known = board.upstreams.by_id['u1']
    known.entry = attrs.evolve(known.entry, data_centre='south')


@pytest.mark.parametrize('is_resumable', [False, True])
@pytest.mark.parametrize(
    ('route', 'zones', 'evacuated', 'runs'),
    [
        ({}, ZONES, {'north'}, [0, 1]),
        ({'regions': EU}, {'south': 'eu'}, set(), [0, 1]),
        ({'regions': EU}, {'south': 'us'}, set(), [0, 0]),
        ({'regions': EU}, ZONES, {'north', 'south'}, [0, 0]),
    ],
)
@pytest.mark.parametrize('is_late', [False, True])
def test_request_reaches_only_where_it_may(
    is_resumable: bool,
    route: dict[str, typing.Any],
    zones: dict[str, str],
    evacuated: set[str],
    runs: list[int],
    is_late: bool,
) -> None:
    """Also where all that changes only while a connection is opened."""

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.Stream()],
            [replica.Stream()],
            route={**CALL, **route, 'resumable': is_resumable},
        ) as harness:
            attempts = harness.forwarder.attempts
            known = harness.forwarder.board.upstreams
            connect = attempts.pool.connect
            arrange(harness, ZONES)

            async def change(*args: typing.Any) -> typing.Any:
                arrange(harness, zones)
                known.evacuations.names = evacuated
                known.by_id['u1'].use_again()
                return await connect(*args)

            if is_late:
                known.by_id['u1'].set_aside(0.0)
                attempts.pool.connect = change
            else:
                arrange(harness, zones)
                known.evacuations.names = evacuated
            reply = await harness.send_request(program_id='p')
            assert [len(one.received) for one in harness.replicas] == runs
            assert reply.status == (200 if any(runs) else 503)
            assert any(runs) or reply.headers['retry-after'] == '1.00'
            assert attempts.region_refusals == (not any(runs))

    asyncio.run(play())


@pytest.mark.parametrize('place', ['west', 'south'])
@pytest.mark.parametrize('has_idle_tunnel', [False, True])
def test_body_goes_through_peers_inside_only(
    place: str, has_idle_tunnel: bool
) -> None:
    """Guards against a tunnel that others opened and left idle, too."""

    async def play() -> None:
        bound = attrs.evolve(gateway_fleet.CALLS, regions=EU, host='eu.desk')
        async with path_fleet.run_paths(
            replica.CompleteResponse(), instances=2
        ) as paths:
            forwarder, carrier = paths.fleet.forwarders
            paths.fleet.exchanging = False
            peers = forwarder.board.tunnel_peers.by_name
            known = peers[carrier.board.settings.instance]
            known.instance = attrs.evolve(known.instance, data_centre=place)
            known.heard_at = float('inf')
            board = forwarder.board
            board.settings = attrs.evolve(
                board.settings, regions_by_data_centre=ZONES
            )
            board.config = gateway_support.config(
                routes=(gateway_fleet.CALLS, bound), accounts_by_key=None
            )
            paths.cut(path_fleet.Cut.REFUSE)
            if has_idle_tunnel:
                assert (await paths.send()).reply.status == 200
            attempts = forwarder.attempts
            idle = attempts.pool.idle
            before = attempts.connections.tunnels_opened, str(idle)
            answer = await paths.send(host='eu.desk')
            is_inside = place == 'south'
            assert answer.reply.status == (200 if is_inside else 503)
            assert len(paths.runs()) == is_inside + has_idle_tunnel
            after = attempts.connections.tunnels_opened, str(idle)
            assert is_inside or before == after

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
    request = gateway_support.request()
    admitted = admission.admit(board, request, 10.0, 10.0)
    woke = 10.0 + paused_s
    board.check_pause(woke, woke)
    if read_after:
        board.freshness.confirm(woke, woke)
    for check in (
        lambda: admission.remaining_s(board, admitted, 15.0, woke, woke),
        lambda: admission.admit(board, request, woke, woke),
    ):
        try:
            check()
            assert is_served
        except errors.ResultError as error:
            assert not is_served and error.code is codes.KEYS_UNVERIFIABLE


@pytest.mark.parametrize('is_read', [True, False])
def test_new_request_waits_for_the_read_after_a_pause(is_read: bool) -> None:
    """Guards against refusing all that came in the pause."""

    async def play() -> None:
        async with gateway_desk.run_harness(
            [replica.CompleteResponse()], route={**CALL, 'public': True}
        ) as harness:
            board = harness.forwarder.board
            board.freshness.confirmed_at = clock.boot()
            board.exchanged_at = clock.boot() - 2.0
            sent = asyncio.create_task(harness.send_request())
            await asyncio.sleep(0.02)
            assert harness.replicas[0].received == []
            if is_read:
                board.freshness.confirm(clock.boot(), clock.boot())
            assert (await sent).status == (200 if is_read else 503)
            assert len(harness.replicas[0].received) == is_read

    asyncio.run(play())


def test_full_read_precedes_its_configuration_and_pauses_hurry_reads() -> None:
    """Guards against requests on a configuration without its evacuations."""
    board = gateway_support.board(now=clock.boot() - 3.0)
    board.upstreams.evacuations.names = {'north'}
    seen: list[object] = []

    class Log(gateway_support.MemoryLog):
        async def read_keyed(
            self, topic: str, start: int, *, wait_s: float
        ) -> ports.KeyedRecords | None:
            seen.append(wait_s)
            await asyncio.sleep(60.0)
            return None

    log = Log()
    log.keyed['op', 'config'] = b'{}'
    log.keyed['op', PREFIX + 'south'] = b'{}'

    class Codec(codec.PlatformCodec):
        def decode_configuration(self, value: bytes) -> model.Configuration:
            seen.append(board.evacuated)
            board.resumed_at = float('inf')
            return super().decode_configuration(value)

    async def play() -> None:
        events = tunnel_support.RecordingLog()
        watcher = follow.StoreWatcher(board, Codec(), log, events)
        task = asyncio.create_task(watcher.watch_config())
        await path_fleet.wait_until(lambda: len(seen) == 2)
        task.cancel()
        assert [name for name, _ in events.recorded][:2] == [
            'evacuation-ended',
            'evacuation-began',
        ]

    asyncio.run(play())
    assert seen == [{'south'}, 0.0]


def test_operators_begin_and_end_an_evacuation_in_the_store() -> None:
    """Also where the history is compacted, over real sockets."""

    async def play() -> None:
        async with test_gateway_whole.run_environment() as env:
            await test_gateway_whole.make_ready(env)
            board = env.gateway.board
            for number, value in enumerate((b'{}', b'', b'{}', b'')):
                env.store.put('keyed.op', PREFIX + 'north', value)
                if number > 1:
                    env.store.drop_history('keyed.op')
                await env.wait_until(
                    lambda: board.evacuated == ({'north'} if value else set())
                )
                answer = await env.send_turn(f't{number}')
                assert (b' 503 ' in answer.split(b'\r\n')[0]) == bool(value)
                assert len(env.replica.received) == (number + 1) // 2
                gauges = env.gateway.gauges(clock.boot())
                assert gauges['evacuated_data_centres'] == bool(value)

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


def test_short_bound_of_evacuations_leaves_time_to_read_the_store() -> None:
    """Every request was refused, as the last read was always too old."""
    text = SETTINGS_FILE.format('', '[Bounds]\nEvacuateMs = 300\n')
    assert settings.decode(text.encode()).evacuate_s == 1.0
