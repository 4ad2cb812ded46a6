"""Replays of long prompts beside short ones, in virtual time."""

import asyncio
import random
import typing

import attrs
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


@attrs.define(kw_only=True)
class Replay:
    """Instances before engines that read one prompt after the other.

    waits and first_s are by the prompt's length: until it was sent, and until
    its first token.
    """

    instances: int = 2
    engines: int = 4
    per_s: dict[int, float]
    choices: list[str] = attrs.field(factory=list)
    waits: dict[int, list[float]] = attrs.field(factory=dict)
    first_s: dict[int, list[float]] = attrs.field(factory=dict)
    free_at: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Sends requests at random times, and waits for all to end."""
        chance = random.Random(1)
        choosers = [self.chooser(each) for each in range(self.instances)]
        exchange = asyncio.create_task(self.exchange(choosers))
        async with asyncio.TaskGroup() as group:
            for tokens, rate in self.per_s.items():
                self.waits[tokens], self.first_s[tokens] = [], []
                for number in range(round(rate * REPLAY_S)):
                    at = chance.uniform(0, REPLAY_S)
                    name = f'{tokens}-{number}'
                    one = chance.choice(choosers)
                    group.create_task(self.send(one, name, tokens, at))
        exchange.cancel()

    def chooser(self, number: int) -> upstream_choice.UpstreamChooser:
        """Returns the chooser of a new instance."""
        board = gateway_support.board()
        board.instances = self.instances
        for each in range(self.engines):
            board.upstreams.put(gateway_support.entry(f'u{each}'))
        found = upstream_choice.UpstreamChooser(board, connection_pool.Pool())
        found.chance = random.Random(number)
        return found

    async def exchange(
        self, choosers: list[upstream_choice.UpstreamChooser]
    ) -> None:
        """Has each instance hear the others' loads, 0.1 s late."""
        loads = [
            peer_load.PeerLoad(upstreams=one.board.upstreams)
            for one in choosers
        ]
        while True:
            work = [
                {
                    name: peer_messages.UpstreamLoad(
                        running=one.own_requests, pending=one.pending_tokens
                    )
                    for name, one in each.board.upstreams.by_id.items()
                }
                for each in choosers
            ]
            await asyncio.sleep(0.1)
            for place, load in enumerate(loads):
                for other, each in enumerate(work):
                    if other != place:
                        load.note_heard(f'n{other}', clock.monotonic())
                        load.update(f'n{other}', each)

    async def send(
        self,
        chooser: upstream_choice.UpstreamChooser,
        name: str,
        tokens: int,
        at: float,
    ) -> None:
        """Sends one request, and has its engine read it in turn."""
        await asyncio.sleep(at)
        prompt = (model.PromptPart(part_id=name, tokens=tokens),)
        request = gateway_support.request(request_id=name, prompt=prompt)
        progress = progress_lib.Progress(
            admitted=gateway_support.admitted(request=request),
            fingerprints=fingerprints.fingerprints(request, ''),
            body=b'',
            deadline=100.0,
        )
        engine = await chooser.acquire(progress)
        assert engine is not None
        self.choices.append(f'{name} {engine.entry.upstream_id}')
        now = clock.monotonic()
        self.waits[tokens].append(now - at)
        engine.own_requests += 1
        engine.add_pending_tokens(name, prompt)
        key = engine.entry.upstream_id
        begins = max(self.free_at.get(key, 0.0), now)
        self.free_at[key] = begins + tokens * READ_S
        await asyncio.sleep(self.free_at[key] - now)
        self.first_s[tokens].append(clock.monotonic() - at)
        engine.clear_pending_tokens(name)
        await asyncio.sleep(DECODE_S)
        engine.own_requests -= 1


def replay(
    *, is_on: bool = True, per_s: dict[int, float], instances: int = 2
) -> Replay:
    """Returns a finished replay, with the part on or off."""
    found = Replay(per_s=per_s, instances=instances)
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
    on = replay(per_s=per_s, instances=instances)
    off = replay(is_on=False, per_s=per_s, instances=instances)
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
    on, off = (
        replay(is_on=is_on, per_s={tokens: 60.0}) for is_on in (True, False)
    )
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
    request = gateway_support.request(
        prompt=(model.PromptPart(part_id='p', tokens=tokens),)
    )
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
            prompt = (model.PromptPart(part_id='p', tokens=LONG),)
            reply = await harness.send_request(prompt=prompt)
            assert reply.status == 200
            assert board.prefill.waiting() == 0

    asyncio.run(run())
    waited = [one for one in lines if one['event'] == 'prompt-waited']
    assert len(waited) == 1
    assert waited[0]['ms'] >= WAIT_S * 1_000
