"""Keeps which data centres are evacuated, from the operators' records.

Operators evacuate a data centre that is in doubt or about to be worked on,
while all services are under load: its upstreams get no more requests, and
what runs there ends in its own time.
"""

import collections.abc
import enum
import typing

import attrs

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import ports

# What decoders put in place of bytes that are no text.
REPLACEMENT: typing.Final = '\ufffd'


class Kind(enum.Enum):
    """What a record changed."""

    BEGAN = 'began'
    ENDED = 'ended'
    IGNORED = 'ignored'


@attrs.frozen(kw_only=True)
class Change:
    """A change of one data centre; its name may be unusable if ignored."""

    kind: Kind
    data_centre: str


@attrs.define(kw_only=True)
class Evacuations:
    """The names of the data centres that are evacuated."""

    names: set[str] = attrs.field(factory=set)

    def replace(
        self, records: collections.abc.Iterable[ports.KeyedRecord], prefix: str
    ) -> list[Change]:
        """Applies a full read of the records; returns what changed."""
        present = {record.key for record in records}
        ended = [
            ports.KeyedRecord(key=prefix + name, value=None)
            for name in sorted(self.names)
            if prefix + name not in present
        ]
        return self.apply([*ended, *records], prefix)

    def apply(
        self, records: collections.abc.Iterable[ports.KeyedRecord], prefix: str
    ) -> list[Change]:
        """Applies records in order; returns what changed.

        Any value but a removal counts: which upstreams get no requests must
        not depend on how well an operator writes JSON.
        """
        changes = []
        for record in records:
            if not record.key.startswith(prefix):
                continue
            kind = self._note(
                record.key.removeprefix(prefix), record.value is not None
            )
            if kind is not None:
                changes.append(
                    Change(
                        kind=kind,
                        data_centre=record.key.removeprefix(prefix),
                    )
                )
        return changes

    def _note(self, name: str, is_present: bool) -> Kind | None:
        """Records that a key is present or not; returns what changed."""
        if is_present == (name in self.names):
            return None
        if not is_present:
            self.names.remove(name)
            return Kind.ENDED
        if not is_data_centre(name):
            return Kind.IGNORED
        self.names.add(name)
        return Kind.BEGAN


def is_data_centre(name: str) -> bool:
    """Returns whether an upstream's entry could have a data centre's name."""
    return (
        bool(name.strip())
        and REPLACEMENT not in name
        and len(name) <= bounds.MAX_TEXT_LENGTH
    )
