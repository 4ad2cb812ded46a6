"""What can become of a request against its account's limits."""

import typing

import attrs

from oleanderdrift import outbound

MIN_RETRY_AFTER_S: typing.Final = 0.1


@attrs.frozen(kw_only=True)
class Admitted:
    """The request may go on; its token is spent."""

    sends: tuple[outbound.OutboundMessage, ...] = ()


@attrs.frozen(kw_only=True)
class Waiting:
    """The request waits for a loan; its verdict is in a later Outcome."""

    deadline_s: float
    sends: tuple[outbound.OutboundMessage, ...]


@attrs.frozen(kw_only=True)
class Refused:
    """The request is over the account's limits and is not run."""

    retry_after_s: float
    sends: tuple[outbound.OutboundMessage, ...] = ()


Decision: typing.TypeAlias = Admitted | Waiting | Refused


@attrs.define(kw_only=True)
class Outcome:
    """What follows from a peer message or from time.

    admitted and refused are tickets; the refused are told to come back
    after retry_after_s.
    """

    sends: list[outbound.OutboundMessage] = attrs.field(factory=list)
    admitted: list[int] = attrs.field(factory=list)
    refused: list[int] = attrs.field(factory=list)
    retry_after_s: float = MIN_RETRY_AFTER_S
