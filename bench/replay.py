"""Replays a workload against simulated engines under one dispatcher.

A discrete-event simulation: a heap of timed events, the engines of two
groups (model and tool replicas), and the programs as generators that
yield what they wait for.  Load reports and cache events reach the
dispatcher with a delay, and some cache events are lost.  The network and
the instances are not simulated, except for a fixed delay between an entry
instance and the group's home instance.
"""

import collections.abc
import functools
import heapq
import itertools
import random
import typing

import attrs

from bench import engine
from bench import workload
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import retention

REPORT_INTERVAL_S: typing.Final = 0.5
LOAD_REPORT_DELAY_S: typing.Final = 0.75
CACHE_EVENT_DELAY_S: typing.Final = 2.0
CACHE_EVENT_LOSS_RATE: typing.Final = 0.2
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
                    prefix=workload.digests(program, history),
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
    unfinished: int = 0
    computed_blocks: set[bytes] = attrs.field(factory=set)


def run(
    programs: list[workload.Program],
    fleet: Fleet,
    make_dispatcher: collections.abc.Callable[[str], Dispatcher],
    *,
    seed: int,
    hop_s: float = 0.0,
) -> Result:
    """Replays a workload to its end and returns the measurements."""
    replay = Replay(
        groups={
            name: Group(
                name=name,
                dispatcher=make_dispatcher(name),
                engines={
                    spec.name: engine.Engine(spec=spec) for spec in specs
                },
            )
            for name, specs in (
                (MODEL_GROUP, fleet.models),
                (TOOL_GROUP, fleet.tools),
            )
        },
        rng=random.Random(seed),
        hop_s=hop_s,
    )
    for group in replay.groups.values():
        configure_upstreams(replay, group, '')
    replay.unfinished = len(programs)
    for program in programs:
        outcome = Outcome(program=program)
        replay.result.outcomes.append(outcome)
        running = RunningProgram(
            program=program, process=make_process(program), outcome=outcome
        )
        schedule(
            replay,
            program.start_at,
            functools.partial(resume, replay, running),
        )
    group = replay.groups[MODEL_GROUP]
    schedule(
        replay,
        fleet.leaves_at,
        lambda: configure_upstreams(replay, group, fleet.leaving_engine),
    )
    schedule(replay, REPORT_INTERVAL_S, lambda: report_engines(replay))
    while replay.unfinished:
        replay.now, _, action = heapq.heappop(replay.events)
        action()
    return replay.result


def schedule(
    replay: Replay, time: float, action: collections.abc.Callable[[], None]
) -> None:
    """Schedules an action at a simulated time."""
    heapq.heappush(replay.events, (time, next(replay.serial_numbers), action))


def configure_upstreams(replay: Replay, group: Group, leaving: str) -> None:
    """Sets the group's upstreams, marking the one named as leaving."""
    group.dispatcher.set_upstreams(
        replay.now,
        [
            model.Upstream(
                name=name,
                data_centre='dc',
                url='http://127.0.0.1',
                leaving=name == leaving,
            )
            for name in group.engines
        ],
    )


def resume(replay: Replay, running: RunningProgram) -> None:
    """Runs a program up to its next wait."""
    waiting = next(running.process, None)
    match waiting:
        case None:
            end_program(replay, running)
        case Wait():
            schedule(
                replay,
                replay.now + waiting.wait_s,
                lambda: resume(replay, running),
            )
        case Call():
            call_id = f'c{next(replay.serial_numbers)}'
            replay.open_calls[call_id] = (running, waiting)
            replay.result.calls += 1
            schedule(
                replay,
                replay.now + replay.hop_s,
                lambda: request_slot(replay, call_id),
            )
        case Join():
            running.unfinished_children = len(waiting.programs)
            for program in waiting.programs:
                child = RunningProgram(
                    program=program,
                    process=make_process(program),
                    outcome=running.outcome,
                    parent=running,
                    attained_s=running.attained_s,
                )
                resume(replay, child)


def end_program(replay: Replay, running: RunningProgram) -> None:
    """Ends a program; the last sub-agent resumes its parent."""
    for group in replay.groups.values():
        group.dispatcher.end_program(replay.now, running.program.name)
    parent = running.parent
    if parent is None:
        running.outcome.finished_at = replay.now
        replay.unfinished -= 1
        return
    parent.attained_s = max(parent.attained_s, running.attained_s)
    parent.unfinished_children -= 1
    if not parent.unfinished_children:
        resume(replay, parent)


def request_slot(replay: Replay, call_id: str) -> None:
    """Requests a slot for a call."""
    running, call = replay.open_calls[call_id]
    group = replay.groups[call.group]
    program = running.program
    age_s = replay.now - program.start_at
    group.dispatcher.submit(
        replay.now,
        messages.SlotRequest(
            call_id=call_id,
            program=program.name,
            client_account=program.client_account,
            class_name=program.class_name,
            service=group.name,
            slack_s=workload.TARGETS[program.class_name] - age_s,
            attained_s=running.attained_s,
            prompt_tokens=call.prompt_tokens,
            max_tokens=1000,
            prefix=call.prefix,
            program_age_s=age_s,
        ),
    )
    poll(replay, group)


def poll(replay: Replay, group: Group) -> None:
    """Carries out the dispatcher's decisions and schedules its wakeup."""
    for decision in group.dispatcher.poll(replay.now):
        match decision:
            case messages.SlotGranted():
                schedule(
                    replay,
                    replay.now + replay.hop_s,
                    functools.partial(start_call, replay, group, decision),
                )
            case messages.SlotRefused():
                replay.result.refusals += 1
                replay.open_calls[decision.call_id][0].outcome.refusals += 1
                schedule(
                    replay,
                    replay.now + decision.retry_after_s,
                    functools.partial(request_slot, replay, decision.call_id),
                )
    for release in group.dispatcher.due_releases(replay.now):
        engine.drop(group.engines[release.upstream], release.program)
    wakeup_at = group.dispatcher.next_wakeup(replay.now)
    if wakeup_at is not None and wakeup_at != group.wakeup_at:
        group.wakeup_at = wakeup_at
        schedule(replay, wakeup_at, lambda: poll(replay, group))


def start_call(
    replay: Replay, group: Group, granted: messages.SlotGranted
) -> None:
    """Sends a granted call to its engine."""
    _, call = replay.open_calls[granted.call_id]
    target = group.engines[granted.upstream]
    engine.send(
        target,
        replay.now,
        engine.EngineCall(
            call_id=granted.call_id,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            prefix=call.prefix,
            sent_at=replay.now,
        ),
    )
    if target.waiting:
        replay.result.queued_in_engine += 1
    schedule_engine_event(replay, group, target)


def schedule_engine_event(
    replay: Replay, group: Group, target: engine.Engine
) -> None:
    """Schedules the engine's next event."""
    due = engine.next_event(target)
    if due is not None:
        schedule(
            replay,
            due,
            lambda: handle_engine_event(replay, group, target, due),
        )


def handle_engine_event(
    replay: Replay, group: Group, target: engine.Engine, due: float
) -> None:
    """Advances an engine and ends its finished calls.

    An event that is no longer due, because the engine has changed since
    it was scheduled, is ignored.
    """
    current = engine.next_event(target)
    if current is None or current > due + 1e-9 and current > replay.now:
        return
    engine.advance(target, max(replay.now, current))
    finished = target.finished
    target.finished = []
    for each in finished:
        finish_call(replay, group, target, each)
    schedule_engine_event(replay, group, target)


def finish_call(
    replay: Replay,
    group: Group,
    target: engine.Engine,
    finished: engine.Finished,
) -> None:
    """Ends a call: counts its prefix, frees its slot, resumes its program."""
    call_id = finished.call.call_id
    running, call = replay.open_calls.pop(call_id)
    count_prefix_tokens(replay, finished, target.spec.block_tokens)
    running.attained_s += finished.duration_s
    released = messages.SlotReleased(
        call_id=call_id,
        upstream=target.spec.name,
        failed=False,
        first_token_s=finished.first_token_s,
        duration_s=finished.duration_s,
        tokens=call.output_tokens,
        cached_tokens=finished.cached_tokens if call.prefix else None,
    )
    schedule(
        replay,
        replay.now + replay.hop_s,
        lambda: release_slot(replay, group, released),
    )
    resume(replay, running)


def release_slot(
    replay: Replay, group: Group, released: messages.SlotReleased
) -> None:
    """Releases a call's slot."""
    group.dispatcher.release(replay.now, released)
    poll(replay, group)


def count_prefix_tokens(
    replay: Replay, finished: engine.Finished, block_tokens: int
) -> None:
    """Counts the prompt's tokens that some engine had computed before."""
    known = 0
    for digest in finished.call.prefix:
        if digest not in replay.computed_blocks:
            break
        known += 1
    tokens = known * block_tokens
    replay.result.prefix_tokens += tokens
    replay.result.recomputed_tokens += max(0, tokens - finished.cached_tokens)
    replay.computed_blocks.update(finished.call.prefix)


def report_engines(replay: Replay) -> None:
    """Sends the load and cache reports of every engine."""
    for group in replay.groups.values():
        for name, target in group.engines.items():
            engine.advance(target, replay.now)
            report_load(replay, group, name, target)
            report_cache(replay, group, name, target)
            finished = target.finished
            target.finished = []
            for each in finished:
                finish_call(replay, group, target, each)
    schedule(
        replay, replay.now + REPORT_INTERVAL_S, lambda: report_engines(replay)
    )


def report_load(
    replay: Replay, group: Group, name: str, target: engine.Engine
) -> None:
    """Delivers an engine's load report after LOAD_REPORT_DELAY_S."""
    running = engine.running(target)
    waiting = len(target.waiting)

    def deliver() -> None:
        group.dispatcher.on_load(replay.now, name, running, waiting)
        poll(replay, group)

    schedule(replay, replay.now + LOAD_REPORT_DELAY_S, deliver)


def report_cache(
    replay: Replay, group: Group, name: str, target: engine.Engine
) -> None:
    """Delivers an engine's cache event with a delay, unless it is lost."""
    if not target.stored and not target.removed:
        return
    stored, removed = tuple(target.stored), tuple(target.removed)
    target.stored, target.removed = [], []
    sequence = group.cache_sequences.get(name, 0)
    group.cache_sequences[name] = sequence + 1
    if replay.rng.random() < CACHE_EVENT_LOSS_RATE:
        return
    schedule(
        replay,
        replay.now + CACHE_EVENT_DELAY_S,
        lambda: group.dispatcher.on_cache_event(
            replay.now, name, sequence, stored, removed
        ),
    )
