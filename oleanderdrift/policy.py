"""The parts of the dispatch policy, each of which can be turned off.

Operators set none of this.  The switches exist so that tests can show a
property failing without the part that keeps it, and so that the bench can
measure what each part buys.
"""

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """Which parts are on.

    bands: classes of much shorter targets go first.
    slack: the least time to the program's deadline goes first.
    yielding: what can no longer meet its target yields inside its band.
    fairness: client accounts over their share yield.
    aging: every few grants go to the call that has waited longest.
    affinity: cached prefixes count in placement.
    holding: a call may wait a bounded time for a better replica.
    speed: the replica's own measured speed counts in placement.
    retention: prefixes not worth keeping are let go.
    refusing: what cannot start in time is refused at once.
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
