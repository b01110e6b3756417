"""Plain service stand-in, which serves a ``ServiceModel`` over HTTP."""

import asyncio
import json
import time

from poplarfold._internal.core.model import HostKey, Identity
from poplarfold._internal.standins.engine import (
    identity_headers,
    parse_identity,
    report_json,
)
from poplarfold._internal.standins.http_server import (
    Reply,
    Request,
    ServerLoop,
    StandIn,
)
from poplarfold._internal.standins.service_model import (
    Call,
    ServiceBackend,
    ServiceConfig,
    ServiceModel,
)

__all__ = ["ServiceStandIn"]


class ServiceStandIn(StandIn):
    """One service process on a loopback port.

    Processes of one service share a ``backend``, which survives their crashes.
    """

    kind = "service"
    faults = StandIn.faults + ("leave",)

    def __init__(
        self,
        server: ServerLoop,
        config: ServiceConfig,
        port: int = 0,
        backend: ServiceBackend | None = None,
    ) -> None:
        self.config = config
        self.backend = backend or ServiceBackend()
        self.incarnation = 0
        self.call_number = 0
        self.past_counters: list[dict[str, object]] = []
        super().__init__(server, port)

    def on_start(self) -> None:
        """Create an idle process with a new incarnation."""
        self.incarnation = max(self.incarnation + 1, int(time.time() * 1000))
        self.config = self.config._replace(
            address=self.address, incarnation=self.incarnation
        )
        self.model = ServiceModel(self.config, self.backend)
        self.model.now = self.now()
        self.replies: dict[str, Reply] = {}
        self.timer: asyncio.TimerHandle | None = None

    def on_stop(self) -> None:
        """Keep the counters of the process that crashed."""
        self.model.crash(self.now())
        counters = self.model.counters()
        del counters["runs"]
        self.past_counters.append(counters)
        if self.timer is not None:
            self.timer.cancel()

    def on_resume(self) -> None:
        """Handle the events that were due during the pause."""
        self.advance_model()

    def answer_headers(self) -> list[tuple[str, str]]:
        """Return the headers that identify the process and what it serves."""
        return identity_headers(self.model.identity, self.incarnation)

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer a request of the endpoint protocol."""
        route = (request.method, request.path)
        if route == ("GET", "/report"):
            reply.json(200, report_json(self.model.report(self.now())))
        elif route == ("POST", "/call"):
            self.on_call(request, reply)
        elif request.method == "GET" and request.path.startswith("/operations/"):
            operation_id = request.path.removeprefix("/operations/")
            operation = self.model.operation(self.now(), operation_id)
            reply.json(
                200,
                {
                    "state": operation.state,
                    "status": operation.status,
                    "body": operation.body.decode(),
                },
            )
        elif route == ("POST", "/cancel"):
            # There is nothing to cancel: a call that ran cannot be undone, and an
            # idempotent call holds no memory.
            reply.json(200, {"confirmed": True})
        elif route == ("POST", "/orders"):
            self.on_order(request, reply)
        else:
            reply.json(404, {"code": "not_found"})
        self.advance_model()

    def on_call(self, request: Request, reply: Reply) -> None:
        """Queue a call and answer when it has run."""
        headers = request.headers
        self.call_number += 1
        call = Call(
            request_id=f"{self.incarnation:x}-{self.call_number:x}",
            operation_id=headers.get("operation-id", ""),
            fencing=int(headers.get("fencing-number", "-1")),
            identity=Identity(
                headers["entry-owner"],
                headers["entry-service"],
                headers["entry-version"],
            ),
            body=request.body,
            owner=HostKey(
                headers.get("call-host", ""),
                int(headers.get("call-incarnation", "0")),
            ),
        )
        self.replies[call.request_id] = reply
        code = self.model.call(self.now(), call)
        if code is not None:
            del self.replies[call.request_id]
            reply.json(409, {"code": code})

    def on_order(self, request: Request, reply: Reply) -> None:
        """Accept an order, or reject it with a code such as ``stale_fencing``."""
        body = json.loads(request.body)
        code = self.model.accept_order(
            self.now(),
            str(body["order_id"]),
            str(body["kind"]),
            int(body["fencing"]),
            parse_identity(body["identity"]),
        )
        if code is None:
            reply.json(200, {"accepted": True})
        else:
            reply.json(409, {"code": code})

    def advance_model(self) -> None:
        """Advance the model to now, answer calls and set the next timer."""
        if self.paused or self.address not in self.server.standins:
            return
        for done in self.model.advance(self.now()):
            reply = self.replies.pop(done.request_id, None)
            if reply is not None:
                reply.body(done.status, done.body, "application/json")
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.model.next_event_at()
        if at is not None:
            self.timer = self.server.loop.call_at(at, self.advance_model)

    def set_work_factor(self, factor: float) -> None:
        """Make calls that start later ``factor`` times as long."""
        self.model.set_slow_factor(self.now(), factor)

    def leave(self) -> None:
        """Report the process as leaving from now on."""
        self.apply_fault("leave", lambda: self.model.start_leaving(self.now()))

    def collect_counters(self) -> dict[str, object]:
        """Return the counters of this process and of earlier ones (``past``)."""
        self.advance_model()
        return {
            **super().collect_counters(),
            **self.model.counters(),
            "now": self.now(),
            "past": self.past_counters,
        }
