"""State of the engine stand-in: its batch, streams and load reports."""

import asyncio
import collections
import random
import time
import typing

import attrs

from standins import batching
from standins import faults

LOADS_KEPT: typing.Final = 10_000
STREAMS_KEPT: typing.Final = 10_000


@attrs.define(kw_only=True)
class EngineSwitches(faults.Switches):
    """The engine's faults and speed.

    fail_after_tokens cuts the connection of coming streams after so many
    tokens (-1: never) while the generation goes on, for a resume;
    fail_streams is how many streams it cuts (-1: all).  A client that
    goes away cancels its generation after cancel_delay_s.
    """

    fail_after_tokens: int = -1
    fail_streams: int = -1
    cancel_delay_s: float = 0.0
    check_fencing: bool = False
    speed: float = 1.0
    lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_drop_rate: float = 0.0


@attrs.frozen(kw_only=True)
class Load:
    """A load report as of a moment."""

    at: float
    running: int
    waiting: int
    cached_blocks: int
    held: dict[str, int]


@attrs.define(kw_only=True)
class Engine:
    """The engine's batch, streams and reports."""

    name: str
    switches: EngineSwitches
    batcher: batching.Batcher
    streams: dict[str, batching.Generation] = attrs.field(factory=dict)
    loads: collections.deque[Load] = attrs.field(
        factory=lambda: collections.deque(maxlen=LOADS_KEPT)
    )
    orders: list[typing.Any] = attrs.field(factory=list)
    guard: faults.FencingGuard = attrs.field(factory=faults.FencingGuard)
    started: int = 0
    cancelled: int = 0
    stepper: asyncio.Task[None] | None = None

    def submit(self, one: batching.Generation) -> None:
        """Queues a generation and sees to it that the batch runs."""
        self.started += 1
        self.streams[one.stream_id] = one
        while len(self.streams) > STREAMS_KEPT:
            del self.streams[next(iter(self.streams))]
        self.batcher.waiting.append(one)
        self.note_load()
        if self.stepper is None or self.stepper.done():
            self.stepper = asyncio.ensure_future(self.run_steps())

    async def run_steps(self) -> None:
        """Steps until nothing runs or waits."""
        batcher = self.batcher
        while batcher.running or batcher.waiting:
            batcher.speed = self.switches.speed
            prefill_tokens = batcher.admit()
            self.note_load()
            await asyncio.sleep(batcher.step_time(prefill_tokens))
            self.set_cache_faults()
            batcher.finish_step(time.monotonic())
        self.note_load()

    def set_cache_faults(self) -> None:
        """Hands the switches on to the cache."""
        self.batcher.cache.event_lag_s = self.switches.event_lag_s
        self.batcher.cache.drop_rate = self.switches.event_drop_rate

    def cancel(self, one: batching.Generation) -> None:
        """Cancels a generation that has not ended."""
        if not one.done and not one.cancelled:
            self.cancelled += 1
            self.batcher.cancel(one)

    def release(self, program: str) -> None:
        """Lets go of a program's blocks."""
        self.set_cache_faults()
        self.batcher.cache.release(time.monotonic(), program)
        self.note_load()

    def load(self) -> Load:
        """Returns the load at this moment."""
        cache = self.batcher.cache
        return Load(
            at=time.monotonic(),
            running=len(self.batcher.running),
            waiting=len(self.batcher.waiting),
            cached_blocks=cache.used_blocks,
            held=cache.held(),
        )

    def note_load(self) -> None:
        """Keeps the present load for a later report."""
        if self.switches.lag_s:
            self.loads.append(self.load())

    def reported_load(self) -> Load:
        """Returns the load as it was lag_s ago."""
        if not self.switches.lag_s:
            return self.load()
        moment = time.monotonic() - self.switches.lag_s
        old = [load for load in self.loads if load.at <= moment]
        if old:
            return old[-1]
        return Load(at=moment, running=0, waiting=0, cached_blocks=0, held={})


def make_engine(
    name: str, switches: EngineSwitches, **settings: typing.Any
) -> Engine:
    """Returns an engine; settings replace the defaults of its batch."""
    limit_blocks = settings.pop('cache_blocks', 4096)
    values = {
        'max_batch': 8,
        'token_s': 0.002,
        'token_batch_s': 0.000_2,
        'prefill_token_s': 0.000_01,
        **settings,
    }
    cache = batching.PrefixCache(
        limit_blocks=limit_blocks, chance=random.Random(name)
    )
    batcher = batching.Batcher(cache=cache, **values)
    return Engine(name=name, switches=switches, batcher=batcher)
