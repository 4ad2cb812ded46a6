"""Soak test: random faults on instance processes, checked by callers.

Instances are killed, frozen, stopped and disconnected from the store while
faults are injected into the store and the replicas; faults may overlap.
Meanwhile one of two data centres is evacuated and taken back; at the end, it
is evacuated once more and must get nothing.
SOAK_SEED (a list of seeds) and SOAK_SECONDS choose the run.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import typing

import attrs
import pytest

from standins import gateways
from standins import platform_store
from standins import replica as replica_lib
from tests import soak_callers
from tests import soak_streams

FAULT_SECONDS: typing.Final = float(os.environ.get('SOAK_SECONDS', '6'))
SEEDS: typing.Final = [
    int(seed) for seed in os.environ.get('SOAK_SEED', '1').split(',')
]
INSTANCES: typing.Final = 3
CALLERS: typing.Final = 6
STREAM_CALLERS: typing.Final = 3
# Between the replacements of two instances.
REPLACE_PAUSE_S: typing.Final = 0.5
READY_TIMEOUT_S: typing.Final = 20.0
RECOVERY_TIMEOUT_S: typing.Final = 15.0
DATA_CENTRES: typing.Final = ('north', 'south')
# The instances' own data centre, which they would prefer.
EVACUATION_KEY: typing.Final = 'evacuate/north'
# A pending read of the store is answered at once; the promise is 5 s.
EVACUATION_NOTICED_S: typing.Final = 2.0
STREAM: typing.Final = replica_lib.Stream(
    events=soak_callers.EVENTS, pause_s=0.01
)
# Lasts long enough for many to be under way when an instance ends.
LONG_STREAM: typing.Final = replica_lib.Stream(
    events=soak_callers.EVENTS, pause_s=0.06
)


@attrs.define(kw_only=True)
class Environment:
    """The parts of a run; events lists the injected faults."""

    rng: random.Random
    store: platform_store.Store
    replicas: list[replica_lib.Replica]
    instances: list[gateways.Instance]
    events: list[str] = attrs.field(factory=list)

    async def inject_faults(self, until: float) -> None:
        """Injects random faults until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            instance = self.rng.choice(self.instances)
            kind = self.rng.choice(
                ('kill', 'freeze', 'stop', 'hup', 'cut', 'store', 'replica')
            )
            self.events.append(f'{loop.time():.2f} {kind} {instance.name}')
            await self.inject(kind, instance)

    async def inject(self, kind: str, instance: gateways.Instance) -> None:
        """Injects one fault; lasting ones may overlap with later faults."""
        duration_s = self.rng.uniform(0.2, 1.5)
        match kind:
            case 'kill':
                instance.end()
                instance.start()
            case 'freeze':
                instance.freeze()
                self.schedule(duration_s, instance.thaw)
            case 'stop':
                instance.signal(signal.SIGTERM)
            case 'hup':
                instance.signal(signal.SIGHUP)
            case 'cut':
                instance.link.flowing.clear()
                self.schedule(duration_s, instance.link.flowing.set)
            case 'store':
                self.store.fault = self.rng.choice(list(platform_store.Fault))
                self.schedule(duration_s, self.restore_store)
            case 'replica':
                failing = self.rng.choice(self.replicas)
                failing.behaviours.insert(0, replica_lib.Reset())
                failing.behaviours.insert(0, replica_lib.Stream(cut_after=2))

    def evacuate(self, value: bytes) -> None:
        """Begins an evacuation, or ends it with an empty value."""
        self.events.append(f'evacuate {value!r}')
        self.store.put('keyed.op', EVACUATION_KEY, value)

    async def evacuate_repeatedly(self, rng: random.Random) -> None:
        """Begins and ends evacuations until cancelled."""
        while True:
            for value in (b'{}', b''):
                await asyncio.sleep(rng.uniform(0.2, 1.5))
                self.evacuate(value)

    def schedule(
        self, after_s: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedules an action after a delay."""
        asyncio.get_running_loop().call_later(after_s, action)

    def restore_store(self) -> None:
        """Ends the store's fault."""
        self.store.fault = platform_store.Fault.NONE

    async def replace_builds(self, builds: list[pathlib.Path]) -> None:
        """Replaces the instances one after the other, by each build in turn.

        Goes on until cancelled.
        """
        for build in itertools.cycle(builds):
            for instance in self.instances:
                instance.root = build
                child = instance.child
                instance.signal(signal.SIGTERM)
                while instance.child is child:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(REPLACE_PAUSE_S)

    async def restart_exited(self) -> None:
        """Restarts instances that have exited, as the platform does."""
        while True:
            for instance in self.instances:
                instance.start()
            await asyncio.sleep(0.2)

    def clear_faults(self) -> None:
        """Ends all lasting faults."""
        self.restore_store()
        for instance in self.instances:
            instance.thaw()
            instance.link.flowing.set()
        for replica in self.replicas:
            # The last behaviour is the usual one.
            del replica.behaviours[:-1]


async def until_all_serve(
    caller: soak_callers.Caller, timeout_s: float
) -> bool:
    """Waits until every instance serves a turn; False on timeout."""
    all_instances = caller.instances
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    for instance in all_instances:
        caller.instances = [instance]
        while not await caller.send_turn(
            f'after-{instance.name}-{caller.sent}', ''
        ):
            if loop.time() > end:
                return False
            await asyncio.sleep(0.05)
    caller.instances = all_instances
    return True


async def find_evacuated_runs(
    environment: Environment, callers: list[soak_callers.Caller]
) -> list[str]:
    """Evacuates a data centre; returns whether its replicas get requests."""
    environment.evacuate(b'{}')
    await asyncio.sleep(EVACUATION_NOTICED_S)
    evacuated = environment.replicas[::2]
    before = [len(one.received) for one in evacuated]
    if not await until_all_serve(callers[0], RECOVERY_TIMEOUT_S):
        return ['not every instance serves during an evacuation']
    await asyncio.gather(*(caller.send_call() for caller in callers))
    if before != [len(one.received) for one in evacuated]:
        return ['an evacuated data centre got requests']
    return []


async def run_soak(
    seed: int,
    folder: pathlib.Path,
    builds: list[pathlib.Path] | None = None,
) -> tuple[list[str], str]:
    """Runs one soak; returns the violations found and a summary.

    builds are the folders of those that the instances are replaced by, the
    first one that they start with last.
    """
    rng = random.Random(seed)
    store_server = platform_store.start()
    replicas = [replica_lib.Replica(behaviours=[STREAM]) for _ in range(2)]
    replicas += [
        replica_lib.Replica(behaviours=[LONG_STREAM], version=version)
        for version in soak_callers.VERSIONS
    ]
    for number, replica in enumerate(replicas):
        await replica.start()
        service = 'reader' if replica.version else 'guide'
        store_server.store.put(
            'keyed.servers',
            f'u{number}',
            soak_callers.entry(
                replica.port,
                service,
                replica.version or 'v1',
                DATA_CENTRES[number % 2],
            ),
        )
    value = json.dumps(soak_callers.CONFIG).encode()
    store_server.store.put('keyed.op', 'config', value)
    # Another run of the same seed may use the machine at the same time.
    instances = await gateways.build(
        folder, INSTANCES, store_server.port, random.SystemRandom()
    )
    # The seeds that have failed go on playing the faults that they played.
    for _ in range(2):
        rng.randrange(1, 255)
    environment = Environment(
        rng=rng,
        store=store_server.store,
        replicas=replicas,
        instances=instances,
    )
    observations = soak_callers.Observations()
    callers = [
        soak_callers.Caller(
            name=f'c{number}',
            instances=instances,
            observations=observations,
            rng=random.Random(f'{seed} {number}'),
        )
        for number in range(CALLERS + STREAM_CALLERS)
    ]
    streams = [
        soak_streams.StreamCaller(caller=one) for one in callers[CALLERS:]
    ]
    tasks = [asyncio.create_task(environment.restart_exited())]
    if builds is not None:
        for instance in instances:
            instance.root = builds[-1]
        replacing = environment.replace_builds(builds)
        tasks.append(asyncio.create_task(replacing))
    try:
        if not await until_all_serve(callers[0], READY_TIMEOUT_S):
            return ['the instances did not start serving'], instances[0].log()
        until = asyncio.get_running_loop().time() + FAULT_SECONDS
        evacuating = asyncio.create_task(
            environment.evacuate_repeatedly(
                random.Random(f'{seed} evacuations')
            )
        )
        tasks.append(evacuating)
        await asyncio.gather(
            environment.inject_faults(until),
            *(caller.run(until) for caller in callers[:CALLERS]),
            *(one.run(until) for one in streams),
        )
        evacuating.cancel()
        environment.evacuate(b'')
        environment.clear_faults()
        violations = soak_callers.find_violations(observations, replicas)
        if not await until_all_serve(callers[0], RECOVERY_TIMEOUT_S):
            violations.append('not every instance serves after the faults')
        if builds is None:
            # Builds before evacuations do not know them.
            violations += await find_evacuated_runs(environment, callers)
        violations += soak_callers.find_violations(observations, replicas)
        whole = sum(one.whole for one in streams)
        continued = sum(one.continued for one in streams)
        summary = '\n'.join(
            [
                *environment.events,
                str(observations.counts),
                f'streams whole={whole} continued={continued}',
            ]
        )
        return violations, summary
    finally:
        for task in tasks:
            task.cancel()
        for caller in callers:
            caller.close()
        for instance in instances:
            instance.end()
        store_server.stop()
        for replica in replicas:
            await replica.stop()


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_under_external_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    violations, summary = asyncio.run(run_soak(seed, tmp_path))
    print(summary)
    assert violations == [], (
        f'SOAK_SEED={seed} SOAK_SECONDS={FAULT_SECONDS}\n{summary}'
    )
