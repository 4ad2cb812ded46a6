"""The upstreams that an instance knows, and what it has seen of each.

Answers the loss of upstreams: one that fails to answer is set aside for a
time that doubles, and never so many that a service has none left.
"""

import collections
import collections.abc
import math
import typing

import attrs

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import model

# Longer than a slow engine needs for a long prompt.
SILENCE_S: typing.Final = 0.9
# Where other signs say that the upstream is cut off.
AWAY_SILENCE_S: typing.Final = 0.4
FIRST_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 4.0
# Weight of the newest measurement in a moving average.
SMOOTHING: typing.Final = 0.2
MAX_SLOWNESS: typing.Final = 10.0
# Time constant with which a measurement loses its weight.
FORGET_S: typing.Final = 4.0
# Prompt parts remembered for each upstream.
MAX_PARTS: typing.Final = 4_096


@attrs.define(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    own_requests is the number of this instance's requests there, peer_requests
    that of the other instances by their latest news.  slowness is the measured
    time of its work in relation to what is expected, as of `measured`.
    pending_tokens are prompt tokens that wait to be read, by request in
    reading.  new_prefixes holds the first parts of prompts that it has cached
    by this instance's own requests, which it tells its peers once.  parts are
    the prompt parts that requests brought there, the latest last.  removed_at
    is when the entry vanished.  last_received is when bytes last came from it;
    abortable are the connections with requests that may be broken off, and
    when each was sent.  silence_s is how long it may say nothing while
    requests wait; only engines send something all the time.
    """

    entry: model.UpstreamEntry
    own_requests: int = 0
    peer_requests: int = 0
    pending_tokens: int = 0
    peer_pending_tokens: int = 0
    slowness: float = 1.0
    measured: float = float('-inf')
    failures: int = 0
    ejected_until: float = float('-inf')
    last_received: float = float('-inf')
    new_prefixes: dict[str, None] = attrs.field(factory=dict)
    reading: dict[str, int] = attrs.field(factory=dict)
    abortable: dict[channel.Channel, float] = attrs.field(factory=dict)
    silence_s: float = float('inf')
    removed_at: float | None = None
    parts: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def key(self) -> tuple[str, int, str, int]:
        """Returns what names this incarnation."""
        entry = self.entry
        return (entry.upstream_id, entry.born_ms, entry.host, entry.port)

    def is_ejected(self, now: float) -> bool:
        """Tells whether it is set aside after failures."""
        return now < self.ejected_until

    def note_failure(self, now: float) -> None:
        """Sets the upstream aside."""
        pause_s = min(FIRST_EJECTION_S * 2.0**self.failures, MAX_EJECTION_S)
        self.failures += 1
        self.ejected_until = now + pause_s

    def eject_if_silent(self, now: float, away: bool) -> list[channel.Channel]:
        """Returns connections that wait in vain, and sets it aside.

        away says that its data centre cannot be reached.
        """
        limit_s = AWAY_SILENCE_S if away else self.silence_s
        silent = [
            link
            for link, sent in self.abortable.items()
            if now - max(sent, self.last_received) > limit_s
            and not link.protocol.received
        ]
        if silent and not self.is_ejected(now):
            self.note_failure(now)
        return silent

    def note_success(self) -> None:
        """Forgets earlier failures."""
        self.failures = 0
        self.ejected_until = float('-inf')

    def note_work(
        self, measured_s: float, expected_s: float, now: float
    ) -> None:
        """Takes a measurement into the slowness."""
        ratio = min(max(measured_s / expected_s, 0.2), MAX_SLOWNESS)
        known = self.present_slowness(now)
        self.slowness = known + SMOOTHING * (ratio - known)
        self.measured = now

    def present_slowness(self, now: float) -> float:
        """Returns the slowness; old measurements lose their weight.

        So an upstream that was slow is tried again after a while.
        """
        weight = math.exp(-max(now - self.measured, 0.0) / FORGET_S)
        return 1.0 + (self.slowness - 1.0) * weight

    def note_sent(
        self, request_id: str, prompt: tuple[model.PromptPart, ...]
    ) -> None:
        """Counts the tokens of a prompt that are to be read."""
        missing = self.missing_tokens(prompt)
        if missing:
            self.reading[request_id] = missing
            self.pending_tokens += missing

    def note_read(self, request_id: str) -> None:
        """Notes that a prompt is read, or given up."""
        self.pending_tokens -= self.reading.pop(request_id, 0)

    def note_parts(self, parts: tuple[model.PromptPart, ...]) -> None:
        """Remembers a prompt's parts as cached there."""
        if parts:
            self.new_prefixes[parts[0].part_id] = None
        for part in parts:
            self.parts[part.part_id] = None
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def note_peer_prefixes(
        self, part_ids: collections.abc.Iterable[str]
    ) -> None:
        """Remembers what peers found cached there."""
        for part_id in part_ids:
            self.parts[part_id] = None

    def missing_tokens(self, parts: tuple[model.PromptPart, ...]) -> int:
        """Returns the prompt tokens that are not cached there."""
        for place, part in enumerate(parts):
            if part.part_id not in self.parts:
                return sum(rest.tokens for rest in parts[place:])
        return 0


@attrs.define(kw_only=True)
class UpstreamSet:
    """All known upstreams by their id."""

    by_id: dict[str, Upstream] = attrs.field(factory=dict)

    def put(self, entry: model.UpstreamEntry) -> str | None:
        """Takes an entry in; returns what it changed, if anything."""
        known = self.by_id.get(entry.upstream_id)
        if known is None or _is_other_incarnation(known.entry, entry):
            if known is not None and entry.born_ms < known.entry.born_ms:
                return None
            self.by_id[entry.upstream_id] = Upstream(entry=entry)
            return 'added' if known is None else 'restarted'
        changed = None
        if known.entry.draining != entry.draining:
            changed = 'draining' if entry.draining else 'ready'
        elif known.removed_at is not None:
            changed = 'returned'
        known.entry = entry
        known.removed_at = None
        return changed

    def remove(self, upstream_id: str, now: float) -> bool:
        """Notes that an entry vanished; returns whether it was known."""
        known = self.by_id.get(upstream_id)
        if known is None or known.removed_at is not None:
            return False
        known.removed_at = now
        return True

    def keep_only(self, ids: set[str], now: float) -> list[str]:
        """Removes all others; returns the ids that vanished."""
        return [
            upstream_id
            for upstream_id in list(self.by_id)
            if upstream_id not in ids and self.remove(upstream_id, now)
        ]

    def forget(self, now: float, grace_s: float) -> list[Upstream]:
        """Drops those that vanished over grace_s ago; returns them."""
        gone = [
            one
            for one in self.by_id.values()
            if one.removed_at is not None and now - one.removed_at > grace_s
        ]
        for one in gone:
            del self.by_id[one.entry.upstream_id]
        return gone

    def of_service(self, service: str, lapse_grace: bool) -> list[Upstream]:
        """Returns those that may get new work.

        lapse_grace lets in those whose entries vanished just now, while
        entries that lapsed in an outage of the store are on their way
        back.
        """
        return [
            one
            for one in self.by_id.values()
            if one.entry.service == service
            and not one.entry.draining
            and (one.removed_at is None or lapse_grace)
        ]


def _is_other_incarnation(
    known: model.UpstreamEntry, entry: model.UpstreamEntry
) -> bool:
    return (known.born_ms, known.host, known.port) != (
        entry.born_ms,
        entry.host,
        entry.port,
    )
