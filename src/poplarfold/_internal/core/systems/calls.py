"""The life cycle of a call: claim, placement, attempts, cancels and the end."""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.commands import (
    AbortAttempt,
    CancelWork,
    FinishCall,
    StartAttempt,
    Stop,
)
from poplarfold._internal.core.events import (
    AttemptClosed,
    AttemptEnded,
    CallArrived,
    CallEnded,
    CallerDisconnected,
    CallPlaced,
    CancelConfirmed,
    CancelFailed,
    ClaimFailed,
    ClaimLost,
    ClaimRequested,
    ClaimWon,
    DrainRequested,
    EndpointReported,
    FirstOutput,
    PlacementFailed,
    PlacementRequested,
    PrefillDone,
)
from poplarfold._internal.core.model import CallClass, EndpointRef, EntryKind
from poplarfold._internal.core.state import AttemptRow, CallRow, CancelRow, NodeState
from poplarfold._internal.core.systems import claims
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    DeadlineExceededError,
    EntryKindError,
    EntryNotFoundError,
    IdempotencyKeyError,
    NodeNotReadyError,
    Outcome,
    PoplarfoldError,
)
from poplarfold._internal.utils.backoff import doubled_s

__all__ = ["next_wakeup", "on_event", "on_tick"]

CANCEL_RETRY_MIN_S = 0.1
CANCEL_RETRY_MAX_S = 2.0


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """End calls whose deadline has passed and resend unconfirmed cancels."""
    for call_id, call in state.calls.rows():
        if call.arrival.deadline <= now and not is_committed(call):
            end_call(state, now, call_id, DeadlineExceededError("deadline passed"))
    for key, cancel in state.cancels.rows():
        if cancel.next_try_at <= now:
            delay = doubled_s(CANCEL_RETRY_MIN_S, cancel.tries, CANCEL_RETRY_MAX_S)
            state.cancels.put(
                key,
                cancel._replace(next_try_at=now + delay, tries=cancel.tries + 1),
            )
            state.emit(CancelWork(cancel.attempt_id, cancel.address))
    busy = state.calls or state.cancels or state.stop_blockers
    if state.draining and not busy:
        state.emit(Stop())


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the next deadline of a call or retry of a cancel."""
    times = [
        call.arrival.deadline for call in state.calls.values() if not is_committed(call)
    ]
    times.extend(cancel.next_try_at for cancel in state.cancels.values())
    return min(times, default=None)


def is_committed(call: CallRow) -> bool:
    """Return whether the call has to run on past its deadline.

    A non-repeatable call that may have reached its endpoint waits for the answer,
    because only the answer tells its outcome.
    """
    return call.phase == "running" and call.operation_id is not None


@on_event.register
def _(event: CallArrived, state: NodeState, now: float) -> None:
    call_id = event.call_id
    if call_id in state.calls:
        return
    error = admission_error(event, state)
    if error is not None:
        if isinstance(error, IdempotencyKeyError):
            # Without a key no earlier request can have run. With all other errors
            # the key may already be claimed, so they state no outcome.
            error.with_outcome(Outcome.NOT_RUN)
        state.log("PF1002", call_id, code=error.code, entry=event.entry)
        state.emit(FinishCall(call_id, error))
        return
    entry = state.entries[event.entry]
    state.log(
        "PF1001",
        call_id,
        entry=event.entry,
        account=event.account,
        prompt_tokens=event.prompt_tokens,
        call_class=entry.call_class.value,
        revision=entry.revision,
    )
    if entry.call_class is CallClass.NON_REPEATABLE:
        state.calls.put(call_id, CallRow(event, now, "claiming"))
        state.post(ClaimRequested(call_id))
    else:
        state.calls.put(call_id, CallRow(event, now, "placing"))
        state.post(PlacementRequested(call_id))


def admission_error(event: CallArrived, state: NodeState) -> PoplarfoldError | None:
    """Return the error that rejects a call before any work, or None."""
    if state.draining or not state.catalogue_ready:
        return NodeNotReadyError("the node is not ready or is stopping")
    entry = state.entries.get(event.entry)
    hidden = entry and entry.accounts and event.account not in entry.accounts
    if entry is None or entry.retired or hidden:
        return EntryNotFoundError(f"no catalogue entry named {event.entry!r}")
    if event.is_model_call != (entry.kind is EntryKind.MODEL):
        return EntryKindError(f"entry {event.entry!r} is a {entry.kind.value} entry")
    needs_key = entry.call_class is CallClass.NON_REPEATABLE
    if needs_key and not event.idempotency_key:
        return IdempotencyKeyError("this entry needs an Idempotency-Key header")
    return None


@on_event.register
def _(event: ClaimWon, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "claiming":
        return
    state.calls.put(
        event.call_id,
        call._replace(
            phase="placing",
            operation_id=event.operation_id,
            fencing=event.fencing,
            sent=event.may_have_run,
        ),
    )
    state.post(PlacementRequested(event.call_id))


@on_event.register
def _(event: ClaimLost, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "claiming":
        return
    if event.error is not None:
        end_call(state, now, event.call_id, event.error)
        return
    del state.calls[event.call_id]
    state.emit(FinishCall(event.call_id, None, event.answer_status, event.answer_body))
    state.log("PF1006", event.call_id, status=event.answer_status)


@on_event.register
def _(event: ClaimFailed, state: NodeState, now: float) -> None:
    if event.call_id in state.calls:
        end_call(state, now, event.call_id, event.error)


@on_event.register
def _(event: CallPlaced, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "placing":
        # The caller has disconnected or the call has ended during placement.
        state.post(AttemptClosed(event.call_id, "", event.placement, None))
        return
    attempt_id = attempt_of_lease(event.placement.lease_id)
    entry = state.entries[call.arrival.entry]
    state.attempts.put(
        attempt_id,
        AttemptRow(event.call_id, event.placement, entry.identity, now),
    )
    state.calls.put(
        event.call_id,
        call._replace(
            phase="running", attempt_id=attempt_id, attempts=call.attempts + 1
        ),
    )
    state.emit(
        StartAttempt(
            call_id=event.call_id,
            attempt_id=attempt_id,
            placement=event.placement,
            identity=entry.identity,
            resume_from=call.outputs,
            max_outputs=call.arrival.max_outputs,
            operation_id=call.operation_id,
            fencing=call.fencing,
        )
    )
    prefill = event.placement.prefill
    state.log(
        "PF1003",
        event.call_id,
        attempt=attempt_id,
        prefill=prefill.address if prefill else None,
        decode=event.placement.decode.address,
        lease=event.placement.lease_id,
    )


@on_event.register
def _(event: PlacementFailed, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is not None and call.phase == "placing":
        end_call(state, now, event.call_id, event.error)


@on_event.register
def _(event: PrefillDone, state: NodeState, now: float) -> None:
    attempt = state.attempts.get(event.attempt_id)
    if attempt is not None and attempt.state == "running":
        state.attempts.put(event.attempt_id, attempt._replace(state="prefilled"))


@on_event.register
def _(event: FirstOutput, state: NodeState, now: float) -> None:
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or attempt.state == "ended":
        return
    state.attempts.put(
        event.attempt_id, attempt._replace(state="streaming", first_output_at=now)
    )
    call = state.calls.get(attempt.call_id)
    waited = now - call.arrived_at if call else 0.0
    state.log("PF1004", attempt.call_id, attempt=event.attempt_id, after_s=waited)


@on_event.register
def _(event: AttemptEnded, state: NodeState, now: float) -> None:
    attempt = state.attempts.pop(event.attempt_id, None)
    if attempt is None:
        return
    close_attempt(state, event.attempt_id, attempt, event.error)
    if event.error is not None and attempt.placement.prefill is not None:
        cancel_work(state, now, event.attempt_id, attempt)
    call = state.calls.get(attempt.call_id)
    if call is None or call.attempt_id != event.attempt_id:
        return
    call = state.calls.put(
        attempt.call_id,
        call._replace(
            attempt_id=None,
            outputs=max(call.outputs, event.outputs),
            sent=call.sent or event.sent,
            last_error=event.error,
        ),
    )
    if event.error is None:
        end_call(
            state,
            now,
            attempt.call_id,
            None,
            event.answer_status,
            event.answer_body,
        )
        return
    failed = event.failed_endpoint
    if failed is not None and failed not in call.excluded:
        call = call._replace(excluded=call.excluded + (failed,))
    state.calls.put(attempt.call_id, call._replace(phase="retrying"))
    # The retries system handles the same event next and decides about a retry.


def retry_call(
    state: NodeState, now: float, call_id: str, only: EndpointRef | None = None
) -> None:
    """Request a new placement for a call whose attempt failed."""
    call = state.calls.get(call_id)
    if call is None or call.phase != "retrying":
        return
    state.calls.put(call_id, call._replace(phase="placing"))
    excluded = call.excluded if only is None else ()
    state.post(PlacementRequested(call_id, excluded, only))


def attempt_of_lease(lease_id: str) -> str:
    """Return the id of the only attempt that runs under a lease.

    The id is derived from the lease id, so that a cell owner can see in an engine's
    report which leases are in use.
    """
    return "a" + lease_id[1:]


def request_cancel(
    state: NodeState, now: float, attempt_id: str, endpoint: EndpointRef
) -> None:
    """Cancel an attempt on one endpoint, with retries until it confirms."""
    key = (attempt_id, endpoint.address)
    if key not in state.cancels:
        row = CancelRow(attempt_id, endpoint.address, endpoint.incarnation, now, now, 0)
        state.cancels.put(key, row)


@on_event.register
def _(event: CallerDisconnected, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None:
        return
    if call.operation_id is not None and call.phase == "running":
        # The call may have run: wait for its outcome and record it.
        return
    end_call(
        state,
        now,
        event.call_id,
        CallerDisconnectedError("the caller has disconnected"),
    )


@on_event.register
def _(event: DrainRequested, state: NodeState, now: float) -> None:
    if not state.draining:
        state.draining = True
        state.log("PF2001", None, open_calls=len(state.calls))


@on_event.register
def _(event: CancelConfirmed, state: NodeState, now: float) -> None:
    cancel = state.cancels.pop((event.attempt_id, event.address), None)
    if cancel is not None:
        state.log(
            "PF1007",
            None,
            attempt=event.attempt_id,
            endpoint=event.address,
            after_s=now - cancel.since,
        )


@on_event.register
def _(event: CancelFailed, state: NodeState, now: float) -> None:
    if event.connection_refused:
        # No process listens at the address, so it holds nothing.
        state.cancels.pop((event.attempt_id, event.address), None)


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    for key, cancel in state.cancels.rows():
        restarted = cancel.incarnation != event.incarnation
        if cancel.address == event.address and restarted:
            del state.cancels[key]


def end_call(
    state: NodeState,
    now: float,
    call_id: str,
    error: PoplarfoldError | None,
    answer_status: int = 0,
    answer_body: bytes = b"",
) -> None:
    """End a call: close its attempt, cancel its work and unblock its thread."""
    call = state.calls.pop(call_id)
    # The thread of an open attempt may be sending the request at this moment.
    sent = call.sent or call.phase == "running"
    if call.attempt_id is not None:
        attempt = state.attempts.pop(call.attempt_id)
        close_attempt(state, call.attempt_id, attempt, error)
        cancel_work(state, now, call.attempt_id, attempt)
        state.emit(AbortAttempt(call.attempt_id))
    if error is not None and error.outcome is None:
        outcome = outcome_of(call, state, sent)
        if outcome is not None:
            error = error.with_outcome(outcome)
    state.emit(FinishCall(call_id, error, answer_status, answer_body))
    state.post(CallEnded(call_id, error, sent, answer_status, answer_body))
    state.log(
        "PF1005",
        call_id,
        code=error.code if error else None,
        outputs=call.outputs,
        attempts=call.attempts,
        duration_s=now - call.arrived_at,
    )


def outcome_of(call: CallRow, state: NodeState, maybe_sent: bool) -> Outcome | None:
    """Return the known outcome of a non-repeatable call that ends with an error.

    The call is no longer in the table, so no later event can send it. Only a call
    that held its claim and never had an open attempt has certainly not run.
    """
    if call.phase == "claiming":
        return claims.outcome_without_claim(state, call)
    if call.operation_id is None:
        return None
    return Outcome.UNKNOWN if maybe_sent else Outcome.NOT_RUN


def close_attempt(
    state: NodeState,
    attempt_id: str,
    attempt: AttemptRow,
    error: PoplarfoldError | None,
) -> None:
    """Post AttemptClosed, so that placement releases the attempt's lease."""
    state.post(AttemptClosed(attempt.call_id, attempt_id, attempt.placement, error))


def cancel_work(
    state: NodeState, now: float, attempt_id: str, attempt: AttemptRow
) -> None:
    """Cancel the attempt on its engines, with retries until they confirm.

    Work at plain services, which have no prefill engine, is not cancelled.
    """
    endpoints: tuple[EndpointRef | None, ...] = (
        attempt.placement.prefill,
        attempt.placement.decode,
    )
    for endpoint in endpoints:
        if endpoint is None or attempt.placement.prefill is None:
            continue
        state.cancels.put(
            (attempt_id, endpoint.address),
            CancelRow(attempt_id, endpoint.address, endpoint.incarnation, now, now, 0),
        )
