"""Collects the parts of an account with a small burst at one holder.

If a small burst is split between many holders, each has room for only a
few tokens: full buckets waste the tokens that they gain while others are
empty.  Therefore one holder, the account's home, borrows the units and
tokens of all others for some seconds and renews the loans while the
account is in use.  The home is chosen by rendezvous hashing.  If it is
lost or cut off, the loans expire and the parts return to their holders.
"""

import math
import typing

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_ledger
from oleanderdrift import share_state
from oleanderdrift import share_types

SMALL_BURST_PER_HOLDER: typing.Final = 8.0
RENEW_AFTER_S: typing.Final = share_state.PART_LOAN_S / 2.0
IDLE_S: typing.Final = 30.0
RECHECK_S: typing.Final = 1.0


def has_small_burst(
    shares: share_types.Shares, account: model.ClientAccount
) -> bool:
    """Returns whether the account's parts are collected at a home."""
    slot = share_ledger.slot_of(account.name)
    holders = shares.ledger.by_slot.get(slot, {})
    return account.burst < SMALL_BURST_PER_HOLDER * len(holders)


def find_home(
    shares: share_types.Shares, now: float, account: model.ClientAccount
) -> str | None:
    """Returns the name of the holder that collects the account's parts.

    Returns None if no holder does.  A holder that recently failed to answer
    is passed over.
    """
    if not has_small_burst(shares, account):
        return None
    slot = share_ledger.slot_of(account.name)
    best_rank = -1
    chosen = None
    for name in shares.ledger.by_slot[slot]:
        rank = share_ledger.hash_of(f'{account.name}\0{name}')
        if rank > best_rank and not _avoided(shares, now, name):
            best_rank = rank
            chosen = name
    return chosen


def _avoided(shares: share_types.Shares, now: float, holder: str) -> bool:
    if holder == shares.holder:
        return False
    instance = _instance_of(shares, holder)
    return now < shares.avoided_until_s.get(instance, 0.0)


def request_parts(
    shares: share_types.Shares, now: float, account: model.ClientAccount
) -> list[outbound.OutboundMessage]:
    """Asks all other holders for their parts, if this is the home.

    Repeats the requests every RENEW_AFTER_S, to renew the loans.
    """
    bucket = shares.buckets.get(account.name)
    if bucket is None or now < bucket.parts_requested_s + RENEW_AFTER_S:
        return []
    if not has_small_burst(shares, account):
        return []
    if not share_state.can_use_units(shares, now):
        return []
    if find_home(shares, now, account) != shares.holder:
        bucket.parts_requested_s = now - RENEW_AFTER_S + RECHECK_S
        return []
    bucket.parts_requested_s = now
    holders = shares.ledger.by_slot[bucket.slot]
    lenders = [name for name in holders if name != shares.holder]
    return [_request_part(shares, now, account, name) for name in lenders]


def lend(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.BorrowPart,
    account: model.ClientAccount,
) -> list[outbound.OutboundMessage]:
    """Stops using the own part and lends it to the home, or renews the loan.

    Does not answer if the part is on loan to another holder or if this
    instance has borrowed parts itself.
    """
    if not share_state.can_use_units(shares, now):
        return []
    bucket = share_state.get_bucket(shares, now, account)
    if bucket is None or bucket.borrowed_parts:
        return []
    lent_part = bucket.lent_part
    if lent_part is not None and lent_part.holder != message.holder:
        return []
    units = (
        bucket.units
        if lent_part is None
        else max(lent_part.units, bucket.units)
    )
    if lent_part is not None:
        shares.accounts_by_loan.pop(lent_part.key, None)
    millitokens = int(
        max(0.0, bucket.tokens) * share_state.MILLITOKENS_PER_TOKEN
    )
    blocked = sum(loan.tokens for loan in bucket.lent_tokens.values())
    bucket.tokens = 0.0
    bucket.lent_part = share_types.LentPart(
        holder=message.holder,
        key=(sender, message.loan),
        units=units,
        ends_s=now + share_state.PART_LOAN_S,
    )
    shares.accounts_by_loan[sender, message.loan] = account.name
    answer = messages.PartLent(
        loan=message.loan,
        units=bucket.units,
        tokens=millitokens,
        blocked=math.ceil(blocked * share_state.MILLITOKENS_PER_TOKEN),
    )
    return [outbound.OutboundMessage(to=sender, message=answer)]


def receive_part(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.PartLent,
) -> None:
    """Adds a borrowed part to the bucket."""
    loan_request = shares.loan_requests.get(message.loan)
    if loan_request is None or loan_request.lender != sender:
        return
    del shares.loan_requests[message.loan]
    bucket = shares.buckets.get(loan_request.account)
    ends_s = _part_ends_s(loan_request, now)
    if bucket is None or now >= ends_s:
        return
    share_state.refill(bucket, now)
    bucket.borrowed_parts[sender] = share_types.BorrowedPart(
        loan=message.loan, units=message.units, ends_s=ends_s
    )
    if message.blocked > 0:
        loan_s = share_state.LOAN_S * (1.0 + share_state.CLOCK_DRIFT)
        bucket.lent_tokens[sender, message.loan] = share_types.LentTokens(
            tokens=message.blocked / share_state.MILLITOKENS_PER_TOKEN,
            ends_s=now + loan_s,
        )
    shares.borrowing_accounts.add(loan_request.account)
    bucket.tokens += message.tokens / share_state.MILLITOKENS_PER_TOKEN
    share_state.clip(bucket)


def _part_ends_s(loan_request: share_types.LoanRequest, now: float) -> float:
    """Returns until when a borrowed part may be used.

    This is LOAN_S before the end of the loan, so that tokens which the home
    lends from the part have expired when its lender uses the part again.
    """
    use_s = share_state.PART_LOAN_S - share_state.LOAN_S
    return loan_request.sent_s + use_s * (1.0 - share_state.CLOCK_DRIFT)


def tick(
    shares: share_types.Shares, now: float, accounts: share_types.Accounts
) -> list[outbound.OutboundMessage]:
    """Renews the borrowed parts of accounts in use and returns all others."""
    sends: list[outbound.OutboundMessage] = []
    for name in list(shares.borrowing_accounts):
        bucket = shares.buckets[name]
        account = accounts.get(name)
        if account is not None and now < bucket.last_used_s + IDLE_S:
            sends.extend(request_parts(shares, now, account))
        else:
            sends.extend(_return_parts(bucket, now))
        if not bucket.borrowed_parts:
            shares.borrowing_accounts.discard(name)
    return sends


def _return_parts(
    bucket: share_types.Bucket, now: float
) -> list[outbound.OutboundMessage]:
    """Returns the parts with their tokens, unless tokens are lent out."""
    share_state.refill(bucket, now)
    if bucket.lent_tokens or not bucket.borrowed_parts:
        return []
    total_units = share_state.active_fraction(bucket) * share_ledger.UNITS
    millitokens = max(0.0, bucket.tokens) * share_state.MILLITOKENS_PER_TOKEN
    sends = []
    for lender, part in bucket.borrowed_parts.items():
        returned = messages.TokensReturned(
            loan=part.loan, tokens=int(millitokens * part.units / total_units)
        )
        sends.append(outbound.OutboundMessage(to=lender, message=returned))
    bucket.borrowed_parts = {}
    share_state.clip(bucket)
    return sends


def _instance_of(shares: share_types.Shares, holder: str) -> str:
    return shares.ledger.holders[holder].instance


def _request_part(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    holder: str,
) -> outbound.OutboundMessage:
    lender = _instance_of(shares, holder)
    loan_number = shares.next_loan_number
    shares.next_loan_number += 1
    shares.loan_requests[loan_number] = share_types.LoanRequest(
        account=account.name, lender=lender, sent_s=now
    )
    message = messages.BorrowPart(
        loan=loan_number, account=account.name, holder=shares.holder
    )
    return outbound.OutboundMessage(to=lender, message=message)
