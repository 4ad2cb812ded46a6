"""Remembers which service and software version began which stream.

What two versions write does not fit together, so a stream that broke off may
go on only at its origin.  An instance knows the origins of the streams that
began here.  Callers continue a stream at any instance, and all instances may
have lost their memory at once, so the store has what is needed then:

- the origins in service, each listed before the first stream begins there;
- while several are listed, the origin of each stream.

While one origin alone is listed, every stream began there, and nothing is
recorded for each stream.

An instance unlists an origin that it has long not seen in service.  Others may
see it come back just then, so an origin counts as listed for a shorter time
than that after it was last seen; then it is listed again before streams begin
there.  Times are on a clock that also advances while the machine is suspended.
"""

import collections
import collections.abc
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams

# No caller continues a stream that began longer ago, unless its route allows
# longer answers.
MIN_RETENTION_S: typing.Final = 60.0
# A caller tries that often at most, each time for its route's timeout.
CALLER_TRIES: typing.Final = 4
# The streams that an instance begins within the retention, with a margin.
MAX_STREAMS: typing.Final = 20_000

# Instances see an upstream's entry come and go some seconds apart at most.
UNLIST_MARGIN_S: typing.Final = 10.0
# After a longer time without a read of the entries, origins may have come and
# gone unseen.  Reads are a second apart at most.
MAX_VIEW_GAP_S: typing.Final = 5.0
NEVER: typing.Final = float('-inf')

# Callers may choose long ids, so a stream is known by a hash of the id of the
# request that began it.
StreamKey: typing.TypeAlias = int


@attrs.frozen(kw_only=True)
class Origin:
    """The service and the software version that began a stream."""

    service: str
    version: str


@attrs.frozen(kw_only=True)
class BegunStream:
    """A stream's origin, and when its first event came."""

    origin: Origin
    begun_at: float


@attrs.define(kw_only=True)
class StreamOrigins:
    """The origins of one instance's streams, and those in service.

    begun holds the streams that callers may still continue, the latest last.
    unrecorded are those of them that the store does not have yet.  listed
    maps the origins that the store lists to when they were last in service
    and listed by this instance.  viewed_at is when the entries were last
    read, and viewed_since when the reads that have no gap between them began.
    retention_s is how long after its beginning a stream may be continued.
    """

    begun: collections.OrderedDict[StreamKey, BegunStream] = attrs.field(
        factory=collections.OrderedDict
    )
    unrecorded: dict[StreamKey, Origin] = attrs.field(factory=dict)
    listed: dict[Origin, float] = attrs.field(factory=dict)
    viewed_at: float = NEVER
    viewed_since: float = NEVER
    retention_s: float = MIN_RETENTION_S

    def configure(self, config: model.Configuration) -> None:
        """Keeps streams for as long as any configuration has allowed."""
        timeouts_s = [
            route.timeout_s
            for route in config.routes
            if route.is_resumable_stream()
        ]
        longest_s = CALLER_TRIES * max(timeouts_s, default=0.0)
        self.retention_s = max(self.retention_s, longest_s)

    def note_begun(self, request_id: str, origin: Origin, now: float) -> None:
        """Notes that the first event of a stream has come."""
        stream = stream_key(request_id)
        self.begun[stream] = BegunStream(origin=origin, begun_at=now)
        self.unrecorded[stream] = origin
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drops the streams that nobody continues any more."""
        while self.begun:
            stream, oldest = next(iter(self.begun.items()))
            age_s = now - oldest.begun_at
            if age_s <= self.retention_s and len(self.begun) <= MAX_STREAMS:
                return
            del self.begun[stream]
            self.unrecorded.pop(stream, None)

    def origin_of_begun(self, stream: StreamKey) -> Origin | None:
        """Returns the origin of a stream that began here."""
        begun = self.begun.get(stream)
        return begun.origin if begun is not None else None

    def note_loaded(self, found: collections.abc.Iterable[Origin]) -> None:
        """Notes what the store lists; others may be about to unlist it."""
        for one in found:
            self.listed[one] = NEVER

    def note_listed(
        self, origins: collections.abc.Iterable[Origin], now: float
    ) -> None:
        """Notes origins in service that the store lists."""
        for one in origins:
            self.listed[one] = now

    def note_view(self, now: float) -> None:
        """Notes that the upstreams' entries have been read."""
        if now - self.viewed_at > MAX_VIEW_GAP_S:
            self.viewed_since = now
        self.viewed_at = now

    def is_listed(self, origin: Origin, now: float) -> bool:
        """Returns whether an origin is listed, and no instance unlists it."""
        return now - self.listed.get(origin, NEVER) <= MIN_RETENTION_S

    def note_in_service(self, origins: set[Origin], now: float) -> set[Origin]:
        """Notes the origins in service; returns those not listed yet."""
        listed = {one for one in origins if self.is_listed(one, now)}
        self.note_listed(listed, now)
        return origins - listed

    def unused(self, now: float) -> list[Origin]:
        """Returns the listed origins whose streams nobody continues."""
        if now - self.viewed_at > MAX_VIEW_GAP_S:
            return []
        return [
            one
            for one, seen_at in self.listed.items()
            if now - max(seen_at, self.viewed_since)
            > self.retention_s + UNLIST_MARGIN_S
        ]

    def unlist(self, origin: Origin) -> None:
        """Notes that the store does not list an origin any more."""
        self.listed.pop(origin, None)

    def of_listed(
        self,
        candidates: collections.abc.Iterable[upstreams.Upstream],
        now: float,
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams at which streams may begin."""
        return [
            one
            for one in candidates
            if self.is_listed(origin_of(one.entry), now)
        ]

    def is_recording(self) -> bool:
        """Returns whether each stream is recorded: several are listed."""
        return len(self.listed) > 1

    def take_unrecorded(self, now: float) -> dict[StreamKey, Origin]:
        """Returns and clears what is to be recorded, if anything.

        What could not be recorded is returned by put_back.
        """
        if not self.is_recording():
            return {}
        self.expire(now)
        taken, self.unrecorded = self.unrecorded, {}
        return taken

    def put_back(self, taken: dict[StreamKey, Origin]) -> None:
        """Takes back what could not be recorded."""
        self.unrecorded = {
            stream: origin
            for stream, origin in {**taken, **self.unrecorded}.items()
            if stream in self.begun
        }


def stream_key(request_id: str) -> StreamKey:
    """Returns the key of the stream that a request began."""
    return routing.hash_of(request_id)


def in_service(
    config: model.Configuration | None, known: upstreams.UpstreamSet
) -> set[Origin]:
    """Returns the origins at which streams that may be resumed can begin."""
    services = {
        one.service
        for route in (config.routes if config is not None else ())
        if route.is_resumable_stream()
        for one in route.services
    }
    return {
        origin_of(one.entry)
        for one in known.by_id.values()
        if one.entry.service in services and one.removed_at is None
    }


def origin_of(entry: model.UpstreamEntry) -> Origin:
    """Returns the origin of the streams that an upstream begins."""
    return Origin(service=entry.service, version=entry.version)
