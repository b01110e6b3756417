"""The platform's stand-ins, extended with the faults and records of the soak."""

import json
import random
import threading
import time
from functools import partial

from tests.functional.gateway_soak.accounts import has_key
from tests.functional.gateway_soak.proxy import Link, LinkMode
from tests.functional.gateway_soak.records import (
    Arrival,
    LimitRow,
    Records,
    total_events,
)
from tests.lib.platform_standin import EndpointStandIn, Handler, StoreStandIn

__all__ = ["LATE_PREFIX", "SLOW_PREFIX", "SoakEndpoint", "SoakStore"]

EVENT_PERIOD_S = 0.03
# Begins the request ids of callers that do not read their large answers; the host
# follows.
SLOW_PREFIX = "slow-"
# Begins the request ids of calls about the end of a stop. They take longer than what
# the process does between its last look at its open calls and its exit.
LATE_PREFIX, LATE_WORK_S = "late-", 0.4
SLOW_BODY_BYTES = 1_000_000


class SoakStore(StoreStandIn):
    """A store that can lose answers to appends and write lost records again.

    ``written`` is what the operator and the endpoints wrote last, by topic and key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.writing = threading.Lock()
        self.written: dict[tuple[str, str], bytes | None] = {}
        self.loses_append_answers = False

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        with self.writing:
            self.written[topic, key] = value
            super().put(topic, key, value)

    def lost(self) -> list[tuple[str, str]]:
        """Return the topics and keys of the records that a return has lost."""
        with self.writing:
            return [
                (topic, key)
                for (topic, key), value in self.written.items()
                if self.newest.get(topic, {}).get(key) != value
            ]

    def write_again(self, topic: str, key: str) -> None:
        """Write again what was written last."""
        with self.writing:
            super().put(topic, key, self.written[topic, key])

    def serve_append(
        self, request: Handler, query: dict[str, str], body: bytes
    ) -> None:
        if self.loses_append_answers:
            request.answer = lambda *given: request.cut()  # type: ignore[method-assign]
        super().serve_append(request, query, body)


class SoakEndpoint(EndpointStandIn):
    """An endpoint behind a link, which records the arrival of each request."""

    def __init__(
        self, endpoint_id: str, service: str, records: Records, stage: str | None
    ) -> None:
        super().__init__(endpoint_id, stage)
        self.service = service
        self.records = records
        self.link = Link(self.address)
        self.address = self.link.address
        self.slots = 16
        self.born = 1788179296174
        # How many entries this incarnation has written.
        self.seq = 0
        self.announcing = threading.Lock()
        self.state = "ready"
        self.work_s = 0.01
        self.rng = random.Random(endpoint_id)
        # The share of plain calls that fail with status 500.
        self.failing_share = 0.0
        # The limit that a plain endpoint names in all its answers.
        self.limit_per_s: float | None = None

    def announce(self, store: StoreStandIn) -> None:
        """Write the endpoint's entry to the store."""
        with self.announcing:
            self.seq += 1
            entry = self.entry(
                self.service, born=self.born, state=self.state, seq=self.seq
            )
            store.put("keyed.servers", self.endpoint_id, entry)

    def begin_incarnation(self) -> None:
        """Begin a new incarnation, whose entries are numbered anew."""
        self.born += 1000
        self.seq = 0

    def crash(self) -> None:
        """Reset all connections and refuse new ones."""
        self.link.mode = LinkMode.REFUSE
        self.link.reset_all()

    def restart(self) -> None:
        """Restart under the same id as a new incarnation."""
        self.begin_incarnation()
        self.limit_per_s = None
        self.leases.clear()
        self.handles.clear()
        self.link.mode = LinkMode.PASS

    def add_arrival(self, headers: dict[str, str], ran: bool, is_prefill: bool) -> str:
        """Record an arrival and return the request's id."""
        request_id = headers.get("Poplarfold-Request-Id", "")
        now = time.monotonic()
        accounts = tuple(
            value
            for name, value in headers.items()
            if name.lower().replace("_", "-") == "poplarfold-tenant"
        )
        row = Arrival(
            request_id, self.service, self.endpoint_id, now, ran, is_prefill, accounts
        )
        self.records.add(row)
        return request_id

    def serve(self, request: Handler, body: bytes) -> None:
        if has_key(dict(request.headers.items())):
            self.records.add_violation("keys", f"{self.endpoint_id} got a key")
        if request.path == "/v1/order":
            order = json.loads(body)
            row = time.monotonic(), self.endpoint_id, order["holder"], order["fence"]
            self.records.orders.append(row)
        if self.stage is None:
            request_id = request.headers.get("Poplarfold-Request-Id", "")
            row = LimitRow(
                f"{self.endpoint_id} {self.born}", self.address, request_id,
                time.monotonic(),
            )  # fmt: skip
            self.records.add(row)
            request.answer = partial(self.answer_with_limit, request, row)  # type: ignore[method-assign]
        super().serve(request, body)

    def answer_with_limit(
        self,
        request: Handler,
        row: LimitRow,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Answer a request with the limit that is in force, and record that."""
        limit = self.limit_per_s
        named = {} if limit is None else {"Server-Limit": str(limit)}
        answer_id = (headers or {}).get("Poplarfold-Request-Id", row.request_id)
        self.records.add(
            row._replace(
                at=time.monotonic(),
                is_answer=True,
                limit_per_s=limit,
                is_foreign=answer_id != row.request_id,
            )
        )
        Handler.answer(request, status, body, {**named, **(headers or {})})

    def proof(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the proof headers, with a pace that changes with each answer."""
        percent = round(100 * self.rng.uniform(0.6, 4.0))
        load = f"1,0,{self.slots},{percent}"
        return {**super().proof(headers), "Poplarfold-Server-Load": load}

    def run(self, request: Handler, headers: dict[str, str], body: bytes) -> None:
        if self.rng.random() >= self.failing_share:
            super().run(request, headers, body)
            return
        self.add_arrival(headers, ran=True, is_prefill=False)
        request.answer(500, b"failed", self.proof(headers))

    def prefill(self, request: Handler, headers: dict[str, str], number: int) -> None:
        self.add_arrival(headers, ran=False, is_prefill=True)
        super().prefill(request, headers, number)

    def record_arrival(self, headers: dict[str, str], ran: bool) -> None:
        request_id = self.add_arrival(headers, ran, is_prefill=False)
        if ran:
            is_late = request_id.startswith(LATE_PREFIX)
            time.sleep(LATE_WORK_S if is_late else self.work_s)

    def whole_body(self, request_id: str) -> bytes:
        if request_id.startswith(SLOW_PREFIX):
            return bytes(SLOW_BODY_BYTES)
        return f"answer for {request_id}".encode()

    def stream(self, request: Handler, headers: dict[str, str], body: bytes) -> None:
        if "not_run" in self.faults or "Poplarfold-Kv-Hold" not in headers:
            self.add_arrival(headers, ran=False, is_prefill=False)
            request.answer(503, b"", {"Poplarfold-Not-Executed": "1"})
            return
        request_id = self.add_arrival(headers, ran=True, is_prefill=False)
        self.events = total_events(request_id)
        try:
            self.send_events(request, headers, request_id)
        except OSError:
            request.close_connection = True
        finally:
            with self.records.lock:
                self.records.run_ends[request_id] = time.monotonic()

    def send_events(
        self, request: Handler, headers: dict[str, str], request_id: str
    ) -> None:
        """Send a stream; the fault ``cut_stream`` ends it after half of its events."""
        self.leases.discard(headers["Poplarfold-Kv-Hold"])
        request.send_response(200)
        for name, value in self.proof(headers).items():
            request.send_header(name, value)
        request.send_header("Content-Type", "text/event-stream")
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        last = total_events(request_id)
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, last + 1):
            if "cut_stream" in self.faults and number == last // 2 and first == 1:
                request.cut(b"9\r\nid: 3\nda")
                return
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            request.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            request.wfile.flush()
            time.sleep(EVENT_PERIOD_S)
        request.wfile.write(b"0\r\n\r\n")
