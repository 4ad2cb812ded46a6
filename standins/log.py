"""Stand-in of the platform's append-only log service with offsets."""

import asyncio
import collections
import time
import typing

import attrs
import msgspec
import tornado.web

from standins import faults
from standins import serving

MAX_LIMIT: typing.Final = 10_000


@attrs.define(kw_only=True)
class LogSwitches(faults.Switches):
    """The log's faults.

    lose_answer is how many coming appends take effect and then close the
    connection without an answer.  retention is how many records each
    stream keeps; 0 keeps all.
    """

    lose_answer: int = 0
    retention: int = 0


@attrs.frozen(kw_only=True)
class Record:
    """A record of a stream."""

    offset: int
    time_ms: int
    data: bytes


@attrs.define(kw_only=True)
class Stream:
    """A stream of records, with an event for those who wait for more."""

    first: int = 1
    records: collections.deque[Record] = attrs.field(factory=collections.deque)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next(self) -> int:
        """The offset that the next record will have."""
        return self.first + len(self.records)

    def append(self, data: bytes, now: float) -> Record:
        """Adds a record and wakes the readers."""
        record = Record(offset=self.next, time_ms=int(now * 1000), data=data)
        self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return record

    def trim(self, retention: int) -> None:
        """Drops the oldest records past the retention."""
        while retention and len(self.records) > retention:
            self.records.popleft()
            self.first += 1

    def slice(self, start: int, limit: int) -> list[Record]:
        """Returns up to limit records from the offset start."""
        index = max(start, self.first) - self.first
        stop = min(index + limit, len(self.records))
        return [self.records[place] for place in range(index, stop)]


@attrs.define(kw_only=True)
class Log:
    """All streams, and counters of what was asked."""

    streams: dict[str, Stream] = attrs.field(factory=dict)
    appends: int = 0
    reads: int = 0
    lost_answers: int = 0

    def stream(self, name: str) -> Stream:
        """Returns a stream, made at its first use."""
        return self.streams.setdefault(name, Stream())


class RecordsHandler(serving.Handler):
    """Appends to and reads from one stream."""

    log: Log

    @property
    def switches(self) -> LogSwitches:
        """The log's switches."""
        return typing.cast(LogSwitches, self.frame.switches)

    async def post(self, name: str) -> None:
        """Appends the body as one record."""
        stream = self.log.stream(name)
        record = stream.append(self.request.body, time.time())
        stream.trim(self.switches.retention)
        self.log.appends += 1
        if self.switches.lose_answer:
            self.switches.lose_answer -= 1
            self.log.lost_answers += 1
            self.cut()
        answer = {'offset': record.offset, 'time_ms': record.time_ms}
        self.write_json(answer, 201)

    async def get(self, name: str) -> None:
        """Answers with records, after a bounded wait if there is none."""
        start = int(self.get_argument('from', '1'))
        limit = min(int(self.get_argument('limit', '1000')), MAX_LIMIT)
        wait_s = int(self.get_argument('wait_ms', '0')) / 1000
        self.log.reads += 1
        stream = self.log.stream(name)
        stream.trim(self.switches.retention)
        if start >= stream.next and wait_s:
            await self.wait_grown(stream, wait_s)
            await self.outage_gate()
        answer = {
            'first': stream.first,
            'next': stream.next,
            'records': stream.slice(start, limit),
        }
        self.set_header('Content-Type', 'application/msgpack')
        self.finish(msgspec.msgpack.encode(answer))

    async def wait_grown(self, stream: Stream, wait_s: float) -> None:
        """Waits for a record, the time or the client's end."""
        waits = [
            asyncio.ensure_future(stream.grown.wait()),
            asyncio.ensure_future(self.closed.wait()),
        ]
        await asyncio.wait(
            waits, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in waits:
            wait.cancel()
        if self.closed.is_set():
            raise tornado.web.Finish()


def make_app(switches: LogSwitches | None = None) -> serving.Application:
    """Returns the log service as an application."""
    log = Log()

    def report() -> dict[str, typing.Any]:
        return {
            'appends': log.appends,
            'reads': log.reads,
            'lost_answers': log.lost_answers,
            'next': {name: one.next for name, one in log.streams.items()},
        }

    return serving.make_application(
        faults.Frame(switches=switches or LogSwitches()),
        [(r'/v1/streams/([\w.-]+)/records', RecordsHandler)],
        report,
        log=log,
    )


def main() -> None:
    """Runs the log service until SIGTERM."""
    options = serving.parser(__doc__ or '').parse_args()
    asyncio.run(serving.serve(make_app(), options.address, options.port))


if __name__ == '__main__':
    main()
