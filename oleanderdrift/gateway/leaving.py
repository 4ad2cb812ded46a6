"""The upstreams that have said in an answer that they leave.

Their entries may say so late, or never: the store may be silent, and some
upstreams write no such entry.  An upstream does not come back from leaving;
its next start is another incarnation.
"""

import typing

import attrs

# Upstreams that left so long ago are not written to the store any more.
MAX_LEAVING: typing.Final = 4_096


@attrs.define(kw_only=True)
class Leaving:
    """When each incarnation was first seen to leave, the latest last.

    It outlasts the upstream's entry, which may lapse and be written again.
    """

    since: dict[str, float] = attrs.field(factory=dict)

    def note(self, incarnation: str, now: float) -> bool:
        """Records an answer of one that leaves; returns whether it is new."""
        if incarnation in self.since:
            return False
        self.since[incarnation] = now
        if len(self.since) > MAX_LEAVING:
            del self.since[next(iter(self.since))]
        return True
