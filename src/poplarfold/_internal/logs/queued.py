"""A stream that never blocks its writers, with a bounded queue and one thread."""

import os
import threading
from collections import deque

__all__ = ["QueuedStream"]


class QueuedStream:
    """Queues lines for a file descriptor and drops new ones when the queue is full.

    ``write`` raises an OSError for a dropped line, so that the event writer counts
    it and reports the number of lost events in its next line.
    """

    def __init__(self, descriptor: int, limit_lines: int) -> None:
        self.descriptor = descriptor
        self.limit_lines = limit_lines
        self.lines: deque[bytes] = deque()
        self.condition = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self.run, name="log-writer", daemon=True)
        self.thread.start()

    def write(self, data: bytes | str) -> int:
        """Queue one line. Raises BlockingIOError if the queue is full."""
        line = data.encode() if isinstance(data, str) else data
        if line:
            with self.condition:
                if len(self.lines) >= self.limit_lines:
                    raise BlockingIOError("the log queue is full")
                self.lines.append(line)
                self.condition.notify()
        return len(data)

    def flush(self) -> None:
        """Do nothing; only the thread writes queued lines."""

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the queued lines. Stop waiting after ``timeout_s``."""
        with self.condition:
            self.closing = True
            self.condition.notify()
        self.thread.join(timeout_s)

    def run(self) -> None:
        """Write the lines in the order of their arrival."""
        while True:
            with self.condition:
                while not self.lines:
                    if self.closing:
                        return
                    self.condition.wait()
                data = b"".join(self.lines)
                self.lines.clear()
            try:
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader of the log has closed it, so the failure cannot be logged.
                continue
