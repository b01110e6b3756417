"""Bounds the descriptors that the connections of callers take in one process."""

import threading
import time
from typing import Any

from poplarfold._internal.http.closing_sockets import ClosingSockets

__all__ = ["OpenConnections"]

# The part of the limit that is closed at once, since choosing takes a pass over all.
CLOSED_SHARE = 1 / 32
# Within this time, threads close the connections that are cut; if they do not, more
# are cut.
CUT_S = 1.0


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
        # When connections were cut that are still open, the earliest first.
        self.cut_at: dict[Any, float] = {}

    def add(self, connection: Any) -> None:
        """Count a new connection, and close others if there are too many.

        Like in ``free``, connections that are about to be closed count as closed.
        """
        with self.lock:
            self.connections[connection] = None
            excess = len(self.connections) - self._count_cut() - self.limit
        excess += self.closing_sockets.count()
        excess = self._close_closing(excess)
        if excess > 0:
            self._evict(excess + int(CLOSED_SHARE * self.limit), connection)

    def remove(self, connection: Any) -> None:
        """Forget a connection that has been closed."""
        with self.lock:
            self.connections.pop(connection, None)
            self.cut_at.pop(connection, None)

    def free(self, count: int) -> None:
        """Close up to ``count`` sockets and connections without a whole request.

        Connections that are about to be closed count, so that calls in quick succession
        do not close all.
        """
        count = self._close_closing(count)
        with self.lock:
            count -= self._count_cut()
        if count > 0:
            self._evict(count)

    def begin_request(self, connection: Any) -> bool:
        """Keep a connection while its request is served; return False if it is closed.

        A request on a connection that is closed for others must not run, since its
        answer could not be sent.
        """
        with self.lock:
            connection.is_busy = not connection.is_evicted
            return bool(connection.is_busy)

    def _count_cut(self) -> int:
        """Return how many open connections are about to be closed. The lock is held."""
        cut_since = time.monotonic() - CUT_S
        while self.cut_at:
            oldest = next(iter(self.cut_at))
            if self.cut_at[oldest] > cut_since:
                break
            del self.cut_at[oldest]
        return len(self.cut_at)

    def _close_closing(self, count: int) -> int:
        """Close sockets that are closing; return how many are missing."""
        return count - self.closing_sockets.close_oldest(count) if count > 0 else count

    def _evict(self, count: int, newest: Any = None) -> None:
        """Close connections without a whole request, those of no use first."""
        with self.lock:
            kept = [row for row in self.connections if not row.is_evicted]
            rows = [row for row in kept if not row.is_busy and row is not newest]
            rows.sort(key=lambda row: (row.requests_served > 0, row.idle_since))
            victims = rows[:count]
            excess = len(kept) - len(victims) - self.limit - self.busy_extra
            if newest is not None and excess > 0:
                victims.append(newest)
            self.evicted += len(victims)
            now = time.monotonic()
            for row in victims:
                row.is_evicted = True
                self.cut_at[row] = now
        for row in victims:
            row.evict()
