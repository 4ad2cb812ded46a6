"""Registers this instance in the store and follows the other instances.

Each instance writes one record under its name.  The records are read once
and then followed, so that a fleet at rest costs the store little.
"""

import asyncio
import typing

from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import fleet_members
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import relays

# How long one read waits for a change.
WAIT_S: typing.Final = 10.0
# All instances start at once; their records are read together.
PAUSE_S: typing.Final = 0.5
RETRY_S: typing.Final = 2.0


class Directory:
    """The registered instances by name, including this one.

    changes counts the changes of instances.
    """

    def __init__(
        self,
        board: board_lib.Board,
        log: ports.Log,
        events: event_log.EventLog,
    ) -> None:
        settings = board.settings
        self.board = board
        self.log = log
        self.events = events
        self.own = relays.Instance(
            name=settings.instance,
            data_centre=settings.data_centre,
            address=settings.peer_listen,
            cores=settings.cores,
            tunnel_address=settings.tunnel_listen,
            grant_address=settings.grant_listen,
        )
        self.instances: dict[str, relays.Instance] = {}
        self.changes = 0
        # Set when the store has another record under this instance's name.
        self.overwritten = asyncio.Event()

    def others(self) -> list[relays.Instance]:
        """Returns the other instances."""
        return [
            one for one in self.instances.values() if one.name != self.own.name
        ]

    def own_record(self) -> bytes:
        """Returns this instance's record."""
        return records.encode_instance(
            records.InstanceRecord(
                peer_address=self.own.address,
                data_centre=self.own.data_centre,
                cores=self.own.cores,
                tunnel_address=self.own.tunnel_address,
                grant_address=self.own.grant_address,
            )
        )

    def is_own(self, value: bytes | None) -> bool:
        """Returns whether a record is that of this instance."""
        return value == self.own_record()

    async def register(self) -> None:
        """Writes this instance's record, retrying until it succeeds."""
        while True:
            try:
                await self.log.put(
                    records.INSTANCE_TOPIC, self.own.name, self.own_record()
                )
                return
            except errors.ResultError as error:
                self.events.info('registration-failed', detail=error.detail)
                await asyncio.sleep(RETRY_S)

    async def stay_registered(self) -> None:
        """Writes this instance's record; runs until cancelled.

        The store keeps the newest record of each name.  It is written again
        if a write of an earlier start takes effect late.
        """
        while True:
            await self.register()
            await self.overwritten.wait()
            self.overwritten.clear()
            await asyncio.sleep(RETRY_S)

    async def follow(self) -> None:
        """Applies the changes of all records until cancelled."""
        position: int | None = None
        while True:
            try:
                position = await self.read(position)
            except errors.ResultError as error:
                self.events.info('peer-discovery-failed', detail=error.detail)
                await asyncio.sleep(RETRY_S)
            else:
                await asyncio.sleep(PAUSE_S)

    async def read(self, position: int | None) -> int | None:
        """Reads and applies changes from a position, or all records.

        Returns the position to go on from; None if the store has dropped
        the records there.
        """
        as_of = clock.boot()
        if position is None:
            found = await self.log.newest(records.INSTANCE_TOPIC)
        else:
            wait_s = self.wait_s()
            changed = await self.log.read_keyed(
                records.INSTANCE_TOPIC, position, wait_s=wait_s
            )
            if changed is None:
                return None
            found = changed
            if not found.records:
                # There was no change until the poll timed out.
                as_of = min(as_of + wait_s, clock.boot())
        for record in found.records:
            self.apply(record)
        if found.is_last:
            self.board.cold_shares.members.note_read(
                self.instances, clock.monotonic(), as_of
            )
        return found.end

    def wait_s(self) -> float:
        """Returns how long one read waits for a change.

        Shares of cold upstreams need a directory that is seconds old.
        """
        services = self.board.services().values()
        if any(cold_shares.applies(one) for one in services):
            return fleet_members.POLL_S
        return WAIT_S

    def apply(self, record: ports.KeyedRecord) -> None:
        """Applies one record."""
        if record.key == self.own.name and not self.is_own(record.value):
            self.overwritten.set()
        if record.value is None:
            if self.instances.pop(record.key, None) is not None:
                self.changes += 1
            return
        decoded = records.decode_instance(record.value)
        if decoded is None:
            self.events.info('instance-unreadable', peer=record.key)
            return
        instance = relays.Instance(
            name=record.key,
            data_centre=decoded.data_centre,
            address=decoded.peer_address,
            cores=decoded.cores,
            tunnel_address=decoded.tunnel_address,
            grant_address=decoded.grant_address,
        )
        if self.instances.get(record.key) != instance:
            self.instances[record.key] = instance
            self.changes += 1
            self.events.info('peer-found', peer=record.key)
