"""Replicas of several software versions behind one forwarder."""

import collections.abc
import contextlib
import math
import typing

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import forwarder
from oleanderdrift.gateway import model
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import stream_origins
from oleanderdrift.platform import codec
from standins import replica
from tests import gateway_desk
from tests import gateway_support

RESUMABLE: typing.Final = {
    'kind': model.RouteKind.STREAMING,
    'resumable': True,
}
WHOLE: typing.Final = replica.Stream(events=6)
CUT: typing.Final = replica.Stream(events=6, cut_after=2)
# Placement avoids an upstream with as many requests where it can.
BUSY: typing.Final = 200
V1: typing.Final = stream_origins.Origin(service='guide', version='v1')
V2: typing.Final = stream_origins.Origin(service='guide', version='v2')


def set_version(
    harness: gateway_desk.Harness, number: int, **changes: typing.Any
) -> None:
    """Lets a replica be of another version or start, as its entry says."""
    entry = gateway_support.entry(
        f'u{number}', port=harness.replicas[number].port, **changes
    )
    harness.replicas[number].born_ms = entry.born_ms
    harness.forwarder.board.upstreams.put(entry)


@contextlib.asynccontextmanager
async def run_versions(
    *versions: str,
    behaviours: dict[int, replica.Behaviour] | None = None,
    **route: typing.Any,
) -> collections.abc.AsyncIterator[gateway_desk.Harness]:
    """Runs one replica for each version; they send whole streams."""
    scripts = [
        [(behaviours or {}).get(place, WHOLE)]
        for place in range(len(versions))
    ]
    async with gateway_desk.run_harness(
        *scripts, route={**RESUMABLE, **route}
    ) as harness:
        for place, version in enumerate(versions):
            set_version(harness, place, version=version)
        await harness.forwarder.origins.update(now())
        yield harness


def now() -> float:
    """Returns the present time, later than any review of origins."""
    return clock.boot() + origin_log.REVIEW_INTERVAL_S


async def pass_time(
    harness: gateway_desk.Harness, start: float, end: float
) -> None:
    """Lets an instance read the entries and review origins each second."""
    for at in range(math.ceil(start), math.floor(end) + 1):
        harness.forwarder.board.origins.note_view(at)
        await harness.forwarder.origins.update(at)


def load(harness: gateway_desk.Harness, *busy: int) -> None:
    """Makes placement avoid some replicas."""
    for place in range(len(harness.replicas)):
        one = harness.forwarder.board.upstreams.by_id[f'u{place}']
        one.own_requests = BUSY if place in busy else 0


def lose_memory(harness: gateway_desk.Harness) -> None:
    """Replaces the instance by one that has just started."""
    board = harness.forwarder.board
    board.origins = stream_origins.StreamOrigins()
    harness.forwarder = forwarder.Forwarder(
        board, codec.PlatformCodec(), harness.log, event_log.EventLog()
    )


async def continue_stream(
    harness: gateway_desk.Harness, resumes: str | None = 'q1'
) -> gateway_desk.RecordingReply:
    """Continues a stream after its second event, as callers do."""
    return await harness.send_request(
        request_id='q2', resumes=resumes, last_event_id='2'
    )


def served(harness: gateway_desk.Harness, place: int) -> int:
    """Returns how many requests a replica has got."""
    return len(harness.replicas[place].received)


def served_each(harness: gateway_desk.Harness) -> list[int]:
    """Returns how many requests each replica has got."""
    return [served(harness, place) for place in range(len(harness.replicas))]


def check_refused(
    harness: gateway_desk.Harness, reply: gateway_desk.RecordingReply
) -> None:
    """Checks that a request was refused at once and reached no replica."""
    assert reply.status == 503
    assert float(reply.headers['retry-after']) < 1
    assert not any(
        one.headers['attempt-id'] == 'q2'
        for each in harness.replicas
        for one in each.received
    )
