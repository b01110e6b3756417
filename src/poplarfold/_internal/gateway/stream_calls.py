"""Streams of a model: passed on event by event, and resumed after a failure."""

import time

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.daemon.endpoint_client import (
    AbortHandle,
    EndpointStream,
    Target,
)
from poplarfold._internal.exceptions import (
    EndpointError,
    EndpointRefusedError,
    ForeignAnswerError,
    NotRunError,
    PoplarfoldError,
    StoppingError,
)
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.events import EventSplitter
from poplarfold._internal.gateway.stream_steps import EngineSteps, PreparedDecode
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    endpoint_headers,
    read_proof,
)

__all__ = ["StreamCall"]


class StreamCall:
    """One stream for one caller, over as many attempts as its route allows."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.services = context.services
        self.fleet = context.services.fleet
        self.settings = self.fleet.settings
        self.splitter = EventSplitter(context.call.resume_after)
        self.steps = EngineSteps(context)
        self.attempts = 0
        self.is_unrun = True
        self.began = False
        # When the last piece was sent, and the longest pause so far.
        self.piece_at = 0.0
        self.pause_s = 0.0

    def run(self) -> None:
        """Serve the stream. Raises PoplarfoldError or OSError."""
        while True:
            try:
                if self.attempt():
                    return
                error: PoplarfoldError = EndpointError("the stream broke off")
            except EndpointError as failure:
                error = failure
            if not self.may_repeat(error):
                raise self.final_error(error)

    def final_error(self, error: PoplarfoldError) -> PoplarfoldError:
        """Return the failure for the caller: 503 only if nothing has run."""
        if not self.is_unrun:
            return error
        return NotRunError(str(error))

    def may_repeat(self, error: PoplarfoldError) -> bool:
        """Return whether another attempt is allowed; it may spend the budget."""
        context = self.context
        self.context.check_caller()
        if self.attempts >= max(context.route.max_attempts, 1 + self.is_unrun):
            return False
        if not self.is_unrun and not context.route.resumable:
            return False
        if time.monotonic() >= context.deadline_at:
            return False
        return context.may_repeat()

    def attempt(self) -> bool:
        """Make one attempt; return whether the stream came to its end."""
        if not self.began and time.monotonic() >= self.fleet.no_streams_after:
            raise StoppingError("the node is stopping")
        reservation = self.steps.reserve()
        prepared = PreparedDecode(reservation)
        used = False
        try:
            prepared = self.steps.prefill(reservation, is_first=self.attempts == 0)
            remaining_s = self.context.remaining_s()
            used = True
            return self.decode(prepared, remaining_s)
        finally:
            self.fleet.done(reservation.endpoint)
            if not used:
                self.steps.release(prepared)

    def decode(self, prepared: PreparedDecode, remaining_s: float) -> bool:
        """Open the stream and pass it on; return whether it came to its end."""
        context = self.context
        endpoint = prepared.reservation.endpoint
        if not self.fleet.is_usable(endpoint):
            self.steps.release(prepared)
            self.attempts += 1
            raise EndpointRefusedError("the decode engine is leaving")
        self.attempts += 1
        started_at = time.monotonic()
        abort = context.abort
        target = CallTarget(
            endpoint.endpoint_id,
            remaining_s,
            EndpointRole.DECODE,
            prepared.kv_source,
            prepared.reservation.lease_id,
            self.splitter.last_id,
        )
        result = self.services.client.open_stream(
            Target(endpoint.address, context.call.method, context.call.path),
            context.body,
            endpoint_headers(context.call, target),
            self.read_limit_s(self.settings.first_output_s),
            abort,
        )
        if result.is_err():
            failure = result.unwrap_err()
            self.is_unrun = self.is_unrun and not failure.sent
            # An engine whose caller has left is well; any other has just failed.
            is_reachable = context.caller_gone.is_set()
            self.steps.release(prepared, is_reachable)
            self.context.check_caller()
            self.fleet.note_silence(endpoint)
            context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)
            raise failure.error
        stream = result.unwrap()
        try:
            return self.relay(stream, endpoint, prepared, started_at, abort)
        finally:
            abort.attach(None)
            stream.close()

    def read_limit_s(self, usual_s: float) -> float:
        """Return how long a read may wait; only what can be resumed is cut."""
        left = self.context.remaining_s()
        return min(usual_s, left) if self.context.route.resumable else left

    def relay(
        self,
        stream: EndpointStream,
        endpoint: FleetEndpoint,
        prepared: PreparedDecode,
        started_at: float,
        abort: AbortHandle,
    ) -> bool:
        """Pass an endpoint's answer on as it arrives."""
        context = self.context
        proof = read_proof(stream.status, stream.headers)
        if not proof.belongs_to(context.call):
            self.is_unrun = False
            raise ForeignAnswerError("the answer does not belong to the request")
        self.is_unrun = self.is_unrun and proof.not_run
        context.log(
            "PF1102",
            endpoint=endpoint.endpoint_id,
            status=stream.status,
            not_run=proof.not_run,
            answer_s=round(time.monotonic() - started_at, 4),
        )
        if stream.status != 200:
            self.steps.release(prepared)
            if proof.not_run:
                self.note_refusal(prepared)
                raise EndpointRefusedError(f"{endpoint.address} refused the stream")
            return self.relay_failure(stream, endpoint, started_at)
        while not stream.ended:
            result = stream.read()
            self.context.check_caller()
            if result.is_err():
                failure = result.unwrap_err()
                self.fleet.note_silence(endpoint)
                context.log_failure(endpoint.endpoint_id, failure.error, True)
                self.splitter.restart()
                context.remaining_s()
                raise failure.error
            piece = self.splitter.feed(result.unwrap())
            if stream.ended and not stream.is_cut:
                piece += self.splitter.rest
                self.splitter.restart()
            if piece:
                self.send_piece(stream, piece, prepared, started_at)
            if not stream.ended:
                stream.silence_s = self.read_limit_s(self.settings.silence_s)
        if stream.is_cut:
            self.fleet.note_answer(endpoint, started_at, ok=False)
            self.splitter.restart()
            context.log_failure(
                endpoint.endpoint_id, EndpointError("the stream was cut"), True
            )
            return False
        if not self.began:
            raise EndpointError("the stream had no event")
        context.exchange.end_stream()
        self.services.metrics.observe_pause(self.pause_s)
        self.note_end(time.monotonic() - started_at)
        context.log(
            "PF1107",
            endpoint=endpoint.endpoint_id,
            events=self.splitter.events,
            pause_s=round(self.pause_s, 3),
            expected_outputs=context.call.expected_outputs,
            max_outputs=context.call.max_outputs,
            stream_s=round(time.monotonic() - started_at, 3),
        )
        return True

    def note_end(self, stream_s: float) -> None:
        """Learn from a stream that came to its end."""
        call = self.context.call
        if call.resume_after is not None or self.context.details is None:
            # Only a part of the outputs was made here.
            return
        self.fleet.note_stream(
            stream_s,
            self.steps.lease_tokens,
            self.splitter.events * self.context.details.event_outputs,
            call.expected_outputs,
            call.max_outputs,
        )

    def send_piece(
        self,
        stream: EndpointStream,
        piece: bytes,
        prepared: PreparedDecode,
        started_at: float,
    ) -> None:
        """Send whole events; the first ones go out with the answer's head."""
        context = self.context
        now = time.monotonic()
        if self.began:
            self.pause_s = max(self.pause_s, now - self.piece_at)
            self.piece_at = now
            context.exchange.send_piece(piece)
            return
        self.began = True
        self.piece_at = now
        headers = caller_answer_headers(stream.headers.items())
        context.exchange.begin_stream(stream.status, headers, piece)
        endpoint = prepared.reservation.endpoint
        self.fleet.note_answer(endpoint, started_at, ok=True)
        self.fleet.note_used(endpoint)
        if prepared.prefill is not None:
            self.fleet.note_used(prepared.prefill)
        self.services.metrics.count_answer(
            context.route.kind.value,
            stream.status,
            time.monotonic() - context.arrived_at,
        )

    def note_refusal(self, prepared: PreparedDecode) -> None:
        """Learn from a stream that was refused in spite of its lease.

        Either the prefilled prompt is gone, or the decode engine is leaving or
        changing its role.
        """
        if prepared.prefill is None:
            self.fleet.note_silence(prepared.reservation.endpoint)
            return
        self.steps.may_prefill = False
        self.fleet.note_refusal(prepared.prefill, prepared.reservation.endpoint)

    def relay_failure(
        self, stream: EndpointStream, endpoint: FleetEndpoint, started_at: float
    ) -> bool:
        """Handle an answer that is no stream: repeat, or pass it on whole."""
        context = self.context
        proof = read_proof(stream.status, stream.headers)
        ok = stream.status < 500
        self.fleet.note_answer(endpoint, started_at, ok, proof.load)
        parts = []
        while not stream.ended:
            result = stream.read()
            self.context.check_caller()
            if result.is_err():
                raise result.unwrap_err().error
            parts.append(result.unwrap())
        if stream.is_cut or self.began:
            raise EndpointError("the answer was cut")
        if stream.status >= 500 and context.route.resumable:
            raise EndpointError(f"{endpoint.address} answered {stream.status}")
        headers = caller_answer_headers(stream.headers.items())
        context.exchange.send_whole(stream.status, headers, b"".join(parts))
        return True
