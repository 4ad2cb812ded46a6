"""Gathers the parts of accounts with a small burst at one home.

Split between many holders, a small burst leaves each with less than a few
tokens: full buckets waste what they gain while others run dry.  One holder
of the account, its home by rendezvous hashing, therefore borrows the other
holders' parts, units and tokens, for some seconds and renews the loans
while the account is in use.  Where the home is lost or cut off, the parts
fall back to their holders by themselves.
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
    """Says whether the account's parts are gathered at a home."""
    slot = share_ledger.slot_of(account.name)
    holders = shares.ledger.by_slot.get(slot, {})
    return account.burst < SMALL_BURST_PER_HOLDER * len(holders)


def find_home(
    shares: share_types.Shares, now: float, account: model.ClientAccount
) -> str | None:
    """Returns the holder that gathers the account's parts, if any does."""
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
    """Asks all other holders for their parts, if this is the home."""
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
    """Takes the own part out of use and lends it to the home."""
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
    millitokens = int(max(0.0, bucket.tokens) * share_state.MILLITOKENS)
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
        blocked=math.ceil(blocked * share_state.MILLITOKENS),
    )
    return [outbound.OutboundMessage(to=sender, message=answer)]


def receive_part(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.PartLent,
) -> None:
    """Puts a borrowed part to use."""
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
            tokens=message.blocked / share_state.MILLITOKENS,
            ends_s=now + loan_s,
        )
    shares.gathered_accounts.add(loan_request.account)
    bucket.tokens += message.tokens / share_state.MILLITOKENS
    share_state.clip(bucket)


def _part_ends_s(loan_request: share_types.LoanRequest, now: float) -> float:
    """Returns until when a part may be used.

    All tokens lent of it are then void when its lender counts on it
    again.
    """
    use_s = share_state.PART_LOAN_S - share_state.LOAN_S
    return loan_request.sent_s + use_s * (1.0 - share_state.CLOCK_DRIFT)


def tick(
    shares: share_types.Shares, now: float, accounts: share_types.Accounts
) -> list[outbound.OutboundMessage]:
    """Renews the parts of accounts in use and returns all others."""
    sends: list[outbound.OutboundMessage] = []
    for name in list(shares.gathered_accounts):
        bucket = shares.buckets[name]
        account = accounts.get(name)
        if account is not None and now < bucket.last_used_s + IDLE_S:
            sends.extend(request_parts(shares, now, account))
        else:
            sends.extend(_return_parts(bucket, now))
        if not bucket.borrowed_parts:
            shares.gathered_accounts.discard(name)
    return sends


def _return_parts(
    bucket: share_types.Bucket, now: float
) -> list[outbound.OutboundMessage]:
    """Returns the parts with their tokens, unless some are lent on."""
    share_state.refill(bucket, now)
    if bucket.lent_tokens or not bucket.borrowed_parts:
        return []
    total_units = share_state.active_fraction(bucket) * share_ledger.UNITS
    millitokens = max(0.0, bucket.tokens) * share_state.MILLITOKENS
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
