"""HTTP client for endpoints, with pooled connections, streams and typed failures."""

import http.client
import math
import socket
import time
from collections.abc import Callable, Mapping

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from poplarfold._internal.exceptions import (
    AnswerTooLargeError,
    EndpointCutOffError,
    EndpointError,
    EndpointStalledError,
    ResponseMismatchError,
)
from poplarfold._internal.http.answer_memory import AnswerMemory, HeldBytes
from poplarfold._internal.http.answer_socket import (
    HEAD_LIMIT_BYTES,
    DeadlineSocket,
    has_excess,
    may_have_written,
)
from poplarfold._internal.http.connection_paths import ConnectionPaths, new_connection
from poplarfold._internal.http.connection_pool import ConnectionPool
from poplarfold._internal.http.endpoint_stream import EndpointStream
from poplarfold._internal.http.exchange import (
    AbortHandle,
    Answer,
    AwaitAnswer,
    OwnAnswerCheck,
    Target,
    is_aborted,
    read_response_body,
    will_close,
)
from poplarfold._internal.http.failures import (
    NETWORK_ERRORS,
    Failure,
    failure_of,
    is_shortage,
)
from poplarfold._internal.http.tunnel_socket import TunnelSocket
from poplarfold._internal.utils.clock import boot_time

__all__ = ["EndpointClient"]

# The pauses between attempts to connect while no descriptor is left. They double, since
# many calls may wait at a time. Listeners that accept connections pause for 10 ms.
SHORTAGE_PAUSE_MIN_S = 0.002
SHORTAGE_PAUSE_MAX_S = 0.05


class EndpointClient:
    """Makes requests to all endpoints of one process. Thread-safe.

    ``memory`` bounds what the answers that are being read take. ``paths`` makes the
    connections, if it is given.

    ``free_descriptors`` is called while none is left for a connection. By default it
    closes the client's own idle connections.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        memory: AnswerMemory | None = None,
        paths: ConnectionPaths | None = None,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.paths = paths
        self.memory = memory or AnswerMemory()
        self.pool = ConnectionPool()
        self.free_descriptors: Callable[[], object] = self.pool.close

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
        gives_up_cut_paths: bool = False,
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

        ``held`` accounts for the response also after this call, if it is given. With
        ``gives_up_cut_paths``, a request that may be repeated fails as soon as its
        endpoint is found to be cut off from this node (EndpointCutOffError).
        """
        paths = self.paths
        if not use_new_connection and (
            paths is None or paths.may_use_kept(target.address)
        ):
            connection = self.pool.take(target.address)
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
                    gives_up_cut_paths=gives_up_cut_paths,
                )
                stalled = result.is_err() and isinstance(
                    result.unwrap_err().error, EndpointStalledError
                )
                if stalled and paths is not None:
                    paths.note_stall(target.address)
                if result.is_ok() or stalled or is_aborted(handle):
                    return result
                if not retry_on_new_connection:
                    return Err(result.unwrap_err()._replace(on_reused_connection=True))
        opened = new_connection(
            target.address,
            self.connect_timeout_s,
            self.paths,
            timeout_s if math.isinf(bytes_per_s_min) else None,
        )
        if opened.is_err():
            return Err(opened.unwrap_err())
        return self._try(
            opened.unwrap(),
            target,
            body,
            headers,
            timeout_s,
            handle,
            use_new_connection,
            belongs_to_request,
            bytes_per_s_min,
            held,
            gives_up_cut_paths,
        )

    def open_stream(
        self,
        target: Target,
        body: bytes,
        headers: Mapping[str, str],
        idle_timeout_s: float,
        handle: AbortHandle | None = None,
        await_answer: AwaitAnswer | None = None,
        time_left_s: float | None = None,
    ) -> Result[EndpointStream, Failure]:
        """Make one request on a new connection and return its response as a stream.

        The head of the response must come within ``idle_timeout_s``, which begins once
        ``await_answer`` has returned, if it is given. The whole stream is of no use
        after ``time_left_s``.
        """
        opened = new_connection(
            target.address, self.connect_timeout_s, self.paths, time_left_s
        )
        if opened.is_err():
            return Err(opened.unwrap_err())
        connection = opened.unwrap()
        sent = self._send(connection, target, body, headers, idle_timeout_s, handle)
        sock = connection.sock
        if sent is not None or sock is None:
            connection.close()
            closed = Failure(
                EndpointError(f"{target.address} closed the connection"), sent=True
            )
            return Err(sent or closed)
        if await_answer is not None:
            try:
                has_answer = await_answer(sock)
            except BaseException:
                connection.close()
                raise
            if not has_answer:
                connection.close()
                stalled = EndpointStalledError(f"{target.address} did not respond")
                return Err(Failure(stalled, sent=True))
            if isinstance(sock, DeadlineSocket):
                sock.deadline = time.monotonic() + idle_timeout_s
        try:
            # EndpointStream needs the read buffer, which urllib3's response hides.
            response = http.client.HTTPConnection.getresponse(connection)
        except Exception as error:
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

    def close(self) -> None:
        """Close all connections that are not in use."""
        self.pool.close()

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
        gives_up_cut_paths: bool = False,
    ) -> Result[Answer, Failure]:
        was_reused = connection.sock is not None
        failure = self._send(connection, target, body, headers, timeout_s, handle)
        if failure is not None:
            connection.close()
            return Err(failure)
        sock = connection.sock
        is_tunnel = isinstance(sock, TunnelSocket)
        if gives_up_cut_paths and not is_tunnel and sock is not None:
            if not self._await_answer(sock, target.address, timeout_s):
                connection.close()
                cut_off = EndpointCutOffError(f"{target.address} is cut off")
                return Err(Failure(cut_off, sent=True))
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
            # Its traceback would keep what was read of the answer, as long as the call.
            return Err(Failure(error.with_traceback(None), sent=True))
        except Exception as error:
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
        is_kept = not is_aborted(handle) and not will_close(response)
        # A tunnel carries one request, so that the peer can look at each answer.
        if not is_kept or is_tunnel or has_excess(connection):
            connection.close()
        else:
            response.close()
            self.pool.release(
                target.address, connection, replaces_oldest=use_new_connection
            )
        return Ok(Answer(response.status, response.headers, data))

    def _await_answer(
        self, sock: socket.socket, address: str, timeout_s: float
    ) -> bool:
        """Wait until an answer begins; return False once its path is cut."""
        if self.paths is None:
            return True
        return self.paths.await_answer(sock, address, boot_time() + timeout_s)

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
                timeout_s -= self._connect(connection, timeout_s, handle)
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
                sock.has_written = False
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
        except Exception as error:
            # A head that cannot be encoded fails before its first byte is written.
            has_written = sent and may_have_written(sock)
            return failure_of(error, target.address, has_written)
        return None

    def _connect(
        self, connection: HTTPConnection, timeout_s: float, handle: AbortHandle | None
    ) -> float:
        """Connect; return for how long a descriptor was waited for.

        While none is left, some are freed and the connection is tried again, within
        the time that a connection may take: the endpoint may leave meanwhile, and the
        request says how much time it had before. Raises one of NETWORK_ERRORS.
        """
        began_at = time.monotonic()
        limit_s = min(timeout_s, self.connect_timeout_s)
        waited_s, pause_s = 0.0, SHORTAGE_PAUSE_MIN_S
        while True:
            try:
                connection.connect()
                return waited_s
            except NETWORK_ERRORS as error:
                waited_s = time.monotonic() - began_at + pause_s
                may_wait = waited_s < limit_s and not is_aborted(handle)
                if not is_shortage(error) or not may_wait:
                    raise
            self.free_descriptors()
            time.sleep(pause_s)
            connection.timeout = max(SHORTAGE_PAUSE_MIN_S, limit_s - waited_s)
            pause_s = min(2 * pause_s, SHORTAGE_PAUSE_MAX_S)
