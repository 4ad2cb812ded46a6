"""A test harness: forwarders that exchange states, before replicas."""

import asyncio
import collections.abc
import contextlib
import random
import typing

import attrs

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import gossip
from oleanderdrift.gateway import model
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_desk
from tests import gateway_support
from tests import peer_fleet

CALLS: typing.Final = gateway_support.route(kind=model.RouteKind.IDEMPOTENT)


@attrs.define(kw_only=True)
class Links:
    """The connections of one instance to all replicas, which may be cut.

    While they are cut, new connections are refused.
    """

    is_cut: bool = False
    opened: list[channel.Channel] = attrs.field(factory=list)

    async def connect(
        self, host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        """Opens a connection; raises OSError or TimeoutError."""
        if self.is_cut:
            raise ConnectionRefusedError
        connection = await channel.connect(host, port, timeout_s)
        self.opened.append(connection)
        return connection

    def cut(self) -> None:
        """Resets all connections."""
        self.is_cut = True
        for one in self.opened:
            one.close()


@attrs.define(kw_only=True)
class Fleet:
    """Forwarders in one process, and the replicas that they share.

    links are those of the instances, in the same order.  exchanging is cleared
    to stop the exchange of states.
    """

    network: peer_fleet.Network
    forwarders: list[forwarder.Forwarder]
    replicas: list[replica.Replica]
    links: list[Links]
    exchanging: bool = True
    sent: int = 0

    async def send(
        self, instance: int, **changes: typing.Any
    ) -> gateway_desk.RecordingReply:
        """Serves one request at an instance; returns the response."""
        now = clock.monotonic()
        self.sent += 1
        request_id = f'q{self.sent}'
        request = gateway_support.request(
            request_id=request_id,
            received=now,
            deadline=now + 5.0,
            headers=(('Host', 'desk.example'), ('Attempt-Id', request_id)),
            **changes,
        )
        reply = gateway_desk.RecordingReply()
        async with asyncio.timeout(10):
            await self.forwarders[instance].serve(request, reply)
        return reply

    async def send_evenly(
        self, per_s: float, duration_s: float
    ) -> list[gateway_desk.RecordingReply]:
        """Sends requests to all instances in turn; returns the responses."""
        tasks = []
        for number in range(round(per_s * duration_s)):
            instance = number % len(self.forwarders)
            tasks.append(asyncio.create_task(self.send(instance)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    async def exchange(self) -> None:
        """Exchanges states until cancelled."""
        while True:
            if self.exchanging:
                self.network.now = clock.monotonic()
                for one in self.network.instances.values():
                    one.exchange(self.network.now)
            await asyncio.sleep(gossip.EXCHANGE_INTERVAL_S)


@contextlib.asynccontextmanager
async def run_fleet(
    instances: int,
    *behaviours: replica.Behaviour,
    route: model.Route = CALLS,
) -> collections.abc.AsyncIterator[Fleet]:
    """Runs instances, and one replica for each behaviour.

    The first replica is the nearest to all instances.
    """
    replicas = [replica.Replica(behaviours=[one]) for one in behaviours]
    for one in replicas:
        await one.start()
    network = peer_fleet.Network(
        chance=random.Random(1), now=clock.monotonic()
    )
    forwarders = []
    log = gateway_support.MemoryLog()
    for number in range(instances):
        name = f'north-{number}'
        network.add(name, 'north')
        board = network.instances[name].board
        # A read of the store at infinity never becomes stale.
        board.freshness.confirm(float('inf'), clock.monotonic())
        board.config = gateway_support.config(
            routes=(route,), accounts_by_key=None
        )
        board.upstreams.by_id.clear()
        for place, each in enumerate(replicas):
            board.upstreams.put(
                gateway_support.entry(
                    f'u{place}',
                    port=each.port,
                    data_centre='south' if place else 'north',
                )
            )
        forwarders.append(
            forwarder.Forwarder(
                board, codec.PlatformCodec(), log, event_log.EventLog()
            )
        )
        await forwarders[-1].origins.update(clock.boot())
    links = [Links() for _ in forwarders]
    for made, own_links in zip(forwarders, links, strict=True):
        made.attempts.pool.connect = own_links.connect
    fleet = Fleet(
        network=network, forwarders=forwarders, replicas=replicas, links=links
    )
    tasks = [asyncio.create_task(fleet.exchange())]
    for made in forwarders:
        probes = made.attempts.probes
        tasks.append(asyncio.create_task(probes.probe_periodically()))
    try:
        yield fleet
    finally:
        for task in tasks:
            task.cancel()
        for one in replicas:
            await one.stop()
