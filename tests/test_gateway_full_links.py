"""An instance whose own link is full blames nobody else for silence."""

import asyncio
import typing

import pytest

from oleanderdrift.gateway import model
from standins import replica
from tests import gateway_fleet
from tests import gateway_support
from tests import path_fleet
from tests import shared_link
from tests import tunnel_support

MBPS: typing.Final = 4.0
# The pieces of so many connections are before what comes next: 0.39 s.
CONNECTIONS: typing.Final = 12
# The queue of the link and of its connections fills in this time.
FILLED_S: typing.Final = 0.6
# Clients abandon a stream after a longer gap.
CLIENTS_WAIT_S: typing.Final = 2.0
DONE: typing.Final = replica.CompleteResponse()
RESUMABLE: typing.Final = gateway_support.route(resumable=True, attempts=2)


def record_events(
    paths: path_fleet.PathFleet, monkeypatch: pytest.MonkeyPatch
) -> tunnel_support.RecordingLog:
    """Returns a log of what the first instance decides about paths."""
    events = tunnel_support.RecordingLog()
    attempts = paths.fleet.forwarders[0].attempts
    monkeypatch.setattr(attempts.connections, 'events', events)
    return events


@pytest.mark.parametrize(
    ('route', 'behaviour'),
    [(gateway_fleet.CALLS, DONE), (RESUMABLE, replica.Stream())],
    ids=['call', 'resumable'],
)
def test_full_link_is_not_taken_for_lost_paths_and_silent_peers(
    route: model.Route,
    behaviour: replica.Behaviour,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sound paths given up for bytes that come late."""

    async def scenario() -> None:
        async with path_fleet.run_paths(
            behaviour, behaviour, route=route
        ) as paths:
            shared, _ = await shared_link.slow_down(paths, MBPS)
            events = record_events(paths, monkeypatch)
            async with shared_link.fill(paths, shared, CONNECTIONS):
                await asyncio.sleep(FILLED_S)
                for _ in range(3):
                    paths.close_idle()
                    answers = await asyncio.gather(
                        *[paths.send() for _ in range(3)]
                    )
                    assert [one.reply.status for one in answers] == [200] * 3
            connections = paths.fleet.forwarders[0].attempts.connections
            assert events.reasons('path-lost') == []
            assert connections.tunnels_opened == 0
            assert [paths.upstream(each).failures for each in (0, 1)] == [0, 0]

    asyncio.run(scenario())


def test_path_that_is_cut_beside_a_full_link_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with path_fleet.run_paths(DONE, DONE) as paths:
            shared, _ = await shared_link.slow_down(paths, MBPS)
            events = record_events(paths, monkeypatch)
            async with shared_link.fill(paths, shared, CONNECTIONS):
                await asyncio.sleep(FILLED_S)
                paths.cut(path_fleet.Cut.HANG)
                answer = await paths.send()
            assert answer.reply.status == 200
            assert answer.elapsed_s < CLIENTS_WAIT_S
            assert 'timed-out' in events.reasons('path-lost')

    asyncio.run(scenario())
