"""Which instances are registered, as far as each instance can know.

The load it answers: instances share a rate without messages, so each must
count at least those that count on a share.  Directories differ while a change
is on its way.  An instance that has left therefore still counts for a while,
and a new one takes no share until all others have read of it.
"""

import collections.abc
import typing

import attrs

# The directory is polled for this long at a time where shares depend on it.
POLL_S: typing.Final = 1.0
# Longer than a poll, the pause after it and two slow answers of the store.
MAX_AGE_S: typing.Final = 3.0
# A second that is judged may begin when the change is MAX_AGE_S old.
SETTLE_S: typing.Final = MAX_AGE_S + 1.1


@attrs.define(kw_only=True)
class FleetMembers:
    """The registered instances that an instance counts.

    present are those of the last read.  left_at holds when others were found
    to have left, while they still count.  settles_at is from when this
    instance, own, may take a share, None while it is not registered.  read_at
    is when the directory was as it is known, on the clock that also advances
    while the machine is suspended.  changes counts the changes of what counts.
    """

    own: str
    settle_s: float = SETTLE_S
    present: frozenset[str] = frozenset()
    left_at: dict[str, float] = attrs.field(factory=dict)
    settles_at: float | None = None
    read_at: float = float('-inf')
    changes: int = 0

    def note_read(
        self,
        names: collections.abc.Iterable[str],
        now: float,
        as_of: float,
    ) -> None:
        """Applies a read that shows the directory as of a time.

        After a gap, members may have come and gone unseen, so that this
        instance waits as if it were new.
        """
        known = frozenset(names)
        if known != self.present:
            self.changes += 1
        for gone in self.present - known:
            self.left_at[gone] = now
        for name in known & self.left_at.keys():
            del self.left_at[name]
        self.present = known
        if self.own not in known:
            self.settles_at = None
        elif self.settles_at is None or as_of - self.read_at > MAX_AGE_S:
            self.settles_at = now + self.settle_s
        self.read_at = max(self.read_at, as_of)

    def counted(self, now: float) -> collections.abc.Set[str]:
        """Returns the instances that count."""
        gone = [
            name
            for name, since in self.left_at.items()
            if now - since > self.settle_s
        ]
        for name in gone:
            del self.left_at[name]
            self.changes += 1
        return self.present | self.left_at.keys()

    def may_share(self, now: float, boot_now: float) -> bool:
        """Returns whether this instance may take a share.

        boot_now is on the clock that also advances during suspension.
        """
        return (
            self.settles_at is not None
            and now >= self.settles_at
            and boot_now - self.read_at <= MAX_AGE_S
        )
