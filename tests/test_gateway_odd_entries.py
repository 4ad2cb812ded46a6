"""One odd entry among the upstreams' leaves the others in use."""

import asyncio
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import follow
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import upstreams
from oleanderdrift.platform import codec
from oleanderdrift.platform import operator
from tests import gateway_support
from tests import odd_values

# Turns of the event loop in which a watcher reads all entries.
TURNS: typing.Final = 20


def spoilt_entry(**changes: object) -> bytes:
    """Returns an encoded entry of an upstream, with changes."""
    return json.dumps({**odd_values.ENTRY, **changes}).encode()


ODD_ENTRIES: typing.Final = {
    'nested': spoilt_entry(Slots='replaced').replace(
        b'"replaced"', odd_values.DEEP
    ),
    'nested-unread': spoilt_entry(Unread='replaced').replace(
        b'"replaced"', odd_values.DEEP
    ),
    'port-0': spoilt_entry(Address='10.0.0.1:0'),
    'port-65536': spoilt_entry(Address='10.0.0.1:65536'),
    'port-of-5000-digits': spoilt_entry(Address='10.0.0.1:' + '9' * 5_000),
    'port-superscript': spoilt_entry(Address='10.0.0.1:\u00b2'),
    'host-with-nul': spoilt_entry(Address='a\0b:80'),
    'host-with-long-label': spoilt_entry(Address='a' * 64 + ':80'),
    'host-with-empty-label': spoilt_entry(Address='a..b:80'),
    'host-with-line-feed': spoilt_entry(Address='a\nb:80'),
    'host-too-long': spoilt_entry(Address='a.' * 200 + 'a:80'),
    'slots-of-400-digits': spoilt_entry(Slots=10**399),
    'slots-0': spoilt_entry(Slots=0),
    'slots-negative': spoilt_entry(Slots=-4),
    'born-of-400-digits': spoilt_entry(born=10**399),
    'born-negative': spoilt_entry(born=-1),
    'cold-negative': spoilt_entry(ColdLeftMs=-1),
    'cold-huge': spoilt_entry(ColdLeftMs=1e300),
    'cold-infinite': spoilt_entry(ColdLeftMs=float('inf')),
    'service-empty': spoilt_entry(Service=''),
    'version-long': spoilt_entry(Version='v' * 10_000),
    'utf-8': spoilt_entry().replace(b'"g"', b'"\xff"'),
}


@pytest.mark.parametrize('value', ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_names_no_upstream(value: bytes) -> None:
    assert operator.decode_upstream_entry('u1', value) is None


@pytest.mark.parametrize(
    'upstream_id',
    ['', ' u', 'u\r\nTenant: x', 'u\x1f1', 'u\x7f', '\ufffd', 'u' * 256],
)
def test_id_that_no_header_can_carry_names_no_upstream(
    upstream_id: str,
) -> None:
    assert operator.decode_upstream_entry('u1', spoilt_entry()) is not None
    assert operator.decode_upstream_entry(upstream_id, spoilt_entry()) is None


class RecordedEvents(event_log.EventLog):
    """Keeps the names of the events that are logged."""

    def __init__(self) -> None:
        super().__init__()
        self.names: list[str] = []

    def info(self, event: str, **values: object) -> None:
        """Keeps the name of an event."""
        self.names.append(event)


async def watch(
    log: gateway_support.MemoryLog, events: RecordedEvents
) -> board_lib.Board:
    """Follows the upstreams in a log for a few turns; returns the board."""
    board = gateway_support.board()
    watcher = follow.StoreWatcher(board, codec.PlatformCodec(), log, events)
    task = asyncio.create_task(watcher.watch_upstreams())
    for _ in range(TURNS):
        await asyncio.sleep(0)
    assert not task.done()
    task.cancel()
    return board


@pytest.mark.parametrize('value', ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_does_not_end_the_watch_of_the_others(value: bytes) -> None:
    log = gateway_support.MemoryLog()
    topic = codec.PlatformCodec.upstreams_topic
    for name in ('u1', 'odd', 'u2'):
        log.keyed[topic, name] = value if name == 'odd' else spoilt_entry()
    events = RecordedEvents()
    board = asyncio.run(watch(log, events))
    assert board.upstreams.by_id.keys() == {'u1', 'u2'}
    assert events.names.count('entry-unreadable') == 1


@pytest.mark.parametrize('value', ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_leaves_the_former_one_in_use(value: bytes) -> None:
    board = gateway_support.board()
    watcher = follow.StoreWatcher(
        board,
        codec.PlatformCodec(),
        gateway_support.MemoryLog(),
        RecordedEvents(),
    )
    for each in (spoilt_entry(), value):
        watcher.apply_entry(ports.KeyedRecord(key='u1', value=each))
    used = board.upstreams.by_id['u1']
    assert used.entry == operator.decode_upstream_entry('u1', spoilt_entry())
    assert used.removed_at is None


@odd_values.SEEDED
@hypothesis.given(strategies.text(), odd_values.changed(odd_values.ENTRY))
def test_any_entry_is_in_range_or_names_no_upstream(
    upstream_id: str, value: bytes
) -> None:
    for name in (upstream_id, 'u1'):
        found = operator.decode_upstream_entry(name, value)
        if found is None:
            continue
        assert bounds.is_name(found.upstream_id)
        assert bounds.MIN_PORT <= found.port <= bounds.MAX_PORT
        assert 1 <= found.slots <= bounds.MAX_SLOTS
        assert 0 <= found.born_ms <= bounds.MAX_COUNT
        assert 0 <= found.cold_s <= bounds.MAX_S


def test_start_in_the_future_does_not_keep_the_true_one_out() -> None:
    true = gateway_support.entry(born_ms=7)
    known = upstreams.UpstreamSet()
    known.put(true)
    known.put(gateway_support.entry(born_ms=bounds.MAX_COUNT))
    changes = [known.put(true) for _ in range(upstreams.MAX_OLDER_ENTRIES)]
    assert changes[-1] == 'restarted'
    assert known.by_id['u1'].entry == true


def test_late_entry_of_an_earlier_start_is_ignored() -> None:
    known = upstreams.UpstreamSet()
    for born_ms in (8, 7, 8, 7, 8, 7, 8, 7):
        known.put(gateway_support.entry(born_ms=born_ms))
    assert known.by_id['u1'].entry.born_ms == 8
