"""Keeps each client account within its rate and burst across the fleet.

An instance holds units of the accounts' slots (see share_ledger).  For
each account it has a token bucket whose rate and capacity are its part of
the account's rate and burst.  An instance never counts units or tokens
that another instance may still use, so all buckets of an account together
stay within the account's limits:

* the donor stops using units before it appends the record that moves them;
* the receiver uses them only when all loans of their last holder have
  ended;
* tokens lent lower the lender's cap until the loan has ended;
* the units of a part lent are out of use until the loan has ended;
* an instance counts its own lease from before it sent the renewal, and the
  lease of another from after it read the renewal.

share_loans decides on requests, share_parts collects the parts of accounts
with a small burst at one holder, and share_moves decides which records to
append.
"""

import random
import typing

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import share_ledger
from oleanderdrift import share_types

LEASE_S: typing.Final = 7_200.0
LOAN_S: typing.Final = 2.0
PART_LOAN_S: typing.Final = 10.0
# Upper bound on the relative error of a clock's rate, slewing included.
CLOCK_DRIFT: typing.Final = 0.001
# After this time every loan made by the units' last holder has ended.
GAIN_WAIT_S: typing.Final = PART_LOAN_S * (1.0 + CLOCK_DRIFT)
# A whole token may be short by less than this after rounding.
ROUNDING_TOKENS: typing.Final = 1e-6
MILLITOKENS_PER_TOKEN: typing.Final = 1_000
_LOAN_NUMBERS: typing.Final = 2**31


def new(
    *,
    instance: str,
    data_centre: str,
    address: str,
    incarnation: str,
    rng: random.Random,
) -> share_types.Shares:
    """Returns the state of an instance that has just started."""
    return share_types.Shares(
        holder=f'{instance}#{incarnation}',
        instance=instance,
        data_centre=data_centre,
        address=address,
        next_loan_number=rng.randrange(_LOAN_NUMBERS),
    )


def apply_record(
    shares: share_types.Shares,
    now: float,
    offset: int,
    record: messages.Message,
) -> None:
    """Applies the record at an offset of the `shares` stream.

    Raises ResultError(INVARIANT_BROKEN) if the units of a slot no longer
    add up to UNITS.
    """
    before = dict(_ledger_units(shares))
    # The first record opens the first holder, so there are no loans to await.
    is_first = offset == share_ledger.FIRST_OFFSET
    share_ledger.apply_record(shares.ledger, offset, record)
    if isinstance(record, messages.SharesSnapshot):
        shares.last_snapshot_offset = offset
        shares.last_snapshot_s = now
    _note_renewals(shares, now)
    _note_own_renewal(shares, record)
    _resolve_pending_move(shares)
    after = _ledger_units(shares)
    usable_from_s = now if is_first else now + GAIN_WAIT_S
    for slot, units in after.items():
        gained = units - before.get(slot, 0)
        if gained > 0:
            gain = share_types.PendingGain(
                slot=slot, units=gained, usable_from_s=usable_from_s
            )
            shares.pending_gains.append(gain)
    for slot in before.keys() | after.keys():
        update_active_units(shares, now, slot)


def reset(shares: share_types.Shares, now: float, first: int) -> None:
    """Empties the ledger when all records of the stream were trimmed.

    The log keeps records for longer than a lease, so every lease has
    expired: the next renewal opens the first holder anew.
    """
    shares.ledger = share_ledger.Ledger(next_offset=first)
    shares.pending_move = None
    shares.lease_ends_s = float('-inf')
    _note_renewals(shares, now)
    for slot in list(shares.active_units):
        update_active_units(shares, now, slot)


def can_use_units(shares: share_types.Shares, now: float) -> bool:
    """Returns whether the tokens of the own units may be spent and lent.

    Callers check this before each use, as the process may have been paused
    until after the end of the lease.
    """
    return shares.ledger.complete and now < shares.lease_ends_s


def activate_due_units(shares: share_types.Shares, now: float) -> None:
    """Starts to use the gained units whose waiting time is over."""
    due = {
        gain.slot for gain in shares.pending_gains if gain.usable_from_s <= now
    }
    for slot in due:
        update_active_units(shares, now, slot)


def update_active_units(
    shares: share_types.Shares, now: float, slot: int
) -> None:
    """Recomputes the units in use of a slot and adjusts its buckets."""
    units = _ledger_units(shares).get(slot, 0)
    units -= _units_given_away(shares, slot)
    units -= _pending_units(shares, now, slot)
    units = max(0, units)
    if units == shares.active_units.get(slot, 0):
        return
    for bucket in shares.buckets.values():
        if bucket.slot == slot:
            refill(bucket, now)
            bucket.units = units
            clip(bucket)
    shares.active_units[slot] = units
    shares.active_since_s[slot] = now


def get_bucket(
    shares: share_types.Shares, now: float, account: model.ClientAccount
) -> share_types.Bucket | None:
    """Returns the account's bucket, refilled up to now.

    Returns None if there is no bucket and no units of the account's slot are
    in use here.
    """
    bucket = shares.buckets.get(account.name)
    if bucket is None:
        bucket = _new_bucket(shares, now, account)
    if bucket is None:
        return None
    _expire_loans(shares, bucket, now)
    refill(bucket, now)
    bucket.rate_per_s = account.rate_per_s
    bucket.burst = float(account.burst)
    clip(bucket)
    return bucket


def lend_tokens(
    shares: share_types.Shares,
    now: float,
    account: str,
    key: tuple[str, int],
    tokens: float,
) -> None:
    """Moves tokens of a refilled bucket to a borrower's loan."""
    bucket = shares.buckets[account]
    bucket.tokens -= tokens
    bucket.lent_tokens[key] = share_types.LentTokens(
        tokens=tokens, ends_s=now + LOAN_S
    )
    shares.accounts_by_loan[key] = account


def end_loan(
    shares: share_types.Shares,
    now: float,
    key: tuple[str, int],
    unspent: float,
) -> None:
    """Ends a loan that its borrower has returned.

    Unspent tokens that come back after the loan's end are not added, and an
    unknown loan is ignored.
    """
    account = shares.accounts_by_loan.pop(key, None)
    if account is None:
        return
    bucket = shares.buckets[account]
    refill(bucket, now)
    lent_part = bucket.lent_part
    if lent_part is not None and lent_part.key == key:
        bucket.lent_part = None
        max_unspent = cap(bucket)
        in_time = now < lent_part.ends_s
    else:
        loan = bucket.lent_tokens.pop(key)
        max_unspent = loan.tokens
        in_time = now < loan.ends_s
    if in_time and 0.0 <= unspent <= max_unspent:
        bucket.tokens += unspent
    clip(bucket)


def cap(bucket: share_types.Bucket) -> float:
    """Returns the maximum number of tokens that the bucket may hold now."""
    lent = sum(loan.tokens for loan in bucket.lent_tokens.values())
    return bucket.burst * active_fraction(bucket) - lent


def active_fraction(bucket: share_types.Bucket) -> float:
    """Returns the fraction of the account's limits in use here."""
    units = bucket.units
    if bucket.lent_part is not None:
        units = max(0, units - bucket.lent_part.units)
    units += sum(part.units for part in bucket.borrowed_parts.values())
    return units / share_ledger.UNITS


def _ledger_units(shares: share_types.Shares) -> dict[int, int]:
    holder = shares.ledger.holders.get(shares.holder)
    return {} if holder is None else holder.units


def _note_renewals(shares: share_types.Shares, now: float) -> None:
    holders = shares.ledger.holders
    for name, holder in holders.items():
        seen = shares.seen_renewals.get(name)
        if seen is None or seen.renewal != holder.renewal:
            shares.seen_renewals[name] = share_types.SeenRenewal(
                renewal=holder.renewal, at_s=now
            )
    for name in shares.seen_renewals.keys() - holders.keys():
        del shares.seen_renewals[name]


def _note_own_renewal(
    shares: share_types.Shares, record: messages.Message
) -> None:
    if not isinstance(record, messages.SharesRenewed):
        return
    if record.holder != shares.holder or shares.closing:
        return
    sent_s = shares.renewals_sent_s.pop(record.sent, None)
    if sent_s is not None:
        ends_s = sent_s + LEASE_S * (1.0 - CLOCK_DRIFT)
        shares.lease_ends_s = max(shares.lease_ends_s, ends_s)


def _resolve_pending_move(shares: share_types.Shares) -> None:
    """Drops the pending move once the stream has decided on it."""
    move = shares.pending_move
    if move is None or not shares.ledger.complete:
        return
    holder = shares.ledger.holders.get(shares.holder)
    decided = (
        holder is None
        or holder.epoch != move.epoch
        or holder.serial > move.serial
    )
    if decided:
        shares.pending_move = None


def _units_given_away(shares: share_types.Shares, slot: int) -> int:
    if shares.pending_move is None:
        return 0
    moves = shares.pending_move.moves
    return sum(move.units for move in moves if move.slot == slot)


def _pending_units(shares: share_types.Shares, now: float, slot: int) -> int:
    units = 0
    kept = []
    for gain in shares.pending_gains:
        if gain.slot == slot and gain.usable_from_s <= now:
            continue
        kept.append(gain)
        if gain.slot == slot:
            units += gain.units
    shares.pending_gains = kept
    return units


def _new_bucket(
    shares: share_types.Shares, now: float, account: model.ClientAccount
) -> share_types.Bucket | None:
    slot = share_ledger.slot_of(account.name)
    units = shares.active_units.get(slot, 0)
    if not units:
        return None
    bucket = share_types.Bucket(
        slot=slot,
        units=units,
        rate_per_s=account.rate_per_s,
        burst=float(account.burst),
        tokens=0.0,
        updated_s=shares.active_since_s[slot],
    )
    shares.buckets[account.name] = bucket
    return bucket


def _expire_loans(
    shares: share_types.Shares, bucket: share_types.Bucket, now: float
) -> None:
    ended = [
        key for key, loan in bucket.lent_tokens.items() if loan.ends_s <= now
    ]
    lent_part = bucket.lent_part
    if ended or (lent_part is not None and lent_part.ends_s <= now):
        refill(bucket, now)
    if lent_part is not None and lent_part.ends_s <= now:
        bucket.lent_part = None
        shares.accounts_by_loan.pop(lent_part.key, None)
    for key in ended:
        del bucket.lent_tokens[key]
        shares.accounts_by_loan.pop(key, None)


def refill(bucket: share_types.Bucket, now: float) -> None:
    """Adds the tokens due by now; borrowed parts add until they end."""
    for lender, part in sorted(
        bucket.borrowed_parts.items(), key=lambda item: item[1].ends_s
    ):
        if part.ends_s <= now:
            _add_tokens(bucket, part.ends_s)
            del bucket.borrowed_parts[lender]
            clip(bucket)
    _add_tokens(bucket, now)


def _add_tokens(bucket: share_types.Bucket, now: float) -> None:
    elapsed_s = max(0.0, now - bucket.updated_s) * (1.0 - CLOCK_DRIFT)
    bucket.tokens += elapsed_s * bucket.rate_per_s * active_fraction(bucket)
    bucket.updated_s = max(now, bucket.updated_s)
    clip(bucket)


def clip(bucket: share_types.Bucket) -> None:
    """Discards the tokens above the cap."""
    bucket.tokens = min(bucket.tokens, max(0.0, cap(bucket)))
