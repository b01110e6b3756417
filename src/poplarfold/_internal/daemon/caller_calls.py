"""Handles callers' calls, each in the thread of its HTTP request."""

import hashlib
import itertools
import json
import time
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import cherrypy

from poplarfold._internal.core.commands import FinishCall
from poplarfold._internal.core.events import CallArrived, CallerDisconnected
from poplarfold._internal.daemon.attempt import (
    AttemptIO,
    ModelRequest,
    ServiceRequest,
    run_model,
    run_service,
)
from poplarfold._internal.daemon.http_answers import JSON_TYPE, answer_json, read_body
from poplarfold._internal.daemon.metrics import IntervalRecorder
from poplarfold._internal.daemon.request_body import (
    CallerRequestBody,
    parse_age,
    parse_chat,
    parse_completion,
    parse_deadline_s,
    parse_idempotency_key,
    prefix_digests,
    token_count,
)
from poplarfold._internal.daemon.runtime import AttemptJob, Mailbox, Runtime
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.daemon.stream_pump import Sink, StreamPump
from poplarfold._internal.exceptions import PoplarfoldError, RequestError
from poplarfold._internal.http.caller_server import CONNECTION_KEY, CallerConnection
from poplarfold._internal.http.socket_watcher import SocketWatcher
from poplarfold._internal.http.stream_places import StreamPlaces

__all__ = [
    "ModelCall",
    "Services",
    "call_service",
]


class Services(NamedTuple):
    """The dependencies that the request handlers of one daemon share."""

    runtime: Runtime
    watcher: SocketWatcher
    pump: StreamPump
    accounts: Mapping[str, str]
    operators: Mapping[str, str]
    call_numbers: "itertools.count[int]"
    places: StreamPlaces


def attempt_io(services: Services) -> AttemptIO:
    """Return the parts of the daemon that the attempts of a call use."""
    runtime = services.runtime
    return AttemptIO(
        runtime.client,
        runtime.post,
        runtime.me,
        runtime.settings.timeouts.endpoint_silence_s,
        services.pump,
    )


class CallOutputs:
    """Iterates over the outputs of a model call, which runs in the calling thread."""

    def __init__(self, services: Services, call_id: str, request: ModelRequest) -> None:
        self.services = services
        self.call_id = call_id
        self.request = request
        self.mailbox = services.runtime.open_mailbox(call_id)
        self.assembler = StreamAssembler()
        self.recorder = IntervalRecorder()
        self.finished = False
        self.sink: Sink | None = None

    def __iter__(self) -> Iterator[list[str]]:
        """Yield lists of outputs in order. Raises the call's error."""
        io = attempt_io(self.services)
        while True:
            command = self.mailbox.get()
            if isinstance(command, FinishCall):
                self.finished = True
                if command.error is not None:
                    raise command.error
                return
            if isinstance(command, AttemptJob):
                yield from run_model(
                    io,
                    command.command,
                    self.request,
                    self.assembler,
                    command.handle,
                    self.recorder,
                    # The sink is set only after the response headers have been sent.
                    lambda: self.sink,
                )

    def close(self) -> None:
        """Close the mailbox, and report an unfinished call as left by its caller."""
        if not self.finished:
            self.services.runtime.post(CallerDisconnected(self.call_id))
        self.services.runtime.close_mailbox(self.call_id)


class ModelCall:
    """One request to a model entry, from its body to the end of the response."""

    def __init__(
        self, services: Services, account: str, call_id: str, is_chat: bool
    ) -> None:
        self.services = services
        self.account = account
        self.call_id = call_id
        self.is_chat = is_chat
        self.arrived_at = time.monotonic()
        self.created = int(time.time())
        self.first_output_s: float | None = None
        self.body = CallerRequestBody("", "", 0, False, False)
        self.prompt_tokens = 0
        self.watched_descriptor = -1
        self.outputs: CallOutputs | None = None
        self.batches: Iterator[list[str]] = iter(())
        self.event_prefix = self.event_suffix = b""

    def start(self) -> bytes | Iterator[bytes]:
        """Read the body, run the call to its first output and begin the response."""
        data = read_body()
        self.body = parse_chat(data) if self.is_chat else parse_completion(data)
        prompt = self.body.prompt.encode()
        self.prompt_tokens = token_count(len(prompt))
        prefixes = prefix_digests(prompt)
        timeouts = self.services.runtime.settings.timeouts
        headers = cherrypy.serving.request.headers
        deadline_s = parse_deadline_s(
            headers, timeouts.default_deadline_s, timeouts.max_deadline_s
        )
        request = ModelRequest(
            self.call_id, self.body.prompt, self.prompt_tokens, prefixes
        )
        self.services.runtime.metrics.call_opened()
        self.outputs = CallOutputs(self.services, self.call_id, request)
        self.watched_descriptor = watch_caller(self.services, self.call_id)
        self.services.runtime.post(
            CallArrived(
                call_id=self.call_id,
                account=self.account,
                entry=self.body.entry,
                is_model_call=True,
                prompt_tokens=self.prompt_tokens,
                prompt_bytes=len(prompt),
                prefixes=prefixes,
                max_outputs=self.body.max_outputs,
                deadline=self.arrived_at + deadline_s,
            )
        )
        self.batches = iter(self.outputs)
        try:
            first = next(self.batches, [])
            self.first_output_s = time.monotonic() - self.arrived_at
            if not self.body.is_stream:
                texts = first + [text for batch in self.batches for text in batch]
                self.close("ok")
                return answer_json(self.whole_answer("".join(texts)))
        except PoplarfoldError as error:
            self.close(error.code)
            raise
        response = cherrypy.serving.response
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["Cache-Control"] = "no-store"
        response.stream = True
        return self.stream_answer(first)

    def stream_answer(self, first: list[str]) -> Iterator[bytes]:
        """Yield server-sent events until the response is complete.

        Only a complete response ends with ``[DONE]``. A call that fails after its
        first output ends with an event that carries the typed error.
        """
        code = "caller_gone"
        assert self.outputs is not None
        connection = current_caller_connection()
        self.event_prefix, self.event_suffix = self.event_frame()
        self.outputs.sink = Sink(
            connection.socket,
            lambda texts: connection.encode_body_part(self.encode_outputs(texts)),
            connection.wfile.write,
        )
        try:
            batch = first
            while True:
                if batch:
                    yield self.encode_outputs(batch)
                next_batch = next(self.batches, None)
                if next_batch is None:
                    break
                batch = next_batch
            code = "ok"
            yield self.final_events()
        except PoplarfoldError as error:
            code = error.code
            yield b"data: %s\n\n" % json.dumps(error.as_body(self.call_id)).encode()
        finally:
            self.close(code)

    def close(self, code: str) -> None:
        """Release the resources of the call and record its metrics."""
        if self.watched_descriptor >= 0:
            self.services.watcher.unwatch(self.watched_descriptor)
        self.batches.close()  # type: ignore[attr-defined]
        if self.outputs is not None:
            self.outputs.close()
            metrics = self.services.runtime.metrics
            entry = "" if code == "entry_not_found" else self.body.entry
            metrics.call_closed(entry, code, self.first_output_s)
            metrics.add_intervals(entry, self.outputs.recorder)

    # Response formats.

    def encode_outputs(self, texts: list[str]) -> bytes:
        """Return one event that contains all of the outputs."""
        return (
            self.event_prefix + json.dumps("".join(texts)).encode() + self.event_suffix
        )

    def event_frame(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text of each event."""
        marker = "\0"
        if self.is_chat:
            choice: dict[str, Any] = {"index": 0, "delta": {"content": marker}}
        else:
            choice = {"index": 0, "text": marker}
        choice["finish_reason"] = None
        event = json.dumps(self.event([choice])).encode()
        event_prefix, _, event_suffix = event.partition(json.dumps(marker).encode())
        return b"data: " + event_prefix, event_suffix + b"\n\n"

    def event(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the fields of one stream event."""
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return {
            "id": self.call_id,
            "object": kind,
            "created": self.created,
            "model": self.body.entry,
            "choices": choices,
        }

    def final_events(self) -> bytes:
        """Return the events that end a complete response."""
        content: dict[str, Any] = {"delta": {}} if self.is_chat else {"text": ""}
        last = self.event(
            [{"index": 0, **content, "finish_reason": self.finish_reason()}]
        )
        events = [last]
        if self.body.with_usage:
            events.append({**self.event([]), "usage": self.usage()})
        lines = [f"data: {json.dumps(event)}\n\n" for event in events]
        return "".join([*lines, "data: [DONE]\n\n"]).encode()

    def whole_answer(self, text: str) -> dict[str, Any]:
        """Return the response to a request without ``stream``."""
        if self.is_chat:
            kind = "chat.completion"
            content: dict[str, Any] = {
                "message": {"role": "assistant", "content": text}
            }
        else:
            kind, content = "text_completion", {"text": text}
        choice = {"index": 0, **content, "finish_reason": self.finish_reason()}
        answer = {**self.event([choice]), "object": kind, "usage": self.usage()}
        return answer

    def finish_reason(self) -> str:
        """Return ``length`` if the output limit was reached, otherwise ``stop``."""
        return "length" if self.output_count() >= self.body.max_outputs else "stop"

    def output_count(self) -> int:
        """Return the number of outputs received so far."""
        return self.outputs.assembler.next_seq if self.outputs else 0

    def usage(self) -> dict[str, int]:
        """Return the token counts. The count of prompt tokens is an estimate."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_count(),
            "total_tokens": self.prompt_tokens + self.output_count(),
        }


def current_caller_connection() -> CallerConnection:
    """Return the connection of the request that this thread handles."""
    environ = cherrypy.serving.request.wsgi_environ
    connection: CallerConnection = environ[CONNECTION_KEY]
    return connection


def watch_caller(services: Services, call_id: str) -> int:
    """Post CallerDisconnected as soon as the caller closes its socket."""
    runtime = services.runtime
    return services.watcher.watch(
        current_caller_connection().socket,
        lambda: runtime.post(CallerDisconnected(call_id)),
    )


def run_service_attempts(
    services: Services, mailbox: "Mailbox[NamedTuple]", request: ServiceRequest
) -> FinishCall:
    """Run the attempts of a service call until it is finished."""
    io = attempt_io(services)
    while True:
        command = mailbox.get()
        if isinstance(command, AttemptJob):
            run_service(io, command.command, request, command.handle)
        elif isinstance(command, FinishCall):
            return command


def call_service(services: Services, account: str, call_id: str, entry: str) -> bytes:
    """Run one plain service call and return the response body."""
    arrived_at = time.monotonic()
    data = read_body()
    headers = cherrypy.serving.request.headers
    key = parse_idempotency_key(headers)
    age_s = parse_age(headers)
    runtime = services.runtime
    timeouts = runtime.settings.timeouts
    deadline = arrived_at + parse_deadline_s(
        headers, timeouts.default_deadline_s, timeouts.max_deadline_s
    )
    parse_json_value(data)
    code = "internal_error"
    runtime.metrics.call_opened()
    mailbox = runtime.open_mailbox(call_id)
    watched_descriptor = watch_caller(services, call_id)
    try:
        runtime.post(
            CallArrived(
                call_id=call_id,
                account=account,
                entry=entry,
                is_model_call=False,
                prompt_tokens=0,
                prompt_bytes=len(data),
                prefixes=(),
                max_outputs=0,
                deadline=deadline,
                idempotency_key=key,
                idempotency_age_s=age_s,
                body_digest=hashlib.sha256(data).hexdigest(),
            )
        )
        request = ServiceRequest(call_id, data, deadline)
        finish = run_service_attempts(services, mailbox, request)
        if finish.error is not None:
            code = finish.error.code
            raise finish.error
        code = "ok"
        response = cherrypy.serving.response
        response.status = finish.answer_status
        response.headers["Content-Type"] = JSON_TYPE
        return finish.answer_body
    finally:
        services.watcher.unwatch(watched_descriptor)
        runtime.close_mailbox(call_id)
        entry_label = "" if code == "entry_not_found" else entry
        runtime.metrics.call_closed(entry_label, code, None)


def parse_json_value(data: bytes) -> None:
    """Raise RequestError unless the body of a service call is JSON."""
    try:
        json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RequestError(f"the body is not valid JSON: {error}") from None
