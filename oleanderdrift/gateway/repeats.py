"""Decides when an append that got no answer is sent once more.

Answers a store that carries appends out and loses a third of the answers:
their callers would all wait for a timeout.  A store that is slow by a
factor of sixty must not be asked more often for it, since its partitions
carry out one append at a time.  The two differ in what becomes of later
appends: an answer is taken for lost when an append that was sent later has
its answer already, and none of the latest answers took nearly as long.
"""

import typing

import attrs

# An answer that takes this many times the usual is likely to be lost.
LATE_FACTOR: typing.Final = 4.0
MIN_LATE_S: typing.Final = 0.05
MAX_LATE_S: typing.Final = 1.5
SMOOTHING_FACTOR: typing.Final = 0.2
# A third of the answers may be lost, and a third of the repeats' answers.
CREDIT_PER_ANSWER: typing.Final = 0.6
MAX_CREDIT: typing.Final = 20.0
# Sends of one append at most: one in eighty is without an answer then.
MAX_SENDS: typing.Final = 4


@attrs.define(kw_only=True)
class RetryLimiter:
    """What is known of the answers to appends.

    average_s is a moving average of answers' times and latest_s the time
    of the latest; last_answered_send is when the last of the answered appends
    was sent.  credit is how many repeats may be sent.
    """

    average_s: float = 0.012
    latest_s: float = 0.0
    last_answered_send: float = float('-inf')
    credit: float = MAX_CREDIT

    def late_s(self) -> float:
        """Returns after how long without an answer an append is late."""
        expected_s = max(self.average_s, self.latest_s)
        return min(max(expected_s * LATE_FACTOR, MIN_LATE_S), MAX_LATE_S)

    def try_retry(self, sends: int, sent: float, now: float) -> bool:
        """Spends a repeat of an append, if it is due.

        sends is how often it was sent, and sent when for the last time.
        """
        if sends >= MAX_SENDS or self.credit < 1:
            return False
        if now - sent < self.late_s() or self.last_answered_send <= sent:
            return False
        self.credit -= 1
        return True

    def note_answer(self, sent: float, now: float) -> None:
        """Takes the answer to an append into account."""
        self.latest_s = now - sent
        self.average_s += SMOOTHING_FACTOR * (self.latest_s - self.average_s)
        self.last_answered_send = max(self.last_answered_send, sent)
        self.credit = min(self.credit + CREDIT_PER_ANSWER, MAX_CREDIT)
