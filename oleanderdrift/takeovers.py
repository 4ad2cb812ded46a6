"""Which shards an instance may take over, and the record that claims one.

A shard may be claimed once its holder has released it or its lease has
certainly ended, by the successors that follow from what the holder had
read when it renewed.  The first successor claims an expired shard soonest,
the others later in order of rank.  `now` is monotonic time.
"""

import typing

from oleanderdrift import invariants
from oleanderdrift import messages
from oleanderdrift import ownership

# Delay between the claims of two successive ranks, as a fraction of a lease.
CLAIM_STAGGER: typing.Final = 0.05


def takeover_candidates(fleet: ownership.FleetView, now: float) -> list[str]:
    """Returns the shards that this instance may claim now."""
    return [
        state.shard
        for state in fleet.shards.values()
        if state.shard not in fleet.own
        and not state.closed
        and _is_claimable(fleet, now, state)
    ]


def _is_claimable(
    fleet: ownership.FleetView, now: float, state: ownership.ShardState
) -> bool:
    given = fleet.given_promises.get(state.shard)
    if given is not None and now < given.until:
        return False
    if not fleet.home or fleet.home not in fleet.shards:
        return False
    if not is_entitled(fleet, state, fleet.home, fleet.data_centre):
        return False
    if state.released:
        return True
    homes = _state_successors(fleet, state)
    rank = homes.index(fleet.home) if fleet.home in homes else 0
    wait_s = state.lease_s * (
        1 + ownership.TAKEOVER_MARGIN + rank * CLAIM_STAGGER
    )
    return now >= state.read_at + wait_s


def _state_successors(
    fleet: ownership.FleetView, state: ownership.ShardState
) -> list[str]:
    return ownership.successors(
        fleet,
        state.shard,
        state.data_centre,
        state.holder.instance,
        state.as_of,
    )


def is_entitled(
    fleet: ownership.FleetView,
    state: ownership.ShardState,
    home: str,
    data_centre: str,
) -> bool:
    """Tells whether an instance with this home may claim the shard."""
    if data_centre != state.data_centre:
        return False
    homes = _state_successors(fleet, state)
    return state.released or home in homes or not homes


def claim_record(
    fleet: ownership.FleetView, now: float, shard: str
) -> messages.ShardTaken:
    """Returns the record that claims a shard; it may be sent again.

    Raises ResultError if this instance has promised not to claim it yet.
    """
    state = fleet.shards[shard]
    claim = fleet.claims.get(shard)
    if claim is not None and ownership.is_expected(state, claim):
        return claim
    given = fleet.given_promises.get(shard)
    invariants.check(
        given is None or now >= given.until, 'promise-kept', shard
    )
    claim = messages.ShardTaken(
        shard=shard,
        instance=fleet.instance,
        data_centre=fleet.data_centre,
        expected_epoch=state.holder.epoch,
        lease_s=fleet.lease_s,
        expected_renewal=state.renewal_offset,
        home=fleet.home,
        as_of=fleet.next_offset,
        number=fleet.last_renewal_number,
        promised=given is not None and given.unrecorded,
    )
    fleet.claims[shard] = claim
    fleet.claimed_at[shard] = now
    return claim
