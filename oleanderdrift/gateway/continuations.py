"""Decides where a stream that broke off may go on."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import model
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import stream_origins
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import upstreams

# If finding an origin takes longer, the store counts as unavailable.
FIND_TIMEOUT_S: typing.Final = 1.0
# The record of the stream may still come; else the caller begins anew.
UNKNOWN_RETRY_S: typing.Final = 0.2
# An upstream that crashed may start again.
GONE_RETRY_S: typing.Final = 0.3


def is_continuation(admitted: admission.Admitted) -> bool:
    """Returns whether a request continues a stream that began earlier."""
    request = admitted.request
    return admitted.route.is_resumable_stream() and (
        request.last_event_id is not None or request.resumes is not None
    )


async def find_origin(
    origins: origin_log.OriginLog, admitted: admission.Admitted
) -> stream_origins.Origin:
    """Returns the origin of the stream that a request continues.

    Raises ResultError if it is not known; the request has not run.
    """
    request = admitted.request
    if admitted.route.retains:
        # The conversation would lack the events of the earlier answer.
        raise errors.ResultError(
            codes.STREAM_UNKNOWN,
            f'the events of {request.resumes} were not kept',
            retry_after_s=UNKNOWN_RETRY_S,
        )
    try:
        async with time_limits.within(FIND_TIMEOUT_S):
            origin = await origins.find(request.resumes)
    except (TimeoutError, errors.ResultError) as error:
        raise errors.ResultError(
            codes.LOG_UNAVAILABLE,
            f'the origin of {request.resumes} could not be read: {error!r}',
            retry_after_s=admission.RETRY_ELSEWHERE_S,
        ) from error
    if origin is None:
        raise errors.ResultError(
            codes.STREAM_UNKNOWN,
            f'the origin of {request.resumes} is not known',
            retry_after_s=UNKNOWN_RETRY_S,
        )
    return origin


def admit_at(
    admitted: admission.Admitted,
    origin: stream_origins.Origin,
    config: model.Configuration | None,
    known: upstreams.UpstreamSet,
) -> admission.Admitted:
    """Returns a request as admitted to the origin of its stream.

    Raises ResultError if its route leads there no more, or nothing of that
    version serves; the request has not run.
    """
    service = config.services.get(origin.service) if config else None
    names = {one.service for one in admitted.route.services}
    if service is None or origin.service not in names:
        raise errors.ResultError(
            codes.STREAM_UNKNOWN,
            f'the route does not lead to {origin.service} any more',
            retry_after_s=UNKNOWN_RETRY_S,
        )
    if not at_origin(known.of_service(origin.service, True), origin):
        raise errors.ResultError(
            codes.NO_UPSTREAM,
            f'nothing of {origin.service} {origin.version} serves',
            retry_after_s=GONE_RETRY_S,
        )
    return attrs.evolve(admitted, service=service)


def at_origin(
    candidates: list[upstreams.Upstream], origin: stream_origins.Origin
) -> list[upstreams.Upstream]:
    """Returns the upstreams that may continue a stream."""
    return [
        one
        for one in candidates
        if stream_origins.origin_of(one.entry) == origin
    ]
