"""Handles a request from admission to the end of its response."""

import asyncio
import collections.abc
import contextlib
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import attempts
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import continuations
from oleanderdrift.gateway import engine_admission
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import model
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import turn_flow
from oleanderdrift import metrics

# Enough to tell the requests of a log apart.
LOGGED_DIGITS: typing.Final = 8
# The first read of the store after a pause takes some milliseconds.
READ_WAIT_S: typing.Final = 0.1
READ_POLL_S: typing.Final = 0.005
MS_PER_S: typing.Final = 1_000.0


class Forwarder:
    """Serves client requests, using the state on the board."""

    def __init__(
        self,
        board: board_lib.Board,
        codec: ports.Codec,
        log: ports.Log,
        event_log: event_log.EventLog,
    ) -> None:
        self.board = board
        self.codec = codec
        self.turns = turn_flow.TurnFlow(board, log, event_log)
        self.origins = origin_log.OriginLog(
            board, log, self.turns.retrying_log, self.turns.share, event_log
        )
        self.attempts = attempts.Attempts(
            board, codec, self.turns, self.origins, event_log
        )
        self.events = event_log
        # The time limits of the requests under way.
        self.limits: set[asyncio.Timeout] = set()
        self.metrics = metrics.Metrics()

    async def serve(
        self, request: model.Request, reply: reply_lib.Reply
    ) -> None:
        """Serves one request and returns once its response has ended.

        Whatever is raised is not foreseen, and leaves the end of the response
        to `request_end`.
        """
        progress = None
        self.board.open_requests += 1
        result = codes.OK
        detail = ''
        try:
            await self.wait_for_read()
            admitted = admission.admit(
                self.board, request, clock.monotonic(), clock.boot()
            )
            progress = progress_lib.Progress(
                admitted=admitted,
                fingerprints=fingerprints.fingerprints(
                    request,
                    admitted.account.name if admitted.account else '',
                ),
                body=request.body,
                last_event_id=request.last_event_id,
                deadline=admission.latest_end(request, admitted.route),
            )
            reply.progress = progress
            self.attempts.check_blocked(progress)
            async with self.limit(progress.deadline):
                if continuations.is_continuation(admitted):
                    await self.find_origin(progress)
                if admitted.is_turn():
                    await self.turns.prepare(progress)
                await self.attempts.run(progress, reply)
        except errors.ResultError as error:
            result, detail = error.code, error.detail
            await self.send_error(request, reply, error)
        except TimeoutError:
            result = await self.handle_timeout(progress, request, reply)
        except reply_lib.ClientDisconnectedError:
            detail = 'client disconnected'
        except asyncio.CancelledError:
            detail = 'cancelled'
            raise
        finally:
            self.board.open_requests -= 1
            if progress is not None:
                self.turns.settle(progress)
                progress.release()
                self.note_ended(progress)
            self.record_outcome(request, progress, result, detail)

    async def wait_for_read(self) -> None:
        """Waits for a moment if the store was not read since a pause."""
        self.board.check_pause(clock.monotonic(), clock.boot())
        until = clock.monotonic() + READ_WAIT_S
        while (
            not self.board.has_read_since_pause() and clock.monotonic() < until
        ):
            await asyncio.sleep(READ_POLL_S)

    @contextlib.asynccontextmanager
    async def limit(
        self, deadline: float
    ) -> collections.abc.AsyncIterator[None]:
        """Raises TimeoutError at a deadline, or earlier after end_by."""
        async with asyncio.timeout_at(deadline) as limit:
            self.limits.add(limit)
            try:
                yield
            finally:
                self.limits.discard(limit)

    def end_by(self, deadline: float) -> None:
        """Has no request under way last longer than until a deadline."""
        for limit in self.limits:
            if (limit.when() or deadline) > deadline:
                limit.reschedule(deadline)

    async def find_origin(self, progress: progress_lib.Progress) -> None:
        """Binds a request that continues a stream to the stream's origin.

        Raises ResultError if the stream cannot go on.
        """
        admitted = progress.admitted
        origin = await continuations.find_origin(self.origins, admitted)
        progress.origin = origin
        progress.admitted = continuations.admit_at(
            admitted, origin, self.board.config, self.board.upstreams
        )

    async def handle_timeout(
        self,
        progress: progress_lib.Progress | None,
        request: model.Request,
        reply: reply_lib.Reply,
    ) -> codes.ResultCode:
        """Sends the error for an expired deadline and returns its code."""
        error = errors.ResultError(codes.OVERLOADED)
        if progress is not None and progress.sent:
            error = errors.ResultError(codes.UPSTREAM_TIMEOUT)
        elif clock.monotonic() >= self.board.stop_deadline:
            error = errors.ResultError(
                codes.SHUTTING_DOWN,
                retry_after_s=admission.RETRY_ELSEWHERE_S,
            )
        await self.send_error(request, reply, error)
        return error.code

    async def send_error(
        self,
        request: model.Request,
        reply: reply_lib.Reply,
        error: errors.ResultError,
    ) -> None:
        """Sends an error response, or aborts one that has started."""
        if reply.started:
            reply.abort()
            return
        headers = self.codec.refusal_headers(
            request.request_id, error.retry_after_s
        )
        try:
            await reply.send_complete(error.code.status, headers, b'')
        except reply_lib.ClientDisconnectedError:
            return

    def note_ended(self, progress: progress_lib.Progress) -> None:
        """Counts what a turn took of its program's time."""
        admitted = progress.admitted
        engine_admission.note_ended(
            self.board,
            admitted.request,
            admitted.service.name,
            progress.tokens,
            max(progress.first_ms, 0) / MS_PER_S,
            clock.monotonic(),
            begins_program=admitted.begins_program,
        )

    def record_outcome(
        self,
        request: model.Request,
        progress: progress_lib.Progress | None,
        result: codes.ResultCode,
        detail: str,
    ) -> None:
        """Logs the outcome of a request and updates the metrics."""
        elapsed_s = clock.monotonic() - request.received
        if progress is not None:
            account = progress.account_name()
            route = progress.admitted.route.name
            self.metrics.observe(account, route, elapsed_s)
            self.metrics.count_result(account, result)
        else:
            self.metrics.count_result('', result)
        self.events.info(
            'request',
            request=request.request_id,
            program=request.program_id,
            account=progress.account_name() if progress else '',
            fingerprint=progress.fingerprints.request[:LOGGED_DIGITS]
            if progress
            else '',
            previous=request.previous_turn,
            route=progress.admitted.route.name if progress else '',
            version=progress.admitted.config_version if progress else '',
            upstream=progress.upstream if progress else '',
            missing=progress.uncached_tokens if progress else 0,
            running=progress.running_requests if progress else 0,
            first_ms=progress.first_ms if progress else -1,
            tokens=progress.tokens if progress else 0,
            most=request.max_tokens,
            budget=request.token_budget,
            begins=progress.admitted.begins_program if progress else '',
            finish_ms=round(request.finish_s * 1_000)
            if request.finish_s is not None
            else None,
            code=result.number,
            detail=detail,
            ms=round(elapsed_s * 1_000),
        )
