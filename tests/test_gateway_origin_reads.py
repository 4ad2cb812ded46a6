"""Origins of streams are read over slow links beside other answers."""

import asyncio
import typing

import attrs

from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import link_share
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import stream_origins
from oleanderdrift.platform import codec
from tests import gateway_support
from tests import gateway_versions
from tests import slow_link
from tests import virtual_time

LINK_MBPS: typing.Final = 11.0
RECORDS: typing.Final = 1_500
STREAMS: typing.Final = origin_log.MAX_RECORD_STREAMS


@attrs.define(kw_only=True)
class WatchedLog(slow_link.SlowLog):
    """A log that notes the most bytes that were asked for at once."""

    asked: int = 0
    most_asked: int = 0

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Returns the records from start on that fit."""
        self.asked += max_bytes
        self.most_asked = max(self.most_asked, self.asked)
        try:
            return await super().read(
                topic, partition, start, wait_s=wait_s, max_bytes=max_bytes
            )
        finally:
            self.asked -= max_bytes


def store_streams(log: WatchedLog) -> None:
    """Stores the streams that a large fleet begins in a minute."""
    for partition in origin_log.PARTITIONS:
        stored = log.data[records.STREAM_TOPIC, partition]
        for number in range(RECORDS):
            first = (partition * RECORDS + number) * STREAMS
            record = records.StreamsBegun(
                service='guide',
                version='v2',
                streams=[
                    stream_origins.stream_key(f's{first + place}')
                    for place in range(STREAMS)
                ],
            )
            stored.append(records.encode(record))


def make_origins(log: WatchedLog) -> origin_log.OriginLog:
    """Returns the origins of an instance that has just started."""
    board = gateway_support.board()
    board.settings = attrs.evolve(board.settings, link_mbps=LINK_MBPS)
    made = forwarder.Forwarder(
        board, codec.PlatformCodec(), log, event_log.EventLog()
    )
    return made.origins


def test_streams_leave_room_on_the_link_while_they_are_read() -> None:
    """Guards against megabytes that hold up all other answers."""

    async def scenario() -> None:
        log = WatchedLog(link_mbps=LINK_MBPS)
        store_streams(log)
        for origin in (gateway_versions.V1, gateway_versions.V2):
            await log.put(
                records.ORIGIN_TOPIC,
                origin.version,
                records.encode_origin(origin.service, origin.version),
            )
        origins = make_origins(log)
        last = 2 * RECORDS * STREAMS - 1
        async with asyncio.timeout(10.0):
            found = await origins.find(f's{last}')
        assert found == gateway_versions.V2
        assert log.carried > 1_000_000
        assert log.most_asked <= link_share.LinkShare(LINK_MBPS).limit

    virtual_time.run(scenario())
