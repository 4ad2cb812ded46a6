"""The upstreams that an instance knows, and what it has seen of each.

Answers the loss of upstreams: one that fails to answer is set aside for a
time that doubles, and never so many that a service has none left.
"""

import collections
import typing

import attrs

from oleanderdrift.gateway import model

FIRST_ASIDE_S: typing.Final = 0.5
MAX_ASIDE_S: typing.Final = 4.0
# Weight of the newest measurement in a moving average.
SMOOTHING: typing.Final = 0.2
# Prompt parts remembered for each upstream.
MAX_PARTS: typing.Final = 4_096


@attrs.define(kw_only=True)
class Upstream:
    """One lifetime of an upstream.

    ours is the number of this instance's requests there, theirs that of
    the other instances by their latest news.  slowness is the measured
    time of its work in relation to what is expected.  parts are the
    prompt parts that requests brought there, the latest last.
    removed_at is when the entry vanished.
    """

    entry: model.UpstreamEntry
    ours: int = 0
    theirs: int = 0
    slowness: float = 1.0
    samples: int = 0
    failures: int = 0
    aside_until: float = float('-inf')
    removed_at: float | None = None
    parts: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def key(self) -> tuple[str, int, str, int]:
        """Returns what names this lifetime."""
        entry = self.entry
        return (entry.upstream_id, entry.born_ms, entry.host, entry.port)

    def is_aside(self, now: float) -> bool:
        """Tells whether it is set aside after failures."""
        return now < self.aside_until

    def note_failure(self, now: float) -> None:
        """Sets the upstream aside."""
        pause_s = min(FIRST_ASIDE_S * 2.0**self.failures, MAX_ASIDE_S)
        self.failures += 1
        self.aside_until = now + pause_s

    def note_success(self) -> None:
        """Forgets earlier failures."""
        self.failures = 0
        self.aside_until = float('-inf')

    def note_work(self, measured_s: float, expected_s: float) -> None:
        """Takes a measurement into the slowness."""
        ratio = min(max(measured_s / max(expected_s, 1e-3), 0.2), 20.0)
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.slowness += weight * (ratio - self.slowness)
        self.samples += 1

    def note_parts(self, parts: tuple[model.PromptPart, ...]) -> None:
        """Remembers a prompt's parts as cached there."""
        for part in parts:
            self.parts[part.part_id] = None
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

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
        if known is None or _is_other_lifetime(known.entry, entry):
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


def _is_other_lifetime(
    known: model.UpstreamEntry, entry: model.UpstreamEntry
) -> bool:
    return (known.born_ms, known.host, known.port) != (
        entry.born_ms,
        entry.host,
        entry.port,
    )
