"""State of one instance's shares of the client accounts' limits.

A part of an account is the fraction of its rate and burst that the units
of one holder stand for.
"""

import collections.abc
import typing

import attrs

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import share_ledger

Accounts: typing.TypeAlias = collections.abc.Mapping[str, model.ClientAccount]


@attrs.define(kw_only=True)
class LentTokens:
    """Tokens lent to a peer; they lower the bucket's cap until ends_s."""

    tokens: float
    ends_s: float


@attrs.define(kw_only=True)
class LentPart:
    """Units of one account lent to its home and unused here until ends_s.

    holder is the borrowing incarnation, and key its instance and loan
    number.
    """

    holder: str
    key: tuple[str, int]
    units: int
    ends_s: float


@attrs.define(kw_only=True)
class BorrowedPart:
    """Units of one account borrowed from a holder, usable until ends_s."""

    loan: int
    units: int
    ends_s: float


@attrs.define(kw_only=True)
class Bucket:
    """Token bucket for this instance's part of one account.

    units is the number of own units in use, and rate_per_s and burst are
    the limits of the whole account.  lent_tokens is keyed by borrower and
    loan number, borrowed_parts by lender.
    """

    slot: int
    units: int
    rate_per_s: float
    burst: float
    tokens: float
    updated_s: float
    lent_tokens: dict[tuple[str, int], LentTokens] = attrs.field(factory=dict)
    lent_part: LentPart | None = None
    borrowed_parts: dict[str, BorrowedPart] = attrs.field(factory=dict)
    parts_requested_s: float = float('-inf')
    last_used_s: float = float('-inf')


@attrs.define(kw_only=True)
class PendingGain:
    """Units that the ledger gives this instance, usable from usable_from_s."""

    slot: int
    units: int
    usable_from_s: float


@attrs.define(kw_only=True)
class SeenRenewal:
    """A holder's last renewal and when this instance first read it.

    renewal is the offset in the stream; at_s is by the own clock.
    """

    renewal: int
    at_s: float


@attrs.define(kw_only=True)
class BorrowedTokens:
    """Tokens borrowed from a peer; they cannot be spent from ends_s on."""

    lender: str
    tokens: float
    received_s: float
    ends_s: float


@attrs.define(kw_only=True)
class LoanRequest:
    """An unanswered request to a peer for tokens or for its part."""

    account: str
    lender: str
    sent_s: float


@attrs.define(kw_only=True)
class LenderBalance:
    """The tokens that a lender reported to have left, received at at_s."""

    tokens: float
    at_s: float


@attrs.define(kw_only=True)
class AccountQueue:
    """One account's waiting requests, its loans and the search for lenders.

    waiting maps a ticket to its deadline.  pending_loan is the loan number
    of the request that the search waits for, and asked_lenders the lenders
    already asked in this search.  When no lender is left, the search pauses
    until backoff_until_s.  demand_per_s is an exponential average of the
    request rate, as of demand_updated_s.
    """

    waiting: dict[int, float] = attrs.field(factory=dict)
    loans: dict[int, BorrowedTokens] = attrs.field(factory=dict)
    pending_loan: int | None = None
    asked_lenders: set[str] = attrs.field(factory=set)
    lender_balances: dict[str, LenderBalance] = attrs.field(factory=dict)
    backoff_until_s: float = 0.0
    backoff_s: float = 0.0
    demand_per_s: float = 0.0
    demand_updated_s: float = 0.0


@attrs.define(kw_only=True)
class Shares:
    """What one instance holds, has lent and has borrowed.

    holder names this incarnation of the instance.  renewals_sent_s maps
    the number of each own renewal not yet read back to its sending time.
    pending_move is the own move on which the stream has not decided yet.
    active_units and active_since_s give the units in use of a slot and the
    time of their last change.  accounts_by_loan maps the borrower and loan
    number of each loan made to its account, and borrowing_accounts names the
    accounts with borrowed parts.
    """

    holder: str
    instance: str
    data_centre: str
    address: str
    next_loan_number: int
    ledger: share_ledger.Ledger = attrs.field(factory=share_ledger.Ledger)
    lease_ends_s: float = float('-inf')
    renewals_sent_s: dict[int, float] = attrs.field(factory=dict)
    renewal_count: int = 0
    pending_move: messages.SharesMoved | None = None
    move_sent_s: float = 0.0
    pending_gains: list[PendingGain] = attrs.field(factory=list)
    active_units: dict[int, int] = attrs.field(factory=dict)
    active_since_s: dict[int, float] = attrs.field(factory=dict)
    seen_renewals: dict[str, SeenRenewal] = attrs.field(factory=dict)
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    accounts_by_loan: dict[tuple[str, int], str] = attrs.field(factory=dict)
    borrowing_accounts: set[str] = attrs.field(factory=set)
    queues: dict[str, AccountQueue] = attrs.field(factory=dict)
    active_queues: set[str] = attrs.field(factory=set)
    loan_requests: dict[int, LoanRequest] = attrs.field(factory=dict)
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    closing: bool = False
    last_snapshot_offset: int = 0
    last_snapshot_s: float = float('-inf')
