"""Decides which instance may send a request to a cold upstream.

The load it answers: an upstream that has just started is slow, and crashes if
all instances send it what a warm one takes.  None of them sees what the others
send.  So each keeps to a fixed share of the rate that a cold upstream takes,
given by a hash of the upstream's start and the instance's name, and the sum
holds without messages.  Afterwards the rate doubles in steps, which instances
make at different times.
"""

import collections
import collections.abc
import math
import typing

import attrs

from oleanderdrift.gateway import fleet_members
from oleanderdrift.gateway import model
from oleanderdrift.gateway import routing
from oleanderdrift.gateway import upstreams as upstreams_lib

# Shares hold for any second; the rest is jitter on the way to the upstream.
WINDOW_S: typing.Final = 1.1
# Entries are written every 1.2 s and read after up to 1 s.
ENTRY_AGE_S: typing.Final = 2.5
# No upstream is cold for longer; a longer time is taken for a mistake.
MAX_COLD_S: typing.Final = 600.0
# How long each rate between cold and full use holds.
STEP_S: typing.Final = 0.25
# The rate is full once it keeps all slots busy with calls of this length.
CALL_S: typing.Final = 0.04
# 4,096 times the rate of a cold upstream.
MAX_STEPS: typing.Final = 12
_SEPARATOR: typing.Final = model.INCARNATION_SEPARATOR


@attrs.define(kw_only=True)
class ColdStart:
    """The cold time of one incarnation, and what this instance sends there.

    until is when it ends.  stated_at is when it was last known from a given
    moment rather than from an entry, which has an age.  closed_until is until
    when nothing is sent, as what was sent before counts too.  sent_at are the
    times of the sends in the last window, and pending counts the requests
    that have a place and are not sent yet.  rank is the place of this instance
    in the order of the hash, as of ranked_at changes of the members.
    """

    until: float
    stated_at: float = float('-inf')
    closed_until: float = float('-inf')
    sent_at: collections.deque[float] = attrs.field(factory=collections.deque)
    pending: int = 0
    rank: int = 0
    ranked_at: int = -1

    def used(self, now: float) -> int:
        """Returns how many places of the share are taken."""
        while self.sent_at and now - self.sent_at[0] > WINDOW_S:
            self.sent_at.popleft()
        return self.pending + len(self.sent_at)


@attrs.define(kw_only=True)
class ColdPlace:
    """A request's place in the share of a cold upstream, until it is sent."""

    start: ColdStart
    is_pending: bool = True

    def note_sent(self, now: float) -> None:
        """Dates the place; called just before the first byte is sent."""
        if self.is_pending:
            self.release()
            self.start.sent_at.append(now)

    def release(self) -> None:
        """Gives the place back if the request was not sent."""
        if self.is_pending:
            self.is_pending = False
            self.start.pending -= 1


class NoPlaceError(Exception):
    """This instance may not send to a cold upstream now."""


@attrs.frozen(kw_only=True)
class Restrictions:
    """Which upstreams are cold, and which may get nothing now, by id."""

    cold: frozenset[str] = frozenset()
    closed: frozenset[str] = frozenset()


NONE: typing.Final = Restrictions()


@attrs.frozen(kw_only=True)
class Begun:
    """A cold time that has begun, for the log."""

    upstream: str
    service: str
    cold_s: float
    reason: str
    share: int
    members: int


def applies(service: model.Service | None) -> bool:
    """Returns whether a service's configuration names cold starts."""
    return (
        service is not None
        and service.cold_start_s > 0
        and service.cold_per_s > 0
    )


def share_of(rate_per_s: float, rank: int, members: int) -> int:
    """Returns how many requests a second the instance at a rank may send."""
    chosen = min(members, math.floor(rate_per_s))
    if rank >= chosen:
        return 0
    return math.floor(rate_per_s / chosen)


def rank_of(
    incarnation: str, own: str, names: collections.abc.Iterable[str]
) -> int:
    """Returns the place of an instance in the order for an upstream."""

    def order(name: str) -> tuple[int, str]:
        return routing.hash_of(f'{incarnation}{_SEPARATOR}{name}'), name

    own_order = order(own)
    return sum(order(name) < own_order for name in names)


@attrs.define(kw_only=True)
class ColdShares:
    """The cold upstreams, and what this instance may send them.

    starts are by incarnation.  begun holds the cold times that have begun
    since they were last logged.
    """

    members: fleet_members.FleetMembers
    starts: dict[str, ColdStart] = attrs.field(factory=dict)
    begun: list[Begun] = attrs.field(factory=list)

    def note_entry(
        self,
        entry: model.UpstreamEntry,
        service: model.Service | None,
        now: float,
        is_new: bool = False,
    ) -> bool:
        """Applies an entry that was just read; returns False if it is odd.

        It may have been written up to ENTRY_AGE_S ago.  is_new says that
        nothing was sent to this start of the upstream yet.
        """
        start = self.starts.get(entry.incarnation())
        left_s = entry.cold_s
        if not 0 <= left_s <= MAX_COLD_S:
            return False
        may_be_older = (
            start is not None and now < start.stated_at + ENTRY_AGE_S
        )
        if left_s > 0:
            until = now + left_s
            if start is not None and may_be_older:
                until = max(until, start.until)
            start = self.set_until(entry, service, until, now, 'entry')
            if is_new:
                start.closed_until = float('-inf')
        elif start is not None and not may_be_older:
            start.until = min(start.until, now)
        return True

    def note_report(
        self,
        entry: model.UpstreamEntry,
        service: model.Service | None,
        left_s: float,
        now: float,
    ) -> None:
        """Applies what an upstream has just said of itself."""
        if not 0 <= left_s <= MAX_COLD_S:
            return
        start = self.starts.get(entry.incarnation())
        if left_s > 0:
            start = self.set_until(entry, service, now + left_s, now, 'report')
        elif start is not None:
            start.until = min(start.until, now)
        if start is not None:
            start.stated_at = now

    def mark_data_centre(
        self,
        data_centre: str,
        known: collections.abc.Iterable[upstreams_lib.Upstream],
        services: collections.abc.Mapping[str, model.Service],
        since: float,
        now: float,
    ) -> None:
        """Counts a data centre's upstreams as cold from a time on.

        To be called when an evacuation ends; since is on the monotonic clock.
        An entry that was written later replaces the cold time.
        """
        for one in known:
            service = services.get(one.entry.service)
            if (
                one.entry.data_centre != data_centre
                or service is None
                or not applies(service)
            ):
                continue
            start = self.starts.get(one.entry.incarnation())
            until = since + min(service.cold_start_s, MAX_COLD_S)
            if start is not None:
                until = max(until, start.until)
            if until > now:
                start = self.set_until(
                    one.entry, service, until, now, 'data-centre'
                )
                start.stated_at = max(start.stated_at, since)

    def set_until(
        self,
        entry: model.UpstreamEntry,
        service: model.Service | None,
        until: float,
        now: float,
        reason: str,
    ) -> ColdStart:
        """Sets when a cold time ends, and notes whether it has begun."""
        name = entry.incarnation()
        start = self.starts.get(name)
        if start is None:
            start = self.starts[name] = ColdStart(until=float('-inf'))
        # An entry of the same cold time may be read after its end.
        slack_s = ENTRY_AGE_S if reason == 'entry' else 0.0
        was_cold = now < start.until or until <= start.until + slack_s
        start.until = until
        if not was_cold and service is not None and applies(service):
            # What was sent until now counts as well.
            start.closed_until = now + WINDOW_S
            members = self.members.counted(now)
            self.begun.append(
                Begun(
                    upstream=entry.upstream_id,
                    service=entry.service,
                    cold_s=until - now,
                    reason=reason,
                    share=share_of(
                        service.cold_per_s,
                        self.rank(name, start, members),
                        len(members),
                    ),
                    members=len(members),
                )
            )
        return start

    def restrictions(
        self,
        service: model.Service,
        candidates: collections.abc.Iterable[upstreams_lib.Upstream],
        now: float,
        boot_now: float,
    ) -> Restrictions:
        """Returns which of a service's upstreams are restricted now."""
        if not self.starts or not applies(service):
            return NONE
        cold, closed = set(), set()
        for one in candidates:
            start = self.starts.get(one.entry.incarnation())
            if start is None:
                continue
            if now < start.until:
                cold.add(one.entry.upstream_id)
            share = self.share(one.entry, service, now, boot_now)
            if share is not None and start.used(now) >= share:
                closed.add(one.entry.upstream_id)
        return Restrictions(cold=frozenset(cold), closed=frozenset(closed))

    def take(
        self,
        entry: model.UpstreamEntry,
        service: model.Service,
        now: float,
        boot_now: float,
    ) -> ColdPlace | None:
        """Takes a place for a request; None if it needs none.

        Raises NoPlaceError if there is no free one.
        """
        start = self.starts.get(entry.incarnation())
        share = self.share(entry, service, now, boot_now)
        if start is None or share is None:
            return None
        if start.used(now) >= share:
            raise NoPlaceError
        start.pending += 1
        return ColdPlace(start=start)

    def share(
        self,
        entry: model.UpstreamEntry,
        service: model.Service,
        now: float,
        boot_now: float,
    ) -> int | None:
        """Returns this instance's requests a second, None if unlimited."""
        start = self.starts.get(entry.incarnation())
        if start is None or not applies(service):
            return None
        if now - start.until > (MAX_STEPS + 1) * STEP_S:
            return None
        rate_per_s = service.cold_per_s * 2 ** self.steps(entry, start, now)
        is_cold = now < start.until
        if not is_cold and rate_per_s >= entry.slots / CALL_S:
            return None
        if now < start.closed_until or not self.members.may_share(
            now, boot_now
        ):
            return 0
        members = self.members.counted(now)
        rank = self.rank(entry.incarnation(), start, members)
        return share_of(rate_per_s, rank, len(members))

    def steps(
        self, entry: model.UpstreamEntry, start: ColdStart, now: float
    ) -> int:
        """Returns how often the rate has doubled for this instance."""
        if now < start.until:
            return 0
        offset = routing.hash_fraction(
            f'{entry.incarnation()}{_SEPARATOR}{self.members.own}'
        )
        steps = math.floor((now - start.until) / STEP_S - offset) + 1
        return min(max(steps, 0), MAX_STEPS)

    def rank(
        self,
        incarnation: str,
        start: ColdStart,
        members: collections.abc.Set[str],
    ) -> int:
        """Returns the rank of this instance for an upstream."""
        if start.ranked_at != self.members.changes:
            start.rank = rank_of(incarnation, self.members.own, members)
            start.ranked_at = self.members.changes
        return start.rank

    def warm(
        self,
        service: model.Service | None,
        known: list[upstreams_lib.Upstream],
        now: float,
    ) -> list[upstreams_lib.Upstream]:
        """Returns the upstreams that are not cold; all if all are."""
        if not self.starts or not applies(service):
            return known
        return [one for one in known if not self.is_cold(one, now)] or known

    def cold_now(
        self,
        known: collections.abc.Iterable[upstreams_lib.Upstream],
        services: collections.abc.Mapping[str, model.Service],
        now: float,
    ) -> list[upstreams_lib.Upstream]:
        """Returns the upstreams that count as cold."""
        return [
            one
            for one in known
            if applies(services.get(one.entry.service))
            and self.is_cold(one, now)
        ]

    def is_cold(self, upstream: upstreams_lib.Upstream, now: float) -> bool:
        """Returns whether an upstream says that it is cold."""
        start = self.starts.get(upstream.entry.incarnation())
        return start is not None and now < start.until

    def keep_only(
        self, known: collections.abc.Iterable[upstreams_lib.Upstream]
    ) -> None:
        """Forgets all other upstreams."""
        kept = {one.entry.incarnation() for one in known}
        for name in self.starts.keys() - kept:
            del self.starts[name]
