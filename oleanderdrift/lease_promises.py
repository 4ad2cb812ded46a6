"""Promises of a shard's successors not to claim it for a while.

They bridge a time in which renewals cannot be written to the log: a
holder may keep serving past its lease while each possible successor
promises to wait.  The holder counts a promise from when it requested it,
the successor from when it gave it, so the holder always stops first.
`now` is monotonic time.
"""

import typing

from oleanderdrift import messages
from oleanderdrift import ownership

# How long a promise lasts, as a fraction of a lease.
PROMISE_LEASE_FRACTION: typing.Final = 0.5
# Requests that are kept so that their replies can be matched.
MAX_PENDING_REQUESTS: typing.Final = 64


def promises_due(fleet: ownership.FleetView, now: float, shard: str) -> bool:
    """Tells whether promises should be requested, as renewals fail."""
    own = fleet.own.get(shard)
    if own is None or own.sent is None:
        return False
    interval_s = (
        fleet.lease_s * PROMISE_LEASE_FRACTION / ownership.RENEWALS_PER_LEASE
    )
    late = now >= own.lease_until - interval_s
    return late and now >= own.requested_at + interval_s


def promise_requests(
    fleet: ownership.FleetView, now: float, shard: str
) -> list[tuple[str, messages.PromiseRequest]]:
    """Returns the requests to send, each with the instance to ask."""
    if shard in fleet.own:
        fleet.own[shard].requested_at = now
    fleet.last_request += 1
    fleet.promise_requests[fleet.last_request] = ownership.send_context(
        fleet, now
    )
    fleet.promise_requests.pop(fleet.last_request - MAX_PENDING_REQUESTS, None)
    return [
        (
            fleet.shards[home].opener,
            messages.PromiseRequest(
                shard=shard,
                home=home,
                number=fleet.last_request,
                last_renewal=fleet.last_renewal_number,
            ),
        )
        for home in sorted(ownership.own_successors(fleet, shard))
    ]


def give_promise(
    fleet: ownership.FleetView, now: float, request: messages.PromiseRequest
) -> messages.LeasePromise | None:
    """Promises not to claim a shard.

    Returns None if this instance did not open the request's home, holds
    the shard itself, or has sent a claim that may still succeed.
    """
    if not may_wait(fleet, request.shard, request.home):
        return None
    promise_s = fleet.lease_s * PROMISE_LEASE_FRACTION
    fleet.given_promises[request.shard] = ownership.GivenPromise(
        until=now + promise_s * (1 + ownership.TAKEOVER_MARGIN),
        last_renewal=request.last_renewal,
    )
    return messages.LeasePromise(
        shard=request.shard,
        home=request.home,
        number=request.number,
        promise_s=promise_s,
    )


def may_wait(fleet: ownership.FleetView, shard: str, home: str) -> bool:
    """Tells whether this instance is free not to claim a shard.

    It is not if it did not open the home, holds the shard itself, or has
    sent a claim that may still succeed.
    """
    if home not in fleet.homes or shard in fleet.own:
        return False
    claim = fleet.claims.get(shard)
    return claim is None or not _may_succeed(fleet, claim)


def _may_succeed(
    fleet: ownership.FleetView, claim: messages.ShardTaken
) -> bool:
    state = fleet.shards.get(claim.shard)
    return state is not None and ownership.is_expected(state, claim)


def accept_promise(
    fleet: ownership.FleetView, message: messages.LeasePromise
) -> None:
    """Records a successor's promise, counted from its request."""
    own = fleet.own.get(message.shard)
    requested = fleet.promise_requests.get(message.number)
    if own is None or requested is None:
        return
    received = ownership.ReceivedPromise(
        until=requested.at + message.promise_s,
        last_renewal=requested.renewal_number,
    )
    known = own.promises.get(message.home, received)
    own.promises[message.home] = max(known, received, key=_until)


def _until(received: ownership.ReceivedPromise) -> float:
    return received.until
