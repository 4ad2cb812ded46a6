"""Simulates an inference engine as its callers see it.

It uses continuous batching, prefills one prompt at a time, slows down as
its batch fills, keeps prefixes in a bounded LRU cache, and admits calls in
order of arrival without priorities.  Tools are engines whose calls have no
prompt.  Nothing else is simulated.
"""

import collections
import heapq
import typing

import attrs

DECODE_FRACTION_IN_PREFILL: typing.Final = 0.5


@attrs.frozen(kw_only=True)
class EngineSpec:
    """The capacity of an engine.

    A decode step takes step_s plus step_per_call_s for each call in the
    batch, all divided by speed.
    """

    name: str
    speed: float
    max_running: int
    step_s: float
    step_per_call_s: float
    prefill_tokens_per_s: float
    cache_blocks: int
    block_tokens: int


@attrs.frozen(kw_only=True)
class EngineCall:
    """A call sent to an engine."""

    call_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[bytes, ...]
    sent_at: float


@attrs.frozen(kw_only=True)
class Finished:
    """A finished call, with the latencies that its client saw."""

    call: EngineCall
    first_token_s: float
    duration_s: float
    cached_tokens: int


@attrs.define(kw_only=True, eq=False)
class RunningCall:
    """A call in the batch."""

    call: EngineCall
    cached_tokens: int
    prefill_tokens_left: float
    first_token_at: float = 0.0


@attrs.define(kw_only=True)
class Engine:
    """The state of a simulated engine at simulated time now.

    decoded_tokens is the number of tokens that a call decoding since time
    0 would have generated.  A call ends when it reaches the token count of
    its entry in the heap of decoding calls.
    """

    spec: EngineSpec
    now: float = 0.0
    waiting: collections.deque[EngineCall] = attrs.field(
        factory=collections.deque
    )
    prefills: collections.deque[RunningCall] = attrs.field(
        factory=collections.deque
    )
    decoding: list[tuple[float, int, RunningCall]] = attrs.field(factory=list)
    decoded_tokens: float = 0.0
    serial: int = 0
    cache: collections.OrderedDict[bytes, None] = attrs.field(
        factory=collections.OrderedDict
    )
    stored: list[bytes] = attrs.field(factory=list)
    removed: list[bytes] = attrs.field(factory=list)
    finished: list[Finished] = attrs.field(factory=list)
    hits: int = 0


def send(engine: Engine, now: float, call: EngineCall) -> None:
    """Sends a call; it joins the batch as soon as there is room."""
    advance(engine, now)
    engine.waiting.append(call)
    admit(engine)


def running_calls(engine: Engine) -> int:
    """Returns the number of calls in the batch."""
    return len(engine.prefills) + len(engine.decoding)


def admit(engine: Engine) -> None:
    """Fills the batch in order of arrival."""
    while engine.waiting and running_calls(engine) < engine.spec.max_running:
        call = engine.waiting.popleft()
        blocks = cached_blocks(engine, call.prefix)
        cached = min(blocks * engine.spec.block_tokens, call.prompt_tokens)
        engine.prefills.append(
            RunningCall(
                call=call,
                cached_tokens=cached,
                prefill_tokens_left=float(call.prompt_tokens - cached),
            )
        )
        store(engine, call.prefix)


def cached_blocks(engine: Engine, prefix: tuple[bytes, ...]) -> int:
    """Returns how many leading blocks are cached."""
    for count, digest in enumerate(prefix):
        if digest not in engine.cache:
            return count
    return len(prefix)


def store(engine: Engine, prefix: tuple[bytes, ...]) -> None:
    """Caches a prefix, with its first block as the most recently used."""
    for digest in reversed(prefix):
        if digest not in engine.cache:
            engine.stored.append(digest)
        engine.cache[digest] = None
        engine.cache.move_to_end(digest)
    while len(engine.cache) > engine.spec.cache_blocks:
        engine.removed.append(engine.cache.popitem(last=False)[0])


def drop_program(engine: Engine, program: str) -> None:
    """Removes a program's own blocks, as the engine does on a release."""
    own_prefix = f'{program}/'.encode()
    dropped = [
        digest for digest in engine.cache if digest.startswith(own_prefix)
    ]
    for digest in dropped:
        del engine.cache[digest]
    engine.removed.extend(dropped)


def token_rate(engine: Engine) -> float:
    """Returns the output tokens per second of each decoding call."""
    spec = engine.spec
    step_s = spec.step_s + spec.step_per_call_s * len(engine.decoding)
    decode_fraction = DECODE_FRACTION_IN_PREFILL if engine.prefills else 1.0
    return spec.speed * decode_fraction / step_s


def prefill_rate(engine: Engine) -> float:
    """Returns the prompt tokens computed per second."""
    return engine.spec.prefill_tokens_per_s * engine.spec.speed


def next_event(engine: Engine) -> float | None:
    """Returns when a prefill or a call next ends."""
    times: list[float] = []
    if engine.prefills:
        left = engine.prefills[0].prefill_tokens_left
        times.append(engine.now + left / prefill_rate(engine))
    if engine.decoding:
        left = max(0.0, engine.decoding[0][0] - engine.decoded_tokens)
        times.append(engine.now + left / token_rate(engine))
    return min(times, default=None)


def advance(engine: Engine, now: float) -> None:
    """Advances the engine to a time, handling the events on the way."""
    while True:
        due = next_event(engine)
        if due is None or due > now:
            break
        advance_without_events(engine, due)
        handle_due_events(engine)
        admit(engine)
    advance_without_events(engine, now)


def advance_without_events(engine: Engine, now: float) -> None:
    """Advances the engine by a span without events."""
    elapsed_s = now - engine.now
    if engine.decoding:
        engine.decoded_tokens += elapsed_s * token_rate(engine)
    if engine.prefills:
        engine.prefills[0].prefill_tokens_left -= elapsed_s * prefill_rate(
            engine
        )
    engine.now = now


def handle_due_events(engine: Engine) -> None:
    """Ends the prefill and the calls that are due now."""
    if engine.prefills and engine.prefills[0].prefill_tokens_left <= 1e-6:
        prefilled = engine.prefills.popleft()
        prefilled.first_token_at = engine.now
        engine.serial += 1
        end_tokens = engine.decoded_tokens + prefilled.call.output_tokens
        heapq.heappush(engine.decoding, (end_tokens, engine.serial, prefilled))
    while (
        engine.decoding
        and engine.decoding[0][0] <= engine.decoded_tokens + 1e-6
    ):
        ended = heapq.heappop(engine.decoding)[2]
        engine.finished.append(
            Finished(
                call=ended.call,
                first_token_s=ended.first_token_at - ended.call.sent_at,
                duration_s=engine.now - ended.call.sent_at,
                cached_tokens=ended.cached_tokens,
            )
        )
