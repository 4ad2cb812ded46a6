"""Shared helpers of the gateway tests: an in-memory log and factories."""

import asyncio
import collections
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import reachability
from oleanderdrift.gateway import settings as settings_lib
from oleanderdrift.gateway import upstreams

SETTINGS: typing.Final = settings_lib.GatewaySettings(
    instance='north-1',
    data_centre='north',
    listen='127.0.0.1:0',
    ready_listen='127.0.0.1:0',
    peer_listen='127.0.0.1:0',
    tunnel_listen='127.0.0.1:0',
    metrics_listen='127.0.0.1:0',
    store='127.0.0.1:1',
    store_partitions=4,
    store_record_bytes=4_096,
    store_writes_per_s=800.0,
    key_grace_s=4.5,
    stop_s=8.0,
    upstream_drain_s=2.0,
    cores=1.0,
    memory_bytes=188_743_680,
    link_mbps=1_000.0,
    turn_retention_s=300.0,
    evacuate_s=4.5,
)


@attrs.define(kw_only=True)
class MemoryLog:
    """An in-memory log with injected faults.

    With blocked_reads, reads wait for the gate.  Every call raises failure
    if it is set, and calls to failing_partitions fail; with failing_puts,
    writes of keys do.  The next unconfirmed_appends appends take effect but
    raise APPEND_UNCONFIRMED; the next hanging_appends take effect but never
    return.  Appends to blocked_topic wait for the gate, and so do removals,
    which are counted.
    """

    partitions: int = 4
    record_bytes: int = 4_096
    consecutive_failures: int = 0
    failure: errors.ResultError | None = None
    unconfirmed_appends: int = 0
    hanging_appends: int = 0
    blocked_topic: str = ''
    blocked_reads: bool = False
    waiting: int = 0
    failing_partitions: set[tuple[str, int]] = attrs.field(factory=set)
    gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    data: collections.defaultdict[tuple[str, int], list[bytes]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    keyed: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    keyed_ends: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    failing_puts: bool = False
    calls: int = 0
    failures: int = 0
    appends: int = 0
    reads: int = 0

    def check(self, topic: str, partition: int) -> None:
        """Raises ResultError if a call is to fail."""
        if self.failure is not None:
            raise self.failure
        if (topic, partition) in self.failing_partitions:
            raise errors.ResultError(codes.LOG_UNAVAILABLE, 'partition')

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[ports.Record],
    ) -> int:
        """Appends all records; returns the offset of the first."""
        self.appends += 1
        await asyncio.sleep(0)
        if topic == self.blocked_topic:
            await self.gate.wait()
        self.check(topic, partition)
        if max(map(len, records), default=0) > self.record_bytes:
            raise errors.ResultError(codes.APPEND_UNCONFIRMED, 'too long')
        found = self.data[topic, partition]
        start = len(found)
        found.extend(map(bytes, records))
        if self.hanging_appends:
            self.hanging_appends -= 1
            await asyncio.Event().wait()
        if self.unconfirmed_appends:
            self.unconfirmed_appends -= 1
            raise errors.ResultError(codes.APPEND_UNCONFIRMED, 'lost')
        return start

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Returns the records from start on."""
        self.reads += 1
        await asyncio.sleep(0)
        if self.blocked_reads:
            await self.gate.wait()
        self.check(topic, partition)
        found = self.data[topic, partition]
        return ports.LogRecords(
            start=start,
            records=tuple(found[start:]),
            end=len(found),
            first=0,
        )

    async def newest(self, topic: str) -> ports.KeyedRecords:
        """Returns the newest record of each key."""
        self.reads += 1
        await asyncio.sleep(0)
        self.check(topic, 0)
        return ports.KeyedRecords(
            records=tuple(
                ports.KeyedRecord(key=key, value=value)
                for (name, key), value in self.keyed.items()
                if name == topic
            ),
            end=self.keyed_ends[topic],
        )

    async def read_keyed(
        self, topic: str, start: int, *, wait_s: float
    ) -> ports.KeyedRecords | None:
        """Returns nothing; changes of keys are not followed here."""
        return None

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes the newest record of a key."""
        self.appends += 1
        await asyncio.sleep(0)
        self.check(topic, 0)
        if self.failing_puts:
            raise errors.ResultError(codes.LOG_UNAVAILABLE, 'put')
        self.keyed[topic, key] = value
        self.keyed_ends[topic] += 1

    async def remove(self, topic: str, key: str, end: int) -> bool:
        """Removes a key if the topic still ends at an offset."""
        self.appends += 1
        await asyncio.sleep(0)
        if topic == self.blocked_topic:
            self.waiting += 1
            await self.gate.wait()
        self.check(topic, 0)
        if self.keyed_ends[topic] != end:
            return False
        self.keyed.pop((topic, key), None)
        self.keyed_ends[topic] += 1
        return True


def account(
    name: str = 'ward', rate: float = 20.0, burst: float = 20.0
) -> model.ClientAccount:
    """Returns a client account."""
    return model.ClientAccount(
        name=name, priority=None, rate_per_s=rate, burst=burst
    )


def route(**changes: typing.Any) -> model.Route:
    """Returns a route to an engine service, with changes."""
    default = model.Route(
        name='r',
        host='desk.example',
        path_prefix='/a/',
        kind=model.RouteKind.STREAMING,
        timeout_s=5.0,
        target_s=0.2,
        priority=0,
        services=(model.WeightedService(service='guide', weight=1.0),),
        attempts=1,
        public=False,
        resumable=False,
        retains=False,
        retention_s=60.0,
    )
    return attrs.evolve(default, **changes)


def request(**changes: typing.Any) -> model.Request:
    """Returns a request, with changes."""
    default = model.Request(
        request_id='q1',
        method='POST',
        target='/a/b',
        host='desk.example',
        headers=(('Host', 'desk.example'), ('Attempt-Id', 'q1')),
        body=b'',
        key='key',
        deadline=5.0,
        received=0.0,
    )
    return attrs.evolve(default, **changes)


def entry(
    upstream_id: str = 'u1', **changes: typing.Any
) -> model.UpstreamEntry:
    """Returns an upstream's entry, with changes."""
    default = model.UpstreamEntry(
        upstream_id=upstream_id,
        service='guide',
        data_centre='north',
        host='127.0.0.1',
        port=1,
        slots=64,
        draining=False,
        born_ms=1,
        cold_s=0.0,
        version='v1',
    )
    return attrs.evolve(default, **changes)


def upstream(
    upstream_id: str = 'u1', **changes: typing.Any
) -> upstreams.Upstream:
    """Returns an upstream, with changes to its entry."""
    return upstreams.Upstream(entry=entry(upstream_id, **changes))


def config(**changes: typing.Any) -> model.Configuration:
    """Returns a configuration with one route and account, with changes."""
    default = model.Configuration(
        version=1,
        routes=(route(),),
        services={
            'guide': model.Service(
                name='guide',
                tokens_per_event=14,
                is_engine=True,
            )
        },
        accounts_by_key={'key': account()},
        limits=model.Limits(),
    )
    return attrs.evolve(default, **changes)


def board(now: float = 0.0) -> board_lib.Board:
    """Returns a board whose last read of the store was at `now`."""
    result = board_lib.Board(
        settings=SETTINGS,
        rate_limiter=allotments.RateLimiter(started=now - 100.0),
        reachability=reachability.Reachability(data_centre='north'),
        config=config(),
        upstreams_known=True,
    )
    assert result.config is not None
    accounts = result.config.accounts_by_key or {}
    result.rate_limiter.configure(accounts.values())
    result.freshness.confirm(now, now)
    return result


def admitted(**changes: typing.Any) -> admission.Admitted:
    """Returns an admitted request, with changes."""
    default = admission.Admitted(
        request=request(),
        route=route(),
        service=config().services['guide'],
        account=account(),
        config_version=1,
        suspended_s=0.0,
    )
    return attrs.evolve(default, **changes)
