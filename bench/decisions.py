"""Measures the dispatch decisions against the baselines, in model time."""

import collections.abc
import typing

import attrs

from bench import baselines
from bench import engine
from bench import figure
from bench import replay
from bench import workload
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import policy
from oleanderdrift import scheduler

SEED: typing.Final = 20261204
DURATION_S: typing.Final = 900.0
FULL_LOAD: typing.Final = 0.85
HOP_S: typing.Final = 0.0015
CACHE_BLOCKS: typing.Final = 1200


@attrs.define(kw_only=True)
class Scheduler:
    """The real deciding modules, as a dispatcher of the bench."""

    group: scheduler.DispatchGroup

    def set_upstreams(
        self, now: float, upstreams: list[model.Upstream]
    ) -> None:
        """Takes over the upstreams."""
        scheduler.set_upstreams(self.group, now, upstreams)

    def submit(self, now: float, request: messages.SlotRequest) -> None:
        """Takes a call."""
        scheduler.submit(self.group, now, request)

    def release(self, now: float, released: messages.SlotReleased) -> None:
        """Takes a call's end."""
        scheduler.release(self.group, now, released)

    def poll(
        self, now: float
    ) -> list[messages.SlotGranted | messages.SlotRefused]:
        """Returns what is decided."""
        return scheduler.poll(self.group, now)

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again."""
        return scheduler.next_wakeup(self.group, now)

    def on_load(
        self, now: float, upstream: str, running: int, waiting: int
    ) -> None:
        """Takes a load report."""
        scheduler.on_load(self.group, now, upstream, running, waiting)

    def on_cache_event(
        self,
        now: float,
        upstream: str,
        sequence: int,
        stored: tuple[bytes, ...],
        removed: tuple[bytes, ...],
    ) -> None:
        """Takes a cache event."""
        scheduler.on_cache_event(
            self.group, now, upstream, sequence, stored, removed
        )


def make_scheduler(rules: policy.Policy) -> (
    collections.abc.Callable[[str], replay.Dispatcher]
):
    """Returns a maker of scheduler dispatchers under a policy."""

    def make(name: str) -> replay.Dispatcher:
        group = scheduler.DispatchGroup(name=name, rules=rules)
        scheduler.set_classes(group, 0.0, workload.CLASSES)
        scheduler.set_accounts(group, 0.0, workload.ACCOUNTS)
        return Scheduler(group=group)

    return make


def model_spec(number: int, speed: float) -> engine.EngineSpec:
    """Returns a model engine of a relative speed."""
    return engine.EngineSpec(
        name=f'model-{number}',
        speed=speed,
        max_running=16,
        step_s=0.015,
        step_per_call_s=0.001,
        prefill_tokens_per_s=8000.0,
        cache_blocks=CACHE_BLOCKS,
        block_tokens=workload.BLOCK_TOKENS,
    )


def tool_spec(number: int, speed: float) -> engine.EngineSpec:
    """Returns a plain service of a relative speed."""
    return engine.EngineSpec(
        name=f'tool-{number}',
        speed=speed,
        max_running=8,
        step_s=0.01,
        step_per_call_s=0.0,
        prefill_tokens_per_s=1.0,
        cache_blocks=0,
        block_tokens=1,
    )


SPEEDS: typing.Final = {
    '5+3': (1.0, 1.0, 0.7, 0.5, 0.3),
    '6+3': (1.0, 1.0, 0.8, 0.6, 0.4, 0.3),
}
TOOL_SPEEDS: typing.Final = (1.0, 0.7, 0.4)
LEAVING_INDEX: typing.Final = 3


def make_fleet(size: str, duration_s: float) -> replay.Fleet:
    """Returns a fleet of one of the users' sizes; one replica leaves."""
    return replay.Fleet(
        models=tuple(
            model_spec(number, speed)
            for number, speed in enumerate(SPEEDS[size])
        ),
        tools=tuple(
            tool_spec(number, speed)
            for number, speed in enumerate(TOOL_SPEEDS)
        ),
        leaving=f'model-{LEAVING_INDEX}',
        leaves_at=duration_s / 2,
    )


def full_batch_rate(spec: engine.EngineSpec) -> float:
    """Returns the output tokens a second of an engine's full batch."""
    step_s = spec.step_s + spec.step_per_call_s * spec.max_running
    return spec.max_running / step_s


def demand_s(program: workload.Program, spec: engine.EngineSpec) -> float:
    """Returns the seconds that a program needs of an engine of speed 1.

    Its whole batch is busy, and of each prompt only the new part is
    computed, which takes PREFILL_SHARE from the batch.
    """
    total_s = 0.0
    for step in program.steps:
        match step:
            case workload.ModelCall():
                prefill_s = step.new_tokens / spec.prefill_tokens_per_s
                total_s += step.output_tokens / full_batch_rate(spec)
                total_s += (1.0 - engine.PREFILL_SHARE) * prefill_s
            case workload.SubAgents():
                total_s += sum(demand_s(each, spec) for each in step.programs)
            case _:
                pass
    return total_s


def programs_per_s(size: str, load: float) -> float:
    """Returns the rate of programs that is a load of the fleet.

    Load 1.0 keeps every slot of every replica busy for the whole run, the
    leaving replica for the part it is there.  It follows from the engines
    and the programs alone, not from any dispatcher.
    """
    speeds = list(SPEEDS[size])
    speeds[LEAVING_INDEX] /= 2.0
    sample = workload.make_programs(
        SEED, rate_per_s=5.0, duration_s=600.0, flood=True
    )
    spec = model_spec(0, 1.0)
    mean_s = sum(demand_s(each, spec) for each in sample) / len(sample)
    return load * sum(speeds) / mean_s


def ideal_s(program: workload.Program, spec: engine.EngineSpec) -> float:
    """Returns a program's latency alone on an engine of speed 1."""
    total_s = 0.0
    for step in program.steps:
        match step:
            case workload.ModelCall():
                step_s = spec.step_s + spec.step_per_call_s
                total_s += step.new_tokens / spec.prefill_tokens_per_s
                total_s += step.output_tokens * step_s
            case workload.ToolCall():
                total_s += step.work * 0.01
            case workload.Pause():
                total_s += step.pause_s
            case workload.SubAgents():
                total_s += max(ideal_s(each, spec) for each in step.programs)
    return total_s


@attrs.frozen(kw_only=True)
class Summary:
    """What one replay comes to."""

    class_p95: dict[str, float]
    all_p95: float
    slowdowns: dict[str, float]
    recomputed_tokens: int
    prefix_tokens: int
    refusals: int
    calls: int
    in_target: float


def summarise(result: replay.Result) -> Summary:
    """Returns a replay's figures."""
    spec = model_spec(0, 1.0)
    ratios: dict[str, list[float]] = {}
    slowdowns: dict[str, list[float]] = {}
    for outcome in result.outcomes:
        program = outcome.program
        latency_s = outcome.finished_at - program.start_at
        ratios.setdefault(program.class_name, []).append(
            latency_s / workload.TARGETS[program.class_name]
        )
        slowdowns.setdefault(program.client_account, []).append(
            latency_s / ideal_s(program, spec)
        )
    everything = [each for group in ratios.values() for each in group]
    return Summary(
        class_p95={
            name: figure.percentile(values, 95)
            for name, values in ratios.items()
        },
        all_p95=figure.percentile(everything, 95),
        slowdowns={
            name: figure.percentile(values, 95)
            for name, values in slowdowns.items()
        },
        recomputed_tokens=result.recomputed_tokens,
        prefix_tokens=result.prefix_tokens,
        refusals=result.refusals,
        calls=result.calls,
        in_target=sum(each <= 1.0 for each in everything) / len(everything),
    )


def measure(
    size: str,
    load: float,
    make: collections.abc.Callable[[str], replay.Dispatcher],
    *,
    duration_s: float = DURATION_S,
    seed: int = SEED,
    hop_s: float = 0.0,
) -> Summary:
    """Replays the opening week once and returns its figures."""
    programs = workload.make_programs(
        seed,
        rate_per_s=programs_per_s(size, load),
        duration_s=duration_s,
        flood=True,
    )
    fleet = make_fleet(size, duration_s)
    return summarise(
        replay.run(programs, fleet, make, seed=seed, hop_s=hop_s)
    )
