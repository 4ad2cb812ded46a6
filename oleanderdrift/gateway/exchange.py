"""One exchange with one upstream, up to the head of its answer."""

import typing

import attrs

from oleanderdrift.gateway import admission
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import upstreams

# A hop takes a few milliseconds; a lost opening packet is sent again
# after a second.
CONNECT_TIMEOUT_S: typing.Final = 0.25
# Answers to earlier requests that may lie in a connection.
MAX_FOREIGN_ANSWERS: typing.Final = 4
MISDIRECTED: typing.Final = 421


@attrs.frozen(kw_only=True)
class NotConnected:
    """No connection was made, so the request was not run."""

    reason: str


@attrs.frozen(kw_only=True)
class NotRun:
    """The upstream says that it did not run the request."""

    status: int


@attrs.frozen(kw_only=True)
class MayHaveRun:
    """The exchange broke after the request was sent; it may have run."""

    reason: str


@attrs.frozen(kw_only=True)
class ResponseStarted:
    """The head of the answer is here, and its body follows."""

    head: ports.UpstreamHead
    link: channel.Channel


Outcome: typing.TypeAlias = (
    NotConnected | NotRun | MayHaveRun | ResponseStarted
)


async def send_request(
    pool: channel.Pool,
    codec: ports.Codec,
    upstream: upstreams.Upstream,
    admitted: admission.Admitted,
    body: bytes,
    deadline: float,
    last_event_id: str | None,
) -> Outcome:
    """Sends a request and returns what came of it.

    The link of an ResponseStarted belongs to the caller; other links are
    closed or kept here, also on cancellation.
    """
    entry = upstream.entry
    request = admitted.request
    try:
        link = await pool.acquire(
            upstream.key(),
            entry.host,
            entry.port,
            CONNECT_TIMEOUT_S,
            clock.monotonic(),
        )
    except (OSError, TimeoutError) as error:
        return NotConnected(reason=repr(error))
    answered = False
    try:
        left_s = deadline - clock.monotonic()
        headers = codec.upstream_headers(
            request, entry, admitted.account, left_s, last_event_id
        )
        await link.send(request.method, request.target, headers, body)
        if admitted.may_abort():
            upstream.abortable[link] = clock.monotonic()
        head = await _own_head(link, codec, request.request_id)
        upstream.last_received = clock.monotonic()
        if head is None:
            return MayHaveRun(reason='only answers to other requests came')
        if head.not_run:
            await link.read_body()
            pool.release(upstream.key(), link, clock.monotonic())
            answered = True
            upstream.abortable.pop(link, None)
            return NotRun(status=head.status)
        answered = True
        return ResponseStarted(head=head, link=link)
    except channel.ChannelError as error:
        return MayHaveRun(reason=str(error))
    finally:
        if not answered:
            upstream.abortable.pop(link, None)
            link.close()


async def _own_head(
    link: channel.Channel, codec: ports.Codec, request_id: str
) -> ports.UpstreamHead | None:
    """Returns the head of the answer to this request."""
    for _ in range(MAX_FOREIGN_ANSWERS):
        raw = await link.read_head(clock.monotonic())
        head = codec.upstream_head(raw.status, raw.headers)
        foreign = head.request_id is not None or link.uses > 1
        if head.request_id == request_id or not foreign:
            return head
        await link.skip_answer()
    return None
