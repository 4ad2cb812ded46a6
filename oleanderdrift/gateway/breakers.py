"""Tells which partitions of the store fail, from the calls made to them.

Answers an outage of some partitions, while the others work: only turns that
need those are refused, and each partition is tried again several times a
second, so that its return is noticed.
"""

import typing

import attrs

# One failure shows a lost answer, two in a row an outage.
FAILURE_THRESHOLD: typing.Final = 2
# A request goes through after this long, to see whether it works again.
OPEN_TIMEOUT_S: typing.Final = 0.3
# Another partition's answer within this time shows that the store works.
RECENT_ANSWER_S: typing.Final = 0.5

# A topic and the number of one of its partitions.
Key: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True)
class Breaker:
    """A partition's failures in a row, since when, and the latest."""

    failures: int = 0
    since: float
    latest: float


@attrs.define(kw_only=True)
class Breakers:
    """The circuit breakers of all partitions; last_answer is the last answer.

    Partitions without failures have none.
    """

    by_key: dict[Key, Breaker] = attrs.field(factory=dict)
    last_answer: float = float('-inf')

    def note_answer(self, key: Key, now: float) -> bool:
        """Closes a partition's breaker; returns whether it was lost."""
        self.last_answer = now
        found = self.by_key.pop(key, None)
        return found is not None and found.failures >= FAILURE_THRESHOLD

    def note_failure(self, key: Key, now: float) -> bool:
        """Counts a failed call; returns whether the partition is lost now."""
        found = self.by_key.get(key)
        if found is None:
            found = self.by_key[key] = Breaker(since=now, latest=now)
        found.failures += 1
        found.latest = now
        return found.failures == FAILURE_THRESHOLD

    def is_open(self, key: Key, now: float) -> bool:
        """Tells whether calls to a partition are likely to fail."""
        found = self.by_key.get(key)
        if found is None or found.failures < FAILURE_THRESHOLD:
            return False
        return now - found.latest < OPEN_TIMEOUT_S

    def age_s(self, keys: tuple[Key, ...], now: float) -> float:
        """Returns for how long one of the partitions has failed."""
        ages = [
            now - self.by_key[key].since for key in keys if key in self.by_key
        ]
        return max(ages, default=0.0)

    def is_partial_outage(self, now: float) -> bool:
        """Tells whether other partitions work."""
        return now - self.last_answer < RECENT_ANSWER_S
