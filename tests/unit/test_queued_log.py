"""Tests that logging never blocks a call."""

import os
import time

import pytest

from poplarfold._internal.logs.queued import QueuedStream
from poplarfold._internal.logs.writer import EventWriter


def test_stalled_reader_does_not_block_writers():
    """Guards against calls that block while the reader of the log is stalled."""
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


def test_lines_are_complete_and_in_order():
    """Guards against lines that are lost when the stream is closed."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=100)
    for number in range(50):
        stream.write(f"{number}\n")
    stream.close()
    os.close(writing)
    with os.fdopen(reading) as source:
        assert source.read().split() == [str(number) for number in range(50)]


def test_full_queue_raises_an_error():
    """Guards against dropped lines that are not counted."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=1)
    with pytest.raises(BlockingIOError):
        for _ in range(100_000):
            stream.write(b"x" * 1000)
    os.close(reading)
    os.close(writing)
