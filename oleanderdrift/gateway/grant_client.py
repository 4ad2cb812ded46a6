"""Asks the grantors of programs for the tokens of this instance's turns."""

import asyncio
import collections
import itertools
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_desk
from oleanderdrift.gateway import grant_links
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import grantors
from oleanderdrift.gateway import relays
from oleanderdrift.gateway import shared_work
from oleanderdrift.gateway import time_limits

# Three times what a reservation in the store usually takes.
REPLY_TIMEOUT_S: typing.Final = 0.06
# Late answers are recognised among so many asks that were withdrawn.
MAX_WITHDRAWN: typing.Final = 4_096
# Reports that wait for a new connection.
MAX_WAITING_REPORTS: typing.Final = 256

Reply: typing.TypeAlias = grant_messages.Reply


@attrs.frozen(kw_only=True)
class PeerGrant:
    """Tokens that a grantor has granted to a turn here."""

    grantor: relays.Instance
    number: int


@attrs.define(kw_only=True, eq=False)
class _Pending:
    """An Ask without an answer; is_heard says that its grantor is alive.

    link is None until it was sent.
    """

    grantor: relays.Instance
    reply: asyncio.Future[Reply]
    link: grant_links.Link | None = None
    is_heard: bool = False


class GrantClient:
    """The asks of this instance.

    granted counts those that other instances granted, and fallbacks the
    turns whose grantor did not decide.
    """

    def __init__(
        self,
        board: board_lib.Board,
        desk: grant_desk.GrantDesk,
        links: grant_links.GrantLinks,
        events: event_log.EventLog,
    ) -> None:
        self.board = board
        self.desk = desk
        self.links = links
        self.events = events
        self.numbers = itertools.count(1)
        self.pending: dict[int, _Pending] = {}
        self.withdrawn: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.reports: set[asyncio.Task[None]] = set()
        self.granted = 0
        self.fallbacks = 0

    def grantor_of(self, program: str, now: float) -> relays.Instance | None:
        """Returns a program's grantor; None if there is none to be asked."""
        is_small = self.board.instances < grantors.MIN_INSTANCES
        if is_small or len(program) > bounds.MAX_TEXT_LENGTH:
            return None
        settings = self.board.settings
        own = None
        if settings.grant_listen and not self.board.stopping:
            own = relays.Instance(
                name=settings.instance,
                data_centre=settings.data_centre,
                address=settings.peer_listen,
                cores=settings.cores,
                grant_address=settings.grant_listen,
            )
        return self.board.grantors.choose(program, own, now)

    async def ask(
        self, grantor: relays.Instance, turn: grant_desk.TurnTokens
    ) -> tuple[Reply, PeerGrant | None]:
        """Asks a grantor for a turn's tokens, and counts what it decides.

        Returns what is to be reported to it at the end of the turn, if it is
        another instance that granted them.
        """
        if grantor.name == self.board.settings.instance:
            own = attrs.evolve(turn, lasts_s=None)
            reply, grant = await self.desk.grant(own), None
        else:
            reply, grant = await self.ask_peer(grantor, turn)
        if grant is not None:
            self.granted += 1
        if reply is Reply.UNAVAILABLE:
            self.fallbacks += 1
            self.events.info(
                'grant-fallback', turn=turn.key, grantor=grantor.name
            )
        return reply, grant

    async def ask_peer(
        self, grantor: relays.Instance, turn: grant_desk.TurnTokens
    ) -> tuple[Reply, PeerGrant | None]:
        """Asks another instance; UNAVAILABLE if it does not answer in time."""
        number = next(self.numbers)
        loop = asyncio.get_running_loop()
        pending = _Pending(grantor=grantor, reply=loop.create_future())
        self.pending[number] = pending
        reason = 'no answer'
        reply = Reply.UNAVAILABLE
        has_answer = False
        try:
            async with time_limits.within(
                REPLY_TIMEOUT_S, self.board.link.held_s
            ):
                pending.link = await self.links.get(grantor)
                pending.link.write(
                    grant_messages.Ask(
                        number=number,
                        program=turn.program,
                        tokens=turn.tokens,
                        budget=turn.budget,
                        lasts_s=turn.lasts_s or 0.0,
                    )
                )
                reply = await pending.reply
                has_answer = True
        except (OSError, errors.ResultError) as error:
            # Also a TimeoutError.
            reason = repr(error)
        finally:
            del self.pending[number]
            if not has_answer:
                self.withdraw(pending, number)
        if not has_answer and not pending.is_heard:
            self.avoid(grantor.name, reason)
        if reply is Reply.GRANTED:
            return reply, PeerGrant(grantor=grantor, number=number)
        return reply, None

    def avoid(self, name: str, reason: str) -> None:
        """Asks another instance in place of one that is silent."""
        now = clock.monotonic()
        if not self.board.grantors.is_avoided(name, now):
            pause_s = self.board.grantors.avoid(name, now)
            self.events.info(
                'grantor-silent', peer=name, reason=reason, avoided_s=pause_s
            )

    def withdraw(self, pending: _Pending, number: int) -> None:
        """Returns what may be granted to a turn that does not wait for it."""
        self.withdrawn[number] = None
        if len(self.withdrawn) > MAX_WITHDRAWN:
            self.withdrawn.popitem(last=False)
        if pending.link is not None:
            self.report(PeerGrant(grantor=pending.grantor, number=number), 0)

    def receive(
        self, link: grant_links.Link, message: grant_messages.Message
    ) -> None:
        """Applies a message of a grantor."""
        match message:
            case grant_messages.Waiting():
                self.board.grantors.note_answer(link.name)
                pending = self.pending.get(message.number)
                if pending is not None:
                    pending.is_heard = True
            case grant_messages.Answer():
                self.board.grantors.note_answer(link.name)
                self.apply(link, message)
            case _:
                pass

    def apply(
        self, link: grant_links.Link, answer: grant_messages.Answer
    ) -> None:
        """Applies an answer; a late grant is returned unused."""
        pending = self.pending.get(answer.number)
        if pending is not None:
            if pending.link is link and not pending.reply.done():
                pending.reply.set_result(answer.reply)
        elif answer.reply is Reply.GRANTED and answer.number in self.withdrawn:
            link.write(grant_messages.Used(number=answer.number, tokens=0))

    def lost(self, link: grant_links.Link) -> None:
        """Ends the asks on a connection that has ended."""
        for pending in self.pending.values():
            if pending.link is link and not pending.reply.done():
                pending.reply.set_exception(
                    ConnectionResetError('the connection has ended')
                )
                # The task that waits may be cancelled instead.
                pending.reply.exception()

    def report(self, grant: PeerGrant, tokens: int) -> None:
        """Tells a grantor how many tokens a turn has used.

        The grantor counts the turn's maximum if the report is lost.
        """
        message = grant_messages.Used(number=grant.number, tokens=tokens)
        link = self.links.ready(grant.grantor.name)
        if link is not None:
            link.write(message)
            return
        if len(self.reports) >= MAX_WAITING_REPORTS:
            self.log_lost(grant, 'too many reports wait')
            return
        task = shared_work.start(self.report_later(grant, message))
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    async def report_later(
        self, grant: PeerGrant, message: grant_messages.Used
    ) -> None:
        """Reports over a new connection."""
        try:
            link = await self.links.get(grant.grantor)
        except (OSError, errors.ResultError) as error:
            self.log_lost(grant, repr(error))
            return
        link.write(message)

    def log_lost(self, grant: PeerGrant, reason: str) -> None:
        """Logs that a report could not be sent."""
        self.events.info(
            'grant-report-lost', peer=grant.grantor.name, reason=reason
        )
