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
import random
import typing

from bench import engine
from bench import replay_state
from bench import workload
from oleanderdrift import messages
from oleanderdrift import model

REPORT_INTERVAL_S: typing.Final = 0.5
LOAD_REPORT_DELAY_S: typing.Final = 0.75
CACHE_EVENT_DELAY_S: typing.Final = 2.0
CACHE_EVENT_LOSS_RATE: typing.Final = 0.2


def run(
    programs: list[workload.Program],
    fleet: replay_state.Fleet,
    make_dispatcher: collections.abc.Callable[[str], replay_state.Dispatcher],
    *,
    seed: int,
    hop_s: float = 0.0,
) -> replay_state.Result:
    """Replays a workload to its end and returns the measurements."""
    replay = replay_state.Replay(
        groups={
            name: replay_state.Group(
                name=name,
                dispatcher=make_dispatcher(name),
                engines={
                    spec.name: engine.Engine(spec=spec) for spec in specs
                },
            )
            for name, specs in (
                (replay_state.MODEL_GROUP, fleet.models),
                (replay_state.TOOL_GROUP, fleet.tools),
            )
        },
        rng=random.Random(seed),
        hop_s=hop_s,
    )
    for group in replay.groups.values():
        configure_upstreams(replay, group, '')
    replay.unfinished_programs = len(programs)
    for program in programs:
        outcome = replay_state.Outcome(program=program)
        replay.result.outcomes.append(outcome)
        running = replay_state.RunningProgram(
            program=program,
            process=replay_state.make_process(program),
            outcome=outcome,
        )
        schedule(
            replay,
            program.start_at,
            functools.partial(resume, replay, running),
        )
    group = replay.groups[replay_state.MODEL_GROUP]
    schedule(
        replay,
        fleet.leaves_at,
        lambda: configure_upstreams(replay, group, fleet.leaving_engine),
    )
    schedule(replay, REPORT_INTERVAL_S, lambda: report_engines(replay))
    while replay.unfinished_programs:
        replay.now, _, action = heapq.heappop(replay.events)
        action()
    return replay.result


def schedule(
    replay: replay_state.Replay,
    time: float,
    action: collections.abc.Callable[[], None],
) -> None:
    """Schedules an action at a simulated time."""
    heapq.heappush(replay.events, (time, next(replay.serial_numbers), action))


def configure_upstreams(
    replay: replay_state.Replay, group: replay_state.Group, leaving: str
) -> None:
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


def resume(
    replay: replay_state.Replay, running: replay_state.RunningProgram
) -> None:
    """Runs a program up to its next wait."""
    waiting = next(running.process, None)
    match waiting:
        case None:
            end_program(replay, running)
        case replay_state.Wait():
            schedule(
                replay,
                replay.now + waiting.wait_s,
                lambda: resume(replay, running),
            )
        case replay_state.Call():
            call_id = f'c{next(replay.serial_numbers)}'
            replay.open_calls[call_id] = (running, waiting)
            replay.result.calls += 1
            schedule(
                replay,
                replay.now + replay.hop_s,
                lambda: request_slot(replay, call_id),
            )
        case replay_state.Join():
            running.unfinished_children = len(waiting.programs)
            for program in waiting.programs:
                child = replay_state.RunningProgram(
                    program=program,
                    process=replay_state.make_process(program),
                    outcome=running.outcome,
                    parent=running,
                    attained_s=running.attained_s,
                )
                resume(replay, child)


def end_program(
    replay: replay_state.Replay, running: replay_state.RunningProgram
) -> None:
    """Ends a program; the last sub-agent resumes its parent."""
    for group in replay.groups.values():
        group.dispatcher.end_program(replay.now, running.program.name)
    parent = running.parent
    if parent is None:
        running.outcome.finished_at = replay.now
        replay.unfinished_programs -= 1
        return
    parent.attained_s = max(parent.attained_s, running.attained_s)
    parent.unfinished_children -= 1
    if not parent.unfinished_children:
        resume(replay, parent)


def request_slot(replay: replay_state.Replay, call_id: str) -> None:
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


def poll(replay: replay_state.Replay, group: replay_state.Group) -> None:
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
        engine.drop_program(group.engines[release.upstream], release.program)
    wakeup_at = group.dispatcher.next_wakeup(replay.now)
    if wakeup_at is not None and wakeup_at != group.wakeup_at:
        group.wakeup_at = wakeup_at
        schedule(replay, wakeup_at, lambda: poll(replay, group))


def start_call(
    replay: replay_state.Replay,
    group: replay_state.Group,
    granted: messages.SlotGranted,
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
    replay: replay_state.Replay,
    group: replay_state.Group,
    target: engine.Engine,
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
    replay: replay_state.Replay,
    group: replay_state.Group,
    target: engine.Engine,
    due: float,
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
    replay: replay_state.Replay,
    group: replay_state.Group,
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
    replay: replay_state.Replay,
    group: replay_state.Group,
    released: messages.SlotReleased,
) -> None:
    """Releases a call's slot."""
    group.dispatcher.release(replay.now, released)
    poll(replay, group)


def count_prefix_tokens(
    replay: replay_state.Replay, finished: engine.Finished, block_tokens: int
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


def report_engines(replay: replay_state.Replay) -> None:
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
    replay: replay_state.Replay,
    group: replay_state.Group,
    name: str,
    target: engine.Engine,
) -> None:
    """Delivers an engine's load report after LOAD_REPORT_DELAY_S."""
    running = engine.running_calls(target)
    waiting = len(target.waiting)

    def deliver() -> None:
        group.dispatcher.on_load(replay.now, name, running, waiting)
        poll(replay, group)

    schedule(replay, replay.now + LOAD_REPORT_DELAY_S, deliver)


def report_cache(
    replay: replay_state.Replay,
    group: replay_state.Group,
    name: str,
    target: engine.Engine,
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
