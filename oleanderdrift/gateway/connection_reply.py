"""Writes the response to a request on a client's connection."""

import asyncio
import typing

from tornado import httputil
from tornado import iostream

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import reply as reply_lib

# A longer body is not copied behind its head.
JOINED_BYTES: typing.Final = 16_384


class ConnectionReply:
    """Writes one response to a client connection.

    takes_chunks says that the client can be given a body in chunks.  Without
    them, a body of unknown length ends with the connection, as
    ends_with_connection says: a cut is then a reset.
    """

    def __init__(
        self,
        conn: httputil.HTTPConnection,
        board: board_lib.Board,
        events: event_log.EventLog,
    ) -> None:
        self.conn = conn
        self.board = board
        self.events = events
        self.started = False
        self.progress: progress_lib.Progress | None = None
        self.ended = False
        self.close_announced = False
        self.takes_chunks = True
        self.ends_with_connection = False

    def should_close(self) -> bool:
        """Returns whether the client should reconnect for its next request.

        This is the case while the instance is not ready, as in a drain.
        """
        return not self.board.is_ready(clock.monotonic(), clock.boot())

    async def write_head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> None:
        """Sends the status and headers, and the body if it is given."""
        sending = self.start_head(status, headers, body)
        await self.wait_until_sent(sending, len(body or b''))

    def start_head(
        self, status: int, headers: reply_lib.Headers, body: bytes | None
    ) -> 'asyncio.Future[None]':
        """Begins to send what write_head sends."""
        self.started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if body is not None:
            fields['Content-Length'] = str(len(body))
        if not self.takes_chunks and 'Content-Length' not in fields:
            self.ends_with_connection = True
            self.reset_on_close(True)
        self.close_announced = self.ends_with_connection or self.should_close()
        if self.close_announced:
            fields['Connection'] = 'close'
        start_line = httputil.ResponseStartLine('HTTP/1.1', status, 'Answer')
        if body is None or len(body) <= JOINED_BYTES:
            sending = self.conn.write_headers(start_line, fields, body or None)
        else:
            self.conn.write_headers(start_line, fields)
            sending = self.conn.write(body)
        if body is not None:
            # Nothing can come between a whole response and its end.
            self.end()
        return sending

    def refuse(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends a complete response without a body; does not wait."""
        sending = self.start_head(status, headers, b'')
        if self.close_announced:
            sending.add_done_callback(lambda _: self.close())

    def refuse_unread(self, status: int, headers: reply_lib.Headers) -> None:
        """Refuses a request that is not read whole, and closes."""
        self.linger()
        sending = self.start_head(
            status, [*headers, ('Connection', 'close')], b''
        )
        sending.add_done_callback(lambda _: self.close())

    def linger(self) -> None:
        """Has a caller that still sends see its answer, not a reset.

        The answer must be whole: a cut is not to look like its end.
        """
        stream = getattr(self.conn, 'stream', None)
        if isinstance(stream, client_stream.ClientStream):
            stream.lingers = True

    def is_disconnected(self) -> bool:
        """Returns whether the connection is closed."""
        stream = getattr(self.conn, 'stream', None)
        return stream is not None and bool(stream.closed())

    async def wait_until_sent(
        self, future: 'asyncio.Future[None]', count: int = 0
    ) -> None:
        """Waits for a write of a number of bytes.

        They are held while the caller does not read.  Raises
        ClientDisconnectedError if the connection is closed.
        """
        holder = None
        if count and not future.done():
            source = self.progress.account_name() if self.progress else ''
            holder = self.board.held.open(source, self.stop_unread)
            holder.grow(count)
        try:
            await future
        except (iostream.StreamClosedError, OSError) as error:
            raise reply_lib.ClientDisconnectedError from error
        finally:
            if holder is not None:
                holder.release()

    def stop_unread(self) -> None:
        """Cuts a response that its caller does not read."""
        self.board.refusals['unread-answers'] += 1
        self.events.info(
            'answer-unread',
            account=self.progress.account_name() if self.progress else '',
            held=self.board.held.total,
        )
        self.close()

    async def send_complete(
        self, status: int, headers: reply_lib.Headers, body: bytes
    ) -> None:
        """Sends a complete response."""
        await self.write_head(status, headers, body)
        await self.close_as_announced()

    async def start(self, status: int, headers: reply_lib.Headers) -> None:
        """Sends the status and headers; the body follows."""
        await self.write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body."""
        await self.wait_until_sent(self.conn.write(chunk), len(chunk))

    async def finish(self) -> None:
        """Marks a response of unknown length as complete."""
        if self.ends_with_connection:
            # What is not sent yet would be cut off unseen.
            await self.flush()
            self.reset_on_close(False)
            self.linger()
        self.end()
        await self.close_as_announced()

    async def close_as_announced(self) -> None:
        """Closes the connection if the client was told so."""
        # Without a Connection: close header the client may already have
        # sent its next request, so the connection stays open.
        if self.close_announced:
            await self.flush()
            self.close()

    def end(self) -> None:
        """Ends the response; the rest of it is still being sent."""
        self.conn.finish()
        self.ended = True

    def reset_on_close(self, is_reset: bool) -> None:
        """Sets whether the client sees a close as a reset."""
        stream = getattr(self.conn, 'stream', None)
        if isinstance(stream, client_stream.ClientStream):
            stream.set_reset_on_close(is_reset)

    async def flush(self) -> None:
        """Waits until all that was written is handed to the kernel.

        Closing the connection drops what is not.  Tornado may have closed it
        already, once all was written.
        """
        stream = getattr(self.conn, 'stream', None)
        if stream is not None and not stream.closed():
            await self.wait_until_sent(stream.write(b''))

    def abort(self) -> None:
        """Cuts the response, unless it is whole already."""
        if not self.ended:
            self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self.ended = True
        stream = getattr(self.conn, 'stream', None)
        if stream is not None:
            stream.close()
