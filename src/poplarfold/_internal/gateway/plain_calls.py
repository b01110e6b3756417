"""Calls to plain services: one endpoint, one whole answer."""

import time
from collections.abc import Mapping

from result import Result

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.daemon.endpoint_client import Answer, Failure, Target
from poplarfold._internal.exceptions import (
    CallerGoneError,
    CallTimeoutError,
    EndpointError,
    EndpointStalledError,
    NotRunError,
    PoplarfoldError,
)
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    endpoint_headers,
    read_proof,
)

__all__ = ["PlainCall"]

SERVER_ERROR = 500


class PlainCall:
    """One call to a plain service.

    A call that must not be repeated is sent once, unless the attempt proves
    that it has not run. An idempotent call is repeated within the route's
    number of attempts and the fleet's retry budget.
    """

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.fleet = context.services.fleet
        self.tried: set[str] = set()
        self.sent_attempts = 0
        # False once any attempt may have run.
        self.is_unrun = True

    def run(self) -> None:
        """Make the call and answer it. Raises PoplarfoldError or OSError."""
        failed: Answer | None = None
        error: PoplarfoldError = NotRunError("no endpoint can take the call")
        while True:
            if not self.may_try():
                break
            endpoint = self.fleet.pick(
                self.context.service, EndpointRole.SERVICE, self.tried
            )
            if endpoint is None:
                break
            self.tried.add(endpoint.endpoint_id)
            try:
                answer, error = self.attempt(endpoint)
            finally:
                self.fleet.done(endpoint)
            if answer is not None and not self.wants_repeat(answer):
                self.pass_on(answer)
                return
            failed = answer or failed
        if failed is not None:
            # The last answer of an endpoint says more than a failure of ours.
            self.pass_on(failed)
            return
        raise error if self.is_unrun is False else as_unrun(error)

    def may_try(self) -> bool:
        """Return whether another attempt is allowed; it may spend the budget."""
        context = self.context
        if context.caller_gone.is_set():
            raise CallerGoneError("the caller has gone")
        if self.sent_attempts == 0:
            return context.deadline_at > time.monotonic()
        if not self.is_unrun and not context.route.repeatable:
            return False
        if self.sent_attempts >= context.route.max_attempts:
            return False
        if time.monotonic() >= context.deadline_at:
            return False
        return context.may_repeat()

    def wants_repeat(self, answer: Answer) -> bool:
        """Return whether an answer should be replaced by another attempt's."""
        proof = read_proof(answer.status, answer.headers)
        if proof.not_run:
            return True
        return answer.status >= SERVER_ERROR and self.context.route.repeatable

    def attempt(self, endpoint: FleetEndpoint) -> tuple[Answer | None, PoplarfoldError]:
        """Send the call to one endpoint; return its answer or why there is none."""
        context = self.context
        started_at = time.monotonic()
        result = self.send(endpoint, context.deadline_at - started_at)
        if result.is_err():
            failure = result.unwrap_err()
            self.sent_attempts += failure.sent
            self.is_unrun = self.is_unrun and not failure.sent
            if context.caller_gone.is_set():
                raise CallerGoneError("the caller has gone")
            self.note_failure(endpoint, failure, started_at)
            context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)
            return None, self.error_of(failure)
        answer = result.unwrap()
        proof = read_proof(answer.status, answer.headers)
        self.sent_attempts += 1
        self.is_unrun = self.is_unrun and proof.not_run
        ok = answer.status < SERVER_ERROR
        self.fleet.note_answer(endpoint, started_at, ok, proof.load)
        if proof.is_other_endpoint:
            self.fleet.note_silence(endpoint)
        context.log(
            "PF1102",
            endpoint=endpoint.endpoint_id,
            status=answer.status,
            not_run=proof.not_run,
            answer_s=round(time.monotonic() - started_at, 4),
        )
        return answer, NotRunError("all endpoints have refused the call")

    def send(
        self, endpoint: FleetEndpoint, remaining_s: float
    ) -> Result[Answer, Failure]:
        """Make the exchange with one endpoint."""
        context = self.context
        call = context.call
        target = CallTarget(endpoint.endpoint_id, max(0.001, remaining_s))

        def is_own(status: int, headers: Mapping[str, str]) -> bool:
            return read_proof(status, headers).belongs_to(call)

        return context.services.client.exchange(
            Target(endpoint.address, call.method, call.path),
            context.body or None,
            endpoint_headers(call, target),
            max(0.001, remaining_s),
            # The endpoint may have closed a kept connection, which costs an
            # attempt.
            fresh=not context.route.repeatable or self.sent_attempts > 0,
            handle=context.abort,
            is_own=is_own,
            # A repeat is an attempt of the route and costs retry budget.
            resend=False,
        )

    def note_failure(
        self, endpoint: FleetEndpoint, failure: Failure, started_at: float
    ) -> None:
        """Remember a failure of an endpoint for later choices."""
        is_silent = isinstance(failure.error, EndpointStalledError)
        if is_silent or not failure.sent:
            self.fleet.note_silence(endpoint)
        elif not failure.on_kept:
            # An endpoint may close an idle connection at any time.
            self.fleet.note_answer(endpoint, started_at, ok=False)

    def error_of(self, failure: Failure) -> PoplarfoldError:
        """Return the failure that the caller gets if no attempt follows."""
        if time.monotonic() >= self.context.deadline_at:
            return CallTimeoutError("the endpoint has not answered in time")
        return failure.error

    def pass_on(self, answer: Answer) -> None:
        """Send the endpoint's answer to the caller as it is."""
        context = self.context
        headers = caller_answer_headers(answer.headers.items())
        proof = read_proof(answer.status, answer.headers)
        if proof.not_run and not self.is_unrun:
            # A refusal of the last attempt would deny what an earlier one did.
            raise EndpointError("an earlier attempt may have run")
        if answer.status == 421:
            raise NotRunError("the endpoint has been replaced")
        context.exchange.send_whole(answer.status, headers, answer.body)
        latency_s = time.monotonic() - context.arrived_at
        context.services.metrics.count_answer(
            context.route.kind.value, answer.status, latency_s
        )


def as_unrun(error: PoplarfoldError) -> PoplarfoldError:
    """Return a failure that says that the call has not run."""
    return error if error.status == 503 else NotRunError(str(error))
