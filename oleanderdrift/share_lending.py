"""Answers peers that ask for tokens of an account.

An instance lends what it can spare beside its own demand.
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
    """Lends what can be spared; its own cap is lowered first."""
    note_use(shares, now, account, outcome)
    milli = 0
    bucket = None
    if share_state.usable(shares, now):
        bucket = share_state.bucket_of(shares, now, account)
    key = (sender, message.loan)
    if bucket is not None:
        if key in bucket.lent_tokens:
            return
        milli = _spare(bucket, message)
    if milli > 0:
        tokens = milli / share_state.MILLI_TOKENS
        share_state.lend(shares, now, account.name, key, tokens)
    left = 0.0 if bucket is None else tokens_left(bucket, now)
    answer = messages.TokensLent(
        loan=message.loan,
        tokens=milli,
        left=int(left * share_state.MILLI_TOKENS),
    )
    outcome.sends.append(outbound.Send(to=sender, message=answer))


def _spare(bucket: share_types.Bucket, message: messages.BorrowTokens) -> int:
    """Returns the thousandths to lend.

    That is all for waiting requests and half of the rest for later ones.
    """
    held = int(max(0.0, bucket.tokens) * share_state.MILLI_TOKENS)
    need = min(held, max(0, message.need))
    return need + min(max(0, message.extra), (held - need) // 2)


def tokens_left(bucket: share_types.Bucket, now: float) -> float:
    """Returns the tokens left, counting down to a lent part's return."""
    out = bucket.lent_part
    if out is None:
        return max(0.0, bucket.tokens)
    part = out.units / share_ledger.UNITS
    return -(out.ends_s - now) * bucket.rate_per_s * part


def note_use(
    shares: share_types.Shares,
    now: float,
    account: model.ClientAccount,
    outcome: share_verdicts.Outcome,
) -> None:
    """Notes that the account is in use and gathers its parts if due."""
    bucket = shares.buckets.get(account.name)
    if bucket is not None:
        bucket.last_used_s = now
        outcome.sends.extend(share_parts.gather(shares, now, account))
