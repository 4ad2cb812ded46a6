"""Decides on which engines long and short prompts are read.

The load it answers: engines read prompts in order of arrival.  A long prompt
that is not cached delays the first tokens of short ones behind it and the
tokens of all that run there, and two at once do so for twice as long.  So an
engine reads one long prompt at a time as far as this instance knows; another
one waits for a moment where all engines read one.
"""

import collections.abc
import typing

import attrs

from oleanderdrift.gateway import model
from oleanderdrift.gateway import upstreams as upstreams_lib

# A prompt is long if reading it takes more than this part of a target.
LONG_FRACTION: typing.Final = 0.1
# A long prompt waits for at most this part of its own target.
WAIT_FRACTION: typing.Final = 0.25
# Both kinds of prompts must have come within this time.
MIX_S: typing.Final = 5.0
# Looking up a prompt in the caches of 60 engines takes 0.1 ms.
LOOK_S: typing.Final = 0.1
# The age of a peer's state when it comes.  Taken for new, states of prompts
# that have been read meanwhile kept both kinds from engines that were free.
STATE_AGE_S: typing.Final = 0.1
# Some tenths of the time that a long prompt is read for.
POLL_S: typing.Final = 0.01

Engines: typing.TypeAlias = collections.abc.Sequence[upstreams_lib.Upstream]
Prompt: typing.TypeAlias = tuple[model.PromptPart, ...]


def read_s(engine: upstreams_lib.Upstream, tokens: int) -> float:
    """Returns how long an engine reads prompt tokens for."""
    return tokens * engine.engine.reading_s()


def long_s(config: model.Configuration, service: str) -> float:
    """Returns from which reading time on a service's prompts are long."""
    targets = [
        route.target_s
        for route in config.routes
        if any(one.service == service for one in route.services)
    ]
    return LONG_FRACTION * min(targets, default=float('inf'))


def is_reading(
    engine: upstreams_lib.Upstream, limit_s: float, now: float
) -> bool:
    """Returns whether an engine reads a long prompt, as far as known.

    Of a peer, the sum of its unread prompts there is known, of which the
    engine has read a part since.
    """
    if not engine.pending_by_request and not engine.pending_by_peer:
        return False
    return any(
        read_s(engine, tokens) > limit_s
        for tokens in engine.pending_by_request.values()
    ) or any(
        read_s(engine, tokens) - (now - heard_at) - STATE_AGE_S > limit_s
        for tokens, heard_at in engine.pending_by_peer.values()
    )


@attrs.define(kw_only=True)
class Mix:
    """When prompts of both kinds last came to a service.

    looked_at is when the caches were last looked up for it.
    queue has the requests whose long prompts wait, in order, by request id.
    """

    short_at: float = float('-inf')
    long_at: float = float('-inf')
    looked_at: float = float('-inf')
    queue: dict[str, None] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class PrefillAdmission:
    """The kinds of prompts that came, and those that wait, by service."""

    mixes: dict[str, Mix] = attrs.field(factory=dict)

    def waiting(self) -> int:
        """Returns the number of prompts that wait."""
        return sum(len(mix.queue) for mix in self.mixes.values())

    def is_mixed(self, service: str, now: float) -> bool:
        """Returns whether prompts of both kinds came lately."""
        mix = self.mixes.get(service)
        return (
            mix is not None and now - min(mix.short_at, mix.long_at) <= MIX_S
        )

    def note_prompt(
        self,
        service: str,
        engines: Engines,
        prompt: Prompt,
        limit_s: float,
        now: float,
    ) -> None:
        """Notes the kind of a prompt that has come.

        The caches are looked up for some of the prompts only.
        """
        if not engines:
            return
        mix = self.mixes.setdefault(service, Mix())
        tokens = sum(part.tokens for part in prompt)
        if min(read_s(one, tokens) for one in engines) <= limit_s:
            mix.short_at = now
        elif now - max(mix.looked_at, mix.long_at) > LOOK_S:
            mix.looked_at = now
            if is_long(engines, prompt, limit_s):
                mix.long_at = now
            else:
                mix.short_at = now

    def must_wait(
        self,
        service: str,
        engines: Engines,
        request: model.Request,
        limit_s: float,
        now: float,
    ) -> bool:
        """Returns whether a long prompt has to wait for an engine now."""
        if not self.is_mixed(service, now):
            return False
        queue = self.mixes[service].queue
        is_next = next(iter(queue), request.request_id) == request.request_id
        if is_next and not all(
            is_reading(one, limit_s, now) for one in engines
        ):
            return False
        return is_long(engines, request.prompt, limit_s)

    def shut(
        self,
        service: str,
        engines: Engines,
        request: model.Request,
        limit_s: float,
        now: float,
    ) -> frozenset[str]:
        """Returns the ids of the engines that others are preferred to.

        There are none if all others have their slots taken: waiting for a
        slot takes longer than any prompt.
        """
        if not self.is_mixed(service, now):
            return frozenset()
        found = {
            one.entry.upstream_id
            for one in engines
            if is_reading(one, limit_s, now)
        }
        if found and not is_long(engines, request.prompt, limit_s):
            found.update(
                one.entry.upstream_id
                for one in engines
                if is_long([one], request.prompt, limit_s)
            )
        has_room = any(
            one.entry.upstream_id not in found
            and one.own_requests + one.peer_requests < one.entry.slots
            for one in engines
        )
        return frozenset(found) if has_room else frozenset()


def is_long(engines: Engines, prompt: Prompt, limit_s: float) -> bool:
    """Returns whether a prompt takes long to read on all engines."""
    if not engines:
        return False
    tokens = sum(part.tokens for part in prompt)
    return all(
        # The caches are looked up only for prompts that may be long.
        read_s(one, tokens) > limit_s
        and read_s(one, one.uncached_tokens(prompt)) > limit_s
        for one in engines
    )
