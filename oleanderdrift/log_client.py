"""Client for the platform's append-only log service.

Every call has a time limit.  Connections opened before the latest failure
are not reused, since a connection can stay silent permanently while new
ones work.
"""

import asyncio
import enum
import time
import typing
import urllib.parse

import attrs
import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors

CONNECT_TIMEOUT_S: typing.Final = 2.0
MAX_PARALLEL_CALLS: typing.Final = 64
# Covers the time that a call may wait in the HTTP client's queue.
QUEUE_MARGIN_S: typing.Final = 1.0


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record; time_ms is the log's clock at the append."""

    offset: int
    time_ms: int
    data: bytes


@attrs.frozen(kw_only=True)
class ReadResult:
    """The records of one read, oldest first.

    first is the oldest offset that the stream still holds, next_offset
    is where the next read has to start, and end_offset is the end of the
    stream.
    """

    first: int
    next_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen(kw_only=True)
class _ReadResponse:
    first: int
    next: int
    records: tuple[LogRecord, ...]


@attrs.frozen(kw_only=True)
class _AppendResponse:
    offset: int


_READ_DECODER: typing.Final = msgspec.msgpack.Decoder(_ReadResponse)
_APPEND_DECODER: typing.Final = msgspec.json.Decoder(_AppendResponse)


class _ConnectionReuse(enum.Enum):
    """Whether a call may use an existing connection."""

    ALLOWED = enum.auto()
    NEVER = enum.auto()


@attrs.define(kw_only=True)
class _Outcome:
    """The outcome of one call; status 0 means no complete response.

    sent is set before the first byte of the request is sent.
    """

    status: int = 0
    body: bytes = b''
    detail: str = ''
    sent: bool = False


class LogClient:
    """Appends records to the log's streams and reads them.

    timeout_s limits each call, in addition to the wait requested by a
    read.
    """

    def __init__(self, base_url: str, timeout_s: float = 2.0) -> None:
        self.base_url = base_url.rstrip('/')
        self.timeout_s = timeout_s
        self.failures = 0
        self.last_failure: float | None = None
        self.http = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_PARALLEL_CALLS
        )

    def close(self) -> None:
        """Closes the connections; calls in progress get no response."""
        self.http.close()

    async def append(self, stream: str, data: bytes) -> int:
        """Appends one record and returns its offset.

        Each append uses a new connection: curl silently retries a request
        on a reused connection that has been closed, which would append
        the record twice.  Raises ResultError(LOG_UNAVAILABLE) if the
        record is certainly not in the log, else APPEND_UNCONFIRMED.
        """
        outcome = await self.fetch(
            self.url(stream),
            _ConnectionReuse.NEVER,
            self.timeout_s,
            method='POST',
            body=data,
            headers={'Content-Type': 'application/octet-stream'},
        )
        if outcome.status == 201:
            try:
                return _APPEND_DECODER.decode(outcome.body).offset
            except decoding.DECODE_ERRORS as error:
                outcome.detail = f'malformed response: {error}'
        refused = not outcome.sent or 400 <= outcome.status < 500
        raise errors.ResultError(
            codes.LOG_UNAVAILABLE if refused else codes.APPEND_UNCONFIRMED,
            f'append {stream}: {outcome.detail}',
        )

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> ReadResult:
        """Reads up to limit records, waiting up to wait_s for the first.

        Starts at the oldest record held if from_offset is older.  Raises
        ResultError(LOG_UNAVAILABLE) on failure, or if the stream ends
        before from_offset.
        """
        query = urllib.parse.urlencode(
            {
                'from': from_offset,
                'limit': limit,
                'wait_ms': round(wait_s * 1000),
            }
        )
        outcome = await self.fetch(
            f'{self.url(stream)}?{query}',
            _ConnectionReuse.ALLOWED,
            wait_s + self.timeout_s,
        )
        if outcome.status != 200:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'read {stream}: {outcome.detail}'
            )
        try:
            response = _READ_DECODER.decode(outcome.body)
        except decoding.DECODE_ERRORS as error:
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'malformed response: {error}'
            ) from error
        if response.next < from_offset:
            # A lagging replica of the log answered.  The records that it
            # lacks must not count as read.
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE,
                f'read {stream}: stream ends at offset {response.next}, '
                f'before the requested {from_offset}',
            )
        next_offset = max(from_offset, response.first)
        if response.records:
            next_offset = response.records[-1].offset + 1
        return ReadResult(
            first=response.first,
            next_offset=next_offset,
            end_offset=response.next,
            records=response.records,
        )

    def url(self, stream: str) -> str:
        """Returns the URL of a stream's records."""
        name = urllib.parse.quote(stream, safe='')
        return f'{self.base_url}/v1/streams/{name}/records'

    async def fetch(
        self,
        url: str,
        reuse: _ConnectionReuse,
        timeout_s: float,
        **arguments: typing.Any,
    ) -> '_Outcome':
        """Makes one call with a time limit and returns its outcome."""
        outcome = _Outcome()

        def note_sent(*_: typing.Any) -> int:
            outcome.sent = True
            return pycurl.PREREQFUNC_OK

        def prepare(curl: typing.Any) -> None:
            self.choose_connection(curl, reuse)
            curl.setopt(pycurl.PREREQFUNCTION, note_sent)

        request = httpclient.HTTPRequest(
            url,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            prepare_curl_callback=prepare,
            **arguments,
        )
        try:
            response = await asyncio.wait_for(
                self.http.fetch(request, raise_error=False),
                timeout_s + QUEUE_MARGIN_S,
            )
        except TimeoutError:
            # A request waiting in the client's queue may still be sent.
            outcome.sent = True
            outcome.detail = 'no response in time'
        except httpclient.HTTPClientError as error:
            outcome.detail = str(error)
        else:
            outcome.status, outcome.body = response.code, response.body
            outcome.detail = f'status {response.code}'
        if outcome.status == 0 or outcome.status >= 500:
            self.note_failure()
        return outcome

    def note_failure(self) -> None:
        """Counts a failure; connections opened before it are not reused."""
        self.failures += 1
        self.last_failure = time.monotonic()

    def choose_connection(
        self, curl: typing.Any, reuse: _ConnectionReuse
    ) -> None:
        """Excludes connections opened before the last failure from reuse."""
        lifetime_s = 0
        new_connection = reuse is _ConnectionReuse.NEVER
        if self.last_failure is not None:
            # curl counts whole seconds, so one second is subtracted;
            # a lifetime of 0 means no limit.
            lifetime_s = int(time.monotonic() - self.last_failure) - 1
            new_connection = new_connection or lifetime_s < 1
        curl.setopt(pycurl.FRESH_CONNECT, int(new_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(reuse is _ConnectionReuse.NEVER))
        curl.setopt(pycurl.MAXLIFETIME_CONN, max(0, lifetime_s))
