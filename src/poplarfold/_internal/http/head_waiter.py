"""Waits for the heads of requests, so that no request thread does.

A caller may open a connection long before it sends a request, or send a head a byte at
a time. A thread that reads such a connection serves nobody meanwhile, and some hundred
of them would take all threads of a listener.
"""

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from poplarfold._internal.http.epoll_thread import start_epoll_thread

__all__ = ["HeadWaiter", "has_whole_head", "is_head_complete"]

CHECK_PERIOD_S = 0.1
# An empty line ends a head. Whether its line ends are valid is checked by the parser.
HEAD_ENDS = (b"\n\r\n", b"\n\n")


def is_head_complete(
    sock: socket.socket, limit_bytes: int, received: bytes = b""
) -> bool | None:
    """Return whether a request's whole head can be read now; None without any byte.

    ``received`` has been read from the socket before. A head that has reached the
    limit, and a connection that has ended, count as complete: their reader finds out
    without waiting. The socket must be non-blocking.
    """
    try:
        data = sock.recv(limit_bytes, socket.MSG_PEEK)
    except BlockingIOError:
        if not received:
            return None
        data = b""
    except OSError:
        return True
    else:
        if not data:
            return True
    data = received + data
    return has_whole_head(data) or len(data) >= limit_bytes


def has_whole_head(data: bytes) -> bool:
    """Return whether bytes contain the end of a head."""
    return any(end in data for end in HEAD_ENDS)


class HeadWaiter:
    """Connections that have sent a part of a head. Thread-safe.

    ``on_ready`` gets a connection once its head is complete, or its time is over. The
    thread starts with the first connection.
    """

    def __init__(self, on_ready: Callable[[Any], None], limit_bytes: int) -> None:
        self.on_ready = on_ready
        self.limit_bytes = limit_bytes
        self.lock = threading.Lock()
        self.has_connections = threading.Condition(self.lock)
        # By descriptor: the connection and when its time is over.
        self.connections: dict[int, tuple[Any, float]] = {}
        self.epoll: select.epoll | None = None

    def add(self, connection: Any, until: float) -> None:
        """Wait for the rest of a head, until a monotonic time at the latest.

        Raises OSError without a descriptor, a thread or memory for it.
        """
        descriptor = connection.socket.fileno()
        with self.lock:
            if self.epoll is None:
                self.epoll = start_epoll_thread("heads", self._run)
            self.connections[descriptor] = (connection, until)
            # Edge-triggered: bytes that have been seen already wake nobody again.
            try:
                self.epoll.register(descriptor, select.EPOLLIN | select.EPOLLET)
            except OSError:
                del self.connections[descriptor]
                raise
            self.has_connections.notify()

    def _run(self, epoll: select.epoll) -> None:
        """Pass on connections whose heads are complete or whose time is over."""
        check_at = 0.0
        while True:
            with self.lock:
                while not self.connections:
                    self.has_connections.wait()
            for descriptor, events in epoll.poll(CHECK_PERIOD_S):
                self._check_head(descriptor, bool(events & select.EPOLLHUP))
            now = time.monotonic()
            if now >= check_at:
                check_at = now + CHECK_PERIOD_S
                self._pass_on_late(now)

    def _check_head(self, descriptor: int, has_ended: bool) -> None:
        """Pass on a connection with new bytes if its head is complete.

        So is one that has been cut: its unread bytes hide the end from a peek.
        """
        row = self.connections.get(descriptor)
        if row is None:
            return
        connection, _ = row
        received = connection.rfile.buffered()
        if has_ended or is_head_complete(connection.socket, self.limit_bytes, received):
            self._pass_on(descriptor, connection)

    def _pass_on_late(self, now: float) -> None:
        """Pass on the connections whose time is over."""
        with self.lock:
            rows = list(self.connections.items())
        for descriptor, (connection, until) in rows:
            if now >= until:
                self._pass_on(descriptor, connection)

    def _pass_on(self, descriptor: int, connection: Any) -> None:
        """Stop waiting for a connection."""
        with self.lock:
            del self.connections[descriptor]
            assert self.epoll is not None
            self.epoll.unregister(descriptor)
        self.on_ready(connection)
