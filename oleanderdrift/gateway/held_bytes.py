"""One budget for all bytes of others that a process keeps in memory.

An upstream or a client may send without end, each connection within its own
limits, and all of them together would fill the process.  Over the budget,
the source that holds the most loses the largest of what it has here, and
nobody else does.
"""

import collections
import collections.abc
import typing

import attrs

# What the interpreter needs for each piece besides its bytes.
PIECE_BYTES: typing.Final = 48


@attrs.define(kw_only=True, eq=False)
class Holder:
    """What one answer or request holds; source is whom it came from.

    stop ends the work for it, None if that is not possible.  is_stopped says
    that it was ended so.
    """

    ledger: 'HeldBytes'
    source: str
    stop: collections.abc.Callable[[], None] | None
    count: int = 0
    is_open: bool = True
    is_stopped: bool = False

    def grow(self, count: int) -> None:
        """Counts more bytes; this or another holder may be stopped."""
        if self.is_open:
            self.ledger.add(self, count)
            self.ledger.keep_budget()

    def shrink(self, count: int) -> None:
        """Counts bytes that are held no more."""
        if self.is_open:
            self.ledger.add(self, -min(count, self.count))

    def keep(self) -> None:
        """Has its work go on, whatever others come to hold."""
        self.stop = None

    def release(self) -> None:
        """Ends the count; it holds nothing any more."""
        self.shrink(self.count)
        self.is_open = False
        self.ledger.forget(self)


@attrs.define(kw_only=True)
class HeldBytes:
    """The holders by source, and how much they hold, in bytes."""

    limit: int
    total: int = 0
    by_source: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    holders: dict[str, set[Holder]] = attrs.field(factory=dict)

    def open(
        self,
        source: str,
        stop: collections.abc.Callable[[], None] | None = None,
    ) -> Holder:
        """Returns a new holder, to be released once."""
        made = Holder(ledger=self, source=source, stop=stop)
        self.holders.setdefault(source, set()).add(made)
        return made

    def is_over(self) -> bool:
        """Returns whether more is held than the budget allows."""
        return self.total > self.limit

    def add(self, holder: Holder, count: int) -> None:
        """Adds to the count of a holder, its source and the process."""
        holder.count += count
        self.by_source[holder.source] += count
        self.total += count

    def keep_budget(self) -> None:
        """Stops the largest holders until the budget is kept."""
        while self.is_over():
            largest = self.largest()
            if largest is None:
                return
            stop = largest.stop
            largest.is_stopped = True
            largest.release()
            if stop is not None:
                stop()

    def largest(self) -> Holder | None:
        """Returns the holder to stop next, if any can be stopped."""
        for source, _ in self.by_source.most_common():
            can_stop = [
                one
                for one in self.holders.get(source, ())
                if one.stop is not None and one.count
            ]
            if can_stop:
                return max(can_stop, key=lambda one: one.count)
        return None

    def forget(self, holder: Holder) -> None:
        """Removes a holder that has been released."""
        of_source = self.holders.get(holder.source)
        if of_source is None:
            return
        of_source.discard(holder)
        if not of_source:
            del self.holders[holder.source]
            del self.by_source[holder.source]
