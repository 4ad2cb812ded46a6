"""Answers peers that ask to borrow tokens of an account.

Beyond what the peer's waiting requests need, an instance keeps at least
half of its tokens for its own demand.
"""

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import outbound
from oleanderdrift import share_ledger
from oleanderdrift import share_parts
from oleanderdrift import share_state
from oleanderdrift import share_types
from oleanderdrift import share_verdicts


def lend(
    shares: share_types.Shares,
    now: float,
    sender: str,
    message: messages.BorrowTokens,
    account: model.ClientAccount,
    outcome: share_verdicts.Outcome,
) -> None:
    """Lends tokens; the own bucket's cap is lowered before the answer."""
    note_use(shares, now, account, outcome)
    millitokens = 0
    bucket = None
    if share_state.can_use_units(shares, now):
        bucket = share_state.get_bucket(shares, now, account)
    key = (sender, message.loan)
    if bucket is not None:
        if key in bucket.lent_tokens:
            return
        millitokens = _millitokens_to_lend(bucket, message)
    if millitokens > 0:
        tokens = millitokens / share_state.MILLITOKENS_PER_TOKEN
        share_state.lend_tokens(shares, now, account.name, key, tokens)
    left = 0.0 if bucket is None else tokens_left(bucket, now)
    answer = messages.TokensLent(
        loan=message.loan,
        tokens=millitokens,
        left=int(left * share_state.MILLITOKENS_PER_TOKEN),
    )
    outcome.sends.append(outbound.OutboundMessage(to=sender, message=answer))


def _millitokens_to_lend(
    bucket: share_types.Bucket, message: messages.BorrowTokens
) -> int:
    """Returns the thousandths of tokens to lend.

    The need of waiting requests is met as far as the tokens go; for later
    requests at most half of the remaining tokens are lent.
    """
    held = int(max(0.0, bucket.tokens) * share_state.MILLITOKENS_PER_TOKEN)
    need = min(held, max(0, message.need))
    return need + min(max(0, message.extra), (held - need) // 2)


def tokens_left(bucket: share_types.Bucket, now: float) -> float:
    """Returns the tokens left after a loan.

    While the part is lent, the result is negative: minus the tokens that its
    units gain until the end of the loan, so that a borrower's estimate for
    this lender is not positive before then.
    """
    lent_part = bucket.lent_part
    if lent_part is None:
        return max(0.0, bucket.tokens)
    fraction = lent_part.units / share_ledger.UNITS
    return -(lent_part.ends_s - now) * bucket.rate_per_s * fraction


def note_use(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    outcome: share_verdicts.Outcome,
) -> None:
    """Records a use of the account and requests its parts if that is due."""
    bucket = shares.buckets.get(account.name)
    if bucket is not None:
        bucket.last_used_s = now
        outcome.sends.extend(share_parts.request_parts(shares, now, account))
