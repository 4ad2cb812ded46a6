"""Definitions of all log records and peer messages.

Every message is a frozen attrs class with a fixed kind number, listed in
KINDS.  The codec module encodes and decodes them.  Kind numbers are never
reused.
"""

import typing

import attrs

from oleanderdrift import codes

# --- Records of the `config` stream -------------------------------------

ANY_VERSION: typing.Final = -1


@attrs.frozen(kw_only=True)
class ConfigChange:
    """A change to one configuration object, requested by an operator.

    expected_version is the offset of the change that this one replaces,
    0 if the object must not exist yet, or ANY_VERSION.  body is the
    object as JSON, or None to delete it.
    """

    change_id: str
    kind: str
    name: str
    expected_version: int
    body: bytes | None
    author: str = ''


@attrs.frozen(kw_only=True)
class ConfigSnapshot:
    """The whole configuration from all records before next_offset.

    recent holds the verdicts on the latest changes, oldest first, so that
    a reader that starts from this snapshot can still detect a repeated
    change.  restores is set when an operator replaces the configuration
    in force, whatever it was.
    """

    next_offset: int
    objects: tuple['SnapshotObject', ...]
    recent: tuple['SnapshotVerdict', ...] = ()
    restores: bool = False


@attrs.frozen(kw_only=True)
class SnapshotObject:
    """One object of a snapshot."""

    kind: str
    name: str
    version: int
    body: bytes


@attrs.frozen(kw_only=True)
class SnapshotVerdict:
    """The verdict on one recent change; code is a result code's number."""

    change_id: str
    code: int
    detail: str
    version: int


# --- Records of the `fleet` stream --------------------------------------


@attrs.frozen(kw_only=True)
class ShardOpened:
    """An instance opens a new ownership shard under a lease.

    as_of is the offset of this stream up to which the writer had read.
    """

    shard: str
    instance: str
    data_centre: str
    lease_s: float
    as_of: int = 0


@attrs.frozen(kw_only=True)
class ShardsRenewed:
    """The holder renews its lease on the shards it owns.

    number increases with each renewal of an instance, across restarts
    too.  checkpoint is the offset in the programs stream from which a
    successor has to read.
    """

    instance: str
    shards: tuple[str, ...]
    number: int = 0
    as_of: int = 0
    checkpoint: int = 0


@attrs.frozen(kw_only=True)
class ShardTaken:
    """Another instance takes over a shard whose lease has expired.

    The offset of this record is the shard's new epoch and fencing token.
    The record is ignored if the shard's epoch is no longer expected_epoch
    or if the offset that last extended its lease is no longer
    expected_renewal.  home is the shard that the new holder opened
    itself.  promised is set if the new holder had promised the former one
    more time, so that calls may have run without being recorded.
    """

    shard: str
    instance: str
    data_centre: str
    expected_epoch: int
    lease_s: float
    expected_renewal: int = 0
    home: str = ''
    as_of: int = 0
    number: int = 0
    promised: bool = False


@attrs.frozen(kw_only=True)
class ShardReleased:
    """The holder releases a shard; any instance may take it at once."""

    shard: str
    instance: str
    epoch: int


@attrs.frozen(kw_only=True)
class ShardClosed:
    """The holder permanently closes a shard that has no programs."""

    shard: str
    instance: str
    epoch: int


@attrs.frozen(kw_only=True)
class DataCentreDown:
    """An operator declares that no instance of a data centre is running.

    Instances that start there may then take over its shards at once.
    """

    data_centre: str
    author: str


# --- Records of the `programs.<data centre>` streams --------------------


@attrs.frozen(kw_only=True)
class ProgramCreated:
    """A program was created; its budget is the max_ fields.

    created_at is Unix time.
    """

    program: str
    client_account: str
    class_name: str
    parent: str = ''
    created_at: float = 0.0
    target_s: float = 0.0
    max_calls: int = 0
    max_tokens: int = 0
    max_duration_s: float = 0.0


@attrs.frozen(kw_only=True)
class CallIntended:
    """A non-idempotent call is about to be dispatched."""

    program: str
    call: int
    idempotency_key: str
    body_digest: bytes
    attempt: int = 1
    intended_at: float = 0.0


@attrs.frozen(kw_only=True)
class CallFinished:
    """A call ended; history is the JSON of the messages that it added.

    finished_at is Unix time.
    """

    program: str
    call: int
    idempotency_key: str
    body_digest: bytes
    execution: codes.Execution
    status: int
    tokens: int
    upstream: str
    content_type: str
    answer: bytes
    history: bytes
    history_digest: bytes
    attempt: int = 1
    finished_at: float = 0.0
    service_s: float = 0.0


@attrs.frozen(kw_only=True)
class ProgramEnded:
    """A program ended; code is the result code that gives the reason."""

    program: str
    code: int
    ended_at: float = 0.0


@attrs.frozen(kw_only=True)
class UpstreamUsed:
    """From now on an upstream may have a program's prefix cached."""

    program: str
    upstream: str


@attrs.frozen(kw_only=True)
class ShardRecords:
    """Encoded records of one shard, written by its holder in an epoch."""

    shard: str
    epoch: int
    records: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class ShardFenced:
    """Invalidates records that older epochs append after this one."""

    shard: str
    epoch: int


@attrs.frozen(kw_only=True)
class Batch:
    """Several encoded records of one group commit."""

    records: tuple[bytes, ...]


# --- Peer messages: programs --------------------------------------------


@attrs.frozen(kw_only=True)
class CreateProgram:
    """Asks a shard's owner to create a program.

    parent is set for a sub-agent.
    """

    client_account: str
    class_name: str
    parent: str = ''


@attrs.frozen(kw_only=True)
class ProgramStarted:
    """Replies to CreateProgram with the new program's id."""

    program: str


@attrs.frozen(kw_only=True)
class EndProgram:
    """Ends a program at its caller's request."""

    program: str
    client_account: str


@attrs.frozen(kw_only=True)
class SuccessReply:
    """A reply that reports success and carries no data."""


@attrs.frozen(kw_only=True)
class Ping:
    """Asks whether a peer is still running; it replies at once."""


@attrs.frozen(kw_only=True)
class ErrorReply:
    """A reply that reports a failure with its result code."""

    code: int
    detail: str
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class BeginCall:
    """Asks the owner to admit a call before it is dispatched.

    call is the call's number within the program, from 1, or 0 for the
    next one.  prefix_digest is the digest of the history that the caller
    sent, empty if it sent none.
    """

    program: str
    client_account: str
    call: int
    idempotency_key: str
    body_digest: bytes
    idempotent: bool
    prefix_digest: bytes = b''
    estimated_tokens: int = 0


@attrs.frozen(kw_only=True)
class CallGranted:
    """The owner admits one attempt of a call.

    slack_s is the time left until the program's target, attained_s the
    service time that it has received.
    """

    program: str
    call: int
    attempt: int
    fencing_token: int
    class_name: str
    slack_s: float
    attained_s: float
    remaining_tokens: int


@attrs.frozen(kw_only=True)
class CallReplayed:
    """The call has already run; this is its recorded answer."""

    program: str
    call: int
    attempt: int
    status: int
    content_type: str
    answer: bytes


@attrs.frozen(kw_only=True)
class EndCall:
    """Reports the outcome of an admitted attempt to the owner.

    fencing_token is the one from the attempt's CallGranted.
    """

    program: str
    call: int
    attempt: int
    fencing_token: int
    execution: codes.Execution
    status: int
    tokens: int
    upstream: str
    service_s: float
    content_type: str = ''
    answer: bytes = b''
    history: bytes = b''
    history_digest: bytes = b''


@attrs.frozen(kw_only=True)
class CallPlaced:
    """Notifies the owner which upstream an attempt is about to go to."""

    program: str
    call: int
    attempt: int
    fencing_token: int
    upstream: str


@attrs.frozen(kw_only=True)
class PromiseRequest:
    """Asks a possible successor not to take a shard for some time.

    home is the peer's shard through which it could take this one.
    Renewals after last_renewal are sent only once every record is
    durable.
    """

    shard: str
    home: str
    number: int
    last_renewal: int


@attrs.frozen(kw_only=True)
class LeasePromise:
    """Promises not to take the shard for promise_s seconds from now."""

    shard: str
    home: str
    number: int
    promise_s: float


@attrs.frozen(kw_only=True)
class CopyRecords:
    """Asks a peer to append a shard's records if their writer dies.

    home is the peer's shard through which it could take this one over, or
    empty if nobody can.  records are encoded, in their order.
    """

    shard: str
    home: str
    epoch: int
    records: tuple[bytes, ...]


# --- Peer messages: slots on upstreams ----------------------------------


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Asks a dispatch group's home for a slot on one of its upstreams.

    service is the name of a model or tool.  prefix holds chained digests
    of the prompt's blocks, the longest prefix last.  program_age_s is the
    time since the program started; it lets the deadline follow a change
    of the class target.  Without it, slack_s is used as sent.
    """

    call_id: str
    program: str
    client_account: str
    class_name: str
    service: str
    slack_s: float
    attained_s: float
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[bytes, ...] = ()
    excluded: tuple[str, ...] = ()
    program_age_s: float | None = None


@attrs.frozen(kw_only=True)
class SlotGranted:
    """Grants a slot on an upstream until it is released."""

    call_id: str
    upstream: str


@attrs.frozen(kw_only=True)
class SlotRefused:
    """Reports that no slot can be granted in time."""

    call_id: str
    code: int
    retry_after_s: float


@attrs.frozen(kw_only=True)
class SlotReleased:
    """Releases a slot and reports what was measured on it.

    failed means that the upstream, not the caller, aborted the call.
    cached_tokens is the number of cached prompt tokens that the engine
    reported, or None if it reported none.
    """

    call_id: str
    upstream: str
    failed: bool
    first_token_s: float
    duration_s: float
    tokens: int
    cached_tokens: int | None = None


# --- Peer messages: configuration ---------------------------------------


@attrs.frozen(kw_only=True)
class ReadConfig:
    """Asks a peer for the configuration records from next_offset on.

    withdrawn holds the SHA-256 digests of the keys that operators
    withdrew directly at an instance; every exchange carries them both
    ways.
    """

    next_offset: int
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigRecord:
    """A record of the `config` stream as stored in the log."""

    offset: int
    time_ms: int
    data: bytes


@attrs.frozen(kw_only=True)
class ConfigRecords:
    """Replies to ReadConfig with the records before next_offset.

    age_s is the time since the peer's configuration was last known to be
    complete, None if it never was.
    """

    next_offset: int
    records: tuple[ConfigRecord, ...]
    age_s: float | None
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigState:
    """Replies to ReadConfig if the peer no longer has the records.

    It carries the whole configuration instead.
    """

    snapshot: ConfigSnapshot
    age_s: float | None
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class KeysWithdrawn:
    """Notifies a peer at once of keys withdrawn directly."""

    withdrawn: tuple[str, ...]


# --- Records of the `shares` stream -------------------------------------


@attrs.frozen(kw_only=True)
class SharesRenewed:
    """A holder opens or renews its lease on its share units.

    holder identifies one incarnation of an instance; sent numbers its
    renewals.  The first record of the stream gives its holder all units.
    """

    holder: str
    instance: str
    data_centre: str
    address: str
    sent: int


@attrs.frozen(kw_only=True)
class UnitsMoved:
    """One entry of SharesMoved: units of a slot for another holder."""

    receiver: str
    slot: int
    units: int


@attrs.frozen(kw_only=True)
class SharesMoved:
    """A donor transfers units that it has already stopped using.

    epoch is the offset of the record that opened the donor's lease.
    serial numbers its transfers, so that a repeated append has no effect.
    """

    donor: str
    epoch: int
    serial: int
    moves: tuple[UnitsMoved, ...]


@attrs.frozen(kw_only=True)
class SharesReclaimed:
    """Transfers all units of a lost holder to another holder.

    The record is ignored if expected_renewal is no longer the offset of
    the lost holder's last renewal or gain.  If retired_by is set, that
    operator declared the holder ended, regardless of its lease.
    """

    holder: str
    expected_renewal: int
    receiver: str
    retired_by: str = ''


@attrs.frozen(kw_only=True)
class SharesClosed:
    """A holder has stopped permanently; its remaining units are free."""

    holder: str
    epoch: int


@attrs.frozen(kw_only=True)
class SnapshotHolder:
    """One holder in a snapshot; units holds (slot, unit count) pairs."""

    holder: str
    instance: str
    data_centre: str
    address: str
    epoch: int
    serial: int
    renewal: int
    closed: bool
    units: tuple[tuple[int, int], ...]


@attrs.frozen(kw_only=True)
class SharesSnapshot:
    """The whole share ledger from all records before next_offset."""

    next_offset: int
    holders: tuple[SnapshotHolder, ...]


# --- Peer messages: rate and burst --------------------------------------


@attrs.frozen(kw_only=True)
class ReadShares:
    """Asks a peer for the share ledger, as a SharesSnapshot."""


@attrs.frozen(kw_only=True)
class BorrowTokens:
    """Asks a holder for rate-limit tokens of a client account.

    need covers requests that are waiting and extra the expected demand,
    both in thousandths of a token.  loan is the borrower's number for the
    loan.
    """

    loan: int
    account: str
    need: int
    extra: int = 0


@attrs.frozen(kw_only=True)
class TokensLent:
    """Replies to BorrowTokens, in thousandths of a token.

    left is what the holder still has; it is negative if the holder has
    lent its part of the rate to another.
    """

    loan: int
    tokens: int
    left: int


@attrs.frozen(kw_only=True)
class TokensReturned:
    """Ends a loan; tokens is the unspent remainder in thousandths."""

    loan: int
    tokens: int = 0


@attrs.frozen(kw_only=True)
class BorrowPart:
    """An account's home asks to borrow a holder's whole part of its rate.

    holder is the home's incarnation, since tokens of an earlier
    incarnation may still be on loan.
    """

    loan: int
    account: str
    holder: str


@attrs.frozen(kw_only=True)
class PartLent:
    """Replies to BorrowPart with units and their accumulated tokens.

    blocked is how many tokens the lender has on loan to others.  tokens
    and blocked are in thousandths.
    """

    loan: int
    units: int
    tokens: int
    blocked: int


# --- Peer messages: membership ------------------------------------------


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """A member's state in one incarnation, as known to the sender."""

    name: str
    incarnation: int
    state: int


@attrs.frozen(kw_only=True)
class Probe:
    """Asks a member whether it is alive.

    target is set in an indirect probe: the receiver is asked to probe the
    member of that name.
    """

    serial: int
    updates: tuple[MemberUpdate, ...] = ()
    target: str = ''


@attrs.frozen(kw_only=True)
class ProbeAnswer:
    """Replies to a probe, on behalf of target for an indirect one."""

    serial: int
    updates: tuple[MemberUpdate, ...] = ()
    target: str = ''


Message: typing.TypeAlias = typing.Any

KINDS: typing.Final[dict[int, type]] = {
    1: ConfigChange,
    2: ConfigSnapshot,
    10: ShardOpened,
    11: ShardsRenewed,
    12: ShardTaken,
    13: ShardReleased,
    14: ShardClosed,
    15: DataCentreDown,
    20: ProgramCreated,
    21: CallIntended,
    22: CallFinished,
    23: ProgramEnded,
    24: Batch,
    25: UpstreamUsed,
    26: ShardRecords,
    27: ShardFenced,
    40: CreateProgram,
    41: ProgramStarted,
    42: EndProgram,
    43: SuccessReply,
    44: ErrorReply,
    45: BeginCall,
    46: CallGranted,
    47: CallReplayed,
    48: EndCall,
    49: CallPlaced,
    50: PromiseRequest,
    51: LeasePromise,
    52: CopyRecords,
    60: SlotRequest,
    61: SlotGranted,
    62: SlotRefused,
    63: SlotReleased,
    64: Ping,
    100: ReadConfig,
    101: ConfigRecords,
    102: ConfigState,
    103: KeysWithdrawn,
    80: SharesRenewed,
    81: SharesMoved,
    82: SharesReclaimed,
    83: SharesClosed,
    84: SharesSnapshot,
    85: BorrowTokens,
    86: TokensLent,
    87: TokensReturned,
    88: BorrowPart,
    89: PartLent,
    90: Probe,
    91: ProbeAnswer,
    92: ReadShares,
}
