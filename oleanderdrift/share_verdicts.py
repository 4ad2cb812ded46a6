"""Results of checking requests against their account's limits."""

import typing

import attrs

from oleanderdrift import outbound

MIN_RETRY_AFTER_S: typing.Final = 0.1


@attrs.frozen(kw_only=True)
class Admitted:
    """The request is admitted and its token spent."""

    sends: tuple[outbound.OutboundMessage, ...] = ()


@attrs.frozen(kw_only=True)
class Waiting:
    """The request waits for a loan; a later Outcome admits or refuses it."""

    deadline_s: float
    sends: tuple[outbound.OutboundMessage, ...]


@attrs.frozen(kw_only=True)
class Refused:
    """The request exceeds the account's limits and is not run."""

    retry_after_s: float
    sends: tuple[outbound.OutboundMessage, ...] = ()


Decision: typing.TypeAlias = Admitted | Waiting | Refused


@attrs.define(kw_only=True)
class Outcome:
    """Effects of a peer message or a tick.

    admitted and refused are tickets of requests that waited; refused ones
    may be retried after retry_after_s.
    """

    sends: list[outbound.OutboundMessage] = attrs.field(factory=list)
    admitted: list[int] = attrs.field(factory=list)
    refused: list[int] = attrs.field(factory=list)
    retry_after_s: float = MIN_RETRY_AFTER_S
