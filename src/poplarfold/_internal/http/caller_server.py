"""A cheroot server with read deadlines, typed errors and strict request heads.

A request occupies a thread only once its head and its body have arrived. What callers
make a process hold is bounded by its CallerResources.
"""

import contextlib
import math
import select
import socket
import time
from collections.abc import Callable
from typing import Any

from cheroot import server as cheroot_server
from cheroot.wsgi import Gateway_10, Server

from poplarfold._internal.http.body_reader import BodyTransfer
from poplarfold._internal.http.caller_requests import CallerRequest
from poplarfold._internal.http.caller_resources import CallerLimits, CallerResources
from poplarfold._internal.http.caller_streams import (
    BufferedCallerReader,
    CallerWriter,
    make_file,
)
from poplarfold._internal.http.head_waiter import (
    HeadWaiter,
    has_whole_head,
    is_head_complete,
)
from poplarfold._internal.http.incoming_body import IncomingBody, LengthBody
from poplarfold._internal.http.listening_socket import ListeningSocket
from poplarfold._internal.utils.clock import boot_time

__all__ = ["CONNECTION_KEY", "CallerConnection", "CallerServer"]

CONNECTION_KEY = "poplarfold.connection"
KEEP_ALIVE_S = 30
HEADER_LIMIT_BYTES = 32_768
BACKLOG = 1024
# May far exceed the number of threads, because idle connections wait in a selector
# and occupy none.
IDLE_CONNECTION_LIMIT = 4096
# How long the kernel withholds a new connection that has sent no bytes, so that idle
# connections occupy no thread.
DEFER_ACCEPT_S = 5
# How many turns of reading a request thread gives a body with a length, so that most
# prompts need no other thread. Small chunks are decoded by the body reader only: many
# threads that decode them leave no interpreter time for other calls.
THREAD_TURNS = 4
# How often a shortage of descriptors is logged at most.
SHORTAGE_LOG_PERIOD_S = 10.0


class CallerConnection(cheroot_server.HTTPConnection):
    """A caller's connection, with a read deadline for each request."""

    rfile: BufferedCallerReader
    wfile: CallerWriter
    socket: Any

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        super().__init__(server, sock, make_file)
        self.wfile = CallerWriter(self)
        self.request: CallerRequest | None = None
        # The body of the request that is being read or served.
        self.transfer: BodyTransfer | None = None
        # When the head of the next request began to arrive, if it was not complete.
        self.head_began_at: float | None = None
        self.requests_served = 0
        self.idle_since = time.monotonic()
        # When the current request was last passed to the request threads.
        self.queued_at = boot_time()
        # Whether a whole head has arrived whose request has not been answered yet, and
        # whether its body is complete.
        self.is_busy = False
        self.is_evicted = False
        server.resources.connections.add(self)

    def RequestHandlerClass(  # noqa: N802
        self, server: Any, connection: Any
    ) -> CallerRequest:
        """Return the request whose body was waited for, or a new one."""
        if self.transfer is not None and self.request is not None:
            return self.request
        return CallerRequest(server, connection)

    def begin_transfer(self, body: IncomingBody) -> BodyTransfer:
        """Return the transfer of the request's body, and read what has arrived.

        Bounded work: what is left is read by the body reader.
        """
        if self.transfer is not None:
            return self.transfer
        limits = self.server.limits()
        transfer = BodyTransfer(
            self,
            body,
            self.server.resources.account.open(
                self.server.resources.body_reader.check_soon
            ),
            limits.idle_s,
            time.monotonic() + limits.total_s,
        )
        self.transfer = transfer
        while not transfer.is_done and (data := self.rfile.buffered()):
            self.rfile.read(transfer.feed(data))
        self.socket.setblocking(False)
        for _ in range(THREAD_TURNS if isinstance(body, LengthBody) else 0):
            received = len(body.content)
            if transfer.is_done or not transfer.receive():
                break
            if len(body.content) == received:
                break
        return transfer

    @property
    def waits_for_body(self) -> bool:
        """Whether the body of the current request has not arrived yet."""
        return self.transfer is not None and not self.transfer.is_done

    def cut(self) -> None:
        """Break the connection. Its thread then closes it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def evict(self) -> None:
        """Close the connection to make room for others."""
        self.is_evicted = True
        self.cut()

    def close(self) -> None:
        """Close the connection, without a reset that the answer could be lost by."""
        self.end_request()
        self.server.resources.connections.remove(self)
        self.rfile.close()
        self.server.resources.closing_sockets.add(self.socket)

    def has_next_request(self) -> bool:
        """Return whether the head of a request after the current one has arrived."""
        data = self.rfile.buffered()
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        # The connection may have been reset.
        with contextlib.suppress(OSError):
            if poll.poll(0):
                data += self.socket.recv(HEADER_LIMIT_BYTES, socket.MSG_PEEK)
        return has_whole_head(data)

    def end_request(self) -> None:
        """Hold nothing for the current request any more."""
        if self.transfer is not None:
            self.transfer.holding.release()
        self.transfer = None
        self.request = None

    def encode_body_part(self, data: bytes) -> bytes:
        """Encode a part of the current response's body in its transfer coding."""
        if self.request is not None and self.request.chunked_write:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def communicate(self) -> bool:
        """Serve one request, or begin to. The read deadline is that of its head."""
        began_at = self.head_began_at or time.monotonic()
        self.head_began_at = None
        self.rfile.raw.deadline = began_at + self.server.request_read_s
        is_kept = bool(super().communicate())
        if self.waits_for_body:
            return True
        self.end_request()
        self.requests_served += 1
        self.idle_since = time.monotonic()
        return is_kept


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
        limits: Callable[[], CallerLimits],
        request_read_s: float,
        resources: CallerResources,
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
        self.limits = limits
        self.max_request_header_size = HEADER_LIMIT_BYTES
        self.request_read_s = request_read_s
        self.resources = resources
        self.head_waiter = HeadWaiter(self.serve_conn, HEADER_LIMIT_BYTES)
        self.on_error = on_error
        self.shortage_logged_at = -math.inf

    @property
    def max_request_body_size(self) -> int:  # type: ignore[override]
        """The size limit of a body, which may change while the server runs."""
        return self.limits().body_bytes

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
        # cheroot passes on errors of accept to the caller of its event loop, which
        # begins it anew at once.
        self.socket = ListeningSocket(sock, self.relieve_shortage)
        return self.socket

    def relieve_shortage(self, error: OSError) -> None:
        """Close connections of no use, since one cannot be accepted."""
        now = time.monotonic()
        if now - self.shortage_logged_at >= SHORTAGE_LOG_PERIOD_S:
            self.shortage_logged_at = now
            self.on_error(f"connections cannot be accepted: {error}")
        self.resources.free_descriptors()

    def prepare(self) -> None:
        """Start listening and the request threads."""
        super().prepare()
        self.resources.add_server(self)

    def stop(self) -> None:
        """Stop listening and the request threads."""
        self.resources.remove_server(self)
        super().stop()

    def waiting_requests(self) -> int:
        """Return how many requests wait because all threads are occupied."""
        return 0 if self.requests.idle else int(self.requests.qsize)

    def process_conn(self, conn: Any) -> None:
        """Pass a connection to a request thread once a head has arrived.

        Called for each new connection and each one with new bytes.
        """
        if conn.is_evicted:
            conn.close()
            return
        conn.socket.setblocking(False)
        is_complete = is_head_complete(
            conn.socket, HEADER_LIMIT_BYTES, conn.rfile.buffered()
        )
        if is_complete:
            self.serve_conn(conn)
        elif is_complete is None:
            self.put_conn(conn)
        else:
            conn.head_began_at = time.monotonic()
            try:
                self.head_waiter.add(conn, conn.head_began_at + self.request_read_s)
            except OSError as error:
                # An exception would end the event loop's round, and nobody would wait
                # for the connection or close it.
                self.on_error(f"a connection cannot be waited for: {error}")
                conn.close()

    def serve_conn(self, conn: Any) -> None:
        """Pass a connection to a request thread, unless it is closed for others."""
        conn.queued_at = boot_time()
        if self.resources.connections.begin_request(conn):
            super().process_conn(conn)
        else:
            conn.close()

    def put_conn(self, conn: Any) -> None:
        """Wait for the body of a connection's request, or for its next request."""
        conn.is_busy = False
        try:
            if conn.waits_for_body and self.ready:
                self.resources.body_reader.add(conn.transfer)
            else:
                super().put_conn(conn)
        except OSError as error:
            # An exception would end the request thread, and the listener with it.
            self.on_error(f"a connection cannot be waited for: {error}")
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass cheroot's own log messages to ``on_error``."""
        self.on_error(msg)
