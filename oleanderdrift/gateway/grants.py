"""Tokens that this instance holds for the next turns of programs.

Answers a store that takes 20 ms a turn, and its outages: a program's
later turns at this instance spend what its first one set aside beyond its
own need, without a call.
"""

import typing

import attrs

# A program that made no turn here for so long has ended or moved on.
IDLE_TIMEOUT_S: typing.Final = 2.0


@attrs.define(kw_only=True)
class Grant:
    """A valid reservation: what of it is left, and what its turns used.

    open are the turns under way with their most tokens.
    """

    program: str
    reservation: str
    remaining: int
    used: int = 0
    open: dict[str, int] = attrs.field(factory=dict)
    last_used: float


@attrs.define(kw_only=True)
class Grants:
    """All grants of an instance: by program the one in use, and by turn."""

    by_program: dict[str, Grant] = attrs.field(factory=dict)
    by_turn: dict[str, Grant] = attrs.field(factory=dict)

    def try_spend(
        self, program: str, turn: str, tokens: int, now: float
    ) -> bool:
        """Spends from a grant; returns whether one had enough."""
        grant = self.by_program.get(program)
        if grant is None or grant.remaining < tokens:
            return False
        self.open(grant, turn, tokens, now)
        return True

    def open(self, grant: Grant, turn: str, tokens: int, now: float) -> None:
        """Begins a turn on a grant."""
        grant.remaining -= tokens
        grant.open[turn] = tokens
        grant.last_used = now
        self.by_turn[turn] = grant

    def add(
        self, program: str, turn: str, tokens: int, held: int, now: float
    ) -> Grant | None:
        """Takes a new reservation in, with its first turn under way.

        Returns the grant before it, if that has no turn under way.
        """
        grant = Grant(
            program=program, reservation=turn, remaining=held, last_used=now
        )
        self.open(grant, turn, tokens, now)
        previous = self.by_program.get(program)
        self.by_program[program] = grant
        return previous if previous is not None and not previous.open else None

    def end(self, turn: str, tokens: int, now: float) -> Grant | None:
        """Ends a turn; what it did not use stays in the grant.

        Returns the grant if nothing will be spent from it any more.
        """
        grant = self.by_turn.pop(turn, None)
        if grant is None:
            return None
        grant.remaining += grant.open.pop(turn) - tokens
        grant.used += tokens
        grant.last_used = now
        replaced = self.by_program.get(grant.program) is not grant
        return grant if replaced and not grant.open else None

    def close_idle(self, now: float) -> list[Grant]:
        """Removes and returns the grants that nobody used lately."""
        idle = [
            grant
            for grant in self.by_program.values()
            if not grant.open and now - grant.last_used >= IDLE_TIMEOUT_S
        ]
        for grant in idle:
            del self.by_program[grant.program]
        return idle
