"""Small HTTP/1.1 server that runs all stand-ins on one event loop.

A server with one thread per stream needs a context switch per output. Here one
thread runs all stand-ins of a process and writes each output directly to its
socket, so that 200 concurrent streams leave the processor to the measured code.
The server supports only the HTTP that the clients of this project use: requests
with ``Content-Length``, persistent connections and chunked responses.

``StandIn`` and ``Connection`` implement the faults that all stand-ins support.
"""

import asyncio
import json
import random
import socket
import threading
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

__all__ = ["Connection", "Reply", "Request", "ServerLoop", "StandIn", "fetch_json"]

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
CALL_TIMEOUT_S = 10.0
FETCH_TIMEOUT_S = 2.0

T = TypeVar("T")


class Request(NamedTuple):
    """One request. Header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class ServerLoop:
    """An event loop in a daemon thread, shared by all stand-ins of a process."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.standins: dict[str, StandIn] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.thread = threading.Thread(
            target=self.run, name="poplarfold-standins", daemon=True
        )
        self.thread.start()

    def run(self) -> None:
        """Run the loop until ``stop``."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.close()

    def call(self, function: Callable[[], T]) -> T:
        """Run a function on the loop and return its result, from any thread."""
        if threading.current_thread() is self.thread:
            return function()

        async def run() -> T:
            return function()

        future = asyncio.run_coroutine_threadsafe(run(), self.loop)
        return future.result(CALL_TIMEOUT_S)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task on the loop and keep a reference to it until it ends."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Stop all stand-ins and the thread."""
        if not self.thread.is_alive():
            return
        for standin in list(self.standins.values()):
            standin.die()
        self.call(lambda: [task.cancel() for task in self.tasks])
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_S)


class Connection(asyncio.Protocol):
    """A client connection. Its requests are handled one after another."""

    def __init__(self, standin: "StandIn") -> None:
        self.standin = standin
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.busy = False
        self.is_unresponsive = False
        self.reply: Reply | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self.standin.connections.add(self)
        self.standin.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.standin.connections.discard(self)
        if self.reply is not None:
            self.reply.mark_closed()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.read_requests()

    def read_requests(self) -> None:
        """Handle the next complete request once the previous one is answered."""
        if self.busy or self.is_unresponsive or self.transport is None:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self.transport.abort()
            return
        try:
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
        except ValueError:
            self.transport.abort()
            return
        if length > MAX_BODY_BYTES or "transfer-encoding" in headers:
            self.transport.abort()
            return
        if len(self.buffer) < end + 4 + length:
            return
        url = urlsplit(target)
        is_control = url.path in ("/control", "/counters")
        if self.standin.paused and not is_control:
            return
        body = bytes(self.buffer[end + 4 : end + 4 + length])
        del self.buffer[: end + 4 + length]
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        request = Request(method, unquote(url.path), query, headers, body)
        self.busy = True
        self.reply = Reply(self, request)
        self.standin.dispatch(request, self.reply)

    def finish_request(self) -> None:
        """End the current request and handle the next one of this connection."""
        self.busy = False
        self.reply = None
        if self.buffer:
            self.read_requests()

    def write(self, data: bytes) -> None:
        """Write data, unless the connection is closed or made unresponsive."""
        transport = self.transport
        if (
            transport is not None
            and not self.is_unresponsive
            and not transport.is_closing()
        ):
            transport.write(data)


class Reply:
    """The response to one request, sent now or later, as a whole or as a stream."""

    __slots__ = ("connection", "ended", "on_close", "request", "streaming")

    def __init__(self, connection: Connection, request: Request) -> None:
        self.connection = connection
        self.request = request
        self.streaming = False
        self.ended = False
        self.on_close: Callable[[], None] | None = None

    def mark_closed(self) -> None:
        """Mark the request as ended after the client closed the connection."""
        self.ended = True
        if self.on_close is not None:
            self.on_close()

    def json(self, status: int, value: object) -> None:
        """Answer with a JSON value."""
        body = json.dumps(value, separators=(",", ":")).encode()
        self.body(status, body, "application/json")

    def body(self, status: int, body: bytes, content_type: str) -> None:
        """Answer with a whole body, subject to the active faults."""
        standin = self.connection.standin
        if standin.consume_lost_answer(self.request):
            self.abort()
            return
        delay_s = standin.answer_delay()
        if delay_s > 0:
            standin.server.loop.call_later(
                delay_s, self.write_body, status, body, content_type
            )
        else:
            self.write_body(status, body, content_type)

    def write_body(self, status: int, body: bytes, content_type: str) -> None:
        """Write a whole response, unless the request has already ended."""
        if self.ended:
            return
        self.ended = True
        head = self.head(status, content_type, f"Content-Length: {len(body)}")
        self.connection.write(head + body)
        self.connection.finish_request()

    def head(self, status: int, content_type: str, framing: str) -> bytes:
        """Return the status line and the headers."""
        phrase = HTTPStatus(status).phrase
        lines = [f"HTTP/1.1 {status} {phrase}", f"Content-Type: {content_type}"]
        lines.append(framing)
        lines.extend(
            f"{name}: {value}"
            for name, value in self.connection.standin.answer_headers()
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def start_stream(self, content_type: str) -> None:
        """Answer with status 200 and a chunked body."""
        self.streaming = True
        head = self.head(200, content_type, "Transfer-Encoding: chunked")
        self.connection.write(head)

    def chunk(self, data: bytes) -> None:
        """Send one chunk of a stream."""
        self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """End a stream."""
        if not self.ended:
            self.ended = True
            self.connection.write(b"0\r\n\r\n")
            self.connection.finish_request()

    def abort(self) -> None:
        """Close the connection without a response."""
        self.ended = True
        if self.connection.transport is not None:
            self.connection.transport.abort()


class StandIn:
    """Base class of stand-ins, with the address, connections and faults.

    Public methods may be called from any thread. Faults are also available over
    ``POST /control`` with ``{"fault": NAME, ...arguments}``, and counters over
    ``GET /counters``. Both work while the stand-in is paused.
    """

    kind = "standin"
    faults: tuple[str, ...] = (
        "slow",
        "jitter",
        "lose_answers",
        "pause",
        "resume",
        "silence",
        "die",
        "restart",
    )

    def __init__(self, server: ServerLoop, port: int = 0) -> None:
        self.server = server
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.listener: asyncio.Server | None = None
        self.paused = False
        self.resume_timer: asyncio.TimerHandle | None = None
        self.delay_s = 0.0
        self.jitter_s = 0.0
        self.answers_to_lose = 0
        self.lost_answers_path = ""
        self.rng = random.Random(port)
        self.fault_counts: dict[str, int] = {}
        self.port = self.server.call(lambda: self.bind(port))
        self.address = f"127.0.0.1:{self.port}"
        self.server.call(self.start)

    # Start and stop.

    def bind(self, port: int) -> int:
        """Listen on a loopback port and return it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            raise
        bound_port: int = sock.getsockname()[1]

        async def listen() -> None:
            self.listener = await self.server.loop.create_server(
                lambda: Connection(self), sock=sock, backlog=1024
            )

        sock.listen(1024)
        self.server.spawn(listen())
        return bound_port

    def start(self) -> None:
        """Start to serve as a new process. Runs on the loop."""
        self.server.standins[self.address] = self
        self.on_start()

    def on_start(self) -> None:
        """Initialise the state of a new process."""

    def on_stop(self) -> None:
        """Clean up the state of the process that crashed."""

    def now(self) -> float:
        """Return the monotonic time, which all processes of a host share."""
        return time.monotonic()

    # Requests.

    def dispatch(self, request: Request, reply: Reply) -> None:
        """Answer a request. Malformed requests get status 400."""
        try:
            if request.path == "/control":
                self.control(request, reply)
            elif request.path == "/counters":
                reply.json(200, self.collect_counters())
            else:
                self.handle(request, reply)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            if not reply.ended:
                detail = f"{type(error).__name__}: {error}"
                reply.json(400, {"code": "invalid_request", "message": detail})

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer a request of the stand-in's protocol."""
        raise NotImplementedError

    def answer_headers(self) -> list[tuple[str, str]]:
        """Return the headers that are added to every response."""
        return []

    def control(self, request: Request, reply: Reply) -> None:
        """Apply a fault. The response is sent before the fault takes effect."""
        arguments = json.loads(request.body)
        name = arguments.pop("fault")
        if name not in self.faults:
            raise ValueError(f"unknown fault {name!r}")
        method = getattr(self, name)
        reply.write_body(200, b"{}", "application/json")
        method(**arguments)

    def collect_counters(self) -> dict[str, object]:
        """Return the counters. Runs on the loop."""
        return {
            "kind": self.kind,
            "address": self.address,
            "connections": len(self.connections),
            "accepted": self.accepted,
            "faults": dict(self.fault_counts),
        }

    def counters(self) -> dict[str, object]:
        """Return the counters as JSON values."""
        return self.server.call(self.collect_counters)

    # Faults.

    def apply_fault(self, name: str, function: Callable[[], None]) -> None:
        """Count a fault and apply it on the loop."""

        def run() -> None:
            self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
            function()

        self.server.call(run)

    def slow(self, delay_s: float = 0.0, factor: float = 1.0) -> None:
        """Delay each whole response and make work ``factor`` times as long."""

        def run() -> None:
            self.delay_s = delay_s
            self.set_work_factor(factor)

        self.apply_fault("slow", run)

    def set_work_factor(self, factor: float) -> None:
        """Make later work ``factor`` times as long."""

    def jitter(self, jitter_s: float) -> None:
        """Delay each whole response randomly by up to ``jitter_s``, to reorder them."""

        def run() -> None:
            self.jitter_s = jitter_s

        self.apply_fault("jitter", run)

    def lose_answers(self, count: int, path: str = "/") -> None:
        """Close the connection instead of answering the next ``count`` requests.

        Applies to requests whose path starts with ``path``.
        """

        def run() -> None:
            self.answers_to_lose = count
            self.lost_answers_path = path

        self.apply_fault("lose_answers", run)

    def consume_lost_answer(self, request: Request) -> bool:
        """Return whether to lose the response, and count down ``answers_to_lose``."""
        if request.path in ("/control", "/counters"):
            return False
        if not self.answers_to_lose or not request.path.startswith(
            self.lost_answers_path
        ):
            return False
        self.answers_to_lose -= 1
        return True

    def answer_delay(self) -> float:
        """Return the delay of the next response, in seconds."""
        delay_s = self.delay_s
        if self.jitter_s:
            delay_s += self.rng.random() * self.jitter_s
        return delay_s

    def pause(self, seconds: float | None = None) -> None:
        """Stop reading and answering, for some seconds or until ``resume``.

        Work that becomes due during the pause is done on resume, since the
        accelerators of an engine continue while its front end hangs.
        """

        def run() -> None:
            self.paused = True
            if self.resume_timer is not None:
                self.resume_timer.cancel()
            if seconds is not None:
                self.resume_timer = self.server.loop.call_later(
                    seconds, self.resume_now
                )

        self.apply_fault("pause", run)

    def resume(self) -> None:
        """End a pause."""
        self.server.call(self.resume_now)

    def resume_now(self) -> None:
        """End a pause and read the pending requests. Runs on the loop."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        if not self.paused:
            return
        self.paused = False
        self.on_resume()
        for connection in list(self.connections):
            connection.read_requests()

    def on_resume(self) -> None:
        """Handle the events that were due during the pause."""

    def silence(self) -> None:
        """Stop answering on all open connections for good. New connections work."""

        def run() -> None:
            for connection in self.connections:
                connection.is_unresponsive = True

        self.apply_fault("silence", run)

    def die(self, return_after_s: float | None = None) -> None:
        """Crash: drop all connections, and the state of the process.

        With ``return_after_s`` the stand-in restarts at the same address.
        """

        def run() -> None:
            if self.listener is not None:
                self.listener.close()
                self.listener = None
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            if self.server.standins.pop(self.address, None) is not None:
                self.on_stop()
            if return_after_s is not None:
                self.server.loop.call_later(return_after_s, self.restart_now)

        self.apply_fault("die", run)

    def restart(self) -> None:
        """Restart at the same address as a new process."""
        self.server.call(self.restart_now)

    def restart_now(self) -> None:
        """Restart at the same address. Runs on the loop."""
        if self.address in self.server.standins:
            return
        self.paused = False
        self.delay_s = self.jitter_s = 0.0
        self.answers_to_lose = 0
        self.bind(self.port)
        self.start()


async def fetch_json(
    address: str, method: str, path: str, timeout_s: float = FETCH_TIMEOUT_S
) -> tuple[int, dict[str, Any]] | None:
    """Send a request without a body to another stand-in.

    Returns the status and the JSON body, or None if the request fails.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            writer.write((head + "Content-Length: 0\r\n\r\n").encode("latin-1"))
            lines = (
                (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            )
            status = int(lines[0].split(" ")[1])
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return status, json.loads(await reader.readexactly(length))
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
