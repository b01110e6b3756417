"""Listeners for callers: cheroot without WSGI, with bytes passed on as they come."""

import http
import threading
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot.workers.threadpool import ThreadPool

from poplarfold._internal.daemon.http_server import CallerConnection, CallerServer

__all__ = ["CallerExchange", "GatewayServer"]

CHUNK_END = b"0\r\n\r\n"
FIRST_THREADS = 8
SPARE_THREADS = 4


class CallerExchange:
    """One request of a caller and the answer to it.

    Either ``send_whole`` or ``begin_stream``, ``send_piece`` and ``end_stream``
    are called. An answer that is not ended looks incomplete to the caller,
    since its connection is closed without the last chunk.
    """

    def __init__(self, request: Any, closes: bool) -> None:
        self.request = request
        self.connection: CallerConnection = request.conn
        self.method: str = request.method.decode("latin-1")
        self.target: str = request.uri.decode("latin-1")
        self.headers: dict[str, str] = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        self.closes = closes
        self.began = False

    @property
    def will_close(self) -> bool:
        """Whether the connection is closed after this answer."""
        return self.closes or bool(self.request.close_connection)

    def read_body(self) -> bytes:
        """Read the whole body. Raises OSError or ValueError if it is not whole."""
        length = self.headers.get("Content-Length")
        data: bytes = self.request.rfile.read()
        if length is not None and len(data) != int(length):
            raise ValueError("the body ends early")
        return data

    def send_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send an answer with its length. Raises OSError if the caller has gone."""
        rows = [*headers, ("Content-Length", str(len(body)))]
        head = self._head(status, rows)
        self.connection.wfile.write(head if self.method == "HEAD" else head + body)

    def begin_stream(
        self, status: int, headers: list[tuple[str, str]], piece: bytes
    ) -> None:
        """Send the head of a stream with its first piece. Raises OSError."""
        head = self._head(status, [*headers, ("Transfer-Encoding", "chunked")])
        self.connection.wfile.write(head + chunk(piece))

    def send_piece(self, piece: bytes) -> None:
        """Send the next piece of a stream. Raises OSError."""
        self.connection.wfile.write(chunk(piece))

    def end_stream(self) -> None:
        """Mark a stream as complete. Raises OSError."""
        self.connection.wfile.write(CHUNK_END)

    def break_off(self) -> None:
        """Close the connection after this request, whatever was sent."""
        self.closes = True
        self.request.close_connection = True

    def _head(self, status: int, rows: list[tuple[str, str]]) -> bytes:
        if self.will_close:
            self.request.close_connection = True
            rows = [*rows, ("Connection", "close")]
        self.began = True
        self.request.sent_headers = True
        lines = [f"HTTP/1.1 {status} {reason_of(status)}"]
        lines.extend(f"{name}: {value}" for name, value in rows)
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(piece: bytes) -> bytes:
    """Return a piece in the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


def reason_of(status: int) -> str:
    """Return the usual reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class ExchangeGateway(cheroot_server.Gateway):
    """Hands each request to the server's handler."""

    def respond(self) -> None:
        """Answer one request; whatever was not answered closes the connection."""
        server = self.req.server
        exchange = CallerExchange(self.req, server.is_closing())
        # Nothing but the handler may write to the connection.
        self.req.sent_headers = True
        try:
            server.handler(exchange)
        except OSError:
            exchange.break_off()
        if not exchange.began:
            exchange.break_off()


class GrowingPool(ThreadPool):
    """Request threads that are started as requests need them.

    Most nodes serve few requests at a time, and all threads of many nodes on one
    machine would exceed its limit of threads.
    """

    def __init__(self, server: Any, limit: int) -> None:
        super().__init__(server, min=min(FIRST_THREADS, limit), max=limit)
        self.size = self.min
        self.is_short = threading.Event()

    def start(self) -> None:
        """Start the first threads, and one that starts the others."""
        super().start()
        if self.max > self.min:
            threading.Thread(target=self.run, name="grow-pool", daemon=True).start()

    def put(self, obj: Any) -> None:
        """Queue a connection for the next idle thread."""
        super().put(obj)
        if self.size < self.max and self.idle < SPARE_THREADS:
            self.is_short.set()

    def run(self) -> None:
        """Double the pool whenever few threads are idle, up to its limit."""
        while self.size < self.max:
            self.is_short.wait()
            self.is_short.clear()
            if self.idle < SPARE_THREADS:
                self.grow(self.size)
                self.size = min(2 * self.size, self.max)


class GatewayServer(CallerServer):
    """One listener whose requests are answered by ``handler``.

    ``is_closing`` tells whether answers end their connection, as they do
    during a planned stop.
    """

    defer_accept_s = 0

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[CallerExchange], None],
        is_closing: Callable[[], bool],
        threads: int,
        body_limit_bytes: int,
        request_read_s: float,
        on_error: Callable[[str], None],
    ) -> None:
        super().__init__(
            address, None, threads, body_limit_bytes, request_read_s, on_error
        )
        self.requests = GrowingPool(self, threads)
        self.gateway = ExchangeGateway
        self.handler = handler
        self.is_closing = is_closing
