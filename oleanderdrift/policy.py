"""Switches for the parts of the dispatch policy.

Operators cannot set them.  They let tests show that a property fails
without the part that ensures it, and let the bench measure what each part
contributes.
"""

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """The parts that are on.

    bands: calls of classes with much shorter targets go first.
    slack: within a band, the call with the earliest deadline goes first.
    yielding: within a band, calls that can no longer meet their target go
        after those that can.
    fairness: within a band, calls of accounts over their share go after
        those of the others.
    aging: one grant in a few goes to the call that has waited longest.
    affinity: placement takes cached prefixes into account.
    holding: a call may wait a bounded time for a better replica.
    speed: placement uses each replica's own measured speed, not the mean.
    retention: cached prefixes that are not worth keeping are evicted.
    refusing: calls of new programs that cannot meet their target are
        refused at once.
    """

    bands: bool = True
    slack: bool = True
    yielding: bool = True
    fairness: bool = True
    aging: bool = True
    affinity: bool = True
    holding: bool = True
    speed: bool = True
    retention: bool = True
    refusing: bool = True
