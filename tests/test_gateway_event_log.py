"""Tests of the rate-limited, non-blocking log."""

import collections.abc
import io
import os
import threading
import time

import pytest

from oleanderdrift.gateway import clock
from oleanderdrift.gateway import event_log
from oleanderdrift import logs


def test_write_does_not_block_on_a_stalled_reader() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as file:
        output = event_log.BoundedOutput(file)
        began = time.monotonic()
        for _ in range(event_log.MAX_QUEUED_BYTES // 100):
            output.write('x' * 200 + '\n')
        assert time.monotonic() - began < 5.0
        assert output.lost > 0
        # Unblocks the pending write of the writer thread.
        drain = threading.Thread(target=os.read, args=(reader, 1 << 20))
        drain.start()
        drain.join()
        os.close(reader)


@pytest.mark.parametrize('length', [10, 20_000])
def test_queue_is_bounded_by_the_length_of_its_lines(length: int) -> None:
    """Guards against long ids of callers behind a stalled reader."""
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as file:
        output = event_log.BoundedOutput(file)
        most = event_log.MAX_QUEUED_BYTES
        each = length + event_log.TEXT_BYTES
        for _ in range(6 * most // each):
            output.write('x' * length)
        queued = len(output.lines.queue) * each
        assert most / 2 < queued < most + each
        assert queued == output.lines.size
        assert output.lost > 0
        drain = threading.Thread(target=os.read, args=(reader, 1 << 22))
        drain.start()
        drain.join()
        os.close(reader)


def test_number_of_lost_lines_is_logged() -> None:
    written = threading.Event()

    class File(io.StringIO):
        """Signals when a batch was written."""

        def flush(self) -> None:
            """Signals that the batch was written."""
            written.set()

    file = File()
    output = event_log.BoundedOutput(file)
    output.lost = 3
    output.write('event=a\n')
    assert written.wait(10)
    assert file.getvalue() == 'event=a\nevent=lines-lost n=3\n'


def test_line_that_cannot_be_encoded_does_not_end_the_log() -> None:
    data = io.BytesIO()
    file = io.TextIOWrapper(data, encoding='ascii', write_through=True)
    output = event_log.BoundedOutput(file)
    output.write('event=request request=\xe9\n')
    wait_until(lambda: output.lost == 1)
    output.write('event=b\n')
    output.close()
    assert data.getvalue() == b'event=b\nevent=lines-lost n=1\n'


def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Waits until the condition is true."""
    until = time.monotonic() + 5.0
    while not condition() and time.monotonic() < until:
        time.sleep(0.001)


def test_each_kind_of_event_is_rate_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    now = [100.0]
    monkeypatch.setattr(clock, 'monotonic', lambda: now[0])
    monkeypatch.setattr(
        logs, 'info', lambda event, **values: lines.append(event)
    )
    events = event_log.EventLog()
    for _ in range(event_log.LINES_PER_S + 40):
        events.info('request')
    events.info('other')
    assert lines.count('request') == event_log.LINES_PER_S
    assert lines[-1] == 'other'
    now[0] = 101.0
    events.info('request')
    assert lines[-2:] == ['lines-left-out', 'request']


def test_close_writes_the_queued_lines() -> None:
    file = io.StringIO()
    output = event_log.BoundedOutput(file)
    for number in range(50):
        output.write(f'event=stop n={number}\n')
    output.close()
    assert file.getvalue().count('event=stop') == 50


def test_close_does_not_wait_for_a_stalled_reader() -> None:
    reader, writer = os.pipe()
    with os.fdopen(writer, 'w') as file:
        output = event_log.BoundedOutput(file)
        output.write('x' * 200_000)
        began = time.monotonic()
        output.close()
        assert time.monotonic() - began < 5.0
        drain = threading.Thread(target=os.read, args=(reader, 1 << 20))
        drain.start()
        drain.join()
        os.close(reader)
