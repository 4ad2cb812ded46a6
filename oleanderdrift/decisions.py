"""The result of a decision: a reply and the actions that it requires."""

import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages

Ledger: typing.TypeAlias = ledger_lib.Ledger


@attrs.frozen(kw_only=True)
class PrefixRelease:
    """A program whose cached prefix an upstream should release."""

    program: str
    upstream: str


@attrs.frozen(kw_only=True)
class Decision:
    """A reply, and what the caller has to do for it.

    records are appended to the programs stream in order.  With
    commit_required, they must be durable and the lease still held before
    the reply is sent; otherwise the call must be ended as not run.  With
    commit_if_available, the reply waits for the commit while the log
    answers, and is sent without it during a log outage.  The reply tells
    of the history of the program tells_history, if any; it must not be
    sent before that history outlasts the death of this instance.
    """

    reply: messages.Message
    records: tuple[messages.Message, ...] = ()
    commit_required: bool = False
    commit_if_available: bool = False
    tells_history: str = ''
    releases: tuple[PrefixRelease, ...] = ()


def refuse(code: codes.ResultCode, detail: str = '') -> Decision:
    """Returns a refusal without records or releases."""
    reply = messages.ErrorReply(code=code.number, detail=detail or code.help)
    return Decision(reply=reply)


def refuse_on_error(decide: typing.Callable[[], Decision]) -> Decision:
    """Calls decide and turns a ResultError into a refusal."""
    try:
        return decide()
    except errors.ResultError as error:
        return refuse(error.code, error.detail)


def release_prefixes(program: str, upstreams: tuple[str, ...]) -> Decision:
    """Returns a decision that releases a program's prefix on upstreams."""
    releases = tuple(
        PrefixRelease(program=program, upstream=upstream)
        for upstream in upstreams
        if upstream
    )
    return Decision(reply=messages.SuccessReply(), releases=releases)
