"""Decides on requests against their client account's rate and burst.

A request spends a token of the instance's own bucket or of a loan.  Where
there is none it waits a short, bounded time while holders of the account
are asked for tokens, one after another.  A borrower with steady demand
asks ahead of need.  No message is needed for safety: one that is lost or
late only loses tokens for the length of a loan.
"""

import math
import typing

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_ledger
from oleanderdrift import share_lenders
from oleanderdrift import share_lending
from oleanderdrift import share_parts
from oleanderdrift import share_state
from oleanderdrift import share_types
from oleanderdrift import share_verdicts

MAX_WAIT_S: typing.Final = 0.25
ASK_TIMEOUT_S: typing.Final = 0.05
AVOID_S: typing.Final = 5.0
RETURN_AFTER_S: typing.Final = 0.75
HORIZON_S: typing.Final = 0.5
LOW_WATER_S: typing.Final = 0.1
DEMAND_WINDOW_S: typing.Final = 1.0
# Below this demand an instance borrows for waiting requests alone.
MIN_DEMAND_PER_S: typing.Final = 4.0
MIN_DRY_S: typing.Final = 0.02
MAX_DRY_S: typing.Final = 0.25
MAX_RETRY_AFTER_S: typing.Final = 60.0


def request(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    ticket: int,
) -> share_verdicts.Decision:
    """Decides on one request; ticket names it if it has to wait."""
    share_state.settle(shares, now)
    line = shares.queues.setdefault(account.name, share_types.AccountQueue())
    _note_demand(line, now)
    outcome = share_verdicts.Outcome()
    share_lending.note_use(shares, now, account, outcome)
    if not line.waiting and _spend(shares, now, account, line, outcome):
        _ask_ahead(shares, now, account, line, outcome)
        return share_verdicts.Admitted(sends=tuple(outcome.sends))
    if line.waiting and len(line.waiting) >= _room(shares, now, account, line):
        return share_verdicts.Refused(retry_after_s=_retry_after_s(account))
    deadline_s = now + MAX_WAIT_S
    line.waiting[ticket] = deadline_s
    shares.active_queues.add(account.name)
    if line.pending_loan is None and now >= line.backoff_until_s:
        _go_on(shares, now, account, line, outcome)
    return share_verdicts.Waiting(
        deadline_s=deadline_s, sends=tuple(outcome.sends)
    )


def receive(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.Message,
    accounts: share_types.Accounts,
) -> share_verdicts.Outcome:
    """Takes in a peer message of this part."""
    share_state.settle(shares, now)
    outcome = share_verdicts.Outcome()
    match message:
        case messages.BorrowTokens():
            account = accounts.get(message.account)
            if account is not None:
                share_lending.lend(
                    shares, now, sender, message, account, outcome
                )
        case messages.TokensLent():
            _take(shares, now, sender, message, accounts, outcome)
        case messages.BorrowPart():
            account = accounts.get(message.account)
            if account is not None:
                outcome.sends.extend(
                    share_parts.lend(shares, now, sender, message, account)
                )
        case messages.PartLent():
            share_parts.take(shares, now, sender, message)
        case messages.TokensReturned():
            key = (sender, message.loan)
            rest = message.tokens / share_state.MILLI_TOKENS
            share_state.take_back(shares, now, key, rest)
    return outcome


def tick(
    shares: share_types.Shares, now: float, accounts: share_types.Accounts
) -> share_verdicts.Outcome:
    """Ends what time has ended; call it every few tens of milliseconds."""
    share_state.settle(shares, now)
    outcome = share_verdicts.Outcome()
    for name in list(shares.active_queues):
        line = shares.queues[name]
        account = accounts.get(name)
        if account is None:
            outcome.refused.extend(line.waiting)
            line.waiting.clear()
            line.loans.clear()
        else:
            _tick_line(shares, now, account, line, outcome)
        if not line.waiting and not line.loans and line.pending_loan is None:
            shares.active_queues.discard(name)
    outcome.sends.extend(share_parts.tick(shares, now, accounts))
    _forget_asks(shares, now)
    return outcome


def _tick_line(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    for loan, held in list(line.loans.items()):
        if now >= held.received_s + RETURN_AFTER_S:
            _give_back(line, loan, outcome)
    ask = (
        None
        if line.pending_loan is None
        else shares.loan_requests.get(line.pending_loan)
    )
    if line.pending_loan is not None and (
        ask is None or now >= ask.sent_s + ASK_TIMEOUT_S
    ):
        line.pending_loan = None
        if ask is not None:
            shares.avoided_until_s[ask.lender] = now + AVOID_S
    if (
        line.waiting
        and line.pending_loan is None
        and now >= line.backoff_until_s
    ):
        _go_on(shares, now, account, line, outcome)
    for ticket, deadline_s in list(line.waiting.items()):
        if now >= deadline_s:
            del line.waiting[ticket]
            outcome.refused.append(ticket)
    if outcome.refused:
        outcome.retry_after_s = _retry_after_s(account)


def _available(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
) -> float:
    tokens = 0.0
    for held in line.loans.values():
        if now < held.ends_s:
            tokens += held.tokens
    if share_state.usable(shares, now):
        bucket = share_state.bucket_of(shares, now, account)
        if bucket is not None:
            tokens += bucket.tokens
    return tokens


def _spend(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> bool:
    """Spends one token, of loans first, as those expire."""
    available = _available(shares, now, account, line)
    if available < 1.0 - share_state.ROUNDING_TOKENS:
        return False
    left = 1.0
    for loan, held in list(line.loans.items()):
        if now >= held.ends_s:
            del line.loans[loan]
            continue
        spent = min(left, held.tokens)
        held.tokens -= spent
        left -= spent
        if held.tokens <= 0.0:
            _give_back(line, loan, outcome)
    bucket = shares.buckets.get(account.name)
    if left > 0.0 and bucket is not None:
        bucket.tokens -= left
    return True


def _give_back(
    line: share_types.AccountQueue, loan: int, outcome: share_verdicts.Outcome
) -> None:
    """Ends a loan, first here and then at its lender."""
    held = line.loans.pop(loan)
    rest = math.floor(max(0.0, held.tokens) * share_state.MILLI_TOKENS)
    message = messages.TokensReturned(loan=loan, tokens=rest)
    outcome.sends.append(outbound.Send(to=held.lender, message=message))


def _ask_ahead(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    if line.pending_loan is not None or now < line.backoff_until_s:
        return
    if line.demand_per_s < MIN_DEMAND_PER_S:
        return
    available = _available(shares, now, account, line)
    if available < line.demand_per_s * LOW_WATER_S:
        line.asked_lenders.clear()
        _ask(shares, now, account, line, outcome)


def _go_on(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    """Serves the waiting, then asks the next lender for the rest.

    Where no lender is left, what was borrowed goes back, so that another
    instance may make a whole token of it, and the search pauses.
    """
    while line.waiting and _spend(shares, now, account, line, outcome):
        ticket = next(iter(line.waiting))
        del line.waiting[ticket]
        outcome.admitted.append(ticket)
        line.backoff_s /= 2.0
    if not line.waiting:
        line.asked_lenders.clear()
        return
    if _ask(shares, now, account, line, outcome):
        return
    line.asked_lenders.clear()
    for loan in list(line.loans):
        _give_back(line, loan, outcome)
    line.backoff_s = min(MAX_DRY_S, max(MIN_DRY_S, 2.0 * line.backoff_s))
    line.backoff_until_s = now + line.backoff_s


def _room(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
) -> float:
    """Returns how many requests may wait for tokens.

    It is what all lenders may have now and will gain in the longest wait.
    """
    tokens = account.rate_per_s * MAX_WAIT_S
    slot = share_ledger.slot_of(account.name)
    home = share_parts.home(shares, now, account)
    for name, units in shares.ledger.by_slot.get(slot, {}).items():
        part = 1.0 if name == home else units / share_ledger.UNITS
        lender = shares.ledger.holders[name].instance
        if lender != shares.instance:
            tokens += share_lenders.estimate(line, now, account, lender, part)
    return tokens


def _ask(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> bool:
    """Asks the next lender, if there is one left."""
    lender = share_lenders.next_lender(shares, now, account, line)
    if lender is None:
        return False
    available = _available(shares, now, account, line)
    need = max(0.0, len(line.waiting) - available)
    ahead = 0.0
    if line.demand_per_s >= MIN_DEMAND_PER_S:
        ahead = line.demand_per_s * HORIZON_S
    surplus = max(0.0, available - len(line.waiting))
    loan = shares.next_loan_number
    shares.next_loan_number += 1
    line.pending_loan = loan
    line.asked_lenders.add(lender)
    shares.loan_requests[loan] = share_types.LoanRequest(
        account=account.name, lender=lender, sent_s=now
    )
    shares.active_queues.add(account.name)
    message = messages.BorrowTokens(
        loan=loan,
        account=account.name,
        need=math.ceil(need * share_state.MILLI_TOKENS),
        extra=int(max(0.0, ahead - surplus) * share_state.MILLI_TOKENS),
    )
    outcome.sends.append(outbound.Send(to=lender, message=message))
    return True


def _take(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.TokensLent,
    accounts: share_types.Accounts,
    outcome: share_verdicts.Outcome,
) -> None:
    """Takes a loan in; it is counted from before it was asked for."""
    ask = shares.loan_requests.get(message.loan)
    if ask is None or ask.lender != sender:
        return
    del shares.loan_requests[message.loan]
    account = accounts.get(ask.account)
    line = shares.queues.get(ask.account)
    if account is None or line is None:
        return
    ends_s = _loan_ends_s(ask, now)
    left = message.left / share_state.MILLI_TOKENS
    line.lender_balances[sender] = share_types.LenderBalance(
        tokens=left, at_s=now
    )
    if message.tokens > 0 and now < ends_s:
        line.loans[message.loan] = share_types.BorrowedTokens(
            lender=sender,
            tokens=message.tokens / share_state.MILLI_TOKENS,
            received_s=now,
            ends_s=ends_s,
        )
        shares.active_queues.add(ask.account)
    if line.pending_loan == message.loan:
        line.pending_loan = None
    if line.pending_loan is None:
        _go_on(shares, now, account, line, outcome)


def _loan_ends_s(ask: share_types.LoanRequest, now: float) -> float:
    """Returns a time that is sure to come before the lender's own."""
    loan_s = share_state.LOAN_S * (1.0 - share_state.CLOCK_DRIFT)
    return ask.sent_s + loan_s


def _note_demand(line: share_types.AccountQueue, now: float) -> None:
    elapsed_s = max(0.0, now - line.demand_updated_s)
    line.demand_per_s *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
    line.demand_per_s += 1.0 / DEMAND_WINDOW_S
    line.demand_updated_s = now


def _retry_after_s(account: model.ClientAccount) -> float:
    if account.rate_per_s <= 0.0:
        return MAX_RETRY_AFTER_S
    wait_s = 1.0 / account.rate_per_s
    return min(
        MAX_RETRY_AFTER_S, max(share_verdicts.MIN_RETRY_AFTER_S, wait_s)
    )


def _forget_asks(shares: share_types.Shares, now: float) -> None:
    old = [
        loan
        for loan, ask in shares.loan_requests.items()
        if now >= ask.sent_s + share_state.LOAN_S
    ]
    for loan in old:
        del shares.loan_requests[loan]
