"""HTTP listeners for callers: cheroot without WSGI, with unbuffered streaming."""

import http
import threading
import time
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot.workers.threadpool import ThreadPool

from poplarfold._internal.http.caller_resources import CallerLimits, CallerResources
from poplarfold._internal.http.caller_server import CallerConnection, CallerServer
from poplarfold._internal.http.memory_account import Holding

__all__ = ["CallerExchange", "GatewayServer"]

CHUNK_END = b"0\r\n\r\n"
INITIAL_THREADS = 8
IDLE_THREADS_MIN = 4
# The pause after the system has refused a thread.
GROW_RETRY_S = 0.1
# A larger body is sent apart from its head, since joining them takes its size again.
SMALL_BODY_BYTES = 65_536


class CallerExchange:
    """One request of a caller and the answer to it.

    The handler calls either ``send_whole``, or ``begin_stream``, ``send_chunk``
    and ``end_stream``. Without ``end_stream`` the connection is closed before
    the last chunk, so the caller can tell that the answer is incomplete.
    """

    def __init__(self, request: Any, is_stopping: bool) -> None:
        self.request = request
        self.connection: CallerConnection = request.conn
        self.method: str = request.method.decode("latin-1")
        self.target: str = request.uri.decode("latin-1")
        self.headers: dict[str, str] = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        # The request may have waited for a thread since then.
        self.arrived_at: float = self.connection.queued_at
        self.is_stopping = is_stopping
        self.should_close = False
        self.has_started = False

    @property
    def will_close(self) -> bool:
        """Whether the connection is closed after this answer.

        In a planned stop that is so unless the next request has already arrived.
        """
        if self.should_close or self.request.close_connection:
            return True
        return self.is_stopping and not self.connection.has_next_request()

    def read_body(self) -> bytes:
        """Read the whole body. Raises OSError or ValueError if it is truncated."""
        length = self.headers.get("Content-Length")
        data: bytes = self.request.rfile.read()
        if length is not None and len(data) != int(length):
            raise ValueError("the request body is shorter than its Content-Length")
        return data

    def send_whole(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        holding: Holding | None = None,
    ) -> None:
        """Send a complete answer. Raises OSError if the caller has disconnected.

        ``holding`` accounts for the body, if it is given.
        """
        rows = [*headers, ("Content-Length", str(len(body)))]
        head = self._head(status, rows)
        if self.method == "HEAD":
            body = b""
        if len(body) < SMALL_BODY_BYTES:
            head, body = head + body, b""
        self.connection.wfile.write(head)
        if body:
            self.connection.wfile.write(body, holding)

    def begin_stream(
        self, status: int, headers: list[tuple[str, str]], payload: bytes
    ) -> None:
        """Send the head of a stream with its first chunk. Raises OSError."""
        head = self._head(status, [*headers, ("Transfer-Encoding", "chunked")])
        self.connection.wfile.write(head + encode_chunk(payload))

    def send_chunk(self, payload: bytes) -> None:
        """Send the next chunk of a stream. Raises OSError."""
        self.connection.wfile.write(encode_chunk(payload))

    def end_stream(self) -> None:
        """Mark a stream as complete. Raises OSError."""
        self.connection.wfile.write(CHUNK_END)

    def close_after_request(self) -> None:
        """Close the connection after this request, complete or not."""
        self.should_close = True
        self.request.close_connection = True

    def _head(self, status: int, rows: list[tuple[str, str]]) -> bytes:
        if self.will_close:
            self.request.close_connection = True
            rows = [*rows, ("Connection", "close")]
        self.has_started = True
        self.request.sent_headers = True
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in rows)
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(payload: bytes) -> bytes:
    """Return ``payload`` as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(payload), payload)


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class ExchangeGateway(cheroot_server.Gateway):
    """Passes each request to the server's handler."""

    def respond(self) -> None:
        """Answer one request; close the connection if it was not answered."""
        server = self.req.server
        exchange = CallerExchange(self.req, server.is_closing())
        # Keeps cheroot from writing an answer of its own to the connection.
        self.req.sent_headers = True
        try:
            server.handler(exchange)
        except OSError:
            exchange.close_after_request()
        if not exchange.has_started:
            exchange.close_after_request()


class GrowingPool(ThreadPool):
    """A pool of request threads that grows with the load.

    Most nodes serve few requests at a time, and a full pool for each of many
    nodes on one machine would exceed the machine's thread limit.
    """

    def __init__(self, server: Any, limit: int) -> None:
        super().__init__(server, min=min(INITIAL_THREADS, limit), max=limit)
        self.size = self.min
        self.needs_threads = threading.Event()

    def start(self) -> None:
        """Start the initial threads, and the thread that grows the pool."""
        super().start()
        if self.max > self.min:
            threading.Thread(target=self.run, name="grow-pool", daemon=True).start()

    def put(self, obj: Any) -> None:
        """Queue a connection for the next idle thread."""
        super().put(obj)
        if self.size < self.max and self.is_short():
            self.needs_threads.set()

    def run(self) -> None:
        """Double the pool when few threads are idle, up to its limit."""
        while self.size < self.max:
            self.needs_threads.wait()
            self.needs_threads.clear()
            while self.size < self.max and self.is_short():
                if not self.double():
                    time.sleep(GROW_RETRY_S)

    def is_short(self) -> bool:
        """Return whether few threads are idle, or fewer than requests wait."""
        idle = int(self.idle)
        return idle < IDLE_THREADS_MIN or self.qsize > idle

    def double(self) -> bool:
        """Start as many threads as there are; return whether the system allowed it."""
        for _ in range(min(self.size, self.max - self.size)):
            try:
                self.grow(1)
            except RuntimeError as error:
                self.server.error_log(f"a request thread cannot be started: {error}")
                return False
            self.size += 1
        return True


class GatewayServer(CallerServer):
    """One listener whose requests are answered by ``handler``.

    ``is_closing`` returns whether each answer closes its connection, as during
    a planned stop.
    """

    # Callers open connections before they have requests; idle ones are accepted too.
    defer_accept_s = 0

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[CallerExchange], None],
        is_closing: Callable[[], bool],
        threads: int,
        limits: Callable[[], CallerLimits],
        request_read_s: float,
        resources: CallerResources,
        on_error: Callable[[str], None],
    ) -> None:
        super().__init__(
            address, None, threads, limits, request_read_s, resources, on_error
        )
        self.requests = GrowingPool(self, threads)
        self.gateway = ExchangeGateway
        self.handler = handler
        self.is_closing = is_closing
