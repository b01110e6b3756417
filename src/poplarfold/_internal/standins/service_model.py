"""Event-driven simulation of a plain service with a queue and a few workers.

A call takes effect when a worker takes it from the queue, and cannot be undone from
then on. ``runs`` counts these effects per operation id and ``runs_by_request`` per
request body, so that a test detects a request that ran twice, even under two
operation ids.

    >>> service = ServiceModel(ServiceConfig("s1", Identity("a", "registry", "v1")))
    >>> service.call(0.0, Call("c1", "op-1", 7, service.identity, b"{}"))
    >>> [(done.request_id, done.status) for done in service.advance(1.0)]
    [('c1', 200)]
"""

import hashlib
import heapq
import json
from collections import Counter, OrderedDict, deque
from typing import NamedTuple

from poplarfold._internal.core.events import EndpointReported, WorkItem
from poplarfold._internal.core.model import EndpointRole, HostKey, Identity

__all__ = [
    "Call",
    "CallDone",
    "Operation",
    "ServiceBackend",
    "ServiceConfig",
    "ServiceModel",
    "answer_body",
    "request_digest",
]

MAX_OPERATIONS = 100_000
LEAVING_GRACE_S = 3.0
# Interval at which a process checks whether another one has finished an operation.
RECHECK_S = 0.05


class ServiceConfig(NamedTuple):
    """Capacities, service times and behaviour of one service process.

    Service times are spread evenly from ``service_min_s`` to ``service_max_s`` by a
    digest of the call, so that simulations are reproducible. A process with
    ``rejects_stale_fencing`` rejects a call whose fencing number is below the highest
    that the service has seen for the operation, and runs the operation again under
    an equal or higher number. A process with ``knows_operations`` runs an operation
    once and answers repeats from the recorded result.
    """

    address: str
    identity: Identity
    incarnation: int = 1
    workers: int = 4
    queue_limit: int = 200
    service_min_s: float = 0.005
    service_max_s: float = 0.030
    rejects_stale_fencing: bool = True
    knows_operations: bool = True
    checks_identity: bool = True


class Call(NamedTuple):
    """One request. ``call`` is an id that is unique per request, not per operation.

    For idempotent calls ``operation_id`` is empty and ``fencing`` negative.
    """

    request_id: str
    operation_id: str
    fencing: int
    identity: Identity
    body: bytes
    owner: HostKey = HostKey("", 0)


class CallDone(NamedTuple):
    """The response to the request with the id ``request_id``."""

    at: float
    request_id: str
    status: int
    body: bytes


class Operation(NamedTuple):
    """The recorded state of an operation: ``running``, ``done`` or ``unknown``.

    ``status`` and ``body`` are set once the state is ``done``.
    """

    state: str
    status: int = 0
    body: bytes = b""


def request_digest(body: bytes) -> str:
    """Return the digest of a request body, by which its runs are counted."""
    return hashlib.sha256(body).hexdigest()[:16]


def answer_body(identity: Identity, call: Call, run: int) -> bytes:
    """Return the body of an answer, with the operation id and request digest.

    ``run`` is the number of times that the operation has run, including this one.
    """
    answer = {
        "owner": identity.owner,
        "service": identity.service,
        "version": identity.version,
        "operation_id": call.operation_id,
        "request_sha256": request_digest(call.body),
        "run": run,
    }
    return json.dumps(answer, separators=(",", ":")).encode()


class ServiceBackend:
    """Effects and recorded operations, shared by the processes of one service.

    Stands for the database behind a service. It survives crashes of the processes,
    and counts runs of one operation at two processes as two.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.operations: OrderedDict[str, Operation] = OrderedDict()
        self.highest_fencing: dict[str, int] = {}

    def record(self, operation_id: str, operation: Operation) -> None:
        """Record an operation, and drop the oldest one above ``MAX_OPERATIONS``."""
        self.operations[operation_id] = operation
        if len(self.operations) > MAX_OPERATIONS:
            oldest, _ = self.operations.popitem(last=False)
            self.highest_fencing.pop(oldest, None)


class ServiceModel:
    """One service process. Processes of one service share a ``backend``."""

    def __init__(
        self, config: ServiceConfig, backend: ServiceBackend | None = None
    ) -> None:
        self.config = config
        self.backend = backend or ServiceBackend()
        self.address = config.address
        self.identity = config.identity
        self.incarnation = config.incarnation
        self.now = 0.0
        self.slow_factor = 1.0
        self.leaving_since: float | None = None
        self.queue: deque[Call] = deque()
        self.running: list[tuple[float, int, Call, bytes]] = []
        self.sequence = 0
        self.events: list[CallDone] = []
        self.waiting_calls: dict[str, list[str]] = {}
        self.rechecks: deque[tuple[float, int, Call]] = deque()
        self.runs_here = 0
        self.served: Counter[Identity] = Counter()
        self.served_unpinned = 0
        self.refusals: Counter[str] = Counter()
        self.answered_again = 0
        self.work_after_leaving_s = 0.0
        self.late_work_after_leaving = 0
        self.highest_order_fencing = -1
        self.stale_orders_applied = 0

    def next_event_at(self) -> float | None:
        """Return the time of the next answer or recheck, or None when idle."""
        times = [rows[0][0] for rows in (self.running, self.rechecks) if rows]
        return min(times, default=None)

    def advance(self, now: float) -> list[CallDone]:
        """Advance the service to ``now`` and return the answers made until then."""
        self.run_until(now)
        events, self.events = self.events, []
        return events

    def run_until(self, now: float) -> None:
        """Finish runs and start queued calls up to ``now``."""
        while (at := self.next_event_at()) is not None and at <= now:
            self.now = max(self.now, at)
            if self.running and self.running[0][0] <= at:
                _, _, call, body = heapq.heappop(self.running)
                self.finish(call, 200, body)
                self.start_queued()
            else:
                self.accept(self.rechecks.popleft()[2])
        self.now = max(self.now, now)

    def call(self, now: float, call: Call) -> str | None:
        """Queue a call, or return the code with which it is rejected.

        ``CallDone`` follows for an accepted call.
        """
        self.run_until(now)
        code = self.refusal_of(call)
        if code is not None:
            self.refusals[code] += 1
            return code
        if call.operation_id and self.config.rejects_stale_fencing:
            self.backend.highest_fencing[call.operation_id] = call.fencing
        self.accept(call)
        return None

    def accept(self, call: Call) -> None:
        """Queue an accepted call, or answer it with the recorded result.

        A repeat of a running operation waits for its end.
        """
        backend = self.backend
        if call.operation_id and self.config.knows_operations:
            known = backend.operations.get(call.operation_id)
            if known is not None:
                self.answered_again += 1
                if known.state == "done":
                    done = CallDone(self.now, call.request_id, known.status, known.body)
                    self.events.append(done)
                elif self.has_operation(call.operation_id):
                    self.waiting_calls.setdefault(call.operation_id, []).append(
                        call.request_id
                    )
                else:
                    self.sequence += 1
                    recheck_at = self.now + RECHECK_S
                    self.rechecks.append((recheck_at, self.sequence, call))
                return
        if call.operation_id:
            backend.record(call.operation_id, Operation("running"))
        self.queue.append(call)
        self.start_queued()

    def refusal_of(self, call: Call) -> str | None:
        """Return the code that rejects a call, or None."""
        if self.config.checks_identity and call.identity != self.identity:
            return "wrong_identity"
        if self.config.rejects_stale_fencing and call.operation_id:
            seen = self.backend.highest_fencing.get(call.operation_id, -1)
            if call.fencing < seen:
                return "stale_fencing"
        if self.leaving_since is not None:
            since_leaving_s = self.now - self.leaving_since
            self.work_after_leaving_s = max(self.work_after_leaving_s, since_leaving_s)
            self.late_work_after_leaving += since_leaving_s > LEAVING_GRACE_S
            return "leaving"
        if len(self.queue) >= self.config.queue_limit:
            return "full"
        return None

    def has_operation(self, operation_id: str) -> bool:
        """Return whether this process has the operation running or queued."""
        running = (row[2].operation_id for row in self.running)
        queued = (call.operation_id for call in self.queue)
        return operation_id in running or operation_id in queued

    def start_queued(self) -> None:
        """Start queued calls on free workers. Each start counts as one effect."""
        while self.queue and len(self.running) < self.config.workers:
            call = self.queue.popleft()
            self.runs_here += 1
            run = 1
            if call.operation_id:
                self.backend.runs[call.operation_id] += 1
                run = self.backend.runs[call.operation_id]
                self.backend.runs_by_request[request_digest(call.body)] += 1
            self.served[self.identity] += 1
            self.served_unpinned += call.identity != self.identity
            body = answer_body(self.identity, call, run)
            self.sequence += 1
            done_at = self.now + self.service_time(call) * self.slow_factor
            heapq.heappush(self.running, (done_at, self.sequence, call, body))

    def service_time(self, call: Call) -> float:
        """Return the service time of a call, derived from its id."""
        digest = hashlib.sha256(call.request_id.encode()).digest()
        fraction = int.from_bytes(digest[:4], "big") / 2**32
        span_s = self.config.service_max_s - self.config.service_min_s
        return self.config.service_min_s + span_s * fraction

    def finish(self, call: Call, status: int, body: bytes) -> None:
        """Answer a call and the repeats that wait for the same operation."""
        self.events.append(CallDone(self.now, call.request_id, status, body))
        if call.operation_id:
            operation = Operation("done", status, body)
            self.backend.record(call.operation_id, operation)
            for call_id in self.waiting_calls.pop(call.operation_id, ()):
                self.events.append(CallDone(self.now, call_id, status, body))

    def crash(self, now: float) -> None:
        """Crash the process. Started calls keep their effect; queued calls are lost."""
        self.run_until(now)
        self.events.clear()
        for _, _, call, body in self.running:
            if call.operation_id:
                self.backend.record(call.operation_id, Operation("done", 200, body))
        for call in self.queue:
            known = self.backend.operations.get(call.operation_id)
            if known is not None and known.state == "running":
                del self.backend.operations[call.operation_id]
        self.running.clear()
        self.queue.clear()
        self.rechecks.clear()
        self.waiting_calls.clear()

    def operation(self, now: float, operation_id: str) -> Operation:
        """Return the recorded state of an operation, ``unknown`` if there is none."""
        self.run_until(now)
        if not self.config.knows_operations:
            return Operation("unknown")
        return self.backend.operations.get(operation_id, Operation("unknown"))

    def accept_order(
        self, now: float, order_id: str, kind: str, fencing: int, identity: Identity
    ) -> str | None:
        """Load another version, or reject a stale fencing number."""
        self.run_until(now)
        if kind != "load":
            return "unknown_order"
        if fencing < self.highest_order_fencing:
            if self.config.rejects_stale_fencing:
                self.refusals["stale_fencing"] += 1
                return "stale_fencing"
            self.stale_orders_applied += 1
        self.highest_order_fencing = max(self.highest_order_fencing, fencing)
        self.identity = identity
        return None

    def start_leaving(self, now: float) -> None:
        """Report the process as leaving from now on. Queued calls still run."""
        self.run_until(now)
        if self.leaving_since is None:
            self.leaving_since = self.now

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Make calls that start later ``factor`` times as long."""
        self.run_until(now)
        self.slow_factor = factor

    def report(self, now: float) -> EndpointReported:
        """Return a load report. Queued calls count as busy."""
        self.run_until(now)
        work = [
            WorkItem(call.operation_id or call.request_id, call.owner, "running")
            for _, _, call, _ in self.running
        ]
        work.extend(
            WorkItem(call.operation_id or call.request_id, call.owner, "queued")
            for call in self.queue
        )
        return EndpointReported(
            address=self.address,
            incarnation=self.incarnation,
            identity=self.identity,
            role=EndpointRole.SERVICE,
            slots=self.config.workers,
            busy=len(work),
            queued_tokens=0,
            pieces_total=0,
            pieces_free=0,
            leaving=self.leaving_since is not None,
            rejects_stale_fencing=self.config.rejects_stale_fencing,
            knows_operations=self.config.knows_operations,
            work=tuple(work),
            cache_seq=0,
        )

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values."""
        return {
            "address": self.address,
            "incarnation": self.incarnation,
            "runs": dict(self.backend.runs),
            "runs_by_request": dict(self.backend.runs_by_request),
            "runs_here": self.runs_here,
            "answered_again": self.answered_again,
            "served": [
                {"identity": identity._asdict(), "kind": "call", "count": count}
                for identity, count in self.served.items()
            ],
            "served_unpinned": self.served_unpinned,
            "refusals": dict(self.refusals),
            "work_after_leaving_s": self.work_after_leaving_s,
            "late_work_after_leaving": self.late_work_after_leaving,
            "stale_orders_applied": self.stale_orders_applied,
            "queued": len(self.queue),
            "running": len(self.running),
        }
