"""Remembers how much time programs had when they were first refused.

A program that comes back has less time left than before and needs as much.
"""

import collections
import typing

import attrs

# Enough for the programs that are refused within a minute.
MAX_PROGRAMS: typing.Final = 20_000
# Programs with a smaller part of their time left than this end late on engines
# that are as busy as they may be.
MIN_LEFT_SHARE: typing.Final = 0.75


@attrs.define(kw_only=True)
class RefusedPrograms:
    """The time left of programs that were refused here, the latest last."""

    left_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def note(self, program: str, finish_s: float | None) -> None:
        """Notes that a program with so much time left is refused."""
        if finish_s is None or program in self.left_s:
            return
        self.left_s[program] = finish_s
        if len(self.left_s) > MAX_PROGRAMS:
            self.left_s.popitem(last=False)

    def is_late(self, program: str, finish_s: float | None) -> bool:
        """Returns whether a program is late, or will be as it waited."""
        if finish_s is None:
            return False
        first_s = self.left_s.get(program, finish_s)
        return finish_s <= 0.0 or finish_s < first_s * MIN_LEFT_SHARE
