"""The queue of a dispatch group: decides which waiting call goes next.

Calls wait in lanes, one per client account and band.  A band holds the
classes with similar targets; a band with shorter targets always goes
before one with longer targets.  Within a band, accounts within their share
go before accounts over it, then programs that can still meet their target
before those that cannot, then programs with less slack.  If a class has no
target, the program with the least attained service goes first (Autellix).
Every AGED_EVERY_GRANTS grants, the call that has waited longest goes first
if it has waited for AGED_S, so that no call starves.
"""

import collections.abc
import heapq
import itertools
import math
import typing

import attrs

from oleanderdrift import fair_share
from oleanderdrift import messages
from oleanderdrift import policy

BAND_RATIO: typing.Final = 2.0
AGED_S: typing.Final = 30.0
AGED_EVERY_GRANTS: typing.Final = 8

Entry: typing.TypeAlias = tuple[float, float, int, str]


@attrs.define(kw_only=True, eq=False)
class WaitingCall:
    """A call that waits for a slot.

    holder is the instance that asked for it.  hold_until is the time until
    which the call may wait for a better replica than those now free, or
    None if that has not been decided; held_for is the name of that
    replica, held_cost_s the cost of the call there, and declined the free
    replicas that it was compared with.
    """

    request: messages.SlotRequest
    holder: str
    submitted_at: float
    sequence: int
    deadline: float = math.inf
    band: int = 0
    hold_until: float | None = None
    held_for: str = ''
    held_cost_s: float = 0.0
    declined: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class Lane:
    """Waiting calls of one account and band.

    on_time and late are heaps ordered by deadline; a call moves to late
    when its program can no longer meet its target.
    """

    on_time: list[Entry] = attrs.field(factory=list)
    late: list[Entry] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class CallQueue:
    """All waiting calls of a group; waiting is in the order of arrival.

    targets, bands and call_s are indexed by class; call_s is the expected
    service time of one call.
    """

    rules: policy.Policy = attrs.field(factory=policy.Policy)
    ledger: fair_share.UsageLedger = attrs.field(
        factory=fair_share.UsageLedger
    )
    targets: dict[str, float] = attrs.field(factory=dict)
    bands: dict[str, int] = attrs.field(factory=dict)
    call_s: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[str, WaitingCall] = attrs.field(factory=dict)
    lanes: dict[tuple[int, str], Lane] = attrs.field(factory=dict)
    sequences: typing.Iterator[int] = attrs.field(factory=itertools.count)
    grants: int = 0


def set_targets(queue: CallQueue, targets: dict[str, float]) -> None:
    """Sets the class targets, also for calls already queued."""
    if targets == queue.targets:
        return
    queue.targets = dict(targets)
    queue.bands = bands_of(targets)
    queue.lanes.clear()
    for waiting in queue.waiting.values():
        place_in_lane(queue, waiting)


def bands_of(targets: dict[str, float]) -> dict[str, int]:
    """Groups classes with similar targets; returns the band of each class.

    A band starts at its shortest target and ends below BAND_RATIO times
    that target.
    """
    bands: dict[str, int] = {}
    band = -1
    shortest_s = 0.0
    for name in sorted(targets, key=lambda name: targets[name]):
        if band < 0 or targets[name] >= BAND_RATIO * shortest_s:
            band += 1
            shortest_s = targets[name]
        bands[name] = band
    return bands


def add(
    queue: CallQueue, now: float, request: messages.SlotRequest, holder: str
) -> WaitingCall:
    """Queues a call."""
    waiting = WaitingCall(
        request=request,
        holder=holder,
        submitted_at=now,
        sequence=next(queue.sequences),
    )
    queue.waiting[request.call_id] = waiting
    place_in_lane(queue, waiting)
    return waiting


def deadline_of(queue: CallQueue, waiting: WaitingCall) -> float:
    """Returns the time by which the call's program should finish.

    It is computed from the current class target and the program's age; a
    call without an age keeps the slack that it was sent with.
    """
    request = waiting.request
    target_s = queue.targets.get(request.class_name)
    if target_s is None:
        return math.inf
    if request.program_age_s is None:
        return waiting.submitted_at + request.slack_s
    return waiting.submitted_at - request.program_age_s + target_s


def place_in_lane(queue: CallQueue, waiting: WaitingCall) -> None:
    """Puts a call into the lane of its account and band."""
    request = waiting.request
    waiting.deadline = deadline_of(queue, waiting)
    waiting.band = queue.bands.get(request.class_name, len(queue.bands))
    if not queue.rules.bands:
        waiting.band = 0
    key = (waiting.band, request.client_account)
    lane = queue.lanes.setdefault(key, Lane())
    heapq.heappush(lane.on_time, entry_of(queue, waiting))


def entry_of(queue: CallQueue, waiting: WaitingCall) -> Entry:
    """Returns the heap entry that orders a call inside its lane."""
    request = waiting.request
    order = waiting.deadline if queue.rules.slack else waiting.submitted_at
    return (order, request.attained_s, waiting.sequence, request.call_id)


def remove(queue: CallQueue, call_id: str) -> WaitingCall | None:
    """Removes a call; its heap entry is dropped when it gets to the head."""
    return queue.waiting.pop(call_id, None)


def is_current(queue: CallQueue, entry: Entry) -> bool:
    """Returns whether the call of an entry is still waiting."""
    waiting = queue.waiting.get(entry[3])
    return waiting is not None and waiting.sequence == entry[2]


def drop_stale(queue: CallQueue, heap: list[Entry]) -> None:
    """Drops entries from the head whose calls are no longer waiting."""
    while heap and not is_current(queue, heap[0]):
        heapq.heappop(heap)


def move_late(queue: CallQueue, now: float, lane: Lane) -> None:
    """Moves calls that can no longer meet their target to lane.late."""
    drop_stale(queue, lane.on_time)
    while queue.rules.yielding and lane.on_time:
        entry = lane.on_time[0]
        waiting = queue.waiting[entry[3]]
        call_s = queue.call_s.get(waiting.request.class_name, 0.0)
        if waiting.deadline >= now + call_s:
            break
        heapq.heappush(lane.late, heapq.heappop(lane.on_time))
        drop_stale(queue, lane.on_time)
    drop_stale(queue, lane.late)


Order: typing.TypeAlias = tuple[int, bool, bool, Entry]


def head_of(lane: Lane) -> list[Entry]:
    """Returns the heap whose head is the lane's next call."""
    return lane.on_time or lane.late


def in_order(
    queue: CallQueue, now: float
) -> collections.abc.Generator[WaitingCall, None, None]:
    """Yields the waiting calls in the order in which to serve them.

    When the iterator is closed, calls that were yielded but not removed
    from the queue go back to their lanes.
    """
    heads = lane_heads(queue, now)
    aged = aged_call(queue, now)
    taken: list[tuple[list[Entry], Entry]] = []
    try:
        if aged is not None:
            yield aged
        while heads:
            (band, over, _, _), key = heapq.heappop(heads)
            lane = queue.lanes[key]
            heap = head_of(lane)
            entry = heapq.heappop(heap)
            taken.append((heap, entry))
            drop_stale(queue, heap)
            following = head_of(lane)
            if following:
                order = (band, over, following is lane.late, following[0])
                heapq.heappush(heads, (order, key))
            waiting = queue.waiting.get(entry[3])
            if waiting is not None and waiting is not aged:
                yield waiting
    finally:
        for heap, entry in taken:
            if is_current(queue, entry):
                heapq.heappush(heap, entry)


def lane_heads(
    queue: CallQueue, now: float
) -> list[tuple[Order, tuple[int, str]]]:
    """Returns a heap of the lanes, ordered by their next calls."""
    heads: list[tuple[Order, tuple[int, str]]] = []
    free = fair_share.free_allowance(queue.ledger, now)
    for key, lane in list(queue.lanes.items()):
        move_late(queue, now, lane)
        heap = head_of(lane)
        if not heap:
            del queue.lanes[key]
            continue
        band, account = key
        over = queue.rules.fairness and fair_share.is_over_share(
            queue.ledger, account, band, free
        )
        heads.append(((band, over, heap is lane.late, heap[0]), key))
    heapq.heapify(heads)
    return heads


def aged_call(queue: CallQueue, now: float) -> WaitingCall | None:
    """Returns the call that has waited longest, if aging puts it first."""
    if not queue.rules.aging or queue.grants % AGED_EVERY_GRANTS:
        return None
    oldest = next(iter(queue.waiting.values()), None)
    if oldest is None or now - oldest.submitted_at < AGED_S:
        return None
    return oldest


def calls_ahead(
    queue: CallQueue, now: float, request: messages.SlotRequest
) -> int:
    """Estimates how many waiting calls would go before a new one."""
    account = request.client_account
    band = queue.bands.get(request.class_name, len(queue.bands))
    free = fair_share.free_allowance(queue.ledger, now)
    over = fair_share.is_over_share(queue.ledger, account, band, free)
    return sum(
        len(lane.on_time) + len(lane.late)
        for (of_band, of_account), lane in queue.lanes.items()
        if of_band < band
        or of_band == band
        and (
            over
            or of_account == account
            or not fair_share.is_over_share(
                queue.ledger, of_account, band, free
            )
        )
    )
