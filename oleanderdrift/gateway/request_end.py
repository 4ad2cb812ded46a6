"""Gives each request that was read whole exactly one end.

The end is decided where the task of a request is done, so that nothing that
the task raises, and nobody who cancels it, leaves a caller without an answer,
a refusal or a closed connection.
"""

import asyncio
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import reply as reply_lib

# Of a text from outside in a log line.
LOGGED_CHARACTERS: typing.Final = 200


class EndableReply(reply_lib.Reply, typing.Protocol):
    """A reply that can be ended outside of the task that writes it.

    ended is true once its end was written or the connection was closed.
    """

    ended: bool

    def is_disconnected(self) -> bool:
        """Returns whether the connection is closed."""

    def refuse(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends a complete response without a body; does not wait."""


@attrs.frozen(kw_only=True)
class RequestEnd:
    """Ends the reply of one request if its task has not done so."""

    reply: EndableReply
    codec: ports.Codec
    events: event_log.EventLog
    request_id: str

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Ends the reply; to be called when the task is done."""
        error = _error_of(task)
        if self.reply.ended or self.reply.is_disconnected():
            if isinstance(error, Exception):
                self.log_end(error, 'had ended')
            return
        # The log is last: it may be what has failed.
        self.log_end(error, self.end(error))

    def end(self, error: BaseException | None) -> str:
        """Ends the reply; returns how."""
        if self.reply.started:
            self.reply.abort()
            return 'closed'
        try:
            return self.refuse(error)
        except Exception:
            self.reply.abort()
            return 'closed'

    def refuse(self, error: BaseException | None) -> str:
        """Refuses the request; returns the code."""
        progress = self.reply.progress
        may_have_run = progress is not None and progress.sent
        refusal = refusal_for(error, may_have_run)
        headers = self.codec.refusal_headers(
            self.request_id or None, refusal.retry_after_s
        )
        self.reply.refuse(refusal.code.status, headers)
        return str(refusal.code.number)

    def log_end(self, error: BaseException | None, end: str) -> None:
        """Logs how a request ended whose task did not end it."""
        self.events.info(
            'request-unanswered',
            request=self.request_id,
            reason=repr(error)[:LOGGED_CHARACTERS],
            where=_place_of(error),
            end=end,
        )


def refusal_for(
    error: BaseException | None, may_have_run: bool
) -> errors.ResultError:
    """Returns the refusal of a request whose task ended without a reply."""
    if may_have_run:
        return errors.ResultError(codes.INVARIANT_BROKEN)
    if isinstance(error, errors.ResultError):
        return error
    return errors.ResultError(
        codes.WORK_ENDED, retry_after_s=admission.RETRY_ELSEWHERE_S
    )


def _error_of(task: asyncio.Task[None]) -> BaseException | None:
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()


def _place_of(error: BaseException | None) -> str:
    """Returns the innermost place in the code that raised an exception."""
    place = error.__traceback__ if error is not None else None
    if place is None:
        return ''
    while place.tb_next is not None:
        place = place.tb_next
    return f'{place.tb_frame.f_code.co_name}:{place.tb_lineno}'
