"""Reads and writes callers' sockets, with deadlines and accounted memory."""

import errno
import io
import select
import socket
import time
from typing import Any, Protocol

from poplarfold._internal.http.memory_account import Holding

__all__ = [
    "BufferedCallerReader",
    "CallerReader",
    "CallerWriter",
    "WrittenConnection",
    "make_file",
]

# An answer that cannot be held waits this long for the memory of callers that are
# being closed.
MEMORY_WAIT_S = 0.5
MEMORY_RETRY_S = 0.01
# The buffer of each connection. Larger bodies are read without it.
READ_BUFFER_BYTES = 8192


class WrittenConnection(Protocol):
    """What a ``CallerWriter`` needs of its connection."""

    socket: Any
    server: Any

    def cut(self) -> None:
        """Break the connection."""


class CallerReader(io.RawIOBase):
    """Reads from a socket with one deadline for all reads of a request."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.deadline = 0.0
        self.is_peeking = False
        # Bytes that were read together with a body and belong to the next request.
        self.unread = b""

    def readable(self) -> bool:
        """Return True, as BufferedReader requires."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Wait for bytes and read them. Raises TimeoutError at the deadline."""
        if self.unread:
            size = min(len(buffer), len(self.unread))
            buffer[:size] = self.unread[:size]
            self.unread = self.unread[size:]
            return size
        if self.is_peeking:
            return None
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        self.sock.settimeout(remaining)
        return self.sock.recv_into(buffer)


class BufferedCallerReader(io.BufferedReader):
    """A buffered CallerReader with the ``has_data`` method that cheroot needs."""

    raw: CallerReader

    def has_data(self) -> bool:
        """Return whether the buffer contains bytes of another request."""
        return bool(self.buffered())

    def buffered(self) -> bytes:
        """Return the bytes that can be read without the socket, and keep them."""
        self.raw.is_peeking = True
        try:
            return self.peek(1) + self.raw.unread
        finally:
            self.raw.is_peeking = False


class CallerWriter:
    """An unbuffered socket writer, since each output is flushed anyway.

    What a caller does not read at once is accounted for while it waits.
    """

    def __init__(self, connection: "WrittenConnection") -> None:
        self.connection = connection
        self.sock = connection.socket
        self.closed = False

    def write(self, data: bytes, holding: Holding | None = None) -> int:
        """Write all bytes. Raises OSError if the caller does not read them.

        ``holding`` accounts for the bytes already, if it is given.
        """
        self.sock.settimeout(0)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._write_rest(data, sent, holding)
        return len(data)

    def _write_rest(self, data: bytes, sent: int, holding: Holding | None) -> None:
        """Write what the socket has no room for, as the caller reads."""
        if holding is None:
            holding = self.connection.server.resources.account.open()
        holding.begin_reading(self.connection.cut)
        rest = memoryview(data)[sent:]
        try:
            self._hold(holding, max(holding.size, len(data)))
            poll = select.poll()
            poll.register(self.sock, select.POLLOUT)
            while rest:
                if not poll.poll(1000 * self.connection.server.limits().idle_s):
                    raise TimeoutError("timed out")
                try:
                    sent = self.sock.send(rest)
                except BlockingIOError:
                    continue
                holding.add_progress(sent)
                rest = rest[sent:]
        finally:
            holding.release()

    def _hold(self, holding: Holding, size: int) -> None:
        """Account for an answer. Raises OSError if it cannot be held."""
        until = time.monotonic() + MEMORY_WAIT_S
        while not holding.resize_or_evict(size):
            if time.monotonic() >= until:
                raise OSError(errno.ENOBUFS, "there is no memory for the answer")
            time.sleep(MEMORY_RETRY_S)

    def close(self) -> None:
        """Mark the writer as closed. The connection closes the socket itself."""
        self.closed = True


def make_file(
    sock: socket.socket, mode: str = "r", size: int = READ_BUFFER_BYTES
) -> BufferedCallerReader | None:
    """Return a reader for the socket; replaces cheroot's MakeFile."""
    if "r" in mode:
        return BufferedCallerReader(CallerReader(sock), READ_BUFFER_BYTES)
    # The connection makes its writer itself.
    return None
