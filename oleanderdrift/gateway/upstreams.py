"""The upstreams that an instance knows, and their observed state.

An upstream that fails to answer is ejected for a time that doubles with
each failure.  If all upstreams of a service are ejected, requests still go
to one of them.
"""

import collections
import collections.abc
import random
import typing

import attrs

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import engine_speed
from oleanderdrift.gateway import evacuations as evacuations_lib
from oleanderdrift.gateway import leaving as leaving_lib
from oleanderdrift.gateway import model
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import upstream_paths
from oleanderdrift.gateway import upstream_speed

# Silence time-out of engines: longer than a slow one needs for a long prompt.
ENGINE_SILENCE_S: typing.Final = 0.9
# A sound upstream may be silent for a second or so; its requests wait for it.
ABORT_DELAY_S: typing.Final = 1.1
# Silence time-out if the upstream's data centre is unreachable.
UNREACHABLE_SILENCE_S: typing.Final = 0.4
FIRST_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 4.0
# Longer than a connection attempt takes.
DOUBT_S: typing.Final = 0.6
FIRST_PROBE_S: typing.Final = 0.5
MAX_PROBE_S: typing.Final = 2.0
# The part of an interval by which probes are spread at random.
PROBE_SPREAD: typing.Final = 0.2
# Prompt parts recorded for each upstream; those of the last minute.
MAX_CACHED_PARTS: typing.Final = 1_024
# Of those, what peers are told at once, so that no message is too long.
MAX_NEW_PARTS: typing.Final = 128
# Objects recorded for each upstream; those of some minutes.
MAX_WARM_OBJECTS: typing.Final = 1_024
# A start that has ended may have written one entry that arrives late.  One
# that is written again and again is alive, so the later start is not true.
MAX_OLDER_ENTRIES: typing.Final = 3


@attrs.define(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    own_requests counts this instance's open requests, peer_requests those
    of its peers by their latest messages.  pending_tokens counts the
    prompt tokens of this instance's requests that are not prefilled yet,
    by request in pending_by_request; peer_pending_tokens those of its peers,
    by peer in pending_by_peer, each with the time when they were heard of.
    own_held_tokens and peer_held_tokens are all tokens of their open requests.
    new_parts holds the parts of prompts that this instance's requests
    brought into its cache and that peers are still to hear of: the next turn
    of a conversation may come to any of them.
    cached_parts are all prompt parts assumed to be cached, the most recent
    last.  warm_objects holds the affinity keys of requests that it handled
    for this instance, the most recent last.  abortable maps connections
    whose requests may be aborted to when these were sent.  last_received is
    when bytes last came from it, and silence_timeout_s how long it may send
    nothing while such requests wait before others are preferred: only engines
    send all the time.
    removed_at is when the entry was removed.  set_aside_at is when it was
    taken for crashed although its entry stands; it gets nothing until a probe
    reaches it.  doubted_until is when a peer's word that it has crashed
    expires unless this instance finds the same.  probe_at is when it is to be
    probed, after probe_failures in a row.  answered_at is when a probe was
    first answered without saying which start of the upstream answers.  path is
    the direct path to it.  older_entries counts those of an earlier start that
    came since its own last entry.  writes_no_report says that it has answered
    so.  engine is how fast it is for turns.  calls is how slow it is for
    calls, open_calls has this instance's by
    request, and overdue_at is when one of these was last counted as overdue.
    """

    entry: model.UpstreamEntry
    own_requests: int = 0
    peer_requests: int = 0
    pending_tokens: int = 0
    peer_pending_tokens: int = 0
    own_held_tokens: int = 0
    peer_held_tokens: int = 0
    failures: int = 0
    ejected_until: float = float('-inf')
    last_received: float = float('-inf')
    new_parts: dict[str, None] = attrs.field(factory=dict)
    pending_by_request: dict[str, int] = attrs.field(factory=dict)
    pending_by_peer: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    abortable: dict[channel.Channel, float] = attrs.field(factory=dict)
    silence_timeout_s: float = float('inf')
    removed_at: float | None = None
    set_aside_at: float | None = None
    doubted_until: float = float('-inf')
    probe_at: float = float('inf')
    probe_failures: int = 0
    answered_at: float | None = None
    path: upstream_paths.Path = attrs.field(factory=upstream_paths.Path)
    older_entries: int = 0
    writes_no_report: bool = False
    engine: engine_speed.EngineSpeed = attrs.field(
        factory=engine_speed.EngineSpeed
    )
    calls: upstream_speed.SpeedRatio = attrs.field(
        factory=upstream_speed.SpeedRatio
    )
    open_calls: dict[str, upstream_speed.OpenCall] = attrs.field(factory=dict)
    overdue_at: float = float('-inf')
    cached_parts: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    warm_objects: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def key(self) -> tuple[str, int, str, int]:
        """Returns the identity of this incarnation."""
        entry = self.entry
        return (entry.upstream_id, entry.born_ms, entry.host, entry.port)

    def outlives(self, entry: model.UpstreamEntry) -> bool:
        """Counts another start's entry; returns whether to ignore it."""
        if entry.born_ms >= self.entry.born_ms:
            return False
        self.older_entries += 1
        return self.older_entries < MAX_OLDER_ENTRIES

    def is_ejected(self, now: float) -> bool:
        """Returns whether it is ejected after failures, or doubted."""
        return now < max(self.ejected_until, self.doubted_until)

    def doubt(self, now: float) -> None:
        """Prefers others until a probe, due at once, has decided."""
        self.doubted_until = now + DOUBT_S
        self.probe_at = min(self.probe_at, now)

    def set_aside(self, now: float) -> None:
        """Sends it nothing until a probe reaches it."""
        if self.set_aside_at is None:
            self.set_aside_at = now
            self.probe_failures = 0
        self.doubted_until = float('-inf')

    def probe_due(self, now: float) -> bool:
        """Returns whether it is to be probed."""
        return self.removed_at is None and now >= self.probe_at

    def begin_probes(self, now: float, chance: random.Random) -> None:
        """Has it probed from now on, if it is not probed yet."""
        if self.probe_at == float('inf'):
            self.schedule_probe(now, chance)

    def schedule_probe(self, now: float, chance: random.Random) -> None:
        """Sets when it is probed next, each time after a longer interval."""
        interval_s = min(FIRST_PROBE_S * 2.0**self.probe_failures, MAX_PROBE_S)
        spread = chance.uniform(-PROBE_SPREAD, PROBE_SPREAD)
        self.probe_failures += 1
        self.probe_at = now + interval_s * (1 + spread)

    def use_again(self) -> None:
        """Sends it requests again, after a probe has reached it."""
        self.set_aside_at = None
        self.doubted_until = float('-inf')
        self.note_success()

    def end_probes(self) -> None:
        """Has it probed no more."""
        self.probe_at = float('inf')
        self.probe_failures = 0
        self.answered_at = None

    def note_failure(self, now: float) -> None:
        """Ejects the upstream, each time for longer."""
        pause_s = min(FIRST_EJECTION_S * 2.0**self.failures, MAX_EJECTION_S)
        self.failures += 1
        self.ejected_until = now + pause_s

    def eject_if_silent(
        self, now: float, unreachable: bool, held_s: float = 0.0
    ) -> list[channel.Channel]:
        """Ejects it if it is silent; returns the connections to abort.

        unreachable says that its data centre cannot be reached.  One whose
        slots are all taken has to end other requests first.  held_s of its
        silence are due to the own link: it is not to blame for them, but its
        requests do not wait longer.
        """
        eject_s = self.silence_timeout_s + self.queue_s(now)
        abort_s = eject_s + ABORT_DELAY_S
        if unreachable:
            eject_s = abort_s = UNREACHABLE_SILENCE_S
        silent_s = {
            connection: now - max(sent, self.last_received)
            for connection, sent in self.abortable.items()
            if not connection.protocol.received
        }
        # A peer that reaches it shows that its lost path is not its fault.
        is_to_blame = any(
            each > eject_s + held_s and (one.via or not self.path.confirmed)
            for one, each in silent_s.items()
        )
        if is_to_blame and not self.is_ejected(now):
            self.note_failure(now)
        return [one for one, each in silent_s.items() if each > abort_s]

    def queue_s(self, now: float) -> float:
        """Returns how long a request waits for a slot, by its load."""
        running = self.own_requests + self.peer_requests
        rounds = max(running - self.entry.slots, 0) / self.entry.slots
        return rounds * self.engine.turn_s(self.entry.slots, now)

    def note_success(self) -> None:
        """Resets the failures."""
        self.failures = 0
        self.ejected_until = float('-inf')

    def load_slowness(self, now: float) -> float:
        """Returns how much slower than an idle engine its load makes it."""
        running = max(self.own_requests + self.peer_requests, 1)
        running = min(running, self.entry.slots)
        return self.engine.token_s(running, now) / self.engine.idle_token_s()

    def speed_report(self, now: float) -> upstream_speed.Report | None:
        """Returns the measurements that peers are to be told, if any."""
        calls, turns = self.calls.series, self.engine.series
        if not (calls.is_due(now) or turns.is_due(now)):
            return None
        return upstream_speed.Report(
            start=upstream_speed.tag(self.entry.born_ms),
            count=calls.count,
            ratios=calls.newest,
            turn_count=turns.count,
            turns=turns.newest,
        )

    def note_speed_report(
        self, peer: str, report: upstream_speed.Report, now: float
    ) -> None:
        """Applies a peer's measurements of this start of the upstream."""
        if report.start != upstream_speed.tag(self.entry.born_ms):
            return
        for code in self.calls.series.new_ones(
            peer, report.count, report.ratios
        ):
            self.calls.apply(peer, upstream_speed.decode_ratio(code), now)
        for point in self.engine.series.new_ones(
            peer, report.turn_count, report.turns
        ):
            self.engine.apply(peer, point, now)

    def add_pending_tokens(
        self, request_id: str, prompt: tuple[model.PromptPart, ...]
    ) -> None:
        """Counts the tokens of a prompt that need prefill."""
        missing = self.uncached_tokens(prompt)
        if missing:
            self.pending_by_request[request_id] = missing
            self.pending_tokens += missing

    def clear_pending_tokens(self, request_id: str) -> None:
        """Removes a request's tokens, prefilled or abandoned."""
        self.pending_tokens -= self.pending_by_request.pop(request_id, 0)

    def note_cached_parts(self, parts: tuple[model.PromptPart, ...]) -> None:
        """Records a prompt's parts as cached there."""
        for place, part in enumerate(parts):
            if len(self.new_parts) >= MAX_NEW_PARTS:
                break
            if place == 0 or part.part_id not in self.cached_parts:
                self.new_parts[part.part_id] = None
        self.add_cached_parts(part.part_id for part in parts)

    def add_cached_parts(
        self, part_ids: collections.abc.Iterable[str]
    ) -> None:
        """Records prompt parts by their ids; peers report such as well."""
        for part_id in part_ids:
            self.cached_parts[part_id] = None
            self.cached_parts.move_to_end(part_id)
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def note_warm_object(self, affinity_key: str | None) -> None:
        """Records that it handled a request about an object."""
        if affinity_key is None:
            return
        self.warm_objects[affinity_key] = None
        self.warm_objects.move_to_end(affinity_key)
        if len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)

    def is_warm_for(self, affinity_key: str | None) -> bool:
        """Returns whether it handled a request about an object lately."""
        return affinity_key is not None and affinity_key in self.warm_objects

    def uncached_tokens(self, parts: tuple[model.PromptPart, ...]) -> int:
        """Returns the prompt tokens that are not cached there."""
        for place, part in enumerate(parts):
            if part.part_id not in self.cached_parts:
                return sum(rest.tokens for rest in parts[place:])
        return 0


@attrs.define(kw_only=True)
class UpstreamSet:
    """All known upstreams by id; added counts those that started."""

    by_id: dict[str, Upstream] = attrs.field(factory=dict)
    added: int = 0
    leaving: leaving_lib.Leaving = attrs.field(factory=leaving_lib.Leaving)
    evacuations: evacuations_lib.Evacuations = attrs.field(
        factory=evacuations_lib.Evacuations
    )

    def is_cached(self, part: model.PromptPart) -> bool:
        """Returns whether any upstream has a part of a prompt cached."""
        return any(
            part.part_id in one.cached_parts for one in self.by_id.values()
        )

    def put(self, entry: model.UpstreamEntry) -> str | None:
        """Adds or updates an entry; returns what changed, if anything."""
        known = self.by_id.get(entry.upstream_id)
        if known is None or _is_other_incarnation(known.entry, entry):
            if known is not None and known.outlives(entry):
                return None
            self.by_id[entry.upstream_id] = Upstream(entry=entry)
            self.added += 1
            return 'added' if known is None else 'restarted'
        changed = None
        if known.entry.draining != entry.draining:
            changed = 'draining' if entry.draining else 'ready'
        elif known.removed_at is not None:
            changed = 'returned'
        known.entry = entry
        known.removed_at = None
        if known.set_aside_at is not None:
            # An upstream writes its entry itself.
            known.probe_at = float('-inf')
        known.older_entries = 0
        return changed

    def remove(self, upstream_id: str, now: float) -> bool:
        """Marks an entry as removed; returns whether it was present."""
        known = self.by_id.get(upstream_id)
        if known is None or known.removed_at is not None:
            return False
        known.removed_at = now
        return True

    def is_leaving(self, entry: model.UpstreamEntry) -> bool:
        """Returns whether this start of an upstream said that it leaves."""
        return entry.incarnation() in self.leaving.since

    def is_evacuated(self, entry: model.UpstreamEntry) -> bool:
        """Returns whether an upstream's data centre is evacuated."""
        return entry.data_centre in self.evacuations.names

    def of_incarnation(self, incarnation: str) -> Upstream | None:
        """Returns the upstream if this start of it is the one known."""
        upstream_id = incarnation.partition(model.INCARNATION_SEPARATOR)[0]
        known = self.by_id.get(upstream_id)
        if known is None or known.entry.incarnation() != incarnation:
            return None
        return known

    def keep_only(self, ids: set[str], now: float) -> list[str]:
        """Marks all other entries as removed; returns their ids."""
        return [
            upstream_id
            for upstream_id in list(self.by_id)
            if upstream_id not in ids and self.remove(upstream_id, now)
        ]

    def forget(self, now: float, grace_s: float) -> list[Upstream]:
        """Deletes and returns those removed more than grace_s ago."""
        gone = [
            one
            for one in self.by_id.values()
            if one.removed_at is not None and now - one.removed_at > grace_s
        ]
        for one in gone:
            del self.by_id[one.entry.upstream_id]
        return gone

    def data_centres_heard(self, since: float) -> frozenset[str]:
        """Returns the data centres whose upstreams sent bytes since then."""
        return frozenset(
            one.entry.data_centre
            for one in self.by_id.values()
            if one.last_received >= since
        )

    def of_service(
        self,
        service: str,
        include_lapsed: bool,
        inside: regions.Inside = None,
    ) -> list[Upstream]:
        """Returns the upstreams of a service that may get new requests.

        include_lapsed adds those whose entries were removed, while they are
        written again after an outage of the store.  inside holds the data
        centres that the requests may reach.
        """
        leaving = self.leaving.since
        evacuated = self.evacuations.names
        return [
            one
            for one in self.by_id.values()
            if one.entry.service == service
            and not one.entry.draining
            and one.set_aside_at is None
            and (one.removed_at is None or include_lapsed)
            and (not leaving or one.entry.incarnation() not in leaving)
            and (not evacuated or one.entry.data_centre not in evacuated)
            and (inside is None or one.entry.data_centre in inside)
        ]


def _is_other_incarnation(
    known: model.UpstreamEntry, entry: model.UpstreamEntry
) -> bool:
    return (known.born_ms, known.host, known.port) != (
        entry.born_ms,
        entry.host,
        entry.port,
    )
