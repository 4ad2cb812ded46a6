"""The central list of typed messages: log records and peer messages.

Every message is a frozen attrs class with a fixed kind number, listed in
KINDS.  codec turns them into bytes and back.  Numbers are never reused.
"""

import typing

import attrs

from oleanderdrift import codes

# --- Records of the `config` stream -------------------------------------

ANY_VERSION: typing.Final = -1


@attrs.frozen(kw_only=True)
class ConfigChange:
    """A change of one object that an operator asks for.

    expected_version is the offset of the change this one replaces, 0 for
    an object that must not exist, or ANY_VERSION.  body is the object as
    JSON, or None to delete it.
    """

    change_id: str
    kind: str
    name: str
    expected_version: int
    body: bytes | None
    author: str = ''


@attrs.frozen(kw_only=True)
class ConfigSnapshot:
    """The whole configuration as folded up to (not with) an offset.

    recent carries the verdicts of the latest changes, oldest first, so
    that a reader who starts here knows a repeated change as well.  With
    restores, an operator replaces whatever was in force before.
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
    """The verdict of one recent change; code is a result code's number."""

    change_id: str
    code: int
    detail: str
    version: int


# --- Records of the `fleet` stream --------------------------------------


@attrs.frozen(kw_only=True)
class ShardOpened:
    """An instance opens a new ownership shard under a lease.

    as_of is the next offset of this stream that the writer had to read.
    """

    shard: str
    instance: str
    data_centre: str
    lease_s: float
    as_of: int = 0


@attrs.frozen(kw_only=True)
class ShardsRenewed:
    """The holder renews its lease on the shards it owns.

    number grows with each renewal of an instance, over restarts too.
    checkpoint is the offset in the programs stream from which a successor
    has to read.
    """

    instance: str
    shards: tuple[str, ...]
    number: int = 0
    as_of: int = 0
    checkpoint: int = 0


@attrs.frozen(kw_only=True)
class ShardTaken:
    """Another instance takes a shard over from a lapsed epoch.

    The offset of this record is the shard's new epoch and fencing token.
    It is void where expected_epoch or expected_renewal (the offset that
    last extended the lease) is no longer the shard's.  home is the shard
    that the taker opened itself.  promised says that the taker promised
    the former holder more time, so that calls may have run unrecorded.
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
    """The holder gives a shard up; anyone may take it at once."""

    shard: str
    instance: str
    epoch: int


@attrs.frozen(kw_only=True)
class ShardClosed:
    """The holder of a shard without programs ends it for good."""

    shard: str
    instance: str
    epoch: int


@attrs.frozen(kw_only=True)
class DataCentreDown:
    """An operator states that no instance of a data centre runs.

    Its shards may then be taken over at once by whoever starts there.
    """

    data_centre: str
    author: str


# --- Records of the `programs.<data centre>` streams --------------------


@attrs.frozen(kw_only=True)
class ProgramCreated:
    """A program begins, with its budget and its Unix time of creation."""

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
    """A call ended; history is the JSON of the messages it added.

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
    """A program ended, with the code of the reason."""

    program: str
    code: int
    ended_at: float = 0.0


@attrs.frozen(kw_only=True)
class UpstreamUsed:
    """A program's prefix may be held on an upstream from now on."""

    program: str
    upstream: str


@attrs.frozen(kw_only=True)
class ShardRecords:
    """Encoded records of one shard, written by its holder of an epoch."""

    shard: str
    epoch: int
    records: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class ShardFenced:
    """Voids what older epochs of the shard append after this record."""

    shard: str
    epoch: int


@attrs.frozen(kw_only=True)
class Batch:
    """Several encoded records of one group commit."""

    records: tuple[bytes, ...]


# --- Peer messages: programs --------------------------------------------


@attrs.frozen(kw_only=True)
class CreateProgram:
    """Asks a shard's owner for a new program (a sub-agent has a parent)."""

    client_account: str
    class_name: str
    parent: str = ''


@attrs.frozen(kw_only=True)
class ProgramStarted:
    """A new program's id."""

    program: str


@attrs.frozen(kw_only=True)
class EndProgram:
    """The caller declares a program finished."""

    program: str
    client_account: str


@attrs.frozen(kw_only=True)
class Done:
    """An answer that carries nothing but success."""


@attrs.frozen(kw_only=True)
class Ping:
    """Asks whether a peer still runs; it is answered at once."""


@attrs.frozen(kw_only=True)
class Failed:
    """An answer that carries a result code."""

    code: int
    detail: str
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class BeginCall:
    """Asks the owner to admit a call before it is dispatched.

    call is the call's place in the program from 1, or 0 for the next
    one.  prefix_digest is the digest of the history that the caller
    sent, empty where it sent none.
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

    slack_s is the time left to the program's target, attained_s the
    service it has had; history holds the offsets of its history records
    in the programs stream of data_centre.
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
    """The call ran before; this is its recorded answer."""

    program: str
    call: int
    attempt: int
    status: int
    content_type: str
    answer: bytes


@attrs.frozen(kw_only=True)
class EndCall:
    """Reports the outcome of an admitted attempt to the owner.

    fencing_token is the one that the attempt was granted with.
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
    """Tells the owner which upstream an attempt is about to be sent to."""

    program: str
    call: int
    attempt: int
    fencing_token: int
    upstream: str


@attrs.frozen(kw_only=True)
class PromiseRequest:
    """Asks a possible successor not to take a shard for some time.

    home is the shard by which the peer could take it.  Renewals after
    last_renewal are sent only once every record is durable.
    """

    shard: str
    home: str
    number: int
    last_renewal: int


@attrs.frozen(kw_only=True)
class LeasePromise:
    """The peer does not take the shard for promise_s from now on."""

    shard: str
    home: str
    number: int
    promise_s: float


# --- Peer messages: slots on upstreams ----------------------------------


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Asks a dispatch group's home for a slot on one of its upstreams.

    service is a model's or tool's name.  prefix holds chained digests of
    the prompt's blocks, the longest last.  program_age_s is the time since
    the program began: with it the deadline follows a changed class target;
    without it slack_s is taken as it was sent.
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
    """A slot on an upstream; it is held until released."""

    call_id: str
    upstream: str


@attrs.frozen(kw_only=True)
class SlotRefused:
    """No slot can be given in time."""

    call_id: str
    code: int
    retry_after_s: float


@attrs.frozen(kw_only=True)
class SlotReleased:
    """Gives a slot back with what was seen on it.

    failed means that the upstream, not the caller, broke the call off.
    cached_tokens is what the engine said of the prompt's cached part, or
    None where it said nothing.
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
    """Asks a peer for the configuration records from an offset on.

    withdrawn holds the SHA-256 of the keys that operators withdrew
    directly at an instance; every exchange carries them both ways.
    """

    next_offset: int
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigRecord:
    """A record of the `config` stream as the log holds it."""

    offset: int
    time_ms: int
    data: bytes


@attrs.frozen(kw_only=True)
class ConfigRecords:
    """The records asked for, up to the answering peer's next_offset.

    age_s is the time since the peer knew itself complete, None if never.
    """

    next_offset: int
    records: tuple[ConfigRecord, ...]
    age_s: float | None
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigState:
    """The whole configuration, for who is too far behind for records."""

    snapshot: ConfigSnapshot
    age_s: float | None
    withdrawn: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class KeysWithdrawn:
    """Tells a peer at once of keys withdrawn directly."""

    withdrawn: tuple[str, ...]


# --- Records of the `shares` stream -------------------------------------


@attrs.frozen(kw_only=True)
class SharesRenewed:
    """A holder opens or renews its lease on the share units it holds.

    holder names one incarnation of an instance; sent numbers its renewals.
    The first record of the stream gives its holder all units.
    """

    holder: str
    instance: str
    data_centre: str
    address: str
    sent: int


@attrs.frozen(kw_only=True)
class UnitsMoved:
    """One part of SharesMoved: units of a slot for another holder."""

    receiver: str
    slot: int
    units: int


@attrs.frozen(kw_only=True)
class SharesMoved:
    """A donor, which has stopped using the units, gives them away.

    epoch is the offset of the record that opened the donor and serial
    numbers its moves, so that a repeated append has no effect.
    """

    donor: str
    epoch: int
    serial: int
    moves: tuple[UnitsMoved, ...]


@attrs.frozen(kw_only=True)
class SharesReclaimed:
    """Gives all units of a holder that is gone to another holder.

    It is void where expected_renewal is no longer the offset of the lost
    holder's last renewal or gain.  A retired holder was declared ended by
    the operator named, whatever its lease.
    """

    holder: str
    expected_renewal: int
    receiver: str
    retired_by: str = ''


@attrs.frozen(kw_only=True)
class SharesClosed:
    """A holder has stopped for good; what units it has are free."""

    holder: str
    epoch: int


@attrs.frozen(kw_only=True)
class SnapshotHolder:
    """One holder of a snapshot; units pairs its slots with their units."""

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
    """The whole share ledger as folded up to (not with) an offset."""

    next_offset: int
    holders: tuple[SnapshotHolder, ...]


# --- Peer messages: rate and burst --------------------------------------


@attrs.frozen(kw_only=True)
class ReadShares:
    """Asks a peer for the ledger of units, as a SharesSnapshot."""


@attrs.frozen(kw_only=True)
class BorrowTokens:
    """Asks a holder for thousandths of tokens of a client account.

    need is for requests that wait; extra is for demand to come.  loan is
    the borrower's number for the loan.
    """

    loan: int
    account: str
    need: int
    extra: int = 0


@attrs.frozen(kw_only=True)
class TokensLent:
    """Answers BorrowTokens, in thousandths; left is what remains.

    It is below zero where the holder has lent its part to another.
    """

    loan: int
    tokens: int
    left: int


@attrs.frozen(kw_only=True)
class TokensReturned:
    """Ends a loan; tokens is the unspent rest in thousandths."""

    loan: int
    tokens: int = 0


@attrs.frozen(kw_only=True)
class BorrowPart:
    """An account's home asks a holder for its whole part for a while.

    holder is the home's incarnation, as tokens of an earlier one may
    still be out.
    """

    loan: int
    account: str
    holder: str


@attrs.frozen(kw_only=True)
class PartLent:
    """Answers BorrowPart with units and the tokens they had gained.

    blocked is how many tokens the lender has out on loans of its own.
    Both are in thousandths.
    """

    loan: int
    units: int
    tokens: int
    blocked: int


# --- Peer messages: membership ------------------------------------------


@attrs.frozen(kw_only=True)
class MemberUpdate:
    """What a peer knows of a member: its state in one incarnation."""

    name: str
    incarnation: int
    state: int


@attrs.frozen(kw_only=True)
class Probe:
    """Asks a member whether it is alive.

    target names the member meant where a third one is asked to probe it.
    """

    serial: int
    updates: tuple[MemberUpdate, ...] = ()
    target: str = ''


@attrs.frozen(kw_only=True)
class ProbeAnswer:
    """Answers a probe, in the target's name where one was named."""

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
    43: Done,
    44: Failed,
    45: BeginCall,
    46: CallGranted,
    47: CallReplayed,
    48: EndCall,
    49: CallPlaced,
    50: PromiseRequest,
    51: LeasePromise,
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
