"""Tests of each part of the dispatch policy on its own."""

import random

import attrs
import pytest

from oleanderdrift import codes
from oleanderdrift import dispatch_group
from oleanderdrift import fair_share
from oleanderdrift import health
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import policy
from oleanderdrift import prefix_cache
from oleanderdrift import retention
from oleanderdrift import retries
from oleanderdrift import scheduler
from oleanderdrift import slot_grants
from oleanderdrift import speed
from oleanderdrift import window
from tests import test_dispatch_properties as dispatch

PREFIX = tuple(bytes([n]) for n in range(8))


# --- Window ------------------------------------------------------------------


@pytest.mark.parametrize(
    'was_full, running, waiting, slots',
    [
        (True, 8, 0, 9),
        (False, 8, 0, 8),
        (True, 3, 0, 8),
        (True, 4, 2, 5),
        (True, 20, 5, 8),
        (True, 0, 1, 1),
    ],
)
def test_window_follows_load_reports(
    was_full: bool, running: int, waiting: int, slots: int
) -> None:
    state = window.Window(slots=8, was_full=was_full)
    window.on_report(state, 1.0, running, waiting)
    assert state.slots == slots


@pytest.mark.parametrize('last_s, slots', [(0.1, 9), (0.5, 7)])
def test_window_without_reports_follows_first_byte(
    last_s: float, slots: int
) -> None:
    state = window.Window(slots=8, was_full=True)
    for seen_s in [0.1] * 7 + [last_s]:
        window.on_release(state, 1.0, seen_s)
    assert state.slots == slots


# --- Prefix cache ------------------------------------------------------------


def test_cache_view_matches_leading_blocks() -> None:
    view = prefix_cache.CacheView()
    prefix_cache.note_sent(view, 0.0, PREFIX[:5])
    assert prefix_cache.matched_blocks(view, PREFIX) == 5
    assert prefix_cache.cached_tokens(view, PREFIX, 800) == 500
    assert prefix_cache.matched_blocks(view, (b'x', *PREFIX)) == 0


def test_cache_view_evicts_the_tail_of_the_oldest() -> None:
    view = prefix_cache.CacheView(capacity_blocks=9)
    prefix_cache.note_sent(view, 0.0, PREFIX)
    prefix_cache.note_sent(view, 1.0, (b'x', b'y', b'z'))
    assert prefix_cache.matched_blocks(view, PREFIX) == 6


@pytest.mark.parametrize(
    'sequences, at, matched',
    [
        ((0,), 1.0, 8),  # The removal is older than the last use.
        ((0,), 9.0, 4),
        ((0, 7), 9.0, 4),  # A gap does not stop the events after it.
        ((7, 0), 9.0, 8),  # An event older than the last is ignored.
    ],
)
def test_cache_events_late_and_with_gaps(
    sequences: tuple[int, ...], at: float, matched: int
) -> None:
    view = prefix_cache.CacheView()
    prefix_cache.note_sent(view, 0.0, PREFIX)
    for sequence in sequences:
        removed = PREFIX[4:] if sequence == sequences[-1] else ()
        prefix_cache.on_event(view, at, sequence, (), removed)
    assert prefix_cache.matched_blocks(view, PREFIX) == matched


def test_capacity_falls_where_the_engine_reports_missing_blocks() -> None:
    view = prefix_cache.CacheView()
    for number in range(40):
        prefix_cache.note_sent(view, 0.0, (b'%d' % number,))
    prefix_cache.note_reported(view, (b'0',), 1, 0)
    prefix_cache.note_sent(view, 1.0, (b'0',))
    assert len(view.blocks) == view.capacity_blocks < 40
    assert prefix_cache.matched_blocks(view, (b'1',)) == 0


@pytest.mark.parametrize(
    'event, expected',
    [('end', ['u1']), ('move', ['u1']), ('long', ['u1']), ('back', [])],
)
def test_prefix_is_released(event: str, expected: list[str]) -> None:
    kept = retention.Retention()
    retention.on_pause(kept, 0.0, 'p', 'u1', PREFIX, 0.5)
    now = 49.0
    match event:
        case 'end':
            retention.release_prefix(kept, 'p')
        case 'move':
            retention.on_pause(kept, 1.0, 'p', 'u2', PREFIX, 0.5)
        case 'long':
            now = 50.0
        case 'back':
            retention.on_resume(kept, 'p')
            now = 1e6
    retention.expire(kept, now)
    assert [release.upstream for release, _ in kept.due] == expected


def test_shared_blocks_are_not_removed() -> None:
    view = prefix_cache.CacheView()
    prefix_cache.note_sent(view, 0.0, PREFIX[:4], 'p')
    prefix_cache.note_sent(view, 0.0, PREFIX[:2], 'q')
    prefix_cache.remove_program_blocks(view, PREFIX[:4], 'p')
    assert prefix_cache.matched_blocks(view, PREFIX) == 2


# --- Speed -------------------------------------------------------------------


def test_decode_speed_is_fitted_over_concurrent_calls() -> None:
    measured_speed = speed.Speed()
    for held in [1, 4, 8, 16] * 5:
        speed.on_release(
            measured_speed,
            computed_tokens=1000,
            tokens=101,
            concurrent_calls=held,
            first_token_s=0.2 + held / 100,
            duration_s=0.2 + held / 100 + 100 * (0.01 + 0.001 * held),
        )
    assert speed.decode_s(measured_speed, 16) == pytest.approx(0.026)
    assert 0.0002 < measured_speed.prefill_s < 0.00025


# --- Health ------------------------------------------------------------------


def test_ejection_doubles_and_readmission_is_gradual() -> None:
    state = health.UpstreamHealth()
    outcomes = [
        health.on_outcome(state, 0.0, True, may_eject=True) for _ in range(3)
    ]
    assert outcomes == [False, False, True]
    assert health.usable_share(state, 4.9) == 0.0
    assert (
        0.0
        < health.usable_share(state, 5.0)
        < health.usable_share(state, 15.0)
        < 1.0
    )
    assert health.usable_share(state, 25.0) == 1.0
    for _ in range(3):
        health.on_outcome(state, 6.0, True, may_eject=True)
    assert health.is_ejected(state, 15.9)
    assert not health.is_ejected(state, 16.0)


def test_last_upstream_is_never_ejected() -> None:
    group = dispatch.make_group(policy.Policy(), replicas=2)
    for number in range(40):
        scheduler.submit(group, 0.0, dispatch.request(f'c{number}', 'urgent'))
        for grant in dispatch.poll(group, 0.0):
            scheduler.release(
                group,
                0.0,
                messages.SlotReleased(
                    call_id=grant.call_id,
                    upstream=grant.upstream,
                    failed=True,
                    first_token_s=0.0,
                    duration_s=0.0,
                    tokens=0,
                ),
            )
    ejected = [
        health.is_ejected(each.health_state, 0.0)
        for each in group.replicas.values()
    ]
    assert sorted(ejected) == [False, True]


# --- Retries -----------------------------------------------------------------


@pytest.mark.parametrize(
    'execution, idempotent, attempt, remaining_s, reason',
    [
        (codes.Execution.NOT_RUN, False, 1, 9.0, ''),
        (codes.Execution.UNKNOWN, True, 1, 9.0, ''),
        (codes.Execution.UNKNOWN, False, 1, 9.0, 'may-have-run'),
        (codes.Execution.RAN, True, 1, 9.0, 'ran'),
        (codes.Execution.NOT_RUN, True, 3, 9.0, 'attempts'),
        (codes.Execution.NOT_RUN, True, 1, 0.0, 'deadline'),
    ],
)
def test_what_may_be_retried(
    execution: codes.Execution,
    idempotent: bool,
    attempt: int,
    remaining_s: float,
    reason: str,
) -> None:
    verdict = retries.decide(
        retries.RetryBudgets(),
        upstream='u',
        execution=execution,
        idempotent=idempotent,
        attempt=attempt,
        remaining_s=remaining_s,
        rng=random.Random(1),
    )
    match verdict:
        case retries.GiveUp():
            assert verdict.reason == reason
        case retries.Retry():
            assert not reason and 0.0 <= verdict.delay_s <= 0.1


@pytest.mark.parametrize('upstreams', [1, 5])
def test_retries_stay_within_a_tenth_of_the_calls(upstreams: int) -> None:
    budgets = retries.RetryBudgets()
    rng = random.Random(1)
    retried = 0
    for number in range(1000):
        name = f'u{number % upstreams}'
        retries.on_attempt(budgets, name)
        verdict = retries.decide(
            budgets,
            upstream=name,
            execution=codes.Execution.NOT_RUN,
            idempotent=True,
            attempt=1,
            remaining_s=9.0,
            rng=rng,
        )
        retried += isinstance(verdict, retries.Retry)
    assert 100 <= retried <= 100 + retries.MAX_TOKENS


@pytest.mark.parametrize(
    'idempotent, waited_s, tokens, hedged',
    [
        (True, 2.0, 5.0, True),
        (False, 2.0, 5.0, False),
        (True, 0.5, 5.0, False),
        (True, 2.0, 0.5, False),
    ],
)
def test_hedging_is_for_idempotent_calls_within_the_budget(
    idempotent: bool, waited_s: float, tokens: float, hedged: bool
) -> None:
    budgets = retries.RetryBudgets(fleet=retries.RetryBudget(tokens=tokens))
    assert hedged == retries.try_hedge(
        budgets,
        upstream='u',
        idempotent=idempotent,
        waited_s=waited_s,
        p95_first_byte_s=1.0,
    )


# --- Order -------------------------------------------------------------------


def served(
    group: dispatch_group.DispatchGroup, now: float, count: int
) -> list[str]:
    """Returns the calls granted in count polls, withdrawn after each."""
    order: list[str] = []
    for _ in range(count):
        grants = dispatch.poll(group, now)
        order += [each.call_id for each in grants]
        for each in grants:
            scheduler.withdraw(group, now, each.call_id)
    return order


@pytest.fixture
def group() -> dispatch_group.DispatchGroup:
    """A group with one slot."""
    group = dispatch.make_group(policy.Policy(), replicas=1)
    dispatch.limit_to_one_slot(group)
    return group


def test_urgent_never_waits_behind_planning(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(
        group, 0.0, dispatch.request('late', 'planning', age_s=179.0)
    )
    scheduler.submit(group, 0.0, dispatch.request('alert', 'urgent'))
    assert served(group, 0.0, 2) == ['alert', 'late']


def test_call_past_its_target_yields_inside_its_class(
    group: dispatch_group.DispatchGroup,
) -> None:
    for call_id, age_s in (('past', 11.0), ('new', 0.0), ('old', 9.0)):
        scheduler.submit(
            group, 0.0, dispatch.request(call_id, 'urgent', age_s=age_s)
        )
    scheduler.submit(group, 0.0, dispatch.request('chat', 'planning'))
    assert served(group, 0.0, 4) == ['old', 'new', 'past', 'chat']


def test_changed_target_holds_for_queued_calls(
    group: dispatch_group.DispatchGroup,
) -> None:
    scheduler.submit(group, 0.0, dispatch.request('alert', 'urgent'))
    scheduler.submit(group, 0.0, dispatch.request('chat', 'planning'))
    scheduler.set_classes(
        group,
        0.0,
        [
            model.ProgramClass(name='urgent', target_s=100.0),
            model.ProgramClass(name='planning', target_s=5.0),
        ],
    )
    assert served(group, 0.0, 2) == ['chat', 'alert']


@pytest.mark.parametrize('fairness', [True, False])
def test_flooding_account_yields(fairness: bool) -> None:
    group = dispatch.make_group(
        policy.Policy(fairness=fairness, aging=False), replicas=1
    )
    dispatch.limit_to_one_slot(group)
    for number in range(40):
        account = 'a' if number % 8 else 'b'
        scheduler.submit(
            group, 0.0, dispatch.request(f'w{number}', 'planning', account)
        )
    served(group, 0.0, 40)
    for number in range(5):
        scheduler.submit(
            group, 1.0, dispatch.request(f'f{number}', 'planning', 'a', 9.0)
        )
    scheduler.submit(group, 1.0, dispatch.request('b', 'planning', 'b'))
    assert (served(group, 1.0, 6)[0] == 'b') == fairness


def test_planning_usage_does_not_hold_back_urgent_calls() -> None:
    ledger = fair_share.UsageLedger()
    fair_share.charge(ledger, 0.0, 'b', 1, 100.0)
    for _ in range(50):
        fair_share.charge(ledger, 0.0, 'a', 1, 100.0)
    for band, now, over in (
        (1, 0.0, True),
        (0, 0.0, False),
        (1, 600.0, False),
    ):
        free = fair_share.free_allowance(ledger, now)
        assert fair_share.is_over_share(ledger, 'a', band, free) == over


def test_usage_decays_over_epochs() -> None:
    ledger = fair_share.UsageLedger()
    fair_share.charge(ledger, 0.0, 'a', 1, 100.0)
    fair_share.charge(ledger, 1e6, 'b', 1, 100.0)
    assert list(ledger.usage) == ['b']
    assert ledger.total_usage == pytest.approx(100.0)


# --- Refusal -----------------------------------------------------------------


@pytest.mark.parametrize('attained_s, refused', [(0.0, True), (1.0, False)])
def test_overload_refuses_new_programs_early(
    group: dispatch_group.DispatchGroup, attained_s: float, refused: bool
) -> None:
    for number in range(20):
        scheduler.submit(
            group, float(number), dispatch.request(f'd{number}', 'urgent')
        )
        for grant in dispatch.poll(group, float(number)):
            dispatch.release(group, float(number), grant)
    for number in range(200):
        scheduler.submit(group, 20.0, dispatch.request(f'w{number}', 'urgent'))
    new = dispatch.request('new', 'urgent')
    scheduler.submit(group, 20.0, attrs.evolve(new, attained_s=attained_s))
    refusals = [
        each
        for each in slot_grants.poll(group, 20.0)
        if isinstance(each, messages.SlotRefused)
    ]
    assert [each.call_id for each in refusals] == ['new'] * refused
    for each in refusals:
        assert codes.TABLE[each.code].execution is codes.Execution.NOT_RUN
        assert each.retry_after_s > 0.0
