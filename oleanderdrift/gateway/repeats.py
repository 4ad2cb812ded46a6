"""Decides when an append or a read without an answer is retried.

The store may lose a third of the answers to appends that it executes, and
without retries their callers would wait for a time-out.  It may also be
slow by a factor of sixty, and must not get more appends then, since its
partitions execute one append at a time.  Later appends tell the two cases
apart: an answer is considered lost if an append that was sent later has
been answered, and recent answers took much less time.  A read holds up no
other call there, and is retried by its time alone.
"""

import typing

import attrs

# An answer that takes this many times the expected time is likely to be lost.
LATE_FACTOR: typing.Final = 4.0
MIN_LATE_S: typing.Final = 0.05
MAX_LATE_S: typing.Final = 1.5
SMOOTHING_FACTOR: typing.Final = 0.2
# A third of the answers may be lost, and a third of the answers to retries.
CREDIT_PER_ANSWER: typing.Final = 0.6
MAX_CREDIT: typing.Final = 20.0
# Most sends of one append: if a third of the answers are lost, one append in
# eighty gets none.
MAX_SENDS: typing.Final = 4


@attrs.define(kw_only=True)
class RetryLimiter:
    """Limits retries by the times of answers to calls of one kind.

    No answer is late before min_late_s.  With needs_later, one is late only
    if a call that was sent later has been answered.  average_s is a moving
    average of the time until an answer, latest_s that of the latest answer.
    last_answered_send is the latest send time of an answered call.  credit
    is the number of retries that may be sent.
    """

    needs_later: bool = True
    min_late_s: float = MIN_LATE_S
    average_s: float = 0.012
    latest_s: float = 0.0
    last_answered_send: float = float('-inf')
    credit: float = MAX_CREDIT

    def late_s(self) -> float:
        """Returns the time after which an answer is late."""
        expected_s = max(self.average_s, self.latest_s)
        late_s = max(expected_s * LATE_FACTOR, self.min_late_s)
        return min(late_s, MAX_LATE_S)

    def try_retry(self, sends: int, sent: float, now: float) -> bool:
        """Spends credit for a retry of an append, if one is due.

        sends is how often it was sent, and sent when for the last time.
        """
        if sends >= MAX_SENDS or self.credit < 1:
            return False
        if now - sent < self.late_s():
            return False
        if self.needs_later and self.last_answered_send <= sent:
            return False
        self.credit -= 1
        return True

    def note_answer(self, sent: float, now: float) -> None:
        """Records the answer to an append."""
        self.latest_s = now - sent
        self.average_s += SMOOTHING_FACTOR * (self.latest_s - self.average_s)
        self.last_answered_send = max(self.last_answered_send, sent)
        self.credit = min(self.credit + CREDIT_PER_ANSWER, MAX_CREDIT)
