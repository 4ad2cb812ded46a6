"""What the owner of a program answers to a message, and what follows."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages

Ledger: typing.TypeAlias = ledger_lib.Ledger


@attrs.frozen(kw_only=True)
class PrefixRelease:
    """An upstream that may hold the prefix of a program that ended."""

    program: str
    upstream: str


@attrs.frozen(kw_only=True)
class Decision:
    """What to answer and what to do.

    records go to the programs stream in order.  With commit_required they
    must be durable, and the lease still held, before the reply is given;
    if they do not become durable, the call must be ended as not run.  With
    commit_if_available the reply waits for them while the log answers, and
    is given without them in an outage.
    """

    reply: messages.Message
    records: tuple[messages.Message, ...] = ()
    commit_required: bool = False
    commit_if_available: bool = False
    releases: tuple[PrefixRelease, ...] = ()


def refuse(code: codes.Result, detail: str = '') -> Decision:
    """Returns a refusal with nothing to do."""
    reply = messages.Failed(code=code.number, detail=detail or code.help)
    return Decision(reply=reply)


def refuse_on_error(decide: typing.Callable[[], Decision]) -> Decision:
    """Returns a decision; a ResultError becomes a refusal."""
    try:
        return decide()
    except errors.ResultError as error:
        return refuse(error.code, error.detail)


def release_prefixes(program: str, upstreams: tuple[str, ...]) -> Decision:
    """Returns what frees upstreams of a program's prefix."""
    releases = tuple(
        PrefixRelease(program=program, upstream=upstream)
        for upstream in upstreams
        if upstream
    )
    return Decision(reply=messages.Done(), releases=releases)
