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
KINDS: typing.Final = ('set', 'remove', 'repeat', 'snapshot', 'restore')
NAMES: typing.Final = ('a', 'b')


def restoring_snapshot(offset: int) -> messages.ConfigSnapshot:
    """Returns a snapshot that restores a configuration of one account."""
    config = model.Config()
    config_state.apply(config, offset, config_records.set_account('a', 'r'))
    return attrs.evolve(
        config_state.snapshot(config), next_offset=1, restores=True, recent=()
    )


@strategies.composite
def racing_logs(draw: strategies.DrawFn) -> list[messages.Message]:
    """Draws a log written by racing operators, with repeated appends.

    Each change expects a version from the present or an earlier state.
    Some records are appended again, as after a lost response, and some
    are snapshots.
    """
    log: list[messages.Message] = []
    config = model.Config()
    past_versions = [dict(config.versions)]
    for offset in range(1, draw(strategies.integers(2, 14))):
        kind = draw(strategies.sampled_from(KINDS))
        name = draw(strategies.sampled_from(NAMES))
        seen_versions = draw(strategies.sampled_from(past_versions))
        expected = seen_versions.get((model.Kind.ACCOUNT, name), 0)
        if draw(strategies.integers(0, 4)) == 0:
            expected = messages.ANY_VERSION
        if kind == 'repeat' and log:
            log.append(draw(strategies.sampled_from(log)))
        elif kind == 'snapshot':
            log.append(config_state.snapshot(config))
        elif kind == 'restore':
            log.append(restoring_snapshot(offset))
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
        config_state.apply(config, offset, log[-1])
        past_versions.append(dict(config.versions))
    return log


def verdicts(
    evaluated: list[config_reader.EvaluatedRecord],
) -> dict[int, tuple[bool, int, str]]:
    """Returns the verdicts on changes, by offset."""
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
@hypothesis.given(racing_logs(), strategies.data())
def test_readers_agree_wherever_they_start(
    log: list[messages.Message], data: strategies.DataObject
) -> None:
    full_reader = config_reader.ConfigReader()
    all_evaluated, _ = config_reader.apply_batch(
        full_reader, config_records.read_result(log)
    )
    first = data.draw(strategies.integers(1, len(log)))
    late_reader = config_reader.ConfigReader()
    evaluated, _ = config_reader.apply_batch(
        late_reader, config_records.read_result(log, first=first)
    )
    expected = verdicts(all_evaluated)
    assert verdicts(evaluated).items() <= expected.items()
    assert config_reader.apply_batch(
        full_reader, config_records.read_result(log)
    ) == (
        [],
        [],
    )
    remaining = log[first - 1 :]
    if late_reader.gap_end is None:
        assert late_reader.config == full_reader.config
    else:
        assert not any(getattr(one, 'restores', False) for one in remaining)
        assert late_reader.config == model.Config()


@SEEDED
@hypothesis.given(racing_logs())
def test_at_most_one_change_replaces_each_version(
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
                # A restore resets change ids and versions for all readers.
                ids, replaced = {}, set()
            continue
        if change.change_id in ids:
            assert one.verdict.accepted is ids[change.change_id]
            assert one.verdict.changes == ()
            continue
        ids[change.change_id] = one.verdict.accepted
        version_key = (change.name, change.expected_version)
        if one.verdict.accepted and change.expected_version > 0:
            assert version_key not in replaced
            replaced.add(version_key)


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
