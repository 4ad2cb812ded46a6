"""The opening-week workload: programs of three classes, eight accounts.

A program is a sequence of steps: calls to the model, calls to a tool,
pauses, and sub-agents that run in parallel.  The steps are drawn from a
seeded generator and are not known to the dispatcher in advance.
"""

import random
import typing

import attrs

from oleanderdrift import model

BLOCK_TOKENS: typing.Final = 256
BURST_PERIOD_S: typing.Final = 300.0
BURST_S: typing.Final = 60.0
BURST_FACTOR: typing.Final = 2.5
QUIET_FACTOR: typing.Final = 0.625
FLOOD_FACTOR: typing.Final = 5
FLOODING_ACCOUNT: typing.Final = 'account-4'

CLASSES: typing.Final = (
    model.ProgramClass(name='urgent', target_s=10.0),
    model.ProgramClass(name='dispatch', target_s=30.0),
    model.ProgramClass(name='planning', target_s=180.0),
)
TARGETS: typing.Final = {each.name: each.target_s for each in CLASSES}
ACCOUNTS: typing.Final = tuple(
    model.ClientAccount(name=f'account-{number}', rate_per_s=rate, burst=20)
    for number, rate in enumerate((6, 5, 4, 1, 2, 1, 1, 1), start=0)
)


@attrs.frozen(kw_only=True)
class ModelCall:
    """A call to the model: new prompt tokens, and tokens generated."""

    new_tokens: int
    output_tokens: int


@attrs.frozen(kw_only=True)
class ToolCall:
    """A call to a tool, with its work in output tokens of its engine."""

    work: int


@attrs.frozen(kw_only=True)
class Pause:
    """Time that the program waits for something outside the system."""

    pause_s: float


@attrs.frozen(kw_only=True)
class SubAgents:
    """Programs that run in parallel and all end before the next step."""

    programs: tuple['Program', ...]


Step: typing.TypeAlias = ModelCall | ToolCall | Pause | SubAgents


@attrs.frozen(kw_only=True)
class Program:
    """One agent program of the workload."""

    name: str
    client_account: str
    class_name: str
    start_at: float
    system_tokens: int
    steps: tuple[Step, ...]


def prefix_digests(program: Program, tokens: int) -> tuple[bytes, ...]:
    """Returns the prefix digests of a prompt's complete blocks.

    An account's programs of one class share the system prompt's blocks.
    """
    shared_blocks = program.system_tokens // BLOCK_TOKENS
    head = f'{program.client_account}/{program.class_name}'
    return tuple(
        f'{head if block < shared_blocks else program.name}/{block}'.encode()
        for block in range(tokens // BLOCK_TOKENS)
    )


def urgent_steps(rng: random.Random) -> list[Step]:
    """Draws an alert: the model decides, a tool sends, the model confirms."""
    return [
        ModelCall(
            new_tokens=rng.randint(100, 300),
            output_tokens=rng.randint(40, 80),
        ),
        ToolCall(work=rng.randint(20, 50)),
        ModelCall(new_tokens=60, output_tokens=rng.randint(20, 40)),
    ]


def dispatch_steps(rng: random.Random) -> list[Step]:
    """Draws a dispatch: two to four rounds of model and tool calls."""
    steps: list[Step] = []
    for _ in range(rng.randint(2, 4)):
        steps.append(
            ModelCall(
                new_tokens=rng.randint(200, 600),
                output_tokens=rng.randint(60, 150),
            )
        )
        steps.append(ToolCall(work=rng.randint(30, 100)))
        if rng.random() < 0.5:
            steps.append(Pause(pause_s=rng.uniform(0.5, 2.0)))
    return steps


def planning_steps(rng: random.Random, turns: int) -> list[Step]:
    """Draws a planning chat: long answers with pauses between them."""
    steps: list[Step] = []
    for _ in range(turns):
        steps.append(
            ModelCall(
                new_tokens=rng.randint(300, 1500),
                output_tokens=rng.randint(150, 400),
            )
        )
        if rng.random() < 0.4:
            steps.append(ToolCall(work=rng.randint(50, 200)))
        steps.append(Pause(pause_s=rng.uniform(1.0, 8.0)))
    return steps


def make_program(
    rng: random.Random, name: str, account: str, start_at: float
) -> Program:
    """Draws one program."""
    class_draw = rng.random()
    if class_draw < 0.3:
        class_name, system_tokens, steps = 'urgent', 1024, urgent_steps(rng)
    elif class_draw < 0.6:
        class_name, system_tokens, steps = (
            'dispatch',
            2048,
            dispatch_steps(rng),
        )
    else:
        class_name, system_tokens = 'planning', 4096
        steps = planning_steps(rng, rng.randint(3, 10))
        if rng.random() < 0.3:
            children = tuple(
                Program(
                    name=f'{name}.{number}',
                    client_account=account,
                    class_name=class_name,
                    start_at=start_at,
                    system_tokens=system_tokens,
                    steps=tuple(planning_steps(rng, rng.randint(1, 3))),
                )
                for number in range(rng.randint(1, 3))
            )
            steps.insert(len(steps) // 2, SubAgents(programs=children))
    return Program(
        name=name,
        client_account=account,
        class_name=class_name,
        start_at=start_at,
        system_tokens=system_tokens,
        steps=tuple(steps),
    )


def load_factor(at: float) -> float:
    """Returns the load at a time as a multiple of the mean load."""
    return BURST_FACTOR if at % BURST_PERIOD_S < BURST_S else QUIET_FACTOR


def make_programs(
    seed: int, *, rate_per_s: float, duration_s: float, flood: bool
) -> list[Program]:
    """Draws the programs, which start at a mean rate of rate_per_s.

    rate_per_s is the rate of all accounts together.  With flood, one
    account starts FLOOD_FACTOR times its share of the programs.
    """
    rng = random.Random(seed)
    names = [each.name for each in ACCOUNTS]
    weights = [
        each.rate_per_s
        * (FLOOD_FACTOR if flood and each.name == FLOODING_ACCOUNT else 1)
        for each in ACCOUNTS
    ]
    programs: list[Program] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate_per_s * BURST_FACTOR)
        if at >= duration_s:
            return programs
        if rng.random() * BURST_FACTOR > load_factor(at):
            continue
        (account,) = rng.choices(names, weights)
        name = f'p{len(programs)}'
        programs.append(make_program(rng, name, account, at))
