"""The state of a replay, and what its programs wait for; see `replay`."""

import collections.abc
import itertools
import random
import typing

import attrs

from bench import engine
from bench import workload
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import retention

MODEL_GROUP: typing.Final = 'assistant'
TOOL_GROUP: typing.Final = 'desk'


class Dispatcher(typing.Protocol):
    """Dispatches the calls of one group: the scheduler or a baseline."""

    def set_upstreams(
        self, now: float, upstreams: list[model.Upstream]
    ) -> None:
        """Replaces the group's upstreams."""

    def submit(self, now: float, request: messages.SlotRequest) -> None:
        """Queues a call."""

    def release(self, now: float, released: messages.SlotReleased) -> None:
        """Frees the slot of a finished call."""

    def poll(
        self, now: float
    ) -> list[messages.SlotGranted | messages.SlotRefused]:
        """Returns the slots granted and refused now."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again."""

    def end_program(self, now: float, program: str) -> None:
        """Handles the end of a program."""

    def due_releases(self, now: float) -> list[retention.Release]:
        """Returns the programs whose cached blocks are to be released."""

    def on_load(
        self, now: float, upstream: str, running: int, waiting: int
    ) -> None:
        """Handles an engine's load report."""

    def on_cache_event(
        self,
        now: float,
        upstream: str,
        sequence: int,
        stored: tuple[bytes, ...],
        removed: tuple[bytes, ...],
    ) -> None:
        """Handles an engine's cache event."""


@attrs.frozen(kw_only=True)
class Fleet:
    """The engines of both groups, and the one that leaves at leaves_at."""

    models: tuple[engine.EngineSpec, ...]
    tools: tuple[engine.EngineSpec, ...]
    leaving_engine: str
    leaves_at: float


@attrs.define(kw_only=True)
class Outcome:
    """The outcome of one program."""

    program: workload.Program
    finished_at: float = 0.0
    refusals: int = 0


@attrs.define(kw_only=True)
class Result:
    """The measurements of a replay."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    calls: int = 0
    refusals: int = 0
    prefix_tokens: int = 0
    recomputed_tokens: int = 0
    queued_in_engine: int = 0


@attrs.frozen(kw_only=True)
class Wait:
    """Waits for a fixed time."""

    wait_s: float


@attrs.frozen(kw_only=True)
class Call:
    """Waits for a call to finish."""

    group: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class Join:
    """Waits for all sub-agents to end."""

    programs: tuple[workload.Program, ...]


WaitCondition: typing.TypeAlias = Wait | Call | Join
Process: typing.TypeAlias = collections.abc.Generator[
    WaitCondition, None, None
]


def make_process(program: workload.Program) -> Process:
    """Yields what a program waits for at each of its steps."""
    history = program.system_tokens
    for step in program.steps:
        match step:
            case workload.ModelCall():
                history += step.new_tokens
                yield Call(
                    group=MODEL_GROUP,
                    prompt_tokens=history,
                    output_tokens=step.output_tokens,
                    prefix=workload.prefix_digests(program, history),
                )
                history += step.output_tokens
            case workload.ToolCall():
                yield Call(
                    group=TOOL_GROUP,
                    prompt_tokens=0,
                    output_tokens=step.work,
                    prefix=(),
                )
            case workload.Pause():
                yield Wait(wait_s=step.pause_s)
            case workload.SubAgents():
                yield Join(programs=step.programs)


@attrs.define(kw_only=True, eq=False)
class RunningProgram:
    """A running program; for a sub-agent, parent waits for its end."""

    program: workload.Program
    process: Process
    outcome: Outcome
    attained_s: float = 0.0
    unfinished_children: int = 0
    parent: typing.Optional['RunningProgram'] = None


@attrs.define(kw_only=True, eq=False)
class Group:
    """One dispatch group: its dispatcher and engines."""

    name: str
    dispatcher: Dispatcher
    engines: dict[str, engine.Engine]
    cache_sequences: dict[str, int] = attrs.field(factory=dict)
    wakeup_at: float | None = None


@attrs.define(kw_only=True)
class Replay:
    """The state of a replay."""

    groups: dict[str, Group]
    rng: random.Random
    hop_s: float
    now: float = 0.0
    events: list[tuple[float, int, collections.abc.Callable[[], None]]] = (
        attrs.field(factory=list)
    )
    serial_numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    open_calls: dict[str, tuple[RunningProgram, Call]] = attrs.field(
        factory=dict
    )
    result: Result = attrs.field(factory=Result)
    unfinished_programs: int = 0
    computed_blocks: set[bytes] = attrs.field(factory=set)
