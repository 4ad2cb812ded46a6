"""Appends go on where a store loses answers, and do not flood it."""

import asyncio
import math
import random

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import repeats
from oleanderdrift.gateway import retrying_log
from tests import gateway_support


@attrs.define
class Store:
    """A store whose partitions carry out one append at a time.

    Appends arrive evenly at random partitions; append_s is the time that
    each one takes, lost the share of answers that are lost.
    """

    append_s: float
    lost: float = 0.0
    per_s: float = 25.0
    timeout_s: float = 0.8
    pace: repeats.RetryLimiter = attrs.field(factory=repeats.RetryLimiter)
    chance: random.Random = attrs.field(factory=lambda: random.Random(1))
    free: dict[int, float] = attrs.field(factory=dict)
    sends: int = 0

    def send(self, part: int, now: float) -> float:
        """Returns when the answer of an append comes."""
        self.sends += 1
        start = max(self.free.get(part, 0.0), now)
        self.free[part] = start + self.append_s
        if self.chance.random() < self.lost:
            return math.inf
        return start + self.append_s + 0.01

    def play(self, appends: int) -> list[float]:
        """Returns how long each append took, at most timeout_s."""
        took = []
        # By append: its part, first and last send, sends, first answer.
        waiting: list[tuple[int, float, float, int, list[float]]] = []
        answers: list[tuple[float, float]] = []
        for step in range(int((appends / self.per_s + 3) * 100)):
            now = step / 100
            if step % int(100 / self.per_s) == 0 and step / 4 < appends:
                part = self.chance.randrange(12)
                due = [self.send(part, now)]
                answers.append((due[0], now))
                waiting.append((part, now, now, 1, due))
            for answer in sorted(one for one in answers if one[0] <= now):
                answers.remove(answer)
                self.pace.note_answer(answer[1], answer[0])
            left = []
            for part, first, last, sends, due in waiting:
                if min(due) <= now or now - first >= self.timeout_s:
                    took.append(min(min(due) - first, self.timeout_s))
                    continue
                if self.pace.try_retry(sends, last, now):
                    due.append(self.send(part, now))
                    answers.append((due[-1], now))
                    last, sends = now, sends + 1
                left.append((part, first, last, sends, due))
            waiting = left
        return took


def test_lost_answers_hold_few_appends_up() -> None:
    # Without repeats, 150 of them would take until the timeout.
    took = Store(append_s=0.002, lost=0.3).play(500)
    assert len(took) == 500
    assert sum(one > 0.3 for one in took) <= 15


def test_slow_store_is_not_asked_more_often() -> None:
    store = Store(append_s=0.12, per_s=25.0)
    store.play(200)
    assert store.sends <= 1.05 * 200


def test_silent_store_is_not_flooded() -> None:
    store = Store(append_s=0.002, lost=1.0)
    store.play(200)
    assert store.sends == 200


def test_append_without_an_answer_is_repeated() -> None:
    async def play() -> None:
        log = gateway_support.MemoryLog(hanging_appends=1)
        retrying = retrying_log.RetryingLog(log)
        first = asyncio.create_task(retrying.append('t', 0, [b'a']))
        await asyncio.sleep(0.01)
        assert await retrying.append('t', 0, [b'b']) == 1
        assert await first == 2
        assert log.data['t', 0] == [b'a', b'b', b'a']

    asyncio.run(play())


def test_refused_append_is_not_repeated() -> None:
    async def play() -> None:
        log = gateway_support.MemoryLog(
            failure=errors.ResultError(codes.LOG_UNAVAILABLE)
        )
        with pytest.raises(errors.ResultError):
            await retrying_log.RetryingLog(log).append('t', 0, [b'a'])
        assert log.appends == 1

    asyncio.run(play())
