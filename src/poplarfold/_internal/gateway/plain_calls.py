"""Calls to plain services: one request and one complete answer."""

import math
from collections.abc import Mapping

from result import Err, Result

from poplarfold._internal.core.fleet.paced_choice import AttemptNeeds
from poplarfold._internal.core.fleet.rows import CallKind, FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    CallTimeoutError,
    EndpointCutOffError,
    EndpointError,
    EndpointStalledError,
    NotRunError,
    PoplarfoldError,
)
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.events import (
    EVENT_STREAM,
    ends_inside_event,
    media_type,
)
from poplarfold._internal.gateway.retry_charge import RetryCharge
from poplarfold._internal.http.exchange import Answer, Target
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    decode_answer_metadata,
    endpoint_headers,
)
from poplarfold._internal.utils.clock import boot_time

__all__ = ["PlainCall"]

OK = 200
SERVER_ERROR = 500


class PlainCall:
    """One call to a plain service.

    A non-repeatable call is retried only while it is certain that no attempt has run,
    an idempotent call also after an attempt that may have run. The retries stay within
    the route's ``max_attempts`` and the retry budget of the service.
    """

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.fleet = context.services.fleet
        self.tried: set[str] = set()
        # The endpoints at which an attempt failed, and those of them that answered it
        # with an error.
        self.failed_at: list[FleetEndpoint] = []
        self.answered_errors: list[FleetEndpoint] = []
        self.sent_attempts = 0
        self.charge = RetryCharge(context)
        # What this node keeps of the answers, until one has been sent.
        self.held = context.services.client.memory.hold()
        # False as soon as an attempt may have run.
        self.is_unexecuted = True

    def run(self) -> None:
        """Make the call and send its answer. Raises PoplarfoldError or OSError."""
        try:
            self.make_attempts()
        finally:
            self.held.release()

    def make_attempts(self) -> None:
        """Try endpoints until one has answered. Raises PoplarfoldError or OSError."""
        failed: Answer | None = None
        error: PoplarfoldError = NotRunError("no endpoint can take the call")
        while True:
            if not self.may_try():
                break
            endpoint = self.pick()
            if endpoint is None and not self.tried:
                self.fleet.check_pool(self.context.service, EndpointRole.SERVICE)
                # An endpoint may have got room since the first choice.
                endpoint = self.pick()
            if endpoint is None:
                break
            if not self.take_retry():
                self.fleet.finish_call(endpoint)
                break
            self.tried.add(endpoint.endpoint_id)
            try:
                answer, error = self.attempt(endpoint)
            finally:
                self.fleet.finish_call(endpoint)
            if answer is not None and not self.should_retry(answer):
                self.forward(answer)
                return
            failed = answer or failed
        if failed is not None:
            # The last answer of an endpoint tells the caller more than an error of
            # the router.
            self.forward(failed)
            return
        raise error if self.is_unexecuted is False else as_not_run_error(error)

    def pick(self) -> FleetEndpoint | None:
        """Choose the next endpoint; ``finish_call`` must follow."""
        return self.fleet.pick(
            self.context.service,
            EndpointRole.SERVICE,
            self.tried,
            self.needs(),
            self.context.log,
        )

    def needs(self) -> AttemptNeeds:
        """Return what the choice of the next endpoint has to consider.

        A call that may be repeated but has no further attempt needs the same care as
        one that may not.
        """
        route = self.context.route
        may_repeat = route.repeatable and self.sent_attempts + 1 < route.max_attempts
        failed_domain = self.failed_at[-1].failure_domain if self.failed_at else None
        return AttemptNeeds(may_repeat, failed_domain)

    def may_try(self) -> bool:
        """Return whether another attempt is allowed."""
        context = self.context
        if context.caller_gone.is_set():
            raise CallerDisconnectedError("the caller has disconnected")
        if self.sent_attempts == 0:
            return context.deadline_at > boot_time()
        if not self.is_unexecuted and not context.route.repeatable:
            return False
        if self.sent_attempts >= context.route.max_attempts:
            return False
        if boot_time() >= context.deadline_at:
            return False
        return context.may_spend_retry()

    def take_retry(self) -> bool:
        """Take a retry for an attempt after the first; return False if none is left."""
        return not self.sent_attempts or self.charge.take()

    def should_retry(self, answer: Answer) -> bool:
        """Return whether another attempt should be made in place of this answer."""
        metadata = decode_answer_metadata(answer.status, answer.headers)
        if metadata.not_run:
            return True
        return answer.status >= SERVER_ERROR and self.context.route.repeatable

    def count_attempt(self, was_sent: bool) -> None:
        """Count an attempt if it was sent, with the retry that was taken for it."""
        self.sent_attempts += was_sent
        self.charge.settle(was_sent)

    def attempt(self, endpoint: FleetEndpoint) -> tuple[Answer | None, PoplarfoldError]:
        """Send the call to one endpoint.

        Returns the answer (None if there is none), and the error that the caller
        gets if no other attempt follows.
        """
        context = self.context
        started_at = boot_time()
        result = self.send(endpoint, context.deadline_at - started_at)
        if result.is_err():
            failure = result.unwrap_err()
            self.count_attempt(failure.sent)
            self.is_unexecuted = self.is_unexecuted and not failure.sent
            if context.caller_gone.is_set():
                raise CallerDisconnectedError("the caller has disconnected")
            self.record_failure(endpoint, failure, started_at)
            if not failure.is_own_shortage:
                self.record_outcome(endpoint, ok=False)
            context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)
            return None, self.error_for_caller(failure)
        answer = result.unwrap()
        metadata = decode_answer_metadata(answer.status, answer.headers)
        if not metadata.is_other_endpoint:
            context.services.record_signal(
                endpoint, metadata.signal, started_at, metadata.unknown_headers
            )
        self.count_attempt(was_sent=True)
        self.is_unexecuted = self.is_unexecuted and metadata.not_run
        ok = answer.status < SERVER_ERROR
        self.fleet.record_answer(
            endpoint, started_at, ok, metadata.load, metadata.not_run
        )
        if not metadata.not_run:
            self.record_outcome(endpoint, ok, has_answered=True)
        if metadata.is_other_endpoint:
            self.fleet.record_unresponsive(endpoint)
        context.log_answer(
            endpoint.endpoint_id, answer.status, metadata.not_run, started_at
        )
        return answer, NotRunError("all endpoints have refused the call")

    def send(
        self, endpoint: FleetEndpoint, remaining_s: float
    ) -> Result[Answer, Failure]:
        """Send the request to one endpoint and read its answer."""
        context = self.context
        call = context.call
        context.was_sent = True
        target = CallTarget(
            endpoint.endpoint_id,
            max(0.001, remaining_s),
            account=context.account_name,
        )

        def belongs_to_request(
            status: int, headers: Mapping[str, str], was_reused: bool
        ) -> bool:
            metadata = decode_answer_metadata(status, headers)
            is_own = metadata.belongs_to(call, was_reused)
            if not is_own and metadata.belongs_to(call) and metadata.signal.is_away:
                # The endpoint wrote it, if not for this call: it ends no limit.
                context.services.record_signal(
                    endpoint, metadata.signal, -math.inf, metadata.unknown_headers
                )
            return is_own

        result = context.services.client.exchange(
            Target(endpoint.address, call.method, call.path),
            context.body or None,
            endpoint_headers(call, target),
            max(0.001, remaining_s),
            # Non-repeatable calls and retries use a new connection: the endpoint may
            # have closed a kept one, which would use up an attempt.
            use_new_connection=not context.route.repeatable or self.sent_attempts > 0,
            handle=context.abort,
            belongs_to_request=belongs_to_request,
            # The client must not resend: each retry counts as an attempt of the
            # route and takes retry budget.
            retry_on_new_connection=False,
            held=self.held,
            gives_up_cut_paths=context.route.repeatable,
        )
        if result.is_ok() and self.is_broken_off(result.unwrap()):
            return Err(Failure(EndpointError("the stream was truncated"), sent=True))
        return result

    def is_broken_off(self, answer: Answer) -> bool:
        """Return whether an answer is a stream of events that stopped inside one."""
        if self.context.route.kind is not CallKind.STREAM or answer.status != OK:
            return False
        is_stream = media_type(answer.headers) == EVENT_STREAM
        return is_stream and ends_inside_event(answer.body)

    def record_failure(
        self, endpoint: FleetEndpoint, failure: Failure, started_at: float
    ) -> None:
        """Record a failure in the endpoint's statistics, for later choices.

        An endpoint that is only cut off from this node has not failed, nor one to
        which this node has no descriptor to connect.
        """
        if isinstance(failure.error, EndpointCutOffError) or failure.is_own_shortage:
            return
        is_silent = isinstance(failure.error, EndpointStalledError)
        if is_silent or not failure.sent:
            self.fleet.record_unresponsive(endpoint)
        elif not failure.on_reused_connection:
            # Failures on kept connections are not recorded, because an endpoint
            # may close an idle connection at any time.
            self.fleet.record_answer(endpoint, started_at, ok=False)

    def record_outcome(
        self, endpoint: FleetEndpoint, ok: bool, has_answered: bool = False
    ) -> None:
        """Record whether an attempt succeeded, for the choice of the next endpoint.

        If two endpoints answer a request with an error, it more likely lies with the
        request, and their failures are taken back.
        """
        if self.failed_at:
            first = self.failed_at[-1]
            self.context.log(
                "PF3602",
                first=first.endpoint_id,
                second=endpoint.endpoint_id,
                same_domain=first.failure_domain == endpoint.failure_domain,
                ok=ok,
            )
        if ok:
            return
        self.failed_at.append(endpoint)
        if has_answered:
            self.answered_errors.append(endpoint)
        errors = self.answered_errors
        if has_answered and len(errors) >= 2:
            self.fleet.forgive_failures(errors if len(errors) == 2 else errors[-1:])

    def error_for_caller(self, failure: Failure) -> PoplarfoldError:
        """Return the error that the caller gets if no other attempt follows."""
        if boot_time() >= self.context.deadline_at:
            return CallTimeoutError("the endpoint did not answer before the deadline")
        return failure.error

    def forward(self, answer: Answer) -> None:
        """Forward the endpoint's answer to the caller.

        Raises EndpointError if the answer claims that the call has not run, although
        an earlier attempt may have, and NotRunError for status 421.
        """
        context = self.context
        headers = caller_answer_headers(answer.headers.items())
        metadata = decode_answer_metadata(answer.status, answer.headers)
        if metadata.not_run and not self.is_unexecuted:
            # Forwarding the last refusal would claim that the call has not run,
            # although an earlier attempt may have.
            raise EndpointError("an earlier attempt may have run")
        if answer.status == 421:
            raise NotRunError("the endpoint has been replaced")
        context.is_refused = metadata.not_run
        holding = self.held.detach()
        try:
            context.exchange.send_whole(answer.status, headers, answer.body, holding)
        finally:
            holding.release()
        latency_s = boot_time() - context.arrived_at
        context.services.metrics.count_answer(
            context.route.kind.value, answer.status, latency_s
        )


def as_not_run_error(error: PoplarfoldError) -> PoplarfoldError:
    """Return an error with status 503, which means that the call has not run."""
    return error if error.status == 503 else NotRunError(str(error))
