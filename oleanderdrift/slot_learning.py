"""Updates the estimates of a dispatch group when calls end.

The estimates cover the speed, health, window and cached prefixes of
replicas, the tokens and duration of calls by class, and the usage of
client accounts.  The present time is an argument.
"""

import math

from oleanderdrift import dispatch_group
from oleanderdrift import fair_share
from oleanderdrift import health
from oleanderdrift import messages
from oleanderdrift import placement
from oleanderdrift import prefix_cache
from oleanderdrift import retention
from oleanderdrift import speed
from oleanderdrift import window


def record_outcome(
    group: dispatch_group.DispatchGroup,
    now: float,
    replica: placement.Replica,
    failed: bool,
) -> None:
    """Records an outcome; consecutive failures eject the replica."""
    present = [each for each in group.replicas.values() if not each.leaving]
    ejected = sum(
        health.is_ejected(each.health_state, now) for each in present
    )
    health.on_outcome(
        replica.health_state,
        now,
        failed,
        health.may_eject(ejected, len(present)),
    )


def update_estimates(
    group: dispatch_group.DispatchGroup,
    now: float,
    replica: placement.Replica,
    outstanding: placement.OutstandingCall,
    released: messages.SlotReleased,
) -> None:
    """Updates all estimates but health with a call that did not fail."""
    request = outstanding.request
    computed = outstanding.computed_tokens
    if released.cached_tokens is not None and request.prefix:
        computed = float(request.prompt_tokens - released.cached_tokens)
        blocks = len(request.prefix)
        reported = math.ceil(
            blocks * released.cached_tokens / max(1, request.prompt_tokens)
        )
        prefix_cache.note_reported(
            replica.cache,
            request.prefix,
            outstanding.expected_blocks,
            reported,
        )
    window.on_release(replica.window_state, now, released.first_token_s)
    speed.on_release(
        replica.measured_speed,
        computed_tokens=computed,
        tokens=released.tokens,
        concurrent_calls=(
            outstanding.concurrent_calls + len(replica.outstanding) + 1
        )
        / 2,
        first_token_s=released.first_token_s,
        duration_s=released.duration_s,
    )
    dispatch_group.update_average(
        group.mean_output_tokens, request.class_name, float(released.tokens)
    )
    dispatch_group.update_average(
        group.queue.call_s, request.class_name, released.duration_s
    )
    fair_share.adjust_usage(
        group.queue.ledger,
        now,
        request.client_account,
        outstanding.band,
        fair_share.charge_of(computed, released.tokens)
        - fair_share.charge_of(
            outstanding.computed_tokens, outstanding.expected_output_tokens
        ),
    )


def retain_prefix(
    group: dispatch_group.DispatchGroup,
    now: float,
    replica: placement.Replica,
    request: messages.SlotRequest,
) -> None:
    """Keeps a program's prefix, the longer the more it costs to rebuild."""
    if not request.prefix or not request.program:
        return
    retention.on_pause(
        group.retained,
        now,
        request.program,
        replica.upstream.name,
        request.prefix,
        request.prompt_tokens * replica.measured_speed.prefill_s,
    )
