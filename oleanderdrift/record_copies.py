"""Copies of records that are not in the log yet, held by other instances.

While the log does not answer, an answer that adds to a program's history
is passed on only once other instances have copies of the shard's waiting
records.  Each of them appends its copies as the shard's holder would have
done.  For a shard that the log names, every possible successor must have
them, and a successor does not claim the shard before its copies are in
the log; so they precede the fence of any takeover.  For a private shard,
which nobody can take over, one other instance is enough.
"""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import group_commit
from oleanderdrift import lease_promises
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import ownership

# A copy on a second instance bridges the death of the first.
PRIVATE_COPIES: typing.Final = 2

Ask: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], collections.abc.Awaitable[messages.Message]
]
Neighbours: typing.TypeAlias = collections.abc.Callable[[str], list[str]]


@attrs.frozen(kw_only=True)
class _Keeper:
    """An instance that can keep copies; home is '' for a private shard."""

    instance: str
    home: str


@attrs.define(kw_only=True)
class Copier:
    """Copies the waiting records of one instance to others.

    ask sends a request to the named instance.  neighbours returns the
    names of the other live instances of the data centre, best first for
    the given shard.
    """

    commit: group_commit.GroupCommit
    fleet: ownership.FleetView
    ask: Ask
    neighbours: Neighbours
    timeout_s: float
    copying: dict[tuple[str, _Keeper], asyncio.Task[None]] = attrs.field(
        factory=dict
    )


async def protect(copier: Copier, shard: str) -> bool:
    """Returns whether the shard's records outlast this instance's death.

    They do if they are in the log or copied to all that may hold the shard
    next.  The result holds until the caller awaits again.
    """
    entries = _waiting(copier, shard)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + copier.timeout_s
    copying = {
        _copying(copier, shard, keeper) for keeper in _keepers(copier, shard)
    }
    while copying and not _is_protected(copier, shard, entries):
        left_s = deadline - loop.time()
        if left_s <= 0:
            return False
        _done, copying = await asyncio.wait(
            copying, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
    return _is_protected(copier, shard, entries)


def _copying(
    copier: Copier, shard: str, keeper: _Keeper
) -> asyncio.Task[None]:
    """Returns the one task that sends a shard's records to a keeper."""
    key = (shard, keeper)
    task = copier.copying.get(key)
    if task is None or task.done():
        work = _copy(copier, shard, keeper)
        task = asyncio.get_running_loop().create_task(work)
        copier.copying[key] = task
        task.add_done_callback(lambda done: _forget(copier, key, done))
    return task


def _forget(
    copier: Copier, key: tuple[str, _Keeper], done: asyncio.Task[None]
) -> None:
    if copier.copying.get(key) is done:
        del copier.copying[key]


def _waiting(copier: Copier, shard: str) -> list[group_commit.Entry]:
    return [entry for entry in copier.commit.entries if entry.shard == shard]


def _keepers(copier: Copier, shard: str) -> list[_Keeper]:
    fleet = copier.fleet
    if shard not in fleet.own:
        return []
    if ownership.is_private(fleet, shard):
        return [
            _Keeper(instance=name, home='')
            for name in copier.neighbours(shard)[:PRIVATE_COPIES]
        ]
    return [
        _Keeper(instance=fleet.shards[home].opener, home=home)
        for home in sorted(ownership.own_successors(fleet, shard))
    ]


async def _copy(copier: Copier, shard: str, keeper: _Keeper) -> None:
    """Sends a keeper the records that it lacks, in their order."""
    while batch := group_commit.first_batch(
        [
            entry
            for entry in _waiting(copier, shard)
            if keeper not in entry.keepers
        ]
    ):
        request = messages.CopyRecords(
            shard=shard,
            home=keeper.home,
            epoch=batch[0].epoch,
            records=tuple(entry.data for entry in batch),
        )
        try:
            await copier.ask(keeper.instance, request)
        except errors.ResultError as error:
            logs.info(
                'copy-refused',
                instance=keeper.instance,
                code=error.code.number,
            )
            return
        for entry in batch:
            entry.keepers.add(keeper)


def _is_protected(
    copier: Copier, shard: str, entries: list[group_commit.Entry]
) -> bool:
    left = [entry for entry in entries if not entry.durable.done()]
    if not left:
        return True
    fleet = copier.fleet
    if shard not in fleet.own:
        return False
    kept = set.intersection(*(entry.keepers for entry in left))
    if ownership.is_private(fleet, shard):
        return bool(kept)
    homes = ownership.own_successors(fleet, shard)
    if not homes or not homes <= {keeper.home for keeper in kept}:
        return False
    # A renewal might name successors without copies.
    ownership.note_unrecorded(fleet)
    return True


def keep(
    fleet: ownership.FleetView,
    commit: group_commit.GroupCommit,
    message: messages.CopyRecords,
) -> messages.SuccessReply:
    """Keeps a peer's records until they are in the log.

    Raises ResultError(OWNER_UNAVAILABLE) if this instance may already be
    taking over their shard.
    """
    if message.home and not lease_promises.may_wait(
        fleet, message.shard, message.home
    ):
        raise errors.ResultError(
            codes.OWNER_UNAVAILABLE, 'the shard may be taken over'
        )
    for data in message.records:
        commit.add_encoded(message.shard, message.epoch, data)
    return messages.SuccessReply()
