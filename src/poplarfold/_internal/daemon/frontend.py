"""The HTTP paths of a daemon, served by cherrypy.

Each daemon has its own applications and listeners, so that several daemons
can run in one process.
"""

import contextlib
import itertools
import json
import queue
import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import cherrypy

from poplarfold._internal.core.commands import AnswerOperator
from poplarfold._internal.core.events import DrainRequested, EntryProposed
from poplarfold._internal.daemon import operator_views
from poplarfold._internal.daemon.caller_calls import ModelCall, Services, call_service
from poplarfold._internal.daemon.http_answers import (
    JSON_TYPE,
    answer_error,
    answer_json,
    authenticate,
    read_body,
    require_method,
)
from poplarfold._internal.daemon.request_body import parse_object
from poplarfold._internal.daemon.runtime import Runtime
from poplarfold._internal.daemon.stream_pump import StreamPump
from poplarfold._internal.exceptions import (
    LogUnavailableError,
    NodeNotReadyError,
    PathNotFoundError,
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
)
from poplarfold._internal.http.caller_resources import CallerLimits, CallerResources
from poplarfold._internal.http.caller_server import CallerServer
from poplarfold._internal.http.memory_account import MemoryAccount
from poplarfold._internal.http.socket_watcher import SocketWatcher
from poplarfold._internal.http.stream_places import StreamPlaces

__all__ = ["FrontEnd"]

OPERATOR_THREADS = 8
OPERATOR_BODY_LIMIT_BYTES = 1_000_000
OPERATOR_TIMEOUT_S = 12.0
STOP_TIMEOUT_S = 3.0


def names_by_digest(names: Mapping[str, str]) -> dict[str, str]:
    """Return a mapping of token digests to names."""
    return {digest: name for name, digest in names.items()}


class Root:
    """The paths that both listeners serve, and the error handling of all paths."""

    def __init__(self, services: Services) -> None:
        self.services = services

    @cherrypy.expose
    def default(self, *segments: str, **query: str) -> bytes | Iterator[bytes]:
        """Serve a path and turn errors into typed responses."""
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
                ready = self.services.runtime.query_state(
                    lambda state: state.catalogue_ready and not state.draining
                )
                if not ready:
                    raise NodeNotReadyError(
                        "the node has no catalogue yet or is draining"
                    )
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
        """Serve a caller's request. Raises PoplarfoldError."""
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
        place = contextlib.ExitStack()
        place.enter_context(self.services.places.occupy())
        # The place is free again when the answer has been sent, or its caller has left:
        # cherrypy calls this once for each request, whatever its outcome.
        hooks = cherrypy.serving.request.hooks
        hooks.attach("on_end_request", place.close, failsafe=True)
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
                return answer_json(runtime.query_state(operator_views.entries))
            case ("status",):
                require_method("GET")
                return answer_json(runtime.query_state(operator_views.status))
            case ("endpoints",):
                require_method("GET")
                return answer_json(runtime.query_state(operator_views.endpoints))
            case ("drain",):
                require_method("POST")
                runtime.post(DrainRequested())
                open_calls = runtime.query_state(lambda state: len(state.calls))
                return answer_json({"draining": True, "open_calls": open_calls})
        raise PathNotFoundError("no such path")

    def propose(self, request_id: str, operator: str) -> bytes:
        """Publish or amend an entry and wait until the log accepts or rejects it."""
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
    """Wait for the core's answer. Raises LogUnavailableError on a timeout."""
    try:
        answer: AnswerOperator = get(timeout=OPERATOR_TIMEOUT_S)
    except queue.Empty:
        raise LogUnavailableError(
            "the log did not respond in time; the change may still be accepted"
        ) from None
    return answer


def error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the typed JSON body for an error that cherrypy itself raised."""
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
    """The listeners of a daemon, its stream pump and its socket watcher."""

    def __init__(self, runtime: Runtime) -> None:
        settings = runtime.settings
        self.runtime = runtime
        self.watcher = SocketWatcher()
        self.pump = StreamPump()
        services = Services(
            runtime,
            self.watcher,
            self.pump,
            names_by_digest(settings.accounts),
            names_by_digest(settings.operators),
            itertools.count(1),
            StreamPlaces(settings.request_threads, settings.kept_thread_share),
        )

        def on_error(message: str) -> None:
            runtime.write_log("PF9003", None, {"message": message})

        # A body of the largest size must fit in beside others.
        account = MemoryAccount(
            max(settings.memory_bytes, 2 * settings.body_limit_bytes)
        )
        resources = CallerResources(
            account,
            settings.max_connections,
            runtime.write_log,
            settings.request_threads,
        )
        resources.add_client(runtime.client)
        runtime.metrics.callers.resources = resources
        read_s = settings.timeouts.request_read_s
        self.callers = CallerServer(
            (settings.caller_listen.host, settings.caller_listen.port),
            make_application(CallerRoot(services), runtime.write_log),
            settings.request_threads,
            lambda: CallerLimits(settings.body_limit_bytes, read_s, read_s),
            read_s,
            resources,
            on_error,
        )
        self.operators = CallerServer(
            (settings.operator_listen.host, settings.operator_listen.port),
            make_application(OperatorRoot(services), runtime.write_log),
            OPERATOR_THREADS,
            lambda: CallerLimits(OPERATOR_BODY_LIMIT_BYTES, read_s, read_s),
            read_s,
            resources,
            on_error,
        )
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start listening; each listener runs in its own thread."""
        self.watcher.start()
        self.pump.start()
        for server in (self.callers, self.operators):
            server.prepare()
            thread = threading.Thread(target=server.serve, name="listen", daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Close the listeners and the connections without an open request."""
        self.pump.stop()
        # Each listener takes up to half a second to notice the stop, so they are
        # stopped in parallel.
        stoppers = [
            threading.Thread(target=server.stop)
            for server in (self.callers, self.operators)
        ]
        for thread in stoppers:
            thread.start()
        for thread in stoppers + self.threads:
            thread.join(STOP_TIMEOUT_S)
        self.watcher.stop()

    @property
    def caller_address(self) -> str:
        """The address on which callers are served."""
        return "{}:{}".format(*self.callers.bind_addr[:2])

    @property
    def operator_address(self) -> str:
        """The address on which operators are served."""
        return "{}:{}".format(*self.operators.bind_addr[:2])
