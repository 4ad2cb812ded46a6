"""Appends are retried if responses get lost, without flooding the store."""

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
class SimulatedStore:
    """A store whose partitions perform one append at a time.

    Appends arrive at an even rate, at random partitions.  append_s is how
    long each one takes, and lost_share the share of responses that are lost.
    """

    append_s: float
    lost_share: float = 0.0
    appends_per_s: float = 25.0
    timeout_s: float = 0.8
    limiter: repeats.RetryLimiter = attrs.field(factory=repeats.RetryLimiter)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    free_at: dict[int, float] = attrs.field(factory=dict)
    sends: int = 0

    def send(self, partition: int, now: float) -> float:
        """Returns when the response to an append arrives."""
        self.sends += 1
        start = max(self.free_at.get(partition, 0.0), now)
        self.free_at[partition] = start + self.append_s
        if self.rng.random() < self.lost_share:
            return math.inf
        return start + self.append_s + 0.01

    def simulate(self, appends: int) -> list[float]:
        """Returns how long each append took, at most timeout_s."""
        durations = []
        # For each append: its partition, times of the first and last send,
        # number of sends, and response times.
        pending: list[tuple[int, float, float, int, list[float]]] = []
        responses: list[tuple[float, float]] = []
        for step in range(int((appends / self.appends_per_s + 3) * 100)):
            now = step / 100
            if (
                step % int(100 / self.appends_per_s) == 0
                and step / 4 < appends
            ):
                partition = self.rng.randrange(12)
                response_times = [self.send(partition, now)]
                responses.append((response_times[0], now))
                pending.append((partition, now, now, 1, response_times))
            for response in sorted(
                each for each in responses if each[0] <= now
            ):
                responses.remove(response)
                self.limiter.note_answer(response[1], response[0])
            still_pending = []
            for partition, first, last, sends, response_times in pending:
                if min(response_times) <= now or now - first >= self.timeout_s:
                    durations.append(
                        min(min(response_times) - first, self.timeout_s)
                    )
                    continue
                if self.limiter.try_retry(sends, last, now):
                    response_times.append(self.send(partition, now))
                    responses.append((response_times[-1], now))
                    last, sends = now, sends + 1
                still_pending.append(
                    (partition, first, last, sends, response_times)
                )
            pending = still_pending
        return durations


def test_lost_responses_delay_few_appends() -> None:
    # Without retries, 150 of them would take until the timeout.
    durations = SimulatedStore(append_s=0.002, lost_share=0.3).simulate(500)
    assert len(durations) == 500
    assert sum(each > 0.3 for each in durations) <= 15


def test_slow_store_gets_no_extra_appends() -> None:
    store = SimulatedStore(append_s=0.12, appends_per_s=25.0)
    store.simulate(200)
    assert store.sends <= 1.05 * 200


def test_silent_store_is_not_flooded() -> None:
    store = SimulatedStore(append_s=0.002, lost_share=1.0)
    store.simulate(200)
    assert store.sends == 200


def test_append_without_a_response_is_retried() -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog(hanging_appends=1)
        retrying = retrying_log.RetryingLog(log)
        first = asyncio.create_task(retrying.append('t', 0, [b'a']))
        await asyncio.sleep(0.01)
        assert await retrying.append('t', 0, [b'b']) == 1
        assert await first == 2
        assert log.data['t', 0] == [b'a', b'b', b'a']

    asyncio.run(scenario())


def test_refused_append_is_not_retried() -> None:
    async def scenario() -> None:
        log = gateway_support.MemoryLog(
            failure=errors.ResultError(codes.LOG_UNAVAILABLE)
        )
        with pytest.raises(errors.ResultError):
            await retrying_log.RetryingLog(log).append('t', 0, [b'a'])
        assert log.appends == 1

    asyncio.run(scenario())
