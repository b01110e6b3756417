"""A cheroot server with read deadlines, typed errors and strict request heads.

A caller must send its whole request within a deadline, however slowly the bytes
arrive, so that slow senders do not occupy threads.
"""

import io
import json
import re
import socket
import time
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot.wsgi import Gateway_10, Server

from poplarfold._internal.exceptions import (
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
    RequestTimeoutError,
)
from poplarfold._internal.http.chunked_body import read_chunked_body
from poplarfold._internal.http.closing_sockets import ClosingSockets
from poplarfold._internal.http.head_waiter import HeadWaiter, is_head_complete

__all__ = ["CONNECTION_KEY", "CallerConnection", "CallerServer"]

CONNECTION_KEY = "poplarfold.connection"
WRITE_TIMEOUT_S = 10.0
KEEP_ALIVE_S = 30
HEADER_LIMIT_BYTES = 32_768
BACKLOG = 1024
# May far exceed the number of threads, because idle connections wait in a selector
# and occupy none.
IDLE_CONNECTION_LIMIT = 4096
# How long the kernel withholds a new connection that has sent no bytes, so that idle
# connections occupy no thread.
DEFER_ACCEPT_S = 5
READ_BUFFER_BYTES = 65536

FORBIDDEN_IN_HEADER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
LAST_CHUNK = b"0\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")


class CallerReader(io.RawIOBase):
    """Reads from a socket with one deadline for all reads of a request."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.deadline = 0.0
        self.is_peeking = False

    def readable(self) -> bool:
        """Return True, as BufferedReader requires."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Wait for bytes and read them. Raises TimeoutError at the deadline."""
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
        self.raw.is_peeking = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_peeking = False


class CallerWriter:
    """An unbuffered socket writer, since each output is flushed anyway."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False

    def write(self, data: bytes) -> int:
        """Write all bytes. Raises TimeoutError if the caller does not read them."""
        self.sock.settimeout(WRITE_TIMEOUT_S)
        self.sock.sendall(data)
        return len(data)

    def close(self) -> None:
        """Mark the writer as closed. The connection closes the socket itself."""
        self.closed = True


def make_file(
    sock: socket.socket, mode: str = "r", size: int = READ_BUFFER_BYTES
) -> BufferedCallerReader | CallerWriter:
    """Return a reader or writer for the socket; replaces cheroot's MakeFile."""
    if "r" in mode:
        return BufferedCallerReader(CallerReader(sock), READ_BUFFER_BYTES)
    return CallerWriter(sock)


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects ambiguous heads, which two programs could parse differently."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the head of a request. Raises ValueError if it is malformed."""
        headers: dict[bytes, bytes] = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            if not line.endswith(b"\r\n"):
                raise ValueError("a header line does not end in CRLF")
            name, colon, value = line[:-2].partition(b":")
            value = value.strip(b" \t")
            if not colon or not TOKEN.fullmatch(name):
                raise ValueError("a header line is malformed")
            if FORBIDDEN_IN_HEADER.search(value):
                raise ValueError("a header value has control characters")
            key = name.title()
            if key in headers:
                if key in {b"Content-Length", b"Transfer-Encoding", b"Host"}:
                    raise ValueError(f"the header {key.decode()} is repeated")
                value = headers[key] + b", " + value
            headers[key] = value
        length = headers.get(b"Content-Length")
        if length is not None:
            if b"Transfer-Encoding" in headers:
                raise ValueError("both Content-Length and Transfer-Encoding are set")
            if not CONTENT_LENGTH.fullmatch(length):
                raise ValueError("Content-Length is not a number")
        return headers


ERROR_TYPES: dict[str, type[PoplarfoldError]] = {
    "408": RequestTimeoutError,
    "413": PromptTooLargeError,
    "500": PoplarfoldError,
}


class CallerRequest(cheroot_server.HTTPRequest):
    """A request whose HTTP protocol errors produce typed JSON responses."""

    header_reader = StrictHeaderReader()

    def __init__(self, server: Any, conn: Any, *options: Any) -> None:
        super().__init__(server, conn, *options)
        conn.request = self

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send the response to an HTTP protocol error and close the connection."""
        code, _, reason = str(status).partition(" ")
        kind = ERROR_TYPES.get(code, RequestError)
        body = json.dumps(kind(msg or reason).as_body()).encode()
        self.close_connection = True
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            # The caller has disconnected.
            pass

    def respond(self) -> None:
        """Handle the request. A chunked body is read to its end before that.

        cheroot reads no trailer, so that the rest of the body would be taken for the
        next request.
        """
        if not self.chunked_read:
            super().respond()
            return
        limit_bytes = self.server.max_request_body_size
        try:
            body = read_chunked_body(self.conn.rfile, limit_bytes)
        except PromptTooLargeError as error:
            self.simple_response("413 Request Entity Too Large", str(error))
            return
        except RequestError as error:
            self.simple_response("400 Bad Request", str(error))
            return
        self.rfile = io.BytesIO(body)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(LAST_CHUNK)

    def send_headers(self) -> None:
        """Read the rest of the request body, then send the response head.

        If the rest does not arrive, the head is sent anyway and the connection is
        closed after the response.
        """
        remaining = getattr(self.rfile, "remaining", 0)
        if remaining > 0 and not self.close_connection:
            try:
                self.rfile.read(remaining)
            except OSError:
                self.close_connection = True
        super().send_headers()


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection, with a read deadline for each request."""

    RequestHandlerClass = CallerRequest
    rfile: BufferedCallerReader
    socket: Any

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        super().__init__(server, sock, make_file)
        self.request: CallerRequest | None = None
        # When the head of the next request began to arrive, if it was not complete.
        self.head_began_at: float | None = None

    def close(self) -> None:
        """Close the connection, without a reset that the answer could be lost by."""
        self.rfile.close()
        self.server.closing_sockets.add(self.socket)

    def encode_body_part(self, data: bytes) -> bytes:
        """Encode a part of the current response's body in its transfer coding."""
        if self.request is not None and self.request.chunked_write:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def communicate(self) -> bool:
        """Serve one request. Its read deadline starts at its first byte."""
        began_at = self.head_began_at or time.monotonic()
        self.head_began_at = None
        self.rfile.raw.deadline = began_at + self.server.request_read_s
        return bool(super().communicate())


class CallerGateway(Gateway_10):
    """Adds the request's connection to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment, with the connection as CONNECTION_KEY."""
        environ = dict(super().get_environ())
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class CallerServer(Server):
    """An HTTP listener. Several can run in one process."""

    ConnectionClass = CallerConnection

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Any] | None,
        threads: int,
        body_limit_bytes: int,
        request_read_s: float,
        on_error: Callable[[str], None],
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads,
            server_name="poplarfold",
            request_queue_size=BACKLOG,
            timeout=KEEP_ALIVE_S,
            shutdown_timeout=1,
        )
        self.gateway = CallerGateway
        self.keep_alive_conn_limit = IDLE_CONNECTION_LIMIT
        self.max_request_body_size = body_limit_bytes
        self.max_request_header_size = HEADER_LIMIT_BYTES
        self.request_read_s = request_read_s
        self.closing_sockets = ClosingSockets()
        self.head_waiter = HeadWaiter(super().process_conn, HEADER_LIMIT_BYTES)
        self.on_error = on_error

    # A subclass sets 0 if its callers open connections before they have requests, so
    # that the kernel does not withhold these connections.
    defer_accept_s = DEFER_ACCEPT_S

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:
        """Bind the listener and let the kernel withhold idle connections."""
        sock = super().bind(family, type, proto)
        if self.defer_accept_s:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, self.defer_accept_s
            )
        return sock

    def process_conn(self, conn: Any) -> None:
        """Pass a connection to a request thread once a head has arrived.

        Called for each new connection and each one with new bytes.
        """
        if conn.rfile.has_data():
            super().process_conn(conn)
            return
        conn.socket.setblocking(False)
        is_complete = is_head_complete(conn.socket, HEADER_LIMIT_BYTES)
        if is_complete:
            super().process_conn(conn)
        elif is_complete is None:
            self.put_conn(conn)
        else:
            conn.head_began_at = time.monotonic()
            self.head_waiter.add(conn, conn.head_began_at + self.request_read_s)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's own log messages to ``on_error``."""
        self.on_error(msg)
