"""Tests of copies of records that wait for the log."""

import asyncio
import random
import time
import typing

import attrs
import pytest

from oleanderdrift import blackboard
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import group_commit
from oleanderdrift import held_shards
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import owner as owner_lib
from oleanderdrift import ownership
from oleanderdrift import record_copies
from oleanderdrift import settings as settings_lib
from oleanderdrift import shard_manager
from oleanderdrift import share_state
from tests import test_programs
from tests import virtual_time

LEASE_S: typing.Final = 60.0
TIMEOUT_S: typing.Final = 1.0
OUTAGE_S: typing.Final = 5.0
TOLD: typing.Final = b'["told"]'


@attrs.define(kw_only=True)
class Log:
    """A log that takes no records while it is away."""

    away: bool = False
    hangs: bool = False
    records: list[messages.Message] = attrs.field(factory=list)

    async def append(self, data: bytes) -> int:
        """Appends a record, or fails at once or after a time-out."""
        if self.away and self.hangs:
            await asyncio.sleep(TIMEOUT_S)
        if self.away:
            raise errors.ResultError(codes.LOG_UNAVAILABLE)
        self.records.append(codec.decode(data))
        return len(self.records)


@attrs.define(kw_only=True)
class World:
    """The instances of a data centre with their fleet stream."""

    log: Log = attrs.field(factory=Log)
    fleet_stream: list[messages.Message] = attrs.field(factory=list)
    instances: dict[str, 'Instance'] = attrs.field(factory=dict)
    cut_off: set[str] = attrs.field(factory=set)

    async def ask(
        self, name: str, message: messages.Message
    ) -> messages.Message:
        """Passes a request to an instance."""
        await asyncio.sleep(0)
        if name in self.cut_off:
            raise errors.ResultError(codes.PEER_UNREACHABLE, name)
        instance = self.instances[name]
        assert isinstance(message, messages.CopyRecords)
        fleet = instance.owner.shard_manager.fleet
        return record_copies.keep(fleet, instance.owner.commit, message)

    def start(self, *names: str) -> None:
        """Starts instances, each with a private shard."""
        for name in names:
            self.instances[name] = make_instance(self, name)

    def publish(self) -> None:
        """Opens and renews every instance's shard in the fleet stream."""
        managers = [one.owner.shard_manager for one in self.instances.values()]
        now = time.monotonic()
        self.read()
        for manager in managers:
            shard = manager.current_shard
            self.fleet_stream.append(
                ownership.opening_record(manager.fleet, now, shard)
            )
        self.read()
        for manager in managers:
            self.fleet_stream.append(
                ownership.next_renewal(manager.fleet, now)
            )
        self.read()

    def read(self) -> None:
        """Lets every instance read the fleet stream to its end."""
        for instance in self.instances.values():
            manager = instance.owner.shard_manager
            start = manager.fleet.next_offset
            for offset, record in enumerate(self.fleet_stream, 1):
                if offset >= start:
                    shard_manager.on_fleet_record(
                        manager, time.monotonic(), offset, record
                    )

    def histories(self, program: str) -> list[bytes]:
        """Returns what a successor reads of a program's history."""
        shard = ledger_lib.shard_of(program)
        ledger = held_shards.replay(self.log.records, [shard])
        found = ledger_lib.find(ledger, program)
        return [found.history_digest] if found else []


@attrs.define(kw_only=True)
class Instance:
    """An owner whose group commit runs until it is killed."""

    owner: owner_lib.Owner
    task: asyncio.Task[None]


def make_instance(world: World, name: str) -> Instance:
    settings = settings_lib.Settings(
        instance=settings_lib.Instance(
            name=name,
            data_centre='dc',
            address='127.0.0.1',
            http_port=1,
            peer_port=2,
        ),
        platform=settings_lib.Platform(
            log_url='http://127.0.0.1:1',
            list_url='http://127.0.0.1:1',
            timeout_s=TIMEOUT_S,
        ),
    )
    board = blackboard.Board(
        settings=settings,
        members=membership.Members(
            this=membership.Member(
                name=name,
                data_centre='dc',
                address='127.0.0.1',
                http_port=1,
                peer_port=2,
            )
        ),
        shares=share_state.new(
            instance=name,
            data_centre='dc',
            address='127.0.0.1:2',
            incarnation='1',
            rng=random.Random(name),
        ),
        config=model.Config(
            classes={test_programs.CLASS.name: test_programs.CLASS}
        ),
    )
    manager = shard_manager.make(
        instance=name,
        data_centre='dc',
        lease_s=LEASE_S,
        unix_s=time.time(),
        rng=random.Random(name),
        ledger=board.ledger,
    )
    manager.fleet.next_offset = 1
    commit = group_commit.GroupCommit(append=world.log.append, interval_s=0.0)
    owner = owner_lib.Owner(
        board=board,
        commit=commit,
        release=lambda release: None,
        shard_manager=manager,
        copier=record_copies.Copier(
            commit=commit,
            fleet=manager.fleet,
            ask=world.ask,
            neighbours=lambda shard: [
                other for other in world.instances if other != name
            ],
            timeout_s=TIMEOUT_S,
        ),
    )
    task = asyncio.get_running_loop().create_task(commit.run())
    return Instance(owner=owner, task=task)


async def begin_program(owner: owner_lib.Owner) -> messages.BeginCall:
    """Starts a program; returns the message that begins its first call."""
    started = await owner_lib.handle(owner, 'x', test_programs.CREATE)
    assert isinstance(started, messages.ProgramStarted)
    return attrs.evolve(test_programs.BEGIN, program=started.program)


async def end_first_call(
    owner: owner_lib.Owner, call: messages.BeginCall
) -> messages.Message:
    """Makes a call that adds to the history; returns the reply to its end."""
    granted = await owner_lib.handle(owner, 'x', call)
    assert isinstance(granted, messages.CallGranted)
    return await owner_lib.handle(owner, 'x', end_of(granted))


def end_of(
    granted: messages.CallGranted | messages.BeginCall,
) -> messages.EndCall:
    return attrs.evolve(
        test_programs.END,
        program=granted.program,
        fencing_token=getattr(granted, 'fencing_token', 0),
        history=TOLD,
        history_digest=b'told',
    )


@pytest.mark.parametrize('hangs', [False, True])
@pytest.mark.parametrize('published', [False, True])
def test_end_acknowledged_in_an_outage_survives_its_owner(
    published: bool, hangs: bool
) -> None:
    async def scenario() -> list[bytes]:
        world = World()
        world.start('a', 'b', 'c')
        if published:
            world.publish()
        world.log.away, world.log.hangs = True, hangs
        killed = world.instances['a']
        call = await begin_program(killed.owner)
        reply = await end_first_call(killed.owner, call)
        assert reply == messages.SuccessReply()
        killed.task.cancel()
        world.log.away = False
        await asyncio.sleep(OUTAGE_S)
        return world.histories(call.program)

    assert virtual_time.run(scenario()) == [b'told']


@pytest.mark.parametrize('hangs', [False, True])
@pytest.mark.parametrize(
    ('published', 'cut_off'), [(False, 'bc'), (True, 'c'), (True, 'bc')]
)
def test_history_that_only_its_owner_has_is_not_acknowledged(
    published: bool, cut_off: str, hangs: bool
) -> None:
    async def scenario() -> None:
        world = World()
        world.start('a', 'b', 'c')
        if published:
            world.publish()
        world.cut_off.update(cut_off)
        world.log.away, world.log.hangs = True, hangs
        owner = world.instances['a'].owner
        call = await begin_program(owner)
        attempts: list[typing.Any] = [
            lambda: end_first_call(owner, call),
            # The repeats of the end and of the call tell it as well.
            lambda: owner_lib.handle(owner, 'x', end_of(call)),
            lambda: owner_lib.handle(owner, 'x', call),
        ]
        for attempt in attempts:
            with pytest.raises(errors.ResultError) as caught:
                await attempt()
            assert caught.value.code is codes.OUTCOME_UNAVAILABLE
        world.log.away = False
        await asyncio.sleep(OUTAGE_S)
        for attempt in attempts[1:]:
            assert not isinstance(await attempt(), messages.ErrorReply)

    virtual_time.run(scenario())


def test_shard_is_not_claimed_before_its_copies_are_in_the_log() -> None:
    async def scenario() -> None:
        world = World()
        world.start('a', 'b')
        world.publish()
        shard = world.instances['a'].owner.shard_manager.current_shard
        manager = world.instances['b'].owner.shard_manager
        later = time.monotonic() + 2 * LEASE_S

        def claims(copied: set[str]) -> list[shard_manager.Action]:
            actions = shard_manager.step(
                manager, later, log_answers=True, durable=True, copied=copied
            )
            return [
                action
                for action in actions
                if isinstance(action, shard_manager.AppendFleet)
                and isinstance(action.record, messages.ShardTaken)
            ]

        assert not claims({shard})
        assert claims(set())
        # What would come too late for the claim is not taken.
        with pytest.raises(errors.ResultError):
            record_copies.keep(
                manager.fleet,
                world.instances['b'].owner.commit,
                messages.CopyRecords(
                    shard=shard,
                    home=manager.fleet.home,
                    epoch=1,
                    records=(),
                ),
            )

    virtual_time.run(scenario())


def test_no_lease_is_renewed_while_only_copies_keep_its_history() -> None:
    """A renewal may name successors that have no copies."""

    async def scenario() -> None:
        world = World()
        world.start('a', 'b')
        world.publish()
        world.log.away = True
        owner = world.instances['a'].owner
        await end_first_call(owner, await begin_program(owner))
        fleet = owner.shard_manager.fleet
        soon = time.monotonic() + LEASE_S / 2
        assert not ownership.renewal_due(fleet, soon)
        ownership.note_recorded(fleet)
        assert ownership.renewal_due(fleet, soon)

    virtual_time.run(scenario())
