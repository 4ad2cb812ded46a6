"""Circuit breakers for the partitions of the store.

In an outage of some partitions, only the turns that need these are refused.
Each failed partition is tried several times a second, so that its recovery
is noticed soon.
"""

import typing

import attrs

# A single failure may be a lost answer; two in a row are an outage.
FAILURE_THRESHOLD: typing.Final = 2
# After this time without a failure, requests are let through as a trial.
OPEN_TIMEOUT_S: typing.Final = 0.3
# An answer of another partition within this time shows a partial outage.
RECENT_ANSWER_S: typing.Final = 0.5

# A topic and the number of one of its partitions.
Key: typing.TypeAlias = tuple[str, int]


@attrs.define(kw_only=True)
class Breaker:
    """Consecutive failures of a partition, with first and latest times."""

    failures: int = 0
    since: float
    latest: float


@attrs.define(kw_only=True)
class Breakers:
    """The circuit breakers of all partitions with failures.

    last_answer is when any partition last answered.
    """

    by_key: dict[Key, Breaker] = attrs.field(factory=dict)
    last_answer: float = float('-inf')

    def note_answer(self, key: Key, now: float) -> bool:
        """Closes a partition's breaker; returns whether an outage ended."""
        self.last_answer = now
        found = self.by_key.pop(key, None)
        return found is not None and found.failures >= FAILURE_THRESHOLD

    def note_failure(self, key: Key, now: float) -> bool:
        """Counts a failed call; returns whether an outage began with it."""
        found = self.by_key.get(key)
        if found is None:
            found = self.by_key[key] = Breaker(since=now, latest=now)
        found.failures += 1
        found.latest = now
        return found.failures == FAILURE_THRESHOLD

    def is_open(self, key: Key, now: float) -> bool:
        """Returns whether calls to a partition are likely to fail."""
        found = self.by_key.get(key)
        if found is None or found.failures < FAILURE_THRESHOLD:
            return False
        return now - found.latest < OPEN_TIMEOUT_S

    def age_s(self, keys: tuple[Key, ...], now: float) -> float:
        """Returns the longest time that one of the partitions has failed."""
        ages = [
            now - self.by_key[key].since for key in keys if key in self.by_key
        ]
        return max(ages, default=0.0)

    def is_partial_outage(self, now: float) -> bool:
        """Returns whether some partition answered recently."""
        return now - self.last_answer < RECENT_ANSWER_S
