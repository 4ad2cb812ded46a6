"""Simulated continuous batching and prefix caching of a model engine."""

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
    """Returns a message's simulated token count, at least 1."""
    content = str(message.get('content') or '')
    return 1 + len(content) // CHARACTERS_PER_TOKEN


def answer(content: str, count: int) -> str:
    """Returns the engine's answer, count tokens long, to a last message.

    It depends only on the content, so that a caller can check it.
    """
    question_digest = digest(content)
    return ''.join(
        answer_token(question_digest, index) for index in range(count)
    )


def answer_token(question_digest: str, index: int) -> str:
    """Returns the token at an index of an answer, with the digest in it."""
    return f'{question_digest}-{index} '


def prefix_digests(messages: list[JsonMessage]) -> list[str]:
    """Returns a digest for each prefix of the messages, shortest first.

    Each digest covers the one before it and one more message.
    """
    digests = []
    chained = ''
    for message in messages:
        chained = digest(chained + message_text(message))
        digests.append(chained)
    return digests


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change of the cache, readable from visible_at on.

    Offsets count lost events too, so that a reader can see the gap.
    """

    offset: int
    kind: typing.Literal['stored', 'evicted', 'released']
    prefix: str
    program: str
    visible_at: float


@attrs.define(kw_only=True)
class CacheEntry:
    """One message's block count, and the programs that hold the blocks."""

    blocks: int
    programs: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class PrefixCache:
    """Cached message prefixes, evicted least recently used first."""

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
        """The number of blocks in use."""
        return sum(entry.blocks for entry in self.entries.values())

    def blocks_by_program(self) -> dict[str, int]:
        """Returns the number of blocks that each program holds."""
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
        """Records an event that shows after event_lag_s, or drops it."""
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
        """Returns how many leading tokens of the messages are cached."""
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
        """Caches the messages for a program, evicting down to capacity."""
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
        """Ends a program's hold; drops blocks that no program holds now."""
        for prefix, entry in list(self.entries.items()):
            if program not in entry.programs:
                continue
            entry.programs.discard(program)
            if not entry.programs:
                del self.entries[prefix]
                self.publish(now, 'released', prefix, program)


@attrs.define(kw_only=True, eq=False)
class Generation:
    """The generation of one answer; progress is set at each change."""

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
        """Appends the next token and notifies the readers."""
        self.tokens.append(
            answer_token(self.question_digest, len(self.tokens))
        )
        self.done = len(self.tokens) >= self.max_tokens
        self.notify_readers()

    def notify_readers(self) -> None:
        """Sets the progress event and puts a new one in its place."""
        self.progress.set()
        self.progress = asyncio.Event()


@attrs.define(kw_only=True)
class Batcher:
    """Runs generations with continuous batching.

    Each step gives every running generation one token.  A step takes
    longer the larger the batch is, and the more uncached prompt tokens
    the generations bring that join it.
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
        """Moves waiting generations into the batch while it has room.

        Returns the number of prompt tokens to prefill.
        """
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
        """Returns the duration of the next step in seconds."""
        batch_s = self.step_per_generation_s * len(self.running)
        prefill_s = self.prefill_per_token_s * prefill_tokens
        return (self.step_base_s + batch_s + prefill_s) / self.speed

    def finish_step(self, now: float) -> None:
        """Adds a token to each running generation; removes ended ones."""
        for generation in list(self.running):
            if not generation.cancelled:
                generation.add_token()
            if generation.done or generation.cancelled:
                self.running.remove(generation)
                self.cache_messages(now, generation)

    def cache_messages(self, now: float, generation: Generation) -> None:
        """Caches the prompt, and the answer if it is complete."""
        messages = generation.messages
        if generation.done:
            content = ''.join(generation.tokens)
            messages = [*messages, {'role': 'assistant', 'content': content}]
        self.cache.store(now, messages, generation.program)

    def cancel(self, generation: Generation) -> None:
        """Cancels a generation; a running one leaves after this step."""
        generation.cancelled = True
        if generation in self.waiting:
            self.waiting.remove(generation)
        generation.notify_readers()
