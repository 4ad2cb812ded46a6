"""What an instance knows of where turns are stored keeps to a limit."""

import asyncio
import pathlib
import time
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import records
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from standins import crowd as crowd_lib
from standins import gateways
from standins import platform_store
from standins import replica as replica_lib
from tests import test_gateway_body_crowds as bodies
from tests import test_gateway_floods as floods
from tests import test_gateway_untrusted_callers as untrusted
from tests import turn_support
from tests import virtual_time

# Of some 50 entries.
LIMIT: typing.Final = 20_000
COUNT: typing.Final = 300
# Some tens of turns fill a page.
OUTPUT: typing.Final = bytes(2_000)
# In the store, of all callers.
STORED: typing.Final = 100_000
LIMITS: typing.Final = (
    f'MemoryMb = {bodies.MEMORY_MB}\nMaxFds = {bodies.MAX_FDS}\n'
)
HEAD: typing.Final = (
    'POST /turns/x HTTP/1.1\r\nHost: desk.example\r\n'
    f'Attempt-Id: {crowd_lib.ID}\r\nCredential: k1\r\n'
    f'Previous-Turn: n{crowd_lib.ID}\r\nDeadline-Ms: 20000\r\n'
    'Content-Length: 0\r\n\r\n'
)
PLACE: typing.Final = records.InputLocation(part=0, offset=0, count=1, size=9)


def indexed(name: str) -> records.IndexedTurn:
    """Returns an index's entry of a turn."""
    stored = records.StoredTurn(
        turn=name, part=0, offset=0, size=99, input=PLACE
    )
    return records.IndexedTurn(
        account='ward',
        turns=(stored,) * turns.MAX_LISTED_TURNS,
        ended_ms=time.time_ns() // 1_000_000,
    )


def ended(name: str) -> records.TurnEnd:
    """Returns the record of a turn."""
    return records.TurnEnd(
        turn=name,
        previous=None,
        account='ward',
        input=PLACE,
        output=b'out',
        ended_ms=time.time_ns() // 1_000_000,
    )


def test_index_counts_what_it_has() -> None:
    index = turns.TurnIndex()
    for number in range(COUNT):
        index.add(indexed(f't{number}'))
    entry = index.find('t7')
    assert entry is not None and entry.turns[-1].turn == 't7'
    assert index.size > COUNT * turns.ENTRY_OBJECT_BYTES
    index.add(indexed('t7'))
    index.keep(LIMIT)
    assert 0 < index.size <= LIMIT
    assert index.find('t0') is None and index.find('t7') is not None
    index.forget(time.time_ns())
    assert (index.size, index.entries) == (0, {})


async def reader_of_many() -> turn_log.TurnLog:
    """Returns an instance that has just started, beside COUNT turns."""
    log = turn_support.make_log()
    writer = turn_support.make_turn_log(log, 'north-1')
    for number in range(COUNT):
        await turn_support.store_turn(writer, f't{number}')
    await writer.index.flush()
    reader = turn_support.make_turn_log(log, 'south-1')
    reader.index.limit = LIMIT
    return reader


def test_dropped_partitions_of_the_index_are_read_again() -> None:
    """Guards against an index that fills the process."""

    async def scenario() -> None:
        reader = await reader_of_many()
        for _ in range(2):
            for number in range(COUNT):
                found = await reader.index.find(f't{number}')
                assert found is not None
                held = sum(one.size for one in reader.index.indexes.values())
                assert held <= LIMIT

    virtual_time.run(scenario())


def test_reads_at_the_same_time_keep_to_the_limit() -> None:
    """A read that has lost its place is not one that has found nothing."""

    async def scenario() -> None:
        reader = await reader_of_many()
        answers = await asyncio.gather(
            *(reader.index.find(f't{number}') for number in range(COUNT)),
            return_exceptions=True,
        )
        held = sum(one.size for one in reader.index.indexes.values())
        assert held <= LIMIT
        refused = [
            one for one in answers if not isinstance(one, records.IndexedTurn)
        ]
        assert 0 < len(refused) < COUNT
        for one in refused:
            assert isinstance(one, errors.ResultError)
            assert one.code is codes.LOG_UNAVAILABLE

    virtual_time.run(scenario())


def test_search_that_needs_too_much_is_given_up() -> None:
    """A turn that was not looked for everywhere is not denied."""

    async def scenario() -> None:
        log = turn_support.make_log()
        turn_support.fail_index(log)
        writer = turn_support.make_turn_log(log, 'north-1')
        for number in range(8 * COUNT):
            await turn_support.store_turn(writer, f't{number}', output=OUTPUT)
        reader = turn_support.make_turn_log(log, 'south-1')
        reader.search.limit = 5 * LIMIT
        for _ in range(3):
            with pytest.raises(errors.ResultError) as raised:
                await reader.search.find('unknown')
            assert raised.value.code is codes.LOG_UNAVAILABLE
            held = sum(one.index.size for one in reader.search.partitions)
            assert held <= 5 * LIMIT
            # The latest are found, whatever was looked for before.
            found = await reader.search.find(f't{8 * COUNT - 1}')
            assert found is not None

    virtual_time.run(scenario())


def fill(store: platform_store.Store) -> None:
    """Stores turns, in all partitions alike."""
    topics = len(records.TURN_INDEX_TOPICS)
    for number in range(STORED):
        name = f'turn-of-a-caller-{number}'
        part = number % gateways.PARTITIONS
        topic = records.TURN_INDEX_TOPICS[number // 7 % topics]
        entry = records.encode(indexed(name))
        store.partition(topic, part).records.append(entry)
        end = records.encode(ended(name))
        store.partition(records.TURN_TOPIC, part).records.append(end)


def test_crowd_that_goes_on_from_unknown_turns_does_not_fill_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an instance that has all places of turns in memory."""

    async def play() -> None:
        async with floods.run_site(
            tmp_path, replica_lib.Silent(), LIMITS
        ) as site:
            fill(site.store)
            crowd = crowd_lib.Crowd(
                host=site.instance.address,
                port=gateways.FRONT_PORT,
                callers=40,
                heads=(HEAD,),
                requests=1_000,
                reads=True,
                returns=True,
            )
            async with bodies.run_crowd(site, crowd) as most:
                await untrusted.await_ordinary(site)
            await untrusted.await_ordinary(site)
            bodies.check_most(site, most)

    asyncio.run(play())
