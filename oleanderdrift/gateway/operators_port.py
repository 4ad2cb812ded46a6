"""HTTP servers for operators, on ports that anybody may reach.

Readiness and metrics need short requests without a body.  At the limit of
connections, the oldest is closed, so that a probe is answered beside callers
that hold theirs open.
"""

import collections
import typing

from tornado import http1connection
from tornado import httpserver
from tornado import iostream
from tornado import web

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import client_stream
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import work_share

MAX_HEAD_BYTES: typing.Final = 16_384
MAX_BODY_BYTES: typing.Final = 1_024
READ_BYTES: typing.Final = 4_096
# One read in a turn of the event loop: some requests take milliseconds.
TURN_BYTES: typing.Final = 1
# Between two requests, and for a head and a body to arrive.
IDLE_TIMEOUT_S: typing.Final = 60.0
BODY_TIMEOUT_S: typing.Final = 3.0


class OperatorsServer(httpserver.HTTPServer):
    """A server with few connections; open_streams has them by their age.

    turn_bytes is what they may read in a turn of the event loop.
    """

    board: board_lib.Board
    events: event_log.EventLog
    turn_bytes: work_share.TurnBytes
    open_streams: collections.OrderedDict[iostream.IOStream, None]

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection; closes the oldest one over the limit."""
        made = client_stream.ClientStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        made.head_bytes = self.turn_bytes
        self.open_streams[made] = None
        super().handle_stream(made, address)
        if len(self.open_streams) > self.board.caller_limits.operators:
            oldest, _ = self.open_streams.popitem(last=False)
            self.board.refusals['operators'] += 1
            self.events.info(
                'operators-connection-closed', open=len(self.open_streams) + 1
            )
            oldest.close()

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has ended."""
        super().on_close(server_conn)
        connection = typing.cast(
            http1connection.HTTP1ServerConnection, server_conn
        )
        self.open_streams.pop(connection.stream, None)


def make_server(
    application: web.Application,
    board: board_lib.Board,
    events: event_log.EventLog,
) -> OperatorsServer:
    """Returns a server for the application that does not listen yet."""
    server = OperatorsServer(
        application,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=MAX_BODY_BYTES,
        chunk_size=READ_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )
    server.board = board
    server.events = events
    server.open_streams = collections.OrderedDict()
    server.turn_bytes = work_share.TurnBytes(TURN_BYTES)
    return server
