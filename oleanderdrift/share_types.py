"""An instance's buckets, loans and parts of client accounts."""

import collections.abc
import typing

import attrs

from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import share_ledger

Accounts: typing.TypeAlias = collections.abc.Mapping[str, model.ClientAccount]


@attrs.define(kw_only=True)
class LentTokens:
    """Tokens lent to a peer, which lower the cap until ends_s."""

    tokens: float
    ends_s: float


@attrs.define(kw_only=True)
class LentPart:
    """Units of one account lent to its home, out of use until ends_s."""

    holder: str
    key: tuple[str, int]
    units: int
    ends_s: float


@attrs.define(kw_only=True)
class BorrowedPart:
    """Units of one account borrowed from a holder, in use to ends_s."""

    loan: int
    units: int
    ends_s: float


@attrs.define(kw_only=True)
class Bucket:
    """The tokens that this instance's units of an account have gained."""

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
    """Units that the ledger gives this instance, in use from active_s."""

    slot: int
    units: int
    usable_from_s: float


@attrs.define(kw_only=True)
class SeenRenewal:
    """When this instance read a holder's renewal, by its own clock."""

    renewal: int
    at_s: float


@attrs.define(kw_only=True)
class BorrowedTokens:
    """Tokens borrowed from a peer; they are void from ends_s on."""

    lender: str
    tokens: float
    received_s: float
    ends_s: float


@attrs.define(kw_only=True)
class LoanRequest:
    """A question for tokens that has no answer yet."""

    account: str
    lender: str
    sent_s: float


@attrs.define(kw_only=True)
class LenderBalance:
    """The tokens that a lender had left when it last answered."""

    tokens: float
    at_s: float


@attrs.define(kw_only=True)
class AccountQueue:
    """One account's waiting requests, loans and search for lenders.

    waiting maps a ticket to its deadline.  asking is the loan number of
    the question that the search waits for, asked the lenders it has been
    to.  Until dry_until_s no lender is asked again.
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

    holder names this incarnation of the instance.  active and since_s
    give the units in use of a slot and the time of their last change.
    loans_out maps a borrower and its loan's number to the account, and
    gathered names the accounts with borrowed parts.
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
    gathered_accounts: set[str] = attrs.field(factory=set)
    queues: dict[str, AccountQueue] = attrs.field(factory=dict)
    active_queues: set[str] = attrs.field(factory=set)
    loan_requests: dict[int, LoanRequest] = attrs.field(factory=dict)
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    closing: bool = False
    last_snapshot_offset: int = 0
    last_snapshot_s: float = float('-inf')
