"""Chooses the upstream that a request is sent to next.

Joins what `placement` says is best with what `upstream_limits`,
`cold_shares` and `prompt_waits` allow.
"""

import asyncio
import collections.abc
import random
import typing

import attrs

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import continuations
from oleanderdrift.gateway import engine_admission
from oleanderdrift.gateway import engine_memory
from oleanderdrift.gateway import model
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import prompt_waits
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import shared_failures
from oleanderdrift.gateway import upstreams

# A caller that is refused sooner uses up one of its few tries.
MAX_TOKEN_WAIT_S: typing.Final = 0.4
TOKEN_POLL_S: typing.Final = 0.05
# Usual writes to the store take some milliseconds, late ones are repeated.
MAX_LISTING_WAIT_S: typing.Final = 0.4


@attrs.frozen(kw_only=True)
class NoToken:
    """All upstreams that may get a request have got the rate they take.

    is_cold says that this is so because upstreams have just started.
    """

    is_cold: bool = False


class UpstreamChooser:
    """Chooses upstreams by the board's state and the idle connections."""

    def __init__(
        self, board: board_lib.Board, pool: connection_pool.Pool
    ) -> None:
        self.board = board
        self.pool = pool
        self.chance = random.Random()
        self.prompts = prompt_waits.PromptWaits(board)

    async def acquire(
        self, progress: progress_lib.Progress
    ) -> upstreams.Upstream | None:
        """Returns the upstream to try next, None if there is none.

        Where all have got the rate that they take, waits for a token.
        Raises ResultError if none comes in time.
        """
        await self.wait_for_origins(progress)
        await self.prompts.wait(progress, self.candidates)
        choice = self.choose(progress)
        if not isinstance(choice, NoToken):
            return choice
        admitted = progress.admitted
        waiting = self.board.upstream_limits.waiting
        # New programs need not stand back for a share of a cold upstream.
        weight = 0 if choice.is_cold else 1
        waiting[admitted.service.name] += weight
        try:
            until = clock.monotonic() + MAX_TOKEN_WAIT_S
            while isinstance(choice, NoToken):
                now = clock.monotonic()
                may_wait = now < until
                if not progress.sent and (
                    (admitted.begins_program and not choice.is_cold)
                    or not may_wait
                ):
                    raise engine_admission.limited_error(
                        admitted.request.request_id,
                        begins_program=admitted.begins_program,
                    )
                if choice.is_cold and now >= progress.deadline:
                    # A share may stay empty for as long as upstreams are cold.
                    return None
                await asyncio.sleep(TOKEN_POLL_S)
                choice = self.choose(progress, has_waited=True)
        finally:
            waiting[admitted.service.name] -= weight
        return choice

    async def wait_for_origins(self, progress: progress_lib.Progress) -> None:
        """Waits for a moment until a stream may begin somewhere.

        That is at the start of an instance, and where a service has been
        replaced as a whole.
        """
        service = progress.admitted.service.name
        if (
            progress.origin is not None
            or not progress.admitted.route.is_resumable_stream()
        ):
            return
        until = clock.monotonic() + MAX_LISTING_WAIT_S
        while clock.monotonic() < until:
            known = self.board.upstreams.of_service(
                service, True, self.inside(progress)
            )
            if not known or self.board.origins.of_listed(known, clock.boot()):
                return
            await asyncio.sleep(TOKEN_POLL_S)

    def choose(
        self, progress: progress_lib.Progress, has_waited: bool = False
    ) -> upstreams.Upstream | NoToken | None:
        """Returns the upstream to try next, with a token for the request.

        One that is cold is taken only where no other may get the request.
        """
        candidates = self.candidates(progress)
        now, boot_now = clock.monotonic(), clock.boot()
        service = progress.admitted.service
        shares = self.board.cold_shares
        held = shares.restrictions(service, candidates, now, boot_now)
        shut = held.cold | held.closed
        choice: upstreams.Upstream | NoToken | None = None
        if reading := self.prompts.reading(progress, candidates, shut, now):
            choice = self.choose_open(
                progress, candidates, shut | reading, now, has_waited
            )
        if not isinstance(choice, upstreams.Upstream):
            choice = self.choose_open(
                progress, candidates, shut, now, has_waited
            )
        if held.cold and not isinstance(choice, upstreams.Upstream):
            choice = self.choose_open(
                progress, candidates, held.closed, now, has_waited
            )
        if isinstance(choice, upstreams.Upstream):
            if held is not cold_shares.NONE:
                progress.cold_place = shares.take(
                    choice.entry, service, now, boot_now
                )
        elif not held.closed.issubset(progress.excluded):
            return NoToken(is_cold=True)
        return choice

    def choose_open(
        self,
        progress: progress_lib.Progress,
        candidates: list[upstreams.Upstream],
        shut: frozenset[str],
        now: float,
        has_waited: bool,
    ) -> upstreams.Upstream | NoToken | None:
        """Returns the upstream to try next of those that are not shut.

        Tokens are kept for requests that have waited, and at the upstreams
        that have most of the request's conversation.
        """
        limits = self.board.upstream_limits
        best = self.best(progress, candidates, shut, now)
        if best is None or not limits.newest:
            return best
        # Also while there is no token, so that the demand stays known.
        limits.note_demand(best, now)
        home = self.home(progress, candidates, has_waited)
        busy = set(shut) | {
            one.entry.upstream_id
            for one in candidates
            if not limits.may_send(one, now, one.entry.upstream_id in home)
        }
        if progress.admitted.begins_program:
            busy |= limits.overloaded(candidates, now)
        while True:
            upstream = self.best(progress, candidates, busy, now)
            if upstream is None:
                return NoToken()
            upstream_id = upstream.entry.upstream_id
            if upstream is not best:
                limits.note_demand(upstream, now)
            if limits.try_send(upstream, now, upstream_id in home):
                return upstream
            busy.add(upstream_id)

    def best(
        self,
        progress: progress_lib.Progress,
        candidates: list[upstreams.Upstream],
        busy: collections.abc.Set[str],
        now: float,
    ) -> upstreams.Upstream | None:
        """Returns the best of the candidates that are not busy."""
        admitted = progress.admitted
        cost_s = shared_failures.failure_cost_s(
            may_repeat=admitted.may_repeat(), is_turn=admitted.is_turn()
        )
        return placement.choose(
            candidates,
            admitted.request,
            self.place(candidates, now, admitted.route),
            now,
            self.chance,
            progress.excluded,
            busy,
            self.board.failures.expected_loss_s(cost_s, now),
        )

    def home(
        self,
        progress: progress_lib.Progress,
        candidates: list[upstreams.Upstream],
        has_waited: bool,
    ) -> set[str]:
        """Returns the upstreams whose kept tokens a request may use."""
        if progress.admitted.begins_program:
            return set()
        ids = {one.entry.upstream_id for one in candidates}
        prompt = progress.admitted.request.prompt
        if has_waited or not prompt:
            return ids
        uncached = {
            one.entry.upstream_id: one.uncached_tokens(prompt)
            for one in candidates
        }
        fewest = min(uncached.values(), default=0)
        return {one for one in ids if uncached[one] == fewest}

    def candidates(
        self, progress: progress_lib.Progress
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams that may get a request."""
        admitted = progress.admitted
        candidates = self.board.upstreams.of_service(
            admitted.service.name,
            self.board.freshness.in_lapse_grace(clock.boot()),
            self.inside(progress),
        )
        if progress.origin is not None:
            candidates = continuations.at_origin(candidates, progress.origin)
        elif admitted.route.is_resumable_stream():
            candidates = self.board.origins.of_listed(candidates, clock.boot())
        if len(progress.possibly_ran) < admitted.route.attempts:
            return engine_memory.with_room(
                candidates,
                admitted.service,
                admitted.request,
                clock.monotonic(),
                progress.excluded,
                self.board.silent_data_centres,
            )
        # Only upstreams that may have run it already may get it again.
        return [
            one
            for one in candidates
            if one.entry.upstream_id in progress.possibly_ran
        ]

    def inside(self, progress: progress_lib.Progress) -> regions.Inside:
        """Returns the data centres that a request may reach."""
        admitted = progress.admitted
        return self.board.inside(admitted.route, admitted.account)

    def place(
        self,
        candidates: list[upstreams.Upstream],
        now: float,
        route: model.Route,
    ) -> placement.Place:
        """Returns where requests are placed from."""
        call_s = self.board.call_speeds.usual_s(route)
        return placement.Place(
            data_centre=self.board.settings.data_centre,
            instances=self.board.instances,
            connected=frozenset(
                one.entry.upstream_id
                for one in candidates
                if self.pool.has_idle(one.key(), now)
            ),
            silent_data_centres=self.board.silent_data_centres,
            call_s=placement.CALL_S if call_s is None else call_s,
        )
