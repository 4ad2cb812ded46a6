"""Continuous batching and prefix caching of the engine stand-in."""

import asyncio
import collections
import hashlib
import json
import random
import typing

import attrs

BLOCK_TOKENS: typing.Final = 16
CHARACTERS_A_TOKEN: typing.Final = 4

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
    return 1 + len(content) // CHARACTERS_A_TOKEN


def answer(content: str, count: int) -> str:
    """Returns the answer of count tokens to a last message's content."""
    mark = digest(content)
    return ''.join(answer_token(mark, place) for place in range(count))


def answer_token(mark: str, place: int) -> str:
    """Returns a token of an answer; each shows the question's digest."""
    return f'{mark}-{place} '


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
class Entry:
    """The blocks of one message behind its prefix, and who holds them."""

    blocks: int
    programs: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class PrefixCache:
    """Blocks of message prefixes, the least recently used dropped first."""

    limit_blocks: int
    event_lag_s: float = 0.0
    drop_rate: float = 0.0
    chance: random.Random = attrs.field(factory=lambda: random.Random(1))
    entries: collections.OrderedDict[str, Entry] = attrs.field(
        factory=collections.OrderedDict
    )
    events: list[CacheEvent] = attrs.field(factory=list)
    next_offset: int = 1

    @property
    def used_blocks(self) -> int:
        """How many blocks are taken."""
        return sum(entry.blocks for entry in self.entries.values())

    def held(self) -> dict[str, int]:
        """Returns the blocks that each program holds."""
        held: collections.Counter[str] = collections.Counter()
        for entry in self.entries.values():
            for program in entry.programs:
                held[program] += entry.blocks
        return dict(held)

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
        if self.chance.random() < self.drop_rate:
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
                self.entries[prefix] = Entry(blocks=blocks)
                self.publish(now, 'stored', prefix, program)
            self.entries.move_to_end(prefix)
            if program:
                self.entries[prefix].programs.add(program)
        while self.used_blocks > self.limit_blocks:
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
    limit: int
    prompt_tokens: int
    mark: str
    cached_tokens: int = 0
    tokens: list[str] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    def grow(self) -> None:
        """Adds a token and wakes the readers."""
        self.tokens.append(answer_token(self.mark, len(self.tokens)))
        self.done = len(self.tokens) >= self.limit
        self.wake()

    def wake(self) -> None:
        """Wakes those who wait for the next token."""
        self.grown.set()
        self.grown = asyncio.Event()


@attrs.define(kw_only=True)
class Batcher:
    """Runs generations in one continuously changing batch.

    A step gives every running generation one token.  Its time grows with
    the batch, and with the uncached prompt of generations that join.
    """

    cache: PrefixCache
    max_batch: int
    token_s: float
    token_batch_s: float
    prefill_token_s: float
    speed: float = 1.0
    running: list[Generation] = attrs.field(factory=list)
    waiting: list[Generation] = attrs.field(factory=list)

    def admit(self) -> int:
        """Fills the batch from the queue; returns the tokens to prefill."""
        tokens = 0
        while self.waiting and len(self.running) < self.max_batch:
            one = self.waiting.pop(0)
            one.cached_tokens = self.cache.cached_tokens(one.messages)
            tokens += one.prompt_tokens - one.cached_tokens
            self.running.append(one)
        return tokens

    def step_time(self, prefill_tokens: int) -> float:
        """Returns how long the next step takes, in seconds."""
        batch_s = self.token_batch_s * len(self.running)
        prefill_s = self.prefill_token_s * prefill_tokens
        return (self.token_s + batch_s + prefill_s) / self.speed

    def finish_step(self, now: float) -> None:
        """Gives each running generation its token."""
        for one in list(self.running):
            if not one.cancelled:
                one.grow()
            if one.done or one.cancelled:
                self.running.remove(one)
                self.keep(now, one)

    def keep(self, now: float, one: Generation) -> None:
        """Caches a generation's prompt and answer."""
        messages = one.messages
        if one.done:
            content = ''.join(one.tokens)
            messages = [*messages, {'role': 'assistant', 'content': content}]
        self.cache.store(now, messages, one.program)

    def cancel(self, one: Generation) -> None:
        """Ends a generation before its time."""
        one.cancelled = True
        if one in self.waiting:
            self.waiting.remove(one)
        one.wake()
