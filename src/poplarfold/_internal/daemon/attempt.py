"""Runs one attempt of a call in the thread that serves its caller."""

import json
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.commands import StartAttempt
from poplarfold._internal.core.events import AttemptEnded, FirstOutput, PrefillDone
from poplarfold._internal.core.model import EndpointRef, HostKey, Identity
from poplarfold._internal.daemon.endpoint_client import (
    AbortHandle,
    Answer,
    EndpointClient,
    EndpointStream,
    Failure,
    Target,
)
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

__all__ = ["AttemptIO", "ModelRequest", "ServiceRequest", "run_model", "run_service"]

RESERVE_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
# A prefill of a long prompt may queue; the endpoint is asked meanwhile.
PREFILL_SILENCE_S = 5.0
PIECE_TOKENS = 128
# New connections to one running decode before the attempt is given up.
REATTACH_LIMIT = 3
OPERATION_POLL_S = 0.5
STATUS_CONFLICT = 409
JSON_HEADERS = {"Content-Type": "application/json"}

REFUSALS: dict[str, type[EndpointError]] = {
    "wrong_identity": IdentityMismatchError,
    "kv_gone": KvEvictedError,
    "stale_fencing": StaleFencingError,
}


class AttemptIO(NamedTuple):
    """What an attempt needs from its daemon."""

    client: EndpointClient
    post: Callable[[NamedTuple], None]
    me: HostKey
    idle_timeout_s: float
    pump: StreamPump


class ModelRequest(NamedTuple):
    """A model call as the engines need it."""

    call_id: str
    prompt: str
    prompt_tokens: int
    prefixes: tuple[str, ...]


class ServiceRequest(NamedTuple):
    """A plain service call. ``deadline`` is of the monotonic clock."""

    call_id: str
    body: bytes
    deadline: float


class Ending(NamedTuple):
    """Why an attempt ended without a whole answer, and who is to blame."""

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
    """Run an attempt and yield outputs in order.

    The first outputs are always yielded; later ones go straight to the sink if
    there is one, and are yielded in few large lists otherwise. Posts PrefillDone,
    FirstOutput and, whatever happens, AttemptEnded.
    """
    ending: Ending | None = Ending(EndpointError("the attempt was aborted"), True, None)
    attempt = ModelAttempt(io, start, request, assembler, handle)
    first_at = last_at = 0.0
    first_seq = assembler.next_seq
    try:
        opened = attempt.open()
        if opened.is_err():
            ending = opened.unwrap_err()
            return
        while True:
            if first_at:
                read = attempt.read_pumped(recorder, sink())
            else:
                read = attempt.read()
            if read.is_err():
                ending = read.unwrap_err()
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
                ending = None
                return
    finally:
        attempt.close()
        outputs_here = assembler.next_seq - first_seq
        interval_s = (last_at - first_at) / max(1, outputs_here - 1)
        io.post(
            AttemptEnded(
                attempt_id=start.attempt_id,
                error=ending.error if ending else None,
                sent=True,
                outputs=assembler.next_seq,
                mean_interval_s=interval_s,
                failed_endpoint=ending.failed_endpoint if ending else None,
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
        self.reattached = 0
        self.late: Ending | None = None
        self.assembler.choose(start.attempt_id)
        self.common: dict[str, Any] = {
            "attempt": start.attempt_id,
            "host": io.me.host,
            "incarnation": io.me.incarnation,
            "identity": start.identity._asdict(),
            "priority": start.placement.priority,
        }

    def open(self) -> Result[None, Ending]:
        """Hold a decode slot, run the prefill and open the decode stream."""
        reserved = self._reserve()
        if reserved.is_err():
            return reserved
        delay = self.start.placement.start_at - time.monotonic()
        if delay > 0 and self.handle.aborted.wait(delay):
            return Err(Ending(EndpointError("the attempt was aborted"), True, None))
        prefilled = self._prefill()
        if prefilled.is_err():
            return Err(prefilled.unwrap_err())
        return self._decode(prefilled.unwrap())

    def read(self) -> Result[list[str], Ending]:
        """Return the outputs that the next bytes of the stream complete."""
        assert self.stream is not None
        read = self.stream.read()
        if read.is_err():
            return self._reattach(read.unwrap_err().error)
        data = read.unwrap()
        if not data:
            error = EndpointError(f"{self.decode.address} broke off the stream")
            return self._reattach(error)
        fed = self.assembler.feed(data)
        if fed.is_err():
            return Err(Ending(fed.unwrap_err(), True, self.decode.address))
        return Ok(fed.unwrap())

    def read_pumped(
        self, recorder: IntervalRecorder, sink: Sink | None
    ) -> Result[list[str], Ending]:
        """Lend the stream to the pump until something else than outputs comes.

        Returns the outputs of a call without a sink. Raises CallerDisconnectedError.
        """
        if self.late is not None:
            return Err(self.late)
        assert self.stream is not None
        job = PumpJob(
            self.stream, self.assembler, recorder, sink, self.io.idle_timeout_s
        )
        self.io.pump.lend(job)
        if sink is not None and job.pending:
            try:
                sink.write(job.pending)
            except OSError:
                raise CallerDisconnectedError("the caller does not read") from None
        if job.caller_gone:
            raise CallerDisconnectedError("the caller has gone")
        if job.error is not None and not self.assembler.done:
            reattached = self._reattach(job.error)
            if reattached.is_err() and job.texts:
                # The next attempt resumes after these outputs.
                self.late = reattached.unwrap_err()
                return Ok(job.texts)
            return reattached if reattached.is_err() else Ok(job.texts)
        return Ok(job.texts)

    def close(self) -> None:
        """Close the stream's connection."""
        self.handle.attach(None)
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def _reserve(self) -> Result[None, Ending]:
        tokens = self.request.prompt_tokens + self.start.max_outputs
        body = {**self.common, "pieces": max(1, -(-tokens // PIECE_TOKENS))}
        result = self._exchange(self.decode, "/reserve", body, RESERVE_TIMEOUT_S)
        if result.is_err():
            return Err(result.unwrap_err())
        return Ok(None)

    def _prefill(self) -> Result[dict[str, Any], Ending]:
        body = {
            **self.common,
            "prompt": self.request.prompt,
            "prefixes": self.request.prefixes,
        }
        began = time.monotonic()
        result = self._exchange(self.prefill, "/prefill", body, PREFILL_SILENCE_S)
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
            fault = EndpointError(f"malformed answer to a prefill: {error!r}")
            return Err(Ending(fault, True, self.prefill.address))
        self.io.post(done)
        kv = handle if isinstance(handle, dict) else {"handle": handle}
        return Ok(
            {
                "kv": {"source": self.prefill.address, **kv},
                "prompt_tokens": done.tokens,
            }
        )

    def _decode(self, source: dict[str, Any]) -> Result[None, Ending]:
        body = {
            **self.common,
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
            return Err(self._blame(opened.unwrap_err(), self.decode))
        return self._accept_stream(opened.unwrap())

    def _accept_stream(self, stream: EndpointStream) -> Result[None, Ending]:
        if stream.status != 200:
            data = stream.read().unwrap_or(b"")
            stream.close()
            error = refusal_of(self.decode, Answer(stream.status, {}, data))
            return Err(Ending(error, True, self.decode.address))
        mismatch = identity_error(self.decode, self.start.identity, stream.headers)
        if mismatch is not None:
            stream.close()
            return Err(Ending(mismatch, True, self.decode.address))
        self.stream = stream
        return Ok(None)

    def _reattach(self, error: EndpointError) -> Result[list[str], Ending]:
        """Ask the engine on a new connection before it counts as failed.

        An engine that still runs the attempt goes on with the next output.
        """
        self.close()
        if self.handle.aborted.is_set():
            return Err(Ending(error, True, None))
        self.reattached += 1
        if self.reattached > REATTACH_LIMIT:
            return Err(Ending(error, True, self.decode.address))
        self.assembler.choose(self.start.attempt_id)
        result = self._decode({"kv": None, "prompt_tokens": self.request.prompt_tokens})
        if result.is_err():
            ending = result.unwrap_err()
            is_alive = isinstance(ending.error, EndpointRefusedError | KvEvictedError)
            blamed = None if is_alive else ending.failed_endpoint
            return Err(Ending(error, True, blamed))
        return Ok([])

    def _exchange(
        self, endpoint: EndpointRef, path: str, body: dict[str, Any], timeout_s: float
    ) -> Result[Answer, Ending]:
        target = Target(endpoint.address, "POST", path)
        data = json.dumps(body).encode()
        result = self.io.client.exchange(
            target, data, JSON_HEADERS, timeout_s, handle=self.handle
        )
        if result.is_err() and isinstance(
            result.unwrap_err().error, EndpointStalledError
        ):
            # The connection may have gone silent while the engine is well, and
            # the request is safe to repeat, since it names the attempt.
            result = self.io.client.exchange(
                target, data, JSON_HEADERS, timeout_s, fresh=True, handle=self.handle
            )
        if result.is_err():
            return Err(self._blame(result.unwrap_err(), endpoint))
        answer = result.unwrap()
        if answer.status != 200:
            error = refusal_of(endpoint, answer)
            return Err(Ending(error, True, endpoint.address))
        return Ok(answer)

    def _blame(self, failure: Failure, endpoint: EndpointRef) -> Ending:
        blamed = None if self.handle.aborted.is_set() else endpoint.address
        return Ending(failure.error, True, blamed)


# Plain service calls.


def run_service(
    io: AttemptIO, start: StartAttempt, request: ServiceRequest, handle: AbortHandle
) -> None:
    """Make one plain service call and post AttemptEnded, whatever happens."""
    ended: AttemptEnded | None = None
    try:
        ended = exchange_service(io, start, request, handle)
    finally:
        if ended is None:
            # A fault of this program leaves open whether the call was sent.
            error = EndpointError("the attempt ended with an internal error")
            ended = AttemptEnded(start.attempt_id, error, True, 0)
        io.post(ended)


def exchange_service(
    io: AttemptIO, start: StartAttempt, request: ServiceRequest, handle: AbortHandle
) -> AttemptEnded:
    """Make one plain service call and return how it ended."""
    endpoint = start.placement.decode
    once = start.operation_id is not None
    headers = {
        **JSON_HEADERS,
        "Entry-Owner": start.identity.owner,
        "Entry-Service": start.identity.service,
        "Entry-Version": start.identity.version,
        "Operation-Id": start.operation_id or start.attempt_id,
        "Call-Host": io.me.host,
        "Call-Incarnation": str(io.me.incarnation),
    }
    if once:
        headers["Fencing-Number"] = str(start.fencing)
    remaining = max(0.001, request.deadline - time.monotonic())
    result = io.client.exchange(
        Target(endpoint.address, "POST", "/call"),
        request.body,
        headers,
        io.idle_timeout_s if once else remaining,
        # A kept connection that breaks leaves open whether the call was sent.
        fresh=once,
        handle=handle,
    )
    if result.is_err() and once and result.unwrap_err().sent:
        result = settle_operation(io, start, handle)
    if result.is_err():
        failure = result.unwrap_err()
        blamed = None if handle.aborted.is_set() else endpoint.address
        return AttemptEnded(
            start.attempt_id, failure.error, failure.sent, 0, 0.0, blamed
        )
    answer = result.unwrap()
    error = service_error(start, endpoint, answer)
    if error is not None:
        # An explicit refusal says that the endpoint did not run the call.
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


def service_error(
    start: StartAttempt, endpoint: EndpointRef, answer: Answer
) -> EndpointError | None:
    """Return why an answer of a service may not be passed on."""
    if answer.status == STATUS_CONFLICT or answer.status == 503:
        code = answer.json().get("code")
        if code in REFUSALS or code in {"full", "leaving", "cancelled"}:
            return refusal_of(endpoint, answer)
    return identity_error(endpoint, start.identity, answer.headers)


def settle_operation(
    io: AttemptIO, start: StartAttempt, handle: AbortHandle
) -> Result[Answer, Failure]:
    """Ask on new connections how a call that must run once has ended.

    Waits while the endpoint says that it runs the call. An endpoint that does
    not answer, or does not recognise operation ids, leaves the outcome unknown.
    """
    address = start.placement.decode.address
    target = Target(address, "GET", f"/operations/{start.operation_id}")
    unknown = OutcomeUnknownError(f"{address} does not say how the call ended")
    while not handle.aborted.wait(OPERATION_POLL_S):
        result = io.client.exchange(
            target, None, {}, REPORT_TIMEOUT_S, fresh=True, handle=handle
        )
        if result.is_err():
            break
        found = result.unwrap().json()
        if found.get("state") == "done":
            return Ok(recorded_answer(found, result.unwrap().headers))
        if found.get("state") != "running":
            break
    return Err(Failure(EndpointError(str(unknown)), sent=True))


def recorded_answer(found: dict[str, Any], headers: Mapping[str, str]) -> Answer:
    """Return the answer that an endpoint recorded for an operation."""
    body = found.get("body")
    data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
    return Answer(int(found.get("status") or 200), headers, data)


# Checks of answers.


def identity_error(
    endpoint: EndpointRef, wanted: Identity, headers: Mapping[str, str]
) -> IdentityMismatchError | None:
    """Return an error unless the answer comes from what the entry pins."""
    found = Identity(
        headers.get("Entry-Owner", ""),
        headers.get("Entry-Service", ""),
        headers.get("Entry-Version", ""),
    )
    if found == wanted:
        return None
    return IdentityMismatchError(f"{endpoint.address} serves {found}, not {wanted}")


def refusal_of(endpoint: EndpointRef, answer: Answer) -> EndpointError:
    """Return the typed error for an endpoint's refusal."""
    code = str(answer.json().get("code", ""))
    message = f"{endpoint.address} answered {answer.status} {code}".rstrip()
    kind = REFUSALS.get(code)
    if kind is StaleFencingError:
        error: EndpointError = StaleFencingError(message)
        error.with_outcome(Outcome.UNKNOWN)
        return error
    if kind is not None:
        return kind(message)
    if answer.status == STATUS_CONFLICT or answer.status == 503:
        return EndpointRefusedError(message)
    return EndpointError(message)
