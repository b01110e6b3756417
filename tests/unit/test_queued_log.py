"""Logs must never hold up a call."""

import os
import time

import pytest

from poplarfold._internal.logs.queued import QueuedStream
from poplarfold._internal.logs.writer import EventWriter


def test_reader_that_stops_holds_nobody_up():
    """Guards against calls that wait for whoever reads standard output."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=100)
    writer = EventWriter(stream, "me", 1)
    started = time.monotonic()
    for _ in range(20_000):
        writer.write_event("PF1104", "c", {"service": "x" * 100})
    assert time.monotonic() - started < 10.0
    assert writer.lost_events > 0
    os.close(reading)
    os.close(writing)


def test_lines_come_out_in_order_and_whole():
    """Guards against lines that are lost at the end of the process."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=100)
    for number in range(50):
        stream.write(f"{number}\n")
    stream.close()
    os.close(writing)
    with os.fdopen(reading) as source:
        assert source.read().split() == [str(number) for number in range(50)]


def test_full_queue_tells_its_writer():
    """Guards against lost lines that nobody counts."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=1)
    with pytest.raises(BlockingIOError):
        for _ in range(100_000):
            stream.write(b"x" * 1000)
    os.close(reading)
    os.close(writing)
