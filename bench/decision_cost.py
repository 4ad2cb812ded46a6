"""Measures the processor time of one dispatch decision and its scaling.

One decision is a submit, a release and the poll after each, in a group
whose slots are always taken.  Its cost is measured at three numbers of
replicas, three queue lengths and three numbers of client accounts with
waiting calls, varying one of them at a time.
"""

import collections.abc
import time
import tracemalloc
import typing

from bench import figure
from oleanderdrift import dispatch_group
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import scheduler
from oleanderdrift import slot_grants

REPLICAS: typing.Final = (6, 24, 96)
WAITING: typing.Final = (16, 256, 4096)
ACCOUNTS: typing.Final = (8, 64, 512)
DECISIONS: typing.Final = 500
PREFIX_BLOCKS: typing.Final = 32
CLASSES: typing.Final = (
    model.ProgramClass(name='urgent', target_s=10.0),
    model.ProgramClass(name='dispatch', target_s=30.0),
    model.ProgramClass(name='planning', target_s=180.0),
)


def make_request(
    number: int, waiting: int, accounts: int
) -> messages.SlotRequest:
    """Returns the request of call number; a program's calls share a prefix."""
    program = f'p{number % (2 * waiting)}'
    return messages.SlotRequest(
        call_id=f'c{number}',
        program=program,
        client_account=f'a{number % accounts}',
        class_name=CLASSES[number % len(CLASSES)].name,
        service='m',
        slack_s=1e6,
        attained_s=1.0,
        prompt_tokens=256 * PREFIX_BLOCKS,
        max_tokens=500,
        prefix=tuple(
            f'{program}/{block}'.encode() for block in range(PREFIX_BLOCKS)
        ),
    )


def decision_us(replicas: int, waiting: int, accounts: int) -> float:
    """Returns the processor time of one decision in microseconds."""
    group = dispatch_group.DispatchGroup(name='m')
    scheduler.set_classes(group, 0.0, CLASSES)
    scheduler.set_upstreams(
        group,
        0.0,
        [
            model.Upstream(name=f'u{number}', data_centre='a', url='')
            for number in range(replicas)
        ],
    )
    open_grants: collections.deque[messages.SlotGranted] = collections.deque()
    next_number = 0
    while len(group.queue.waiting) < waiting:
        scheduler.submit(
            group, 0.0, make_request(next_number, waiting, accounts)
        )
        open_grants.extend(poll_grants(group, 0.0))
        next_number += 1
    now = 1.0
    started = time.process_time()
    for _ in range(DECISIONS):
        now += 0.01
        scheduler.submit(
            group, now, make_request(next_number, waiting, accounts)
        )
        open_grants.extend(poll_grants(group, now))
        next_number += 1
        release_slot(group, now, open_grants.popleft())
        open_grants.extend(poll_grants(group, now))
    return (time.process_time() - started) / DECISIONS * 1e6


def waiting_bytes(waiting: int) -> int:
    """Returns the memory that waiting calls take, requests included."""
    tracemalloc.start()
    group = dispatch_group.DispatchGroup(name='m')
    scheduler.set_classes(group, 0.0, CLASSES)
    upstream = model.Upstream(name='u', data_centre='a', url='')
    scheduler.set_upstreams(group, 0.0, [upstream])
    for number in range(waiting):
        scheduler.submit(group, 0.0, make_request(number, waiting, 8))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


def poll_grants(
    group: dispatch_group.DispatchGroup, now: float
) -> list[messages.SlotGranted]:
    """Polls the group and returns the grants."""
    return [
        each
        for each in slot_grants.poll(group, now)
        if isinstance(each, messages.SlotGranted)
    ]


def release_slot(
    group: dispatch_group.DispatchGroup,
    now: float,
    grant: messages.SlotGranted,
) -> None:
    """Releases a slot, reporting a load that leaves the window unchanged."""
    scheduler.on_load(group, now, grant.upstream, running=1, waiting=0)
    scheduler.release(
        group,
        now,
        messages.SlotReleased(
            call_id=grant.call_id,
            upstream=grant.upstream,
            failed=False,
            first_token_s=0.2,
            duration_s=5.0,
            tokens=200,
            cached_tokens=0,
        ),
    )


def slope(points: list[tuple[int, float]]) -> float:
    """Returns the least-squares slope through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum(
        (x - mean_x) ** 2 for x, _ in points
    )


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the cost at each size and the slopes."""
    by_replicas = [(each, decision_us(each, 64, 8)) for each in REPLICAS]
    by_waiting = [(each, decision_us(6, each, 8)) for each in WAITING]
    by_accounts = [(each, decision_us(6, 1024, each)) for each in ACCOUNTS]
    memory_by_waiting = [
        (each, float(waiting_bytes(each))) for each in WAITING
    ]
    yield figure.Figure(
        name='decision_cost.slope_memory',
        unit='bytes per waiting call',
        value=slope(memory_by_waiting),
    )
    for replicas, cost in by_replicas:
        yield figure.Figure(
            name=f'decision_cost.replicas_{replicas}', unit='us', value=cost
        )
    for waiting, cost in by_waiting:
        yield figure.Figure(
            name=f'decision_cost.waiting_{waiting}', unit='us', value=cost
        )
    for accounts, cost in by_accounts:
        yield figure.Figure(
            name=f'decision_cost.accounts_{accounts}', unit='us', value=cost
        )
    yield figure.Figure(
        name='decision_cost.slope_accounts',
        unit='us per waiting account',
        value=slope(by_accounts),
    )
    yield figure.Figure(
        name='decision_cost.slope_replicas',
        unit='us per replica',
        value=slope(by_replicas),
    )
    yield figure.Figure(
        name='decision_cost.slope_waiting',
        unit='us per 1000 waiting',
        value=slope(by_waiting) * 1000.0,
    )
