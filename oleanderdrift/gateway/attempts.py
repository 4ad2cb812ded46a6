"""Sends a request to upstreams until one has answered."""

import asyncio
import functools
import random
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import answer_relay
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import path_monitor
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import refusals
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import turn_flow
from oleanderdrift.gateway import upstream_choice
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstream_probes
from oleanderdrift.gateway import upstreams

MAX_TRIES: typing.Final = 4
# The next upstream would crash as well, or the caller's next try is as good.
MAX_CRASHES: typing.Final = 2


class Attempts:
    """Tries upstreams, chosen by the board's state."""

    def __init__(
        self,
        board: board_lib.Board,
        codec: ports.Codec,
        turns: turn_flow.TurnFlow,
        origins: origin_log.OriginLog,
        event_log: event_log.EventLog,
    ) -> None:
        self.board = board
        self.codec = codec
        self.turns = turns
        self.events = event_log
        self.pool = connection_pool.Pool(
            link=board.link, max_idle=board.caller_limits.idle_upstreams
        )
        self.connections = upstream_connections.UpstreamConnections(
            board, self.pool, event_log, random.Random()
        )
        self.paths = path_monitor.PathMonitor(
            board, self.connections, self.pool
        )
        self.crashes = crash_detector.CrashDetector(
            board,
            self.pool,
            event_log,
            random.Random(),
            self.connections.witness,
        )
        self.probes = upstream_probes.UpstreamProbes(
            board,
            self.connections,
            codec,
            self.crashes,
            event_log,
            random.Random(),
        )
        self.relay = answer_relay.AnswerRelay(
            board, turns, self.crashes, origins
        )
        self.chooser = upstream_choice.UpstreamChooser(board, self.pool)
        self.region_refusals = 0

    async def run(
        self, progress: progress_lib.Progress, reply: reply_lib.Reply
    ) -> None:
        """Sends a request to upstreams until one has answered.

        Raises ResultError if none does; its code says whether the request
        may have run.  Raises ClientDisconnectedError if the caller has left
        before a try.
        """
        for _ in range(MAX_TRIES):
            _check_caller(progress)
            self.check_blocked(progress)
            upstream = await self.chooser.acquire(progress)
            if upstream is None:
                break
            progress.upstream = upstream.entry.upstream_id
            self.log_continued(progress, upstream)
            self.log_prompt_wait(progress)
            request = progress.admitted.request
            upstream.own_requests += 1
            upstream.own_held_tokens += request.memory_tokens()
            if progress.admitted.service.is_engine:
                upstream.silence_timeout_s = upstreams.ENGINE_SILENCE_S
            progress.uncached_tokens = upstream.uncached_tokens(request.prompt)
            progress.running_requests = (
                upstream.own_requests + upstream.peer_requests
            )
            progress.unread_tokens = (
                progress.uncached_tokens
                + upstream.pending_tokens
                + upstream.peer_pending_tokens
            )
            upstream.add_pending_tokens(request.request_id, request.prompt)
            self.crashes.begin(progress, upstream)
            try:
                done = await self.try_one(progress, upstream, reply)
            finally:
                self.crashes.end(progress, upstream)
                progress.release_cold_place()
                upstream.own_requests -= 1
                upstream.own_held_tokens -= request.memory_tokens()
                upstream.open_calls.pop(request.request_id, None)
                upstream.clear_pending_tokens(request.request_id)
            if done:
                return
        if progress.sent:
            raise errors.ResultError(
                codes.UPSTREAM_FAILED, progress.last_reason
            )
        inside = self.chooser.inside(progress)
        if inside is not None:
            self.note_region_refusal(progress)
        raise refusals.no_upstream(
            self.board.upstreams,
            progress.admitted.service.name,
            progress.last_reason,
            inside,
        )

    def note_region_refusal(self, progress: progress_lib.Progress) -> None:
        """Counts and logs a refused request that is bound to regions."""
        self.region_refusals += 1
        admitted = progress.admitted
        allowed = regions.allowed(admitted.route, admitted.account)
        self.events.info(
            'regions-unreachable',
            request=admitted.request.request_id,
            allowed=','.join(sorted(allowed or ())),
            own=self.board.settings.region,
        )

    async def try_one(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        reply: reply_lib.Reply,
    ) -> bool:
        """Tries one upstream; returns whether the request has its answer."""
        started = clock.monotonic()
        # Set before the first byte may be sent.
        was_sent = progress.sent
        progress.sent = True
        upstream_id = upstream.entry.upstream_id
        is_repeat = upstream_id in progress.possibly_ran
        if is_repeat:
            progress.excluded.add(upstream_id)
        progress.possibly_ran.add(upstream_id)
        outcome = await exchange.send_request(
            self.connections,
            self.codec,
            self.board,
            upstream,
            exchange.Outgoing(
                admitted=progress.admitted,
                body=progress.body,
                deadline=progress.deadline,
                last_event_id=progress.last_event_id,
                is_first=not was_sent,
                keeps_version=progress.admitted.route.is_resumable_stream(),
                continues=progress.origin is not None,
                begin=functools.partial(self.begin, progress, upstream),
                checks_start=cold_shares.applies(progress.admitted.service),
            ),
        )
        match outcome:
            case exchange.NotSent():
                progress.sent = was_sent
                self.note_failed_try(progress, upstream, outcome.error.detail)
                if was_sent:
                    raise errors.ResultError(
                        codes.UPSTREAM_FAILED, outcome.error.detail
                    )
                raise outcome.error
            case exchange.NotConnected():
                progress.sent = was_sent
                # If it ran the request earlier, it is gone now.
                progress.possibly_ran.discard(upstream_id)
                progress.excluded.add(upstream_id)
                upstream.note_failure(clock.monotonic())
                self.note_failed_try(progress, upstream, outcome.reason)
                return False
            case exchange.NotVerified():
                progress.sent = was_sent
                progress.excluded.add(upstream_id)
                if not is_repeat:
                    progress.possibly_ran.discard(upstream_id)
                self.note_failed_try(progress, upstream, outcome.reason)
                return False
            case exchange.IsLeaving():
                progress.sent = was_sent
                progress.excluded.add(upstream_id)
                if not is_repeat:
                    progress.possibly_ran.discard(upstream_id)
                self.note_failed_try(progress, upstream, 'it is leaving')
                return False
            case exchange.NotAllowed():
                progress.sent = was_sent
                progress.excluded.add(upstream_id)
                if not is_repeat:
                    progress.possibly_ran.discard(upstream_id)
                self.note_failed_try(progress, upstream, outcome.reason)
                return False
            case exchange.NotRun():
                self.note_rate_limit(progress, upstream, outcome.head)
                progress.sent = was_sent
                progress.begun = was_sent
                progress.excluded.add(upstream_id)
                if not is_repeat:
                    progress.possibly_ran.discard(upstream_id)
                if outcome.head.status == exchange.MISDIRECTED:
                    self.board.upstreams.remove(
                        upstream.entry.upstream_id, clock.monotonic()
                    )
                self.note_failed_try(
                    progress, upstream, f'status {outcome.head.status}'
                )
                return False
            case exchange.MayHaveRun():
                return await self.handle_broken(
                    progress, upstream, outcome.reason, outcome.via
                )
            case exchange.ResponseStarted():
                self.note_rate_limit(progress, upstream, outcome.head)
                return await self.relay_answer(
                    progress, upstream, outcome, reply, started
                )

    def begin(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Notes that a request is sent; raises as _check_caller does.

        Raises NoPlaceError if the upstream has become cold since it was
        chosen, and this instance may not send it the request.
        """
        _check_caller(progress)
        now = clock.monotonic()
        place = progress.cold_place or self.board.cold_shares.take(
            upstream.entry, progress.admitted.service, now, clock.boot()
        )
        if place is not None:
            place.note_sent(now)
        progress.begun = True

    def log_continued(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Logs which software version continues a stream that has begun."""
        if progress.last_event_id is None:
            return
        self.events.info(
            'stream-continued',
            request=progress.admitted.request.request_id,
            resumes=progress.admitted.request.resumes,
            after=progress.last_event_id,
            began=progress.origin.version if progress.origin else '',
            upstream=upstream.entry.upstream_id,
            software=upstream.entry.version,
        )

    def log_prompt_wait(self, progress: progress_lib.Progress) -> None:
        """Logs once for how long a long prompt waited for an engine."""
        if progress.prompt_wait_s:
            self.events.info(
                'prompt-waited',
                request=progress.admitted.request.request_id,
                upstream=progress.upstream,
                ms=round(progress.prompt_wait_s * 1_000),
            )
            progress.prompt_wait_s = 0.0

    def note_rate_limit(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        head: ports.UpstreamHead,
    ) -> None:
        """Applies the rate limit that an answer names, if any."""
        if not self.board.upstream_limits.note_answer(
            upstream, head.rate_limit_per_s, clock.monotonic()
        ):
            return
        self.events.info(
            'upstream-rate-limit',
            request=progress.admitted.request.request_id,
            upstream=upstream.entry.upstream_id,
            status=head.status,
            rate_per_s=head.rate_limit_per_s,
        )

    def note_failed_try(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        reason: str,
    ) -> None:
        """Logs why an upstream did not answer."""
        progress.last_reason = reason
        self.events.info(
            'upstream-failed',
            request=progress.admitted.request.request_id,
            upstream=upstream.entry.upstream_id,
            reason=reason,
        )

    def check_blocked(self, progress: progress_lib.Progress) -> None:
        """Raises ResultError if upstreams crashed under this request."""
        left_s = self.board.crashes.blocked_for_s(
            progress.fingerprints, clock.monotonic()
        )
        if left_s <= 0:
            return
        raise errors.ResultError(
            codes.UPSTREAM_FAILED if progress.sent else codes.REQUEST_BLOCKED,
            f'upstreams crashed under {progress.fingerprints}',
            retry_after_s=left_s,
        )

    async def handle_broken(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        reason: str,
        via: str,
    ) -> bool:
        """Prepares for another try after a broken exchange.

        via names the peer that carried it, if any.  Raises ResultError if
        the request must not be sent again.
        """
        self.note_failed_try(progress, upstream, reason)
        if not via:
            self.connections.note_broken(clock.monotonic())
            self.paths.start_probe(upstream)
        if not via and upstream.path.loss is not None:
            self.note_lost_on_path(progress, upstream, reason)
            return False
        if not via:
            self.board.failures.note_failure(
                upstream.entry.incarnation(), clock.monotonic()
            )
        check = self.crashes.note_broken(progress, upstream)
        if not progress.admitted.may_repeat():
            if not via:
                upstream.note_failure(clock.monotonic())
            raise errors.ResultError(codes.UPSTREAM_FAILED, reason)
        if await asyncio.shield(check):
            # It runs no more there, and the upstream is not to blame.
            progress.possibly_ran.discard(upstream.entry.upstream_id)
            progress.excluded.add(upstream.entry.upstream_id)
            progress.crashes += 1
            if progress.crashes >= MAX_CRASHES:
                raise errors.ResultError(codes.UPSTREAM_FAILED, reason)
            return False
        if not via:
            upstream.note_failure(clock.monotonic())
        if upstream.entry.data_centre in self.board.silent_data_centres:
            # It cannot be reached, so another one may run the request.
            progress.possibly_ran.discard(upstream.entry.upstream_id)
            progress.excluded.add(upstream.entry.upstream_id)
        return False

    def note_lost_on_path(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        reason: str,
    ) -> None:
        """Prepares for another try after the direct path was lost.

        The upstream is not to blame if a peer reaches it.  Raises ResultError
        if the request must not be sent again.
        """
        if not upstream.path.confirmed:
            upstream.note_failure(clock.monotonic())
        if not progress.admitted.may_repeat():
            raise errors.ResultError(codes.UPSTREAM_FAILED, reason)

    async def relay_answer(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.ResponseStarted,
        reply: reply_lib.Reply,
        started: float,
    ) -> bool:
        """Relays an answer; returns whether it was complete."""
        connection = outcome.connection
        try:
            await self.relay.relay(progress, upstream, outcome, reply, started)
        except buffering.ChannelError as error:
            connection.close()
            done = await self.handle_broken(
                progress, upstream, str(error), connection.via
            )
            if reply.started and progress.last_event_id is None:
                # Nothing that another upstream sends can follow.
                raise errors.ResultError(
                    codes.UPSTREAM_FAILED, progress.last_reason
                ) from error
            return done
        except BaseException:
            # Closing the connection makes the upstream stop.
            connection.close()
            raise
        finally:
            upstream.abortable.pop(connection, None)
            self.connections.forget(connection)
        now = clock.monotonic()
        upstream.note_success()
        self.board.crashes.note_success(progress.fingerprints)
        self.board.failures.note_answer(upstream.entry.incarnation(), now)
        self.connections.release(upstream, connection, now)
        return True


def _check_caller(progress: progress_lib.Progress) -> None:
    """Raises ClientDisconnectedError if the caller has left."""
    if progress.caller_left:
        raise reply_lib.ClientDisconnectedError
