"""Reads the bodies of requests in one thread, so that no request thread waits for them.

A caller may send a body a byte at a time, or never end it. The thread serves the
connections in turns of bounded work, and every byte that it holds is accounted for.
"""

import select
import socket
import threading
import time
import traceback
from typing import Any

from poplarfold._internal.exceptions import (
    CallerMemoryError,
    PoplarfoldError,
    RequestError,
    RequestTimeoutError,
)
from poplarfold._internal.http.epoll_thread import start_epoll_thread
from poplarfold._internal.http.incoming_body import IncomingBody, LengthBody
from poplarfold._internal.http.memory_account import Holding

__all__ = ["BodyReader", "BodyTransfer"]

# How much is read and decoded in one turn of a connection, at most.
TURN_BYTES = 16_384
TURNS_PER_ROUND = 32
CHECK_PERIOD_S = 0.1
# How long the thread pauses if a connection waits for memory that becomes free.
MEMORY_PAUSE_S = 0.01
# A growing array reserves an eighth more than its size.
GROWTH = 1.125
# After this much work, the thread pauses for as long.
PAUSE_MIN_S = 0.002
# Turns that take longer become smaller: chunks of one byte with extensions take 1.5 us
# each, and other bodies wait for their turns.
TURN_MAX_S = 0.001
TURN_BYTES_MIN = 1024


class BodyTransfer:
    """A body that is being received on a connection.

    ``is_done`` is true once the request can be answered: with ``error`` if that is set,
    else with the content. A body with a length whose connection ended early is done as
    well, with less content.
    """

    def __init__(
        self,
        connection: Any,
        body: IncomingBody,
        holding: Holding,
        idle_s: float,
        until: float,
    ) -> None:
        self.connection = connection
        self.sock: socket.socket = connection.socket
        self.body = body
        self.holding = holding
        self.idle_s = idle_s
        self.until = until
        self.progress_at = time.monotonic()
        self.error: PoplarfoldError | None = None
        self.turn_bytes = TURN_BYTES
        # The processor time of the turns so far.
        self.worked_s = 0.0
        # The whole body, once it is complete.
        self.content = b""
        self.is_done = body.ended

    def feed(self, data: bytes) -> int:
        """Decode bytes that have arrived; return how many belong to the body."""
        try:
            used = self.body.feed(data)
        except PoplarfoldError as error:
            self.end(error)
            return len(data)
        self.progress_at = time.monotonic()
        self.holding.add_progress(used)
        if self.body.ended:
            self.complete()
        return used

    def receive(self) -> bool:
        """Read and decode what has arrived, up to the size of a turn.

        Returns False if the turn has to wait for memory.
        """
        started_at = time.thread_time()
        has_turn = self._receive()
        worked_s = time.thread_time() - started_at
        self.worked_s += worked_s
        if worked_s > TURN_MAX_S:
            self.turn_bytes = max(TURN_BYTES_MIN, self.turn_bytes // 2)
        return has_turn

    def _receive(self) -> bool:
        """Read and decode, like ``receive``."""
        size = int(GROWTH * len(self.body.content)) + TURN_BYTES
        if not self.holding.resize(size):
            missing = size - self.holding.size
            if self.holding.account.evict_slowest(missing, self.holding):
                return False
            self.end(CallerMemoryError("there is no memory for the body"))
            return True
        try:
            data = self.sock.recv(self.turn_bytes)
        except BlockingIOError:
            self.holding.resize(size - TURN_BYTES)
            return True
        except OSError:
            data = b""
        if data:
            self.connection.rfile.raw.unread = data[self.feed(data) :]
            if not self.is_done:
                self.holding.resize(size - TURN_BYTES + len(data))
        else:
            self.end_early()
        return True

    def complete(self) -> None:
        """End the transfer with the content. The call must be kept from now on."""
        self.is_done = True
        # A whole body needs twice its size here. Large ones come here one at a time,
        # since one thread reads them.
        self.content = bytes(self.body.content)
        self.body.content = bytearray()
        self.holding.force(len(self.content))
        if not self.holding.keep():
            self.end(CallerMemoryError("the body arrived too slowly to be held"))

    def end(self, error: PoplarfoldError) -> None:
        """End the transfer with an error, and hold nothing any more."""
        self.error = error
        self.is_done = True
        self.content = b""
        self.body.content = bytearray()
        self.holding.release()

    def end_early(self) -> None:
        """End the transfer because the connection has ended."""
        if isinstance(self.body, LengthBody):
            # The application finds the difference to the length.
            self.complete()
        else:
            self.end(RequestError("the body is truncated"))

    def check(self, now: float) -> None:
        """End the transfer if it is evicted, or if nothing has arrived for too long."""
        if self.is_done:
            return
        if self.holding.is_evicted:
            self.end(CallerMemoryError("the body arrives too slowly to be held"))
        elif now >= min(self.until, self.progress_at + self.idle_s):
            self.end(RequestTimeoutError("the body did not arrive in time"))

    def take_content(self) -> bytes:
        """Return the content of a body that is complete."""
        content, self.content = self.content, b""
        return content


class BodyReader:
    """The thread that receives bodies; it starts with the first one. Thread-safe.

    Once a body is done, its connection is passed to its server's request threads.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.has_transfers = threading.Condition(self.lock)
        self.transfers: dict[int, BodyTransfer] = {}
        self.epoll: select.epoll | None = None
        self.check_at = 0.0
        # The error that bodies end with which have not arrived yet, once it is set.
        self.end_error: PoplarfoldError | None = None

    def end_all(self, error: PoplarfoldError) -> None:
        """End all bodies that have not arrived yet, from now on, with an error."""
        self.end_error = error
        self.check_soon()

    def check_soon(self) -> None:
        """Check all bodies after the next round, since one has been evicted."""
        self.check_at = 0.0

    def add(self, transfer: BodyTransfer) -> None:
        """Receive the rest of a body.

        Raises OSError without a descriptor or a thread for it.
        """
        transfer.sock.setblocking(False)
        descriptor = transfer.sock.fileno()
        with self.lock:
            if self.epoll is None:
                self.epoll = start_epoll_thread("bodies", self._run)
            # Level-triggered: what is not read in one turn is reported again.
            self.epoll.register(descriptor, select.EPOLLIN)
            self.transfers[descriptor] = transfer
            self.has_transfers.notify()

    def _run(self, epoll: select.epoll) -> None:
        """Receive bodies in rounds. The work gets half of the time at most."""
        worked_s = 0.0
        while True:
            with self.lock:
                while not self.transfers:
                    self.has_transfers.wait()
            events = epoll.poll(CHECK_PERIOD_S)
            ready = [row for key, _ in events if (row := self.transfers.get(key))]
            # Those that have taken the least time so far come first.
            ready.sort(key=lambda transfer: transfer.worked_s)
            is_waiting = False
            for transfer in ready[:TURNS_PER_ROUND]:
                worked_before_s = transfer.worked_s
                is_waiting |= not self._serve(transfer)
                worked_s += transfer.worked_s - worked_before_s
                if worked_s >= PAUSE_MIN_S:
                    time.sleep(worked_s)
                    worked_s = 0.0
            now = time.monotonic()
            if now >= self.check_at:
                self.check_at = now + CHECK_PERIOD_S
                self._check_transfers(now)
            if is_waiting:
                time.sleep(MEMORY_PAUSE_S)

    def _serve(self, transfer: BodyTransfer) -> bool:
        """Give a connection its turn; return False if it waits for memory."""
        try:
            has_turn = transfer.receive()
        except Exception:
            # A fault must not end the thread, which all bodies depend on.
            transfer.connection.server.error_log(traceback.format_exc())
            transfer.end(PoplarfoldError("internal error"))
            has_turn = True
        if transfer.is_done:
            self._pass_on(transfer)
        return has_turn

    def _check_transfers(self, now: float) -> None:
        """End the transfers that are evicted or make no progress."""
        with self.lock:
            rows = list(self.transfers.values())
        for transfer in rows:
            if self.end_error is not None:
                transfer.end(self.end_error)
            transfer.check(now)
            if transfer.is_done:
                self._pass_on(transfer)

    def _pass_on(self, transfer: BodyTransfer) -> None:
        """Pass a connection whose body is done to a request thread."""
        descriptor = transfer.sock.fileno()
        with self.lock:
            del self.transfers[descriptor]
            assert self.epoll is not None
            self.epoll.unregister(descriptor)
        transfer.connection.server.serve_conn(transfer.connection)
