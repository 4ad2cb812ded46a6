"""Property tests of the dispatch decisions.

For each property, one more test shows that its check can fail.
"""

import collections.abc

import hypothesis
import hypothesis.strategies as st
import pytest

from oleanderdrift import call_queue
from oleanderdrift import dispatch_group
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import placement
from oleanderdrift import policy
from oleanderdrift import scheduler
from oleanderdrift import slot_grants

# A copy, so that the check keeps its bound where a test patches placement's.
HOLD_BOUND_S = placement.MAX_HOLD_S
TARGETS = {'urgent': 10.0, 'dispatch': 30.0, 'planning': 180.0}
CALLS = st.lists(
    st.tuples(
        st.sampled_from(sorted(TARGETS)),
        st.sampled_from(['a', 'b', 'c']),
        st.floats(0.0, 40.0),
        st.integers(0, 4000),
    ),
    max_size=30,
)


def make_group(
    rules: policy.Policy, replicas: int
) -> dispatch_group.DispatchGroup:
    group = dispatch_group.DispatchGroup(name='m', rules=rules)
    scheduler.set_upstreams(
        group,
        0.0,
        [
            model.Upstream(name=f'u{n}', data_centre='a', url='')
            for n in range(replicas)
        ],
    )
    scheduler.set_classes(
        group,
        0.0,
        [
            model.ProgramClass(name=name, target_s=target_s)
            for name, target_s in TARGETS.items()
        ],
    )
    return group


def request(
    call_id: str,
    class_name: str,
    account: str = 'a',
    age_s: float = 0.0,
    prompt_tokens: int = 100,
) -> messages.SlotRequest:
    return messages.SlotRequest(
        call_id=call_id,
        program=call_id,
        client_account=account,
        class_name=class_name,
        service='m',
        slack_s=0.0,
        attained_s=1.0,
        prompt_tokens=prompt_tokens,
        max_tokens=100,
        prefix=tuple(
            f'{account}/{n}'.encode() for n in range(prompt_tokens // 256)
        ),
        program_age_s=age_s,
    )


def limit_to_one_slot(group: dispatch_group.DispatchGroup) -> None:
    """Gives the only replica a window of one slot.

    The window stays as it is, since releases don't change that of a
    replica that has reported its load.
    """
    state = group.replicas['u0'].window_state
    state.slots = 1
    state.reported_at = 1e9


def release(
    group: dispatch_group.DispatchGroup,
    now: float,
    grant: messages.SlotGranted,
    duration_s: float = 1.0,
) -> None:
    scheduler.release(
        group,
        now,
        messages.SlotReleased(
            call_id=grant.call_id,
            upstream=grant.upstream,
            failed=False,
            first_token_s=0.1,
            duration_s=duration_s,
            tokens=20,
        ),
    )


def poll(
    group: dispatch_group.DispatchGroup, now: float
) -> list[messages.SlotGranted]:
    return [
        each
        for each in slot_grants.poll(group, now)
        if isinstance(each, messages.SlotGranted)
    ]


def is_violated(check: collections.abc.Callable[[], None]) -> bool:
    """Tells whether a property is violated."""
    try:
        check()
    except AssertionError:
        return True
    return False


# --- Work conservation within the window ---------------------------------


def check_conserves_work(
    calls: list[tuple[str, str, float, int]], releases: list[int]
) -> None:
    """Checks that no call waits beside a free slot after the longest hold."""
    group = make_group(policy.Policy(), replicas=3)
    granted = []
    for number, (class_name, account, age_s, tokens) in enumerate(calls):
        scheduler.submit(
            group,
            0.0,
            request(f'c{number}', class_name, account, age_s, tokens),
        )
        granted += poll(group, 0.0)
    for index in releases:
        if granted:
            one = granted.pop(index % len(granted))
            duration_s = 1.0 if one.upstream == 'u0' else 40.0
            release(group, 1.0, one, duration_s=duration_s)
            granted += poll(group, 1.0)
    hold_end = 1.0 + HOLD_BOUND_S
    poll(group, hold_end)
    free = any(
        placement.free_slots(replica, hold_end)
        for replica in group.replicas.values()
    )
    assert not (free and group.queue.waiting)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(calls=CALLS, releases=st.lists(st.integers(0, 99)))
def test_conserves_work(
    calls: list[tuple[str, str, float, int]], releases: list[int]
) -> None:
    check_conserves_work(calls, releases)


def test_conserves_work_can_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, 'MAX_HOLD_S', 1e6)
    calls = [('planning', 'a', 0.0, 100)] * 60
    assert is_violated(lambda: check_conserves_work(calls, list(range(24))))


# --- Monotonic in slack ----------------------------------------------------


def position(
    rules: policy.Policy,
    calls: list[tuple[str, str, float, int]],
    class_name: str,
    age_s: float,
) -> int:
    """Returns the position in the order of grants of one call among others."""
    group = make_group(rules, replicas=1)
    for number, (name, account, age, _) in enumerate(calls):
        scheduler.submit(group, 0.0, request(f'c{number}', name, account, age))
    scheduler.submit(group, 0.0, request('it', class_name, 'a', age_s))
    order = []
    while group.queue.waiting:
        grants = poll(group, 0.0)
        order += [each.call_id for each in grants]
        for each in grants:
            scheduler.withdraw(group, 0.0, each.call_id)
    return order.index('it')


def check_monotonic(
    rules: policy.Policy,
    calls: list[tuple[str, str, float, int]],
    class_name: str,
    ages: tuple[float, float],
) -> None:
    """Checks that the call with less slack is not granted later.

    The ages are such that its target can still be met.
    """
    older, younger = max(ages), min(ages)
    assert position(rules, calls, class_name, older) <= position(
        rules, calls, class_name, younger
    )


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    calls=CALLS,
    class_name=st.sampled_from(sorted(TARGETS)),
    ages=st.tuples(st.floats(0.0, 9.9), st.floats(0.0, 9.9)),
)
def test_monotonic_in_slack(
    calls: list[tuple[str, str, float, int]],
    class_name: str,
    ages: tuple[float, float],
) -> None:
    check_monotonic(policy.Policy(), calls, class_name, ages)


def test_monotonic_in_slack_can_fail() -> None:
    calls = [('urgent', 'a', 5.0, 0)] * 3
    without_slack = policy.Policy(slack=False)
    assert position(without_slack, calls, 'urgent', 9.0) == 3
    assert position(policy.Policy(), calls, 'urgent', 9.0) == 0


# --- No starvation -----------------------------------------------------------


def grants_until_served(rules: policy.Policy, rounds: int) -> int | None:
    """Returns how many grants come before that of a planning call.

    There is one slot, and two urgent calls arrive in each round, in which
    one call is granted.  None means no grant within the rounds.
    """
    group = make_group(rules, replicas=1)
    limit_to_one_slot(group)
    scheduler.submit(group, 0.0, request('it', 'planning', 'b'))
    for number in range(rounds):
        now = float(number)
        for copy in range(2):
            scheduler.submit(
                group, now, request(f'c{number}.{copy}', 'urgent')
            )
        (grant,) = poll(group, now)
        if grant.call_id == 'it':
            return number
        release(group, now, grant)
    return None


def test_nothing_starves() -> None:
    served = grants_until_served(policy.Policy(refusing=False), 200)
    bound = call_queue.AGED_S + call_queue.AGED_EVERY_GRANTS
    assert served is not None and served <= bound


def test_nothing_starves_can_fail() -> None:
    rules = policy.Policy(refusing=False, aging=False)
    assert grants_until_served(rules, 200) is None
