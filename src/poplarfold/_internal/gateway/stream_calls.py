"""Streams of a model: a decode slot, a prefill, then the stream itself.

The decode slot is reserved before the prefill starts, so that no prompt is
read in vain. What is reserved and not used is released at once.
"""

import time
from typing import NamedTuple

from poplarfold._internal.core.fleet.door import WaitRow
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.daemon.endpoint_client import (
    AbortHandle,
    EndpointStream,
    Target,
)
from poplarfold._internal.exceptions import (
    CallerGoneError,
    CallTimeoutError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    ForeignAnswerError,
    NoRoomError,
    NotRunError,
    PoplarfoldError,
    StoppingError,
)
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.events import EventSplitter
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    endpoint_headers,
    read_proof,
)

__all__ = ["StreamCall"]

# A waiting call looks again after this time even if nothing has told it to.
LOOK_AGAIN_S = 0.03
# A call whose remaining time is below this share of the route's timeout has
# come back after a refusal: it has missed its latency target already.
LATE_SHARE = 0.97
PREFILL_TRIES = 2
# After a failure that took longer, there is no time for another engine's queue.
PREFILL_RETRY_S = 0.1
# Reservations outlive the prefill by this time.
LEASE_MARGIN_S = 0.5


class Reservation(NamedTuple):
    """A reserved slot at a decode engine."""

    endpoint: FleetEndpoint
    lease_id: str


class PreparedDecode(NamedTuple):
    """A reservation and the source of the prefilled prompt, if there is one."""

    reservation: Reservation
    prefill: FleetEndpoint | None = None
    handle: str | None = None

    @property
    def kv_source(self) -> str | None:
        """The address and handle from which the decode engine takes the prompt."""
        if self.prefill is None or self.handle is None:
            return None
        return f"{self.prefill.address}/{self.handle}"


class StreamCall:
    """One stream for one caller, over as many attempts as its route allows."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.services = context.services
        self.fleet = context.services.fleet
        self.settings = self.fleet.settings
        self.splitter = EventSplitter(context.call.resume_after)
        call = context.call
        self.lease_tokens = call.prompt_tokens + self.fleet.outputs_to_reserve(
            call.expected_outputs, call.max_outputs
        )
        self.attempts = 0
        self.is_unrun = True
        self.began = False
        # False once a prefilled prompt was lost on the way to its decode engine.
        self.may_prefill = True

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
        self.check_caller()
        if self.attempts >= max(context.route.max_attempts, 1 + self.is_unrun):
            return False
        if not self.is_unrun and not context.route.resumable:
            return False
        if time.monotonic() >= context.deadline_at:
            return False
        if not self.fleet.may_repeat(context.service):
            context.log("PF1104", service=context.service)
            return False
        self.services.metrics.count_repeat(context.service)
        return True

    def attempt(self) -> bool:
        """Make one attempt; return whether the stream came to its end."""
        reservation = self.reserve()
        prepared = PreparedDecode(reservation)
        used = False
        try:
            prepared = self.prefill(reservation)
            used = True
            return self.decode(prepared)
        finally:
            self.fleet.done(reservation.endpoint)
            if not used:
                self.release(prepared)

    # The decode slot.

    def reserve(self) -> Reservation:
        """Wait for a decode slot. Raises NoRoomError when none comes in time."""
        context = self.context
        fleet = self.fleet
        if not self.began and time.monotonic() >= fleet.no_streams_after:
            raise StoppingError("the node is stopping")
        is_late = context.deadline_at - context.arrived_at < (
            context.route.timeout_s * LATE_SHARE
        )
        with fleet.lock:
            row = fleet.door.enter(
                context.service, is_late, context.call.prompt_tokens, fleet.clock()
            )
        try:
            return self.wait_for_slot(row)
        finally:
            with fleet.lock:
                fleet.door.leave(row.ticket)
                fleet.changed.notify_all()

    def wait_for_slot(self, row: WaitRow) -> Reservation:
        """Ask engines for a slot whenever it is this call's turn."""
        fleet = self.fleet
        give_up_at = min(fleet.door.give_up_at(row), self.context.deadline_at)
        while True:
            self.check_caller()
            endpoint = fleet.pick_in_turn(row)
            if endpoint is not None:
                reservation = self.take_lease(endpoint)
                if reservation is not None:
                    return reservation
                fleet.end_turn(row)
            now = time.monotonic()
            if now >= give_up_at:
                raise NoRoomError("all decode engines are full")
            if endpoint is None:
                with fleet.lock:
                    fleet.changed.wait(min(LOOK_AGAIN_S, give_up_at - now))

    def take_lease(self, endpoint: FleetEndpoint) -> Reservation | None:
        """Ask one engine for a slot; it counts as in use while it is held."""
        context = self.context
        tokens = self.lease_tokens
        hold_s = context.details.hold_s if context.details else 0.0
        result = self.services.engines.take_lease(
            endpoint.address,
            endpoint.endpoint_id,
            tokens,
            hold_s or self.settings.prefill_s + LEASE_MARGIN_S,
            self.settings.lease_call_s,
            context.abort,
        )
        if result.is_ok():
            lease = result.unwrap()
            self.fleet.note_load(endpoint, lease.load)
            context.log(
                "PF1105",
                endpoint=endpoint.endpoint_id,
                tokens=tokens,
                waited_s=round(time.monotonic() - context.arrived_at, 4),
            )
            return Reservation(endpoint, lease.lease_id)
        self.fleet.done(endpoint)
        failure = result.unwrap_err()
        if isinstance(failure.error, EndpointRefusedError):
            self.fleet.mark_full(endpoint)
        else:
            self.fleet.note_silence(endpoint)
            context.log_failure(endpoint.endpoint_id, failure.error, sent=False)
        return None

    # The prefill.

    def prefill(self, reservation: Reservation) -> PreparedDecode:
        """Have the prompt read by a prefill engine, or leave it to the decode engine.

        A prefill that fails costs no slot: another engine is asked once, and
        then the decode engine reads the prompt itself.
        """
        context = self.context
        for _ in range(PREFILL_TRIES if self.may_prefill else 0):
            endpoint = self.fleet.pick_prefill(
                context.service, reservation.endpoint, context.call.prompt_tokens
            )
            if endpoint is None:
                break
            started_at = time.monotonic()
            prepared = self.ask_prefill(reservation, endpoint)
            if prepared is not None:
                return prepared
            took_s = time.monotonic() - started_at
            if took_s > PREFILL_RETRY_S or not self.fleet.may_repeat(context.service):
                break
        context.log("PF1110", endpoint=reservation.endpoint.endpoint_id)
        return PreparedDecode(reservation)

    def ask_prefill(
        self, reservation: Reservation, endpoint: FleetEndpoint
    ) -> PreparedDecode | None:
        """Have the prompt read by one engine; None if it failed."""
        context = self.context
        started_at = time.monotonic()
        try:
            result = self.services.engines.prefill(
                endpoint.address,
                context.call,
                context.body,
                endpoint.endpoint_id,
                context.remaining_s(),
                min(self.settings.prefill_s, context.remaining_s()),
                context.abort,
            )
        finally:
            self.fleet.done(endpoint)
        self.check_caller()
        if result.is_err():
            failure = result.unwrap_err()
            self.fleet.note_silence(endpoint)
            if not isinstance(failure.error, EndpointUnreachableError):
                self.fleet.note_rejected(context.service)
            context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)
            return None
        done = result.unwrap()
        prefill_s = time.monotonic() - started_at
        self.fleet.note_answer(endpoint, started_at, True, done.load)
        if self.attempts == 0:
            # The engines may have kept the prompt of an earlier attempt.
            self.fleet.note_prefill_time(
                endpoint, prefill_s, context.call.prompt_tokens
            )
        context.log(
            "PF1106",
            endpoint=endpoint.endpoint_id,
            tokens=done.tokens,
            prefill_s=round(prefill_s, 4),
        )
        return PreparedDecode(reservation, endpoint, done.handle)

    # The stream.

    def decode(self, prepared: PreparedDecode) -> bool:
        """Open the stream and pass it on; return whether it came to its end."""
        context = self.context
        endpoint = prepared.reservation.endpoint
        if not self.fleet.is_usable(endpoint):
            self.release(prepared)
            self.attempts += 1
            raise EndpointRefusedError("the decode engine is leaving")
        self.attempts += 1
        started_at = time.monotonic()
        abort = context.abort
        target = CallTarget(
            endpoint.endpoint_id,
            context.remaining_s(),
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
            self.release(prepared)
            self.check_caller()
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
            self.release(prepared)
            if proof.not_run:
                self.note_refusal(prepared)
                raise EndpointRefusedError(f"{endpoint.address} refused the stream")
            return self.relay_failure(stream, endpoint, started_at)
        while not stream.ended:
            result = stream.read()
            self.check_caller()
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
        self.note_end(time.monotonic() - started_at)
        context.log(
            "PF1107",
            endpoint=endpoint.endpoint_id,
            events=self.splitter.events,
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
            self.lease_tokens,
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
        if self.began:
            context.exchange.send_piece(piece)
            return
        self.began = True
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
        self.may_prefill = False
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
            self.check_caller()
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

    # Ends.

    def release(self, prepared: PreparedDecode) -> None:
        """Release a slot and a prefilled prompt that are not used."""
        engines = self.services.engines
        limit_s = self.settings.lease_call_s
        reservation = prepared.reservation
        if not engines.drop_lease(
            reservation.endpoint.address, reservation.lease_id, limit_s
        ):
            self.context.log(
                "PF1108", endpoint=reservation.endpoint.endpoint_id, kind="lease"
            )
        if prepared.handle is not None and prepared.prefill is not None:
            engine = prepared.prefill
            if not engines.drop_prefill(engine.address, prepared.handle, limit_s):
                self.context.log("PF1108", endpoint=engine.endpoint_id, kind="prefill")

    def check_caller(self) -> None:
        """Raise CallerGoneError if nobody waits for the stream any more."""
        if self.context.caller_gone.is_set():
            raise CallerGoneError("the caller has gone")
        if time.monotonic() >= self.context.deadline_at:
            raise CallTimeoutError("the deadline has passed")
