"""Takes one request from admission to the end of its answer."""

import asyncio
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import events
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import model
from oleanderdrift.gateway import placement
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import records
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from oleanderdrift.gateway import upstreams

# A reservation that takes longer is given up: the store is away.
PREPARE_S: typing.Final = 1.0
# How long the end of an answer waits for the store.
END_TURN_S: typing.Final = 1.5
# Other instances give back what a program did not use after two seconds.
UNSETTLED_RETRY_S: typing.Final = 0.7
RETRY_AFTER_S: typing.Final = 0.1
# Shorter streams tell little of an engine's speed.
MIN_EVENTS_MEASURED: typing.Final = 4
MAX_TRIES: typing.Final = 4


@attrs.define(kw_only=True)
class Progress:
    """How far a request has come.

    body is what upstreams receive.  ran holds the upstreams that may have
    run it and are not known to have ended.  sent says that one may have.
    tokens are those handed to the caller.  missing and running are what
    the placement assumed, first_ms the time until the first event.
    """

    admitted: admission.Admitted
    body: bytes
    deadline: float
    reserved: bool = False
    sent: bool = False
    tokens: int = 0
    last_event_id: str | None = None
    output: list[bytes] = attrs.field(factory=list)
    input_place: asyncio.Task[records.InputPlace] | None = None
    tried: set[str] = attrs.field(factory=set)
    ran: set[str] = attrs.field(factory=set)
    missing: int = 0
    running: int = 0
    first_ms: int = -1
    upstream: str = ''
    last_reason: str = ''


class Forwarder:
    """Serves requests with what the board knows."""

    def __init__(
        self,
        board: board_lib.Board,
        codec: ports.Codec,
        log: ports.Log,
        event_log: event_log.EventLog,
    ) -> None:
        self.board = board
        self.codec = codec
        self.log = log
        self.pool = channel.Pool()
        self.budgets = budget_log.BudgetLog(log)
        self.turns = turn_log.TurnLog(log, board.settings.instance)
        self.events = event_log

    async def serve(
        self, request: model.Request, reply: reply_lib.Reply
    ) -> None:
        """Answers one request; ends when the answer has."""
        progress = None
        self.board.open_requests += 1
        result = codes.OK
        detail = ''
        try:
            admitted = admission.admit(
                self.board, request, clock.monotonic(), clock.boot()
            )
            progress = Progress(
                admitted=admitted,
                body=request.body,
                last_event_id=request.last_event_id,
                deadline=min(
                    request.deadline,
                    request.received + admitted.route.timeout_s,
                ),
            )
            async with asyncio.timeout_at(progress.deadline):
                if admitted.is_turn():
                    await self.prepare_turn(progress)
                await self.run(progress, reply)
        except errors.ResultError as error:
            result, detail = error.code, error.detail
            await self.refuse(request, reply, error)
        except TimeoutError:
            result = await self.time_out(progress, request, reply)
        except reply_lib.CallerGoneError:
            detail = 'the caller left'
        except asyncio.CancelledError:
            detail = 'cancelled'
            raise
        finally:
            self.board.open_requests -= 1
            if progress is not None:
                self.settle(progress)
            self.log_end(request, progress, result, detail)

    async def time_out(
        self,
        progress: Progress | None,
        request: model.Request,
        reply: reply_lib.Reply,
    ) -> codes.Result:
        """Answers a request whose time is over."""
        sent = progress is not None and progress.sent
        code = codes.UPSTREAM_TIMEOUT if sent else codes.OVERLOADED
        await self.refuse(request, reply, errors.ResultError(code))
        return code

    async def refuse(
        self,
        request: model.Request,
        reply: reply_lib.Reply,
        error: errors.ResultError,
    ) -> None:
        """Sends an answer of the gateway's own, or cuts one that began."""
        if reply.started:
            reply.abort()
            return
        headers = self.codec.refusal_headers(
            request.request_id, error.retry_after_s
        )
        try:
            await reply.whole(error.code.status, headers, b'')
        except reply_lib.CallerGoneError:
            return

    def settle(self, progress: Progress) -> None:
        """Gives back what a turn set aside and did not use."""
        if progress.input_place is not None:
            progress.input_place.cancel()
        if not progress.reserved:
            return
        request = progress.admitted.request
        self.budgets.settle(
            request.request_id, progress.tokens, clock.monotonic()
        )

    async def prepare_turn(self, progress: Progress) -> None:
        """Reserves a turn's tokens and gathers its conversation.

        Raises ResultError, where the turn surely was not run.
        """
        request = progress.admitted.request
        budget = request.token_budget or 0
        if self.budgets.is_spent(request.program_id, budget):
            raise self.tokens_spent(request)
        held = self.budgets.grants.take(
            request.program_id,
            request.request_id,
            request.max_tokens,
            clock.monotonic(),
        )
        progress.reserved = held
        retains = progress.admitted.route.retains
        if held and not retains:
            return
        if self.log.is_failing:
            raise self.store_away(request, 'the store fails')
        if progress.admitted.route.retains:
            progress.input_place = asyncio.create_task(
                self.turns.append_input(request.body)
            )
            progress.input_place.add_done_callback(_retrieve)
        try:
            async with asyncio.timeout(PREPARE_S):
                chain, verdict = await asyncio.gather(
                    self.chain(progress), self.reserve(progress)
                )
        except TimeoutError as error:
            raise self.store_away(request, 'the store is slow') from error
        except errors.ResultError as error:
            if error.code.status == codes.UNKNOWN_TURN.status:
                raise
            raise self.store_away(request, error.detail) from error
        match verdict:
            case budgets.Verdict.SPENT:
                raise self.tokens_spent(request)
            case budgets.Verdict.UNSETTLED:
                raise errors.ResultError(
                    codes.OVERLOADED,
                    self.budgets.describe(request.program_id),
                    retry_after_s=UNSETTLED_RETRY_S,
                )
            case budgets.Verdict.VALID:
                pass
        pieces = [piece for one in chain for piece in (one.input, one.output)]
        progress.body = b''.join([*pieces, request.body])

    def store_away(
        self, request: model.Request, reason: str
    ) -> errors.ResultError:
        """Returns the refusal of a turn that the store cannot serve."""
        elsewhere = self.board.reachability.others_have_store(
            clock.monotonic()
        )
        return errors.ResultError(
            codes.LOG_UNAVAILABLE,
            reason,
            retry_after_s=admission.store_retry_s(
                elsewhere, request.request_id
            ),
        )

    def tokens_spent(self, request: model.Request) -> errors.ResultError:
        """Returns the refusal of a turn over its program's budget."""
        held = self.budgets.describe(request.program_id)
        return errors.ResultError(
            codes.TOKENS_SPENT,
            f'{held}; {request.max_tokens} more of {request.token_budget}',
        )

    async def chain(self, progress: Progress) -> list[turns.Turn]:
        """Returns the turns that a request goes on from."""
        request = progress.admitted.request
        if not progress.admitted.route.retains or not request.previous_turn:
            return []
        return await self.turns.chain(
            request.previous_turn, _account_name(progress)
        )

    async def reserve(self, progress: Progress) -> budgets.Verdict:
        """Sets a turn's tokens aside; returns whether the budget held."""
        request = progress.admitted.request
        if progress.reserved:
            return budgets.Verdict.VALID
        # From here on the record may be in the store.
        progress.reserved = True
        return await self.budgets.reserve(
            request.program_id,
            request.request_id,
            request.max_tokens,
            request.token_budget or 0,
            clock.monotonic(),
        )

    async def run(self, progress: Progress, reply: reply_lib.Reply) -> None:
        """Sends a request to upstreams until one has answered.

        Raises ResultError with what is known of its execution.
        """
        for _ in range(MAX_TRIES):
            upstream = self.choose(progress)
            if upstream is None:
                break
            progress.upstream = upstream.entry.upstream_id
            upstream.ours += 1
            request = progress.admitted.request
            if progress.admitted.service.is_engine:
                upstream.silence_s = upstreams.SILENCE_S
            progress.missing = upstream.missing_tokens(request.prompt)
            progress.running = upstream.ours + upstream.theirs
            upstream.note_sent(request.request_id, request.prompt)
            try:
                done = await self.try_one(progress, upstream, reply)
            finally:
                upstream.ours -= 1
                upstream.note_read(request.request_id)
            if done:
                return
        if progress.sent:
            raise errors.ResultError(
                codes.UPSTREAM_FAILED, progress.last_reason
            )
        raise errors.ResultError(
            codes.NO_UPSTREAM,
            progress.last_reason,
            retry_after_s=RETRY_AFTER_S,
        )

    def choose(self, progress: Progress) -> upstreams.Upstream | None:
        """Returns the upstream to try next."""
        admitted = progress.admitted
        candidates = self.board.upstreams.of_service(
            admitted.service.name,
            self.board.freshness.in_lapse_grace(clock.boot()),
        )
        if len(progress.ran) >= admitted.route.attempts:
            # Only one that may have run it already may get it again.
            candidates = [
                one
                for one in candidates
                if one.entry.upstream_id in progress.ran
            ]
        return placement.choose(
            candidates,
            admitted.request,
            self.board.settings.data_centre,
            clock.monotonic(),
            progress.tried,
            self.board.silent,
        )

    async def try_one(
        self,
        progress: Progress,
        upstream: upstreams.Upstream,
        reply: reply_lib.Reply,
    ) -> bool:
        """Tries one upstream; returns whether the request has its answer."""
        began = clock.monotonic()
        # Set before the first byte may leave.
        was_sent = progress.sent
        progress.sent = True
        upstream_id = upstream.entry.upstream_id
        again = upstream_id in progress.ran
        if again:
            progress.tried.add(upstream_id)
        progress.ran.add(upstream_id)
        outcome = await exchange.begin(
            self.pool,
            self.codec,
            upstream,
            progress.admitted,
            progress.body,
            progress.deadline,
            progress.last_event_id,
        )
        match outcome:
            case exchange.NotConnected():
                progress.sent = was_sent
                # Where it may have run the request, it has ended since.
                progress.ran.discard(upstream_id)
                progress.tried.add(upstream_id)
                upstream.note_failure(clock.monotonic())
                self.note_try(progress, upstream, outcome.reason)
                return False
            case exchange.NotRun():
                progress.sent = was_sent
                progress.tried.add(upstream_id)
                if not again:
                    progress.ran.discard(upstream_id)
                if outcome.status == exchange.MISDIRECTED:
                    self.board.upstreams.remove(
                        upstream.entry.upstream_id, clock.monotonic()
                    )
                self.note_try(progress, upstream, f'status {outcome.status}')
                return False
            case exchange.Broken():
                return self.after_break(progress, upstream, outcome.reason)
            case exchange.Answering():
                return await self.pass_on(
                    progress, upstream, outcome, reply, began
                )

    def note_try(
        self, progress: Progress, upstream: upstreams.Upstream, reason: str
    ) -> None:
        """Notes why an upstream did not answer."""
        progress.last_reason = reason
        self.events.info(
            'upstream-failed',
            request=progress.admitted.request.request_id,
            upstream=upstream.entry.upstream_id,
            reason=reason,
        )

    def after_break(
        self, progress: Progress, upstream: upstreams.Upstream, reason: str
    ) -> bool:
        """Decides what follows a broken exchange.

        Raises ResultError where the request must not be sent again.
        """
        upstream.note_failure(clock.monotonic())
        self.note_try(progress, upstream, reason)
        if not progress.admitted.may_repeat():
            raise errors.ResultError(codes.UPSTREAM_FAILED, reason)
        if upstream.entry.data_centre in self.board.silent:
            # It was cut off, so another one may run the request.
            progress.ran.discard(upstream.entry.upstream_id)
            progress.tried.add(upstream.entry.upstream_id)
        return False

    async def pass_on(
        self,
        progress: Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.Answering,
        reply: reply_lib.Reply,
        began: float,
    ) -> bool:
        """Passes an answer on; returns whether it was whole."""
        head, link = outcome.head, outcome.link
        streams = (
            head.status == 200
            and progress.admitted.route.kind is model.Kind.STREAMING
        )
        try:
            if streams:
                await self.stream(progress, upstream, outcome, reply, began)
            else:
                body = await link.read_body()
                if head.status < 300 and not head.sealed:
                    raise channel.ChannelError(
                        channel.Failure.MALFORMED, 'no proof of origin'
                    )
                now = clock.monotonic()
                upstream.note_work(now - began, placement.CALL_S, now)
                await reply.whole(head.status, head.headers, body)
        except channel.ChannelError as error:
            link.close()
            return self.after_break(progress, upstream, str(error))
        except BaseException:
            # Closing the connection is what stops the upstream.
            link.close()
            raise
        finally:
            upstream.waiting.pop(link, None)
        upstream.note_success()
        self.pool.give_back(upstream.key(), link, clock.monotonic())
        return True

    async def stream(
        self,
        progress: Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.Answering,
        reply: reply_lib.Reply,
        began: float,
    ) -> None:
        """Passes a stream's events on as they come."""
        if not outcome.head.sealed and not reply.started:
            raise channel.ChannelError(
                channel.Failure.MALFORMED, 'no proof of origin'
            )
        reader = events.EventReader()
        prompt = progress.admitted.request.prompt
        counted, first_at, last_at = 0, began, began
        while chunk := await outcome.link.read_chunk():
            last_at = upstream.heard = clock.monotonic()
            for event in reader.feed(chunk):
                upstream.note_read(progress.admitted.request.request_id)
                upstream.note_parts(prompt)
                counted += 1
                if counted == 1:
                    first_at = last_at
                await self.pass_event(progress, outcome, event, reply)
        upstream.waiting.pop(outcome.link, None)
        if counted >= MIN_EVENTS_MEASURED:
            tokens = progress.admitted.service.tokens_per_event
            upstream.note_work(
                (last_at - first_at) / (counted - 1),
                tokens * placement.TOKEN_S,
                last_at,
            )
        if not reply.started:
            await reply.start(outcome.head.status, outcome.head.headers)
        if reader.rest:
            await reply.write(reader.rest)
        await self.end_turn(progress)
        await reply.finish()

    async def pass_event(
        self,
        progress: Progress,
        outcome: exchange.Answering,
        event: events.Event,
        reply: reply_lib.Reply,
    ) -> None:
        """Passes one event on."""
        admitted = progress.admitted
        if progress.first_ms < 0:
            waited_s = clock.monotonic() - admitted.request.received
            progress.first_ms = round(waited_s * 1_000)
        progress.tokens += admitted.service.tokens_per_event
        progress.last_event_id = event.event_id or progress.last_event_id
        if admitted.route.retains:
            progress.output.append(event.data + b'\n')
        if not reply.started:
            await reply.start(outcome.head.status, outcome.head.headers)
        await reply.write(event.raw)

    async def end_turn(self, progress: Progress) -> None:
        """Makes a turn last before its caller sees the end."""
        if progress.input_place is None:
            return
        request = progress.admitted.request
        try:
            async with asyncio.timeout(END_TURN_S):
                place = await asyncio.shield(progress.input_place)
                turn = turns.Turn(
                    turn=request.request_id,
                    previous=request.previous_turn,
                    account=_account_name(progress),
                    input=request.body,
                    output=b''.join(progress.output),
                )
                await self.turns.end_turn(turn, place, clock.unix_ms())
        except TimeoutError as error:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, 'the turn could not be kept'
            ) from error

    def log_end(
        self,
        request: model.Request,
        progress: Progress | None,
        result: codes.Result,
        detail: str,
    ) -> None:
        """Logs what became of a request."""
        self.events.info(
            'request',
            request=request.request_id,
            program=request.program_id,
            route=progress.admitted.route.name if progress else '',
            version=progress.admitted.config_version if progress else '',
            upstream=progress.upstream if progress else '',
            missing=progress.missing if progress else 0,
            running=progress.running if progress else 0,
            first_ms=progress.first_ms if progress else -1,
            tokens=progress.tokens if progress else 0,
            most=request.max_tokens,
            budget=request.token_budget,
            code=result.number,
            detail=detail,
            ms=round((clock.monotonic() - request.received) * 1_000),
        )


def _account_name(progress: Progress) -> str:
    account = progress.admitted.account
    return account.name if account is not None else ''


def _retrieve(task: asyncio.Task[records.InputPlace]) -> None:
    """Marks a failed task's exception as seen; end_turn raises it."""
    if not task.cancelled():
        task.exception()
