"""Decides which shards an instance serves and what it does to hold them.

Combines `ownership` (leases, monotonic time) with the ledger of programs.
`step` returns the actions that the adapter has to perform; the adapter
passes in the records and replies that it receives.  A shard that was
taken over is served once its records have been replayed up to the fence.
"""

import collections.abc
import math
import random
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import fleet_records
from oleanderdrift import held_shards
from oleanderdrift import lease_promises
from oleanderdrift import messages
from oleanderdrift import ownership
from oleanderdrift import takeovers

RESEND_S: typing.Final = 1.0
RETRY_AFTER_S: typing.Final = 1.0
SHARD_BITS: typing.Final = 32
MS_PER_S: typing.Final = 1_000


@attrs.frozen(kw_only=True)
class AppendFleet:
    """Append a record to the fleet stream."""

    record: messages.Message


@attrs.frozen(kw_only=True)
class AskPromise:
    """Ask an instance to wait, and feed a LeasePromise to on_promise."""

    instance: str
    request: messages.PromiseRequest


@attrs.frozen(kw_only=True)
class TakeOver:
    """Append the fence, read up to it, and call finish_takeover.

    Reading starts at the checkpoint, an offset in the programs stream of
    the data centre; 0 stands for the oldest record that the log retains.
    """

    shard: str
    fence: messages.ShardFenced
    checkpoint: int


Action: typing.TypeAlias = AppendFleet | AskPromise | TakeOver


@attrs.define(kw_only=True)
class ShardManager:
    """The shards of one instance.

    current_shard is the shard in which new programs start.  taking_over
    holds the epochs of shards that are held but not replayed yet.
    """

    fleet: ownership.FleetView
    ledger: decisions.Ledger
    random: random.Random
    current_shard: str = ''
    taking_over: dict[str, int] = attrs.field(factory=dict)
    started_takeovers: set[str] = attrs.field(factory=set)
    last_sent: dict[str, float] = attrs.field(factory=dict)


def make(
    *,
    instance: str,
    data_centre: str,
    lease_s: float,
    unix_s: float,
    rng: random.Random,
    ledger: decisions.Ledger,
) -> ShardManager:
    """Returns a manager with a private shard; unix_s is Unix time."""
    fleet = ownership.FleetView(
        instance=instance,
        data_centre=data_centre,
        lease_s=lease_s,
        last_renewal_number=int(unix_s * MS_PER_S),
    )
    manager = ShardManager(fleet=fleet, ledger=ledger, random=rng)
    _open_private_shard(manager)
    return manager


def _open_private_shard(manager: ShardManager) -> None:
    name = f'{manager.random.getrandbits(SHARD_BITS):08x}'
    manager.current_shard = f'{manager.fleet.instance}-{name}'
    ownership.open_private(manager.fleet, manager.current_shard)
    held_shards.hold_shard(manager.ledger, manager.current_shard)


def shard_for_new_program(manager: ShardManager, now: float) -> str:
    """Returns the shard for a new program.

    If the lease of the current shard may have ended, a new private shard
    is opened, so that programs can start throughout an outage of the log.
    """
    if not ownership.may_serve(manager.fleet, now, manager.current_shard):
        _open_private_shard(manager)
    return manager.current_shard


def holder_of(manager: ShardManager, shard: str) -> str:
    """Returns the instance that handles requests for a shard.

    A shard that is not in the log is held by the instance that it is
    named after.  Raises ResultError(OWNER_UNAVAILABLE) if the shard has
    no holder now.
    """
    fleet = manager.fleet
    if shard in fleet.own:
        return fleet.instance
    if shard not in fleet.shards:
        return shard.rpartition('-')[0]
    holder = ownership.holder(fleet, shard)
    if holder is None:
        raise _unavailable('the shard has no holder')
    return holder.instance


def epoch_of(manager: ShardManager, now: float, shard: str) -> int:
    """Returns the epoch under which a shard may be served now.

    Raises ResultError(OWNER_UNAVAILABLE) if it may not be served.
    """
    if shard in manager.taking_over:
        raise _unavailable('the shard is being taken over')
    if shard not in manager.ledger.shards:
        raise _unavailable('the shard is not held by this instance')
    if not ownership.may_serve(manager.fleet, now, shard):
        raise _unavailable('the lease of the shard has expired')
    return manager.ledger.shards[shard].epoch


def _unavailable(detail: str) -> errors.ResultError:
    return errors.ResultError(
        codes.OWNER_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S
    )


def served_shards(manager: ShardManager, now: float) -> set[str]:
    """Returns the shards that may be served now."""
    return {
        shard
        for shard in manager.ledger.shards
        if shard not in manager.taking_over
        and ownership.may_serve(manager.fleet, now, shard)
    }


def on_fleet_record(
    manager: ShardManager, now: float, offset: int, record: messages.Message
) -> None:
    """Applies a record of the fleet stream and updates the held shards."""
    fleet = manager.fleet
    fleet_records.apply(fleet, now, offset, record)
    for shard in list(manager.ledger.shards):
        if shard not in fleet.own:
            held_shards.drop_shard(manager.ledger, shard)
    for shard in list(manager.taking_over):
        if shard not in fleet.own:
            _forget_takeover(manager, shard)
    for shard in fleet.own:
        epoch = ownership.epoch(fleet, shard)
        if shard in manager.ledger.shards:
            held_shards.hold_shard(manager.ledger, shard, epoch)
        elif manager.taking_over.get(shard) != epoch:
            _forget_takeover(manager, shard)
            manager.taking_over[shard] = epoch


def _forget_takeover(manager: ShardManager, shard: str) -> None:
    manager.taking_over.pop(shard, None)
    manager.started_takeovers.discard(shard)


def step(
    manager: ShardManager,
    now: float,
    *,
    log_answers: bool,
    durable: bool,
    copied: collections.abc.Set[str] = frozenset(),
) -> list[Action]:
    """Returns the actions that are due; call it a few times a second.

    log_answers says that the log has answered recently, durable that
    every record of the ledger so far is in the log.  copied are the shards
    of which records wait for the log here; they are not claimed before.
    """
    fleet = manager.fleet
    if durable:
        ownership.note_recorded(fleet)
    if not fleet.home:
        _open_private_shard(manager)
    actions: list[Action] = []
    if log_answers:
        actions += _openings(manager, now, durable=durable)
        if durable:
            actions += _closings(manager, now)
        actions += _claims(manager, now, copied)
        actions += _takeovers(manager)
    if ownership.renewal_due(fleet, now):
        actions.append(AppendFleet(record=ownership.next_renewal(fleet, now)))
    for shard in list(fleet.own):
        if lease_promises.promises_due(fleet, now, shard):
            actions += [
                AskPromise(instance=instance, request=request)
                for instance, request in lease_promises.promise_requests(
                    fleet, now, shard
                )
            ]
    return actions


def _may_send(manager: ShardManager, now: float, name: str) -> bool:
    """Tells whether to send a record now, at most once per RESEND_S.

    If so, the time is noted as that of the last sending.
    """
    if now < manager.last_sent.get(name, -math.inf) + RESEND_S:
        return False
    manager.last_sent[name] = now
    return True


def _openings(
    manager: ShardManager, now: float, *, durable: bool
) -> list[AppendFleet]:
    actions = []
    for shard in manager.fleet.own:
        unread = shard not in manager.fleet.shards
        private = ownership.is_private(manager.fleet, shard)
        if not unread or (private and not durable):
            continue
        if _may_send(manager, now, f'open {shard}'):
            held_shards.publish_shard(manager.ledger, shard)
            record = ownership.opening_record(manager.fleet, now, shard)
            actions.append(AppendFleet(record=record))
    return actions


def _closings(manager: ShardManager, now: float) -> list[AppendFleet]:
    actions = []
    for shard in sorted(served_shards(manager, now)):
        kept = shard in (manager.current_shard, manager.fleet.home)
        if kept or manager.ledger.shards[shard].programs:
            continue
        record = ownership.close(manager.fleet, shard)
        held_shards.drop_shard(manager.ledger, shard)
        if record is not None:
            actions.append(AppendFleet(record=record))
    return actions


def _claims(
    manager: ShardManager, now: float, copied: collections.abc.Set[str]
) -> list[AppendFleet]:
    return [
        AppendFleet(record=takeovers.claim_record(manager.fleet, now, shard))
        for shard in takeovers.takeover_candidates(manager.fleet, now)
        if shard not in copied and _may_send(manager, now, f'take {shard}')
    ]


def _takeovers(manager: ShardManager) -> list[TakeOver]:
    actions = []
    for shard, epoch in manager.taking_over.items():
        if shard in manager.started_takeovers:
            continue
        manager.started_takeovers.add(shard)
        actions.append(
            TakeOver(
                shard=shard,
                fence=messages.ShardFenced(shard=shard, epoch=epoch),
                checkpoint=manager.fleet.shards[shard].checkpoint,
            )
        )
    return actions


def on_promise_request(
    manager: ShardManager, now: float, request: messages.PromiseRequest
) -> messages.Message:
    """Answers a peer that asks this instance to wait."""
    promise = lease_promises.give_promise(manager.fleet, now, request)
    if promise is None:
        raise _unavailable('promise to wait refused')
    return promise


def on_promise(manager: ShardManager, message: messages.LeasePromise) -> None:
    """Records a peer's promise."""
    lease_promises.accept_promise(manager.fleet, message)


def takeover_failed(manager: ShardManager, action: TakeOver) -> None:
    """Lets a takeover whose records could not be read start again."""
    if manager.taking_over.get(action.shard) == action.fence.epoch:
        manager.started_takeovers.discard(action.shard)


def finish_takeover(
    manager: ShardManager,
    unix_s: float,
    action: TakeOver,
    replayed: decisions.Ledger,
) -> decisions.Decision | None:
    """Starts serving a shard that was replayed up to its fence.

    Returns the records to append for it, or None if the shard was lost
    meanwhile.
    """
    shard, epoch = action.shard, action.fence.epoch
    if manager.taking_over.get(shard) != epoch:
        return None
    _forget_takeover(manager, shard)
    return held_shards.take_shard(
        manager.ledger,
        unix_s,
        shard,
        epoch,
        replayed,
        unrecorded=manager.fleet.shards[shard].unrecorded,
    )


def release_all(manager: ShardManager) -> list[messages.Message]:
    """Stops serving every shard, for a shutdown.

    All records must be durable before.  Returns the records that let
    peers take over the shards at once.
    """
    records: list[messages.Message] = []
    for shard in list(manager.fleet.own):
        record = ownership.release(manager.fleet, shard)
        held_shards.drop_shard(manager.ledger, shard)
        _forget_takeover(manager, shard)
        if record is not None:
            records.append(record)
    return records


def is_closed(manager: ShardManager, shard: str) -> bool:
    """Tells whether the shard was closed after its last program."""
    state = manager.fleet.shards.get(shard)
    return state is not None and state.closed
