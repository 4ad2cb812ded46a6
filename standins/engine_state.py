"""State of the engine stand-in: batch, streams and load reports."""

import asyncio
import collections
import random
import time
import typing

import attrs

from standins import batching
from standins import faults

MAX_LOADS: typing.Final = 10_000
MAX_STREAMS: typing.Final = 10_000


@attrs.define(kw_only=True)
class EngineSwitches(faults.Switches):
    """The engine's faults and speed.

    fail_after_tokens closes the connection of a stream after that many
    tokens (-1: never); the generation goes on, so that the stream can be
    resumed.  fail_streams is the number of streams still to be closed so
    (-1: all).  When a client disconnects, its generation is cancelled
    after cancel_delay_s.  lag_s is the age of the load that is reported,
    event_lag_s the delay of cache events and event_drop_rate the share
    of them that is lost.
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
    """The load at one moment; held is the block count of each program."""

    at: float
    running: int
    waiting: int
    cached_blocks: int
    held: dict[str, int]


@attrs.define(kw_only=True)
class Engine:
    """The engine's batch, streams, past loads and counters."""

    name: str
    switches: EngineSwitches
    batcher: batching.Batcher
    streams: dict[str, batching.Generation] = attrs.field(factory=dict)
    loads: collections.deque[Load] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LOADS)
    )
    orders: list[typing.Any] = attrs.field(factory=list)
    guard: faults.FencingGuard = attrs.field(factory=faults.FencingGuard)
    started: int = 0
    cancelled: int = 0
    step_task: asyncio.Task[None] | None = None

    def submit(self, generation: batching.Generation) -> None:
        """Queues a generation and starts the step loop if it is idle."""
        self.started += 1
        self.streams[generation.stream_id] = generation
        while len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]
        self.batcher.waiting.append(generation)
        self.record_load()
        if self.step_task is None or self.step_task.done():
            self.step_task = asyncio.ensure_future(self.run_steps())

    async def run_steps(self) -> None:
        """Runs steps until no generation is running or waiting."""
        batcher = self.batcher
        while batcher.running or batcher.waiting:
            batcher.speed = self.switches.speed
            prefill_tokens = batcher.admit()
            self.record_load()
            await asyncio.sleep(batcher.step_time(prefill_tokens))
            self.apply_cache_faults()
            batcher.finish_step(time.monotonic())
        self.record_load()

    def apply_cache_faults(self) -> None:
        """Copies the fault switches for cache events to the cache."""
        self.batcher.cache.event_lag_s = self.switches.event_lag_s
        self.batcher.cache.event_drop_rate = self.switches.event_drop_rate

    def cancel(self, generation: batching.Generation) -> None:
        """Cancels a generation that has not ended."""
        if not generation.done and not generation.cancelled:
            self.cancelled += 1
            self.batcher.cancel(generation)

    def release(self, program: str) -> None:
        """Releases the cache blocks of a program."""
        self.apply_cache_faults()
        self.batcher.cache.release(time.monotonic(), program)
        self.record_load()

    def load(self) -> Load:
        """Returns the present load."""
        cache = self.batcher.cache
        return Load(
            at=time.monotonic(),
            running=len(self.batcher.running),
            waiting=len(self.batcher.waiting),
            cached_blocks=cache.used_blocks,
            held=cache.blocks_by_program(),
        )

    def record_load(self) -> None:
        """Stores the present load if load reports are to lag."""
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
    """Returns an engine; settings override the defaults of its batcher."""
    capacity_blocks = settings.pop('cache_blocks', 4096)
    values = {
        'max_batch': 8,
        'step_base_s': 0.002,
        'step_per_generation_s': 0.000_2,
        'prefill_per_token_s': 0.000_01,
        **settings,
    }
    cache = batching.PrefixCache(
        capacity_blocks=capacity_blocks, rng=random.Random(name)
    )
    batcher = batching.Batcher(cache=cache, **values)
    return Engine(name=name, switches=switches, batcher=batcher)
