"""Stand-in for a replica of the users' platform, with scripted behaviour.

Each request is answered by the next behaviour of a list; the last one is
repeated.  Requests are recorded, so that a test can check what ran.
"""

import asyncio
import json
import typing

import attrs

REPORT_TARGET: typing.Final = '/-/report'
# Enough for a caller to have read what comes first.
BEFORE_REPORT_S: typing.Final = 0.02

Behaviour: typing.TypeAlias = (
    'CompleteResponse | Stream | Raw | Stalled | Endless | Silent | Reset'
)


@attrs.frozen(kw_only=True)
class CompleteResponse:
    """A complete response after pause_s seconds; extra is sent after it.

    request_id replaces the Attempt-Id of the request in the response, and
    sealed adds the Response-Seal header.
    """

    status: int = 200
    body: bytes = b'done'
    headers: tuple[tuple[str, str], ...] = ()
    sealed: bool = True
    request_id: str | None = None
    extra: bytes = b''
    pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class Stream:
    """An event stream, numbered from 1 or from after Last-Event-Id.

    cut_after is the number of the last complete event: the connection
    closes cut_bytes into the next one.  A stream is chunked unless it is
    unframed, then it ends when the connection closes, or sized, then its
    length is given and cut_after does not end it early.  An unsealed one has
    no Response-Seal.  from_start ignores Last-Event-Id.
    """

    events: int = 4
    cut_after: int | None = None
    cut_bytes: int = 5
    unframed: bool = False
    sized: bool = False
    sealed: bool = True
    from_start: bool = False
    content_type: str = 'text/event-stream'
    pause_s: float = 0.0


@attrs.frozen(kw_only=True)
class Raw:
    """Arbitrary bytes, valid HTTP or not, then a closed connection."""

    data: bytes


@attrs.frozen(kw_only=True)
class Stalled:
    """Bytes, then nothing; $ID in them is the request's Attempt-Id."""

    data: bytes


@attrs.frozen(kw_only=True)
class Endless:
    """Bytes, then one block of bytes again and again, until closed.

    limit is the number of bytes after which the stand-in gives up.
    """

    data: bytes
    block: bytes
    limit: int


@attrs.frozen(kw_only=True)
class Silent:
    """No answer; the connection stays open."""


@attrs.frozen(kw_only=True)
class Reset:
    """A reset of the connection after the request is read."""


@attrs.frozen(kw_only=True)
class Received:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.define(kw_only=True)
class Replica:
    """A replica; closed counts the connections that clients closed.

    endless_bytes counts the bytes of Endless answers that were accepted by
    the connection.  A request whose body begins with deadly_body ends
    the replica:
    all connections are reset, and it listens no more.  crashes counts that.
    version is named in each event.  born_ms is its start, as its report has
    it.  before_report comes BEFORE_REPORT_S earlier than the report; a
    silent_report never comes.  One without_report answers with 400.
    cold_ms is how long the report says that it is cold, if it says so.
    """

    behaviours: list[Behaviour]
    received: list[Received] = attrs.field(factory=list)
    connections: int = 0
    closed: int = 0
    endless_bytes: int = 0
    port: int = 0
    server: asyncio.Server | None = None
    deadly_body: bytes | None = None
    crashes: int = 0
    version: str = ''
    born_ms: int = 1
    before_report: bytes = b''
    silent_report: bool = False
    without_report: bool = False
    cold_ms: int | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listening socket."""
        if self.server is not None:
            self.server.close()

    def next_behaviour(self) -> Behaviour:
        """Returns the behaviour for a request; removes all but the last."""
        if len(self.behaviours) > 1:
            return self.behaviours.pop(0)
        return self.behaviours[0]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until either side closes it."""
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.target == REPORT_TARGET:
                    await self.send_report(writer)
                    continue
                self.received.append(request)
                if self.deadly_body and request.body.startswith(
                    self.deadly_body
                ):
                    self.crash()
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        except asyncio.CancelledError:
            # The event loop cancels open connections when a test ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send_report(self, writer: asyncio.StreamWriter) -> None:
        """Answers a request for the report."""
        if self.silent_report:
            return
        if self.before_report:
            writer.write(self.before_report)
            await asyncio.sleep(BEFORE_REPORT_S)
        writer.write(self.report())

    def report(self) -> bytes:
        """Returns what it says of itself; its start is all of that here."""
        if self.without_report:
            return b'HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n'
        body = json.dumps({'born': self.born_ms}).encode()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n'
        if self.cold_ms is not None:
            head += f'Cold-Ms: {self.cold_ms}\r\n'
        return head.encode() + b'\r\n' + body

    def crash(self) -> None:
        """Ends the replica as a crash of its process does."""
        self.crashes += 1
        for writer in self.writers:
            writer.transport.abort()
        if self.server is not None:
            self.server.close()

    async def answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether to keep the connection."""
        behaviour = self.next_behaviour()
        match behaviour:
            case CompleteResponse():
                await asyncio.sleep(behaviour.pause_s)
                writer.write(
                    encode_complete(behaviour, request) + behaviour.extra
                )
            case Stream():
                return await self.stream(behaviour, request, writer)
            case Raw():
                writer.write(behaviour.data)
                return False
            case Stalled():
                request_id = request.headers.get('attempt-id', '')
                writer.write(
                    behaviour.data.replace(b'$ID', request_id.encode())
                )
                await reader.readexactly(1)
            case Endless():
                return await self.send_endlessly(behaviour, request, writer)
            case Silent():
                await reader.readexactly(1)
            case Reset():
                writer.transport.abort()
                return False
        await writer.drain()
        return True

    async def send_endlessly(
        self,
        behaviour: Endless,
        request: Received,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends bytes until the client closes the connection."""
        request_id = request.headers.get('attempt-id', '')
        writer.write(behaviour.data.replace(b'$ID', request_id.encode()))
        while self.endless_bytes < behaviour.limit:
            writer.write(behaviour.block)
            await writer.drain()
            self.endless_bytes += len(behaviour.block)
        return False

    async def stream(
        self,
        behaviour: Stream,
        request: Received,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends an event stream; returns whether to keep the connection."""
        first_event = int(request.headers.get('last-event-id', '0')) + 1
        if behaviour.from_start:
            first_event = 1
        suffix = f' {self.version}' if self.version else ''
        events = [
            f'id: {number}\ndata: e{number}{suffix}\n\n'.encode()
            for number in range(first_event, behaviour.events + 1)
        ]
        is_cut = behaviour.cut_after is not None
        if behaviour.cut_after is not None:
            kept = max(behaviour.cut_after + 1 - first_event, 0)
            rest = events[kept][: behaviour.cut_bytes]
            events = [*events[:kept], rest] if rest else events[:kept]
        writer.write(_stream_head(behaviour, request, b''.join(events)))
        chunked = not behaviour.unframed and not behaviour.sized
        for event in events:
            writer.write(framed(event, not chunked))
            await writer.drain()
            await asyncio.sleep(behaviour.pause_s)
        if behaviour.unframed or (is_cut and chunked):
            return False
        if chunked:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def _stream_head(behaviour: Stream, request: Received, body: bytes) -> bytes:
    """Returns the head of an event stream."""
    lines = [
        'HTTP/1.1 200 OK',
        f'Attempt-Id: {request.headers.get("attempt-id", "")}',
        f'Content-Type: {behaviour.content_type}',
    ]
    if behaviour.sealed:
        lines.append('Response-Seal: s')
    if behaviour.sized:
        lines.append(f'Content-Length: {len(body)}')
    elif not behaviour.unframed:
        lines.append('Transfer-Encoding: chunked')
    return '\r\n'.join([*lines, '', '']).encode()


def framed(data: bytes, unframed: bool) -> bytes:
    """Returns data as a chunk, or unchanged if unframed."""
    if unframed:
        return data
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def encode_complete(behaviour: CompleteResponse, request: Received) -> bytes:
    """Returns the bytes of a complete response."""
    request_id = behaviour.request_id
    if request_id is None:
        request_id = request.headers.get('attempt-id', '')
    lines = [
        f'HTTP/1.1 {behaviour.status} Answer',
        f'Attempt-Id: {request_id}',
        f'Content-Length: {len(behaviour.body)}',
        *(f'{name}: {value}' for name, value in behaviour.headers),
    ]
    if behaviour.sealed:
        lines.append('Response-Seal: s')
    return '\r\n'.join([*lines, '', '']).encode() + behaviour.body


async def read_request(reader: asyncio.StreamReader) -> Received:
    """Reads a request; a body must have a Content-Length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *lines = head.split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(': ')
        if name:
            headers[name.lower()] = value
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length)
    return Received(method=method, target=target, headers=headers, body=body)
