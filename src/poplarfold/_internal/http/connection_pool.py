"""Keeps the connections to endpoints that are not in use."""

import threading
import time

from urllib3.connection import HTTPConnection

__all__ = ["ConnectionPool"]

IDLE_CONNECTIONS_PER_ADDRESS = 64
# Less than the 10 s after which common HTTP servers close an idle connection.
IDLE_TIMEOUT_S = 5.0


class ConnectionPool:
    """The connections to all endpoints on which no request is open. Thread-safe."""

    def __init__(self) -> None:
        # Per address: connections and the time of their last use, oldest first.
        self.idle: dict[str, list[tuple[HTTPConnection, float]]] = {}
        self.next_sweep_at = 0.0
        self.lock = threading.Lock()

    def take(self, address: str) -> HTTPConnection | None:
        """Return a pooled connection that is still open, or None."""
        while True:
            with self.lock:
                pooled = self.idle.get(address)
                if not pooled:
                    return None
                connection, since = pooled.pop()
            if time.monotonic() - since < IDLE_TIMEOUT_S and connection.is_connected:
                return connection
            connection.close()

    def release(
        self, address: str, connection: HTTPConnection, replaces_oldest: bool = False
    ) -> None:
        """Return a connection to the pool after its last response was read completely.

        A request that needs a new connection takes none from the pool. Its
        connection replaces the oldest pooled one (``replaces_oldest``), since such
        requests would otherwise fill the pool.
        """
        now = time.monotonic()
        with self.lock:
            unused = self._expired(now)
            pooled = self.idle.setdefault(address, [])
            if replaces_oldest and pooled:
                unused.append(pooled.pop(0)[0])
            if len(pooled) < IDLE_CONNECTIONS_PER_ADDRESS:
                pooled.append((connection, now))
            else:
                unused.append(connection)
        for other in unused:
            other.close()

    def _expired(self, now: float) -> list[HTTPConnection]:
        """Remove and return the connections that exceed the idle timeout.

        The most recently used connection of an address is reused first, so those
        that a burst of calls has opened would otherwise never be closed. The lock
        must be held.
        """
        if now < self.next_sweep_at:
            return []
        self.next_sweep_at = now + IDLE_TIMEOUT_S / 2
        expired: list[HTTPConnection] = []
        for address, pooled in list(self.idle.items()):
            count = sum(now - since >= IDLE_TIMEOUT_S for _, since in pooled)
            expired.extend(connection for connection, _ in pooled[:count])
            del pooled[:count]
            if not pooled:
                del self.idle[address]
        return expired

    def close(self) -> int:
        """Close all pooled connections; return how many."""
        with self.lock:
            pooled, self.idle = self.idle, {}
        connections = [row for rows in pooled.values() for row, _ in rows]
        for connection in connections:
            connection.close()
        return len(connections)
