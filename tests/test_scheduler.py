"""Tests of the scheduler: slots, the queue and upstreams that leave."""

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import dispatch_group
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import scheduler
from oleanderdrift import slot_grants
from oleanderdrift import window


def upstream(name: str, *, leaving: bool = False) -> model.Upstream:
    return model.Upstream(
        name=name, data_centre='a', url='http://127.0.0.1', leaving=leaving
    )


def request(
    call_id: str, excluded: tuple[str, ...] = ()
) -> messages.SlotRequest:
    return messages.SlotRequest(
        call_id=call_id,
        program='p',
        client_account='c',
        class_name='planning',
        service='m',
        slack_s=10.0,
        attained_s=0.0,
        prompt_tokens=100,
        max_tokens=100,
        excluded=excluded,
    )


def released(call_id: str, name: str) -> messages.SlotReleased:
    return messages.SlotReleased(
        call_id=call_id,
        upstream=name,
        failed=False,
        first_token_s=0.1,
        duration_s=1.0,
        tokens=10,
    )


@pytest.fixture
def group() -> dispatch_group.DispatchGroup:
    group = dispatch_group.DispatchGroup(name='m')
    scheduler.set_upstreams(group, 0.0, [upstream('u1'), upstream('u2')])
    return group


def granted(
    decisions: list[messages.SlotGranted | messages.SlotRefused],
) -> list[tuple[str, str]]:
    return [
        (decision.call_id, decision.upstream)
        for decision in decisions
        if isinstance(decision, messages.SlotGranted)
    ]


def test_window_bounds_grants_and_release_frees(
    group: dispatch_group.DispatchGroup,
) -> None:
    total = 2 * window.INITIAL_SLOTS
    for number in range(total + 1):
        scheduler.submit(group, 0.0, request(f'c{number}'))
    grants = granted(slot_grants.poll(group, 0.0))
    assert len(grants) == total
    assert slot_grants.poll(group, 0.0) == []
    scheduler.release(group, 1.0, released(*grants[0]))
    assert granted(slot_grants.poll(group, 1.0)) == [
        (f'c{total}', grants[0][1])
    ]


def test_leaving_upstream_gets_nothing_new(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(group, 0.0, request('c1', ('u2',)))
    assert granted(slot_grants.poll(group, 0.0)) == [('c1', 'u1')]
    scheduler.set_upstreams(
        group, 1.0, [upstream('u1', leaving=True), upstream('u2')]
    )
    for number in range(2, 6):
        scheduler.submit(group, 1.0, request(f'c{number}'))
    grants = granted(slot_grants.poll(group, 1.0))
    assert {name for _, name in grants} == {'u2'}
    scheduler.release(group, 2.0, released('c1', 'u1'))
    assert list(group.replicas) == ['u2']


def test_call_without_usable_upstream_is_refused_not_run(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(group, 0.0, request('c1', ('u1', 'u2')))
    (refusal,) = slot_grants.poll(group, 0.0)
    assert isinstance(refusal, messages.SlotRefused)
    entry = codes.TABLE[refusal.code]
    assert entry.execution is codes.Execution.NOT_RUN
    assert refusal.retry_after_s > 0


def test_failed_instance_frees_its_slots(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(group, 0.0, request('c1'), 'i1')
    scheduler.submit(group, 0.0, request('c2'), 'i2')
    slot_grants.poll(group, 0.0)
    scheduler.withdraw_holder(group, 1.0, 'i1')
    held = [
        call_id
        for replica in group.replicas.values()
        for call_id in replica.outstanding
    ]
    assert held == ['c2']


def test_withdrawn_call_is_not_granted(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(group, 0.0, request('c1'))
    scheduler.withdraw(group, 0.0, 'c1')
    assert slot_grants.poll(group, 0.0) == []


@pytest.mark.parametrize(
    'at, running, held', [(5.0, 0, 1), (20.0, 1, 1), (20.0, 0, 0)]
)
def test_idle_engine_frees_slots_whose_release_was_lost(
    group: dispatch_group.DispatchGroup, at: float, running: int, held: int
) -> None:
    scheduler.submit(group, 0.0, request('c1', ('u2',)))
    slot_grants.poll(group, 0.0)
    scheduler.on_load(group, at, 'u1', running, 0)
    assert len(group.replicas['u1'].outstanding) == held


def test_plain_services_go_to_the_faster_replica(
    group: dispatch_group.DispatchGroup,
) -> None:
    for name, duration_s in (('u1', 4.0), ('u2', 0.5)):
        other = 'u2' if name == 'u1' else 'u1'
        plain = attrs.evolve(
            request(name, (other,)), prompt_tokens=0, max_tokens=0
        )
        scheduler.submit(group, 0.0, plain)
        slot_grants.poll(group, 0.0)
        ended = attrs.evolve(
            released(name, name), duration_s=duration_s, tokens=0
        )
        scheduler.release(group, 1.0, ended)
    plain = attrs.evolve(request('c'), prompt_tokens=0, max_tokens=0)
    scheduler.submit(group, 2.0, plain)
    assert granted(slot_grants.poll(group, 2.0)) == [('c', 'u2')]
