"""Grants tokens of programs to turns at all instances, as their grantor.

One reservation with spare tokens serves the turns of a program wherever they
arrive, so that a turn takes no call to the store and goes on while the store
is unavailable.  What is granted never exceeds what the records of the store
hold for this instance: a turn counts with its maximum until its instance
reports what it has used.
"""

import math
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import records
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import time_limits

# After a turn's latest end, its report may take this long.
REPORT_MARGIN_S: typing.Final = 2.0
# A turn that its instance says lasts longer counts as used then.
MAX_TURN_S: typing.Final = 3_600.0
# A reservation that takes longer than any caller waits is given up.
RESERVE_TIMEOUT_S: typing.Final = 1.0
# Some 10 MB.
MAX_OPEN_TURNS: typing.Final = 20_000
# Programs whose reservations are under way.
MAX_RESERVATIONS: typing.Final = 512
# A turn that finds the grants of so many reservations taken by others is
# better off with a reservation of its own.
MAX_ROUNDS: typing.Final = 16

Reply: typing.TypeAlias = grant_messages.Reply

_REFUSALS: typing.Final = {
    budgets.Verdict.SPENT: Reply.SPENT,
    budgets.Verdict.UNSETTLED: Reply.UNSETTLED,
}


@attrs.frozen(kw_only=True)
class TurnTokens:
    """A turn that needs tokens.

    key is unique.  lasts_s is None for a turn of this instance, whose end
    the instance knows by itself.
    """

    key: str
    program: str
    tokens: int
    budget: int
    lasts_s: float | None


@attrs.frozen(kw_only=True)
class OpenTurn:
    """A turn at another instance; counts as used after expires_at."""

    turn: TurnTokens
    expires_at: float


class GrantDesk:
    """The tokens that this instance grants.

    open has the turns of other instances, granted counts all of them, and
    pauses is the number of pauses of this process that were seen.
    """

    def __init__(
        self,
        board: board_lib.Board,
        budget: budget_log.BudgetLog,
        log: retrying_log.RetryingLog,
        events: event_log.EventLog,
        incarnation: int,
    ) -> None:
        self.board = board
        self.budgets = budget
        self.log = log
        self.events = events
        self.incarnation = incarnation
        self.open: dict[str, OpenTurn] = {}
        self.granted = 0
        self.reservation_count = 0
        self.pauses = board.pauses
        self.reservations: shared_work.SharedTasks[Reply] = (
            shared_work.SharedTasks(MAX_RESERVATIONS)
        )

    def check_pause(self, now: float) -> None:
        """Grants nothing more of what was held before a pause.

        The store may have dropped its records meanwhile, so that others do
        not count it.
        """
        self.board.check_pause(now, clock.boot())
        if self.board.pauses != self.pauses:
            self.pauses = self.board.pauses
            self.drop_grants('paused', now)

    def drop_grants(self, reason: str, now: float) -> None:
        """Starts no further turn on the grants that are held."""
        count = self.budgets.drop_grants(now)
        if count:
            self.events.info('grants-dropped', reason=reason, count=count)

    def try_grant(self, turn: TurnTokens, now: float) -> Reply | None:
        """Answers a turn without a call; None if that takes one."""
        self.check_pause(now)
        if turn.key in self.open:
            return Reply.GRANTED
        if self.budgets.is_spent(turn.program, turn.budget):
            return Reply.SPENT
        if self.board.stopping or len(self.open) >= MAX_OPEN_TURNS:
            return Reply.UNAVAILABLE
        if not self.budgets.grants.try_spend(
            turn.program, turn.key, turn.tokens, now
        ):
            return None
        if turn.lasts_s is not None:
            self.granted += 1
            lasts_s = min(turn.lasts_s, MAX_TURN_S)
            self.open[turn.key] = OpenTurn(
                expires_at=now + lasts_s + REPORT_MARGIN_S,
                turn=turn,
            )
        return Reply.GRANTED

    async def grant(self, turn: TurnTokens) -> Reply:
        """Answers a turn, with a new reservation if need be.

        A caller that leaves has been granted nothing.
        """
        for _ in range(MAX_ROUNDS):
            found = self.try_grant(turn, clock.monotonic())
            if found is not None:
                return found
            if not self.can_reserve(turn.program):
                return Reply.UNAVAILABLE
            try:
                made = await self.reservations.get(
                    (turn.program, turn.budget), lambda: self.reserve(turn)
                )
            except errors.ResultError as error:
                self.events.info(
                    'grant-reservation-failed',
                    program=turn.program,
                    detail=error.detail,
                )
                return Reply.UNAVAILABLE
            if made is not Reply.GRANTED:
                return made
        return Reply.UNAVAILABLE

    def can_reserve(self, program: str) -> bool:
        """Returns whether the store is likely to answer."""
        partition = self.budgets.partition_of(program).number
        return not self.log.is_failing(
            records.BUDGET_TOPIC, partition, clock.monotonic()
        )

    async def reserve(self, turn: TurnTokens) -> Reply:
        """Makes a reservation for a turn and those after it.

        Its name is not the turn's: the turn's instance may reserve as well,
        under that one.
        """
        now = clock.monotonic()
        # What is left there is too little for a turn.
        self.budgets.settle_grant(
            self.budgets.grants.take_idle(turn.program), now
        )
        self.reservation_count += 1
        instance = self.board.settings.instance
        name = f'{instance}/{self.incarnation:x}/{self.reservation_count}'
        pauses = self.pauses
        try:
            async with time_limits.within(RESERVE_TIMEOUT_S):
                verdict = await self.budgets.write_reservation(
                    records.Reserve(
                        program=turn.program,
                        turn=name,
                        tokens=turn.tokens,
                        budget=turn.budget,
                        spare=turn.budget // budget_log.SPARE_DIVISOR,
                        shared=True,
                    ),
                    now,
                )
        except TimeoutError:
            return Reply.UNAVAILABLE
        if verdict is not budgets.Verdict.VALID:
            return _REFUSALS[verdict]
        now = clock.monotonic()
        self.check_pause(now)
        if self.pauses != pauses or self.board.stopping:
            self.budgets.queue_settlement(turn.program, name, 0, now)
            return Reply.UNAVAILABLE
        held = self.budgets.held_by(turn.program, name)
        previous = self.budgets.grants.put(turn.program, name, held, now)
        self.budgets.settle_grant(previous, now)
        return Reply.GRANTED

    def end(self, key: str, tokens: int, now: float) -> bool:
        """Ends a turn of another instance that used some of its tokens.

        Returns whether it was open: a repeated report has no effect.
        """
        ended = self.open.pop(key, None)
        if ended is None:
            return False
        self.budgets.settle(key, min(tokens, ended.turn.tokens), now)
        self.note_ended(ended.turn)
        return True

    def note_ended(self, turn: TurnTokens) -> None:
        """Reserves ahead of a program's next turn if too little is left.

        That turn takes no call then, nor does it fail if the store does.
        """
        if self.board.stopping:
            self.hurry()
        elif (
            self.budgets.grants.is_low(turn.program, turn.tokens)
            and not self.budgets.is_spent(turn.program, turn.budget)
            and self.can_reserve(turn.program)
            and len(self.reservations.running) < MAX_RESERVATIONS
        ):
            self.reservations.ensure(
                (turn.program, turn.budget), lambda: self.reserve(turn)
            )

    def expire(self, now: float) -> None:
        """Counts turns as used whose reports have not come."""
        late = [
            key for key, each in self.open.items() if now >= each.expires_at
        ]
        for key in late:
            self.end(key, self.open[key].turn.tokens, now)
        if late:
            self.events.info('grant-reports-missing', count=len(late))

    def hand_over(self, now: float) -> None:
        """Returns what is held, so that others may reserve it.

        Grants with open turns are returned when these end.
        """
        self.drop_grants('stopping', now)
        self.hurry()

    def hurry(self) -> None:
        """Has the queued settlements appended as soon as possible."""
        for partition in self.budgets.partitions:
            if partition.pending:
                partition.pending_since = -math.inf

    def end_all(self, now: float) -> None:
        """Counts all open turns of other instances as used."""
        for key, each in list(self.open.items()):
            self.end(key, each.turn.tokens, now)
