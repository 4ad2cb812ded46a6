"""Decides which engines have memory for a request.

The load that it addresses: prompts grow long, and an engine whose memory is
full has its requests wait or starts some of them anew, while another engine
has room.  An engine holds the prompt and output tokens of all requests that
run there, at most as many as its service's memory.  Where nobody has room,
requests go where they would without the limit, since engines queue.
"""

import collections.abc

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import model
from oleanderdrift.gateway import upstreams


def check(service: model.Service, request: model.Request) -> None:
    """Raises ResultError if no engine can ever hold a request."""
    needed = request.memory_tokens()
    if 0 < service.memory_tokens < needed:
        raise errors.ResultError(
            codes.NO_UPSTREAM,
            f'it needs memory for {needed} tokens, '
            f'engines have {service.memory_tokens}',
        )


def has_room(
    engine: upstreams.Upstream, service: model.Service, needed: int
) -> bool:
    """Returns whether so many tokens more fit, as far as is known."""
    held = engine.own_held_tokens + engine.peer_held_tokens
    return held + needed <= service.memory_tokens


def with_room(
    candidates: list[upstreams.Upstream],
    service: model.Service,
    request: model.Request,
    now: float,
    excluded: collections.abc.Container[str] = (),
    silent_data_centres: collections.abc.Container[str] = (),
) -> list[upstreams.Upstream]:
    """Returns the engines with room for a request.

    Returns all if none of them has room that can be used now.
    """
    if not service.memory_tokens:
        return candidates
    needed = request.memory_tokens()
    found = [one for one in candidates if has_room(one, service, needed)]
    is_usable = any(
        one.entry.upstream_id not in excluded
        and not one.is_ejected(now)
        and one.entry.data_centre not in silent_data_centres
        for one in found
    )
    return found if is_usable else candidates
