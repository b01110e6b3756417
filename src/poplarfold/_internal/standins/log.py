"""Log stand-in, which serves a ``LogModel`` over the log protocol.

The log is a service of the platform, so its streams survive the fault ``die``.
"""

import base64

from poplarfold._internal.standins.http_server import (
    Reply,
    Request,
    ServerLoop,
    StandIn,
)
from poplarfold._internal.standins.log_model import LogConfig, LogModel

__all__ = ["LogStandIn"]

DEFAULT_LIMIT = 1000
MAX_LIMIT = 10_000
MAX_WAIT_MS = 30_000


class LogStandIn(StandIn):
    """The log on a loopback port."""

    kind = "log"
    faults = StandIn.faults + ("outage", "lose_append_answers", "truncate")

    def __init__(
        self, server: ServerLoop, config: LogConfig | None = None, port: int = 0
    ) -> None:
        self.model = LogModel(config)
        self.waiters: dict[str, list[Reply]] = {}
        super().__init__(server, port)

    def on_start(self) -> None:
        """Start without waiting readers."""
        self.waiters = {}

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer an append or a read."""
        stream = request.path.removeprefix("/streams/")
        if stream == request.path or not stream:
            reply.json(404, {"code": "not_found"})
        elif request.method == "POST":
            self.on_append(stream, request, reply)
        elif request.method == "GET":
            self.on_read(stream, request, reply)
        else:
            reply.json(405, {"code": "method_not_allowed"})

    def on_append(self, stream: str, request: Request, reply: Reply) -> None:
        """Append the body and answer the readers that wait for a record."""
        record_id = request.headers["record-id"]
        appended = self.model.append(self.now(), stream, record_id, request.body)
        if appended.answer_lost:
            reply.abort()
        elif appended.status == 200:
            reply.json(200, {"offset": appended.offset})
        else:
            reply.json(appended.status, {"code": "append_failed"})
        if appended.status == 200:
            for waiter in self.waiters.pop(stream, ()):
                self.answer_read(stream, waiter)

    def on_read(self, stream: str, request: Request, reply: Reply) -> None:
        """Answer with records, or wait up to ``wait_ms`` for the next one."""
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", "0")))
        start = int(request.query.get("from", "0"))
        row = self.model.streams.get(stream)
        at_end = start >= (row.next if row else 0)
        if not at_end or wait_ms <= 0 or self.now() < self.model.outage_until:
            self.answer_read(stream, reply)
            return
        self.waiters.setdefault(stream, []).append(reply)

        def expire() -> None:
            waiting = self.waiters.get(stream, [])
            if reply in waiting:
                waiting.remove(reply)
                self.answer_read(stream, reply)

        timer = self.server.loop.call_later(wait_ms / 1000, expire)

        def closed() -> None:
            timer.cancel()
            waiting = self.waiters.get(stream, [])
            if reply in waiting:
                waiting.remove(reply)

        reply.on_close = closed

    def answer_read(self, stream: str, reply: Reply) -> None:
        """Read records and answer, unless the stand-in is paused."""
        if self.paused:
            # The client times out, as it would with a server that hangs.
            return
        query = reply.request.query
        start = int(query.get("from", "0"))
        limit = min(MAX_LIMIT, int(query.get("limit", DEFAULT_LIMIT)))
        answer = self.model.read(self.now(), stream, start, limit)
        if answer.status == 503:
            reply.json(503, {"code": "outage"})
            return
        records = [
            {
                "offset": record.offset,
                "record_id": record.record_id,
                "data": base64.b64encode(record.data).decode(),
            }
            for record in answer.records
        ]
        body = {"first": answer.first, "next": answer.next, "records": records}
        reply.json(answer.status, body)

    def outage(self, seconds: float) -> None:
        """Answer all requests with 503 for ``seconds``."""

        def run() -> None:
            self.model.start_outage(self.now(), seconds)
            for stream, waiting in list(self.waiters.items()):
                del self.waiters[stream]
                for reply in waiting:
                    self.answer_read(stream, reply)

        self.apply_fault("outage", run)

    def lose_append_answers(self, count: int) -> None:
        """Apply the next appends without sending a response."""
        self.apply_fault(
            "lose_append_answers", lambda: self.model.lose_append_answers(count)
        )

    def truncate(self, stream: str, first: int) -> None:
        """Drop all records with an offset below ``first``."""
        self.apply_fault("truncate", lambda: self.model.truncate(stream, first))

    def collect_counters(self) -> dict[str, object]:
        """Return the counters."""
        return {**super().collect_counters(), **self.model.counters()}
