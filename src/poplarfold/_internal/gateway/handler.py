"""Handles a caller's request: matches its route and runs the call."""

import contextlib
import threading
import traceback

from poplarfold._internal.core.fleet.account_admission import AdmittedCaller
from poplarfold._internal.core.fleet.rows import CallKind
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    ConfigurationTooOldError,
    DecodePoolFullError,
    NoRouteTableError,
    NotRunError,
    PoplarfoldError,
    RequestError,
    RetryLaterError,
    StoppingError,
    StreamsFullError,
    StreamVersionGoneError,
    StreamVersionUnknownError,
    UnknownKeyError,
)
from poplarfold._internal.gateway.context import CallContext, Services
from poplarfold._internal.gateway.error_responses import send_error
from poplarfold._internal.gateway.fleet import MatchedRoute
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.gateway.server import CallerExchange
from poplarfold._internal.gateway.stream_calls import StreamCall
from poplarfold._internal.http.stream_places import StreamPlaces
from poplarfold._internal.platform import CallerCall, decode_call
from poplarfold._internal.utils.clock import boot_time

__all__ = ["CallHandler"]

# A rejection for a reason other than lack of capacity may be retried soon.
SHORT_RETRY_AFTER_S = 0.5
SOON_RETRIED = (
    NotRunError,
    NoRouteTableError,
    StreamVersionGoneError,
    StreamVersionUnknownError,
    StreamsFullError,
)
# Sent during a planned stop: the load balancer sends the retry to another node.
OTHER_NODE_RETRY_AFTER_S = 0.05


class CallHandler:
    """Serves requests; called concurrently by the server's threads."""

    def __init__(self, services: Services, stream_places: StreamPlaces) -> None:
        self.services = services
        self.stream_places = stream_places
        self.lock = threading.Lock()
        self.open_calls = 0
        # Whether the process is about to end and takes no calls any more.
        self.is_closed = False
        # The open calls whose requests have been read.
        self.contexts: set[CallContext] = set()

    def __call__(self, exchange: CallerExchange) -> None:
        """Serve one request. Raises OSError if the caller has disconnected."""
        self.change_open_calls(1)
        try:
            call = decode_call(exchange.method, exchange.target, exchange.headers)
            self.serve_or_reject(exchange, call)
        finally:
            self.change_open_calls(-1)

    def serve_or_reject(self, exchange: CallerExchange, call: CallerCall) -> None:
        """Serve one call, or answer with its error. Raises OSError."""
        try:
            self.serve(exchange, call)
        except CallerDisconnectedError as error:
            self.log_end(call, error)
            exchange.close_after_request()
        except PoplarfoldError as error:
            self.reject(exchange, call, error)
        except OSError as error:
            self.log_end(
                call, CallerDisconnectedError(f"the caller has disconnected: {error}")
            )
            exchange.close_after_request()
        except Exception as error:
            # The HTTP library would close the connection without an answer.
            self.services.write_log(
                "PF9004",
                call.request_id,
                {"problem": repr(error), "traceback": traceback.format_exc()},
            )
            self.reject(exchange, call, PoplarfoldError("internal error"))

    def serve(self, exchange: CallerExchange, call: CallerCall) -> None:
        """Serve one call. Raises PoplarfoldError or OSError."""
        fleet = self.services.fleet
        try:
            # The body is read before any answer is sent: unread bytes would be
            # parsed as the next request on the connection.
            body = exchange.read_body()
        except ValueError as error:
            exchange.close_after_request()
            raise RequestError(str(error)) from None
        if self.is_closed:
            raise StoppingError("the node has ended its planned stop")
        if call.deadline_s is None:
            fleet.wait_for_view()
        else:
            fleet.wait_for_view(exchange.arrived_at + call.deadline_s)
        # A stream goes on at the service that began it.
        first_id = call.resumes or call.request_id
        matched = fleet.match(call.host, call.path.partition("?")[0], first_id)
        caller = self.admit_account(call, matched)
        context = CallContext(self.services, exchange, call, matched, body, caller)
        with self.services.metrics.counting_account_call(context.account_name):
            self.check_stop(context)
            with contextlib.ExitStack() as places:
                if is_engine_stream(context):
                    places.enter_context(self.stream_places.occupy())
                self.serve_within_quota(context)

    def admit_account(self, call: CallerCall, matched: MatchedRoute) -> AdmittedCaller:
        """Return whose call it is. Raises UnknownKeyError or ConfigurationTooOldError.

        Checked once: what counts is when the caller sent the request, not when an
        endpoint gets it.
        """
        fleet = self.services.fleet
        try:
            return fleet.admit_account(matched, call.key_digest)
        except (UnknownKeyError, ConfigurationTooOldError) as error:
            is_unknown = isinstance(error, UnknownKeyError)
            fields = {
                "route": matched.route.name,
                "version": matched.version,
                "has_key": call.key_digest is not None,
                "known": fleet.describe_knowledge("routes"),
            }
            number = "PF1201" if is_unknown else "PF1202"
            self.services.write_log(number, call.request_id, fields)
            raise

    def serve_within_quota(self, context: CallContext) -> None:
        """Serve a call if the quota of its account has room for it.

        Its units are returned if it certainly has not run. Raises PoplarfoldError or
        OSError.
        """
        account, usage = context.account, self.services.usage
        if account is None or account.limit is None:
            self.serve_admitted(context)
            return
        call = context.call
        units = account.limit.units(
            call.prompt_tokens, call.max_outputs, call.has_token_count
        )
        admitted_at = boot_time()
        result = usage.admit(account, units)
        if result.is_err():
            error = result.unwrap_err()
            known = usage.describe(account)
            context.log(
                "PF1211",
                account=account.name,
                units=units,
                retry_after_s=round(error.remaining_s, 3),
                version=context.version,
                room=known.room,
                demand_per_s=known.demand_per_s,
                own_units=known.own_units,
                relays=known.relays,
                heard_hosts=known.heard_hosts,
                nodes=known.nodes,
            )
            raise error
        try:
            self.serve_admitted(context)
        except (PoplarfoldError, OSError) as error:
            is_rejected = isinstance(error, PoplarfoldError) and error.status == 503
            if is_rejected or not context.was_sent:
                context.is_refused = True
            raise
        finally:
            if context.is_refused:
                usage.give_back(account, units, boot_time() - admitted_at)

    def serve_admitted(self, context: CallContext) -> None:
        """Serve a call whose account is known. Raises PoplarfoldError or OSError."""
        fleet = self.services.fleet
        exchange, call = context.exchange, context.call
        fleet.record_request(context.service)
        context.log(
            "PF1101",
            route=context.route.name,
            service=context.service,
            account=context.account_name,
            version=context.version,
            deadline_s=call.deadline_s,
            prompt_tokens=call.prompt_tokens,
            parts=list(call.shared_parts),
            resumes=call.resumes,
            last_event_id=call.resume_after,
            known=fleet.describe_knowledge("routes"),
        )
        sock = exchange.connection.socket
        descriptor = self.services.watcher.watch(sock, context.on_caller_gone)
        with self.lock:
            self.contexts.add(context)
        try:
            if is_engine_stream(context):
                StreamCall(context).run()
            else:
                PlainCall(context).run()
        finally:
            with self.lock:
                self.contexts.discard(context)
            self.services.watcher.unwatch(descriptor)

    def check_stop(self, context: CallContext) -> None:
        """Raise StoppingError if a planned stop might end before a plain call does.

        Another node can serve it. Streams are checked when they are about to be sent.
        """
        is_stream = is_engine_stream(context)
        if not is_stream and context.deadline_at > self.services.fleet.stop_ends_at:
            raise StoppingError("the node is shutting down before the call's deadline")

    def close_if_idle(self) -> bool:
        """Take no calls any more, unless one is open; return whether none is.

        Requests still arrive until the process has ended. What is passed on then would
        lose its answer.
        """
        with self.lock:
            if not self.open_calls:
                self.is_closed = True
            return self.is_closed

    def close(self) -> None:
        """Take no calls any more, although some may be open."""
        with self.lock:
            self.is_closed = True

    def end_open_calls(self) -> None:
        """End the open calls, so that each gets a whole answer before a stop ends.

        Streams that have begun are left alone: they can only be cut, and until then
        they may still end by themselves.
        """
        with self.lock:
            contexts = list(self.contexts)
        for context in contexts:
            if not context.exchange.has_started:
                context.end()

    def reject(
        self, exchange: CallerExchange, call: CallerCall, error: PoplarfoldError
    ) -> None:
        """Send an error, or close the connection if an answer has already started."""
        self.log_end(call, error)
        self.services.metrics.count_error_response(error.code)
        if exchange.has_started:
            exchange.close_after_request()
            return
        retry_after_s = self.services.fleet.settings.admission.retry_after_s
        if isinstance(error, SOON_RETRIED):
            retry_after_s = SHORT_RETRY_AFTER_S
        elif isinstance(error, StoppingError):
            retry_after_s = OTHER_NODE_RETRY_AFTER_S
        elif isinstance(error, RetryLaterError):
            retry_after_s = error.remaining_s
        elif isinstance(error, DecodePoolFullError) and error.remaining_s is not None:
            retry_after_s = error.remaining_s
        send_error(exchange, call.request_id, error, retry_after_s)

    def log_end(self, call: CallerCall, error: PoplarfoldError) -> None:
        """Log why a call ended without a complete answer from an endpoint."""
        self.services.write_log(
            "PF1109",
            call.request_id,
            {"code": error.code, "status": error.status, "problem": str(error)},
        )

    def change_open_calls(self, change: int) -> None:
        """Add ``change`` to the number of calls in progress."""
        with self.lock:
            self.open_calls += change
            self.services.metrics.set_open(self.open_calls)


def is_engine_stream(context: CallContext) -> bool:
    """Return whether a call is served by an engine, as a stream of events."""
    return context.route.kind is CallKind.STREAM and context.route.uses_engine
