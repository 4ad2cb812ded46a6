"""Decides what a caller may get after what it has received of an answer.

Once a stream has begun, only further events of the same stream may follow:
an error, an answer of another kind, or events that the caller has already
would come into the middle of it.  All functions raise ChannelError where an
answer cannot be given to the caller, as if it had broken off.
"""

import typing

import attrs

from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import events
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports

STREAM_STATUS: typing.Final = 200


@attrs.frozen(kw_only=True)
class NothingSent:
    """The caller has received nothing of this answer."""


@attrs.frozen(kw_only=True)
class StreamBegun:
    """The caller has received the head and the events up to this one."""

    last_event_id: str | None


Sent: typing.TypeAlias = NothingSent | StreamBegun


def relays_events(
    kind: model.RouteKind, head: ports.UpstreamHead, sent: Sent
) -> bool:
    """Returns whether an answer is relayed event by event."""
    if head.status < 300 and not head.sealed:
        raise _malformed('the response has no seal')
    is_stream = (
        head.status == STREAM_STATUS and kind is model.RouteKind.STREAMING
    )
    match sent:
        case NothingSent():
            return is_stream
        case StreamBegun(last_event_id=None):
            raise _malformed('the events have no ids to go on from')
        case StreamBegun():
            if not is_stream or not head.is_event_stream:
                raise _malformed(
                    f'status {head.status} does not continue the stream'
                )
            return True


def check_event(event: events.Event, last_event_id: str | None) -> None:
    """Checks that the caller does not have an event yet."""
    if last_event_id is None:
        return
    if event.event_id is None:
        raise _malformed(f'an event without an id comes after {last_event_id}')
    if not (event.event_id.isdigit() and last_event_id.isdigit()):
        return
    if int(event.event_id) <= int(last_event_id):
        raise _malformed(f'event {event.event_id} comes after {last_event_id}')


def check_tokens(tokens: int, tokens_per_event: int, max_tokens: int) -> None:
    """Checks that a stream may go on with one more event.

    tokens are those handed out before it.  The last event of the longest
    answer may stand for fewer tokens than the others, and counts as one.
    A max_tokens of 0 is no limit.
    """
    if max_tokens and tokens >= max_tokens + tokens_per_event:
        raise _malformed(f'more than the {max_tokens} tokens asked for')


def check_end(
    head: ports.UpstreamHead, event_count: int, rest: bytes | bytearray
) -> None:
    """Checks that a stream has not broken off.

    rest is what came after its last whole event.  A stream that ends with
    its connection, before any event, has not shown that it is whole.
    """
    if rest:
        raise _malformed('the stream ended inside an event')
    if not event_count and not head.is_framed:
        raise _malformed('the stream ended before its first event')


def _malformed(detail: str) -> buffering.ChannelError:
    """Returns the error for an answer that is not given to the caller."""
    return buffering.ChannelError(buffering.Failure.MALFORMED, detail)
