"""Rate-limited logging that never blocks on a slow reader.

A thread writes the lines from a bounded queue.  Each kind of event may
log a limited number of lines per second; a line reports how many were
left out.
"""

import collections
import queue
import sys
import threading
import time
import typing

import attrs

from oleanderdrift.gateway import clock
from oleanderdrift import logs

# Twice the requests per second of an instance's share of a burst.
LINES_PER_S: typing.Final = 60
# Lines have ids of callers, which may be long.  A text of any length takes
# some bytes besides.
MAX_QUEUED_BYTES: typing.Final = 1_048_576
TEXT_BYTES: typing.Final = 64
# Lines are collected this long, as each write costs a thread wake-up.
BATCH_DELAY_S: typing.Final = 0.05
# A reader that has stalled must not hold up the exit of the process.
CLOSE_TIMEOUT_S: typing.Final = 0.5


@attrs.define(kw_only=True)
class _Window:
    """The number of lines of one kind in the current second."""

    second: int = 0
    written: int = 0
    left_out: int = 0


class _TextQueue(queue.Queue[str | None]):
    """A queue whose size is that of its texts, in bytes."""

    def _init(self, maxsize: int) -> None:
        """Prepares an empty queue."""
        super()._init(maxsize)
        self.size = 0

    def _qsize(self) -> int:
        """Returns the size; that of the end counts as well."""
        return self.size

    def _put(self, item: str | None) -> None:
        """Adds a text."""
        super()._put(item)
        self.size += _size(item)

    def _get(self) -> str | None:
        """Removes the oldest text."""
        item = super()._get()
        self.size -= _size(item)
        return item


def _size(item: str | None) -> int:
    return len(item or '') + TEXT_BYTES


class BoundedOutput:
    """A text stream that never blocks; lines that do not fit are lost."""

    def __init__(self, file: typing.TextIO) -> None:
        self.file = file
        self.lines = _TextQueue(MAX_QUEUED_BYTES)
        self.lost = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def write(self, text: str) -> int:
        """Queues a text, or counts it as lost."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing; the writer thread flushes."""

    def close(self) -> None:
        """Writes the queued lines, within CLOSE_TIMEOUT_S at most."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            # The queue is full only if the reader has stalled.
            return
        self.thread.join(CLOSE_TIMEOUT_S)

    def run(self) -> None:
        """Writes queued lines in batches until the output is closed."""
        closing = False
        while not closing:
            queued = [self.lines.get()]
            if queued[0] is not None:
                time.sleep(BATCH_DELAY_S)
            while not self.lines.empty():
                queued.append(self.lines.get())
            closing = None in queued
            texts = [text for text in queued if text is not None]
            if self.lost:
                texts.append(f'event=lines-lost n={self.lost}\n')
                self.lost = 0
            try:
                self.file.write(''.join(texts))
                self.file.flush()
            except (OSError, ValueError):
                # The reader is gone or cannot take a character of a line, so
                # the failure cannot be logged.
                self.lost += len(texts)


class EventLog:
    """Logs events, with a limit per second on each kind."""

    def __init__(self) -> None:
        self.windows: collections.defaultdict[str, _Window] = (
            collections.defaultdict(lambda: _Window())
        )

    def info(self, event: str, **values: object) -> None:
        """Logs an event unless its kind has reached its limit."""
        second = int(clock.monotonic())
        window = self.windows[event]
        if window.second != second:
            if window.left_out:
                logs.info('lines-left-out', kind=event, n=window.left_out)
            window.second = second
            window.written = window.left_out = 0
        if window.written >= LINES_PER_S:
            window.left_out += 1
            return
        window.written += 1
        logs.info(event, **values)


def set_up() -> None:
    """Logs to standard output without blocking on it."""
    output = typing.cast(typing.TextIO, BoundedOutput(sys.stdout))
    logs.set_up(output)
