"""Decides on requests against their client account's rate and burst.

A request spends a token of a loan or of the instance's own bucket.  If
there is none, it waits for a short, bounded time while this instance asks
other holders of the account for tokens, one after another.  An instance
with steady demand borrows before it runs out.  The limits hold whichever
messages are lost or late: their tokens merely stay unused until the loan
ends.
"""

import math
import typing

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_lenders
from oleanderdrift import share_lending
from oleanderdrift import share_parts
from oleanderdrift import share_queues
from oleanderdrift import share_state
from oleanderdrift import share_types
from oleanderdrift import share_verdicts

LOAN_REQUEST_TIMEOUT_S: typing.Final = 0.05
# A lender that did not answer in time is not asked again for this long.
AVOID_LENDER_S: typing.Final = 5.0
RETURN_AFTER_S: typing.Final = 0.75
# With steady demand, tokens are borrowed when those left cover less than
# LOW_WATER_S of it, and as many as cover BORROW_AHEAD_S.
BORROW_AHEAD_S: typing.Final = 0.5
LOW_WATER_S: typing.Final = 0.1
# Below this demand an instance borrows only for waiting requests.
MIN_DEMAND_PER_S: typing.Final = 4.0
MIN_BACKOFF_S: typing.Final = 0.02
MAX_BACKOFF_S: typing.Final = 0.25


def request(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    ticket: int,
) -> share_verdicts.Decision:
    """Decides on one request; ticket identifies it while it waits."""
    share_state.activate_due_units(shares, now)
    queue = shares.queues.setdefault(account.name, share_types.AccountQueue())
    share_queues.note_demand(queue, now)
    outcome = share_verdicts.Outcome()
    share_lending.note_use(shares, now, account, outcome)
    if not queue.waiting and _spend(shares, now, account, queue, outcome):
        _borrow_ahead(shares, now, account, queue, outcome)
        return share_verdicts.Admitted(sends=tuple(outcome.sends))
    if queue.waiting and len(queue.waiting) >= share_queues.max_waiting(
        shares, now, account, queue
    ):
        return share_verdicts.Refused(
            retry_after_s=share_queues.retry_after_s(account)
        )
    deadline_s = now + share_queues.MAX_WAIT_S
    queue.waiting[ticket] = deadline_s
    shares.active_queues.add(account.name)
    if queue.pending_loan is None and now >= queue.backoff_until_s:
        _serve_or_borrow(shares, now, account, queue, outcome)
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
    """Handles a peer message about tokens or parts."""
    share_state.activate_due_units(shares, now)
    outcome = share_verdicts.Outcome()
    match message:
        case messages.BorrowTokens():
            account = accounts.get(message.account)
            if account is not None:
                share_lending.lend(
                    shares, now, sender, message, account, outcome
                )
        case messages.TokensLent():
            _receive_loan(shares, now, sender, message, accounts, outcome)
        case messages.BorrowPart():
            account = accounts.get(message.account)
            if account is not None:
                outcome.sends.extend(
                    share_parts.lend(shares, now, sender, message, account)
                )
        case messages.PartLent():
            share_parts.receive_part(shares, now, sender, message)
        case messages.TokensReturned():
            key = (sender, message.loan)
            unspent = message.tokens / share_state.MILLITOKENS_PER_TOKEN
            share_state.end_loan(shares, now, key, unspent)
    return outcome


def tick(
    shares: share_types.Shares, now: float, accounts: share_types.Accounts
) -> share_verdicts.Outcome:
    """Handles time-outs and expired loans and renews borrowed parts.

    Call it every few tens of milliseconds.
    """
    share_state.activate_due_units(shares, now)
    outcome = share_verdicts.Outcome()
    for name in list(shares.active_queues):
        queue = shares.queues[name]
        account = accounts.get(name)
        if account is None:
            outcome.refused.extend(queue.waiting)
            queue.waiting.clear()
            queue.loans.clear()
        else:
            _tick_queue(shares, now, account, queue, outcome)
        if (
            not queue.waiting
            and not queue.loans
            and queue.pending_loan is None
        ):
            shares.active_queues.discard(name)
    outcome.sends.extend(share_parts.tick(shares, now, accounts))
    _drop_expired_requests(shares, now)
    return outcome


def _tick_queue(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    for loan_number, loan in list(queue.loans.items()):
        if now >= loan.received_s + RETURN_AFTER_S:
            _return_loan(queue, loan_number, outcome)
    loan_request = (
        None
        if queue.pending_loan is None
        else shares.loan_requests.get(queue.pending_loan)
    )
    if queue.pending_loan is not None and (
        loan_request is None
        or now >= loan_request.sent_s + LOAN_REQUEST_TIMEOUT_S
    ):
        queue.pending_loan = None
        if loan_request is not None:
            shares.avoided_until_s[loan_request.lender] = now + AVOID_LENDER_S
    if (
        queue.waiting
        and queue.pending_loan is None
        and now >= queue.backoff_until_s
    ):
        _serve_or_borrow(shares, now, account, queue, outcome)
    for ticket, deadline_s in list(queue.waiting.items()):
        if now >= deadline_s:
            del queue.waiting[ticket]
            outcome.refused.append(ticket)
    if outcome.refused:
        outcome.retry_after_s = share_queues.retry_after_s(account)


def _available_tokens(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
) -> float:
    tokens = 0.0
    for loan in queue.loans.values():
        if now < loan.ends_s:
            tokens += loan.tokens
    if share_state.can_use_units(shares, now):
        bucket = share_state.get_bucket(shares, now, account)
        if bucket is not None:
            tokens += bucket.tokens
    return tokens


def _spend(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> bool:
    """Spends one token; takes it from loans first, as those expire."""
    available = _available_tokens(shares, now, account, queue)
    if available < 1.0 - share_state.ROUNDING_TOKENS:
        return False
    remaining = 1.0
    for loan_number, loan in list(queue.loans.items()):
        if now >= loan.ends_s:
            del queue.loans[loan_number]
            continue
        spent = min(remaining, loan.tokens)
        loan.tokens -= spent
        remaining -= spent
        if loan.tokens <= 0.0:
            _return_loan(queue, loan_number, outcome)
    bucket = shares.buckets.get(account.name)
    if remaining > 0.0 and bucket is not None:
        bucket.tokens -= remaining
    return True


def _return_loan(
    queue: share_types.AccountQueue,
    loan_number: int,
    outcome: share_verdicts.Outcome,
) -> None:
    """Ends a loan here, then returns the unspent tokens to its lender."""
    loan = queue.loans.pop(loan_number)
    unspent = math.floor(
        max(0.0, loan.tokens) * share_state.MILLITOKENS_PER_TOKEN
    )
    message = messages.TokensReturned(loan=loan_number, tokens=unspent)
    outcome.sends.append(
        outbound.OutboundMessage(to=loan.lender, message=message)
    )


def _borrow_ahead(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    if queue.pending_loan is not None or now < queue.backoff_until_s:
        return
    if queue.demand_per_s < MIN_DEMAND_PER_S:
        return
    available = _available_tokens(shares, now, account, queue)
    if available < queue.demand_per_s * LOW_WATER_S:
        queue.asked_lenders.clear()
        _request_loan(shares, now, account, queue, outcome)


def _serve_or_borrow(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> None:
    """Serves waiting requests, then asks the next lender for more tokens.

    If no lender is left, gives back the borrowed tokens, which are less than
    one, so that another instance may combine them into a whole one, and
    pauses the search.
    """
    while queue.waiting and _spend(shares, now, account, queue, outcome):
        ticket = next(iter(queue.waiting))
        del queue.waiting[ticket]
        outcome.admitted.append(ticket)
        queue.backoff_s /= 2.0
    if not queue.waiting:
        queue.asked_lenders.clear()
        return
    if _request_loan(shares, now, account, queue, outcome):
        return
    queue.asked_lenders.clear()
    for loan_number in list(queue.loans):
        _return_loan(queue, loan_number, outcome)
    queue.backoff_s = min(
        MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * queue.backoff_s)
    )
    queue.backoff_until_s = now + queue.backoff_s


def _request_loan(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    queue: share_types.AccountQueue,
    outcome: share_verdicts.Outcome,
) -> bool:
    """Asks the next lender for a loan; returns False if none is left."""
    lender = share_lenders.next_lender(shares, now, account, queue)
    if lender is None:
        return False
    available = _available_tokens(shares, now, account, queue)
    need = max(0.0, len(queue.waiting) - available)
    ahead = 0.0
    if queue.demand_per_s >= MIN_DEMAND_PER_S:
        ahead = queue.demand_per_s * BORROW_AHEAD_S
    surplus = max(0.0, available - len(queue.waiting))
    loan_number = shares.next_loan_number
    shares.next_loan_number += 1
    queue.pending_loan = loan_number
    queue.asked_lenders.add(lender)
    shares.loan_requests[loan_number] = share_types.LoanRequest(
        account=account.name, lender=lender, sent_s=now
    )
    shares.active_queues.add(account.name)
    message = messages.BorrowTokens(
        loan=loan_number,
        account=account.name,
        need=math.ceil(need * share_state.MILLITOKENS_PER_TOKEN),
        extra=int(
            max(0.0, ahead - surplus) * share_state.MILLITOKENS_PER_TOKEN
        ),
    )
    outcome.sends.append(outbound.OutboundMessage(to=lender, message=message))
    return True


def _receive_loan(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.TokensLent,
    accounts: share_types.Accounts,
    outcome: share_verdicts.Outcome,
) -> None:
    """Records a loan; its time counts from when it was requested."""
    loan_request = shares.loan_requests.get(message.loan)
    if loan_request is None or loan_request.lender != sender:
        return
    del shares.loan_requests[message.loan]
    account = accounts.get(loan_request.account)
    queue = shares.queues.get(loan_request.account)
    if account is None or queue is None:
        return
    ends_s = _loan_ends_s(loan_request, now)
    remaining = message.left / share_state.MILLITOKENS_PER_TOKEN
    queue.lender_balances[sender] = share_types.LenderBalance(
        tokens=remaining, at_s=now
    )
    if message.tokens > 0 and now < ends_s:
        queue.loans[message.loan] = share_types.BorrowedTokens(
            lender=sender,
            tokens=message.tokens / share_state.MILLITOKENS_PER_TOKEN,
            received_s=now,
            ends_s=ends_s,
        )
        shares.active_queues.add(loan_request.account)
    if queue.pending_loan == message.loan:
        queue.pending_loan = None
    if queue.pending_loan is None:
        _serve_or_borrow(shares, now, account, queue, outcome)


def _loan_ends_s(loan_request: share_types.LoanRequest, now: float) -> float:
    """Returns when the loan ends here, which is before the lender's end.

    The lender counts from when it received the request.
    """
    loan_s = share_state.LOAN_S * (1.0 - share_state.CLOCK_DRIFT)
    return loan_request.sent_s + loan_s


def _drop_expired_requests(shares: share_types.Shares, now: float) -> None:
    expired = [
        loan_number
        for loan_number, loan_request in shares.loan_requests.items()
        if now >= loan_request.sent_s + share_state.LOAN_S
    ]
    for loan_number in expired:
        del shares.loan_requests[loan_number]
