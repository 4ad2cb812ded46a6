"""Tests of shard leases, takeovers and promises to wait."""

import copy
import typing

import attrs
import pytest

from oleanderdrift import errors
from oleanderdrift import fleet_records
from oleanderdrift import lease_promises
from oleanderdrift import messages
from oleanderdrift import ownership
from oleanderdrift import takeovers

LEASE_S: typing.Final = 30.0
EXPIRED_S: typing.Final = LEASE_S * 1.3


@attrs.define(kw_only=True)
class Log:
    """A fleet stream that every instance reads immediately."""

    fleets: dict[str, ownership.FleetView]
    next_offset: int = 1

    def append(self, now: float, record: messages.Message) -> int:
        for fleet in self.fleets.values():
            fleet_records.apply(fleet, now, self.next_offset, record)
        self.next_offset += 1
        return self.next_offset - 1


@pytest.fixture
def log() -> Log:
    """Three instances of one data centre with an opened shard each."""
    fleets = {
        name: ownership.FleetView(
            instance=name,
            data_centre='dc',
            lease_s=LEASE_S,
            last_renewal_number=0,
        )
        for name in 'xyz'
    }
    log = Log(fleets=fleets)
    for name, fleet in fleets.items():
        ownership.open_private(fleet, f's{name}')
    for name, fleet in fleets.items():
        log.append(0.0, ownership.opening_record(fleet, 0.0, f's{name}'))
    for fleet in fleets.values():
        log.append(0.0, ownership.next_renewal(fleet, 0.0))
    return log


def give_promises(log: Log, now: float) -> None:
    x = log.fleets['x']
    for name, request in lease_promises.promise_requests(x, now, 'sx'):
        promise = lease_promises.give_promise(log.fleets[name], now, request)
        if promise is not None:
            lease_promises.accept_promise(x, promise)


def test_a_private_shard_can_be_served_until_published(log: Log) -> None:
    x = log.fleets['x']
    ownership.open_private(x, 'p')
    assert ownership.may_serve(x, 1e9, 'p')
    assert ownership.may_dispatch_unrecorded(x, 1e9, 'p')
    ownership.opening_record(x, 10.0, 'p')
    assert ownership.may_serve(x, 39.0, 'p')
    assert not ownership.may_serve(x, 40.0, 'p')


def test_a_lease_counts_from_when_the_renewal_was_sent(log: Log) -> None:
    x = log.fleets['x']
    assert ownership.renewal_due(x, 10.0)
    record = ownership.next_renewal(x, 10.0)
    assert not ownership.may_serve(x, 30.0, 'sx')
    log.append(35.0, record)
    assert ownership.may_serve(x, 39.0, 'sx')
    assert not ownership.may_serve(x, 40.0, 'sx')


def test_an_expired_shard_is_taken_by_one_claim_after_the_margin(
    log: Log,
) -> None:
    y, z = log.fleets['y'], log.fleets['z']
    early = LEASE_S * 1.09
    assert 'sx' not in takeovers.takeover_candidates(y, early)
    assert 'sx' in takeovers.takeover_candidates(y, EXPIRED_S)
    late_renewal = ownership.next_renewal(log.fleets['x'], 0.0)
    claims = [takeovers.claim_record(f, EXPIRED_S, 'sx') for f in (y, z)]
    offset = log.append(EXPIRED_S, claims[0])
    log.append(EXPIRED_S, claims[1])
    held = ownership.Holder(instance='y', data_centre='dc', epoch=offset)
    assert ownership.holder(z, 'sx') == held
    assert ownership.may_serve(y, EXPIRED_S, 'sx')
    assert not ownership.may_serve(z, EXPIRED_S, 'sx')
    log.append(EXPIRED_S, late_renewal)
    assert ownership.holder(z, 'sx') == held
    assert z.shards['sx'].renewal_offset == offset


def test_a_claim_is_void_after_a_renewal_that_it_does_not_name(
    log: Log,
) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    claim = takeovers.claim_record(y, EXPIRED_S, 'sx')
    log.append(EXPIRED_S, ownership.next_renewal(x, EXPIRED_S))
    log.append(EXPIRED_S, claim)
    assert ownership.may_serve(x, EXPIRED_S, 'sx')
    assert not ownership.may_serve(y, EXPIRED_S, 'sx')


def test_a_released_shard_can_be_taken_at_once(log: Log) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    record = ownership.release(x, 'sx')
    assert not ownership.may_serve(x, 1.0, 'sx')
    log.append(1.0, record)
    assert ownership.holder(y, 'sx') is None
    assert takeovers.takeover_candidates(y, 1.0) == ['sx']


def test_promises_extend_the_lease_and_block_claims(log: Log) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    give_promises(log, 20.0)
    until = 20.0 + LEASE_S * lease_promises.PROMISE_LEASE_FRACTION
    assert ownership.may_serve(x, until - 1, 'sx')
    assert not ownership.may_serve(x, until, 'sx')
    give_promises(log, 30.0)
    assert 'sx' not in takeovers.takeover_candidates(y, EXPIRED_S)
    with pytest.raises(errors.ResultError):
        takeovers.claim_record(y, EXPIRED_S, 'sx')


def test_a_lease_is_not_extended_without_every_promise(log: Log) -> None:
    x = log.fleets['x']
    requests = lease_promises.promise_requests(x, 20.0, 'sx')
    assert [name for name, _ in requests] == ['y', 'z']
    promise = lease_promises.give_promise(
        log.fleets['y'], 20.0, requests[0][1]
    )
    assert promise is not None
    lease_promises.accept_promise(x, promise)
    assert not ownership.may_serve(x, 30.0, 'sx')


def test_no_promise_while_a_claim_may_succeed(log: Log) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    takeovers.claim_record(y, EXPIRED_S, 'sx')
    _, request = lease_promises.promise_requests(x, EXPIRED_S, 'sx')[0]
    assert lease_promises.give_promise(y, EXPIRED_S, request) is None
    log.append(EXPIRED_S, ownership.next_renewal(x, EXPIRED_S))
    assert lease_promises.give_promise(y, EXPIRED_S, request) is not None


def test_a_takeover_after_unrecorded_calls_marks_the_shard(log: Log) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    assert not ownership.may_dispatch_unrecorded(x, 20.0, 'sx')
    give_promises(log, 20.0)
    assert ownership.may_dispatch_unrecorded(x, 20.0, 'sx')
    ownership.note_unrecorded(x)
    assert not ownership.renewal_due(x, 30.0)
    claim = takeovers.claim_record(y, 100.0, 'sx')
    assert claim.promised
    log.append(100.0, claim)
    assert y.shards['sx'].unrecorded


def test_a_renewal_sent_after_the_promise_ends_unrecorded_calls(
    log: Log,
) -> None:
    x = log.fleets['x']
    give_promises(log, 20.0)
    record = ownership.next_renewal(x, 21.0)
    assert not ownership.may_dispatch_unrecorded(x, 22.0, 'sx')
    log.append(22.0, record)
    assert not takeovers.claim_record(log.fleets['y'], 100.0, 'sx').promised


def test_shards_of_a_down_data_centre_go_to_its_new_instances(
    log: Log,
) -> None:
    old = log.fleets['x']
    down = messages.DataCentreDown(data_centre='dc', author='op')
    for name, data_centre in [('f', 'far'), ('n', 'dc')]:
        fleet = ownership.FleetView(
            instance=name,
            data_centre=data_centre,
            lease_s=LEASE_S,
            last_renewal_number=0,
            shards=copy.deepcopy(old.shards),
        )
        log.fleets[name] = fleet
        ownership.open_private(fleet, f's{name}')
        if name == 'n':
            assert ownership.may_serve(old, 1.0, 'sx')
            log.append(1.0, down)
        log.append(1.0, ownership.opening_record(fleet, 1.0, f's{name}'))
    far, new = log.fleets['f'], log.fleets['n']
    assert not ownership.may_serve(old, 1.0, 'sx')
    assert takeovers.takeover_candidates(far, 1e6) == []
    assert 'sx' in takeovers.takeover_candidates(new, 1.0)
    log.append(1.0, takeovers.claim_record(new, 1.0, 'sx'))
    assert ownership.may_serve(new, 1.0, 'sx')


def test_a_closed_shard_cannot_be_claimed(log: Log) -> None:
    x, y = log.fleets['x'], log.fleets['y']
    log.append(1.0, ownership.close(x, 'sx'))
    assert ownership.holder(y, 'sx') is None
    assert takeovers.takeover_candidates(y, 1e6) == ['sz']
