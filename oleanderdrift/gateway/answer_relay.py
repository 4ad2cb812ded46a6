"""Relays an upstream's answer to the caller."""

import asyncio
import collections.abc
import typing

import attrs

from oleanderdrift.gateway import answer_joins
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import engine_speed
from oleanderdrift.gateway import events
from oleanderdrift.gateway import exchange
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import origin_log
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import reply as reply_lib
from oleanderdrift.gateway import stream_origins
from oleanderdrift.gateway import turn_flow
from oleanderdrift.gateway import upstreams

# Shorter streams are too short to measure an engine's speed.
MIN_MEASURED_EVENTS: typing.Final = 4
# A longer body is passed on as it comes.  A shorter one is read as a whole
# first, so that another upstream may be tried if it breaks off.
MAX_HELD_BODY_BYTES: typing.Final = 262_144
# One that fails fast is no fast upstream.
FIRST_ERROR_STATUS: typing.Final = 400
# Other tasks run after this many events of one read.
EVENTS_PER_TURN: typing.Final = 8


@attrs.frozen(kw_only=True)
class _StreamTimes:
    """When a stream's request was sent, and its events came.

    busy_s is the time in which the instance did not read on.
    """

    events: int
    sent_at: float
    first_at: float
    last_at: float
    busy_s: float


class AnswerRelay:
    """Relays answers, whole or event by event."""

    def __init__(
        self,
        board: board_lib.Board,
        turns: turn_flow.TurnFlow,
        crashes: crash_detector.CrashDetector,
        origins: origin_log.OriginLog,
    ) -> None:
        self.board = board
        self.turns = turns
        self.crashes = crashes
        self.origins = origins

    async def relay(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.ResponseStarted,
        reply: reply_lib.Reply,
        started: float,
    ) -> None:
        """Relays an answer; raises ChannelError if it breaks off.

        started is when the request was sent.
        """
        sent: answer_joins.Sent = answer_joins.NothingSent()
        if reply.started:
            sent = answer_joins.StreamBegun(
                last_event_id=progress.last_event_id
            )
        kind = progress.admitted.route.kind
        if answer_joins.relays_events(kind, outcome.head, sent):
            await self.relay_stream(
                progress, upstream, outcome, reply, started
            )
            return
        if outcome.head.status >= FIRST_ERROR_STATUS:
            self.drop_call(progress, upstream)
        body = await self.relay_body(progress, upstream, outcome, reply)
        if progress.admitted.route.sticky:
            upstream.note_warm_object(progress.admitted.request.affinity_key)
        if reply.started:
            if body:
                await reply.write(body)
            await reply.finish()
            return
        self.note_call(progress, upstream)
        await reply.send_complete(
            outcome.head.status, outcome.head.headers, body
        )

    def note_call(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Measures a call that has its answer."""
        request_id = progress.admitted.request.request_id
        call = upstream.open_calls.get(request_id)
        if call is None:
            return
        now = clock.monotonic()
        held_s = self.board.link.held_s(call.sent_at, now)
        self.board.call_speeds.end(upstream, request_id, now, held_s)

    def drop_call(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Leaves a call unmeasured, as its time is not the upstream's.

        Errors come early, and the pace of a long body is the caller's.
        """
        request_id = progress.admitted.request.request_id
        upstream.open_calls.pop(request_id, None)

    async def relay_body(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.ResponseStarted,
        reply: reply_lib.Reply,
    ) -> bytes:
        """Relays a long body as it comes; returns what is left to be sent."""
        connection = outcome.connection
        held = bytearray()
        async for chunk in connection.read_chunks(channel.MAX_BODY_BYTES):
            held += chunk
            connection.protocol.hold(len(chunk))
            if len(held) <= MAX_HELD_BODY_BYTES:
                continue
            self.drop_call(progress, upstream)
            if not reply.started:
                await reply.start(outcome.head.status, _head_fields(outcome))
            # While the caller does not read, its account holds the bytes.
            connection.protocol.let_go(len(held))
            body = bytes(held)
            held.clear()
            await reply.write(body)
        connection.protocol.let_go(len(held))
        return bytes(held)

    def note_begun(
        self, progress: progress_lib.Progress, upstream: upstreams.Upstream
    ) -> None:
        """Notes which upstream has begun a stream."""
        progress.origin = stream_origins.origin_of(upstream.entry)
        if progress.admitted.route.is_resumable_stream():
            self.origins.note_begun(
                progress.admitted.request.request_id, progress.origin
            )

    async def relay_stream(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.ResponseStarted,
        reply: reply_lib.Reply,
        started: float,
    ) -> None:
        """Relays a stream's events as they arrive."""
        reader = events.EventReader()
        prompt = progress.admitted.request.prompt
        protocol = outcome.connection.protocol
        event_count, first_at, last_at = 0, started, started
        busy_s = 0.0
        while chunk := await outcome.connection.read_chunk():
            last_at = upstream.last_received = clock.monotonic()
            rest_bytes = len(reader.rest)
            for event in _read_events(reader, chunk):
                upstream.clear_pending_tokens(
                    progress.admitted.request.request_id
                )
                upstream.note_cached_parts(prompt)
                event_count += 1
                if event_count == 1:
                    first_at = last_at
                    self.crashes.note_answering(progress, upstream)
                await self.relay_event(
                    progress, upstream, outcome, event, reply
                )
                if event_count % EVENTS_PER_TURN == 0:
                    await asyncio.sleep(0)
            protocol.hold(len(reader.rest) - rest_bytes)
            # Also while the caller does not read.
            busy_s += clock.monotonic() - last_at
        answer_joins.check_end(outcome.head, event_count, reader.rest)
        upstream.abortable.pop(outcome.connection, None)
        if event_count >= MIN_MEASURED_EVENTS:
            self.note_turn(
                progress,
                upstream,
                _StreamTimes(
                    events=event_count,
                    sent_at=outcome.sent_at,
                    first_at=first_at,
                    last_at=last_at,
                    busy_s=busy_s,
                ),
            )
        if not reply.started:
            await reply.start(outcome.head.status, outcome.head.headers)
        await self.turns.store_turn(progress)
        await reply.finish()

    def note_turn(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        times: _StreamTimes,
    ) -> None:
        """Measures the speed of an engine by a stream."""
        now = clock.monotonic()
        if self.board.call_speeds.pauses.spans(times.sent_at, now):
            return
        link = self.board.link
        read_held_s = link.held_s(times.sent_at, times.first_at)
        held_s = link.held_s(times.first_at, times.last_at)
        if max(read_held_s, held_s) >= own_link.MAX_HELD_S:
            # It was full for longer than is known.
            return
        stride = progress.admitted.service.tokens_per_event
        at_end = upstream.own_requests + upstream.peer_requests
        running = (at_end + progress.running_requests) / 2
        upstream.engine.note_turn(
            engine_speed.TurnTimes(
                unread_tokens=progress.unread_tokens,
                tokens=times.events * stride,
                tokens_per_event=stride,
                running=min(running, upstream.entry.slots),
                sent_at=times.sent_at,
                first_at=times.first_at,
                last_at=times.last_at,
                read_held_s=read_held_s,
                held_s=times.busy_s + held_s,
            ),
            now,
        )

    async def relay_event(
        self,
        progress: progress_lib.Progress,
        upstream: upstreams.Upstream,
        outcome: exchange.ResponseStarted,
        event: events.Event,
        reply: reply_lib.Reply,
    ) -> None:
        """Relays one event."""
        answer_joins.check_event(event, progress.last_event_id)
        admitted = progress.admitted
        answer_joins.check_tokens(
            progress.tokens,
            admitted.service.tokens_per_event,
            admitted.request.max_tokens,
        )
        if progress.first_ms < 0:
            waited_s = clock.monotonic() - admitted.request.received
            progress.first_ms = round(waited_s * 1_000)
        progress.tokens += admitted.service.tokens_per_event
        if progress.origin is None:
            self.note_begun(progress, upstream)
        progress.last_event_id = event.event_id or progress.last_event_id
        if admitted.route.retains:
            self.keep_output(progress, outcome, event.data + b'\n')
        if not reply.started:
            await reply.start(outcome.head.status, outcome.head.headers)
        await reply.write(event.raw)

    def keep_output(
        self,
        progress: progress_lib.Progress,
        outcome: exchange.ResponseStarted,
        data: bytes,
    ) -> None:
        """Keeps the output of an event until its turn is stored.

        Raises ChannelError if the turn cannot be stored any more.
        """
        outcome.connection.protocol.hold(len(data) + held_bytes.PIECE_BYTES)
        progress.output.append(data)
        progress.output_bytes += len(data)
        if progress.output_bytes > self.turns.max_output_bytes():
            raise buffering.ChannelError(
                buffering.Failure.MALFORMED,
                'the output of the turn is too long to be stored',
            )


def _head_fields(outcome: exchange.ResponseStarted) -> reply_lib.Headers:
    """Returns the fields of a head, with the length of its body if known."""
    length = outcome.connection.body_length
    if length is None:
        return outcome.head.headers
    return [*outcome.head.headers, ('Content-Length', str(length))]


def _read_events(
    reader: events.EventReader, chunk: bytes
) -> collections.abc.Iterator[events.Event]:
    """Yields the events that a chunk completes; raises ChannelError."""
    try:
        yield from reader.feed(chunk)
    except events.EventTooLongError as error:
        raise buffering.ChannelError(
            buffering.Failure.MALFORMED, 'an event of the stream has no end'
        ) from error
