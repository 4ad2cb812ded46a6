"""Tests of racing operators, trimmed logs and repeated appends."""

import asyncio
import typing

import attrs
import hypothesis
from hypothesis import strategies

from oleanderdrift import config_admin
from oleanderdrift import config_reader
from oleanderdrift import config_state
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model
from tests import config_records
from tests import log_service as services

log_service = services.log_service
SEEDED: typing.Final = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
KINDS: typing.Final = ('set', 'remove', 'again', 'all', 'restore')
NAMES: typing.Final = ('a', 'b')


def restoring(offset: int) -> messages.ConfigSnapshot:
    """Returns an operator's snapshot that puts one account in place."""
    state = model.Config()
    config_state.apply(state, offset, config_records.set_account('a', 'r'))
    return attrs.evolve(
        config_state.snapshot(state), next_offset=1, restores=True, recent=()
    )


@strategies.composite
def logs(draw: strategies.DrawFn) -> list[messages.Message]:
    """Draws a log of operators who race, with appends repeated.

    Each change names a version seen earlier, perhaps long ago; some
    records come again, as after a lost answer, and some are snapshots.
    """
    log: list[messages.Message] = []
    state = model.Config()
    seen = [dict(state.versions)]
    for offset in range(1, draw(strategies.integers(2, 14))):
        kind = draw(strategies.sampled_from(KINDS))
        name = draw(strategies.sampled_from(NAMES))
        view = draw(strategies.sampled_from(seen))
        expected = view.get((model.Kind.ACCOUNT, name), 0)
        if draw(strategies.integers(0, 4)) == 0:
            expected = messages.ANY_VERSION
        if kind == 'again' and log:
            log.append(draw(strategies.sampled_from(log)))
        elif kind == 'all':
            log.append(config_state.snapshot(state))
        elif kind == 'restore':
            log.append(restoring(offset))
        elif kind == 'remove':
            log.append(
                config_records.remove(
                    model.Kind.ACCOUNT, name, str(offset), expected
                )
            )
        else:
            log.append(
                config_records.set_account(name, str(offset), expected, offset)
            )
        config_state.apply(state, offset, log[-1])
        seen.append(dict(state.versions))
    return log


def verdicts(
    evaluated: list[config_reader.EvaluatedRecord],
) -> dict[int, tuple[bool, int, str]]:
    """Returns what was evaluated of changes, by offset."""
    return {
        one.record.offset: (
            one.verdict.accepted,
            one.verdict.version,
            one.verdict.detail,
        )
        for one in evaluated
        if isinstance(one.message, messages.ConfigChange)
    }


@SEEDED
@hypothesis.given(logs(), strategies.data())
def test_readers_agree_wherever_they_begin(
    log: list[messages.Message], data: strategies.DataObject
) -> None:
    whole = config_reader.ConfigReader()
    all_evaluated, _ = config_reader.apply_batch(
        whole, config_records.read_result(log)
    )
    first = data.draw(strategies.integers(1, len(log)))
    late = config_reader.ConfigReader()
    evaluated, _ = config_reader.apply_batch(
        late, config_records.read_result(log, first=first)
    )
    expected = verdicts(all_evaluated)
    assert verdicts(evaluated).items() <= expected.items()
    assert config_reader.apply_batch(
        whole, config_records.read_result(log)
    ) == (
        [],
        [],
    )
    kept = log[first - 1 :]
    if late.gap_end is None:
        assert late.config == whole.config
    else:
        assert not any(getattr(one, 'restores', False) for one in kept)
        assert late.config == model.Config()


@SEEDED
@hypothesis.given(logs())
def test_one_true_accept_for_each_version(
    log: list[messages.Message],
) -> None:
    reader = config_reader.ConfigReader()
    evaluated, _ = config_reader.apply_batch(
        reader, config_records.read_result(log)
    )
    replaced: set[tuple[str, int]] = set()
    ids: dict[str, bool] = {}
    for one in evaluated:
        change = one.message
        if not isinstance(change, messages.ConfigChange):
            if change.restores:
                # Ids and versions begin anew, for every reader alike.
                ids, replaced = {}, set()
            continue
        if change.change_id in ids:
            assert one.verdict.accepted is ids[change.change_id]
            assert one.verdict.changes == ()
            continue
        ids[change.change_id] = one.verdict.accepted
        place = (change.name, change.expected_version)
        if one.verdict.accepted and change.expected_version > 0:
            assert place not in replaced
            replaced.add(place)


def test_two_publishers_race_and_one_wins(
    log_service: services.LogService,
) -> None:
    log_service.throw(lose_answer=3)

    async def publish_both() -> None:
        client = log_client.LogClient(log_service.url, 1.0)
        sessions = [
            config_admin.Session(client=client, author=name)
            for name in ('ann', 'bo')
        ]
        for session in sessions:
            await config_admin.refresh(session)
        changes = [
            config_admin.build_change(
                session,
                session.author,
                model.Kind.ACCOUNT,
                'ward',
                model.ClientAccount(name='ward', rate_per_s=1, burst=burst),
            )
            for burst, session in enumerate(sessions, 1)
        ]
        outcomes = await asyncio.gather(
            *map(config_admin.publish, sessions, changes)
        )
        assert sorted(one.verdict.accepted for one in outcomes) == [
            False,
            True,
        ]
        for session in sessions:
            await config_admin.refresh(session)
        one, other = (verdicts(session.history) for session in sessions)
        assert one == other
        client.close()

    asyncio.run(publish_both())
