"""Answers other instances that ask this one for tokens, as their grantor."""

import asyncio
import typing

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import grant_desk
from oleanderdrift.gateway import grant_links
from oleanderdrift.gateway import grant_messages
from oleanderdrift.gateway import shared_work

# Asks of one connection that wait for the store.
MAX_WAITING_ASKS: typing.Final = 256


class GrantServer:
    """Serves the asks of peers; waiting has those that need the store."""

    def __init__(
        self,
        desk: grant_desk.GrantDesk,
        events: event_log.EventLog,
    ) -> None:
        self.desk = desk
        self.events = events
        self.waiting: dict[
            grant_links.Link, dict[int, asyncio.Task[None]]
        ] = {}

    def receive(
        self, link: grant_links.Link, message: grant_messages.Message
    ) -> None:
        """Applies a message of a peer."""
        match message:
            case grant_messages.Ask():
                self.answer(link, message)
            case grant_messages.Used():
                waiting = self.waiting.get(link, {}).pop(message.number, None)
                if waiting is not None:
                    waiting.cancel()
                key = key_of(link, message.number)
                self.desk.end(key, message.tokens, clock.monotonic())
            case _:
                pass

    def answer(self, link: grant_links.Link, ask: grant_messages.Ask) -> None:
        """Answers an Ask, at once unless it takes a call to the store."""
        turn = grant_desk.TurnTokens(
            key=key_of(link, ask.number),
            program=ask.program,
            tokens=ask.tokens,
            budget=ask.budget,
            lasts_s=ask.lasts_s,
        )
        reply = self.desk.try_grant(turn, clock.monotonic())
        if reply is None and not self.desk.can_reserve(ask.program):
            reply = grant_messages.Reply.UNAVAILABLE
        waiting = self.waiting.setdefault(link, {})
        if reply is None and len(waiting) >= MAX_WAITING_ASKS:
            self.events.info('grant-asks-refused', peer=link.name)
            reply = grant_messages.Reply.UNAVAILABLE
        if reply is not None:
            link.write(grant_messages.Answer(number=ask.number, reply=reply))
        elif ask.number not in waiting:
            link.write(grant_messages.Waiting(number=ask.number))
            waiting[ask.number] = shared_work.start(
                self.answer_later(link, ask.number, turn)
            )

    async def answer_later(
        self,
        link: grant_links.Link,
        number: int,
        turn: grant_desk.TurnTokens,
    ) -> None:
        """Answers an Ask that may take a reservation."""
        reply = await self.desk.grant(turn)
        self.waiting.get(link, {}).pop(number, None)
        link.write(grant_messages.Answer(number=number, reply=reply))

    def lost(self, link: grant_links.Link) -> None:
        """Answers nothing more on a connection that has ended."""
        for task in self.waiting.pop(link, {}).values():
            task.cancel()


def key_of(link: grant_links.Link, number: int) -> str:
    """Returns the key of a turn at the instance of a connection."""
    return f'{link.incarnation:x}/{number}'
