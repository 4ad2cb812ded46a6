"""Applies the records of the `config` stream in order, from any source.

A reader receives batches of raw records, from the log or from a peer,
and applies them.  If the log has been trimmed past the reader's position,
the reader waits for a snapshot that covers the gap; until then the
configuration does not change.  Nothing here does I/O.
"""

import collections
import typing

import attrs


from oleanderdrift import codec
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import log_client
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import model

STREAM: typing.Final = 'config'
FIRST_OFFSET: typing.Final = 1
# Enough for a peer that is two hours behind at 12,000 changes a day.
MAX_TAIL_RECORDS: typing.Final = 1000


@attrs.frozen(kw_only=True)
class EvaluatedRecord:
    """A record with its verdict, the same for every reader."""

    record: log_client.LogRecord
    message: messages.Message
    verdict: model.Verdict


@attrs.define(kw_only=True)
class ConfigReader:
    """One reader's position in the stream and the state built so far.

    read_offset is the offset of the next record to read.  After a gap,
    pending holds the records read until a snapshot covers the gap, and
    gap_end is the first offset after the gap.  tail holds the latest
    records applied, to be relayed to peers.  snapshot_offset and
    snapshot_time_ms are those of the latest snapshot seen, or 0 and the
    time of the first record seen.
    """

    config: model.Config = attrs.field(factory=model.Config)
    read_offset: int = FIRST_OFFSET
    gap_end: int | None = None
    pending: list[tuple[log_client.LogRecord, messages.Message | None]] = (
        attrs.field(factory=list)
    )
    tail: collections.deque[log_client.LogRecord] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_TAIL_RECORDS)
    )
    undecodable: int = 0
    snapshot_offset: int = 0
    snapshot_time_ms: int = 0


def apply_batch(
    reader: ConfigReader, result: log_client.ReadResult
) -> tuple[list[EvaluatedRecord], list[model.ObjectChange]]:
    """Applies a batch; returns the evaluated records and the changes.

    Records that were read before are skipped.
    """
    evaluated: list[EvaluatedRecord] = []
    changes: list[model.ObjectChange] = []
    if result.first > reader.read_offset:
        _note_gap(reader, result.first)
    for record in result.records:
        if record.offset < reader.read_offset:
            continue
        if record.offset > reader.read_offset:
            _note_gap(reader, record.offset)
        reader.read_offset = record.offset + 1
        message = _decode(reader, record)
        if reader.gap_end is None:
            _apply_record(reader, record, message, evaluated, changes)
        else:
            reader.pending.append((record, message))
            _try_load_snapshot(reader, message, evaluated, changes)
    return evaluated, changes


def load_snapshot(
    reader: ConfigReader, snapshot: messages.ConfigSnapshot
) -> list[model.ObjectChange]:
    """Loads a peer's snapshot if it is newer; returns the changes.

    Raises ResultError CONFIG_INVALID for one that cannot be decoded.
    """
    if snapshot.next_offset <= reader.config.next_offset:
        return []
    changes = list(config_state.load(reader.config, snapshot))
    reader.tail.clear()
    reader.snapshot_offset = max(
        reader.snapshot_offset, snapshot.next_offset - 1
    )
    _close_gap(reader, [], changes)
    return changes


def apply_relayed(
    reader: ConfigReader, records: typing.Iterable[log_client.LogRecord]
) -> list[model.ObjectChange]:
    """Applies records relayed by a peer; returns the changes.

    A record is applied only if its offset is the next one; any other is
    skipped.
    """
    changes: list[model.ObjectChange] = []
    for record in records:
        if record.offset == max(reader.config.next_offset, FIRST_OFFSET):
            message = _decode(reader, record)
            _apply_record(reader, record, message, [], changes)
    _close_gap(reader, [], changes)
    return changes


def _close_gap(
    reader: ConfigReader,
    evaluated: list[EvaluatedRecord],
    changes: list[model.ObjectChange],
) -> None:
    """Applies the pending records once no record before them is missing."""
    next_offset = reader.config.next_offset
    if reader.gap_end is not None and next_offset >= reader.gap_end:
        pending, reader.pending, reader.gap_end = reader.pending, [], None
        for record, message in pending:
            if record.offset >= next_offset:
                _apply_record(reader, record, message, evaluated, changes)
    reader.read_offset = max(reader.read_offset, reader.config.next_offset)


def _note_gap(reader: ConfigReader, offset: int) -> None:
    logs.warning('config-gap', expected=reader.read_offset, found=offset)
    reader.pending.clear()
    reader.gap_end = offset
    reader.read_offset = offset


def _decode(
    reader: ConfigReader, record: log_client.LogRecord
) -> messages.Message | None:
    try:
        message = codec.decode(record.data)
    except codec.CodecError as error:
        reader.undecodable += 1
        logs.warning('config-undecodable', offset=record.offset, detail=error)
        return None
    first = reader.snapshot_time_ms == 0
    if first or isinstance(message, messages.ConfigSnapshot):
        reader.snapshot_time_ms = record.time_ms
    if isinstance(message, messages.ConfigSnapshot):
        reader.snapshot_offset = record.offset
    return message


def _apply_record(
    reader: ConfigReader,
    record: log_client.LogRecord,
    message: messages.Message | None,
    evaluated: list[EvaluatedRecord],
    changes: list[model.ObjectChange],
) -> None:
    reader.tail.append(record)
    if message is None:
        reader.config.next_offset = record.offset + 1
        return
    verdict = config_state.apply(reader.config, record.offset, message)
    evaluated.append(
        EvaluatedRecord(record=record, message=message, verdict=verdict)
    )
    changes += verdict.changes


def _try_load_snapshot(
    reader: ConfigReader,
    message: messages.Message | None,
    evaluated: list[EvaluatedRecord],
    changes: list[model.ObjectChange],
) -> None:
    if not isinstance(message, messages.ConfigSnapshot):
        return
    if message.restores:
        # It covers all records up to and including itself.
        message = attrs.evolve(message, next_offset=reader.read_offset)
    if reader.gap_end is None or message.next_offset < reader.gap_end:
        return
    try:
        changes += config_state.load(reader.config, message)
    except errors.ResultError as error:
        logs.warning('config-snapshot-unreadable', detail=error)
        return
    # The records sent to peers must have no gap between them.
    reader.tail.clear()
    _close_gap(reader, evaluated, changes)
