"""HTTP to the endpoints: kept connections, streams, and what a failure proves.

A refused connection proves that nothing was sent. Any other failure after the
first byte of the request leaves open whether the endpoint has acted on it.
"""

import http.client
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from poplarfold._internal.daemon.chunked import ChunkDecoder
from poplarfold._internal.exceptions import (
    EndpointError,
    EndpointStalledError,
    EndpointUnreachableError,
    ResponseMismatchError,
)

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
# Below the 10 s after which common HTTP servers close an idle connection.
IDLE_LIMIT_S = 5.0
READ_BYTES = 65536
ANSWER_LIMIT_BYTES = 16_000_000

NETWORK_ERRORS = (OSError, http.client.HTTPException, HTTPError)


OwnAnswerCheck = Callable[[int, Mapping[str, str]], bool]
"""Tells from its status and headers whether an answer belongs to the request."""


class Target(NamedTuple):
    """A method and path at one address."""

    address: str
    method: str
    path: str


class Answer(NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or an empty one if it is not one."""
        try:
            found = json.loads(self.body)
        except (ValueError, RecursionError):
            return {}
        return found if isinstance(found, dict) else {}


class Failure(NamedTuple):
    """A request without a whole answer.

    ``sent`` is true if any byte may have reached the endpoint, ``refused`` if
    no process listens at the address, ``on_reused_connection`` if a
    reused connection broke.
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
        """Make ``sock`` the one that abort() shuts down."""
        with self.lock:
            self.sock = sock
            if self.aborted.is_set():
                shut_down(sock)

    def abort(self) -> None:
        """Wake the thread that reads from the attached socket."""
        with self.lock:
            self.aborted.set()
            shut_down(self.sock)


def shut_down(sock: socket.socket | None) -> None:
    """Shut a socket down in both directions; it may be closed already."""
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class HeadReader:
    """Reads the lines of an answer's head and refuses one that is cut off.

    The standard library takes the end of the connection for the end of the
    head: an answer would lose its length and look complete without its body.
    """

    def __init__(self, source: Any) -> None:
        self.source = source

    def readline(self, limit: int = -1) -> bytes:
        """Return a whole line. Raises IncompleteRead at the end of the input."""
        line: bytes = self.source.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise http.client.IncompleteRead(line)
        return line

    def close(self) -> None:
        """Close the source, as the standard library does for some answers."""
        self.source.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """An answer whose head must have come whole."""

    def begin(self) -> None:
        """Read the head. Raises IncompleteRead if it is cut off."""
        reader = HeadReader(self.fp)
        self.fp = reader  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.source


class EndpointConnection(HTTPConnection):
    """A connection whose answers must have whole heads."""

    response_class = WholeHeadResponse


class EndpointStream:
    """The body of an answer, read as it arrives.

    The body is read from the socket itself, so that the stream pump can read it
    without blocking. ``ended`` is true when the whole body has been read.
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
        self.left = response.length
        self.ended = False
        # Set if the answer ended before its framing said so.
        self.is_truncated = False
        # What came in one packet with the head is in the response's buffer.
        sock.settimeout(0)
        self.early = response.fp.read1(READ_BYTES) or b""

    def read(self) -> Result[bytes, Failure]:
        """Wait for bytes and return them, or no bytes at the end of the answer."""
        while not self.ended:
            try:
                self.sock.settimeout(self.idle_timeout_s)
                data = self._take(self.early or self.sock.recv(READ_BYTES))
            except (OSError, ValueError) as error:
                return Err(failure_of(error, self.address, sent=True))
            if data:
                return Ok(data)
        return Ok(b"")

    def read_now(self) -> Result[bytes | None, Failure]:
        """Return the bytes that have come; None if there are none yet.

        The socket must not block. No bytes mean a part of a chunk or the end.
        """
        try:
            return Ok(self._take(self.early or self.sock.recv(READ_BYTES)))
        except BlockingIOError:
            return Ok(None)
        except (OSError, ValueError) as error:
            return Err(failure_of(error, self.address, sent=True))

    def close(self) -> None:
        """Close the connection; the endpoint notices that nobody reads."""
        self.response.close()
        self.connection.close()
        self.sock.close()

    def _take(self, data: bytes) -> bytes:
        """Remove the framing from bytes of the socket."""
        self.early = b""
        if not data:
            self.ended = True
            self.is_truncated = self.decoder is not None or self.left is not None
        elif self.decoder is not None:
            data = self.decoder.feed(data)
            self.ended = self.decoder.ended
        elif self.left is not None:
            self.left -= len(data)
            self.ended = self.left <= 0
        return data


class EndpointClient:
    """Connections to all endpoints of one daemon. Safe for many threads."""

    def __init__(self, connect_timeout_s: float) -> None:
        self.connect_timeout_s = connect_timeout_s
        # Per address in the order of the times since which they are idle.
        self.idle: dict[str, list[tuple[HTTPConnection, float]]] = {}
        self.sweep_at = 0.0
        self.lock = threading.Lock()

    def exchange(
        self,
        target: Target,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
        fresh: bool = False,
        handle: AbortHandle | None = None,
        is_own: OwnAnswerCheck | None = None,
        resend: bool = True,
    ) -> Result[Answer, Failure]:
        """Make one request and read its whole answer.

        ``is_own`` tells from the headers whether the answer belongs to this
        request; the connection of one that does not is closed.

        A request on a kept connection that the endpoint has closed meanwhile is
        repeated once on a new one, so requests without ``fresh`` must be safe
        to repeat. Without ``resend`` it fails instead, and the caller decides.
        ``timeout_s`` bounds each wait for bytes.
        """
        if not fresh:
            connection = self.take_idle(target.address)
            if connection is not None:
                result = self._try(
                    connection, target, body, headers, timeout_s, handle, is_own=is_own
                )
                stalled = result.is_err() and isinstance(
                    result.unwrap_err().error, EndpointStalledError
                )
                if result.is_ok() or stalled or is_aborted(handle):
                    return result
                if not resend:
                    return Err(result.unwrap_err()._replace(on_reused_connection=True))
        connection = self._new_connection(target.address)
        return self._try(
            connection, target, body, headers, timeout_s, handle, fresh, is_own
        )

    def open_stream(
        self,
        target: Target,
        body: bytes,
        headers: Mapping[str, str],
        idle_timeout_s: float,
        handle: AbortHandle | None = None,
    ) -> Result[EndpointStream, Failure]:
        """Make one request on a new connection and read its answer as it comes."""
        connection = self._new_connection(target.address)
        sent = self._send(connection, target, body, headers, idle_timeout_s, handle)
        sock = connection.sock
        if sent is not None or sock is None:
            connection.close()
            closed = Failure(EndpointError(f"{target.address} closed"), sent=True)
            return Err(sent or closed)
        try:
            # urllib3's own response hides the buffer that the stream takes over.
            response = http.client.HTTPConnection.getresponse(connection)
        except NETWORK_ERRORS as error:
            connection.close()
            return Err(failure_of(error, target.address, sent=True))
        stream = EndpointStream(
            connection, sock, response, target.address, idle_timeout_s
        )
        return Ok(stream)

    def take_idle(self, address: str) -> HTTPConnection | None:
        """Return a kept connection that is still open, if there is one."""
        while True:
            with self.lock:
                kept = self.idle.get(address)
                if not kept:
                    return None
                connection, since = kept.pop()
            if time.monotonic() - since < IDLE_LIMIT_S and connection.is_connected:
                return connection
            connection.close()

    def keep(
        self, address: str, connection: HTTPConnection, replaces_oldest: bool = False
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        Requests that must have a new connection take none of the kept ones, so
        each of theirs replaces one. Otherwise they would fill the pool.
        """
        now = time.monotonic()
        with self.lock:
            unused = self._expired(now)
            kept = self.idle.setdefault(address, [])
            if replaces_oldest and kept:
                unused.append(kept.pop(0)[0])
            if len(kept) < IDLE_CONNECTIONS_PER_ADDRESS:
                kept.append((connection, now))
            else:
                unused.append(connection)
        for other in unused:
            other.close()

    def _expired(self, now: float) -> list[HTTPConnection]:
        """Remove and return the connections that have been idle for too long.

        The newest one of an address is used first, so those that a burst of calls
        has opened would otherwise stay open for good. The lock must be held.
        """
        if now < self.sweep_at:
            return []
        self.sweep_at = now + IDLE_LIMIT_S / 2
        expired: list[HTTPConnection] = []
        for address, kept in list(self.idle.items()):
            count = sum(now - since >= IDLE_LIMIT_S for _, since in kept)
            expired.extend(connection for connection, _ in kept[:count])
            del kept[:count]
            if not kept:
                del self.idle[address]
        return expired

    def close(self) -> None:
        """Close all kept connections."""
        with self.lock:
            kept, self.idle = self.idle, {}
        for rows in kept.values():
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
        fresh: bool = False,
        is_own: OwnAnswerCheck | None = None,
    ) -> Result[Answer, Failure]:
        failure = self._send(connection, target, body, headers, timeout_s, handle)
        if failure is not None:
            connection.close()
            return Err(failure)
        try:
            response = connection.getresponse()
            data = read_whole(response)
            if len(data) > ANSWER_LIMIT_BYTES:
                connection.close()
                message = f"{target.address} answered more than {ANSWER_LIMIT_BYTES} B"
                return Err(Failure(EndpointError(message), sent=True))
        except NETWORK_ERRORS as error:
            connection.close()
            return Err(failure_of(error, target.address, sent=True))
        finally:
            if handle is not None:
                handle.attach(None)
        if is_own is not None and not is_own(response.status, response.headers):
            connection.close()
            message = f"{target.address} answered another request"
            return Err(Failure(ResponseMismatchError(message), sent=True))
        if is_aborted(handle) or will_close(response):
            connection.close()
        else:
            response.close()
            self.keep(target.address, connection, replaces_oldest=fresh)
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
        """Send a request, and return why that was not possible."""
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


def read_whole(response: BaseHTTPResponse) -> bytes:
    """Read a body to its end, or a little past the limit.

    The library reports a body that ends early only when it is asked for more
    after the last bytes that came. Raises HTTPError or OSError.
    """
    parts: list[bytes] = []
    size = 0
    while size <= ANSWER_LIMIT_BYTES:
        part = response.read(READ_BYTES, decode_content=False)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


def will_close(response: BaseHTTPResponse) -> bool:
    """Return whether the endpoint closes the connection after this answer."""
    return response.headers.get("Connection", "").lower() == "close"


def is_aborted(handle: AbortHandle | None) -> bool:
    """Return whether the core gave the attempt up."""
    return handle is not None and handle.aborted.is_set()


def failure_of(error: Exception, address: str, sent: bool) -> Failure:
    """Return the typed failure for an exception of the network."""
    refused = is_refused(error)
    if not sent:
        message = f"no connection to {address}: {error}"
        return Failure(EndpointUnreachableError(message), False, refused)
    if is_timeout(error):
        return Failure(EndpointStalledError(f"{address} went silent"), True)
    return Failure(EndpointError(f"connection to {address} failed: {error}"), True)


def is_refused(error: BaseException) -> bool:
    """Return whether a connection was refused, by the chain of causes."""
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes(error))


def is_timeout(error: BaseException) -> bool:
    """Return whether a wait for bytes timed out, by the chain of causes."""
    return any(isinstance(cause, TimeoutError) for cause in causes(error))


def causes(error: BaseException) -> Iterator[BaseException]:
    """Yield an error and its chain of causes, the latest first."""
    found: BaseException | None = error
    while found is not None:
        yield found
        found = found.__cause__ or found.__context__
