"""Decides which records an instance appends to the `shares` stream.

Every instance derives from the ledger and the live members how many units
each holder should have, and gives away its own surplus.  Units are taken
from a holder only if it has closed, was retired, was replaced by a new
process at its address, or its lease has expired.
"""

import collections.abc
import typing

import attrs

from oleanderdrift import messages
from oleanderdrift import share_ledger
from oleanderdrift import share_state
from oleanderdrift import share_types

RENEW_EVERY_S: typing.Final = 600.0
RETRY_S: typing.Final = 10.0
PLAN_EVERY_S: typing.Final = 5.0
SNAPSHOT_RECORDS: typing.Final = 1_000
SNAPSHOT_EVERY_S: typing.Final = 900.0
# Divided among the data centres and rounded up, so each has at least one.
MAX_HOLDERS_PER_SLOT: typing.Final = 12
_NEVER_S: typing.Final = float('-inf')

Live: typing.TypeAlias = collections.abc.Set[str]


@attrs.define(kw_only=True)
class Planner:
    """When this instance last sent a renewal and planned.

    planned_state is the ledger's change count and the live members that
    the last rebalancing was planned for.
    """

    renewal_sent_s: float = _NEVER_S
    planned_s: float = _NEVER_S
    planned_state: tuple[int, Live] | None = None
    leaving: bool = False


def plan(
    planner: Planner,
    shares: share_types.Shares,
    now: float,
    live: Live,
) -> list[messages.Message]:
    """Returns the records to append now.

    live names the instances that are alive and not leaving.  A record
    whose append failed or was not confirmed is returned again later.
    """
    records: list[messages.Message] = []
    if not planner.leaving and _renewal_due(planner, shares, now):
        records.append(_renew(planner, shares, now))
    if not shares.ledger.complete:
        return records
    move = shares.pending_move
    if move is not None and now >= shares.move_sent_s + RETRY_S:
        shares.move_sent_s = now
        records.append(move)
    if now >= planner.planned_s + PLAN_EVERY_S:
        planner.planned_s = now
        records.extend(_rebalance(planner, shares, now, live))
        records.extend(_reclaim(shares, now, live))
        records.extend(_snapshot(shares, now, live))
    return records


def retire(
    shares: share_types.Shares, instance: str, author: str
) -> list[messages.Message]:
    """Returns the records that reclaim a lost instance's units.

    They do not wait for its lease: the operator vouches that the process
    has ended.
    """
    return [
        messages.SharesReclaimed(
            holder=holder.name,
            expected_renewal=holder.renewal,
            receiver=shares.holder,
            retired_by=author,
        )
        for holder in shares.ledger.holders.values()
        if holder.instance == instance and holder.name != shares.holder
    ]


def close(
    planner: Planner, shares: share_types.Shares
) -> list[messages.Message]:
    """Stops all use of the own units and returns the record to append."""
    planner.leaving = True
    shares.lease_ends_s = _NEVER_S
    shares.closing = True
    holder = shares.ledger.holders.get(shares.holder)
    if holder is None:
        return []
    return [messages.SharesClosed(holder=holder.name, epoch=holder.epoch)]


def live_holders(
    ledger: share_ledger.Ledger, live: Live
) -> dict[str, list[str]]:
    """Returns the names of the live holders of each data centre.

    A data centre without live holders has an empty list.  Of several
    incarnations of an instance only the newest counts as live.
    """
    newest: dict[str, share_ledger.Holder] = {}
    for holder in ledger.holders.values():
        other = newest.get(holder.instance)
        if other is None or holder.epoch > other.epoch:
            newest[holder.instance] = holder
    live_by_data_centre: dict[str, list[str]] = {}
    for holder in ledger.holders.values():
        names = live_by_data_centre.setdefault(holder.data_centre, [])
        if holder.closed or holder.instance not in live:
            continue
        if newest[holder.instance] is holder:
            names.append(holder.name)
    return live_by_data_centre


def target_units(
    live_by_data_centre: dict[str, list[str]], slot: int
) -> dict[str, int]:
    """Returns the units of a slot that each live holder should have.

    Each data centre gets an equal share, which is split evenly among its
    holders with the lowest rendezvous hashes.  The share of a data centre
    without live holders is assigned to nobody.
    """
    if not live_by_data_centre:
        return {}
    max_holders = -(-MAX_HOLDERS_PER_SLOT // len(live_by_data_centre))
    result: dict[str, int] = {}
    order = sorted(
        live_by_data_centre, key=lambda data_centre: _rank(data_centre, slot)
    )
    for data_centre, part in zip(
        order, _split_evenly(len(order)), strict=True
    ):
        names = sorted(
            live_by_data_centre[data_centre],
            key=lambda name: _rank(name, slot),
        )[:max_holders]
        for name, units in zip(
            names, _split_evenly(len(names), part), strict=True
        ):
            result[name] = units
    return result


def _split_evenly(count: int, total: int = share_ledger.UNITS) -> list[int]:
    if not count:
        return []
    least, rest = divmod(total, count)
    return [least + (place < rest) for place in range(count)]


def _rank(name: str, slot: int) -> int:
    return share_ledger.hash_of(f'{name}\0{slot}')


def _renewal_due(
    planner: Planner, shares: share_types.Shares, now: float
) -> bool:
    wait_s = RENEW_EVERY_S
    if shares.renewals_sent_s or shares.holder not in shares.ledger.holders:
        wait_s = RETRY_S
    return now >= planner.renewal_sent_s + wait_s


def _renew(
    planner: Planner, shares: share_types.Shares, now: float
) -> messages.SharesRenewed:
    planner.renewal_sent_s = now
    shares.renewal_count += 1
    shares.renewals_sent_s[shares.renewal_count] = now
    return messages.SharesRenewed(
        holder=shares.holder,
        instance=shares.instance,
        data_centre=shares.data_centre,
        address=shares.address,
        sent=shares.renewal_count,
    )


def _rebalance(
    planner: Planner, shares: share_types.Shares, now: float, live: Live
) -> list[messages.Message]:
    """Gives surplus units to other live holders and stops using them first."""
    holder = shares.ledger.holders.get(shares.holder)
    if holder is None or shares.pending_move is not None:
        return []
    if not share_state.can_use_units(shares, now):
        return []
    if planner.planned_state == (shares.ledger.change_count, live):
        return []
    planner.planned_state = (shares.ledger.change_count, frozenset(live))
    others = live - {shares.instance} if planner.leaving else live
    live_by_data_centre = live_holders(shares.ledger, others)
    moves: list[messages.UnitsMoved] = []
    for slot in holder.units:
        held = shares.ledger.by_slot[slot]
        moves.extend(_own_moves(held, live_by_data_centre, holder.name, slot))
    if not moves:
        return []
    record = messages.SharesMoved(
        donor=holder.name,
        epoch=holder.epoch,
        serial=holder.serial,
        moves=tuple(moves),
    )
    shares.pending_move = record
    shares.move_sent_s = now
    for slot in {move.slot for move in moves}:
        share_state.update_active_units(shares, now, slot)
    return [record]


def _own_moves(
    held: dict[str, int],
    live_by_data_centre: dict[str, list[str]],
    name: str,
    slot: int,
) -> list[messages.UnitsMoved]:
    """Matches surpluses of a slot to deficits; returns the own moves.

    Donors that see the same members compute the same matching, so that no
    deficit is filled twice.
    """
    targets = target_units(live_by_data_centre, slot)
    if not targets:
        return []
    donors = {name}.union(*live_by_data_centre.values())
    deficits = {
        receiver: units - held.get(receiver, 0)
        for receiver, units in sorted(targets.items())
        if units > held.get(receiver, 0)
    }
    moves = []
    for donor in sorted(held.keys() & donors):
        surplus = held[donor] - targets.get(donor, 0)
        for receiver in list(deficits):
            units = min(surplus, deficits[receiver])
            if units <= 0:
                continue
            surplus -= units
            deficits[receiver] -= units
            if donor == name:
                move = messages.UnitsMoved(
                    receiver=receiver, slot=slot, units=units
                )
                moves.append(move)
    return moves


def _reclaim(
    shares: share_types.Shares, now: float, live: Live
) -> list[messages.Message]:
    """Takes the units of holders that certainly no longer use them."""
    if not share_state.can_use_units(shares, now):
        return []
    records: list[messages.Message] = []
    live_by_data_centre = live_holders(shares.ledger, live)
    for holder in shares.ledger.holders.values():
        if holder.name == shares.holder or not _has_ended(shares, now, holder):
            continue
        if (
            _choose_receiver(shares.ledger, live_by_data_centre, holder)
            != shares.holder
        ):
            continue
        records.append(
            messages.SharesReclaimed(
                holder=holder.name,
                expected_renewal=holder.renewal,
                receiver=shares.holder,
            )
        )
    return records


def _has_ended(
    shares: share_types.Shares, now: float, holder: share_ledger.Holder
) -> bool:
    """Returns whether a holder certainly no longer uses its units."""
    if holder.closed:
        return True
    own_holder = shares.ledger.holders.get(shares.holder)
    if own_holder is not None and holder.address == own_holder.address:
        # As this process could bind the address, an earlier one has ended.
        return holder.epoch < own_holder.epoch
    seen = shares.seen_renewals[holder.name]
    lease_s = share_state.LEASE_S * (1.0 + share_state.CLOCK_DRIFT)
    return now >= seen.at_s + lease_s + share_state.LOAN_S


def _choose_receiver(
    ledger: share_ledger.Ledger,
    live_by_data_centre: dict[str, list[str]],
    lost: share_ledger.Holder,
) -> str | None:
    """Returns the holder that takes a lost holder's units.

    Prefers a holder at the same address, then one in the same data centre.
    """
    candidates = [
        (
            ledger.holders[name].address != lost.address,
            data_centre != lost.data_centre,
            share_ledger.hash_of(f'{name}\0{lost.name}'),
            name,
        )
        for data_centre, names in live_by_data_centre.items()
        for name in names
        if name != lost.name
    ]
    return min(candidates)[-1] if candidates else None


def _snapshot(
    shares: share_types.Shares, now: float, live: Live
) -> list[messages.Message]:
    """Returns a snapshot if one is due and this instance is to write it."""
    ledger = shares.ledger
    records = ledger.next_offset - shares.last_snapshot_offset
    age_s = now - shares.last_snapshot_s
    if records < SNAPSHOT_RECORDS and age_s < SNAPSHOT_EVERY_S:
        return []
    if not ledger.by_slot:
        return []
    live_by_data_centre = live_holders(ledger, live)
    names = [name for each in live_by_data_centre.values() for name in each]
    if not names or min(names, key=share_ledger.hash_of) != shares.holder:
        return []
    return [share_ledger.snapshot(ledger)]
