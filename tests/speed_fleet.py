"""Replays calls and turns of a fleet that shares its upstreams' speeds."""

import collections
import collections.abc
import heapq
import random
import typing

import attrs

from oleanderdrift.gateway import call_speeds
from oleanderdrift.gateway import engine_memory
from oleanderdrift.gateway import engine_speed
from oleanderdrift.gateway import model
from oleanderdrift.gateway import peer_load
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import upstreams as upstreams_lib
from tests import gateway_support

PUBLISH_S: typing.Final = 0.1
NEWS_AGE_S: typing.Final = (0.1, 0.3)
READING_S: typing.Final = 1 / 300_000
# The times of calls on the two routes that were measured.
ROUTES: typing.Final = {
    gateway_support.route(path_prefix='/short/'): 0.004,
    gateway_support.route(path_prefix='/long/'): 0.035,
}


@attrs.define(kw_only=True)
class Desk:
    """One instance: what it knows of the upstreams and its peers."""

    name: str
    known: upstreams_lib.UpstreamSet
    peers: peer_load.PeerLoad
    speeds: call_speeds.CallSpeeds


@attrs.define(kw_only=True)
class Fleet:
    """Instances, and upstreams that serve calls in order of arrival.

    factors has by how much an upstream is slower than usual.  calls has the
    upstream and the start of each call.  shares says whether instances tell
    each other measurements, and learns whether they measure.  service has
    the memory that instances know of.
    """

    instances: int
    upstreams: int
    slots: int
    per_s: float
    chance: random.Random
    shares: bool = True
    learns: bool = True
    service: model.Service = attrs.field(
        factory=lambda: gateway_support.config().services['guide']
    )
    now: float = 0.0
    count: int = 0
    factors: collections.defaultdict[int, float] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: 1.0)
    )
    calls: list[tuple[float, int]] = attrs.field(factory=list)
    took_s: list[tuple[float, float]] = attrs.field(factory=list)
    agenda: list[
        tuple[float, int, collections.abc.Callable[..., None], typing.Any]
    ] = attrs.field(factory=list)
    desks: list[Desk] = attrs.field(factory=list)
    free_at: list[list[float]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.free_at = [[0.0] * self.slots for _ in range(self.upstreams)]
        for number in range(self.instances):
            known = upstreams_lib.UpstreamSet()
            for each in range(self.upstreams):
                known.put(gateway_support.entry(f'{each}', slots=self.slots))
            self.desks.append(
                Desk(
                    name=f'i{number}',
                    known=known,
                    peers=peer_load.PeerLoad(upstreams=known),
                    speeds=call_speeds.CallSpeeds(data_centre='north'),
                )
            )
            self.at(self.chance.uniform(0, PUBLISH_S), self.publish, number)
        self.at(0.0, self.arrive, None)

    def at(
        self,
        when: float,
        what: collections.abc.Callable[..., None],
        data: typing.Any,
    ) -> None:
        """Adds to the agenda."""
        self.count += 1
        heapq.heappush(self.agenda, (when, self.count, what, data))

    def run(self, until: float) -> None:
        """Replays until a time."""
        while self.agenda and self.agenda[0][0] < until:
            self.now, _, what, data = heapq.heappop(self.agenda)
            what(data)
        self.now = until

    def arrive(self, _: None) -> None:
        """Places a call at a random instance."""
        self.at(self.now + self.chance.expovariate(self.per_s), self.arrive, _)
        desk = self.chance.choice(self.desks)
        route = self.chance.choice(list(ROUTES))
        request = gateway_support.request(request_id=f'q{self.count}')
        one = self.choose(desk, request, route)
        one.own_requests += 1
        desk.speeds.begin(one, request, route, self.now)
        number = int(one.entry.upstream_id)
        self.calls.append((self.now, number))
        slots = self.free_at[number]
        begins = max(heapq.heappop(slots), self.now)
        time_s = ROUTES[route] * self.factors[number]
        ends = begins + time_s * self.chance.lognormvariate(0, 0.3)
        heapq.heappush(slots, ends)
        self.took_s.append((self.now, ends - self.now))
        self.at(ends, self.end, (desk, one, request))

    def choose(
        self, desk: Desk, request: model.Request, route: model.Route
    ) -> upstreams_lib.Upstream:
        """Returns where an instance sends a call."""
        place = placement.Place(
            data_centre='north',
            instances=self.instances,
            call_s=desk.speeds.usual_s(route) or placement.CALL_S,
        )
        found = placement.choose(
            engine_memory.with_room(
                list(desk.known.by_id.values()),
                self.service,
                request,
                self.now,
            ),
            request,
            place,
            self.now,
            self.chance,
        )
        assert found is not None
        return found

    def end(
        self, data: tuple[Desk, upstreams_lib.Upstream, model.Request]
    ) -> None:
        """Ends a call."""
        desk, one, request = data
        one.own_requests -= 1
        if self.learns:
            desk.speeds.end(one, request.request_id, self.now, 0.0)

    def publish(self, number: int) -> None:
        """Tells all peers the load and the speeds that an instance knows."""
        self.at(self.now + PUBLISH_S, self.publish, number)
        desk = self.desks[number]
        desk.speeds.note_overdue(desk.known.by_id.values(), self.now)
        work = {
            name: peer_messages.UpstreamLoad(
                running=one.own_requests,
                pending=0,
                speed=one.speed_report(self.now) if self.shares else None,
                held=one.own_held_tokens,
            )
            for name, one in desk.known.by_id.items()
        }
        when = self.now + self.chance.uniform(*NEWS_AGE_S)
        self.at(when, self.deliver, (desk.name, work))

    def deliver(
        self, data: tuple[str, dict[str, peer_messages.UpstreamLoad]]
    ) -> None:
        """Lets all peers hear a state."""
        for desk in self.desks:
            if desk.name != data[0]:
                desk.peers.update(*data, self.now)

    def share_of(self, numbers: set[int], since: float, until: float) -> float:
        """Returns the part of the calls in a span that some upstreams got."""
        found = [one for at, one in self.calls if since <= at < until]
        return sum(one in numbers for one in found) / len(found)

    def mean_s(self, since: float, until: float) -> float:
        """Returns the mean time of the calls that began in a span."""
        found = [took for at, took in self.took_s if since <= at < until]
        return sum(found) / len(found)


@attrs.define(kw_only=True)
class EngineFleet(Fleet):
    """Turns on engines of two speeds that slow down as more run.

    held has the tokens on an engine after each turn that began there.
    """

    held: collections.defaultdict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def token_s(self, number: int, running: int) -> float:
        """Returns an engine's time per token."""
        token_s = 0.0007 if number % 2 else 0.00145
        return token_s * self.factors[number] * (1 + running / 50)

    def arrive(self, _: None) -> None:
        """Places a turn at a random instance."""
        self.at(self.now + self.chance.expovariate(self.per_s), self.arrive, _)
        desk = self.chance.choice(self.desks)
        tokens = self.chance.choice([840, 12_600])
        part = model.PromptPart(part_id=f'p{self.count}', tokens=tokens)
        request = gateway_support.request(
            request_id=f'q{self.count}',
            prompt=(part,),
            max_tokens=252,
            received=self.now,
        )
        one = self.choose(desk, request, gateway_support.route())
        one.own_requests += 1
        one.own_held_tokens += request.memory_tokens()
        self.held[one.entry.upstream_id].append(
            sum(
                each.known.by_id[one.entry.upstream_id].own_held_tokens
                for each in self.desks
            )
        )
        one.add_pending_tokens(request.request_id, request.prompt)
        number = int(one.entry.upstream_id)
        self.calls.append((self.now, number))
        slots = self.free_at[number]
        running = sum(each > self.now for each in slots) + 1
        begins = max(heapq.heappop(slots), self.now)
        token_s = self.token_s(number, running)
        token_s *= self.chance.lognormvariate(0, 0.1)
        first_at = begins + tokens * READING_S + token_s * 14
        ends = first_at + token_s * 238
        heapq.heappush(slots, ends)
        self.took_s.append((self.now, ends - self.now))
        times = engine_speed.TurnTimes(
            unread_tokens=tokens,
            tokens=252,
            tokens_per_event=14,
            running=running,
            sent_at=self.now,
            first_at=first_at,
            last_at=ends,
            read_held_s=0.0,
            held_s=0.0,
        )
        self.at(ends, self.end_turn, (one, request, times))

    def end_turn(
        self,
        data: tuple[
            upstreams_lib.Upstream, model.Request, engine_speed.TurnTimes
        ],
    ) -> None:
        """Ends a turn."""
        one, request, times = data
        one.own_requests -= 1
        one.own_held_tokens -= request.memory_tokens()
        one.clear_pending_tokens(request.request_id)
        if self.learns:
            one.engine.note_turn(times, self.now)
