"""The HTTP paths of a daemon, served by cherrypy.

Each daemon has its own applications and listeners, so that several daemons
can run in one process.
"""

import hashlib
import itertools
import json
import queue
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import cherrypy

from poplarfold._internal.core.commands import AnswerOperator, FinishCall
from poplarfold._internal.core.events import (
    CallArrived,
    CallerGone,
    DrainRequested,
    EntryProposed,
)
from poplarfold._internal.daemon import operator_views
from poplarfold._internal.daemon.attempt import (
    AttemptIO,
    ModelRequest,
    ServiceRequest,
    run_model,
    run_service,
)
from poplarfold._internal.daemon.http_server import (
    CONNECTION_KEY,
    CallerConnection,
    CallerServer,
)
from poplarfold._internal.daemon.metrics import IntervalRecorder
from poplarfold._internal.daemon.request_body import (
    CallerRequestBody,
    parse_age,
    parse_chat,
    parse_completion,
    parse_deadline_s,
    parse_idempotency_key,
    parse_object,
    prefix_digests,
    token_count,
)
from poplarfold._internal.daemon.runtime import Attempt, Runtime
from poplarfold._internal.daemon.socket_watcher import SocketWatcher
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.daemon.stream_pump import Sink, StreamPump
from poplarfold._internal.exceptions import (
    AuthenticationError,
    CallInProgressError,
    LogUnavailableError,
    MethodNotAllowedError,
    NodeNotReadyError,
    PathNotFoundError,
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
    RequestTimeoutError,
)

__all__ = ["FrontEnd"]

OPERATOR_THREADS = 8
OPERATOR_BODY_LIMIT_BYTES = 1_000_000
OPERATOR_TIMEOUT_S = 12.0
STOP_LIMIT_S = 3.0
JSON_TYPE = "application/json"


class Services(NamedTuple):
    """What the handlers of one daemon share."""

    runtime: Runtime
    watcher: SocketWatcher
    pump: StreamPump
    accounts: Mapping[str, str]
    operators: Mapping[str, str]
    call_numbers: "itertools.count[int]"


def by_digest(names: Mapping[str, str]) -> dict[str, str]:
    """Return the names by the digest of their token."""
    return {digest: name for name, digest in names.items()}


def authenticate(names: Mapping[str, str]) -> str:
    """Return the name whose token the request carries.

    Raises AuthenticationError. Tokens are looked up by digest, so the time
    that this takes says nothing about a token.
    """
    scheme, _, token = cherrypy.request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    name = names.get(digest)
    if scheme.lower() != "bearer" or name is None:
        raise AuthenticationError("a valid bearer token is required")
    return name


def read_body() -> bytes:
    """Read the whole body. Raises RequestError and its kin."""
    request = cherrypy.serving.request
    try:
        length = request.headers.get("Content-Length")
        data: bytes = request.rfile.read()
    except TimeoutError:
        raise RequestTimeoutError("the body did not arrive in time") from None
    except (OSError, ValueError) as error:
        if "Too Large" in str(error):
            raise PromptTooLargeError("the body is over the size limit") from None
        raise RequestError(f"the body cannot be read: {error}") from None
    if length is not None and len(data) < int(length):
        raise RequestError("the body ends before its Content-Length")
    return data


def answer_error(error: PoplarfoldError, call_id: str | None) -> bytes:
    """Set the response to an error's status and return its JSON."""
    response = cherrypy.serving.response
    response.status = error.status
    response.headers["Content-Type"] = JSON_TYPE
    if isinstance(error, AuthenticationError):
        response.headers["WWW-Authenticate"] = "Bearer"
    if error.status in {429, 503} or isinstance(error, CallInProgressError):
        response.headers["Retry-After"] = "1"
    return json.dumps(error.as_body(call_id)).encode()


def answer_json(body: Mapping[str, Any]) -> bytes:
    """Return a JSON answer with status 200."""
    cherrypy.serving.response.headers["Content-Type"] = JSON_TYPE
    return json.dumps(body).encode()


def require_method(*methods: str) -> None:
    """Raise MethodNotAllowedError unless the request uses one of ``methods``."""
    if cherrypy.serving.request.method not in methods:
        cherrypy.serving.response.headers["Allow"] = ", ".join(methods)
        raise MethodNotAllowedError(f"use {' or '.join(methods)}")


class CallOutputs:
    """Runs a model call in the handler's thread and yields its outputs."""

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
        """Yield lists of outputs that are due. Raises the call's error."""
        runtime = self.services.runtime
        io = AttemptIO(
            runtime.client,
            runtime.post,
            self.services.runtime.me,
            runtime.settings.timeouts.endpoint_silence_s,
            self.services.pump,
        )
        while True:
            command = self.mailbox.get()
            if isinstance(command, FinishCall):
                self.finished = True
                if command.error is not None:
                    raise command.error
                return
            if isinstance(command, Attempt):
                yield from run_model(
                    io,
                    command.command,
                    self.request,
                    self.assembler,
                    command.handle,
                    self.recorder,
                    # It is set when the head of the answer has been sent.
                    lambda: self.sink,
                )

    def close(self) -> None:
        """Release the call, and end it if its caller has stopped reading."""
        if not self.finished:
            self.services.runtime.post(CallerGone(self.call_id))
        self.services.runtime.close_mailbox(self.call_id)


class ModelCall:
    """One request to a model entry, from its body to its last byte."""

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
        self.watched = -1
        self.outputs: CallOutputs | None = None
        self.batches: Iterator[list[str]] = iter(())
        self.before = self.after = b""

    def start(self) -> bytes | Iterator[bytes]:
        """Read the body, run the call up to its first output and answer."""
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
        self.watched = watch_caller(self.services, self.call_id)
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
        """Yield server-sent events until the answer is whole.

        Only a whole answer ends with ``[DONE]``; a call that fails after its
        first output ends with an event that carries the typed error.
        """
        code = "caller_gone"
        assert self.outputs is not None
        connection = caller_connection()
        self.before, self.after = self.event_frame()
        self.outputs.sink = Sink(
            connection.socket,
            lambda texts: connection.frame(self.encode_outputs(texts)),
            connection.wfile.write,
        )
        try:
            batch = first
            while True:
                if batch:
                    yield self.encode_outputs(batch)
                following = next(self.batches, None)
                if following is None:
                    break
                batch = following
            code = "ok"
            yield self.last_events()
        except PoplarfoldError as error:
            code = error.code
            yield b"data: %s\n\n" % json.dumps(error.as_body(self.call_id)).encode()
        finally:
            self.close(code)

    def close(self, code: str) -> None:
        """Release what the call holds and count it."""
        if self.watched >= 0:
            self.services.watcher.forget(self.watched)
        self.batches.close()  # type: ignore[attr-defined]
        if self.outputs is not None:
            self.outputs.close()
            metrics = self.services.runtime.metrics
            entry = "" if code == "entry_not_found" else self.body.entry
            metrics.call_closed(entry, code, self.first_output_s)
            metrics.add_intervals(entry, self.outputs.recorder)

    # The shapes of answers.

    def encode_outputs(self, texts: list[str]) -> bytes:
        """Return one event with all of the outputs."""
        return self.before + json.dumps("".join(texts)).encode() + self.after

    def event_frame(self) -> tuple[bytes, bytes]:
        """Return what stands before and after the text in each event."""
        marker = "\0"
        if self.is_chat:
            choice: dict[str, Any] = {"index": 0, "delta": {"content": marker}}
        else:
            choice = {"index": 0, "text": marker}
        choice["finish_reason"] = None
        event = json.dumps(self.event([choice])).encode()
        before, _, after = event.partition(json.dumps(marker).encode())
        return b"data: " + before, after + b"\n\n"

    def event(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        """Return one event of a stream."""
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return {
            "id": self.call_id,
            "object": kind,
            "created": self.created,
            "model": self.body.entry,
            "choices": choices,
        }

    def last_events(self) -> bytes:
        """Return the events that end a whole answer."""
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
        """Return the answer to a request without ``stream``."""
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
        """Return whether the engine stopped by itself or at the limit."""
        return "length" if self.count() >= self.body.max_outputs else "stop"

    def count(self) -> int:
        """Return the number of outputs so far."""
        return self.outputs.assembler.next_seq if self.outputs else 0

    def usage(self) -> dict[str, int]:
        """Return the token counts; those of the prompt are estimated."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.count(),
            "total_tokens": self.prompt_tokens + self.count(),
        }


def caller_connection() -> CallerConnection:
    """Return the connection of the request that this thread serves."""
    environ = cherrypy.serving.request.wsgi_environ
    connection: CallerConnection = environ[CONNECTION_KEY]
    return connection


def watch_caller(services: Services, call_id: str) -> int:
    """Post CallerGone as soon as the caller closes its socket."""
    runtime = services.runtime
    return services.watcher.watch(
        caller_connection().socket, lambda: runtime.post(CallerGone(call_id))
    )


def call_service(services: Services, account: str, call_id: str, entry: str) -> bytes:
    """Run one plain service call and return its answer."""
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
    watched = watch_caller(services, call_id)
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
        io = AttemptIO(
            runtime.client,
            runtime.post,
            runtime.me,
            timeouts.endpoint_silence_s,
            services.pump,
        )
        request = ServiceRequest(call_id, data, deadline)
        while True:
            command = mailbox.get()
            if isinstance(command, Attempt):
                run_service(io, command.command, request, command.handle)
            elif isinstance(command, FinishCall):
                if command.error is not None:
                    code = command.error.code
                    raise command.error
                code = "ok"
                response = cherrypy.serving.response
                response.status = command.answer_status
                response.headers["Content-Type"] = JSON_TYPE
                return command.answer_body
    finally:
        services.watcher.forget(watched)
        runtime.close_mailbox(call_id)
        known = "" if code == "entry_not_found" else entry
        runtime.metrics.call_closed(known, code, None)


def parse_json_value(data: bytes) -> None:
    """Raise RequestError unless the body of a service call is JSON."""
    try:
        json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RequestError(f"the body is not valid JSON: {error}") from None


class Root:
    """The paths that both listeners serve, and the error handling of all."""

    def __init__(self, services: Services) -> None:
        self.services = services

    @cherrypy.expose
    def default(self, *segments: str, **query: str) -> bytes | Iterator[bytes]:
        """Serve a path and turn every failure into its typed answer."""
        call_id = (
            f"c-{self.services.runtime.me.host}-{self.services.runtime.me.incarnation:x}"
            f"-{next(self.services.call_numbers):x}"
        )
        cherrypy.serving.response.headers["Poplarfold-Call-Id"] = call_id
        try:
            return self.serve(segments, call_id)
        except PoplarfoldError as error:
            if error.status != 503 or segments != ("readyz",):
                self.services.runtime.metrics.call_refused(error.code)
            return answer_error(error, call_id)

    index = default

    def serve(self, segments: tuple[str, ...], call_id: str) -> bytes | Iterator[bytes]:
        """Serve one path. Raises PoplarfoldError."""
        match segments:
            case ("healthz",):
                require_method("GET", "HEAD")
                return answer_json({"status": "alive"})
            case ("readyz",):
                require_method("GET", "HEAD")
                ready = self.services.runtime.ask(
                    lambda state: state.catalogue_ready and not state.draining
                )
                if not ready:
                    raise NodeNotReadyError("no catalogue yet, or stopping")
                return answer_json({"status": "ready"})
            case ("metrics",):
                require_method("GET", "HEAD")
                headers = cherrypy.serving.response.headers
                headers["Content-Type"] = "text/plain; version=0.0.4; charset=utf-8"
                return self.services.runtime.metrics.render()
        raise PathNotFoundError("no such path")


class CallerRoot(Root):
    """The callers' paths."""

    def serve(self, segments: tuple[str, ...], call_id: str) -> bytes | Iterator[bytes]:
        """Serve a call. Raises PoplarfoldError."""
        match segments:
            case ("v1", "completions"):
                return self.call_model(call_id, is_chat=False)
            case ("v1", "chat", "completions"):
                return self.call_model(call_id, is_chat=True)
            case ("v1", "services", entry):
                require_method("POST")
                account = authenticate(self.services.accounts)
                return call_service(self.services, account, call_id, entry)
        return super().serve(segments, call_id)

    def call_model(self, call_id: str, is_chat: bool) -> bytes | Iterator[bytes]:
        """Serve a model call. Raises PoplarfoldError."""
        require_method("POST")
        account = authenticate(self.services.accounts)
        return ModelCall(self.services, account, call_id, is_chat).start()


class OperatorRoot(Root):
    """The operators' paths."""

    def serve(self, segments: tuple[str, ...], call_id: str) -> bytes | Iterator[bytes]:
        """Serve an operator's request. Raises PoplarfoldError."""
        if segments[:2] != ("operator", "v1"):
            return super().serve(segments, call_id)
        operator = authenticate(self.services.operators)
        runtime = self.services.runtime
        match segments[2:]:
            case ("entries",) if cherrypy.serving.request.method == "POST":
                return self.propose(call_id, operator)
            case ("entries",):
                require_method("GET", "POST")
                return answer_json(runtime.ask(operator_views.entries))
            case ("status",):
                require_method("GET")
                return answer_json(runtime.ask(operator_views.status))
            case ("endpoints",):
                require_method("GET")
                return answer_json(runtime.ask(operator_views.endpoints))
            case ("drain",):
                require_method("POST")
                runtime.post(DrainRequested())
                open_calls = runtime.ask(lambda state: len(state.calls))
                return answer_json({"draining": True, "open_calls": open_calls})
        raise PathNotFoundError("no such path")

    def propose(self, request_id: str, operator: str) -> bytes:
        """Publish or amend an entry and wait until the log has decided."""
        body = parse_object(read_body())
        base = body.get("base_revision", -1)
        if type(base) is not int:
            raise RequestError("base_revision: must be an integer")
        entry = json.dumps(body.get("entry")).encode()
        runtime = self.services.runtime
        mailbox = runtime.open_mailbox(request_id)
        try:
            runtime.post(EntryProposed(request_id, operator, base, entry))
            answer = wait_for_operator_answer(mailbox.get)
        finally:
            runtime.close_mailbox(request_id)
        found = json.loads(answer.body) if answer.body else {}
        if answer.error is None:
            return answer_json(found)
        data = json.loads(answer_error(answer.error, request_id))
        if found:
            data["entry"] = found.get("entry", found)
        return json.dumps(data).encode()


def wait_for_operator_answer(get: Callable[..., Any]) -> AnswerOperator:
    """Return the core's answer. Raises LogUnavailableError."""
    try:
        answer: AnswerOperator = get(timeout=OPERATOR_TIMEOUT_S)
    except queue.Empty:
        raise LogUnavailableError(
            "the log has not decided in time; the change may still be accepted"
        ) from None
    return answer


def error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the typed JSON for an error of cherrypy itself."""
    cherrypy.serving.response.headers["Content-Type"] = JSON_TYPE
    code = int(status[:3])
    error: PoplarfoldError
    if code == 404:
        error = PathNotFoundError("no such path")
    elif code == 413:
        error = PromptTooLargeError("the body is over the size limit")
    elif 400 <= code < 500:
        error = RequestError(message)
    else:
        error = PoplarfoldError("internal error")
    return json.dumps(error.as_body()).encode()


def make_application(root: Root, write_log: Callable[..., None]) -> Any:
    """Return the WSGI application of one listener."""
    application = cherrypy.Application(
        root,
        "",
        {
            "/": {
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "error_page.default": error_page,
                "tools.trailing_slash.on": False,
            }
        },
    )
    application.log.screen = False
    application.log.access_log.disabled = True
    application.log.error = lambda msg="", *args, **options: write_log(
        "PF9003", None, {"message": str(msg), "traceback": options.get("traceback")}
    )
    return application


class FrontEnd:
    """Both listeners of a daemon and the watcher of its callers' sockets."""

    def __init__(self, runtime: Runtime) -> None:
        settings = runtime.settings
        self.runtime = runtime
        self.watcher = SocketWatcher()
        self.pump = StreamPump()
        services = Services(
            runtime,
            self.watcher,
            self.pump,
            by_digest(settings.accounts),
            by_digest(settings.operators),
            itertools.count(1),
        )

        def on_error(message: str) -> None:
            runtime.write_log("PF9003", None, {"message": message})

        self.callers = CallerServer(
            (settings.caller_listen.host, settings.caller_listen.port),
            make_application(CallerRoot(services), runtime.write_log),
            settings.request_threads,
            settings.body_limit_bytes,
            settings.timeouts.request_read_s,
            on_error,
        )
        self.operators = CallerServer(
            (settings.operator_listen.host, settings.operator_listen.port),
            make_application(OperatorRoot(services), runtime.write_log),
            OPERATOR_THREADS,
            OPERATOR_BODY_LIMIT_BYTES,
            settings.timeouts.request_read_s,
            on_error,
        )
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Listen, and serve in threads of their own."""
        self.watcher.start()
        self.pump.start()
        for server in (self.callers, self.operators):
            server.prepare()
            thread = threading.Thread(target=server.serve, name="listen", daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Close the listeners and the connections that wait for a request."""
        self.pump.stop()
        # Each listener takes up to half a second to notice that it has to stop.
        stoppers = [
            threading.Thread(target=server.stop)
            for server in (self.callers, self.operators)
        ]
        for thread in stoppers:
            thread.start()
        for thread in stoppers + self.threads:
            thread.join(STOP_LIMIT_S)
        self.watcher.stop()

    @property
    def caller_address(self) -> str:
        """The address on which callers are served."""
        return "{}:{}".format(*self.callers.bind_addr[:2])

    @property
    def operator_address(self) -> str:
        """The address on which operators are served."""
        return "{}:{}".format(*self.operators.bind_addr[:2])
