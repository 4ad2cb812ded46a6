"""Stand-in for the platform's store, with faults that a test can set."""

import asyncio
import base64
import enum
import json
import struct
import typing

import attrs
from tornado import httpserver
from tornado import netutil
from tornado import web

RECORD_LENGTH: typing.Final = struct.Struct('>I')
OFFSETS: typing.Final = struct.Struct('>QQ')
POLL_S: typing.Final = 0.005


class Fault(enum.Enum):
    """A fault of the store."""

    NONE = enum.auto()
    # Every request is answered with 503 and has no effect.
    BUSY = enum.auto()
    # Requests have no effect and are never answered.
    SILENT = enum.auto()
    # Appends take effect, but the connection closes without an answer.
    LOST = enum.auto()


@attrs.define(kw_only=True)
class Partition:
    """The records of one partition; reads start at offset first."""

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0


@attrs.define(kw_only=True)
class Store:
    """All partitions, the present fault and the number of requests."""

    fault: Fault = Fault.NONE
    calls: int = 0
    partitions: dict[tuple[str, int], Partition] = attrs.field(factory=dict)

    def partition(self, topic: str, part: int) -> Partition:
        """Returns a partition, creating it on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record, as operators and upstreams do."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic, 0).records.append(record)

    def drop_history(self, topic: str) -> None:
        """Makes a topic's records unreadable, except the newest per key."""
        partition = self.partition(topic, 0)
        partition.first = len(partition.records)

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns the newest offset and value of each key.

        An empty value deletes the key.
        """
        newest: dict[str, tuple[int, bytes]] = {}
        records = self.partition(topic, 0).records
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                newest[key] = (offset, value)
            else:
                newest.pop(key, None)
        return newest


class _Handler(web.RequestHandler):
    """Base of the handlers: applies faults and finds the partition."""

    def initialize(self, store: Store) -> None:
        """Sets the store."""
        self.store = store

    async def prepare(self) -> None:
        """Counts the request and applies the fault."""
        self.store.calls += 1
        match self.store.fault:
            case Fault.BUSY:
                self.set_status(503)
                self.finish()
            case Fault.SILENT:
                await asyncio.Event().wait()
            case _:
                pass

    def partition(self) -> Partition:
        """Returns the partition that the query names."""
        part = int(self.get_query_argument('part'))
        return self.store.partition(self.get_query_argument('Topic'), part)


class _Append(_Handler):
    """Handles appends of several length-prefixed records."""

    def post(self) -> None:
        """Answers with the first record's offset and the end offset.

        An append elsewhere than at the end that the query expects, if any,
        is answered with 412.
        """
        data = self.request.body
        partition = self.partition()
        start = len(partition.records)
        if int(self.get_query_argument('At', str(start))) != start:
            self.set_status(412)
            self.finish(json.dumps({'EndOffset': start}))
            return
        position = 0
        while position < len(data):
            (length,) = RECORD_LENGTH.unpack_from(data, position)
            position += RECORD_LENGTH.size
            partition.records.append(data[position : position + length])
            position += length
        if self.store.fault is Fault.LOST:
            self.detach().close()
            return
        end = len(partition.records)
        self.finish(json.dumps({'Offset': start, 'EndOffset': end}))


class _Read(_Handler):
    """Handles reads, with an optional wait for the first record."""

    async def get(self) -> None:
        """Answers with the end offset, the first offset and records.

        A start before the first offset is answered with 410.
        """
        partition = self.partition()
        start = int(self.get_query_argument('From'))
        if start < partition.first:
            self.set_status(410)
            self.finish(json.dumps({'FirstOffset': partition.first}))
            return
        wait_s = int(self.get_query_argument('WaitMs', '0')) / 1_000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while len(partition.records) <= start and loop.time() < deadline:
            await asyncio.sleep(POLL_S)
        max_bytes = int(self.get_query_argument('MaxKb', '1024')) * 1024
        self.write(OFFSETS.pack(len(partition.records), partition.first))
        size = 0
        for record in partition.records[start:]:
            size += len(record)
            if size > max_bytes and size > len(record):
                break
            self.write(RECORD_LENGTH.pack(len(record)) + record)
        self.finish()


class _Newest(_Handler):
    """Handles reads of the newest record of each key, two per page."""

    def get(self) -> None:
        """Answers with the page that follows the key in the query."""
        topic = self.get_query_argument('Topic')
        after = self.get_query_argument('after', '')
        entries = sorted(self.store.newest(topic).items())
        remaining = [entry for entry in entries if entry[0] > after]
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in remaining[:2]
        ]
        end = len(self.store.partition(topic, 0).records)
        self.finish(
            json.dumps(
                {
                    'items': items,
                    'HasMore': len(remaining) > 2,
                    'EndOffset': end,
                }
            )
        )


@attrs.define(kw_only=True)
class RunningStore:
    """A listening store."""

    store: Store
    port: int
    server: httpserver.HTTPServer

    def stop(self) -> None:
        """Stops listening."""
        self.server.stop()


def start() -> RunningStore:
    """Starts a store on a free loopback port."""
    store = Store()
    handler_arguments = {'store': store}
    application = web.Application(
        [
            ('/-/log-append', _Append, handler_arguments),
            ('/-/log-read', _Read, handler_arguments),
            ('/-/log-newest', _Newest, handler_arguments),
        ],
        log_function=lambda handler: None,
    )
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    return RunningStore(
        store=store, port=sockets[0].getsockname()[1], server=server
    )
