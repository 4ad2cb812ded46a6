"""Measures the cost of the configuration and how soon changes take effect.

Costs are measured at three sizes, from which docs/CAPACITY.md derives
slopes.  The time to be in force is measured from the call that appends a
change until the last of nine followers has applied it.
"""

import asyncio
import collections.abc
import functools
import random
import statistics
import threading
import time
import tracemalloc
import typing

import attrs
import msgspec

from bench import figure
from oleanderdrift import codec
from oleanderdrift import config_feed
from oleanderdrift import config_state
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model
from standins import log
from standins import serving

ACCOUNTS: typing.Final = (425, 850, 1700)
UPSTREAMS_PER_ACCOUNT: typing.Final = 2
CHANGES: typing.Final = 500
READERS: typing.Final = 9
PUBLISHES: typing.Final = 20
SILENT_PUBLISHES: typing.Final = 5
IN_FORCE_BOUND_S: typing.Final = 9.0


def make_change(
    kind: model.Kind, item: model.ConfigObject, serial: int
) -> messages.ConfigChange:
    """Returns a configuration change that sets an object."""
    return messages.ConfigChange(
        change_id=f'{serial:032x}',
        kind=kind,
        name=item.name,
        expected_version=messages.ANY_VERSION,
        body=msgspec.json.encode(item),
        author='operator',
    )


def make_key(name: str, account: str) -> model.ApiKey:
    """Returns a key whose secret is its name."""
    return model.ApiKey(
        name=name,
        client_account=account,
        sha256=config_state.key_digest(name),
    )


def make_records(accounts: int) -> list[bytes]:
    """Returns the encoded log records of a fleet with that many accounts."""
    items: list[tuple[model.Kind, model.ConfigObject]] = [
        (model.Kind.MODEL, model.Model(name='m'))
    ]
    for number in range(accounts):
        account = model.ClientAccount(
            name=f'account-{number}', rate_per_s=10, burst=20
        )
        items.append((model.Kind.ACCOUNT, account))
        items.append((model.Kind.KEY, make_key(f'key-{number}', account.name)))
    for number in range(accounts * UPSTREAMS_PER_ACCOUNT):
        upstream = model.Upstream(
            name=f'upstream-{number}',
            data_centre=f'dc-{number % 7}',
            url=f'http://10.0.{number // 250}.{number % 250}:8000',
            models=('m',),
        )
        items.append((model.Kind.UPSTREAM, upstream))
    return [
        codec.encode(make_change(kind, item, serial))
        for serial, (kind, item) in enumerate(items)
    ]


def fold(records: list[bytes]) -> model.Config:
    """Returns the configuration that results from the records."""
    config = model.Config()
    for offset, data in enumerate(records, 1):
        verdict = config_state.apply(config, offset, codec.decode(data))
        assert verdict.accepted, verdict.detail
    return config


def key_changes() -> list[bytes]:
    """Returns changes that alternately issue and withdraw a key."""
    changes = []
    for number in range(CHANGES):
        key = make_key(f'new-{number}', 'account-0')
        issued = make_change(model.Kind.KEY, key, 10**9 + 2 * number)
        removed = attrs.evolve(
            issued, change_id=f'{10**9 + 2 * number + 1:032x}', body=None
        )
        changes += [codec.encode(issued), codec.encode(removed)]
    return changes


def measure_cost(accounts: int) -> list[figure.Figure]:
    """Returns the cost figures for a number of accounts."""
    records = make_records(accounts)
    tracemalloc.start()
    config = fold(records)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.perf_counter()
    fold(records)
    fold_all_s = time.perf_counter() - started
    changes = key_changes()
    started = time.perf_counter()
    for offset, data in enumerate(changes, config.next_offset):
        config_state.apply(config, offset, codec.decode(data))
    fold_change_s = (time.perf_counter() - started) / len(changes)
    started = time.perf_counter()
    snapshot = codec.encode(config_state.snapshot(config))
    encode_s = time.perf_counter() - started
    started = time.perf_counter()
    config_state.load(model.Config(), codec.decode(snapshot))
    load_s = time.perf_counter() - started
    return [
        figure.Figure(
            name=f'config.{name}.accounts_{accounts}', unit=unit, value=value
        )
        for name, unit, value in (
            ('memory', 'KiB', memory / 1024),
            ('fold_all', 'ms', fold_all_s * 1e3),
            ('fold_key_change', 'us', fold_change_s * 1e6),
            ('snapshot_size', 'KiB', len(snapshot) / 1024),
            ('snapshot_encode', 'ms', encode_s * 1e3),
            ('snapshot_load', 'ms', load_s * 1e3),
        )
    ]


class LogThread:
    """Runs the stand-in log service in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.url = ''
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()
        self.ready.wait()

    def serve(self) -> None:
        """Serves until stopped."""
        asyncio.set_event_loop(self.loop)
        self.app = log.make_app()
        _, port = serving.listen(self.app, '127.0.0.1', 0)
        self.url = f'http://127.0.0.1:{port}'
        self.loop.call_soon(self.ready.set)
        self.loop.run_forever()

    def silence(self) -> None:
        """Stops answering, for good, on every connection open now."""
        set_switches = functools.partial(
            self.app.state.set_switches, {'silent': True}
        )
        self.loop.call_soon_threadsafe(set_switches)

    def stop(self) -> None:
        """Stops serving."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


def notifier(event: asyncio.Event) -> config_feed.Listener:
    """Returns a listener that sets the event."""

    def listen(_: model.ObjectChange) -> None:
        event.set()

    return listen


async def measure_in_force(
    log_thread: LogThread, publishes: int, silent: bool
) -> list[float]:
    """Returns the seconds until the last reader applied each change.

    With silent, the log stops answering on all open connections before
    each change.
    """
    clients = [
        log_client.LogClient(log_thread.url) for _ in range(READERS + 1)
    ]
    feeds = [
        config_feed.ConfigFeed(client=client, random=random.Random(number))
        for number, client in enumerate(clients[1:])
    ]
    tasks = [asyncio.create_task(config_feed.follow(feed)) for feed in feeds]
    for feed in feeds:
        await feed.caught_up.wait()
    times: list[float] = []
    for number in range(publishes):
        applied_events = [asyncio.Event() for _ in feeds]
        for feed, event in zip(feeds, applied_events):
            feed.listeners[:] = [notifier(event)]
        account = model.ClientAccount(name='a', rate_per_s=1, burst=number + 1)
        change = make_change(model.Kind.ACCOUNT, account, len(times))
        change = attrs.evolve(change, change_id=f'{silent}-{number}')
        if silent:
            log_thread.silence()
        started = time.perf_counter()
        await clients[0].append('config', codec.encode(change))
        for event in applied_events:
            await event.wait()
        times.append(time.perf_counter() - started)
    for task in tasks:
        task.cancel()
    for client in clients:
        client.close()
    return times


def time_figures(name: str, times: list[float]) -> list[figure.Figure]:
    """Returns figures of the median and the slowest time."""
    return [
        figure.Figure(
            name=f'{name}.{what}_of_{len(times)}',
            unit='s',
            value=value,
            bound=IN_FORCE_BOUND_S,
        )
        for what, value in (
            ('median', statistics.median(times)),
            ('slowest', max(times)),
        )
    ]


def measure_times(publishes: int, silent: bool) -> list[figure.Figure]:
    """Returns figures of the time until changes are in force."""
    log_thread = LogThread()
    times = asyncio.run(measure_in_force(log_thread, publishes, silent))
    log_thread.stop()
    name = 'config.in_force' + ('.silent_connections' if silent else '')
    return time_figures(f'{name}.readers_{READERS}', times)


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the cost figures, then the times to be in force."""
    for accounts in ACCOUNTS:
        yield from measure_cost(accounts)
    yield from measure_times(PUBLISHES, False)
    yield from measure_times(SILENT_PUBLISHES, True)
