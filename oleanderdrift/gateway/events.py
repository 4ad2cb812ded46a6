"""Parses a server-sent event stream into complete events.

An upstream may fail in the middle of an event, so the gateway forwards
only complete events to the client.
"""

import collections.abc
import typing

import attrs

MAX_EVENT_BYTES: typing.Final = 65_536
_END: typing.Final = b'\n\n'


class EventTooLongError(Exception):
    """An event has no end within MAX_EVENT_BYTES."""


@attrs.frozen(kw_only=True)
class Event:
    """One server-sent event: the bytes as received, the id and the data."""

    raw: bytes
    event_id: str | None
    data: bytes


@attrs.define(kw_only=True)
class EventReader:
    """Incremental parser; rest holds the start of the next event."""

    rest: bytearray = attrs.field(factory=bytearray)

    def feed(self, chunk: bytes) -> collections.abc.Iterator[Event]:
        """Adds a chunk and yields the events that it completes.

        One at a time, since a chunk may hold thousands.  Raises
        EventTooLongError if an event has no end.
        """
        # The separator may have begun with the last byte of the rest.
        searched = max(len(self.rest) - len(_END) + 1, 0)
        self.rest += chunk
        while (end := self.rest.find(_END, searched)) >= 0:
            end += len(_END)
            event = parse(bytes(self.rest[:end]))
            del self.rest[:end]
            searched = 0
            yield event
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError


def parse(raw: bytes) -> Event:
    """Parses the bytes of one complete event."""
    event_id = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'id':
            event_id = value.decode('latin-1')
        elif name == b'data':
            data.append(value)
    return Event(raw=raw, event_id=event_id, data=b'\n'.join(data))
