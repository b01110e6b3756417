"""Stand-ins for the platform's store and endpoints.

They speak the platform's protocol over loopback HTTP, in threads of the test
process. The ``faults`` of an endpoint make it misbehave.
"""

import base64
import json
import math
import os
import socket
import struct
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple

from tests.lib.producers import Producers

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
EVENT_PERIOD_S = 0.02
PART_BYTES = 16_384
# As many bytes as fit into one header line for the standard library.
FLOOD_HEADERS = b"X-A: " + b"x" * 65_000 + b"\r\n"


class Handler(BaseHTTPRequestHandler):
    """Passes each request to the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"
    server: Any
    # Whether the connection has carried a request before.
    was_used = False

    def handle_any(self) -> None:
        if "reset_upload" in getattr(self.server.standin, "faults", ()):
            self.server.standin.reset_upload(self)
            return
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.standin.serve(self, body)

    do_GET = do_POST = do_DELETE = do_PUT = handle_any  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing, to keep the output of the tests readable."""

    def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in {**self.own_headers(), **(headers or {})}.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        for start in range(0, len(body), PART_BYTES):
            part = body[start : start + PART_BYTES]
            self.wfile.write(part)
            time.sleep(len(part) / self.server.standin.bytes_per_s)

    def own_headers(self) -> dict[str, str]:
        """Return the headers that the stand-in adds to its answers by default."""
        found: dict[str, str] = getattr(self.server.standin, "answer_headers", {})
        return found

    def answer_json(
        self, fields: object, status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        own = {"Content-Type": "application/json", **(headers or {})}
        self.answer(status, json.dumps(fields).encode(), own)

    def cut(self, data: bytes = b"") -> None:
        """Write some bytes and close the connection without a complete answer."""
        self.wfile.write(data)
        self.wfile.flush()
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)


class StandInServer(ThreadingHTTPServer):
    """HTTP server that ignores closed connections.

    Tests may stop their callers at any time.
    """

    daemon_threads = True
    # With the default of 5, calls at once lose their connections and wait for a second.
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


class StandIn:
    """An HTTP server on loopback. ``bytes_per_s`` limits the rate of its answers."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.bytes_per_s = math.inf
        self.server = StandInServer(("127.0.0.1", 0), Handler)
        self.server.standin = self  # type: ignore[attr-defined]
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def serve(self, request: Handler, body: bytes) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class StoreCopy(NamedTuple):
    """The records of a store at one moment."""

    logs: dict[str, list[bytes]]
    first: dict[str, int]
    newest: dict[str, dict[str, bytes]]


class StoreStandIn(StandIn):
    """A store with keyed topics and plain logs, and with conditional appends.

    ``mode`` is up, busy (answers 503), reset (closes the connection at once) or
    silent (does not answer). ``return_to`` brings an earlier copy back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.logs: dict[str, list[bytes]] = {}
        self.first: dict[str, int] = {}
        self.newest: dict[str, dict[str, bytes]] = {}
        self.producers = Producers()
        self.era = 1
        self.names_era = True
        # Whether reads of a topic without any record get 404, as the store's do.
        self.rejects_missing = False
        self.mode = "up"
        # Number of reads of the configuration that will get no answer.
        self.silent_reads = 0
        self.calls: list[str] = []

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write or delete a keyed record, as the operator or an endpoint does."""
        record = bytes([len(key)]) + key.encode() + (value or b"")
        with self.lock:
            self.logs.setdefault(topic, []).append(record)
            rows = self.newest.setdefault(topic, {})
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value

    @property
    def answer_headers(self) -> dict[str, str]:
        """The headers of all answers.

        An answer with records takes them together with the records, since the store
        may come back from a copy before it is sent.
        """
        return {"Store-Era": str(self.era)} if self.names_era else {}

    def copy(self) -> StoreCopy:
        """Return a copy of all records."""
        with self.lock:
            return StoreCopy(
                {name: list(log) for name, log in self.logs.items()},
                dict(self.first),
                {name: dict(rows) for name, rows in self.newest.items()},
            )

    def return_to(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost, a new era begins."""
        with self.lock:
            self.logs = {name: list(log) for name, log in copy.logs.items()}
            self.first = dict(copy.first)
            self.newest = {name: dict(rows) for name, rows in copy.newest.items()}
            self.era += 1

    def compact(self, topic: str) -> None:
        """Delete a topic's log, but keep the newest record of each key."""
        with self.lock:
            self.first[topic] = len(self.logs.get(topic, []))

    def serve(self, request: Handler, body: bytes) -> None:
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        with self.lock:
            self.calls.append(request.path)
        if self.is_away(request):
            return
        is_read = url.path in ("/v1/log-newest", "/v1/log-read")
        if is_read and self.rejects_missing and query["topic"] not in self.logs:
            request.answer(404)
        elif url.path == "/v1/log-newest":
            self.serve_newest(request, log_name(query))
        elif url.path == "/v1/log-read":
            self.serve_read(request, query)
        elif url.path == "/v1/log-append":
            self.serve_append(request, query, body)
        else:
            request.answer(404)

    def is_away(self, request: Handler) -> bool:
        """Return whether the store is away, and treat the request as its mode says."""
        mode = self.mode
        if mode == "silent":
            time.sleep(3.0)
            request.close_connection = True
        elif mode == "reset":
            request.cut()
        elif mode == "busy":
            request.answer(503)
        else:
            return False
        return True

    def serve_newest(self, request: Handler, topic: str) -> None:
        with self.lock:
            rows = dict(self.newest.get(topic, {}))
            log = list(self.logs.get(topic, []))
            headers = self.answer_headers
        end = len(log)
        # The offset of the last equal record of each key.
        offsets = {record: offset for offset, record in enumerate(log)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offsets.get(bytes([len(key)]) + key.encode() + value, 0),
            }
            for key, value in rows.items()
        ]
        fields = {"items": items, "has_more": False, "end": end}
        request.answer_json(fields, headers=headers)

    def serve_read(self, request: Handler, query: dict[str, str]) -> None:
        topic, start = query["topic"], int(query["from"])
        if self.silent_reads and topic == "keyed.op":
            self.silent_reads -= 1
            time.sleep(10.0)
            return
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            # Also a read that waits gets nothing that was written since.
            if self.is_away(request):
                return
            with self.lock:
                log = list(self.logs.get(log_name(query), []))
                first = self.first.get(log_name(query), 0)
                headers = self.answer_headers
            if not first <= start <= len(log):
                request.answer_json({"first": first}, 410, headers)
                return
            if len(log) > start or time.monotonic() >= deadline:
                break
            time.sleep(0.01)
        data = struct.pack(">QQ", len(log), first)
        for record in log[start:]:
            data += struct.pack(">I", len(record)) + record
        request.answer(200, data, headers)

    def serve_append(
        self, request: Handler, query: dict[str, str], body: bytes
    ) -> None:
        with self.lock:
            headers = self.answer_headers
            log = self.logs.setdefault(log_name(query), [])
            if "at" in query and int(query["at"]) != len(log):
                request.answer_json({"end": len(log)}, 412, headers)
                return
            offset = len(log)
            if "producer" in query:
                place = query["producer"], int(query["epoch"]), int(query["seq"])
                turn = self.producers.check(log_name(query), *place)
                if turn.why:
                    request.answer_json({"why": turn.why}, 409, headers)
                    return
                if turn.answer is not None:
                    request.answer_json({"offset": turn.answer}, headers=headers)
                    return
                self.producers.note(log_name(query), *place, offset)
            for record in split_records(body):
                log.append(record)
                if query["topic"].startswith("keyed."):
                    key = record[1 : 1 + record[0]].decode()
                    rows = self.newest.setdefault(log_name(query), {})
                    rows[key] = record[1 + record[0] :]
            fields = {"offset": offset, "end": len(log)}
        request.answer_json(fields, headers=headers)


def log_name(query: dict[str, str]) -> str:
    """Return the name of a partition's log: that of the topic for the first one."""
    part = query.get("part", "0")
    return query["topic"] if part == "0" else f"{query['topic']}/{part}"


def split_records(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records


class EndpointStandIn(StandIn):
    """One endpoint: a plain service, or an engine with leases and prefills.

    ``faults`` holds any of these names:

    not_run      rejects calls and prefills with the assurance that they have not run
    error        answers status 500
    cut_head     truncates the headers
    status_000   answers with this status, as status_999 does
    cut_body     truncates the body
    foreign      answers with the id of another request
    silent       does not answer
    no_room      refuses leases
    cut_stream   truncates the next stream half-way
    cut_streams  truncates each stream half-way
    unframed     sends streams with neither a length nor chunks
    cut_unframed as unframed, and ends the next stream inside an event
    cut_chunks   ends the next stream inside an event, and its chunks as usual
    cut_length   ends the next stream inside an event, at its Content-Length
    long_event   begins a long event in the middle of the next stream
    excess       sends streams with a length, and another answer after them
    lost_handle  rejects streams that refer to the result of a prefill
    drip         sends a byte of the body now and then
    drip_end     as drip, after the beginning of an answer that ends with its connection
    reset_upload answers before it reads the body, and resets the connection
    drip_stream  starts a stream and then sends bytes that complete no event
    endless_head sends headers without end
    flood_head   as endless_head, as fast as possible
    flood_body   sends a body without end, as fast as possible
    flood_stream starts a stream, and then sends an event without end
    flood_chunk  as flood_stream, in a chunk without end
    reset_kept   resets requests on a connection that was used before
    """

    def __init__(self, endpoint_id: str, stage: str | None = None) -> None:
        super().__init__()
        self.endpoint_id = endpoint_id
        self.stage = stage
        self.slots = 4
        self.faults: set[str] = set()
        self.events = 5
        self.event_period_s = EVENT_PERIOD_S
        self.first_event_s = 0.0
        # A stream pauses once for ``pause_s`` after this many events.
        self.pause_after = 0
        self.pause_s = 0.0
        # Headers that are added to all answers.
        self.answer_headers: dict[str, str] = {}
        # How long a plain call takes.
        self.work_s = 0.0
        self.runs: list[tuple[str, str, dict[str, str], bytes]] = []
        self.prefills: list[str] = []
        # The headers of all requests of any kind.
        self.received: list[dict[str, str]] = []
        self.leases: set[str] = set()
        self.handles: set[str] = set()
        self.orders: list[dict[str, Any]] = []
        self.open_streams = 0
        # How long after the end of its answer each reset came.
        self.resets_took_s: list[float] = []
        self.count = 0
        # A part of a prompt that crashes the endpoint when it begins to answer it.
        self.deadly_part = "no such part"
        # What is sent in place of a resumed stream: status, headers and body.
        self.resumed_answer: bytes | None = None
        self.has_crashed = False

    def entry(self, service: str, domain: str = "lhr-a", **changes: Any) -> bytes:
        """Return the endpoint's entry for the store."""
        fields = {
            "service": service,
            "address": self.address,
            "zone": domain,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1788179296174,
        }
        if self.stage is not None:
            fields["stage"] = self.stage
        return json.dumps({**fields, **changes}).encode()

    def serve(self, request: Handler, body: bytes) -> None:
        with self.lock:
            self.count += 1
            number = self.count
        headers = {name: value for name, value in request.headers.items()}
        self.received.append(headers)
        target = headers.get("Poplarfold-Target-Instance")
        was_used, request.was_used = request.was_used, True
        if was_used and "reset_kept" in self.faults:
            request.cut()
        elif target not in (None, self.endpoint_id):
            request.answer(421, b"", {"Poplarfold-Instance-Id": self.endpoint_id})
        elif request.path == "/v1/hold-take":
            self.take_lease(request, number)
        elif request.path.startswith("/v1/hold-drop/"):
            self.leases.discard(request.path.rpartition("/")[2])
            request.answer(200)
        elif request.path.startswith("/v1/kv-handle/"):
            self.handles.discard(request.path.rpartition("/")[2])
            request.answer(200)
        elif request.path == "/v1/report":
            request.answer_json(
                {"stage": self.stage, "busy": False, "seq": len(self.orders)}
            )
        elif request.path == "/v1/order":
            self.orders.append(json.loads(body))
            request.answer(202)
        elif headers.get("Poplarfold-Stage") == "prefill":
            self.prefill(request, headers, number)
        elif self.stage == "decode":
            self.stream(request, headers, body)
        else:
            self.run(request, headers, body)

    def take_lease(self, request: Handler, number: int) -> None:
        if "no_room" in self.faults:
            request.answer(503)
            return
        self.leases.add(f"h{number}")
        request.answer_json({"hold": f"h{number}"})

    def prefill(self, request: Handler, headers: dict[str, str], number: int) -> None:
        if "not_run" in self.faults:
            request.answer(503, b"", {"Poplarfold-Not-Executed": "1"})
            return
        self.prefills.append(headers["Poplarfold-Request-Id"])
        self.handles.add(f"k{number}")
        request.answer_json({"handle": f"k{number}", "tokens": 100, "version": 1})

    def proof(self, headers: dict[str, str]) -> dict[str, str]:
        own = headers.get("Poplarfold-Request-Id", "")
        return {
            "Poplarfold-Request-Id": "0000" if "foreign" in self.faults else own,
            "Poplarfold-Server-Stamp": STAMP,
            "Poplarfold-Server-Load": "1,0,4",
        }

    def record_arrival(self, headers: dict[str, str], ran: bool) -> None:
        """Do nothing; subclasses may record a plain call before it runs."""

    def whole_body(self, request_id: str) -> bytes:
        """Return the body of a successful answer to a request."""
        return b"whole answer"

    def run(self, request: Handler, headers: dict[str, str], body: bytes) -> None:
        # Later changes of the faults apply to later calls only.
        faults = frozenset(self.faults)
        self.record_arrival(headers, "not_run" not in faults)
        if "not_run" in faults:
            request.answer(503, b"", {"Poplarfold-Not-Executed": "1"})
            return
        self.runs.append((request.command, request.path, headers, body))
        time.sleep(self.work_s)
        if "silent" in faults:
            time.sleep(2.0)
            request.close_connection = True
        elif "error" in faults:
            request.answer(500, b"failed", self.proof(headers))
        elif "cut_head" in faults:
            own = headers["Poplarfold-Request-Id"]
            head = f"HTTP/1.1 200 OK\r\nPoplarfold-Request-Id: {own}\r\n"
            request.cut(f"{head}Poplarfold-Server-Stamp: {STAMP}\r\nConte".encode())
        elif faults & {"status_000", "status_999"}:
            status = b"000" if "status_000" in faults else b"999"
            request.cut(self.unframed_head(headers).replace(b"200", status, 1) + b"ha")
        elif "drip_end" in faults:
            self.send_without_end(request, self.unframed_head(headers), b"x", 0.1)
        elif "drip" in faults:
            self.send_without_end(request, b"HTTP/1.1 200 OK\r\n\r\n", b"x", 0.1)
        elif "endless_head" in faults:
            self.send_without_end(request, b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * 20, 0.01)
        elif "flood_head" in faults:
            self.send_without_end(request, b"HTTP/1.1 200 OK\r\n", FLOOD_HEADERS, 0.0)
        elif "flood_body" in faults:
            own = headers["Poplarfold-Request-Id"]
            head = f"HTTP/1.1 200 OK\r\nPoplarfold-Request-Id: {own}\r\n"
            head += f"Poplarfold-Server-Stamp: {STAMP}\r\n\r\n"
            self.send_without_end(request, head.encode(), b"x" * 65536, 0.0)
        elif "cut_body" in faults:
            own = headers["Poplarfold-Request-Id"]
            head = f"HTTP/1.1 200 OK\r\nPoplarfold-Request-Id: {own}\r\n"
            head += f"Poplarfold-Server-Stamp: {STAMP}\r\nContent-Length: 9\r\n\r\n"
            request.cut(head.encode() + b"ha")
        else:
            proof = self.proof(headers)
            whole = self.whole_body(proof["Poplarfold-Request-Id"])
            request.answer(200, whole, proof)

    def unframed_head(self, headers: dict[str, str]) -> bytes:
        """Return the head of an answer with neither a length nor chunks."""
        rows = "".join(
            f"{row}: {text}\r\n" for row, text in self.proof(headers).items()
        )
        return f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode()

    def reset_upload(self, request: Handler) -> None:
        """Send the beginning of an answer, end the connection and then reset it."""
        headers = {name: value for name, value in request.headers.items()}
        self.runs.append((request.command, request.path, headers, b""))
        request.wfile.write(self.unframed_head(headers) + b"whole ans")
        request.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        request.close_connection = True
        began_at = time.monotonic()
        request.connection.shutdown(socket.SHUT_WR)
        os.close(request.connection.detach())
        self.resets_took_s.append(time.monotonic() - began_at)

    def send_without_end(
        self, request: Handler, head: bytes, part: bytes, pause_s: float
    ) -> None:
        """Send a head and then the same bytes again and again, for 20 s at most."""
        request.close_connection = True
        ends_at = time.monotonic() + 20.0
        try:
            request.wfile.write(head)
            while time.monotonic() < ends_at:
                request.wfile.write(part)
                request.wfile.flush()
                time.sleep(pause_s)
        except OSError:
            return

    def all_events(self, headers: dict[str, str]) -> bytes:
        """Return the events of a stream from the one on that the request asks for."""
        first = int(headers.get("Last-Event-Id", "0")) + 1
        numbers = range(first, self.events + 1)
        return "".join(f"id: {n}\ndata: piece {n}\n\n" for n in numbers).encode()

    def stream_with_excess(self, request: Handler, headers: dict[str, str]) -> None:
        """Send a stream with a length, and then another answer."""
        data = self.all_events(headers)
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        other = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)
        request.wfile.write(data + other)

    def stream_unframed(self, request: Handler, headers: dict[str, str]) -> None:
        """Send a stream that ends with its connection."""
        request.send_header("Connection", "close")
        request.end_headers()
        data = self.all_events(headers)
        is_cut = "cut_unframed" in self.faults
        self.faults.discard("cut_unframed")
        request.wfile.write(data[: len(data) // 2 + 3] if is_cut else data)
        request.close_connection = True

    def stream_cut_in_event(self, request: Handler, headers: dict[str, str]) -> None:
        """Send a stream that ends inside an event, with complete framing."""
        data = self.all_events(headers)
        data = data[: len(data) // 2 + 3]
        if "cut_length" in self.faults:
            request.send_header("Content-Length", str(len(data)))
        else:
            request.send_header("Transfer-Encoding", "chunked")
            data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data)
        self.faults -= {"cut_chunks", "cut_length"}
        request.end_headers()
        request.wfile.write(data)

    def crash(self, request: Handler) -> None:
        """Stop listening and close the connection, as a process that ends."""
        self.has_crashed = True
        self.stop()
        request.cut()

    def stream(self, request: Handler, headers: dict[str, str], body: bytes) -> None:
        self.leases.discard(headers.get("Poplarfold-Kv-Hold", ""))
        has_source = "Poplarfold-Kv-Source" in headers
        if "lost_handle" in self.faults and has_source:
            request.answer(503, b"", {"Poplarfold-Not-Executed": "1"})
            return
        self.runs.append((request.command, request.path, headers, body))
        if self.resumed_answer is not None and "Last-Event-Id" in headers:
            lines = [f"{row}: {text}" for row, text in self.proof(headers).items()]
            status, _, rest = self.resumed_answer.partition(b"\r\n")
            head = "\r\n".join(["", *lines, ""]).encode()
            request.cut(b"HTTP/1.1 " + status + head + rest)
            return
        request.send_response(200)
        for name, value in {**self.proof(headers), **request.own_headers()}.items():
            request.send_header(name, value)
        request.send_header("Content-Type", "text/event-stream")
        if self.faults & {"unframed", "cut_unframed"}:
            self.stream_unframed(request, headers)
            return
        if self.faults & {"cut_chunks", "cut_length"}:
            self.stream_cut_in_event(request, headers)
            return
        if "flood_stream" in self.faults:
            request.end_headers()
            self.send_without_end(request, b"id: 1\ndata: ", b"x" * 65536, 0.0)
            return
        if "flood_chunk" in self.faults:
            request.send_header("Transfer-Encoding", "chunked")
            request.end_headers()
            self.send_without_end(request, b"7fffffff\r\n", b"x" * 65536, 0.0)
            return
        if "excess" in self.faults:
            self.stream_with_excess(request, headers)
            return
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        first = int(headers.get("Last-Event-Id", "0")) + 1
        if self.deadly_part in headers.get("Poplarfold-Prompt-Prefix", ""):
            self.crash(request)
            return
        self.open_streams += 1
        time.sleep(self.first_event_s)
        next_at = time.monotonic()
        try:
            for number in range(first, self.events + 1):
                is_cut = bool(self.faults & {"cut_stream", "cut_streams"})
                if is_cut and number > self.events // 2:
                    self.faults.discard("cut_stream")
                    request.cut(b"7\r\nid: 3\n")
                    return
                if "long_event" in self.faults and number > self.events // 2:
                    self.faults.discard("long_event")
                    event = f"id: {number}\ndata: piece {number}\n\n".encode()
                    event += f"id: {number + 1}\ndata: ".encode() + b"x" * 100_000
                    request.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                    time.sleep(5.0)
                    return
                if "drip_stream" in self.faults and number > self.events // 2:
                    self.faults.discard("drip_stream")
                    self.send_without_end(request, b"", b"1\r\nx\r\n", 0.1)
                    return
                if number == self.pause_after + 1 and self.pause_s:
                    time.sleep(self.pause_s)
                    next_at = time.monotonic()
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                request.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                request.wfile.flush()
                # Paced by the start of the stream, so that late wake-ups on a busy
                # machine do not add up.
                next_at += self.event_period_s
                time.sleep(max(0.0, next_at - time.monotonic()))
            request.wfile.write(b"0\r\n\r\n")
        except OSError:
            request.close_connection = True
        finally:
            self.open_streams -= 1


def boot_fields(
    name: str, ports: dict[str, int], store_address: str, bounds: dict[str, Any]
) -> dict[str, Any]:
    """Return the fields of the file that the platform writes for a first process."""
    address = {listener: f"127.0.0.1:{port}" for listener, port in ports.items()}
    return {
        "node_name": name,
        "zone": "lhr-a",
        "region": "lahore",
        "ip": "127.0.0.1",
        "zones": {"lhr-a": "lahore", "khi-a": "karachi"},
        "listen": {"front": address["front"], "ready": address["ready"]},
        "port_range": [0, 0],
        "bootstrap": True,
        "limits": {"memory_mb": 150},
        "bounds": bounds,
        "platform": {"address": store_address},
    }


STREAMED = {"sticky": True, "resumable": True, "timeout_ms": 14000}


def configuration(version: int = 7, **changes: Any) -> bytes:
    """Return a configuration with one route of each kind."""
    routes = [
        route("caption", "/caption/", "streaming", "llm", **STREAMED),
        route("filing", "/filing/", "non_idempotent", "registry", max_attempts=1),
        route("lookup", "/lookup/", "idempotent", "registry"),
    ]
    fields = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "llm",
                "max_connections": 64,
                "engine": {"slots": 4, "kv_tokens": 80000, "hold_ms": 2000.0},
            },
            {"name": "registry", "max_connections": 64},
        ],
        "limits": {"idle_timeout_ms": 15000},
    }
    return json.dumps({**fields, **changes}).encode()


def tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    """Return one client account of a configuration."""
    return {
        "name": name,
        "api_keys": list(keys),
        "unit": "tokens",
        "plain_tokens": 200,
        "rate_per_s": 171315,
        "burst": 171315,
        **changes,
    }


def route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> dict:
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": "entry.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }
