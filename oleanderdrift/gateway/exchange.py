"""Sends a request to an upstream and reads the response headers."""

import collections.abc
import typing

import attrs

from oleanderdrift import errors
from oleanderdrift.gateway import admission
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import cold_shares
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import time_limits
from oleanderdrift.gateway import upstream_connections
from oleanderdrift.gateway import upstreams

# How many responses to earlier requests are skipped on a connection.
MAX_FOREIGN_RESPONSES: typing.Final = 4
MISDIRECTED: typing.Final = 421
# A report needs no slot, so it takes a round trip.
REPORT_TIMEOUT_S: typing.Final = 0.25
REPORT_STATUS: typing.Final = 200
MAX_REPORT_BYTES: typing.Final = 65_536
# What an upstream answers that knows no reports.
CLIENT_ERRORS: typing.Final = range(400, 500)


class NoReportError(buffering.ChannelError):
    """The upstream answered, but not with a report: not all write one."""

    def __init__(self, status: int) -> None:
        super().__init__(
            buffering.Failure.MALFORMED, f'status {status} is no report'
        )
        self.status = status


@attrs.frozen(kw_only=True)
class NotConnected:
    """The connection failed, so the request was not executed."""

    reason: str


@attrs.frozen(kw_only=True)
class NotVerified:
    """The upstream has not shown which start it is; nothing was sent to it.

    It lives, so it may still work on an earlier try.
    """

    reason: str


@attrs.frozen(kw_only=True)
class IsLeaving:
    """The upstream has said that it leaves; nothing was sent to it."""


@attrs.frozen(kw_only=True)
class NotAllowed:
    """The upstream may not get the request; nothing was sent to it."""

    reason: str


@attrs.frozen(kw_only=True)
class NotSent:
    """The request may not be sent any more, for the reason of the error."""

    error: errors.ResultError


@attrs.frozen(kw_only=True)
class NotRun:
    """The upstream reported that it did not execute the request."""

    head: ports.UpstreamHead


@attrs.frozen(kw_only=True)
class MayHaveRun:
    """The exchange failed after sending; the request may have run.

    via names the peer that carried it, if any.
    """

    reason: str
    via: str


@attrs.frozen(kw_only=True)
class ResponseStarted:
    """The response headers were received; the body follows.

    sent_at is when the whole request had been sent.
    """

    head: ports.UpstreamHead
    connection: channel.Channel
    sent_at: float


Outcome: typing.TypeAlias = (
    NotConnected
    | NotVerified
    | IsLeaving
    | NotAllowed
    | NotSent
    | NotRun
    | MayHaveRun
    | ResponseStarted
)


@attrs.frozen(kw_only=True)
class Outgoing:
    """What is sent to an upstream; deadline is that of the caller.

    is_first says that no upstream may have run it yet.
    keeps_version says that it is for a stream that only upstreams of one
    software version may run, from its beginning on; they do not check it.
    continues says that an upstream of that version has begun it.
    checks_start says that the upstream may be cold after a restart, which a
    new connection leads to before its entry is read.
    begin is called before the first byte is sent; what it raises is passed
    on, with nothing sent, except NoPlaceError.
    """

    admitted: admission.Admitted
    body: bytes
    deadline: float
    last_event_id: str | None
    is_first: bool
    keeps_version: bool
    continues: bool
    begin: collections.abc.Callable[[], None]
    checks_start: bool = False


async def send_request(
    connections: upstream_connections.UpstreamConnections,
    codec: ports.Codec,
    board: board_lib.Board,
    upstream: upstreams.Upstream,
    outgoing: Outgoing,
) -> Outcome:
    """Sends a request and reads the response headers.

    The connection of a ResponseStarted belongs to the caller of this
    function.  Any other connection is closed or returned to the pool here,
    also on cancellation.
    """
    entry = upstream.entry
    admitted = outgoing.admitted
    request = admitted.request
    inside = board.inside(admitted.route, admitted.account)
    connection = await _connect(connections, codec, upstream, outgoing, inside)
    if not isinstance(connection, channel.Channel):
        return connection
    handed_over = False
    known = board.upstreams
    note_cold(board, upstream, connection)
    try:
        # It may have said so since it was chosen.
        if connection.upstream_leaves or known.is_leaving(upstream.entry):
            return IsLeaving()
        try:
            if outgoing.is_first:
                admission.check_stop(board, request, admitted.route)
            left_s = admission.remaining_s(
                board,
                admitted,
                outgoing.deadline,
                clock.monotonic(),
                clock.boot(),
            )
        except errors.ResultError as error:
            return NotSent(error=error)
        headers = codec.upstream_headers(
            request, entry, admitted.account, left_s, outgoing.last_event_id
        )
        reason = _reason_to_refuse(board, upstream, connection, admitted)
        if reason:
            return NotAllowed(reason=reason)
        try:
            outgoing.begin()
        except cold_shares.NoPlaceError:
            connections.release(upstream, connection, clock.monotonic())
            handed_over = True
            return NotVerified(reason='it has become cold')
        await connection.send(
            request.method, request.target, headers, outgoing.body
        )
        sent_at = clock.monotonic()
        connections.note_sent(upstream, connection, admitted, sent_at)
        if admitted.is_call():
            board.call_speeds.begin(upstream, request, admitted.route, sent_at)
        if admitted.may_abort():
            upstream.abortable[connection] = sent_at
        head = await _read_own_head(connection, codec, request.request_id)
        upstream.last_received = clock.monotonic()
        if head is None:
            return MayHaveRun(
                reason='received only responses to other requests',
                via=connection.via,
            )
        if head.not_run:
            await connection.skip_body()
            connections.release(upstream, connection, clock.monotonic())
            handed_over = True
            upstream.abortable.pop(connection, None)
            return NotRun(head=head)
        handed_over = True
        return ResponseStarted(
            head=head, connection=connection, sent_at=sent_at
        )
    except buffering.ChannelError as error:
        return MayHaveRun(reason=str(error), via=connection.via)
    finally:
        if connection.upstream_leaves:
            connections.note_leaving(upstream)
        note_cold(board, upstream, connection)
        if not handed_over:
            upstream.abortable.pop(connection, None)
            connections.forget(connection)
            connection.close()


def note_cold(
    board: board_lib.Board,
    upstream: upstreams.Upstream,
    connection: channel.Channel,
) -> None:
    """Applies what an upstream has last said of its cold time, if it did."""
    if connection.cold_s is None:
        return
    board.cold_shares.note_report(
        upstream.entry,
        board.services().get(upstream.entry.service),
        connection.cold_s,
        clock.monotonic(),
    )
    connection.cold_s = None


def _reason_to_refuse(
    board: board_lib.Board,
    upstream: upstreams.Upstream,
    connection: channel.Channel,
    admitted: admission.Admitted,
) -> str:
    """Returns why a request may not be sent, empty if it may.

    Evacuations, settings and peers may have changed since the upstream was
    chosen.
    """
    if board.upstreams.is_evacuated(upstream.entry):
        return 'its data centre is evacuated'
    inside = board.inside(admitted.route, admitted.account)
    if inside is None:
        return ''
    if upstream.entry.data_centre not in inside:
        return 'its data centre is outside the allowed regions'
    via = connection.via
    if via and not board.tunnel_peers.is_inside(via, inside):
        return f'the peer {via} is outside the allowed regions'
    return ''


async def _connect(
    connections: upstream_connections.UpstreamConnections,
    codec: ports.Codec,
    upstream: upstreams.Upstream,
    outgoing: Outgoing,
    inside: regions.Inside,
) -> channel.Channel | NotConnected | NotVerified:
    """Returns a connection to the start that an upstream's entry names.

    inside holds the data centres that a peer may be in to carry it.
    A stream may begin at one that writes no report, as its entry says, but
    goes on only where the start is known.
    """
    try:
        connection = await connections.acquire(
            upstream, clock.monotonic(), inside
        )
    except (OSError, TimeoutError) as error:
        return NotConnected(reason=repr(error))
    if not outgoing.keeps_version and not outgoing.checks_start:
        return connection
    if upstream.writes_no_report and not outgoing.continues:
        return connection
    try:
        if await is_incarnation(connection, codec, upstream.entry):
            return connection
    except NoReportError as error:
        upstream.writes_no_report = error.status in CLIENT_ERRORS
        if outgoing.continues or not upstream.writes_no_report:
            return NotVerified(reason=f'no report came: {error!r}')
    except (TimeoutError, buffering.ChannelError) as error:
        return NotVerified(reason=f'no report came: {error!r}')
    else:
        return NotConnected(reason='the upstream has started again')
    return await _connect(connections, codec, upstream, outgoing, inside)


async def is_incarnation(
    connection: channel.Channel,
    codec: ports.Codec,
    entry: model.UpstreamEntry,
) -> bool:
    """Returns whether an upstream is the start that its entry names.

    It may have started again under its id and address, with other software,
    so it is asked for its report, once for each connection.  One whose report
    does not say when it started is taken at its entry.  The connection is
    closed if it is another start.  Raises ChannelError or TimeoutError, with
    the connection closed, if no report comes.
    """
    if connection.is_verified:
        return True
    link = connection.protocol.link
    held = link.held_s if link is not None else time_limits.nothing_held
    try:
        async with time_limits.within(REPORT_TIMEOUT_S, held):
            body = await _read_report(connection, codec, entry)
        born_ms = codec.decode_report(body)
        connection.is_verified = born_ms in (None, entry.born_ms)
        if not connection.is_reusable(clock.monotonic()):
            raise buffering.ChannelError(
                buffering.Failure.CLOSED, 'the upstream closes the connection'
            )
    except BaseException:
        connection.close()
        raise
    if not connection.is_verified:
        connection.close()
    return connection.is_verified


async def _read_report(
    connection: channel.Channel,
    codec: ports.Codec,
    entry: model.UpstreamEntry,
) -> bytes:
    """Returns an upstream's report.

    Raises ChannelError if another answer comes in its place, as a second
    copy of the answer to an earlier request would, NoReportError if the
    upstream writes none.
    """
    headers = [('Host', f'{entry.host}:{entry.port}')]
    await connection.send('GET', codec.report_target, headers, b'')
    head = await _read_head(connection, codec)
    if head.request_id is not None:
        raise buffering.ChannelError(
            buffering.Failure.MALFORMED,
            f'the answer to {head.request_id} is no report',
        )
    if head.status != REPORT_STATUS:
        raise NoReportError(head.status)
    return await connection.read_body(MAX_REPORT_BYTES)


async def _read_head(
    connection: channel.Channel, codec: ports.Codec
) -> ports.UpstreamHead:
    """Returns the next head, and notes whether the upstream leaves.

    A refusal as misdirected is that of another one at the same address.
    """
    raw = await connection.read_head(clock.monotonic())
    headers = (*raw.interim_headers, *raw.headers)
    if raw.status != MISDIRECTED and codec.says_leaving(headers):
        connection.upstream_leaves = True
    head = codec.decode_upstream_head(
        raw.status, raw.headers, is_framed=raw.is_framed
    )
    if raw.status != MISDIRECTED:
        connection.cold_s = head.cold_s
    return head


async def _read_own_head(
    connection: channel.Channel, codec: ports.Codec, request_id: str
) -> ports.UpstreamHead | None:
    """Returns the head of the response to this request.

    Responses to other requests are skipped; None is returned after
    MAX_FOREIGN_RESPONSES of them.  A response without a request id is
    accepted only on a new connection.
    """
    for _ in range(MAX_FOREIGN_RESPONSES):
        head = await _read_head(connection, codec)
        may_be_foreign = (
            head.request_id is not None or connection.request_count > 1
        )
        if head.request_id == request_id or not may_be_foreign:
            return head
        if not head.is_framed:
            # Whatever follows on the connection counts as its body.
            return None
        await connection.skip_response()
    return None
