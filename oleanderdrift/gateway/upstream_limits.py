"""Follows the rates that upstreams take from all instances together.

An upstream in need names a rate in its answers.  It binds all instances, but
only those hear of it that sent a request there, at different times, and one
that sends little hears last.  So instances tell each other what they heard,
and the newest statement of any instance holds for all.  How the rate is
shared is left to the rate limiter, which does the same for client accounts.

A prompt is cached where the conversation was before.  Tokens are kept for
turns that continue where they were: if each limited upstream took turns of
any conversation, the others would have to process these conversations anew.

A limit holds until the upstream answers without one, or until it has gone.
One that gets no requests says nothing, so even the lowest limit lets some
through.
"""

import collections
import collections.abc
import typing

import attrs
import msgspec

from oleanderdrift.gateway import allotments
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import upstreams as upstreams_lib

# Seconds of the rate that may be spent at once after a pause in demand.
BURST_S: typing.Final = 1.0
# Tokens are kept for conversations only if more than one fits in the bucket.
MIN_BURST: typing.Final = 3.0
# An engine that is slower than this by its load makes programs late.
MAX_SLOWNESS: typing.Final = 1.75
# An upstream that gets nothing cannot say that its limit has ended.
MIN_RATE_PER_S: typing.Final = 0.25
# The end of a limit is told for this long; by then all peers were heard.
END_REPORTED_S: typing.Final = 5.0


@attrs.frozen(kw_only=True)
class UpstreamLimit:
    """The limit of one incarnation of an upstream."""

    name: str
    rate_per_s: float
    burst: float


@attrs.frozen(kw_only=True)
class Statement:
    """The rate that an upstream named at a time, None if it named none."""

    rate_per_s: float | None
    at: float


class Report(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What an instance last heard of an upstream's limit itself."""

    rate_per_s: bounds.PerSecond | None
    age_s: bounds.Seconds


@attrs.define(kw_only=True)
class UpstreamLimits:
    """The limits of upstreams as this instance knows them.

    All are by the name of the limit.  newest holds the newest statement that
    any instance heard, and own what this one heard.  reported holds the rates
    that peers have been told.  waiting counts the requests here that wait for
    a token, by service.
    """

    limiter: allotments.RateLimiter
    newest: dict[str, Statement] = attrs.field(factory=dict)
    own: dict[str, Statement] = attrs.field(factory=dict)
    reported: dict[str, float | None] = attrs.field(factory=dict)
    waiting: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def note_answer(
        self, upstream: upstreams_lib.Upstream, rate: float | None, now: float
    ) -> bool:
        """Applies an answer to this instance; returns whether that changed.

        rate is the one that the answer names, if it names one.
        """
        name = upstream.entry.incarnation()
        if rate is None and name not in self.newest:
            return False
        self.own[name] = Statement(rate_per_s=rate, at=now)
        return self.apply(name, self.own[name], now)

    def note_reports(
        self, reports: dict[str, Report], now: float
    ) -> list[str]:
        """Applies what a peer heard; returns the limits that changed."""
        changed = []
        for name, one in reports.items():
            if one.rate_per_s is None and name not in self.newest:
                continue
            heard = Statement(rate_per_s=one.rate_per_s, at=now - one.age_s)
            if self.apply(name, heard, now):
                changed.append(name)
        return changed

    def apply(self, name: str, heard: Statement, now: float) -> bool:
        """Applies a statement, if it is the newest; returns if it changed."""
        known = self.newest.get(name)
        if known is not None and heard.at < known.at:
            return False
        self.newest[name] = heard
        rate = heard.rate_per_s
        if rate is None:
            self.limiter.remove_upstream(name)
            own = self.own.get(name)
            if own is not None and own.rate_per_s is not None:
                # Peers that start later must not hear of it from here.
                del self.own[name]
        else:
            self.limiter.set_upstream(_limit(name, rate), now)
        before = known.rate_per_s if known is not None else None
        return rate != before

    def reports(self, now: float) -> dict[str, Report]:
        """Returns what this instance heard itself, for its peers."""
        ended = [
            name
            for name, one in self.own.items()
            if one.rate_per_s is None and now - one.at > END_REPORTED_S
        ]
        for name in ended:
            del self.own[name]
        self.reported = self.own_rates()
        return {
            name: Report(
                rate_per_s=one.rate_per_s, age_s=max(now - one.at, 0.0)
            )
            for name, one in self.own.items()
        }

    def own_rates(self) -> dict[str, float | None]:
        """Returns the rates that this instance heard itself."""
        return {name: one.rate_per_s for name, one in self.own.items()}

    def has_unreported(self) -> bool:
        """Returns whether peers have not been told of a change."""
        return self.own_rates() != self.reported

    def restart(self) -> None:
        """Tells peers nothing that was heard before a pause.

        Its age is unknown, and the limit may have ended meanwhile.
        """
        self.own.clear()

    def rate_per_s(self, upstream: upstreams_lib.Upstream) -> float | None:
        """Returns the limit of an upstream, None if there is none."""
        limit = self.limiter.upstreams.get(upstream.entry.incarnation())
        return limit.rate_per_s if limit is not None else None

    def note_demand(
        self, upstream: upstreams_lib.Upstream, now: float
    ) -> None:
        """Counts a request that would go to an upstream."""
        limit = self.limiter.upstreams.get(upstream.entry.incarnation())
        if limit is not None:
            self.limiter.note_demand(limit, now)

    def may_send(
        self,
        upstream: upstreams_lib.Upstream,
        now: float,
        may_use_reserve: bool,
    ) -> bool:
        """Returns whether a request has a chance to be sent now.

        may_use_reserve says that tokens are kept for requests like it.
        """
        limit = self.limiter.upstreams.get(upstream.entry.incarnation())
        if limit is None:
            return True
        return self.limiter.has_token(limit, now, may_use_reserve)

    def try_send(
        self,
        upstream: upstreams_lib.Upstream,
        now: float,
        may_use_reserve: bool,
    ) -> bool:
        """Takes a token for a request; returns whether it may be sent."""
        limit = self.limiter.upstreams.get(upstream.entry.incarnation())
        if limit is None:
            return True
        return self.limiter.spend(limit, now, may_use_reserve) is None

    def can_begin(
        self,
        service: str,
        engines: collections.abc.Iterable[upstreams_lib.Upstream],
        now: float,
    ) -> bool:
        """Returns whether a program may begin on some of the engines.

        Where some have a limit, the others get what those do not take, and
        may have more slots than they can serve in time.  Requests of programs
        under way, which wait, go before new ones.
        """
        if self.waiting[service]:
            return False
        found = list(engines)
        return len(self.overloaded(found, now)) < len(found)

    def overloaded(
        self,
        engines: collections.abc.Sequence[upstreams_lib.Upstream],
        now: float,
    ) -> set[str]:
        """Returns the ids of the engines on which no program may begin."""
        rates = [self.rate_per_s(one) for one in engines]
        if all(rate is None for rate in rates):
            return set()
        return {
            one.entry.upstream_id
            for one, rate in zip(engines, rates, strict=True)
            if (
                one.load_slowness(now) > MAX_SLOWNESS
                if rate is None
                else not self.may_send(one, now, may_use_reserve=False)
            )
        }

    def keep_only(
        self, known: collections.abc.Iterable[upstreams_lib.Upstream]
    ) -> None:
        """Forgets the limits of all other upstreams."""
        kept = {one.entry.incarnation() for one in known}
        for name in self.newest.keys() - kept:
            self.limiter.forget_upstream(name)
            del self.newest[name]
            self.own.pop(name, None)


def _limit(name: str, rate_per_s: float) -> UpstreamLimit:
    """Returns the limit for a rate that an upstream names."""
    rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
    return UpstreamLimit(
        name=name,
        rate_per_s=rate_per_s,
        burst=max(rate_per_s * BURST_S, MIN_BURST),
    )
