"""Tests of relaying, direct withdrawal, key grace period and snapshots."""

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
    """Returns a reader of the log's first count records.

    Records before offset first have been trimmed.
    """
    reader = config_reader.ConfigReader()
    result = config_records.read_result(log[:count], first=first)
    config_reader.apply_batch(reader, result)
    return reader


def exchange(
    requester: config_reader.ConfigReader,
    peer: config_reader.ConfigReader,
    last_contact: float | None,
) -> tuple[config_peers.ConfigResponse, config_peers.PeerUpdate]:
    """Exchanges at 100 on the requester's clock and 7.5 on the peer's."""
    request = config_peers.build_request(requester, TRUST, None, 100.0)
    assert request is not None
    response = config_peers.build_response(
        peer, TRUST, request, last_contact, 7.5
    )
    return response, config_peers.apply_response(requester, response, 100.0)


@pytest.mark.parametrize('count', [0, 1, 2, 3])
def test_peer_relays_newer_records(count: int) -> None:
    requester, peer = reader_of(count), reader_of(4)
    response, update = exchange(requester, peer, 5.0)
    assert isinstance(response, messages.ConfigRecords)
    assert requester.config == peer.config
    assert requester.read_offset == 5
    assert update.complete_at == 97.5


def test_fresh_instance_loads_a_peers_state_in_an_outage() -> None:
    snapshot = config_state.snapshot(reader_of(3).config)
    peer = config_reader.ConfigReader()
    config_reader.load_snapshot(peer, snapshot)
    requester = config_reader.ConfigReader()
    response, update = exchange(requester, peer, 5.0)
    assert isinstance(response, messages.ConfigState)
    assert (requester.config, requester.read_offset) == (peer.config, 4)
    config_reader.apply_batch(requester, config_records.read_result(LOG, 4))
    assert requester.config == reader_of(4).config


def test_response_of_an_older_peer_changes_nothing() -> None:
    requester = reader_of(4)
    _, update = exchange(requester, reader_of(2), 5.0)
    assert requester.config == reader_of(4).config
    assert update.changes == ()


def test_peer_that_never_read_the_log_proves_no_contact() -> None:
    _, update = exchange(reader_of(1), reader_of(4), None)
    assert update.complete_at is None


def test_peers_records_close_a_gap_in_a_trimmed_log() -> None:
    requester = reader_of(4, first=3)
    assert (requester.gap_end, requester.config.next_offset) == (3, 0)
    exchange(requester, reader_of(2), 5.0)
    assert requester.gap_end is None
    assert requester.config == reader_of(4).config


def test_peer_that_closed_a_gap_relays_no_records_with_a_gap() -> None:
    log = LOG + [config_state.snapshot(reader_of(4).config)]
    peer = reader_of(1)
    config_reader.apply_batch(peer, config_records.read_result(log, first=4))
    requester = reader_of(1)
    exchange(requester, peer, 5.0)
    assert requester.config == peer.config
    assert requester.config.next_offset == 6


@pytest.mark.parametrize(
    ('last_contact', 'withdrawn', 'expected'),
    [
        (99.0, {}, False),
        (90.0, {}, True),
        (None, {}, True),
        (99.0, {DIGEST: 0.0}, True),
    ],
)
def test_request_is_sent_only_if_needed(
    last_contact: float | None, withdrawn: dict[str, float], expected: bool
) -> None:
    trust = key_trust.KeyTrust(withdrawn=withdrawn)
    request = config_peers.build_request(
        reader_of(2), trust, last_contact, 100.0
    )
    assert (request is not None) is expected


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


def test_direct_withdrawal_reaches_peers_and_is_applied_once() -> None:
    rng = random.Random(1)
    log = LOG[:2]
    readers = [reader_of(2, log=log) for _ in range(3)]
    trusts = [key_trust.KeyTrust() for _ in readers]
    key_trust.withdraw_by_name(trusts[0], readers[0].config, 'k', 0.0)
    for trust, reader in zip(trusts[1:], readers[1:]):
        merged = key_trust.merge_withdrawn(
            trust, reader.config, trusts[0].withdrawn, 0.0, rng
        )
        assert merged == (KEY,)
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
def test_snapshot_is_due_before_half_the_retention(
    now: float, first: int, expected: bool
) -> None:
    schedule = config_snapshots.SnapshotSchedule(retention_s=100.0)
    reader, rng = reader_of(4, first=first), random.Random(1)
    assert config_snapshots.is_due(schedule, reader, now, rng) is expected
    assert not config_snapshots.is_due(schedule, reader, now + 1, rng)


def test_few_of_many_instances_append_a_snapshot() -> None:
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
    first_due_at = next(times)
    assert first_due_at < 0.26 * 86_400
    due_count = sum(
        config_snapshots.is_due(one, reader, first_due_at, rng)
        for one in schedules
    )
    assert due_count <= 7


@pytest.mark.parametrize(('isolated', 'instances'), [(False, 120), (True, 40)])
def test_changes_reach_all_instances_over_few_links(
    isolated: bool, instances: int
) -> None:
    spread = config_spread.spread(3, 40, isolated)
    assert spread.told + spread.asked == spread.instances == instances
    assert spread.told >= 0.9 * instances
    assert spread.hops <= 7
    assert spread.links <= 30
