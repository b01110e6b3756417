"""What all listeners of a process share: memory, descriptors and the body reader."""

import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from poplarfold._internal.exceptions import (
    CallerMemoryError,
    PoplarfoldError,
    RequestTimeoutError,
)
from poplarfold._internal.http.body_reader import BodyReader
from poplarfold._internal.http.closing_sockets import ClosingSockets
from poplarfold._internal.http.connection_pool import ConnectionPool
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.memory_account import MemoryAccount
from poplarfold._internal.http.open_connections import OpenConnections

__all__ = ["CallerCounts", "CallerLimits", "CallerResources"]

CHECK_PERIOD_S = 0.5
# Each event is logged at most once in this number of checks.
LOG_CHECKS = 20
# While all request threads are occupied, callers that read more slowly are closed.
SLOW_READER_BYTES_PER_S = 16_384
# How many descriptors are freed when none is left: some more than a new connection
# takes, since its request needs one to an endpoint.
FREED_TOGETHER = 8

WriteEvent = Callable[[str, None, dict[str, Any]], None]


class CallerLimits(NamedTuple):
    """Limits of a single request.

    A body of more than ``body_bytes`` gets status 413. A body of which nothing arrives
    for ``idle_s`` gets status 408, and so does one that takes longer than ``total_s``.
    An answer of which nothing is read for ``idle_s`` is given up.
    """

    body_bytes: int
    idle_s: float
    total_s: float = float("inf")


class CallerCounts(NamedTuple):
    """How often callers have been rejected or closed since the start."""

    rejected: int
    timed_out: int
    slow: int
    connections: int


class CallerResources:
    """The resources that callers take, bounded for the whole process.

    ``write_event`` gets the counts if they have changed. Connections whose requests are
    being served may exceed the limit by ``request_threads``. ``pools`` are those of the
    process's own clients.
    """

    def __init__(
        self,
        account: MemoryAccount,
        connections_max: int,
        write_event: WriteEvent | None = None,
        request_threads: int = 0,
    ) -> None:
        self.account = account
        self.closing_sockets = ClosingSockets()
        self.connections = OpenConnections(
            connections_max, self.closing_sockets, request_threads
        )
        self.body_reader = BodyReader()
        self.pools: list[ConnectionPool] = []
        self.write_event = write_event
        self.rejected_bodies = 0
        self.timed_out_bodies = 0
        self.lock = threading.Lock()
        # The listeners whose request threads are watched.
        self.servers: list[Any] = []
        self.logged = CallerCounts(0, 0, 0, 0)

    def add_client(self, client: EndpointClient) -> None:
        """Let a client of the process free descriptors, and close its idle connections.

        It frees them when it has none left for a connection of its own.
        """
        self.pools.append(client.pool)
        client.free_descriptors = self.free_descriptors

    def add_server(self, server: Any) -> None:
        """Watch the request threads of a listener; the first one starts the thread."""
        with self.lock:
            self.servers.append(server)
            if len(self.servers) == 1:
                threading.Thread(target=self._run, name="callers", daemon=True).start()

    def remove_server(self, server: Any) -> None:
        """Forget a listener that has stopped."""
        with self.lock:
            if server in self.servers:
                self.servers.remove(server)

    def count_rejected(self, error: PoplarfoldError) -> None:
        """Count a body that was rejected for its time or for lack of memory."""
        with self.lock:
            self.rejected_bodies += isinstance(error, CallerMemoryError)
            self.timed_out_bodies += isinstance(error, RequestTimeoutError)

    def counts(self) -> CallerCounts:
        """Return the counts since the start."""
        return CallerCounts(
            self.rejected_bodies,
            self.timed_out_bodies,
            self.account.evicted,
            self.connections.evicted,
        )

    def free_descriptors(self) -> None:
        """Close some connections on which no request is open, as no descriptor is left.

        Those to endpoints come first: they can be opened again.
        """
        count = FREED_TOGETHER
        count -= sum(pool.close() for pool in self.pools)
        if count > 0:
            self.connections.free(count)

    def _run(self) -> None:
        """Make slow readers give up threads that others wait for, and log counts."""
        checks = 0
        pause = threading.Event()
        while self.servers:
            pause.wait(CHECK_PERIOD_S)
            for server in list(self.servers):
                for _ in range(server.waiting_requests()):
                    if not self.account.evict_slow_reader(SLOW_READER_BYTES_PER_S):
                        break
            checks += 1
            if checks % LOG_CHECKS == 0:
                self.log_counts()

    def log_counts(self) -> None:
        """Log the counts that have increased since the last time."""
        counts, before = self.counts(), self.logged
        self.logged = counts
        if self.write_event is None:
            return
        memory = {
            "used_bytes": self.account.used_bytes,
            "limit_bytes": self.account.limit_bytes,
        }
        rows: tuple[tuple[str, int, dict[str, int]], ...] = (
            ("PF8201", counts.rejected - before.rejected, memory),
            ("PF8202", counts.slow - before.slow, memory),
            ("PF8203", counts.timed_out - before.timed_out, {}),
            (
                "PF8204",
                counts.connections - before.connections,
                {"limit": self.connections.limit},
            ),
        )
        for number, count, fields in rows:
            if count:
                self.write_event(number, None, {"count": count, **fields})
