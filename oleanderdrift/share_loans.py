"""Decides on requests against their client account's rate and burst.

A request spends a token of the instance's own bucket or of a loan.  Where
there is none it waits a short, bounded time while holders of the account
are asked for tokens, one after another.  A borrower with steady demand
asks ahead of need.  No message is needed for safety: one that is lost or
late only loses tokens for the length of a loan.
"""

import math
import typing

import attrs

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_ledger
from oleanderdrift import share_parts
from oleanderdrift import share_state

MAX_WAIT_S: typing.Final = 0.25
ASK_TIMEOUT_S: typing.Final = 0.05
AVOID_S: typing.Final = 5.0
MAX_ASKS: typing.Final = 3
RETURN_AFTER_S: typing.Final = 0.75
HORIZON_S: typing.Final = 0.5
LOW_WATER_S: typing.Final = 0.1
DEMAND_WINDOW_S: typing.Final = 1.0
# Below this demand an instance borrows for waiting requests alone.
MIN_DEMAND_PER_S: typing.Final = 4.0
MIN_ASK_TOKENS: typing.Final = 0.05
MIN_DRY_S: typing.Final = 0.02
MAX_DRY_S: typing.Final = 0.25
MIN_RETRY_AFTER_S: typing.Final = 0.1
MAX_RETRY_AFTER_S: typing.Final = 60.0


@attrs.frozen(kw_only=True)
class Admitted:
    """The request may go on; its token is spent."""

    sends: tuple[outbound.Send, ...] = ()


@attrs.frozen(kw_only=True)
class Borrow:
    """The request waits for a loan; its verdict is in a later Outcome."""

    deadline_s: float
    sends: tuple[outbound.Send, ...]


@attrs.frozen(kw_only=True)
class Refused:
    """The request is over the account's limits and is not run."""

    retry_after_s: float
    sends: tuple[outbound.Send, ...] = ()


Decision: typing.TypeAlias = Admitted | Borrow | Refused


@attrs.define(kw_only=True)
class Outcome:
    """What follows from a peer message or from time.

    admitted and refused are tickets; the refused are told to come back
    after retry_after_s.
    """

    sends: list[outbound.Send] = attrs.field(factory=list)
    admitted: list[int] = attrs.field(factory=list)
    refused: list[int] = attrs.field(factory=list)
    retry_after_s: float = MIN_RETRY_AFTER_S


def request(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    ticket: int,
) -> Decision:
    """Decides on one request; ticket names it if it has to wait."""
    share_state.settle(shares, now)
    line = shares.lines.setdefault(account.name, share_state.Line())
    _note_demand(line, now)
    outcome = Outcome()
    _use(shares, now, account, outcome)
    if not line.waiting and _spend(shares, now, account, line, outcome):
        _ask_ahead(shares, now, account, line, outcome)
        return Admitted(sends=tuple(outcome.sends))
    if line.waiting and len(line.waiting) >= _room(shares, now, account, line):
        return Refused(retry_after_s=_retry_after_s(account))
    deadline_s = now + MAX_WAIT_S
    line.waiting[ticket] = deadline_s
    shares.open_lines.add(account.name)
    if line.asking is None and now >= line.dry_until_s:
        _go_on(shares, now, account, line, outcome)
    return Borrow(deadline_s=deadline_s, sends=tuple(outcome.sends))


def receive(
    shares: share_state.Shares,
    now: float,
    sender: str,
    message: messages.Message,
    accounts: share_state.Accounts,
) -> Outcome:
    """Takes in a peer message of this part."""
    share_state.settle(shares, now)
    outcome = Outcome()
    match message:
        case messages.BorrowTokens():
            account = accounts.get(message.account)
            if account is not None:
                _lend(shares, now, sender, message, account, outcome)
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
    shares: share_state.Shares, now: float, accounts: share_state.Accounts
) -> Outcome:
    """Ends what time has ended; call it every few tens of milliseconds."""
    share_state.settle(shares, now)
    outcome = Outcome()
    for name in list(shares.open_lines):
        line = shares.lines[name]
        account = accounts.get(name)
        if account is None:
            outcome.refused.extend(line.waiting)
            line.waiting.clear()
            line.loans.clear()
        else:
            _tick_line(shares, now, account, line, outcome)
        if not line.waiting and not line.loans and line.asking is None:
            shares.open_lines.discard(name)
    outcome.sends.extend(share_parts.tick(shares, now, accounts))
    _forget_asks(shares, now)
    return outcome


def _tick_line(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
    outcome: Outcome,
) -> None:
    for loan, held in list(line.loans.items()):
        if now >= held.taken_s + RETURN_AFTER_S:
            _give_back(line, loan, outcome)
    ask = None if line.asking is None else shares.asks.get(line.asking)
    if line.asking is not None and (
        ask is None or now >= ask.sent_s + ASK_TIMEOUT_S
    ):
        line.asking = None
        if ask is not None:
            shares.avoided_until_s[ask.lender] = now + AVOID_S
    if line.waiting and line.asking is None and now >= line.dry_until_s:
        _go_on(shares, now, account, line, outcome)
    for ticket, deadline_s in list(line.waiting.items()):
        if now >= deadline_s:
            del line.waiting[ticket]
            outcome.refused.append(ticket)
    if outcome.refused:
        outcome.retry_after_s = _retry_after_s(account)


def _available(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
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
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
    outcome: Outcome,
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


def _give_back(line: share_state.Line, loan: int, outcome: Outcome) -> None:
    """Ends a loan, first here and then at its lender."""
    held = line.loans.pop(loan)
    rest = math.floor(max(0.0, held.tokens) * share_state.MILLI_TOKENS)
    message = messages.TokensReturned(loan=loan, tokens=rest)
    outcome.sends.append(outbound.Send(to=held.lender, message=message))


def _ask_ahead(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
    outcome: Outcome,
) -> None:
    if line.asking is not None or now < line.dry_until_s:
        return
    if line.demand_per_s < MIN_DEMAND_PER_S:
        return
    available = _available(shares, now, account, line)
    if available < line.demand_per_s * LOW_WATER_S:
        line.asked.clear()
        _ask(shares, now, account, line, outcome)


def _go_on(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
    outcome: Outcome,
) -> None:
    """Serves the waiting, then asks the next lender for the rest.

    Where no lender is left, what was borrowed goes back, so that another
    instance may make a whole token of it, and the search pauses.
    """
    while line.waiting and _spend(shares, now, account, line, outcome):
        ticket = next(iter(line.waiting))
        del line.waiting[ticket]
        outcome.admitted.append(ticket)
        line.dry_s /= 2.0
    if not line.waiting:
        line.asked.clear()
        return
    if _ask(shares, now, account, line, outcome):
        return
    line.asked.clear()
    for loan in list(line.loans):
        _give_back(line, loan, outcome)
    line.dry_s = min(MAX_DRY_S, max(MIN_DRY_S, 2.0 * line.dry_s))
    line.dry_until_s = now + line.dry_s


def _room(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
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
            tokens += _estimate(line, now, account, lender, part)
    return tokens


def _ask(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
    outcome: Outcome,
) -> bool:
    """Asks the next lender, if there is one left."""
    lender = _next_lender(shares, now, account, line)
    if lender is None:
        return False
    available = _available(shares, now, account, line)
    need = max(0.0, len(line.waiting) - available)
    ahead = 0.0
    if line.demand_per_s >= MIN_DEMAND_PER_S:
        ahead = line.demand_per_s * HORIZON_S
    surplus = max(0.0, available - len(line.waiting))
    loan = shares.next_loan
    shares.next_loan += 1
    line.asking = loan
    line.asked.add(lender)
    shares.asks[loan] = share_state.Ask(
        account=account.name, lender=lender, sent_s=now
    )
    shares.open_lines.add(account.name)
    message = messages.BorrowTokens(
        loan=loan,
        account=account.name,
        need=math.ceil(need * share_state.MILLI_TOKENS),
        extra=int(max(0.0, ahead - surplus) * share_state.MILLI_TOKENS),
    )
    outcome.sends.append(outbound.Send(to=lender, message=message))
    return True


def _next_lender(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    line: share_state.Line,
) -> str | None:
    """Returns the instance to ask next.

    One of the own data centre that is at least half full goes first, then
    the one with most tokens: buckets that are full waste what they gain,
    so all are to be drained alike.
    """
    if len(line.asked) >= MAX_ASKS:
        return None
    slot = share_ledger.slot_of(account.name)
    home = share_parts.home(shares, now, account)
    best = (0, MIN_ASK_TOKENS, 0)
    chosen = None
    for name, units in shares.ledger.by_slot.get(slot, {}).items():
        holder = shares.ledger.holders[name]
        instance = holder.instance
        if instance == shares.instance or instance in line.asked:
            continue
        if now < shares.avoided_until_s.get(instance, 0.0):
            continue
        part = 1.0 if name == home else units / share_ledger.UNITS
        tokens = _estimate(line, now, account, instance, part)
        near = holder.data_centre == shares.data_centre
        half_full = tokens >= max(1.0, account.burst * part / 2.0)
        spread = share_ledger.hash_of(f'{shares.instance}\0{instance}')
        order = 2 if name == home else int(near and half_full)
        rank = (order, tokens, spread)
        if rank > best:
            best = rank
            chosen = instance
    return chosen


def _estimate(
    line: share_state.Line,
    now: float,
    account: model.ClientAccount,
    lender: str,
    part: float,
) -> float:
    """Returns the tokens that a lender may have by now."""
    cap = account.burst * part
    level = line.levels.get(lender)
    if level is None:
        return cap
    gained = (now - level.at_s) * account.rate_per_s * part
    return max(0.0, min(cap, level.tokens + gained))


def _lend(
    shares: share_state.Shares,
    now: float,
    sender: str,
    message: messages.BorrowTokens,
    account: model.ClientAccount,
    outcome: Outcome,
) -> None:
    """Lends what can be spared; its own cap is lowered first."""
    _use(shares, now, account, outcome)
    milli = 0
    bucket = None
    if share_state.usable(shares, now):
        bucket = share_state.bucket_of(shares, now, account)
    key = (sender, message.loan)
    if bucket is not None:
        if key in bucket.lent:
            return
        milli = _spare(bucket, message)
    if milli > 0:
        tokens = milli / share_state.MILLI_TOKENS
        share_state.lend(shares, now, account.name, key, tokens)
    left = 0.0 if bucket is None else _left(bucket, now)
    answer = messages.TokensLent(
        loan=message.loan,
        tokens=milli,
        left=int(left * share_state.MILLI_TOKENS),
    )
    outcome.sends.append(outbound.Send(to=sender, message=answer))


def _spare(bucket: share_state.Bucket, message: messages.BorrowTokens) -> int:
    """Returns the thousandths to lend.

    That is all for waiting requests and half of the rest for later ones.
    """
    held = int(max(0.0, bucket.tokens) * share_state.MILLI_TOKENS)
    need = min(held, max(0, message.need))
    return need + min(max(0, message.extra), (held - need) // 2)


def _left(bucket: share_state.Bucket, now: float) -> float:
    """Returns the tokens left, counting down to a lent part's return."""
    out = bucket.part_out
    if out is None:
        return max(0.0, bucket.tokens)
    part = out.units / share_ledger.UNITS
    return -(out.ends_s - now) * bucket.rate_per_s * part


def _use(
    shares: share_state.Shares,
    now: float,
    account: model.ClientAccount,
    outcome: Outcome,
) -> None:
    """Notes that the account is in use and gathers its parts if due."""
    bucket = shares.buckets.get(account.name)
    if bucket is not None:
        bucket.used_s = now
        outcome.sends.extend(share_parts.gather(shares, now, account))


def _take(
    shares: share_state.Shares,
    now: float,
    sender: str,
    message: messages.TokensLent,
    accounts: share_state.Accounts,
    outcome: Outcome,
) -> None:
    """Takes a loan in; it is counted from before it was asked for."""
    ask = shares.asks.get(message.loan)
    if ask is None or ask.lender != sender:
        return
    del shares.asks[message.loan]
    account = accounts.get(ask.account)
    line = shares.lines.get(ask.account)
    if account is None or line is None:
        return
    ends_s = _loan_ends_s(ask, now)
    left = message.left / share_state.MILLI_TOKENS
    line.levels[sender] = share_state.Level(tokens=left, at_s=now)
    if message.tokens > 0 and now < ends_s:
        line.loans[message.loan] = share_state.Loan(
            lender=sender,
            tokens=message.tokens / share_state.MILLI_TOKENS,
            taken_s=now,
            ends_s=ends_s,
        )
        shares.open_lines.add(ask.account)
    if line.asking == message.loan:
        line.asking = None
    if line.asking is None:
        _go_on(shares, now, account, line, outcome)


def _loan_ends_s(ask: share_state.Ask, now: float) -> float:
    """Returns a time that is sure to come before the lender's own."""
    loan_s = share_state.LOAN_S * (1.0 - share_state.CLOCK_DRIFT)
    return ask.sent_s + loan_s


def _note_demand(line: share_state.Line, now: float) -> None:
    elapsed_s = max(0.0, now - line.seen_s)
    line.demand_per_s *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
    line.demand_per_s += 1.0 / DEMAND_WINDOW_S
    line.seen_s = now


def _retry_after_s(account: model.ClientAccount) -> float:
    if account.rate_per_s <= 0.0:
        return MAX_RETRY_AFTER_S
    wait_s = 1.0 / account.rate_per_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _forget_asks(shares: share_state.Shares, now: float) -> None:
    old = [
        loan
        for loan, ask in shares.asks.items()
        if now >= ask.sent_s + share_state.LOAN_S
    ]
    for loan in old:
        del shares.asks[loan]
