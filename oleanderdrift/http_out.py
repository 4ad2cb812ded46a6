"""Sends requests to upstreams, using Tornado's curl client.

A Stream passes on the response body as it arrives.  Failures are
classified by what the upstream can have received: a request whose
connection was never established was not run; any other may have run.
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

    once marks a request that must not be sent twice.  It gets a new
    connection, since curl silently retries a request on a reused
    connection that the upstream has closed.
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
    """One exchange with an upstream and its buffered response body.

    If a sink is set, data is passed to it at once instead of being
    buffered for read(); the sink returns whether it accepted the data.
    has_head says that the head has ended; curl passes its lines on as they
    come, and takes one that breaks off for whole.
    """

    def __init__(self) -> None:
        self.status = 0
        self.has_head = False
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
        """Waits for the response headers; raises ResultError if none came."""
        while not self.has_head and not self.ended:
            await self._wait()
        if self.error is not None and not self.has_head:
            raise self.error

    async def read(self) -> bytes:
        """Returns the buffered data, or b'' at the end of the response.

        Waits while there is none.  Raises ResultError if the response was
        incomplete.
        """
        while not self.chunks and not self.ended:
            await self._wait()
        if self.chunks:
            return self._take()
        if self.error is not None:
            raise self.error
        return b''

    async def pipe(self, sink: Sink) -> None:
        """Passes all data to the sink until the end of the response.

        Raises ResultError if the response was incomplete.
        """
        if self.chunks:
            sink(self._take())
        self.sink = sink
        while not self.ended:
            await self._wait()
        if self.error is not None:
            raise self.error

    def resume(self) -> None:
        """Continues after the sink has refused data."""
        self._resume()

    def cancel(self) -> None:
        """Aborts the exchange and closes its connection."""
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
        """Handles a header line from curl."""
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            status = int(text.split(' ', 2)[1])
            self.headers = httputil.HTTPHeaders()
            # Informational (1xx) responses precede the final one.
            self.status = status if status >= 200 else 0
        elif text:
            self.headers.parse_line(text)
        elif self.status:
            self.has_head = True
            self.changed.set()

    def on_body(self, data: bytes) -> int:
        """Handles body data from curl; may tell curl to pause or abort."""
        if self.cancelled:
            return 0
        if self.sink is not None:
            return self._pass_to_sink(data)
        if self.buffered >= BUFFER_BYTES:
            self.paused = True
            return pycurl.WRITEFUNC_PAUSE
        self.chunks.append(data)
        self.buffered += len(data)
        self.changed.set()
        return len(data)

    def _pass_to_sink(self, data: bytes) -> int:
        if self.sink is not None and self.sink(data):
            return len(data)
        # curl delivers the same data again after the pause.
        self.paused = True
        return pycurl.WRITEFUNC_PAUSE

    def on_connected(self, *_addresses: object) -> int:
        """Records that the request is sent; curl calls this just before."""
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)

    def on_progress(self, *_counts: int) -> int:
        """Returns nonzero to make curl abort the transfer."""
        return int(self.cancelled)


class UpstreamClient:
    """HTTP client for upstreams."""

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
            _set_curl_options(curl, stream, request)

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
            if not stream.has_head:
                stream.error = errors.ResultError(
                    codes.UPSTREAM_FAILED, 'the head of the answer broke off'
                )
        except curl_httpclient.CurlError as error:
            stream.error = _to_result_error(error, stream)
        except Exception as error:
            stream.error = errors.ResultError(
                codes.UPSTREAM_FAILED, repr(error)
            )
        finally:
            stream.curl = None
            stream.ended = True
            stream.changed.set()


async def get(client: UpstreamClient, url: str, timeout_s: float) -> bytes:
    """Returns the body of the response to a GET; raises ResultError."""
    stream = client.open(
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


def _set_curl_options(
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


def _to_result_error(
    error: curl_httpclient.CurlError, stream: Stream
) -> errors.ResultError:
    if not stream.sent:
        return errors.ResultError(codes.UPSTREAM_UNREACHABLE, str(error))
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return errors.ResultError(codes.UPSTREAM_TIMEOUT, str(error))
    return errors.ResultError(codes.UPSTREAM_FAILED, str(error))
