"""The client of the platform's store, an append-only log over HTTP."""

import asyncio
import base64
import collections.abc
import struct
import time
import typing
import urllib.parse

import msgspec

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors
from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import buffering
from oleanderdrift.gateway import channel
from oleanderdrift.gateway import connection_pool
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import time_limits
from oleanderdrift import logs

# A call times out once nothing came for a multiple of the average response
# time, within bounds: the store may become sixty times slower than usual.
MIN_TIMEOUT_S: typing.Final = 0.4
MAX_TIMEOUT_S: typing.Final = 1.6
TIMEOUT_FACTOR: typing.Final = 8.0
SMOOTHING: typing.Final = 0.2
CONNECT_TIMEOUT_S: typing.Final = 0.5
# The largest answer over the slowest link takes a part of it.
MAX_ANSWER_S: typing.Final = 8.0
# What an uplink carries of one request at the least, beside others.
UPLINK_BYTES_PER_S: typing.Final = 500_000
_RECORD_LENGTH: typing.Final = struct.Struct('>I')
_OFFSETS: typing.Final = struct.Struct('>QQ')
_POOL_KEY: typing.Final = 'store'
# Prefix of topics that retain the newest record of each key.
KEYED_PREFIX: typing.Final = 'keyed.'
BYTES_PER_KB: typing.Final = 1024
# How often in a row a page after the first is asked for, and how soon again.
PAGE_TRIES: typing.Final = 3
PAGE_RETRY_S: typing.Final = 0.1
# The partition does not end where the append expects.
CONDITION_FAILED: typing.Final = 412
_T = typing.TypeVar('_T')


class _Appended(msgspec.Struct):
    Offset: bounds.Count
    EndOffset: bounds.Count = 0


class _Trimmed(msgspec.Struct):
    FirstOffset: bounds.Count


class _Item(msgspec.Struct):
    Key: str
    Value: object = ''


class _Newest(msgspec.Struct):
    # The records; elsewhere, stream events have this name.
    items: list[msgspec.Raw] = []
    HasMore: bool = False
    EndOffset: bounds.Count = 0


_ITEM_DECODER: typing.Final = msgspec.json.Decoder(_Item)


class Store:
    """The client of the store; one for each instance.

    consecutive_failures counts failed calls since the last successful one.
    average_s is a moving average of the time until an answer begins; how long
    its bytes take is a matter of the link.
    """

    def __init__(
        self,
        address: str,
        partitions: int,
        record_bytes: int,
        link: own_link.OwnLink | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port)
        self.partitions = partitions
        self.record_bytes = record_bytes
        self.pool = connection_pool.Pool(link=link)
        self.calls = 0
        self.failures = 0
        self.average_s = 0.01
        self.consecutive_failures = 0

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: buffering.Body = b'',
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Makes one call over a pooled connection.

        wait_s is how long the store may wait for records before it answers.
        Raises ResultError LOG_UNAVAILABLE if no connection could be opened
        or the store refused the call, and APPEND_UNCONFIRMED if the call
        may have taken effect.
        """
        self.calls += 1
        now = time.monotonic()
        try:
            connection = await self.pool.acquire(
                _POOL_KEY, self.host, self.port, CONNECT_TIMEOUT_S, now
            )
        except (OSError, TimeoutError) as error:
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'no connection: {error!r}'
            ) from error
        target = f'{path}?{urllib.parse.urlencode(query)}'
        headers = [('Host', f'{self.host}:{self.port}')]
        silent_s = wait_s + len(body) / UPLINK_BYTES_PER_S + self.timeout_s()
        try:
            async with time_limits.within(silent_s):
                await connection.send(method, target, headers, body)
                head = await connection.read_head(time.monotonic())
            elapsed_s = time.monotonic() - now
            async with time_limits.within(MAX_ANSWER_S):
                response = await self.read_body(connection)
        except (buffering.ChannelError, TimeoutError) as error:
            self.note_failure()
            if isinstance(error, TimeoutError):
                self.average_s = min(self.average_s * 2, MAX_TIMEOUT_S)
            # Other pooled connections may be dead too, while new ones work.
            self.pool.close_idle(_POOL_KEY)
            raise errors.ResultError(
                codes.APPEND_UNCONFIRMED, f'{path}: {error!r}'
            ) from error
        finally:
            self.pool.release(_POOL_KEY, connection, time.monotonic())
        if head.status in (429, 503, 507):
            self.note_failure()
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'{path}: status {head.status}'
            )
        self.consecutive_failures = 0
        if not wait_s:
            self.average_s += SMOOTHING * (elapsed_s - self.average_s)
        return head.status, response

    async def read_body(self, connection: channel.Channel) -> bytes:
        """Reads an answer's body, however long it takes while bytes come."""
        body = bytearray()
        chunks = connection.read_chunks(channel.MAX_BODY_BYTES)
        while True:
            async with time_limits.within(self.timeout_s()):
                chunk = await anext(chunks, b'')
            if not chunk:
                return bytes(body)
            body += chunk

    def timeout_s(self) -> float:
        """Returns for how long nothing may come of an answer."""
        limit_s = self.average_s * TIMEOUT_FACTOR
        return min(max(limit_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)

    def note_failure(self) -> None:
        """Counts a failed call."""
        self.failures += 1
        self.consecutive_failures += 1

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[ports.Record],
    ) -> int:
        """Appends all records or none; returns the first record's offset."""
        body = _frame_all(records)
        status, response = await self.call(
            'POST', '/-/log-append', {'Topic': topic, 'part': partition}, body
        )
        _check_status(status, '/-/log-append')
        return _decode_json(response, _Appended).Offset

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        wait_s: float = 0.0,
        max_bytes: int = 1_048_576,
    ) -> ports.LogRecords:
        """Reads records from start on; waits up to wait_s for the first."""
        query: dict[str, str | int] = {
            'Topic': topic,
            'part': partition,
            'From': start,
            'MaxKb': max(1, -(-max_bytes // BYTES_PER_KB)),
            'WaitMs': int(wait_s * 1_000),
        }
        status, response = await self.call(
            'GET', '/-/log-read', query, wait_s=wait_s
        )
        if status == 410:
            first = _decode_json(response, _Trimmed).FirstOffset
            return ports.LogRecords(
                start=first, records=(), end=first, first=first, trimmed=True
            )
        if status == 404:
            # The topic does not exist until the first append.
            return ports.LogRecords(start=0, records=(), end=0, first=0)
        _check_status(status, '/-/log-read')
        return _decode_records(response, start)

    async def newest(self, topic: str) -> ports.KeyedRecords:
        """Returns the newest record of each key of a keyed topic."""
        records: list[ports.KeyedRecord] = []
        end: int | None = None
        query: dict[str, str | int] = {
            'Topic': KEYED_PREFIX + topic,
            'part': 0,
        }
        while True:
            page = await self.newest_page(query)
            # Later pages may be newer.  Reading continues from the first
            # page's end, so that no record in between is missed.
            end = page.EndOffset if end is None else end
            found = _decode_items(page.items)
            records += found
            if len(found) < len(page.items):
                logs.info(
                    'store-records-unreadable',
                    topic=topic,
                    n=len(page.items) - len(found),
                )
            if not page.HasMore or not page.items:
                break
            if not found or found[-1].key == query.get('after'):
                raise errors.ResultError(
                    codes.APPEND_UNCONFIRMED, 'a page without new keys'
                )
            query['after'] = found[-1].key
        return ports.KeyedRecords(records=tuple(records), end=end or 0)

    async def newest_page(self, query: dict[str, str | int]) -> _Newest:
        """Returns a page of a keyed topic, which may not exist yet.

        The first is not asked for again: nothing is lost with it.
        """
        tries = PAGE_TRIES if 'after' in query else 1
        while True:
            tries -= 1
            try:
                status, response = await self.call(
                    'GET', '/-/log-newest', query
                )
                break
            except errors.ResultError:
                if not tries:
                    raise
            await asyncio.sleep(PAGE_RETRY_S)
        if status == 404:
            return _Newest()
        _check_status(status, '/-/log-newest')
        return _decode_json(response, _Newest)

    async def read_keyed(
        self, topic: str, start: int, *, wait_s: float
    ) -> ports.KeyedRecords | None:
        """Reads keyed records; None if start is no longer in the log."""
        read = await self.read(KEYED_PREFIX + topic, 0, start, wait_s=wait_s)
        if read.trimmed or read.end < start:
            return None
        end = read.start + len(read.records)
        return ports.KeyedRecords(
            records=tuple(_decode_keyed(record) for record in read.records),
            end=end,
            is_last=end >= read.end,
        )

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes the newest record of a key."""
        record = _encode_keyed(key, value)
        await self.append(KEYED_PREFIX + topic, 0, [record])

    async def remove(self, topic: str, key: str, end: int) -> bool:
        """Removes a key if the topic still ends at an offset."""
        query: dict[str, str | int] = {
            'Topic': KEYED_PREFIX + topic,
            'part': 0,
            'At': end,
        }
        body = _frame_all([_encode_keyed(key, b'')])
        status, _ = await self.call('POST', '/-/log-append', query, body)
        if status == CONDITION_FAILED:
            return False
        _check_status(status, '/-/log-append')
        return True


def _decode_json(response: bytes, kind: type[_T]) -> _T:
    """Decodes a JSON response; raises ResultError APPEND_UNCONFIRMED."""
    try:
        return msgspec.json.decode(response, type=kind)
    except decoding.DECODE_ERRORS as error:
        raise errors.ResultError(
            codes.APPEND_UNCONFIRMED, f'invalid response: {error}'
        ) from error


def _decode_items(items: list[msgspec.Raw]) -> list[ports.KeyedRecord]:
    """Decodes the records of a page; leaves out those without a key.

    One whose value cannot be decoded has an empty value: its key is there,
    and none of its readers can decode that.
    """
    found = []
    for raw in items:
        try:
            item = _ITEM_DECODER.decode(raw)
        except decoding.DECODE_ERRORS:
            continue
        found.append(
            ports.KeyedRecord(key=item.Key, value=_decode_value(item))
        )
    return found


def _decode_value(item: _Item) -> bytes:
    """Returns a record's value; empty if it is not valid base64."""
    if not isinstance(item.Value, str):
        return b''
    try:
        return base64.b64decode(item.Value, validate=True)
    except ValueError:
        return b''


def _check_status(status: int, path: str) -> None:
    if status != 200:
        raise errors.ResultError(
            codes.APPEND_UNCONFIRMED, f'{path}: status {status}'
        )


def _decode_records(data: bytes, start: int) -> ports.LogRecords:
    """Decodes the records of a read, up to one that was cut.

    Raises ResultError APPEND_UNCONFIRMED if that is the first.
    """
    if len(data) < _OFFSETS.size:
        raise errors.ResultError(
            codes.APPEND_UNCONFIRMED, 'the response has no offsets'
        )
    end, first = _OFFSETS.unpack_from(data)
    at = _OFFSETS.size
    records = []
    while at + _RECORD_LENGTH.size <= len(data):
        (length,) = _RECORD_LENGTH.unpack_from(data, at)
        if at + _RECORD_LENGTH.size + length > len(data):
            break
        at += _RECORD_LENGTH.size
        records.append(data[at : at + length])
        at += length
    if at < len(data) and not records:
        raise errors.ResultError(
            codes.APPEND_UNCONFIRMED, 'the first record was cut'
        )
    return ports.LogRecords(
        start=start, records=tuple(records), end=end, first=first
    )


def _frame_all(
    records: collections.abc.Sequence[ports.Record],
) -> buffering.Pieces:
    """Returns records, each after its length."""
    parts: list[ports.Record] = []
    for record in records:
        parts += [_RECORD_LENGTH.pack(len(record)), record]
    return buffering.Pieces(parts=tuple(parts))


def _encode_keyed(key: str, value: bytes) -> bytes:
    """Encodes a keyed record; one without a value removes the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def _decode_keyed(record: bytes) -> ports.KeyedRecord:
    length = record[0] if record else 0
    key = record[1 : 1 + length].decode('utf-8', 'replace')
    value = record[1 + length :]
    return ports.KeyedRecord(key=key, value=value or None)
