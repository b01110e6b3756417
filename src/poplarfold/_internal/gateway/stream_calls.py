"""Model output streams: relayed event by event, and resumed after a failure."""

import select
import socket
from typing import NoReturn

from result import Err, Result

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import (
    AnswerTooLargeError,
    EndpointError,
    EndpointRefusedError,
    EndpointStalledError,
    EventTooLongError,
    NotRunError,
    PoplarfoldError,
    ResponseMismatchError,
    StoppingError,
)
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.events import (
    EVENT_STREAM,
    EventSplitter,
    continues_stream,
    ends_inside_event,
    media_type,
)
from poplarfold._internal.gateway.part_evidence import PartEvidence
from poplarfold._internal.gateway.retry_charge import RetryCharge
from poplarfold._internal.gateway.stream_failover import StreamFailover
from poplarfold._internal.gateway.stream_failures import relay_failure
from poplarfold._internal.gateway.stream_pace import StreamPace
from poplarfold._internal.gateway.stream_recording import StreamRecording
from poplarfold._internal.gateway.stream_setup import PreparedDecode, StreamSetup
from poplarfold._internal.http.endpoint_stream import EndpointStream
from poplarfold._internal.http.exchange import AbortHandle, Target
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    decode_answer_metadata,
    endpoint_headers,
)
from poplarfold._internal.utils.clock import boot_time

__all__ = ["StreamCall"]

# Answers with these statuses promise that the call has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class StreamCall:
    """One caller's stream, served by as many attempts as its route allows."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.services = context.services
        self.fleet = context.services.fleet
        self.settings = self.fleet.settings
        self.splitter = EventSplitter(context.call.resume_after)
        self.setup = StreamSetup(context)
        self.failover = StreamFailover(context, self.setup)
        self.recording = StreamRecording(context)
        self.attempts = 0
        # Whether an attempt may have reached an engine, so that others are retries.
        self.has_arrived = False
        self.charge = RetryCharge(context)
        # Whether the retry budget was used up when another attempt was to be sent.
        self.is_denied = False
        self.last_error: PoplarfoldError = EndpointError("no attempt was made")
        self.is_unexecuted = True
        self.has_started = False
        # The media type of the answer that has begun.
        self.media_type = ""
        self.pace = StreamPace(context)
        self.evidence = PartEvidence(context)
        # What this node keeps of the answer that is being read.
        self.held = context.services.client.memory.hold()

    def run(self) -> None:
        """Serve the stream. Raises PoplarfoldError or OSError."""
        call = self.context.call
        self.evidence.check(self.is_unexecuted)
        # Before the origin of a stream is looked for, which may take a while.
        self.check_stop()
        if call.resume_after is not None:
            self.take_up()
        try:
            self.make_attempts()
        finally:
            self.failover.release()

    def take_up(self) -> None:
        """Go on with a stream only at the version that began it.

        Raises StreamVersionUnknownError if that is not known.
        """
        call = self.context.call
        version = self.services.versions.find(call, self.context.service)
        self.setup.version = version
        self.context.log("PF1113", resumes=call.resumes, software_version=version)

    def make_attempts(self) -> None:
        """Make attempts until one completes. Raises PoplarfoldError or OSError."""
        while True:
            try:
                if self.attempt():
                    return
                error: PoplarfoldError = EndpointError("the stream ended too early")
            except EndpointError as failure:
                error = failure
            except PoplarfoldError as failure:
                raise self.without_promise(failure) from None
            if not self.may_retry(error):
                raise self.final_error(error)
            self.last_error = error

    def final_error(self, error: PoplarfoldError) -> PoplarfoldError:
        """Return the error for the caller: status 503 only if nothing has run."""
        if not self.is_unexecuted:
            return error
        return NotRunError(str(error))

    def without_promise(self, error: PoplarfoldError) -> PoplarfoldError:
        """Return an error that does not deny an earlier attempt that may have run.

        A further attempt may fail because the node stops or no engine has room. The
        status of these errors would say that the stream has not run.
        """
        if self.is_unexecuted or error.status not in NOT_RUN_STATUSES:
            return error
        return EndpointError(f"an earlier attempt may have run; {error}")

    def may_retry(self, error: PoplarfoldError) -> bool:
        """Return whether another attempt is allowed."""
        self.context.check_caller()
        if self.failover.reservation is not None:
            return True
        if self.is_denied or not self.is_repeatable():
            return False
        return not self.has_arrived or self.context.may_spend_retry()

    def take_retry(self) -> None:
        """Take a retry for an attempt after one that may have reached an engine.

        Raises the error of the last attempt if none is left any more.
        """
        if self.has_arrived and not self.charge.take():
            self.is_denied = True
            raise self.last_error

    def is_repeatable(self) -> bool:
        """Return whether another attempt is allowed, if the retry budget has room."""
        route = self.context.route
        if not self.evidence.may_repeat():
            return False
        if self.has_started and not self.splitter.is_resumable:
            return False
        if self.attempts >= max(route.max_attempts, 1 + self.is_unexecuted):
            return False
        if not self.is_unexecuted and not route.resumable:
            return False
        return boot_time() < self.context.deadline_at

    def is_too_late(self) -> bool:
        """Return whether a planned stop takes this stream no more."""
        return not self.has_started and boot_time() >= self.fleet.reject_streams_after

    def check_stop(self) -> None:
        """Raise StoppingError if a planned stop takes this stream no more."""
        if self.is_too_late():
            raise StoppingError("the node is shutting down and takes no streams")

    def attempt(self) -> bool:
        """Make one attempt; return whether the stream was completed."""
        self.check_stop()
        reservation = self.failover.take(self.charge) or self.setup.reserve()
        prepared = PreparedDecode(reservation)
        used = False
        try:
            self.evidence.check(self.is_unexecuted)
            self.take_retry()
            if self.setup.version is None:
                self.recording.begin(reservation.endpoint, self.attempts + 1)
            prepared = self.setup.prefill(reservation, is_first=self.attempts == 0)
            self.evidence.check(self.is_unexecuted)
            remaining_s = self.context.remaining_s()
            used = True
            return self.decode(prepared, remaining_s)
        finally:
            self.fleet.finish_call(reservation.endpoint)
            self.charge.settle(has_arrived=False)
            if not used:
                self.setup.release(prepared)

    def decode(self, prepared: PreparedDecode, remaining_s: float) -> bool:
        """Open the stream and relay it; return whether it was completed."""
        context = self.context
        endpoint = prepared.reservation.endpoint
        if not self.fleet.is_usable(endpoint):
            self.setup.release(prepared)
            self.attempts += 1
            raise EndpointRefusedError("the decode engine is leaving")
        self.attempts += 1
        started_at = boot_time()
        self.evidence.begin(started_at)
        self.failover.begin(endpoint)
        context.was_sent = True
        self.fleet.count_call(endpoint)
        abort = context.abort
        target = CallTarget(
            endpoint.endpoint_id,
            remaining_s,
            EndpointRole.DECODE,
            prepared.kv_source,
            prepared.reservation.lease_id,
            self.splitter.last_id,
            context.account_name,
            context.priority,
        )
        headers = endpoint_headers(context.call, target)
        timeout_s = self.read_timeout_s(self.settings.first_output_s)
        was_sent = True
        try:
            result = self.services.client.open_stream(
                Target(endpoint.address, context.call.method, context.call.path),
                context.body,
                headers,
                timeout_s,
                abort,
                self.await_answer if context.route.resumable else None,
                remaining_s,
            )
            was_sent = result.is_ok() or result.unwrap_err().sent
        finally:
            self.has_arrived = self.has_arrived or was_sent
            self.charge.settle(was_sent)
        if result.is_err():
            failure = result.unwrap_err()
            self.is_unexecuted = self.is_unexecuted and not failure.sent
            # If the caller disconnected, or this node lacked a descriptor, the engine
            # itself is healthy and can be told to release the slot. Otherwise the
            # engine has just failed.
            is_reachable = context.caller_gone.is_set() or failure.is_own_shortage
            self.setup.release(prepared, is_reachable)
            self.context.check_caller()
            self.record_break(endpoint, failure)
            raise failure.error
        stream = result.unwrap()
        try:
            return self.relay(stream, endpoint, prepared, started_at, abort)
        finally:
            abort.attach(None)
            stream.close()
            self.held.release()

    def record_break(self, endpoint: FleetEndpoint, failure: Failure) -> None:
        """Record a stream that broke off, or is taken away from a silent engine."""
        self.evidence.record_break(endpoint, failure)
        if not self.failover.has_noticed and not failure.is_own_shortage:
            self.fleet.record_unresponsive(endpoint)
        self.context.log_failure(endpoint.endpoint_id, failure.error, failure.sent)

    def await_answer(self, sock: socket.socket) -> bool:
        """Wait until an answer begins; return False if the engine is given up.

        That is at the deadline, or once there is a slot for the stream elsewhere.
        """
        sent_at = boot_time()
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        while True:
            left_s = self.context.deadline_at - boot_time()
            wait_s = self.failover.wait_s(sent_at, self.settings.first_output_s)
            if left_s <= 0:
                return False
            if poll.poll(1000 * max(0.0, min(wait_s, left_s))):
                return True
            if wait_s <= 0 and self.find_failover(sock):
                return False

    def find_failover(self, sock: socket.socket) -> bool:
        """Look for a slot elsewhere while the engine is silent; return whether found.

        ``sock`` is the connection to the silent engine.
        """
        # What would end the next attempt must not end a stream that may still go on.
        is_rejected = self.is_too_late() or self.evidence.is_blocked()
        may_repeat = self.is_repeatable() and not is_rejected
        return self.failover.find(sock, may_repeat)

    def read_timeout_s(self, usual_s: float) -> float:
        """Return a read's timeout; ``usual_s`` limits resumable streams only."""
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
        """Relay an endpoint's answer as it arrives; return whether it was completed."""
        context = self.context
        metadata = decode_answer_metadata(stream.status, stream.headers)
        if not metadata.belongs_to(context.call):
            self.is_unexecuted = False
            raise ResponseMismatchError("the answer does not belong to the request")
        if not metadata.is_other_endpoint:
            context.services.record_signal(
                endpoint, metadata.signal, started_at, metadata.unknown_headers
            )
        if metadata.load is not None and metadata.load.slowdown is not None:
            self.fleet.record_load(endpoint, metadata.load)
        self.is_unexecuted = self.is_unexecuted and metadata.not_run
        context.log_answer(
            endpoint.endpoint_id, stream.status, metadata.not_run, started_at
        )
        if stream.status != 200:
            self.setup.release(prepared)
            if metadata.not_run:
                self.record_refusal(prepared)
                raise EndpointRefusedError(f"{endpoint.address} refused the stream")
            ok = stream.status < 500
            self.fleet.record_answer(endpoint, started_at, ok, metadata.load)
            relay_failure(context, stream, self.held, self.has_started)
            return True
        self.failover.record_head()
        # Whether the events follow those that were sent; None before the first one.
        is_continued: bool | None = None if self.has_started else True
        self.splitter.mark()
        if self.has_started:
            self.check_media_type(stream, endpoint)
        progress_at = started_at
        while not stream.ended:
            result = self.read_stream(stream, progress_at)
            self.context.check_caller()
            if result.is_err():
                failure = result.unwrap_err()
                self.record_break(endpoint, failure)
                self.splitter.restart()
                context.remaining_s()
                raise failure.error
            event_bytes = self.split_events(result.unwrap(), endpoint)
            if stream.ended and self.is_broken_off(stream):
                stream.is_truncated = True
            if stream.ended and not stream.is_truncated:
                event_bytes += self.splitter.rest
                self.splitter.restart()
            if event_bytes:
                if not is_continued:
                    last_id = self.splitter.marked[0]
                    is_continued = continues_stream(event_bytes, last_id)
                    if is_continued is False:
                        self.reject_continuation(endpoint)
                progress_at = boot_time()
                self.failover.record_event()
                self.send_events(stream, event_bytes, prepared, started_at)
            self.hold_rest(endpoint)
        if stream.is_truncated:
            truncated = EndpointError("the stream was truncated")
            self.evidence.record_break(endpoint, Failure(truncated, sent=True))
            self.fleet.record_answer(endpoint, started_at, ok=False)
            self.splitter.restart()
            context.log_failure(endpoint.endpoint_id, truncated, True)
            return False
        if not self.has_started:
            raise EndpointError("the stream ended without an event")
        if not is_continued:
            self.reject_continuation(endpoint)
        context.exchange.end_stream()
        self.evidence.record_sound()
        self.services.metrics.observe_pause(self.pace.longest_pause_s)
        self.pace.record_end(
            boot_time() - started_at, self.splitter.events, self.setup.lease_tokens
        )
        context.log(
            "PF1107",
            endpoint=endpoint.endpoint_id,
            events=self.splitter.events,
            pause_s=round(self.pace.longest_pause_s, 3),
            expected_outputs=context.call.expected_outputs,
            max_outputs=context.call.max_outputs,
            stream_s=round(boot_time() - started_at, 3),
        )
        return True

    def is_broken_off(self, stream: EndpointStream) -> bool:
        """Return whether an answer that has ended stopped inside an event.

        A server may end its body as usual then, so that its framing is complete.
        """
        may_be_other = media_type(stream.headers) not in ("", EVENT_STREAM)
        if may_be_other and not stream.is_unframed:
            return False
        return ends_inside_event(self.splitter.rest)

    def check_media_type(self, stream: EndpointStream, endpoint: FleetEndpoint) -> None:
        """Raise EndpointError if an answer cannot go on with the stream."""
        if media_type(stream.headers) not in (EVENT_STREAM, self.media_type):
            self.reject_continuation(endpoint)

    def reject_continuation(self, endpoint: FleetEndpoint) -> NoReturn:
        """Discard an answer that does not go on with the stream that has begun.

        Raises EndpointError.
        """
        self.splitter.rewind()
        error = EndpointError("the answer does not continue the stream")
        self.fleet.record_unresponsive(endpoint)
        self.context.log_failure(endpoint.endpoint_id, error, True)
        raise error

    def read_stream(
        self, stream: EndpointStream, progress_at: float
    ) -> Result[bytes, Failure]:
        """Read bytes of a stream that sent its last whole event at ``progress_at``.

        Bytes that complete no event are no progress. Without progress, a stream that
        can be resumed ends once there is a slot for it elsewhere. Any stream ends at
        the deadline.
        """
        settings = self.settings
        usual_s = settings.silence_s if self.has_started else settings.first_output_s
        while True:
            wait_s = left_s = self.context.remaining_s()
            if self.context.route.resumable:
                wait_s = self.failover.wait_s(progress_at, usual_s)
                # Events that came with the head are no longer in the socket.
                is_silent = wait_s <= 0 and not stream.buffered
                if is_silent and self.find_failover(stream.sock):
                    moved = EndpointStalledError(f"{stream.address} completes no event")
                    return Err(Failure(moved, sent=True))
            stream.idle_timeout_s = max(0.0, min(wait_s, left_s))
            result = stream.read()
            self.context.check_caller()
            has_stalled = result.is_err() and isinstance(
                result.unwrap_err().error, EndpointStalledError
            )
            if not has_stalled or boot_time() >= self.context.deadline_at:
                return result

    def split_events(self, data: bytes, endpoint: FleetEndpoint) -> bytes:
        """Return the events that are complete now. Raises EventTooLongError."""
        try:
            return self.splitter.feed(data)
        except EventTooLongError as error:
            self.fleet.record_unresponsive(endpoint)
            self.context.log_failure(endpoint.endpoint_id, error, True)
            raise

    def hold_rest(self, endpoint: FleetEndpoint) -> None:
        """Account for the bytes of the incomplete event. Raises AnswerTooLargeError.

        To be called once the complete events before it have been sent: a repeat goes
        on after these.
        """
        try:
            self.held.resize(len(self.splitter.rest))
        except AnswerTooLargeError as error:
            self.splitter.restart()
            self.fleet.record_unresponsive(endpoint)
            self.context.log_failure(endpoint.endpoint_id, error, True)
            raise

    def send_events(
        self,
        stream: EndpointStream,
        event_bytes: bytes,
        prepared: PreparedDecode,
        started_at: float,
    ) -> None:
        """Send complete events, and before the first ones the head of the answer."""
        context = self.context
        endpoint = prepared.reservation.endpoint
        if not self.has_started:
            if self.setup.version is None:
                self.recording.wait(endpoint)
            self.setup.version = endpoint.software_version
        now = boot_time()
        self.evidence.record_events()
        if self.has_started:
            self.pace.record_events(now)
            context.exchange.send_chunk(event_bytes)
            if self.attempts == 1:
                self.pace.record_pace(
                    started_at, self.splitter.events, self.setup.lease_tokens
                )
            return
        self.has_started = True
        self.pace.record_first(now, self.splitter.events)
        self.media_type = media_type(stream.headers)
        headers = caller_answer_headers(stream.headers.items())
        context.exchange.begin_stream(stream.status, headers, event_bytes)
        if self.attempts == 1:
            self.fleet.record_setup(now - self.setup.reserved_at)
        self.fleet.record_answer(endpoint, started_at, ok=True)
        self.fleet.record_stream_start(endpoint)
        if prepared.prefill is not None:
            self.fleet.record_stream_start(prepared.prefill)
        self.services.metrics.count_answer(
            context.route.kind.value,
            stream.status,
            boot_time() - context.arrived_at,
        )

    def record_refusal(self, prepared: PreparedDecode) -> None:
        """Record the refusal of a stream that holds a lease.

        Either the prefilled KV cache was lost, or the decode engine is leaving or
        changing its role.
        """
        if prepared.prefill is None:
            self.fleet.record_unresponsive(prepared.reservation.endpoint)
            return
        self.setup.may_prefill = False
        self.fleet.record_refusal(prepared.prefill, prepared.reservation.endpoint)
