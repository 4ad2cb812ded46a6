"""Requests to upstreams, through Tornado's curl client.

A Stream hands on the answer's bytes as they come.  How a failed exchange
ended is told apart by what the upstream can have seen: a request whose
connection was never made was not run; anything later may have run.
"""

import asyncio
import collections.abc
import typing

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from oleanderdrift import codes
from oleanderdrift import errors

BUFFER_BYTES: typing.Final = 1_048_576
LOW_SPEED_BYTES_PER_S: typing.Final = 1
_NO_TIMEOUT_S: typing.Final = 0.0


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """A request to an upstream.

    once marks a request that must not be sent twice: it gets a
    connection of its own, since curl silently repeats a request whose
    kept-open connection turns out to be closed.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    once: bool
    connect_timeout_s: float
    silence_s: float


Sink: typing.TypeAlias = collections.abc.Callable[[bytes], bool]


class Stream:
    """One exchange with an upstream and the bytes it has brought.

    Where a sink is set, bytes go to it at once instead of waiting for a
    reader; it returns whether it takes more for now.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.sink: Sink | None = None
        self.sent = False
        self.ended = False
        self.cancelled = False
        self.error: errors.ResultError | None = None
        self.changed = asyncio.Event()
        self.curl: pycurl.Curl | None = None
        self.paused = False
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Waits for the status line; raises ResultError if none came."""
        while not self.status and not self.ended:
            await self._wait()
        if self.error is not None and not self.status:
            raise self.error

    async def read(self) -> bytes:
        """Returns the bytes that have come, b'' at the whole answer's end.

        Raises ResultError when the answer was cut short.
        """
        while not self.chunks and not self.ended:
            await self._wait()
        if self.chunks:
            return self._take()
        if self.error is not None:
            raise self.error
        return b''

    async def pipe(self, sink: Sink) -> None:
        """Hands all bytes to the sink until the whole answer has come.

        Raises ResultError when the answer was cut short.
        """
        if self.chunks:
            sink(self._take())
        self.sink = sink
        while not self.ended:
            await self._wait()
        if self.error is not None:
            raise self.error

    def resume(self) -> None:
        """Goes on after the sink wanted no more for a while."""
        self._resume()

    def cancel(self) -> None:
        """Breaks the exchange off; its connection is closed."""
        self.cancelled = True
        self._resume()

    async def _wait(self) -> None:
        self.changed.clear()
        await self.changed.wait()

    def _take(self) -> bytes:
        data = b''.join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self._resume()
        return data

    def _resume(self) -> None:
        if self.paused and self.curl is not None:
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)

    def on_header(self, line: bytes) -> None:
        """Takes a header line from curl."""
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            status = int(text.split(' ', 2)[1])
            self.headers = httputil.HTTPHeaders()
            # An informational response is not the answer.
            self.status = status if status >= 200 else 0
        elif text:
            self.headers.parse_line(text)
        elif self.status:
            self.changed.set()

    def on_body(self, data: bytes) -> int:
        """Takes body bytes from curl, or makes it pause or stop."""
        if self.cancelled:
            return 0
        if self.sink is not None:
            return self._on_sink(data)
        if self.buffered >= BUFFER_BYTES:
            self.paused = True
            return pycurl.WRITEFUNC_PAUSE
        self.chunks.append(data)
        self.buffered += len(data)
        self.changed.set()
        return len(data)

    def _on_sink(self, data: bytes) -> int:
        if self.sink is not None and self.sink(data):
            return len(data)
        # curl brings the same bytes again after the pause.
        self.paused = True
        return pycurl.WRITEFUNC_PAUSE

    def on_connected(self, *_addresses: object) -> int:
        """Notes that the request goes out; curl asks just before it."""
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)

    def on_progress(self, *_counts: int) -> int:
        """Tells curl whether to abort (any number but 0)."""
        return int(self.cancelled)


class Upstreams:
    """The adapter that speaks HTTP to upstreams."""

    def __init__(self, *, max_streams: int) -> None:
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_streams
        )

    def close(self) -> None:
        """Closes the client and its connections."""
        self.client.close()

    def open(self, request: UpstreamRequest) -> Stream:
        """Starts an exchange and returns it at once."""
        stream = Stream()
        stream.task = asyncio.get_running_loop().create_task(
            self._exchange(stream, request)
        )
        return stream

    async def _exchange(
        self, stream: Stream, request: UpstreamRequest
    ) -> None:
        def prepare(curl: pycurl.Curl) -> None:
            _prepare(curl, stream, request)

        try:
            await self.client.fetch(
                httpclient.HTTPRequest(
                    request.url,
                    method=request.method,
                    headers=httputil.HTTPHeaders(request.headers),
                    body=request.body if request.method != 'GET' else None,
                    connect_timeout=request.connect_timeout_s,
                    request_timeout=_NO_TIMEOUT_S,
                    follow_redirects=False,
                    decompress_response=False,
                    allow_nonstandard_methods=True,
                    prepare_curl_callback=prepare,
                ),
                raise_error=False,
            )
        except curl_httpclient.CurlError as error:
            stream.error = _failure(error, stream)
        except Exception as error:
            stream.error = errors.ResultError(
                codes.UPSTREAM_FAILED, repr(error)
            )
        finally:
            stream.curl = None
            stream.ended = True
            stream.changed.set()


async def get(upstreams: Upstreams, url: str, timeout_s: float) -> bytes:
    """Returns the whole body of a GET; raises ResultError."""
    stream = upstreams.open(
        UpstreamRequest(
            method='GET',
            url=url,
            headers={},
            body=b'',
            once=False,
            connect_timeout_s=timeout_s,
            silence_s=timeout_s,
        )
    )
    try:
        await stream.start()
        parts = [data async for data in _chunks(stream)]
    finally:
        stream.cancel()
    if stream.status >= 300:
        raise errors.ResultError(
            codes.UPSTREAM_FAILED, f'{url}: HTTP {stream.status}'
        )
    return b''.join(parts)


async def _chunks(stream: Stream) -> typing.AsyncIterator[bytes]:
    while data := await stream.read():
        yield data


def _prepare(
    curl: pycurl.Curl, stream: Stream, request: UpstreamRequest
) -> None:
    stream.curl = curl
    curl.setopt(pycurl.HEADERFUNCTION, stream.on_header)
    curl.setopt(pycurl.WRITEFUNCTION, stream.on_body)
    curl.setopt(pycurl.PREREQFUNCTION, stream.on_connected)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, stream.on_progress)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, LOW_SPEED_BYTES_PER_S)
    curl.setopt(pycurl.LOW_SPEED_TIME, max(1, round(request.silence_s)))
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.FRESH_CONNECT, int(request.once))
    curl.setopt(pycurl.FORBID_REUSE, int(request.once))
    curl.setopt(pycurl.NOPROXY, '*')


def _failure(
    error: curl_httpclient.CurlError, stream: Stream
) -> errors.ResultError:
    if not stream.sent:
        return errors.ResultError(codes.UPSTREAM_UNREACHABLE, str(error))
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return errors.ResultError(codes.UPSTREAM_TIMEOUT, str(error))
    return errors.ResultError(codes.UPSTREAM_FAILED, str(error))
