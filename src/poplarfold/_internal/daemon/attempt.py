"""Runs one attempt of a call in the thread that handles the caller's request."""

import json
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.commands import StartAttempt
from poplarfold._internal.core.events import AttemptEnded, FirstOutput, PrefillDone
from poplarfold._internal.core.model import EndpointRef, HostKey, Identity
from poplarfold._internal.daemon.metrics import IntervalRecorder
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.daemon.stream_pump import PumpJob, Sink, StreamPump
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    EndpointError,
    EndpointRefusedError,
    EndpointStalledError,
    IdentityMismatchError,
    KvEvictedError,
    Outcome,
    OutcomeUnknownError,
    StaleFencingError,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.endpoint_stream import EndpointStream
from poplarfold._internal.http.exchange import (
    AbortHandle,
    Answer,
    Target,
    is_believed_without_id,
)
from poplarfold._internal.http.failures import Failure

__all__ = ["AttemptIO", "ModelRequest", "ServiceRequest", "run_model", "run_service"]

RESERVE_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
# Longer than the other timeouts: the prefill of a long prompt may wait in the
# engine's queue. Meanwhile, polls for load reports detect a failed endpoint.
PREFILL_IDLE_TIMEOUT_S = 5.0
PIECE_TOKENS = 128
# How often an attempt reconnects to its running decode before it fails.
RECONNECT_LIMIT = 3
OPERATION_POLL_S = 0.5
REFUSAL_STATUSES = frozenset((409, 503))
FINAL_STATUSES = range(200, 600)
JSON_HEADERS = {"Content-Type": "application/json"}

REFUSAL_ERRORS: dict[str, type[EndpointError]] = {
    "wrong_identity": IdentityMismatchError,
    "kv_gone": KvEvictedError,
    "stale_fencing": StaleFencingError,
}


class AttemptIO(NamedTuple):
    """The parts of the daemon that an attempt uses.

    Requests to endpoints identify this process as ``me``.
    """

    client: EndpointClient
    post: Callable[[NamedTuple], None]
    me: HostKey
    idle_timeout_s: float
    pump: StreamPump


class ModelRequest(NamedTuple):
    """The fields of a model call that are sent to engines."""

    call_id: str
    prompt: str
    prompt_tokens: int
    prefixes: tuple[str, ...]


class ServiceRequest(NamedTuple):
    """A plain service call. ``deadline`` is a time of the monotonic clock."""

    call_id: str
    body: bytes
    deadline: float


class AttemptFailure(NamedTuple):
    """Why an attempt ended without a complete response.

    ``sent`` is true if the endpoint may have received the request.
    ``failed_endpoint`` is the address of the endpoint that counts as failed, or
    None.
    """

    error: EndpointError
    sent: bool
    failed_endpoint: str | None


# Model calls.


def run_model(
    io: AttemptIO,
    start: StartAttempt,
    request: ModelRequest,
    assembler: StreamAssembler,
    handle: AbortHandle,
    recorder: IntervalRecorder,
    sink: Callable[[], Sink | None],
) -> Iterator[list[str]]:
    """Run an attempt and yield its outputs in order.

    The first outputs are always yielded. Later ones are written directly to the
    sink if there is one, and are otherwise yielded in a few large lists. Posts
    PrefillDone and FirstOutput, and always posts AttemptEnded.
    """
    attempt_failure: AttemptFailure | None = AttemptFailure(
        EndpointError("the attempt was aborted"), True, None
    )
    attempt = ModelAttempt(io, start, request, assembler, handle)
    first_at = last_at = 0.0
    first_seq = assembler.next_seq
    try:
        opened = attempt.open()
        if opened.is_err():
            attempt_failure = opened.unwrap_err()
            return
        while True:
            if first_at:
                read = attempt.read_from_pump(recorder, sink())
            else:
                read = attempt.read()
            if read.is_err():
                attempt_failure = read.unwrap_err()
                return
            outputs = read.unwrap()
            last_at = recorder.last_at
            if outputs and not first_at:
                first_at = last_at = time.monotonic()
                io.post(FirstOutput(start.attempt_id))
                recorder.restart(first_at, len(outputs))
            if outputs:
                yield outputs
            if assembler.done:
                attempt_failure = None
                return
    finally:
        attempt.close()
        attempt_outputs = assembler.next_seq - first_seq
        interval_s = (last_at - first_at) / max(1, attempt_outputs - 1)
        io.post(
            AttemptEnded(
                attempt_id=start.attempt_id,
                error=attempt_failure.error if attempt_failure else None,
                sent=True,
                outputs=assembler.next_seq,
                mean_interval_s=interval_s,
                failed_endpoint=attempt_failure.failed_endpoint
                if attempt_failure
                else None,
            )
        )


class ModelAttempt:
    """The connections of one attempt of a model call."""

    def __init__(
        self,
        io: AttemptIO,
        start: StartAttempt,
        request: ModelRequest,
        assembler: StreamAssembler,
        handle: AbortHandle,
    ) -> None:
        self.io = io
        self.start = start
        self.request = request
        self.assembler = assembler
        self.handle = handle
        self.decode = start.placement.decode
        self.prefill = start.placement.prefill or start.placement.decode
        self.stream: EndpointStream | None = None
        self.reconnects = 0
        self.pending_failure: AttemptFailure | None = None
        self.assembler.choose(start.attempt_id)
        self.common_fields: dict[str, Any] = {
            "attempt": start.attempt_id,
            "host": io.me.host,
            "incarnation": io.me.incarnation,
            "identity": start.identity._asdict(),
            "priority": start.placement.priority,
        }

    def open(self) -> Result[None, AttemptFailure]:
        """Reserve a decode slot, run the prefill and open the decode stream."""
        reserved = self._reserve()
        if reserved.is_err():
            return reserved
        delay = self.start.placement.start_at - time.monotonic()
        if delay > 0 and self.handle.aborted.wait(delay):
            return Err(
                AttemptFailure(EndpointError("the attempt was aborted"), True, None)
            )
        prefilled = self._prefill()
        if prefilled.is_err():
            return Err(prefilled.unwrap_err())
        return self._decode(prefilled.unwrap())

    def read(self) -> Result[list[str], AttemptFailure]:
        """Read from the stream and return the outputs that are now complete."""
        assert self.stream is not None
        read = self.stream.read()
        if read.is_err():
            return self._reconnect(read.unwrap_err().error)
        data = read.unwrap()
        if not data:
            error = EndpointError(f"{self.decode.address} closed the stream early")
            return self._reconnect(error)
        fed = self.assembler.feed(data)
        if fed.is_err():
            return Err(AttemptFailure(fed.unwrap_err(), True, self.decode.address))
        return Ok(fed.unwrap())

    def read_from_pump(
        self, recorder: IntervalRecorder, sink: Sink | None
    ) -> Result[list[str], AttemptFailure]:
        """Let the pump forward outputs until the stream ends or needs attention.

        Returns the outputs of a call without a sink. Raises CallerDisconnectedError.
        """
        if self.pending_failure is not None:
            return Err(self.pending_failure)
        assert self.stream is not None
        job = PumpJob(
            self.stream, self.assembler, recorder, sink, self.io.idle_timeout_s
        )
        self.io.pump.forward(job)
        if sink is not None and job.pending:
            try:
                sink.write(job.pending)
            except OSError:
                raise CallerDisconnectedError("writing to the caller failed") from None
        if job.caller_gone:
            raise CallerDisconnectedError("the caller closed the connection")
        if job.error is not None and not self.assembler.done:
            reconnected = self._reconnect(job.error)
            if reconnected.is_err() and job.texts:
                # Return these outputs before the failure, because the next attempt
                # resumes after them.
                self.pending_failure = reconnected.unwrap_err()
                return Ok(job.texts)
            return reconnected if reconnected.is_err() else Ok(job.texts)
        return Ok(job.texts)

    def close(self) -> None:
        """Close the connection of the decode stream."""
        self.handle.attach(None)
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def _reserve(self) -> Result[None, AttemptFailure]:
        tokens = self.request.prompt_tokens + self.start.max_outputs
        body = {**self.common_fields, "pieces": max(1, -(-tokens // PIECE_TOKENS))}
        result = self._exchange(self.decode, "/reserve", body, RESERVE_TIMEOUT_S)
        if result.is_err():
            return Err(result.unwrap_err())
        return Ok(None)

    def _prefill(self) -> Result[dict[str, Any], AttemptFailure]:
        body = {
            **self.common_fields,
            "prompt": self.request.prompt,
            "prefixes": self.request.prefixes,
        }
        began = time.monotonic()
        result = self._exchange(self.prefill, "/prefill", body, PREFILL_IDLE_TIMEOUT_S)
        if result.is_err():
            return Err(result.unwrap_err())
        answer = result.unwrap().json()
        try:
            done = PrefillDone(
                self.start.attempt_id,
                int(answer["tokens"]),
                int(answer["cached_tokens"]),
                time.monotonic() - began,
            )
            handle = answer["kv"]
        except (KeyError, TypeError, ValueError) as error:
            fault = EndpointError(f"malformed prefill response: {error!r}")
            return Err(AttemptFailure(fault, True, self.prefill.address))
        self.io.post(done)
        kv = handle if isinstance(handle, dict) else {"handle": handle}
        return Ok(
            {
                "kv": {"source": self.prefill.address, **kv},
                "prompt_tokens": done.tokens,
            }
        )

    def _decode(self, source: dict[str, Any]) -> Result[None, AttemptFailure]:
        body = {
            **self.common_fields,
            **source,
            "max_outputs": self.start.max_outputs,
            "resume_from": self.assembler.next_seq,
        }
        opened = self.io.client.open_stream(
            Target(self.decode.address, "POST", "/decode"),
            json.dumps(body).encode(),
            JSON_HEADERS,
            self.io.idle_timeout_s,
            self.handle,
        )
        if opened.is_err():
            return Err(self._attempt_failure(opened.unwrap_err(), self.decode))
        return self._accept_stream(opened.unwrap())

    def _accept_stream(self, stream: EndpointStream) -> Result[None, AttemptFailure]:
        if stream.status != 200:
            data = stream.read().unwrap_or(b"")
            stream.close()
            error = refusal_error(self.decode, Answer(stream.status, {}, data))
            return Err(AttemptFailure(error, True, self.decode.address))
        mismatch = identity_error(self.decode, self.start.identity, stream.headers)
        if mismatch is not None:
            stream.close()
            return Err(AttemptFailure(mismatch, True, self.decode.address))
        self.stream = stream
        return Ok(None)

    def _reconnect(self, error: EndpointError) -> Result[list[str], AttemptFailure]:
        """Reconnect to the engine before it counts as failed.

        An engine that still runs the attempt continues with the next output.
        """
        self.close()
        if self.handle.aborted.is_set():
            return Err(AttemptFailure(error, True, None))
        self.reconnects += 1
        if self.reconnects > RECONNECT_LIMIT:
            return Err(AttemptFailure(error, True, self.decode.address))
        self.assembler.choose(self.start.attempt_id)
        result = self._decode({"kv": None, "prompt_tokens": self.request.prompt_tokens})
        if result.is_err():
            attempt_failure = result.unwrap_err()
            is_alive = isinstance(
                attempt_failure.error, EndpointRefusedError | KvEvictedError
            )
            endpoint_at_fault = None if is_alive else attempt_failure.failed_endpoint
            return Err(AttemptFailure(error, True, endpoint_at_fault))
        return Ok([])

    def _exchange(
        self, endpoint: EndpointRef, path: str, body: dict[str, Any], timeout_s: float
    ) -> Result[Answer, AttemptFailure]:
        target = Target(endpoint.address, "POST", path)
        data = json.dumps(body).encode()
        result = self.io.client.exchange(
            target,
            data,
            JSON_HEADERS,
            timeout_s,
            handle=self.handle,
            belongs_to_request=is_believed_without_id,
        )
        if result.is_err() and isinstance(
            result.unwrap_err().error, EndpointStalledError
        ):
            # The connection may be broken while the engine is healthy. Repeating
            # the request is safe, since it carries the attempt id.
            result = self.io.client.exchange(
                target,
                data,
                JSON_HEADERS,
                timeout_s,
                use_new_connection=True,
                handle=self.handle,
            )
        if result.is_err():
            return Err(self._attempt_failure(result.unwrap_err(), endpoint))
        answer = result.unwrap()
        if answer.status != 200:
            error = refusal_error(endpoint, answer)
            return Err(AttemptFailure(error, True, endpoint.address))
        return Ok(answer)

    def _attempt_failure(
        self, failure: Failure, endpoint: EndpointRef
    ) -> AttemptFailure:
        at_fault = address_at_fault(failure, endpoint, self.handle)
        return AttemptFailure(failure.error, True, at_fault)


def address_at_fault(
    failure: Failure, endpoint: EndpointRef, handle: AbortHandle
) -> str | None:
    """Return the endpoint's address if a failure counts against it, or None.

    It does not if the attempt was aborted, or if this node lacked a descriptor.
    """
    is_at_fault = not (handle.aborted.is_set() or failure.is_own_shortage)
    return endpoint.address if is_at_fault else None


# Plain service calls.


def run_service(
    io: AttemptIO, start: StartAttempt, request: ServiceRequest, handle: AbortHandle
) -> None:
    """Make one plain service call and always post AttemptEnded."""
    ended: AttemptEnded | None = None
    try:
        ended = exchange_service(io, start, request, handle)
    finally:
        if ended is None:
            # After an internal error it is unknown whether the call was sent.
            error = EndpointError("the attempt ended with an internal error")
            ended = AttemptEnded(start.attempt_id, error, True, 0)
        io.post(ended)


def exchange_service(
    io: AttemptIO, start: StartAttempt, request: ServiceRequest, handle: AbortHandle
) -> AttemptEnded:
    """Make one plain service call and return its AttemptEnded event."""
    endpoint = start.placement.decode
    is_non_repeatable = start.operation_id is not None
    headers = {
        **JSON_HEADERS,
        "Entry-Owner": start.identity.owner,
        "Entry-Service": start.identity.service,
        "Entry-Version": start.identity.version,
        "Operation-Id": start.operation_id or start.attempt_id,
        "Call-Host": io.me.host,
        "Call-Incarnation": str(io.me.incarnation),
    }
    if is_non_repeatable:
        headers["Fencing-Number"] = str(start.fencing)
    remaining = max(0.001, request.deadline - time.monotonic())
    result = io.client.exchange(
        Target(endpoint.address, "POST", "/call"),
        request.body,
        headers,
        io.idle_timeout_s if is_non_repeatable else remaining,
        # An endpoint may close an idle connection at any time. If that happens as
        # the call is sent, it is unknown whether the call was received.
        use_new_connection=is_non_repeatable,
        handle=handle,
        belongs_to_request=is_believed_service_answer,
    )
    if result.is_err() and is_non_repeatable and result.unwrap_err().sent:
        result = settle_operation(io, start, handle)
    if result.is_err():
        failure = result.unwrap_err()
        at_fault = address_at_fault(failure, endpoint, handle)
        return AttemptEnded(
            start.attempt_id, failure.error, failure.sent, 0, 0.0, at_fault
        )
    answer = result.unwrap()
    error = service_error(start, endpoint, answer)
    if error is not None:
        # An explicit refusal proves that the endpoint did not run the call.
        sent = not isinstance(error, EndpointRefusedError | IdentityMismatchError)
        return AttemptEnded(start.attempt_id, error, sent, 0, 0.0, endpoint.address)
    return AttemptEnded(
        start.attempt_id,
        None,
        sent=True,
        outputs=0,
        answer_status=answer.status,
        answer_body=answer.body,
    )


def is_believed_service_answer(
    status: int, headers: Mapping[str, str], was_reused: bool
) -> bool:
    """Return whether a service's response may be the one to this call.

    Its other statuses are results of calls.
    """
    is_refusal = status in REFUSAL_STATUSES
    return not is_refusal or is_believed_without_id(status, headers, was_reused)


def service_error(
    start: StartAttempt, endpoint: EndpointRef, answer: Answer
) -> EndpointError | None:
    """Return why a service's response must not reach the caller, or None."""
    if answer.status in REFUSAL_STATUSES:
        code = answer.json().get("code")
        if code in REFUSAL_ERRORS or code in {"full", "leaving", "cancelled"}:
            return refusal_error(endpoint, answer)
    return identity_error(endpoint, start.identity, answer.headers)


def settle_operation(
    io: AttemptIO, start: StartAttempt, handle: AbortHandle
) -> Result[Answer, Failure]:
    """Query the endpoint for the outcome of a non-repeatable call.

    Polls on new connections for as long as the endpoint reports that the call is
    running. If the endpoint does not respond, or does not support operation ids,
    the outcome stays unknown.
    """
    address = start.placement.decode.address
    target = Target(address, "GET", f"/operations/{start.operation_id}")
    unknown = OutcomeUnknownError(f"{address} did not report how the call ended")
    while not handle.aborted.wait(OPERATION_POLL_S):
        result = io.client.exchange(
            target, None, {}, REPORT_TIMEOUT_S, use_new_connection=True, handle=handle
        )
        if result.is_err():
            break
        found = result.unwrap().json()
        if found.get("state") == "done":
            answer = recorded_answer(found, result.unwrap().headers)
            if answer is not None:
                return Ok(answer)
        if found.get("state") != "running":
            break
    return Err(Failure(EndpointError(str(unknown)), sent=True))


def recorded_answer(found: dict[str, Any], headers: Mapping[str, str]) -> Answer | None:
    """Return the response that an endpoint recorded for an operation.

    Returns None if the record has no body, or no status that a response may have.
    """
    status = found.get("status")
    if type(status) is not int or status not in FINAL_STATUSES or "body" not in found:
        return None
    body = found["body"]
    data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
    return Answer(status, headers, data)


# Checks of responses.


def identity_error(
    endpoint: EndpointRef, wanted: Identity, headers: Mapping[str, str]
) -> IdentityMismatchError | None:
    """Return an error unless the response has the identity that the entry pins."""
    found = Identity(
        headers.get("Entry-Owner", ""),
        headers.get("Entry-Service", ""),
        headers.get("Entry-Version", ""),
    )
    if found == wanted:
        return None
    return IdentityMismatchError(f"{endpoint.address} serves {found}, not {wanted}")


def refusal_error(endpoint: EndpointRef, answer: Answer) -> EndpointError:
    """Return the typed error for an endpoint's refusal."""
    code = str(answer.json().get("code", ""))
    message = f"{endpoint.address} answered {answer.status} {code}".rstrip()
    kind = REFUSAL_ERRORS.get(code)
    if kind is StaleFencingError:
        error: EndpointError = StaleFencingError(message)
        error.with_outcome(Outcome.UNKNOWN)
        return error
    if kind is not None:
        return kind(message)
    if answer.status in REFUSAL_STATUSES:
        return EndpointRefusedError(message)
    return EndpointError(message)
