"""HTTP client for endpoints, with pooled connections, streams and typed failures."""

import http.client
import math
import socket
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.response import BaseHTTPResponse

from poplarfold._internal.exceptions import (
    AnswerTooLargeError,
    EndpointError,
    EndpointStalledError,
    ResponseMismatchError,
)
from poplarfold._internal.http.answer_memory import AnswerMemory, HeldBytes
from poplarfold._internal.http.answer_socket import (
    HEAD_LIMIT_BYTES,
    DeadlineSocket,
    EndpointConnection,
    has_excess,
)
from poplarfold._internal.http.endpoint_stream import READ_BYTES, EndpointStream
from poplarfold._internal.http.failures import NETWORK_ERRORS, Failure, failure_of
from poplarfold._internal.utils.json_documents import parse_json

__all__ = [
    "AbortHandle",
    "Answer",
    "AwaitAnswer",
    "EndpointClient",
    "EndpointStream",
    "Failure",
    "OwnAnswerCheck",
    "Target",
    "is_believed_without_id",
]

IDLE_CONNECTIONS_PER_ADDRESS = 64
# Less than the 10 s after which common HTTP servers close an idle connection.
IDLE_TIMEOUT_S = 5.0

OwnAnswerCheck = Callable[[int, Mapping[str, str], bool], bool]
"""Returns whether a response belongs to the request.

It gets the status, the headers, and whether the connection was used before.
"""
AwaitAnswer = Callable[[socket.socket], bool]
"""Waits for the first bytes of a response; returns False if there will be none."""


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
        held: HeldBytes | None = None,
    ) -> Result[Answer, Failure]:
        """Make one request and read its complete response.

        ``belongs_to_request`` returns whether a response belongs to this request. If
        it does not, the connection is closed.

        ``use_new_connection`` prevents the reuse of a kept connection. A request
        that fails because the endpoint has closed a reused connection is repeated
        once on a new one, so it must be safe to repeat. Without
        ``retry_on_new_connection`` it fails instead, and the caller decides whether
        to repeat it. ``timeout_s`` bounds the whole exchange. A large response may
        take longer if it arrives at ``bytes_per_s_min`` or faster.

        ``held`` accounts for the response also after this call, if it is given.
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
                    kept=held,
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
            held,
        )

    def open_stream(
        self,
        target: Target,
        body: bytes,
        headers: Mapping[str, str],
        idle_timeout_s: float,
        handle: AbortHandle | None = None,
        await_answer: AwaitAnswer | None = None,
    ) -> Result[EndpointStream, Failure]:
        """Make one request on a new connection and return its response as a stream.

        The head of the response must come within ``idle_timeout_s``, which begins once
        ``await_answer`` has returned, if it is given.
        """
        connection = self._new_connection(target.address)
        sent = self._send(connection, target, body, headers, idle_timeout_s, handle)
        sock = connection.sock
        if sent is not None or sock is None:
            connection.close()
            closed = Failure(
                EndpointError(f"{target.address} closed the connection"), sent=True
            )
            return Err(sent or closed)
        if await_answer is not None:
            if not await_answer(sock):
                connection.close()
                stalled = EndpointStalledError(f"{target.address} did not respond")
                return Err(Failure(stalled, sent=True))
            if isinstance(sock, DeadlineSocket):
                sock.deadline = time.monotonic() + idle_timeout_s
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
        kept: HeldBytes | None = None,
    ) -> Result[Answer, Failure]:
        was_reused = connection.sock is not None
        failure = self._send(connection, target, body, headers, timeout_s, handle)
        if failure is not None:
            connection.close()
            return Err(failure)
        if isinstance(connection.sock, DeadlineSocket):
            connection.sock.bytes_per_s_min = bytes_per_s_min
        held = kept or self.memory.hold()
        held_before = held.size
        is_read = False
        try:
            response = connection.getresponse()
            if isinstance(connection.sock, DeadlineSocket):
                connection.sock.head_bytes_left = None
            data = read_response_body(response, held)
            is_read = True
        except AnswerTooLargeError as error:
            connection.close()
            return Err(Failure(error, sent=True))
        except NETWORK_ERRORS as error:
            connection.close()
            return Err(failure_of(error, target.address, sent=True))
        finally:
            if kept is None or not is_read:
                held.resize(held_before)
            if handle is not None:
                handle.attach(None)
        if belongs_to_request is not None and not belongs_to_request(
            response.status, response.headers, was_reused
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


def is_believed_without_id(
    status: int, headers: Mapping[str, str], was_reused: bool
) -> bool:
    """Return whether a response without the request's id may be its response.

    A faulty endpoint may repeat an earlier refusal on a connection that it keeps.
    """
    return status == 200 or not was_reused


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


def is_aborted(handle: AbortHandle | None) -> bool:
    """Return whether the core aborted the attempt."""
    return handle is not None and handle.aborted.is_set()
