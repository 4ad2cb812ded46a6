"""Refuses requests that no upstream may get.

Where an evacuation leaves a service nothing, all its callers come at once
and again: the delay that they are told decides how much load that is.
"""

import collections.abc
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import upstreams

RETRY_AFTER_S: typing.Final = 0.1
# What keeps the upstreams away lasts longer than a caller's usual interval.
LASTING_RETRY_S: typing.Final = 1.0


def no_upstream(
    known: upstreams.UpstreamSet,
    service: str,
    last_reason: str,
    inside: regions.Inside = None,
) -> errors.ResultError:
    """Returns the error of a request that has not run and found none.

    last_reason is why the last upstream that was tried did not answer, and
    inside holds the data centres that the request may reach.
    """
    everywhere = listed_of(known, service)
    listed = [
        one
        for one in everywhere
        if regions.is_inside(one.entry.data_centre, inside)
    ]
    if everywhere and not listed:
        return errors.ResultError(
            codes.NO_UPSTREAM,
            f'no upstream of {service} is in the allowed regions',
            retry_after_s=LASTING_RETRY_S,
        )
    if listed and all(known.is_evacuated(one.entry) for one in listed):
        return errors.ResultError(
            codes.NO_UPSTREAM,
            f'the {len(listed)} upstreams of {service} are evacuated',
            retry_after_s=LASTING_RETRY_S,
        )
    return errors.ResultError(
        codes.NO_UPSTREAM, last_reason, retry_after_s=RETRY_AFTER_S
    )


def listed_of(
    known: upstreams.UpstreamSet, service: str
) -> collections.abc.Sequence[upstreams.Upstream]:
    """Returns the upstreams of a service that have an entry."""
    return [
        one
        for one in known.by_id.values()
        if one.entry.service == service and one.removed_at is None
    ]
