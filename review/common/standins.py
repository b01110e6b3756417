"""Stand-ins of plain servers and model servers, by the platform's protocol.

Each one is an HTTP server on loopback, in threads of the script. All that arrives,
runs and ends is written to the record with its time.
"""

import json
import os
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
# With this option a close sends a reset, as when a process is killed in the middle of
# its work.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Record:
    """The lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, text):
        at = self.now()
        with self.lock:
            self.lines.append(f"{at:9.3f}  {text}")
        return at

    def save(self):
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n")


class Handler(BaseHTTPRequestHandler):
    """Hands each request to the stand-in, until its connection ends."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.standin.sockets.add(self.connection)

    def finish(self):
        self.server.standin.sockets.discard(self.connection)
        try:
            super().finish()
        except OSError:
            return

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        try:
            self.server.standin.serve(self, body)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any  # noqa: N815

    def log_message(self, format, *args):
        """Log nothing: the record has it."""

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, fields, status=200):
        headers = {"Content-Type": "application/json"}
        self.answer(status, json.dumps(fields).encode(), headers)


class Listener(ThreadingHTTPServer):
    """A server that ignores connections that its callers have closed."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore it: callers may leave at any time."""


class Server:
    """A plain server, or a model server if it has a stage.

    It registers itself in the store and writes there every ``BEAT_S``. ``slots``
    limits what runs at the same time; a model server gives a hold only for a free
    slot.
    """

    BEAT_S = 1.2

    def __init__(self, record, store, service, zone, stage=None, slots=6):
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.work_s = 0.09
        self.events = 70
        self.event_period_s = 0.045
        self.prefill_s = 0.09
        self.lock = threading.Lock()
        self.sockets = set()
        self.running = 0
        self.holds = {}
        self.count = 0
        # Requests that were sent to be run, and prefills: (seconds, kind, request id).
        self.arrivals = []
        self.port = 0
        self.listener = None
        self.is_beating = False
        self.start()

    def start(self):
        """Start a new incarnation at the same address."""
        self.server_id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.seq = 0
        with self.lock:
            self.running = 0
            self.holds = {}
        self.listener = Listener(("127.0.0.1", self.port), Handler)
        self.listener.standin = self
        self.port = self.listener.server_address[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(
            target=self.listener.serve_forever, args=(0.02,), daemon=True
        ).start()
        self.is_beating = True
        threading.Thread(target=self.beat, args=(self.server_id,), daemon=True).start()

    def entry(self, **changes):
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.stage is not None:
            fields["stage"] = self.stage
        return json.dumps({**fields, **changes}).encode()

    def beat(self, server_id):
        """Write the entry until the server ends; the store drops it later."""
        while self.is_beating and self.server_id == server_id:
            self.seq += 1
            self.store.put("keyed.servers", server_id, self.entry())
            time.sleep(self.BEAT_S)

    def crash(self):
        """End as a killed process does: no listener, all connections reset."""
        self.is_beating = False
        dead_id = self.server_id
        self.record.add(f"server {dead_id} ({self.stage}) crashes")
        self.listener.shutdown()
        self.listener.server_close()
        for sock in list(self.sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        # After three beats of silence the store drops the entry.
        threading.Timer(
            3 * self.BEAT_S, self.store.put, ("keyed.servers", dead_id, None)
        ).start()

    def restart(self):
        self.start()
        self.record.add(f"server {self.server_id} ({self.stage}) starts")

    def serve(self, request, body):
        path = request.path
        target = request.headers.get("Poplarfold-Target-Instance")
        if target not in (None, self.server_id):
            request.answer(421)
        elif path == "/v1/hold-take":
            self.take_hold(request)
        elif path.startswith("/v1/hold-drop/"):
            with self.lock:
                self.holds.pop(path.rpartition("/")[2], None)
            request.answer(200)
        elif path.startswith("/v1/kv-handle/"):
            request.answer(200)
        elif path == "/v1/report":
            request.answer_json({"stage": self.stage, "busy": False, "seq": 0})
        elif path == "/v1/order":
            request.answer(409)
        elif request.headers.get("Poplarfold-Stage") == "prefill":
            self.prefill(request)
        elif self.stage == "decode":
            self.stream(request)
        elif self.stage is None:
            self.run(request, body)
        else:
            request.answer(421)

    def live_holds(self):
        now = time.monotonic()
        self.holds = {key: at for key, at in self.holds.items() if at > now}
        return len(self.holds)

    def take_hold(self, request):
        with self.lock:
            self.count += 1
            hold = f"h{self.count}"
            is_free = self.running + self.live_holds() < self.slots
            if is_free:
                self.holds[hold] = time.monotonic() + 2.0
        if is_free:
            request.answer_json({"hold": hold})
        else:
            request.answer(503, b"", {"Poplarfold-Not-Executed": "1"})

    def arrive(self, request, kind):
        request_id = request.headers.get("Poplarfold-Request-Id", "")
        at = self.record.add(f"{request_id} {kind} at {self.server_id}")
        with self.lock:
            self.arrivals.append((at, kind, request_id))
        return request_id

    def prefill(self, request):
        if self.stage != "prefill":
            request.answer(421)
            return
        self.arrive(request, "prefill")
        time.sleep(self.prefill_s)
        request.answer_json(
            {"handle": os.urandom(6).hex(), "tokens": 5200, "version": 1}
        )

    def proof(self, request_id):
        load = f"{self.running},0,{self.slots}"
        return {
            "Poplarfold-Request-Id": request_id,
            "Poplarfold-Server-Stamp": STAMP,
            "Poplarfold-Server-Load": load,
        }

    def run(self, request, body):
        request_id = self.arrive(request, "run")
        time.sleep(self.work_s)
        request.answer(200, b"x" * 800, self.proof(request_id))
        self.record.add(f"{request_id} ran at {self.server_id}")

    def stream(self, request):
        request_id = self.arrive(request, "stream")
        with self.lock:
            self.holds.pop(request.headers.get("Poplarfold-Kv-Hold", ""), None)
            self.running += 1
        own_id = self.server_id
        try:
            self.send_events(request, request_id)
            self.record.add(f"{request_id} streamed whole at {own_id}")
        finally:
            with self.lock:
                if self.server_id == own_id:
                    self.running -= 1

    def send_events(self, request, request_id):
        request.send_response(200)
        for name, value in self.proof(request_id).items():
            request.send_header(name, value)
        request.send_header("Content-Type", "text/event-stream")
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        next_at = time.monotonic()
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            request.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            next_at += self.event_period_s
            time.sleep(max(0.0, next_at - time.monotonic()))
        request.wfile.write(b"0\r\n\r\n")
