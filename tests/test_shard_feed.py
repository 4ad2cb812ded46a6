"""Tests of shards that move between instances through the log."""

import asyncio
import random
import time
import typing

import attrs

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import programs
from oleanderdrift import shard_feed
from oleanderdrift import shard_manager
from tests import log_service as services
from tests import test_programs

log_service = services.log_service
LEASE_S: typing.Final = 0.4
TIMEOUT_S: typing.Final = 8.0


@attrs.define(kw_only=True)
class Node:
    """An instance with its feed; written is set by its first takeover."""

    feed: shard_feed.ShardFeed
    written: asyncio.Event
    tasks: list[asyncio.Task[None]]

    @property
    def manager(self) -> shard_manager.ShardManager:
        return self.feed.manager


async def _no_peer(
    instance: str, message: messages.Message
) -> messages.Message:
    raise errors.ResultError(codes.PEER_UNREACHABLE, instance)


def start(name: str, client: log_client.LogClient) -> Node:
    written = asyncio.Event()
    manager = shard_manager.make(
        instance=name,
        data_centre='dc',
        lease_s=LEASE_S,
        unix_s=time.time(),
        rng=random.Random(name),
        ledger=decisions.Ledger(),
    )
    feed = shard_feed.ShardFeed(
        manager=manager,
        client=client,
        random=random.Random(name),
        ask=_no_peer,
        write=lambda decision: written.set(),
        is_durable=lambda: True,
    )
    coroutines: list[typing.Any] = [
        shard_feed.follow(feed),
        shard_feed.run(feed),
    ]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    return Node(feed=feed, written=written, tasks=tasks)


async def until(condition: typing.Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.005)


def is_published(node: Node) -> bool:
    shard = node.manager.current_shard
    return node.manager.ledger.shards[shard].epoch > 0


async def append(
    client: log_client.LogClient, shard: str, decision: decisions.Decision
) -> None:
    records = messages.ShardRecords(
        shard=shard,
        epoch=decision.reply.fencing_token
        if isinstance(decision.reply, messages.CallGranted)
        else 0,
        records=tuple(codec.encode(one) for one in decision.records),
    )
    await client.append('programs.dc', codec.encode(records))


def test_a_successor_knows_the_intents_of_a_killed_owner(
    log_service: services.LogService,
) -> None:
    async def scenario() -> None:
        client = log_client.LogClient(log_service.url, 1.0)
        killed, successor = start('x', client), start('y', client)
        await until(lambda: is_published(killed) and is_published(successor))
        manager = killed.manager
        shard = manager.current_shard
        # The successor must have been known when the lease was renewed.
        number = manager.fleet.own[shard].renewal_number
        await until(
            lambda: manager.fleet.own[shard].renewal_number > number + 1
        )
        epoch = shard_manager.epoch_of(manager, time.monotonic(), shard)
        created = programs.create(
            manager.ledger,
            time.time(),
            shard,
            test_programs.CREATE,
            test_programs.CLASS,
        )
        call = attrs.evolve(test_programs.TOOL, program=f'{shard}.1')
        begun = programs.begin(manager.ledger, time.time(), epoch, call)
        await append(client, shard, created)
        await append(client, shard, begun)
        for task in killed.tasks:
            task.cancel()
        await asyncio.wait_for(successor.written.wait(), TIMEOUT_S)
        epoch = shard_manager.epoch_of(
            successor.manager, time.monotonic(), shard
        )
        assert shard_manager.holder_of(successor.manager, shard) == 'y'
        reply = programs.begin(
            successor.manager.ledger, time.time(), epoch, call
        ).reply
        assert reply.code == codes.OUTCOME_UNKNOWN.number
        for task in successor.tasks:
            task.cancel()
        client.close()

    asyncio.run(scenario())


def test_programs_start_in_a_new_shard_during_an_outage() -> None:
    manager = shard_manager.make(
        instance='x',
        data_centre='dc',
        lease_s=LEASE_S,
        unix_s=0.0,
        rng=random.Random(1),
        ledger=decisions.Ledger(),
    )
    first = shard_manager.shard_for_new_program(manager, 0.0)
    actions = shard_manager.step(manager, 0.0, log_answers=True, durable=True)
    assert isinstance(actions[0], shard_manager.AppendFleet)
    assert shard_manager.shard_for_new_program(manager, LEASE_S - 0.1) == first
    second = shard_manager.shard_for_new_program(manager, LEASE_S)
    assert second != first
    assert shard_manager.served_shards(manager, 1e6) == {second}


def test_a_non_idempotent_call_without_owner_is_outcome_unavailable() -> None:
    error = errors.ResultError(codes.OWNER_UNAVAILABLE)
    result = programs.error_without_owner(test_programs.TOOL, error)
    assert result.code is codes.OUTCOME_UNAVAILABLE
    assert programs.error_without_owner(test_programs.BEGIN, error) is error
