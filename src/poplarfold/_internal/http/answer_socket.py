"""Connections to endpoints that read answers strictly and within limits.

Heads must be complete and of a limited size, reads end at a deadline, and bytes that
follow an answer are noticed.
"""

import errno
import fcntl
import http.client
import io
import math
import re
import select
import socket
import sys
import termios
import time
from typing import Any

from urllib3.connection import HTTPConnection

from poplarfold._internal.http.chunked import LINE_MAX_BYTES, parse_chunk_size

__all__ = [
    "HEAD_LIMIT_BYTES",
    "RECEIPT_WAIT_S",
    "DeadlineSocket",
    "EndpointConnection",
    "has_excess",
    "has_sent_all",
    "is_orderly_end",
    "is_received",
    "may_have_written",
    "unacknowledged_bytes",
]

# The largest head of an answer, those of interim answers included.
HEAD_LIMIT_BYTES = 65_536
# The standard library also takes numbers like 0200, +200 and 999 for a status.
STATUS_LINE = re.compile(rb"(HTTP/1\.[0-9]) +([1-5][0-9]{2})(?: ([^\r\n]*))?\r?\n")
# The state of a TCP socket whose peer alone has ended the connection, without a reset.
TCP_CLOSE_WAIT = 8
# Not every system that runs the router tells the state.
TCP_UNKNOWN = 0
ORDERLY_STATES = frozenset((TCP_CLOSE_WAIT, TCP_UNKNOWN))
# How long a reset is waited for that a server sends right after the end of its answer,
# as the servers of common libraries do.
RESET_WAIT_MS = 10
# How long it may take until the server's kernel acknowledges the end of the request.
# Linux delays this by up to 200 ms.
RECEIPT_WAIT_S = 0.5
# Linux's request for the number of bytes that wait to be sent for the first time.
SIOCOUTQNSD = 0x894B
INTERNET_FAMILIES = frozenset((socket.AF_INET, socket.AF_INET6))


class HeadReader:
    """Reads the lines of a response head and raises an error if it is truncated.

    The standard library treats the end of the connection as the end of the head:
    a response would lose its Content-Length and look complete without its body.
    """

    def __init__(self, source: Any) -> None:
        self.source = source

    def readline(self, limit: int = -1) -> bytes:
        """Return a complete line. Raises IncompleteRead if the input ends early."""
        line: bytes = self.source.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.IncompleteRead(line)
        return line

    def close(self) -> None:
        """Close the source. The standard library calls this for some responses."""
        self.source.close()


class StrictHeadResponse(http.client.HTTPResponse):
    """A response whose head must be complete and well-formed."""

    def begin(self) -> None:
        """Read the head. Raises HTTPException, or IncompleteRead if it is truncated."""
        reader = HeadReader(self.fp)
        self.fp = reader  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.source
        # What the parser takes for a body begins with such a line, or an empty one.
        payload = self.headers.get_payload()
        if isinstance(payload, str) and payload:
            raise http.client.HTTPException("a line of the head is no header")
        self._check_framing()

    def _check_framing(self) -> None:
        """Raise HTTPException if it is not certain where the body ends.

        The standard library takes the first length of several, and a body in another
        coding than chunks for one that ends with the connection.
        """
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings:
            if [coding.strip(" \t").lower() for coding in codings] != ["chunked"]:
                raise http.client.HTTPException("the transfer coding is not supported")
            if not self.chunked:
                # There were blanks around the name of the coding.
                self.chunked = True
                self.chunk_left = None
                self.length = None
                self.will_close = self._check_close()  # type: ignore[attr-defined]
            return
        lengths = {row.strip() for row in self.headers.get_all("Content-Length", [])}
        if len(lengths) > 1:
            raise http.client.HTTPException("the answer has several lengths")
        if not all(length.isascii() and length.isdigit() for length in lengths):
            raise http.client.HTTPException("the length of the answer is no number")

    def _read_status(self) -> tuple[str, int, str]:
        """Return the status line, after any interim answers.

        The standard library takes one like 103 for the answer itself, and what follows
        it for the answer to the next request.
        """
        while True:
            version, status, reason = self._read_status_line()
            if not 100 < status < 200:
                return version, status, reason
            if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("the protocol was switched")
            http.client.parse_headers(self.fp)

    def _read_status_line(self) -> tuple[str, int, str]:
        """Read the next status line. Raises BadStatusLine if it is malformed."""
        line: bytes = self.fp.readline(LINE_MAX_BYTES)
        found = STATUS_LINE.fullmatch(line)
        if found is None:
            raise http.client.BadStatusLine(repr(line[:80]))
        version, status, reason = found.groups(b"")
        return version.decode(), int(status), reason.decode("latin-1")

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk. Raises ValueError if its line is cut.

        The standard library reads 0 for a size with leading zeros that is cut.
        """
        line: bytes = self.fp.readline(LINE_MAX_BYTES)
        if not line.endswith(b"\n"):
            self.close()
            raise ValueError("the line before a chunk is truncated or too long")
        return parse_chunk_size(line.rstrip(b"\r\n"))


class AnswerReader(io.BufferedReader):
    """The buffered reader of one answer, which notices the bytes after it.

    The standard library closes the reader as soon as the answer is complete. Bytes
    that are still buffered then belong to no request. If the connection were reused,
    they would be lost, and what follows them would be read as the next answer.
    """

    def __init__(self, raw: Any, sock: "DeadlineSocket") -> None:
        super().__init__(raw)
        self.sock = sock

    def close(self) -> None:
        """Close the reader, and record whether bytes are left in its buffer."""
        if not self.closed:
            self.sock.is_peeking = True
            self.sock.has_excess = bool(self.peek(1))
            self.sock.is_peeking = False
        super().close()


class DeadlineSocket(socket.socket):
    """A socket whose buffered reads end at a deadline.

    A timeout of a socket starts anew with each byte, so that an endpoint which sends a
    byte now and then, or a head without end, would never exceed it. ``deadline`` is in
    monotonic seconds, or None without one. Received bytes extend it by the time that
    they take at ``bytes_per_s_min``, by default not at all.

    A read raises ConnectionResetError at an end that is no orderly one, so that an
    answer which ends with its connection is not taken for a complete one.

    At most ``head_bytes_left`` more are received while it is not None.

    ``has_written`` is true once bytes have been passed to the kernel, or may have been.

    ``has_excess`` is true if bytes were left in the buffer of the last reader. While
    ``is_peeking`` is set, nothing is read from the socket.
    """

    deadline: float | None = None
    bytes_per_s_min: float = math.inf
    head_bytes_left: int | None = None
    has_written = False
    has_excess = False
    is_peeking = False

    def makefile(self, mode: str = "r", *options: Any, **keywords: Any) -> Any:
        """Return a file for the socket; an AnswerReader for the mode ``rb``."""
        if mode != "rb":
            return super().makefile(mode, *options, **keywords)  # type: ignore[call-overload]
        return AnswerReader(super().makefile("rb", buffering=0), self)

    def send(self, *arguments: Any) -> int:
        """Write like ``socket.send``. Raises OSError."""
        self.has_written = True
        return super().send(*arguments)

    def sendall(self, *arguments: Any) -> None:
        """Write like ``socket.sendall``. Raises OSError."""
        self.has_written = True
        super().sendall(*arguments)

    def recv_into(self, *arguments: Any) -> int:
        """Read like ``socket.recv_into``. Raises TimeoutError at the deadline."""
        if self.is_peeking:
            raise BlockingIOError(errno.EAGAIN, "nothing is read while peeking")
        if self.deadline is not None:
            left_s = self.deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("timed out")
            self.settimeout(left_s)
        if self.head_bytes_left is not None and self.head_bytes_left <= 0:
            raise http.client.HTTPException("the head of the answer is too large")
        received = self.receive_into(*arguments)
        if not received:
            self.check_end()
        if self.deadline is not None:
            self.deadline += received / self.bytes_per_s_min
        if self.head_bytes_left is not None:
            self.head_bytes_left -= received
        return received

    def receive_into(self, buffer: Any, count: int = 0, flags: int = 0) -> int:
        """Read bytes of the peer into a buffer; return 0 at its end."""
        return super().recv_into(buffer, count, flags)

    def recv(self, *arguments: Any) -> bytes:
        """Read like ``socket.recv``. Raises OSError."""
        data = super().recv(*arguments)
        if not data:
            self.check_end()
        return data

    def check_end(self) -> None:
        """Raise ConnectionResetError unless the peer ended the connection orderly.

        After a reset that follows the peer's end, or an end of its own, the kernel
        reports an end only. A peer that ends the connection before it has received the
        whole request has not answered that request either.

        A blocking socket waits for a reset that follows the end at once, and for the
        receipt of the request.
        """
        if self.family not in INTERNET_FAMILIES:
            return
        may_wait = self.gettimeout() != 0
        until = time.monotonic() + RECEIPT_WAIT_S
        while may_wait:
            poll = select.poll()
            poll.register(self, 0)
            is_reset = bool(poll.poll(RESET_WAIT_MS))
            may_wait = not is_reset and not is_received(self)
            may_wait = may_wait and time.monotonic() < until
        if not is_orderly_end(self):
            raise ConnectionResetError(
                errno.ECONNRESET, "the connection ended during the exchange"
            )


def tcp_state(sock: socket.socket) -> int:
    """Return the state of a connection, or TCP_UNKNOWN."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return TCP_UNKNOWN


def is_received(sock: socket.socket) -> bool:
    """Return whether the peer has acknowledged all bytes that were sent."""
    return unacknowledged_bytes(sock) == 0


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many of the bytes that were sent the peer has not acknowledged.

    Where the system does not say so, they are taken to be acknowledged.
    """
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def has_sent_all(sock: socket.socket) -> bool:
    """Return whether the kernel has sent all bytes, so that none waits for the peer.

    Where the system does not say so, they are taken to be sent.
    """
    try:
        count = fcntl.ioctl(sock, SIOCOUTQNSD, bytes(4))
    except OSError:
        return True
    return int.from_bytes(count, sys.byteorder) == 0


def is_orderly_end(sock: socket.socket) -> bool:
    """Return whether the peer, which sends nothing more, ended in order."""
    return tcp_state(sock) in ORDERLY_STATES and is_received(sock)


class EndpointConnection(HTTPConnection):
    """A connection whose responses must have complete heads, before a deadline."""

    response_class = StrictHeadResponse

    def _new_conn(self) -> socket.socket:
        sock = super()._new_conn()
        return DeadlineSocket(sock.family, sock.type, sock.proto, sock.detach())


def may_have_written(sock: socket.socket | None) -> bool:
    """Return whether a byte of the current request may have been sent."""
    return not isinstance(sock, DeadlineSocket) or sock.has_written


def has_excess(connection: HTTPConnection) -> bool:
    """Return whether bytes that belong to no request followed the last response."""
    return isinstance(connection.sock, DeadlineSocket) and connection.sock.has_excess
