"""Turn logs on a log behind a link, and conversations to store in them."""

import math
import typing

from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from tests import slow_link

PARTITIONS: typing.Final = 8
RECORD_BYTES: typing.Final = 65_536


def make_log() -> slow_link.SlowLog:
    """Returns an empty log."""
    return slow_link.SlowLog(partitions=PARTITIONS, record_bytes=RECORD_BYTES)


def make_turn_log(
    log: slow_link.SlowLog, name: str, link_mbps: float = math.inf
) -> turn_log.TurnLog:
    """Returns the turn log of an instance that has just started."""
    return turn_log.TurnLog(retrying_log.RetryingLog(log), name, link_mbps)


def fail_index(log: slow_link.SlowLog) -> None:
    """Has the log refuse all of the index."""
    log.failing_partitions |= {
        (topic, partition)
        for topic in records.TURN_INDEX_TOPICS
        for partition in range(log.partitions)
    }


async def store_turn(
    writer: turn_log.TurnLog,
    name: str,
    previous: str | None = None,
    output: bytes = b'out\n',
) -> None:
    """Stores a turn, as one that continues a conversation if it does."""
    earlier: tuple[records.StoredTurn, ...] = ()
    if previous is not None:
        chain = await writer.chain(previous, 'ward')
        earlier = turns.latest_stored(chain)
    data = f'in {name};'.encode()
    turn = turns.Turn(
        turn_id=name,
        previous=previous,
        account='ward',
        input=data,
        output=output,
        ended_ms=1,
    )
    location = await writer.append_input(data)
    await writer.store_turn(turn, location, earlier)


async def store_chain(writer: turn_log.TurnLog, length: int) -> str:
    """Stores a conversation of turns t0, t1, ...; returns the last one."""
    last = None
    for number in range(length):
        await store_turn(writer, f't{number}', last)
        last = f't{number}'
    assert last is not None
    return last


async def inputs(log: turn_log.TurnLog, last: str) -> list[bytes]:
    """Returns the inputs of a conversation."""
    return [one.input for one in await log.chain(last, 'ward')]


def expected_inputs(length: int) -> list[bytes]:
    """Returns the inputs of a conversation that store_chain stored."""
    return [f'in t{number};'.encode() for number in range(length)]
