"""Parses a server-sent event stream into complete events.

An upstream may fail in the middle of an event, so the gateway forwards
only complete events to the client.
"""

import attrs

_END = b'\n\n'


@attrs.frozen(kw_only=True)
class Event:
    """One server-sent event: the bytes as received, the id and the data."""

    raw: bytes
    event_id: str | None
    data: bytes


@attrs.define(kw_only=True)
class EventReader:
    """Incremental parser; rest holds the start of the next event."""

    rest: bytes = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes."""
        *complete, self.rest = (self.rest + chunk).split(_END)
        return [parse(raw + _END) for raw in complete]


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
