"""Builds configuration records for tests."""

import msgspec

from oleanderdrift import codec
from oleanderdrift import log_client
from oleanderdrift import messages
from oleanderdrift import model


def set_object(
    item: model.ConfigObject,
    change_id: str,
    expected: int = messages.ANY_VERSION,
) -> messages.ConfigChange:
    """Returns a change that sets an object."""
    kinds = {type_: kind for kind, type_ in model.TYPES.items()}
    return messages.ConfigChange(
        change_id=change_id,
        kind=kinds[type(item)],
        name=item.name,
        expected_version=expected,
        body=msgspec.json.encode(item),
    )


def set_account(
    name: str,
    change_id: str,
    expected: int = messages.ANY_VERSION,
    burst: int = 1,
) -> messages.ConfigChange:
    """Returns a change that sets an account."""
    item = model.ClientAccount(name=name, rate_per_s=1, burst=burst)
    return set_object(item, change_id, expected)


def remove(
    kind: model.Kind,
    name: str,
    change_id: str,
    expected: int = messages.ANY_VERSION,
) -> messages.ConfigChange:
    """Returns a change that removes an object."""
    return messages.ConfigChange(
        change_id=change_id,
        kind=kind,
        name=name,
        expected_version=expected,
        body=None,
    )


def read_result(
    log: list[messages.Message], start: int = 1, first: int = 1
) -> log_client.ReadResult:
    """Returns the result of a read from start.

    The log's records before first have been trimmed.
    """
    records = tuple(
        log_client.LogRecord(
            offset=offset, time_ms=offset * 1000, data=codec.encode(message)
        )
        for offset, message in enumerate(log, 1)
        if offset >= max(start, first)
    )
    end = len(log) + 1
    return log_client.ReadResult(
        first=first, next_offset=end, end_offset=end, records=records
    )
