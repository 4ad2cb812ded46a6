"""Replays of long prompts beside short ones, in virtual time."""

import asyncio
import random
import typing

import pytest

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import fingerprints
from oleanderdrift.gateway import model
from oleanderdrift.gateway import peer_load
from oleanderdrift.gateway import peer_messages
from oleanderdrift.gateway import prefill_admission
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import upstream_choice
from oleanderdrift import logs
from standins import replica
from tests import gateway_desk
from tests import gateway_support
from tests import virtual_time

SHORT: typing.Final = 600
LONG: typing.Final = 12_600
READ_S: typing.Final = 1 / 200_000
TARGET_S: typing.Final = 0.2
WAIT_S: typing.Final = TARGET_S * prefill_admission.WAIT_FRACTION
REPLAY_S: typing.Final = 10.0
DECODE_S: typing.Final = 0.3


class Replay:
    """Instances before four engines that read one prompt after the other.

    per_s has the rates by the prompts' length; waits and first_s are how long
    they took to be sent, and to their first token.
    """

    def __init__(self, per_s: dict[int, float], instances: int) -> None:
        self.chance = random.Random(1)
        self.per_s = per_s
        self.waits: dict[int, list[float]] = {each: [] for each in per_s}
        self.first_s: dict[int, list[float]] = {each: [] for each in per_s}
        self.choices: list[tuple[str, str]] = []
        self.free_at = dict.fromkeys(('u0', 'u1', 'u2', 'u3'), 0.0)
        self.choosers = []
        for number in range(instances):
            board = gateway_support.board()
            board.instances = instances
            for name in self.free_at:
                board.upstreams.put(gateway_support.entry(name))
            one = upstream_choice.UpstreamChooser(
                board, connection_pool.Pool()
            )
            one.chance = random.Random(number)
            self.choosers.append(one)

    async def run(self) -> None:
        """Sends requests at random times, and waits for all to end."""
        exchange = asyncio.create_task(self.exchange())
        async with asyncio.TaskGroup() as group:
            for tokens, rate in self.per_s.items():
                for number in range(round(rate * REPLAY_S)):
                    name = f'{tokens}-{number}'
                    group.create_task(self.send(name, tokens))
        exchange.cancel()

    async def exchange(self) -> None:
        """Has each instance hear the others' loads, 0.1 s late."""
        boards = [one.board for one in self.choosers]
        loads = [
            peer_load.PeerLoad(upstreams=each.upstreams) for each in boards
        ]
        while True:
            work = [
                {
                    name: peer_messages.UpstreamLoad(
                        running=one.own_requests, pending=one.pending_tokens
                    )
                    for name, one in each.upstreams.by_id.items()
                }
                for each in boards
            ]
            await asyncio.sleep(0.1)
            for place, load in enumerate(loads):
                for other, each in enumerate(work):
                    if other != place:
                        load.note_heard(f'n{other}', clock.monotonic())
                        load.update(f'n{other}', each, clock.monotonic())

    async def send(self, name: str, tokens: int) -> None:
        """Sends one request, and has its engine read it in turn."""
        at = self.chance.uniform(0, REPLAY_S)
        chooser = self.chance.choice(self.choosers)
        await asyncio.sleep(at)
        request = gateway_support.request(
            request_id=name, prompt=prompt(tokens, name)
        )
        progress = progress_lib.Progress(
            admitted=gateway_support.admitted(request=request),
            fingerprints=fingerprints.fingerprints(request, ''),
            body=b'',
            deadline=100.0,
        )
        engine = await chooser.acquire(progress)
        assert engine is not None
        key, now = engine.entry.upstream_id, clock.monotonic()
        self.choices.append((name, key))
        self.waits[tokens].append(now - at)
        engine.own_requests += 1
        engine.add_pending_tokens(name, request.prompt)
        self.free_at[key] = max(self.free_at[key], now) + tokens * READ_S
        await asyncio.sleep(self.free_at[key] - now)
        self.first_s[tokens].append(clock.monotonic() - at)
        engine.clear_pending_tokens(name)
        await asyncio.sleep(DECODE_S)
        engine.own_requests -= 1


def prompt(tokens: int, name: str = 'p') -> tuple[model.PromptPart, ...]:
    """Returns a prompt of one part."""
    return (model.PromptPart(part_id=name, tokens=tokens),)


def replay(is_on: bool, per_s: dict[int, float], instances: int) -> Replay:
    """Returns a finished replay, with the part on or off."""
    found = Replay(per_s, instances)
    with pytest.MonkeyPatch.context() as patch:
        if not is_on:
            patch.setattr(prefill_admission, 'MIX_S', -1.0)
        virtual_time.run(found.run())
    return found


@pytest.mark.parametrize('instances', [1, 2, 9])
@pytest.mark.parametrize('long_per_s', [10.0, 25.0, 45.0])
def test_no_kind_is_in_time_less_often_or_starves(
    instances: int, long_per_s: float
) -> None:
    per_s = {SHORT: 100.0, LONG: long_per_s}
    on, off = (replay(is_on, per_s, instances) for is_on in (True, False))
    for tokens, rate in per_s.items():
        in_time, before = (
            sum(one <= TARGET_S for one in each.first_s[tokens])
            for each in (on, off)
        )
        assert in_time >= before
        if tokens == LONG and long_per_s > 10.0:
            assert in_time > before
        assert len(on.first_s[tokens]) == rate * REPLAY_S
    assert max(on.waits[SHORT]) == 0
    assert max(on.waits[LONG]) <= WAIT_S + prefill_admission.POLL_S


@pytest.mark.parametrize('tokens', [SHORT, LONG])
def test_one_kind_alone_is_placed_as_before(tokens: int) -> None:
    on, off = (replay(is_on, {tokens: 60.0}, 2) for is_on in (True, False))
    assert on.choices == off.choices
    assert max(on.waits[tokens]) == 0


@pytest.mark.parametrize(
    ('own', 'of_peer', 'heard_at', 'is_reading'),
    [
        (LONG, 0, 0.0, True),
        (SHORT, 0, 0.0, False),
        # The peer's prompt has been read since, or has not.
        (0, LONG, 9.9, False),
        (0, 10 * LONG, 9.9, True),
        (0, 10 * LONG, 9.0, False),
    ],
)
def test_engine_is_reading(
    own: int, of_peer: int, heard_at: float, is_reading: bool
) -> None:
    engine = gateway_support.upstream()
    engine.pending_by_request['q0'] = own
    engine.pending_by_peer['n1'] = (of_peer, heard_at)
    found = prefill_admission.is_reading(engine, 0.1 * TARGET_S, 10.0)
    assert found is is_reading


# Each engine: what it reads, what it has cached, and its running requests.
@pytest.mark.parametrize(
    ('tokens', 'engines', 'shut', 'waits'),
    [
        (LONG, [(0, 0, 0), (LONG, 0, 0)], {'u1'}, False),
        (LONG, [(LONG, 0, 0), (LONG, 0, 0)], set(), True),
        (SHORT, [(LONG, 0, 0), (LONG, 0, 0)], set(), False),
        # The engine that reads none has no free slot.
        (SHORT, [(LONG, 0, 0), (0, 0, 64)], set(), False),
        # A long conversation stays where it is cached.
        (LONG, [(LONG, LONG, 0), (0, 0, 0)], set(), False),
        (
            LONG,
            [(LONG, LONG, 0), (0, LONG, 0), (0, 0, 0)],
            {'u0', 'u2'},
            False,
        ),
        (LONG, [(0, 0, 0), (0, 0, 0)], set(), False),
    ],
)
@pytest.mark.parametrize('now', [1.0, 6.0])
def test_engines_that_a_prompt_avoids(
    tokens: int,
    engines: list[tuple[int, int, int]],
    shut: set[str],
    waits: bool,
    now: float,
) -> None:
    request = gateway_support.request(prompt=prompt(tokens))
    known = [gateway_support.upstream(f'u{n}') for n in range(len(engines))]
    for one, (reads, cached, running) in zip(known, engines, strict=True):
        one.pending_by_request['q0'] = reads
        one.own_requests = running
        if cached:
            one.note_cached_parts(request.prompt)
    prefill = prefill_admission.PrefillAdmission()
    prefill.mixes['guide'] = prefill_admission.Mix(short_at=0.0, long_at=0.9)
    limit_s = prefill_admission.long_s(gateway_support.config(), 'guide')
    found = prefill.shut('guide', known, request, limit_s, now)
    # The last short prompt came over 5 s ago.
    assert found == (shut if now < 5 else set())
    assert prefill.must_wait('guide', known, request, limit_s, now) is (
        waits and now < 5
    )


def test_operators_see_a_prompt_that_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, typing.Any]] = []
    monkeypatch.setattr(
        logs,
        'info',
        lambda name, **some: lines.append({'event': name, **some}),
    )

    async def run() -> None:
        async with gateway_desk.run_harness([replica.Stream()]) as harness:
            board = harness.forwarder.board
            now = clock.monotonic()
            mix = prefill_admission.Mix(short_at=now, long_at=now)
            board.prefill.mixes['guide'] = mix
            board.upstreams.by_id['u0'].pending_by_request['q0'] = LONG
            reply = await harness.send_request(prompt=prompt(LONG))
            assert reply.status == 200
            assert board.prefill.waiting() == 0

    asyncio.run(run())
    waited = [one for one in lines if one['event'] == 'prompt-waited']
    assert len(waited) == 1
    assert waited[0]['ms'] >= WAIT_S * 1_000
