"""Bounds the descriptors that the connections of callers take in one process."""

import threading
from typing import Any

from poplarfold._internal.http.closing_sockets import ClosingSockets

__all__ = ["OpenConnections"]

# The part of the limit that is closed at once, since choosing takes a pass over all.
CLOSED_SHARE = 1 / 32


class OpenConnections:
    """The open connections of callers, at most ``limit`` of them. Thread-safe.

    A new connection takes the place of one whose socket is closing, else of one that
    has not sent a whole request, else of the one that has been idle for longest.
    Connections whose request is being served are kept, also beyond the limit. If that
    leaves more than ``busy_extra`` too many, the new one is closed. Without a bound,
    the process would have no descriptors left.
    """

    def __init__(
        self, limit: int, closing_sockets: ClosingSockets, busy_extra: int = 0
    ) -> None:
        self.limit = limit
        self.busy_extra = busy_extra
        self.closing_sockets = closing_sockets
        self.lock = threading.Lock()
        # In the order of their opening.
        self.connections: dict[Any, None] = {}
        # How many connections have been closed for others.
        self.evicted = 0

    def add(self, connection: Any) -> None:
        """Count a new connection, and close others if there are too many."""
        with self.lock:
            self.connections[connection] = None
            excess = len(self.connections) - self.limit
        excess += self.closing_sockets.count()
        if excess > 0:
            excess -= self.closing_sockets.close_oldest(excess)
        if excess > 0:
            self._evict(excess + int(CLOSED_SHARE * self.limit), connection)

    def remove(self, connection: Any) -> None:
        """Forget a connection that has been closed."""
        with self.lock:
            self.connections.pop(connection, None)

    def begin_request(self, connection: Any) -> bool:
        """Keep a connection while its request is served; return False if it is closed.

        A request on a connection that is closed for others must not run, since its
        answer could not be sent.
        """
        with self.lock:
            connection.is_busy = not connection.is_evicted
            return bool(connection.is_busy)

    def _evict(self, count: int, newest: Any) -> None:
        """Close connections without a whole request, those of no use first."""
        with self.lock:
            kept = [row for row in self.connections if not row.is_evicted]
            rows = [row for row in kept if not row.is_busy and row is not newest]
            rows.sort(key=lambda row: (row.requests_served > 0, row.idle_since))
            victims = rows[:count]
            if len(kept) - len(victims) > self.limit + self.busy_extra:
                victims.append(newest)
            self.evicted += len(victims)
            for row in victims:
                row.is_evicted = True
        for row in victims:
            row.evict()
