"""Continuous batching and prefix caching of the engine stand-in."""

import asyncio
import collections
import hashlib
import json
import random
import typing

import attrs

BLOCK_TOKENS: typing.Final = 16
CHARACTERS_PER_TOKEN: typing.Final = 4

JsonMessage: typing.TypeAlias = dict[str, typing.Any]


def digest(text: str) -> str:
    """Returns a short digest that a test can recompute."""
    return hashlib.sha256(text.encode()).hexdigest()[:12]


def message_text(message: JsonMessage) -> str:
    """Returns a message's canonical text."""
    return json.dumps(message, sort_keys=True)


def count_tokens(message: JsonMessage) -> int:
    """Returns how many tokens a message takes."""
    content = str(message.get('content') or '')
    return 1 + len(content) // CHARACTERS_PER_TOKEN


def answer(content: str, count: int) -> str:
    """Returns the answer of count tokens to a last message's content."""
    question_digest = digest(content)
    return ''.join(
        answer_token(question_digest, index) for index in range(count)
    )


def answer_token(question_digest: str, index: int) -> str:
    """Returns a token of an answer; each shows the question's digest."""
    return f'{question_digest}-{index} '


def prefix_digests(messages: list[JsonMessage]) -> list[str]:
    """Returns the chained digest of each prefix of the messages."""
    digests = []
    chained = ''
    for message in messages:
        chained = digest(chained + message_text(message))
        digests.append(chained)
    return digests


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change of the cache; offsets of lost events are missing."""

    offset: int
    kind: typing.Literal['stored', 'evicted', 'released']
    prefix: str
    program: str
    visible_at: float


@attrs.define(kw_only=True)
class CacheEntry:
    """The blocks of one message behind its prefix, and who holds them."""

    blocks: int
    programs: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class PrefixCache:
    """Blocks of message prefixes, the least recently used dropped first."""

    capacity_blocks: int
    event_lag_s: float = 0.0
    event_drop_rate: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    entries: collections.OrderedDict[str, CacheEntry] = attrs.field(
        factory=collections.OrderedDict
    )
    events: list[CacheEvent] = attrs.field(factory=list)
    next_offset: int = 1

    @property
    def used_blocks(self) -> int:
        """How many blocks are taken."""
        return sum(entry.blocks for entry in self.entries.values())

    def blocks_by_program(self) -> dict[str, int]:
        """Returns the blocks that each program holds."""
        blocks: collections.Counter[str] = collections.Counter()
        for entry in self.entries.values():
            for program in entry.programs:
                blocks[program] += entry.blocks
        return dict(blocks)

    def publish(
        self,
        now: float,
        kind: typing.Literal['stored', 'evicted', 'released'],
        prefix: str,
        program: str = '',
    ) -> None:
        """Publishes an event, late, or loses it."""
        offset = self.next_offset
        self.next_offset += 1
        if self.rng.random() < self.event_drop_rate:
            return
        event = CacheEvent(
            offset=offset,
            kind=kind,
            prefix=prefix,
            program=program,
            visible_at=now + self.event_lag_s,
        )
        self.events.append(event)

    def cached_tokens(self, messages: list[JsonMessage]) -> int:
        """Returns how many leading tokens need no prefill."""
        tokens = 0
        digests = prefix_digests(messages)
        for prefix, message in zip(digests, messages, strict=True):
            if prefix not in self.entries:
                break
            tokens += count_tokens(message)
        return tokens

    def store(
        self, now: float, messages: list[JsonMessage], program: str
    ) -> None:
        """Keeps the messages' blocks for a program, room permitting."""
        digests = prefix_digests(messages)
        for prefix, message in zip(digests, messages, strict=True):
            if prefix not in self.entries:
                blocks = -(-count_tokens(message) // BLOCK_TOKENS)
                self.entries[prefix] = CacheEntry(blocks=blocks)
                self.publish(now, 'stored', prefix, program)
            self.entries.move_to_end(prefix)
            if program:
                self.entries[prefix].programs.add(program)
        while self.used_blocks > self.capacity_blocks:
            prefix, _ = self.entries.popitem(last=False)
            self.publish(now, 'evicted', prefix)

    def release(self, now: float, program: str) -> None:
        """Lets go of the blocks that only this program holds."""
        for prefix, entry in list(self.entries.items()):
            if program not in entry.programs:
                continue
            entry.programs.discard(program)
            if not entry.programs:
                del self.entries[prefix]
                self.publish(now, 'released', prefix, program)


@attrs.define(kw_only=True, eq=False)
class Generation:
    """A request's generation; tokens grows until done."""

    stream_id: str
    program: str
    messages: list[JsonMessage]
    max_tokens: int
    prompt_tokens: int
    question_digest: str
    cached_tokens: int = 0
    tokens: list[str] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    progress: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add_token(self) -> None:
        """Adds a token and wakes the readers."""
        self.tokens.append(
            answer_token(self.question_digest, len(self.tokens))
        )
        self.done = len(self.tokens) >= self.max_tokens
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wakes those who wait for the next token."""
        self.progress.set()
        self.progress = asyncio.Event()


@attrs.define(kw_only=True)
class Batcher:
    """Runs generations in one continuously changing batch.

    A step gives every running generation one token.  Its time grows with
    the batch, and with the uncached prompt of generations that join.
    """

    cache: PrefixCache
    max_batch: int
    step_base_s: float
    step_per_generation_s: float
    prefill_per_token_s: float
    speed: float = 1.0
    running: list[Generation] = attrs.field(factory=list)
    waiting: list[Generation] = attrs.field(factory=list)

    def admit(self) -> int:
        """Fills the batch from the queue; returns the tokens to prefill."""
        tokens = 0
        while self.waiting and len(self.running) < self.max_batch:
            generation = self.waiting.pop(0)
            generation.cached_tokens = self.cache.cached_tokens(
                generation.messages
            )
            tokens += generation.prompt_tokens - generation.cached_tokens
            self.running.append(generation)
        return tokens

    def step_time(self, prefill_tokens: int) -> float:
        """Returns how long the next step takes, in seconds."""
        batch_s = self.step_per_generation_s * len(self.running)
        prefill_s = self.prefill_per_token_s * prefill_tokens
        return (self.step_base_s + batch_s + prefill_s) / self.speed

    def finish_step(self, now: float) -> None:
        """Gives each running generation its token."""
        for generation in list(self.running):
            if not generation.cancelled:
                generation.add_token()
            if generation.done or generation.cancelled:
                self.running.remove(generation)
                self.cache_messages(now, generation)

    def cache_messages(self, now: float, generation: Generation) -> None:
        """Caches a generation's prompt and answer."""
        messages = generation.messages
        if generation.done:
            content = ''.join(generation.tokens)
            messages = [*messages, {'role': 'assistant', 'content': content}]
        self.cache.store(now, messages, generation.program)

    def cancel(self, generation: Generation) -> None:
        """Ends a generation before its time."""
        generation.cancelled = True
        if generation in self.waiting:
            self.waiting.remove(generation)
        generation.notify_readers()
