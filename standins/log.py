"""Stand-in for the platform's append-only log service."""

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

    lose_answer is the number of coming appends that take effect but close
    the connection without an answer.  retention is the number of records
    that each stream keeps; 0 keeps all.
    """

    lose_answer: int = 0
    retention: int = 0


@attrs.frozen(kw_only=True)
class Record:
    """One record of a stream."""

    offset: int
    time_ms: int
    data: bytes


@attrs.define(kw_only=True)
class Stream:
    """A stream of records; first is the oldest offset kept.

    appended is set, and replaced by a new event, at each append.
    """

    first: int = 1
    records: collections.deque[Record] = attrs.field(factory=collections.deque)
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes, now: float) -> Record:
        """Appends a record and wakes the waiting readers."""
        record = Record(offset=self.next, time_ms=int(now * 1000), data=data)
        self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()
        return record

    def trim(self, retention: int) -> None:
        """Drops the oldest records beyond the retention."""
        while retention and len(self.records) > retention:
            self.records.popleft()
            self.first += 1

    def slice(self, start: int, limit: int) -> list[Record]:
        """Returns up to limit records from offset start on."""
        start_index = max(start, self.first) - self.first
        stop_index = min(start_index + limit, len(self.records))
        return [
            self.records[index] for index in range(start_index, stop_index)
        ]


@attrs.define(kw_only=True)
class Log:
    """All streams, and counters of requests and lost answers."""

    streams: dict[str, Stream] = attrs.field(factory=dict)
    appends: int = 0
    reads: int = 0
    lost_answers: int = 0

    def stream(self, name: str) -> Stream:
        """Returns a stream, creating it on first use."""
        return self.streams.setdefault(name, Stream())


class RecordsHandler(serving.Handler):
    """Handles appends to and reads from one stream."""

    log: Log

    @property
    def switches(self) -> LogSwitches:
        """The log's switches."""
        return typing.cast(LogSwitches, self.state.switches)

    async def post(self, name: str) -> None:
        """Appends the body as one record."""
        stream = self.log.stream(name)
        record = stream.append(self.request.body, time.time())
        stream.trim(self.switches.retention)
        self.log.appends += 1
        if self.switches.lose_answer:
            self.switches.lose_answer -= 1
            self.log.lost_answers += 1
            self.close_connection()
        answer = {'offset': record.offset, 'time_ms': record.time_ms}
        self.write_json(answer, 201)

    async def get(self, name: str) -> None:
        """Answers with records; waits up to wait_ms if there are none."""
        start = int(self.get_argument('from', '1'))
        limit = min(int(self.get_argument('limit', '1000')), MAX_LIMIT)
        wait_s = int(self.get_argument('wait_ms', '0')) / 1000
        self.log.reads += 1
        stream = self.log.stream(name)
        stream.trim(self.switches.retention)
        if start >= stream.next and wait_s:
            await self.wait_for_append(stream, wait_s)
            await self.apply_outage()
        answer = {
            'first': stream.first,
            'next': stream.next,
            'records': stream.slice(start, limit),
        }
        self.set_header('Content-Type', 'application/msgpack')
        self.finish(msgspec.msgpack.encode(answer))

    async def wait_for_append(self, stream: Stream, wait_s: float) -> None:
        """Waits for an append, the timeout or a lost connection."""
        waits = [
            asyncio.ensure_future(stream.appended.wait()),
            asyncio.ensure_future(self.disconnected.wait()),
        ]
        await asyncio.wait(
            waits, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in waits:
            wait.cancel()
        if self.disconnected.is_set():
            raise tornado.web.Finish()


def make_app(switches: LogSwitches | None = None) -> serving.Application:
    """Returns the log service as an application."""
    log = Log()

    def report() -> dict[str, typing.Any]:
        return {
            'appends': log.appends,
            'reads': log.reads,
            'lost_answers': log.lost_answers,
            'next': {
                name: stream.next for name, stream in log.streams.items()
            },
        }

    return serving.make_application(
        faults.ServerState(switches=switches or LogSwitches()),
        [(r'/v1/streams/([\w.-]+)/records', RecordsHandler)],
        report,
        log=log,
    )


def main() -> None:
    """Runs the log service until SIGTERM."""
    options = serving.make_parser(__doc__ or '').parse_args()
    asyncio.run(serving.serve(make_app(), options.address, options.port))


if __name__ == '__main__':
    main()
