"""Model engine stand-in, which serves an ``EngineModel`` over the endpoint protocol.

A decode continues after its reader has closed the connection, until it is done or
cancelled. A reader that sends the same attempt again gets the outputs from
``resume_from`` on. Every response identifies the process and what it serves in the
headers ``Endpoint-Incarnation``, ``Entry-Owner``, ``Entry-Service`` and
``Entry-Version``.
"""

import asyncio
import json
import time
from typing import Any

from poplarfold._internal.core.events import EndpointReported
from poplarfold._internal.core.model import EndpointRole, HostKey, Identity
from poplarfold._internal.standins.answers import (
    answer_key,
    count_tokens,
    output_text,
)
from poplarfold._internal.standins.engine_model import (
    DecodeFailed,
    DecodeFinished,
    EngineConfig,
    EngineEvent,
    EngineModel,
    KvExport,
    KvImported,
    MemoryFreed,
    PrefillFinished,
    PrefillWasted,
    Work,
)
from poplarfold._internal.standins.http_server import (
    Reply,
    Request,
    ServerLoop,
    StandIn,
    fetch_json,
)

__all__ = ["EngineStandIn", "identity_headers", "parse_identity", "report_json"]

HEARTBEAT_S = 0.5


def parse_identity(value: dict[str, Any]) -> Identity:
    """Parse an identity from a JSON object."""
    return Identity(str(value["owner"]), str(value["service"]), str(value["version"]))


def parse_work(body: dict[str, Any]) -> Work:
    """Parse the attempt, its node, the identity and the priority of a request."""
    return Work(
        str(body["attempt"]),
        HostKey(str(body["host"]), int(body["incarnation"])),
        parse_identity(body["identity"]),
        int(body.get("priority", 0)),
    )


def identity_headers(identity: Identity, incarnation: int) -> list[tuple[str, str]]:
    """Return the response headers with the incarnation and the identity."""
    return [
        ("Endpoint-Incarnation", str(incarnation)),
        ("Entry-Owner", identity.owner),
        ("Entry-Service", identity.service),
        ("Entry-Version", identity.version),
    ]


def report_json(report: EndpointReported) -> dict[str, object]:
    """Return a load report as JSON of the endpoint protocol."""
    return {
        "incarnation": report.incarnation,
        "identity": report.identity._asdict(),
        "role": report.role.value,
        "slots": report.slots,
        "busy": report.busy,
        "queued_tokens": report.queued_tokens,
        "pieces_total": report.pieces_total,
        "pieces_free": report.pieces_free,
        "leaving": report.leaving,
        "fences": report.rejects_stale_fencing,
        "knows_operations": report.knows_operations,
        "work": [
            {
                "attempt": item.attempt_id,
                "host": item.owner.host,
                "incarnation": item.owner.incarnation,
                "state": item.state,
            }
            for item in report.work
        ],
        "cache_seq": report.cache_seq,
    }


class Reader:
    """One open response to ``POST /decode``."""

    __slots__ = (
        "attempt",
        "delayed_output",
        "event_prefix",
        "key",
        "next_seq",
        "reply",
        "total",
    )

    def __init__(self, reply: Reply, attempt: str, next_seq: int) -> None:
        self.reply = reply
        self.attempt = attempt
        self.next_seq = next_seq
        self.event_prefix = b'data: {"attempt":%b,"seq":' % json.dumps(attempt).encode()
        self.key = ""
        self.total = 0
        self.delayed_output: bytes | None = None


class EngineStandIn(StandIn):
    """One engine process on a loopback port.

    ``config.address`` and ``config.incarnation`` are replaced by the bound
    address and the start time in milliseconds.
    """

    kind = "engine"
    faults = StandIn.faults + ("lag", "reorder", "leave", "stall_transfers")

    def __init__(self, server: ServerLoop, config: EngineConfig, port: int = 0) -> None:
        self.config = config
        self.incarnation = 0
        self.reorder_share = 0.0
        self.past_counters: list[dict[str, object]] = []
        self.streams_opened = 0
        super().__init__(server, port)

    def on_start(self) -> None:
        """Create an empty engine with a new incarnation."""
        self.incarnation = max(self.incarnation + 1, int(time.time() * 1000))
        self.config = self.config._replace(
            address=self.address, incarnation=self.incarnation
        )
        self.model = EngineModel(self.config)
        self.model.now = self.now()
        self.prefill_replies: dict[str, list[Reply]] = {}
        self.readers: dict[str, list[Reader]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.heartbeat_timer = self.server.loop.call_later(
            HEARTBEAT_S, self.send_heartbeats
        )

    def on_stop(self) -> None:
        """Keep the counters of the process that crashed."""
        self.model.advance(self.now())
        self.past_counters.append(self.model.counters())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.heartbeat_timer.cancel()

    def on_resume(self) -> None:
        """Handle the events that were due during the pause."""
        self.advance_model()

    def answer_headers(self) -> list[tuple[str, str]]:
        """Return the headers that identify the process and what it serves."""
        return identity_headers(self.model.identity, self.incarnation)

    # The protocol.

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer a request of the endpoint protocol."""
        self.advance_model()
        route = (request.method, request.path)
        if route == ("GET", "/report"):
            reply.json(200, report_json(self.model.report(self.now())))
        elif route == ("GET", "/cache_events"):
            self.on_cache_events(request, reply)
        elif request.method == "POST" and request.path in self.post_handlers:
            self.post_handlers[request.path](self, json.loads(request.body), reply)
        elif request.path.startswith("/kv/"):
            self.on_kv(request, reply)
        else:
            reply.json(404, {"code": "not_found"})
        self.advance_model()

    def on_cache_events(self, request: Request, reply: Reply) -> None:
        """Answer with the cache events after the number ``after``."""
        after = int(request.query.get("after", "0"))
        changes, oldest = self.model.cache_changes(self.now(), after)
        events = [
            {
                "seq": change.seq,
                "kind": "stored" if change.stored else "evicted",
                "prefix": change.prefix,
            }
            for change in changes
        ]
        reply.json(200, {"events": events, "oldest": oldest})

    def on_reserve(self, body: dict[str, Any], reply: Reply) -> None:
        """Reserve a decode slot."""
        pieces = max(1, int(body["pieces"]))
        code = self.model.reserve(self.now(), parse_work(body), pieces)
        if code is None:
            reply.json(200, {"lease_s": self.config.lease_s})
        else:
            self.refuse(reply, code)

    def refuse(self, reply: Reply, code: str) -> None:
        """Answer with the code of a rejection: 413 if ``too_large``, else 409."""
        reply.json(413 if code == "too_large" else 409, {"code": code})

    def on_prefill(self, body: dict[str, Any], reply: Reply) -> None:
        """Queue a prefill and answer when it is done."""
        work = parse_work(body)
        prompt = str(body["prompt"])
        held = self.model.result_of(work.attempt)
        if held is not None:
            self.answer_prefill(reply, held.export, held.job.cached)
            return
        code = self.model.prefill(
            self.now(),
            work,
            count_tokens(prompt),
            answer_key(self.model.identity, prompt),
            tuple(str(prefix) for prefix in body.get("prefixes", ())),
        )
        if code is None:
            self.prefill_replies.setdefault(work.attempt, []).append(reply)
        else:
            self.refuse(reply, code)

    def answer_prefill(self, reply: Reply, export: KvExport, cached: int) -> None:
        """Answer with the handle of a prefill result."""
        reply.json(
            200,
            {
                "kv": {"source": export.source, "handle": export.handle},
                "tokens": export.tokens,
                "cached_tokens": cached,
                "identity": self.model.identity._asdict(),
            },
        )

    def on_decode(self, body: dict[str, Any], reply: Reply) -> None:
        """Start a decode, or attach a reader to a known one."""
        work = parse_work(body)
        resume_from = int(body.get("resume_from", 0))
        if self.model.outputs_of(work.attempt) is not None:
            self.attach(Reader(reply, work.attempt, resume_from))
            return
        # A reader that reconnects to an unknown decode may send no KV handle.
        kv = body.get("kv") or {"source": "", "handle": ""}
        source, handle = str(kv["source"]), str(kv["handle"])
        prompt_tokens = int(body["prompt_tokens"])
        max_outputs = int(body["max_outputs"])

        def start(export: KvExport | None) -> None:
            code = self.model.decode(
                self.now(), work, export, prompt_tokens, max_outputs, resume_from
            )
            if code is None:
                self.attach(Reader(reply, work.attempt, resume_from))
            else:
                self.refuse(reply, code)

        if not handle:
            start(None)
            return
        local = self.server.standins.get(source)
        if isinstance(local, EngineStandIn) and not local.paused:
            start(local.model.export(self.now(), handle))
            local.advance_model()
            return
        model = self.model

        async def fetch() -> None:
            answer = await fetch_json(source, "GET", f"/kv/{handle}")
            export = None
            if answer is not None and answer[0] == 200:
                row = answer[1]
                expires_at = self.now() + row["expires_in_s"]
                export = KvExport(source, handle, row["tokens"], row["key"], expires_at)
            if model is self.model:
                start(export)
                self.advance_model()

        self.server.spawn(fetch())

    def on_cancel(self, body: dict[str, Any], reply: Reply) -> None:
        """Cancel an attempt and free everything held for it."""
        attempt = str(body["attempt"])
        self.model.cancel(self.now(), attempt)
        self.refuse_prefill(attempt, "cancelled")
        reply.json(200, {"confirmed": True})

    def on_order(self, body: dict[str, Any], reply: Reply) -> None:
        """Accept an order, or reject it with a code such as ``stale_fencing``."""
        identity = body.get("identity")
        role = body.get("role")
        code = self.model.accept_order(
            self.now(),
            str(body["order_id"]),
            str(body["kind"]),
            int(body["fencing"]),
            parse_identity(identity) if identity else None,
            EndpointRole(role) if role else None,
        )
        if code is None:
            reply.json(200, {"accepted": True})
        else:
            self.refuse(reply, code)

    def on_kv(self, request: Request, reply: Reply) -> None:
        """Serve a result to a decode engine (GET), or free it after import (DELETE)."""
        handle = request.path.removeprefix("/kv/")
        if request.method == "DELETE":
            released = self.model.release_export(self.now(), handle)
            reply.json(200, {"released": released})
            return
        export = self.model.export(self.now(), handle)
        if export is None:
            reply.json(404, {"code": "kv_gone"})
            return
        expires_in_s = export.expires_at - self.now()
        reply.json(
            200,
            {"tokens": export.tokens, "key": export.key, "expires_in_s": expires_in_s},
        )

    post_handlers = {
        "/reserve": on_reserve,
        "/prefill": on_prefill,
        "/decode": on_decode,
        "/cancel": on_cancel,
        "/orders": on_order,
    }

    # Events of the model.

    def advance_model(self) -> None:
        """Advance the model to now, send new outputs and set the next timer."""
        if self.paused or self.address not in self.server.standins:
            return
        model = self.model
        now = self.now()
        for event in model.advance(now):
            self.on_model_event(event)
        if self.readers:
            self.send_outputs()
        at = model.next_event_at()
        if self.readers:
            step_at = model.next_step_at()
            if step_at is not None and (at is None or step_at < at):
                at = step_at
        if at is None:
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
        elif self.timer is None or at != self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = at
            self.timer = self.server.loop.call_at(at, self.on_timer)

    def on_timer(self) -> None:
        """Advance the model when an event is due."""
        self.timer = None
        self.advance_model()

    def on_model_event(self, event: EngineEvent) -> None:
        """Notify clients and source engines of an event of the model."""
        match event:
            case PrefillFinished():
                for reply in self.prefill_replies.pop(event.attempt, ()):
                    self.answer_prefill(reply, event.export, event.cached_tokens)
            case PrefillWasted():
                self.refuse_prefill(event.attempt, event.reason)
            case KvImported():
                self.free_imported_result(event.source, event.handle)
                for reader in self.readers.get(event.attempt, ()):
                    reader.reply.start_stream("text/event-stream")
            case DecodeFinished():
                for reader in self.readers.pop(event.attempt, ()):
                    self.finish_reader(reader)
            case DecodeFailed():
                for reader in self.readers.pop(event.attempt, ()):
                    self.fail_reader(reader, event.code)
            case MemoryFreed():
                pass

    def refuse_prefill(self, attempt: str, code: str) -> None:
        """Reject the open requests for a prefill that was cancelled or wasted."""
        for reply in self.prefill_replies.pop(attempt, ()):
            self.refuse(reply, code)

    def free_imported_result(self, source: str, handle: str) -> None:
        """Ask the prefill engine to free a result that has been imported."""
        local = self.server.standins.get(source)
        if isinstance(local, EngineStandIn):
            local.model.release_export(self.now(), handle)
            self.server.loop.call_soon(local.advance_model)
            return

        async def release() -> None:
            await fetch_json(source, "DELETE", f"/kv/{handle}")

        self.server.spawn(release())

    # Streams.

    def attach(self, reader: Reader) -> None:
        """Attach an open response to its decode."""
        outputs = self.model.outputs_of(reader.attempt)
        assert outputs is not None
        self.streams_opened += 1
        reader.key, first, _, reader.total = outputs
        reader.next_seq = max(0, reader.next_seq)
        # The decode was itself resumed at ``first`` and has no earlier outputs.
        if reader.next_seq < first:
            self.refuse(reader.reply, "resumed_later")
            return
        stream = self.model.streams.get(reader.attempt)
        if stream is None:
            reader.reply.start_stream("text/event-stream")
            self.finish_reader(reader)
            return
        if stream.state != "importing":
            reader.reply.start_stream("text/event-stream")
        self.readers.setdefault(reader.attempt, []).append(reader)
        reader.reply.on_close = lambda: self.detach(reader)

    def detach(self, reader: Reader) -> None:
        """Remove a reader whose client disconnected. The decode continues."""
        left = [
            row for row in self.readers.get(reader.attempt, ()) if row is not reader
        ]
        if left:
            self.readers[reader.attempt] = left
        else:
            self.readers.pop(reader.attempt, None)

    def send_outputs(self) -> None:
        """Send each reader the new outputs of its decode."""
        model = self.model
        done = model.steps_done()
        streams = model.batch
        for attempt, readers in self.readers.items():
            stream = streams.get(attempt)
            if stream is None:
                continue
            until = stream.resume_from + done - stream.join_step
            for reader in readers:
                if reader.next_seq < until:
                    self.send_range(reader, until)

    def send_range(self, reader: Reader, until: int) -> None:
        """Send the outputs up to, but not including, ``until``."""
        for seq in range(reader.next_seq, until):
            data = b'%b%d,"text":"%b"}\n\n' % (
                reader.event_prefix,
                seq,
                output_text(reader.key, seq).encode(),
            )
            if self.reorder_share:
                self.send_reordered(reader, data)
            else:
                reader.reply.chunk(data)
        reader.next_seq = until

    def send_reordered(self, reader: Reader, data: bytes) -> None:
        """Send an output, or delay it until after the next one."""
        if reader.delayed_output is None and self.rng.random() < self.reorder_share:
            reader.delayed_output = data
            return
        reader.reply.chunk(data)
        if reader.delayed_output is not None:
            reader.reply.chunk(reader.delayed_output)
            reader.delayed_output = None

    def finish_reader(self, reader: Reader) -> None:
        """Send the remaining outputs and the final event, then end the stream."""
        self.send_range(reader, max(reader.next_seq, reader.total))
        if reader.delayed_output is not None:
            reader.reply.chunk(reader.delayed_output)
            reader.delayed_output = None
        last = {"attempt": reader.attempt, "done": True, "outputs": reader.total}
        reader.reply.chunk(b"data: %b\n\n" % json.dumps(last).encode())
        reader.reply.end_stream()

    def fail_reader(self, reader: Reader, code: str) -> None:
        """Answer with an error, as the final event if the stream has begun."""
        if not reader.reply.streaming:
            self.refuse(reader.reply, code)
            return
        last = {"attempt": reader.attempt, "error": {"code": code}}
        reader.reply.chunk(b"data: %b\n\n" % json.dumps(last).encode())
        reader.reply.end_stream()

    def send_heartbeats(self) -> None:
        """Send a heartbeat comment on each open stream."""
        self.heartbeat_timer = self.server.loop.call_later(
            HEARTBEAT_S, self.send_heartbeats
        )
        if self.paused:
            return
        for readers in self.readers.values():
            for reader in readers:
                if reader.reply.streaming:
                    reader.reply.chunk(b": heartbeat\n\n")

    # Faults and counters.

    def set_work_factor(self, factor: float) -> None:
        """Make later prefills and decode steps ``factor`` times as long."""
        self.model.set_slow_factor(self.now(), factor)
        self.advance_model()

    def lag(
        self, report_s: float, cache_s: float, cache_gap_share: float = 0.0
    ) -> None:
        """Delay load reports and cache events, and lose a share of the events."""

        def run() -> None:
            self.config = self.config._replace(
                report_lag_s=report_s,
                cache_lag_s=cache_s,
                cache_gap_share=cache_gap_share,
            )
            self.model.config = self.config

        self.apply_fault("lag", run)

    def reorder(self, share: float) -> None:
        """Send a share of the outputs after the output that follows them."""

        def run() -> None:
            self.reorder_share = share

        self.apply_fault("reorder", run)

    def leave(self) -> None:
        """Report the engine as leaving from now on."""
        self.apply_fault("leave", lambda: self.model.start_leaving(self.now()))

    def stall_transfers(self, seconds: float) -> None:
        """Delay KV transfers into this engine until ``seconds`` have passed."""
        self.apply_fault(
            "stall_transfers",
            lambda: self.model.stall_transfers(self.now(), seconds),
        )

    def collect_counters(self) -> dict[str, object]:
        """Return the counters of this process and of earlier ones (``past``)."""
        self.advance_model()
        return {
            **super().collect_counters(),
            **self.model.counters(),
            "now": self.now(),
            "streams_opened": self.streams_opened,
            "past": self.past_counters,
        }
