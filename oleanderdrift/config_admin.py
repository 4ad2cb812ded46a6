"""Reads and changes the configuration for operators, through the log.

A change is reported as accepted only after it was read back and applied
by the same code that every instance uses.
"""

import asyncio
import json
import time
import typing

import attrs
import msgspec

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import config_checks
from oleanderdrift import config_reader
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model

BATCH_RECORDS: typing.Final = 500
READ_WAIT_S: typing.Final = 1.0
RETRY_S: typing.Final = 0.2

# An object comes after those it refers to; deletions use reverse order.
PUBLISH_ORDER: typing.Final = (
    model.Kind.ACCOUNT,
    model.Kind.CLASS,
    model.Kind.MODEL,
    model.Kind.TOOL,
    model.Kind.ROUTE,
    model.Kind.UPSTREAM,
    model.Kind.KEY,
)


@attrs.frozen(kw_only=True)
class Outcome:
    """A change with its offset and the verdict that every reader reaches."""

    change: messages.ConfigChange
    offset: int
    verdict: model.Verdict


@attrs.define(kw_only=True)
class Session:
    """One operator's view of the log.

    history holds the records evaluated.  timeout_s limits the time from
    the append of a change until it is read back.
    """

    client: log_client.LogClient
    author: str
    timeout_s: float = 10.0
    reader: config_reader.ConfigReader = attrs.field(
        factory=config_reader.ConfigReader
    )
    history: list[config_reader.EvaluatedRecord] = attrs.field(factory=list)


async def refresh(session: Session) -> None:
    """Reads to the end of the log.

    Raises ResultError LOG_UNAVAILABLE, or CONFIG_LOST if the oldest
    records have been trimmed and there is no snapshot to start from.
    """
    while True:
        result = await _read(session, 0.0)
        if session.reader.read_offset >= result.end_offset:
            break
    if session.reader.gap_end is not None:
        raise errors.ResultError(
            codes.CONFIG_LOST, f'the log begins at {result.first}'
        )


async def _read(session: Session, wait_s: float) -> log_client.ReadResult:
    result = await session.client.read(
        config_reader.STREAM,
        session.reader.read_offset,
        BATCH_RECORDS,
        wait_s,
    )
    evaluated, _ = config_reader.apply_batch(session.reader, result)
    session.history += evaluated
    return result


async def publish(session: Session, change: messages.ConfigChange) -> Outcome:
    """Appends a change and reads it back.

    If the response to the append is lost, the change is looked for in
    the log and, if it is not there, appended again with the same
    change_id.  Raises ResultError LOG_UNAVAILABLE if the change is
    certainly not in the log, or CONFIG_UNCONFIRMED if it may be but was
    not read back in time.
    """
    deadline = time.monotonic() + session.timeout_s
    start = len(session.history)
    confirmed = may_be_in_log = False
    while True:
        try:
            if not confirmed:
                await session.client.append(
                    config_reader.STREAM, codec.encode(change)
                )
                confirmed = True
        except errors.ResultError as error:
            if error.code is codes.LOG_UNAVAILABLE and not may_be_in_log:
                raise
        may_be_in_log = True
        await _read_or_pause(session, deadline - time.monotonic())
        outcome = _find_outcome(session.history[start:], change)
        if outcome is not None:
            return outcome
        if time.monotonic() >= deadline:
            raise errors.ResultError(
                codes.CONFIG_UNCONFIRMED,
                f'change {change.change_id} of {change.kind} {change.name}',
            )


async def _read_or_pause(session: Session, remaining_s: float) -> None:
    try:
        await _read(session, min(READ_WAIT_S, max(0.0, remaining_s)))
    except errors.ResultError:
        await asyncio.sleep(RETRY_S)


async def restore(
    session: Session,
    wanted: dict[tuple[model.Kind, str], model.ConfigObject],
) -> int:
    """Replaces the whole configuration by the wanted objects.

    For a log that has lost its configuration.  Returns the offset of the
    last record applied when the objects were read back.  Raises
    ResultError LOG_UNAVAILABLE if nothing was changed, or
    CONFIG_UNCONFIRMED if the objects were not read back in time.
    """
    snapshot = messages.ConfigSnapshot(
        next_offset=session.reader.read_offset,
        objects=tuple(
            messages.SnapshotObject(
                kind=kind,
                name=name,
                version=session.reader.read_offset,
                body=msgspec.json.encode(item),
            )
            for (kind, name), item in wanted.items()
        ),
        restores=True,
    )
    data = codec.encode(snapshot)
    try:
        await session.client.append(config_reader.STREAM, data)
    except errors.ResultError as error:
        if error.code is codes.LOG_UNAVAILABLE:
            raise
    deadline = time.monotonic() + session.timeout_s
    while time.monotonic() < deadline:
        await _read_or_pause(session, deadline - time.monotonic())
        reader = session.reader
        lost = reader.gap_end is not None
        if not lost and not differences(reader.config, wanted, True):
            return reader.config.next_offset - 1
    raise errors.ResultError(codes.CONFIG_UNCONFIRMED, 'the restored state')


def _find_outcome(
    history: typing.Iterable[config_reader.EvaluatedRecord],
    change: messages.ConfigChange,
) -> Outcome | None:
    for evaluated in history:
        message = evaluated.message
        if (
            isinstance(message, messages.ConfigChange)
            and message.change_id == change.change_id
        ):
            return Outcome(
                change=change,
                offset=evaluated.record.offset,
                verdict=evaluated.verdict,
            )
    return None


def build_change(
    session: Session,
    change_id: str,
    kind: model.Kind,
    name: str,
    item: model.ConfigObject | None,
) -> messages.ConfigChange:
    """Returns a change that expects the version the session has read."""
    return messages.ConfigChange(
        change_id=change_id,
        kind=kind,
        name=name,
        expected_version=session.reader.config.versions.get((kind, name), 0),
        body=None if item is None else msgspec.json.encode(item),
        author=session.author,
    )


def parse_file(
    tables: dict[str, typing.Any],
) -> tuple[dict[tuple[model.Kind, str], model.ConfigObject], list[str]]:
    """Returns the objects in a file's tables and all faults found."""
    found: dict[tuple[model.Kind, str], model.ConfigObject] = {}
    faults: list[str] = []
    for kind_name, table in tables.items():
        if kind_name not in model.TYPES:
            kinds = ', '.join(model.Kind)
            faults.append(f'[{kind_name}]: no kind of object; kinds: {kinds}')
            continue
        kind = model.Kind(kind_name)
        entries = table.items() if isinstance(table, dict) else ()
        if not entries:
            faults.append(f'[{kind}]: must hold tables [{kind}.NAME]')
        for name, fields in entries:
            try:
                found[kind, name] = _parse_entry(kind, name, fields)
            except config_checks.InvalidChange as error:
                faults.append(f'[{kind}.{name}]: {error}')
    return found, faults


def _parse_entry(
    kind: model.Kind, name: str, fields: typing.Any
) -> model.ConfigObject:
    if not isinstance(fields, dict):
        raise config_checks.InvalidChange('must be a table of fields')
    if 'name' in fields:
        raise config_checks.InvalidChange('the name is in the table heading')
    try:
        body = msgspec.json.encode({'name': name, **fields})
    except TypeError as error:
        raise config_checks.InvalidChange(str(error))
    return config_checks.parse_object(kind, name, body)


def to_toml(config: model.Config) -> str:
    """Returns the configuration as TOML whose tables parse_file reads."""
    lines = []
    for kind in PUBLISH_ORDER:
        for item in config_state.objects(config, kind).values():
            lines.append(f'[{kind}.{json.dumps(item.name)}]')
            lines += [
                f'{field} = {json.dumps(value)}'
                for field, value in msgspec.to_builtins(item).items()
                if field != 'name'
            ]
    return '\n'.join(lines) + '\n'


def differences(
    config: model.Config,
    wanted: dict[tuple[model.Kind, str], model.ConfigObject],
    remove_missing: bool,
) -> list[tuple[model.Kind, str, model.ConfigObject | None]]:
    """Returns the changes needed, ordered so that references stay valid.

    Keys that are missing from wanted are never removed; they have to be
    withdrawn by name.
    """
    steps: list[tuple[model.Kind, str, model.ConfigObject | None]] = []
    for kind in PUBLISH_ORDER:
        steps += [
            (kind, name, item)
            for (other_kind, name), item in wanted.items()
            if other_kind is kind
            and config_state.find(config, kind, name) != item
        ]
    if not remove_missing:
        return steps
    for kind in reversed(PUBLISH_ORDER):
        steps += [
            (kind, name, None)
            for other_kind, name in sorted(config.versions)
            if other_kind is kind
            and kind is not model.Kind.KEY
            and (kind, name) not in wanted
        ]
    return steps


def check_steps(
    config: model.Config,
    steps: typing.Iterable[tuple[model.Kind, str, model.ConfigObject | None]],
) -> list[str]:
    """Applies the steps to a copy of config; returns the faults found."""
    trial = model.Config()
    config_state.load(trial, config_state.snapshot(config))
    faults = []
    for number, (kind, name, item) in enumerate(steps):
        change = messages.ConfigChange(
            change_id=f'check-{number}',
            kind=kind,
            name=name,
            expected_version=messages.ANY_VERSION,
            body=None if item is None else msgspec.json.encode(item),
        )
        verdict = config_state.apply(trial, trial.next_offset, change)
        if not verdict.accepted:
            faults.append(f'[{kind}.{name}]: {verdict.detail}')
    return faults
