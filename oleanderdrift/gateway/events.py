"""Cuts a stream into whole events and reads what the gateway needs.

An upstream may stop in the middle of an event, so only whole events go
to the caller.
"""

import attrs

_END = b'\n\n'


@attrs.frozen(kw_only=True)
class Event:
    """One event: its bytes as they came, its id and its data."""

    raw: bytes
    event_id: str | None
    data: bytes


@attrs.define(kw_only=True)
class EventReader:
    """Gathers bytes into events; rest is the start of the next one."""

    rest: bytes = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events that the bytes complete."""
        *whole, self.rest = (self.rest + chunk).split(_END)
        return [parse(raw + _END) for raw in whole]


def parse(raw: bytes) -> Event:
    """Returns an event from its bytes."""
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
