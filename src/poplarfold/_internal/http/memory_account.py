"""Accounts for the memory that a process holds for its callers and endpoints.

Request bodies, calls that wait for a thread or an endpoint, answers that are being read
and answers that their callers have not read yet all draw on one sum. When it is used
up, the callers that send or read slowest are closed.
"""

import math
import threading
import time
from collections.abc import Callable

__all__ = ["Holding", "MemoryAccount"]

DEFAULT_LIMIT_BYTES = 64_000_000
# Progress is measured over this time. A younger transfer is not closed for being slow.
WINDOW_S = 1.0
# After a comparison that has found too little to close, another one that closes no more
# callers is made this much later. It takes milliseconds for thousands of callers, and
# each answer that waits for memory asks for it every 10 ms.
COMPARE_PERIOD_S = 0.05


class MemoryAccount:
    """The memory of a process for callers and endpoints. Thread-safe.

    account = MemoryAccount(1_000_000)
    holding = account.open(connection.evict)
    if not holding.resize(200_000):
        ...
    holding.release()
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.now = now
        self.used_bytes = 0
        # How many callers have been closed because they were the slowest.
        self.evicted = 0
        # The bytes of callers that have been closed and still hold them.
        self.closing_bytes = 0
        # When a comparison of the callers last found too little to close, and below
        # which speed.
        self.compared_at = -math.inf
        self.compared_bound = 0.0
        self.lock = threading.RLock()
        # In the order of their opening.
        self.holdings: dict[Holding, None] = {}

    def open(
        self, evict: Callable[[], None] | None = None, is_reader: bool = False
    ) -> "Holding":
        """Return a new holding of no bytes.

        ``evict`` closes the caller's connection, without waiting. It is None while
        the holding must be kept, as that of a call which has been sent to an endpoint.
        ``is_reader`` marks an answer that waits for its caller, in a request thread.
        """
        return Holding(self, evict, is_reader)

    def change(self, holding: "Holding", size: int, is_forced: bool = False) -> bool:
        """Set the size of a holding; return False if there was no room.

        With ``is_forced`` there need not be room.
        """
        with self.lock:
            is_allowed = is_forced or size <= holding.size
            wanted = self.used_bytes - holding.size + size
            if not is_allowed and wanted > self.limit_bytes:
                return False
            self.used_bytes = wanted
            if holding.is_evicted:
                self.closing_bytes += size - holding.size
            holding.size = size
            if size:
                self.holdings[holding] = None
            else:
                self.holdings.pop(holding, None)
            return True

    def evict_slowest(self, size: int, asking: "Holding | None" = None) -> bool:
        """Close the slowest callers until ``size`` bytes become free.

        Callers that are as fast as the one that asks are not closed. Returns whether
        enough bytes are free or become free.
        """
        now = self.now()
        with self.lock:
            free = self.limit_bytes - self.used_bytes + self.closing_bytes
            bound = asking.speed_bound(now) if asking is not None else math.inf
            is_compared = now - self.compared_at < COMPARE_PERIOD_S
            if free >= size or (is_compared and bound <= self.compared_bound):
                return free >= size
            rows = [row for row in self.holdings if row.may_evict(now)]
            # Of equally slow ones, the largest: fewer have to be closed.
            rows.sort(key=lambda row: (row.bytes_per_s(now), -row.size))
            for row in rows:
                if free >= size or row is asking or row.bytes_per_s(now) >= bound:
                    break
                free += row.size
                self._evict(row)
            if free < size:
                self.compared_at, self.compared_bound = now, bound
            return free >= size

    def evict_slow_reader(self, bytes_per_s: float) -> bool:
        """Close the slowest reader below a speed; return whether there is one."""
        now = self.now()
        with self.lock:
            rows = [
                row for row in self.holdings if row.is_reader and row.may_evict(now)
            ]
            row = min(rows, key=lambda row: row.bytes_per_s(now), default=None)
            if row is None or row.bytes_per_s(now) >= bytes_per_s:
                return False
            self._evict(row)
            return True

    def _evict(self, row: "Holding") -> None:
        """Close a caller. The lock is held, so that its transfer cannot end meanwhile,
        and its connection be used for another request."""
        row.is_evicted = True
        self.evicted += 1
        self.closing_bytes += row.size
        if row.evict is not None:
            row.evict()


class Holding:
    """What is held for one transfer, and how fast the transfer proceeds."""

    def __init__(
        self,
        account: MemoryAccount,
        evict: Callable[[], None] | None,
        is_reader: bool,
    ) -> None:
        self.account = account
        self.evict = evict
        self.is_reader = is_reader
        self.size = 0
        self.is_evicted = False
        self.opened_at = self.window_at = account.now()
        # Bytes that were transferred in the current window and the one before.
        self.current_bytes = 0
        self.previous_bytes = 0

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes from now on; return whether there was room."""
        return self.account.change(self, size)

    def resize_or_evict(self, size: int) -> bool:
        """Hold ``size`` bytes; close slower callers if there is no room."""
        if self.resize(size):
            return True
        self.account.evict_slowest(size - self.size, self)
        return self.resize(size)

    def force(self, size: int) -> None:
        """Hold ``size`` bytes, also if there is no room."""
        self.account.change(self, size, is_forced=True)

    def keep(self) -> bool:
        """Hold the memory until it is released; return False if it is too late."""
        with self.account.lock:
            self.evict = None
            return not self.is_evicted

    def begin_reading(self, evict: Callable[[], None]) -> None:
        """Measure from now on how fast the caller reads; ``evict`` closes it."""
        self.opened_at = self.window_at = self.account.now()
        self.current_bytes = self.previous_bytes = 0
        self.is_reader = True
        self.evict = evict

    def release(self) -> None:
        """Hold nothing any more."""
        self.account.change(self, 0)

    def add_progress(self, size: int) -> None:
        """Record that ``size`` bytes have been transferred."""
        # Another thread may be comparing the speeds. Two that advance the window at the
        # same time would move it past the present.
        with self.account.lock:
            self._advance(self.account.now())
            self.current_bytes += size

    def bytes_per_s(self, now: float) -> float:
        """Return the speed over the current window and the one before."""
        self._advance(now)
        transferred = self.previous_bytes + self.current_bytes
        return transferred / (WINDOW_S + now - self.window_at)

    def may_evict(self, now: float) -> bool:
        """Return whether the caller may be closed to make room for others."""
        is_measured = now - self.opened_at >= WINDOW_S
        return self.evict is not None and is_measured and not self.is_evicted

    def speed_bound(self, now: float) -> float:
        """Return the speed from which others are kept when this one asks for room."""
        if self.evict is None or now - self.opened_at < WINDOW_S:
            return math.inf
        return self.bytes_per_s(now)

    def _advance(self, now: float) -> None:
        """Begin a new window if the current one is over."""
        windows = int((now - self.window_at) / WINDOW_S)
        if windows > 0:
            self.previous_bytes = self.current_bytes if windows == 1 else 0
            self.current_bytes = 0
            self.window_at += windows * WINDOW_S
