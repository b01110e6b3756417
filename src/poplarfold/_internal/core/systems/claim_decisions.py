"""Decisions on calls that wait for their claim, or for a call with the same key."""

from poplarfold._internal.core.claims_codec import (
    ClaimRow,
    Done,
    OutcomeUnknown,
    TakeOver,
)
from poplarfold._internal.core.events import (
    ClaimFailed,
    ClaimLost,
    ClaimRequested,
    ClaimWon,
)
from poplarfold._internal.core.state import CallRow, NodeState
from poplarfold._internal.core.systems import membership
from poplarfold._internal.core.systems.claim_state import (
    Claims,
    HeldClaim,
    OutcomeWaiter,
    PendingClaim,
    digest_of,
    drop_pending,
)
from poplarfold._internal.exceptions import (
    CallInProgressError,
    IdempotencyMismatchError,
    LogUnavailableError,
    Outcome,
    OutcomeUnknownError,
    PoplarfoldError,
)

__all__ = [
    "end_wait",
    "fail_takeover",
    "grant_claim",
    "mismatch_error",
    "outcome_without_claim",
    "recheck_waiters",
    "reject_timed_out",
    "resolve_claimed_key",
    "wait_for_outcome",
    "with_outcome",
]


def outcome_without_claim(state: NodeState, call: CallRow) -> Outcome:
    """Return the known outcome of a call that ended before its claim was decided.

    The call itself is never sent: its claim, if it is in the log, is released when
    it is read. But another node may have claimed the key for an earlier request and
    may run it after this node's last read of the log. Therefore only the holder of
    the claim can report "not run".
    """
    part = state.part(Claims)
    row = part.rows.get(digest_of(call.arrival))
    is_done = row is not None and row.state == "done"
    return Outcome.DONE if is_done else Outcome.UNKNOWN


def mismatch_error() -> PoplarfoldError:
    return IdempotencyMismatchError(
        "the idempotency key was used with another request body"
    )


def in_progress_error() -> PoplarfoldError:
    return CallInProgressError(
        "another request with this idempotency key is in progress"
    )


def wait_for_outcome(part: Claims, call_id: str, digest: bytes, now: float) -> None:
    """Let a call wait for the outcome of the call that holds the claim on its key."""
    part.waiters.put(call_id, OutcomeWaiter(digest, now))


def end_wait(
    state: NodeState, part: Claims, call_id: str, waiter: OutcomeWaiter
) -> None:
    """End a call's wait: reject it if the other call is still in progress."""
    del part.waiters[call_id]
    row = part.rows.get(waiter.digest)
    is_held = row is not None and row.state == "claimed"
    if row is not None and is_held and is_owner_dead(state, row):
        is_held = False
    if is_held or waiter.digest in part.pending:
        state.post(ClaimLost(call_id, in_progress_error()))
    else:
        state.post(ClaimRequested(call_id))


def recheck_waiters(state: NodeState, part: Claims, digest: bytes) -> None:
    """Request the claim again for all calls that wait for an outcome of this key."""
    for call_id, waiter in part.waiters.rows():
        if waiter.digest == digest:
            state.post(ClaimRequested(call_id))


def resolve_claimed_key(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow,
    now: float,
) -> None:
    """Decide on a call whose key already has a claim in the log.

    The call gets the recorded answer or an error, waits for the outcome, or queues
    a takeover.
    """
    local_outcome = part.outcomes.get(digest)
    if local_outcome is not None and local_outcome.claim == row.claim:
        row = with_outcome(row, local_outcome)
    lost: ClaimLost
    if row.body_digest != pending.body_digest:
        lost = ClaimLost(pending.call_id, mismatch_error())
    elif row.state == "done" and row.status == 0:
        error = OutcomeUnknownError("the call is done, but its answer was not recorded")
        lost = ClaimLost(pending.call_id, error.with_outcome(Outcome.DONE))
    elif row.state == "done":
        lost = ClaimLost(pending.call_id, None, row.status, row.body)
    elif row.state == "claimed" and not is_owner_dead(state, row):
        del part.pending[digest]
        wait_for_outcome(part, pending.call_id, digest, now)
        return
    elif may_repeat(state, part, pending.call_id):
        part.pending.put(digest, pending._replace(takes_over=row.claim))
        part.queue.append(TakeOver(digest, row.claim, pending.call_id))
        return
    else:
        text = "the call may have run, and its outcome cannot be determined"
        lost = ClaimLost(pending.call_id, OutcomeUnknownError(text))
    del part.pending[digest]
    state.post(lost)


def is_owner_dead(state: NodeState, row: ClaimRow) -> bool:
    """Return whether the owner of a claim is proved dead, not just unresponsive."""
    if row.owner == state.me:
        return False
    return membership.is_dead(state, row.owner)


def may_repeat(state: NodeState, part: Claims, call_id: str) -> bool:
    """Return whether the service answers a repeated operation from its own record.

    It is not enough that a service refuses old fencing numbers: that stops a late
    send by the old owner, but not a second run of an operation that has already run.
    """
    call = state.calls.get(call_id)
    entry = state.entries.get(call.arrival.entry) if call else None
    if entry is None:
        return False
    for service, _, knows_operations in state.settings.endpoint_rules:
        if service == entry.identity.service:
            return knows_operations
    known = [
        k
        for identity, k in part.operation_support.values()
        if identity == entry.identity
    ]
    return bool(known) and all(known)


def reject_timed_out(
    state: NodeState, part: Claims, digest: bytes, pending: PendingClaim
) -> None:
    """Reject a call whose claim was not decided within CLAIM_TIMEOUT_S."""
    drop_pending(part, digest, pending)
    call = state.calls.get(pending.call_id)
    if call is None:
        return
    error = LogUnavailableError(
        "timed out waiting for the log to record the claim of the call"
    )
    outcome = outcome_without_claim(state, call)
    if pending.takes_over is not None:
        outcome = Outcome.UNKNOWN
    state.post(ClaimFailed(pending.call_id, error.with_outcome(outcome)))


def grant_claim(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow,
) -> None:
    del part.pending[digest]
    part.held.put(pending.call_id, HeldClaim(digest, row.claim))
    may_have_run = pending.takes_over is not None
    state.post(ClaimWon(pending.call_id, row.operation_id, row.claim, may_have_run))


def fail_takeover(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow | None,
    now: float,
) -> None:
    """Decide again on a call whose takeover failed because the claim had changed."""
    drop_pending(part, digest, pending)
    if row is None:
        error: PoplarfoldError = OutcomeUnknownError(
            "the claim to take over has been released"
        )
        state.post(ClaimLost(pending.call_id, error))
        return
    part.pending.put(digest, pending._replace(takes_over=None))
    resolve_claimed_key(state, part, digest, pending, row, now)


def with_outcome(row: ClaimRow, outcome: Done | OutcomeUnknown) -> ClaimRow:
    """Return the row with the outcome applied; ``done`` is final."""
    if isinstance(outcome, Done):
        return row._replace(state="done", status=outcome.status, body=outcome.body)
    return row if row.state == "done" else row._replace(state="unknown")
