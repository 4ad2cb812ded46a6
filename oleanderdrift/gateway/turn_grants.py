"""The parts by which an instance grants tokens to turns and asks for them."""

import random
import typing

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import budget_log
from oleanderdrift.gateway import budgets
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_client
from oleanderdrift.gateway import grant_desk
from oleanderdrift.gateway import grant_links
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import grant_server
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import retrying_log
from oleanderdrift.gateway import shared_work

MAX_INCARNATION: typing.Final = 2**53 - 1
_VERDICTS: typing.Final = {
    grant_messages.Reply.GRANTED: budgets.Verdict.VALID,
    grant_messages.Reply.SPENT: budgets.Verdict.SPENT,
    grant_messages.Reply.UNSETTLED: budgets.Verdict.UNSETTLED,
}


class TurnGrants:
    """The grants of one instance: its desk, its asks and its connections."""

    def __init__(
        self,
        board: board_lib.Board,
        budget: budget_log.BudgetLog,
        log: retrying_log.RetryingLog,
        events: event_log.EventLog,
    ) -> None:
        self.board = board
        self.budgets = budget
        incarnation = random.SystemRandom().randint(1, MAX_INCARNATION)
        self.links = grant_links.GrantLinks(board, events, incarnation)
        self.desk = grant_desk.GrantDesk(
            board, budget, log, events, incarnation
        )
        self.client = grant_client.GrantClient(
            board, self.desk, self.links, events
        )
        server = grant_server.GrantServer(self.desk, events)
        self.links.receive += [server.receive, self.client.receive]
        self.links.lost += [server.lost, self.client.lost]

    async def ask(
        self, progress: progress_lib.Progress, grantor: relays.Instance
    ) -> budgets.Verdict | None:
        """Returns a grantor's verdict on a turn's budget; None if none."""
        reply, progress.grant = await self.client.ask(
            grantor, _tokens_of(progress)
        )
        return _VERDICTS.get(reply)

    async def reserve(
        self, progress: progress_lib.Progress
    ) -> budgets.Verdict:
        """Reserves a turn's tokens in the store, for this instance."""
        request = progress.admitted.request
        pauses = self.board.pauses
        verdict = await self.budgets.reserve(
            request.program_id,
            request.turn_id,
            request.max_tokens,
            request.token_budget or 0,
            clock.monotonic(),
            self.board.instances,
        )
        now = clock.monotonic()
        self.desk.check_pause(now)
        if self.board.pauses != pauses:
            # The reservation may be of the time before.
            self.desk.drop_grants('paused', now)
        return verdict

    def settle(self, progress: progress_lib.Progress) -> None:
        """Returns the tokens that a turn did not use."""
        if progress.grant is not None:
            self.client.report(progress.grant, progress.tokens)
        self.budgets.settle(
            progress.admitted.request.turn_id,
            progress.tokens,
            clock.monotonic(),
        )
        if progress.grant is None:
            self.desk.note_ended(_tokens_of(progress))

    def hand_over(self) -> None:
        """Returns the tokens that are held for programs' next turns."""
        now = clock.monotonic()
        self.desk.hand_over(now)
        shared_work.start(self.budgets.flush(now))

    def gauges(self) -> dict[str, float]:
        """Returns the current values of the gauge metrics."""
        return {
            'turns_granted_by_peers': self.client.granted,
            'turns_granted_to_peers': self.desk.granted,
            'grant_fallbacks': self.client.fallbacks,
            'grant_connections': len(self.links.open),
        }


def _tokens_of(progress: progress_lib.Progress) -> grant_desk.TurnTokens:
    """Returns what a turn needs."""
    request = progress.admitted.request
    return grant_desk.TurnTokens(
        key=request.turn_id,
        program=request.program_id,
        tokens=request.max_tokens,
        budget=request.token_budget or 0,
        lasts_s=max(progress.deadline - clock.monotonic(), 0.0),
    )
