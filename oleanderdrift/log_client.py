"""The client of the platform's append-only log service.

Every call is bounded in time.  Connections made before the latest
failure are not used again, since a connection can go silent for good
while new ones work.
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
from oleanderdrift import errors

CONNECT_TIMEOUT_S: typing.Final = 2.0
MAX_PARALLEL_CALLS: typing.Final = 64
# Covers the time a call may wait for one of the parallel places.
QUEUE_MARGIN_S: typing.Final = 1.0


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record; time_ms is the log's own time of the append."""

    offset: int
    time_ms: int
    data: bytes


@attrs.frozen(kw_only=True)
class ReadResult:
    """The records of one read, the oldest first.

    first is the oldest offset that the stream still holds, next_offset
    where the next read goes on, and end_offset the end of the stream.
    """

    first: int
    next_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen(kw_only=True)
class _ReadAnswer:
    first: int
    next: int
    records: tuple[LogRecord, ...]


@attrs.frozen(kw_only=True)
class _AppendAnswer:
    offset: int


_READ_DECODER: typing.Final = msgspec.msgpack.Decoder(_ReadAnswer)
_APPEND_DECODER: typing.Final = msgspec.json.Decoder(_AppendAnswer)


class _Reuse(enum.Enum):
    """Whether a call may go over a connection made before."""

    ALLOWED = enum.auto()
    NEVER = enum.auto()


@attrs.define(kw_only=True)
class _Call:
    """How far one call came; status 0 stands for no whole answer.

    sent is set before the first byte of the request leaves.
    """

    status: int = 0
    body: bytes = b''
    detail: str = ''
    sent: bool = False


class LogClient:
    """Appends to and reads from the log's streams.

    timeout_s bounds each call, beyond the wait that a read asks for.
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
        """Closes the connections; calls under way get no answer."""
        self.http.close()

    async def append(self, stream: str, data: bytes) -> int:
        """Appends one record and returns its offset.

        It goes over a new connection each time: curl repeats a request
        by itself when a kept connection turns out closed, which would
        append twice.  Raises ResultError LOG_UNAVAILABLE where the
        record is surely not in the log, else APPEND_UNCONFIRMED.
        """
        call = await self.fetch(
            self.url(stream),
            _Reuse.NEVER,
            self.timeout_s,
            method='POST',
            body=data,
            headers={'Content-Type': 'application/octet-stream'},
        )
        if call.status == 201:
            try:
                return _APPEND_DECODER.decode(call.body).offset
            except msgspec.MsgspecError as error:
                call.detail = f'malformed answer: {error}'
        refused = not call.sent or 400 <= call.status < 500
        raise errors.ResultError(
            codes.LOG_UNAVAILABLE if refused else codes.APPEND_UNCONFIRMED,
            f'append {stream}: {call.detail}',
        )

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> ReadResult:
        """Reads up to limit records, waiting up to wait_s for the first.

        Starts at the oldest record held if from_offset is older.  Raises
        ResultError LOG_UNAVAILABLE, also for a log that ends before
        from_offset.
        """
        query = urllib.parse.urlencode(
            {
                'from': from_offset,
                'limit': limit,
                'wait_ms': round(wait_s * 1000),
            }
        )
        call = await self.fetch(
            f'{self.url(stream)}?{query}',
            _Reuse.ALLOWED,
            wait_s + self.timeout_s,
        )
        if call.status != 200:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'read {stream}: {call.detail}'
            )
        try:
            answer = _READ_DECODER.decode(call.body)
        except msgspec.MsgspecError as error:
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'malformed answer: {error}'
            ) from error
        if answer.next < from_offset:
            # A lagging copy of the log: what it lacks must not pass as read.
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE,
                f'{stream} ends at {answer.next}, before {from_offset}',
            )
        next_offset = max(from_offset, answer.first)
        if answer.records:
            next_offset = answer.records[-1].offset + 1
        return ReadResult(
            first=answer.first,
            next_offset=next_offset,
            end_offset=answer.next,
            records=answer.records,
        )

    def url(self, stream: str) -> str:
        """Returns the address of a stream's records."""
        name = urllib.parse.quote(stream, safe='')
        return f'{self.base_url}/v1/streams/{name}/records'

    async def fetch(
        self,
        url: str,
        reuse: _Reuse,
        timeout_s: float,
        **arguments: typing.Any,
    ) -> '_Call':
        """Makes one bounded call and says how far it came."""
        call = _Call()

        def note_sent(*_: typing.Any) -> int:
            call.sent = True
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
            # What waits in the client's queue may still be sent.
            call.sent = True
            call.detail = 'no answer in time'
        except httpclient.HTTPClientError as error:
            call.detail = str(error)
        else:
            call.status, call.body = response.code, response.body
            call.detail = f'status {response.code}'
        if call.status == 0 or call.status >= 500:
            self.note_failure()
        return call

    def note_failure(self) -> None:
        """Counts a failure and retires the connections made before it."""
        self.failures += 1
        self.last_failure = time.monotonic()

    def choose_connection(self, curl: typing.Any, reuse: _Reuse) -> None:
        """Lets a call reuse no connection older than the last failure."""
        lifetime_s = 0
        fresh = reuse is _Reuse.NEVER
        if self.last_failure is not None:
            # curl counts whole seconds, hence one less; 0 is no limit.
            lifetime_s = int(time.monotonic() - self.last_failure) - 1
            fresh = fresh or lifetime_s < 1
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh))
        curl.setopt(pycurl.FORBID_REUSE, int(reuse is _Reuse.NEVER))
        curl.setopt(pycurl.MAXLIFETIME_CONN, max(0, lifetime_s))
