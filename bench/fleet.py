"""The users' fleets as simulated engines, and their capacity."""

import typing

from bench import engine
from bench import replay_state
from bench import workload

CACHE_BLOCKS: typing.Final = 1200
SAMPLE_SEED: typing.Final = 1


def model_spec(number: int, speed: float) -> engine.EngineSpec:
    """Returns a model engine with the given relative speed."""
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
    """Returns a tool with the given relative speed."""
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
LEAVING_MODEL_INDEX: typing.Final = 3


def make_fleet(size: str, duration_s: float) -> replay_state.Fleet:
    """Returns a fleet of a user's size; one model replica leaves halfway."""
    return replay_state.Fleet(
        models=tuple(
            model_spec(number, speed)
            for number, speed in enumerate(SPEEDS[size])
        ),
        tools=tuple(
            tool_spec(number, speed)
            for number, speed in enumerate(TOOL_SPEEDS)
        ),
        leaving_engine=f'model-{LEAVING_MODEL_INDEX}',
        leaves_at=duration_s / 2,
    )


def full_batch_rate(spec: engine.EngineSpec) -> float:
    """Returns the output tokens per second of a full batch."""
    step_s = spec.step_s + spec.step_per_call_s * spec.max_running
    return spec.max_running / step_s


def demand_s(program: workload.Program, spec: engine.EngineSpec) -> float:
    """Returns the seconds of an engine of speed 1 that a program needs.

    It assumes a full batch and a cached prefix: only the new part of each
    prompt is computed, during which the batch decodes at
    DECODE_FRACTION_IN_PREFILL of its speed.
    """
    total_s = 0.0
    for step in program.steps:
        match step:
            case workload.ModelCall():
                prefill_s = step.new_tokens / spec.prefill_tokens_per_s
                total_s += step.output_tokens / full_batch_rate(spec)
                total_s += (
                    1.0 - engine.DECODE_FRACTION_IN_PREFILL
                ) * prefill_s
            case workload.SubAgents():
                total_s += sum(demand_s(each, spec) for each in step.programs)
            case _:
                pass
    return total_s


def programs_per_s(size: str, load: float) -> float:
    """Returns the rate of program starts that puts a load on the fleet.

    Load 1.0 keeps every slot of every replica busy for the whole run, or
    until the replica leaves.  It is computed from the engines and the
    programs alone and does not depend on a dispatcher.
    """
    speeds = list(SPEEDS[size])
    speeds[LEAVING_MODEL_INDEX] /= 2.0
    sample = workload.make_programs(
        SAMPLE_SEED, rate_per_s=5.0, duration_s=600.0, flood=True
    )
    spec = model_spec(0, 1.0)
    mean_s = sum(demand_s(each, spec) for each in sample) / len(sample)
    return load * sum(speeds) / mean_s


def ideal_s(program: workload.Program, spec: engine.EngineSpec) -> float:
    """Returns a program's latency when alone on an engine of speed 1."""
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
