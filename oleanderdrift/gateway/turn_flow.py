"""Reserves budgets and loads conversations for turns, and stores turns."""

import asyncio
import functools
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import breakers
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import records
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import turn_grants
from oleanderdrift.gateway import turn_log
from oleanderdrift.gateway import turns
from oleanderdrift import logs

# If preparing takes longer, the store counts as unavailable.
PREPARE_TIMEOUT_S: typing.Final = 1.0
# How long the end of a response is held back for the store.
STORE_TURN_TIMEOUT_S: typing.Final = 1.5
MS_PER_S: typing.Final = 1_000.0
# Conversations are written again once their oldest record has this part of
# the store's retention, so that the rest is left for pauses.
RENEWAL_FRACTION: typing.Final = 0.4
# The store takes some MiB in one call, with the inputs of other turns.
MAX_RENEWED_BYTES: typing.Final = 1_048_576
# What a conversation may be refused with though the store has answered.
NOT_OF_THE_STORE: typing.Final = (
    codes.BAD_REQUEST,
    codes.MEMORY_EXHAUSTED,
    codes.UNKNOWN_TURN,
)
# Other instances return a program's unused tokens after two seconds.
UNSETTLED_RETRY_AFTER_S: typing.Final = 0.7


class TurnFlow:
    """Handles the budgets and conversations of one instance's turns."""

    def __init__(
        self,
        board: board_lib.Board,
        log: ports.Log,
        events: event_log.EventLog | None = None,
    ) -> None:
        self.board = board
        self.log = log
        self.retrying_log = retrying_log.RetryingLog(log)
        self.turns = turn_log.TurnLog(
            self.retrying_log,
            board.settings.instance,
            board.settings.link_mbps,
            min(turns.CACHE_BYTES, board.caller_limits.cached_turns_bytes),
            min(turns.INDEX_BYTES, board.caller_limits.turn_index_bytes),
        )
        # All long reads come over one link.
        self.share = self.turns.share
        self.budgets = budget_log.BudgetLog(
            self.retrying_log,
            board.settings.turn_retention_s,
            self.share,
            board.caller_limits.cached_turns_bytes,
        )
        self.grants = turn_grants.TurnGrants(
            board,
            self.budgets,
            self.retrying_log,
            events or event_log.EventLog(),
        )

    def max_output_bytes(self) -> int:
        """Returns the size of the longest output that can be stored."""
        return self.log.record_bytes - turn_log.RECORD_MARGIN_BYTES

    async def prepare(self, progress: progress_lib.Progress) -> None:
        """Reserves a turn's tokens and loads its conversation.

        Raises ResultError if the turn is refused; it has not run in that case.
        """
        request = progress.admitted.request
        budget = request.token_budget
        if budget is not None:
            self.grants.desk.check_pause(clock.monotonic())
            self.budgets.renew(request.program_id, clock.monotonic())
        if budget is not None and self.budgets.is_spent(
            request.program_id, budget
        ):
            raise self.tokens_spent_error(request)
        reserved = (
            request.token_budget is None
            or self.budgets.grants.try_spend(
                request.program_id,
                request.turn_id,
                request.max_tokens,
                clock.monotonic(),
            )
        )
        progress.reserved = reserved
        retains = progress.admitted.route.retains
        if reserved and not retains:
            return
        grantor = None
        if not reserved:
            grantor = self.grants.client.grantor_of(
                request.program_id, clock.monotonic()
            )
        if retains or grantor is None:
            self.check_store(progress, reserved or grantor is not None)
        if retains:
            progress.input_location = asyncio.create_task(
                self.turns.append_input(request.body)
            )
            progress.input_location.add_done_callback(
                shared_work.mark_exception_retrieved
            )
        chain, verdict = await self.query_store(progress, grantor)
        progress.earlier = turns.latest_stored(chain)
        pieces = [piece for one in chain for piece in (one.input, one.output)]
        progress.body = b''.join([*pieces, request.body])
        if chain and self.is_aging(chain[0], clock.unix_ms()):
            self.renew(progress)
        match verdict:
            case budgets.Verdict.SPENT:
                raise self.tokens_spent_error(request)
            case budgets.Verdict.UNSETTLED:
                raise errors.ResultError(
                    codes.OVERLOADED,
                    self.budgets.describe(request.program_id),
                    retry_after_s=UNSETTLED_RETRY_AFTER_S,
                )
            case budgets.Verdict.VALID:
                pass

    def is_aging(self, oldest: turns.Turn, now_ms: int) -> bool:
        """Returns whether a conversation is to be written again.

        The store drops records after a time, and a conversation may go on
        for longer, with pauses of a part of that.
        """
        age_s = (now_ms - oldest.ended_ms) / MS_PER_S
        return age_s > self.board.settings.turn_retention_s * RENEWAL_FRACTION

    def renew(self, progress: progress_lib.Progress) -> None:
        """Has a turn stored with all turns before it as its input.

        It is the first of its conversation from then on.
        """
        if len(progress.body) > MAX_RENEWED_BYTES:
            logs.warning(
                'conversation-not-renewed',
                turn=progress.admitted.request.request_id,
                size=len(progress.body),
            )
            return
        if progress.input_location is not None:
            progress.input_location.cancel()
        progress.is_renewed = True
        progress.input_location = asyncio.create_task(
            self.turns.append_input(progress.body)
        )
        progress.input_location.add_done_callback(
            shared_work.mark_exception_retrieved
        )

    async def query_store(
        self,
        progress: progress_lib.Progress,
        grantor: relays.Instance | None,
    ) -> tuple[list[turns.Turn], budgets.Verdict]:
        """Returns a turn's conversation and the verdict on its budget.

        grantor is asked for its tokens first, if there is one.  Raises
        ResultError if the previous turn is unknown or the store does not
        answer.
        """
        request = progress.admitted.request
        reserving = asyncio.create_task(self.reserve(progress, grantor))
        reserving.add_done_callback(shared_work.mark_exception_retrieved)
        has_chain = False
        try:
            async with time_limits.within(PREPARE_TIMEOUT_S):
                chain = await self.chain(progress)
                has_chain = True
                return chain, await reserving
        except TimeoutError as error:
            raise self.late_error(request, has_chain=has_chain) from error
        except errors.ResultError as error:
            if error.code in NOT_OF_THE_STORE:
                raise
            raise self.store_unavailable_error(
                request, error.detail
            ) from error
        finally:
            # A reservation made after the turn is refused would hold tokens
            # that nobody uses.
            reserving.cancel()

    def check_store(
        self, progress: progress_lib.Progress, reserved: bool
    ) -> None:
        """Raises ResultError if a turn needs partitions that are failing.

        reserved says that its tokens need no reservation in the store.
        """
        now = clock.monotonic()
        request = progress.admitted.request
        partition_breakers = self.retrying_log.breakers
        if (
            self.log.consecutive_failures > 1
            and not partition_breakers.is_partial_outage(now)
        ):
            raise self.store_unavailable_error(
                request, 'calls to the store are failing'
            )
        budget = self.budget_key(request)
        if not reserved and partition_breakers.is_open(budget, now):
            raise self.store_unavailable_error(
                request, f'partition {budget} is failing'
            )
        turn_keys = [
            (records.TURN_TOPIC, partition)
            for partition in self.turns.partitions_of(request.turn_id)
        ]
        retains = progress.admitted.route.retains
        if retains and all(
            partition_breakers.is_open(key, now) for key in turn_keys
        ):
            raise self.store_unavailable_error(
                request, f'partitions {turn_keys} are failing'
            )

    def budget_key(self, request: model.Request) -> breakers.Key:
        """Returns the breaker key of a program's budget partition."""
        partition = self.budgets.partition_of(request.program_id)
        return records.BUDGET_TOPIC, partition.number

    def store_unavailable_error(
        self, request: model.Request, reason: str
    ) -> errors.ResultError:
        """Returns the error for a turn that needs the unavailable store.

        If only some partitions fail, other instances cannot serve the turn
        either, so the caller is not sent to them.
        """
        now = clock.monotonic()
        partition_breakers = self.retrying_log.breakers
        others_have_store = self.board.reachability.others_have_store(now)
        return errors.ResultError(
            codes.LOG_UNAVAILABLE,
            reason,
            retry_after_s=admission.store_retry_s(
                others_have_store
                and not partition_breakers.is_partial_outage(now),
                max(
                    self.board.freshness.age_s(clock.boot()),
                    partition_breakers.age_s((self.budget_key(request),), now),
                ),
                request.request_id,
            ),
        )

    def late_error(
        self, request: model.Request, *, has_chain: bool
    ) -> errors.ResultError:
        """Returns the error for a turn that was not prepared in time.

        A conversation that is being read goes on being read, and its caller
        comes back when it is likely to be there.
        """
        lacked = 'the budget'
        wait_s = 0.0
        if not has_chain:
            name = request.previous_turn or ''
            lacked = self.turns.loads.describe(name)
            wait_s = self.turns.search.remaining_s(name)
        error = self.store_unavailable_error(
            request, f'the store did not answer in time: {lacked}'
        )
        wait_s = min(wait_s, admission.MAX_OUTAGE_RETRY_S)
        error.retry_after_s = max(error.retry_after_s or 0.0, wait_s)
        return error

    def tokens_spent_error(self, request: model.Request) -> errors.ResultError:
        """Returns the error for a turn that exceeds its program's budget."""
        held = self.budgets.describe(request.program_id)
        return errors.ResultError(
            codes.TOKENS_SPENT,
            f'{held}; {request.max_tokens} more of {request.token_budget}',
        )

    async def chain(self, progress: progress_lib.Progress) -> list[turns.Turn]:
        """Returns the conversation that a request continues."""
        request = progress.admitted.request
        if not progress.admitted.route.retains or not request.previous_turn:
            return []
        return await self.turns.chain(
            request.previous_turn,
            progress.account_name(),
            functools.partial(self.hold_earlier, progress),
        )

    def hold_earlier(
        self, progress: progress_lib.Progress, count: int
    ) -> None:
        """Counts bytes of the turns before a turn, before they are joined.

        Raises ResultError if that is too much beside what others hold.
        """
        if progress.holder is None:
            progress.holder = self.board.held.open(progress.account_name())
        progress.holder.grow(count)
        if self.board.held.is_over():
            raise errors.ResultError(
                codes.MEMORY_EXHAUSTED,
                f'the conversation has {progress.holder.count} bytes',
                retry_after_s=admission.RETRY_ELSEWHERE_S,
            )

    async def reserve(
        self,
        progress: progress_lib.Progress,
        grantor: relays.Instance | None = None,
    ) -> budgets.Verdict:
        """Reserves a turn's tokens; returns the verdict on its budget."""
        if progress.reserved:
            return budgets.Verdict.VALID
        # From here on, the record may reach the store.
        progress.reserved = True
        if grantor is not None:
            verdict = await self.grants.ask(progress, grantor)
            if verdict is not None:
                return verdict
            self.check_store(progress, reserved=False)
        verdict = await self.grants.reserve(progress)
        if self.board.grantors.peers and verdict is budgets.Verdict.SPENT:
            # What grantors hold, and open turns, may come back.
            return budgets.Verdict.UNSETTLED
        return verdict

    def fit_cache(self) -> None:
        """Leaves the cache of turns what budgets do not take."""
        both = self.board.caller_limits.cached_turns_bytes
        left = max(both - self.budgets.size(), 0)
        self.turns.cache.fit(min(turns.CACHE_BYTES, left))

    async def store_turn(self, progress: progress_lib.Progress) -> None:
        """Stores a turn; called before the end of its response is sent."""
        if progress.input_location is None:
            return
        request = progress.admitted.request
        try:
            async with time_limits.within(STORE_TURN_TIMEOUT_S):
                location = await asyncio.shield(progress.input_location)
                whole = progress.is_renewed
                turn = turns.Turn(
                    turn_id=request.turn_id,
                    previous=None if whole else request.previous_turn,
                    account=progress.account_name(),
                    input=progress.body if whole else request.body,
                    output=b''.join(progress.output),
                    ended_ms=clock.unix_ms(),
                )
                await self.turns.store_turn(
                    turn, location, () if whole else progress.earlier
                )
        except TimeoutError as error:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, 'storing the turn timed out'
            ) from error

    async def flush(self) -> None:
        """Returns unused tokens and writes the entries of the turns' index."""
        self.grants.desk.end_all(clock.monotonic())
        await asyncio.gather(
            self.budgets.flush(float('inf')), self.turns.index.flush()
        )

    def settle(self, progress: progress_lib.Progress) -> None:
        """Returns the tokens that a turn reserved but did not use."""
        if progress.input_location is not None:
            progress.input_location.cancel()
        if not progress.reserved:
            return
        self.grants.settle(progress)
