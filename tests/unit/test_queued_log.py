"""Tests that logging never blocks a call."""

import os
import time

import pytest

from poplarfold._internal.logs.queued import QueuedStream
from poplarfold._internal.logs.writer import EventWriter


def end_with_unread_lines(stream: QueuedStream, reading: int, writing: int) -> None:
    """End the thread of a stream whose lines nobody reads, then close its pipe.

    The closed reading end makes the writes of the thread fail. The writing end
    stays open until the thread has ended. Otherwise the pipe of the next test can
    get the same descriptor, and the thread would write its lines there.
    """
    os.close(reading)
    stream.close(timeout_s=10.0)
    assert not stream.thread.is_alive()
    os.close(writing)


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
    end_with_unread_lines(stream, reading, writing)


def test_lines_are_complete_and_in_order():
    """Guards against lines that are lost when the stream is closed."""
    reading, writing = os.pipe()
    stream = QueuedStream(writing, limit_lines=100)
    for number in range(50):
        stream.write(f"{number}\n")
    stream.close(timeout_s=10.0)
    assert not stream.thread.is_alive()
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
    end_with_unread_lines(stream, reading, writing)
