"""A stand-in for the platform's store, with faults to order."""

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

LENGTH: typing.Final = struct.Struct('>I')
OFFSETS: typing.Final = struct.Struct('>QQ')
POLL_S: typing.Final = 0.005


class Fault(enum.Enum):
    """How the store misbehaves."""

    NONE = enum.auto()
    # Nothing is done.
    BUSY = enum.auto()
    # Nothing is done and nothing is said.
    SILENT = enum.auto()
    # Appends take effect and are not answered.
    LOST = enum.auto()


@attrs.define(kw_only=True)
class Partition:
    """The records of one partition; those before first are gone."""

    records: list[bytes] = attrs.field(factory=list)
    first: int = 0


@attrs.define(kw_only=True)
class Store:
    """All topics, and how the store behaves; calls counts requests."""

    fault: Fault = Fault.NONE
    calls: int = 0
    partitions: dict[tuple[str, int], Partition] = attrs.field(factory=dict)

    def partition(self, topic: str, part: int) -> Partition:
        """Returns a partition, new where it does not exist."""
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a key's newest record, as operators and upstreams do."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        self.partition(topic, 0).records.append(record)

    def drop_history(self, topic: str) -> None:
        """Drops a topic's records; the newest of each key stay known."""
        found = self.partition(topic, 0)
        found.first = len(found.records)

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns the newest offset and value of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        records = self.partition(topic, 0).records
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found


class _Handler(web.RequestHandler):
    """What all calls share."""

    def initialize(self, store: Store) -> None:
        """Takes the store."""
        self.store = store

    async def prepare(self) -> None:
        """Misbehaves as ordered."""
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
        """Returns the partition that the call names."""
        part = int(self.get_query_argument('part'))
        return self.store.partition(self.get_query_argument('Topic'), part)


class _Append(_Handler):
    """Appends all records of a call."""

    def post(self) -> None:
        """Answers with the first record's offset."""
        data = self.request.body
        found = self.partition()
        start = len(found.records)
        at = 0
        while at < len(data):
            (length,) = LENGTH.unpack_from(data, at)
            at += LENGTH.size
            found.records.append(data[at : at + length])
            at += length
        if self.store.fault is Fault.LOST:
            self.detach().close()
            return
        end = len(found.records)
        self.finish(json.dumps({'Offset': start, 'EndOffset': end}))


class _Read(_Handler):
    """Reads records, and waits for the first."""

    async def get(self) -> None:
        """Answers with the end, the first offset and the records."""
        found = self.partition()
        start = int(self.get_query_argument('From'))
        if start < found.first:
            self.set_status(410)
            self.finish(json.dumps({'FirstOffset': found.first}))
            return
        wait_s = int(self.get_query_argument('WaitMs', '0')) / 1_000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(found.records) <= start and loop.time() < until:
            await asyncio.sleep(POLL_S)
        most = int(self.get_query_argument('MaxKb', '1024')) * 1024
        self.write(OFFSETS.pack(len(found.records), found.first))
        size = 0
        for record in found.records[start:]:
            size += len(record)
            if size > most and size > len(record):
                break
            self.write(LENGTH.pack(len(record)) + record)
        self.finish()


class _Newest(_Handler):
    """Returns the newest record of each key, two a page."""

    def get(self) -> None:
        """Answers with one page."""
        topic = self.get_query_argument('Topic')
        after = self.get_query_argument('after', '')
        found = sorted(self.store.newest(topic).items())
        rest = [one for one in found if one[0] > after]
        items = [
            {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in rest[:2]
        ]
        end = len(self.store.partition(topic, 0).records)
        self.finish(
            json.dumps(
                {
                    'items': items,
                    'HasMore': len(rest) > 2,
                    'EndOffset': end,
                }
            )
        )


@attrs.define(kw_only=True)
class Running:
    """A store that listens."""

    store: Store
    port: int
    server: httpserver.HTTPServer

    def stop(self) -> None:
        """Stops to listen."""
        self.server.stop()


def start() -> Running:
    """Starts a store on a port of its own."""
    store = Store()
    given = {'store': store}
    application = web.Application(
        [
            ('/-/log-append', _Append, given),
            ('/-/log-read', _Read, given),
            ('/-/log-newest', _Newest, given),
        ],
        log_function=lambda handler: None,
    )
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    return Running(
        store=store, port=sockets[0].getsockname()[1], server=server
    )
