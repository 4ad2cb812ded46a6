"""Tests of the follower of the configuration stream."""

import asyncio
import random
import typing

from oleanderdrift import codec
from oleanderdrift import config_exchange
from oleanderdrift import config_feed
from oleanderdrift import config_snapshots
from oleanderdrift import key_trust
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model
from tests import config_records
from tests import log_service as services

log_service = services.log_service
Scenario: typing.TypeAlias = typing.Callable[
    [config_feed.ConfigFeed], typing.Coroutine[typing.Any, typing.Any, None]
]


def account(name: str, change_id: str, burst: int = 1) -> bytes:
    """Returns the record of a change that sets an account."""
    change = config_records.set_account(name, change_id, burst=burst)
    return codec.encode(change)


def run(url: str, work: Scenario) -> None:
    """Runs work while a follower reads the log at url."""

    async def run_with_follower() -> None:
        client = log_client.LogClient(url, 0.2)
        feed = config_feed.ConfigFeed(
            client=client, random=random.Random(1), wait_s=0.1, retry_s=0.01
        )
        task = asyncio.create_task(config_feed.follow(feed))
        try:
            async with asyncio.timeout(8):
                await feed.caught_up.wait()
                await work(feed)
        finally:
            task.cancel()
            client.close()

    asyncio.run(run_with_follower())


async def wait_for_account(feed: config_feed.ConfigFeed, name: str) -> None:
    """Waits until an account is in force."""
    event = asyncio.Event()
    feed.listeners.append(
        lambda change: event.set() if change.name == name else None
    )
    if name not in feed.config.accounts:
        await event.wait()


def test_follower_applies_records_and_skips_undecodable_ones(
    log_service: services.LogService,
) -> None:
    log_service.append(account('a', '1'), b'\xff\xffnoise', account('b', '2'))

    async def work(feed: config_feed.ConfigFeed) -> None:
        assert sorted(feed.config.accounts) == ['a', 'b']
        assert (feed.next_offset, feed.reader.undecodable) == (4, 1)
        assert feed.last_contact is not None

    run(log_service.url, work)


def test_silent_connection_delays_a_change_for_a_limited_time(
    log_service: services.LogService,
) -> None:
    async def work(feed: config_feed.ConfigFeed) -> None:
        log_service.throw(silent=True)
        await asyncio.to_thread(log_service.append, account('a', '1'))
        await wait_for_account(feed, 'a')
        assert feed.failures >= 1

    run(log_service.url, work)


def test_snapshot_is_appended_before_the_log_trims(
    log_service: services.LogService,
) -> None:
    log_service.append(account('a', '1'))

    async def append_snapshot(feed: config_feed.ConfigFeed) -> None:
        feed.snapshot_schedule = config_snapshots.SnapshotSchedule(
            retention_s=0.1
        )
        result = await feed.client.read('config', 2, 1, 5.0)
        message = codec.decode(result.records[0].data)
        assert isinstance(message, messages.ConfigSnapshot)

    async def read_after_trim(feed: config_feed.ConfigFeed) -> None:
        assert list(feed.config.accounts) == ['a']
        assert feed.next_offset == 3

    run(log_service.url, append_snapshot)
    log_service.throw(retention=1)
    run(log_service.url, read_after_trim)


def test_direct_withdrawal_reaches_the_log(
    log_service: services.LogService,
) -> None:
    key = model.ApiKey(name='k', client_account='a', sha256='0' * 64)
    issued = codec.encode(config_records.set_object(key, '2'))
    log_service.append(account('a', '1'), issued)

    async def work(feed: config_feed.ConfigFeed) -> None:
        key_trust.withdraw_by_name(feed.trust, feed.config, 'k', 0.0)
        removed = asyncio.Event()
        feed.listeners.append(lambda change: removed.set())
        await removed.wait()
        assert (feed.config.keys, feed.trust.withdrawn) == ({}, {})

    run(log_service.url, work)


def test_retry_delay_grows_up_to_its_maximum() -> None:
    feed = config_feed.ConfigFeed(
        client=log_client.LogClient('http://127.0.0.1:9'),
        random=random.Random(1),
    )
    delays = [config_feed.retry_delay_s(feed, count) for count in (1, 3, 99)]
    assert delays[0] <= config_feed.RETRY_S < delays[1] < delays[2]
    assert delays[2] <= config_feed.MAX_RETRY_S


def test_follower_continues_after_a_listener_raises(
    log_service: services.LogService,
) -> None:
    async def work(feed: config_feed.ConfigFeed) -> None:
        def fail(_: model.ObjectChange) -> None:
            raise KeyError('fault')

        feed.listeners.append(fail)
        for name in 'cd':
            await asyncio.to_thread(log_service.append, account(name, name))
            await wait_for_account(feed, name)

    run(log_service.url, work)


def test_instance_without_the_log_gets_its_state_from_peers(
    log_service: services.LogService,
) -> None:
    key = model.ApiKey(name='k', client_account='a', sha256='0' * 64)
    issued = codec.encode(config_records.set_object(key, '2'))
    log_service.append(account('a', '1'), issued)
    closed = log_client.LogClient('http://127.0.0.1:9')
    isolated = config_feed.ConfigFeed(client=closed, random=random.Random(1))
    withdrawn: list[model.ApiKey] = []
    isolated.withdrawal_listeners.append(withdrawn.append)

    async def work(feed: config_feed.ConfigFeed) -> None:
        async def request(
            _: str, message: typing.Any, __: float
        ) -> messages.Message:
            return config_exchange.handle(feed, message, sent, ['isolated'])

        def sent(_: str, message: typing.Any) -> None:
            config_exchange.handle(isolated, message, sent, [])

        assert isolated.last_contact is None
        await config_exchange.query_peers(isolated, request, sent, ['peer'])
        assert isolated.config == feed.config
        assert isolated.last_contact is not None
        config_exchange.withdraw(feed, 'k', sent, ['isolated'])
        assert withdrawn == [key]

    run(log_service.url, work)
    closed.close()
