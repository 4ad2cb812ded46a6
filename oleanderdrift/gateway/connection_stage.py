"""What a caller's connection waits for, and whether it waits too long."""

import typing

from oleanderdrift import errors
from oleanderdrift.gateway import caller_limits
from oleanderdrift.gateway import request_reader

# Whatever a request's deadline is, its body may take this long to arrive.
MIN_BODY_S: typing.Final = 1.0


def is_idle(reader: request_reader.RequestReader) -> bool:
    """Returns whether no byte of a request has arrived."""
    if reader.received_at:
        return False
    stream = reader.stream
    return stream is None or (
        stream.first_read_at is None and not stream.has_unread()
    )


def is_head_overdue(
    reader: request_reader.RequestReader, now: float, header_timeout_s: float
) -> bool:
    """Returns whether a head takes longer than allowed."""
    stream = reader.stream
    if reader.received_at or stream is None:
        return False
    if stream.first_read_at is None:
        due_at = reader.idle_since + reader.idle_timeout_s
    else:
        due_at = stream.first_read_at + header_timeout_s
    # Bytes that wait may be the rest of the head.
    return now >= due_at and not stream.has_unread()


def is_body_overdue(reader: request_reader.RequestReader, now: float) -> bool:
    """Returns whether a body is not whole at its request's deadline."""
    if not reader.received_at or reader.is_whole or reader.closed:
        return False
    if now < reader.received_at + MIN_BODY_S:
        return False
    if reader.deadline is None:
        reader.deadline = _read_deadline(reader)
    return now >= reader.deadline


def _read_deadline(reader: request_reader.RequestReader) -> float:
    """Returns when the caller expects no answer any more."""
    line = reader.start_line
    try:
        request = reader.ingress.codec.decode_request(
            line.method, line.path, reader.headers, b'', reader.received_at
        )
    except errors.ResultError:
        # It is refused once it is whole.
        return reader.received_at + MIN_BODY_S
    return request.deadline


def stage_of(
    reader: request_reader.RequestReader, now: float
) -> tuple[caller_limits.Stage, float]:
    """Returns what a connection waits for, and since when."""
    stream = reader.stream
    if reader.is_whole or stream is None:
        return caller_limits.Stage.SERVED, reader.received_at
    if reader.received_at:
        silent_s = now - stream.last_read_at
        if silent_s < caller_limits.MIN_SILENCE_S or stream.has_unread():
            return caller_limits.Stage.SLOW_BODY, reader.received_at
        return caller_limits.Stage.BODY, stream.last_read_at
    if stream.first_read_at is not None:
        return caller_limits.Stage.HEAD, stream.first_read_at
    if stream.has_unread():
        return caller_limits.Stage.SERVED, reader.idle_since
    if reader.is_first:
        return caller_limits.Stage.UNUSED, reader.idle_since
    return caller_limits.Stage.IDLE, reader.idle_since
