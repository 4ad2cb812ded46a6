"""Tests of relaying, direct withdrawal, key grace and snapshots."""

import random
import typing

import pytest

from bench import config_spread
from oleanderdrift import codes
from oleanderdrift import config_peers
from oleanderdrift import config_reader
from oleanderdrift import config_snapshots
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import key_trust
from oleanderdrift import messages
from oleanderdrift import model
from tests import config_records

DIGEST: typing.Final = config_state.key_digest('secret')
KEY: typing.Final = model.ApiKey(name='k', client_account='a', sha256=DIGEST)
LOG: typing.Final[list[messages.Message]] = [
    config_records.set_account('a', '1'),
    config_records.set_object(KEY, '2'),
    config_records.remove(model.Kind.KEY, 'k', '3'),
    config_records.set_account('b', '4'),
]
TRUST: typing.Final = key_trust.KeyTrust()


def reader_of(
    count: int, first: int = 1, log: list[messages.Message] = LOG
) -> config_reader.ConfigReader:
    """Returns a reader of the log's first count records."""
    reader = config_reader.ConfigReader()
    result = config_records.read_result(log[:count], first=first)
    config_reader.apply_batch(reader, result)
    return reader


def exchange(
    asker: config_reader.ConfigReader,
    peer: config_reader.ConfigReader,
    last_contact: float | None,
) -> tuple[config_peers.Response, config_peers.PeerUpdate]:
    """Asks at 100 on the asker's clock, answered at 7.5 on the peer's."""
    request = config_peers.build_request(asker, TRUST, None, 100.0)
    assert request is not None
    response = config_peers.build_response(
        peer, TRUST, request, last_contact, 7.5
    )
    return response, config_peers.apply_response(asker, response, 100.0)


@pytest.mark.parametrize('count', [0, 1, 2, 3])
def test_peer_relays_newer_records(count: int) -> None:
    asker, peer = reader_of(count), reader_of(4)
    response, update = exchange(asker, peer, 5.0)
    assert isinstance(response, messages.ConfigRecords)
    assert asker.config == peer.config
    assert asker.read_offset == 5
    assert update.complete_at == 97.5


def test_fresh_instance_takes_a_peers_state_in_an_outage() -> None:
    snapshot = config_state.snapshot(reader_of(3).config)
    peer = config_reader.ConfigReader()
    config_reader.load_snapshot(peer, snapshot)
    asker = config_reader.ConfigReader()
    response, update = exchange(asker, peer, 5.0)
    assert isinstance(response, messages.ConfigState)
    assert (asker.config, asker.read_offset) == (peer.config, 4)
    config_reader.apply_batch(asker, config_records.read_result(LOG, 4))
    assert asker.config == reader_of(4).config


def test_older_peer_takes_nothing_back() -> None:
    asker = reader_of(4)
    _, update = exchange(asker, reader_of(2), 5.0)
    assert asker.config == reader_of(4).config
    assert update.changes == ()


def test_peer_that_never_read_the_log_proves_no_contact() -> None:
    _, update = exchange(reader_of(1), reader_of(4), None)
    assert update.complete_at is None


def test_peers_records_close_a_gap_in_a_trimmed_log() -> None:
    asker = reader_of(4, first=3)
    assert (asker.gap_end, asker.config.next_offset) == (3, 0)
    exchange(asker, reader_of(2), 5.0)
    assert asker.gap_end is None
    assert asker.config == reader_of(4).config


def test_peer_that_bridged_a_gap_sends_no_records_with_a_hole() -> None:
    log = LOG + [config_state.snapshot(reader_of(4).config)]
    peer = reader_of(1)
    config_reader.apply_batch(peer, config_records.read_result(log, first=4))
    asker = reader_of(1)
    exchange(asker, peer, 5.0)
    assert asker.config == peer.config
    assert asker.config.next_offset == 6


@pytest.mark.parametrize(
    ('last_contact', 'withdrawn', 'asks'),
    [
        (99.0, {}, False),
        (90.0, {}, True),
        (None, {}, True),
        (99.0, {DIGEST: 0.0}, True),
    ],
)
def test_asks_only_where_needed(
    last_contact: float | None, withdrawn: dict[str, float], asks: bool
) -> None:
    trust = key_trust.KeyTrust(withdrawn=withdrawn)
    request = config_peers.build_request(
        reader_of(2), trust, last_contact, 100.0
    )
    assert (request is not None) is asks


@pytest.mark.parametrize(
    ('last_contact', 'code'),
    [
        (100.0, None),
        (100.0 - key_trust.KEY_GRACE_S, None),
        (99.0 - key_trust.KEY_GRACE_S, codes.KEYS_UNVERIFIABLE),
        (None, codes.KEYS_UNVERIFIABLE),
    ],
)
def test_keys_work_for_the_grace_period(
    last_contact: float | None, code: codes.ResultCode | None
) -> None:
    config = reader_of(2).config
    caught = None
    try:
        key_trust.authenticate(TRUST, config, 'secret', last_contact, 100.0)
    except errors.ResultError as error:
        caught = error.code
    assert caught is code


def test_direct_withdrawal_spreads_and_enters_the_log_once() -> None:
    rng = random.Random(1)
    log = LOG[:2]
    readers = [reader_of(2, log=log) for _ in range(3)]
    trusts = [key_trust.KeyTrust() for _ in readers]
    key_trust.withdraw_by_name(trusts[0], readers[0].config, 'k', 0.0)
    for trust, reader in zip(trusts[1:], readers[1:]):
        told = key_trust.merge_withdrawn(
            trust, reader.config, trusts[0].withdrawn, 0.0, rng
        )
        assert told == (KEY,)
        assert key_trust.due_withdrawals(trust, reader.config, 0.0) == []
    for trust, reader in zip(trusts, readers):
        with pytest.raises(errors.ResultError) as caught:
            key_trust.authenticate(trust, reader.config, 'secret', 0.0, 0.0)
        assert caught.value.code is codes.UNKNOWN_KEY
        log = log + key_trust.due_withdrawals(trust, reader.config, 200.0)
    assert len(log) == 5
    for trust, reader in zip(trusts, readers):
        result = config_records.read_result(log, 3)
        evaluated, changes = config_reader.apply_batch(reader, result)
        assert [one.verdict.accepted for one in evaluated] == [True] * 3
        for change in changes:
            key_trust.on_change(trust, change)
        assert (trust.withdrawn, reader.config.keys) == ({}, {})


@pytest.mark.parametrize(
    ('now', 'first', 'expected'),
    [(20.0, 1, False), (60.0, 1, True), (60.0, 3, False)],
)
def test_snapshot_falls_due_before_half_the_retention(
    now: float, first: int, expected: bool
) -> None:
    schedule = config_snapshots.SnapshotSchedule(retention_s=100.0)
    reader, rng = reader_of(4, first=first), random.Random(1)
    assert config_snapshots.is_due(schedule, reader, now, rng) is expected
    assert not config_snapshots.is_due(schedule, reader, now + 1, rng)


def test_of_many_instances_few_append_a_snapshot() -> None:
    rng = random.Random(1)
    schedules = [
        config_snapshots.SnapshotSchedule(retention_s=86_400.0)
        for _ in range(600)
    ]
    reader = reader_of(4)
    times = (
        now
        for now in range(21_600, 86_400, 60)
        if any(
            config_snapshots.is_due(one, reader, now, rng) for one in schedules
        )
    )
    began = next(times)
    assert began < 0.26 * 86_400
    acted = sum(
        config_snapshots.is_due(one, reader, began, rng) for one in schedules
    )
    assert acted <= 7


@pytest.mark.parametrize(('cut', 'instances'), [(False, 120), (True, 40)])
def test_news_reaches_all_over_few_links(cut: bool, instances: int) -> None:
    found = config_spread.spread(3, 40, cut)
    assert found.told + found.asked == found.instances == instances
    assert found.told >= 0.9 * instances
    assert found.hops <= 7
    assert found.links <= 30
