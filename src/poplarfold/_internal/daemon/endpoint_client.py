"""HTTP client for endpoints, with pooled connections, streams and typed failures.

A refused connection proves that nothing was sent. After any other failure that
follows the first byte of the request, it is unknown whether the endpoint has
executed it.
"""

import errno
import http.client
import io
import math
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from poplarfold._internal.exceptions import (
    AnswerTooLargeError,
    EndpointError,
    EndpointStalledError,
    EndpointUnreachableError,
    ResponseMismatchError,
)
from poplarfold._internal.http.answer_memory import AnswerMemory, HeldBytes
from poplarfold._internal.http.chunked import ChunkDecoder
from poplarfold._internal.utils.json_documents import parse_json

__all__ = [
    "AbortHandle",
    "Answer",
    "EndpointClient",
    "EndpointStream",
    "Failure",
    "OwnAnswerCheck",
    "Target",
]

IDLE_CONNECTIONS_PER_ADDRESS = 64
# Less than the 10 s after which common HTTP servers close an idle connection.
IDLE_TIMEOUT_S = 5.0
READ_BYTES = 65536
# The largest head of an answer, those of interim answers included.
HEAD_LIMIT_BYTES = 65_536

NETWORK_ERRORS = (OSError, http.client.HTTPException, HTTPError)


OwnAnswerCheck = Callable[[int, Mapping[str, str]], bool]
"""Returns, by status and headers, whether a response belongs to the request."""


class Target(NamedTuple):
    """A method and path at one address."""

    address: str
    method: str
    path: str


class Answer(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or an empty dict if it is none."""
        try:
            found = parse_json(self.body)
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}


class Failure(NamedTuple):
    """A request without a complete response.

    ``sent`` is true if any byte may have reached the endpoint, ``refused`` if no
    process listens at the address, ``on_reused_connection`` if a reused connection
    broke.
    """

    error: EndpointError
    sent: bool
    refused: bool = False
    on_reused_connection: bool = False


class AbortHandle:
    """Lets the core thread interrupt the blocking I/O of an attempt."""

    def __init__(self) -> None:
        self.aborted = threading.Event()
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None

    def attach(self, sock: socket.socket | None) -> None:
        """Set the socket that abort() shuts down."""
        with self.lock:
            self.sock = sock
            if self.aborted.is_set():
                shut_down(sock)

    def abort(self) -> None:
        """Shut down the attached socket, which wakes the thread that reads it."""
        with self.lock:
            self.aborted.set()
            shut_down(self.sock)


def shut_down(sock: socket.socket | None) -> None:
    """Shut down a socket in both directions. It may already be closed."""
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


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
    """A response whose head must be complete."""

    def begin(self) -> None:
        """Read the head. Raises IncompleteRead if it is truncated."""
        reader = HeadReader(self.fp)
        self.fp = reader  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.source


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

    At most ``head_bytes_left`` more are received while it is not None.

    ``has_excess`` is true if bytes were left in the buffer of the last reader. While
    ``is_peeking`` is set, nothing is read from the socket.
    """

    deadline: float | None = None
    bytes_per_s_min: float = math.inf
    head_bytes_left: int | None = None
    has_excess = False
    is_peeking = False

    def makefile(self, mode: str = "r", *options: Any, **keywords: Any) -> Any:
        """Return a file for the socket; an AnswerReader for the mode ``rb``."""
        if mode != "rb":
            return super().makefile(mode, *options, **keywords)  # type: ignore[call-overload]
        return AnswerReader(super().makefile("rb", buffering=0), self)

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
        received = super().recv_into(*arguments)
        if self.deadline is not None:
            self.deadline += received / self.bytes_per_s_min
        if self.head_bytes_left is not None:
            self.head_bytes_left -= received
        return received


class EndpointConnection(HTTPConnection):
    """A connection whose responses must have complete heads, before a deadline."""

    response_class = StrictHeadResponse

    def _new_conn(self) -> socket.socket:
        sock = super()._new_conn()
        return DeadlineSocket(sock.family, sock.type, sock.proto, sock.detach())


class EndpointStream:
    """The body of a response, read as it arrives.

    The body is read directly from the socket, so that the stream pump can read it
    without blocking. ``ended`` is true when the whole body has been read.
    ``idle_timeout_s`` bounds each wait for bytes.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        sock: socket.socket,
        response: http.client.HTTPResponse,
        address: str,
        idle_timeout_s: float,
    ) -> None:
        self.connection = connection
        self.sock = sock
        self.response = response
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self.status = response.status
        self.headers: Any = response.headers
        self.decoder = ChunkDecoder() if response.chunked else None
        self.remaining_bytes = response.length
        # Without a length and chunks, the body ends with the connection.
        self.is_unframed = self.decoder is None and self.remaining_bytes is None
        # Set if the connection ended before the body was complete.
        self.is_truncated = False
        # An empty body is complete with the head.
        self.ended = self.remaining_bytes == 0
        # The response has buffered the body bytes that arrived together with the
        # head. They are read without waiting for more.
        sock.settimeout(0)
        self.buffered = response.fp.read1(READ_BYTES) or b""

    def read(self) -> Result[bytes, Failure]:
        """Wait for bytes and return them; empty at the end of the body.

        The framing of chunks counts as no bytes.
        """
        deadline = time.monotonic() + self.idle_timeout_s
        while not self.ended:
            try:
                self.sock.settimeout(max(0.001, deadline - time.monotonic()))
                data = self._decode_body(self.buffered or self.sock.recv(READ_BYTES))
            except (OSError, ValueError) as error:
                return Err(failure_of(error, self.address, sent=True))
            if data:
                return Ok(data)
        return Ok(b"")

    def read_now(self) -> Result[bytes | None, Failure]:
        """Return the bytes that have arrived, or None if there are none yet.

        The socket must be non-blocking. An empty result means an incomplete chunk
        or the end of the body.
        """
        try:
            return Ok(self._decode_body(self.buffered or self.sock.recv(READ_BYTES)))
        except BlockingIOError:
            return Ok(None)
        except (OSError, ValueError) as error:
            return Err(failure_of(error, self.address, sent=True))

    def close(self) -> None:
        """Close the connection, which tells the endpoint that nobody reads any more."""
        self.response.close()
        self.connection.close()
        self.sock.close()

    def _decode_body(self, data: bytes) -> bytes:
        """Return the body bytes of data from the socket, and detect the body's end."""
        self.buffered = b""
        if not data:
            self.ended = True
            self.is_truncated = (
                self.decoder is not None or self.remaining_bytes is not None
            )
        elif self.decoder is not None:
            data = self.decoder.feed(data)
            self.ended = self.decoder.ended
        elif self.remaining_bytes is not None:
            # Bytes after the body belong to no request.
            data = data[: self.remaining_bytes]
            self.remaining_bytes -= len(data)
            self.ended = self.remaining_bytes == 0
        return data


class EndpointClient:
    """The connections to all endpoints of one daemon. Thread-safe.

    ``memory`` bounds what the answers that are being read take.
    """

    def __init__(
        self, connect_timeout_s: float, memory: AnswerMemory | None = None
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.memory = memory or AnswerMemory()
        # Per address: connections and the time of their last use, oldest first.
        self.idle: dict[str, list[tuple[HTTPConnection, float]]] = {}
        self.next_sweep_at = 0.0
        self.lock = threading.Lock()

    def exchange(
        self,
        target: Target,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        use_new_connection: bool = False,
        handle: AbortHandle | None = None,
        belongs_to_request: OwnAnswerCheck | None = None,
        retry_on_new_connection: bool = True,
        bytes_per_s_min: float = math.inf,
    ) -> Result[Answer, Failure]:
        """Make one request and read its complete response.

        ``belongs_to_request`` returns, by status and headers, whether a response
        belongs to this request. If it does not, the connection is closed.

        ``use_new_connection`` prevents the reuse of a kept connection. A request
        that fails because the endpoint has closed a reused connection is repeated
        once on a new one, so it must be safe to repeat. Without
        ``retry_on_new_connection`` it fails instead, and the caller decides whether
        to repeat it. ``timeout_s`` bounds the whole exchange. A large response may
        take longer if it arrives at ``bytes_per_s_min`` or faster.
        """
        if not use_new_connection:
            connection = self.take_idle(target.address)
            if connection is not None:
                result = self._try(
                    connection,
                    target,
                    body,
                    headers,
                    timeout_s,
                    handle,
                    belongs_to_request=belongs_to_request,
                    bytes_per_s_min=bytes_per_s_min,
                )
                stalled = result.is_err() and isinstance(
                    result.unwrap_err().error, EndpointStalledError
                )
                if result.is_ok() or stalled or is_aborted(handle):
                    return result
                if not retry_on_new_connection:
                    return Err(result.unwrap_err()._replace(on_reused_connection=True))
        connection = self._new_connection(target.address)
        return self._try(
            connection,
            target,
            body,
            headers,
            timeout_s,
            handle,
            use_new_connection,
            belongs_to_request,
            bytes_per_s_min,
        )

    def open_stream(
        self,
        target: Target,
        body: bytes,
        headers: Mapping[str, str],
        idle_timeout_s: float,
        handle: AbortHandle | None = None,
    ) -> Result[EndpointStream, Failure]:
        """Make one request on a new connection and return its response as a stream."""
        connection = self._new_connection(target.address)
        sent = self._send(connection, target, body, headers, idle_timeout_s, handle)
        sock = connection.sock
        if sent is not None or sock is None:
            connection.close()
            closed = Failure(
                EndpointError(f"{target.address} closed the connection"), sent=True
            )
            return Err(sent or closed)
        try:
            # EndpointStream needs the read buffer, which urllib3's response hides.
            response = http.client.HTTPConnection.getresponse(connection)
        except NETWORK_ERRORS as error:
            connection.close()
            return Err(failure_of(error, target.address, sent=True))
        if isinstance(sock, DeadlineSocket):
            sock.deadline = None
            sock.head_bytes_left = None
        try:
            return Ok(
                EndpointStream(
                    connection, sock, response, target.address, idle_timeout_s
                )
            )
        except OSError as error:
            # The endpoint has reset the connection just after the head.
            connection.close()
            sock.close()
            return Err(failure_of(error, target.address, sent=True))

    def take_idle(self, address: str) -> HTTPConnection | None:
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

    def close(self) -> None:
        """Close all pooled connections."""
        with self.lock:
            pooled, self.idle = self.idle, {}
        for rows in pooled.values():
            for connection, _ in rows:
                connection.close()

    def _new_connection(self, address: str) -> HTTPConnection:
        host, _, port = address.rpartition(":")
        return EndpointConnection(
            host.strip("[]"), int(port), timeout=self.connect_timeout_s
        )

    def _try(
        self,
        connection: HTTPConnection,
        target: Target,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        handle: AbortHandle | None,
        use_new_connection: bool = False,
        belongs_to_request: OwnAnswerCheck | None = None,
        bytes_per_s_min: float = math.inf,
    ) -> Result[Answer, Failure]:
        failure = self._send(connection, target, body, headers, timeout_s, handle)
        if failure is not None:
            connection.close()
            return Err(failure)
        if isinstance(connection.sock, DeadlineSocket):
            connection.sock.bytes_per_s_min = bytes_per_s_min
        held = self.memory.hold()
        try:
            response = connection.getresponse()
            if isinstance(connection.sock, DeadlineSocket):
                connection.sock.head_bytes_left = None
            data = read_response_body(response, held)
        except AnswerTooLargeError as error:
            connection.close()
            return Err(Failure(error, sent=True))
        except NETWORK_ERRORS as error:
            connection.close()
            return Err(failure_of(error, target.address, sent=True))
        finally:
            held.release()
            if handle is not None:
                handle.attach(None)
        if belongs_to_request is not None and not belongs_to_request(
            response.status, response.headers
        ):
            connection.close()
            message = f"{target.address} returned the response to another request"
            return Err(Failure(ResponseMismatchError(message), sent=True))
        if is_aborted(handle) or will_close(response) or has_excess(connection):
            connection.close()
        else:
            response.close()
            self.release(target.address, connection, replaces_oldest=use_new_connection)
        return Ok(Answer(response.status, response.headers, data))

    def _send(
        self,
        connection: HTTPConnection,
        target: Target,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        handle: AbortHandle | None,
    ) -> Failure | None:
        """Send a request. Returns the failure if that was not possible."""
        sent = False
        try:
            if connection.sock is None:
                connection.connect()
            sock = connection.sock
            if handle is not None:
                handle.attach(sock)
                if handle.aborted.is_set():
                    return Failure(EndpointError("the attempt was aborted"), False)
            if sock is not None:
                sock.settimeout(timeout_s)
            if isinstance(sock, DeadlineSocket):
                sock.deadline = time.monotonic() + timeout_s
                sock.head_bytes_left = HEAD_LIMIT_BYTES
            connection.timeout = timeout_s
            sent = True
            connection.request(
                target.method,
                target.path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except NETWORK_ERRORS as error:
            return failure_of(error, target.address, sent)
        return None


def read_response_body(response: BaseHTTPResponse, held: HeldBytes) -> bytes:
    """Read a body to its end.

    The loop ends only with an empty read, because urllib3 reports a truncated body
    in the read that follows the last bytes. Raises HTTPError, OSError or
    AnswerTooLargeError.
    """
    parts: list[bytes] = []
    while True:
        part = response.read(READ_BYTES, decode_content=False)
        if not part:
            return b"".join(parts)
        held.resize(held.size + len(part))
        parts.append(part)


def will_close(response: BaseHTTPResponse) -> bool:
    """Return whether the endpoint closes the connection after this response."""
    return response.headers.get("Connection", "").lower() == "close"


def has_excess(connection: HTTPConnection) -> bool:
    """Return whether bytes that belong to no request followed the last response."""
    return isinstance(connection.sock, DeadlineSocket) and connection.sock.has_excess


def is_aborted(handle: AbortHandle | None) -> bool:
    """Return whether the core aborted the attempt."""
    return handle is not None and handle.aborted.is_set()


def failure_of(error: Exception, address: str, sent: bool) -> Failure:
    """Return the typed failure for a network exception."""
    refused = is_connection_refused(error)
    if not sent:
        message = f"no connection to {address}: {error}"
        return Failure(EndpointUnreachableError(message), False, refused)
    if is_timeout(error):
        return Failure(EndpointStalledError(f"{address} did not respond in time"), True)
    return Failure(EndpointError(f"connection to {address} failed: {error}"), True)


def is_connection_refused(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a refused connection."""
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes(error))


def is_timeout(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a timeout."""
    return any(isinstance(cause, TimeoutError) for cause in causes(error))


def causes(error: BaseException) -> Iterator[BaseException]:
    """Yield an error and its chain of causes, the outermost first."""
    found: BaseException | None = error
    while found is not None:
        yield found
        found = found.__cause__ or found.__context__
