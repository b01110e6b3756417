"""Takes a caller's request, finds its route and has it served."""

import threading

from poplarfold._internal.core.fleet.rows import CallKind
from poplarfold._internal.exceptions import (
    CallerGoneError,
    NoRouteTableError,
    NotRunError,
    PoplarfoldError,
    RequestError,
    StoppingError,
)
from poplarfold._internal.gateway.context import CallContext, Services
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.gateway.refusals import send_failure
from poplarfold._internal.gateway.server import CallerExchange
from poplarfold._internal.gateway.stream_calls import StreamCall
from poplarfold._internal.platform import CallerCall, decode_call

__all__ = ["CallHandler"]

# A call that was refused for other reasons than a full fleet may come back soon.
SHORT_RETRY_S = 0.5
# The balancer sends the repeat to another node.
OTHER_NODE_RETRY_S = 0.05


class CallHandler:
    """Serves one request after another; threads call it."""

    def __init__(self, services: Services) -> None:
        self.services = services
        self.lock = threading.Lock()
        self.open_calls = 0

    def __call__(self, exchange: CallerExchange) -> None:
        """Serve one request. Raises OSError if its caller has gone."""
        self.count(1)
        call = decode_call(exchange.method, exchange.target, exchange.headers)
        try:
            self.serve(exchange, call)
        except CallerGoneError as error:
            self.log_end(call, error)
            exchange.break_off()
        except PoplarfoldError as error:
            self.refuse(exchange, call, error)
        except OSError as error:
            self.log_end(call, CallerGoneError(f"the caller has gone: {error}"))
            exchange.break_off()
        finally:
            self.count(-1)

    def serve(self, exchange: CallerExchange, call: CallerCall) -> None:
        """Serve one call. Raises PoplarfoldError or OSError."""
        fleet = self.services.fleet
        try:
            # Read before any answer: what is left of it would be taken for the
            # next request on the connection.
            body = exchange.read_body()
        except ValueError as error:
            exchange.break_off()
            raise RequestError(str(error)) from None
        matched = fleet.match(call.host, call.path.partition("?")[0])
        context = CallContext(self.services, exchange, call, matched, body)
        if context.arrived_at >= fleet.no_calls_after:
            raise StoppingError("the node is about to end")
        fleet.note_request(context.service)
        context.log(
            "PF1101",
            route=context.route.name,
            service=context.service,
            version=context.version,
            deadline_s=call.deadline_s,
            prompt_tokens=call.prompt_tokens,
        )
        sock = exchange.connection.socket
        descriptor = self.services.watcher.watch(sock, context.on_caller_gone)
        try:
            if context.route.kind is CallKind.STREAM and context.route.uses_engine:
                StreamCall(context).run()
            else:
                PlainCall(context).run()
        finally:
            self.services.watcher.forget(descriptor)

    def refuse(
        self, exchange: CallerExchange, call: CallerCall, error: PoplarfoldError
    ) -> None:
        """Answer with a typed failure, or break off an answer that has begun."""
        self.log_end(call, error)
        self.services.metrics.count_refusal(error.code)
        if exchange.began:
            exchange.break_off()
            return
        retry_after_s = self.services.fleet.settings.door.retry_after_s
        if isinstance(error, NotRunError | NoRouteTableError):
            retry_after_s = SHORT_RETRY_S
        elif isinstance(error, StoppingError):
            retry_after_s = OTHER_NODE_RETRY_S
        send_failure(exchange, call.request_id, error, retry_after_s)

    def log_end(self, call: CallerCall, error: PoplarfoldError) -> None:
        """Write why a call ended without an endpoint's whole answer."""
        self.services.write_log(
            "PF1109",
            call.request_id,
            {"code": error.code, "status": error.status, "problem": str(error)},
        )

    def count(self, change: int) -> None:
        """Count the calls in progress."""
        with self.lock:
            self.open_calls += change
            self.services.metrics.set_open(self.open_calls)
