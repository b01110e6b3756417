"""Tests of the thread that waits for the heads of requests."""

import queue
import socket
import time
from types import SimpleNamespace

from poplarfold._internal.http.head_waiter import CHECK_PERIOD_S, HeadWaiter

LIMIT_BYTES = 1000


class CountingDict(dict):
    """Counts how often all rows are looked at."""

    passes = 0

    def items(self):
        self.passes += 1
        return super().items()


def test_bytes_of_one_head_do_not_check_all_connections():
    """Guards against callers that send heads a byte at a time and occupy the
    interpreter, since each byte has all waiting connections looked at."""
    ready = queue.SimpleQueue()
    waiter = HeadWaiter(ready.put, LIMIT_BYTES)
    waiter.connections = CountingDict()
    near, far = socket.socketpair()
    near.setblocking(False)
    connection = SimpleNamespace(
        socket=near, rfile=SimpleNamespace(buffered=lambda: b"")
    )
    with near, far:
        started_at = time.monotonic()
        waiter.add(connection, started_at + 60.0)
        for _ in range(60):
            far.sendall(b"x")
            time.sleep(0.003)
        # Counted before the time is taken: the thread goes on counting in between.
        passes = waiter.connections.passes
        passed_s = time.monotonic() - started_at
        assert passes <= 2 + passed_s / CHECK_PERIOD_S
        far.sendall(b"\r\n\r\n")
        assert ready.get(timeout=10) is connection
        waiter.add(connection, time.monotonic() + 0.05)
        assert ready.get(timeout=10) is connection
