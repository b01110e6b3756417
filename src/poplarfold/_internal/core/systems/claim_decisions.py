"""Answers to calls that wait for their claim, or for another call with their key."""

from poplarfold._internal.core.claims_codec import ClaimRow, Done, TakeOver, Unknown
from poplarfold._internal.core.events import (
    ClaimLost,
    ClaimRefused,
    ClaimWanted,
    ClaimWon,
)
from poplarfold._internal.core.state import CallRow, NodeState
from poplarfold._internal.core.systems import membership
from poplarfold._internal.core.systems.claim_state import (
    Claims,
    Follower,
    HeldClaim,
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
    "decide",
    "follow",
    "lose_takeover",
    "mismatch_error",
    "outcome_of_unclaimed",
    "refuse_late",
    "stop_following",
    "wake_followers",
    "win",
    "with_outcome",
]


def outcome_of_unclaimed(state: NodeState, call: CallRow) -> Outcome:
    """Return what is known of a call that ended before its claim was decided.

    The call itself is never sent: its claim, if the log holds it, is released
    when it is read. But another node may have claimed the key for an earlier
    request, and may run it after this node's last look at the log, so only the
    holder of the claim can say "not run".
    """
    part = state.part(Claims)
    row = part.rows.get(digest_of(call.arrival))
    is_done = row is not None and row.state == "done"
    return Outcome.DONE if is_done else Outcome.UNKNOWN


def mismatch_error() -> PoplarfoldError:
    return IdempotencyMismatchError("the key was used with another request body")


def in_progress_error() -> PoplarfoldError:
    return CallInProgressError("another request with this key is running")


def follow(part: Claims, call_id: str, digest: bytes, now: float) -> None:
    """Let a call wait for the outcome of the call that holds its key."""
    part.followers.put(call_id, Follower(digest, now))


def stop_following(
    state: NodeState, part: Claims, call_id: str, follower: Follower
) -> None:
    """Tell a call that another is in progress, if that is still so."""
    del part.followers[call_id]
    row = part.rows.get(follower.digest)
    is_held = row is not None and row.state == "claimed"
    if row is not None and is_held and is_abandoned(state, row):
        is_held = False
    if is_held or follower.digest in part.pending:
        state.post(ClaimLost(call_id, in_progress_error()))
    else:
        state.post(ClaimWanted(call_id))


def wake_followers(state: NodeState, part: Claims, digest: bytes) -> None:
    """Look again at the claim of calls that wait for an outcome of this key."""
    for call_id, follower in part.followers.rows():
        if follower.digest == digest:
            state.post(ClaimWanted(call_id))


def decide(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow,
    now: float,
) -> None:
    """Answer a call whose key the log already holds."""
    early = part.outcomes.get(digest)
    if early is not None and early.claim == row.claim:
        row = with_outcome(row, early)
    lost: ClaimLost
    if row.body_digest != pending.body_digest:
        lost = ClaimLost(pending.call_id, mismatch_error())
    elif row.state == "done" and row.status == 0:
        error = OutcomeUnknownError("the call is done; its answer was not recorded")
        lost = ClaimLost(pending.call_id, error.with_outcome(Outcome.DONE))
    elif row.state == "done":
        lost = ClaimLost(pending.call_id, None, row.status, row.body)
    elif row.state == "claimed" and not is_abandoned(state, row):
        del part.pending[digest]
        follow(part, pending.call_id, digest, now)
        return
    elif may_repeat(state, part, pending.call_id):
        part.pending.put(digest, pending._replace(takes_over=row.claim))
        part.queue.append(TakeOver(digest, row.claim, pending.call_id))
        return
    else:
        text = "the call may have run, and its outcome cannot be told"
        lost = ClaimLost(pending.call_id, OutcomeUnknownError(text))
    del part.pending[digest]
    state.post(lost)


def is_abandoned(state: NodeState, row: ClaimRow) -> bool:
    """Return whether the owner of a claim is proved dead, not only silent."""
    if row.owner == state.me:
        return False
    return membership.is_dead(state, row.owner)


def may_repeat(state: NodeState, part: Claims, call_id: str) -> bool:
    """Return whether the service answers a repeated operation from its record.

    Refusing old fencing numbers is not enough to send an operation again: it
    stops a late send of the old owner, but not a second run after one that has
    already happened.
    """
    call = state.calls.get(call_id)
    entry = state.entries.get(call.arrival.entry) if call else None
    if entry is None:
        return False
    for service, _, knows_operations in state.settings.endpoint_rules:
        if service == entry.identity.service:
            return knows_operations
    known = [k for identity, k in part.rules.values() if identity == entry.identity]
    return bool(known) and all(known)


def refuse_late(
    state: NodeState, part: Claims, digest: bytes, pending: PendingClaim
) -> None:
    """Refuse a call whose claim the log has not decided in time."""
    drop_pending(part, digest, pending)
    call = state.calls.get(pending.call_id)
    if call is None:
        return
    error = LogUnavailableError("the log did not decide on the call's claim in time")
    outcome = outcome_of_unclaimed(state, call)
    if pending.takes_over is not None:
        outcome = Outcome.UNKNOWN
    state.post(ClaimRefused(pending.call_id, error.with_outcome(outcome)))


def win(
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


def lose_takeover(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow | None,
    now: float,
) -> None:
    """Answer a call whose takeover came second."""
    drop_pending(part, digest, pending)
    if row is None:
        error: PoplarfoldError = OutcomeUnknownError("the claim has been released")
        state.post(ClaimLost(pending.call_id, error))
        return
    part.pending.put(digest, pending._replace(takes_over=None))
    decide(state, part, digest, pending, row, now)


def with_outcome(row: ClaimRow, outcome: Done | Unknown) -> ClaimRow:
    """Return the row with its outcome; a whole answer is final."""
    if isinstance(outcome, Done):
        return row._replace(state="done", status=outcome.status, body=outcome.body)
    return row if row.state == "done" else row._replace(state="unknown")
